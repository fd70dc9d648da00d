//! Finds requests that crash the endpoints that run them.
//!
//! When an endpoint crashes, nobody can tell which of the requests in flight did
//! it, so each of them becomes a [`Suspect`]. Suspects are still served, in a way
//! that lets the next crash say more:
//!
//! * A suspect runs under a [`Hold`], an object of the store that at most one
//!   agent has at a time, so a repeat never puts two endpoints at risk at once.
//! * Suspects of one crash run in small groups, apart from each other, and those
//!   of two crashes run with no other suspect beside them ([`Board::has_room`]).
//!   With hundreds in flight at the first crash, the second leaves a group and
//!   the third leaves one.
//! * At [`MAX_CRASHES`] a suspect is refused everywhere until its deadline.
//! * A suspect that ends without a crash is cleared.
//!
//! The [`List`] of suspects is one object of bounded size. It changes at crashes
//! and when suspects are cleared, so every agent can follow it with one watch.
//! Holds are objects of their own, because they change far more often and matter
//! only to the agents that want the same suspect.
//!
//! # Trade-offs
//!
//! The version of a hold's object is its fencing number: whoever was overtaken
//! cannot end the hold of another. The run itself cannot be fenced at an endpoint,
//! so a hold lasts beyond the deadline of its request and is never renewed. A hold that lapses without a
//! word counts as a crash, since the agent may have gone down with its endpoint.
//! An innocent request is refused wrongly only where it was in flight at
//! `MAX_CRASHES` crashes, of which the last two had it among few suspects.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Time,
    digest::Digest,
    refusal::{Effect, Kind, Refusal},
};

/// The crashes after which a request is refused everywhere.
pub const MAX_CRASHES: u32 = 3;
/// The crashes whose names the list keeps.
const MAX_NOTED: usize = 256;
/// The name of the list in the store.
pub const LIST_KEY: &str = "blame/suspects";

/// Returns the name of the hold of a suspect in the store.
pub fn hold_key(digest: Digest) -> String {
    format!("blame/hold/{digest}")
}

/// The settings of the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a request stays suspect after a crash; becomes a deadline in the list.
    pub suspicion: Duration,
    /// The most suspects on the list.
    pub max_suspects: usize,
    /// The groups into which suspects of one crash are cut.
    pub groups: usize,
    /// How long a hold outlasts the deadline of its request.
    pub hold_grace: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            suspicion: Duration::from_secs(600),
            max_suspects: 4_096,
            groups: 16,
            hold_grace: Duration::from_secs(10),
        }
    }
}

/// A request that was in flight at a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The digest of its route and body.
    pub digest: Digest,
    /// The crashes at which it was in flight.
    pub crashes: u32,
    /// The deadline after which it is no suspect any more.
    pub until: Time,
}

impl Suspect {
    /// Tells whether the request is refused everywhere.
    pub fn is_convicted(&self) -> bool {
        self.crashes >= MAX_CRASHES
    }
}

/// The suspects, as they stand in the store.
///
/// # Examples
///
/// ```
/// use cactusroad_core::{Time, blame::{Config, List}, digest::Digest};
///
/// let now = Time::from_millis(1);
/// let mut list = List::default();
/// list.blame(77, &[Digest(1), Digest(2)], &Config::default(), now);
/// list.clear(Digest(2));
/// assert_eq!(list.find(Digest(1), now).map(|s| s.crashes), Some(1));
/// assert!(list.find(Digest(2), now).is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Sorted by digest.
    suspects: Vec<Suspect>,
    /// The last crashes that were noted, so that a repeated write counts none twice.
    noted: Vec<u64>,
}

impl List {
    /// Returns the suspects, sorted by digest.
    pub fn suspects(&self) -> &[Suspect] {
        &self.suspects
    }

    /// Finds a request that is suspect at `now`.
    pub fn find(&self, digest: Digest, now: Time) -> Option<&Suspect> {
        let at = self.position(digest).ok()?;
        Some(&self.suspects[at]).filter(|suspect| !suspect.until.is_past(now))
    }

