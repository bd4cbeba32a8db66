//! HTTP client connections.

use std::error::Error;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode, header};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::client::conn::{http1, http2};
use hyper::ext::on_informational;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;
use snafu::{ResultExt, Snafu};

use crate::body::Body;
use crate::bounds::{Bound, record_exceeded};
use crate::exec::{Spawner, spawn};
use crate::frames::FrameStream;
use crate::guard::{GuardedStream, ProgressMeter, ResponseBody};
use crate::liveness::{ACK_TIMEOUT, LiveStream};
use crate::timer::ConnectionTimer;

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for opening a connection to another node. It exceeds the longest round trip between
/// regions.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which a connection with sent but unacknowledged bytes is closed
/// (`TCP_USER_TIMEOUT`). It also ends connections whose keepalive probes are not answered.
/// Three probes must have been due before a connection is closed.
const USER_TIMEOUT: Duration = ACK_TIMEOUT;
/// Idle time after which TCP keepalive probes start.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered TCP keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
const _: () = assert!(
    USER_TIMEOUT.as_millis() > KEEPALIVE_IDLE.as_millis() + 2 * KEEPALIVE_INTERVAL.as_millis(),
    "the third keepalive probe must be due before the user timeout"
);
/// Bytes of a long response that must arrive within the time limit of the call.
pub const MIN_PROGRESS: usize = 128 << 10;
/// Maximum size of a head in bytes, and of the buffer that a connection reads into. Parts of a body are
/// not larger.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Bytes of all responses that an HTTP/2 connection holds before they are read.
const WINDOW_BYTES: u32 = 1 << 20;
/// The same for one response. Others must go on beside some that are not read.
const STREAM_WINDOW_BYTES: u32 = WINDOW_BYTES / 4;
/// Interval between HTTP/2 pings.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout for an HTTP/2 ping acknowledgement.
const PING_TIMEOUT: Duration = Duration::from_millis(1800);
/// Time from a write until a connection's task runs again, far more than a request takes to count as open.
const WAKEUP_DELAY: Duration = Duration::from_millis(50);
const _: () = assert!(
    PING_INTERVAL.as_millis() + PING_TIMEOUT.as_millis() + 2 * WAKEUP_DELAY.as_millis()
        < ACK_TIMEOUT.as_millis(),
    "a silent peer must be found as soon as one that acknowledges nothing"
);

