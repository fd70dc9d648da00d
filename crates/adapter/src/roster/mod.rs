//! The platform's list of live and leaving VMs, which lags behind the truth.

pub mod http;

use std::{future::Future, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// What a VM carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry process.
    Entry,
    /// An endpoint and the agent beside it.
    Endpoint,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: Arc<str>,
    /// What the VM carries.
    pub role: Role,
    /// The UDP address of the process of cactusroad on it.
    pub address: SocketAddr,
    /// The data centre that holds it.
    pub data_centre: Arc<str>,
    /// Whether the platform has announced that the VM will go.
    #[serde(default)]
    pub leaving: bool,
}

/// Why the list could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The list cannot be reached.
    #[error("the VM list cannot be reached; the last one read stays in use")]
    Unavailable,
    /// The list does not follow its protocol.
    #[error("the VM list cannot be read; check that its address names the platform's list")]
    Malformed,
}

/// The platform's list of VMs.
pub trait Roster: Clone + Send + Sync + 'static {
    /// Reads the whole list, sorted by name.
    ///
    /// # Errors
    ///
    /// Fails where the list is out of reach or malformed.
    fn vms(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;
}
