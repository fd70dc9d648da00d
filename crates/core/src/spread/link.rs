//! What a process keeps about one neighbour.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::Time;

/// The time from one batch of changes to the next.
const BATCH_INTERVAL: Duration = Duration::from_millis(600);
/// The time from one comparison to the next.
const COMPARE_INTERVAL: Duration = Duration::from_secs(6);
/// How long a neighbour may be silent before it is doubted.
const MAX_SILENCE: Duration = Duration::from_secs(13);
/// The most records in one batch.
const MAX_BATCH: usize = 24;

/// The table that a record belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// The members.
    Member,
    /// The items.
    Item,
}

/// One neighbour.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
    pending: Vec<(Kind, Arc<str>)>,
    heard_at: Time,
    met: bool,
    batch_at: Time,
    compare_at: Time,
}

impl Link {
    /// Returns a neighbour that has not been talked to; its first comparison is due.
    pub(super) fn new(name: Arc<str>, address: SocketAddr, now: Time) -> Link {
        let micros = u64::try_from(BATCH_INTERVAL.as_micros()).unwrap_or(u64::MAX);
        let offset = Duration::from_micros(xxh3_64(name.as_bytes()) % micros);
        Link {
            name,
            address,
            pending: Vec::new(),
            heard_at: now,
            met: false,
            batch_at: now + offset,
            compare_at: now,
        }
    }

    /// Notes that the neighbour was heard.
    pub(super) fn heard(&mut self, now: Time) {
        self.heard_at = now;
        self.met = true;
    }

    /// Tells whether the neighbour was heard since it became one.
    pub(super) fn is_met(&self) -> bool {
        self.met
    }

    /// Starts the span of silence anew, because this process itself was paused.
    pub(super) fn excuse(&mut self, now: Time) {
        self.heard_at = now;
        self.compare_at = now;
    }

    /// Tells whether the neighbour has been silent for too long.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        now.since(self.heard_at) >= MAX_SILENCE
    }

    /// Queues a record for the neighbour.
    pub(super) fn queue(&mut self, kind: Kind, key: &Arc<str>, urgent: bool, now: Time) {
        let entry = (kind, Arc::clone(key));
        if let Err(at) = self.pending.binary_search(&entry) {
            self.pending.insert(at, entry);
        }
        if urgent {
            self.batch_at = now;
        }
    }

    /// Takes a record off the queue because the neighbour holds it.
    pub(super) fn unqueue(&mut self, kind: Kind, key: &Arc<str>) {
        if let Ok(at) = self.pending.binary_search(&(kind, Arc::clone(key))) {
            self.pending.remove(at);
        }
    }

    /// Returns the records to send now, where a batch is due.
    pub(super) fn take_batch(&mut self, now: Time) -> Vec<(Kind, Arc<str>)> {
        if self.pending.is_empty() || !self.batch_at.is_past(now) {
            return Vec::new();
        }
        self.batch_at = now + BATCH_INTERVAL;
        let size = self.pending.len().min(MAX_BATCH);
        self.pending.drain(..size).collect()
    }

    /// Tells whether a comparison is due, and notes that it is made.
    pub(super) fn take_comparison(&mut self, now: Time) -> bool {
        let due = self.compare_at.is_past(now);
        if due {
            self.compare_at = now + COMPARE_INTERVAL;
        }
        due
    }
}
