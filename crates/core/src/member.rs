//! The list of processes, as each process believes it.
//!
//! Three sources say what runs where. The platform's list of VMs lags. What a
//! process says of itself is fresher: its [`Incarnation`], whether it leaves or
//! is cold, what it holds. What its peers see of it is fresher still, but one
//! peer may be wrong, because a single link can stall.
//!
//! # Rules
//!
//! A [`Member`] is a state with a join: merging is idempotent, commutative and
//! associative, so records may arrive late, twice and in any order.
//!
//! * A higher incarnation replaces a lower one whole, and a lower one is
//!   rejected. An incarnation of zero is a VM that only the list knows.
//! * Within an incarnation a higher sequence, which only the process itself
//!   counts up, replaces what the process said before.
//! * `leaving` is sticky within an incarnation: no record takes it back.
//! * What the list says of leaving holds for as long as watchers go on reading
//!   it there: a deadline, of which the later counts. It isn't sticky, because a
//!   lagging list may speak of an earlier VM of the same name.
//! * Observations of others, a [`Doubt`] of a peer and the deadline of removal,
//!   belong to one incarnation and sequence. A process that hears of them and
//!   lives refutes them by counting its sequence up.
//!
//! Doubts are bounded twice: each ends at its deadline, and a record keeps at
//! most [`MAX_DOUBTS`]. The ones with the smallest keys are kept, since the
//! smallest keys of a union are found among the smallest keys of its parts, and
//! the bound therefore doesn't break the join. More than one peer must doubt a
//! process before it counts as suspected, except in the smallest fleets.
//!
//! # Removal
//!
//! A process that the list no longer names *and* that its peers suspect gets a
//! deadline of removal. All who hold the record drop it then, and remember its
//! incarnation and sequence for a while so that a late record doesn't bring it
//! back. A record that is dropped although its process lives comes back with
//! the next sequence of that process.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, id::Incarnation, member::{Member, Role}};
//!
//! let address = "127.0.0.1:7000".parse().unwrap();
//! let now = Time::from_millis(1);
//! let mut held = Member::new("entry-1", Role::Entry, address, "sousse");
//! held.incarnation = Incarnation(7);
//! let mut heard = held.clone();
//! heard.sequence = 1;
//! heard.leaving = true;
//! assert!(held.join(&heard, now));
//! assert!(held.leaving);
//! assert!(!held.join(&heard, now));
//! ```

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, FromRepr};
use xxhash_rust::xxh3::Xxh3;

use crate::{Time, id::Incarnation};

/// The most doubts that one record keeps.
pub const MAX_DOUBTS: usize = 3;
/// How long a doubt lasts unless its peer renews it.
pub const DOUBT_LIFETIME: Duration = Duration::from_secs(30);
/// How long the list's word that a VM leaves holds unless it is read again.
pub const LEAVING_LIFETIME: Duration = Duration::from_secs(30);
/// How long the list may lag behind the start of a process.
pub const LIST_LAG: Duration = Duration::from_secs(60);
/// The time from the mark of removal to the removal.
pub const REMOVAL_DELAY: Duration = Duration::from_secs(60);
/// The largest fleet in which one doubt is enough.
const MAX_SINGLE_DOUBT_FLEET: usize = 3;

/// What a process does.
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
    /// An entry for callers.
    Entry = 1,
    /// An agent beside an endpoint.
    Endpoint = 2,
}

/// A peer that has not heard a process for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Doubt {
    /// The hash of the doubting peer's name.
    pub peer: u32,
    /// When the doubt ends.
    pub until: Time,
}

/// One process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the VM that carries the process.
    pub name: Arc<str>,
    /// The life of the process; zero where only the list knows it.
    pub incarnation: Incarnation,
    /// Counts what the process has said of itself in this life.
    pub sequence: u64,
    /// What the process does.
    pub role: Role,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// The data centre that holds it.
    pub data_centre: Arc<str>,
    /// Whether it takes no new work because it will stop.
    pub leaving: bool,
    /// Whether its endpoint is in cold start.
    pub cold: bool,
    /// The versions that its endpoint holds, sorted.
    pub versions: Vec<Arc<str>>,
    /// The peers that do not hear it, sorted.
    pub doubts: Vec<Doubt>,
    /// When it is removed unless it is heard.
    pub remove_at: Option<Time>,
    /// Until when it counts as leaving because the list said so.
    pub leaving_until: Option<Time>,
}

