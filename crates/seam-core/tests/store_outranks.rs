//! What the store says now outranks what nodes remember.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{ENGINE, Fleet, NORTH, SOUTH, config, item, listed};
use seam_core::store_call::StoreChange;
use seam_core::{Command, Event, ItemBatch, StoreCall, StoreScope};
use seam_protocol::Entry;

/// The store: its items and its counter.
#[derive(Clone, Default)]
struct Store {
    items: Vec<(String, u64, Entry)>,
    revision: u64,
}

impl Store {
    fn put(&mut self, key: &str, entry: Entry) -> u64 {
        self.revision += 1;
        self.items.retain(|(known, ..)| known != key);
        self.items.push((key.to_owned(), self.revision, entry));
        self.revision
    }

    fn list(&self) -> ItemBatch {
        let items = self.items.iter();
        let items = items.map(|(key, revision, entry)| item(key, *revision, Some(entry.clone())));
        ItemBatch {
            items: items.collect(),
            revision: self.revision,
            full: true,
        }
    }

    /// Answers a call.
    fn answer(&self, fleet: &mut Fleet, index: usize, asked: (StoreScope, StoreCall)) {
        let mut batch = self.list();
        if asked.0 == StoreScope::Config {
            batch
                .items
                .retain(|published| published.item.key == "config");
            (batch.revision, batch.full) = (0, false);
        }
        fleet.answer(index, asked, batch, Some(self.revision));
    }

    /// Lets time pass, in which nodes read the store as it is due, each answered at once.
    fn serve(&self, fleet: &mut Fleet, readers: &[usize], span: Duration) {
        let end = fleet.now + span;
        while fleet.now < end {
            fleet.wait(Duration::from_millis(250));
            for index in readers {
                let now = fleet.now;
                if let Some(asked) = fleet.nodes[*index].due_read(now) {
                    self.answer(fleet, *index, asked);
                }
            }
        }
    }

    /// Has a node read all items, as it does at its start.
    fn start(&self, fleet: &mut Fleet, index: usize) {
        let now = fleet.now;
        let call = fleet.nodes[index].begin_store_call(now);
        fleet.handle(index, Event::PlatformUnreachable(false));
        self.answer(fleet, index, (StoreScope::All, call));
    }
}

/// Nodes of two regions that read the store at their start.
fn started(readers: &[usize]) -> (Fleet, Store) {
    let mut fleet = Fleet::new(&[NORTH, NORTH, SOUTH, SOUTH]);
    let mut store = Store::default();
    store.put("config", config(5));
    store.put("e-north", listed("e-north", ENGINE, NORTH, false, 0));
    for index in readers {
        store.start(&mut fleet, *index);
    }
    fleet.wait(Duration::from_secs(2));
    (fleet, store)
}

fn versions(fleet: &Fleet) -> Vec<u64> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| node.config_version().revision).collect()
}

fn epochs(fleet: &Fleet) -> Vec<u32> {
    let nodes = fleet.nodes.iter();
    nodes.map(seam_core::Node::items_epoch).collect()
}

fn contradictions(fleet: &Fleet) -> usize {
    let log = fleet.commands.iter();
    log.filter(|(_, command)| matches!(command, Command::LogStore(StoreChange::Contradicted(_))))
        .count()
}

const ALL: [usize; 4] = [0, 1, 2, 3];
/// The time within which a configuration must be in force.
const LIMIT: Duration = Duration::from_secs(4);

/// Guards against a later version that no node takes, since one event had a revision above the counter.
#[test]
fn garbled_event() {
    let (mut fleet, mut store) = started(&ALL);
    fleet.publish(0, vec![item("config", 1000, Some(config(5)))], 1000);
    fleet.wait(Duration::from_secs(1));
    store.put("config", config(6));
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [6; 4]);
    let revisions = fleet.nodes.iter().map(seam_core::Node::items_revision);
    assert_eq!(revisions.collect::<Vec<_>>(), [3; 4]);
}

/// Guards against a fleet that waits for a counter which one node was told wrongly.
#[test]
fn claim_above_counter() {
    let (mut fleet, mut store) = started(&ALL);
    fleet.publish(1, Vec::new(), 51);
    fleet.wait(Duration::from_secs(1));
    store.put("config", config(6));
    store.put("e-late", listed("e-late", ENGINE, NORTH, false, 0));
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [6; 4]);
    for node in &fleet.nodes {
        assert_eq!(node.items_revision(), 4);
        assert_eq!(node.items_since(0).items.len(), 3);
    }
}

