//! The state machine of one partition.
//!
//! [`call`] builds the next call to the store, [`outcome`] applies its result,
//! [`verdict`] decides on claims and [`refusal`] builds the errors for callers.

mod call;
mod outcome;
mod refusal;
mod verdict;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    Claim, Config, MAX_ANSWER_BYTES, Op, Reply, Verdict,
    index::Index,
    log::{Head, ObjectId, Record, Segment, Slot},
};
use crate::{Time, digest::Digest, id::Attempt};

/// The backoff after the first failed call; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The interval between searches for expired objects.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);
/// The size at which a pack is written without waiting for more answers, in bytes.
const MAX_PACK_BYTES: usize = 512 << 10;

/// A claim that has no verdict yet.
#[derive(Clone, Debug)]
struct PendingClaim {
    claim: Claim,
    /// When the claim arrived.
    arrived_at: Time,
    /// When the claim is refused if it has no verdict by then.
    deadline: Time,
    /// Whether a write that contains the claim is unresolved: it may have taken effect.
    maybe_written: bool,
    /// Whether the whole log was read after the claim arrived.
    log_read: bool,
    /// The stored answer that has to be read for the verdict.
    answer_slot: Option<Slot>,
}

/// A claim of this process that is in the log and has no outcome yet.
#[derive(Clone, Copy, Debug)]
struct LoggedClaim {
    attempt: Attempt,
    key: Digest,
    position: u64,
    until: Time,
}

/// An answer that is not in the store yet.
#[derive(Clone, Debug)]
struct UnsavedAnswer {
    key: Digest,
    position: u64,
    until: Time,
    answer: Bytes,
}

/// A segment that was written and is not listed in the head yet.
#[derive(Clone, Debug)]
struct WrittenSegment {
    segment: Segment,
    /// The number of older segments that stay in the head; the new one replaces the rest.
    kept_segments: usize,
}

/// The call to the store that is in flight.
#[derive(Clone, Debug)]
enum InFlight {
    ReadHead {
        started_at: Time,
    },
    ReadSegment(Segment),
    ReadPack(Arc<ObjectId>),
    WritePack {
        pack: Arc<ObjectId>,
        count: usize,
    },
    ReadLastSegment,
    WriteSegment(WrittenSegment),
    WriteHead {
        head: Head,
        bytes: usize,
        attempts: Vec<Attempt>,
    },
    List,
    Delete,
}

/// A kind of call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    ReadHead,
    ReadSegment,
    ReadPack,
    WriteHead,
    WritePack,
    List,
    Delete,
}

/// One agent's view of a partition, and its pending writes.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use cactusroad_core::{Time, digest::Digest, id::Attempt};
/// use cactusroad_core::ledger::{Claim, Config, Partition, Reply, Verdict, key};
///
/// let now = Time::from_millis(1_000);
/// let mut partition = Partition::new(Config::default(), "ledger/orders/00", 7, now);
/// let claim = Claim {
///     key: key("orders", "finishers", "order-17"),
///     body: Digest::of(&[b"two pairs"]),
///     attempt: Attempt(1),
///     deadline: Time::from_millis(9_000),
/// };
/// partition.claim(claim, now);
/// assert!(partition.poll(now).is_some(), "reads the head");
/// partition.complete(Reply::Object(None), now);
/// assert!(partition.poll(now).is_some(), "writes the claim");
/// partition.complete(Reply::Written(1), now);
/// assert_eq!(partition.take_verdicts(), [(Attempt(1), Verdict::Dispatch)]);
/// partition.settle(Attempt(1), Some(Bytes::from_static(b"confirmed")), now);
/// ```
#[derive(Clone, Debug)]
pub struct Partition {
    config: Config,
    prefix: Arc<str>,
    /// A number that is unique to this process.
    writer: u64,
    /// The segments and packs that this process has named.
    object_count: u32,
    /// The version of the head that was last read or written; `None` while there is no head.
    version: Option<u64>,
    head: Head,
    head_bytes: usize,
    /// Whether `head` may be outdated, so that it has to be read before the next write.
    stale: bool,
    /// When the last read of the head began.
    read_started_at: Time,
    /// The version of the head at which a listed segment could not be read.
    missing_segment_version: Option<u64>,
    /// The segments that have to be read and folded before the records of the head.
    unread_segments: Vec<Segment>,
    /// The position up to which records are folded into the index (exclusive).
    folded_end: u64,
    index: Index,
    pending: Vec<PendingClaim>,
    /// Dispatched claims that have not ended.
    running: Vec<LoggedClaim>,
    /// Claims to release whose release is not in the log yet.
    releasing: Vec<LoggedClaim>,
    /// Attempts that were refused or released while their claim may still appear in the log.
    abandoned: Vec<Attempt>,
    unsaved: Vec<UnsavedAnswer>,
    unsaved_bytes: usize,
    /// When the unsaved answers are due to be written.
    next_pack_at: Time,
    /// Settle and release records for the next append.
    queued_records: Vec<Record>,
    /// When the queued records are due.
    append_at: Time,
    written_segment: Option<WrittenSegment>,
    /// The records of the last segment, to be merged with those of the head.
    last_segment_records: Option<Vec<Record>>,
    /// The names of objects to delete.
    garbage: Vec<String>,
    /// When expired objects are next listed or deleted.
    next_sweep_at: Time,
    in_flight: Option<InFlight>,
    /// The earliest time of the next write of the head.
    next_write_at: Time,
    /// The earliest time of the next call of any kind, after a failure.
    retry_at: Time,
    backoff: Duration,
    /// When the first of the current consecutive failures was reported.
    down_since: Option<Time>,
    verdicts: Vec<(Attempt, Verdict)>,
}

