//! Attribution of crashes to requests, and the exchange of crashes between nodes.

use std::time::Duration;

use seam_core::poison::{CrashRuns, PoisonTable, SUSPECT_TTL, SuspectReport};
use seam_protocol::heartbeat::Suspect;
use seam_protocol::id::rank;
use seam_protocol::{Fingerprint, TargetId, Time, VmId};

const CULPRIT: Fingerprint = Fingerprint(1);
const NEIGHBOUR: Fingerprint = Fingerprint(2);
const PART: Fingerprint = Fingerprint(3);

fn at(seconds: u64) -> Time {
    Time(0) + Duration::from_secs(seconds)
}

fn ran(fingerprints: &[(Fingerprint, u64)]) -> CrashRuns {
    let runs = fingerprints.iter();
    runs.map(|(fingerprint, ms)| (*fingerprint, Duration::from_millis(*ms)))
        .collect()
}

/// Passes everything that one node knows to another.
fn tell(now: Time, from: &mut PoisonTable, to: &mut PoisonTable) {
    for report in from.take_updates(now, 100) {
        match report {
            SuspectReport::Request(suspect, crashes) => {
                to.merge_suspect(now, suspect, Some(&crashes));
            }
            SuspectReport::Part(part) => {
                to.merge_part(now, &part);
            }
        }
    }
}

/// Returns the targets of the crashes that a table attributes to a fingerprint.
fn known_crashes(table: &mut PoisonTable, fingerprint: Fingerprint) -> Vec<TargetId> {
    let reports = table.take_updates(at(200), 100).into_iter();
    let crashes = reports.filter_map(|report| match report {
        SuspectReport::Request(suspect, crashes) => {
            (suspect.fingerprint == fingerprint).then_some(crashes)
        }
        SuspectReport::Part(part) => (part.part == fingerprint).then_some(part.crashes),
    });
    let targets = crashes.flatten().map(|crash| crash.target);
    let mut targets: Vec<TargetId> = targets.collect();
    targets.sort_unstable();
    targets
}

/// Guards against a quarantine after one crash that two nodes saw.
#[test]
fn one_crash() {
    let (mut one, mut other) = (PoisonTable::default(), PoisonTable::default());
    one.record_crash(at(10), TargetId(1), &ran(&[(CULPRIT, 50)]));
    tell(at(10), &mut one, &mut other);
    other.record_crash(at(11), TargetId(1), &ran(&[(CULPRIT, 50)]));
    assert!(other.suspected(CULPRIT));
    assert!(!other.quarantined(CULPRIT));
    other.record_crash(at(14), TargetId(1), &ran(&[(CULPRIT, 50)]));
    assert!(other.quarantined(CULPRIT));
}

/// Guards against two nodes that each refuse another request for the same crash.
#[test]
fn two_named() {
    let (mut one, mut other) = (PoisonTable::default(), PoisonTable::default());
    one.record_crash(at(10), TargetId(1), &ran(&[(CULPRIT, 50)]));
    other.record_crash(at(10), TargetId(1), &ran(&[(NEIGHBOUR, 900)]));
    one.record_crash(at(20), TargetId(2), &ran(&[(CULPRIT, 50)]));
    other.record_crash(at(20), TargetId(2), &ran(&[(NEIGHBOUR, 50)]));
    assert!(other.quarantined(NEIGHBOUR));
    assert_ne!(one.digest(), other.digest());
    tell(at(21), &mut one, &mut other);
    tell(at(21), &mut other, &mut one);
    for table in [&one, &other] {
        assert!(table.quarantined(CULPRIT));
        assert!(!table.quarantined(NEIGHBOUR));
    }
    assert_eq!(one.digest(), other.digest());
}

/// Guards against suspects that always share a target and so are never found.
#[test]
fn several_suspects() {
    let mut table = PoisonTable::default();
    let both = ran(&[(CULPRIT, 50), (NEIGHBOUR, 50)]);
    for (seconds, target) in [(10, 1), (20, 2), (30, 3)] {
        assert!(!table.quarantined(CULPRIT));
        table.record_crash(at(seconds), TargetId(target), &both);
    }
    assert!(table.quarantined(CULPRIT));
}

/// Guards against refusing a request that works, because others say that it crashes targets.
#[test]
fn completed_here() {
    let (mut one, mut other) = (PoisonTable::default(), PoisonTable::default());
    other.record_completion(at(5), CULPRIT);
    for (seconds, target) in [(10, 1), (20, 2), (30, 3)] {
        one.record_crash(at(seconds), TargetId(target), &ran(&[(CULPRIT, 50)]));
        other.record_crash(at(seconds), TargetId(target), &ran(&[(CULPRIT, 50)]));
    }
    assert!(one.quarantined(CULPRIT));
    assert!(!other.suspected(CULPRIT));
    tell(at(31), &mut one, &mut other);
    assert!(!other.quarantined(CULPRIT));
    assert_eq!(one.digest(), other.digest());
    other.expire(at(5) + SUSPECT_TTL);
    assert!(other.quarantined(CULPRIT));
}

/// Guards against a node of the version before that is not believed, or believed too often.
#[test]
fn unnamed_crashes() {
    let mut table = PoisonTable::default();
    let suspect = |crashes| Suspect {
        fingerprint: CULPRIT,
        crashes,
    };
    for seconds in [10, 20, 30, 40] {
        table.merge_suspect(at(seconds), suspect(1), None);
    }
    assert!(table.suspected(CULPRIT));
    assert!(!table.quarantined(CULPRIT));
    let changes = table.merge_suspect(at(50), suspect(2), None);
    assert!(changes[0].quarantined);
    table.expire(at(10) + SUSPECT_TTL);
    assert!(table.is_empty());
    assert_eq!(table.digest(), 0);
}

