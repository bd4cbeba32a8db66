//! Log lines about versions of the configuration, from the first that a node hears of each to the time
//! when it is in force.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use log::kv::Value;
use seam_core::command::ItemDifference;
use seam_core::config_version::ConfigChange;
use seam_core::store_call::StoreChange;
use seam_core::{ConfigStamp, ConfigVersion};
use seam_protocol::{Delta, Reason};

use crate::published_places::MisreadPlace;
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

/// Returns for how long the store has not shown a configuration. Left out of a line if that is unknown.
pub fn confirmed(config: &ConfigStamp) -> Value<'static> {
    match config.confirmed_ms {
        _ if config.meaning == 0 => Value::null(),
        None => "never".into(),
        Some(age) => age.into(),
    }
}

/// Returns the digest of what a node made of a configuration. Left out of a line if it is unknown.
pub fn meaning(config: &ConfigStamp) -> Value<'static> {
    match config.meaning {
        0 => Value::null(),
        digest => digest.into(),
    }
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

/// Logs a refusal by a configuration that the store has not shown for some time, with the revision up to which
/// this node claims to know every change and the one that the store stated last to it.
pub fn log_unconfirmed(
    config: &ConfigStamp,
    (status, reason): (StatusCode, Reason),
    (claim, stated): (u64, Option<u64>),
    skipped: u64,
) {
    log::warn!(
        target: "config",
        config = config.revision, config_item = config.item_revision, config_age_ms = config.age_ms,
        confirmed_age_ms = confirmed(config), meaning = meaning(config), status = status.as_u16(),
        reason = reason.slug(), claim = claim, stated = stated.map_or_else(Value::null, Value::from),
        skipped = skipped;
        "refused by an unconfirmed configuration"
    );
}

/// Logs the published places at which the routes in force do not have what is published.
pub fn log_misread(version: ConfigVersion, misread: &[MisreadPlace]) {
    /// Places named in a line.
    const MAX_NAMED: usize = 20;
    let named = misread.iter().take(MAX_NAMED).map(|place| {
        let found = place.found.as_ref();
        let found = found.map_or_else(|| "no route".to_owned(), |name| format!("route {name:?}"));
        format!("{}{} has {found}", place.host, place.prefix)
    });
    let named: Vec<_> = named.collect();
    log::error!(
        target: "config",
        config = version.revision, config_item = version.item_revision, places = misread.len(),
        named = named.join("; ").as_str();
        "published routes misread"
    );
}

/// Logs that this node begins or stops to admit requests with API keys, by the age of the last confirmation that
/// its configuration is the present one.
pub fn log_admission(config: ConfigStamp, admits: bool, age: Option<Duration>) {
    if admits {
        log::info!(
            target: "config",
            config = config.revision, config_item = config.item_revision, revocation_age_ms = millis(age);
            "requests with API keys are admitted"
        );
    } else {
        log::warn!(
            target: "config",
            config = config.revision, config_item = config.item_revision, revocation_age_ms = millis(age);
            "requests with API keys are refused, as the configuration is not confirmed"
        );
    }
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