/// An error of a request.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection could not be opened, so nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The remote address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The connection closed before anything was sent.
    #[snafu(display("the connection closed before the request was sent"))]
    NotSent,
    /// The request failed after some of it may have been sent.
    #[snafu(display("the request failed after it may have been sent: {}", describe(source)))]
    Exchange {
        /// The error from `hyper`.
        source: hyper::Error,
    },
    /// The response was not complete in time.
    #[snafu(display("no complete response within {} ms", limit.as_millis()))]
    Timeout {
        /// The timeout.
        limit: Duration,
    },
    /// The response body is truncated.
    #[snafu(display("cannot read the response body: {message}"))]
    Body {
        /// What went wrong.
        message: String,
    },
    /// The response body is too large.
    #[snafu(display("the response body has more than {max_bytes} bytes"))]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// The response body stopped arriving, or arrived too slowly.
    #[snafu(display(
        "the response body stalled after {received} bytes, with too few within {} ms",
        limit.as_millis()
    ))]
    Stalled {
        /// Bytes received until then.
        received: usize,
        /// The timeout.
        limit: Duration,
    },
    /// The response has an unexpected status.
    #[snafu(display("{address} returned the unexpected status {status}"))]
    Status {
        /// The remote address.
        address: SocketAddr,
        /// The status it returned.
        status: StatusCode,
    },
    /// The body is not the expected JSON.
    #[snafu(display("the response from {address} is not the expected JSON: {source}"))]
    Json {
        /// The remote address.
        address: SocketAddr,
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// Returns an error with its cause, which its own text leaves out.
#[must_use]
pub fn describe(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// A request that failed at a connection.
#[derive(Debug)]
pub struct SendError {
    /// The error.
    pub error: ClientError,
    /// The request, if it is certain that nothing of it was sent.
    pub unsent: Option<Request<Body>>,
}

impl ClientError {
    /// Returns whether it is certain that nothing was sent.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::NotSent)
    }

    /// Returns whether the same request would fail the same way again, since its response is too large,
    /// too slow or unreadable. A response that broke off may be complete the next time.
    ///
    /// ```
    /// use seam_http::ClientError;
    /// assert!(ClientError::TooLarge { max_bytes: 1 }.repeats());
    /// let message = "connection reset".to_owned();
    /// assert!(!ClientError::Body { message }.repeats());
    /// ```
    #[must_use]
    pub fn repeats(&self) -> bool {
        matches!(
            self,
            Self::TooLarge { .. } | Self::Stalled { .. } | Self::Json { .. }
        )
    }
}

/// Opens a TCP connection.
async fn connect_within(
    address: SocketAddr,
    limit: Duration,
) -> Result<Async<TcpStream>, ClientError> {
    let timeout = async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = Async::<TcpStream>::connect(address)
        .or(timeout)
        .await
        .context(ConnectSnafu { address })?;
    enable_keepalive(stream.get_ref());
    Ok(stream)
}

/// Makes a connection detect an unresponsive peer, both while it is idle and while it sends.
///
/// Options that the system does not support are ignored.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) {
    enable_keepalive(stream);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Makes a connection detect an unresponsive peer while it is idle.
fn enable_keepalive(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

/// An HTTP/1.1 client connection. It carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
    meter: ProgressMeter,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`ClientError::Connect`], since nothing was sent.
    pub async fn open(address: SocketAddr) -> Result<Self, ClientError> {
        Self::open_within(address, CONNECT_TIMEOUT).await
    }

    /// Opens a connection with a timeout.
    ///
    /// # Errors
    /// [`ClientError::Connect`], since nothing was sent.
    pub async fn open_within(address: SocketAddr, limit: Duration) -> Result<Self, ClientError> {
        let stream = connect_within(address, limit).await?;
        let meter = ProgressMeter::new(address);
        let stream = GuardedStream::new(LiveStream::new(stream), meter.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .context(ExchangeSnafu)?;
        spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender, meter })
    }

    /// Returns whether the connection can carry another request.
    #[must_use]
    pub fn usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can carry a request.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] if it was closed.
    pub async fn ready(&mut self) -> Result<(), ClientError> {
        self.sender.ready().await.map_err(|_| ClientError::NotSent)
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] if it is certain that nothing was sent, otherwise
    /// [`ClientError::Exchange`].
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<ResponseBody>, ClientError> {
        let response = self.try_send(request).await;
        response.map_err(|failed| failed.error)
    }

    /// Like [`Self::send`], but returns a request of which nothing was sent.
    ///
    /// # Errors
    /// See [`Self::send`].
    pub async fn try_send(
        &mut self,
        mut request: Request<Body>,
    ) -> Result<Response<ResponseBody>, SendError> {
        self.meter.mark_request();
        let meter = self.meter.clone();
        on_informational(&mut request, move |_| meter.count_interim());
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.meter.mark_head();
                Ok(response.map(|body| ResponseBody::new(body, self.meter.clone())))
            }
            Err(mut error) => {
                let unsent = error.take_message();
                let error = match unsent {
                    Some(_) => ClientError::NotSent,
                    None => ClientError::Exchange {
                        source: error.into_error(),
                    },
                };
                Err(SendError { error, unsent })
            }
        }
    }
}

