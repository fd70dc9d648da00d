//! The schedule of the calls of one process to the store and the roster.
//!
//! Watchers watch and read the manifest and read the roster. A fallback read is a read
//! of the manifest by another process that has no configuration and fetches none.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{graph::WATCHERS_PER_REGION, message::Watched};
use crate::Time;

/// Each such period of silence from a region's watchers adds one more watcher.
const WATCHER_SILENCE: Duration = Duration::from_secs(20);
/// The maximum number of additional watchers in a region whose watchers are silent.
const MAX_EXTRA_WATCHERS: u64 = 4;
/// Half of the maximum backoff after one failure. The maximum doubles with each further failure in
/// a row, and jitter lowers the backoff by up to half of it.
const BASE_BACKOFF: Duration = Duration::from_millis(500);
/// The maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// The interval at which a watcher reads the manifest even if its watch reports no change.
const REREAD_INTERVAL: Duration = Duration::from_secs(60);
/// The interval between reads of the roster by a watcher.
const ROSTER_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum interval between reads of the roster by another process, to check its own address.
const ADDRESS_CHECK_INTERVAL: Duration = Duration::from_secs(600);
/// The jitter, per member of the fleet, of fallback reads by processes without a configuration.
const FALLBACK_JITTER_PER_MEMBER: Duration = Duration::from_millis(20);
/// The time after which a process that knows no other assumes that it is the entire fleet.
const SOLO_DELAY: Duration = Duration::from_secs(30);
/// The minimum jitter of fallback reads, and the fixed delay before it.
const MIN_FALLBACK_JITTER: Duration = Duration::from_secs(2);
/// The jitter of the first read of the roster, for processes that start together.
const FIRST_ROSTER_JITTER: Duration = Duration::from_millis(500);

/// The state of the calls of one process to the store and the roster.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    /// The seed of the jitter.
    seed: u64,
    /// The position from which to start the next watch.
    position: u64,
    watching: bool,
    reading_manifest: bool,
    reading_roster: bool,
    /// Whether a peer or the roster has shown that the process knows the fleet.
    knows_fleet: bool,
    /// The time at which a process that does not know the fleet may watch.
    solo_at: Time,
    /// Consecutive failures of watches and reads of the manifest.
    failures: u32,
    /// Consecutive reads of the roster that failed or that were made by a process other than a
    /// watcher; a message from a peer resets the count.
    roster_attempts: u32,
    /// The earliest time of the next watch.
    retry_at: Time,
    /// The time of a watcher's next read of the manifest.
    manifest_at: Time,
    /// The earliest time of the next read of the roster.
    roster_at: Time,
    /// The time at which a process other than a watcher reads the roster again, for its own address.
    address_check_at: Time,
    /// The time of the next fallback read, if one is scheduled.
    fallback_at: Option<Time>,
    /// The time of the last heartbeat of a watcher of the region.
    heartbeat_at: Time,
}

impl Schedule {
    pub(super) fn new(seed: u64, now: Time) -> Schedule {
        Schedule {
            seed,
            position: 0,
            watching: false,
            reading_manifest: false,
            reading_roster: false,
            knows_fleet: false,
            solo_at: now + SOLO_DELAY,
            failures: 0,
            roster_attempts: 0,
            retry_at: now,
            manifest_at: now,
            roster_at: now + jitter(seed, 0, FIRST_ROSTER_JITTER),
            address_check_at: Time::MAX,
            fallback_at: None,
            heartbeat_at: now,
        }
    }

    /// Records a heartbeat of a watcher of the region, or restarts the wait for one.
    pub(super) fn record_heartbeat(&mut self, now: Time) {
        self.heartbeat_at = now;
    }

    /// Records that a message from a peer arrived.
    pub(super) fn record_peer(&mut self) {
        self.knows_fleet = true;
        self.roster_attempts = 0;
    }

    /// Records that the process knows the fleet from the roster.
    pub(super) fn record_roster(&mut self) {
        self.knows_fleet = true;
    }

    /// Returns whether a process with this rank in its region is a watcher.
    ///
    /// A process that knows no other member would rank first, so it waits until
    /// it knows the fleet or [`SOLO_DELAY`] has passed.
    pub(super) fn is_watcher(&self, rank: usize, now: Time) -> bool {
        if !self.knows_fleet && !self.solo_at.is_past(now) {
            return false;
        }
        let silent = now.since(self.heartbeat_at).as_secs() / WATCHER_SILENCE.as_secs();
        let extra = usize::try_from(silent.min(MAX_EXTRA_WATCHERS)).unwrap_or(0);
        rank < WATCHERS_PER_REGION + extra
    }

