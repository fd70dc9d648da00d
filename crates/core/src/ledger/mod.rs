//! The ledger of idempotency keys: at most one dispatch per key.
//!
//! A caller whose request must not run twice sends an `Idempotency-Key`. The
//! agent beside the service writes a *claim* of the key to the platform's store
//! before it dispatches the request to the endpoint, and the answer afterwards.
//! A request that repeats the key gets the stored answer, or a refusal with the
//! effect `unknown` while there is none.
//!
//! # Design
//!
//! Every object of the store has a version, which each write changes. The keys of a
//! route are distributed over [`PARTITIONS`] partitions by their digest. A
//! partition is a log, whose newest records are in one object of the store, the
//! *head*. Every append is a conditional update of the head at the version that the
//! writer has read, and the writer first folds all records up to that version into
//! its index. At most one dispatch per key depends on this update alone: if two
//! agents write to a partition at the same time, one update fails, and that agent
//! has to read the other's claims before it can append. Ownership is only an
//! optimisation: entries send the keys of a partition to the same agent
//! ([`partition_of`]), so that one write carries many claims.
//!
//! An agent appends to a partition at most once per [`Config::write_interval`],
//! so the rate of writes to the store has an upper bound that does not depend on
//! the rate of requests; more requests make larger batches. Answers are collected
//! into packs, which are written once, and the location of each answer is
//! appended with the next batch. When the head is large, its records move to a
//! segment, which is written once as well.
//!
//! If a write gets no answer, reading the head shows whether it took effect: a
//! claim contains its attempt, so its writer can identify it. A claim whose
//! write is still unresolved when [`Config::claim_timeout`] or the deadline of
//! its request passes is *abandoned*: the request is refused with `not_run` and
//! is never dispatched, and if the claim appears in the log later, it is
//! released. Any further append changes the version of the head, so a delayed
//! write at the old version fails.
//!
//! [`Partition`] is a state machine without I/O: [`Partition::poll`] returns one
//! call to the store at a time and [`Partition::complete`] takes its result.
//!
//! # Limits
//!
//! * A claim expires at the deadline that is stored in it. At most one dispatch
//!   per key holds until then if clocks differ by at most
//!   [`Config::max_clock_skew`].
//! * An agent that crashes between claim and answer leaves the key `unknown`
//!   until that deadline, even if it had not dispatched the request yet.
//! * [`PARTITIONS`] is not configurable, because agents with different values
//!   would write the same key to different logs.

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

/// The largest answer that is kept, in bytes; the store accepts a megabyte per value.
pub const MAX_ANSWER_BYTES: usize = 1_000_000;

/// Returns the digest of an idempotency key, scoped to a route and workspace.
pub fn key(route: &str, workspace: &str, key: &str) -> Digest {
    Digest::of(&[route.as_bytes(), workspace.as_bytes(), key.as_bytes()])
}

/// Returns the prefix of the names of a partition's objects in the store.
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
    /// How long a key is kept after its claim; stored as a deadline in the claim.
    pub retention: Duration,
    /// The shortest time between two appends to a partition by one agent.
    pub write_interval: Duration,
    /// How long answers are collected before they are written.
    pub answer_delay: Duration,
    /// How long a claim waits for the store after its arrival.
    pub claim_timeout: Duration,
    /// The largest difference between the clocks of two processes.
    pub max_clock_skew: Duration,
    /// The size above which the records of a head move to a segment, in bytes.
    pub max_head_bytes: usize,
    /// The size below which a segment is merged with the next one, in bytes.
    pub max_segment_bytes: usize,
    /// The largest number of claims in one write.
    pub max_batch: usize,
    /// The largest number of keys in a partition; claims of further keys are refused.
    pub max_keys: usize,
    /// The largest total size of unsaved answers, in bytes; further answers are not kept.
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

/// A request to claim an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The digest of the key and its scope, from [`key`].
    pub key: Digest,
    /// The digest of the request body.
    pub body: Digest,
    /// The attempt, which identifies the claim.
    pub attempt: Attempt,
    /// The deadline of the request.
    pub deadline: Time,
}

/// The decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The key is claimed: dispatch the request to the endpoint now.
    Dispatch,
    /// An earlier request with the key ran; this is its answer.
    Replay(Bytes),
    /// The request must not be dispatched.
    Refuse(Refusal),
}

/// The precondition of a conditional update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No object of that name exists.
    Absent,
    /// The object exists and has exactly this version.
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
    /// Writes an object if the precondition holds.
    Put {
        /// The name of the object.
        name: String,
        /// The precondition.
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
    /// The version and value of an object, or `None` if it does not exist.
    Object(Option<(u64, Bytes)>),
    /// The new version of an object that was written.
    Written(u64),
    /// The names under a prefix.
    Names(Vec<String>),
    /// The object does not exist any more.
    Deleted,
    /// The call failed.
    Failed(Failure),
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call had no effect.
    Unavailable,
    /// No answer arrived: the call may have taken effect, or may do so later.
    Unanswered,
    /// The precondition did not hold.
    Conflict,
}
