//! Heartbeats as datagrams, also of processes of an earlier version.

use seam_protocol::heartbeat::{
    ColdReport, ConfigMeaning, Confirmation, CrashReport, QuarantineReport, ServiceReach,
    StreamReport, Suspect, SuspectPart, TargetLimit,
};
use seam_protocol::{Fingerprint, Heartbeat, RegionId, TargetId, VmId};

fn heartbeat() -> Heartbeat {
    let mut heartbeat = Heartbeat::empty(VmId(1), RegionId(2));
    heartbeat.suspects.push(Suspect {
        fingerprint: Fingerprint(3),
        crashes: 2,
    });
    heartbeat
}

/// Returns what follows the quarantine's report in a datagram.
fn after_quarantine(datagram: &[u8]) -> &[u8] {
    let (_, rest) = postcard::take_from_bytes::<Heartbeat>(datagram).unwrap();
    let (_, rest) = postcard::take_from_bytes::<QuarantineReport>(rest).unwrap();
    rest
}

#[test]
fn report_kept() {
    let mut heartbeat = heartbeat();
    heartbeat.quarantine = QuarantineReport {
        digest: 4,
        crashes: vec![vec![CrashReport {
            target: TargetId(5),
            lifetime: 599_999,
            alone: true,
            run: 50,
        }]],
    };
    assert_eq!(
        Heartbeat::decode(&heartbeat.encode()),
        Some(heartbeat.clone())
    );
    let whole = heartbeat.encode();
    assert_eq!(Heartbeat::decode(&whole[..whole.len() - 1]), None);
}

/// Guards against parts of prompts that get lost, with or without a quarantine beside them.
#[test]
fn parts_kept() {
    let mut heartbeat = heartbeat();
    heartbeat.suspect_parts.push(SuspectPart {
        part: Fingerprint(6),
        depth: 2,
        answered: Some(1500),
        crashes: vec![CrashReport {
            target: TargetId(5),
            lifetime: 599_999,
            alone: false,
            run: 0,
        }],
    });
    for digest in [0, 4] {
        heartbeat.quarantine.digest = digest;
        let whole = heartbeat.encode();
        assert_eq!(Heartbeat::decode(&whole), Some(heartbeat.clone()));
        assert_eq!(Heartbeat::decode(&whole[..whole.len() - 1]), None);
        // A process of an earlier version reads what precedes the parts.
        let (fields, rest): (Heartbeat, _) = postcard::take_from_bytes(&whole).unwrap();
        assert_eq!(fields.suspects, heartbeat.suspects);
        let quarantine: QuarantineReport = postcard::from_bytes(rest).unwrap();
        assert_eq!(quarantine, heartbeat.quarantine);
    }
}

/// Guards against rate limits that get lost, with or without a quarantine beside them.
#[test]
fn limits_kept() {
    let mut heartbeat = heartbeat();
    heartbeat.limits = [Some(0.2), None]
        .map(|rate| TargetLimit {
            target: TargetId(5),
            rate,
            age: 1500,
        })
        .to_vec();
    for digest in [0, 4] {
        heartbeat.quarantine.digest = digest;
        let whole = heartbeat.encode();
        assert_eq!(Heartbeat::decode(&whole), Some(heartbeat.clone()));
        assert_eq!(Heartbeat::decode(&whole[..whole.len() - 1]), None);
        // A process of the version before reads what precedes the limits.
        let parts: Vec<SuspectPart> = postcard::from_bytes(after_quarantine(&whole)).unwrap();
        assert_eq!(parts, heartbeat.suspect_parts);
    }
}

/// Guards against leaving and cold targets that get lost, with or without other sections before them.
#[test]
fn targets_kept() {
    let mut heartbeat = heartbeat();
    heartbeat.leaving = vec![TargetId(5), TargetId(6)];
    heartbeat.cold = vec![ColdReport {
        target: TargetId(7),
        remaining: 2900,
        age: 3,
    }];
    for digest in [0, 4] {
        heartbeat.quarantine.digest = digest;
        let whole = heartbeat.encode();
        assert_eq!(Heartbeat::decode(&whole), Some(heartbeat.clone()));
        assert_eq!(Heartbeat::decode(&whole[..whole.len() - 1]), None);
        // A process of the version before reads what precedes them.
        let rest = after_quarantine(&whole);
        let (_, rest) = postcard::take_from_bytes::<Vec<SuspectPart>>(rest).unwrap();
        let (_, rest) = postcard::take_from_bytes::<Vec<TargetLimit>>(rest).unwrap();
        let (streams, reached): (StreamReport, Vec<ServiceReach>) =
            postcard::from_bytes(rest).unwrap();
        assert_eq!((streams, reached), (heartbeat.streams.clone(), Vec::new()));
    }
}

/// Guards against a digest of items that gets lost, and against one that keeps processes of the version before
/// from reading the rest.
#[test]
fn digest_kept() {
    let mut heartbeat = heartbeat();
    heartbeat.items_digest = Some(0);
    for (leaving, digest) in [(vec![], 0), (vec![TargetId(5)], u32::MAX)] {
        heartbeat.leaving = leaving;
        heartbeat.items_digest = Some(digest);
        let whole = heartbeat.encode();
        assert_eq!(Heartbeat::decode(&whole), Some(heartbeat.clone()));
        assert_eq!(Heartbeat::decode(&whole[..whole.len() - 1]), None);
        // A process of the version before reads what precedes it.
        let rest = after_quarantine(&whole);
        let (_, rest) = postcard::take_from_bytes::<Vec<SuspectPart>>(rest).unwrap();
        let (_, rest) = postcard::take_from_bytes::<Vec<TargetLimit>>(rest).unwrap();
        let (_, rest) =
            postcard::take_from_bytes::<(StreamReport, Vec<ServiceReach>)>(rest).unwrap();
        let (leaving, cold): (Vec<TargetId>, Vec<ColdReport>) = postcard::from_bytes(rest).unwrap();
        assert_eq!((leaving, cold), (heartbeat.leaving.clone(), Vec::new()));
    }
    heartbeat.leaving = Vec::new();
    heartbeat.items_digest = None;
    let without = heartbeat.encode().len();
    heartbeat.items_digest = Some(u32::MAX);
    let added = heartbeat.encode().len() - without;
    assert_eq!(added, 16);
}

