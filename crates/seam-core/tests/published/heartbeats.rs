//! Heartbeats between nodes, which take the time of the network.

use std::net::SocketAddr;

use seam_core::Event;
use seam_protocol::{Heartbeat, Time};

use crate::fleet::address;
use crate::mutants::InjectedFault;
use crate::world::Simulation;

/// A heartbeat on its way.
pub struct SentHeartbeat {
    from: usize,
    to: usize,
    arrives: Time,
    heartbeat: Box<Heartbeat>,
}

impl Simulation {
    /// Sends a heartbeat of a node to an address.
    pub fn send_heartbeat(&mut self, from: usize, to: SocketAddr, mut heartbeat: Box<Heartbeat>) {
        let Some(to) = (0..self.nodes.len()).find(|other| address(*other) == to) else {
            return;
        };
        if self.fault == InjectedFault::HideRevisions {
            heartbeat.items_revision = 0;
        }
        let arrives = self.fleet.now + self.latency(from, to);
        self.heartbeats.push(SentHeartbeat {
            from,
            to,
            arrives,
            heartbeat,
        });
    }

    /// Delivers the heartbeats that are due. Those to a node that cannot be reached are lost.
    pub fn deliver_heartbeats(&mut self) {
        let now = self.fleet.now;
        self.collect();
        let heartbeats = std::mem::take(&mut self.heartbeats);
        let (mut due, later): (Vec<_>, Vec<_>) =
            heartbeats.into_iter().partition(|sent| sent.arrives <= now);
        self.heartbeats = later;
        due.sort_by_key(|sent| sent.arrives);
        for sent in due {
            if self.fleet.connected(sent.from, sent.to) {
                self.fleet.handle(sent.to, Event::Heartbeat(sent.heartbeat));
            }
        }
        self.collect();
    }
}
