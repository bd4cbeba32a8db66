//! Follows the item store of a platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future::Boxed;
use futures_lite::{FutureExt, future};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::{Event, ItemBatch, Source, StoreCall, StoreReading, StoreScope, WatchCursor};
use seam_http::lock;
use seam_protocol::{Delta, Entry, RawItem, VmId};

use crate::config_log;
use crate::dependency::{Dependency, FailedCall, LOST_FAILURES};
use crate::item_store::{ItemError, ItemStore, StoreAnswer, WatchOutcome};
use crate::link;
use crate::published_places::misread_places;
use crate::runtime::NodeRuntime;

/// Maximum wait of one watch. It is short so that a stalled connection is detected soon.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The same where API keys must be revoked in time: an answer without changes confirms that the configuration in
/// force is the present one, and is needed more often than each second.
const CONFIRMING_WAIT: Duration = Duration::from_millis(500);
/// Time after the wait of a watch in which it must be answered, or another one is tried beside it. It exceeds
/// what a new connection and a call to another region take.
const OVERDUE_DELAY: Duration = Duration::from_millis(500);
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

/// Passes the answer to a call to the store to the decision core.
pub fn apply_answer(
    runtime: &Arc<NodeRuntime>,
    delta: Delta,
    (scope, call): (StoreScope, StoreCall),
    (stated, complete): (Option<u64>, bool),
) {
    let mut delta = delta;
    if let Some(stated) = stated.filter(|_| scope != StoreScope::Changes) {
        runtime.read(|node, _| node.limit_revisions(&mut delta.items, stated));
    }
    apply(runtime, delta, None, |batch| {
        Event::StoreRead(StoreReading {
            call,
            scope,
            batch,
            stated,
            complete,
        })
    });
}

/// Parses items and passes them to the decision core. `from` is the peer that sent them.
fn apply(
    runtime: &Arc<NodeRuntime>,
    delta: Delta,
    from: Option<SocketAddr>,
    event: impl FnOnce(ItemBatch) -> Event,
) {
    let Some(store) = &runtime.items else {
        return;
    };
    config_log::note_read(runtime, store.config_key(), &delta, from);
    let before = runtime.read(|node, _| node.config_version().item_revision);
    let configs = delta.items.iter();
    let configs = configs.filter(|item| item.key == store.config_key());
    let newest = configs.max_by_key(|item| item.revision);
    let newest = newest.filter(|item| item.revision != before).cloned();
    // Items of a peer may arrive as those of this node are replaced, so each is parsed.
    let skips_known = from.is_none();
    let batch = read_batch(runtime, store.as_ref(), delta, skips_known);
    runtime.handle(event(batch));
    if let Some(item) = newest {
        check_places(runtime, store, item);
    }
}

/// Parses items, or only those that are not known as they are.
fn read_batch(
    runtime: &NodeRuntime,
    store: &dyn ItemStore,
    delta: Delta,
    skips_known: bool,
) -> ItemBatch {
    let in_force = runtime.read(|node, _| node.bundle().map(|bundle| bundle.digest));
    let known: Vec<bool> = runtime.read(|node, _| {
        let items = delta.items.iter();
        let known = items.map(|item| skips_known && node.knows_item(item));
        known.collect()
    });
    let mut known = known.into_iter();
    ItemBatch::read(delta, |item| {
        if known.next() == Some(true) {
            return None;
        }
        let parsed = store.parse_entry(item)?;
        if let Entry::Config(config) = &parsed.entry
            && in_force != Some(config.digest)
        {
            warn_unread(runtime, config.revision, &parsed.warnings);
        }
        Some(parsed.entry)
    })
}