impl Member {
    /// Returns a process that only the list knows.
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

    /// Tells whether the process itself has ever been heard.
    pub fn is_heard(&self) -> bool {
        self.incarnation.0 > 0
    }

    /// Tells whether enough peers fail to hear the process, in a fleet of this size.
    pub fn is_suspected(&self, fleet: usize, now: Time) -> bool {
        let needed = if fleet <= MAX_SINGLE_DOUBT_FLEET {
            1
        } else {
            2
        };
        let live = self.doubts.iter().filter(|doubt| !doubt.until.is_past(now));
        live.count() >= needed
    }

    /// Tells whether the process was running at least this long before `now`.
    fn is_older_than(&self, age: Duration, now: Time) -> bool {
        (Time::from_micros(self.incarnation.0) + age).is_past(now)
    }

    /// Merges another record of the same process and tells whether this one changed.
    ///
    /// Doubts that are over are not taken in.
    pub fn join(&mut self, other: &Member, now: Time) -> bool {
        debug_assert_eq!(self.name, other.name);
        if other.incarnation < self.incarnation {
            return false;
        }
        if other.incarnation > self.incarnation {
            *self = other.clone();
            self.doubts.retain(|doubt| !doubt.until.is_past(now));
            return true;
        }
        let before = self.digest();
        let leaving = self.leaving || other.leaving;
        let leaving_until = self.leaving_until.max(other.leaving_until);
        if other.sequence > self.sequence {
            *self = other.clone();
            self.doubts.retain(|doubt| !doubt.until.is_past(now));
        } else if other.sequence == self.sequence {
            self.join_said(other);
            self.join_seen(other, now);
        }
        self.leaving = leaving;
        self.leaving_until = leaving_until;
        self.digest() != before
    }

    /// Settles two records of one sequence that differ.
    ///
    /// Only the list's record of an unheard VM, whose address changed, or a
    /// fault of the process can bring this about; any total order serves.
    fn join_said(&mut self, other: &Member) {
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

    fn join_seen(&mut self, other: &Member, now: Time) {
        for doubt in &other.doubts {
            self.doubt(*doubt, now);
        }
        self.remove_at = match (self.remove_at, other.remove_at) {
            (Some(this), Some(that)) => Some(this.min(that)),
            (this, that) => this.or(that),
        };
    }

    /// Takes in one doubt; of one peer the later deadline counts.
    pub fn doubt(&mut self, doubt: Doubt, now: Time) {
        if doubt.until.is_past(now) {
            return;
        }
        match self.doubts.binary_search_by_key(&doubt.peer, |d| d.peer) {
            Ok(at) => self.doubts[at].until = self.doubts[at].until.max(doubt.until),
            Err(at) => self.doubts.insert(at, doubt),
        }
        self.doubts.truncate(MAX_DOUBTS);
    }

    /// Drops the doubts and the list's word of leaving that are over.
    pub fn expire(&mut self, now: Time) {
        self.doubts.retain(|doubt| !doubt.until.is_past(now));
        self.leaving_until = self.leaving_until.filter(|until| !until.is_past(now));
    }

    /// Tells whether [`Member::expire`] has something to drop.
    pub fn is_stale(&self, now: Time) -> bool {
        let doubted = self.doubts.iter().any(|doubt| doubt.until.is_past(now));
        doubted || self.leaving_until.is_some_and(|until| until.is_past(now))
    }

    /// Tells whether the process itself or the list says that it leaves.
    pub fn is_leaving(&self, now: Time) -> bool {
        self.leaving || self.leaving_until.is_some_and(|until| !until.is_past(now))
    }

    /// Takes in that the platform's list says that this VM leaves.
    pub fn listed_leaving(&mut self, now: Time) {
        let ends_soon = |until: Time| until.is_past(now + LEAVING_LIFETIME / 2);
        if self.leaving_until.is_none_or(ends_soon) {
            self.leaving_until = Some(now + LEAVING_LIFETIME);
        }
    }

    /// Marks the process for removal where the list has dropped it and its peers suspect it.
    pub fn unlisted(&mut self, fleet: usize, now: Time) {
        let gone = self.is_suspected(fleet, now) && self.is_older_than(LIST_LAG, now);
        if gone && self.remove_at.is_none() {
            self.remove_at = Some(now + REMOVAL_DELAY);
        }
    }

    /// Returns a hash of the whole record.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        std::hash::Hash::hash(self, &mut hasher);
        hasher.digest()
    }
}
