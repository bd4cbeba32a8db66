//! Reads what the platform publishes: the configuration, the list of VMs and the directory for
//! callers.
//!
//! The [`Platform`] trait hides the wire format, so that another platform only needs another
//! adapter.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use http::{Request, StatusCode, header};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_config::PartSet;
use seam_config::assemble_incremental;
use seam_config::bundle::parse_manifest;
use seam_core::Event;
use seam_http::{ClientError, empty, get_json, read_long, send_within};
use seam_protocol::{Digest, VmState};
use snafu::{ResultExt, Snafu};

use crate::odd_json::readable_elements;
use crate::runtime::NodeRuntime;

/// Maximum wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Timeout of a call that does not wait, of a watch after its wait, and of the progress of a value.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum delay after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Interval between reads of the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 8 << 20;

/// An error while reading from the platform.
#[derive(Debug, Snafu)]
pub enum WatchError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// The client's error.
        source: ClientError,
    },
    /// A version of a value is too large to be read.
    #[snafu(display("version {version} of {key:?} has more than {MAX_VALUE_BYTES} bytes"))]
    TooLarge {
        /// The value's key.
        key: String,
        /// The version.
        version: u64,
    },
    /// The response has an unexpected status.
    #[snafu(display("the configuration service returned status {status} for {key:?}"))]
    Status {
        /// The value's key.
        key: String,
        /// The status of the response.
        status: StatusCode,
    },
    /// The parts do not form a valid bundle.
    #[snafu(display("{source}"))]
    Bundle {
        /// What is wrong with them.
        source: seam_config::BundleError,
    },
}

/// A value of the configuration service with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version number assigned by the service.
    pub version: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// Read-only access to the platform.
pub trait Platform: Send + Sync + 'static {
    /// Waits for a version of the value newer than `after`. Returns `None` if there is none within
    /// `wait`.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Value>, WatchError>> + Send;

    /// Reads the list of VMs.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmState>, WatchError>> + Send;

    /// Reads the addresses that the directory gives to callers.
    fn directory(&self) -> impl Future<Output = Result<Vec<String>, WatchError>> + Send;
}

/// The platform over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatform {
    /// The configuration service.
    pub config: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// The directory for callers.
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
            .expect("the key is valid in a path");
        let response = send_within(self.config, request, wait + CALL_TIMEOUT).await;
        let (head, body) = response.context(CallSnafu)?.into_parts();
        match head.status {
            StatusCode::OK => {}
            StatusCode::NOT_MODIFIED => return Ok(None),
            status => return StatusSnafu { key, status }.fail(),
        }
        let version = head
            .headers
            .get(header::ETAG)
            .and_then(|tag| tag.to_str().ok()?.trim_matches('"').parse().ok())
            .unwrap_or(after + 1);
        match read_long(self.config, body, CALL_TIMEOUT, MAX_VALUE_BYTES).await {
            Ok(bytes) => Ok(Some(Value {
                version,
                bytes: bytes.to_vec(),
            })),
            Err(ClientError::TooLarge { .. }) => TooLargeSnafu { key, version }.fail(),
            Err(source) => Err(WatchError::Call { source }),
        }
    }

    async fn vms(&self) -> Result<Vec<VmState>, WatchError> {
        let list: Vec<serde_json::Value> = get_json(self.vms, "/v1/vms", CALL_TIMEOUT)
            .await
            .context(CallSnafu)?;
        Ok(readable_elements(list, "list of VMs"))
    }

    async fn directory(&self) -> Result<Vec<String>, WatchError> {
        get_json(self.directory, "/v1/directory", CALL_TIMEOUT)
            .await
            .context(CallSnafu)
    }
}

/// Exponential backoff with jitter, which keeps nodes from calling at the same time.
#[derive(Debug)]
struct Backoff {
    delay: Duration,
    rng: Pcg64Mcg,
}

