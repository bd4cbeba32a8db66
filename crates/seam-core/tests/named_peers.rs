//! Bounds on the nodes, regions and streams that other nodes name.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use seam_core::peers::Peers;
use seam_core::roster::Roster;
use seam_core::streams::StreamOrigins;
use seam_protocol::heartbeat::StreamOrigin;
use seam_protocol::{
    CentreId, Heartbeat, Incarnation, RegionId, RegionSummary, StreamId, Time, Vm, VmId, VmRecord,
};

/// Nodes of the largest deployment, all of which have to be known.
const NODES: usize = 370;
/// More names than a deployment has.
const NAMES: u32 = 100_000;
/// Names of which none has to be kept beside those of the deployment.
const MAX_KNOWN: usize = 4 * NODES;

fn vm(name: &str) -> Vm {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Vm {
        name: name.to_owned(),
        region: RegionId(1),
        centre: CentreId(1),
        caller: address,
        peer: address,
        weight: 1,
    }
}

/// Guards against a node that keeps every name that heartbeats give, and against names that displace
/// the nodes heard.
#[test]
fn nodes_bounded() {
    let mut roster = Roster::new(Time(0), vm("me"), Vec::new());
    for number in 0..NODES / 2 {
        assert!(roster.record_direct(Time(0), &vm(&format!("node-{number}"))));
    }
    for number in 0..NAMES {
        roster.record_indirect(Time(0), &vm(&format!("ghost-{number}")));
    }
    for number in NODES / 2..NODES {
        let direct = vm(&format!("node-{number}"));
        assert!(roster.record_direct(Time(0), &direct), "node {number}");
    }
    let known = roster.vms();
    assert!(known.len() < MAX_KNOWN, "{} nodes known", known.len());
    for number in 0..NODES {
        let id = VmId::of(&format!("node-{number}"));
        assert!(known.contains_key(&id), "node {number}");
    }
    assert!(!roster.record_direct(Time(0), &vm(&"n".repeat(1 << 10))));
}

/// Guards against a node that keeps every region that heartbeats give.
#[test]
fn regions_bounded() {
    let (me, other) = ((VmId(1), Incarnation(1), RegionId(1)), VmId(2));
    let region_of = BTreeMap::from([(other, RegionId(2))]);
    let mut peers = Peers::default();
    peers.set_members(&region_of, 2, RegionId(1), true);
    for sent in 1..=100 {
        let mut heartbeat = Heartbeat::empty(other, RegionId(2));
        heartbeat.sent = sent;
        heartbeat.records.push(VmRecord {
            vm: other,
            incarnation: Incarnation(1),
            sequence: sent as u32,
            revision: 0,
            ready: true,
            loads: Vec::new(),
        });
        let summary = |number: u32| RegionSummary {
            region: RegionId(2 + sent as u32 * 1000 + number),
            vm: other,
            incarnation: Incarnation(1),
            sequence: 1,
            age: 0,
            revision: 0,
            nodes: Vec::new(),
            capacities: Vec::new(),
        };
        heartbeat.summaries = (0..1000).map(summary).collect();
        peers.apply_heartbeat(Time(sent), me, &heartbeat, &region_of);
    }
    let known = peers.summaries(Time(100), 0, RegionId(1), usize::MAX);
    assert!(known.len() < MAX_KNOWN, "{} regions known", known.len());
}

/// Guards against queries without end, whose answers wait for datagrams.
#[test]
fn reports_bounded() {
    let mut origins = StreamOrigins::default();
    for stream in 0..u64::from(NAMES) {
        let origin = StreamOrigin {
            stream: StreamId(stream),
            version: None,
        };
        origins.report(VmId(2), origin, Time(0));
    }
    let mut waiting = 0;
    loop {
        let taken = origins.take_report(VmId(2)).origins.len();
        if taken == 0 {
            break;
        }
        waiting += taken;
    }
    assert!(waiting < MAX_KNOWN, "{waiting} origins wait");
}
