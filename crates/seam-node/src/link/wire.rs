//! Translation between the link's messages and the types of the decisions.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use seam_core::{Hop, IdempotencyKey, Refusal};
use seam_protocol::peer::{Header, Hop as WireHop, Refusal as WireRefusal};
use seam_protocol::{CustomerId, Digest, IssuedKey, Outcome, Reason, RegionId, VmId, key};

/// Writes header fields.
pub fn headers(fields: &HeaderMap) -> Vec<Header> {
    fields
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Reads header fields. Malformed ones are dropped.
pub fn fields(headers: &[Header]) -> HeaderMap {
    headers
        .iter()
        .filter_map(|header| {
            let name: HeaderName = header.name.parse().ok()?;
            let value = HeaderValue::from_bytes(&header.value).ok()?;
            Some((name, value))
        })
        .collect()
}

/// Writes the path of a request.
pub fn wire_hops(hops: &[Hop]) -> Vec<WireHop> {
    hops.iter()
        .map(|hop| WireHop {
            vm: hop.vm.0,
            region: hop.region.0,
        })
        .collect()
}

/// Reads the path of a request.
pub fn hops(wire: &[WireHop]) -> Vec<Hop> {
    wire.iter()
        .map(|hop| Hop {
            vm: VmId(hop.vm),
            region: RegionId(hop.region),
        })
        .collect()
}

/// Writes a refusal.
pub fn wire_refusal(refusal: Refusal) -> WireRefusal {
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
    }
}

/// Reads a refusal. What this node does not understand counts as unknown.
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

/// Reads an idempotency key as a caller wrote it.
///
/// # Errors
/// [`key::KeyError`] for a text that looks like an issued key but is not one of this deployment.
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
