//! The state that a process keeps for each neighbour: send queue, timers and last contact.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::Time;

/// The interval between batches of changes to one neighbour; an urgent change is sent at once.
const BATCH_INTERVAL: Duration = Duration::from_millis(600);
/// The interval between anti-entropy comparisons with one neighbour.
const COMPARE_INTERVAL: Duration = Duration::from_secs(6);
/// The silence after which this process suspects a neighbour.
const MAX_SILENCE: Duration = Duration::from_secs(13);
/// The maximum number of records in one batch.
const MAX_BATCH_RECORDS: usize = 24;

/// The table that a record belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// The table of members.
    Member,
    /// The table of items.
    Item,
}

/// A neighbour in the gossip graph.
#[derive(Clone, Debug)]
pub(super) struct Neighbour {
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
    /// The tables and keys of the records to send, sorted.
    pending: Vec<(Kind, Arc<str>)>,
    /// The time of the last message from the neighbour, or at which the silence timeout was reset.
    contact_at: Time,
    /// Whether a message has arrived since the process became a neighbour.
    has_contact: bool,
    /// The earliest time of the next batch.
    batch_at: Time,
    /// The time of the next anti-entropy comparison.
    compare_at: Time,
}

impl Neighbour {
    /// Returns a neighbour without any contact yet, whose first comparison is due at once.
    ///
    /// The name's hash spreads the batches of different neighbours over the interval.
    pub(super) fn new(name: Arc<str>, address: SocketAddr, now: Time) -> Neighbour {
        let micros = u64::try_from(BATCH_INTERVAL.as_micros()).unwrap_or(u64::MAX);
        let offset = Duration::from_micros(xxh3_64(name.as_bytes()) % micros);
        Neighbour {
            name,
            address,
            pending: Vec::new(),
            contact_at: now,
            has_contact: false,
            batch_at: now + offset,
            compare_at: now,
        }
    }

    /// Records that a message from the neighbour arrived.
    pub(super) fn record_contact(&mut self, now: Time) {
        self.contact_at = now;
        self.has_contact = true;
    }

    /// Returns whether a message has arrived since the process became a neighbour.
    pub(super) fn has_contact(&self) -> bool {
        self.has_contact
    }

    /// Restarts the silence timeout after a pause of this process, and makes a comparison due.
    pub(super) fn reset_silence(&mut self, now: Time) {
        self.contact_at = now;
        self.compare_at = now;
    }

    /// Returns whether the neighbour has been silent for too long.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        now.since(self.contact_at) >= MAX_SILENCE
    }

    /// Queues a record for the neighbour; an urgent one makes the next batch due at once.
    pub(super) fn queue(&mut self, kind: Kind, key: &Arc<str>, urgent: bool, now: Time) {
        let entry = (kind, Arc::clone(key));
        if let Err(at) = self.pending.binary_search(&entry) {
            self.pending.insert(at, entry);
        }
        if urgent {
            self.batch_at = now;
        }
    }

    /// Removes a record from the queue because the neighbour already holds it.
    pub(super) fn unqueue(&mut self, kind: Kind, key: &Arc<str>) {
        if let Ok(at) = self.pending.binary_search(&(kind, Arc::clone(key))) {
            self.pending.remove(at);
        }
    }

    /// Removes and returns the next batch if one is due; otherwise returns no records.
    pub(super) fn take_batch(&mut self, now: Time) -> Vec<(Kind, Arc<str>)> {
        if self.pending.is_empty() || !self.batch_at.is_past(now) {
            return Vec::new();
        }
        self.batch_at = now + BATCH_INTERVAL;
        let size = self.pending.len().min(MAX_BATCH_RECORDS);
        self.pending.drain(..size).collect()
    }

    /// Returns whether a comparison is due and, if so, schedules the next one.
    pub(super) fn take_comparison(&mut self, now: Time) -> bool {
        let due = self.compare_at.is_past(now);
        if due {
            self.compare_at = now + COMPARE_INTERVAL;
        }
        due
    }
}
