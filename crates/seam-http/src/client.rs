//! Connections to other programs.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use serde::de::DeserializeOwned;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use snafu::{ResultExt, Snafu};

use crate::body::Body;
use crate::exec::{Spawner, spawn};

/// Time for a connection to be accepted.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for another node to accept a connection, over the longest round trip between regions.
const CONNECT_NODE: Duration = Duration::from_millis(900);
/// Time after which sent but unacknowledged bytes end a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1800);
/// Idle time after which a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// Time between two probes.
const PROBE_AGAIN: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES: u32 = 3;
/// Interval of HTTP/2 pings.
const PING: Duration = Duration::from_secs(2);
/// Time for a ping's answer.
const PING_ANSWER: Duration = Duration::from_millis(1800);

/// Why a request got no answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection, so certainly nothing was sent.
    #[snafu(display("no connection to {address}: {source}"))]
    Connect {
        /// The other end.
        address: SocketAddr,
        /// The system's words.
        source: io::Error,
    },
    /// The connection closed before anything was sent.
    #[snafu(display("the connection closed before the request was sent"))]
    NotSent,
    /// The exchange failed after something may have been sent.
    #[snafu(display("the exchange failed: {source}"))]
    Exchange {
        /// The library's words.
        source: hyper::Error,
    },
    /// No whole answer in time.
    #[snafu(display("no answer within {} ms", limit.as_millis()))]
    Timeout {
        /// The limit.
        limit: Duration,
    },
    /// The body is too large or was cut.
    #[snafu(display("the answer's body cannot be read: {message}"))]
    Body {
        /// The library's words.
        message: String,
    },
    /// The answer is not what was expected.
    #[snafu(display("{address} answered {status}, expected 200"))]
    Status {
        /// The other end.
        address: SocketAddr,
        /// What it answered.
        status: StatusCode,
    },
    /// The body is not the expected JSON.
    #[snafu(display("the answer of {address} is not as expected: {source}"))]
    Json {
        /// The other end.
        address: SocketAddr,
        /// The parser's words.
        source: serde_json::Error,
    },
}

impl ClientError {
    /// Tells whether certainly nothing was sent.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::NotSent)
    }
}

/// Opens a TCP connection that notices a silent other end.
///
/// # Errors
/// The system's error, or a timeout after [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> Result<Async<TcpStream>, ClientError> {
    connect_within(address, CONNECT_TIMEOUT).await
}

async fn connect_within(
    address: SocketAddr,
    limit: Duration,
) -> Result<Async<TcpStream>, ClientError> {
    let late = async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = Async::<TcpStream>::connect(address)
        .or(late)
        .await
        .context(ConnectSnafu { address })?;
    enable_dead_peer_detection(stream.get_ref());
    Ok(stream)
}

/// Makes a connection notice a silent other end, whether it waits for it or sends to it.
///
/// A system without one of the options leaves the connection as it is.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AGAIN)
        .with_retries(PROBES);
    let _ = socket.set_tcp_keepalive(&probes);
}

/// An HTTP/1.1 connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`ClientError::Connect`], since nothing was sent.
    pub async fn open(address: SocketAddr) -> Result<Self, ClientError> {
        Self::open_within(address, CONNECT_TIMEOUT).await
    }

    /// Opens a connection within a time.
    ///
    /// # Errors
    /// [`ClientError::Connect`], since nothing was sent.
    pub async fn open_within(address: SocketAddr, limit: Duration) -> Result<Self, ClientError> {
        let stream = connect_within(address, limit).await?;
        let (sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .context(ExchangeSnafu)?;
        spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender })
    }

    /// Tells whether the connection can carry another request.
    #[must_use]
    pub fn usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can carry a request.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] if it closed.
    pub async fn ready(&mut self) -> Result<(), ClientError> {
        self.sender.ready().await.map_err(|_| ClientError::NotSent)
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] with proof that nothing was sent, else [`ClientError::Exchange`].
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, ClientError> {
        match self.sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(ClientError::NotSent),
                None => Err(error.into_error()).context(ExchangeSnafu),
            },
        }
    }
}

/// Opens an HTTP/2 connection that is kept alive by pings.
///
/// # Errors
/// [`ClientError::Connect`], or [`ClientError::Exchange`] if the other end does not speak HTTP/2.
pub async fn open_http2<B>(address: SocketAddr) -> Result<http2::SendRequest<B>, ClientError>
where
    B: http_body::Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = connect_within(address, CONNECT_NODE).await?;
    let (sender, connection) = http2::Builder::new(Spawner)
        .timer(SmolTimer::new())
        .keep_alive_interval(PING)
        .keep_alive_timeout(PING_ANSWER)
        .handshake(FuturesIo::new(stream))
        .await
        .context(ExchangeSnafu)?;
    spawn(async move {
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

/// Sends one request on a fresh connection and reads the whole answer.
///
/// # Errors
/// See [`ClientError`].
pub async fn fetch(
    address: SocketAddr,
    mut request: Request<Body>,
    limit: Duration,
    most: usize,
) -> Result<Response<Bytes>, ClientError> {
    if !request.headers().contains_key(header::HOST)
        && let Ok(host) = address.to_string().parse()
    {
        request.headers_mut().insert(header::HOST, host);
    }
    let exchange = async {
        let mut connection = Connection::open(address).await?;
        let (head, body) = connection.send(request).await?.into_parts();
        let whole = Limited::new(body, most).collect().await;
        let whole = whole.map_err(|error| ClientError::Body {
            message: error.to_string(),
        })?;
        Ok(Response::from_parts(head, whole.to_bytes()))
    };
    let late = async {
        Timer::after(limit).await;
        Err(ClientError::Timeout { limit })
    };
    exchange.or(late).await
}

/// Gets a JSON value.
///
/// # Panics
/// If the path is not a valid URI, which only a fault of the program makes.
///
/// # Errors
/// See [`ClientError`].
pub async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<T, ClientError> {
    const MOST: usize = 4 << 20;
    let request = Request::get(path)
        .body(crate::body::empty())
        .expect("a path of the program's own is a valid URI");
    let answer = fetch(address, request, limit, MOST).await?;
    let status = answer.status();
    snafu::ensure!(status == StatusCode::OK, StatusSnafu { address, status });
    serde_json::from_slice(answer.body()).context(JsonSnafu { address })
}
