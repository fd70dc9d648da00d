//! The stand-in of a plain service.
//!
//! It answers any method on any path with a JSON account of the run. What it
//! counts is runs, so that a test sees whether an order ran twice.

use std::{
    io,
    sync::{Arc, Mutex},
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Extension, State},
    http::{HeaderMap, Method, StatusCode, Uri},
    middleware,
    response::{IntoResponse, Response},
    routing::{any, get, put},
};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fault::{self, Injector, lock},
    server::{self, Connection},
};

/// The header that names a request across hops.
pub const REQUEST_ID: &str = "x-request-id";
/// The header by which a caller names a request that must run once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// How a service behaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// A body that contains this text crashes the service after the run is counted.
    pub crash_marker: Arc<str>,
    /// How long the service is down after a crash, in milliseconds; 300 by default.
    pub restart_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            crash_marker: "[crash]".into(),
            restart_ms: 300,
        }
    }
}

/// A command; what it leaves out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// The status of the answers from now on.
    pub status: Option<u16>,
    /// The faults.
    pub faults: fault::Command,
}

/// The runs under one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// The idempotency key; else the request id; else empty. In the list by path, the path.
    pub key: Arc<str>,
    /// How often a request with this key ran.
    pub count: u64,
}

/// What a service has run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The runs under each key, sorted by key.
    pub runs: Vec<Runs>,
    /// The runs at each path, sorted by path.
    pub paths: Vec<Runs>,
    /// All runs.
    pub total: u64,
    /// Crashes.
    pub crashes: u64,
}

impl Seen {
    /// Returns how often requests with this key ran.
    pub fn runs_of(&self, key: &str) -> u64 {
        run_count(&self.runs, key)
    }

    /// Returns how often requests to this path ran.
    pub fn runs_at(&self, path: &str) -> u64 {
        run_count(&self.paths, path)
    }

    fn count(&mut self, key: &str, path: &str) -> u64 {
        self.total += 1;
        add_run(&mut self.paths, path);
        add_run(&mut self.runs, key)
    }
}

fn run_count(sorted: &[Runs], key: &str) -> u64 {
    let at = sorted.binary_search_by(|runs| (*runs.key).cmp(key));
    at.map_or(0, |at| sorted[at].count)
}

fn add_run(sorted: &mut Vec<Runs>, key: &str) -> u64 {
    let at = sorted.binary_search_by(|runs| (*runs.key).cmp(key));
    let at = at.unwrap_or_else(|at| {
        let key = key.into();
        sorted.insert(at, Runs { key, count: 0 });
        at
    });
    sorted[at].count += 1;
    sorted[at].count
}

/// The answer of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The method that was called.
    pub method: String,
    /// The path and query that were called.
    pub path: String,
    /// The key that the run was counted under.
    pub key: Arc<str>,
    /// How many runs the key has had, with this one.
    pub run: u64,
    /// The XXH3 hash of the body, in hexadecimal.
    pub body_hash: String,
}

/// A running service.
#[derive(Clone, Debug)]
pub struct Handle {
    config: Arc<Config>,
    state: Arc<Mutex<Inner>>,
    injector: Injector,
    server: server::Handle,
}

#[derive(Debug, Default)]
struct Inner {
    status: StatusCode,
    seen: Seen,
}

impl Handle {
    /// Returns the server, to stop it or to take it down.
    pub fn server(&self) -> &server::Handle {
        &self.server
    }

    /// Puts a command in force; a status out of range is left out.
    pub fn control(&self, command: &Command) {
        let status = command
            .status
            .and_then(|code| StatusCode::from_u16(code).ok());
        if let Some(status) = status {
            lock(&self.state).status = status;
        }
        self.injector.apply(&command.faults);
    }

    /// Returns what ran so far.
    pub fn seen(&self) -> Seen {
        lock(&self.state).seen.clone()
    }
}

/// Starts a service on a listener.
///
/// # Errors
///
/// Fails where the listener has no address.
pub fn spawn(config: Config, listener: TcpListener) -> io::Result<Handle> {
    server::spawn(listener, |server| {
        let handle = Handle {
            config: Arc::new(config),
            state: Arc::default(),
            injector: Injector::new(server.clone()),
            server,
        };
        (router(handle.clone()), handle)
    })
}

fn router(handle: Handle) -> Router {
    let faults = handle.injector.clone();
    let run = any(run).layer(middleware::from_fn_with_state(
        faults,
        fault::inject_on_write,
    ));
    Router::new()
        .route("/control", put(control))
        .route("/control/seen", get(seen))
        .fallback_service(run.with_state(handle.clone()))
        .with_state(handle)
}

async fn run(
    State(handle): State<Handle>,
    Extension(connection): Extension<Connection>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let key = run_key(&headers);
    let (run, status) = {
        let mut state = lock(&handle.state);
        (state.seen.count(&key, uri.path()), state.status)
    };
    if contains(&body, handle.config.crash_marker.as_bytes()) {
        handle.crash();
        connection.abort().await;
    }
    let answer = Answer {
        method: method.to_string(),
        path: uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned(),
        key,
        run,
        body_hash: format!("{:016x}", xxh3_64(&body)),
    };
    let mut response = (status, Json(answer)).into_response();
    if let Some(id) = headers.get(REQUEST_ID) {
        response.headers_mut().insert(REQUEST_ID, id.clone());
    }
    response
}

impl Handle {
    fn crash(&self) {
        lock(&self.state).seen.crashes += 1;
        let restart = std::time::Duration::from_millis(self.config.restart_ms);
        self.server.down_for(restart);
    }
}

fn run_key(headers: &HeaderMap) -> Arc<str> {
    let found = headers.get(IDEMPOTENCY_KEY).or(headers.get(REQUEST_ID));
    let text = found.and_then(|key| key.to_str().ok()).unwrap_or_default();
    text.into()
}

fn contains(body: &[u8], marker: &[u8]) -> bool {
    !marker.is_empty() && body.windows(marker.len()).any(|window| window == marker)
}

async fn control(State(handle): State<Handle>, Json(command): Json<Command>) -> StatusCode {
    handle.control(&command);
    StatusCode::NO_CONTENT
}

async fn seen(State(handle): State<Handle>) -> Json<Seen> {
    Json(handle.seen())
}
