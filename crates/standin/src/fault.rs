//! The faults that every stand-in can be told to show.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::Response,
};
use serde::{Deserialize, Serialize};

use crate::server::{Connection, Handle};

/// A command that sets faults; what it leaves out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// How long each answer is held back, in milliseconds.
    pub lag_ms: Option<u64>,
    /// How many of the next calls take effect and then lose their answer.
    pub drop_answers: Option<u32>,
    /// How many of the next calls are lost before they take effect.
    pub drop_requests: Option<u32>,
    /// How long to refuse connections from now on, in milliseconds; drops the open ones.
    pub down_ms: Option<u64>,
}

/// What a call meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    AnswerLost,
    RequestLost,
}

#[derive(Debug, Default)]
struct Faults {
    lag: Duration,
    drop_answers: u32,
    drop_requests: u32,
}

/// The faults in force at one stand-in.
#[derive(Clone, Debug)]
pub(crate) struct Injector {
    faults: Arc<Mutex<Faults>>,
    server: Handle,
}

impl Injector {
    pub(crate) fn new(server: Handle) -> Injector {
        Injector {
            faults: Arc::default(),
            server,
        }
    }

    /// Puts a command in force.
    pub(crate) fn apply(&self, command: &Command) {
        let mut faults = lock(&self.faults);
        faults.lag = command.lag_ms.map_or(faults.lag, Duration::from_millis);
        faults.drop_answers = command.drop_answers.unwrap_or(faults.drop_answers);
        faults.drop_requests = command.drop_requests.unwrap_or(faults.drop_requests);
        drop(faults);
        if let Some(millis) = command.down_ms {
            self.server.down_for(Duration::from_millis(millis));
        }
    }

    fn next_outcome(&self) -> (Outcome, Duration) {
        let mut faults = lock(&self.faults);
        let outcome = if decrement(&mut faults.drop_requests) {
            Outcome::RequestLost
        } else if decrement(&mut faults.drop_answers) {
            Outcome::AnswerLost
        } else {
            Outcome::Served
        };
        (outcome, faults.lag)
    }

    fn lag(&self) -> Duration {
        lock(&self.faults).lag
    }
}

fn decrement(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}

/// Serves a call that changes something; it may be lost, or its answer may be.
pub(crate) async fn inject_on_write(
    State(injector): State<Injector>,
    request: Request,
    next: Next,
) -> Response {
    let connection = request.extensions().get::<Connection>().cloned();
    let connection = connection.expect("the server names the connection of each request");
    let (outcome, lag) = injector.next_outcome();
    if outcome == Outcome::RequestLost {
        connection.abort().await;
    }
    let response = next.run(request).await;
    tokio::time::sleep(lag).await;
    if outcome == Outcome::AnswerLost {
        connection.abort().await;
    }
    response
}

/// Serves a call that only reads; it lags and is never lost by count.
pub(crate) async fn inject_on_read(
    State(injector): State<Injector>,
    request: Request,
    next: Next,
) -> Response {
    let response = next.run(request).await;
    tokio::time::sleep(injector.lag()).await;
    response
}

/// Locks a state whose holders never leave it half changed.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