impl Partition {
    /// Creates a partition whose head has not been read yet.
    ///
    /// The names of its objects start with `prefix`. `writer` must be unique among
    /// all processes that ever write to the partition.
    pub fn new(config: Config, prefix: &str, writer: u64, now: Time) -> Partition {
        Partition {
            config,
            prefix: prefix.into(),
            writer,
            object_count: 0,
            version: None,
            head: Head::default(),
            head_bytes: 0,
            stale: true,
            read_started_at: Time::ZERO,
            missing_segment_version: None,
            unread_segments: Vec::new(),
            folded_end: 0,
            index: Index::default(),
            pending: Vec::new(),
            running: Vec::new(),
            releasing: Vec::new(),
            abandoned: Vec::new(),
            unsaved: Vec::new(),
            unsaved_bytes: 0,
            next_pack_at: Time::ZERO,
            queued_records: Vec::new(),
            append_at: Time::ZERO,
            written_segment: None,
            last_segment_records: None,
            garbage: Vec::new(),
            next_sweep_at: now + SWEEP_INTERVAL,
            in_flight: None,
            next_write_at: Time::ZERO,
            retry_at: Time::ZERO,
            backoff: MIN_BACKOFF,
            down_since: None,
            verdicts: Vec::new(),
        }
    }

    /// Sets the shortest time between two appends.
    pub fn set_write_interval(&mut self, interval: Duration) {
        self.config.write_interval = interval;
    }

    /// Returns the number of keys in memory.
    pub fn key_count(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no attempt runs and [`Partition::is_saved`] holds.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.is_saved()
    }

    /// Returns whether no claim is pending, no call is in flight and nothing is left to write.
    pub fn is_saved(&self) -> bool {
        self.in_flight.is_none()
            && self.pending.is_empty()
            && self.abandoned.is_empty()
            && self.unsaved.is_empty()
            && self.queued_records.is_empty()
    }

    /// Requests a claim of a key; [`Partition::take_verdicts`] returns the verdict.
    pub fn claim(&mut self, claim: Claim, now: Time) {
        self.refuse_overdue(now);
        let pending = PendingClaim {
            claim,
            arrived_at: now,
            deadline: claim.deadline.min(now + self.config.claim_timeout),
            maybe_written: false,
            log_read: false,
            answer_slot: None,
        };
        self.pending.push(pending);
        self.decide_all(now);
        self.refuse_while_down(now);
    }

