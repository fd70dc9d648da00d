//! Digests of keys and bodies.
//!
//! A [`Digest`] is SHA-256 truncated to 128 bits. That keeps an index of many
//! keys small, and a collision among the keys of a day remains far less likely
//! than a hardware fault.

use std::{borrow::Cow, fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The first 128 bits of a SHA-256 digest.
///
/// # Examples
///
/// ```
/// use cactusroad_core::digest::Digest;
///
/// // Parts are hashed with their lengths, so their boundaries matter.
/// assert_ne!(Digest::of(&[b"ab", b"c"]), Digest::of(&[b"a", b"bc"]));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub u128);

impl Digest {
    /// Hashes a list of parts, each prefixed with its length.
    pub fn of(parts: &[&[u8]]) -> Digest {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut first = [0; 16];
        first.copy_from_slice(&hash.finalize()[..16]);
        Digest(u128::from_be_bytes(first))
    }

    /// Truncates a digest in wire form, or returns `None` if it is shorter than 16 bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Digest> {
        let first: [u8; 16] = bytes.get(..16)?.try_into().ok()?;
        Some(Digest(u128::from_be_bytes(first)))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Digest, ParseIntError> {
        u128::from_str_radix(text, 16).map(Digest)
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        let text = Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
