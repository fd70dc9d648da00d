//! Bounds what the endpoint is given: what runs there, and what waits for room.
//!
//! The decisions are the core's: [`cactusroad_core::admission`] says whether a
//! generation has room, [`cactusroad_core::fairness`] which one goes next. This
//! module keeps both under one lock, so that no two requests are given the same
//! room, and wakes those that wait. Answers go out after the lock is free,
//! because a permit that nobody takes gives its room back under the same lock.

mod bound;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cactusroad_adapter::engine::Load;
use cactusroad_core::{
    Time,
    admission::{Decision, Ending, Request},
    config::Objective,
    fairness::{self, Entry, Queue, Reason, Rejected},
    id::Attempt,
    refusal::{Effect, Kind, Refusal},
};
use prometheus::Histogram;
use tokio::{
    sync::{oneshot, watch},
    time,
};

use self::bound::Bound;
use crate::{clock, settings};

/// What an attempt asks of the gate.
pub(super) struct Ticket {
    /// The identity of the attempt.
    pub(super) attempt: Attempt,
    /// The route that it came by.
    pub(super) route: Arc<str>,
    /// The version that runs it.
    pub(super) version: Arc<str>,
    /// The customer.
    pub(super) workspace: Arc<str>,
    /// The share of the customer, relative to others.
    pub(super) weight: u32,
    /// Higher goes first.
    pub(super) priority: u8,
    /// The tokens of the prompt; 0 for a plain service.
    pub(super) prompt_tokens: u32,
    /// The most tokens that are generated; 0 for a plain service.
    pub(super) max_tokens: u32,
    /// When waiting is of no more use.
    pub(super) deadline: Time,
}

/// How full the gate is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Level {
    pub(super) running: usize,
    pub(super) queued: usize,
    /// Requests that the endpoint may hold at once.
    pub(super) limit: usize,
    /// The endpoint is held to be cold.
    pub(super) cold: bool,
    /// The share of the endpoint that is free, from 0 to 1.
    pub(super) headroom: f64,
}

impl Level {
    /// Returns the share of memory that admission may still give, in thousandths.
    pub(super) fn headroom_millis(&self) -> u32 {
        (self.headroom.clamp(0.0, 1.0) * 1_000.0) as u32
    }
}

/// The right to run at the endpoint; dropping it gives the room back.
pub(super) struct Permit {
    gate: Arc<Gate>,
    attempt: Attempt,
    workspace: Arc<str>,
    complete: AtomicBool,
}

impl Permit {
    /// Notes that the endpoint produced a token.
    pub(super) fn token(&self) {
        self.gate.update(|state, now| {
            state.bound.token(now, self.attempt);
            state.queue.charge(&self.workspace, 1);
        });
    }

    /// Notes that the answer is whole, so that its length is known.
    pub(super) fn complete(&self) {
        self.complete.store(true, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let ending = match self.complete.load(Ordering::Relaxed) {
            true => Ending::Complete,
            false => Ending::Broken,
        };
        self.gate.update(|state, now| {
            state.bound.finished(now, self.attempt, ending);
            state.queue.finish(&self.workspace);
        });
    }
}

/// A request that waits.
struct Waiter {
    request: Request,
    reply: oneshot::Sender<Result<Permit, Refusal>>,
}

/// An answer that goes out once the lock is free.
struct Answer {
    reply: oneshot::Sender<Result<Permit, Refusal>>,
    result: Result<Permit, Refusal>,
}

impl Answer {
    fn send(self) {
        // Nobody takes it where the attempt was cancelled; a permit then gives its
        // room back as it is dropped.
        let _ = self.reply.send(self.result);
    }
}

struct State {
    bound: Bound,
    queue: Queue<Waiter>,
}

/// Bounds what the endpoint is given.
pub(super) struct Gate {
    state: Mutex<State>,
    /// When the head of the queue is to be offered again.
    wake_at: watch::Sender<Time>,
    max_wait: Duration,
    waited: Histogram,
}

impl Gate {
    /// Returns the gate of an endpoint and starts the task that wakes its queue.
    pub(super) fn new(
        endpoint: &settings::Endpoint,
        objective: Objective,
        waited: Histogram,
    ) -> Arc<Gate> {
        let bound = match endpoint.kind {
            settings::Kind::Model => Bound::model(objective, endpoint.max_running),
            settings::Kind::Service => Bound::service(endpoint.max_running),
        };
        let config = fairness::Config {
            capacity: endpoint.max_queued,
            ..fairness::Config::new(objective)
        };
        let max_wait = Duration::from_millis(config.max_wait_ms);
        let (wake_at, woken) = watch::channel(Time::MAX);
        let gate = Arc::new(Gate {
            state: Mutex::new(State {
                bound,
                queue: Queue::new(config),
            }),
            wake_at,
            max_wait,
            waited,
        });
        tokio::spawn(wake(Arc::downgrade(&gate), woken));
        gate
    }

    /// Returns how full the gate is.
    pub(super) fn level(&self) -> Level {
        let state = self.lock();
        state.bound.level(clock::now(), state.queue.len())
    }

    /// Takes in a load report.
    pub(super) fn report(self: &Arc<Gate>, load: &Load) {
        self.update(|state, now| state.bound.report(now, load));
    }

    /// Waits for room at the endpoint.
    ///
    /// # Errors
    ///
    /// Refuses, truly not run, where there is no room in time.
    pub(super) async fn enter(self: &Arc<Gate>, ticket: &Ticket) -> Result<Permit, Refusal> {
        let arrived = clock::now();
        let mut place = self.queue(ticket)?;
        let answer = (&mut place.answer).await;
        let seconds = clock::now().since(arrived).as_secs_f64();
        self.waited.observe(seconds);
        answer.unwrap_or_else(|_| Err(overloaded(clock::now())))
    }

