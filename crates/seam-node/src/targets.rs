//! Exchanges with targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use seam_core::keys::LARGEST_ANSWER;
use seam_core::{Event, Refusal, Reply};
use seam_http::{ClientError, Connection, full, lock};
use seam_protocol::{Field, Reason, StoredAnswer};

use crate::drive::Progress;
use crate::hub::{Hub, ToTarget};
use crate::inbound::{CUSTOMER_FIELD, DEADLINE_FIELD, Inbound, KEY_FIELD, REQUEST_FIELD, strip};
use crate::outlet::Outlet;

/// Longest idle time of a connection that is used again.
const IDLE: Duration = Duration::from_secs(5);
/// Most idle connections to one target.
const MOST_IDLE: usize = 64;
/// Time after which a refused request may be tried again, if the target does not say.
const RETRY: Duration = Duration::from_secs(1);

/// Idle connections to targets.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl Pool {
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(&address)?;
        while let Some((since, connection)) = list.pop() {
            if since.elapsed() < IDLE && connection.usable() {
                return Some(connection);
            }
        }
        None
    }

    fn give(&self, address: SocketAddr, connection: Connection) {
        let mut idle = lock(&self.idle);
        let list = idle.entry(address).or_default();
        if list.len() < MOST_IDLE {
            list.push((Instant::now(), connection));
        }
    }

    /// Closes idle connections to a target, as after a silent one.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }
}

/// Sends a request to a target and passes its answer on. Returns how that ended.
pub async fn exchange(
    hub: &Arc<Hub>,
    to: ToTarget,
    inbound: &Inbound,
    outlet: &Outlet,
    progress: &Progress,
) -> Reply {
    let Ok(mut connection) = connection(hub, to.address, inbound.repeatable).await else {
        return Reply::NotSent;
    };
    if !hub.may_send(to.attempt) {
        return Reply::NotSent;
    }
    progress.sent();
    let request = request(to, inbound);
    let silence = Silence { hub, to };
    let answer = match silence.watch(connection.send(request)).await {
        Ok(answer) => answer,
        Err(ClientError::NotSent) => return Reply::NotSent,
        Err(_) => return Reply::Broken { started: false },
    };
    let (head, body) = answer.into_parts();
    if let Some(refusal) = refused(hub, to, head.status, &head.headers) {
        return Reply::Refused(refusal);
    }
    let mut fields = head.headers;
    strip(&mut fields);
    let reply = pass_on(silence, head.status, fields, body, outlet).await;
    if matches!(reply, Reply::Complete { .. }) && connection.ready().await.is_ok() {
        hub.pool.give(to.address, connection);
    }
    reply
}

/// Returns a connection. One that may not be repeated gets a fresh one, since an idle one may be
/// closing, which would leave its outcome unknown.
async fn connection(
    hub: &Hub,
    address: SocketAddr,
    repeatable: bool,
) -> Result<Connection, ClientError> {
    if repeatable && let Some(connection) = hub.pool.take(address) {
        return Ok(connection);
    }
    let mut connection = Connection::open(address).await?;
    connection.ready().await?;
    Ok(connection)
}

fn request(to: ToTarget, inbound: &Inbound) -> Request<seam_http::Body> {
    let mut request = Request::new(full(inbound.body.clone()));
    *request.method_mut() = inbound.method.clone();
    if let Ok(uri) = inbound.path.parse() {
        *request.uri_mut() = uri;
    }
    let mut fields = inbound.fields.clone();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            fields.insert(name, value);
        }
    };
    set("host", &to.address.to_string());
    set(REQUEST_FIELD, &inbound.id);
    set(CUSTOMER_FIELD, &inbound.name);
    set(DEADLINE_FIELD, &to.budget.as_millis().to_string());
    if !inbound.key_text.is_empty() {
        set(KEY_FIELD, &inbound.key_text);
    }
    *request.headers_mut() = fields;
    request
}

fn refused(
    hub: &Hub,
    to: ToTarget,
    status: StatusCode,
    fields: &http::HeaderMap,
) -> Option<Refusal> {
    let snapshot = hub.snapshot()?;
    let service = snapshot.bundle.services.get(&to.service)?;
    if !service.refuses.contains(&status.as_u16()) {
        return None;
    }
    let stated = fields
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    Some(Refusal::not_run(Reason::Refused).after(stated.unwrap_or(RETRY)))
}

/// Reports an attempt as silent when nothing happens for too long.
#[derive(Clone, Copy)]
struct Silence<'a> {
    hub: &'a Arc<Hub>,
    to: ToTarget,
}

impl Silence<'_> {
    /// Runs a step and reports silence while it lasts too long. The step itself goes on.
    async fn watch<T>(&self, step: impl Future<Output = T>) -> T {
        let report = async {
            loop {
                Timer::after(self.to.silence).await;
                self.hub.pool.forget(self.to.address);
                self.hub.handle(Event::Silent(self.to.attempt));
            }
        };
        step.or(report).await
    }
}

/// Passes a target's answer on, frame by frame, no faster than its reader takes it.
async fn pass_on(
    silence: Silence<'_>,
    status: StatusCode,
    fields: http::HeaderMap,
    mut body: Incoming,
    outlet: &Outlet,
) -> Reply {
    let mut keeper = Keeper::new(silence.to.keep, status, &fields);
    let mut head = Some(fields);
    loop {
        let frame = silence.watch(body.frame()).await;
        let started = head.is_none();
        match frame {
            Some(Ok(frame)) => {
                if let Some(fields) = head.take() {
                    outlet.head(status, fields).await;
                }
                if let Ok(bytes) = frame.into_data() {
                    keeper.add(&bytes);
                    outlet.data(bytes).await;
                }
            }
            Some(Err(_)) => return Reply::Broken { started },
            None => {
                if let Some(fields) = head.take() {
                    outlet.head(status, fields).await;
                }
                outlet.end().await;
                return Reply::Complete {
                    answer: keeper.whole(),
                };
            }
        }
    }
}

/// Collects an answer for repeats while it is small enough.
pub struct Keeper {
    answer: Option<StoredAnswer>,
}

impl Keeper {
    /// Starts collecting, if asked to.
    #[must_use]
    pub fn new(keep: bool, status: StatusCode, fields: &http::HeaderMap) -> Self {
        let answer = keep.then(|| StoredAnswer {
            status: status.as_u16(),
            fields: fields
                .iter()
                .map(|(name, value)| Field {
                    name: name.as_str().to_owned(),
                    value: value.as_bytes().to_vec(),
                })
                .collect(),
            body: Vec::new(),
        });
        Self { answer }
    }

    /// Adds bytes, or gives up if the answer grows too large.
    pub fn add(&mut self, bytes: &[u8]) {
        let large = self
            .answer
            .as_ref()
            .is_some_and(|answer| answer.body.len() + bytes.len() > LARGEST_ANSWER);
        if large {
            self.answer = None;
        }
        if let Some(answer) = &mut self.answer {
            answer.body.extend_from_slice(bytes);
        }
    }

    /// Returns the whole answer, if it was kept.
    #[must_use]
    pub fn whole(self) -> Option<Arc<StoredAnswer>> {
        self.answer.map(Arc::new)
    }
}
