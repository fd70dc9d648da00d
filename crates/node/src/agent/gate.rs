//! Bounds what the endpoint is given: requests at once, and requests that wait.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use cactusroad_core::{
    Time,
    refusal::{Effect, Kind, Refusal},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::clock;

/// What an attempt asks of the gate.
pub(super) struct Ticket {
    /// The customer.
    pub(super) workspace: Arc<str>,
    /// The share of the customer, relative to others.
    pub(super) weight: u32,
    /// Higher goes first.
    pub(super) priority: u8,
    /// The tokens of the prompt; 0 for a plain service.
    pub(super) prompt_tokens: u64,
    /// When waiting is of no more use.
    pub(super) deadline: Time,
}

/// The right to run at the endpoint; dropping it gives the room back.
pub(super) struct Permit {
    _running: OwnedSemaphorePermit,
    gate: Arc<Gate>,
}

impl Permit {
    /// Notes that the endpoint produced a token.
    pub(super) fn token(&self) {}
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bounds what the endpoint is given.
pub(super) struct Gate {
    room: Arc<Semaphore>,
    max_running: usize,
    max_queued: usize,
    running: AtomicUsize,
    queued: AtomicUsize,
}

/// How full the gate is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Level {
    pub(super) running: usize,
    pub(super) queued: usize,
    pub(super) limit: usize,
}

/// When a caller who was refused may try again, in milliseconds.
const RETRY_MS: u64 = 500;

impl Gate {
    pub(super) fn new(max_running: usize, max_queued: usize) -> Arc<Gate> {
        Arc::new(Gate {
            room: Arc::new(Semaphore::new(max_running)),
            max_running,
            max_queued,
            running: AtomicUsize::new(0),
            queued: AtomicUsize::new(0),
        })
    }

    pub(super) fn level(&self) -> Level {
        Level {
            running: self.running.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
            limit: self.max_running,
        }
    }

    /// Waits for room at the endpoint.
    ///
    /// # Errors
    ///
    /// Refuses, truly not run, where the queue is full or the deadline passes.
    pub(super) async fn enter(self: &Arc<Gate>, ticket: &Ticket) -> Result<Permit, Refusal> {
        if self.queued.fetch_add(1, Ordering::Relaxed) >= self.max_queued {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return Err(overloaded());
        }
        let deadline = clock::instant(ticket.deadline);
        let room = tokio::time::timeout_at(deadline, self.room.clone().acquire_owned()).await;
        self.queued.fetch_sub(1, Ordering::Relaxed);
        match room {
            Ok(Ok(running)) => {
                self.running.fetch_add(1, Ordering::Relaxed);
                Ok(Permit {
                    _running: running,
                    gate: self.clone(),
                })
            }
            Ok(Err(_)) => Err(overloaded()),
            Err(_) => Err(deadline_exceeded()),
        }
    }
}

fn overloaded() -> Refusal {
    Refusal::new(
        Kind::Overloaded,
        Effect::NotRun,
        "The endpoint and its queue are full.",
        "Send the request again later.",
    )
    .retry_at(clock::now() + std::time::Duration::from_millis(RETRY_MS))
}

fn deadline_exceeded() -> Refusal {
    Refusal::new(
        Kind::DeadlineExceeded,
        Effect::NotRun,
        "The deadline passed while the request waited for room.",
        "Allow more time or send the request when the load is lower.",
    )
}
