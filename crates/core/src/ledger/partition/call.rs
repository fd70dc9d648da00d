//! Which call to the store comes next, and its contents.

use std::sync::Arc;

use bytes::Bytes;

use super::{
    super::{
        Expect, Op,
        log::{self, Part, Record, Segment},
    },
    Flight, MAX_PACK_BYTES, Partition, SWEEP_INTERVAL, Seal, Step, Wait,
};
use crate::{Time, id::Attempt};

impl Partition {
    /// Returns the next call to the store and its time.
    pub(super) fn due(&self) -> Option<(Time, Step)> {
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
    pub(super) fn write_due(&self) -> Option<Time> {
        let unread = |wait: &Wait| wait.answer.is_none();
        let urgent = self.waits.iter().any(unread) || !self.abandoned.is_empty();
        let queued = (!self.outbox.is_empty()).then_some(self.outbox_at);
        let at = if urgent { Some(Time::ZERO) } else { queued };
        at.map(|at| at.max(self.write_at))
    }

    pub(super) fn read_segment(&mut self) -> Option<(Flight, Op)> {
        let segment = self.missing.first()?.clone();
        let op = self.get(&format!("segment/{}", segment.part));
        Some((Flight::ReadSegment(segment), op))
    }

    pub(super) fn read_pack(&mut self) -> Option<(Flight, Op)> {
        let slot = self.waits.iter().find_map(|wait| wait.answer.as_ref())?;
        let pack = Arc::clone(&slot.pack);
        let op = self.get(&format!("pack/{pack}"));
        Some((Flight::ReadPack(pack), op))
    }

    pub(super) fn write_pack(&mut self) -> (Flight, Op) {
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
    pub(super) fn write_head(&mut self, now: Time) -> (Flight, Op) {
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
    pub(super) fn append(&self, records: &mut Vec<Record>, now: Time) -> Vec<Attempt> {
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
    pub(super) fn write_segment(&mut self, now: Time) -> (Flight, Op) {
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
    pub(super) fn until(&self, records: &[Record]) -> Time {
        let claims = records.iter().filter_map(|record| match record {
            Record::Claim { until, .. } => Some(*until),
            _ => None,
        });
        let segments = self.head.segments.iter().map(|s| s.part.until);
        claims.chain(segments).max().unwrap_or_default()
    }

    pub(super) fn list(&mut self, now: Time) -> (Flight, Op) {
        self.index.merge(now, self.config.skew);
        let prefix = format!("{}/", self.prefix);
        (Flight::List, Op::List { prefix })
    }

    pub(super) fn delete(&mut self, now: Time) -> Option<(Flight, Op)> {
        let name = self.garbage.pop()?;
        let last = self.garbage.is_empty();
        self.sweep_at = now
            + match last {
                true => SWEEP_INTERVAL,
                false => self.config.write_interval,
            };
        Some((Flight::Delete, Op::Delete { name }))
    }

    pub(super) fn part(&mut self, until: Time) -> Part {
        self.number += 1;
        Part::new(until, self.writer, self.number)
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
