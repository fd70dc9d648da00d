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
    log::{Head, Part, Record, Segment, Slot},
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
struct Wait {
    claim: Claim,
    /// When the claim arrived.
    since: Time,
    /// When it is refused at the latest.
    deadline: Time,
    /// Whether a write that contains it has an open outcome.
    sent: bool,
    /// Whether the whole log was read after the claim arrived.
    fresh: bool,
    /// The stored answer that has to be read for it.
    answer: Option<Slot>,
}

/// A claim of this process in the log, before its answer.
#[derive(Clone, Copy, Debug)]
struct Running {
    attempt: Attempt,
    key: Digest,
    position: u64,
    until: Time,
}

/// An answer that is not in the store yet.
#[derive(Clone, Debug)]
struct Unsaved {
    key: Digest,
    position: u64,
    until: Time,
    answer: Bytes,
}

/// A segment that was written and that the next head will list.
#[derive(Clone, Debug)]
struct Seal {
    segment: Segment,
    /// The number of older segments that stay.
    kept: usize,
}

/// The call to the store under way.
#[derive(Clone, Debug)]
enum Flight {
    ReadHead {
        since: Time,
    },
    ReadSegment(Segment),
    ReadPack(Arc<Part>),
    WritePack {
        pack: Arc<Part>,
        count: usize,
    },
    JoinSegment,
    WriteSegment(Seal),
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
enum Step {
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
    number: u32,
    /// The version of the head that was read or written last.
    version: Option<u64>,
    head: Head,
    head_bytes: usize,
    /// Whether `head` may be behind the store in a way that matters.
    stale: bool,
    /// When the last read of the head began.
    read_since: Time,
    /// The version of a head that lists a segment which was not found.
    lost_at: Option<u64>,
    /// The segments to fold before the records of the head.
    missing: Vec<Segment>,
    /// The position up to which records were folded.
    folded: u64,
    index: Index,
    waits: Vec<Wait>,
    running: Vec<Running>,
    /// Claims given back whose release is not in the log yet.
    releasing: Vec<Running>,
    /// Refused attempts whose claim may yet appear in the log.
    abandoned: Vec<Attempt>,
    unsaved: Vec<Unsaved>,
    unsaved_bytes: usize,
    pack_at: Time,
    outbox: Vec<Record>,
    outbox_at: Time,
    seal: Option<Seal>,
    joined: Option<Vec<Record>>,
    garbage: Vec<String>,
    sweep_at: Time,
    flight: Option<Flight>,
    write_at: Time,
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
            number: 0,
            version: None,
            head: Head::default(),
            head_bytes: 0,
            stale: true,
            read_since: Time::ZERO,
            lost_at: None,
            missing: Vec::new(),
            folded: 0,
            index: Index::default(),
            waits: Vec::new(),
            running: Vec::new(),
            releasing: Vec::new(),
            abandoned: Vec::new(),
            unsaved: Vec::new(),
            unsaved_bytes: 0,
            pack_at: Time::ZERO,
            outbox: Vec::new(),
            outbox_at: Time::ZERO,
            seal: None,
            joined: None,
            garbage: Vec::new(),
            sweep_at: now + SWEEP_INTERVAL,
            flight: None,
            write_at: Time::ZERO,
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
        self.flight.is_none()
            && self.waits.is_empty()
            && self.abandoned.is_empty()
            && self.unsaved.is_empty()
            && self.outbox.is_empty()
    }

    /// Asks for a key; the verdict comes from [`Partition::take_verdicts`].
    pub fn claim(&mut self, claim: Claim, now: Time) {
        self.advance(now);
        let wait = Wait {
            claim,
            since: now,
            deadline: claim.deadline.min(now + self.config.claim_wait),
            sent: false,
            fresh: false,
            answer: None,
        };
        self.waits.push(wait);
        self.decide(now);
        self.refuse_while_down(now);
    }

