//! Engines of different speeds and slow moments, as nodes learn and use them.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "each test file uses a part")]
#[path = "live/uneven.rs"]
mod uneven;

use std::time::Duration;

use uneven::{Load, Speed};
use yare::parameterized;

/// Prompts of different lengths that no other request shares.
fn unshared(load: &mut Load) -> Vec<(u64, u32)> {
    use rand::RngExt;
    vec![(0, load.rng.random_range(1000..9000))]
}

/// Guards against predictions by the assumed speed: a service that is three times faster, or slower and with
/// another time for an empty prompt, got too few or too many prompts for minutes.
///
/// Load: four engines of one speed, 40 prompts, one at a time. The predictions of the next 40 are compared
/// with what they took.
#[parameterized(
    slow = { 36.7, 30.0 },
    as_assumed = { 50.0, 30.0 },
    faster = { 74.8, 70.0 },
    fast = { 112.0, 70.0 },
    fastest = { 157.0, 70.0 },
)]
fn service_pace(tokens: f64, base: f64) {
    let speed = Speed { tokens, base };
    let mut load = Load::new(1, &[speed; 4]);
    load.play(4.0, Duration::from_secs(10), unshared);
    let learned = load.fleet.now;
    load.play(4.0, Duration::from_secs(10), unshared);
    let error = load.error(learned);
    println!("error {error:.3}");
    assert!(error < 0.12, "{error}");
}

/// Guards against prompts that wait at slow engines, since nodes need dozens of requests to learn an engine's
/// speed.
///
/// Load: two engines of speed 1.2 and two of 0.55 of the usual, at half of their capacity.
#[test]
fn standing_speeds() {
    let speed = |factor: f64| Speed {
        tokens: 60.0 * factor,
        base: 40.0 / factor,
    };
    let mut load = Load::new(2, &[speed(1.2), speed(1.2), speed(0.55), speed(0.55)]);
    load.play(15.0, Duration::from_secs(4), unshared);
    let learned = load.fleet.now;
    load.play(15.0, Duration::from_secs(10), unshared);
    let slow = load.share(2, learned) + load.share(3, learned);
    let error = load.error(learned);
    println!("share of the slow ones {slow:.3}, error {error:.3}");
    // They have 0.31 of the capacity.
    assert!((0.05..=0.35).contains(&slow), "{slow}");
    assert!(error < 0.3, "{error}");
}

/// Guards against prompts that go to an engine in a slow moment, and against one that is avoided after it: a
/// mean learns the moment when it is over.
///
/// Load: four engines, of which one is 2.5 times slower for 0.6 s now and then.
#[test]
fn slow_moments() {
    const MOMENTS: u32 = 12;
    let speed = Speed {
        tokens: 60.0,
        base: 40.0,
    };
    let mut load = Load::new(1, &[speed; 4]);
    load.play(25.0, Duration::from_secs(4), unshared);
    let begin = load.fleet.now;
    let (mut meanwhile, mut after) = (0.0, 0.0);
    for _ in 0..MOMENTS {
        load.engine(0).slowdown = 250;
        load.play(25.0, Duration::from_millis(200), unshared);
        let told = load.fleet.now;
        load.play(25.0, Duration::from_millis(400), unshared);
        meanwhile += load.share(0, told) / f64::from(MOMENTS);
        load.engine(0).slowdown = 100;
        load.play(25.0, Duration::from_millis(600), unshared);
        let over = load.fleet.now;
        load.play(25.0, Duration::from_millis(1400), unshared);
        after += load.share(0, over) / f64::from(MOMENTS);
    }
    println!(
        "{} first tokens",
        load.first_tokens
            .iter()
            .filter(|it| it.arrived >= begin)
            .count()
    );
    println!("share in slow moments {meanwhile:.3}, after them {after:.3}");
    assert!(meanwhile < 0.2, "{meanwhile}");
    assert!(after > 0.2, "{after}");
}

/// Guards against an engine that counts as slow for good, since it was slow once when it was measured and is
/// not used since, where engines state no slow moments.
///
/// Load: four engines, of which one is four times slower for 3 s without saying so.
#[test]
fn unstated_slowness() {
    let speed = Speed {
        tokens: 60.0,
        base: 40.0,
    };
    let mut load = Load::new(1, &[speed; 4]);
    for engine in load.engines.values_mut() {
        engine.stated = false;
    }
    load.play(12.0, Duration::from_secs(4), unshared);
    load.engine(0).slowdown = 400;
    load.play(12.0, Duration::from_secs(1), unshared);
    let known = load.fleet.now;
    load.play(12.0, Duration::from_secs(2), unshared);
    let meanwhile = load.share(0, known);
    load.engine(0).slowdown = 100;
    load.play(12.0, Duration::from_secs(40), unshared);
    let back = load.fleet.now;
    load.play(12.0, Duration::from_secs(10), unshared);
    let after = load.share(0, back);
    println!("share while slow {meanwhile:.3}, afterwards {after:.3}");
    assert!(meanwhile < 0.2, "{meanwhile}");
    assert!(after > 0.15, "{after}");
}

