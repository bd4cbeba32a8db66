//! Kinds of requests that compete for the same engines, which are too few for a time.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/engines.rs"]
mod engines;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use engines::{Engines, in_time};
use fleet::{ENGINE, NORTH, arrival, prompt, settled_fleet};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::Arrival;
use seam_core::prompt::Part;

/// Objective of the most urgent kind, and of the least urgent one.
const OBJECTIVES: [Duration; 3] = [
    Duration::from_millis(800),
    Duration::from_millis(1500),
    Duration::from_secs(3),
];
const NODES: usize = 6;

/// Returns a request of a kind, and the number of its prompt tokens that no engine has cached.
fn request(ticket: u64, kind: u8) -> (Arrival, u32) {
    let mut request = arrival(ticket, "review", ENGINE, 1);
    let (input, output, uncached) = if kind == 0 {
        (9200, 54, 2900)
    } else {
        (830, 294, 830)
    };
    let mut own = prompt(70 + ticket % 8, 1000 + ticket);
    let changed = std::sync::Arc::make_mut(&mut own);
    changed.output_limit = output;
    changed.input_tokens = input;
    if kind == 0 {
        changed.parts[2].tokens = uncached;
    } else {
        changed.parts = vec![Part {
            id: 1000 + ticket,
            tokens: input,
        }];
    }
    request.prompt = Some(own);
    request.budget = Duration::from_secs(12);
    let rules = request.route.as_mut().unwrap();
    rules.kind = kind;
    rules.objective = OBJECTIVES[usize::from(kind)];
    (request, uncached)
}

/// Requests a second of each kind that arrive at random nodes.
struct Load {
    rates: [f64; 3],
    rng: Pcg64Mcg,
    ticket: u64,
}

impl Load {
    fn arrive(&mut self, engines: &mut Engines) {
        for kind in 0..3 {
            let expected = self.rates[usize::from(kind)] * 0.005;
            if self.rng.random_bool(expected) {
                self.ticket += 1;
                let (request, uncached) = request(self.ticket, kind);
                let node = self.rng.random_range(0..NODES);
                engines.arrive(node, request, uncached);
            }
        }
    }
}

/// Two engines, and a load that begins with what they serve easily.
fn warm_engines() -> (Engines, Load) {
    let targets = [("e1", ENGINE, NORTH), ("e2", ENGINE, NORTH)];
    let mut engines = Engines::new(settled_fleet(&[NORTH; NODES], &targets));
    let mut load = Load {
        rates: [5.0, 0.0, 10.0],
        rng: Pcg64Mcg::seed_from_u64(5),
        ticket: 0,
    };
    engines.run(Duration::from_secs(10), |engines| load.arrive(engines));
    (engines, load)
}

#[test]
fn urgent_first() {
    // Least urgent requests ask for half as many slots again as there are, as on the heaviest day,
    // when a third of the most urgent kind was refused and none of the least urgent one.
    let (mut engines, mut load) = warm_engines();
    let begin = engines.fleet.now;
    load.rates = [20.0, 0.0, 70.0];
    engines.run(Duration::from_secs(20), |engines| load.arrive(engines));
    let end = engines.fleet.now;
    engines.run(Duration::from_secs(8), |_| {});
    let [urgent, other] = [0, 2].map(|kind| {
        let samples = engines.of(kind, begin, end);
        in_time(&samples, OBJECTIVES[usize::from(kind)])
    });
    assert!(urgent >= 0.95, "in time: {urgent}");
    assert!(other >= 0.45, "in time: {other}");
}
