//! Fault injection, common to all stand-ins.

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

/// A command that sets faults; a field that is absent changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// The delay of each answer, in milliseconds.
    pub lag_ms: Option<u64>,
    /// The number of next calls that take effect but whose answer is dropped.
    pub drop_answers: Option<u32>,
    /// The number of next calls that are dropped before they take effect.
    pub drop_requests: Option<u32>,
    /// How long to refuse connections from now on, in milliseconds; open ones are dropped.
    pub down_ms: Option<u64>,
}

/// What happens to a call.
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

/// Injects the active faults of one stand-in.
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

    /// Applies a control command.
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

    /// Returns the outcome and the delay of the next call, and uses up its fault.
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

/// Decrements a count above zero, and returns whether it did.
fn decrement(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}

/// Middleware for calls that change state: they are delayed, and the call or its answer can
/// be dropped.
pub(crate) async fn inject_on_write(
    State(injector): State<Injector>,
    request: Request,
    next: Next,
) -> Response {
    let connection = request.extensions().get::<Connection>().cloned();
    let connection =
        connection.expect("the server adds its connection to each request as an extension");
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

/// Middleware for read-only calls: they are delayed but never dropped.
pub(crate) async fn inject_on_read(
    State(injector): State<Injector>,
    request: Request,
    next: Next,
) -> Response {
    let response = next.run(request).await;
    tokio::time::sleep(injector.lag()).await;
    response
}

/// Locks a mutex and ignores poisoning, because no holder leaves the state half changed.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
