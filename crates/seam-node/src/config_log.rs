//! Log lines about versions of the configuration, from the first that a node hears of each to the time
//! when it is in force.

use std::net::SocketAddr;
use std::time::Duration;

use log::kv::Value;
use seam_core::command::ItemDifference;
use seam_core::config_version::ConfigChange;
use seam_core::store_call::StoreChange;
use seam_protocol::Delta;

use crate::runtime::NodeRuntime;

/// Logs the configuration of a delta if it was not read before, from the platform or from a peer.
pub fn note_read(runtime: &NodeRuntime, key: &str, delta: &Delta, from: Option<SocketAddr>) {
    let mut found = delta.items.iter().filter(|item| item.key == key);
    let Some((item, value)) = found.find_map(|item| Some((item, item.value.as_ref()?))) else {
        return;
    };
    if runtime.update(|node, now| node.note_config_read(now, key, item.revision)) {
        let in_force = runtime.read(|node, _| node.config_version().revision);
        log::info!(
            target: "config",
            config_item = item.revision, config = in_force, bytes = value.len(),
            source = from.map_or_else(|| "platform".to_owned(), |peer| peer.to_string()).as_str();
            "configuration read"
        );
    }
}

/// Returns the milliseconds of a time, empty if it is unknown.
fn millis(time: Option<Duration>) -> Value<'static> {
    time.map_or_else(|| "".into(), |time| (time.as_millis() as u64).into())
}

/// Logs that another node has other items than this one at the same revision.
pub fn log_difference(difference: &ItemDifference) {
    let digest = |digest: u32| format!("{digest:08x}");
    log::warn!(
        target: "config",
        node:% = difference.peer, items = difference.revision,
        digest = digest(difference.own).as_str(), other = digest(difference.other).as_str();
        "items differ"
    );
}

/// Logs what the store's answers say about what this node knew.
pub fn log_store(change: &StoreChange) {
    match change {
        StoreChange::Contradicted(contradiction) => log::warn!(
            target: "config",
            known = contradiction.known, stated = contradiction.stated;
            "the store contradicts what is known; reading all items"
        ),
        StoreChange::Replaced {
            before,
            revision,
            epoch,
        } => log::warn!(
            target: "config",
            before = before, revision = revision, epoch = epoch;
            "items replaced"
        ),
        StoreChange::NoConfig => log::warn!(
            target: "config",
            kept = true;
            "the store has no configuration"
        ),
        StoreChange::Silent(silence) => log::warn!(
            target: "config",
            silent_ms = silence.as_millis() as u64;
            "the store answers no call"
        ),
    }
}

/// Logs what the decision core learned of a version.
pub fn log_change(change: &ConfigChange) {
    match change {
        ConfigChange::Heard {
            from,
            revision,
            in_force,
        } => log::info!(
            target: "config",
            config = in_force, heard = revision, node:% = from;
            "later configuration heard of"
        ),
        ConfigChange::Taken {
            version,
            before,
            meaning,
            source,
            read,
            heard,
            routes,
            services,
        } => log::info!(
            target: "config",
            config = version.revision, config_item = version.item_revision, before = before,
            meaning = meaning.digest, source:? = source, read_ms = millis(*read), heard_ms = millis(*heard),
            routes_added = routes.added, routes_removed = routes.removed,
            services_added = services.added, services_removed = services.removed;
            "configuration in force"
        ),
        ConfigChange::Differs {
            from,
            version,
            own,
            other,
        } => log::warn!(
            target: "config",
            config = version.revision, config_item = version.item_revision,
            meaning = own.digest, other = other.digest, node:% = from;
            "another node reads the configuration otherwise"
        ),
        ConfigChange::NotTaken {
            revision,
            item_revision,
            in_force,
            reason,
            detail,
        } => log::warn!(
            target: "config",
            config = in_force, config_item = item_revision, read = revision,
            reason = reason.name(), detail = detail.as_str();
            "configuration not taken"
        ),
    }
}