/// Looks up the places that a configuration publishes in the routes that were taken from it, in a thread, as
/// that takes long with many routes. Does nothing if the configuration is not in force.
fn check_places(runtime: &Arc<NodeRuntime>, store: &Arc<dyn ItemStore>, item: RawItem) {
    let Some(snapshot) = runtime.snapshot() else {
        return;
    };
    let Some(value) = item
        .value
        .filter(|_| snapshot.config.item_revision == item.revision)
    else {
        return;
    };
    let (runtime, store, revision) = (runtime.clone(), store.clone(), item.revision);
    let check = move || {
        let places = store.published_places(&value);
        let misread = misread_places(&snapshot.bundle.routes, &places);
        runtime.update(|node, _| node.note_misread_places(revision, misread.len()));
        if !misread.is_empty() {
            runtime.metrics.misread_places(misread.len());
            config_log::log_misread(snapshot.config, &misread);
        }
    };
    let thread = std::thread::Builder::new().name("places".to_owned());
    if let Err(error) = thread.spawn(check) {
        log::warn!("cannot check the routes of configuration item {revision}: {error}");
    }
}

/// Logs and counts the values of a configuration that are not used as written.
fn warn_unread(runtime: &NodeRuntime, version: u64, warnings: &[String]) {
    /// Values named in one line.
    const MAX_NAMED: usize = 20;
    if warnings.is_empty() {
        return;
    }
    runtime.metrics.unread_values(warnings.len());
    let named = warnings[..warnings.len().min(MAX_NAMED)].join("; ");
    let count = warnings.len();
    log::warn!("{count} values of configuration {version} are not used as written: {named}");
}

/// Reads and watches the store until cancelled.
pub async fn follow(runtime: Arc<NodeRuntime>, store: Arc<dyn ItemStore>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut failures = 0;
    let mut health = Dependency::new("item store");
    let mut probes = Probes::default();
    let mut read_all = true;
    // Revision of the answer because of which all items are read, as a change in it could not be.
    let mut unread = None;
    // Consecutive watches whose history was dropped or not readable.
    let mut compactions = 0;
    let mut position = Position::default();
    loop {
        if !read_all && !runtime.read(seam_core::Node::watches_platform) {
            (position.list_start, position.idle) = (None, true);
            Timer::after(WATCH_CHECK_INTERVAL).await;
            continue;
        }
        let store_call = runtime.update(seam_core::Node::begin_store_call);
        let after = position.begin(&store_call);
        let call = if read_all { "read" } else { "watch" };
        let answer = if read_all {
            let list = store.read().await.map(WatchOutcome::Changes);
            Some((after, store_call, list))
        } else if failures > 0 {
            Some(
                probes
                    .next(store.as_ref(), (after, store_call), &mut rng)
                    .await,
            )
        } else {
            let wait = watch_wait(&runtime, std::mem::take(&mut position.idle));
            watch_until_replaced(&runtime, store.as_ref(), (after, store_call), wait).await
        };
        let Some((after, store_call, changes)) = answer else {
            continue;
        };
        let asked = asked(read_all, after, store_call, &changes);
        runtime.metrics.platform_call(call, changes.is_ok());
        if changes.is_ok() {
            probes = Probes::default();
            note_answer(&runtime, &mut health, failures);
        }
        match changes {
            Ok(WatchOutcome::Changes(answer)) if !read_all && !answer.complete => {
                failures = 0;
                log::info!("a change since revision {after} cannot be read; reading all items");
                (read_all, unread) = (true, Some(answer.delta.revision));
                runtime.handle(Event::PlatformUnreachable(false));
                let stated = answer.stated;
                apply_answer(&runtime, without_claim(answer), asked, (stated, false));
                Timer::after(compaction_delay(compactions, &mut rng)).await;
                compactions += 1;
            }
            Ok(WatchOutcome::Changes(answer)) => {
                failures = 0;
                let stated = answer.stated.filter(|_| !answer.resumed);
                let complete = answer.complete;
                let delta = if read_all {
                    // The change that cannot be read is not watched again.
                    let start = WatchCursor::list_start(&answer.delta);
                    position.list_start = start.filter(|_| unread.is_none());
                    list_of(answer, unread.take())
                } else {
                    compactions = 0;
                    position.confirm(after, answer.delta)
                };
                read_all = false;
                runtime.handle(Event::PlatformUnreachable(false));
                apply_answer(&runtime, delta, asked, (stated, complete));
            }
            Ok(WatchOutcome::Compacted) if position.list_start.is_some() => {
                log::debug!(
                    "the item store no longer has the changes since revision {after}; watching from {}",
                    store_call.claim
                );
                position.list_start = None;
            }
            Ok(WatchOutcome::Compacted) => {
                log::info!(
                    "the item store no longer has the changes since revision {after}; reading all items"
                );
                read_all = true;
                Timer::after(compaction_delay(compactions, &mut rng)).await;
                compactions += 1;
            }
            Err(error) => {
                failures += 1;
                let failed = FailedCall {
                    call,
                    to: None,
                    since: after,
                    start: store_call.begun,
                };
                health.failed(runtime.now(), &failed, &error);
                read_all = read_all || repeats(after, &error);
                report_failures(&runtime, failures);
                if probes.pending.is_empty() {
                    Timer::after(retry_delay(failures, &mut rng)).await;
                }
            }
        }
    }
}

