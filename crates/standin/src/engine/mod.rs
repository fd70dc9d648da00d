//! A stand-in model engine.
//!
//! A generation is a task that counts tokens at a fixed interval. The text of the
//! tokens is computed from the prompt ([`text`]), so a reader can connect late,
//! disconnect and resume without the engine storing any text. If
//! [`Config::model`] is set, [`crate::model`] schedules the tokens, and its load
//! reports and cache events replace the simpler ones of this module.

mod cache;
mod driver;
mod generation;
mod message;
mod run;
mod state;
pub mod text;

use std::{
    convert::Infallible,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use axum::{
    Json, Router,
    body::{Body, Bytes},
    extract::{Extension, Path, Query, State},
    http::{StatusCode, header::CONTENT_TYPE},
    middleware,
    response::{IntoResponse, Response, Sse, sse},
    routing::{get, post, put},
};
use futures_util::{Stream, StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::Notify, time::Instant};

use cactusroad_core::id::Attempt;

use crate::{
    fault::{self, Injector, lock},
    server::{self, Connection},
};
use message::{CacheEvent, Load, Prompt};
use run::Run;
use state::Rejection;

pub use message::{Action, Order};
pub use run::Generation;
pub use state::Seen;

/// The settings of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The time between two tokens, in milliseconds; 5 by default.
    pub token_interval_ms: u64,
    /// The time before the first token, in milliseconds; 5 by default.
    pub prefill_ms: u64,
    /// The maximum number of concurrent generations; more wait in a queue. 256 by default.
    pub capacity: u64,
    /// The capacity of a cold engine; 2 by default.
    pub cold_capacity: u64,
    /// Whether the engine starts cold: slower, and with the capacity `cold_capacity`.
    pub cold: bool,
    /// The loaded versions; an empty list accepts any version.
    pub versions: Vec<Arc<str>>,
    /// Memory blocks in the load report; 4096 by default.
    pub blocks_total: u64,
    /// Tokens in one block; 16 by default.
    pub block_tokens: u64,
    /// The capacity of the prefix cache, in prefixes; 256 by default.
    pub cache_prefixes: usize,
    /// A prompt that contains this text crashes the engine; empty disables it.
    pub crash_marker: Arc<str>,
    /// The number of tokens generated before such a crash; 0 by default.
    pub crash_after_tokens: u64,
    /// How long the engine is down after a crash, in milliseconds; 300 by default.
    pub restart_ms: u64,
    /// Whether [`crate::model`] schedules the tokens instead of `token_interval_ms`; false by
    /// default. The capacities, `token_interval_ms`, `prefill_ms` and `cache_prefixes` then have
    /// no effect, and the engine can turn cold only if it starts cold.
    pub model: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            token_interval_ms: 5,
            prefill_ms: 5,
            capacity: 256,
            cold_capacity: 2,
            cold: false,
            versions: Vec::new(),
            blocks_total: 4_096,
            block_tokens: 16,
            cache_prefixes: 256,
            crash_marker: "[crash]".into(),
            crash_after_tokens: 0,
            restart_ms: 300,
            model: false,
        }
    }
}

/// A control command; a field that is absent changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Whether the engine is cold: slower, and with the capacity `cold_capacity`.
    pub cold: Option<bool>,
    /// Whether orders are accepted without a check of their fencing token.
    pub ignore_fencing: Option<bool>,
    /// The number of next cache events to lose.
    pub lose_cache_events: Option<u32>,
    /// The delay of cache events, in milliseconds.
    pub cache_lag_ms: Option<u64>,
    /// The maximum age of the load report, in milliseconds.
    pub load_lag_ms: Option<u64>,
    /// How long every generation stalls from now on, in milliseconds.
    pub stall_ms: Option<u64>,
    /// Whether each stream that is opened is an event without end.
    pub endless: Option<bool>,
    /// Whether to crash now.
    pub crash: bool,
    /// The faults; dropped requests and answers apply to starts and orders only.
    pub faults: fault::Command,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Handle {
    config: Arc<Config>,
    state: Arc<Mutex<state::State>>,
    /// Wakes the runs that wait for a slot, and the driver of the model.
    wakeup: Arc<Notify>,
    injector: Injector,
    server: server::Handle,
}

impl Handle {
    /// Returns the HTTP server, which can be stopped or taken down.
    pub fn server(&self) -> &server::Handle {
        &self.server
    }

    /// Applies a control command.
    pub fn control(&self, command: &Command) {
        self.configure(command);
        self.wakeup.notify_waiters();
        if command.crash {
            self.crash();
        }
        self.injector.apply(&command.faults);
    }

    fn configure(&self, command: &Command) {
        let mut state = lock(&self.state);
        if let Some(cold) = command.cold {
            state.set_cold(cold);
        }
        if let Some(ignore) = command.ignore_fencing {
            state.set_ignore_fencing(ignore);
        }
        if let Some(count) = command.lose_cache_events {
            state.cache.lose_next(count);
        }
        if let Some(lag) = command.cache_lag_ms {
            state.cache.set_lag(Duration::from_millis(lag));
        }
        if let Some(lag) = command.load_lag_ms {
            state.set_load_lag(Duration::from_millis(lag));
        }
        if let Some(endless) = command.endless {
            state.is_endless = endless;
        }
        if let Some(millis) = command.stall_ms {
            state.stall_until(Instant::now() + Duration::from_millis(millis));
        }
    }