/// Guards against nodes that return to an older version at once as the store counts on from an older point, or
/// keep for good what it has no more.
#[test]
fn counter_and_data_back() {
    let (mut fleet, earlier) = started(&ALL);
    let mut store = earlier.clone();
    for version in 6..9 {
        store.put("config", config(version));
        store.put("e-gone", listed("e-gone", ENGINE, SOUTH, false, 0));
    }
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [8; 4]);
    let mut store = earlier;
    // The operator may write again what was lost.
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [8; 4]);
    store.serve(&mut fleet, &ALL, Duration::from_secs(10));
    assert_eq!(versions(&fleet), [5; 4]);
    store.put("config", config(9));
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [9; 4]);
    for node in &fleet.nodes {
        let items = node.items_since(0).items;
        assert!(items.iter().all(|item| item.key != "e-gone"), "{items:?}");
    }
}

/// Guards against an older version that comes back through an answer which was late.
#[test]
fn late_answer() {
    let (mut fleet, mut store) = started(&[0]);
    let now = fleet.now;
    let earlier = store.clone();
    let call = fleet.nodes[0].begin_store_call(now);
    fleet.wait(Duration::from_millis(100));
    let revision = store.put("config", config(6));
    fleet.publish(0, vec![item("config", revision, Some(config(6)))], revision);
    for scope in [StoreScope::Config, StoreScope::All, StoreScope::Changes] {
        fleet.wait(Duration::from_millis(100));
        earlier.answer(&mut fleet, 0, (scope, call));
        assert_eq!(versions(&fleet), [6; 4]);
    }
    assert_eq!(contradictions(&fleet), 0);
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [6; 4]);
    assert_eq!(epochs(&fleet), [0; 4]);
}

/// Guards against one garbled answer that takes a configuration out of force.
#[test]
fn unconfirmed_contradiction() {
    let (mut fleet, store) = started(&ALL);
    let now = fleet.now;
    let call = fleet.nodes[0].begin_store_call(now);
    fleet.answer(
        0,
        (StoreScope::Changes, call),
        ItemBatch::default(),
        Some(1),
    );
    assert_eq!(contradictions(&fleet), 1);
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [5; 4]);
    assert_eq!(epochs(&fleet), [0; 4]);
}

/// Guards against corrected nodes that take wrong items from one that was not corrected yet.
#[test]
fn peer_in_lower_epoch() {
    let (mut fleet, mut store) = started(&ALL);
    fleet.publish(0, vec![item("config", 1000, Some(config(40)))], 1000);
    fleet.wait(Duration::from_secs(1));
    assert_eq!(versions(&fleet), [40; 4]);
    // The third does not hear from the others while they are corrected.
    fleet.down[3] = true;
    store.put("config", config(6));
    store.serve(&mut fleet, &[0, 1, 2], LIMIT);
    assert_eq!(versions(&fleet)[..3], [6; 3]);
    fleet.down[3] = false;
    fleet.handle(3, Event::PlatformUnreachable(true));
    fleet.wait(Duration::from_secs(2));
    assert_eq!(versions(&fleet), [6; 4]);
    assert!(fleet.nodes[0].items_revision() < 1000);
}

/// Guards against nodes without a path to the store that stay ahead of it.
#[test]
fn follows_higher_epoch() {
    let (mut fleet, mut store) = started(&[0]);
    fleet.publish(0, vec![item("config", 1000, Some(config(5)))], 1000);
    fleet.wait(Duration::from_secs(1));
    store.put("config", config(6));
    store.serve(&mut fleet, &[0], LIMIT);
    assert_eq!(versions(&fleet), [6; 4]);
    assert_eq!(epochs(&fleet), [1; 4]);
    let confirmed = fleet.nodes.iter();
    let confirmed = confirmed.map(|node| node.config_confirmed(fleet.now).is_some());
    assert_eq!(confirmed.collect::<Vec<_>>(), [true, false, false, false]);
}

