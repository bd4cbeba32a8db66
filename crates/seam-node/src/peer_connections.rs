//! HTTP/2 connections to other nodes. All calls to a node share one connection.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::{Request, Response, Uri};
use hyper::client::conn::http2::SendRequest;
use seam_http::client::open_http2;
use seam_http::{ClientError, lock};
use seam_protocol::peer::PartRequest;
use seam_protocol::peer::peer_client::PeerClient;
use tonic::metadata::MetadataValue;
use tower_service::Service;

use crate::budget::ByteBudget;
use crate::messages::{FrameAllowance, MessageBody};

/// Metadata key of the token that authenticates a node.
pub const AUTH_METADATA: &str = "seam-fleet";

/// Memory for incomplete messages in replies of other nodes, more than the largest reply.
const MAX_REPLY_BYTES: usize = 48 << 20;

/// Time within which a node must answer a call that checks its connection, the same as for a ping.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1800);

/// One connection as a service for `tonic` clients.
#[derive(Clone, Debug)]
pub struct Channel {
    sender: SendRequest<tonic::body::Body>,
    address: SocketAddr,
    replies: ByteBudget,
}

impl Service<Request<tonic::body::Body>> for Channel {
    type Response = Response<MessageBody>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.sender.poll_ready(context)
    }

    fn call(&mut self, request: Request<tonic::body::Body>) -> Self::Future {
        let (address, reservation) = (self.address, self.replies.reservation());
        let response = self.sender.send_request(request);
        Box::pin(async move {
            let response = response.await?;
            Ok(response.map(|body| {
                let allowance = FrameAllowance::default();
                MessageBody::new(
                    body.into(),
                    address,
                    reservation,
                    allowance,
                    MAX_REPLY_BYTES,
                    None,
                )
            }))
        })
    }
}

/// Open connections by address.
#[derive(Debug)]
pub struct PeerConnections {
    open: Mutex<BTreeMap<SocketAddr, Channel>>,
    /// Connections that are being checked.
    checked: Mutex<BTreeSet<SocketAddr>>,
    auth_token: String,
    replies: ByteBudget,
}

impl PeerConnections {
    /// Creates an empty set of connections for the deployment with this secret.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self {
            open: Mutex::default(),
            checked: Mutex::default(),
            auth_token: auth_token(secret),
            replies: ByteBudget::new(MAX_REPLY_BYTES),
        }
    }

    /// Returns the token by which nodes authenticate each other.
    #[must_use]
    pub fn auth_token(&self) -> &str {
        &self.auth_token
    }

    /// Returns a client for a node. It uses the open connection, or a new one if there is none.
    ///
    /// # Errors
    /// The error of opening a connection; nothing was sent.
    ///
    /// # Panics
    /// Never, since a socket address makes a valid URI.
    pub async fn client(&self, address: SocketAddr) -> Result<PeerClient<Channel>, ClientError> {
        let existing = self.existing(address);
        let channel = match existing.filter(|channel| !channel.sender.is_closed()) {
            Some(channel) => channel,
            None => self.connect(address).await?,
        };
        Ok(client_on(channel))
    }

    /// Checks whether the open connection to a node still answers, and otherwise removes it, so that the next
    /// call opens a new one.
    ///
    /// A connection sends pings only while a call is open. One whose calls are given up before a ping is due
    /// would stay in use.
    ///
    /// # Panics
    /// Never, since a socket address makes a valid URI.
    pub async fn check(&self, address: SocketAddr) {
        let Some(channel) = self.existing(address) else {
            return;
        };
        if !lock(&self.checked).insert(address) {
            return;
        }
        // No part has this digest. Any answer shows that the connection is sound.
        let digest = String::new();
        let mut request = tonic::Request::new(PartRequest { digest });
        self.authenticate(&mut request);
        let mut client = client_on(channel);
        let answered = async { answers(&client.part(request).await) };
        let timeout = async {
            Timer::after(CHECK_TIMEOUT).await;
            false
        };
        if !answered.or(timeout).await {
            log::info!("the connection to node {address} does not answer and is replaced");
            self.forget(address);
        }
        lock(&self.checked).remove(&address);
    }

    fn existing(&self, address: SocketAddr) -> Option<Channel> {
        let open = lock(&self.open);
        open.get(&address).cloned()
    }

    async fn connect(&self, address: SocketAddr) -> Result<Channel, ClientError> {
        let sender = open_http2(address).await?;
        let replies = self.replies.clone();
        let channel = Channel {
            sender,
            address,
            replies,
        };
        let mut open = lock(&self.open);
        open.insert(address, channel.clone());
        Ok(channel)
    }

    /// Removes a failed connection, so that the next call opens a new one.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.open).remove(&address);
    }

    /// Adds the authentication token to a call.
    pub fn authenticate<T>(&self, request: &mut tonic::Request<T>) {
        if let Ok(value) = MetadataValue::try_from(self.auth_token.as_str()) {
            request.metadata_mut().insert(AUTH_METADATA, value);
        }
    }
}

fn client_on(channel: Channel) -> PeerClient<Channel> {
    let origin: Uri = format!("http://{}", channel.address)
        .parse()
        .expect("an address makes a valid URI");
    PeerClient::with_origin(channel, origin)
}

/// Returns whether the other node answered a call, also with an error. One that comes from here has a cause.
fn answers<T>(result: &Result<T, tonic::Status>) -> bool {
    result
        .as_ref()
        .err()
        .is_none_or(|status| std::error::Error::source(status).is_none())
}

/// Derives the authentication token from the deployment's secret.
fn auth_token(secret: &[u8]) -> String {
    let authenticated = seam_protocol::key::append_mac(secret, b"peer link 1".to_vec());
    seam_protocol::Digest::of(&authenticated).to_string()
}
