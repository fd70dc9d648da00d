//! Bounds what the endpoint is given: requests at once, and requests that wait.
//!
//! The order of those that wait is the core's [`Queue`]; this module wakes the
//! task of each request that leaves it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cactusroad_core::{
    Time,
    fairness::{self, Entry, Queue, Reason, Rejected},
    refusal::{Effect, Kind, Refusal},
};
use prometheus::Histogram;
use tokio::{sync::oneshot, time};

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
    workspace: Arc<str>,
    gate: Arc<Gate>,
}

impl Permit {
    /// Notes that the endpoint produced a token.
    pub(super) fn token(&self) {
        self.gate.lock().queue.charge(&self.workspace, 1);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.running -= 1;
        state.queue.finish(&self.workspace);
        drop(state);
        self.gate.admit();
    }
}

/// The task of a request that waits.
type Waiter = oneshot::Sender<Result<Permit, Refusal>>;

/// Bounds what the endpoint is given.
pub(super) struct Gate {
    max_running: usize,
    state: Mutex<State>,
    waited: Histogram,
}

struct State {
    queue: Queue<Waiter>,
    running: usize,
}

/// How full the gate is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Level {
    pub(super) running: usize,
    pub(super) queued: usize,
    pub(super) limit: usize,
}

/// A request that waits; dropping it takes the request out of the queue.
struct Waiting<'a> {
    gate: &'a Gate,
    ticket: fairness::Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gate.lock().queue.remove(self.ticket);
    }
}

impl Gate {
    pub(super) fn new(max_running: usize, max_queued: usize, waited: Histogram) -> Arc<Gate> {
        let config = fairness::Config {
            capacity: max_queued,
            ..fairness::Config::default()
        };
        Arc::new(Gate {
            max_running,
            state: Mutex::new(State {
                queue: Queue::new(config),
                running: 0,
            }),
            waited,
        })
    }

    pub(super) fn level(&self) -> Level {
        let state = self.lock();
        Level {
            running: state.running,
            queued: state.queue.len(),
            limit: self.max_running,
        }
    }

    /// Waits for room at the endpoint.
    ///
    /// # Errors
    ///
    /// Refuses, truly not run, where the queue is full, the wait would be too long
    /// or the deadline passes.
    pub(super) async fn enter(self: &Arc<Gate>, ticket: &Ticket) -> Result<Permit, Refusal> {
        let arrived = clock::now();
        let (waiter, answer) = oneshot::channel();
        let waiting = self.queue(ticket, waiter, arrived)?;
        self.admit();
        let result = self.answer(answer).await;
        drop(waiting);
        let seconds = clock::now().since(arrived).as_secs_f64();
        self.waited.observe(seconds);
        result
    }

    fn queue(&self, ticket: &Ticket, waiter: Waiter, now: Time) -> Result<Waiting<'_>, Refusal> {
        let entry = Entry {
            item: waiter,
            workspace: Arc::clone(&ticket.workspace),
            weight: ticket.weight,
            priority: ticket.priority,
            deadline: ticket.deadline,
            tokens: ticket.prompt_tokens,
        };
        let pushed = self.lock().queue.push(entry, now);
        let pushed = pushed.map_err(|rejected| rejection(&rejected))?;
        if let Some(shed) = pushed.shed {
            // A task that no longer waits needs no answer.
            let _ = shed.item.send(Err(overloaded(now + RETRY)));
        }
        Ok(Waiting {
            gate: self,
            ticket: pushed.ticket,
        })
    }

    /// Waits for the answer, and refuses what waits in vain meanwhile.
    async fn answer(
        self: &Arc<Gate>,
        mut answer: oneshot::Receiver<Result<Permit, Refusal>>,
    ) -> Result<Permit, Refusal> {
        loop {
            let deadline = self.lock().queue.next_deadline().unwrap_or(Time::MAX);
            tokio::select! {
                answer = &mut answer => {
                    return answer.unwrap_or_else(|_| Err(overloaded(clock::now() + RETRY)));
                }
                () = time::sleep_until(clock::instant(deadline)) => self.admit(),
            }
        }
    }

    /// Gives the room there is to those that go next.
    fn admit(self: &Arc<Gate>) {
        let now = clock::now();
        let mut state = self.lock();
        let expired = state.queue.expire(now);
        let mut admitted = Vec::new();
        while state.running < self.max_running
            && let Some(entry) = state.queue.pop(now)
        {
            state.running += 1;
            admitted.push(entry);
        }
        drop(state);
        for entry in expired {
            let refusal = match entry.deadline.is_past(now) {
                true => deadline_exceeded(),
                false => overloaded(now + RETRY),
            };
            let _ = entry.item.send(Err(refusal));
        }
        for entry in admitted {
            let permit = Permit {
                workspace: entry.workspace,
                gate: Arc::clone(self),
            };
            // Where the task is gone the permit comes back and gives its room to the next.
            let _ = entry.item.send(Ok(permit));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// When a caller who was refused may try again, where the pace does not tell.
const RETRY: Duration = Duration::from_millis(500);

fn rejection(rejected: &Rejected<Waiter>) -> Refusal {
    match rejected.reason {
        Reason::Deadline => deadline_exceeded(),
        Reason::Full | Reason::Wait => overloaded(rejected.retry_at),
    }
}

fn overloaded(retry_at: Time) -> Refusal {
    Refusal::new(
        Kind::Overloaded,
        Effect::NotRun,
        "The endpoint and its queue are full.",
        "Send the request again later.",
    )
    .retry_at(retry_at)
}

fn deadline_exceeded() -> Refusal {
    Refusal::new(
        Kind::DeadlineExceeded,
        Effect::NotRun,
        "The deadline passed while the request waited for room.",
        "Allow more time or send the request when the load is lower.",
    )
}
