//! Runs a stand-in as a separate process.

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
    /// The platform's object store.
    Store,
    /// The platform's roster of VMs.
    Roster,
}

/// Why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Listening on the address failed.
    #[error(
        "cannot listen on {address}: {source}; pass an address of this machine that is not in use"
    )]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings are not valid.
    #[error("cannot parse the settings of the stand-in: {0}; see docs/PROTOCOL.md")]
    Config(#[from] serde_json::Error),
}

/// Runs a stand-in until `stop` completes, then shuts it down gracefully.
///
/// `config` is the JSON of the role's `Config`; a blank string selects the defaults.
/// `on_listen` is called with the address once the stand-in listens.
///
/// # Errors
///
/// Returns an error if the settings are not valid or listening on the address fails.
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
