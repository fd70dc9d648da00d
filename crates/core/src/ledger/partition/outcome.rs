//! Applies the results of calls to the store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    super::{
        Failure, Reply, Verdict,
        index::{IndexedClaim, State},
        log::{self, Head, ObjectId, Record, Segment, Slot},
    },
    InFlight, LoggedClaim, MAX_BACKOFF, MIN_BACKOFF, Partition, PendingClaim, SWEEP_INTERVAL,
    UnsavedAnswer, refusal,
};
use crate::{Time, digest::Digest, id::Attempt};

impl Partition {
    pub(super) fn on_success(&mut self, in_flight: InFlight, reply: Reply, now: Time) {
        self.backoff = MIN_BACKOFF;
        self.down_since = None;
        match (in_flight, reply) {
            (InFlight::ReadHead { started_at }, Reply::Object(object)) => {
                self.on_head_read(object, started_at, now);
            }
            (InFlight::ReadSegment(segment), Reply::Object(object)) => {
                self.on_segment_read(&segment, object, now);
            }
            (InFlight::ReadPack(pack), Reply::Object(object)) => {
                self.on_pack_read(&pack, object.map(|(_, value)| value));
            }
            (InFlight::WritePack { pack, count }, Reply::Written(_)) => {
                self.on_pack_written(&pack, count, now);
            }
            (InFlight::ReadLastSegment, Reply::Object(object)) => {
                self.last_segment_records =
                    object.and_then(|(_, value)| serde_json::from_slice(&value).ok());
                // Another agent may have merged and deleted the segment, so the head is read again.
                // At an unchanged head, a second failure means that the segment is corrupt.
                if self.last_segment_records.is_none()
                    && self.missing_segment_version == self.version
                {
                    self.refuse_corrupt(now);
                }
                if self.last_segment_records.is_none() {
                    self.missing_segment_version = self.version;
                    self.stale = true;
                }
            }
            (InFlight::WriteSegment(written), Reply::Written(_)) => {
                self.written_segment = Some(written)
            }
            (InFlight::WriteHead { head, bytes, .. }, Reply::Written(version)) => {
                self.on_head_written(head, bytes, version, now);
            }
            (InFlight::List, Reply::Names(names)) => self.on_list(names, now),
            (InFlight::Delete, Reply::Deleted) => {}
            // A reply of the wrong kind does not show whether the call took effect.
            (in_flight, _) => self.on_failure(&in_flight, Failure::Unanswered, now),
        }
    }

    pub(super) fn on_failure(&mut self, in_flight: &InFlight, failure: Failure, now: Time) {
        if let InFlight::WriteHead { attempts, .. } = in_flight {
            self.stale = true;
            if failure == Failure::Unanswered {
                self.mark_maybe_written(attempts);
            }
        }
        self.written_segment = None;
        self.last_segment_records = None;
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

    pub(super) fn mark_maybe_written(&mut self, attempts: &[Attempt]) {
        for pending in &mut self.pending {
            pending.maybe_written |= attempts.contains(&pending.claim.attempt);
        }
    }

    pub(super) fn on_head_read(
        &mut self,
        object: Option<(u64, Bytes)>,
        started_at: Time,
        now: Time,
    ) {
        let (version, bytes, head) = match object {
            None => (None, 0, Some(Head::default())),
            Some((version, value)) => {
                let head = serde_json::from_slice(&value).ok();
                (Some(version), value.len(), head)
            }
        };
        let Some(head) = head else {
            self.refuse_corrupt(now);
            return;
        };
        let version_changed = version != self.version;
        // A segment built from an earlier head lacks the records that were appended since.
        self.written_segment = None;
        self.last_segment_records = None;
        self.version = version;
        self.head = head;
        self.head_bytes = bytes;
        self.stale = false;
        self.unread_segments = self.head.segments.clone();
        self.unread_segments.retain(|s| {
            s.last > self.folded_end && !s.part.is_expired(now, self.config.max_clock_skew)
        });
        self.read_started_at = started_at;
        if self.unread_segments.is_empty() {
            self.fold_head(version_changed, now);
        }
    }

    pub(super) fn on_segment_read(
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
            // An agent whose clock is ahead may have deleted the segment already.
            None if segment.part.is_expired(now, Duration::ZERO) => {}
            // A newer head may list another segment in place of this one.
            None if self.missing_segment_version != self.version => {
                self.missing_segment_version = self.version;
                self.stale = true;
                return;
            }
            None => {
                self.refuse_corrupt(now);
                return;
            }
        }
        self.unread_segments.remove(0);
        if self.unread_segments.is_empty() {
            self.fold_head(true, now);
        }
    }

    /// Folds the records of the head into the index.
    ///
    /// If the version of the head changed, writes at the previous version can no
    /// longer take effect, so a claim that is not in the log was not written.
    pub(super) fn fold_head(&mut self, version_changed: bool, now: Time) {
        let head = std::mem::take(&mut self.head);
        self.fold(head.base, &head.records, now);
        self.head = head;
        for pending in &mut self.pending {
            pending.log_read |= pending.arrived_at <= self.read_started_at;
        }
        if version_changed {
            self.abandoned.clear();
            for pending in &mut self.pending {
                pending.maybe_written = false;
            }
        }
    }

