//! Splits a configuration into a manifest and content-addressed parts, and assembles it again.
//!
//! A part holds the deployment, one service, or the customers whose IDs share their leading bits,
//! so a change rewrites only the parts that it affects.

use std::collections::BTreeMap;

use seam_protocol::bundle::Deployment;
use seam_protocol::{Bundle, Customer, CustomerId, Digest, Manifest, Service, ServiceId};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Upper bound on the size of a part in bytes; a part must be smaller.
pub const MAX_PART_BYTES: usize = 1 << 20;
/// Leading bits of a customer's ID that select its part.
pub const CUSTOMER_BITS: u32 = 8;
/// Name of the part that holds the deployment.
pub const DEPLOYMENT_PART: &str = "deployment";
/// Prefix of the names of parts that hold a service.
pub const SERVICE_PREFIX: &str = "s/";
/// Prefix of the names of parts that hold customers.
pub const CUSTOMER_PREFIX: &str = "c/";

/// Errors in splitting or assembling a bundle.
#[derive(Debug, Snafu)]
pub enum BundleError {
    /// The manifest is not valid JSON or lacks fields.
    #[snafu(display("invalid manifest: {source}"))]
    InvalidManifest {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A part that the manifest lists, or the deployment, is missing.
    #[snafu(display("missing part {name:?} of the bundle"))]
    MissingPart {
        /// Name of the part.
        name: String,
    },
    /// A part does not deserialize to the type that its name implies.
    #[snafu(display("invalid part {name:?}: {source}"))]
    InvalidPart {
        /// Name of the part.
        name: String,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A part's digest differs from the one in the manifest.
    #[snafu(display("part {name:?} has digest {actual}, but the manifest lists {expected}"))]
    DigestMismatch {
        /// Name of the part.
        name: String,
        /// Digest of the part's bytes.
        actual: Digest,
        /// Digest in the manifest.
        expected: Digest,
    },
    /// A part is too large to publish.
    #[snafu(display(
        "part {name:?} has {size} bytes; it must be smaller than {MAX_PART_BYTES} bytes"
    ))]
    OversizedPart {
        /// Name of the part.
        name: String,
        /// Size in bytes.
        size: usize,
    },
    /// The name of a part has no known prefix.
    #[snafu(display("part {name:?} has an unknown type"))]
    UnknownPart {
        /// Name of the part.
        name: String,
    },
}

/// A serialized bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSet {
    /// Manifest as JSON.
    pub manifest: Vec<u8>,
    /// Parts as JSON, by digest.
    pub parts: BTreeMap<Digest, Vec<u8>>,
}

/// Returns the name of the part that holds a customer.
///
/// ```
/// use seam_config::bundle::customer_part;
/// use seam_protocol::CustomerId;
/// assert_eq!(customer_part(CustomerId(u64::MAX)), "c/ff");
/// ```
#[must_use]
pub fn customer_part(id: CustomerId) -> String {
    format!("{CUSTOMER_PREFIX}{:02x}", id.0 >> (64 - CUSTOMER_BITS))
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain data always serializes")
}

/// Splits a bundle into a manifest and parts.
///
/// # Errors
/// [`BundleError::OversizedPart`] if a part is too large to publish.
pub fn split(bundle: &Bundle) -> Result<PartSet, BundleError> {
    let mut part_bytes: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    part_bytes.insert(DEPLOYMENT_PART.to_owned(), to_json(&bundle.deployment));
    for service in bundle.services.values() {
        let name = format!("{SERVICE_PREFIX}{}", service.name);
        part_bytes.insert(name, to_json(service));
    }
    let mut buckets: BTreeMap<String, BTreeMap<CustomerId, &Customer>> = BTreeMap::new();
    for (id, customer) in &bundle.customers {
        let bucket = buckets.entry(customer_part(*id)).or_default();
        bucket.insert(*id, customer);
    }
    for (name, bucket) in buckets {
        part_bytes.insert(name, to_json(&bucket));
    }
    let mut manifest = Manifest {
        revision: bundle.revision,
        parent: bundle.parent,
        parts: BTreeMap::new(),
    };
    let mut parts = BTreeMap::new();
    for (name, part) in part_bytes {
        let size = part.len();
        ensure!(size < MAX_PART_BYTES, OversizedPartSnafu { name, size });
        let digest = Digest::of(&part);
        manifest.parts.insert(name, digest);
        parts.insert(digest, part);
    }
    Ok(PartSet {
        manifest: to_json(&manifest),
        parts,
    })
}

