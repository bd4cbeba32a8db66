//! Serves HTTP/1.1 and HTTP/2 on one address.

mod pace;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::body::Body;
use crate::exec::{Spawner, spawn};
pub use pace::CallerLimits;
use pace::{Overdue, Pace, PacedStream};

/// How an HTTP/2 connection starts.
const PREFACE: &[u8] = b"PRI * HTTP/2.0";
/// Time between two looks at a connection that sent less than a preface.
const PEEK_AGAIN: Duration = Duration::from_millis(2);
/// Interval of HTTP/2 pings.
const PING: Duration = Duration::from_secs(10);
/// Smallest bound on a block of header fields that the library takes, in bytes.
const LEAST_HEAD_BYTES: usize = 8 << 10;
/// Most connections of one listener.
const MOST_CONNECTIONS: usize = 10_000;

/// Stops servers gracefully: no new connections, open requests end.
#[derive(Clone, Debug)]
pub struct Stop {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Stop {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Stop {
    /// Stops every server that holds a clone.
    pub fn stop(&self) {
        self.sender.close();
    }

    /// Waits for [`Self::stop`].
    pub async fn stopped(&self) {
        while self.receiver.recv().await.is_ok() {}
    }
}

/// A bound address.
#[derive(Debug)]
pub struct Listener {
    inner: Async<TcpListener>,
    /// Address in use.
    pub address: SocketAddr,
}

impl Listener {
    /// Binds an address. Port 0 takes one from the system.
    ///
    /// ```
    /// let listener = seam_http::Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    /// assert_ne!(listener.address.port(), 0);
    /// ```
    ///
    /// # Errors
    /// The system's error, such as an address in use.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let inner = Async::<TcpListener>::bind(address)?;
        let address = inner.get_ref().local_addr()?;
        Ok(Self { inner, address })
    }
}

/// Accepts connections until stopped and hands each request to a function.
pub async fn serve<F, R>(listener: Listener, stop: Stop, handler: F)
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let bounds = CallerLimits::default;
    serve_with_limits(MOST_CONNECTIONS, bounds, listener, stop, handler).await;
}

/// Like [`serve`], with a bound on the connections open at once, and bounds on what callers send.
///
/// The bounds on callers are asked for again for each request.
pub async fn serve_with_limits<F, R, B>(
    most: usize,
    bounds: B,
    listener: Listener,
    stop: Stop,
    handler: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
    B: Fn() -> CallerLimits + Send + Sync + 'static,
{
    let shared = Arc::new((handler, bounds));
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = async { Some(listener.inner.accept().await) };
        let stopped = async {
            stop.stopped().await;
            None
        };
        let Some(accepted) = accepted.or(stopped).await else {
            break;
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("no connection accepted on {}: {error}", listener.address);
                Timer::after(PEEK_AGAIN).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= most {
            log::warn!("connection of {from} closed: {most} are open");
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (shared, stop, open) = (shared.clone(), stop.clone(), open.clone());
        spawn(async move {
            if let Err(error) = connection(stream, from, stop, shared).await {
                log::debug!("connection of {from} ended: {error}");
            }
            open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

/// Tells whether a connection starts as HTTP/2.
async fn speaks_http2(stream: &Async<TcpStream>) -> io::Result<bool> {
    let mut head = [0; PREFACE.len()];
    loop {
        let read = stream.peek(&mut head).await?;
        if read == 0 || head[..read] != PREFACE[..read] {
            return Ok(false);
        }
        if read == PREFACE.len() {
            return Ok(true);
        }
        Timer::after(PEEK_AGAIN).await;
    }
}

async fn connection<F, R, B>(
    stream: Async<TcpStream>,
    from: SocketAddr,
    stop: Stop,
    shared: Arc<(F, B)>,
) -> Result<(), hyper::Error>
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
    B: Fn() -> CallerLimits + Send + Sync + 'static,
{
    crate::client::enable_dead_peer_detection(stream.get_ref());
    let pace = Pace::start(Instant::now());
    let bounds = || shared.1();
    let late = async {
        pace.overdue(bounds).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let idle_stop = async {
        stop.stopped().await;
        Err(io::ErrorKind::ConnectionAborted.into())
    };
    let Ok(http2) = speaks_http2(&stream).or(late).or(idle_stop).await else {
        return Ok(());
    };
    let head_bytes = bounds().max_head_bytes.max(LEAST_HEAD_BYTES);
    if http2 {
        let service = service_fn(|request| {
            let answer = shared.0(request, from);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = hyper::server::conn::http2::Builder::new(Spawner)
            .timer(SmolTimer::new())
            .keep_alive_interval(PING)
            .max_header_list_size(head_bytes as u32)
            .serve_connection(FuturesIo::new(stream), service);
        let mut connection = pin!(connection);
        let ended = until_stopped(connection.as_mut(), &stop).await;
        if let Some(ended) = ended {
            return ended;
        }
        connection.as_mut().graceful_shutdown();
        return connection.await;
    }
    let stream = PacedStream::new(stream, pace.clone());
    let served = async {
        let service = service_fn(|request| {
            pace.called();
            let (answer, pace) = (shared.0(request, from), pace.clone());
            async move { Ok::<_, Infallible>(pace.until_sent(answer.await)) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(None)
            .max_buf_size(head_bytes)
            .half_close(false)
            .serve_connection(FuturesIo::new(stream.clone()), service);
        let mut connection = pin!(connection);
        let ended = until_stopped(connection.as_mut(), &stop).await;
        if let Some(ended) = ended {
            return Ok(ended);
        }
        connection.as_mut().graceful_shutdown();
        Ok(connection.await)
    };
    let overdue = async { Err(pace.overdue(bounds).await) };
    match served.or(overdue).await {
        Ok(ended) => ended,
        Err(Overdue::Idle) => Ok(()),
        Err(Overdue::Head) => {
            log::info!("the head of a request from {from} took too long");
            stream.refuse_late().await;
            Ok(())
        }
    }
}

/// Drives a connection until it ends, or `None` once the server is stopped.
async fn until_stopped<T>(connection: impl Future<Output = T>, stop: &Stop) -> Option<T> {
    let stopped = async {
        stop.stopped().await;
        None
    };
    future::or(async { Some(connection.await) }, stopped).await
}
