//! SHA-256 digests of bundle parts and credentials.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};
use snafu::{OptionExt, Snafu};

/// Bytes kept of a SHA-256 digest.
pub const DIGEST_BYTES: usize = 16;

/// The first 128 bits of a SHA-256 digest, written as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

/// A text that is not a digest.
#[derive(Debug, Snafu)]
#[snafu(display("digest {text:?} is not {} hexadecimal digits", DIGEST_BYTES * 2))]
pub struct DigestError {
    text: String,
}

impl Digest {
    /// Digests some bytes.
    ///
    /// ```
    /// use seam_protocol::Digest;
    /// let digest = Digest::of(b"part");
    /// assert_eq!(digest.to_string().parse::<Digest>().unwrap(), digest);
    /// ```
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let full = Sha256::digest(bytes);
        let mut head = [0; DIGEST_BYTES];
        head.copy_from_slice(&full[..DIGEST_BYTES]);
        Self(head)
    }

    /// Returns the first eight bytes as a number.
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

/// Reads a digest in place, without an owned string between.
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