/// Opens an HTTP/2 connection that is monitored by pings.
///
/// # Errors
/// [`ClientError::Connect`], or [`ClientError::Exchange`] if the server does not support HTTP/2.
pub async fn open_http2<B>(address: SocketAddr) -> Result<http2::SendRequest<B>, ClientError>
where
    B: http_body::Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = connect_within(address, PEER_CONNECT_TIMEOUT).await?;
    enable_dead_peer_detection(stream.get_ref());
    let stream = FrameStream::new(stream, address, 0).wake_after_writes(WAKEUP_DELAY);
    let (sender, connection) = http2::Builder::new(Spawner)
        .timer(ConnectionTimer)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .context(ExchangeSnafu)?;
    spawn(async move {
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

/// Sends a request on a new connection.
async fn send_once(
    address: SocketAddr,
    mut request: Request<Body>,
) -> Result<Response<ResponseBody>, ClientError> {
    if !request.headers().contains_key(header::HOST)
        && let Ok(host) = address.to_string().parse()
    {
        request.headers_mut().insert(header::HOST, host);
    }
    Connection::open(address).await?.send(request).await
}

/// Sends one request on a new connection and reads the whole response.
///
/// `limit` bounds the whole call, `max_bytes` the response body.
///
/// # Errors
/// See [`ClientError`].
pub async fn fetch(
    address: SocketAddr,
    request: Request<Body>,
    limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, ClientError> {
    let exchange = async {
        let (head, body) = send_once(address, request).await?.into_parts();
        let body = read_body(body, max_bytes).await;
        if let Err(ClientError::TooLarge { max_bytes }) = body {
            record_exceeded(Bound::ResponseBody, address, max_bytes);
        }
        Ok(Response::from_parts(head, body?))
    };
    exchange
        .or(expired(limit, ClientError::Timeout { limit }))
        .await
}

async fn expired<T>(limit: Duration, error: ClientError) -> Result<T, ClientError> {
    Timer::after(limit).await;
    Err(error)
}

/// Sends one request on a new connection and reads the whole response, for as long as its body
/// arrives.
///
/// `limit` bounds the time until the head, which may be longer by `wait`, and each span of the body in
/// which less than [`MIN_PROGRESS`] arrives. `max_bytes` bounds the body; one whose declared length is
/// larger is not read.
///
/// # Errors
/// See [`ClientError`]. [`ClientError::Body`], [`ClientError::TooLarge`] and
/// [`ClientError::Stalled`] mean that the response had begun.
pub async fn fetch_long(
    address: SocketAddr,
    request: Request<Body>,
    wait: Duration,
    limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, ClientError> {
    let (head, body) = send_within(address, request, wait + limit)
        .await?
        .into_parts();
    let body = read_long(address, body, limit, max_bytes).await?;
    Ok(Response::from_parts(head, body))
}

/// Sends one request on a new connection and waits for the head of the response.
///
/// # Errors
/// See [`ClientError`].
pub async fn send_within(
    address: SocketAddr,
    request: Request<Body>,
    limit: Duration,
) -> Result<Response<ResponseBody>, ClientError> {
    send_once(address, request)
        .or(expired(limit, ClientError::Timeout { limit }))
        .await
}

/// Reads a whole body from `address` for as long as it arrives, with the bounds of [`fetch_long`].
///
/// # Errors
/// [`ClientError::Body`], [`ClientError::TooLarge`] or [`ClientError::Stalled`].
pub async fn read_long(
    address: SocketAddr,
    mut body: ResponseBody,
    limit: Duration,
    max_bytes: usize,
) -> Result<Bytes, ClientError> {
    let too_large = ClientError::TooLarge { max_bytes };
    let declared = body.size_hint().lower() as usize;
    if declared > max_bytes {
        record_exceeded(Bound::ResponseBody, address, declared);
        return Err(too_large);
    }
    let mut received = BytesMut::new();
    loop {
        let before = received.len();
        let span = async {
            while received.len() < before + MIN_PROGRESS {
                let Some(frame) = body.frame().await else {
                    return Ok(true);
                };
                let frame = frame.map_err(|error| ClientError::Body {
                    message: describe(&error),
                })?;
                if let Ok(data) = frame.into_data() {
                    received.extend_from_slice(&data);
                }
            }
            Ok(false)
        };
        let timeout = async {
            Timer::after(limit).await;
            Ok(None)
        };
        let ended = async { span.await.map(Some) }.or(timeout).await?;
        if received.len() > max_bytes {
            record_exceeded(Bound::ResponseBody, address, received.len());
            return Err(too_large);
        }
        match ended {
            Some(true) => return Ok(received.freeze()),
            Some(false) => {}
            None => {
                let received = received.len();
                return Err(ClientError::Stalled { received, limit });
            }
        }
    }
}

/// Reads a whole body of at most `max_bytes` into one buffer.
///
/// # Errors
/// [`ClientError::TooLarge`], or [`ClientError::Body`] if it is truncated.
pub async fn read_body(body: ResponseBody, max_bytes: usize) -> Result<Bytes, ClientError> {
    let mut body = Limited::new(body, max_bytes);
    // Kept frames would keep the buffers that they were read into, which are far larger than small
    // frames.
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return ClientError::TooLarge { max_bytes };
            }
            ClientError::Body {
                message: error.to_string(),
            }
        })?;
        if let Ok(bytes) = frame.into_data() {
            whole.extend_from_slice(&bytes);
        }
    }
    Ok(whole.freeze())
}

/// Sends a GET request and parses the JSON response.
///
/// # Panics
/// If the path is not a valid URI. Callers pass constant paths.
///
/// # Errors
/// See [`ClientError`].
pub async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<T, ClientError> {
    const MAX_BYTES: usize = 4 << 20;
    let request = Request::get(path)
        .body(crate::body::empty())
        .expect("the path is a valid URI");
    let response = fetch(address, request, limit, MAX_BYTES).await?;
    let status = response.status();
    snafu::ensure!(status == StatusCode::OK, StatusSnafu { address, status });
    serde_json::from_slice(response.body()).context(JsonSnafu { address })
}
