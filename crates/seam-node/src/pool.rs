//! Connections to targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use seam_http::{ClientError, Connection, lock};

/// Longest idle time of a connection that is used again.
const IDLE: Duration = Duration::from_secs(5);
/// Longest idle time of a connection that is used for a request which may not be repeated; well
/// below what servers keep them open for.
const IDLE_ONCE: Duration = Duration::from_millis(500);
/// Most idle connections to one target.
const MOST_IDLE: usize = 64;
/// Part of a target's stated connections that all nodes of a region keep idle at most, as its
/// divisor.
const IDLE_PART: usize = 4;
/// Time for a target of the own region to accept a connection.
const ACCEPT: Duration = Duration::from_millis(700);

/// Idle connections to targets.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl Pool {
    fn take_idle(&self, address: SocketAddr, idle: Duration) -> Option<Connection> {
        let mut held = lock(&self.idle);
        let list = held.get_mut(&address)?;
        while let Some((since, connection)) = list.pop() {
            if since.elapsed() < idle && connection.usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection that can carry another request, up to a number.
    pub fn put(&self, address: SocketAddr, connection: Connection, most: usize) {
        let mut idle = lock(&self.idle);
        let list = idle.entry(address).or_default();
        if list.len() < most {
            list.push((Instant::now(), connection));
        }
    }

    /// Closes idle connections to a target, as after a silent one.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Returns a connection. A request that may not be repeated gets one that was idle for a moment at
    /// most, since one that is closing would leave its outcome unknown.
    ///
    /// # Errors
    /// Those of a new connection, on which nothing was sent.
    pub async fn connection(
        &self,
        address: SocketAddr,
        repeatable: bool,
    ) -> Result<Connection, ClientError> {
        let idle = if repeatable { IDLE } else { IDLE_ONCE };
        if let Some(connection) = self.take_idle(address, idle) {
            return Ok(connection);
        }
        let mut connection = Connection::open_within(address, ACCEPT).await?;
        connection.ready().await?;
        Ok(connection)
    }
}

/// Returns the idle connections that a node may keep to a target which states how many it takes, among
/// the nodes of its region. A target that states none takes any.
///
/// ```
/// use seam_node::pool::most_idle;
/// assert_eq!(most_idle(630, 3), 52);
/// assert_eq!(most_idle(2, 3), 1);
/// assert_eq!(most_idle(0, 3), 64);
/// ```
#[must_use]
pub fn most_idle(connections: usize, nodes: usize) -> usize {
    if connections == 0 {
        return MOST_IDLE;
    }
    MOST_IDLE.min((connections / (IDLE_PART * nodes.max(1))).max(1))
}
