//! CPU time that a node spends on each event.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use seam_core::poison::PoisonTable;
use seam_core::{AttemptKey, AttemptOutcome, Command, Event, Node};
use seam_harness::deployments::{self, DeploymentSpec, customer_name};
use seam_protocol::{Fingerprint, Heartbeat, Time, VmRecord};

use crate::fit;
use crate::memory::{arrival, first_peer, node};

const ROUNDS: usize = 4000;

/// Returns the microseconds of one call of `run`, as the best mean of five repeats.
fn micros(rounds: usize, mut run: impl FnMut(usize)) -> f64 {
    const REPEATS: usize = 5;
    let mut best = f64::INFINITY;
    for repeat in 0..REPEATS {
        let start = Instant::now();
        for round in 0..rounds {
            run(repeat * rounds + round);
        }
        best = best.min(start.elapsed().as_secs_f64() * 1e6 / rounds as f64);
    }
    best
}

/// Handles one request from its arrival to its response.
fn request(node: &mut Node, now: Time, number: u64, customer: &str, out: &mut Vec<Command>) {
    out.clear();
    node.handle(now, arrival(number, customer, "model-0"), out);
    let attempt = out.iter().find_map(|command| match command {
        Command::Send { attempt, .. } | Command::Forward { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let attempt: AttemptKey = attempt.unwrap_or_default();
    node.handle(now, Event::Sending(attempt), out);
    node.handle(
        now,
        Event::AttemptEnded(
            attempt,
            AttemptOutcome::Complete {
                response: None,
                success: true,
            },
        ),
        out,
    );
}

fn routing(spec: &DeploymentSpec, customers: usize) -> f64 {
    let bundle = Arc::new(deployments::bundle(spec));
    let (mut node, now) = node(&bundle);
    let names: Vec<String> = (0..customers).map(customer_name).collect();
    let mut out = Vec::new();
    micros(ROUNDS, |round| {
        let now = Time(now.0 + round as u64);
        let name = &names[round % names.len()];
        request(&mut node, now, round as u64 + 1, name, &mut out);
    })
}

fn heartbeat(bundle: &seam_protocol::Bundle, records: usize) -> Heartbeat {
    let (vm, region) = first_peer(bundle);
    let mut heartbeat = Heartbeat::empty(vm, region);
    let others = bundle.deployment.vms.iter();
    let others = others.filter(|(id, other)| other.region == region && **id != vm);
    let ids = std::iter::once(vm).chain(others.map(|(id, _)| *id));
    heartbeat.records = ids
        .take(records)
        .map(|vm| VmRecord {
            vm,
            incarnation: seam_protocol::Incarnation(9),
            sequence: 1,
            revision: bundle.revision,
            ready: true,
            loads: Vec::new(),
        })
        .collect();
    heartbeat.manifest = bundle.digest.leading_u64();
    heartbeat
}

fn receive_heartbeat(spec: &DeploymentSpec) -> f64 {
    let bundle = Arc::new(deployments::bundle(spec));
    let (mut node, now) = node(&bundle);
    let mut heartbeat = heartbeat(&bundle, 8);
    let mut out = Vec::new();
    micros(ROUNDS, |round| {
        heartbeat.sent = round as u64 + 1;
        heartbeat.receiver_incarnation = node.identity().incarnation;
        for record in &mut heartbeat.records {
            record.sequence = round as u32 + 2;
        }
        let now = Time(now.0 + 1 + round as u64);
        out.clear();
        node.handle(now, Event::Heartbeat(Box::new(heartbeat.clone())), &mut out);
    })
}

fn tick(spec: &DeploymentSpec) -> f64 {
    let bundle = Arc::new(deployments::bundle(spec));
    let (mut node, now) = node(&bundle);
    let mut out = Vec::new();
    micros(400, |round| {
        let now = Time(now.0 + 100_000 * (1 + round as u64));
        out.clear();
        node.handle(now, Event::Tick, &mut out);
    })
}

fn apply_bundle(customers: usize, full: bool) -> f64 {
    const ROUNDS: usize = 3;
    let spec = deployments::large(25, 370, 30, customers);
    let old = Arc::new(deployments::bundle(&spec));
    let mut changed = (*old).clone();
    changed.revision += 1;
    if let Some(customer) = changed.customers.values_mut().next() {
        customer.rate += 1;
    }
    deployments::set_digest(&mut changed);
    let set = seam_config::split(&changed).expect("every part fits the size limit");
    let before_set = seam_config::split(&old).expect("every part fits the size limit");
    let before = seam_config::assemble(&before_set).expect("the parts are complete");
    let manifest =
        seam_config::bundle::parse_manifest(&before_set.manifest).expect("the manifest is valid");
    let (idle, now) = node(&old);
    micros(ROUNDS, |_| {
        let base = (!full).then_some((&before, &manifest));
        let bundle = seam_config::assemble_incremental(base, &set).expect("the parts are complete");
        let mut node = idle.clone();
        let mut out = Vec::new();
        node.handle(now, Event::Bundle(Arc::new(bundle)), &mut out);
        black_box(out.len());
    })
}

fn points(sizes: &[usize], mut measure: impl FnMut(usize) -> f64) -> Vec<(f64, f64)> {
    sizes
        .iter()
        .map(|size| (*size as f64, measure(*size)))
        .collect()
}

/// Prints tables of CPU time with their fitted lines.
pub fn print() {
    println!("## CPU time, one core, best of five runs\n");
    let by_targets = points(&[8, 16, 32, 64, 128], |count| {
        let mut spec = deployments::large(1, 1, 1, 100);
        spec.services[0].targets = vec![count];
        spec.concurrency = 1_000_000;
        routing(&spec, 100)
    });
    let title = "A request from arrival to response, by targets of its service";
    fit::print(title, "targets", "µs", &by_targets);
    let by_customers = points(&[100, 1000, 8000, 28_000], |count| {
        let mut spec = deployments::large(1, 1, 1, count);
        spec.concurrency = 1_000_000;
        routing(&spec, count)
    });
    fit::print(
        "A request from arrival to response, by customers",
        "customers",
        "µs",
        &by_customers,
    );
    let by_fleet = points(&[8, 32, 128, 370], |nodes| {
        let mut spec = deployments::large(25.min(nodes / 4), nodes, 30, 1000);
        spec.concurrency = 1_000_000;
        routing(&spec, 1000)
    });
    fit::print(
        "A request from arrival to response, by nodes of the fleet",
        "nodes",
        "µs",
        &by_fleet,
    );
    let by_nodes = points(&[8, 32, 128, 370], |nodes| {
        receive_heartbeat(&deployments::large(25.min(nodes / 4), nodes, 30, 100))
    });
    fit::print(
        "Handling a heartbeat with 8 records, by nodes of the fleet",
        "nodes",
        "µs",
        &by_nodes,
    );
    let ticks = points(&[8, 32, 128, 370], |nodes| {
        tick(&deployments::large(25.min(nodes / 4), nodes, 30, 100))
    });
    fit::print("A tick, by nodes of the fleet", "nodes", "µs", &ticks);
    let bundle = deployments::bundle(&deployments::large(25, 370, 30, 100));
    let heartbeat = heartbeat(&bundle, 8);
    let encoded = heartbeat.encode();
    println!(
        "A heartbeat of {} bytes: encoded in {:.2} µs, decoded in {:.2} µs.\n",
        encoded.len(),
        micros(ROUNDS, |_| drop(black_box(heartbeat.encode()))),
        micros(ROUNDS, |_| drop(black_box(Heartbeat::decode(&encoded))))
    );
    let mut table = PoisonTable::default();
    println!(
        "Recording a completed request: {:.2} µs.\n",
        micros(ROUNDS, |round| table
            .record_completion(Time(0), Fingerprint(round as u64)))
    );
    let full = points(&[1000, 4000, 14_000, 28_000], |count| {
        apply_bundle(count, true)
    });
    fit::print(
        "Parsing and applying a complete bundle",
        "customers",
        "µs",
        &full,
    );
    let changed = points(&[1000, 4000, 14_000, 28_000], |count| {
        apply_bundle(count, false)
    });
    fit::print(
        "Parsing and applying a bundle with one changed part",
        "customers",
        "µs",
        &changed,
    );
}
