//! Reads what the platform publishes: configuration, list of VMs, directory for clients.
//!
//! The wire form is behind the [`Platform`] port, so another platform is another adapter.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use http::{Request, StatusCode, header};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_config::PartSet;
use seam_config::assemble_onto;
use seam_config::bundle::manifest;
use seam_core::Event;
use seam_http::{ClientError, empty, fetch, get_json};
use seam_protocol::{Digest, VmState};
use snafu::{ResultExt, Snafu};

use crate::hub::Hub;

/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(25);
/// Time for a call that does not wait.
const CALL: Duration = Duration::from_secs(3);
/// Shortest pause after a failed call.
const BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const LONGEST_BACKOFF: Duration = Duration::from_secs(30);
/// Time between two reads of the list of VMs.
const LIST: Duration = Duration::from_secs(1);
/// Largest value in bytes.
const LARGEST: usize = 1 << 20;

/// Why a value could not be read.
#[derive(Debug, Snafu)]
pub enum WatchError {
    /// No answer.
    #[snafu(display("{source}"))]
    Call {
        /// Why.
        source: ClientError,
    },
    /// An answer of another kind.
    #[snafu(display("the configuration service answered {status} for {key:?}"))]
    Status {
        /// The value's key.
        key: String,
        /// The answer.
        status: StatusCode,
    },
    /// The parts do not make a bundle.
    #[snafu(display("{source}"))]
    Bundle {
        /// Why.
        source: seam_config::BundleError,
    },
}

/// A value of the configuration service with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version, as the service counts.
    pub version: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// What is read of the platform. Nothing is ever written.
pub trait Platform: Send + Sync + 'static {
    /// Waits for a value with a version above the given one. `None` if nothing changed in time.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Value>, WatchError>> + Send;

    /// Reads the list of VMs.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmState>, WatchError>> + Send;

    /// Reads the addresses that the directory tells clients.
    fn directory(&self) -> impl Future<Output = Result<Vec<String>, WatchError>> + Send;
}

/// The platform over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatform {
    /// The configuration service.
    pub config: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// The directory for clients.
    pub directory: SocketAddr,
}

impl Platform for HttpPlatform {
    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Value>, WatchError> {
        let path = format!("/v1/values/{key}?after={after}&wait_s={}", wait.as_secs());
        let request = Request::get(path)
            .body(empty())
            .expect("a key of the program's own is valid in a path");
        let answer = fetch(self.config, request, wait + CALL, LARGEST)
            .await
            .context(CallSnafu)?;
        match answer.status() {
            StatusCode::OK => {
                let version = answer
                    .headers()
                    .get(header::ETAG)
                    .and_then(|tag| tag.to_str().ok()?.trim_matches('"').parse().ok());
                Ok(Some(Value {
                    version: version.unwrap_or(after + 1),
                    bytes: answer.into_body().to_vec(),
                }))
            }
            StatusCode::NOT_MODIFIED => Ok(None),
            status => StatusSnafu { key, status }.fail(),
        }
    }

    async fn vms(&self) -> Result<Vec<VmState>, WatchError> {
        get_json(self.vms, "/v1/vms", CALL).await.context(CallSnafu)
    }

    async fn directory(&self) -> Result<Vec<String>, WatchError> {
        get_json(self.directory, "/v1/directory", CALL)
            .await
            .context(CallSnafu)
    }
}

/// Pauses that grow with failures, spread so that nodes do not call together.
#[derive(Debug)]
struct Backoff {
    pause: Duration,
    rng: Pcg64Mcg,
}