    pub(super) fn fold(&mut self, first: u64, records: &[Record], now: Time) {
        for (position, record) in (first..).zip(records) {
            if position < self.folded_end {
                continue;
            }
            self.folded_end = position + 1;
            self.fold_record(position, record, now);
        }
    }

    pub(super) fn fold_record(&mut self, position: u64, record: &Record, now: Time) {
        match record {
            Record::Claim {
                key,
                body,
                attempt,
                until,
            } => {
                let indexed = IndexedClaim {
                    key: *key,
                    body: *body,
                    position,
                    until: *until,
                    state: State::Claimed,
                };
                self.index.insert(indexed, now, self.config.max_clock_skew);
                self.on_claim_folded(*attempt, *key, position, *until, now);
            }
            Record::Settle {
                key,
                position,
                answer,
            } => {
                let state = State::Settled(answer.clone());
                self.index.set_state(*key, *position, state);
                self.queued_records.retain(|queued| queued != record);
            }
            Record::Release { key, position } => {
                self.index.set_state(*key, *position, State::Released);
                self.releasing.retain(|logged| logged.position != *position);
                self.queued_records.retain(|queued| queued != record);
            }
        }
    }

    /// Dispatches a claim of this process that was found in the log, or releases an abandoned one.
    pub(super) fn on_claim_folded(
        &mut self,
        attempt: Attempt,
        key: Digest,
        position: u64,
        until: Time,
        now: Time,
    ) {
        let is_own = |p: &PendingClaim| p.claim.attempt == attempt && p.claim.key == key;
        if let Some(i) = self.pending.iter().position(is_own) {
            self.pending.swap_remove(i);
            self.running.push(LoggedClaim {
                attempt,
                key,
                position,
                until,
            });
            self.push_verdict(attempt, Verdict::Dispatch);
        } else if self.abandoned.contains(&attempt) {
            self.abandoned.retain(|other| *other != attempt);
            self.queue_release(key, position, now);
        }
    }

    pub(super) fn on_head_written(&mut self, head: Head, bytes: usize, version: u64, now: Time) {
        self.version = Some(version);
        self.collect_replaced_segment(&head, now);
        self.head = head;
        self.head_bytes = bytes;
        self.written_segment = None;
        self.last_segment_records = None;
        self.fold_head(true, now);
    }

    /// Queues the deletion of the last segment if the new head replaces it by a merged one.
    pub(super) fn collect_replaced_segment(&mut self, next: &Head, now: Time) {
        let Some(last) = self.head.segments.last() else {
            return;
        };
        let is_listed = next.segments.iter().any(|s| s.part == last.part);
        if !is_listed {
            let name = format!("{}/segment/{}", self.prefix, last.part);
            self.garbage.push(name);
            self.next_sweep_at = self.next_sweep_at.min(now + self.config.write_interval);
        }
    }

    pub(super) fn on_pack_written(&mut self, pack: &Arc<ObjectId>, count: usize, now: Time) {
        let saved: Vec<UnsavedAnswer> = self.unsaved.drain(..count).collect();
        for (index, unsaved) in (0..).zip(saved) {
            self.unsaved_bytes -= unsaved.answer.len();
            let slot = Slot {
                pack: Arc::clone(pack),
                index,
            };
            self.queue_settle(unsaved.key, unsaved.position, Some(slot), now);
        }
        self.next_pack_at = now + self.config.answer_delay;
    }

    pub(super) fn on_pack_read(&mut self, pack: &Arc<ObjectId>, value: Option<Bytes>) {
        let mut i = 0;
        while i < self.pending.len() {
            let slot = self.pending[i]
                .answer_slot
                .as_ref()
                .filter(|s| s.pack == *pack);
            let Some(index) = slot.map(|slot| slot.index) else {
                i += 1;
                continue;
            };
            let pending = self.pending.swap_remove(i);
            let answer = value.as_ref().and_then(|value| log::unpack(value, index));
            let verdict = answer.map_or_else(
                || Verdict::Refuse(refusal::answer_not_kept()),
                Verdict::Replay,
            );
            self.push_verdict(pending.claim.attempt, verdict);
        }
    }

    pub(super) fn on_list(&mut self, names: Vec<String>, now: Time) {
        self.next_sweep_at = now;
        let skew = self.config.max_clock_skew;
        self.garbage = names;
        // An agent whose clock is behind by the skew reads an object until this agent's clock shows
        // the deadline plus twice the skew.
        self.garbage.retain(|name| {
            let id = name.rsplit('/').next().unwrap_or_default();
            id.parse::<ObjectId>()
                .is_ok_and(|id| id.is_expired(now, skew * 2))
        });
        if self.garbage.is_empty() {
            self.next_sweep_at = now + SWEEP_INTERVAL;
        }
    }
}
