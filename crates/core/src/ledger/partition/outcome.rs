//! What the answers of the store change.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    super::{
        Failure, Reply, Verdict,
        index::{Entry, State},
        log::{self, Head, Part, Record, Segment, Slot},
    },
    Flight, MAX_BACKOFF, MIN_BACKOFF, Partition, Running, SWEEP_INTERVAL, Unsaved, Wait, refusal,
};
use crate::{Time, digest::Digest, id::Attempt};

impl Partition {
    pub(super) fn succeeded(&mut self, flight: Flight, reply: Reply, now: Time) {
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
                // Another agent may have joined the segment already; the new head tells.
                if self.joined.is_none() && self.lost_at == self.version {
                    self.corrupt(now);
                }
                if self.joined.is_none() {
                    self.lost_at = self.version;
                    self.stale = true;
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

    pub(super) fn failed(&mut self, flight: &Flight, failure: Failure, now: Time) {
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

    pub(super) fn mark_sent(&mut self, attempts: &[Attempt]) {
        for wait in &mut self.waits {
            wait.sent |= attempts.contains(&wait.claim.attempt);
        }
    }

    pub(super) fn head_read(&mut self, object: Option<(u64, Bytes)>, since: Time, now: Time) {
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

    pub(super) fn segment_read(
        &mut self,
        segment: &Segment,
        object: Option<(u64, Bytes)>,
        now: Time,
    ) {
        let value = object.map(|(_, value)| value);
        let records: Option<Vec<Record>> =
            value.and_then(|value| serde_json::from_slice(&value).ok());
        match records {
            Some(records) => self.fold(segment.first, &records, now),
            // Whoever deletes an expired segment may be ahead of this clock.
            None if segment.part.is_past(now, Duration::ZERO) => {}
            // A later head may list another segment in place of this one.
            None if self.lost_at != self.version => {
                self.lost_at = self.version;
                self.stale = true;
                return;
            }
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
    pub(super) fn fold_head(&mut self, moved: bool, now: Time) {
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

    pub(super) fn fold(&mut self, first: u64, records: &[Record], now: Time) {
        for (position, record) in (first..).zip(records) {
            if position < self.folded {
                continue;
            }
            self.folded = position + 1;
            self.fold_one(position, record, now);
        }
    }

    pub(super) fn fold_one(&mut self, position: u64, record: &Record, now: Time) {
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
    pub(super) fn claimed(
        &mut self,
        attempt: Attempt,
        key: Digest,
        position: u64,
        until: Time,
        now: Time,
    ) {
        let is_mine = |w: &Wait| w.claim.attempt == attempt && w.claim.key == key;
        if let Some(at) = self.waits.iter().position(is_mine) {
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

    pub(super) fn head_written(&mut self, head: Head, bytes: usize, version: u64, now: Time) {
        self.version = Some(version);
        self.drop_replaced(&head, now);
        self.head = head;
        self.head_bytes = bytes;
        self.seal = None;
        self.joined = None;
        self.fold_head(true, now);
    }

    /// Queues the deletion of the segment that the new head lists in another one.
    pub(super) fn drop_replaced(&mut self, next: &Head, now: Time) {
        let Some(last) = self.head.segments.last() else {
            return;
        };
        let is_listed = next.segments.iter().any(|s| s.part == last.part);
        if !is_listed {
            let name = format!("{}/segment/{}", self.prefix, last.part);
            self.garbage.push(name);
            self.sweep_at = self.sweep_at.min(now + self.config.write_interval);
        }
    }

    pub(super) fn pack_written(&mut self, pack: &Arc<Part>, count: usize, now: Time) {
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

    pub(super) fn pack_read(&mut self, pack: &Arc<Part>, value: Option<Bytes>) {
        let mut at = 0;
        while at < self.waits.len() {
            let slot = self.waits[at].answer.as_ref().filter(|s| s.pack == *pack);
            let Some(index) = slot.map(|slot| slot.index) else {
                at += 1;
                continue;
            };
            let wait = self.waits.swap_remove(at);
            let answer = value.as_ref().and_then(|value| log::unpack(value, index));
            let verdict = answer.map_or_else(|| Verdict::Refuse(refusal::gone()), Verdict::Replay);
            self.verdict(wait.claim.attempt, verdict);
        }
    }

    pub(super) fn listed(&mut self, names: Vec<String>, now: Time) {
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
}
