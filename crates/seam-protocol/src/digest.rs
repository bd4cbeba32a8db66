//! SHA-256 digests of bundle parts and credentials.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};
use snafu::{OptionExt, Snafu};

/// Length in bytes of a truncated SHA-256 digest.
pub const DIGEST_BYTES: usize = 16;

/// The first 128 bits of a SHA-256 digest, displayed as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

/// Error for a string that is not a digest.
#[derive(Debug, Snafu)]
#[snafu(display("invalid digest {text:?}: expected {} hexadecimal digits", DIGEST_BYTES * 2))]
pub struct DigestError {
    text: String,
}

impl Digest {
    /// Returns the digest of some bytes.
    ///
    /// ```
    /// use seam_protocol::Digest;
    /// let digest = Digest::of(b"part");
    /// assert_eq!(digest.to_string().parse::<Digest>().unwrap(), digest);
    /// ```
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let full = Sha256::digest(bytes);
        let mut truncated = [0; DIGEST_BYTES];
        truncated.copy_from_slice(&full[..DIGEST_BYTES]);
        Self(truncated)
    }

    /// Returns the first eight bytes as a big-endian number.
    ///
    /// ```
    /// use seam_protocol::Digest;
    /// assert_eq!(Digest::of(b"x").leading_u64(), Digest::of(b"x").leading_u64());
    /// ```
    #[must_use]
    pub fn leading_u64(self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let error = || DigestSnafu { text };
        if text.len() != DIGEST_BYTES * 2 || !text.is_ascii() {
            return error().fail();
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16)
                .ok()
                .with_context(error)?;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(HexVisitor)
        } else {
            Ok(Self(Deserialize::deserialize(deserializer)?))
        }
    }
}

/// Parses a digest from a string slice without allocating.
struct HexVisitor;

impl de::Visitor<'_> for HexVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} hexadecimal digits", DIGEST_BYTES * 2)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Digest, E> {
        text.parse().map_err(E::custom)
    }
}
