//! Heartbeats over UDP, authenticated with a MAC under the deployment's secret.
//!
//! A datagram costs 28 bytes of headers and 16 bytes of MAC, and needs no connection, which could
//! stall.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_io::Async;
use seam_core::Event;
use seam_protocol::Heartbeat;
use seam_protocol::key::{append_mac, verify_mac};

use crate::runtime::NodeRuntime;

/// Maximum size of a received datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

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
        loop {
            let Ok((size, _)) = self.socket.recv_from(&mut buffer).await else {
                // The error concerns an earlier datagram that its receiver's system rejected. The
                // socket stays usable.
                continue;
            };
            let payload = verify_mac(&runtime.secrets().fleet, &buffer[..size]);
            let Some(heartbeat) = payload.and_then(Heartbeat::decode) else {
                runtime.metrics.heartbeat_rejected();
                continue;
            };
            runtime.metrics.heartbeat_received(size);
            runtime.handle(Event::Heartbeat(Box::new(heartbeat)));
        }
    }
}
