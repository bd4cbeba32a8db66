//! Heartbeats over UDP, authenticated with a MAC under the deployment's secret.
//!
//! A datagram costs 28 bytes of headers and 16 bytes of MAC, and needs no connection, which could
//! stall.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future;
use seam_core::Event;
use seam_http::bounds::{Bound, record_exceeded};
use seam_protocol::Heartbeat;
use seam_protocol::key::{append_mac, verify_mac};

use crate::runtime::NodeRuntime;

/// Maximum size of a received datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Number of dropped datagrams after which other tasks run.
const READS_PER_TURN: usize = 32;
/// Time in which the datagrams of a sender are counted.
const COUNT_WINDOW: Duration = Duration::from_millis(100);
/// Maximum number of datagrams of one sender in a [`COUNT_WINDOW`]. A sound node sends a work update in
/// half of it, and at most one report for each target of its region.
const MAX_DATAGRAMS: usize = 256;
/// Maximum number of senders in a [`COUNT_WINDOW`].
const MAX_SENDERS: usize = 1024;

/// Counts the datagrams of each sender.
#[derive(Debug)]
struct SenderCounts {
    window: Instant,
    counts: BTreeMap<SocketAddr, usize>,
}

impl SenderCounts {
    fn new(now: Instant) -> Self {
        Self {
            window: now,
            counts: BTreeMap::new(),
        }
    }

    /// Counts a datagram. Returns whether to handle it.
    fn admit(&mut self, now: Instant, from: SocketAddr) -> bool {
        if now.duration_since(self.window) >= COUNT_WINDOW {
            self.window = now;
            for (sender, count) in std::mem::take(&mut self.counts) {
                if count > MAX_DATAGRAMS {
                    record_exceeded(Bound::Heartbeats, sender, count);
                }
            }
        }
        if self.counts.len() >= MAX_SENDERS && !self.counts.contains_key(&from) {
            return false;
        }
        let count = self.counts.entry(from).or_default();
        *count += 1;
        *count <= MAX_DATAGRAMS
    }
}

/// The UDP socket that sends and receives heartbeats.
#[derive(Debug)]
pub struct HeartbeatSocket {
    socket: Async<UdpSocket>,
}

impl HeartbeatSocket {
    /// Binds the socket to an address.
    ///
    /// # Errors
    /// The system's error, for example if the address is in use.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(address)?;
        Ok(Self { socket })
    }

    /// Sends one heartbeat. Errors are ignored, since the next heartbeat replaces a lost one.
    pub async fn send(&self, runtime: &NodeRuntime, to: SocketAddr, heartbeat: &Heartbeat) {
        let datagram = append_mac(&runtime.secrets().fleet, heartbeat.encode());
        runtime.metrics.heartbeat_sent(datagram.len());
        let _ = self.socket.send_to(&datagram, to).await;
    }

    /// Receives heartbeats until cancelled. Datagrams with an invalid MAC or content are counted and
    /// dropped.
    pub async fn receive(&self, runtime: &Arc<NodeRuntime>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut senders = SenderCounts::new(Instant::now());
        for read in 1_usize.. {
            // Datagrams may always be there, and reading them never waits then.
            if read.is_multiple_of(READS_PER_TURN) {
                future::yield_now().await;
            }
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                // The error concerns an earlier datagram that its receiver's system rejected. The
                // socket stays usable.
                continue;
            };
            if !senders.admit(Instant::now(), from) {
                runtime.metrics.heartbeat_rejected();
                continue;
            }
            let payload = verify_mac(&runtime.secrets().fleet, &buffer[..size]);
            let Some(heartbeat) = payload.and_then(Heartbeat::decode) else {
                runtime.metrics.heartbeat_rejected();
                continue;
            };
            runtime.metrics.heartbeat_received(size);
            runtime.handle(Event::Heartbeat(Box::new(heartbeat)));
            future::yield_now().await;
        }
    }
}
