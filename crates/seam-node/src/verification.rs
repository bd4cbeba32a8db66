//! Verifies by reads of the item store that what this node has in force is what the store has.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use seam_core::{StoreCall, StoreScope};
use seam_http::spawn;
use seam_protocol::Delta;

use crate::item_store::{ItemError, ItemStore, StoreAnswer};
use crate::items;
use crate::runtime::NodeRuntime;

/// Interval at which reads that are due begin.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a read is given up, although it makes progress.
const MAX_READ_TIME: Duration = Duration::from_secs(30);

/// Reads what is due until cancelled. No read waits for another one.
pub async fn verify(runtime: Arc<NodeRuntime>, store: Arc<dyn ItemStore>) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if let Some((scope, call)) = runtime.update(seam_core::Node::due_read) {
            spawn(read(runtime.clone(), store.clone(), scope, call)).detach();
        }
    }
}

/// Reads all items, or that of the configuration.
async fn read(
    runtime: Arc<NodeRuntime>,
    store: Arc<dyn ItemStore>,
    scope: StoreScope,
    call: StoreCall,
) {
    let answered = async {
        Some(match scope {
            StoreScope::Config => read_config(store.as_ref()).await,
            _ => store
                .read_anew()
                .await
                .map(|answer| list_of(answer, call.claim)),
        })
    };
    let expired = async {
        Timer::after(MAX_READ_TIME).await;
        None
    };
    let answer = answered.or(expired).await;
    let name = match scope {
        StoreScope::Config => "key",
        _ => "list",
    };
    runtime
        .metrics
        .platform_call(name, matches!(answer, Some(Ok(_))));
    match answer {
        Some(Ok((delta, stated))) => {
            let complete = scope == StoreScope::Config || delta.full;
            items::apply_answer(&runtime, delta, (scope, call), (stated, complete));
        }
        Some(Err(error)) => {
            log::debug!("item store: verification by {name} failed: {error}");
            runtime.update(|node, now| node.note_failed_read(now, scope));
        }
        None => {
            log::debug!("item store: verification by {name} took too long");
            runtime.update(|node, now| node.note_failed_read(now, scope));
        }
    }
}

async fn read_config(store: &dyn ItemStore) -> Result<(Delta, Option<u64>), ItemError> {
    let answer = store.read_config().await?;
    let delta = Delta {
        items: answer.item.into_iter().collect(),
        revision: 0,
        full: false,
    };
    Ok((delta, answer.stated))
}

/// Returns a list and the revision that it states. What an incomplete one lacks may exist, and one may lack the
/// last changes, which watches from the `claim` of the call have.
fn list_of(answer: StoreAnswer, claim: u64) -> (Delta, Option<u64>) {
    let list = answer.delta;
    let newest = list.items.iter().map(|item| item.revision).max();
    let known = newest.unwrap_or(0).max(claim);
    let delta = Delta {
        full: answer.complete,
        revision: list.revision.min(known),
        ..list
    };
    (delta, answer.stated)
}
