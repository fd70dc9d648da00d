//! Limits on the tokens per second of a workspace, enforced across many entries.
//!
//! No counter is shared on the request path. Each entry holds a token bucket for each
//! workspace that it serves, and refills it at the rate of a *lease*: a part of the
//! limit, granted until a deadline. One entry, the *home* of the workspace, grants the
//! leases ([`Lessor`]). It is chosen by rendezvous hashing over the entries ([`home`]),
//! so no election is needed and different workspaces have different homes. Entries
//! renew their leases in the background ([`Limiter::renewals`]) and report the demand
//! that they see, so the parts follow demand within a few seconds. The number of
//! messages grows with the workspaces active at each entry, not with the product of
//! entries and workspaces.
//!
//! # How far the limit can be exceeded
//!
//! The unexpired leases of one home never add up to more than the limit. With a limit
//! of `l` tokens a second and one home, where `burst` is [`Config::burst_ms`] and
//! `start` is [`Config::start_ms`], both in seconds:
//!
//! * In any span of `t` seconds the entries admit at most `l * t` tokens, plus a burst
//!   of `l * burst`, plus `l * start` for each entry that begins to serve the workspace
//!   within the span.
//! * Generation lengths are not known in advance: an entry charges the mean length on
//!   admission and the rest as it is generated. Running generations can therefore drive
//!   a bucket into debt by what exceeds the mean. The debt is repaid before the next
//!   request is admitted.
//! * After a change of home, a lease of the old home can overlap with those of the new
//!   one for at most the rest of its duration. Entries report the rate that they hold
//!   to the new home, which grants them no more than that at first.
//! * An entry whose lease has expired because no home answers uses an equal part of the
//!   limit. While some entries reach a home and others do not, up to twice the limit can
//!   be admitted. Groups of entries that are partitioned from each other have a home
//!   each.
//!
//! The alternative, in which every entry sends its usage to every other, was rejected:
//! at 380 entries its messages alone would exceed the budget for control traffic.
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

/// Parameters of the limiters and lessors.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The duration of a lease, in milliseconds; 6,000 by default.
    pub lease_ms: u64,
    /// The interval between renewals, in milliseconds; 2,000 by default.
    pub renew_ms: u64,
    /// The burst that a bucket can accumulate, in milliseconds of its rate; 1,000 by
    /// default.
    pub burst_ms: u64,
    /// The initial balance of a bucket, in milliseconds of the whole limit; 200 by
    /// default. An entry can admit this much before its first lease.
    pub start_ms: u64,
    /// The fraction of the limit that is not leased to the current holders, so that
    /// another entry can get a lease at once; 0.1 by default.
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

/// An entry's request to obtain or renew a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The entry that renews.
    pub process: Arc<str>,
    /// The limit in the entry's configuration, in tokens per second.
    pub limit: u64,
    /// The demand at the entry, in tokens per second.
    pub demand: f64,
    /// The rate of the entry's current lease, in tokens per second; 0 without one.
    pub held: f64,
}

/// A part of a limit, granted to one entry until a deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The granted rate, in tokens per second.
    pub rate: f64,
    /// When the lease expires.
    pub until: Time,
}

/// The tokens that one request has generated so far, and what is left of those
/// charged in advance.
#[derive(Debug, PartialEq)]
#[must_use = "pass it to `Limiter::finish`, which refunds the unused advance"]
pub struct Grant {
    /// The tokens charged in advance and not yet generated.
    prepaid: f64,
    /// The tokens generated so far.
    generated: f64,
}

/// A workspace exceeds its limit; the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("workspace exceeds its limit on tokens per second; retry after {retry_at}")]
pub struct Exceeded {
    /// When the bucket is expected to have tokens again.
    pub retry_at: Time,
}

/// Returns the entry that grants the leases of a workspace, or `None` without entries.
pub fn home<'a>(workspace: &str, entries: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    let key = xxh3_64_with_seed(workspace.as_bytes(), 0);
    entries
        .iter()
        .max_by_key(|entry| xxh3_64_with_seed(entry.as_bytes(), key))
}
