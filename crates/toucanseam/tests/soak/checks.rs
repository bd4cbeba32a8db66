//! What must hold, from what callers and targets saw.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::callers::Told;
use super::target::{Run, first_runs};

/// Time after which a target that said it leaves gets nothing, as the platform's pages state it.
const DRAIN: Duration = Duration::from_secs(4);
/// Window over which repeats are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Repeats in a window beyond the stated part of the requests.
const REPEATS: usize = 58;
/// Part of the requests that may be repeated in a window.
const PART: f64 = 0.2;

/// When a target said that it leaves, and whether nothing else was wrong until its time was over.
#[derive(Clone, Debug)]
pub struct Leaving {
    pub target: String,
    pub at: Instant,
    pub calm: bool,
}

/// Returns everything that was broken.
pub fn check(runs: &[Run], told: &[Told], leaving: &[Leaving]) -> Vec<String> {
    let mut broken = Vec::new();
    let counts = first_runs(runs);
    for told in told {
        let ran = counts.get(told.attempt.as_str()).copied().unwrap_or(0);
        let Told {
            attempt,
            kind,
            status,
            ..
        } = told;
        if ran > 1 && *kind != "view" && *kind != "hint" {
            broken.push(format!("TWICE: {attempt} ({kind}) ran {ran} times"));
        }
        let promised = status.is_some_and(|status| [408, 421, 429, 503].contains(&status.as_u16()));
        if promised && ran > 0 && *kind != "view" && *kind != "hint" {
            broken.push(format!(
                "REFUSED: {attempt} ({kind}) got {status:?} and ran"
            ));
        }
        if !told.right {
            broken.push(format!(
                "MIXED: {attempt} ({kind}) got another answer, {told:?}"
            ));
        }
    }
    for run in runs.iter().filter(|run| run.path.starts_with("/home/")) {
        if run.region != "north" {
            broken.push(format!("HOME: {} ran in the {}", run.attempt, run.region));
        }
    }
    for leaving in leaving.iter().filter(|leaving| leaving.calm) {
        let late = runs
            .iter()
            .filter(|run| run.target == leaving.target && run.at > leaving.at + DRAIN);
        if let Some(late) = late.min_by_key(|run| run.at) {
            let after = (late.at - leaving.at).as_millis();
            broken.push(format!(
                "DRAIN: {} ran at {} {after} ms after it said that it leaves",
                late.attempt, leaving.target
            ));
        }
    }
    broken.extend(repeats(runs, told));
    broken
}

/// Counts arrivals beyond the first of each request in each window.
fn repeats(runs: &[Run], told: &[Told]) -> Option<String> {
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    let mut ordered: Vec<&Run> = runs.iter().collect();
    ordered.sort_by_key(|run| run.at);
    let start = ordered.first()?.at;
    let mut again: BTreeMap<u64, usize> = BTreeMap::new();
    let window = |at: Instant| (at - start).as_secs() / WINDOW.as_secs();
    for run in ordered {
        if !seen.insert(&run.attempt) {
            *again.entry(window(run.at)).or_default() += 1;
        }
    }
    let asked = |number: u64| {
        let of = |told: &&Told| told.start >= start && window(told.start) == number;
        told.iter().filter(of).count()
    };
    again.into_iter().find_map(|(number, count)| {
        let most = asked(number).max(asked(number.saturating_sub(1)));
        let allowed = (most as f64 * PART) as usize + REPEATS;
        (count > allowed).then(|| format!("BUDGET: {count} repeats, {allowed} allowed"))
    })
}