    /// Notes that a dispatched attempt ran, and keeps its answer where there is one.
    pub fn settle(&mut self, attempt: Attempt, answer: Option<Bytes>, now: Time) {
        self.advance(now);
        let Some(run) = self.take_running(attempt) else {
            return;
        };
        let room = self.config.max_unsaved_bytes - self.unsaved_bytes;
        let most = room.min(MAX_ANSWER_BYTES);
        let Some(answer) = answer.filter(|answer| answer.len() <= most) else {
            self.settle_at(run.key, run.position, None, now);
            return;
        };
        if self.unsaved.is_empty() {
            self.pack_at = now + self.config.answer_wait;
        }
        self.unsaved_bytes += answer.len();
        self.unsaved.push(Unsaved {
            key: run.key,
            position: run.position,
            until: run.until,
            answer,
        });
        if self.unsaved_bytes >= MAX_PACK_BYTES {
            self.pack_at = now;
        }
    }

    /// Gives a claim back whose request was not given to the endpoint and will not be.
    pub fn release(&mut self, attempt: Attempt, now: Time) {
        self.advance(now);
        if let Some(at) = self.waits.iter().position(|w| w.claim.attempt == attempt) {
            let wait = self.waits.swap_remove(at);
            self.abandon(&wait);
        } else if let Some(run) = self.take_running(attempt) {
            self.releasing.push(run);
            self.release_at(run.key, run.position, now);
        }
    }

    /// Tells whether the release of an attempt is not in the log yet.
    pub fn is_releasing(&self, attempt: Attempt) -> bool {
        self.releasing.iter().any(|run| run.attempt == attempt)
    }

    /// Returns the number of claims that have no verdict yet.
    pub fn waiting(&self) -> usize {
        self.waits.len()
    }

    /// Drops an attempt whose outcome will never be known; its key stays `unknown`.
    pub fn forget(&mut self, attempt: Attempt, now: Time) {
        self.advance(now);
        self.take_running(attempt);
    }

    /// Refuses what has waited too long.
    pub fn advance(&mut self, now: Time) {
        let mut at = 0;
        while at < self.waits.len() {
            if !self.waits[at].deadline.is_past(now) {
                at += 1;
                continue;
            }
            let wait = self.waits.swap_remove(at);
            let refusal = self.overdue(&wait, now);
            self.abandon(&wait);
            self.verdict(wait.claim.attempt, Verdict::Refuse(refusal));
        }
    }

    /// Takes the verdicts reached so far.
    pub fn take_verdicts(&mut self) -> Vec<(Attempt, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns when [`Partition::poll`] or [`Partition::advance`] has something to do.
    pub fn wake_at(&self) -> Option<Time> {
        let overdue = self.waits.iter().map(|wait| wait.deadline).min();
        let due = self.due().map(|(at, _)| at);
        overdue.into_iter().chain(due).min()
    }

    /// Starts the next call to the store, if one is due and none is under way.
    pub fn poll(&mut self, now: Time) -> Option<Op> {
        self.advance(now);
        let (at, step) = self.due()?;
        if !at.is_past(now) {
            return None;
        }
        let (flight, op) = match step {
            Step::ReadHead => (Flight::ReadHead { since: now }, self.get("head")),
            Step::ReadSegment => self.read_segment()?,
            Step::ReadPack => self.read_pack()?,
            Step::WriteHead => self.write_head(now),
            Step::WritePack => self.write_pack(),
            Step::List => self.list(now),
            Step::Delete => self.delete(now)?,
        };
        self.flight = Some(flight);
        Some(op)
    }

    /// Takes the result of the call that [`Partition::poll`] started.
    ///
    /// # Panics
    ///
    /// Panics where no call is under way.
    pub fn complete(&mut self, reply: Reply, now: Time) {
        self.advance(now);
        let flight = self.flight.take().expect("a call must be under way");
        match reply {
            Reply::Failed(failure) => self.failed(&flight, failure, now),
            reply => self.succeeded(flight, reply, now),
        }
        self.decide(now);
        self.refuse_while_down(now);
    }
}
