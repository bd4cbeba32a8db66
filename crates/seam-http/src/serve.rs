//! An HTTP/1.1 and HTTP/2 server on one address.

mod idle;
mod pace;
mod unread;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use http::{Request, Response, StatusCode, Version};
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use socket2::{Domain, Socket, Type};

use crate::body::Body;
use crate::bounds::{Bound, DiscardEnd, record_denied, record_discarded, record_exceeded};
use crate::exec::{Spawner, spawn};
use crate::frames::{FrameStream, PREFACE_BYTES};
use crate::timer::ConnectionTimer;
use idle::OpenRequests;
pub use pace::CallerLimits;
use pace::{PhaseTracker, TrackedStream, Violation};
pub use unread::Incoming;
use unread::{close_gently, discard_bodies};

/// First bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";
/// Interval between reads of a connection that has sent less than the preface and between checks for
/// open connections, and pause after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval between HTTP/2 pings.
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// Time in which the peer of an idle HTTP/2 connection answers that it is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Smallest limit on the header block, in bytes.
pub const MIN_HEAD_BYTES: usize = 8 << 10;
/// Header block that an HTTP/2 connection takes in, so that a limit raised up to it holds on open
/// connections.
const MAX_HTTP2_HEAD_BYTES: usize = 256 << 10;
/// Size that HTTP/2 adds to each header field.
const HTTP2_FIELD_BYTES: usize = 32;
/// Reason of requests that are refused for the size of their heads.
const LARGE_HEAD: &str = "large-head";
/// Maximum number of header fields, as hyper takes them over HTTP/1.1.
const MAX_FIELDS: usize = 100;

/// Limits on the connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of requests at once on an HTTP/2 connection.
    pub streams: u32,
    /// Header block in bytes beyond which an HTTP/2 connection keeps no field. A larger limit on heads
    /// counts instead.
    pub head_bytes: usize,
    /// Bytes of all request bodies that an HTTP/2 connection holds before they are read, of which one
    /// body may take a quarter.
    pub window: u32,
    /// Whether HTTP/2 connections stay open without requests, as between nodes.
    pub keeps_idle: bool,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            streams: 200,
            head_bytes: MAX_HTTP2_HEAD_BYTES,
            window: 1 << 20,
            keeps_idle: false,
        }
    }
}

impl From<usize> for ServerLimits {
    fn from(connections: usize) -> Self {
        Self {
            connections,
            ..Self::default()
        }
    }
}

/// Stops servers gracefully: they accept no new connections and finish open requests.
#[derive(Clone, Debug)]
pub struct Stop {
    sender: Sender<()>,
    receiver: Receiver<()>,
    time: Arc<OnceLock<StopTime>>,
    /// Open connections of these servers.
    open: Arc<AtomicUsize>,
}

/// When servers were stopped, and until when they discard bodies that keep arriving.
#[derive(Clone, Copy, Debug)]
struct StopTime {
    stopped: Instant,
    end: Instant,
}

impl StopTime {
    /// Returns until when a body is discarded since a time, whose last bytes were received at another.
    fn discard_end(self, since: Instant, received: Instant) -> Instant {
        let begin = self.stopped.max(since);
        let quiet = begin.max(received) + CLOSE_TIMEOUT;
        quiet.min(self.end.max(begin + CLOSE_TIMEOUT))
    }
}

/// An open connection, counted until it is dropped.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn count(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Default for Stop {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            sender,
            receiver,
            time: Arc::default(),
            open: Arc::default(),
        }
    }
}

impl Stop {
    /// Stops every server that holds a clone.
    pub fn stop(&self) {
        self.stop_by(Instant::now());
    }

    /// Like [`Self::stop`]. Until `end`, callers can still send the rest of bodies that are not read, as long
    /// as it keeps arriving.
    pub fn stop_by(&self, end: Instant) {
        let stopped = Instant::now();
        self.time.get_or_init(|| StopTime { stopped, end });
        self.sender.close();
    }

