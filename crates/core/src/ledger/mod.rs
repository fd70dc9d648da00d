//! The ledger of idempotency keys: at most one dispatch per key.
//!
//! A caller that must not be served twice sends an `Idempotency-Key`. The agent
//! beside the service writes a *claim* of the key to the platform's store before
//! it gives the request to the endpoint, and the answer afterwards. Whoever
//! repeats the key gets the stored answer, or `unknown` while there is none.
//!
//! # Design
//!
//! The keys of a route are spread over [`PARTITIONS`] partitions by their
//! digest. A partition is a log, whose newest records stand in one object of the
//! store, the *head*. Every append is a conditional update of the head at the
//! version that the writer has read, and the writer folds all records up to that
//! version first. This update is the only guard: two agents that both think that
//! a partition is theirs cannot both append a claim of the same key, since the
//! later one must read the earlier one first. Ownership is an optimisation only:
//! entries send the keys of a partition to the same agent
//! ([`partition_of`]), so that one write carries many claims.
//!
//! Agents append at most once per [`Config::write_interval`] and partition, so
//! the writes to the store have an upper bound that does not grow with the
//! orders: more orders make larger batches. Answers are gathered into packs,
//! which are objects that are written once, and their places ride on the next
//! write of claims. When the head is large, its records move to a segment, which
//! is written once as well.
//!
//! A write without an answer is settled by reading the head back: a claim holds
//! its attempt, so its writer recognises it. A claim whose fate remains open at
//! the deadline of its request is *abandoned*: the request is refused with
//! `not_run`, is never dispatched, and the claim, should it appear in the log
//! after all, is released. A write that is still under way at the old version is
//! defeated by the next append, whatever that contains.
//!
//! [`Partition`] is a pure state machine: [`Partition::poll`] hands out one call
//! to the store at a time and [`Partition::complete`] takes its result.
//!
//! # Limits
//!
//! * A key is forgotten at the deadline that its claim stores, and clocks may be
//!   apart by [`Config::max_clock_skew`] until then.
//! * An agent that dies between claim and answer leaves the key `unknown` until
//!   that deadline, even where it had not dispatched yet.
//! * `PARTITIONS` is no setting, because two agents that differ in it would not
//!   meet in the same log.

mod index;
mod log;
mod partition;

use std::time::Duration;

use bytes::Bytes;

use crate::{Time, digest::Digest, id::Attempt, refusal::Refusal};

pub use self::{
    log::{Head, ObjectId, ParseObjectIdError, Record, Segment, Slot},
    partition::Partition,
};

/// The number of partitions of a route.
pub const PARTITIONS: u8 = 16;

/// The largest answer that is kept, in bytes; the store takes a megabyte per value.
pub const MAX_ANSWER_BYTES: usize = 1_000_000;

/// Returns the digest of an idempotency key in its scope.
pub fn key(route: &str, workspace: &str, key: &str) -> Digest {
    Digest::of(&[route.as_bytes(), workspace.as_bytes(), key.as_bytes()])
}

/// Returns the prefix of a partition's objects in the store.
pub fn prefix(route: &str, partition: u8) -> String {
    format!("ledger/{route}/{partition:02}")
}

/// Returns the partition of a key; entries send all keys of a partition to one agent.
pub const fn partition_of(key: Digest) -> u8 {
    (key.0 % PARTITIONS as u128) as u8
}

/// The settings of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a key is kept after its claim; becomes a deadline in the claim.
    pub retention: Duration,
    /// The shortest time between two appends to a partition by one agent.
    pub write_interval: Duration,
    /// How long answers are gathered before they are written.
    pub answer_delay: Duration,
    /// How long a claim waits for the store; becomes a deadline when the claim arrives.
    pub claim_timeout: Duration,
    /// The most that two clocks are apart.
    pub max_clock_skew: Duration,
    /// The size at which the records of a head move to a segment, in bytes.
    pub max_head_bytes: usize,
    /// The size up to which a segment is joined with the next, in bytes.
    pub max_segment_bytes: usize,
    /// The most claims in one write.
    pub max_batch: usize,
    /// The most keys that a partition holds; further claims are refused.
    pub max_keys: usize,
    /// The most bytes of answers that wait for the store; further answers are not kept.
    pub max_unsaved_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            retention: Duration::from_secs(3_600),
            write_interval: Duration::from_millis(100),
            answer_delay: Duration::from_millis(500),
            claim_timeout: Duration::from_secs(2),
            max_clock_skew: Duration::from_secs(10),
            max_head_bytes: 16 << 10,
            max_segment_bytes: 256 << 10,
            max_batch: 256,
            max_keys: 100_000,
            max_unsaved_bytes: 8 << 20,
        }
    }
}

/// A request that asks for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The digest of the key and its scope, from [`key`].
    pub key: Digest,
    /// The digest of the body.
    pub body: Digest,
    /// The attempt, by which a claim is recognised.
    pub attempt: Attempt,
    /// The deadline of the request.
    pub deadline: Time,
}

/// The end of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The key is claimed: give the request to the endpoint now.
    Dispatch,
    /// The key has run before; this is its answer.
    Replay(Bytes),
    /// Do not run the request.
    Refuse(Refusal),
}

/// What a conditional update expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No object of that name.
    Absent,
    /// The object at exactly this version.
    At(u64),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads an object.
    Get {
        /// The name of the object.
        name: String,
    },
    /// Writes an object where the expectation holds.
    Put {
        /// The name of the object.
        name: String,
        /// What must be there.
        expect: Expect,
        /// The new value.
        value: Bytes,
    },
    /// Lists the names under a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Deletes an object, whatever its version.
    Delete {
        /// The name of the object.
        name: String,
    },
}

/// The result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The version and value of an object, or nothing where there is none.
    Object(Option<(u64, Bytes)>),
    /// The new version of an object that was written.
    Written(u64),
    /// The names under a prefix.
    Names(Vec<String>),
    /// The object is gone.
    Deleted,
    /// The call failed.
    Failed(Failure),
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call took no effect.
    Unavailable,
    /// The call may have taken effect, or may do so later.
    Unanswered,
    /// The expectation did not hold.
    Conflict,
}
