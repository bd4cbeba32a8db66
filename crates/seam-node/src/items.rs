//! Follows the item store of a platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::{Event, ItemBatch, Source};
use seam_protocol::Delta;

use crate::item_store::{ItemError, ItemStore, WatchOutcome};
use crate::link;
use crate::runtime::NodeRuntime;

/// Maximum wait of one watch. It is short so that a stalled connection is detected soon.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Wait of a watch after a failed call. A store that does not answer may do so again at any time, but
/// not to a watch that began before.
const PROBE_WAIT: Duration = Duration::from_millis(100);
/// Interval at which a node that does not watch the store checks whether it should.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum delay after a failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after failed calls, well below the interval in which targets must renew their
/// items.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Consecutive failed calls after which the platform counts as unreachable. A single failure may be
/// an interrupted watch.
const UNREACHABLE_FAILURES: u32 = 2;

/// Passes changed items to the decision core.
pub fn apply_delta(runtime: &NodeRuntime, delta: Delta, source: Source) {
    let Some(store) = &runtime.items else {
        return;
    };
    let batch = ItemBatch::read(delta, |item| store.parse_entry(item));
    runtime.handle(Event::ItemsRead(batch, source));
}

/// Reads and watches the store until cancelled.
pub async fn follow(runtime: Arc<NodeRuntime>, store: Arc<dyn ItemStore>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut failures = 0;
    let mut read_all = true;
    loop {
        if !read_all && !runtime.read(seam_core::Node::watches_platform) {
            Timer::after(WATCH_CHECK_INTERVAL).await;
            continue;
        }
        let after = runtime.read(|node, _| node.items_revision());
        let call = if read_all { "read" } else { "watch" };
        let changes = if read_all {
            store.read().await.map(WatchOutcome::Changes)
        } else {
            let wait = if failures == 0 {
                WATCH_WAIT
            } else {
                PROBE_WAIT
            };
            let second = watch_if_lagging(&runtime, store.as_ref(), after);
            store.watch(after, wait).or(second).await
        };
        runtime.metrics.platform_call(call, changes.is_ok());
        match changes {
            Ok(WatchOutcome::Changes(delta)) => {
                failures = 0;
                read_all = false;
                runtime.handle(Event::PlatformUnreachable(false));
                apply_delta(&runtime, delta, Source::Platform);
            }
            Ok(WatchOutcome::Compacted) => {
                log::info!(
                    "the item store no longer has the changes since revision {after}; reading all items"
                );
                read_all = true;
            }
            Err(error) => {
                failures += 1;
                log::debug!(
                    "item store: {call} after revision {after} failed, {failures} in a row: {error}"
                );
                if !read_all && error.unreadable() {
                    // The same watch would get the same response, and with every further version a
                    // larger one. Pages have only the last version of each item.
                    log::info!(
                        "the changes since revision {after} cannot be read; reading all items: {error}"
                    );
                    read_all = true;
                }
                if failures >= UNREACHABLE_FAILURES {
                    runtime.handle(Event::PlatformUnreachable(true));
                }
                let delay = (MIN_RETRY_DELAY * 2_u32.pow(failures.min(8))).min(MAX_RETRY_DELAY);
                Timer::after(delay.mul_f64(rng.random_range(0.5..1.0))).await;
            }
        }
    }
}

/// Watches the store on a new connection once this node lags, as the first may have fallen silent.
/// Returns only a response.
async fn watch_if_lagging(
    runtime: &NodeRuntime,
    store: &dyn ItemStore,
    after: u64,
) -> Result<WatchOutcome, ItemError> {
    loop {
        Timer::after(WATCH_CHECK_INTERVAL).await;
        if !runtime.read(seam_core::Node::lags) {
            continue;
        }
        let changes = store.watch(after, PROBE_WAIT).await;
        match changes {
            Err(error) if !error.unreadable() => {
                runtime.metrics.platform_call("watch", false);
                log::debug!("item store: second watch after revision {after} failed: {error}");
                Timer::after(MAX_RETRY_DELAY).await;
            }
            changes => return changes,
        }
    }
}

/// Fetches the items that changed since a revision from a peer.
pub async fn fetch(runtime: &NodeRuntime, address: SocketAddr, since: u64) {
    match link::fetch_items(runtime, address, since).await {
        // A peer that sends to others answers without a revision.
        Ok(delta) if delta.revision == 0 => {
            log::debug!("no items since revision {since} from {address}: it is busy");
            runtime.handle(Event::ItemsNotRead);
        }
        Ok(delta) => apply_delta(runtime, delta, Source::Peer),
        Err(error) => {
            log::debug!("no items since revision {since} from {address}: {error}");
            runtime.handle(Event::ItemsNotRead);
        }
    }
}