    /// Notes a crash, named by a random number, with these requests in flight.
    ///
    /// A crash that was noted before changes nothing, so a write whose answer was
    /// lost may be repeated.
    ///
    /// Where the list is full, suspects of the fewest crashes and the earliest
    /// deadline are dropped first.
    pub fn blame(&mut self, crash: u64, in_flight: &[Digest], config: &Config, now: Time) {
        if self.noted.contains(&crash) {
            return;
        }
        self.noted.push(crash);
        let surplus = self.noted.len().saturating_sub(MAX_NOTED);
        self.noted.drain(..surplus);
        self.prune(now);
        let until = now + config.suspicion;
        let mut digests = in_flight.to_vec();
        digests.sort_unstable();
        digests.dedup();
        for digest in digests {
            match self.position(digest) {
                Ok(at) => {
                    self.suspects[at].crashes += 1;
                    self.suspects[at].until = until;
                }
                Err(at) => {
                    let crashes = 1;
                    let suspect = Suspect {
                        digest,
                        crashes,
                        until,
                    };
                    self.suspects.insert(at, suspect);
                }
            }
        }
        self.shrink(config.max_suspects);
    }

    /// Clears a request that ended without a crash; a convicted one stays.
    pub fn clear(&mut self, digest: Digest) {
        self.suspects
            .retain(|suspect| suspect.digest != digest || suspect.is_convicted());
    }

    /// Drops what is no longer suspect.
    pub fn prune(&mut self, now: Time) {
        self.suspects.retain(|suspect| !suspect.until.is_past(now));
    }

    fn shrink(&mut self, most: usize) {
        if self.suspects.len() <= most {
            return;
        }
        self.suspects.sort_by_key(|suspect| {
            (
                std::cmp::Reverse(suspect.crashes),
                std::cmp::Reverse(suspect.until),
            )
        });
        self.suspects.truncate(most);
        self.suspects.sort_by_key(|suspect| suspect.digest);
    }

    fn position(&self, digest: Digest) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&digest, |suspect| suspect.digest)
    }
}

/// The exclusive right to run a suspect, as it stands in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The process that has the hold.
    pub holder: u64,
    /// The deadline of the hold.
    pub until: Time,
}

/// What became of asking for a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// Write this hold; the suspect may run once that has succeeded.
    Free(Hold),
    /// Another run has the hold until the deadline.
    Busy(Time),
    /// The last hold lapsed without a word: write this hold and note a crash.
    Lapsed(Hold),
}

impl Hold {
    /// Asks for the hold of a suspect whose request has this deadline.
    ///
    /// A run that ends deletes its hold, so a hold that is there and past its
    /// deadline has lapsed.
    pub fn take(
        current: Option<&Hold>,
        holder: u64,
        deadline: Time,
        config: &Config,
        now: Time,
    ) -> Take {
        let next = Hold {
            holder,
            until: deadline + config.hold_grace,
        };
        match current {
            None => Take::Free(next),
            Some(hold) if hold.until.is_past(now) => Take::Lapsed(next),
            Some(hold) => Take::Busy(hold.until),
        }
    }
}

/// Whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is no suspect.
    Free,
    /// The request may run under a hold.
    Suspect,
    /// The request is refused.
    Refuse(Refusal),
}

/// A request in flight at the endpoint.
#[derive(Clone, Copy, Debug)]
struct Flight {
    number: u64,
    digest: Digest,
    /// Whether a crash has been noted that ended it.
    blamed: bool,
}

/// What one agent knows: its copy of the list and the requests at its endpoint.
#[derive(Clone, Debug, Default)]
pub struct Board {
    config: Config,
    list: List,
    /// The requests in flight, sorted by number.
    flights: Vec<Flight>,
    /// The suspects that may run here, with their crashes.
    running: Vec<(Digest, u32)>,
    /// The number of the last request.
    last: u64,
}

impl Board {
    /// Returns a board with no suspects.
    pub fn new(config: Config) -> Board {
        Board {
            config,
            ..Board::default()
        }
    }

    /// The settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Takes over a list that was read from the store.
    pub fn replace(&mut self, list: List) {
        self.list = list;
    }

