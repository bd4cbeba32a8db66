//! The pool of idle connections to targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use seam_core::Event;
use seam_http::{ClientError, Connection, lock};
use seam_protocol::TargetId;

/// Maximum idle time of a connection that is reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
/// Maximum idle time of a connection that is reused for a non-repeatable request, well below the
/// keep-alive timeouts of servers.
const MAX_IDLE_TIME_ONCE: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to one target.
const MAX_IDLE: usize = 64;
/// Divisor of a target's stated number of connections that yields how many of them all nodes of a
/// region together keep idle at most.
const IDLE_DIVISOR: usize = 4;
/// Timeout for opening a connection to a target in the node's region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle connections to targets.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl Pool {
    fn take_idle(&self, address: SocketAddr, max_idle_time: Duration) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(&address)?;
        while let Some((since, connection)) = list.pop() {
            if since.elapsed() < max_idle_time && connection.usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection that can carry another request into the pool, unless the pool holds
    /// `max_idle` to this target already.
    pub fn put(&self, address: SocketAddr, connection: Connection, max_idle: usize) {
        let mut idle = lock(&self.idle);
        let list = idle.entry(address).or_default();
        if list.len() < max_idle {
            list.push((Instant::now(), connection));
        }
    }

    /// Closes the idle connections to a target, for example after it became silent.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Returns an idle connection or opens a new one, with whether it was idle. A non-repeatable
    /// request gets only a connection that was idle for a short time, because the outcome would be
    /// unknown if the target closed the connection meanwhile.
    ///
    /// # Errors
    /// The error of opening a connection; nothing was sent.
    pub async fn connection(
        &self,
        address: SocketAddr,
        repeatable: bool,
    ) -> Result<(Connection, bool), ClientError> {
        let max_idle_time = if repeatable {
            MAX_IDLE_TIME
        } else {
            MAX_IDLE_TIME_ONCE
        };
        if let Some(connection) = self.take_idle(address, max_idle_time) {
            return Ok((connection, true));
        }
        Ok((open(address).await?, false))
    }
}

/// Opens a new connection to a target.
///
/// # Errors
/// The error of opening it; nothing was sent.
pub async fn open(address: SocketAddr) -> Result<Connection, ClientError> {
    let mut connection = Connection::open_within(address, CONNECT_TIMEOUT).await?;
    connection.ready().await?;
    Ok(connection)
}

/// Opens a new connection to a target and returns what came of it. Connections that hang are tried again
/// for at least `patience`, since the system repeats its first packet late.
pub async fn probe(target: TargetId, address: SocketAddr, patience: Duration) -> Event {
    let start = Instant::now();
    loop {
        let opened = Connection::open_within(address, CONNECT_TIMEOUT).await;
        let Err(error) = opened else {
            let accepted = true;
            return Event::Probed { target, accepted };
        };
        let hung = matches!(&error, ClientError::Connect { source, .. }
            if source.kind() == std::io::ErrorKind::TimedOut);
        if hung && start.elapsed() < patience {
            continue;
        }
        log::info!("probe of {address} failed: {error}");
        if hung {
            return Event::ProbeHung(target);
        }
        let accepted = false;
        return Event::Probed { target, accepted };
    }
}

/// Returns the maximum number of idle connections that one node keeps to a target.
///
/// `connections` is the number that the target accepts, zero if it states none, and `nodes` is the
/// number of nodes in the region that share them.
///
/// ```
/// use seam_node::pool::max_idle_connections;
/// assert_eq!(max_idle_connections(630, 3), 52);
/// assert_eq!(max_idle_connections(2, 3), 1);
/// assert_eq!(max_idle_connections(0, 3), 64);
/// ```
#[must_use]
pub fn max_idle_connections(connections: usize, nodes: usize) -> usize {
    if connections == 0 {
        return MAX_IDLE;
    }
    MAX_IDLE.min((connections / (IDLE_DIVISOR * nodes.max(1))).max(1))
}
