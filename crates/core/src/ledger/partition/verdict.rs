//! What becomes of claims.

use super::{
    super::{
        Verdict,
        index::State,
        log::{Record, Slot},
    },
    Flight, MAX_BACKOFF, Partition, Running, Wait, refusal,
};
use crate::{Time, digest::Digest, id::Attempt, refusal::Refusal};

impl Partition {
    /// Gives each waiting claim the verdict that what has been read allows.
    pub(super) fn decide(&mut self, now: Time) {
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
    pub(super) fn judge(&mut self, at: usize, now: Time) -> Option<Verdict> {
        let wait = &self.waits[at];
        let claim = wait.claim;
        // The claim may stand in the log already; only reading tells.
        if wait.sent || self.is_in_flight(claim.attempt) {
            return None;
        }
        let Some(entry) = self.index.live(claim.key, now, self.config.skew) else {
            let full = self.index.len() >= self.config.max_keys;
            return full.then(|| Verdict::Refuse(refusal::full_index()));
        };
        if entry.body != claim.body {
            return Some(Verdict::Refuse(refusal::conflict()));
        }
        match &entry.state {
            State::Settled(None) => return Some(Verdict::Refuse(refusal::gone())),
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
            return Some(Verdict::Refuse(refusal::in_use(now)));
        }
        self.stale = true;
        None
    }

    /// Refuses claims at once where the store has been down for longer than claims wait.
    pub(super) fn refuse_while_down(&mut self, now: Time) {
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

    pub(super) fn overdue(&self, wait: &Wait, now: Time) -> Refusal {
        let retry_at = self.retry_at.max(now + MAX_BACKOFF);
        let known = self.index.live(wait.claim.key, now, self.config.skew);
        match known.map(|entry| &entry.state) {
            Some(State::Settled(_)) => refusal::unread().retry_at(retry_at),
            // Its own claim is in the log only where it was dispatched, which ends the wait.
            Some(_) => refusal::in_use(now),
            None => refusal::unwritten().retry_at(retry_at),
        }
    }

    pub(super) fn abandon(&mut self, wait: &Wait) {
        if wait.sent || self.is_in_flight(wait.claim.attempt) {
            self.abandoned.push(wait.claim.attempt);
        }
    }

    pub(super) fn is_in_flight(&self, attempt: Attempt) -> bool {
        match &self.flight {
            Some(Flight::WriteHead { attempts, .. }) => attempts.contains(&attempt),
            _ => false,
        }
    }

    pub(super) fn take_running(&mut self, attempt: Attempt) -> Option<Running> {
        let at = self.running.iter().position(|r| r.attempt == attempt)?;
        Some(self.running.swap_remove(at))
    }

    pub(super) fn settle_at(
        &mut self,
        key: Digest,
        position: u64,
        answer: Option<Slot>,
        now: Time,
    ) {
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
    pub(super) fn release_at(&mut self, key: Digest, position: u64, now: Time) {
        self.queue(Record::Release { key, position }, now);
    }

    pub(super) fn queue(&mut self, record: Record, at: Time) {
        let first = self.outbox.is_empty();
        self.outbox_at = if first { at } else { self.outbox_at.min(at) };
        self.outbox.push(record);
    }

    pub(super) fn verdict(&mut self, attempt: Attempt, verdict: Verdict) {
        self.verdicts.push((attempt, verdict));
    }

    /// Refuses all claims, because an object of the partition cannot be read.
    pub(super) fn corrupt(&mut self, now: Time) {
        self.stale = true;
        self.retry_at = now + MAX_BACKOFF;
        for wait in std::mem::take(&mut self.waits) {
            self.abandon(&wait);
            let refusal = refusal::corrupt(&self.prefix).retry_at(self.retry_at);
            self.verdict(wait.claim.attempt, Verdict::Refuse(refusal));
        }
    }
}
