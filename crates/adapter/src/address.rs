//! The address of an external system.

use std::{fmt, net::SocketAddr, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The base URL of an external system's HTTP interface: `http://IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(Arc<str>);

impl Address {
    /// Returns the base URL, without a trailing slash.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Address {
        Address(format!("http://{address}").into())
    }
}

/// A string that is not a valid address.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{found}` is not a valid address; expected `http://IP:PORT`, as in `http://127.0.0.1:8700`"
)]
pub struct Error {
    found: Box<str>,
}

impl FromStr for Address {
    type Err = Error;

    fn from_str(text: &str) -> Result<Address, Error> {
        let base = text.strip_suffix('/').unwrap_or(text);
        base.strip_prefix("http://")
            .and_then(|authority| authority.parse::<SocketAddr>().ok())
            .map(Address::from)
            .ok_or_else(|| Error { found: text.into() })
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for Address {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Address, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
