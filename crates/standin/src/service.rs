//! A stand-in plain service.
//!
//! It answers any method on any path with a JSON description of the run. It counts
//! runs, so that a test detects a request that ran twice.

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

/// The header that identifies a request across hops.
pub const REQUEST_ID: &str = "x-request-id";
/// The header with the key of a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The settings of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// A body that contains this text crashes the service after the run is counted; empty
    /// disables it.
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

/// A control command; a field that is absent changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// The HTTP status of further answers.
    pub status: Option<u16>,
    /// The faults.
    pub faults: fault::Command,
}

/// The number of runs with one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// The idempotency key, or the request ID if there is none, or else empty. In
    /// [`Seen::paths`], the path.
    pub key: Arc<str>,
    /// The number of runs.
    pub count: u64,
}

/// The counters of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The runs of each key, sorted by key.
    pub runs: Vec<Runs>,
    /// The runs at each path, sorted by path.
    pub paths: Vec<Runs>,
    /// The total number of runs.
    pub total: u64,
    /// The number of crashes.
    pub crashes: u64,
}

impl Seen {
    /// Returns the number of runs with a key.
    pub fn runs_of(&self, key: &str) -> u64 {
        run_count(&self.runs, key)
    }

    /// Returns the number of runs at a path.
    pub fn runs_at(&self, path: &str) -> u64 {
        run_count(&self.paths, path)
    }

    /// Counts a run, and returns the number of runs with its key.
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
    /// The method of the request.
    pub method: String,
    /// The path and query of the request.
    pub path: String,
    /// The key that the run was counted under.
    pub key: Arc<str>,
    /// The number of runs with the key, including this one.
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
    /// Returns the HTTP server, which can be stopped or taken down.
    pub fn server(&self) -> &server::Handle {
        &self.server
    }

    /// Applies a control command; a status outside the valid range is ignored.
    pub fn control(&self, command: &Command) {
        let status = command
            .status
            .and_then(|code| StatusCode::from_u16(code).ok());
        if let Some(status) = status {
            lock(&self.state).status = status;
        }
        self.injector.apply(&command.faults);
    }

    /// Returns the counters.
    pub fn seen(&self) -> Seen {
        lock(&self.state).seen.clone()
    }
}

/// Starts a service on a listener.
///
/// # Errors
///
/// Returns an error if the listener's local address cannot be read.
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
