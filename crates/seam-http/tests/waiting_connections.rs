//! Connections that arrive faster than they are accepted.

use std::net::SocketAddr;
use std::time::Duration;

use seam_http::Listener;
use socket2::{Domain, Socket, Type};

/// Connections that arrive while none is accepted.
const BURST: usize = 400;
/// Time within which a node gives up connecting. A dropped connection attempt is repeated after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Guards against a burst of connections of which the system drops some, as too many wait.
#[test]
fn burst_kept() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any).expect("a free port is available");
    let address = listener.address.into();
    let mut waiting = Vec::new();
    for count in 0..BURST {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
        let connected = socket.connect_timeout(&address, CONNECT_TIMEOUT);
        assert!(
            connected.is_ok(),
            "{count} wait, the next one: {connected:?}"
        );
        waiting.push(socket);
    }
}