/// Guards against datagrams that processes of the version before cannot exchange with this one.
#[test]
fn earlier_version() {
    let mut heartbeat = heartbeat();
    let fields = postcard::to_allocvec(&heartbeat).unwrap();
    assert_eq!(heartbeat.encode(), fields);
    assert_eq!(Heartbeat::decode(&fields), Some(heartbeat.clone()));
    heartbeat.quarantine.digest = 4;
    let extended = heartbeat.encode();
    assert!(extended.len() > fields.len());
    let read: Heartbeat = postcard::from_bytes(&extended).unwrap();
    assert_eq!(read.suspects, heartbeat.suspects);
}

/// Guards against a report on the configuration that gets lost, or that keeps a process of the version before
/// from reading the rest.
#[test]
fn meaning_kept() {
    let mut heartbeat = heartbeat();
    heartbeat.config = ConfigMeaning {
        item_revision: 80,
        digest: (1 << 48) - 1,
    };
    for leaving in [vec![], vec![TargetId(5)]] {
        heartbeat.leaving = leaving;
        let whole = heartbeat.encode();
        assert_eq!(Heartbeat::decode(&whole), Some(heartbeat.clone()));
        assert_eq!(Heartbeat::decode(&whole[..whole.len() - 1]), None);
        let rest = after_quarantine(&whole);
        let (_, rest) = postcard::take_from_bytes::<Vec<SuspectPart>>(rest).unwrap();
        let (_, rest) = postcard::take_from_bytes::<Vec<TargetLimit>>(rest).unwrap();
        let (_, rest) =
            postcard::take_from_bytes::<(StreamReport, Vec<ServiceReach>)>(rest).unwrap();
        let (leaving, cold): (Vec<TargetId>, Vec<ColdReport>) = postcard::from_bytes(rest).unwrap();
        assert_eq!((leaving, cold), (heartbeat.leaving.clone(), Vec::new()));
    }
    let mut plain = heartbeat.clone();
    plain.config = ConfigMeaning::default();
    plain.leaving.clear();
    heartbeat.leaving.clear();
    let without = plain.encode().len();
    assert_eq!(heartbeat.encode().len() - without, 18);
    heartbeat.items_digest = Some(u32::MAX);
    assert_eq!(heartbeat.encode().len() - without, 22);
}

/// Guards against an epoch of items that gets lost, or that keeps a process of the version before from reading
/// the rest.
#[test]
fn epoch_kept() {
    let mut heartbeat = heartbeat();
    heartbeat.items_digest = Some(7);
    let without = heartbeat.encode();
    for (epoch, bytes) in [(1, 1), (300, 2), (u32::MAX, 5)] {
        heartbeat.items_epoch = epoch;
        let whole = heartbeat.encode();
        assert_eq!(Heartbeat::decode(&whole), Some(heartbeat.clone()));
        // What precedes it is as a process of the version before writes and reads it.
        assert_eq!(whole[..without.len()], without);
        assert_eq!(whole.len() - without.len(), bytes);
        assert_eq!(
            Heartbeat::decode(&without).map(|read| read.items_epoch),
            Some(0)
        );
    }
    heartbeat.items_digest = None;
    assert_eq!(Heartbeat::decode(&heartbeat.encode()), Some(heartbeat));
}

/// Guards against refused targets that get lost, or that keep a process of the version before from reading the
/// rest.
#[test]
fn refused_kept() {
    for (epoch, bytes) in [(300, 6), (0, 19)] {
        let mut heartbeat = heartbeat();
        heartbeat.items_epoch = epoch;
        let without = heartbeat.encode();
        heartbeat.refused = vec![TargetId(u32::MAX)];
        let whole = heartbeat.encode();
        assert_eq!(Heartbeat::decode(&whole), Some(heartbeat.clone()));
        assert_eq!(Heartbeat::decode(&whole[..whole.len() - 1]), None);
        // What precedes them is as a process of the version before writes it.
        assert_eq!(whole[..without.len()], without);
        assert_eq!(whole.len() - without.len(), bytes);
    }
}

/// Guards against confirmations that get lost, or that keep a process of the version before from reading the rest.
#[test]
fn confirmation_kept() {
    let mut heartbeat = heartbeat();
    heartbeat.items_digest = Some(u32::MAX);
    heartbeat.items_revision = 40;
    for (meaning_sent, bytes) in [(true, 14), (false, 20)] {
        let meaning = ConfigMeaning {
            item_revision: 40,
            digest: (1 << 48) - 1,
        };
        heartbeat.config = if meaning_sent {
            meaning
        } else {
            ConfigMeaning::default()
        };
        heartbeat.confirmation = None;
        let without = heartbeat.encode();
        heartbeat.config = meaning;
        heartbeat.confirmation = Some(Confirmation {
            item_revision: 40,
            age: 1200,
        });
        let whole = heartbeat.encode();
        assert_eq!(Heartbeat::decode(&whole), Some(heartbeat.clone()));
        assert_eq!(Heartbeat::decode(&whole[..whole.len() - 1]), None);
        assert_eq!(whole.len() - without.len(), bytes);
    }
}