    /// Records that a dispatched attempt ran, and keeps its answer if there is one.
    pub fn settle(&mut self, attempt: Attempt, answer: Option<Bytes>, now: Time) {
        self.refuse_overdue(now);
        let Some(logged) = self.take_running(attempt) else {
            return;
        };
        let free_bytes = self.config.max_unsaved_bytes - self.unsaved_bytes;
        let max_bytes = free_bytes.min(MAX_ANSWER_BYTES);
        let Some(answer) = answer.filter(|answer| answer.len() <= max_bytes) else {
            self.queue_settle(logged.key, logged.position, None, now);
            return;
        };
        if self.unsaved.is_empty() {
            self.next_pack_at = now + self.config.answer_delay;
        }
        self.unsaved_bytes += answer.len();
        self.unsaved.push(UnsavedAnswer {
            key: logged.key,
            position: logged.position,
            until: logged.until,
            answer,
        });
        if self.unsaved_bytes >= MAX_PACK_BYTES {
            self.next_pack_at = now;
        }
    }

    /// Releases the claim of a request that was not given to the endpoint and will not be.
    pub fn release(&mut self, attempt: Attempt, now: Time) {
        self.refuse_overdue(now);
        if let Some(i) = self.pending.iter().position(|p| p.claim.attempt == attempt) {
            let pending = self.pending.swap_remove(i);
            self.abandon(&pending);
        } else if let Some(logged) = self.take_running(attempt) {
            self.releasing.push(logged);
            self.queue_release(logged.key, logged.position, now);
        }
    }

    /// Returns whether the release of an attempt is not in the log yet.
    pub fn is_releasing(&self, attempt: Attempt) -> bool {
        self.releasing
            .iter()
            .any(|logged| logged.attempt == attempt)
    }

    /// Returns the number of claims that have no verdict yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Drops an attempt whose outcome cannot be determined; its key stays `unknown`.
    pub fn forget(&mut self, attempt: Attempt, now: Time) {
        self.refuse_overdue(now);
        self.take_running(attempt);
    }

    /// Refuses pending claims whose deadline has passed.
    pub fn refuse_overdue(&mut self, now: Time) {
        let mut i = 0;
        while i < self.pending.len() {
            if !self.pending[i].deadline.is_past(now) {
                i += 1;
                continue;
            }
            let pending = self.pending.swap_remove(i);
            let refusal = self.timeout_refusal(&pending, now);
            self.abandon(&pending);
            self.push_verdict(pending.claim.attempt, Verdict::Refuse(refusal));
        }
    }

    /// Returns the verdicts since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(Attempt, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns when [`Partition::poll`] or [`Partition::refuse_overdue`] must be called next.
    pub fn wake_at(&self) -> Option<Time> {
        let first_deadline = self.pending.iter().map(|pending| pending.deadline).min();
        let next_call_at = self.next_call().map(|(at, _)| at);
        first_deadline.into_iter().chain(next_call_at).min()
    }

    /// Returns the next call to the store, if one is due and none is in flight.
    pub fn poll(&mut self, now: Time) -> Option<Op> {
        self.refuse_overdue(now);
        let (at, kind) = self.next_call()?;
        if !at.is_past(now) {
            return None;
        }
        let (in_flight, op) = match kind {
            CallKind::ReadHead => (InFlight::ReadHead { started_at: now }, self.get("head")),
            CallKind::ReadSegment => self.read_segment()?,
            CallKind::ReadPack => self.read_pack()?,
            CallKind::WriteHead => self.write_head(now),
            CallKind::WritePack => self.write_pack(),
            CallKind::List => self.list(now),
            CallKind::Delete => self.delete(now)?,
        };
        self.in_flight = Some(in_flight);
        Some(op)
    }

    /// Applies the result of the call that [`Partition::poll`] returned.
    ///
    /// # Panics
    ///
    /// Panics if no call is in flight.
    pub fn complete(&mut self, reply: Reply, now: Time) {
        self.refuse_overdue(now);
        let in_flight = self.in_flight.take().expect("a call must be in flight");
        match reply {
            Reply::Failed(failure) => self.on_failure(&in_flight, failure, now),
            reply => self.on_success(in_flight, reply, now),
        }
        self.decide_all(now);
        self.refuse_while_down(now);
    }
}