    /// Returns when the servers were stopped. To be called after [`Self::stopped`].
    fn time(&self) -> StopTime {
        let now = Instant::now();
        let time = self.time.get().copied();
        time.unwrap_or(StopTime {
            stopped: now,
            end: now,
        })
    }

    /// Waits until all connections have closed. Once the servers are stopped, each closes after the
    /// last byte of its response.
    pub async fn closed(&self) {
        while self.open.load(Ordering::Relaxed) > 0 {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn count_connection(&self) -> OpenConnection {
        OpenConnection::count(&self.open)
    }

    /// Waits for [`Self::stop`].
    pub async fn stopped(&self) {
        while self.receiver.recv().await.is_ok() {}
    }
}

/// A listening socket.
#[derive(Debug)]
pub struct Listener {
    inner: Async<TcpListener>,
    /// The local address.
    pub address: SocketAddr,
}

impl Listener {
    /// Binds an address. With port 0, the system chooses the port.
    ///
    /// ```
    /// let listener = seam_http::Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    /// assert_ne!(listener.address.port(), 0);
    /// ```
    ///
    /// # Errors
    /// The system's error, for example if the address is in use.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        /// Connections that may wait to be accepted; the system lowers it to its own limit. The
        /// standard library's is lower than the connections of a busy node, and callers repeat a
        /// dropped attempt only after a second.
        const MAX_WAITING: i32 = 4096;
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        #[cfg(unix)]
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(MAX_WAITING)?;
        let inner = Async::new(TcpListener::from(socket))?;
        let address = inner.get_ref().local_addr()?;
        Ok(Self { inner, address })
    }
}

/// Accepts connections until stopped and calls the handler for each request.
pub async fn serve<F, R>(listener: Listener, stop: Stop, handler: F)
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let limits = CallerLimits::default;
    serve_with_limits(ServerLimits::default(), limits, listener, stop, handler).await;
}

/// Like [`serve`], with limits on the connections and on what callers send.
///
/// `limits` is called again for each request, so changed limits apply to open connections.
pub async fn serve_with_limits<F, R, B>(
    server_limits: impl Into<ServerLimits>,
    limits: B,
    listener: Listener,
    stop: Stop,
    handler: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
    B: Fn() -> CallerLimits + Send + Sync + 'static,
{
    let server_limits = server_limits.into();
    let shared = Arc::new((handler, limits));
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
                log::warn!(
                    "cannot accept a connection on {}: {error}",
                    listener.address
                );
                Timer::after(POLL_INTERVAL).await;
                continue;
            }
        };
        let connections = open.load(Ordering::Relaxed);
        if connections >= server_limits.connections {
            record_exceeded(Bound::Connections, from, connections);
            continue;
        }
        let (shared, stop) = (shared.clone(), stop.clone());
        let counted = (OpenConnection::count(&open), stop.count_connection());
        spawn(async move {
            // A handler that panics also ends the connection.
            let _counted = counted;
            if let Err(error) = connection(stream, from, server_limits, stop, shared).await {
                log::debug!("connection from {from} failed: {error}");
            }
        })
        .detach();
    }
}

