//! When a process asks the store and the platform's list.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{graph::WATCHERS, message::Watched};
use crate::Time;

/// How long the watchers of a region may be silent before another one helps.
const WATCHER_SILENCE: Duration = Duration::from_secs(20);
/// The most further watchers in a region whose watchers are silent.
const MAX_HELPERS: u64 = 4;
/// The wait after a first failure; it doubles with each further one.
const RETRY: Duration = Duration::from_millis(500);
/// The most doublings.
const MAX_DOUBLINGS: u32 = 6;
/// How often a watcher reads the manifest although its watch is quiet.
const REREAD: Duration = Duration::from_secs(60);
/// How often a watcher reads the list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// How often any other process that has read the list does so again.
const RECHECK: Duration = Duration::from_secs(600);
/// The span for each member over which processes without a configuration spread their reads.
const SPAN_PER_MEMBER: Duration = Duration::from_millis(20);
/// How long a process that knows no other waits before it counts as the whole fleet.
const MAX_SOLITUDE: Duration = Duration::from_secs(30);
/// The least such span.
const MIN_SPAN: Duration = Duration::from_secs(2);
/// The span over which processes that start together spread their first read of the list.
const FIRST_LIST_SPAN: Duration = Duration::from_millis(500);

/// The calls of one process to the store and the list.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    seed: u64,
    position: u64,
    watching: bool,
    reading: bool,
    listing: bool,
    acquainted: bool,
    acquainted_at: Time,
    failures: u32,
    /// Reads of the list in a row that failed or that a process without peers made.
    list_tries: u32,
    retry_at: Time,
    read_at: Time,
    list_at: Time,
    /// When a process that is no watcher reads the list again, for its own address.
    recheck_at: Time,
    fallback_at: Option<Time>,
    /// When a watcher of the region was last heard to have reached the store.
    heard_at: Time,
}

impl Watch {
    pub(super) fn new(seed: u64, now: Time) -> Watch {
        Watch {
            seed,
            position: 0,
            watching: false,
            reading: false,
            listing: false,
            acquainted: false,
            acquainted_at: now + MAX_SOLITUDE,
            failures: 0,
            list_tries: 0,
            retry_at: now,
            read_at: now,
            list_at: now + spread(seed, 0, FIRST_LIST_SPAN),
            recheck_at: Time::MAX,
            fallback_at: None,
            heard_at: now,
        }
    }

    /// Notes that a watcher of the region was heard.
    pub(super) fn heard(&mut self, now: Time) {
        self.heard_at = now;
    }

    /// Notes that a peer was heard.
    pub(super) fn meet(&mut self) {
        self.acquainted = true;
        self.list_tries = 0;
    }

    /// Notes that the process knows its fleet, because it read the list.
    pub(super) fn acquaint(&mut self) {
        self.acquainted = true;
    }

    /// Tells whether a process of this rank in its region is a watcher.
    ///
    /// A process that knows nobody would rank first, so it waits until it knows
    /// its fleet or has tried for a while.
    pub(super) fn is_watcher(&self, rank: usize, now: Time) -> bool {
        if !self.acquainted && !self.acquainted_at.is_past(now) {
            return false;
        }
        let silent = now.since(self.heard_at).as_secs() / WATCHER_SILENCE.as_secs();
        let helpers = usize::try_from(silent.min(MAX_HELPERS)).unwrap_or(0);
        rank < WATCHERS + helpers
    }

    /// Returns the position to watch from where a watch is due, and notes that it runs.
    pub(super) fn take_watch(&mut self, now: Time) -> Option<u64> {
        if self.watching || !self.retry_at.is_past(now) {
            return None;
        }
        self.watching = true;
        Some(self.position)
    }

    /// Takes in the end of a watch and tells whether the manifest is to be read.
    pub(super) fn watched(&mut self, end: Option<Watched>, now: Time) {
        self.watching = false;
        let Some(end) = end else {
            self.fail(now);
            return;
        };
        self.failures = 0;
        self.position = end.position;
        if end.changed {
            self.read_at = now;
        }
    }

    fn fail(&mut self, now: Time) {
        self.failures += 1;
        // A position may belong to a store that lost it, so the next watch starts over.
        self.position = 0;
        self.retry_at = now + self.backoff(self.failures);
        self.read_at = self.read_at.max(self.retry_at);
    }

    fn backoff(&self, failures: u32) -> Duration {
        let longest = RETRY * 2_u32.pow(failures.min(MAX_DOUBLINGS));
        longest / 2 + spread(self.seed, u64::from(failures), longest / 2)
    }

    /// Tells whether the manifest may be read now for a fetch, and notes that it is.
    pub(super) fn take_fetch(&mut self) -> bool {
        let free = !self.reading;
        self.reading = true;
        free
    }

    /// Tells whether a watcher reads the manifest now, and notes that it does.
    pub(super) fn take_read(&mut self, now: Time) -> bool {
        let due = !self.reading && self.read_at.is_past(now);
        if due {
            self.reading = true;
            self.read_at = now + REREAD;
        }
        due
    }

    /// Tells whether a process that is no watcher reads the manifest now, and notes it.
    ///
    /// `needy` tells that it holds no configuration and fetches none.
    pub(super) fn take_fallback(&mut self, needy: bool, fleet: usize, now: Time) -> bool {
        if !needy {
            self.fallback_at = None;
            return false;
        }
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        let span = (SPAN_PER_MEMBER.saturating_mul(fleet)).max(MIN_SPAN);
        let seed = self.seed;
        let attempt = u64::from(self.failures);
        let due_at = self
            .fallback_at
            .get_or_insert_with(|| now + MIN_SPAN + spread(seed, attempt, span));
        if self.reading || !due_at.is_past(now) {
            return false;
        }
        self.fallback_at = None;
        self.reading = true;
        true
    }

    /// Takes in the end of a read of the manifest.
    pub(super) fn read(&mut self, answered: bool, now: Time) {
        self.reading = false;
        if answered {
            self.failures = 0;
        } else {
            self.fail(now);
        }
    }

    /// Tells whether the list is read now, and notes that it is.
    pub(super) fn take_list(&mut self, watcher: bool, isolated: bool, now: Time) -> bool {
        let wanted = watcher || isolated || self.recheck_at.is_past(now);
        let due = !self.listing && self.list_at.is_past(now) && wanted;
        if due {
            self.listing = true;
        }
        due
    }

    /// Takes in the end of a read of the list.
    pub(super) fn listed(&mut self, answered: bool, watcher: bool, now: Time) {
        self.listing = false;
        let content = answered && watcher;
        if answered {
            let half = RECHECK / 2;
            self.recheck_at = now + half + spread(self.seed, now.as_millis(), half);
        }
        self.list_tries = if content { 0 } else { self.list_tries + 1 };
        let wait = match content {
            true => LIST_INTERVAL,
            false => self.backoff(self.list_tries),
        };
        self.list_at = now + wait;
    }

    /// Lets a process that has become a watcher read the list soon.
    pub(super) fn hasten_list(&mut self, now: Time) {
        self.list_at = self.list_at.min(now + LIST_INTERVAL);
    }
}

/// Returns a point within a span that depends on the seed and the attempt alone.
fn spread(seed: u64, attempt: u64, span: Duration) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
    let hash = xxh3_64_with_seed(&attempt.to_le_bytes(), seed);
    Duration::from_micros(hash % micros)
}
