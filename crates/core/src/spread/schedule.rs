//! The schedule of the calls of one process to the store and the roster.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{graph::WATCHERS, message::Watched};
use crate::Time;

/// Each such period of silence from a region's watchers adds one more watcher.
const WATCHER_SILENCE: Duration = Duration::from_secs(20);
/// The maximum number of additional watchers in a region whose watchers are silent.
const MAX_HELPERS: u64 = 4;
/// The unit of the exponential backoff, which doubles with each failure in a row.
const RETRY: Duration = Duration::from_millis(500);
/// The maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 6;
/// The interval at which a watcher reads the manifest even if its watch reports no change.
const REREAD: Duration = Duration::from_secs(60);
/// The interval between reads of the roster by a watcher.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum interval between reads of the roster by another process, to check its own address.
const RECHECK: Duration = Duration::from_secs(600);
/// The jitter, per member of the fleet, of fallback reads by processes without a configuration.
const SPAN_PER_MEMBER: Duration = Duration::from_millis(20);
/// The time after which a process that knows no other assumes that it is the entire fleet.
const MAX_SOLITUDE: Duration = Duration::from_secs(30);
/// The minimum jitter of fallback reads, and the fixed delay before it.
const MIN_SPAN: Duration = Duration::from_secs(2);
/// The jitter of the first read of the roster, for processes that start together.
const FIRST_LIST_SPAN: Duration = Duration::from_millis(500);

/// The state of the calls of one process to the store and the roster.
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
    /// Consecutive reads of the roster that failed or that were made by a process other than a watcher.
    list_tries: u32,
    retry_at: Time,
    read_at: Time,
    list_at: Time,
    /// The time at which a process other than a watcher reads the roster again, for its own address.
    recheck_at: Time,
    fallback_at: Option<Time>,
    /// The time of the last heartbeat of a watcher of the region.
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

    /// Records a heartbeat of a watcher of the region, or restarts the wait for one.
    pub(super) fn heard(&mut self, now: Time) {
        self.heard_at = now;
    }

    /// Records that a message from a peer arrived.
    pub(super) fn meet(&mut self) {
        self.acquainted = true;
        self.list_tries = 0;
    }

    /// Records that the process knows the fleet from the roster.
    pub(super) fn acquaint(&mut self) {
        self.acquainted = true;
    }

    /// Returns whether a process with this rank in its region is a watcher.
    ///
    /// A process that knows no other member would rank first, so it waits until
    /// it knows the fleet or [`MAX_SOLITUDE`] has passed.
    pub(super) fn is_watcher(&self, rank: usize, now: Time) -> bool {
        if !self.acquainted && !self.acquainted_at.is_past(now) {
            return false;
        }
        let silent = now.since(self.heard_at).as_secs() / WATCHER_SILENCE.as_secs();
        let helpers = usize::try_from(silent.min(MAX_HELPERS)).unwrap_or(0);
        rank < WATCHERS + helpers
    }

    /// Starts a watch if one is due, and returns the position from which to watch.
    pub(super) fn take_watch(&mut self, now: Time) -> Option<u64> {
        if self.watching || !self.retry_at.is_past(now) {
            return None;
        }
        self.watching = true;
        Some(self.position)
    }

    /// Handles the end of a watch; if the manifest changed, a read becomes due.
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
        // The store may have lost the state to which the position refers, so the next watch starts from zero.
        self.position = 0;
        self.retry_at = now + self.backoff(self.failures);
        self.read_at = self.read_at.max(self.retry_at);
    }

    fn backoff(&self, failures: u32) -> Duration {
        let longest = RETRY * 2_u32.pow(failures.min(MAX_DOUBLINGS));
        longest / 2 + spread(self.seed, u64::from(failures), longest / 2)
    }

    /// Starts a read of the manifest for a fetch, and returns false if a read is already running.
    pub(super) fn take_fetch(&mut self) -> bool {
        let free = !self.reading;
        self.reading = true;
        free
    }

    /// Starts a read of the manifest by a watcher if one is due, and returns whether it did.
    pub(super) fn take_read(&mut self, now: Time) -> bool {
        let due = !self.reading && self.read_at.is_past(now);
        if due {
            self.reading = true;
            self.read_at = now + REREAD;
        }
        due
    }

    /// Starts a read of the manifest by a process other than a watcher if one is due.
    ///
    /// Returns whether it did. `needy` means that the process has no configuration
    /// in force and fetches none.
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

    /// Handles the end of a read of the manifest.
    pub(super) fn read(&mut self, answered: bool, now: Time) {
        self.reading = false;
        if answered {
            self.failures = 0;
        } else {
            self.fail(now);
        }
    }

    /// Starts a read of the roster if one is due, and returns whether it did.
    pub(super) fn take_list(&mut self, watcher: bool, isolated: bool, now: Time) -> bool {
        let wanted = watcher || isolated || self.recheck_at.is_past(now);
        let due = !self.listing && self.list_at.is_past(now) && wanted;
        if due {
            self.listing = true;
        }
        due
    }

    /// Handles the end of a read of the roster.
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

    /// Brings the next read of the roster forward for a process that has become a watcher.
    pub(super) fn hasten_list(&mut self, now: Time) {
        self.list_at = self.list_at.min(now + LIST_INTERVAL);
    }
}

/// Returns a duration below `span` that depends only on the seed and the attempt.
fn spread(seed: u64, attempt: u64, span: Duration) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
    let hash = xxh3_64_with_seed(&attempt.to_le_bytes(), seed);
    Duration::from_micros(hash % micros)
}