/// Returns whether a connection starts with the HTTP/2 preface.
async fn starts_http2(stream: &Async<TcpStream>) -> io::Result<bool> {
    let mut head = [0; HTTP2_PREFACE.len()];
    loop {
        let read = stream.peek(&mut head).await?;
        if read == 0 || head[..read] != HTTP2_PREFACE[..read] {
            return Ok(false);
        }
        if read == HTTP2_PREFACE.len() {
            return Ok(true);
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn connection<F, R, B>(
    stream: Async<TcpStream>,
    from: SocketAddr,
    server_limits: ServerLimits,
    stop: Stop,
    shared: Arc<(F, B)>,
) -> Result<(), hyper::Error>
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
    B: Fn() -> CallerLimits + Send + Sync + 'static,
{
    crate::client::enable_dead_peer_detection(stream.get_ref());
    let tracker = PhaseTracker::start(Instant::now());
    let limits = || shared.1();
    let timeout = async {
        tracker.violation(limits).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let idle_stop = async {
        stop.stopped().await;
        Err(io::ErrorKind::ConnectionAborted.into())
    };
    let Ok(http2) = starts_http2(&stream).or(timeout).or(idle_stop).await else {
        return Ok(());
    };
    let max_head_bytes = || limits().max_head_bytes.max(MIN_HEAD_BYTES);
    if http2 {
        return serve_http2(stream, from, server_limits, &stop, &shared).await;
    }
    let stream = TrackedStream::new(stream, tracker.clone(), max_head_bytes);
    let ends_with_connection = AtomicBool::new(false);
    let (leave_unread, leftovers) = async_channel::unbounded();
    let served = async {
        let service = service_fn(|request| {
            ends_with_connection.store(request.version() <= Version::HTTP_10, Ordering::Relaxed);
            let request = Incoming::track(request, &tracker, &leave_unread, limits());
            let (response, tracker) = (shared.0(request, from), tracker.clone());
            async move { Ok::<_, Infallible>(tracker.track_response(response.await)) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(ConnectionTimer)
            .header_read_timeout(None)
            // The stream bounds heads and the tracked response what is not written.
            .max_buf_size(usize::MAX)
            .half_close(false)
            .serve_connection(FuturesIo::new(stream.clone()), service);
        let mut connection = pin!(connection);
        let ended = until_stopped(connection.as_mut(), &stop).await;
        if let Some(ended) = ended {
            return Ok(ended);
        }
        tracker.stop(stop.time());
        connection.as_mut().graceful_shutdown();
        Ok(connection.await)
    };
    let overdue = async { Err(tracker.violation(limits).await) };
    let discard = async {
        discard_bodies(leftovers, from).await;
        Err(Violation::Idle)
    };
    let served = served.or(overdue).or(discard).await;
    let unread = tracker.unread();
    let discarded = unread.unwrap_or_default();
    let close = || close_gently(stream.get_ref(), from, limits(), &stop, discarded);
    match served {
        Ok(ended) => {
            let malformed = ended.as_ref().is_err_and(hyper::Error::is_parse);
            if let Err(error) = &ended
                && malformed
            {
                log_malformed(error, from);
            }
            if ended.is_err() && !malformed && ends_with_connection.into_inner() {
                // The caller would take a normal end of the connection as the end of the body.
                stream.reset_on_close();
            } else if malformed || unread.is_some() {
                close().await;
            }
            ended
        }
        Err(Violation::Idle) => Ok(()),
        Err(Violation::SlowBody) => {
            record_discarded(DiscardEnd::Time, from, discarded);
            Ok(())
        }
        Err(violation) => {
            if violation == Violation::LargeHead {
                record_exceeded(Bound::RequestHead, from, max_head_bytes());
                record_denied(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, LARGE_HEAD);
            }
            log_violation(violation, from, limits());
            stream.send_refusal(violation).await;
            close().await;
            Ok(())
        }
    }
}

/// Serves an HTTP/2 connection until it ends, is idle for too long or the server is stopped.
async fn serve_http2<F, R, B>(
    stream: Async<TcpStream>,
    from: SocketAddr,
    server_limits: ServerLimits,
    stop: &Stop,
    shared: &(F, B),
) -> Result<(), hyper::Error>
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
    B: Fn() -> CallerLimits + Send + Sync + 'static,
{
    let limits = || shared.1();
    let max_head_bytes = || limits().max_head_bytes.max(MIN_HEAD_BYTES);
    let requests = OpenRequests::default();
    let service = service_fn(|request| {
        let head_bytes = http2_head_bytes(&request);
        let accepted = head_bytes <= max_head_bytes() && request.headers().len() <= MAX_FIELDS;
        let open = requests.open();
        let response = accepted.then(|| shared.0(request.map(Incoming::from), from));
        async move {
            let response = match response {
                Some(response) => response.await,
                None => {
                    record_exceeded(Bound::RequestHead, from, head_bytes);
                    record_denied(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, LARGE_HEAD);
                    large_head_response()
                }
            };
            Ok::<_, Infallible>(open.until_end_of(response))
        }
    });
    let accepted_bytes = max_head_bytes().max(server_limits.head_bytes);
    let stream = FrameStream::new(stream, from, PREFACE_BYTES);
    let connection = hyper::server::conn::http2::Builder::new(Spawner)
        .timer(ConnectionTimer)
        .keep_alive_interval(PING_INTERVAL)
        .max_header_list_size(u32::try_from(accepted_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(server_limits.streams)
        .initial_stream_window_size(server_limits.window / 4)
        .initial_connection_window_size(server_limits.window)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let idled = AtomicBool::new(false);
    let idle = async {
        if server_limits.keeps_idle {
            future::pending::<()>().await;
        }
        requests.idle_for(|| limits().idle_timeout).await;
        idled.store(true, Ordering::Relaxed);
        None
    };
    let ended = until_stopped(connection.as_mut(), stop).or(idle).await;
    if let Some(ended) = ended {
        return ended;
    }
    connection.as_mut().graceful_shutdown();
    let unanswered = async {
        if !idled.load(Ordering::Relaxed) {
            future::pending::<()>().await;
        }
        Timer::after(CLOSE_TIMEOUT).await;
        Ok(())
    };
    connection.or(unanswered).await
}

/// Counts and logs a head that cannot be parsed, to which the HTTP library responds.
fn log_malformed(error: &hyper::Error, from: SocketAddr) {
    let (status, reason) = if error.is_parse_too_large() {
        (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, LARGE_HEAD)
    } else {
        (StatusCode::BAD_REQUEST, "malformed-head")
    };
    record_denied(status, reason);
    log::info!(
        target: "request",
        caller:% = from, status = status.as_u16(), reason = reason, error:% = error;
        "request headers malformed"
    );
}

/// Logs a head that is refused, with the configuration that states the limit.
fn log_violation(violation: Violation, from: SocketAddr, limits: CallerLimits) {
    let max_bytes = limits.max_head_bytes.max(MIN_HEAD_BYTES);
    let (status, limit, message) = match violation {
        Violation::LargeHead => (431, max_bytes as u64, "request headers too large"),
        Violation::SlowHead | Violation::SlowBody | Violation::Idle => (
            408,
            limits.head_timeout.as_millis() as u64,
            "request headers not complete in time",
        ),
    };
    log::info!(
        target: "request",
        caller:% = from, status = status, limit = limit, config = limits.revision;
        "{message}"
    );
}

/// Returns the size of a head by the rules of HTTP/2.
fn http2_head_bytes<T>(request: &Request<T>) -> usize {
    /// Names of the fields for method, scheme, authority and path.
    const NAMES: [&str; 4] = [":method", ":scheme", ":authority", ":path"];
    let uri = request.uri();
    let values = [
        Some(request.method().as_str()),
        uri.scheme_str(),
        uri.authority().map(http::uri::Authority::as_str),
        uri.path_and_query().map(http::uri::PathAndQuery::as_str),
    ];
    let pseudo = NAMES.iter().zip(values);
    let pseudo = pseudo.filter_map(|(name, value)| value.map(|value| (name.len(), value.len())));
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| (name.as_str().len(), value.len()));
    let sizes = pseudo.chain(fields);
    sizes
        .map(|(name, value)| name + value + HTTP2_FIELD_BYTES)
        .sum()
}

/// Refuses a request whose head is too large.
fn large_head_response() -> Response<Body> {
    let mut response = Response::new(crate::body::full(""));
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    response
}

/// Drives a connection until it ends. Returns `None` if the server is stopped first.
async fn until_stopped<T>(connection: impl Future<Output = T>, stop: &Stop) -> Option<T> {
    let stopped = async {
        stop.stopped().await;
        None
    };
    future::or(async { Some(connection.await) }, stopped).await
}