/// Where a node that follows the store continues.
#[derive(Debug, Default)]
struct Position {
    cursor: WatchCursor,
    /// Where the watches after a read of all items begin, until they reach the revision that the list states.
    list_start: Option<(u64, u64)>,
    /// How often the items had been replaced.
    replacements: u32,
    /// Whether the node did not watch before.
    idle: bool,
}

impl Position {
    /// Returns the revision after which a watch that begins now asks for changes.
    fn begin(&mut self, call: &StoreCall) -> u64 {
        if self.replacements != call.replacements {
            *self = Self {
                replacements: call.replacements,
                ..Self::default()
            };
        }
        self.list_start.map_or(call.claim, |(start, _)| start)
    }

    /// Returns the answer to a watch with the revision up to which all changes are known.
    fn confirm(&mut self, after: u64, answer: Delta) -> Delta {
        let delta = self.cursor.confirm(after, answer);
        let stated = self.list_start.map(|(_, stated)| (delta.revision, stated));
        self.list_start = stated.filter(|(start, end)| after < *start && start < end);
        delta
    }
}

/// Returns what an answer can be compared with: lists that consist of one call are complete.
fn scope_of(read_all: bool, answer: &Watched) -> StoreScope {
    match answer {
        Ok(WatchOutcome::Changes(answer)) if read_all && !answer.resumed => StoreScope::All,
        _ => StoreScope::Changes,
    }
}

/// Returns what a call asked for that began after a revision. A watch after a list may begin below the claim, and
/// an answer in parts states where its part ends.
fn asked(read_all: bool, after: u64, call: StoreCall, answer: &Watched) -> (StoreScope, StoreCall) {
    let claim = call.claim.min(after);
    (scope_of(read_all, answer), StoreCall { claim, ..call })
}

/// Records that the store answered after a number of failures.
fn note_answer(runtime: &NodeRuntime, health: &mut Dependency, failures: u32) {
    if failures > 0 {
        runtime.update(seam_core::Node::note_store_return);
    }
    health.answered(runtime.now());
}

/// Returns the list of all items. If a change could not be read up to `unread`, what the list lacks may be
/// what cannot be read, and later removals are in the watches from there on.
fn list_of(answer: StoreAnswer, unread: Option<u64>) -> Delta {
    let mut list = answer.delta;
    if let Some(unread) = unread.filter(|_| !answer.complete) {
        list.full = false;
        list.revision = list.revision.min(unread);
    }
    list
}

/// Returns the changes of an answer that lacks some, up to no revision.
fn without_claim(answer: StoreAnswer) -> Delta {
    Delta {
        revision: 0,
        ..answer.delta
    }
}

/// Returns whether a watch would get the same response again, and with every further version a larger one. Pages
/// have only the last version of each item.
fn repeats(after: u64, error: &ItemError) -> bool {
    if error.unreadable() {
        log::info!("the changes since revision {after} cannot be read; reading all items: {error}");
    }
    error.unreadable()
}

