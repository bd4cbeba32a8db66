//! Heartbeats over UDP, sealed with the deployment's secret.
//!
//! A datagram costs 28 bytes of headers and 16 of MAC, and needs no connection that can go silent.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_io::Async;
use seam_core::Event;
use seam_protocol::Heartbeat;
use seam_protocol::key::{open, seal};

use crate::hub::Hub;

/// Largest datagram read, in bytes.
const LARGEST: usize = 16 << 10;

/// Sends and receives heartbeats.
#[derive(Debug)]
pub struct HeartbeatSocket {
    socket: Async<UdpSocket>,
}

impl HeartbeatSocket {
    /// Binds the address.
    ///
    /// # Errors
    /// The system's error, such as an address in use.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(address)?;
        Ok(Self { socket })
    }

    /// Sends one heartbeat. A lost one is replaced by the next.
    pub async fn send(&self, hub: &Hub, to: SocketAddr, beat: &Heartbeat) {
        let sealed = seal(&hub.secrets().fleet, beat.encode());
        hub.metrics.heartbeat_sent(sealed.len());
        let _ = self.socket.send_to(&sealed, to).await;
    }

    /// Receives heartbeats until the socket fails. Those without the right MAC are dropped.
    pub async fn receive(&self, hub: &Arc<Hub>) {
        let mut buffer = vec![0; LARGEST];
        loop {
            let Ok((size, _)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram was refused by its receiver's system; the socket goes on.
                continue;
            };
            let payload = open(&hub.secrets().fleet, &buffer[..size]);
            let Some(beat) = payload.and_then(Heartbeat::decode) else {
                hub.metrics.heartbeat_rejected();
                continue;
            };
            hub.metrics.heartbeat_received(size);
            hub.handle(Event::Beat(beat));
        }
    }
}
