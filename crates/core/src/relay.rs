//! Which gateways follow the store, and which follow another gateway instead.
//!
//! If every gateway watched every list of the store, the calls would grow with the number
//! of gateways times the number of changes. In each data centre, a few gateways (the
//! relays) watch the store, and the others follow one of them: they ask it for the
//! changes since the revision that they have. Revisions are the store's, so a follower
//! can change between a relay and the store at any answer and misses nothing.
//!
//! There is no election. Each gateway computes the relays from the members that it knows
//! by rendezvous hashing. Gateways that know different members may choose different
//! relays, or follow each other in a cycle. Both are harmless, because an answer carries
//! the age of what it says: a follower accepts an answer only if it is recent enough for
//! the bound of its kind. Otherwise, and when the relay does not answer in time, it asks
//! the store itself and avoids the relay for a while, longer after each failure. It does
//! not turn to the next member in rank: that one is a follower itself, and its state is
//! older than its relay's.
//!
//! The gossip of [`spread`](crate::spread) has the same purpose for configurations that
//! must be in force within 19 seconds, and takes as long to replace a silent watcher.
//! Here the bounds are two to five seconds and apply to lists with revisions, whose
//! changes must be neither missed nor applied twice.
//!
//! Answers the load pattern in which hundreds of gateways follow lists that change many
//! times a second.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{Time, freshness::Answer};

/// The number of gateways of a data centre for which there is one relay. Each follower
/// asks about five times a second in all.
const MEMBERS_PER_RELAY: usize = 16;

/// The minimum number of gateways in a data centre with a relay. Fewer save too few
/// calls.
const MIN_MEMBERS: usize = 4;

/// How long a relay is avoided after its first failure: about as long as a restart takes.
/// The time doubles with each further failure.
const MIN_AVOIDANCE: Duration = Duration::from_secs(3);

/// The maximum number of times that the time doubles. After the longest, a relay that is
/// gone is no longer a member.
const MAX_DOUBLINGS: u32 = 4;

/// How long a follower asks a relay to wait for a change, as a share of the bound.
const WAIT_SHARE: f64 = 0.2;

/// The timeout of a relay beyond the wait, as a share of the bound.
const TIMEOUT_SHARE: f64 = 0.1;

/// The maximum age of an answer, as a share of the bound. Together with the
/// spacing, the wait and the timeout, it leaves three tenths of the bound to ask the store.
const AGE_SHARE: f64 = 0.3;

/// The minimum time between two answers to a follower, as a share of the bound, which
/// combines the changes of many endpoints into one answer.
const SPACING_SHARE: f64 = 0.1;

/// The share of a bound within which a watch that has gone silent is given up and made again.
/// The rest is for the new connection on a VM that is short of processor time.
const SILENCE_SHARE: f64 = 0.85;

/// The shortest wait of a watch whatever the bound, so that the store is not asked all the time.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(300);

/// Returns how long a watch may wait for changes that must take effect within `bound`, also if
/// nothing arrives any more on its connection. The store may then have lost the answer, or the
/// network the connection; a watch without an answer shows it only when `timeout` beyond the
/// wait has passed, and is made again after `retry_delay`.
pub fn watch_wait(bound: Duration, timeout: Duration, retry_delay: Duration) -> Duration {
    let wait = bound.mul_f64(SILENCE_SHARE);
    let wait = wait.saturating_sub(timeout + retry_delay);
    wait.max(MIN_WATCH_WAIT)
}

/// A gateway that may be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The name of its VM.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The address on which it answers other gateways.
    pub address: SocketAddr,
}

/// Where a gateway learns of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From this gateway.
    Relay(Member),
}

/// The times that keep a kind of object within its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a call waits for a change.
    pub wait: Duration,
    /// How long a relay may take beyond the wait.
    pub timeout: Duration,
    /// The maximum age of an answer.
    pub max_age: Duration,
    /// The minimum time between two answers.
    pub spacing: Duration,
}

impl Limits {
    /// Returns the limits of a kind whose changes must take effect within `bound`.
    pub fn new(bound: Duration) -> Limits {
        Limits {
            wait: bound.mul_f64(WAIT_SHARE),
            timeout: bound.mul_f64(TIMEOUT_SHARE),
            max_age: bound.mul_f64(AGE_SHARE),
            spacing: bound.mul_f64(SPACING_SHARE),
        }
    }

    /// Returns whether an answer of a relay is recent enough to be relied on.
    pub fn accepts(&self, answer: &Answer) -> bool {
        answer.age() <= self.max_age
    }
}

/// The relays of one gateway.
#[derive(Clone, Debug)]
pub struct Plan {
    own: Arc<str>,
    data_centre: Arc<str>,
    /// The relays of the data centre.
    relays: Vec<Member>,
    /// Consecutive failures of the relay of this gateway.
    failures: u32,
    /// Until when the store is asked instead of the relay.
    avoided_until: Time,
}

impl Plan {
    /// Returns the plan of a gateway that knows no other.
    pub fn new(own: &Arc<str>, data_centre: &Arc<str>) -> Plan {
        Plan {
            own: Arc::clone(own),
            data_centre: Arc::clone(data_centre),
            relays: Vec::new(),
            failures: 0,
            avoided_until: Time::ZERO,
        }
    }

    /// Replaces the known members.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        let is_near = |member: &Member| member.data_centre == self.data_centre;
        let mut ranked: Vec<Member> = members.into_iter().filter(is_near).collect();
        ranked.sort_by_cached_key(|member| {
            (xxh3_64(member.name.as_bytes()), Arc::clone(&member.name))
        });
        ranked.dedup_by(|a, b| a.name == b.name);
        let count = if ranked.len() < MIN_MEMBERS {
            0
        } else {
            ranked.len().div_ceil(MEMBERS_PER_RELAY)
        };
        ranked.truncate(count);
        self.relays = ranked;
    }

    /// Records that the relay failed or was too old.
    pub fn record_failure(&mut self, now: Time) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.avoided_until = now + MIN_AVOIDANCE * 2u32.pow(doublings);
    }

    /// Records that the relay has answered.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Returns where this gateway learns of changes.
    pub fn source(&self, now: Time) -> Source {
        if self.is_relay() || !self.avoided_until.is_past(now) {
            return Source::Store;
        }
        // Each follower prefers another relay, so that the relays share the followers.
        let preference =
            |relay: &&Member| xxh3_64(format!("{} {}", relay.name, self.own).as_bytes());
        let chosen = self.relays.iter().max_by_key(preference);
        chosen.map_or(Source::Store, |relay| Source::Relay(relay.clone()))
    }

    /// Returns whether other gateways may follow this one.
    pub fn is_relay(&self) -> bool {
        self.relays.iter().any(|relay| relay.name == self.own)
    }
}
