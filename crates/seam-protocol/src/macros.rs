//! Macros that define types with the same derives.

/// Adds the derives that messages between processes share.
#[macro_export]
macro_rules! message {
    ($($(#[$meta:meta])* pub $kind:ident $name:ident $body:tt)*) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
            pub $kind $name $body
        )*
    };
}

/// Defines ordered `Copy` newtypes around integers, displayed in hexadecimal.
#[macro_export]
macro_rules! define_id {
    ($($(#[$meta:meta])* $name:ident($int:ty);)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub $int);

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, "{:x}", self.0)
                }
            }
        )*
    };
}