    /// Drops all connections and runs, and refuses connections for `restart_ms`.
    pub fn crash(&self) {
        lock(&self.state).crash();
        let restart = Duration::from_millis(self.config.restart_ms);
        self.server.down_for(restart);
    }

    /// Returns the records and counters of the engine.
    pub fn seen(&self) -> Seen {
        lock(&self.state).seen()
    }
}

/// Starts an engine on a listener.
///
/// # Errors
///
/// Returns an error if the listener's local address cannot be read.
pub fn spawn(config: Config, listener: TcpListener) -> io::Result<Handle> {
    let handle = server::spawn(listener, |server| {
        let handle = Handle {
            config: Arc::new(config.clone()),
            state: Arc::new(Mutex::new(state::State::new(config))),
            wakeup: Arc::default(),
            injector: Injector::new(server.clone()),
            server,
        };
        (router(handle.clone()), handle)
    })?;
    if handle.config.model {
        tokio::spawn(driver::run(handle.clone()));
    }
    Ok(handle)
}

fn router(handle: Handle) -> Router {
    let faults = handle.injector.clone();
    let changes = Router::new()
        .route("/v1/generate", post(generate))
        .route("/v1/orders", post(order))
        .layer(middleware::from_fn_with_state(
            faults.clone(),
            fault::inject_on_write,
        ));
    let reads = Router::new()
        .route("/v1/generations/{id}", get(resume).delete(cancel))
        .route("/v1/load", get(load))
        .route("/v1/cache-events", get(cache_events))
        .layer(middleware::from_fn_with_state(
            faults,
            fault::inject_on_read,
        ));
    Router::new()
        .merge(changes)
        .merge(reads)
        .route("/control", put(control))
        .route("/control/seen", get(seen))
        .with_state(handle)
}

async fn generate(
    State(handle): State<Handle>,
    Extension(connection): Extension<Connection>,
    Json(prompt): Json<Prompt>,
) -> Response {
    let started = lock(&handle.state).start(prompt);
    match started {
        Ok(run) => {
            handle.wakeup.notify_waiters();
            let is_endless = lock(&handle.state).is_endless;
            tokio::spawn(generation::run(handle, run.clone()));
            match is_endless {
                true => endless(),
                false => tokens(run, 0, connection).into_response(),
            }
        }
        Err(Rejection::Duplicate) => StatusCode::CONFLICT.into_response(),
        Err(Rejection::UnknownVersion) => StatusCode::NOT_FOUND.into_response(),
        Err(Rejection::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
    }
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: u64,
}

async fn resume(
    State(handle): State<Handle>,
    Extension(connection): Extension<Connection>,
    Path(generation): Path<Attempt>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    let (found, is_endless) = {
        let state = lock(&handle.state);
        (state.find(generation), state.is_endless)
    };
    match found {
        Some(_) if is_endless => endless(),
        Some(run) => tokens(run, query.from, connection).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn tokens(
    run: Arc<Run>,
    from: u64,
    connection: Connection,
) -> Sse<impl Stream<Item = Result<sse::Event, Infallible>>> {
    Sse::new(generation::read(run, from, connection))
}

/// The bytes of an event without end, so that a test with an unlimited reader ends as well.
const ENDLESS_BYTES: usize = 256 << 20;

/// The size of a piece of an event without end, in bytes.
const ENDLESS_PIECE_BYTES: usize = 16 << 10;

/// Returns a stream that consists of one event without end.
fn endless() -> Response {
    let piece = Bytes::from(vec![b'a'; ENDLESS_PIECE_BYTES]);
    let pieces = stream::repeat(piece).take(ENDLESS_BYTES / ENDLESS_PIECE_BYTES);
    let start = stream::iter([Bytes::from_static(b"data: ")]);
    let bytes = start.chain(pieces).chain(stream::pending());
    let headers = [(CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(bytes.map(Ok::<_, Infallible>))).into_response()
}

async fn cancel(State(handle): State<Handle>, Path(generation): Path<Attempt>) -> StatusCode {
    let found = lock(&handle.state).cancel(generation);
    match found {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::NOT_FOUND,
    }
}

async fn load(State(handle): State<Handle>) -> Json<Load> {
    Json(lock(&handle.state).reported_load())
}

#[derive(Deserialize)]
struct CacheQuery {
    #[serde(default)]
    after: u64,
}

async fn cache_events(
    State(handle): State<Handle>,
    Query(query): Query<CacheQuery>,
) -> Json<Vec<CacheEvent>> {
    Json(lock(&handle.state).cache_events(query.after))
}

async fn order(State(handle): State<Handle>, Json(order): Json<Order>) -> StatusCode {
    let accepted = lock(&handle.state).apply_order(order);
    match accepted {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::PRECONDITION_FAILED,
    }
}

async fn control(State(handle): State<Handle>, Json(command): Json<Command>) -> StatusCode {
    handle.control(&command);
    StatusCode::NO_CONTENT
}

async fn seen(State(handle): State<Handle>) -> Json<Seen> {
    Json(handle.seen())
}
