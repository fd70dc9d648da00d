//! State of one attempt at the agent: its phase, buffered frames and reader.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    id::Attempt,
    refusal::{Effect, Kind, Refusal},
    stream::{self, Buffer},
};
use tokio::sync::watch;

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The attempt has not been sent to the endpoint.
    Waiting,
    /// The attempt may have been sent to the endpoint.
    Dispatched,
    /// The attempt was rejected before dispatch and can never be dispatched.
    Rejected,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// The generation completed.
    End {
        /// The number of generated tokens.
        count: u64,
        /// The finish reason: `stop` or `length`.
        reason: Arc<str>,
    },
    /// A plain service answered.
    Answer(Answer),
    /// The attempt was refused, or failed while it ran.
    Refused {
        /// The refusal that the caller receives.
        refusal: Refusal,
        /// Whether the endpoint died while it ran the attempt.
        endpoint_died: bool,
    },
}

/// The response of a plain service.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    /// The HTTP status.
    pub(super) status: u16,
    /// The headers, without hop-by-hop headers.
    pub(super) headers: Vec<(Arc<str>, Bytes)>,
    /// The body.
    pub(super) body: Bytes,
    /// Whether this is the stored response of an earlier request with the same key.
    pub(super) replayed: bool,
}

/// The next frames for a reader, with the outcome if they are the last.
pub(super) struct Batch {
    /// The frames, in order.
    pub(super) frames: Vec<Arc<str>>,
    /// The outcome, if the attempt has ended and no frames follow these.
    pub(super) outcome: Option<Outcome>,
}

/// The reason why a read returned no batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadError {
    /// A later reader has replaced this one.
    Replaced,
    /// The frames have been dropped or do not exist yet.
    Stream(stream::Error),
}

/// The largest number of frames in one batch.
const MAX_BATCH: usize = 64;

/// The state of one attempt, shared by the task that runs it and its readers.
pub(super) struct Slot {
    pub(super) attempt: Attempt,
    pub(super) workspace: Arc<str>,
    state: Mutex<State>,
    change_count: watch::Sender<u64>,
}

/// Returns the refusal for a reader that attaches after the frames were dropped.
fn frames_expired() -> Refusal {
    Refusal::new(
        Kind::StreamGone,
        Effect::Unknown,
        "The frames of this attempt have expired.",
        "Send the request again if it is safe to run it twice.",
    )
}

struct State {
    phase: Phase,
    buffer: Buffer,
    outcome: Option<Outcome>,
    cancelled: bool,
    /// Whether the outcome was sent to a reader.
    delivered: bool,
    /// The number of the latest reader; an earlier one has been replaced.
    reader: u64,
    has_reader: bool,
    /// When the attempt is abandoned if no reader is attached.
    abandon_at: Time,
    /// When the slot may be removed from the table at the earliest.
    keep_until: Time,
}

impl State {
    /// Returns whether the attempt has ended and the time for another reader to attach has passed.
    fn is_expired(&self, now: Time) -> bool {
        let ended = self.outcome.is_some() || self.phase == Phase::Rejected;
        ended && !self.has_reader && self.abandon_at.is_past(now)
    }
}

