//! A stand-in for the platform's object store.
//!
//! Objects are kept in memory and survive [`server::Handle::down`], like those of
//! the real store. The store counts all calls, and the watches that currently wait.

mod object;

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Path, Query, State},
    http::{HeaderMap, StatusCode, header},
    middleware,
    response::{IntoResponse, Response},
    routing::{get, put},
};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::watch, time::Instant};

use crate::{
    fault::{self, Injector, lock},
    server,
};
use object::{Conflict, Listing, Objects, Precondition};

/// The maximum wait of a watch, in milliseconds.
pub const MAX_WAIT_MS: u64 = 60_000;

/// The settings of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The maximum size of a value, in bytes; 1 MiB by default.
    pub max_value_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_value_bytes: 1024 * 1024,
        }
    }
}

/// The counters of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Reads and lists.
    pub reads: u64,
    /// Conditional writes and deletions, including those that failed.
    pub writes: u64,
    /// Writes and deletions whose precondition failed.
    pub conflicts: u64,
    /// Watches started.
    pub watches: u64,
    /// Watches that currently wait.
    pub waiting: u64,
    /// Bytes of the values written.
    pub bytes_written: u64,
    /// Bytes of the values read.
    pub bytes_read: u64,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    conflicts: AtomicU64,
    watches: AtomicU64,
    waiting: AtomicU64,
    bytes_written: AtomicU64,
    bytes_read: AtomicU64,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    injector: Injector,
    server: server::Handle,
}

#[derive(Debug)]
struct Shared {
    config: Config,
    objects: Mutex<Objects>,
    /// The position of the last change, which wakes the waiting watches.
    position: watch::Sender<u64>,
    counters: Counters,
}

impl Handle {
    /// Returns the HTTP server, which can be stopped or taken down.
    pub fn server(&self) -> &server::Handle {
        &self.server
    }

    /// Applies a fault command.
    pub fn control(&self, command: &fault::Command) {
        self.injector.apply(command);
    }

    /// Returns the counters.
    pub fn seen(&self) -> Seen {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.shared.counters;
        Seen {
            reads: read(&counters.reads),
            writes: read(&counters.writes),
            conflicts: read(&counters.conflicts),
            watches: read(&counters.watches),
            waiting: read(&counters.waiting),
            bytes_written: read(&counters.bytes_written),
            bytes_read: read(&counters.bytes_read),
        }
    }
}

/// Starts a store on a listener.
///
/// # Errors
///
/// Returns an error if the listener's local address cannot be read.
pub fn spawn(config: Config, listener: TcpListener) -> io::Result<Handle> {
    let shared = Arc::new(Shared {
        config,
        objects: Mutex::default(),
        position: watch::Sender::new(0),
        counters: Counters::default(),
    });
    server::spawn(listener, |server| {
        let handle = Handle {
            shared,
            injector: Injector::new(server.clone()),
            server,
        };
        (router(handle.clone()), handle)
    })
}

fn router(handle: Handle) -> Router {
    let faults = handle.injector.clone();
    let reads = get(read).layer(middleware::from_fn_with_state(
        faults.clone(),
        fault::inject_on_read,
    ));
    let writes = put(write)
        .delete(delete)
        .layer(middleware::from_fn_with_state(
            faults.clone(),
            fault::inject_on_write,
        ));
    let listing = Router::new()
        .route("/v1/objects", get(list))
        .route("/v1/watch", get(watch_prefix))
        .layer(middleware::from_fn_with_state(
            faults,
            fault::inject_on_read,
        ));
    // Admits one byte over the maximum, so that the handler counts and refuses such a value.
    let limit = handle.shared.config.max_value_bytes + 1;
    Router::new()
        .route("/v1/objects/{*key}", reads.merge(writes))
        .merge(listing)
        .route("/control", put(control))
        .route("/control/seen", get(seen))
        .layer(DefaultBodyLimit::max(limit))
        .with_state(handle)
}

