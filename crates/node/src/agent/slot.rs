//! One attempt at the agent: its phase, its frames and its readers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    id::Attempt,
    refusal::{Effect, Kind, Refusal},
    stream::{self, Buffer},
};
use tokio::sync::watch;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The endpoint has not been given the attempt.
    Waiting,
    /// The endpoint has been given the attempt.
    Dispatched,
    /// The attempt was refused for good before it was dispatched.
    Barred,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// A generation is whole.
    End {
        /// The number of its tokens.
        count: u64,
        /// Why it ended: `stop` or `length`.
        reason: Arc<str>,
    },
    /// A plain service answered.
    Answer(Answer),
    /// The attempt was refused or broke off.
    Refused {
        /// What the caller is told.
        refusal: Refusal,
        /// The endpoint died while it held the attempt.
        endpoint_died: bool,
    },
}

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    /// The HTTP status.
    pub(super) status: u16,
    /// The headers that are passed on.
    pub(super) headers: Vec<(Arc<str>, Bytes)>,
    /// The body.
    pub(super) body: Bytes,
    /// An earlier request with the same key had stored it.
    pub(super) replayed: bool,
}

/// Frames that a reader has not been sent yet, and the outcome once they are all out.
pub(super) struct Batch {
    /// The frames, in order.
    pub(super) frames: Vec<Arc<str>>,
    /// The outcome, where no frames are left after these.
    pub(super) outcome: Option<Outcome>,
}

/// Why a reader gets no batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoBatch {
    /// A later reader took over.
    Replaced,
    /// The frames are dropped or do not exist yet.
    Stream(stream::Error),
}

/// Frames in one batch at the most.
const MAX_BATCH: usize = 64;

/// One attempt.
pub(super) struct Slot {
    pub(super) attempt: Attempt,
    pub(super) workspace: Arc<str>,
    state: Mutex<State>,
    version: watch::Sender<u64>,
}

/// The error of a reader that comes after the frames were dropped.
fn gone() -> Refusal {
    Refusal::new(
        Kind::StreamGone,
        Effect::Unknown,
        "The frames of this attempt are no longer kept.",
        "Send the request again where a second run does no harm.",
    )
}

struct State {
    phase: Phase,
    buffer: Buffer,
    outcome: Option<Outcome>,
    cancelled: bool,
    told: bool,
    reader: u64,
    reading: bool,
    abandon_at: Time,
    keep_until: Time,
}

impl State {
    /// Tells whether the attempt has ended and its last reader's grace is over.
    fn is_over(&self, now: Time) -> bool {
        let ended = self.outcome.is_some() || self.phase == Phase::Barred;
        ended && !self.reading && self.abandon_at.is_past(now)
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
                told: false,
                reader: 0,
                reading: false,
                abandon_at: stream::drop_at(now),
                keep_until: now,
            }),
            version: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Follows every change of the slot.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Moves from waiting to dispatched; `false` where the attempt was barred or cancelled.
    pub(super) fn dispatch(&self) -> bool {
        let mut state = self.lock();
        if state.phase != Phase::Waiting || state.cancelled || state.outcome.is_some() {
            return false;
        }
        state.phase = Phase::Dispatched;
        true
    }

    /// Bars the attempt where it was not dispatched, and returns the phase after that.
    pub(super) fn bar(&self) -> Phase {
        let mut state = self.lock();
        if state.phase == Phase::Waiting {
            state.phase = Phase::Barred;
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

    /// Tells whether the attempt has ended, and its reader was told or will not come.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        let state = self.lock();
        let ended = state.outcome.is_some() || state.phase == Phase::Barred;
        ended && !state.reading && (state.told || state.abandon_at.is_past(now))
    }

    /// Notes that a reader was sent the outcome.
    pub(super) fn tell(&self) {
        self.lock().told = true;
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

    /// Ends the attempt; only the first outcome counts.
    pub(super) fn finish(&self, outcome: Outcome) {
        self.lock().outcome.get_or_insert(outcome);
        self.notify();
    }

    /// When the attempt is given up unless a reader comes; `None` while one reads.
    pub(super) fn abandon_at(&self) -> Option<Time> {
        let state = self.lock();
        (!state.reading).then_some(state.abandon_at)
    }

    /// Tells whether nobody wants the rest: it was cancelled, or had no reader for too long.
    pub(super) fn is_abandoned(&self, now: Time) -> bool {
        let state = self.lock();
        state.cancelled || (!state.reading && state.abandon_at.is_past(now))
    }

    /// Tells whether the slot may be forgotten.
    pub(super) fn is_forgettable(&self, now: Time) -> bool {
        let state = self.lock();
        state.is_over(now) && state.keep_until.is_past(now)
    }

    /// Drops the frames where nobody can ask for them any more.
    pub(super) fn release(&self, now: Time) {
        let mut state = self.lock();
        if state.is_over(now) {
            state.buffer = Buffer::new(stream::Config::default());
            state.outcome = Some(Outcome::Refused {
                refusal: gone(),
                endpoint_died: false,
            });
        }
    }

    /// Keeps the slot at least until this deadline.
    pub(super) fn keep_until(&self, deadline: Time) {
        let mut state = self.lock();
        state.keep_until = state.keep_until.max(deadline);
    }

    /// Registers a reader, which takes over from any earlier one.
    pub(super) fn attach(&self) -> u64 {
        let mut state = self.lock();
        state.reader += 1;
        state.reading = true;
        let reader = state.reader;
        drop(state);
        self.notify();
        reader
    }

    /// Removes a reader; one that was replaced changes nothing.
    pub(super) fn detach(&self, reader: u64, now: Time) {
        let mut state = self.lock();
        if state.reader != reader {
            return;
        }
        state.reading = false;
        state.abandon_at = stream::drop_at(now);
        drop(state);
        self.notify();
    }

    /// Removes a reader whose caller is gone; another one may come until the deadline.
    pub(super) fn leave(&self, reader: u64, deadline: Time) {
        let mut state = self.lock();
        if state.reader != reader {
            return;
        }
        state.reading = false;
        // No later detach of this reader may extend the deadline.
        state.reader += 1;
        state.abandon_at = deadline;
        drop(state);
        self.notify();
    }

    pub(super) fn acknowledge(&self, next: u64) {
        self.lock().buffer.acknowledge(next);
        self.notify();
    }

    /// Returns what a reader has not been sent yet, from `index` on.
    pub(super) fn read(&self, reader: u64, index: u64) -> Result<Batch, NoBatch> {
        let state = self.lock();
        if state.reader != reader {
            return Err(NoBatch::Replaced);
        }
        let frames: Vec<Arc<str>> = state
            .buffer
            .read(index, MAX_BATCH)
            .map_err(NoBatch::Stream)?
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
