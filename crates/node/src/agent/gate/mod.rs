//! Admission control and queueing in front of the endpoint.
//!
//! The decisions are made by the core: [`cactusroad_core::admission`] decides
//! whether a generation fits, and [`cactusroad_core::fairness`] which request is
//! next. This module holds both under one lock, so that the same capacity is never
//! granted twice, and wakes waiting requests. Replies are sent after the lock is
//! released, because dropping an undelivered permit takes the same lock.

mod limiter;

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
    fairness::{self, Queue, Queued, Reason, Rejected},
    id::Attempt,
    refusal::{Effect, Kind, Refusal},
};
use prometheus::Histogram;
use tokio::{
    sync::{oneshot, watch},
    time,
};

use self::limiter::Limiter;
use crate::{clock, settings};

/// An attempt as the gate schedules it.
pub(super) struct Job {
    /// The identity of the attempt.
    pub(super) attempt: Attempt,
    /// The route of the request.
    pub(super) route: Arc<str>,
    /// The version that the request must run on.
    pub(super) version: Arc<str>,
    /// The workspace of the request.
    pub(super) workspace: Arc<str>,
    /// The weight of the workspace relative to others.
    pub(super) weight: u32,
    /// The priority; higher values go first.
    pub(super) priority: u8,
    /// The number of prompt tokens; 0 for a plain service.
    pub(super) prompt_tokens: u32,
    /// The largest number of generated tokens; 0 for a plain service.
    pub(super) max_tokens: u32,
    /// When the request is refused if it is still queued.
    pub(super) deadline: Time,
}

/// The occupancy of the endpoint and its queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Occupancy {
    pub(super) running: usize,
    pub(super) queued: usize,
    /// The largest number of requests that may run at once.
    pub(super) limit: usize,
    /// Whether the endpoint is considered cold.
    pub(super) cold: bool,
    /// The free share of the endpoint's capacity, from 0 to 1.
    pub(super) headroom: f64,
}

impl Occupancy {
    /// Returns the headroom in thousandths.
    pub(super) fn headroom_millis(&self) -> u32 {
        (self.headroom.clamp(0.0, 1.0) * 1_000.0) as u32
    }
}

/// Permission to run one request at the endpoint; dropping it frees the capacity.
pub(super) struct Permit {
    gate: Arc<Gate>,
    attempt: Attempt,
    workspace: Arc<str>,
    complete: AtomicBool,
}

impl Permit {
    /// Records that the endpoint generated a token.
    pub(super) fn record_token(&self) {
        self.gate.update(|state, now| {
            state.limiter.token(now, self.attempt);
            state.queue.charge(&self.workspace, 1);
        });
    }

    /// Records that the generation completed, so that its length counts in the estimates.
    pub(super) fn mark_complete(&self) {
        self.complete.store(true, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let ending = match self.complete.load(Ordering::Relaxed) {
            true => Ending::Complete,
            false => Ending::Incomplete,
        };
        self.gate.update(|state, now| {
            state.limiter.finished(now, self.attempt, ending);
            state.queue.finish(&self.workspace);
        });
    }
}

/// A queued request.
struct Waiter {
    request: Request,
    reply: oneshot::Sender<Result<Permit, Refusal>>,
}

/// A reply to send after the lock is released.
struct PendingReply {
    reply: oneshot::Sender<Result<Permit, Refusal>>,
    result: Result<Permit, Refusal>,
}

impl PendingReply {
    fn send(self) {
        // The send fails if the attempt was cancelled; dropping the returned permit
        // frees its capacity.
        let _ = self.reply.send(self.result);
    }
}

struct State {
    limiter: Limiter,
    queue: Queue<Waiter>,
}

/// Admits requests to the endpoint and queues those that have to wait.
pub(super) struct Gate {
    state: Mutex<State>,
    /// When the queue must be checked again.
    wake_at: watch::Sender<Time>,
    max_wait: Duration,
    wait_seconds: Histogram,
}

impl Gate {
    /// Returns the gate of an endpoint and starts the task that checks its queue when due.
    pub(super) fn new(
        endpoint: &settings::Endpoint,
        objective: Objective,
        wait_seconds: Histogram,
    ) -> Arc<Gate> {
        let limiter = match endpoint.kind {
            settings::Kind::Model => Limiter::model(objective, endpoint.max_running),
            settings::Kind::Service => Limiter::service(endpoint.max_running),
        };
        let config = fairness::Config {
            capacity: endpoint.max_queued,
            ..fairness::Config::new(objective)
        };
        let max_wait = Duration::from_millis(config.max_wait_ms);
        let (wake_at, wake_times) = watch::channel(Time::MAX);
        let gate = Arc::new(Gate {
            state: Mutex::new(State {
                limiter,
                queue: Queue::new(config),
            }),
            wake_at,
            max_wait,
            wait_seconds,
        });
        tokio::spawn(dispatch_when_due(Arc::downgrade(&gate), wake_times));
        gate
    }

    /// Returns the current occupancy.
    pub(super) fn occupancy(&self) -> Occupancy {
        let state = self.lock();
        state.limiter.occupancy(clock::now(), state.queue.len())
    }

    /// Processes a load report of the engine.
    pub(super) fn report(self: &Arc<Gate>, load: &Load) {
        self.update(|state, now| state.limiter.report(now, load));
    }