/// Guards against epochs that rise without end, since several nodes notice at once.
#[test]
fn noticed_at_once() {
    let (mut fleet, mut store) = started(&ALL);
    fleet.publish(0, Vec::new(), 1000);
    fleet.wait(Duration::from_secs(1));
    store.put("config", config(6));
    // No heartbeat passes until two nodes are corrected.
    fleet.heartbeats_held = true;
    store.serve(&mut fleet, &[0, 2], LIMIT);
    assert_eq!(epochs(&fleet)[0], 1);
    assert_eq!(epochs(&fleet)[2], 1);
    fleet.heartbeats_held = false;
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [6; 4]);
    assert_eq!(epochs(&fleet), [1; 4]);
}

/// Guards against a node that starts among corrected ones and takes part in no epoch.
#[test]
fn started_later() {
    let (mut fleet, mut store) = started(&ALL);
    fleet.publish(0, Vec::new(), 1000);
    store.put("config", config(6));
    store.serve(&mut fleet, &ALL, LIMIT);
    fleet.restart(3);
    fleet.wait(Duration::from_secs(2));
    assert_eq!(versions(&fleet), [6; 4]);
    assert_eq!(epochs(&fleet), [1; 4]);
}

/// Guards against a version that the store has and that is known, but was not taken.
#[test]
fn lower_version() {
    let (mut fleet, mut store) = started(&ALL);
    let revision = store.put("config", config(3));
    fleet.publish(0, vec![item("config", revision, Some(config(3)))], revision);
    fleet.wait(Duration::from_secs(1));
    assert_eq!(versions(&fleet), [5; 4]);
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [3; 4]);
    assert_eq!(epochs(&fleet), [0; 4]);
}

/// Guards against a node that says it reaches the store while no call is answered.
#[test]
fn silent_store() {
    let (mut fleet, store) = started(&ALL);
    let now = fleet.now;
    fleet.nodes[0].begin_store_call(now);
    fleet.wait(LIMIT + Duration::from_secs(1));
    assert!(!fleet.nodes[0].status(fleet.now).platform);
    store.serve(&mut fleet, &[0], LIMIT);
    assert!(fleet.nodes[0].status(fleet.now).platform);
}

/// Guards against a figure that says the configuration is confirmed while the store shows another one.
#[test]
fn confirmation_age() {
    let (mut fleet, mut store) = started(&ALL);
    store.serve(&mut fleet, &ALL, LIMIT);
    let status = fleet.nodes[0].status(fleet.now).config;
    assert!(status.confirmed_age_ms.unwrap() <= 2250, "{status:?}");
    assert_eq!((status.store_revision, status.epoch), (Some(2), 0));
    store.items.retain(|(key, ..)| key != "config");
    store.serve(&mut fleet, &ALL, LIMIT);
    assert_eq!(versions(&fleet), [5; 4]);
    assert!(fleet.nodes[0].config_confirmed(fleet.now).unwrap() > Duration::from_secs(3));
}

/// Guards against every node of a large region that reads the store at once, since a version has just been taken.
#[test]
fn large_region() {
    let mut fleet = Fleet::new(&[NORTH; 12]);
    let mut store = Store::default();
    store.put("config", config(5));
    for index in 0..12 {
        store.start(&mut fleet, index);
    }
    fleet.wait(Duration::from_secs(2));
    let revision = store.put("config", config(6));
    fleet.publish(0, vec![item("config", revision, Some(config(6)))], revision);
    fleet.wait(Duration::from_secs(2));
    assert_eq!(versions(&fleet), [6; 12]);
    let verifiers = |fleet: &Fleet| {
        let nodes = fleet.nodes.iter();
        nodes.filter(|node| node.verifies_config(fleet.now)).count()
    };
    assert_eq!(verifiers(&fleet), 4);
    fleet.wait(Duration::from_secs(30));
    assert_eq!(verifiers(&fleet), 12);
}

fn values_of(fleet: &Fleet, key: &str) -> Vec<Option<Vec<u8>>> {
    let value = |node: &seam_core::Node| {
        let mut items = node.items_since(0).items.into_iter();
        items.find(|item| item.key == key)?.value
    };
    fleet.nodes.iter().map(value).collect()
}

/// Guards against a target that is lost for good, since a removal of its own revision was received.
#[test]
fn removal_of_present_item() {
    let (mut fleet, store) = started(&ALL);
    fleet.publish(0, vec![item("e-north", 2, None)], 2);
    store.serve(&mut fleet, &ALL, Duration::from_secs(40));
    assert_eq!(values_of(&fleet, "e-north"), vec![Some(vec![1]); 4]);
}

