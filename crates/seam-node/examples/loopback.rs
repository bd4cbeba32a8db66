//! Compares the latency and throughput of requests through one node with direct requests to the
//! same target.

use std::time::Duration;

use http::Method;
use seam_emulator::Caller;
use seam_emulator::TargetConfig;
use seam_emulator::load::{LoadConfig, LoadResult, run};
use seam_fleet::{Fleet, WINDHOEK_TOKEN, example_deployment};
use seam_protocol::{CustomerId, TargetId};

const CONNECTIONS: usize = 8;
const REQUESTS: usize = 1500;
const ROUNDS: usize = 5;

fn load(caller: Caller, method: Method, path: &str) -> LoadConfig {
    LoadConfig {
        caller,
        method,
        path: path.to_owned(),
        body: "x".repeat(200),
        connections: CONNECTIONS,
        requests: REQUESTS,
    }
}

fn print_row(name: &str, outcome: &LoadResult) {
    println!(
        "| {name} | {:.0} | {} | {} | {} | {} |",
        outcome.throughput(),
        outcome.latency_micros(0.5),
        outcome.latency_micros(0.99),
        outcome.latency_micros(0.999),
        outcome.failed
    );
}

fn main() {
    seam_http::start_workers(4);
    seam_http::block_on(async {
        let mut bundle = example_deployment();
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
        let target_config = TargetConfig {
            plain_delay: Duration::ZERO,
            ..TargetConfig::default()
        };
        let fleet = Fleet::start(bundle, target_config);
        fleet.wait_ready().await;
        let target = &fleet.plain_services[&TargetId::of("booking-desk-khomas-1")];
        let node = fleet.bundle.customers[&CustomerId::of("salon-windhoek")].home;
        assert!(node.is_some());
        println!("| path | responses/s | p50 µs | p99 µs | p99.9 µs | failed |");
        println!("| --- | --- | --- | --- | --- | --- |");
        let mut ratios = Vec::new();
        for _ in 0..ROUNDS {
            let direct = run(&load(
                Caller::new(target.address(), WINDHOEK_TOKEN),
                Method::PUT,
                "/slots",
            ))
            .await;
            let caller = Caller::new(fleet.caller_address("khomas-1"), WINDHOEK_TOKEN);
            let path = "/booking-desk/slots";
            let through = run(&load(caller.clone(), Method::PUT, path)).await;
            let post = run(&load(caller, Method::POST, path)).await;
            print_row("direct", &direct);
            print_row("through one node", &through);
            print_row("through one node, not repeatable", &post);
            ratios.push((
                through.throughput() / direct.throughput(),
                through.latency_micros(0.5) as f64 / direct.latency_micros(0.5) as f64,
                through.latency_micros(0.99) as f64 / direct.latency_micros(0.99) as f64,
            ));
        }
        let status = fleet
            .node("khomas-1")
            .runtime()
            .read(seam_core::Node::status);
        println!(
            "\n{} ejections, {} retries, {} sent to other regions",
            status.counters.ejections, status.counters.retries, status.counters.sent_away
        );
        ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (rate, p50, p99) = ratios[ROUNDS / 2];
        println!(
            "\nmedian ratios of {ROUNDS} rounds, through one node to direct: rate {rate:.2}, p50 {p50:.2}, p99 {p99:.2}"
        );
    });
}
