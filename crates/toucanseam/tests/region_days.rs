//! Node processes of three regions, with delays between them, beside an operator whose versions replace
//! routes and move homes, and callers that ask each node.
//!
//! CI runs one seed. To run more by hand, some kinds of phases only, or an earlier build of the program:
//!
//! ```console
//! DAY_SEEDS=1-5 cargo test -p toucanseam --test region_days many_days -- --ignored --nocapture
//! DAY_KINDS=storm,kill DAY_ROUNDS=3 cargo test -p toucanseam --test region_days many_days -- --ignored --nocapture
//! NODE_PROGRAM=/path/to/toucanseam cargo test -p toucanseam --test region_days -- --nocapture
//! ```
//!
//! Two kinds are played only if they are named: `rewind`, in which the store comes back with an older counter
//! of revisions, and `restore`, in which it comes back from a copy. With `OTHER_PROGRAM`, half of the nodes
//! run that program.
//!
//! `DAY_DELAY` and `DAY_INTERVAL` are in milliseconds, `DAY_LOAD` is in calls each second, `DAY_BUSY`
//! publishes versions beside the phases, and `DAY_THROTTLED` lets all nodes run for a quarter of the time
//! only.

#[allow(dead_code, reason = "the platform's own tests use the rest")]
#[path = "../../../platform/tests/house/store.rs"]
mod store;

#[allow(dead_code, reason = "the soak test uses the rest")]
mod soak {
    pub mod node;
    pub mod proxy;
    pub mod script;
    pub mod target;
}

mod regions {
    pub mod checks;
    pub mod operator;
    pub mod relay;
    pub mod script;
    pub mod world;
}

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use regions::checks::{Answer, Call, Disturbance, Records, Version};
use regions::operator::{HOSTS, Operator, TRAP};
use regions::script::{KINDS, Phase, phases};
use regions::world::{Size, run_day};

/// Seed that CI runs.
const SEED: u64 = 1;
const NODES: usize = 9;

fn start() {
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| seam_http::start_workers(3));
}

fn env_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn size() -> Size {
    Size {
        nodes: NODES,
        delay: Duration::from_millis(env_number("DAY_DELAY", 80)),
        load: u32::try_from(env_number("DAY_LOAD", 30)).expect("DAY_LOAD is a few calls"),
        interval: Duration::from_millis(env_number("DAY_INTERVAL", 400)),
        busy: env_number("DAY_BUSY", 0) > 0,
        throttled: env_number("DAY_THROTTLED", 0) > 0,
    }
}

/// Runs a day of the seed that CI runs, one at a time, as the processes of several starve each other.
fn check_day(phases: &[Phase]) {
    static RUNNING: Mutex<()> = Mutex::new(());
    start();
    let running = seam_http::lock(&RUNNING);
    let violations = seam_http::block_on(run_day(SEED, size(), phases));
    drop(running);
    assert!(violations.is_empty(), "seed {SEED}: {violations:#?}");
}

/// Guards against versions that are not in force in time at each node of three regions.
#[test]
fn three_regions() {
    let phases = [
        Phase::Change,
        Phase::Storm {
            versions: 8,
            pause: Duration::from_millis(150),
        },
        Phase::Kill {
            versions: 1,
            pause: Duration::from_millis(100),
        },
    ];
    check_day(&phases);
}

/// Guards against nodes that miss a version around a restart of the store's process, with its history or
/// without.
#[test]
fn store_restarts() {
    let phases = [false, true].map(|compact| Phase::Restart {
        compact,
        time: Duration::from_millis(2700),
    });
    check_day(&phases);
}

fn run_rollback(items: bool) {
    let phases = [Phase::Rollback {
        items,
        versions: 3,
        pause: Duration::from_millis(400),
        time: Duration::from_secs(1),
    }];
    check_day(&phases);
}

/// Guards against nodes that take no version of a store that gives revisions again which they know.
#[test]
fn store_counter_back() {
    run_rollback(true);
}

/// Guards against nodes that take no version of a store that came back from a copy.
#[test]
fn store_copy_back() {
    run_rollback(false);
}

