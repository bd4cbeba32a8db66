//! Follows a platform that publishes single items.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use seam_core::{Event, News, Source};
use seam_protocol::Delta;

use crate::hub::Hub;
use crate::item_store::{ItemStore, WatchOutcome};
use crate::link;

/// How long one watch waits. Short, so that a connection that went silent is found out soon.
pub const WATCH: Duration = Duration::from_secs(4);
/// Time between two looks of a node that does not watch at whether it should.
const LOOK: Duration = Duration::from_millis(250);
/// Shortest pause after a failed call.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls, well within the time that targets have to write again.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Failed calls after which the platform counts as away. A single one may be a cut watch.
const AWAY: u32 = 2;

/// Hands items to the decisions.
pub fn publish(hub: &Hub, delta: Delta, source: Source) {
    let Some(store) = &hub.items else {
        return;
    };
    let news = News::read(delta, |item| store.parse_entry(item));
    hub.handle(Event::Published(news, source));
}

/// Follows the store for ever.
pub async fn follow(hub: Arc<Hub>, store: Arc<dyn ItemStore>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut failures = 0;
    let mut whole = true;
    loop {
        if !whole && !hub.read(seam_core::Node::watches) {
            Timer::after(LOOK).await;
            continue;
        }
        let after = hub.read(|node, _| node.items_head());
        let call = if whole { "read" } else { "watch" };
        let changes = if whole {
            store.read().await.map(WatchOutcome::Changes)
        } else {
            store.watch(after, WATCH).await
        };
        hub.metrics.platform_call(call, changes.is_ok());
        match changes {
            Ok(WatchOutcome::Changes(delta)) => {
                failures = 0;
                whole = false;
                hub.handle(Event::PlatformAway(false));
                publish(&hub, delta, Source::Platform);
            }
            Ok(WatchOutcome::Compacted) => {
                log::info!("the store has no changes since revision {after}; reading every item");
                whole = true;
            }
            Err(error) => {
                failures += 1;
                log::debug!("store {call} after revision {after} failed ({failures}): {error}");
                if failures >= AWAY {
                    hub.handle(Event::PlatformAway(true));
                }
                let pause = (PAUSE * 2_u32.pow(failures.min(8))).min(LONGEST_PAUSE);
                Timer::after(pause.mul_f64(rng.random_range(0.5..1.0))).await;
            }
        }
    }
}

/// Asks a peer for the items that changed since a revision.
pub async fn fetch(hub: &Hub, address: SocketAddr, since: u64) {
    match link::fetch_items(hub, address, since).await {
        Ok(delta) => publish(hub, delta, Source::Peer),
        Err(error) => log::debug!("no items since revision {since} from {address}: {error}"),
    }
}
