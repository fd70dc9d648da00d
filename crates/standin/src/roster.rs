//! A stand-in for the platform's roster of VMs.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    middleware,
    routing::{get, put},
};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time::Instant};

use crate::{
    fault::{self, Injector, lock},
    server,
};

/// A VM in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: Arc<str>,
    /// `entry` or `endpoint`.
    pub role: Arc<str>,
    /// The UDP address of the cactusroad process on the VM.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: Arc<str>,
    /// Whether the platform has announced the removal of the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// The settings of a roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The VMs; none by default.
    pub vms: Vec<Vm>,
    /// The time until a change becomes visible, in milliseconds; 0 by default.
    pub stale_ms: u64,
}

/// A control command; a field that is absent changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// The new roster.
    pub vms: Option<Vec<Vm>>,
    /// The time until a change from now on becomes visible, in milliseconds.
    pub stale_ms: Option<u64>,
    /// The faults.
    pub faults: fault::Command,
}

/// The counters of a roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Reads of the roster.
    pub reads: u64,
}

/// A running roster.
#[derive(Clone, Debug)]
pub struct Handle {
    state: Arc<Mutex<Inner>>,
    injector: Injector,
    server: server::Handle,
}

#[derive(Debug)]
struct Inner {
    visible: Vec<Vm>,
    /// The next roster and the time when it becomes visible.
    pending: Option<(Instant, Vec<Vm>)>,
    /// The time until a change becomes visible.
    delay: Duration,
    seen: Seen,
}

impl Handle {
    /// Returns the HTTP server, which can be stopped or taken down.
    pub fn server(&self) -> &server::Handle {
        &self.server
    }

    /// Applies a control command.
    pub fn control(&self, command: Command) {
        let mut state = lock(&self.state);
        state.delay = command.stale_ms.map_or(state.delay, Duration::from_millis);
        if let Some(vms) = command.vms {
            state.pending = Some((Instant::now() + state.delay, vms));
        }
        drop(state);
        self.injector.apply(&command.faults);
    }

    /// Sets the VMs, which become visible after the current `stale_ms`.
    pub fn set(&self, vms: Vec<Vm>) {
        self.control(Command {
            vms: Some(vms),
            ..Command::default()
        });
    }

    /// Returns the counters.
    pub fn seen(&self) -> Seen {
        lock(&self.state).seen.clone()
    }
}

/// Starts a roster on a listener.
///
/// # Errors
///
/// Returns an error if the listener's local address cannot be read.
pub fn spawn(config: Config, listener: TcpListener) -> io::Result<Handle> {
    let state = Arc::new(Mutex::new(Inner {
        visible: config.vms,
        pending: None,
        delay: Duration::from_millis(config.stale_ms),
        seen: Seen::default(),
    }));
    server::spawn(listener, |server| {
        let handle = Handle {
            state,
            injector: Injector::new(server.clone()),
            server,
        };
        (router(handle.clone()), handle)
    })
}

fn router(handle: Handle) -> Router {
    let faults = handle.injector.clone();
    let vms = get(vms).layer(middleware::from_fn_with_state(
        faults,
        fault::inject_on_read,
    ));
    Router::new()
        .route("/v1/vms", vms)
        .route("/control", put(control))
        .route("/control/seen", get(seen))
        .with_state(handle)
}

async fn vms(State(handle): State<Handle>) -> Json<Vec<Vm>> {
    let mut state = lock(&handle.state);
    state.seen.reads += 1;
    let due = state.pending.take_if(|(at, _)| *at <= Instant::now());
    if let Some((_, vms)) = due {
        state.visible = vms;
    }
    Json(state.visible.clone())
}

async fn control(State(handle): State<Handle>, Json(command): Json<Command>) -> StatusCode {
    handle.control(command);
    StatusCode::NO_CONTENT
}

async fn seen(State(handle): State<Handle>) -> Json<Seen> {
    Json(handle.seen())
}
