//! Splitting a bundle into a manifest and parts, and assembling it again.

use std::path::Path;

use seam_config::{BundleError, assemble, assemble_incremental, split};
use seam_protocol::{Bundle, Customer, CustomerId, Digest};

fn example() -> Bundle {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hamutenya");
    let mut bundle = seam_config::load_deployment(&[root]).unwrap();
    bundle.revision = 7;
    bundle
}

fn many_customers() -> Bundle {
    let mut bundle = example();
    let template = bundle.customers.values().next().unwrap().clone();
    for index in 0..28_000 {
        let name = format!("customer-{index}");
        let customer = Customer {
            credentials: vec![Digest::of(name.as_bytes())],
            name: name.clone(),
            ..template.clone()
        };
        bundle.customers.insert(CustomerId::of(&name), customer);
    }
    bundle
}

#[test]
fn round_trip() {
    let mut bundle = example();
    let set = split(&bundle).unwrap();
    bundle.digest = Digest::of(&set.manifest);
    assert_eq!(assemble(&set).unwrap(), bundle);
}

#[test]
fn one_changed_part() {
    let mut bundle = many_customers();
    let old = split(&bundle).unwrap();
    assert!(
        old.parts
            .values()
            .all(|part| part.len() < seam_config::bundle::MAX_PART_BYTES)
    );
    bundle.revision += 1;
    bundle.customers.values_mut().next().unwrap().rate += 1;
    let new = split(&bundle).unwrap();
    let added = new
        .parts
        .keys()
        .filter(|digest| !old.parts.contains_key(digest));
    assert_eq!(added.count(), 1);
}

#[test]
fn incremental_assembly() {
    let mut bundle = many_customers();
    let old_set = split(&bundle).unwrap();
    let old = assemble(&old_set).unwrap();
    let manifest = seam_config::bundle::parse_manifest(&old_set.manifest).unwrap();
    bundle.revision += 1;
    bundle.customers.pop_first();
    bundle.customers.values_mut().next_back().unwrap().rate += 1;
    bundle.services.values_mut().next().unwrap().deadline += 1;
    let set = split(&bundle).unwrap();
    let whole = assemble(&set).unwrap();
    assert_eq!(
        assemble_incremental(Some((&old, &manifest)), &set).unwrap(),
        whole
    );
}

#[test]
fn missing_part() {
    let mut set = split(&example()).unwrap();
    set.parts.pop_first();
    assert!(matches!(
        assemble(&set),
        Err(BundleError::MissingPart { .. })
    ));
}

#[test]
fn changed_part() {
    let mut set = split(&example()).unwrap();
    let digest = *set.parts.keys().next().unwrap();
    set.parts.insert(digest, b"{}".to_vec());
    assert!(matches!(
        assemble(&set),
        Err(BundleError::DigestMismatch { .. })
    ));
}

#[test]
fn large_part() {
    let mut bundle = example();
    let customer = bundle.customers.values_mut().next().unwrap();
    customer.name = "x".repeat(1 << 20);
    assert!(matches!(
        split(&bundle),
        Err(BundleError::OversizedPart { .. })
    ));
}