/// Reports the store as unreachable after some consecutive failed calls.
fn report_failures(runtime: &NodeRuntime, failures: u32) {
    if failures >= LOST_FAILURES {
        runtime.handle(Event::PlatformUnreachable(true));
    }
}

/// Returns the delay after consecutive failed calls.
fn retry_delay(failures: u32, rng: &mut Pcg64Mcg) -> Duration {
    let delay = (MIN_RETRY_DELAY * 2_u32.pow(failures.min(8))).min(MAX_RETRY_DELAY);
    delay.mul_f64(rng.random_range(0.5..1.0))
}

/// Returns the delay before all items are read instead of a history that was dropped or cannot be read. A
/// store that keeps none is read no more often than it is watched otherwise.
fn compaction_delay(compactions: u32, rng: &mut Pcg64Mcg) -> Duration {
    if compactions == 0 {
        return Duration::ZERO;
    }
    let delay = (MIN_RETRY_DELAY * 2_u32.pow(compactions.min(8))).min(WATCH_WAIT);
    delay.mul_f64(rng.random_range(0.5..1.0))
}

/// The result of a call that watches the store.
type Watched = Result<WatchOutcome, ItemError>;

/// The revision after which a watch asks for changes, and its call.
type Probe = (u64, StoreCall);

/// Short watches of a store that does not answer. One begins while others still wait, since a store that
/// returns may never answer those that began before.
#[derive(Default)]
struct Probes {
    pending: Vec<(Probe, Boxed<Watched>)>,
    /// When to begin another one beside those that are pending.
    due: Option<Instant>,
}

impl Probes {
    /// Returns the next result of a probe. Begins one now if none is pending, and more as they are due.
    async fn next(
        &mut self,
        store: &dyn ItemStore,
        probe: Probe,
        rng: &mut impl RngExt,
    ) -> (u64, StoreCall, Watched) {
        loop {
            let due = self.due.filter(|_| !self.pending.is_empty());
            let until_due = async {
                if let Some(due) = due {
                    Timer::at(due).await;
                }
                None
            };
            if let Some(watched) = async { Some(self.ended().await) }.or(until_due).await {
                return watched;
            }
            self.pending.push((probe, store.watch(probe.0, PROBE_WAIT)));
            let delay = MAX_RETRY_DELAY.mul_f64(rng.random_range(0.5..1.0));
            self.due = Some(Instant::now() + delay);
        }
    }