#[test]
#[ignore = "takes minutes; run by hand"]
fn many_days() {
    start();
    let seeds = std::env::var("DAY_SEEDS").unwrap_or_else(|_| "1-5".to_owned());
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let number = |text: &str| -> u64 { text.parse().expect("DAY_SEEDS is FIRST-LAST") };
    let kinds = std::env::var("DAY_KINDS").unwrap_or_else(|_| KINDS.join(","));
    let kinds: Vec<_> = kinds.split(',').collect();
    let rounds = env_number("DAY_ROUNDS", 1);
    let rounds = usize::try_from(rounds).expect("DAY_ROUNDS is small");
    let mut failed = Vec::new();
    for seed in number(first)..=number(last) {
        let phases = phases(seed, &kinds, rounds, NODES);
        let violations = seam_http::block_on(run_day(seed, size(), &phases));
        let result = if violations.is_empty() {
            "passed"
        } else {
            "FAILED"
        };
        println!("seed {seed}: {result}");
        for violation in &violations {
            println!("{violation}");
        }
        failed.extend((!violations.is_empty()).then_some(seed));
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}

/// Seconds at which the versions of the records are confirmed.
const VERSIONS: [u64; 3] = [0, 20, 30];

/// Returns records of an operator's versions without calls, the path that the second version adds and the
/// one that it removes, and the time of a second.
fn records() -> (Records, String, String, impl Fn(f64) -> Instant + Copy) {
    let begin = Instant::now();
    let at = move |second| begin + Duration::from_secs_f64(second);
    let mut operator = Operator::new(SEED);
    let mut contents = Vec::new();
    for _ in VERSIONS {
        contents.push(operator.contents());
        operator.change();
    }
    let paths = |index: usize| -> BTreeSet<_> {
        let routes = contents[index].routes.iter();
        let plain = routes.filter(|route| route.host == HOSTS[0]);
        plain.map(|route| route.path.clone()).collect()
    };
    let difference = |new: usize, old: usize| paths(new).difference(&paths(old)).next().cloned();
    let added = difference(1, 0).expect("a route is added to the host");
    let removed = difference(0, 1).expect("a route of the host is removed");
    let versions = contents.into_iter().zip(VERSIONS);
    let versions = versions.map(|(contents, second)| Version {
        contents,
        published: at(second as f64),
        confirmed: at(second as f64),
    });
    let records = Records {
        versions: versions.collect(),
        ..Records::default()
    };
    (records, added, removed, at)
}

/// Guards against a check that does not see answers that no version in force allows.
#[test]
fn check_finds_violations() {
    let (records, added, removed, at) = records();
    let served = |service: &str, region: &str| Answer::Served {
        service: service.to_owned(),
        region: region.to_owned(),
    };
    let call = |path: &str, second: f64, answer: Answer| Call {
        attempt: "a".to_owned(),
        node: 0,
        boot: 1,
        host: HOSTS[0],
        path: format!("{path}7"),
        start: at(second),
        end: at(second + 0.1),
        answer,
    };
    let disturbed = |node, calls: &[Call]| {
        let mut records = records.clone();
        records.calls = calls.to_vec();
        records.disturbances.extend(node);
        let broken = records.check().into_keys().map(|(form, _)| form);
        broken.filter(|form| *form != "served too few").collect()
    };
    let broken = |calls: &[Call]| -> Vec<_> { disturbed(None, calls) };
    let desk = || served("desk", "north");
    assert!(broken(&[call(&added, 24.5, desk())]).is_empty());
    assert!(broken(&[call(&added, 23.9, Answer::Refused(404))]).is_empty());
    assert_eq!(
        broken(&[call(&added, 24.1, Answer::Refused(404))]),
        ["late"]
    );
    assert!(broken(&[call(&removed, 23.9, desk())]).is_empty());
    assert_eq!(broken(&[call(&removed, 24.1, desk())]), ["late"]);
    for status in [408, 421, 429, 503, 504] {
        let refused = Answer::Refused(status);
        assert!(
            broken(&[call(&added, 24.5, refused)]).is_empty(),
            "{status}"
        );
    }
    let wrong = [Answer::Refused(400), served("writer", "north")];
    for answer in wrong {
        assert_eq!(broken(&[call(&added, 24.5, answer)]), ["by no version"]);
    }
    let early = call(&added, 19.5, desk());
    assert_eq!(broken(&[early]), ["by no version"]);
    // The homes move with each version.
    let homes: Vec<_> = records
        .versions
        .iter()
        .map(|version| {
            let route = version.contents.route(HOSTS[0], TRAP[1].1);
            route.expect("the route stays").homes[0]
        })
        .collect();
    let ran = |version: usize, second| call(TRAP[1].1, second, served("desk", homes[version]));
    assert!(broken(&[ran(0, 23.9)]).is_empty());
    assert_eq!(broken(&[ran(0, 24.1)]), ["late"]);
    assert!(broken(&[ran(1, 24.1)]).is_empty());
    assert_eq!(broken(&[ran(2, 24.1)]), ["by no version"]);
    let disturbance = |node, end| {
        let (start, end) = (at(15.0), at(end));
        Some(Disturbance { node, start, end })
    };
    let late = [call(&added, 24.1, Answer::Refused(404))];
    assert!(disturbed(disturbance(Some(0), 18.2), &late).is_empty());
    assert!(disturbed(disturbance(None, 18.2), &late).is_empty());
    assert_eq!(disturbed(disturbance(Some(1), 18.2), &late), ["late"]);
    assert_eq!(disturbed(disturbance(Some(0), 18.0), &late), ["late"]);
    let again = |second, boot| {
        let mut again = call(&added, second, Answer::Refused(404));
        again.boot = boot;
        [call(&added, 21.0, desk()), again]
    };
    assert!(broken(&again(21.3, 1)).is_empty());
    assert_eq!(broken(&again(21.4, 1)), ["regression"]);
    assert!(broken(&again(21.4, 2)).is_empty());
    let all = disturbance(None, 18.2);
    assert_eq!(disturbed(all, &again(21.4, 1)), ["regression"]);
}

/// Guards against nodes that serve nothing and thereby break no other rule.
#[test]
fn check_counts_served() {
    let (mut records, added, _, at) = records();
    let mut call = |answer| {
        records.calls.push(Call {
            attempt: "a".to_owned(),
            node: 0,
            boot: 1,
            host: HOSTS[0],
            path: format!("{added}7"),
            start: at(25.0),
            end: at(25.1),
            answer,
        });
        let broken = records.check().into_keys().map(|(form, _)| form);
        broken.collect::<Vec<_>>()
    };
    let served = Answer::Served {
        service: "desk".to_owned(),
        region: "north".to_owned(),
    };
    assert!(call(served).is_empty());
    for _ in 0..3 {
        assert!(call(Answer::Refused(503)).is_empty());
    }
    assert_eq!(call(Answer::Refused(503)), ["served too few"]);
}
