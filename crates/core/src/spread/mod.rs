//! Gossip protocol that distributes the configuration, the membership and small shared records.
//!
//! The platform's object store is the only durable storage, but it counts
//! every call and every open watch, it has outages, and the call rates that it
//! permits grow more slowly than the fleet. A few processes therefore watch the
//! store and the others learn from their peers. [`Node`] is the state machine of
//! one process: it takes events and returns [`Action`]s, and the driver in the
//! node crate does the I/O.
//!
//! # Configuration
//!
//! Processes push a [`Marker`]: the generation of a configuration, the SHA-256
//! digest of its manifest and the time at which it was accepted. A process that
//! receives a higher generation fetches the manifest and then the missing parts
//! by digest: first from the peers that sent the marker, and from the store as a
//! last resort. It applies the configuration and forwards the marker only once
//! it holds all of the content, so every sender of a marker can serve the
//! content. Lower generations are ignored whatever their source, which includes
//! stale reads of the store.
//!
//! The design follows the post "When config edits start feeling like deploys":
//! processes announce versions rather than values, start and recovery share one
//! code path, and each process measures the delay until a configuration is in
//! force. In that post every process watches and reads the source of truth.
//! Here every such call is counted, so both the notification and the content
//! travel between peers, and the digest in the marker makes content from any
//! peer as trustworthy as content from the store.
//!
//! # Peers
//!
//! A process has at most six neighbours, taken from three rings over the
//! membership (see [`neighbours`](graph::neighbours)). They are mostly nearby,
//! and processes that hold the same membership compute the same graph. Changes
//! are pushed to all neighbours. Every few seconds each pair of neighbours runs
//! anti-entropy, which recovers what a lost message or a pause left out: the
//! two compare one hash, then the hashes of 64 buckets, then the records of the
//! buckets that differ. A process that has just started holds nothing, so its
//! first comparison transfers everything.
//!
//! A queued record is not sent to a neighbour that has meanwhile sent the same
//! state, so each change crosses an edge about once.
//!
//! # The store
//!
//! In each region the two members that rank first by rendezvous hash watch the
//! manifest and read the roster, the platform's list of VMs. Each of them
//! publishes an [`Item`] with the time at which the store last answered it. If
//! no watcher of a region is heard for a while, the members next in rank watch
//! too, up to a limit, so that an outage of the store does not make every
//! process call it. A process without a configuration that gets none from its
//! peers reads the store after a delay that is spread, by a hash of its name,
//! over an interval proportional to the size of the fleet.
//!
//! # Records of other modules
//!
//! [`Item`] carries small mergeable state of other modules, such as rollout
//! evidence, withdrawals, and requests that crash endpoints. The key is
//! `KIND/WHAT`; the higher version wins, and the greater body breaks a tie. State
//! that several processes write is split by writer: each writes
//! `KIND/WHAT/OWN-NAME`, and readers combine all items with the prefix
//! `KIND/WHAT/`. A fact that can only become true, such as a withdrawal, is one
//! key with version 1 and a body that depends on nothing but the fact. Set
//! `urgent` for changes that must reach every process within a second. Every
//! process holds every item, so give items a deadline and limit the rate at
//! which they are written.
//!
//! [`Node::put`] writes an item and [`Node::items`] reads them;
//! [`Action::Changed`] tells the driver that items or members changed.

mod fetch;
pub mod graph;
mod item;
mod maintenance;
mod message;
mod neighbour;
mod node;
mod outbox;
mod repair;
mod schedule;
mod table;

pub use item::{Item, MAX_ITEM_BYTES};
pub use message::Manifest;
pub use message::{
    Action, Answer, Buckets, Hash, Inventory, ListedVm, Marker, Message, Peer, Summary, Watched,
};
pub use node::{Config, Node};
pub use table::{BUCKETS, Outcome, Record, Table};
