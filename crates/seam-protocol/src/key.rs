//! Idempotency keys that nodes issue to callers.

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;

use crate::id::{CustomerId, Incarnation, RegionId, VmId};
use crate::time::Time;

/// Prefix of issued keys, which distinguishes them from keys that callers choose.
pub const ISSUED_PREFIX: &str = "seam1.";

/// Length in bytes of a truncated HMAC-SHA256.
const MAC_BYTES: usize = 16;

/// Validity of an issued key.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// Contents of an issued key. Only the incarnation that issued it runs requests with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IssuedKey {
    /// VM that issued the key.
    pub vm: VmId,
    /// Incarnation that issued the key.
    pub incarnation: Incarnation,
    /// Region of the VM.
    pub region: RegionId,
    /// Customer that the key was issued to.
    pub customer: CustomerId,
    /// Serial number, unique within the incarnation.
    pub serial: u64,
    /// End of validity, on the issuer's clock.
    pub expiry: Time,
}

/// Errors in decoding an issued key.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text does not have the format of an issued key.
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
    let mut truncated = [0; MAC_BYTES];
    truncated.copy_from_slice(&full[..MAC_BYTES]);
    truncated
}

/// Appends a MAC to the payload of a datagram or key.
///
/// ```
/// use seam_protocol::key::{append_mac, verify_mac};
/// let message = append_mac(b"secret", b"payload".to_vec());
/// assert_eq!(verify_mac(b"secret", &message), Some(&b"payload"[..]));
/// assert_eq!(verify_mac(b"other", &message), None);
/// ```
#[must_use]
pub fn append_mac(secret: &[u8], mut payload: Vec<u8>) -> Vec<u8> {
    let tag = mac(secret, &payload);
    payload.extend_from_slice(&tag);
    payload
}

/// Returns the payload if its MAC is valid. Compares the MACs in constant time.
///
/// See [`append_mac`] for an example.
#[must_use]
pub fn verify_mac<'a>(secret: &[u8], message: &'a [u8]) -> Option<&'a [u8]> {
    let split = message.len().checked_sub(MAC_BYTES)?;
    let (payload, tag) = message.split_at(split);
    let expected = mac(secret, payload);
    let difference = expected
        .iter()
        .zip(tag)
        .fold(0, |acc, (a, b)| acc | (a ^ b));
    (difference == 0).then_some(payload)
}

impl IssuedKey {
    /// Encodes the key as the text that callers send in the idempotency header.
    ///
    /// # Panics
    /// Never, since serialization of integers cannot fail.
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
        let payload = postcard::to_allocvec(self).expect("a key of integers always serializes");
        let message = append_mac(secret, payload);
        format!("{ISSUED_PREFIX}{}", URL_SAFE_NO_PAD.encode(message))
    }

    /// Verifies and decodes the output of [`Self::encode`].
    ///
    /// # Errors
    /// [`KeyError::Malformed`] if the text does not have the format of an issued key,
    /// [`KeyError::MacMismatch`] if its MAC does not match.
    pub fn decode(secret: &[u8], text: &str) -> Result<Self, KeyError> {
        let encoded = text
            .strip_prefix(ISSUED_PREFIX)
            .ok_or(KeyError::Malformed)?;
        let message = URL_SAFE_NO_PAD
            .decode(encoded)
            .map_err(|_| KeyError::Malformed)?;
        let payload = verify_mac(secret, &message).ok_or(KeyError::MacMismatch)?;
        postcard::from_bytes(payload).map_err(|_| KeyError::Malformed)
    }
}
