//! The record of a process, and how copies of it are merged.
//!
//! A record has three sources. The roster, the platform's list of VMs, lags. What
//! a process reports of itself is more recent: its [`Incarnation`], whether it is
//! leaving or in its cold start, and which versions it holds. What its peers
//! observe is more recent still, but a single peer may be wrong, because a single
//! link can stall.
//!
//! # Rules
//!
//! A [`Member`] is a state-based CRDT: the join is idempotent, commutative and
//! associative, so records may arrive late, repeatedly and in any order.
//!
//! * A higher incarnation replaces a lower one entirely, and a lower one is
//!   ignored. Incarnation zero is a VM that only the roster knows.
//! * Within an incarnation, a higher sequence replaces what the process reported
//!   before. Only the process itself increments its sequence.
//! * `leaving` is sticky: once set, no record resets it within the incarnation.
//! * The leaving state from the roster holds until a deadline, which is renewed
//!   as long as the roster shows it; of two deadlines the later counts. It isn't
//!   sticky, because a lagging roster may refer to an earlier VM of the same name.
//! * Observations of peers, which are each [`Suspicion`] and the removal deadline,
//!   belong to one incarnation and sequence. A live process that learns of them
//!   refutes them by incrementing its sequence.
//!
//! Suspicions are bounded in time by their deadlines and in number by
//! [`MAX_SUSPICIONS`]. A record keeps those with the smallest [`Suspicion::peer`]. The
//! smallest of a union are among the smallest of its parts, so the bound preserves the
//! laws of the join. A process counts as suspected once more than one peer suspects
//! it, or a single peer in the smallest fleets.
//!
//! # Removal
//!
//! A process that is not on the roster *and* is suspected by its peers gets a
//! removal deadline. Every process that has the record drops it then, and keeps a
//! tombstone with the incarnation and sequence for a while, so that a late copy
//! doesn't restore the record. If the process is alive after all, its next
//! sequence restores the record.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, id::Incarnation, member::{Member, Role}};
//!
//! let address = "127.0.0.1:7000".parse().unwrap();
//! let now = Time::from_millis(1);
//! let mut known = Member::new("entry-1", Role::Entry, address, "sousse");
//! known.incarnation = Incarnation(7);
//! let mut received = known.clone();
//! received.sequence = 1;
//! received.leaving = true;
//! assert!(known.join(&received, now));
//! assert!(known.leaving);
//! assert!(!known.join(&received, now));
//! ```

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, FromRepr};
use xxhash_rust::xxh3::Xxh3;

use crate::{Time, id::Incarnation};

/// The maximum number of suspicions that a record keeps.
pub const MAX_SUSPICIONS: usize = 3;
/// How long a suspicion lasts unless its peer renews it.
pub const SUSPICION_TTL: Duration = Duration::from_secs(30);
/// How long a VM counts as leaving unless the roster is read again and still says so.
pub const LEAVING_TTL: Duration = Duration::from_secs(30);
/// How long the roster may lag behind the start of a process.
pub const MAX_ROSTER_LAG: Duration = Duration::from_secs(60);
/// The time from marking a record for removal to dropping it.
pub const REMOVAL_DELAY: Duration = Duration::from_secs(60);
/// The largest fleet in which one suspicion is enough.
const MAX_SINGLE_SUSPICION_FLEET: usize = 3;

/// The role of a process.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    FromRepr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Role {
    /// An entry, which terminates callers.
    Entry = 1,
    /// An agent beside an endpoint.
    Endpoint = 2,
}

/// A suspicion by a peer, which has not heard from the process for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    /// The hash of the name of the peer.
    pub peer: u32,
    /// When the suspicion expires.
    pub until: Time,
}

/// The record of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the VM on which the process runs.
    pub name: Arc<str>,
    /// The start of the process; zero if only the roster knows the process.
    pub incarnation: Incarnation,
    /// The number of updates that the process has published in this incarnation.
    pub sequence: u64,
    /// The role of the process.
    pub role: Role,
    /// The address at which peers reach the process.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: Arc<str>,
    /// Whether the process accepts no new work because it will stop.
    pub leaving: bool,
    /// Whether the endpoint is in its cold start.
    pub cold: bool,
    /// The versions loaded at the endpoint, sorted.
    pub versions: Vec<Arc<str>>,
    /// The suspicions of peers, sorted by peer.
    pub doubts: Vec<Suspicion>,
    /// The deadline at which the record is dropped unless the process is heard from.
    pub remove_at: Option<Time>,
    /// The deadline until which the process counts as leaving because of the roster.
    pub leaving_until: Option<Time>,
}

impl Member {
    /// Returns the record of a process that only the roster knows.
    pub fn new(
        name: impl Into<Arc<str>>,
        role: Role,
        address: SocketAddr,
        data_centre: impl Into<Arc<str>>,
    ) -> Member {
        Member {
            name: name.into(),
            incarnation: Incarnation(0),
            sequence: 0,
            role,
            address,
            data_centre: data_centre.into(),
            leaving: false,
            cold: false,
            versions: Vec::new(),
            doubts: Vec::new(),
            remove_at: None,
            leaving_until: None,
        }
    }

    /// Returns whether the process has ever published a record of itself.
    pub fn is_heard(&self) -> bool {
        self.incarnation.0 > 0
    }

