//! Selects and builds the next call to the store.

use std::sync::Arc;

use bytes::Bytes;

use super::{
    super::{
        Expect, Op,
        log::{self, ObjectId, Record, Segment},
    },
    CallKind, InFlight, MAX_PACK_BYTES, Partition, PendingClaim, SWEEP_INTERVAL, WrittenSegment,
};
use crate::{Time, id::Attempt};

impl Partition {
    /// Returns the kind of the next call to the store, and when it is due.
    pub(super) fn next_call(&self) -> Option<(Time, CallKind)> {
        if self.in_flight.is_some() {
            return None;
        }
        let call = |time: Time, kind| Some((time.max(self.retry_at), kind));
        let head_write_at = self.head_write_time();
        let needs_head =
            head_write_at.is_some() || !self.pending.is_empty() || self.down_since.is_some();
        if self.stale && needs_head {
            return call(Time::ZERO, CallKind::ReadHead);
        }
        if !self.unread_segments.is_empty() {
            return call(Time::ZERO, CallKind::ReadSegment);
        }
        if self
            .pending
            .iter()
            .any(|pending| pending.answer_slot.is_some())
        {
            return call(Time::ZERO, CallKind::ReadPack);
        }
        let head = head_write_at.map(|time| (time, CallKind::WriteHead));
        let pack = (!self.unsaved.is_empty()).then_some((self.next_pack_at, CallKind::WritePack));
        let sweep = match self.garbage.is_empty() {
            true => CallKind::List,
            false => CallKind::Delete,
        };
        let all = [head, pack, Some((self.next_sweep_at, sweep))];
        let (time, kind) = all.into_iter().flatten().min_by_key(|(time, _)| *time)?;
        call(time, kind)
    }

    /// Returns when the head has to be written, or `None` if there is nothing to append.
    pub(super) fn head_write_time(&self) -> Option<Time> {
        let needs_write = |pending: &PendingClaim| pending.answer_slot.is_none();
        let urgent = self.pending.iter().any(needs_write) || !self.abandoned.is_empty();
        let queued = (!self.queued_records.is_empty()).then_some(self.append_at);
        let at = if urgent { Some(Time::ZERO) } else { queued };
        at.map(|at| at.max(self.next_write_at))
    }

    pub(super) fn read_segment(&mut self) -> Option<(InFlight, Op)> {
        let segment = self.unread_segments.first()?.clone();
        let op = self.get(&format!("segment/{}", segment.part));
        Some((InFlight::ReadSegment(segment), op))
    }

    pub(super) fn read_pack(&mut self) -> Option<(InFlight, Op)> {
        let slot = self
            .pending
            .iter()
            .find_map(|pending| pending.answer_slot.as_ref())?;
        let pack = Arc::clone(&slot.pack);
        let op = self.get(&format!("pack/{pack}"));
        Some((InFlight::ReadPack(pack), op))
    }

    pub(super) fn write_pack(&mut self) -> (InFlight, Op) {
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
        let pack = Arc::new(self.next_object_id(until));
        let op = self.put(&format!("pack/{pack}"), Expect::Absent, value);
        (InFlight::WritePack { pack, count }, op)
    }

    /// Writes the head, or first moves its records to a segment if they are too large.
    pub(super) fn write_head(&mut self, now: Time) -> (InFlight, Op) {
        if self.head_bytes > self.config.max_head_bytes && self.written_segment.is_none() {
            return self.write_segment(now);
        }
        let mut head = self.head.clone();
        if let Some(written) = &self.written_segment {
            head.segments.truncate(written.kept_segments);
            head.segments.push(written.segment.clone());
            head.base = written.segment.last;
            head.records.clear();
        }
        let skew = self.config.max_clock_skew;
        head.segments.retain(|s| !s.part.is_expired(now, skew));
        let attempts = self.append(&mut head.records, now);
        let value = log::encode(&head);
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        self.next_write_at = now + self.config.write_interval;
        let bytes = value.len();
        let op = self.put("head", expect, value);
        let in_flight = InFlight::WriteHead {
            head,
            bytes,
            attempts,
        };
        (in_flight, op)
    }

    /// Appends the queued records and one claim per free key, and returns the claiming attempts.
    pub(super) fn append(&self, records: &mut Vec<Record>, now: Time) -> Vec<Attempt> {
        records.extend_from_slice(&self.queued_records);
        let mut keys = Vec::new();
        let mut attempts = Vec::new();
        for pending in self
            .pending
            .iter()
            .filter(|pending| pending.answer_slot.is_none())
        {
            let claim = pending.claim;
            let live = self
                .index
                .find_live(claim.key, now, self.config.max_clock_skew);
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

    /// Moves the records of the head to a segment, merged with the last segment if that is small.
    pub(super) fn write_segment(&mut self, now: Time) -> (InFlight, Op) {
        let skew = self.config.max_clock_skew;
        let last = self.head.segments.last();
        let mergeable = last
            .filter(|s| s.bytes < self.config.max_segment_bytes)
            .filter(|s| !s.part.is_expired(now, skew));
        let mergeable = mergeable.cloned();
        if let (Some(segment), None) = (&mergeable, &self.last_segment_records) {
            let op = self.get(&format!("segment/{}", segment.part));
            return (InFlight::ReadLastSegment, op);
        }
        let mut records = self.last_segment_records.take().unwrap_or_default();
        let first = self.head.end() - (records.len() + self.head.records.len()) as u64;
        records.extend_from_slice(&self.head.records);
        let kept_segments = self.head.segments.len() - usize::from(mergeable.is_some());
        let value = log::encode(&records);
        let until = self.segment_deadline(&records);
        let segment = Segment {
            part: self.next_object_id(until),
            first,
            last: self.head.end(),
            bytes: value.len(),
        };
        let op = self.put(&format!("segment/{}", segment.part), Expect::Absent, value);
        (
            InFlight::WriteSegment(WrittenSegment {
                segment,
                kept_segments,
            }),
            op,
        )
    }

    /// Returns the deadline of a new segment, which is never before that of an earlier segment.
    pub(super) fn segment_deadline(&self, records: &[Record]) -> Time {
        let claims = records.iter().filter_map(|record| match record {
            Record::Claim { until, .. } => Some(*until),
            _ => None,
        });
        let segments = self.head.segments.iter().map(|s| s.part.until);
        claims.chain(segments).max().unwrap_or_default()
    }

    pub(super) fn list(&mut self, now: Time) -> (InFlight, Op) {
        self.index.merge(now, self.config.max_clock_skew);
        let prefix = format!("{}/", self.prefix);
        (InFlight::List, Op::List { prefix })
    }

    pub(super) fn delete(&mut self, now: Time) -> Option<(InFlight, Op)> {
        let name = self.garbage.pop()?;
        let is_last = self.garbage.is_empty();
        self.next_sweep_at = now
            + match is_last {
                true => SWEEP_INTERVAL,
                false => self.config.write_interval,
            };
        Some((InFlight::Delete, Op::Delete { name }))
    }

    pub(super) fn next_object_id(&mut self, until: Time) -> ObjectId {
        self.object_count += 1;
        ObjectId::new(until, self.writer, self.object_count)
    }

    pub(super) fn get(&self, name: &str) -> Op {
        Op::Get {
            name: format!("{}/{name}", self.prefix),
        }
    }

    pub(super) fn put(&self, name: &str, expect: Expect, value: Bytes) -> Op {
        Op::Put {
            name: format!("{}/{name}", self.prefix),
            expect,
            value,
        }
    }
}
