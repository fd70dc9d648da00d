//! Identifiers that cross process boundaries.
//!
//! A process takes an [`Incarnation`] when it starts, which distinguishes it from
//! an earlier process at the same address. An [`Attempt`] identifies one dispatch
//! of one request to one endpoint. On a model route it also identifies the
//! generation, so that tokens of two attempts are never mixed.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// One start of a process: its time, in microseconds since the Unix epoch.
///
/// A later incarnation of the same process compares greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// One dispatch of one request to one endpoint: 128 random bits.
///
/// They must be unguessable, because a caller that presents them may resume the
/// stream of this attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u128);

impl Attempt {
    /// Returns the wire form, 16 bytes in network byte order.
    pub const fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Parses the wire form, or returns `None` if it is not 16 bytes long.
    pub fn from_bytes(bytes: &[u8]) -> Option<Attempt> {
        let bytes: [u8; 16] = bytes.try_into().ok()?;
        Some(Attempt(u128::from_be_bytes(bytes)))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Attempt {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Attempt, Self::Err> {
        u128::from_str_radix(text, 16).map(Attempt)
    }
}

impl Serialize for Attempt {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Attempt {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Attempt, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
