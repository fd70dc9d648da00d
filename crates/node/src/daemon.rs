//! The entry and agent daemons: startup from a settings file and shutdown on a signal.

use std::{fmt, net::SocketAddr, path::Path};

use cactusroad_adapter::{address::Address, engine, roster, service, store};
use cactusroad_core::{
    id::Incarnation,
    member::{Member, Role},
};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    admin::{self, Readiness},
    agent::{Agent, Backend, DrainStatus},
    clock,
    entry::{Entry, ReadinessHandle},
    fleet, logging,
    metrics::{AgentMetrics, ControlBytes, EntryMetrics, Exporter},
    settings, status,
    transport::{self, Dialer, Identity},
};

/// A failure to start or run a daemon.
#[derive(Debug)]
pub enum Error {
    /// The settings file cannot be read or is invalid.
    Settings(String),
    /// An address or a certificate cannot be used.
    Transport(transport::Error),
    /// The operating system reported an error.
    System(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings(text) => f.write_str(text),
            Error::Transport(cause) => cause.fmt(f),
            Error::System(cause) => write!(
                f,
                "operating system error: {cause}; check the resource limits"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl From<transport::Error> for Error {
    fn from(cause: transport::Error) -> Error {
        Error::Transport(cause)
    }
}

impl From<std::io::Error> for Error {
    fn from(cause: std::io::Error) -> Error {
        Error::System(cause)
    }
}

/// Runs an entry until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the settings or certificates are invalid, an address cannot be bound or a
/// signal handler cannot be installed.
pub async fn entry(file: &Path) -> Result<(), Error> {
    let settings = read_settings(file, settings::Entry::parse)?;
    logging::start(&settings.common.name);
    let common = &settings.common;
    let exporter = Exporter::new();
    let metrics = EntryMetrics::new(&exporter);
    let identity = Identity::read(&common.tls)?;
    let incarnation = Incarnation(clock::now().as_micros());
    let control = metrics.control();
    let own = own_member(common, Role::Entry, incarnation, common.inner);
    let fleet = start_gossip(common, own.clone(), &identity, control)?;
    let socket = fleet::listen(&identity, common.inner, &fleet)?;
    let view = fleet.view();
    exporter.export_config(view.clone());
    let entry = Entry::start(&settings, view.config, view.endpoints, metrics).await?;
    entry.follow_entries(view.entries);
    let store = store::http::Client::new(&parse_address(&common.store)?);
    entry.follow_rollouts(store.clone(), fleet.clone());
    tokio::spawn(status::share_generation(own.clone(), fleet.clone()));
    tokio::spawn(status::write_reports(own, fleet.clone(), store));
    admin::start(settings.common.admin, exporter, entry.readiness()).await?;
    log::info!(
        "entry {} is listening on {}",
        settings.common.name,
        entry.address()
    );
    shutdown_signal().await?;
    log::info!("entry {} is shutting down", settings.common.name);
    let leaving = fleet::OwnState {
        leaving: true,
        ..fleet::OwnState::default()
    };
    fleet.update_own(leaving).await;
    entry.stop().await;
    socket.close(0u32.into(), b"stopped");
    Ok(())
}

/// Runs an agent until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the settings or certificates are invalid, an address cannot be bound or a
/// signal handler cannot be installed.
pub async fn agent(file: &Path) -> Result<(), Error> {
    let settings = read_settings(file, settings::Agent::parse)?;
    logging::start(&settings.common.name);
    let endpoint_address = parse_address(&settings.endpoint.address)?;
    let backend = match settings.endpoint.kind {
        settings::Kind::Model => Backend::Model(engine::http::Client::new(&endpoint_address)),
        settings::Kind::Service => Backend::Service(service::http::Client::new(&endpoint_address)),
    };
    let exporter = Exporter::new();
    let metrics = AgentMetrics::new(&exporter);
    let store = store::http::Client::new(&parse_address(&settings.common.store)?);
    let control = metrics.control();
    let agent = Agent::start(&settings, backend, store, metrics)?;
    let common = &settings.common;
    let identity = Identity::read(&common.tls)?;
    let (incarnation, inner) = (agent.incarnation(), agent.address());
    let own = own_member(common, Role::Endpoint, incarnation, inner);
    let fleet = start_gossip(common, own.clone(), &identity, control)?;
    tokio::spawn(status::share_generation(own, fleet.clone()));
    exporter.export_config(fleet.view());
    agent.join(fleet);
    admin::start(settings.common.admin, exporter, agent.readiness()).await?;
    log::info!(
        "agent {} is listening on {}",
        settings.common.name,
        agent.address()
    );
    shutdown_signal().await?;
    log::info!("agent {} is shutting down", settings.common.name);
    agent.stop().await;
    Ok(())
}

/// Starts the gossip task of a process.
///
/// # Errors
///
/// Returns [`Error::Settings`] if the address of the store or of the roster is invalid.
pub fn start_gossip(
    common: &settings::Common,
    own: Member,
    identity: &Identity,
    control: ControlBytes,
) -> Result<fleet::Handle, Error> {
    let store = store::http::Client::new(&parse_address(&common.store)?);
    let roster = roster::http::Client::new(&parse_address(&common.roster)?);
    let dialer = Dialer::new(common.name.clone(), identity, control.clone());
    Ok(fleet::start(
        own,
        Vec::new(),
        dialer,
        store,
        roster,
        control,
    ))
}

/// Returns the initial member record of a process; `inner` is the address for its peers.
pub fn own_member(
    common: &settings::Common,
    role: Role,
    incarnation: Incarnation,
    inner: SocketAddr,
) -> Member {
    let mut own = Member::new(common.name.clone(), role, inner, common.data_centre.clone());
    own.incarnation = incarnation;
    own
}

impl Readiness for ReadinessHandle {
    fn is_ready(&self) -> bool {
        ReadinessHandle::is_ready(self)
    }
}

impl<E: engine::Engine, S: service::Service> Readiness for DrainStatus<E, S> {
    fn is_ready(&self) -> bool {
        !self.is_draining()
    }
}

fn read_settings<T>(
    file: &Path,
    parse: impl FnOnce(&str) -> Result<T, settings::Error>,
) -> Result<T, Error> {
    let name = file.display();
    let json = std::fs::read_to_string(file).map_err(|cause| {
        Error::Settings(format!(
            "{name}: cannot read the settings file ({cause}); pass a readable path"
        ))
    })?;
    parse(&json).map_err(|faults| {
        let lines: Vec<String> = faults
            .to_string()
            .lines()
            .map(|line| format!("{name}: {line}"))
            .collect();
        Error::Settings(lines.join("\n"))
    })
}

fn parse_address(text: &str) -> Result<Address, Error> {
    text.parse()
        .map_err(|cause| Error::Settings(format!("{text}: {cause}")))
}

/// Waits for SIGTERM or SIGINT.
async fn shutdown_signal() -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
