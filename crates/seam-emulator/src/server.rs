//! HTTP server of the emulated components, and helpers for tests that wait.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use http::{Request, Response};
use seam_http::{Body, Incoming, Listener, Stop, lock, serve, spawn};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of checks before a wait fails.
const MAX_POLLS: usize = 1000;

/// A running server. Dropping it closes its address.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    stop: Stop,
    task: Mutex<Option<Task<()>>>,
}

impl Server {
    /// Starts a server on a loopback address with a port that the system assigns.
    ///
    /// # Panics
    /// If the system has no free port.
    pub fn start<F, R>(handler: F) -> Self
    where
        F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any_port, handler)
    }

    /// Starts a server on the given address.
    ///
    /// # Panics
    /// If the address cannot be bound, for example because it is in use.
    pub fn start_at<F, R>(address: SocketAddr, handler: F) -> Self
    where
        F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = Listener::bind(address).expect("the address can be bound");
        let address = listener.address;
        let stop = Stop::default();
        let task = spawn(serve(listener, stop.clone(), handler));
        Self {
            address,
            stop,
            task: Mutex::new(Some(task)),
        }
    }

    /// Closes the address immediately, so that new connections are refused.
    pub fn close(&self) {
        self.stop.stop();
        lock(&self.task).take();
    }
}

/// Returns a free loopback address. Another program can bind it before the caller does.
///
/// # Panics
/// If the system has no free port.
#[must_use]
pub fn free_address() -> SocketAddr {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = std::net::TcpListener::bind(any_port).expect("the system has a free port");
    listener
        .local_addr()
        .expect("a bound listener has a local address")
}

/// Polls a condition until it holds.
///
/// # Panics
/// If the condition still does not hold after about 20 seconds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    panic!("the condition does not hold after {MAX_POLLS} checks");
}
