//! The state machine of one partition.
//!
//! [`outcome`] takes in what the store answered, [`verdict`] decides on claims,
//! [`call`] builds the next call and [`refusal`] words what callers are told.

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

/// The first pause after a failed call; it doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How often expired objects are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);
/// The size at which answers are written without waiting for more, in bytes.
const MAX_PACK_BYTES: usize = 512 << 10;

/// A claim that has no verdict yet.
#[derive(Clone, Debug)]
struct PendingClaim {
    claim: Claim,
    /// When the claim arrived.
    arrived_at: Time,
    /// When it is refused at the latest.
    deadline: Time,
    /// Whether a write that contains it has an open outcome.
    maybe_written: bool,
    /// Whether the whole log was read after the claim arrived.
    log_read: bool,
    /// The stored answer that has to be read for it.
    answer_slot: Option<Slot>,
}

/// A claim of this process in the log, before its answer.
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

/// A segment that was written and that the next head will list.
#[derive(Clone, Debug)]
struct WrittenSegment {
    segment: Segment,
    /// The number of older segments that stay.
    kept_segments: usize,
}

/// The call to the store under way.
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

/// The next call to the store.
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

/// The claims of one partition, as one agent sees and writes them.
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
    writer: u64,
    object_count: u32,
    /// The version of the head that was read or written last.
    version: Option<u64>,
    head: Head,
    head_bytes: usize,
    /// Whether `head` may be behind the store in a way that matters.
    stale: bool,
    /// When the last read of the head began.
    read_started_at: Time,
    /// The version of a head that lists a segment which was not found.
    missing_segment_version: Option<u64>,
    /// The segments to fold before the records of the head.
    unread_segments: Vec<Segment>,
    /// The position up to which records were folded.
    folded_end: u64,
    index: Index,
    pending: Vec<PendingClaim>,
    running: Vec<LoggedClaim>,
    /// Claims given back whose release is not in the log yet.
    releasing: Vec<LoggedClaim>,
    /// Refused attempts whose claim may yet appear in the log.
    abandoned: Vec<Attempt>,
    unsaved: Vec<UnsavedAnswer>,
    unsaved_bytes: usize,
    next_pack_at: Time,
    queued_records: Vec<Record>,
    append_at: Time,
    written_segment: Option<WrittenSegment>,
    last_segment_records: Option<Vec<Record>>,
    garbage: Vec<String>,
    next_sweep_at: Time,
    in_flight: Option<InFlight>,
    next_write_at: Time,
    retry_at: Time,
    backoff: Duration,
    down_since: Option<Time>,
    verdicts: Vec<(Attempt, Verdict)>,
}

impl Partition {
    /// Returns a partition of which nothing has been read.
    ///
    /// `prefix` names its objects, and `writer` must differ between all
    /// processes that ever write to the partition.
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

    /// Changes the shortest time between two appends.
    pub fn set_write_interval(&mut self, interval: Duration) {
        self.config.write_interval = interval;
    }

    /// Returns the number of keys held in memory.
    pub fn keys(&self) -> usize {
        self.index.len()
    }

    /// Tells whether nothing waits, runs or has to be written.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.is_saved()
    }

    /// Tells whether nothing waits or has to be written.
    pub fn is_saved(&self) -> bool {
        self.in_flight.is_none()
            && self.pending.is_empty()
            && self.abandoned.is_empty()
            && self.unsaved.is_empty()
            && self.queued_records.is_empty()
    }

    /// Asks for a key; the verdict comes from [`Partition::take_verdicts`].
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

    /// Notes that a dispatched attempt ran, and keeps its answer where there is one.
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

    /// Gives a claim back whose request was not given to the endpoint and will not be.
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

    /// Tells whether the release of an attempt is not in the log yet.
    pub fn is_releasing(&self, attempt: Attempt) -> bool {
        self.releasing
            .iter()
            .any(|logged| logged.attempt == attempt)
    }

    /// Returns the number of claims that have no verdict yet.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Drops an attempt whose outcome will never be known; its key stays `unknown`.
    pub fn forget(&mut self, attempt: Attempt, now: Time) {
        self.refuse_overdue(now);
        self.take_running(attempt);
    }

    /// Refuses what has waited too long.
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

    /// Takes the verdicts reached so far.
    pub fn take_verdicts(&mut self) -> Vec<(Attempt, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns when [`Partition::poll`] or [`Partition::refuse_overdue`] has something to do.
    pub fn wake_at(&self) -> Option<Time> {
        let first_deadline = self.pending.iter().map(|pending| pending.deadline).min();
        let next_call_at = self.next_call().map(|(at, _)| at);
        first_deadline.into_iter().chain(next_call_at).min()
    }

    /// Starts the next call to the store, if one is due and none is under way.
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

    /// Takes the result of the call that [`Partition::poll`] started.
    ///
    /// # Panics
    ///
    /// Panics where no call is under way.
    pub fn complete(&mut self, reply: Reply, now: Time) {
        self.refuse_overdue(now);
        let in_flight = self.in_flight.take().expect("a call must be under way");
        match reply {
            Reply::Failed(failure) => self.on_failure(&in_flight, failure, now),
            reply => self.on_success(in_flight, reply, now),
        }
        self.decide_all(now);
        self.refuse_while_down(now);
    }
}
