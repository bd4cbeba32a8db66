//! Heartbeats as datagrams, also of processes of an earlier version.

use seam_protocol::heartbeat::{CrashReport, QuarantineReport, Suspect};
use seam_protocol::{Fingerprint, Heartbeat, RegionId, TargetId, VmId};

fn heartbeat() -> Heartbeat {
    let mut heartbeat = Heartbeat::empty(VmId(1), RegionId(2));
    heartbeat.suspects.push(Suspect {
        fingerprint: Fingerprint(3),
        crashes: 2,
    });
    heartbeat
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
