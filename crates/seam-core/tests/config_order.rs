//! Which configuration is in force, after items that arrive in any order.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;

use std::sync::Arc;
use std::time::Duration;

use fleet::{Fleet, NORTH, config, item, settled_fleet};
use seam_protocol::{Digest, Entry};

/// Longer than the removal of an item is remembered.
const FORGET_TIME: Duration = Duration::from_secs(130);

fn version(fleet: &Fleet) -> u64 {
    let bundle = fleet.nodes[0].bundle();
    bundle.map_or(0, |bundle| bundle.revision)
}

/// Guards against a route that is not served, since it was added without a higher version.
#[test]
fn equal_version() {
    let mut fleet = settled_fleet(&[NORTH; 2], &[]);
    let Entry::Config(base) = config(8) else {
        unreachable!("a configuration")
    };
    let mut bundle = (*base).clone();
    bundle.digest = Digest::of(b"changed");
    bundle.routes = seam_protocol::route::RouteTable::default();
    fleet.publish(0, vec![item("config", 60, Some(config(8)))], 60);
    fleet.publish(
        0,
        vec![item("config", 61, Some(Entry::Config(Arc::new(bundle))))],
        61,
    );
    assert!(fleet.nodes[0].bundle().unwrap().routes.is_empty());
}

/// Guards against a configuration that comes back, since a node that was away has it as its newest.
#[test]
fn older_item() {
    let mut fleet = settled_fleet(&[NORTH; 2], &[]);
    fleet.publish(0, vec![item("config", 70, Some(config(9)))], 70);
    fleet.publish(0, vec![item("config", 65, Some(config(12)))], 70);
    assert_eq!(version(&fleet), 9);
    fleet.publish(0, vec![item("config", 80, None)], 80);
    fleet.wait(FORGET_TIME);
    fleet.publish(0, vec![item("config", 65, Some(config(12)))], 80);
    assert_eq!(version(&fleet), 9);
}