    /// Starts a watch if one is due, and returns the position from which to watch.
    pub(super) fn start_watch(&mut self, now: Time) -> Option<u64> {
        if self.watching || !self.retry_at.is_past(now) {
            return None;
        }
        self.watching = true;
        Some(self.position)
    }

    /// Handles the end of a watch; if the manifest changed, a read becomes due.
    pub(super) fn end_watch(&mut self, end: Option<Watched>, now: Time) {
        self.watching = false;
        let Some(end) = end else {
            self.fail(now);
            return;
        };
        self.failures = 0;
        self.position = end.position;
        if end.changed {
            self.manifest_at = now;
        }
    }

    fn fail(&mut self, now: Time) {
        self.failures += 1;
        // The store may have lost the state to which the position refers, so the next watch
        // starts from zero.
        self.position = 0;
        self.retry_at = now + self.backoff(self.failures);
        self.manifest_at = self.manifest_at.max(self.retry_at);
    }

    fn backoff(&self, failures: u32) -> Duration {
        let longest = BASE_BACKOFF * 2_u32.pow(failures.min(MAX_BACKOFF_DOUBLINGS));
        longest / 2 + jitter(self.seed, u64::from(failures), longest / 2)
    }

    /// Starts a read of the manifest for a fetch, and returns false if a read is already running.
    pub(super) fn start_fetch_read(&mut self) -> bool {
        let free = !self.reading_manifest;
        self.reading_manifest = true;
        free
    }

    /// Starts a read of the manifest by a watcher if one is due, and returns whether it did.
    pub(super) fn start_manifest_read(&mut self, now: Time) -> bool {
        let due = !self.reading_manifest && self.manifest_at.is_past(now);
        if due {
            self.reading_manifest = true;
            self.manifest_at = now + REREAD_INTERVAL;
        }
        due
    }

    /// Starts a read of the manifest by a process other than a watcher if one is due.
    ///
    /// Returns whether it did. `unconfigured` means that the process has no configuration
    /// in force and fetches none.
    pub(super) fn start_fallback_read(
        &mut self,
        unconfigured: bool,
        fleet: usize,
        now: Time,
    ) -> bool {
        if !unconfigured {
            self.fallback_at = None;
            return false;
        }
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        let span = (FALLBACK_JITTER_PER_MEMBER.saturating_mul(fleet)).max(MIN_FALLBACK_JITTER);
        let seed = self.seed;
        let attempt = u64::from(self.failures);
        let due_at = self
            .fallback_at
            .get_or_insert_with(|| now + MIN_FALLBACK_JITTER + jitter(seed, attempt, span));
        if self.reading_manifest || !due_at.is_past(now) {
            return false;
        }
        self.fallback_at = None;
        self.reading_manifest = true;
        true
    }

    /// Handles the end of a read of the manifest.
    pub(super) fn end_manifest_read(&mut self, answered: bool, now: Time) {
        self.reading_manifest = false;
        if answered {
            self.failures = 0;
        } else {
            self.fail(now);
        }
    }

    /// Starts a read of the roster if one is due, and returns whether it did.
    ///
    /// `isolated` means that the process has no neighbours or that all of them are silent.
    pub(super) fn start_roster_read(&mut self, watcher: bool, isolated: bool, now: Time) -> bool {
        let wanted = watcher || isolated || self.address_check_at.is_past(now);
        let due = !self.reading_roster && self.roster_at.is_past(now) && wanted;
        if due {
            self.reading_roster = true;
        }
        due
    }

    /// Handles the end of a read of the roster.
    pub(super) fn end_roster_read(&mut self, answered: bool, watcher: bool, now: Time) {
        self.reading_roster = false;
        let watcher_answered = answered && watcher;
        if answered {
            let half = ADDRESS_CHECK_INTERVAL / 2;
            self.address_check_at = now + half + jitter(self.seed, now.as_millis(), half);
        }
        self.roster_attempts = if watcher_answered {
            0
        } else {
            self.roster_attempts + 1
        };
        let wait = match watcher_answered {
            true => ROSTER_INTERVAL,
            false => self.backoff(self.roster_attempts),
        };
        self.roster_at = now + wait;
    }

    /// Brings the next read of the roster forward for a process that has become a watcher.
    pub(super) fn hasten_roster_read(&mut self, now: Time) {
        self.roster_at = self.roster_at.min(now + ROSTER_INTERVAL);
    }
}

/// Returns a duration below `span` that depends only on the seed and the attempt.
fn jitter(seed: u64, attempt: u64, span: Duration) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
    let hash = xxh3_64_with_seed(&attempt.to_le_bytes(), seed);
    Duration::from_micros(hash % micros)
}