async fn read(State(handle): State<Handle>, Path(key): Path<String>) -> Response {
    let counters = &handle.shared.counters;
    count(&counters.reads, 1);
    let found = lock(&handle.shared.objects).get(&key);
    match found {
        Some((version, value)) => {
            count(&counters.bytes_read, value.len() as u64);
            ([(header::ETAG, etag(version))], value).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write(
    State(handle): State<Handle>,
    Path(key): Path<String>,
    headers: HeaderMap,
    value: Bytes,
) -> Response {
    let Some(precondition) = parse_precondition(&headers) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let counters = &handle.shared.counters;
    count(&counters.writes, 1);
    if value.len() > handle.shared.config.max_value_bytes {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    count(&counters.bytes_written, value.len() as u64);
    let written = lock(&handle.shared.objects).put(&key, precondition, value);
    handle.finish_write(written)
}

async fn delete(
    State(handle): State<Handle>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Response {
    let Some(precondition) = parse_precondition(&headers) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    count(&handle.shared.counters.writes, 1);
    let deleted = lock(&handle.shared.objects).delete(&key, precondition);
    handle.finish_write(deleted)
}

impl Handle {
    fn finish_write(&self, written: Result<u64, Conflict>) -> Response {
        match written {
            Ok(version) => {
                self.shared.position.send_modify(|p| *p = version.max(*p));
                [(header::ETAG, etag(version))].into_response()
            }
            Err(Conflict) => {
                count(&self.shared.counters.conflicts, 1);
                StatusCode::PRECONDITION_FAILED.into_response()
            }
        }
    }
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list(State(handle): State<Handle>, Query(query): Query<ListQuery>) -> Json<Listing> {
    count(&handle.shared.counters.reads, 1);
    Json(lock(&handle.shared.objects).list(&query.prefix))
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn watch_prefix(
    State(handle): State<Handle>,
    Query(query): Query<WatchQuery>,
) -> Json<Listing> {
    let shared = &handle.shared;
    count(&shared.counters.watches, 1);
    let _waiting = WaitGuard::new(&shared.counters.waiting);
    let mut position = shared.position.subscribe();
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let deadline = Instant::now() + wait;
    loop {
        position.borrow_and_update();
        let changed = lock(&shared.objects).changes_after(&query.prefix, query.after);
        if !changed.objects.is_empty() {
            return Json(changed);
        }
        let change = tokio::time::timeout_at(deadline, position.changed());
        if change.await.is_err() {
            return Json(changed);
        }
    }
}

/// Counts a waiting watch until it is dropped, which also covers a caller that disconnects.
struct WaitGuard<'a>(&'a AtomicU64);

impl<'a> WaitGuard<'a> {
    fn new(counter: &'a AtomicU64) -> WaitGuard<'a> {
        count(counter, 1);
        WaitGuard(counter)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn control(State(handle): State<Handle>, Json(command): Json<fault::Command>) -> StatusCode {
    handle.control(&command);
    StatusCode::NO_CONTENT
}

async fn seen(State(handle): State<Handle>) -> Json<Seen> {
    Json(handle.seen())
}

fn count(counter: &AtomicU64, by: u64) {
    counter.fetch_add(by, Ordering::Relaxed);
}

fn etag(version: u64) -> String {
    format!("\"{version}\"")
}

/// Returns the precondition of a write: `If-Match` with a version or `If-None-Match: *`.
fn parse_precondition(headers: &HeaderMap) -> Option<Precondition> {
    let text = |name| headers.get(name).and_then(|tag| tag.to_str().ok());
    match (text(header::IF_MATCH), text(header::IF_NONE_MATCH)) {
        (Some(tag), None) => tag
            .trim_matches('"')
            .parse()
            .ok()
            .map(Precondition::Version),
        (None, Some("*")) => Some(Precondition::Absent),
        _ => None,
    }
}