/// Guards against a service that counts as slow since requests waited behind others of which the node did not
/// know.
///
/// Load: two nodes that do not hear each other. One sends bursts of six prompts, the other one five a second.
#[test]
fn unknown_queues() {
    let speed = Speed {
        tokens: 75.0,
        base: 70.0,
    };
    let mut load = Load::new(2, &[speed; 4]);
    load.fleet.partitions.insert((0, 1));
    for _ in 0..10 {
        for _ in 0..6 {
            let parts = unshared(&mut load);
            load.send_to(1, &parts);
        }
        for _ in 0..5 {
            let parts = unshared(&mut load);
            load.send_to(0, &parts);
            load.rest(Duration::from_millis(200));
        }
    }
    load.rest(Duration::from_secs(1));
    let alone = load.fleet.now;
    for _ in 0..10 {
        let parts = unshared(&mut load);
        load.send_to(0, &parts);
        load.rest(Duration::from_millis(400));
    }
    let error = load.error(alone);
    println!("error {error:.3}");
    assert!(error < 0.2, "{error}");
}

/// Guards against a new engine that counts as an assumed one: the pace of the service is known by then.
///
/// Load: three engines three times faster than assumed, and a fourth that is idle until then.
#[test]
fn new_engine() {
    let speed = Speed {
        tokens: 157.0,
        base: 70.0,
    };
    let mut load = Load::new(1, &[speed; 3]);
    load.play(10.0, Duration::from_secs(6), unshared);
    load.add_engine(speed);
    let added = load.fleet.now;
    load.play(10.0, Duration::from_secs(8), unshared);
    let share = load.share(3, added);
    println!("share {share:.3}");
    assert!(share > 0.15, "{share}");
}

/// Guards against nodes of a large region that each learn an engine's speed by the few requests that they send
/// there themselves.
///
/// Load: twelve nodes, two engines, the second one half as fast. One node sends for three seconds; another one
/// then sends its first prompts.
#[test]
fn shared_speeds() {
    let speed = |factor: f64| Speed {
        tokens: 100.0 * factor,
        base: 70.0 / factor,
    };
    let mut load = Load::new(12, &[speed(1.0), speed(0.5)]);
    for _ in 0..30 {
        let parts = unshared(&mut load);
        load.send_to(0, &parts);
        load.rest(Duration::from_millis(100));
    }
    load.rest(Duration::from_secs(1));
    let begin = load.fleet.now;
    for _ in 0..10 {
        let parts = unshared(&mut load);
        load.send_to(1, &parts);
        load.rest(Duration::from_millis(250));
    }
    let (slow, error) = (load.share(1, begin), load.error(begin));
    println!("share of the slow one {slow:.3}, error {error:.3}");
    assert!(error < 0.12, "{error}");
    assert!(slow <= 0.05, "{slow}");
}

/// Guards against prompts of nodes that did not see the last answer of an engine in its slow moment.
///
/// Load: twelve nodes, two engines, one of them 2.5 times slower, as one answer to one node tells.
#[test]
fn shared_moments() {
    const MOMENTS: u32 = 10;
    let speed = Speed {
        tokens: 60.0,
        base: 40.0,
    };
    let mut load = Load::new(12, &[speed; 2]);
    load.play(12.0, Duration::from_secs(4), unshared);
    load.rest(Duration::from_secs(1));
    let mut share = 0.0;
    for _ in 0..MOMENTS {
        load.engine(0).slowdown = 250;
        let target = load.ids[0];
        load.answer(0, target);
        // Two intervals of the work updates.
        load.rest(Duration::from_millis(200));
        let told = load.fleet.now;
        for node in 1..6 {
            load.send_to(node, &[(0, 3000)]);
            load.rest(Duration::from_millis(30));
        }
        load.rest(Duration::from_secs(2));
        share += load.share(0, told) / f64::from(MOMENTS);
        load.engine(0).slowdown = 100;
        load.rest(Duration::from_secs(1));
    }
    println!("share of the slow one {share:.3}");
    assert!(share < 0.3, "{share}");
}
