//! Finds requests that crash the endpoints that run them.
//!
//! When an endpoint crashes, any of the requests in flight may be the cause, so
//! each of them becomes a [`Suspect`]. Suspects are still served, under rules that
//! let the next crash narrow down the cause:
//!
//! * A suspect runs under a [`Lease`] in the store, which at most one agent has
//!   at a time, so retries never put two endpoints at risk at once.
//! * Suspects of one crash run in small groups, separate from each other. Those of
//!   two crashes run with no other suspect beside them ([`Tracker::has_room`]). With
//!   hundreds of requests in flight at the first crash, the second crash leaves
//!   one group and the third leaves one request.
//! * At [`MAX_CRASHES`] a suspect is refused everywhere until its deadline.
//! * A suspect that ends without a crash is cleared.
//!
//! The list of [`Suspects`] is one object of bounded size. It changes only when an
//! endpoint crashes or a suspect is cleared, so every agent can follow it with one
//! watch. Leases are separate objects, because they change far more often and
//! matter only to the agents that want to run the same suspect.
//!
//! # Trade-offs
//!
//! The version of a lease object is its fencing token: an agent whose lease was
//! taken over cannot release that of its successor. The run itself cannot be
//! fenced at an endpoint, so a lease lasts beyond the deadline of its request and
//! is never renewed. A lease that expires without being released counts as a
//! crash, since the agent may have gone down with its endpoint. A harmless request
//! is refused only if it was in flight during `MAX_CRASHES` crashes, of which the
//! last two had few suspects running.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Time,
    digest::Digest,
    refusal::{Effect, Kind, Refusal},
};

/// The number of crashes after which a request is refused everywhere.
pub const MAX_CRASHES: u32 = 3;
/// The number of recent crashes whose IDs the list keeps.
const MAX_CRASH_IDS: usize = 256;
/// The key of the list in the store.
pub const LIST_KEY: &str = "blame/suspects";

/// Returns the key of the lease of a suspect in the store.
pub fn lease_key(digest: Digest) -> String {
    format!("blame/hold/{digest}")
}

/// The configuration of crash attribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a request is suspect after its last crash; stored as a deadline.
    pub suspect_ttl: Duration,
    /// The maximum number of suspects on the list.
    pub max_suspects: usize,
    /// The number of groups into which the suspects of one crash are divided.
    pub groups: usize,
    /// How long a lease outlasts the deadline of its request.
    pub lease_grace: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            suspect_ttl: Duration::from_secs(600),
            max_suspects: 4_096,
            groups: 16,
            lease_grace: Duration::from_secs(10),
        }
    }
}

/// A request that was in flight during a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The digest of the route and the body of the request.
    pub digest: Digest,
    /// The number of crashes during which it was in flight.
    pub crashes: u32,
    /// The deadline after which it is no longer suspect.
    pub until: Time,
}

impl Suspect {
    /// Returns whether the request is refused everywhere.
    pub fn is_blocked(&self) -> bool {
        self.crashes >= MAX_CRASHES
    }
}

/// The list of suspects, as stored.
///
/// # Examples
///
/// ```
/// use cactusroad_core::{Time, blame::{Config, Suspects}, digest::Digest};
///
/// let now = Time::from_millis(1);
/// let mut list = Suspects::default();
/// list.record_crash(77, &[Digest(1), Digest(2)], &Config::default(), now);
/// list.clear(Digest(2));
/// assert_eq!(list.find(Digest(1), now).map(|s| s.crashes), Some(1));
/// assert!(list.find(Digest(2), now).is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// Sorted by digest.
    suspects: Vec<Suspect>,
    /// The IDs of recent crashes, so that a repeated write counts no crash twice.
    noted: Vec<u64>,
}

impl Suspects {
    /// Returns the suspects, sorted by digest.
    pub fn suspects(&self) -> &[Suspect] {
        &self.suspects
    }

    /// Returns the suspect with this digest unless it has expired at `now`.
    pub fn find(&self, digest: Digest, now: Time) -> Option<&Suspect> {
        let index = self.position(digest).ok()?;
        Some(&self.suspects[index]).filter(|suspect| !suspect.until.is_past(now))
    }

