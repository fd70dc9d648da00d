//! Decides on pending claims.

use super::{
    super::{
        Verdict,
        index::State,
        log::{Record, Slot},
    },
    InFlight, LoggedClaim, MAX_BACKOFF, Partition, PendingClaim, refusal,
};
use crate::{Time, digest::Digest, id::Attempt, refusal::Refusal};

impl Partition {
    /// Decides each pending claim for which the index is sufficient.
    pub(super) fn decide_all(&mut self, now: Time) {
        // Until all segments of a head are folded, the index matches no version of the log.
        if !self.unread_segments.is_empty() {
            return;
        }
        let mut i = 0;
        while i < self.pending.len() {
            match self.decide(i, now) {
                Some(verdict) => {
                    let pending = self.pending.swap_remove(i);
                    self.push_verdict(pending.claim.attempt, verdict);
                }
                None => i += 1,
            }
        }
    }

    /// Returns the verdict on a claim, or `None` if it has to wait for a read or write.
    pub(super) fn decide(&mut self, i: usize, now: Time) -> Option<Verdict> {
        let pending = &self.pending[i];
        let claim = pending.claim;
        // The claim may be in the log already, which only a read of the head can show.
        if pending.maybe_written || self.is_in_flight(claim.attempt) {
            return None;
        }
        let Some(indexed) = self
            .index
            .find_live(claim.key, now, self.config.max_clock_skew)
        else {
            let full = self.index.len() >= self.config.max_keys;
            return full.then(|| Verdict::Refuse(refusal::full_index()));
        };
        if indexed.body != claim.body {
            return Some(Verdict::Refuse(refusal::conflict()));
        }
        match &indexed.state {
            State::Settled(None) => return Some(Verdict::Refuse(refusal::answer_not_kept())),
            State::Settled(Some(slot)) => {
                let slot = slot.clone();
                self.pending[i].answer_slot = Some(slot);
                return None;
            }
            State::Claimed | State::Released => {}
        }
        let position = indexed.position;
        if let Some(unsaved) = self.unsaved.iter().find(|u| u.position == position) {
            return Some(Verdict::Replay(unsaved.answer.clone()));
        }
        let is_own = self
            .running
            .iter()
            .any(|logged| logged.position == position);
        if is_own || pending.log_read {
            return Some(Verdict::Refuse(refusal::in_use(now)));
        }
        self.stale = true;
        None
    }

    /// Refuses all pending claims once the store has been down for longer than a claim waits.
    pub(super) fn refuse_while_down(&mut self, now: Time) {
        let is_overdue = self
            .down_since
            .is_some_and(|since| (since + self.config.claim_timeout).is_past(now));
        if !is_overdue {
            return;
        }
        for pending in &mut self.pending {
            pending.deadline = now;
        }
        self.refuse_overdue(now);
    }

    pub(super) fn timeout_refusal(&self, pending: &PendingClaim, now: Time) -> Refusal {
        let retry_at = self.retry_at.max(now + MAX_BACKOFF);
        let known = self
            .index
            .find_live(pending.claim.key, now, self.config.max_clock_skew);
        match known.map(|indexed| &indexed.state) {
            Some(State::Settled(_)) => refusal::answer_unreadable().retry_at(retry_at),
            // Another attempt's claim: a pending claim found in the log is dispatched at once.
            Some(_) => refusal::in_use(now),
            None => refusal::claim_not_written().retry_at(retry_at),
        }
    }

    pub(super) fn abandon(&mut self, pending: &PendingClaim) {
        if pending.maybe_written || self.is_in_flight(pending.claim.attempt) {
            self.abandoned.push(pending.claim.attempt);
        }
    }

    pub(super) fn is_in_flight(&self, attempt: Attempt) -> bool {
        match &self.in_flight {
            Some(InFlight::WriteHead { attempts, .. }) => attempts.contains(&attempt),
            _ => false,
        }
    }

    pub(super) fn take_running(&mut self, attempt: Attempt) -> Option<LoggedClaim> {
        let i = self.running.iter().position(|r| r.attempt == attempt)?;
        Some(self.running.swap_remove(i))
    }

    pub(super) fn queue_settle(
        &mut self,
        key: Digest,
        position: u64,
        answer: Option<Slot>,
        now: Time,
    ) {
        self.index
            .set_state(key, position, State::Settled(answer.clone()));
        self.queue_record(
            Record::Settle {
                key,
                position,
                answer,
            },
            now + self.config.answer_delay,
        );
    }

    /// Queues a release; the key becomes free when the release is in the log.
    pub(super) fn queue_release(&mut self, key: Digest, position: u64, now: Time) {
        self.queue_record(Record::Release { key, position }, now);
    }

    pub(super) fn queue_record(&mut self, record: Record, due_at: Time) {
        let is_first = self.queued_records.is_empty();
        self.append_at = if is_first {
            due_at
        } else {
            self.append_at.min(due_at)
        };
        self.queued_records.push(record);
    }

    pub(super) fn push_verdict(&mut self, attempt: Attempt, verdict: Verdict) {
        self.verdicts.push((attempt, verdict));
    }

    /// Refuses all pending claims because an object of the partition is missing or malformed.
    pub(super) fn refuse_corrupt(&mut self, now: Time) {
        self.stale = true;
        self.retry_at = now + MAX_BACKOFF;
        for pending in std::mem::take(&mut self.pending) {
            self.abandon(&pending);
            let refusal = refusal::corrupt_object(&self.prefix).retry_at(self.retry_at);
            self.push_verdict(pending.claim.attempt, Verdict::Refuse(refusal));
        }
    }
}
