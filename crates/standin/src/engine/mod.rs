//! The stand-in of a model engine.
//!
//! A generation is a task that counts tokens at a set interval. The tokens
//! themselves follow from the prompt ([`text`]), so a reader may come late,
//! break off and resume without the engine keeping any text. Where
//! [`Config::model`] is set, the model of [`crate::model`] says when each token
//! is due, and what it reports of load and cache takes the place of the simple
//! account here.

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
    extract::{Extension, Path, Query, State},
    http::StatusCode,
    middleware,
    response::{IntoResponse, Response, Sse, sse},
    routing::{get, post, put},
};
use futures_util::Stream;
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

/// How an engine behaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The time between two tokens, in milliseconds; 5 by default.
    pub token_interval_ms: u64,
    /// The time before the first token, in milliseconds; 5 by default.
    pub prefill_ms: u64,
    /// The most generations that run at once; more wait. 256 by default.
    pub capacity: u64,
    /// The same for a cold engine; 2 by default.
    pub cold_capacity: u64,
    /// Whether the engine starts cold, which makes it slower as well.
    pub cold: bool,
    /// The versions that the engine holds; with none it runs any.
    pub versions: Vec<Arc<str>>,
    /// Blocks of cache memory in the report of the load; 4096 by default.
    pub blocks_total: u64,
    /// Tokens in one block; 16 by default.
    pub block_tokens: u64,
    /// Prefixes that the cache holds; 256 by default.
    pub cache_prefixes: usize,
    /// A prompt that contains this text crashes the engine.
    pub crash_marker: Arc<str>,
    /// The number of tokens that such a prompt gets first; 0 by default.
    pub crash_after_tokens: u64,
    /// How long the engine is down after a crash, in milliseconds; 300 by default.
    pub restart_ms: u64,
    /// Whether the model of an engine times the tokens instead of the interval; false by
    /// default. Capacities, the interval and the prefix limit then have no effect, and the
    /// engine can turn cold only where it starts cold.
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

/// A command; what it leaves out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Whether the engine is cold: slower, and with a smaller capacity.
    pub cold: Option<bool>,
    /// Whether orders are taken whatever their fencing number.
    pub ignore_fencing: Option<bool>,
    /// How many of the next cache events are lost.
    pub lose_cache_events: Option<u32>,
    /// How late cache events are told, in milliseconds.
    pub cache_lag_ms: Option<u64>,
    /// How old the report of the load may be, in milliseconds.
    pub load_lag_ms: Option<u64>,
    /// How long no generation makes progress from now on, in milliseconds.
    pub stall_ms: Option<u64>,
    /// Whether to crash now.
    pub crash: bool,
    /// The faults; lost requests and answers concern starts and orders.
    pub faults: fault::Command,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Handle {
    config: Arc<Config>,
    state: Arc<Mutex<state::State>>,
    /// Wakes those who wait for a turn.
    wakeup: Arc<Notify>,
    injector: Injector,
    server: server::Handle,
}

impl Handle {
    /// Returns the server, to stop it or to take it down.
    pub fn server(&self) -> &server::Handle {
        &self.server
    }

    /// Puts a command in force.
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
        if let Some(millis) = command.stall_ms {
            state.stall_until(Instant::now() + Duration::from_millis(millis));
        }
    }

    /// Drops every connection and generation, and refuses connections until the restart is over.
    pub fn crash(&self) {
        lock(&self.state).crash();
        let restart = Duration::from_millis(self.config.restart_ms);
        self.server.down_for(restart);
    }

    /// Returns what the engine has seen so far.
    pub fn seen(&self) -> Seen {
        lock(&self.state).seen()
    }
}

/// Starts an engine on a listener.
///
/// # Errors
///
/// Fails where the listener has no address.
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
            tokio::spawn(generation::run(handle, run.clone()));
            tokens(run, 0, connection).into_response()
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
    let found = lock(&handle.state).find(generation);
    match found {
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