/// Guards against a target that is used as it was, since the store gave its revision out again.
#[test]
fn revision_given_again() {
    let (mut fleet, mut store) = started(&ALL);
    store.items.retain(|(key, ..)| key != "e-north");
    let mut changed = item(
        "e-north",
        2,
        Some(listed("e-north", ENGINE, NORTH, true, 0)),
    );
    changed.item.value = Some(vec![2]);
    let end = fleet.now + Duration::from_secs(40);
    while fleet.now < end {
        fleet.wait(Duration::from_millis(250));
        for index in ALL {
            let now = fleet.now;
            if let Some((scope, call)) = fleet.nodes[index].due_read(now) {
                let mut batch = store.list();
                batch.items.push(changed.clone());
                if scope == StoreScope::Config {
                    batch.items.retain(|read| read.item.key == "config");
                    (batch.revision, batch.full) = (0, false);
                }
                fleet.answer(index, (scope, call), batch, Some(2));
            }
        }
    }
    assert_eq!(values_of(&fleet, "e-north"), vec![Some(vec![2]); 4]);
}

/// Guards against an item that only the nodes which list all items receive, since all claim its revision.
#[test]
fn unknown_below_claim() {
    let mut fleet = Fleet::new(&[NORTH, NORTH, NORTH, SOUTH, SOUTH, SOUTH]);
    let all = [0, 1, 2, 3, 4, 5];
    let mut store = Store::default();
    store.put("config", config(5));
    store.revision = 30;
    for index in all {
        store.start(&mut fleet, index);
    }
    fleet.wait(Duration::from_secs(2));
    // The counter goes back, and passes the claims before a node calls the store.
    store.revision = 20;
    store.put("e-late", listed("e-late", ENGINE, NORTH, false, 0));
    store.revision = 40;
    for index in all {
        fleet.publish(index, Vec::new(), 40);
    }
    store.serve(&mut fleet, &all, Duration::from_secs(60));
    assert_eq!(values_of(&fleet, "e-late"), vec![Some(vec![1]); 6]);
}

/// Guards against a node that answers as if it were up to date, as it was paused while the items were replaced.
#[test]
fn paused_in_lower_epoch() {
    let (mut fleet, mut store) = started(&[0]);
    store.serve(&mut fleet, &[0], LIMIT);
    assert!(fleet.nodes[3].status(fleet.now).fresh);
    fleet.pause(3, Duration::from_secs(20), |fleet| {
        fleet.publish(0, vec![item("config", 1000, Some(config(5)))], 1000);
        fleet.wait(Duration::from_secs(1));
        store.put("config", config(6));
        store.serve(fleet, &[0], LIMIT);
    });
    fleet.fetches_held = true;
    for _ in 0..20 {
        fleet.wait(Duration::from_millis(50));
        let status = fleet.nodes[3].status(fleet.now);
        assert!(!status.fresh || status.revision == 6);
    }
}

/// Guards against items that seem to change with each list of a store whose counter is below their revisions.
#[test]
fn items_above_counter() {
    let (fleet, _) = started(&ALL);
    let node = &fleet.nodes[0];
    let mut items = node.items_since(0).items;
    let known: Vec<_> = items.iter().map(|item| item.revision).collect();
    for item in &mut items {
        item.revision = 1000;
    }
    for stated in 2..5 {
        let mut listed = items.clone();
        node.limit_revisions(&mut listed, stated);
        let limited: Vec<_> = listed.iter().map(|item| item.revision).collect();
        assert_eq!(limited, known);
        listed[0].value = Some(vec![2]);
        listed[0].revision = 1000;
        node.limit_revisions(&mut listed, stated);
        assert_eq!(listed[0].revision, stated);
    }
}

/// Guards against a version that returns with the answer to a read of its key which began before a later one.
#[test]
fn late_key_read() {
    let (mut fleet, mut store) = started(&[0]);
    let earlier = store.clone();
    let now = fleet.now;
    let call = fleet.nodes[0].begin_store_call(now);
    fleet.wait(Duration::from_millis(100));
    store.put("config", config(6));
    store.serve(&mut fleet, &[0], LIMIT);
    assert_eq!(versions(&fleet), [6; 4]);
    earlier.answer(&mut fleet, 0, (StoreScope::Config, call));
    store.serve(&mut fleet, &[0], LIMIT);
    assert_eq!(versions(&fleet), [6; 4]);
    assert_eq!(epochs(&fleet), [0; 4]);
}