impl Backoff {
    fn new(seed: u64) -> Self {
        Self {
            pause: BACKOFF,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn reset(&mut self) {
        self.pause = BACKOFF;
    }

    async fn wait(&mut self) {
        let part = self.rng.random_range(0.5..1.0);
        Timer::after(self.pause.mul_f64(part)).await;
        self.pause = (self.pause * 2).min(LONGEST_BACKOFF);
    }
}

/// Puts a set of parts in force if it goes forward.
///
/// # Errors
/// [`WatchError::Bundle`] if the parts are not whole.
pub fn apply_bundle(hub: &Hub, set: PartSet) -> Result<(), WatchError> {
    // Most parts of a change are those in force, which need not be read again.
    let held = hub.snapshot().zip(hub.store.read());
    let held = held
        .as_ref()
        .filter(|(snapshot, (digest, _))| snapshot.bundle.digest == *digest)
        .map(|(snapshot, (_, manifest))| (&*snapshot.bundle, manifest));
    let bundle = Arc::new(assemble_onto(held, &set).context(BundleSnafu)?);
    hub.handle(Event::Bundle(bundle.clone()));
    let kept = hub.read(|node, _| node.bundle().map(|held| held.digest));
    if kept == Some(bundle.digest) {
        hub.store.replace(bundle.revision, set);
    }
    Ok(())
}

/// Watches the manifest and reads changed parts, for ever.
pub async fn watch_config(hub: Arc<Hub>, platform: impl Platform, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let mut version = 0;
    loop {
        let found = platform.watch("manifest", version, WATCH).await;
        hub.metrics.platform_call("manifest", found.is_ok());
        let taken = match found {
            Ok(Some(value)) => {
                let taken = take(&hub, &platform, &value.bytes).await;
                if taken.is_ok() {
                    version = value.version;
                }
                taken
            }
            Ok(None) => Ok(()),
            Err(error) => Err(error),
        };
        match taken {
            Ok(()) => {
                backoff.reset();
                let (revision, _) = hub.store.manifest();
                hub.handle(Event::Confirmed(revision));
            }
            Err(error) => {
                log::warn!("configuration not read: {error}");
                backoff.wait().await;
            }
        }
    }
}

/// Reads the parts of a manifest that are not held and puts the whole in force.
async fn take(hub: &Hub, platform: &impl Platform, bytes: &[u8]) -> Result<(), WatchError> {
    let read = manifest(bytes).context(BundleSnafu)?;
    let mine = hub.store.manifest().0;
    if read.revision < mine {
        log::warn!(
            "the service has revision {}, {mine} is in force",
            read.revision
        );
        return Ok(());
    }
    let mut parts = BTreeMap::new();
    for digest in read.parts.values() {
        let part = match hub.store.part(*digest) {
            Some(part) => part,
            None => part(hub, platform, *digest).await?,
        };
        parts.insert(*digest, part);
    }
    let manifest = bytes.to_vec();
    apply_bundle(hub, PartSet { manifest, parts })
}

async fn part(hub: &Hub, platform: &impl Platform, digest: Digest) -> Result<Vec<u8>, WatchError> {
    let key = format!("part-{digest}");
    let found = platform.watch(&key, 0, Duration::ZERO).await;
    hub.metrics.platform_call("part", found.is_ok());
    match found? {
        Some(value) => Ok(value.bytes),
        None => {
            let status = StatusCode::NOT_FOUND;
            StatusSnafu { key, status }.fail()
        }
    }
}

/// Reads the list of VMs, for ever.
pub async fn watch_vms(hub: Arc<Hub>, platform: impl Platform, seed: u64) {
    let mut backoff = Backoff::new(seed);
    loop {
        let list = platform.vms().await;
        hub.metrics.platform_call("vms", list.is_ok());
        match list {
            Ok(list) => {
                backoff.reset();
                hub.handle(Event::VmList(list));
                Timer::after(LIST).await;
            }
            Err(_) => backoff.wait().await,
        }
    }
}

/// Compares the directory for clients with the published nodes, for ever.
pub async fn watch_directory(hub: Arc<Hub>, platform: impl Platform) {
    const PAUSE: Duration = Duration::from_secs(30);
    loop {
        let told = platform.directory().await;
        hub.metrics.platform_call("directory", told.is_ok());
        if let (Ok(told), Some(snapshot)) = (told, hub.snapshot()) {
            let vms = snapshot.bundle.deployment.vms.values();
            for vm in vms {
                let address = vm.caller.to_string();
                if !told.is_empty() && !told.contains(&address) {
                    log::warn!(
                        "the directory does not tell clients of {} at {address}",
                        vm.name
                    );
                }
            }
        }
        Timer::after(PAUSE).await;
    }
}
