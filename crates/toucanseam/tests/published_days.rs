//! Node processes beside an operator who changes the configuration again and again, as its callers see
//! them. Versions are written in an unusual but valid form.
//!
//! CI runs one seed. To run more by hand:
//!
//! ```console
//! DAY_SEEDS=1-20 cargo test -p toucanseam --test published_days -- --ignored --nocapture
//! ```

#[allow(dead_code, reason = "the platform's own tests use the rest")]
#[path = "../../../platform/tests/house/store.rs"]
mod store;

#[path = "days/operator.rs"]
mod operator;
#[allow(dead_code, reason = "the soak test uses the rest")]
mod soak {
    pub mod node;
    pub mod proxy;
}
#[path = "days/world.rs"]
mod world;

use std::collections::BTreeSet;

use operator::{Contents, PARTS, RouteState};
use world::{Answer, World};

/// Seed that CI runs.
const SEED: u64 = 1;
/// Changes of a day that CI runs, and of one that is run by hand.
const CHANGES: (usize, usize) = (4, 12);

fn start() {
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| seam_http::start_workers(2));
}

fn run_day(seed: u64, changes: usize) -> Vec<String> {
    start();
    seam_http::block_on(async {
        let mut world = World::start(seed).await;
        world.run(changes).await
    })
}

/// Guards against published versions that are not in force in time at each node process, and against
/// proper requests that are refused as wrong.
#[test]
fn day_holds() {
    let violations = run_day(SEED, CHANGES.0);
    assert!(violations.is_empty(), "seed {SEED}: {violations:#?}");
}

#[test]
#[ignore = "takes minutes; run by hand"]
fn many_days() {
    let seeds = std::env::var("DAY_SEEDS").unwrap_or_else(|_| "1-10".to_owned());
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let first: u64 = first.parse().expect("DAY_SEEDS is FIRST-LAST");
    let last: u64 = last.parse().expect("DAY_SEEDS is FIRST-LAST");
    let mut failed = Vec::new();
    for seed in first..=last {
        let violations = run_day(seed, CHANGES.1);
        let result = if violations.is_empty() {
            "passed"
        } else {
            "FAILED"
        };
        println!("seed {seed}: {result} {violations:#?}");
        failed.extend((!violations.is_empty()).then_some(seed));
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}

/// The check finds each violation in made-up answers.
#[test]
fn check_finds_violations() {
    let routes = |state: Option<RouteState>| Contents {
        routes: state.map(|state| (PARTS[0], state)).into_iter().collect(),
    };
    let bound = |service, home| RouteState {
        name: "a".to_owned(),
        service,
        home,
    };
    let served = |service: &str, region: &str| Answer::Served {
        service: service.to_owned(),
        region: region.to_owned(),
    };
    let (none, desk) = (routes(None), routes(Some(bound("desk", Some("north")))));
    let allowed = |versions: &[&Contents], settled, answer: &Answer| {
        let versions: Vec<Contents> = versions.iter().map(|version| (*version).clone()).collect();
        world::allows(&versions, settled, PARTS[0], answer)
    };
    assert!(allowed(&[&desk], true, &served("desk", "north")));
    assert!(!allowed(&[&desk], true, &served("desk", "south")));
    assert!(!allowed(&[&desk], true, &served("counter", "north")));
    assert!(!allowed(&[&desk], false, &Answer::NotFound));
    assert!(allowed(&[&none, &desk], false, &Answer::NotFound));
    assert!(allowed(&[&none, &desk], false, &Answer::ForTime));
    assert!(!allowed(&[&desk], true, &Answer::ForTime));
    assert!(!allowed(&[&none], true, &served("desk", "north")));
    assert!(!allowed(&[&desk], false, &Answer::Other("none".to_owned())));
}

/// Guards against days whose operator makes too few kinds of changes.
#[test]
fn operator_varies() {
    let mut operator = operator::Operator::new(SEED);
    let mut texts = BTreeSet::new();
    let (mut removed, mut added, mut moved) = (false, false, false);
    for _ in 0..CHANGES.1 {
        let before = operator.contents.clone();
        operator.change();
        let after = &operator.contents;
        removed |= before
            .routes
            .keys()
            .any(|part| !after.routes.contains_key(part));
        added |= after
            .routes
            .keys()
            .any(|part| !before.routes.contains_key(part));
        moved |= after.routes.iter().any(|(part, state)| {
            let old = before.routes.get(part);
            old.is_some_and(|old| old.service != state.service)
        });
        texts.insert(operator.text());
    }
    assert!(removed && added && moved);
    let all = texts.into_iter().collect::<String>();
    for form in [".0,", "e3", "\"unknown"] {
        assert!(all.contains(form), "{form}");
    }
}