impl Slot {
    pub(super) fn new(attempt: Attempt, workspace: Arc<str>, phase: Phase, now: Time) -> Slot {
        Slot {
            attempt,
            workspace,
            state: Mutex::new(State {
                phase,
                buffer: Buffer::new(stream::Config::default()),
                outcome: None,
                cancelled: false,
                delivered: false,
                reader: 0,
                has_reader: false,
                abandon_at: stream::drop_at(now),
                keep_until: now,
            }),
            change_count: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of the slot.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Moves from waiting to dispatched.
    ///
    /// Returns `false` if the attempt was rejected or cancelled, or has ended.
    pub(super) fn dispatch(&self) -> bool {
        let mut state = self.lock();
        if state.phase != Phase::Waiting || state.cancelled || state.outcome.is_some() {
            return false;
        }
        state.phase = Phase::Dispatched;
        true
    }

    /// Rejects the attempt unless it was dispatched, and returns its phase.
    ///
    /// Takes the same lock as [`Slot::dispatch`], so at most one of the two succeeds.
    pub(super) fn reject_undispatched(&self) -> Phase {
        let mut state = self.lock();
        if state.phase == Phase::Waiting {
            state.phase = Phase::Rejected;
            state.cancelled = true;
        }
        let phase = state.phase;
        drop(state);
        self.notify();
        phase
    }

    pub(super) fn is_done(&self) -> bool {
        self.lock().outcome.is_some()
    }

    /// Returns whether the attempt has ended and its outcome was sent, or no reader came in time.
    pub(super) fn is_drained(&self, now: Time) -> bool {
        let state = self.lock();
        let ended = state.outcome.is_some() || state.phase == Phase::Rejected;
        ended && !state.has_reader && (state.delivered || state.abandon_at.is_past(now))
    }

    /// Records that the outcome was sent to a reader.
    pub(super) fn mark_delivered(&self) {
        self.lock().delivered = true;
    }

    pub(super) fn push(&self, text: Arc<str>) {
        self.lock().buffer.push(text);
        self.notify();
    }

    pub(super) fn next_index(&self) -> u64 {
        self.lock().buffer.next_index()
    }

    pub(super) fn is_full(&self) -> bool {
        self.lock().buffer.is_full()
    }

    pub(super) fn bytes(&self) -> usize {
        self.lock().buffer.bytes()
    }

    /// Ends the attempt; later outcomes are ignored.
    pub(super) fn finish(&self, outcome: Outcome) {
        self.lock().outcome.get_or_insert(outcome);
        self.notify();
    }

    /// Returns when the attempt is abandoned unless a reader attaches.
    ///
    /// Returns `None` while a reader is attached.
    pub(super) fn abandon_at(&self) -> Option<Time> {
        let state = self.lock();
        (!state.has_reader).then_some(state.abandon_at)
    }

    /// Returns whether the attempt was cancelled or had no reader for too long.
    pub(super) fn is_abandoned(&self, now: Time) -> bool {
        let state = self.lock();
        state.cancelled || (!state.has_reader && state.abandon_at.is_past(now))
    }

    /// Returns whether the slot may be removed from the table.
    pub(super) fn is_removable(&self, now: Time) -> bool {
        let state = self.lock();
        state.is_expired(now) && state.keep_until.is_past(now)
    }

    /// Drops the frames if no reader can attach any more.
    pub(super) fn drop_expired_frames(&self, now: Time) {
        let mut state = self.lock();
        if state.is_expired(now) {
            state.buffer = Buffer::new(stream::Config::default());
            state.outcome = Some(Outcome::Refused {
                refusal: frames_expired(),
                endpoint_died: false,
            });
        }
    }

    /// Keeps the slot in the table at least until `deadline`.
    pub(super) fn keep_until(&self, deadline: Time) {
        let mut state = self.lock();
        state.keep_until = state.keep_until.max(deadline);
    }

    /// Attaches a reader, which replaces any earlier one, and returns its number.
    pub(super) fn attach(&self) -> u64 {
        let mut state = self.lock();
        state.reader += 1;
        state.has_reader = true;
        let reader = state.reader;
        drop(state);
        self.notify();
        reader
    }

    /// Detaches a reader; does nothing if it was replaced.
    pub(super) fn detach(&self, reader: u64, now: Time) {
        let mut state = self.lock();
        if state.reader != reader {
            return;
        }
        state.has_reader = false;
        state.abandon_at = stream::drop_at(now);
        drop(state);
        self.notify();
    }

    /// Detaches a reader whose caller cancelled; another reader may attach until `deadline`.
    pub(super) fn detach_until(&self, reader: u64, deadline: Time) {
        let mut state = self.lock();
        if state.reader != reader {
            return;
        }
        state.has_reader = false;
        // Invalidates the reader's number, so that its later `detach` can't extend the deadline.
        state.reader += 1;
        state.abandon_at = deadline;
        drop(state);
        self.notify();
    }

    pub(super) fn acknowledge(&self, next: u64) {
        self.lock().buffer.acknowledge(next);
        self.notify();
    }

    /// Returns the next frames from `index` on, and the outcome after the last frame.
    pub(super) fn read(&self, reader: u64, index: u64) -> Result<Batch, ReadError> {
        let state = self.lock();
        if state.reader != reader {
            return Err(ReadError::Replaced);
        }
        let frames: Vec<Arc<str>> = state
            .buffer
            .read(index, MAX_BATCH)
            .map_err(ReadError::Stream)?
            .cloned()
            .collect();
        let is_last = index + frames.len() as u64 == state.buffer.next_index();
        let outcome = match is_last {
            true => state.outcome.clone(),
            false => None,
        };
        Ok(Batch { frames, outcome })
    }
}
