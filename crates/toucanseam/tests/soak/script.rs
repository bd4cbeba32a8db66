//! Random faults, some of which overlap, generated from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::proxy::Mode;
use super::target::TargetFault;

/// Timeout of every route around planned work.
pub const PLANNED_TIMEOUT: Duration = Duration::from_secs(5);

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
    /// A sound target says nothing for a while.
    Silence(usize),
}

/// The kind of a seed's faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Script {
    /// Trouble of every kind.
    Trouble,
    /// Planned work and short silences of sound targets, neither of which excuses anything.
    Planned,
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

fn planned_fault(rng: &mut Pcg64Mcg, nodes: usize, targets: usize) -> Fault {
    match rng.random_range(0..8) {
        0 => Fault::Roll(rng.random_range(0..nodes)),
        1 => Fault::Reload(rng.random_range(0..nodes)),
        2 => Fault::Leave(rng.random_range(0..targets)),
        _ => Fault::Configure,
    }
}

impl Script {
    /// Returns the time budget of callers' requests.
    pub fn budget(self) -> Duration {
        match self {
            Self::Trouble => Duration::from_secs(3),
            Self::Planned => PLANNED_TIMEOUT,
        }
    }

    /// Returns what the target adds to the answer of a view, more than a node buffers.
    pub fn view_filler(self) -> String {
        match self {
            Self::Trouble => String::new(),
            Self::Planned => "-".repeat(80 << 10),
        }
    }

    /// Returns the interval between two events of a stream.
    pub fn event_interval(self) -> Duration {
        match self {
            Self::Trouble => Duration::from_millis(20),
            Self::Planned => Duration::from_millis(150),
        }
    }
}

/// Generates planned work of a seed, and silences of all targets that overlap with it, in the order of
/// their starts.
pub fn generate_planned(seed: u64, nodes: usize, targets: usize, length: Duration) -> Vec<Entry> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut entries = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        entries.push(Entry {
            at,
            lasts: Duration::ZERO,
            fault: planned_fault(&mut rng, nodes, targets),
        });
        at += Duration::from_millis(rng.random_range(50..1200));
    }
    for target in 0..targets {
        let mut at = Duration::from_millis(rng.random_range(200..3000));
        while at < length {
            for _ in 0..rng.random_range(1..4) {
                let lasts = Duration::from_millis(rng.random_range(1000..1500));
                let fault = Fault::Silence(target);
                entries.push(Entry { at, lasts, fault });
                at += lasts + Duration::from_millis(rng.random_range(20..300));
            }
            at += Duration::from_millis(rng.random_range(500..4000));
        }
    }
    entries.sort_by_key(|entry| entry.at);
    entries
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