    /// Waits until a probe ends.
    async fn ended(&mut self) -> (u64, StoreCall, Watched) {
        future::poll_fn(|context| {
            for index in 0..self.pending.len() {
                let (_, pending) = &mut self.pending[index];
                if let Poll::Ready(watched) = pending.poll(context) {
                    let ((after, call), _) = self.pending.swap_remove(index);
                    return Poll::Ready((after, call, watched));
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// Returns the error of a call that got no response, or what the store responded.
fn failure(watched: Watched) -> Result<ItemError, Watched> {
    match watched {
        Err(error) if !error.unreadable() => Ok(error),
        response => Err(response),
    }
}

/// Watches the store, and beside that on a new connection once the first watch is overdue or this node lags,
/// as the first connection may have fallen silent. The first response counts. One that follows a failure of the
/// other watch tells that the store is back.
async fn watch(
    runtime: &NodeRuntime,
    store: &dyn ItemStore,
    after: u64,
    wait: Duration,
    overdue: Option<Instant>,
) -> Watched {
    let mut first = store.watch(after, wait);
    let late = async {
        wait_until_late(runtime, overdue).await;
        None
    };
    if let Some(watched) = async { Some((&mut first).await) }.or(late).await {
        return watched;
    }
    let (first_failed, second_failed) = (AtomicBool::new(false), AtomicBool::new(false));
    let first = async {
        let error = failure(first.await)?;
        first_failed.store(true, Ordering::Relaxed);
        Ok::<_, Watched>(error)
    };
    let second = async {
        loop {
            let error = failure(store.watch(after, PROBE_WAIT).await)?;
            second_failed.store(true, Ordering::Relaxed);
            runtime.metrics.platform_call("watch", false);
            log::debug!("item store: second watch after revision {after} failed: {error}");
            if first_failed.load(Ordering::Relaxed) {
                return Ok(error);
            }
            Timer::after(MAX_RETRY_DELAY).await;
        }
    };
    match future::try_zip(first, second).await {
        Ok((error, _)) => Err(error),
        Err(response) => {
            let failed = [&first_failed, &second_failed];
            let failed = failed.iter().any(|failed| failed.load(Ordering::Relaxed));
            if response.is_ok() && failed {
                runtime.update(seam_core::Node::note_store_return);
            }
            response
        }
    }
}

/// Returns how long a watch waits. One that `begins` to watch where confirmations are needed lacks one.
fn watch_wait(runtime: &NodeRuntime, begins: bool) -> Duration {
    let limited = runtime.read(|node, _| node.revocation_limit().is_some());
    match (limited, begins) {
        (false, _) => WATCH_WAIT,
        (true, false) => CONFIRMING_WAIT,
        (true, true) => PROBE_WAIT,
    }
}

/// Watches the store. Returns `None` if the items were replaced meanwhile, after which the answer tells nothing.
async fn watch_until_replaced(
    runtime: &NodeRuntime,
    store: &dyn ItemStore,
    (after, call): Probe,
    wait: Duration,
) -> Option<(u64, StoreCall, Watched)> {
    let overdue = Some(Instant::now() + wait + OVERDUE_DELAY);
    let watched = async { Some(watch(runtime, store, after, wait, overdue).await) };
    let replaced = async {
        wait_until_replaced(runtime, call.replacements).await;
        None
    };
    let watched = watched.or(replaced).await?;
    Some((after, call, watched))
}

/// Waits until the items were replaced, after which a watch that began before tells nothing.
async fn wait_until_replaced(runtime: &NodeRuntime, replacements: u32) {
    loop {
        Timer::after(WATCH_CHECK_INTERVAL).await;
        if runtime.read(|node, _| node.items_replacements()) != replacements {
            return;
        }
    }
}

/// Waits until a watch is overdue or this node lags.
async fn wait_until_late(runtime: &NodeRuntime, overdue: Option<Instant>) {
    let lagging = async {
        loop {
            Timer::after(WATCH_CHECK_INTERVAL).await;
            if runtime.read(seam_core::Node::lags) {
                return;
            }
        }
    };
    let overdue = async {
        overdue.map_or_else(Timer::never, Timer::at).await;
    };
    lagging.or(overdue).await;
}

/// Fetches the items that changed since a revision from a peer, and merges them by `source`.
pub async fn fetch(
    runtime: &Arc<NodeRuntime>,
    from: VmId,
    address: SocketAddr,
    since: u64,
    source: Source,
) {
    let start = runtime.now();
    let failed = FailedCall {
        call: "fetch",
        to: Some(address),
        since,
        start,
    };
    let fetched = link::fetch_items(runtime, address, since).await;
    let put_off = matches!(&fetched, Ok((delta, _)) if delta.revision == 0);
    {
        let (mut peers, now) = (lock(&runtime.item_peers), runtime.now());
        match &fetched {
            Ok(_) if put_off => peers.failed(now, &failed, &"it sends to other nodes at present"),
            Ok(_) => peers.answered(now),
            Err(error) => peers.failed(now, &failed, error),
        }
    }
    match fetched {
        Ok((delta, epoch)) if !put_off => {
            apply(runtime, delta, Some(address), |items| Event::ItemsFetched {
                from,
                epoch,
                items,
                source,
            });
        }
        _ => runtime.handle(Event::ItemsNotRead(from)),
    }
}
