//! A stand-in as a process of its own.

use std::{future::Future, io, net::SocketAddr};

use serde::de::DeserializeOwned;
use strum::{Display, EnumString, IntoStaticStr};
use tokio::net::TcpListener;

use crate::{engine, roster, server, service, store};

/// Which stand-in to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// The platform's store.
    Store,
    /// The platform's list of VMs.
    Roster,
}

/// Why a stand-in could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be used.
    #[error("cannot listen on {address}: {source}; pass a free address of this machine")]
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The settings cannot be read.
    #[error("the settings of the stand-in cannot be read: {0}; see docs/PROTOCOL.md")]
    Config(#[from] serde_json::Error),
}

/// Runs a stand-in until `stop` completes, then finishes the requests in hand.
///
/// `config` is the JSON of the role's `Config`; an empty text takes the defaults.
/// `started` is told the address once the stand-in listens.
///
/// # Errors
///
/// Fails where the settings cannot be read or the address cannot be used.
pub async fn run(
    role: Role,
    address: SocketAddr,
    config: &str,
    on_listen: impl FnOnce(SocketAddr),
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let listen = |source| Error::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen)?;
    let server = match role {
        Role::Engine => engine::spawn(parse(config)?, listener).map(|h| h.server().clone()),
        Role::Service => service::spawn(parse(config)?, listener).map(|h| h.server().clone()),
        Role::Store => store::spawn(parse(config)?, listener).map(|h| h.server().clone()),
        Role::Roster => roster::spawn(parse(config)?, listener).map(|h| h.server().clone()),
    };
    let server: server::Handle = server.map_err(listen)?;
    on_listen(server.address());
    stop.await;
    server.stop().await;
    Ok(())
}

fn parse<T: DeserializeOwned + Default>(config: &str) -> Result<T, Error> {
    match config.trim() {
        "" => Ok(T::default()),
        text => Ok(serde_json::from_str(text)?),
    }
}
