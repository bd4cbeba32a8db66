//! Idempotency keys that the system issues.

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;

use crate::id::{CustomerId, Incarnation, RegionId, VmId};
use crate::time::Time;

/// Marks a key as issued by the system.
pub const ISSUED_PREFIX: &str = "seam1.";

/// Bytes of the MAC that an issued key carries.
const MAC_BYTES: usize = 16;

/// How long an issued key may be used.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// What an issued key states. Only the issuing incarnation ever runs a request with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IssuedKey {
    /// The VM that issued it.
    pub vm: VmId,
    /// The boot of the process that issued it.
    pub incarnation: Incarnation,
    /// The region of that VM.
    pub region: RegionId,
    /// The customer it was issued to.
    pub customer: CustomerId,
    /// Unique within the incarnation.
    pub serial: u64,
    /// End of validity on the issuer's clock.
    pub expiry: Time,
}

/// Why a text is not a key of this deployment.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text does not have the form of an issued key.
    #[snafu(display("the idempotency key does not have the form of an issued key"))]
    Malformed,
    /// The MAC does not match.
    #[snafu(display("the idempotency key was not issued by this deployment"))]
    MacMismatch,
}

fn mac(secret: &[u8], payload: &[u8]) -> [u8; MAC_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes a key of any length");
    mac.update(payload);
    let full = mac.finalize().into_bytes();
    let mut head = [0; MAC_BYTES];
    head.copy_from_slice(&full[..MAC_BYTES]);
    head
}

/// Appends a MAC to a datagram or key payload.
///
/// ```
/// use seam_protocol::key::{append_mac, verify_mac};
/// let sealed = append_mac(b"secret", b"payload".to_vec());
/// assert_eq!(verify_mac(b"secret", &sealed), Some(&b"payload"[..]));
/// assert_eq!(verify_mac(b"other", &sealed), None);
/// ```
#[must_use]
pub fn append_mac(secret: &[u8], mut payload: Vec<u8>) -> Vec<u8> {
    let tag = mac(secret, &payload);
    payload.extend_from_slice(&tag);
    payload
}

/// Returns the payload if its MAC is right.
///
/// See [`append_mac`] for an example.
#[must_use]
pub fn verify_mac<'a>(secret: &[u8], sealed: &'a [u8]) -> Option<&'a [u8]> {
    let split = sealed.len().checked_sub(MAC_BYTES)?;
    let (payload, tag) = sealed.split_at(split);
    let want = mac(secret, payload);
    let differ = want.iter().zip(tag).fold(0, |acc, (a, b)| acc | (a ^ b));
    (differ == 0).then_some(payload)
}

impl IssuedKey {
    /// Writes the key as the text that callers send back.
    ///
    /// # Panics
    /// Never: integers always encode.
    ///
    /// ```
    /// use seam_protocol::{CustomerId, Incarnation, IssuedKey, RegionId, Time, VmId};
    /// let key = IssuedKey {
    ///     vm: VmId(1),
    ///     incarnation: Incarnation(2),
    ///     region: RegionId(3),
    ///     customer: CustomerId(4),
    ///     serial: 5,
    ///     expiry: Time(6),
    /// };
    /// let text = key.encode(b"secret");
    /// assert_eq!(IssuedKey::decode(b"secret", &text), Ok(key));
    /// ```
    #[must_use]
    pub fn encode(&self, secret: &[u8]) -> String {
        let payload = postcard::to_allocvec(self).expect("a key of integers always encodes");
        let sealed = append_mac(secret, payload);
        format!("{ISSUED_PREFIX}{}", URL_SAFE_NO_PAD.encode(sealed))
    }

    /// Reads a text that [`Self::encode`] wrote.
    ///
    /// # Errors
    /// [`KeyError::Malformed`] for another text, [`KeyError::MacMismatch`] for a MAC that does not match.
    pub fn decode(secret: &[u8], text: &str) -> Result<Self, KeyError> {
        let coded = text
            .strip_prefix(ISSUED_PREFIX)
            .ok_or(KeyError::Malformed)?;
        let sealed = URL_SAFE_NO_PAD
            .decode(coded)
            .map_err(|_| KeyError::Malformed)?;
        let payload = verify_mac(secret, &sealed).ok_or(KeyError::MacMismatch)?;
        postcard::from_bytes(payload).map_err(|_| KeyError::Malformed)
    }
}