    /// Returns whether enough peers suspect the process, in a fleet of `fleet` processes.
    pub fn is_suspected(&self, fleet: usize, now: Time) -> bool {
        let needed = if fleet <= MAX_SINGLE_SUSPICION_FLEET {
            1
        } else {
            2
        };
        let active = self
            .doubts
            .iter()
            .filter(|suspicion| !suspicion.until.is_past(now));
        active.count() >= needed
    }

    /// Returns whether the process had run for at least `age` at `now`.
    fn is_older_than(&self, age: Duration, now: Time) -> bool {
        (Time::from_micros(self.incarnation.0) + age).is_past(now)
    }

    /// Merges another record of the same process and returns whether this one changed.
    ///
    /// Expired suspicions are not merged.
    pub fn join(&mut self, other: &Member, now: Time) -> bool {
        debug_assert_eq!(self.name, other.name);
        if other.incarnation < self.incarnation {
            return false;
        }
        if other.incarnation > self.incarnation {
            *self = other.clone();
            self.doubts
                .retain(|suspicion| !suspicion.until.is_past(now));
            return true;
        }
        let before = self.digest();
        let leaving = self.leaving || other.leaving;
        let leaving_until = self.leaving_until.max(other.leaving_until);
        if other.sequence > self.sequence {
            *self = other.clone();
            self.doubts
                .retain(|suspicion| !suspicion.until.is_past(now));
        } else if other.sequence == self.sequence {
            self.join_reported(other);
            self.join_observed(other, now);
        }
        self.leaving = leaving;
        self.leaving_until = leaving_until;
        self.digest() != before
    }

    /// Merges the fields that the process reports, for records of equal sequence.
    ///
    /// They differ only if the address changed of a VM that only the roster
    /// knows, or if the process is faulty, so any total order will do.
    fn join_reported(&mut self, other: &Member) {
        let this = (
            self.role,
            self.address,
            &self.data_centre,
            self.cold,
            &self.versions,
        );
        let that = (
            other.role,
            other.address,
            &other.data_centre,
            other.cold,
            &other.versions,
        );
        if that > this {
            self.role = other.role;
            self.address = other.address;
            self.data_centre = Arc::clone(&other.data_centre);
            self.cold = other.cold;
            self.versions.clone_from(&other.versions);
        }
    }

    /// Merges the observations of peers, for records of equal sequence.
    fn join_observed(&mut self, other: &Member, now: Time) {
        for suspicion in &other.doubts {
            self.suspect(*suspicion, now);
        }
        self.remove_at = match (self.remove_at, other.remove_at) {
            (Some(this), Some(that)) => Some(this.min(that)),
            (this, that) => this.or(that),
        };
    }

    /// Adds a suspicion; of two by the same peer, the later deadline counts.
    pub fn suspect(&mut self, suspicion: Suspicion, now: Time) {
        if suspicion.until.is_past(now) {
            return;
        }
        match self
            .doubts
            .binary_search_by_key(&suspicion.peer, |held| held.peer)
        {
            Ok(index) => self.doubts[index].until = self.doubts[index].until.max(suspicion.until),
            Err(index) => self.doubts.insert(index, suspicion),
        }
        self.doubts.truncate(MAX_SUSPICIONS);
    }

    /// Drops the suspicions and the leaving state from the roster that have expired.
    pub fn expire(&mut self, now: Time) {
        self.doubts
            .retain(|suspicion| !suspicion.until.is_past(now));
        self.leaving_until = self.leaving_until.filter(|until| !until.is_past(now));
    }

    /// Returns whether [`Member::expire`] would drop anything.
    pub fn is_stale(&self, now: Time) -> bool {
        let expired_suspicion = self
            .doubts
            .iter()
            .any(|suspicion| suspicion.until.is_past(now));
        expired_suspicion || self.leaving_until.is_some_and(|until| until.is_past(now))
    }

    /// Returns whether the process is leaving, as reported by itself or by the roster.
    pub fn is_leaving(&self, now: Time) -> bool {
        self.leaving || self.leaving_until.is_some_and(|until| !until.is_past(now))
    }

    /// Records that the roster lists this VM as leaving.
    ///
    /// The deadline is renewed only in the second half of its lifetime, so that not
    /// every read of the roster changes the record.
    pub fn set_roster_leaving(&mut self, now: Time) {
        let ends_soon = |until: Time| until.is_past(now + LEAVING_TTL / 2);
        if self.leaving_until.is_none_or(ends_soon) {
            self.leaving_until = Some(now + LEAVING_TTL);
        }
    }

    /// Marks a process that is not on the roster for removal if its peers suspect it.
    ///
    /// `fleet` is the number of processes; see [`Member::is_suspected`].
    ///
    /// A process younger than [`MAX_ROSTER_LAG`] isn't marked, because the roster may
    /// not list it yet.
    pub fn mark_for_removal(&mut self, fleet: usize, now: Time) {
        let removable = self.is_suspected(fleet, now) && self.is_older_than(MAX_ROSTER_LAG, now);
        if removable && self.remove_at.is_none() {
            self.remove_at = Some(now + REMOVAL_DELAY);
        }
    }

    /// Returns a hash of all fields of the record.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        std::hash::Hash::hash(self, &mut hasher);
        hasher.digest()
    }
}
