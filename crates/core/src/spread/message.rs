//! The inputs and outputs of a [`Node`](super::Node).

use std::{fmt, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use sha2::{Digest as _, Sha256};

use super::{Item, table::BUCKETS};
use crate::{
    Time,
    config::{Generation, parts},
    id::Incarnation,
    member::{Member, Role},
};

/// A SHA-256 digest of a manifest or a part.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hash(pub [u8; 32]);

impl Hash {
    /// Computes the digest of `content`.
    pub fn of(content: &[u8]) -> Hash {
        Hash(Sha256::digest(content).into())
    }

    /// Parses a hexadecimal digest; returns `None` unless `text` is 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Hash> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Hash(bytes))
    }

    /// Converts raw bytes to a digest; returns `None` unless there are 32 of them.
    pub fn from_bytes(bytes: &[u8]) -> Option<Hash> {
        Some(Hash(bytes.try_into().ok()?))
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// An announcement of a configuration of which the sender holds all content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Marker {
    /// The generation of the configuration.
    pub generation: Generation,
    /// The digest of its manifest.
    pub hash: Hash,
    /// The time at which it was accepted.
    pub accepted_at: Time,
}

/// A manifest, which lists the content of a configuration.
pub trait Manifest: Clone {
    /// Parses a manifest; returns `None` if `content` is not a valid one.
    fn read(content: &[u8]) -> Option<Self>;
    /// Returns the generation of the configuration.
    fn generation(&self) -> Generation;
    /// Returns the time at which the configuration was accepted.
    fn accepted_at(&self) -> Time;
    /// Returns the digests of its parts.
    fn parts(&self) -> Vec<Hash>;
}

impl Manifest for parts::Manifest {
    fn read(content: &[u8]) -> Option<parts::Manifest> {
        parts::Manifest::parse(content).ok()
    }

    fn generation(&self) -> Generation {
        self.generation
    }

    fn accepted_at(&self) -> Time {
        self.applied_at
    }

    fn parts(&self) -> Vec<Hash> {
        let hashes = self
            .digests()
            .map(|digest| Hash::from_hex(&digest.to_string()));
        hashes.flatten().collect()
    }
}

/// The root hashes of the tables of a process, the first step of anti-entropy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The hash of the table of members.
    pub members: u64,
    /// The hash of the table of items.
    pub items: u64,
}

/// The bucket hashes of both tables, the second step of anti-entropy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Buckets {
    /// The hash of each bucket of members.
    pub members: [u64; BUCKETS],
    /// The hash of each bucket of items.
    pub items: [u64; BUCKETS],
}

/// The records of one bucket, each as a pair of the hash of its key and the hash of its state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// The index of the bucket.
    pub bucket: usize,
    /// The pairs of hashes, sorted.
    pub records: Vec<(u64, u64)>,
}

/// A message between two processes; any field may be empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The configuration that is in force at the sender.
    pub marker: Option<Marker>,
    /// Changed members.
    pub members: Vec<Member>,
    /// Changed items.
    pub items: Vec<Item>,
    /// The sender's root hashes, for comparison with the receiver's.
    pub summary: Option<Summary>,
    /// The reply to a summary that differs.
    pub buckets: Option<Box<Buckets>>,
    /// The reply to buckets of members that differ.
    pub member_inventories: Vec<Inventory>,
    /// The reply to buckets of items that differ.
    pub item_inventories: Vec<Inventory>,
    /// The sorted hashes of the names of members whose records the sender requests.
    pub want_members: Vec<u64>,
    /// The sorted hashes of the keys of items that the sender requests.
    pub want_items: Vec<u64>,
    /// The digests of manifests and parts that the sender requests.
    pub want_contents: Vec<Hash>,
    /// The requested manifests and parts.
    pub contents: Vec<Bytes>,
}

/// The process that sent a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name of its VM.
    pub name: Arc<str>,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

/// A VM on the roster, the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The name of the VM.
    pub name: Arc<str>,
    /// The role of the process on it.
    pub role: Role,
    /// The address of the process on it.
    pub address: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Whether the platform has announced that it will stop the VM.
    pub leaving: bool,
}

/// The result of a call to the store or the roster; it contains `None` if the call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The end of a watch on the manifest.
    Watched(Option<Watched>),
    /// The manifest, or `Some(None)` if no configuration was ever accepted.
    Manifest(Option<Option<Bytes>>),
    /// The part with this digest.
    Part(Hash, Option<Bytes>),
    /// The roster.
    Roster(Option<Vec<ListedVm>>),
}

/// The end of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watched {
    /// The position, in the store's sequence of changes, from which to start the next watch.
    pub position: u64,
    /// Whether the watch ended because the manifest changed.
    pub changed: bool,
}

/// An operation that the driver has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<M> {
    /// Sends a message; each call of a method of [`Node`](super::Node) returns at most one per peer.
    Send {
        /// The name of the peer.
        to: Arc<str>,
        /// Its address.
        address: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Waits for a change of the manifest after a position; the result is [`Answer::Watched`].
    Watch {
        /// The position, as returned by the last watch; zero at first and after a failure.
        position: u64,
    },
    /// Reads the manifest; the result is [`Answer::Manifest`].
    ReadManifest,
    /// Reads a part; the result is [`Answer::Part`].
    ReadPart(Hash),
    /// Reads the roster; the result is [`Answer::Roster`].
    ReadRoster,
    /// Puts a configuration in force.
    Apply {
        /// The configuration.
        marker: Marker,
        /// Its manifest.
        manifest: M,
        /// Its parts, sorted by digest.
        parts: Vec<(Hash, Bytes)>,
    },
    /// Reports that members or items changed.
    Changed,
    /// Reports that a later incarnation of this process is running, so this one must stop.
    Superseded,
}