fn crash_of(requests: &[(Fingerprint, u64)], parts: &[Fingerprint]) -> CrashRuns {
    CrashRuns {
        parts: parts.iter().map(|part| (*part, 2)).collect(),
        ..ran(requests)
    }
}

/// Guards against a request that is never found, because its first crashes came while a part of
/// other prompts crashed targets too.
#[test]
fn request_after_part() {
    let mut table = PoisonTable::default();
    table.record_crash(at(8), TargetId(9), &crash_of(&[], &[PART]));
    let both = crash_of(&[(CULPRIT, 50), (NEIGHBOUR, 50)], &[PART]);
    for (seconds, target) in [(10, 1), (12, 2), (14, 3)] {
        table.record_crash(at(seconds), TargetId(target), &both);
    }
    assert!(table.quarantined(PART));
    assert!(!table.suspected(CULPRIT));
    for (seconds, target) in [(20, 4), (30, 5), (40, 6)] {
        let alone = ran(&[(CULPRIT, 50)]);
        table.record_crash(at(seconds), TargetId(target), &alone);
    }
    assert!(table.quarantined(CULPRIT));
    assert!(!table.quarantined(NEIGHBOUR));
}

/// Guards against refusing prompts that share a part with a request which crashes targets itself,
/// and arrives at several nodes before they have reported it to each other.
#[test]
fn request_with_part() {
    let mut nodes = [(); 3].map(|()| PoisonTable::default());
    let culprit = crash_of(&[(CULPRIT, 50)], &[PART]);
    for (index, node) in nodes.iter_mut().enumerate() {
        let crashed = at(10) + Duration::from_millis(300 * index as u64);
        node.record_crash(crashed, TargetId(index as u32), &culprit);
    }
    let mut table = PoisonTable::default();
    for node in &mut nodes {
        tell(at(11), node, &mut table);
    }
    assert!(table.quarantined(CULPRIT));
    assert!(!table.quarantined(PART));
    // Another request with the part crashes a target, so the request was not the cause.
    let other = crash_of(&[(NEIGHBOUR, 50)], &[PART]);
    table.record_crash(at(15), TargetId(9), &other);
    assert!(table.quarantined(PART));
    assert!(!table.suspected(NEIGHBOUR));
}

/// Guards against crashes that two nodes keep differently, depending on which they received first.
#[test]
fn any_order() {
    let crashes: Vec<(u64, u32)> = (0..40)
        .map(|index| (10 + 3 * index, index as u32))
        .collect();
    let mut forward = PoisonTable::default();
    let mut backward = PoisonTable::default();
    let runs = crash_of(&[(CULPRIT, 50), (NEIGHBOUR, 50)], &[PART]);
    let tables = crashes.iter().map(|(seconds, target)| {
        let mut table = PoisonTable::default();
        table.record_crash(at(*seconds), TargetId(*target), &runs);
        table
    });
    let mut tables: Vec<PoisonTable> = tables.collect();
    for table in &mut tables {
        tell(at(200), table, &mut forward);
    }
    for table in tables.iter_mut().rev() {
        tell(at(200), table, &mut backward);
    }
    for fingerprint in [CULPRIT, NEIGHBOUR, PART] {
        let crashes = [&mut forward, &mut backward].map(|table| known_crashes(table, fingerprint));
        assert_eq!(crashes[0], crashes[1], "{fingerprint}");
    }
}

/// Guards against reports of answered parts that fill the memory, or that stay in the metrics of a
/// node without peers.
#[test]
fn answered_parts_bounded() {
    const PARTS: u64 = 10_000;
    let mut table = PoisonTable::default();
    for number in 0..PARTS {
        let part = Fingerprint(100 + number);
        table.record_answer(part, at(50));
        let crash = seam_protocol::heartbeat::CrashReport {
            target: TargetId(1),
            lifetime: SUSPECT_TTL.as_millis() as u32 - 30_000,
            alone: false,
            run: 0,
        };
        let report = seam_protocol::heartbeat::SuspectPart {
            part,
            depth: 1,
            answered: None,
            crashes: vec![crash],
        };
        table.merge_part(at(60), &report);
    }
    assert!(table.take_updates(at(60), usize::MAX).len() <= 4096);
    assert_eq!(table.len(), 0, "answered parts are not suspects");
    table.expire(at(60) + SUSPECT_TTL);
    assert!(table.take_updates(at(700), usize::MAX).is_empty());
}

/// Guards against a quarantine of which two peers that get reports in turn each receive only a part.
#[test]
fn two_receivers() {
    const LIMIT: usize = 24;
    for count in [12_u64, 30, 36, 60, 96] {
        let mut table = PoisonTable::default();
        for culprit in 0..count {
            for crash in 0..3 {
                let now = at(3 * culprit + crash);
                let runs = ran(&[(Fingerprint(rank(culprit, 7)), 50)]);
                let target = TargetId((3 * culprit + crash) as u32);
                table.record_crash(now, target, &runs);
            }
        }
        let now = at(3 * count);
        let mut receivers = [PoisonTable::default(), PoisonTable::default()];
        for _ in 0..20 {
            for (receiver, vm) in receivers.iter_mut().zip([VmId(1), VmId(2)]) {
                for report in table.take_candidates(now, vm, LIMIT) {
                    if let SuspectReport::Request(suspect, crashes) = report {
                        receiver.merge_suspect(now, suspect, Some(&crashes));
                    }
                }
            }
        }
        for receiver in &receivers {
            assert_eq!(receiver.len(), count as usize);
            assert_eq!(receiver.digest(), table.digest());
        }
    }
}
