//! Nodes of a large region that lag together.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, NORTH, config, item, settled_fleet};
use seam_core::Event;
use seam_protocol::Time;

/// Nodes of the largest region.
const NODE_COUNT: usize = 60;
/// Time within which a confirmed version is in force at nodes in touch (`configApplyMs`).
const APPLY_TIME: Duration = Duration::from_secs(4);
/// Interval at which nodes look whether they should read the platform.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a read of the platform takes.
const READ_TIME: Duration = Duration::from_millis(200);
const REVISION: u64 = 60;

/// A region that has heard of a new version from a node that sends no items.
struct Region {
    fleet: Fleet,
    /// Nodes that watch the platform, and no longer hear from it.
    deaf: Vec<usize>,
    /// Reads of the platform by the others.
    reads: Vec<(Time, usize)>,
}

impl Region {
    fn start() -> Self {
        let mut fleet = settled_fleet(&[NORTH; NODE_COUNT], &[]);
        for index in 0..NODE_COUNT {
            fleet.handle(index, Event::PlatformUnreachable(false));
        }
        fleet.wait(Duration::from_secs(2));
        let watches = |index: &usize| fleet.nodes[*index].watches_platform(fleet.now);
        let deaf: Vec<usize> = (0..NODE_COUNT).filter(watches).collect();
        assert_eq!(deaf.len(), 2);
        Self {
            fleet,
            deaf,
            reads: Vec::new(),
        }
    }

    fn read(&mut self, index: usize) {
        let items = vec![item("config", REVISION, Some(config(8)))];
        self.fleet.publish(index, items, REVISION);
    }

    /// Lets the nodes that should read the platform do so, for the time in which a version must be in force.
    fn play(&mut self) {
        let first = (0..NODE_COUNT).find(|index| !self.deaf.contains(index));
        let first = first.expect("some nodes do not watch");
        self.fleet.refusing_sources = [first].into();
        self.read(first);
        let end = self.fleet.now + APPLY_TIME;
        while self.fleet.now < end {
            for index in self.due() {
                self.reads.push((self.fleet.now, index));
            }
            let now = self.fleet.now;
            let ended = |(at, _): &&(Time, usize)| now.since(*at) >= READ_TIME;
            let ended: Vec<usize> = self.reads.iter().filter(ended).map(|read| read.1).collect();
            for index in ended {
                if self.fleet.nodes[index].items_revision() < REVISION {
                    self.read(index);
                }
            }
            self.fleet.wait(Duration::from_millis(50));
        }
    }

    /// Returns the nodes that should begin to read the platform now, and would hear from it.
    fn due(&self) -> Vec<usize> {
        let due = |index: &usize| {
            let node = &self.fleet.nodes[*index];
            let watches = node.watches_platform(self.fleet.now) && !self.deaf.contains(index);
            let reads = self.reads.iter().any(|(_, reader)| reader == index);
            watches && !reads && node.items_revision() < REVISION
        };
        (0..NODE_COUNT).filter(due).collect()
    }

    /// Returns the nodes that do not have the version.
    fn behind(&self) -> Vec<usize> {
        let behind = |index: &usize| self.fleet.nodes[*index].items_revision() < REVISION;
        (0..NODE_COUNT).filter(behind).collect()
    }
}

/// Guards against a region whose nodes all read the platform at once, although the first of them could send
/// the items to the others.
#[test]
fn few_read() {
    let mut region = Region::start();
    region.play();
    assert_eq!(region.behind(), [0; 0]);
    let reads = region.reads.len();
    assert!(reads <= NODE_COUNT / 10, "{reads} reads");
}

/// Guards against a region whose nodes all read the platform at the same moment, as none can send the items
/// to another one.
#[test]
fn reads_spread() {
    let mut region = Region::start();
    region.fleet.fetches_fail = true;
    region.play();
    assert_eq!(region.behind(), region.deaf);
    let times: Vec<Time> = region.reads.iter().map(|(at, _)| *at).collect();
    let together = |start: &Time| {
        let span = |at: &&Time| **at >= *start && at.since(*start) < CHECK_INTERVAL;
        times.iter().filter(span).count()
    };
    let most = times.iter().map(together).max().unwrap_or(0);
    // A quarter of the nodes in a quarter of a second, and one turn.
    assert!(most <= NODE_COUNT / 4 + 2, "{most} reads");
}
