//! Limits of tokens a second for a workspace that many entries serve.
//!
//! No counter is shared on the path of a request. Each entry holds a token
//! bucket for each workspace that it serves, and fills it at a *rate lease*: a
//! part of the limit, until a deadline. One entry, the *home* of the workspace,
//! leases the parts out ([`Lessor`]); it is found by rendezvous hashing over the
//! entries, so it needs no election, and different workspaces have different
//! homes. Entries ask again in the background ([`Limiter::renewals`]) with the demand
//! that they see, so parts follow demand within a few seconds, and the messages
//! grow with the workspaces that are active at an entry, not with the product of
//! entries and workspaces.
//!
//! # How far the limit can be overshot
//!
//! A home never leases out more than the limit at any time, so with `e` entries
//! that serve the workspace, `l` tokens a second and one home:
//!
//! * In any span of `t` seconds the entries admit at most `l * t` tokens, a burst
//!   of `l * burst`, and `l * start` for each entry that begins to serve the
//!   workspace within the span.
//! * Lengths are unknown: an entry takes the mean length in advance and charges
//!   the rest as it comes. Generations that run may therefore drive a bucket into
//!   debt by what exceeds the mean. The debt is paid before more is admitted.
//! * When the home changes, a lease of the old one may run beside those of the
//!   new one for at most the rest of its term. Entries tell the new home what they
//!   hold, so they do not gain by the change themselves.
//! * An entry whose lease has lapsed because no home answers gets an equal part of
//!   the limit. While some entries reach a home and others do not, up to twice the
//!   limit can be admitted. Regions that lose each other have a home each.
//!
//! Sums of usage sent by every entry to every other were weighed as well: at 380
//! entries the messages alone would exceed the budget for control.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, limit::{Config, Lessor, Limiter}};
//!
//! let now = Time::from_millis(1);
//! let mut limiter = Limiter::new(Config::default(), "entry-1".into());
//! let mut lessor = Lessor::new(Config::default());
//! let mut grant = limiter.admit(&"sfax".into(), 1_000, 20, now).unwrap();
//! for renewal in limiter.renewals(now) {
//!     let lease = lessor.lease(&renewal, now);
//!     limiter.set_lease(&lease, now);
//! }
//! limiter.charge("sfax", &mut grant, 300, now);
//! limiter.finish("sfax", grant);
//! ```

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Time;

mod lessor;
mod limiter;

pub use lessor::Lessor;
pub use limiter::Limiter;

/// Parameters of the limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Milliseconds that a lease lasts; 6,000 by default.
    pub lease_ms: u64,
    /// Milliseconds after which an entry asks again; 2,000 by default.
    pub renew_ms: u64,
    /// Milliseconds of its rate that an entry can save up; 1,000 by default.
    pub burst_ms: u64,
    /// Milliseconds of the whole limit that an entry may give out before its
    /// first lease; 200 by default.
    pub start_ms: u64,
    /// The share of the limit that is kept back for entries that come new; 0.1 by
    /// default.
    pub reserve: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            lease_ms: 6_000,
            renew_ms: 2_000,
            burst_ms: 1_000,
            start_ms: 200,
            reserve: 0.1,
        }
    }
}

/// An entry's request for a part of a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The entry that asks.
    pub process: Arc<str>,
    /// The limit in force at the entry, in tokens a second.
    pub limit: u64,
    /// The demand that the entry sees, in tokens a second.
    pub demand: f64,
    /// The rate that the entry holds now, in tokens a second.
    pub held: f64,
}

/// A part of a limit until a deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The part, in tokens a second.
    pub rate: f64,
    /// When the lease ends.
    pub until: Time,
}

/// Tokens taken in advance for one request.
#[derive(Debug, PartialEq)]
#[must_use = "what is left of a grant goes back by `Limiter::finish`"]
pub struct Grant {
    prepaid: f64,
    charged: f64,
}

/// A workspace over its limit; the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the workspace is over its limit of tokens a second; repeat the request after {retry_at}")]
pub struct Exceeded {
    /// When a repeat is useful.
    pub retry_at: Time,
}

/// Returns the entry that leases out the limit of a workspace.
pub fn home<'a>(workspace: &str, entries: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    let key = xxh3_64_with_seed(workspace.as_bytes(), 0);
    entries
        .iter()
        .max_by_key(|entry| xxh3_64_with_seed(entry.as_bytes(), key))
}