    /// Records a crash with a random ID and the requests that were in flight.
    ///
    /// A crash that is already recorded changes nothing, so a write whose response
    /// was lost may be repeated.
    ///
    /// If the list is full, the suspects with the fewest crashes are dropped first,
    /// and among those the ones with the earliest deadline.
    pub fn record_crash(
        &mut self,
        crash_id: u64,
        in_flight: &[Digest],
        config: &Config,
        now: Time,
    ) {
        if self.noted.contains(&crash_id) {
            return;
        }
        self.noted.push(crash_id);
        let surplus = self.noted.len().saturating_sub(MAX_CRASH_IDS);
        self.noted.drain(..surplus);
        self.prune(now);
        let until = now + config.suspect_ttl;
        let mut digests = in_flight.to_vec();
        digests.sort_unstable();
        digests.dedup();
        for digest in digests {
            match self.position(digest) {
                Ok(index) => {
                    self.suspects[index].crashes += 1;
                    self.suspects[index].until = until;
                }
                Err(index) => {
                    let crashes = 1;
                    let suspect = Suspect {
                        digest,
                        crashes,
                        until,
                    };
                    self.suspects.insert(index, suspect);
                }
            }
        }
        self.truncate_to(config.max_suspects);
    }

    /// Removes a suspect that ended without a crash, unless it is refused already.
    pub fn clear(&mut self, digest: Digest) {
        self.suspects
            .retain(|suspect| suspect.digest != digest || suspect.is_blocked());
    }

    /// Removes expired suspects.
    pub fn prune(&mut self, now: Time) {
        self.suspects.retain(|suspect| !suspect.until.is_past(now));
    }

    fn truncate_to(&mut self, max: usize) {
        if self.suspects.len() <= max {
            return;
        }
        self.suspects.sort_by_key(|suspect| {
            (
                std::cmp::Reverse(suspect.crashes),
                std::cmp::Reverse(suspect.until),
            )
        });
        self.suspects.truncate(max);
        self.suspects.sort_by_key(|suspect| suspect.digest);
    }

    fn position(&self, digest: Digest) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&digest, |suspect| suspect.digest)
    }
}

/// An exclusive lease to run a suspect, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The process that holds the lease.
    pub holder: u64,
    /// The deadline of the lease.
    pub until: Time,
}

/// The result of asking for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquire {
    /// No lease exists: write this one, and run the suspect once the write has succeeded.
    Free(Lease),
    /// Another run holds the lease until this deadline.
    Busy(Time),
    /// The last lease expired without a release: write this one and record a crash.
    Expired(Lease),
}

impl Lease {
    /// Asks for the lease of a suspect whose request has this deadline.
    ///
    /// `current` is the lease in the store. A run that ends deletes its lease, so
    /// one that is still stored after its deadline was never released.
    pub fn acquire(
        current: Option<&Lease>,
        holder: u64,
        deadline: Time,
        config: &Config,
        now: Time,
    ) -> Acquire {
        let next = Lease {
            holder,
            until: deadline + config.lease_grace,
        };
        match current {
            None => Acquire::Free(next),
            Some(lease) if lease.until.is_past(now) => Acquire::Expired(next),
            Some(lease) => Acquire::Busy(lease.until),
        }
    }
}

/// The decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is not suspect.
    Allow,
    /// The request may run with a lease.
    Suspect,
    /// The request is refused.
    Refuse(Refusal),
}

/// A request that is in flight at the endpoint.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    /// The number that [`Tracker::start`] returned.
    number: u64,
    digest: Digest,
    /// Whether a reported crash has ended it.
    crash_reported: bool,
}

/// The state of one agent: its copy of the list and the requests at its endpoint.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    config: Config,
    list: Suspects,
    /// The requests in flight, sorted by number.
    in_flight: Vec<InFlight>,
    /// The suspects that have reserved a slot at the endpoint, with their numbers of
    /// crashes at that time.
    reserved: Vec<(Digest, u32)>,
    /// The number of the request that started last.
    last_number: u64,
}

