//! What happens in a day.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::soak::proxy::Mode;

/// A phase of a day. Each that disturbs publishes versions meanwhile and at its end.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// One version.
    Change,
    /// Versions one after the other.
    Storm { versions: usize, pause: Duration },
    /// All nodes are killed and started again after versions and a pause.
    Kill { versions: usize, pause: Duration },
    /// All nodes stop as planned at once and start again after a version and a pause.
    Stop { pause: Duration },
    /// The nodes stop as planned and start again one after the other.
    Roll,
    /// Nodes stand still.
    Pause { nodes: Vec<usize>, time: Duration },
    /// The store refuses or leaves unanswered all calls, and perhaps drops its history.
    Away {
        silent: bool,
        compact: bool,
        time: Duration,
    },
    /// The process of the store is away, and perhaps comes back without its history.
    Restart { compact: bool, time: Duration },
    /// The process of the store is away and comes back from a copy that was made before versions, or with its
    /// items but with the counter of revisions of that time. The operator and the targets write again.
    Rollback {
        items: bool,
        versions: usize,
        pause: Duration,
        time: Duration,
    },
    /// The store drops its history.
    Compact,
    /// The connections of nodes to the store have another mode.
    Cut {
        nodes: Vec<usize>,
        mode: Mode,
        time: Duration,
    },
    /// Calls to the store that wait stay unanswered for good.
    Abandon,
    /// Answers of the store to waiting watches lack their last change.
    Lack { versions: usize, pause: Duration },
    /// Open connections to the store, between nodes, or both stay silent for good. Versions follow at once,
    /// unless it is calm, and later.
    Sever {
        store: bool,
        links: bool,
        calm: bool,
    },
    /// The store serves a few calls each second only, and refuses the others. All nodes are killed and
    /// started again beside versions.
    Limit {
        calls: usize,
        versions: usize,
        pause: Duration,
    },
    /// The links between nodes are cut.
    Split { mode: Mode, time: Duration },
}

/// Kinds of a day. `rewind` and `restore` are played only if they are named.
pub const KINDS: [&str; 16] = [
    "change", "storm", "kill", "stop", "roll", "pause", "away", "compact", "cut", "abandon",
    "lack", "sever", "limit", "split", "restart", "forget",
];

/// Returns the phases of a day: a few of each of the kinds, in random order.
pub fn phases(seed: u64, kinds: &[&str], rounds: usize, nodes: usize) -> Vec<Phase> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut phases = Vec::new();
    for _ in 0..rounds {
        let mut kinds = kinds.to_vec();
        kinds.shuffle(&mut rng);
        phases.extend(kinds.iter().map(|kind| phase(&mut rng, kind, nodes)));
    }
    phases
}

fn time(rng: &mut Pcg64Mcg, milliseconds: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(milliseconds))
}

fn some(rng: &mut Pcg64Mcg, nodes: usize) -> Vec<usize> {
    let part = rng.random_range(0.1..1.0);
    let mut some: Vec<_> = (0..nodes).filter(|_| rng.random_bool(part)).collect();
    if some.is_empty() {
        some.push(rng.random_range(0..nodes));
    }
    some
}

fn phase(rng: &mut Pcg64Mcg, kind: &str, nodes: usize) -> Phase {
    match kind {
        "change" => Phase::Change,
        "storm" => Phase::Storm {
            versions: rng.random_range(4..=25),
            pause: time(rng, 60..330),
        },
        "stop" => Phase::Stop {
            pause: time(rng, 0..400),
        },
        "kill" => Phase::Kill {
            versions: rng.random_range(1..=6),
            pause: time(rng, 0..400),
        },
        "roll" => Phase::Roll,
        "pause" => Phase::Pause {
            nodes: some(rng, nodes),
            time: time(rng, 500..3000),
        },
        "away" => Phase::Away {
            silent: rng.random_bool(0.5),
            compact: rng.random_bool(0.5),
            time: time(rng, 500..8000),
        },
        "restart" | "forget" => Phase::Restart {
            compact: kind == "forget",
            time: time(rng, 500..5000),
        },
        "rewind" | "restore" => Phase::Rollback {
            items: kind == "rewind",
            versions: rng.random_range(2..=8),
            pause: time(rng, 200..1000),
            time: time(rng, 500..5000),
        },
        "compact" => Phase::Compact,
        "cut" => Phase::Cut {
            nodes: some(rng, nodes),
            mode: match rng.random_range(0..6) {
                0 => Mode::Silent,
                1 => Mode::OneWay,
                2 => Mode::Reset,
                3 => Mode::Refuse(503),
                4 => Mode::Refuse(429),
                _ => Mode::Delay(time(rng, 300..1500)),
            },
            time: time(rng, 1000..9000),
        },
        "abandon" => Phase::Abandon,
        "lack" => Phase::Lack {
            versions: rng.random_range(1..=6),
            pause: time(rng, 60..800),
        },
        "sever" => {
            let links = rng.random_bool(0.7);
            let store = !links || rng.random_bool(0.5);
            Phase::Sever {
                store,
                links,
                calm: rng.random_bool(0.5),
            }
        }
        "limit" => Phase::Limit {
            calls: rng.random_range(3..20),
            versions: rng.random_range(4..=25),
            pause: time(rng, 60..330),
        },
        "split" => Phase::Split {
            mode: match rng.random_range(0..3) {
                0 => Mode::Silent,
                1 => Mode::Reset,
                _ => Mode::OneWay,
            },
            time: time(rng, 500..6000),
        },
        _ => panic!("no phase {kind}"),
    }
}
