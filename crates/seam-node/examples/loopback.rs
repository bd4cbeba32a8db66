//! Compares the latency and throughput of requests through one node with direct requests to the
//! same target.

use std::time::Duration;

use http::Method;
use seam_emulator::Caller;
use seam_emulator::Paces;
use seam_emulator::load::{Load, Outcome, run};
use seam_fleet::{Fleet, WINDHOEK, hamutenya};
use seam_protocol::{CustomerId, TargetId};

const CONNECTIONS: usize = 8;
const REQUESTS: usize = 1500;
const ROUNDS: usize = 5;

fn load(caller: Caller, method: Method, path: &str) -> Load {
    Load {
        caller,
        method,
        path: path.to_owned(),
        body: "x".repeat(200),
        connections: CONNECTIONS,
        requests: REQUESTS,
    }
}

fn print_row(name: &str, outcome: &Outcome) {
    println!(
        "| {name} | {:.0} | {} | {} | {} | {} |",
        outcome.rate(),
        outcome.micros(0.5),
        outcome.micros(0.99),
        outcome.micros(0.999),
        outcome.bad
    );
}

fn main() {
    seam_http::start_workers(4);
    seam_http::block_on(async {
        let mut bundle = hamutenya();
        for customer in bundle.customers.values_mut() {
            customer.concurrency = 4096;
            customer.rate = 1_000_000;
        }
        for service in bundle.services.values_mut() {
            service.once.clear();
            for target in service.targets.values_mut() {
                target.slots = 512;
            }
        }
        let paces = Paces {
            plain: Duration::ZERO,
            ..Paces::default()
        };
        let fleet = Fleet::start(bundle, paces);
        fleet.settled().await;
        let target = &fleet.plains[&TargetId::of("booking-desk-khomas-1")];
        let node = fleet.bundle.customers[&CustomerId::of("salon-windhoek")].home;
        assert!(node.is_some());
        println!("| path | answers/s | p50 µs | p99 µs | p99.9 µs | failed |");
        println!("| --- | --- | --- | --- | --- | --- |");
        let mut ratios = Vec::new();
        for _ in 0..ROUNDS {
            let direct = run(&load(
                Caller::new(target.address(), WINDHOEK),
                Method::PUT,
                "/slots",
            ))
            .await;
            let caller = Caller::new(fleet.caller("khomas-1"), WINDHOEK);
            let path = "/booking-desk/slots";
            let through = run(&load(caller.clone(), Method::PUT, path)).await;
            let post = run(&load(caller, Method::POST, path)).await;
            print_row("direct", &direct);
            print_row("through one node", &through);
            print_row("the same, not to be repeated", &post);
            ratios.push((
                through.rate() / direct.rate(),
                through.micros(0.5) as f64 / direct.micros(0.5) as f64,
                through.micros(0.99) as f64 / direct.micros(0.99) as f64,
            ));
        }
        let status = fleet.node("khomas-1").hub().read(seam_core::Node::status);
        println!(
            "\n{} ejections, {} retries, {} sent away",
            status.counters.ejections, status.counters.retries, status.counters.sent_away
        );
        ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (rate, p50, p99) = ratios[ROUNDS / 2];
        println!(
            "\nmedian of {ROUNDS} pairs, through over direct: rate {rate:.2}, p50 {p50:.2}, p99 {p99:.2}"
        );
    });
}