    /// Waits until the endpoint has capacity for the request.
    ///
    /// # Errors
    ///
    /// Fails with [`Effect::NotRun`] if the request does not fit, the queue is full,
    /// or the request waited too long.
    pub(super) async fn acquire(self: &Arc<Gate>, job: &Job) -> Result<Permit, Refusal> {
        let arrived = clock::now();
        let mut position = self.enqueue(job)?;
        let result = (&mut position.result).await;
        let seconds = clock::now().since(arrived).as_secs_f64();
        self.wait_seconds.observe(seconds);
        result.unwrap_or_else(|_| Err(overloaded(clock::now())))
    }

    /// Adds a request to the queue.
    fn enqueue(self: &Arc<Gate>, job: &Job) -> Result<QueuePosition, Refusal> {
        let (reply, result) = oneshot::channel();
        let request = job.request(clock::now() + self.max_wait);
        let entered = self.update(|state, now| {
            let ahead = state.queue.len();
            if let Decision::Refuse { retry_at } = state.limiter.offer(now, &request, ahead) {
                return Err(admission_refusal(retry_at));
            }
            let queued = Queued {
                item: Waiter { request, reply },
                workspace: job.workspace.clone(),
                weight: job.weight,
                priority: job.priority,
                deadline: job.deadline,
                tokens: u64::from(job.prompt_tokens),
            };
            match state.queue.push(queued, now) {
                Ok(pushed) => Ok((pushed.ticket, pushed.shed)),
                Err(rejected) => Err(queue_refusal(&rejected)),
            }
        });
        let (ticket, shed) = entered?;
        if let Some(shed) = shed {
            let result = Err(overloaded(clock::now() + self.max_wait));
            let _ = shed.item.reply.send(result);
        }
        Ok(QueuePosition {
            gate: Arc::clone(self),
            ticket,
            result,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `change` to the state, then admits queued requests that now fit.
    fn update<R>(self: &Arc<Gate>, change: impl FnOnce(&mut State, Time) -> R) -> R {
        let now = clock::now();
        let mut state = self.lock();
        let result = change(&mut state, now);
        let replies = match state.queue.is_empty() {
            true => Vec::new(),
            false => self.dispatch(&mut state, now),
        };
        drop(state);
        replies.into_iter().for_each(PendingReply::send);
        result
    }

    /// Removes from the queue the requests that fit, never will, or waited too long.
    fn dispatch(self: &Arc<Gate>, state: &mut State, now: Time) -> Vec<PendingReply> {
        let mut replies: Vec<PendingReply> = state
            .queue
            .expire(now)
            .into_iter()
            .map(|queued| PendingReply {
                reply: queued.item.reply,
                result: Err(match queued.deadline.is_past(now) {
                    true => deadline_exceeded(),
                    false => overloaded(now),
                }),
            })
            .collect();
        let mut wake_at = Time::MAX;
        while let Some(head) = state.queue.peek() {
            match state.limiter.offer(now, &head.item.request, 0) {
                Decision::Wait { until } => {
                    wake_at = until;
                    break;
                }
                decision => match self.answer_head(state, now, decision) {
                    Some(reply) => replies.push(reply),
                    None => break,
                },
            }
        }
        let expires_at = state.queue.next_deadline().unwrap_or(Time::MAX);
        self.wake_at.send_replace(wake_at.min(expires_at));
        replies
    }

    /// Removes the head of the queue and returns the reply to it.
    fn answer_head(
        self: &Arc<Gate>,
        state: &mut State,
        now: Time,
        decision: Decision,
    ) -> Option<PendingReply> {
        let queued = state.queue.pop(now)?;
        let Waiter { request, reply } = queued.item;
        let result = match decision {
            Decision::Refuse { retry_at } => {
                state.queue.finish(&queued.workspace);
                Err(admission_refusal(retry_at))
            }
            _ => {
                state.limiter.started(now, &request);
                Ok(Permit {
                    gate: Arc::clone(self),
                    attempt: request.attempt,
                    workspace: queued.workspace,
                    complete: AtomicBool::new(false),
                })
            }
        };
        Some(PendingReply { reply, result })
    }
}

/// Checks the queue again whenever `wake_at` is reached, until the gate is dropped.
async fn dispatch_when_due(gate: Weak<Gate>, mut wake_times: watch::Receiver<Time>) {
    loop {
        let wake_at = *wake_times.borrow_and_update();
        tokio::select! {
            changed = wake_times.changed() => {
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

/// The position of a request in the queue; dropping it removes the request.
struct QueuePosition {
    gate: Arc<Gate>,
    ticket: fairness::Ticket,
    result: oneshot::Receiver<Result<Permit, Refusal>>,
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        self.gate.update(|state, _| state.queue.remove(self.ticket));
    }
}

impl Job {
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

fn admission_refusal(retry_at: Option<Time>) -> Refusal {
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

fn queue_refusal(rejected: &Rejected<Waiter>) -> Refusal {
    match rejected.reason {
        Reason::Deadline => deadline_exceeded(),
        Reason::Full | Reason::Wait => overloaded(rejected.retry_at),
    }
}

fn deadline_exceeded() -> Refusal {
    Refusal::new(
        Kind::DeadlineExceeded,
        Effect::NotRun,
        "The deadline passed while the request was queued at the endpoint.",
        "Send the request with a later deadline, or when the load is lower.",
    )
}