    /// Says whether a request may run.
    pub fn check(&self, digest: Digest, now: Time) -> Verdict {
        match self.list.find(digest, now) {
            None => Verdict::Free,
            Some(suspect) if suspect.is_convicted() => Verdict::Refuse(convicted(suspect)),
            Some(_) => Verdict::Suspect,
        }
    }

    /// Tells whether the endpoint may take this suspect beside those that run there.
    pub fn has_room(&self, digest: Digest, now: Time) -> bool {
        let crashes = |digest| self.list.find(digest, now).map_or(0, |s| s.crashes);
        let mine = crashes(digest);
        if self.running.is_empty() {
            return true;
        }
        let solo = |crashes: u32| crashes + 1 >= MAX_CRASHES;
        if solo(mine) || self.running.iter().any(|&(_, crashes)| solo(crashes)) {
            return false;
        }
        let peers = self.list.suspects.iter().filter(|s| !solo(s.crashes));
        self.running.len() < peers.count().div_ceil(self.config.groups)
    }

    /// Takes room for a suspect.
    pub fn reserve(&mut self, digest: Digest, now: Time) {
        let crashes = self.list.find(digest, now).map_or(0, |s| s.crashes);
        self.running.push((digest, crashes));
    }

    /// Gives the room of a suspect back.
    pub fn release(&mut self, digest: Digest) {
        if let Some(at) = self.running.iter().position(|(d, _)| *d == digest) {
            self.running.swap_remove(at);
        }
    }

    /// Notes that a request is given to the endpoint, and returns its number.
    pub fn start(&mut self, digest: Digest) -> u64 {
        self.last += 1;
        self.flights.push(Flight {
            number: self.last,
            digest,
            blamed: false,
        });
        self.last
    }

    /// Notes that a request has left the endpoint.
    pub fn finish(&mut self, number: u64) {
        if let Ok(at) = self.flights.binary_search_by_key(&number, |f| f.number) {
            self.flights.remove(at);
        }
    }

    /// Notes a crash of the endpoint and returns the requests that it ended.
    ///
    /// Each request learns of the crash by itself; only the first gets them all,
    /// and the others none.
    pub fn crash(&mut self, number: u64) -> Vec<Digest> {
        let at = self.flights.binary_search_by_key(&number, |f| f.number);
        if !at.is_ok_and(|at| !self.flights[at].blamed) {
            return Vec::new();
        }
        let ended = self.flights.iter_mut().filter(|flight| !flight.blamed);
        ended
            .map(|flight| {
                flight.blamed = true;
                flight.digest
            })
            .collect()
    }

    /// Adds a crash to the own copy of the list, ahead of the store.
    pub fn blame(&mut self, crash: u64, in_flight: &[Digest], now: Time) {
        self.list.blame(crash, in_flight, &self.config, now);
    }

    /// Clears a suspect in the own copy of the list, ahead of the store.
    pub fn clear(&mut self, digest: Digest) {
        self.list.clear(digest);
    }
}

/// The refusal of a request that crashed endpoints.
fn convicted(suspect: &Suspect) -> Refusal {
    Refusal::new(
        Kind::CrashesEndpoints,
        Effect::NotRun,
        format!(
            "The request was in flight at {} crashes of endpoints.",
            suspect.crashes
        ),
        "Change the request, or report it to the operators; it is refused until the stated time.",
    )
    .retry_at(suspect.until)
}

/// The refusal of a suspect that runs at another endpoint.
pub fn busy(until: Time) -> Refusal {
    Refusal::new(
        Kind::CrashesEndpoints,
        Effect::NotRun,
        "The request was in flight at a crash of an endpoint and is being run elsewhere.",
        "Send it again after the stated time.",
    )
    .retry_at(until)
}

/// The refusal of a suspect while the store cannot give a hold.
pub fn unheld(retry_at: Time) -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::NotRun,
        "The request was in flight at a crash, and the store that guards its repeat is down.",
        "Send it again after the stated time.",
    )
    .retry_at(retry_at)
}

/// The refusal of a request that came under suspicion while it waited for room.
pub fn suspected(retry_at: Time) -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::NotRun,
        "An equal request was in flight at a crash while this one waited for room.",
        "Send it again after the stated time.",
    )
    .retry_at(retry_at)
}
