//! Small keys for the things that a deployment names.
//!
//! A key is the head of the SHA-256 digest of the name, so every node and every revision derives
//! the same key without a table. Publishing refuses two names with one key.

use crate::digest::Digest;

crate::define_id! {
    /// A region.
    RegionId(u32);
    /// A data centre inside a region.
    CentreId(u32);
    /// An entry VM.
    VmId(u32);
    /// A service.
    ServiceId(u32);
    /// The low half of a service's key, for heartbeats.
    ServiceTag(u16);
    /// A target of a service.
    TargetId(u32);
    /// A customer.
    CustomerId(u64);
    /// One boot of a process on a VM. A later boot need not have a higher number.
    Incarnation(u64);
    /// A digest of what makes two requests the same for a target.
    Fingerprint(u64);
}

macro_rules! named {
    ($($name:ident: $int:ty),*) => {
        $(
            impl $name {
                /// Derives the key of a name.
                ///
                /// ```
                #[doc = concat!("use seam_protocol::", stringify!($name), ";")]
                #[doc = concat!("assert_eq!(", stringify!($name), "::of(\"a\"), ", stringify!($name), "::of(\"a\"));")]
                #[doc = concat!("assert_ne!(", stringify!($name), "::of(\"a\"), ", stringify!($name), "::of(\"b\"));")]
                /// ```
                #[must_use]
                pub fn of(name: &str) -> Self {
                    Self(Digest::of(name.as_bytes()).leading_u64() as $int)
                }
            }
        )*
    };
}

named!(RegionId: u32, CentreId: u32, VmId: u32, ServiceId: u32, TargetId: u32, CustomerId: u64);

impl ServiceId {
    /// Returns the short form for heartbeats. Publishing refuses two services with one tag.
    ///
    /// ```
    /// use seam_protocol::id::{ServiceId, ServiceTag};
    /// assert_eq!(ServiceId(0x1234_5678).tag(), ServiceTag(0x5678));
    /// ```
    #[must_use]
    pub fn tag(self) -> ServiceTag {
        ServiceTag(self.0 as u16)
    }
}

/// Mixes two numbers into a rank for rendezvous hashing. Higher ranks win.
///
/// ```
/// use seam_protocol::id::rank;
/// assert_eq!(rank(1, 2), rank(1, 2));
/// assert_ne!(rank(1, 2), rank(2, 1));
/// ```
#[must_use]
pub fn rank(key: u64, member: u64) -> u64 {
    let mut x = key ^ member.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Mixes two numbers into a rank by which members win in proportion to their weights.
///
/// ```
/// use seam_protocol::id::weighted_rank;
/// let wins = |key: &u64| weighted_rank(*key, 1, 300) > weighted_rank(*key, 2, 100);
/// let part = (0..1000).filter(wins).count();
/// assert!((700..800).contains(&part), "{part}");
/// ```
#[must_use]
pub fn weighted_rank(key: u64, member: u64, weight: u32) -> f64 {
    let even = (rank(key, member) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    even.ln() / f64::from(weight.max(1))
}
