//! When the store last showed that the configuration in force is the present one.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, NORTH, config, item, settled_fleet};
use seam_core::{Event, ItemBatch, PublishedItem, Source};

const SECOND: Duration = Duration::from_secs(1);

fn confirmed(fleet: &Fleet, index: usize) -> Option<Duration> {
    let node = &fleet.nodes[index];
    let confirmed = node.config_confirmed(fleet.now);
    let millis = confirmed.map(|age| age.as_millis() as u64);
    assert_eq!(node.status(fleet.now).config.confirmed_age_ms, millis);
    confirmed
}

/// Returns a list that states it has every item of the store.
fn list(items: Vec<PublishedItem>, revision: u64) -> ItemBatch {
    ItemBatch {
        items,
        revision,
        full: true,
    }
}

/// Guards against a node of which nothing tells when the store last showed its version.
#[test]
fn taken_change() {
    let mut fleet = settled_fleet(&[NORTH; 2], &[]);
    fleet.publish(0, vec![item("config", 60, Some(config(8)))], 60);
    assert_eq!(confirmed(&fleet, 0), Some(Duration::ZERO));
    fleet.wait(SECOND);
    assert_eq!(confirmed(&fleet, 0), Some(SECOND));
    // The same contents, published again.
    fleet.publish(0, vec![item("config", 61, Some(config(8)))], 61);
    assert_eq!(confirmed(&fleet, 0), Some(Duration::ZERO));
}

/// Guards against answers that count as a confirmation, although they show nothing of the version in force.
#[test]
fn other_answers() {
    let mut fleet = settled_fleet(&[NORTH; 2], &[]);
    fleet.publish(0, vec![item("config", 60, Some(config(8)))], 60);
    fleet.wait(SECOND);
    fleet.publish(0, Vec::new(), 60);
    fleet.publish(0, vec![item("config", 59, Some(config(8)))], 60);
    fleet.publish(0, vec![item("config", 62, Some(config(7)))], 62);
    fleet.publish_batch(0, list(Vec::new(), 62));
    assert_eq!(confirmed(&fleet, 0), Some(SECOND));
}

/// Guards against a complete list that shows the version in force and does not count.
#[test]
fn complete_list() {
    let mut fleet = settled_fleet(&[NORTH; 2], &[]);
    fleet.publish(0, vec![item("config", 60, Some(config(8)))], 60);
    fleet.wait(SECOND);
    let listed = vec![item("config", 60, Some(config(8)))];
    let part = ItemBatch {
        full: false,
        ..list(listed.clone(), 60)
    };
    fleet.publish_batch(0, part);
    assert_eq!(confirmed(&fleet, 0), Some(SECOND));
    fleet.publish_batch(0, list(listed, 60));
    assert_eq!(confirmed(&fleet, 0), Some(Duration::ZERO));
}

/// Guards against a version of another node that counts as shown by the store.
#[test]
fn relayed_version() {
    let mut fleet = settled_fleet(&[NORTH; 2], &[]);
    fleet.publish(0, vec![item("config", 60, Some(config(8)))], 60);
    fleet.wait(SECOND);
    assert_eq!(fleet.nodes[1].config_version().revision, 8);
    assert_eq!(confirmed(&fleet, 1), None);
    let relayed = fleet.items_since(0, 0);
    fleet.handle(1, Event::ItemsRead(relayed, Source::Peer));
    assert_eq!(confirmed(&fleet, 1), None);
}
