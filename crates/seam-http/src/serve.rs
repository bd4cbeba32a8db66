//! Serves HTTP/1.1 and HTTP/2 on one address.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::body::Body;
use crate::exec::{Spawner, spawn};

/// How an HTTP/2 connection starts.
const PREFACE: &[u8] = b"PRI * HTTP/2.0";
/// Time between two looks at a connection that sent less than a preface.
const PEEK_AGAIN: Duration = Duration::from_millis(2);
/// Time within which a new connection must send its first bytes.
const FIRST_BYTES: Duration = Duration::from_secs(30);
/// Time for a caller to send its header fields.
const HEADER_TIME: Duration = Duration::from_secs(30);
/// Interval of HTTP/2 pings.
const PING: Duration = Duration::from_secs(10);
/// Largest block of header fields in bytes.
const HEADER_BYTES: usize = 64 << 10;
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
    serve_most(MOST_CONNECTIONS, listener, stop, handler).await;
}

/// Like [`serve`], with a bound on the connections open at once.
pub async fn serve_most<F, R>(most: usize, listener: Listener, stop: Stop, handler: F)
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
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
        let Ok((stream, from)) = accepted else {
            Timer::after(PEEK_AGAIN).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= most {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (handler, stop, open) = (handler.clone(), stop.clone(), open.clone());
        spawn(async move {
            let _ = connection(stream, from, stop, handler).await;
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

async fn connection<F, R>(
    stream: Async<TcpStream>,
    from: SocketAddr,
    stop: Stop,
    handler: Arc<F>,
) -> Result<(), hyper::Error>
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    crate::client::notice_silence(stream.get_ref());
    let late = async {
        Timer::after(FIRST_BYTES).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let idle_stop = async {
        stop.stopped().await;
        Err(io::ErrorKind::ConnectionAborted.into())
    };
    let Ok(http2) = speaks_http2(&stream).or(late).or(idle_stop).await else {
        return Ok(());
    };
    let service = service_fn(move |request| {
        let answer = handler(request, from);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let io = FuturesIo::new(stream);
    if http2 {
        let connection = hyper::server::conn::http2::Builder::new(Spawner)
            .timer(SmolTimer::new())
            .keep_alive_interval(PING)
            .max_header_list_size(HEADER_BYTES as u32)
            .serve_connection(io, service);
        let mut connection = pin!(connection);
        let ended = until_stopped(connection.as_mut(), &stop).await;
        if let Some(ended) = ended {
            return ended;
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    } else {
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(HEADER_TIME)
            .max_buf_size(HEADER_BYTES)
            .half_close(false)
            .serve_connection(io, service);
        let mut connection = pin!(connection);
        let ended = until_stopped(connection.as_mut(), &stop).await;
        if let Some(ended) = ended {
            return ended;
        }
        connection.as_mut().graceful_shutdown();
        connection.await
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