    /// Takes a request into the queue.
    fn queue(self: &Arc<Gate>, ticket: &Ticket) -> Result<Place, Refusal> {
        let (reply, answer) = oneshot::channel();
        let request = ticket.request(clock::now() + self.max_wait);
        let entered = self.update(|state, now| {
            let ahead = state.queue.len();
            if let Decision::Refuse { retry_at } = state.bound.offer(now, &request, ahead) {
                return Err(refusal(retry_at));
            }
            let entry = Entry {
                item: Waiter { request, reply },
                workspace: ticket.workspace.clone(),
                weight: ticket.weight,
                priority: ticket.priority,
                deadline: ticket.deadline,
                tokens: u64::from(ticket.prompt_tokens),
            };
            match state.queue.push(entry, now) {
                Ok(pushed) => Ok((pushed.ticket, pushed.shed)),
                Err(rejected) => Err(rejection(&rejected)),
            }
        });
        let (number, shed) = entered?;
        if let Some(shed) = shed {
            let result = Err(overloaded(clock::now() + self.max_wait));
            let _ = shed.item.reply.send(result);
        }
        Ok(Place {
            gate: Arc::clone(self),
            number,
            answer,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state, and gives out the room that this leaves.
    fn update<R>(self: &Arc<Gate>, change: impl FnOnce(&mut State, Time) -> R) -> R {
        let now = clock::now();
        let mut state = self.lock();
        let result = change(&mut state, now);
        let answers = match state.queue.is_empty() {
            true => Vec::new(),
            false => self.dispatch(&mut state, now),
        };
        drop(state);
        answers.into_iter().for_each(Answer::send);
        result
    }

    /// Takes out of the queue what has room or has waited too long.
    fn dispatch(self: &Arc<Gate>, state: &mut State, now: Time) -> Vec<Answer> {
        let mut answers: Vec<Answer> = state
            .queue
            .expire(now)
            .into_iter()
            .map(|entry| Answer {
                reply: entry.item.reply,
                result: Err(match entry.deadline.is_past(now) {
                    true => deadline_exceeded(),
                    false => overloaded(now),
                }),
            })
            .collect();
        let mut wake_at = Time::MAX;
        while let Some(head) = state.queue.peek() {
            match state.bound.offer(now, &head.item.request, 0) {
                Decision::Wait { until } => {
                    wake_at = until;
                    break;
                }
                decision => match self.take(state, now, decision) {
                    Some(answer) => answers.push(answer),
                    None => break,
                },
            }
        }
        let expires_at = state.queue.next_deadline().unwrap_or(Time::MAX);
        self.wake_at.send_replace(wake_at.min(expires_at));
        answers
    }

    /// Takes out the head of the queue and answers it.
    fn take(self: &Arc<Gate>, state: &mut State, now: Time, decision: Decision) -> Option<Answer> {
        let entry = state.queue.pop(now)?;
        let Waiter { request, reply } = entry.item;
        let result = match decision {
            Decision::Refuse { retry_at } => {
                state.queue.finish(&entry.workspace);
                Err(refusal(retry_at))
            }
            _ => {
                state.bound.started(now, &request);
                Ok(Permit {
                    gate: Arc::clone(self),
                    attempt: request.attempt,
                    workspace: entry.workspace,
                    complete: AtomicBool::new(false),
                })
            }
        };
        Some(Answer { reply, result })
    }
}

/// Offers the head of the queue again when it is due.
async fn wake(gate: Weak<Gate>, mut woken: watch::Receiver<Time>) {
    loop {
        let wake_at = *woken.borrow_and_update();
        tokio::select! {
            changed = woken.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = time::sleep_until(clock::instant(wake_at)) => {
                let Some(gate) = gate.upgrade() else { return };
                gate.update(|_, _| ());
            }
        }
    }
}

/// A place in the queue; dropping it leaves the queue.
struct Place {
    gate: Arc<Gate>,
    number: fairness::Ticket,
    answer: oneshot::Receiver<Result<Permit, Refusal>>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gate.update(|state, _| state.queue.remove(self.number));
    }
}

impl Ticket {
    fn request(&self, start_by: Time) -> Request {
        Request {
            attempt: self.attempt,
            route: self.route.clone(),
            version: self.version.clone(),
            prompt_tokens: self.prompt_tokens,
            cached_tokens: 0,
            prefix: None,
            max_tokens: self.max_tokens,
            start_by: start_by.min(self.deadline),
        }
    }
}

fn refusal(retry_at: Option<Time>) -> Refusal {
    match retry_at {
        Some(retry_at) => overloaded(retry_at),
        None => Refusal::new(
            Kind::TooLarge,
            Effect::NotRun,
            "The prompt is larger than the memory of the endpoint.",
            "Shorten the prompt.",
        ),
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

fn rejection(rejected: &Rejected<Waiter>) -> Refusal {
    match rejected.reason {
        Reason::Deadline => deadline_exceeded(),
        Reason::Full | Reason::Wait => overloaded(rejected.retry_at),
    }
}

fn deadline_exceeded() -> Refusal {
    Refusal::new(
        Kind::DeadlineExceeded,
        Effect::NotRun,
        "The deadline passed while the request waited for room.",
        "Allow more time or send the request when the load is lower.",
    )
}
