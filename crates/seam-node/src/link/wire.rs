//! Conversion between protocol messages and the types of the decision core.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use seam_core::{ConfigStamp, Hop, IdempotencyKey, Refusal};
use seam_protocol::peer::{Header, Hop as WireHop, Refusal as WireRefusal};
use seam_protocol::{CustomerId, Digest, IssuedKey, Outcome, Reason, RegionId, VmId, key};

/// Converts headers to messages.
pub fn wire_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Converts headers from messages. Malformed ones are dropped.
pub fn headers(wire: &[Header]) -> HeaderMap {
    wire.iter()
        .filter_map(|header| {
            let name: HeaderName = header.name.parse().ok()?;
            let value = HeaderValue::from_bytes(&header.value).ok()?;
            Some((name, value))
        })
        .collect()
}

/// Converts the hops of a request to messages.
pub fn wire_hops(hops: &[Hop]) -> Vec<WireHop> {
    hops.iter()
        .map(|hop| WireHop {
            vm: hop.vm.0,
            region: hop.region.0,
        })
        .collect()
}

/// Converts the hops of a request from messages.
pub fn hops(wire: &[WireHop]) -> Vec<Hop> {
    wire.iter()
        .map(|hop| Hop {
            vm: VmId(hop.vm),
            region: RegionId(hop.region),
        })
        .collect()
}

/// Converts a refusal to a message, with the configuration that decided it.
pub fn wire_refusal(refusal: Refusal, config: ConfigStamp) -> WireRefusal {
    WireRefusal {
        outcome: match refusal.outcome {
            Outcome::Complete => 0,
            Outcome::NotRun => 1,
            Outcome::Unknown => 2,
        },
        reason: refusal.reason.slug().to_owned(),
        retry_micros: refusal
            .retry_after
            .map_or(0, |retry| retry.as_micros() as u64),
        config_revision: config.revision,
        config_item: config.item_revision,
        config_age_ms: config.age_ms,
        confirmed_ms: config.confirmed_ms,
        config_meaning: config.meaning,
    }
}

/// Converts a refusal from a message. An outcome that this node does not know becomes unknown.
pub fn refusal(wire: &WireRefusal) -> Refusal {
    let reason = Reason::ALL
        .iter()
        .find(|reason| reason.slug() == wire.reason)
        .copied()
        .unwrap_or(Reason::Broken);
    let retry = Duration::from_micros(wire.retry_micros);
    Refusal {
        outcome: match wire.outcome {
            0 => Outcome::Complete,
            1 => Outcome::NotRun,
            _ => Outcome::Unknown,
        },
        reason,
        retry_after: (!retry.is_zero()).then_some(retry),
    }
}

/// Returns the configuration that decided a refusal, zero from a node of an earlier version.
pub fn config_stamp(wire: &WireRefusal) -> ConfigStamp {
    ConfigStamp {
        revision: wire.config_revision,
        item_revision: wire.config_item,
        age_ms: wire.config_age_ms,
        confirmed_ms: wire.confirmed_ms,
        meaning: wire.config_meaning,
    }
}

/// Parses an idempotency key as sent by a caller. Returns `None` for an empty text.
///
/// # Errors
/// [`key::KeyError`] for a text with the prefix of issued keys that this deployment did not issue.
pub fn key_name(
    secret: &[u8],
    customer: CustomerId,
    service: &str,
    text: &str,
) -> Result<Option<IdempotencyKey>, key::KeyError> {
    if text.is_empty() {
        return Ok(None);
    }
    if text.starts_with(key::ISSUED_PREFIX) {
        return IssuedKey::decode(secret, text).map(|key| Some(IdempotencyKey::Issued(key)));
    }
    let digest = Digest::of(format!("{service}\n{text}").as_bytes()).leading_u64();
    Ok(Some(IdempotencyKey::Caller { customer, digest }))
}