/// Parses a manifest.
///
/// # Errors
/// [`BundleError::InvalidManifest`] if the bytes are not a manifest.
pub fn parse_manifest(bytes: &[u8]) -> Result<Manifest, BundleError> {
    serde_json::from_slice(bytes).context(InvalidManifestSnafu)
}

/// Assembles a bundle from a manifest and its parts, and verifies every digest.
///
/// # Errors
/// See [`BundleError`].
pub fn assemble(set: &PartSet) -> Result<Bundle, BundleError> {
    assemble_incremental(None, set)
}

/// Assembles a bundle from a manifest and its parts, and reuses the unchanged parts of a previously
/// assembled bundle.
///
/// Parts whose digest is the same in both manifests are neither verified nor parsed again.
///
/// # Errors
/// See [`BundleError`].
pub fn assemble_incremental(
    previous: Option<(&Bundle, &Manifest)>,
    set: &PartSet,
) -> Result<Bundle, BundleError> {
    let manifest = parse_manifest(&set.manifest)?;
    let mut deployment = None;
    let mut services: BTreeMap<ServiceId, Service> = BTreeMap::new();
    let mut customers: BTreeMap<CustomerId, Customer> = BTreeMap::new();
    for (name, expected) in &manifest.parts {
        let unchanged = previous.filter(|(_, before)| before.parts.get(name) == Some(expected));
        let part = set.parts.get(expected).context(MissingPartSnafu { name })?;
        if unchanged.is_none() {
            let actual = Digest::of(part);
            let expected = *expected;
            ensure!(
                actual == expected,
                DigestMismatchSnafu {
                    name,
                    actual,
                    expected
                }
            );
        }
        let bundle = unchanged.map(|(bundle, _)| bundle);
        if name == DEPLOYMENT_PART {
            let reused = bundle.map(|bundle| Ok(bundle.deployment.clone()));
            deployment = Some(reused.unwrap_or_else(|| parse_part::<Deployment>(name, part))?);
        } else if let Some(service) = name.strip_prefix(SERVICE_PREFIX) {
            let reused = bundle.and_then(|bundle| bundle.services.get(&ServiceId::of(service)));
            let service = match reused {
                Some(service) => service.clone(),
                None => parse_part::<Service>(name, part)?,
            };
            services.insert(ServiceId::of(&service.name), service);
        } else if let Some(bucket) = name.strip_prefix(CUSTOMER_PREFIX) {
            match bundle.and_then(|bundle| customers_in(bundle, bucket)) {
                Some(reused) => customers.extend(reused),
                None => customers.append(&mut parse_part(name, part)?),
            }
        } else {
            return UnknownPartSnafu { name }.fail();
        }
    }
    let name = DEPLOYMENT_PART;
    Ok(Bundle {
        revision: manifest.revision,
        digest: Digest::of(&set.manifest),
        parent: manifest.parent,
        services,
        customers: customers.into(),
        ..Bundle::new(deployment.context(MissingPartSnafu { name })?)
    })
}

/// Returns the customers of a bundle that belong to a part, by the hexadecimal bits in its name.
fn customers_in<'a>(
    bundle: &'a Bundle,
    bucket: &str,
) -> Option<impl Iterator<Item = (CustomerId, Customer)> + 'a> {
    const SHIFT: u32 = 64 - CUSTOMER_BITS;
    let first = u64::from_str_radix(bucket, 16).ok()? << SHIFT;
    let last = first | ((1 << SHIFT) - 1);
    let range = bundle.customers.range(CustomerId(first)..=CustomerId(last));
    Some(range.map(|(id, customer)| (*id, customer.clone())))
}

fn parse_part<T: serde::de::DeserializeOwned>(name: &str, part: &[u8]) -> Result<T, BundleError> {
    serde_json::from_slice(part).context(InvalidPartSnafu { name })
}
