//! Random faults, some of which overlap, generated from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::proxy::Mode;
use super::target::TargetFault;

/// A fault, with the indexes of the nodes and targets that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    KillNode(usize),
    KillAll,
    /// SIGTERM, and a new start once the process has ended.
    Roll(usize),
    Pause(usize),
    Store {
        node: usize,
        mode: Mode,
    },
    StoreDown,
    Target {
        target: usize,
        mode: Mode,
    },
    Turns {
        target: usize,
        turn: TargetFault,
        count: usize,
    },
    /// The target announces that it leaves, then its item is removed.
    Leave(usize),
    Configure,
    Compact,
    ResetCallers,
    Reload(usize),
}

/// A fault, with its start relative to the start of the script, and its duration.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

fn random_mode(rng: &mut Pcg64Mcg) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Delay(Duration::from_millis(rng.random_range(20..300))),
        1 => Mode::Silent,
        2 => Mode::OneWay,
        _ => Mode::Reset,
    }
}

fn random_fault(rng: &mut Pcg64Mcg, nodes: usize, targets: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let target = rng.random_range(0..targets);
    match rng.random_range(0..16) {
        0 | 1 => Fault::KillNode(node),
        2 => Fault::KillAll,
        3 | 4 => Fault::Roll(node),
        5 => Fault::Pause(node),
        6 | 7 => Fault::Store {
            node,
            mode: random_mode(rng),
        },
        8 => Fault::StoreDown,
        9 | 10 => Fault::Target {
            target,
            mode: random_mode(rng),
        },
        11 => {
            let choices = [TargetFault::Full, TargetFault::Lost, TargetFault::Cut];
            Fault::Turns {
                target,
                turn: choices[rng.random_range(0..choices.len())],
                count: rng.random_range(1..6),
            }
        }
        12 => Fault::Leave(target),
        13 => Fault::Configure,
        14 => Fault::Compact,
        _ if rng.random_range(0..2) == 0 => Fault::ResetCallers,
        _ => Fault::Reload(node),
    }
}

/// Generates the faults of a seed, in the order of their starts.
pub fn generate_faults(seed: u64, nodes: usize, targets: usize, length: Duration) -> Vec<Entry> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut at = Duration::from_millis(500);
    let mut entries = Vec::new();
    while at < length {
        entries.push(Entry {
            at,
            lasts: Duration::from_millis(rng.random_range(200..2500)),
            fault: random_fault(&mut rng, nodes, targets),
        });
        at += Duration::from_millis(rng.random_range(100..1500));
    }
    entries
}
