//! Carries the configuration, the membership and small shared records to every process.
//!
//! The platform's store is the only place where anything lasts, but it counts
//! each call and each waiting watch, it has outages, and its rates grow more
//! slowly than the fleet. So a few processes watch it and the rest learn from
//! each other. [`Node`] is the part of one process: events go in, [`Action`]s
//! come out, and the driver in the node crate does the I/O.
//!
//! # Configuration
//!
//! What travels unasked is a [`Marker`]: the number of a configuration, the
//! SHA-256 of its manifest and when it was accepted. A process that receives a
//! higher marker fetches the manifest and then the parts that it lacks, each by
//! its hash, from the peer that sent the marker, from others that sent it too,
//! and from the store as a last resort. Only when it holds everything does it
//! apply the configuration and send the marker on, so whoever sends a marker
//! can serve what stands behind it. Lower generations are ignored wherever they
//! come from, a stale read of the store included.
//!
//! Sending markers rather than values, one code for start and recovery, and a
//! measured delay follow the post "When config edits start feeling like
//! deploys". There every process watches and reads the source of truth; here
//! each such call is counted, so the signal and the content both travel between
//! peers, and the hash in the marker takes the place of the trusted source.
//!
//! # Peers
//!
//! Neighbours come from three rings over the membership (see
//! [`neighbours`](graph::neighbours)): six at most, the same for everyone who
//! holds the same membership, mostly near ones. News goes to all of them.
//! Every few seconds each pair compares digests of all it holds, which repairs
//! what a lost message or a pause left out: first one hash, then 64 buckets,
//! then the records of the buckets that differ. A process that has just started
//! holds nothing, so its first comparison brings it everything.
//!
//! A record on its way is not sent to a neighbour that was heard to hold the
//! same state, so an edge carries each change about once.
//!
//! # The store
//!
//! In each region the two members that rank first by rendezvous hash watch the
//! manifest and read the list of VMs. Each tells by an [`Item`] when the store
//! last answered it. Where no watcher of a region is heard for a while, the
//! next ones in rank watch too, up to a bound, so a store that is down is not
//! asked by everybody. A process that has no configuration and gets none from
//! peers reads the store after a delay that its name's hash spreads over a span
//! proportional to the fleet.
//!
//! # Records of other modules
//!
//! [`Item`] is the slot for modules that share small mergeable state: rollout
//! evidence, withdrawals, requests that crash endpoints. The key is
//! `KIND/WHAT`, the higher version wins, and the greater body wins a tie. State
//! that several processes write is split by writer: each writes
//! `KIND/WHAT/OWN-NAME` and readers join all items with the prefix
//! `KIND/WHAT/`. A fact that only ever becomes true, such as a withdrawal, is one
//! key with version 1 and a body that depends on the fact alone. Set `urgent`
//! for what must be everywhere within a second. Every item is held by every
//! process: give it a deadline, and write often-changing items seldom.
//!
//! Write with [`Node::put`]; read with [`Node::items`]; the driver is told of
//! changes by [`Action::Changed`].

pub mod graph;
mod item;
mod link;
mod message;
mod node;
mod outbox;
mod pull;
mod repair;
mod table;
mod upkeep;
mod watch;

pub use item::{Item, MAX_ITEM_BYTES};
pub use message::Manifest;
pub use message::{
    Action, Answer, Buckets, Hash, Inventory, Listed, Marker, Message, Peer, Summary, Watched,
};
pub use node::{Config, Node};
pub use table::{BUCKETS, Outcome, Record, Table};
