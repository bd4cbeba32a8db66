//! Integer IDs of the objects of a deployment.
//!
//! An ID is the leading bytes of the SHA-256 digest of the name, so all nodes and all revisions
//! derive the same ID without a shared table. A configuration in which two names collide is
//! rejected before it is published.

use crate::digest::Digest;

crate::define_id! {
    /// A region.
    RegionId(u32);
    /// A data centre in a region.
    CentreId(u32);
    /// A VM that runs a gateway node.
    VmId(u32);
    /// A service.
    ServiceId(u32);
    /// The lower 16 bits of a service's ID, for heartbeats.
    ServiceTag(u16);
    /// A target of a service.
    TargetId(u32);
    /// A customer.
    CustomerId(u64);
    /// A client account that is published beside the routes.
    TenantId(u64);
    /// One run of a node's process on a VM. Later incarnations can have lower numbers.
    Incarnation(u64);
    /// A digest that is equal for requests that are the same to a target.
    Fingerprint(u64);
    /// A version of the software of a service's targets.
    VersionId(u32);
    /// A stream, from the request that began it to the last one that takes it up.
    StreamId(u64);
}

/// Implements `of` for IDs that are derived from a name.
macro_rules! id_from_name {
    ($($name:ident: $int:ty),*) => {
        $(
            impl $name {
                /// Returns the ID of a name.
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

id_from_name!(RegionId: u32, CentreId: u32, VmId: u32, ServiceId: u32, TargetId: u32, CustomerId: u64, TenantId: u64, VersionId: u32);

impl ServiceId {
    /// Returns the short ID for heartbeats. Two services with the same tag cannot be published.
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

impl StreamId {
    /// Returns the ID of the stream that a customer's request began. Customers choose the identifiers
    /// of their requests, so those of two customers may be equal.
    ///
    /// ```
    /// use seam_protocol::{CustomerId, StreamId};
    /// let id = |customer| StreamId::new(CustomerId(customer), "a1");
    /// assert_eq!(id(1), id(1));
    /// assert_ne!(id(1), id(2));
    /// ```
    #[must_use]
    pub fn new(customer: CustomerId, request: &str) -> Self {
        let text = format!("{} {request}", customer.0);
        Self(Digest::of(text.as_bytes()).leading_u64())
    }
}

/// Returns the rank of a member for a key, for rendezvous hashing. The highest rank wins.
///
/// Uses the finalizer of `SplitMix64`.
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

/// Returns the rank of a member for a key, for weighted rendezvous hashing.
///
/// The highest rank wins, so members win keys in proportion to their weights.
///
/// ```
/// use seam_protocol::id::weighted_rank;
/// let wins = |key: &u64| weighted_rank(*key, 1, 300) > weighted_rank(*key, 2, 100);
/// let won = (0..1000).filter(wins).count();
/// assert!((700..800).contains(&won), "{won}");
/// ```
#[must_use]
pub fn weighted_rank(key: u64, member: u64, weight: u32) -> f64 {
    let uniform = (rank(key, member) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    uniform.ln() / f64::from(weight.max(1))
}
