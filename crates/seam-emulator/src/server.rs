//! A stand-in's server, which can be stopped, crashed or silenced.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use http::{Request, Response};
use hyper::body::Incoming;
use seam_http::{Body, Listener, Stop, lock, serve, spawn};

/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);
/// Most looks at a condition.
const MOST_LOOKS: usize = 1000;

/// A running server. Dropping it closes its address.
#[derive(Debug)]
pub struct Server {
    /// Address in use.
    pub address: SocketAddr,
    stop: Stop,
    task: Mutex<Option<Task<()>>>,
}

impl Server {
    /// Starts a server on an address of the system's choice.
    ///
    /// # Panics
    /// If the system has no port to give.
    pub fn start<F, R>(handler: F) -> Self
    where
        F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any, handler)
    }

    /// Starts a server on a given address.
    ///
    /// # Panics
    /// If the address is in use.
    pub fn start_at<F, R>(address: SocketAddr, handler: F) -> Self
    where
        F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = Listener::bind(address).expect("the address is free");
        let address = listener.address;
        let stop = Stop::default();
        let task = spawn(serve(listener, stop.clone(), handler));
        Self {
            address,
            stop,
            task: Mutex::new(Some(task)),
        }
    }

    /// Closes the address at once, so that new connections are refused.
    pub fn close(&self) {
        self.stop.stop();
        lock(&self.task).take();
    }
}

/// Returns an address that was free a moment ago; another program may take it meanwhile.
///
/// # Panics
/// If the system has no port to give.
#[must_use]
pub fn free_address() -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = std::net::TcpListener::bind(any).expect("the system has ports to give");
    listener.local_addr().expect("it is bound")
}

/// Waits until a condition holds.
///
/// # Panics
/// If it does not hold after many looks.
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    for _ in 0..MOST_LOOKS {
        if holds() {
            return;
        }
        Timer::after(LOOK).await;
    }
    panic!("the condition never held");
}