impl Tracker {
    /// Returns a tracker with no suspects and no requests in flight.
    pub fn new(config: Config) -> Tracker {
        Tracker {
            config,
            ..Tracker::default()
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Replaces the list by one that was read from the store.
    pub fn replace(&mut self, list: Suspects) {
        self.list = list;
    }

    /// Decides whether a request may run.
    pub fn check(&self, digest: Digest, now: Time) -> Verdict {
        match self.list.find(digest, now) {
            None => Verdict::Allow,
            Some(suspect) if suspect.is_blocked() => Verdict::Refuse(blocked(suspect)),
            Some(_) => Verdict::Suspect,
        }
    }

    /// Returns whether this suspect may run beside those that run at the endpoint.
    pub fn has_room(&self, digest: Digest, now: Time) -> bool {
        let crashes = |digest| self.list.find(digest, now).map_or(0, |s| s.crashes);
        let own_crashes = crashes(digest);
        if self.reserved.is_empty() {
            return true;
        }
        let runs_alone = |crashes: u32| crashes + 1 >= MAX_CRASHES;
        if runs_alone(own_crashes)
            || self
                .reserved
                .iter()
                .any(|&(_, crashes)| runs_alone(crashes))
        {
            return false;
        }
        let grouped = self.list.suspects.iter().filter(|s| !runs_alone(s.crashes));
        self.reserved.len() < grouped.count().div_ceil(self.config.groups)
    }

    /// Reserves a slot at the endpoint for a suspect; see [`Tracker::has_room`].
    pub fn reserve(&mut self, digest: Digest, now: Time) {
        let crashes = self.list.find(digest, now).map_or(0, |s| s.crashes);
        self.reserved.push((digest, crashes));
    }

    /// Releases the slot that a suspect has reserved.
    pub fn release(&mut self, digest: Digest) {
        if let Some(index) = self.reserved.iter().position(|(d, _)| *d == digest) {
            self.reserved.swap_remove(index);
        }
    }

    /// Records that a request is passed to the endpoint, and returns its number.
    pub fn start(&mut self, digest: Digest) -> u64 {
        self.last_number += 1;
        self.in_flight.push(InFlight {
            number: self.last_number,
            digest,
            crash_reported: false,
        });
        self.last_number
    }

    /// Records that a request has left the endpoint.
    pub fn finish(&mut self, number: u64) {
        if let Ok(index) = self
            .in_flight
            .binary_search_by_key(&number, |request| request.number)
        {
            self.in_flight.remove(index);
        }
    }

    /// Returns the requests that ended in the crash that the request with this number
    /// has detected.
    ///
    /// Every request in flight detects the crash separately. The call for the
    /// first one returns all of them and the later calls return none, so that a
    /// crash is recorded once.
    pub fn take_crashed(&mut self, number: u64) -> Vec<Digest> {
        let index = self
            .in_flight
            .binary_search_by_key(&number, |request| request.number);
        if !index.is_ok_and(|index| !self.in_flight[index].crash_reported) {
            return Vec::new();
        }
        let ended = self
            .in_flight
            .iter_mut()
            .filter(|request| !request.crash_reported);
        ended
            .map(|request| {
                request.crash_reported = true;
                request.digest
            })
            .collect()
    }

    /// Records a crash in the local copy of the list, before the store has it.
    pub fn record_crash(&mut self, crash_id: u64, in_flight: &[Digest], now: Time) {
        self.list
            .record_crash(crash_id, in_flight, &self.config, now);
    }

    /// Removes a suspect from the local copy of the list, before the store does.
    pub fn clear(&mut self, digest: Digest) {
        self.list.clear(digest);
    }
}

/// Returns the refusal of a request that has reached [`MAX_CRASHES`].
fn blocked(suspect: &Suspect) -> Refusal {
    Refusal::new(
        Kind::CrashesEndpoints,
        Effect::NotRun,
        format!(
            "The request was in flight during {} endpoint crashes.",
            suspect.crashes
        ),
        "Change the request or report it to the operators; it is refused until the stated time.",
    )
    .retry_at(suspect.until)
}

/// Returns the refusal of a suspect whose lease is held for another run.
pub fn busy(until: Time) -> Refusal {
    Refusal::new(
        Kind::CrashesEndpoints,
        Effect::NotRun,
        "The request was in flight during an endpoint crash and is already being run elsewhere.",
        "Send it again after the stated time.",
    )
    .retry_at(until)
}

/// Returns the refusal of a suspect whose lease could not be obtained from the store.
pub fn lease_unavailable(retry_at: Time) -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::NotRun,
        "The request was in flight during an endpoint crash, and the store granted no lease to run it.",
        "Send it again after the stated time.",
    )
    .retry_at(retry_at)
}

/// Returns the refusal of a request that was or became a suspect before it could start.
pub fn newly_suspected(retry_at: Time) -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::NotRun,
        "An identical request was in flight during an endpoint crash before this one could start.",
        "Send it again after the stated time.",
    )
    .retry_at(retry_at)
}
