//! Memory use, measured with a counting allocator.

use std::collections::BTreeMap;
use std::sync::Arc;

use seam_core::arrival::IdempotencyKey;
use seam_core::handle::TargetKey;
use seam_core::keys::{KeyOutcome, KeyTable};
use seam_core::poison::{CrashRuns, PoisonTable};
use seam_core::prefix::PrefixTable;
use seam_core::{Arrival, Event, Identity, Node, Origin, Ticket};
use seam_harness::deployments::{self, customer_name};
use seam_protocol::{
    Bundle, CustomerId, Fingerprint, Incarnation, RegionId, ServiceId, StoredResponse, TargetId,
    Time, VmId,
};

use crate::{ALLOCATED, fit};

/// Returns a value and the bytes that it keeps allocated.
fn allocated<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = ALLOCATED.current_usage();
    let value = make();
    let after = ALLOCATED.current_usage();
    (value, after.saturating_sub(before) as f64)
}

fn points(sizes: &[usize], mut measure: impl FnMut(usize) -> f64) -> Vec<(f64, f64)> {
    sizes
        .iter()
        .map(|size| (*size as f64, measure(*size)))
        .collect()
}

/// Creates a node with a bundle that is ready to serve, and the current time on its clock.
pub fn node(bundle: &Arc<Bundle>) -> (Node, Time) {
    let (id, vm) = bundle
        .deployment
        .vms
        .iter()
        .next()
        .expect("the deployment has a VM");
    let identity = Identity {
        vm: *id,
        region: vm.region,
        incarnation: Incarnation(1),
    };
    let mut node = Node::new(identity, 1, Time(0));
    let mut out = Vec::new();
    node.handle(Time(0), Event::Bundle(bundle.clone()), &mut out);
    let mut now = 0;
    while now < 4_000_000 {
        now += 100_000;
        node.handle(Time(now), Event::Tick, &mut out);
    }
    (node, Time(now))
}

/// Returns the arrival of a customer's request for a service.
pub fn arrival(ticket: u64, customer: &str, service: &str) -> Event {
    Event::Arrive(Arrival {
        ticket: Ticket(ticket),
        origin: Origin::Caller,
        customer: CustomerId::of(customer),
        service: ServiceId::of(service),
        repeatable: true,
        replayable: true,
        key: None,
        fingerprint: Fingerprint(ticket),
        attributes: Vec::new(),
        prefix: Some(ticket % 64),
        budget: std::time::Duration::from_secs(3600),
        tenant: None,
        route: None,
        prompt: None,
        stream: None,
    })
}

/// Prints tables of memory use with their fitted lines.
pub fn print() {
    println!("## Memory\n");
    let customers = points(&[1000, 4000, 14_000, 28_000], |count| {
        allocated(|| deployments::bundle(&deployments::large(25, 370, 30, count))).1
    });
    fit::print(
        "Bundle in use, by customers",
        "customers",
        "bytes",
        &customers,
    );
    let parts = points(&[1000, 4000, 14_000, 28_000], |count| {
        let bundle = deployments::bundle(&deployments::large(25, 370, 30, count));
        allocated(|| seam_config::split(&bundle).expect("every part fits the size limit")).1
    });
    fit::print(
        "Parts kept for peers, by customers",
        "customers",
        "bytes",
        &parts,
    );
    let index = points(&[1000, 4000, 14_000, 28_000], |count| {
        let bundle = deployments::bundle(&deployments::large(2, 4, 1, count));
        let digests = || -> BTreeMap<_, _> {
            let customers = bundle.customers.iter();
            customers
                .map(|(id, customer)| (customer.credentials[0], *id))
                .collect()
        };
        allocated(digests).1
    });
    fit::print(
        "Credential index, by customers",
        "customers",
        "bytes",
        &index,
    );
    let targets = points(&[8, 32, 64, 128], |count| {
        let mut spec = deployments::large(1, 2, 1, 10);
        spec.services[0].targets = vec![count];
        let bundle = Arc::new(deployments::bundle(&spec));
        allocated(|| node(&bundle)).1
    });
    fit::print(
        "Node, by targets in its region",
        "targets",
        "bytes",
        &targets,
    );
    let keys = points(&[1000, 10_000, 50_000, 100_000], |count| {
        allocated(|| stored_keys(count)).1
    });
    fit::print(
        "Stored keys, with responses of 200 bytes",
        "keys",
        "bytes",
        &keys,
    );
    let queued = points(&[100, 1000, 4000, 12_000], queued_requests);
    fit::print("Queued requests", "requests", "bytes", &queued);
    let prefixes = points(&[100, 500, 1000, 2000], |count| {
        allocated(|| {
            let mut table = PrefixTable::default();
            for prefix in 0..count as u64 {
                table.record(Time(prefix), TargetKey(0), prefix);
            }
            table
        })
        .1
    });
    fit::print(
        "Prefix entries of one target",
        "prefixes",
        "bytes",
        &prefixes,
    );
    print_crash_attribution();
    let active = points(&[100, 1000, 4000, 12_000], active_customers);
    fit::print("Recently active customers", "customers", "bytes", &active);
}

