//! Crashes that come faster than nodes can tell each other of all that ran beside them.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::poison::{CrashRuns, PoisonTable, SuspectReport};
use seam_protocol::{Fingerprint, TargetId, Time, VmId};
use yare::parameterized;

const NODES: usize = 90;
const TARGETS: u32 = 60;
const STEP: Duration = Duration::from_millis(100);
/// Steps between two heartbeats of a node.
const HEARTBEAT_STEPS: usize = 4;
/// Entries of a heartbeat.
const MAX_ENTRIES: usize = 4;
/// Entries of a report to a node with another quarantine.
const MAX_REPORT: usize = 24;
/// Seeds that are played of each case.
const SEEDS: std::ops::Range<u64> = 1..30;
const CULPRIT: Fingerprint = Fingerprint(7);

/// How much a crash leaves to tell, and to how many.
#[derive(Clone, Copy)]
struct Load {
    /// Receivers of a node's heartbeat, and of its news of a crash.
    receivers: usize,
    /// Nodes with requests at a target that crashes.
    beside: usize,
    /// Different parts of sound prompts.
    sound_parts: u64,
}

struct Storm {
    load: Load,
    tables: Vec<PoisonTable>,
    rng: Pcg64Mcg,
    now: Time,
    next_request: u64,
}

impl Storm {
    fn new(load: Load, seed: u64) -> Self {
        Self {
            load,
            tables: vec![PoisonTable::default(); NODES],
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Time(0) + Duration::from_secs(100),
            next_request: 1000,
        }
    }

    fn sound_part(&mut self) -> Fingerprint {
        Fingerprint(100 + self.rng.random_range(0..self.load.sound_parts))
    }

    /// Sends heartbeats of a node. Receivers with another quarantine report theirs.
    fn tell(&mut self, node: usize) {
        let now = self.now;
        for _ in 0..self.load.receivers {
            let to = self.rng.random_range(0..NODES);
            let updates = self.tables[node].take_updates(now, MAX_ENTRIES);
            merge(&mut self.tables[to], now, updates);
            if self.tables[to].digest() != self.tables[node].digest() {
                let sender = VmId(node as u32);
                let candidates = self.tables[to].take_candidates(now, sender, MAX_REPORT);
                merge(&mut self.tables[node], now, candidates);
            }
        }
    }

    /// Crashes a target under the culprit, unless its node refuses it.
    fn crash(&mut self) {
        let culprit = self.rng.random_range(0..NODES);
        if self.tables[culprit].quarantined(CULPRIT) {
            return;
        }
        let target = TargetId(self.rng.random_range(0..TARGETS));
        for index in 0..=self.load.beside {
            let node = if index == 0 {
                culprit
            } else {
                self.rng.random_range(0..NODES)
            };
            let mut ran = CrashRuns::default();
            for _ in 0..2 {
                self.next_request += 1;
                let request = Fingerprint(self.next_request);
                ran.requests.insert(request, Duration::from_millis(300));
                ran.parts.insert(self.sound_part(), 1);
            }
            if index == 0 {
                ran.parts.insert(CULPRIT, 2);
            }
            self.tables[node].record_crash(self.now, target, &ran);
            self.tell(node);
        }
    }

    /// Answers prompts at other targets.
    fn answer(&mut self) {
        const ANSWERS: usize = 20;
        for _ in 0..ANSWERS {
            let node = self.rng.random_range(0..NODES);
            let part = self.sound_part();
            if !self.tables[node].quarantined(part) {
                self.tables[node].record_answer(part, self.now);
            }
        }
    }

    fn run(&mut self, steps: usize, crashes: bool) {
        for step in 0..steps {
            self.now = self.now + STEP;
            if crashes {
                self.crash();
            }
            self.answer();
            for node in 0..NODES {
                if (step + node) % HEARTBEAT_STEPS == 0 {
                    self.tell(node);
                }
            }
        }
    }
}

fn merge(table: &mut PoisonTable, now: Time, reports: Vec<SuspectReport>) {
    for report in reports {
        match report {
            SuspectReport::Request(suspect, crashes) => {
                table.merge_suspect(now, suspect, Some(&crashes));
            }
            SuspectReport::Part(part) => {
                table.merge_part(now, &part);
            }
        }
    }
}

/// Guards against the news of a part that drowns among those of requests and parts beside it, and
/// against sound parts that are refused because the crashes of the storm are not all known.
#[parameterized(
    many_parts = { Load { receivers: 1, beside: 40, sound_parts: 2000 } },
    shared_parts = { Load { receivers: 2, beside: 30, sound_parts: 100 } },
    many_receivers = { Load { receivers: 4, beside: 15, sound_parts: 432 } },
)]
fn culprit_stands_out(load: Load) {
    for seed in SEEDS {
        let mut storm = Storm::new(load, seed);
        storm.run(60, true);
        let tables = storm.tables.iter();
        let found = tables.filter(|table| table.quarantined(CULPRIT)).count();
        assert_eq!(found, NODES, "seed {seed}");
        storm.run(30, false);
        let others: usize = storm
            .tables
            .iter()
            .map(|table| table.quarantine().filter(|part| *part != CULPRIT).count())
            .sum();
        assert_eq!(others, 0, "seed {seed}");
    }
}
