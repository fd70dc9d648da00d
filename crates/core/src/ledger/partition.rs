//! The state machine of one partition.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    Claim, Config, Expect, Failure, MAX_ANSWER_BYTES, Op, Reply, Verdict,
    index::{Entry, Index, State},
    log::{self, Head, Part, Record, Segment, Slot},
};
use crate::{
    Time,
    digest::Digest,
    id::Attempt,
    refusal::{Effect, Kind, Refusal},
};

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

    fn succeeded(&mut self, flight: Flight, reply: Reply, now: Time) {
        self.backoff = MIN_BACKOFF;
        self.down_since = None;
        match (flight, reply) {
            (Flight::ReadHead { since }, Reply::Object(object)) => {
                self.head_read(object, since, now);
            }
            (Flight::ReadSegment(segment), Reply::Object(object)) => {
                self.segment_read(&segment, object, now);
            }
            (Flight::ReadPack(pack), Reply::Object(object)) => {
                self.pack_read(&pack, object.map(|(_, value)| value));
            }
            (Flight::WritePack { pack, count }, Reply::Written(_)) => {
                self.pack_written(&pack, count, now);
            }
            (Flight::JoinSegment, Reply::Object(object)) => {
                self.joined = object.and_then(|(_, value)| serde_json::from_slice(&value).ok());
                if self.joined.is_none() {
                    self.corrupt(now);
                }
            }
            (Flight::WriteSegment(seal), Reply::Written(_)) => self.seal = Some(seal),
            (Flight::WriteHead { head, bytes, .. }, Reply::Written(version)) => {
                self.head_written(head, bytes, version, now);
            }
            (Flight::List, Reply::Names(names)) => self.listed(names, now),
            (Flight::Delete, Reply::Deleted) => {}
            // A reply of another kind says nothing, so the call may have taken effect.
            (flight, _) => self.failed(&flight, Failure::Unanswered, now),
        }
    }

    fn failed(&mut self, flight: &Flight, failure: Failure, now: Time) {
        if let Flight::WriteHead { attempts, .. } = flight {
            self.stale = true;
            if failure == Failure::Unanswered {
                self.mark_sent(attempts);
            }
        }
        self.seal = None;
        self.joined = None;
        if failure == Failure::Conflict {
            self.backoff = MIN_BACKOFF;
            self.down_since = None;
            return;
        }
        self.stale = true;
        self.down_since.get_or_insert(now);
        self.retry_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn mark_sent(&mut self, attempts: &[Attempt]) {
        for wait in &mut self.waits {
            wait.sent |= attempts.contains(&wait.claim.attempt);
        }
    }

    fn head_read(&mut self, object: Option<(u64, Bytes)>, since: Time, now: Time) {
        let (version, bytes, head) = match object {
            None => (None, 0, Some(Head::default())),
            Some((version, value)) => {
                let head = serde_json::from_slice(&value).ok();
                (Some(version), value.len(), head)
            }
        };
        let Some(head) = head else {
            self.corrupt(now);
            return;
        };
        let moved = version != self.version;
        // A segment that was written for another head would lose the records since.
        self.seal = None;
        self.joined = None;
        self.version = version;
        self.head = head;
        self.head_bytes = bytes;
        self.stale = false;
        self.missing = self.head.segments.clone();
        self.missing
            .retain(|s| s.last > self.folded && !s.part.is_past(now, self.config.skew));
        self.read_since = since;
        if self.missing.is_empty() {
            self.fold_head(moved, now);
        }
    }

    fn segment_read(&mut self, segment: &Segment, object: Option<(u64, Bytes)>, now: Time) {
        let value = object.map(|(_, value)| value);
        let records: Option<Vec<Record>> =
            value.and_then(|value| serde_json::from_slice(&value).ok());
        match records {
            Some(records) => self.fold(segment.first, &records, now),
            // Whoever deletes an expired segment may be ahead of this clock.
            None if segment.part.is_past(now, Duration::ZERO) => {}
            None => {
                self.corrupt(now);
                return;
            }
        }
        self.missing.remove(0);
        if self.missing.is_empty() {
            self.fold_head(true, now);
        }
    }

    /// Folds the records of the head. Where its version moved, no earlier write can take effect.
    fn fold_head(&mut self, moved: bool, now: Time) {
        let head = std::mem::take(&mut self.head);
        self.fold(head.base, &head.records, now);
        self.head = head;
        for wait in &mut self.waits {
            wait.fresh |= wait.since <= self.read_since;
        }
        if moved {
            self.abandoned.clear();
            for wait in &mut self.waits {
                wait.sent = false;
            }
        }
    }

    fn fold(&mut self, first: u64, records: &[Record], now: Time) {
        for (position, record) in (first..).zip(records) {
            if position < self.folded {
                continue;
            }
            self.folded = position + 1;
            self.fold_one(position, record, now);
        }
    }

    fn fold_one(&mut self, position: u64, record: &Record, now: Time) {
        match record {
            Record::Claim {
                key,
                body,
                attempt,
                until,
            } => {
                let entry = Entry {
                    key: *key,
                    body: *body,
                    position,
                    until: *until,
                    state: State::Claimed,
                };
                self.index.claim(entry, now, self.config.skew);
                self.claimed(*attempt, *key, position, *until, now);
            }
            Record::Settle {
                key,
                position,
                answer,
            } => {
                let state = State::Settled(answer.clone());
                self.index.change(*key, *position, state);
                self.outbox.retain(|queued| queued != record);
            }
            Record::Release { key, position } => {
                self.index.change(*key, *position, State::Released);
                self.releasing.retain(|run| run.position != *position);
                self.outbox.retain(|queued| queued != record);
            }
        }
    }

    /// Acts on a claim that stands in the log, where it is of this process.
    fn claimed(&mut self, attempt: Attempt, key: Digest, position: u64, until: Time, now: Time) {
        if let Some(at) = self.waits.iter().position(|w| w.claim.attempt == attempt) {
            self.waits.swap_remove(at);
            self.running.push(Running {
                attempt,
                key,
                position,
                until,
            });
            self.verdict(attempt, Verdict::Dispatch);
        } else if self.abandoned.contains(&attempt) {
            self.abandoned.retain(|other| *other != attempt);
            self.release_at(key, position, now);
        }
    }

    fn head_written(&mut self, head: Head, bytes: usize, version: u64, now: Time) {
        self.version = Some(version);
        self.head = head;
        self.head_bytes = bytes;
        self.seal = None;
        self.joined = None;
        self.fold_head(true, now);
    }

    fn pack_written(&mut self, pack: &Arc<Part>, count: usize, now: Time) {
        let saved: Vec<Unsaved> = self.unsaved.drain(..count).collect();
        for (index, unsaved) in (0..).zip(saved) {
            self.unsaved_bytes -= unsaved.answer.len();
            let slot = Slot {
                pack: Arc::clone(pack),
                index,
            };
            self.settle_at(unsaved.key, unsaved.position, Some(slot), now);
        }
        self.pack_at = now + self.config.answer_wait;
    }

    fn pack_read(&mut self, pack: &Arc<Part>, value: Option<Bytes>) {
        let mut at = 0;
        while at < self.waits.len() {
            let slot = self.waits[at].answer.as_ref().filter(|s| s.pack == *pack);
            let Some(index) = slot.map(|slot| slot.index) else {
                at += 1;
                continue;
            };
            let wait = self.waits.swap_remove(at);
            let answer = value.as_ref().and_then(|value| log::unpack(value, index));
            let verdict = answer.map_or_else(|| Verdict::Refuse(gone()), Verdict::Replay);
            self.verdict(wait.claim.attempt, verdict);
        }
    }

    fn listed(&mut self, names: Vec<String>, now: Time) {
        self.sweep_at = now;
        let skew = self.config.skew;
        self.garbage = names;
        self.garbage.retain(|name| {
            let part = name.rsplit('/').next().unwrap_or_default();
            part.parse::<Part>().is_ok_and(|p| p.is_past(now, skew * 2))
        });
        if self.garbage.is_empty() {
            self.sweep_at = now + SWEEP_INTERVAL;
        }
    }

    /// Gives each waiting claim the verdict that what has been read allows.
    fn decide(&mut self, now: Time) {
        // Between a head and its segments the index is not the state at any version.
        if !self.missing.is_empty() {
            return;
        }
        let mut at = 0;
        while at < self.waits.len() {
            match self.judge(at, now) {
                Some(verdict) => {
                    let wait = self.waits.swap_remove(at);
                    self.verdict(wait.claim.attempt, verdict);
                }
                None => at += 1,
            }
        }
    }

    /// Returns the verdict of a claim, or `None` where it has to be written or more to be read.
    fn judge(&mut self, at: usize, now: Time) -> Option<Verdict> {
        let wait = &self.waits[at];
        let claim = wait.claim;
        // The claim may stand in the log already; only reading tells.
        if wait.sent || self.is_in_flight(claim.attempt) {
            return None;
        }
        let Some(entry) = self.index.live(claim.key, now, self.config.skew) else {
            let full = self.index.len() >= self.config.max_keys;
            return full.then(|| Verdict::Refuse(full_index()));
        };
        if entry.body != claim.body {
            return Some(Verdict::Refuse(conflict()));
        }
        match &entry.state {
            State::Settled(None) => return Some(Verdict::Refuse(gone())),
            State::Settled(Some(slot)) => {
                let slot = slot.clone();
                self.waits[at].answer = Some(slot);
                return None;
            }
            State::Claimed | State::Released => {}
        }
        let position = entry.position;
        if let Some(unsaved) = self.unsaved.iter().find(|u| u.position == position) {
            return Some(Verdict::Replay(unsaved.answer.clone()));
        }
        let mine = self.running.iter().any(|run| run.position == position);
        if mine || wait.fresh {
            return Some(Verdict::Refuse(in_use(now)));
        }
        self.stale = true;
        None
    }

    /// Refuses claims at once where the store has been down for longer than claims wait.
    fn refuse_while_down(&mut self, now: Time) {
        let long = self
            .down_since
            .is_some_and(|since| (since + self.config.claim_wait).is_past(now));
        if !long {
            return;
        }
        for wait in &mut self.waits {
            wait.deadline = now;
        }
        self.advance(now);
    }

    fn overdue(&self, wait: &Wait, now: Time) -> Refusal {
        let retry_at = self.retry_at.max(now + MAX_BACKOFF);
        let known = self.index.live(wait.claim.key, now, self.config.skew);
        match known.map(|entry| &entry.state) {
            Some(State::Settled(_)) => unread().retry_at(retry_at),
            // Its own claim is in the log only where it was dispatched, which ends the wait.
            Some(_) => in_use(now),
            None => unwritten().retry_at(retry_at),
        }
    }

    fn abandon(&mut self, wait: &Wait) {
        if wait.sent || self.is_in_flight(wait.claim.attempt) {
            self.abandoned.push(wait.claim.attempt);
        }
    }

    fn is_in_flight(&self, attempt: Attempt) -> bool {
        match &self.flight {
            Some(Flight::WriteHead { attempts, .. }) => attempts.contains(&attempt),
            _ => false,
        }
    }

    fn take_running(&mut self, attempt: Attempt) -> Option<Running> {
        let at = self.running.iter().position(|r| r.attempt == attempt)?;
        Some(self.running.swap_remove(at))
    }

    fn settle_at(&mut self, key: Digest, position: u64, answer: Option<Slot>, now: Time) {
        self.index
            .change(key, position, State::Settled(answer.clone()));
        self.queue(
            Record::Settle {
                key,
                position,
                answer,
            },
            now + self.config.answer_wait,
        );
    }

    /// Queues the release; the key is free only when the log says so.
    fn release_at(&mut self, key: Digest, position: u64, now: Time) {
        self.queue(Record::Release { key, position }, now);
    }

    fn queue(&mut self, record: Record, at: Time) {
        let first = self.outbox.is_empty();
        self.outbox_at = if first { at } else { self.outbox_at.min(at) };
        self.outbox.push(record);
    }

    fn verdict(&mut self, attempt: Attempt, verdict: Verdict) {
        self.verdicts.push((attempt, verdict));
    }

    /// Refuses all claims, because an object of the partition cannot be read.
    fn corrupt(&mut self, now: Time) {
        self.stale = true;
        self.retry_at = now + MAX_BACKOFF;
        for wait in std::mem::take(&mut self.waits) {
            self.abandon(&wait);
            let refusal = corrupt(&self.prefix).retry_at(self.retry_at);
            self.verdict(wait.claim.attempt, Verdict::Refuse(refusal));
        }
    }

    /// Returns the next call to the store and its time.
    fn due(&self) -> Option<(Time, Step)> {
        if self.flight.is_some() {
            return None;
        }
        let at = |at: Time, step| Some((at.max(self.retry_at), step));
        let writes = self.write_due();
        let asked = writes.is_some() || !self.waits.is_empty() || self.down_since.is_some();
        if self.stale && asked {
            return at(Time::ZERO, Step::ReadHead);
        }
        if !self.missing.is_empty() {
            return at(Time::ZERO, Step::ReadSegment);
        }
        if self.waits.iter().any(|wait| wait.answer.is_some()) {
            return at(Time::ZERO, Step::ReadPack);
        }
        let head = writes.map(|time| (time, Step::WriteHead));
        let pack = (!self.unsaved.is_empty()).then_some((self.pack_at, Step::WritePack));
        let sweep = match self.garbage.is_empty() {
            true => Step::List,
            false => Step::Delete,
        };
        let all = [head, pack, Some((self.sweep_at, sweep))];
        let (time, step) = all.into_iter().flatten().min_by_key(|(time, _)| *time)?;
        at(time, step)
    }

    /// Returns when the head has to be written.
    fn write_due(&self) -> Option<Time> {
        let unread = |wait: &Wait| wait.answer.is_none();
        let urgent = self.waits.iter().any(unread) || !self.abandoned.is_empty();
        let queued = (!self.outbox.is_empty()).then_some(self.outbox_at);
        let at = if urgent { Some(Time::ZERO) } else { queued };
        at.map(|at| at.max(self.write_at))
    }

    fn read_segment(&mut self) -> Option<(Flight, Op)> {
        let segment = self.missing.first()?.clone();
        let op = self.get(&format!("segment/{}", segment.part));
        Some((Flight::ReadSegment(segment), op))
    }

    fn read_pack(&mut self) -> Option<(Flight, Op)> {
        let slot = self.waits.iter().find_map(|wait| wait.answer.as_ref())?;
        let pack = Arc::clone(&slot.pack);
        let op = self.get(&format!("pack/{pack}"));
        Some((Flight::ReadPack(pack), op))
    }

    fn write_pack(&mut self) -> (Flight, Op) {
        let mut bytes = 0;
        let mut count = 0;
        for unsaved in &self.unsaved {
            bytes += unsaved.answer.len();
            if count > 0 && bytes > MAX_PACK_BYTES {
                break;
            }
            count += 1;
        }
        let chosen = &self.unsaved[..count];
        let until = chosen.iter().map(|u| u.until).max().unwrap_or_default();
        let value = log::pack(chosen.iter().map(|u| &u.answer));
        let pack = Arc::new(self.part(until));
        let op = self.put(&format!("pack/{pack}"), Expect::Absent, value);
        (Flight::WritePack { pack, count }, op)
    }

    /// Writes the head, after moving its records to a segment where there are many.
    fn write_head(&mut self, now: Time) -> (Flight, Op) {
        if self.head_bytes > self.config.max_head_bytes && self.seal.is_none() {
            return self.write_segment(now);
        }
        let mut head = self.head.clone();
        if let Some(seal) = &self.seal {
            head.segments.truncate(seal.kept);
            head.segments.push(seal.segment.clone());
            head.base = seal.segment.last;
            head.records.clear();
        }
        let skew = self.config.skew;
        head.segments.retain(|s| !s.part.is_past(now, skew));
        let attempts = self.append(&mut head.records, now);
        let value = log::encode(&head);
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        self.write_at = now + self.config.write_interval;
        let bytes = value.len();
        let op = self.put("head", expect, value);
        let flight = Flight::WriteHead {
            head,
            bytes,
            attempts,
        };
        (flight, op)
    }

    /// Appends what is queued and one claim for each free key, and returns the attempts.
    fn append(&self, records: &mut Vec<Record>, now: Time) -> Vec<Attempt> {
        records.extend_from_slice(&self.outbox);
        let mut keys = Vec::new();
        let mut attempts = Vec::new();
        for wait in self.waits.iter().filter(|wait| wait.answer.is_none()) {
            let claim = wait.claim;
            let live = self.index.live(claim.key, now, self.config.skew);
            if live.is_some() || keys.contains(&claim.key) {
                continue;
            }
            keys.push(claim.key);
            attempts.push(claim.attempt);
            records.push(Record::Claim {
                key: claim.key,
                body: claim.body,
                attempt: claim.attempt,
                until: now + self.config.retention,
            });
            if attempts.len() >= self.config.max_batch {
                break;
            }
        }
        attempts
    }

    /// Moves the records of the head to a segment, joined with the last one where that is small.
    fn write_segment(&mut self, now: Time) -> (Flight, Op) {
        let skew = self.config.skew;
        let last = self.head.segments.last();
        let small = last
            .filter(|s| s.bytes < self.config.max_segment_bytes)
            .filter(|s| !s.part.is_past(now, skew));
        let small = small.cloned();
        if let (Some(segment), None) = (&small, &self.joined) {
            let op = self.get(&format!("segment/{}", segment.part));
            return (Flight::JoinSegment, op);
        }
        let mut records = self.joined.take().unwrap_or_default();
        let first = self.head.end() - (records.len() + self.head.records.len()) as u64;
        records.extend_from_slice(&self.head.records);
        let kept = self.head.segments.len() - usize::from(small.is_some());
        let value = log::encode(&records);
        let until = self.until(&records);
        let segment = Segment {
            part: self.part(until),
            first,
            last: self.head.end(),
            bytes: value.len(),
        };
        let op = self.put(&format!("segment/{}", segment.part), Expect::Absent, value);
        (Flight::WriteSegment(Seal { segment, kept }), op)
    }

    /// Returns the deadline of a segment; it never lies before that of an earlier one.
    fn until(&self, records: &[Record]) -> Time {
        let claims = records.iter().filter_map(|record| match record {
            Record::Claim { until, .. } => Some(*until),
            _ => None,
        });
        let segments = self.head.segments.iter().map(|s| s.part.until);
        claims.chain(segments).max().unwrap_or_default()
    }

    fn list(&mut self, now: Time) -> (Flight, Op) {
        self.index.merge(now, self.config.skew);
        let prefix = format!("{}/", self.prefix);
        (Flight::List, Op::List { prefix })
    }

    fn delete(&mut self, now: Time) -> Option<(Flight, Op)> {
        let name = self.garbage.pop()?;
        let last = self.garbage.is_empty();
        self.sweep_at = now
            + match last {
                true => SWEEP_INTERVAL,
                false => self.config.write_interval,
            };
        Some((Flight::Delete, Op::Delete { name }))
    }

    fn part(&mut self, until: Time) -> Part {
        self.number += 1;
        Part::new(until, self.writer, self.number)
    }

    fn get(&self, name: &str) -> Op {
        Op::Get {
            name: format!("{}/{name}", self.prefix),
        }
    }

    fn put(&self, name: &str, expect: Expect, value: Bytes) -> Op {
        Op::Put {
            name: format!("{}/{name}", self.prefix),
            expect,
            value,
        }
    }
}