impl Backoff {
    fn new(seed: u64) -> Self {
        Self {
            delay: MIN_BACKOFF,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn reset(&mut self) {
        self.delay = MIN_BACKOFF;
    }

    async fn wait(&mut self) {
        let jitter = self.rng.random_range(0.5..1.0);
        Timer::after(self.delay.mul_f64(jitter)).await;
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }
}

/// Applies a set of parts if the decision core accepts its revision.
///
/// # Errors
/// [`WatchError::Bundle`] if the parts do not form a valid bundle.
pub fn apply_bundle(runtime: &NodeRuntime, set: PartSet) -> Result<(), WatchError> {
    // Most parts of a new revision are unchanged and need not be parsed again.
    let active = runtime.snapshot().zip(runtime.store.parsed_manifest());
    let active = active
        .as_ref()
        .filter(|(snapshot, (digest, _))| snapshot.bundle.digest == *digest)
        .map(|(snapshot, (_, manifest))| (&*snapshot.bundle, manifest));
    let bundle = Arc::new(assemble_incremental(active, &set).context(BundleSnafu)?);
    runtime.handle(Event::Bundle(bundle.clone()));
    let current_digest = runtime.read(|node, _| node.bundle().map(|active| active.digest));
    if current_digest == Some(bundle.digest) {
        runtime.store.replace(bundle.revision, set);
    }
    Ok(())
}

/// Watches the manifest and fetches changed parts, until cancelled.
pub async fn watch_config(runtime: Arc<NodeRuntime>, platform: impl Platform, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let mut version = 0;
    loop {
        let found = platform.watch("manifest", version, WATCH_WAIT).await;
        runtime.metrics.platform_call("manifest", found.is_ok());
        let applied = match found {
            Ok(Some(value)) => {
                let applied = apply_manifest(&runtime, &platform, &value.bytes).await;
                // A manifest with a part that is too large cannot be applied later either.
                if matches!(applied, Ok(()) | Err(WatchError::TooLarge { .. })) {
                    version = value.version;
                }
                applied
            }
            Ok(None) => Ok(()),
            Err(error) => {
                if let WatchError::TooLarge { version: found, .. } = error {
                    version = version.max(found);
                }
                Err(error)
            }
        };
        match applied {
            Ok(()) => {
                backoff.reset();
                let (revision, _) = runtime.store.manifest();
                runtime.handle(Event::RevisionConfirmed(revision));
            }
            Err(error) => {
                log::warn!("cannot read the configuration: {error}");
                backoff.wait().await;
            }
        }
    }
}

/// Fetches the parts of a manifest that are not stored yet and applies the bundle.
async fn apply_manifest(
    runtime: &NodeRuntime,
    platform: &impl Platform,
    bytes: &[u8],
) -> Result<(), WatchError> {
    let parsed = parse_manifest(bytes).context(BundleSnafu)?;
    let active = runtime.store.manifest().0;
    if parsed.revision < active {
        log::warn!(
            "the configuration service has revision {}, older than the active revision {active}",
            parsed.revision
        );
        return Ok(());
    }
    let mut parts = BTreeMap::new();
    for digest in parsed.parts.values() {
        let part = match runtime.store.part(*digest) {
            Some(part) => part,
            None => fetch_part(runtime, platform, *digest).await?,
        };
        parts.insert(*digest, part);
    }
    let manifest = bytes.to_vec();
    apply_bundle(runtime, PartSet { manifest, parts })
}

async fn fetch_part(
    runtime: &NodeRuntime,
    platform: &impl Platform,
    digest: Digest,
) -> Result<Vec<u8>, WatchError> {
    let key = format!("part-{digest}");
    let found = platform.watch(&key, 0, Duration::ZERO).await;
    runtime.metrics.platform_call("part", found.is_ok());
    match found? {
        Some(value) => Ok(value.bytes),
        None => {
            let status = StatusCode::NOT_FOUND;
            StatusSnafu { key, status }.fail()
        }
    }
}

/// Reads the list of VMs periodically, until cancelled.
pub async fn watch_vms(runtime: Arc<NodeRuntime>, platform: impl Platform, seed: u64) {
    let mut backoff = Backoff::new(seed);
    loop {
        let list = platform.vms().await;
        runtime.metrics.platform_call("vms", list.is_ok());
        match list {
            Ok(list) => {
                backoff.reset();
                runtime.handle(Event::VmList(list));
                Timer::after(VM_LIST_INTERVAL).await;
            }
            Err(_) => backoff.wait().await,
        }
    }
}

/// Periodically compares the directory for callers with the published nodes, and logs a warning for
/// each node that is missing.
pub async fn watch_directory(runtime: Arc<NodeRuntime>, platform: impl Platform) {
    const CHECK_INTERVAL: Duration = Duration::from_secs(30);
    loop {
        let listed = platform.directory().await;
        runtime.metrics.platform_call("directory", listed.is_ok());
        if let (Ok(listed), Some(snapshot)) = (listed, runtime.snapshot()) {
            let vms = snapshot.bundle.deployment.vms.values();
            for vm in vms {
                let address = vm.caller.to_string();
                if !listed.is_empty() && !listed.contains(&address) {
                    log::warn!("the directory lacks node {} at {address}", vm.name);
                }
            }
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}
