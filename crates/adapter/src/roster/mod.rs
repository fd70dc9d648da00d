//! The roster: the platform's list of live and leaving VMs, which may be out of date.

pub mod http;

use std::{future::Future, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The kind of process that runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry, which terminates callers.
    Entry,
    /// An endpoint (a model engine or a plain service) and the agent beside it.
    Endpoint,
}

/// A VM on the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: Arc<str>,
    /// The kind of process that runs on the VM.
    pub role: Role,
    /// The UDP address of the cactusroad process on the VM.
    pub address: SocketAddr,
    /// The data centre that the VM is in.
    pub data_centre: Arc<str>,
    /// Whether the platform has announced that it will remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// The reason that the roster could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The roster cannot be reached or returned a server error.
    #[error("the VM roster is unavailable; the last one that was read stays in use")]
    Unavailable,
    /// The response does not follow the protocol.
    #[error("the VM roster is malformed; check that the configured address is that of the roster")]
    Malformed,
}

/// A source of the platform's list of VMs.
pub trait Roster: Clone + Send + Sync + 'static {
    /// Returns all VMs on the roster, sorted by name.
    ///
    /// # Errors
    ///
    /// Fails if the roster is unavailable or malformed.
    fn vms(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;
}