/// Prints the tables of what decides which requests crash targets.
fn print_crash_attribution() {
    let suspects = points(&[64, 512, 1024, 4096], |count| {
        allocated(|| suspects(count)).1
    });
    fit::print(
        "Suspects of crashing targets, with one crash each",
        "suspects",
        "bytes",
        &suspects,
    );
    let parts = points(&[64, 512, 1024, 4096], |count| {
        allocated(|| suspect_parts(count)).1
    });
    fit::print(
        "Suspected parts of prompts, with one crash each",
        "parts",
        "bytes",
        &parts,
    );
    let answers = points(&[512, 1024, 2048, 4096], |count| {
        allocated(|| {
            let mut table = PoisonTable::default();
            for number in 0..count as u64 {
                table.record_answer(fingerprint(number), Time(number));
            }
            table
        })
        .1
    });
    fit::print("Answered parts of prompts", "parts", "bytes", &answers);
    let completions = points(&[512, 1024, 2048, 4096], |count| {
        allocated(|| {
            let mut table = PoisonTable::default();
            for number in 0..count as u64 {
                table.record_completion(Time(number), fingerprint(number));
            }
            table
        })
        .1
    });
    fit::print(
        "Fingerprints of completed requests",
        "requests",
        "bytes",
        &completions,
    );
}

/// Returns a fingerprint as large as a digest.
fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint(seam_protocol::id::rank(number, 0))
}

/// Returns a table in which one crash made this many suspects.
pub fn suspects(count: usize) -> PoisonTable {
    let mut table = PoisonTable::default();
    let run = std::time::Duration::from_millis(400);
    let ran = (0..count as u64).map(|number| (fingerprint(number), run));
    table.record_crash(Time(0), TargetId(u32::MAX), &ran.collect());
    table
}

/// Returns a table in which one crash made this many parts of prompts suspects.
pub fn suspect_parts(count: usize) -> PoisonTable {
    let mut table = PoisonTable::default();
    let parts = (0..count as u64).map(|number| (fingerprint(number), 1));
    let ran = CrashRuns {
        parts: parts.collect(),
        ..CrashRuns::default()
    };
    table.record_crash(Time(0), TargetId(u32::MAX), &ran);
    table
}

fn stored_keys(count: usize) -> KeyTable {
    let mut table = KeyTable::default();
    for number in 0..count as u64 {
        let name = IdempotencyKey::Caller {
            customer: CustomerId(number),
            digest: number,
        };
        table.claim(Time(0), &name, Fingerprint(number), Ticket(number));
        let response = StoredResponse {
            status: 200,
            headers: Vec::new(),
            body: vec![0; 200],
        };
        table.settle(
            Time(0),
            &name,
            KeyOutcome::Complete(Some(Arc::new(response))),
        );
    }
    table
}

fn queued_requests(count: usize) -> f64 {
    let mut spec = deployments::large(1, 1, 1, 100);
    spec.concurrency = 1_000_000;
    let bundle = Arc::new(deployments::bundle(&spec));
    let (mut node, now) = node(&bundle);
    let mut out = Vec::new();
    allocated(|| {
        for ticket in 0..count as u64 {
            let customer = customer_name(ticket as usize % 100);
            node.handle(now, arrival(ticket, &customer, "model-0"), &mut out);
            out.clear();
        }
    })
    .1
}

fn active_customers(count: usize) -> f64 {
    let bundle = Arc::new(deployments::bundle(&deployments::large(1, 1, 1, count)));
    let (mut node, now) = node(&bundle);
    let mut out = Vec::new();
    allocated(|| {
        for ticket in 0..count as u64 {
            let customer = customer_name(ticket as usize);
            node.handle(now, arrival(ticket, &customer, "model-0"), &mut out);
            node.handle(now, Event::CallerGone(Ticket(ticket)), &mut out);
            out.clear();
        }
    })
    .1
}

/// Returns another VM in the region of the first VM, and that region.
pub fn first_peer(bundle: &Bundle) -> (VmId, RegionId) {
    let mut vms = bundle.deployment.vms.iter();
    let own = vms.next().map(|(_, vm)| vm.region);
    let peer = vms.find(|(_, vm)| Some(vm.region) == own);
    peer.map_or((VmId(0), RegionId(0)), |(id, vm)| (*id, vm.region))
}