fn conflict() -> Refusal {
    Refusal::new(
        Kind::KeyConflict,
        Effect::NotRun,
        "The idempotency key was used with another body.",
        "Send the body of the first request, or choose a new key for a new request.",
    )
}

fn in_use(now: Time) -> Refusal {
    Refusal::new(
        Kind::KeyInUse,
        Effect::Unknown,
        "A request with this idempotency key was started and has no stored answer.",
        "Repeat it later with the same key; where no answer comes, ask the service what it holds.",
    )
    .retry_at(now + MAX_BACKOFF)
}

fn gone() -> Refusal {
    Refusal::new(
        Kind::TooLarge,
        Effect::Ran,
        "The request ran, but its answer was too large to keep or is no longer kept.",
        "Ask the service for the result; do not send the request again under a new key.",
    )
}

fn unread() -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::Ran,
        "The request ran, but its stored answer cannot be read now.",
        "Repeat it later with the same key.",
    )
}

fn unwritten() -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::NotRun,
        "The idempotency key could not be recorded in time, so this request was not dispatched.",
        "Repeat it later with the same key.",
    )
}

fn full_index() -> Refusal {
    Refusal::new(
        Kind::Overloaded,
        Effect::NotRun,
        "The ledger holds as many idempotency keys as its memory allows.",
        "Repeat it later; operators can shorten the retention of keys.",
    )
}

fn corrupt(prefix: &str) -> Refusal {
    Refusal::new(
        Kind::Internal,
        Effect::NotRun,
        format!("The ledger object under `{prefix}` cannot be read."),
        "Tell the operators to restore or move the objects under this prefix.",
    )
}
