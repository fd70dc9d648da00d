//! What goes into a [`Node`](super::Node) and what comes out.

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
    /// Computes the digest of a content.
    pub fn of(content: &[u8]) -> Hash {
        Hash(Sha256::digest(content).into())
    }

    /// Reads a digest in hexadecimal, or returns `None` where it is not one.
    pub fn from_hex(text: &str) -> Option<Hash> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Hash(bytes))
    }

    /// Reads a digest, or returns `None` where it is not 32 bytes long.
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

/// Announces a configuration that its sender holds whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Marker {
    /// The number of the configuration.
    pub generation: Generation,
    /// The digest of its manifest.
    pub hash: Hash,
    /// When it was accepted.
    pub accepted_at: Time,
}

/// What a configuration's manifest tells about its content.
pub trait Manifest: Clone {
    /// Reads a manifest, or returns `None` where the bytes are not one.
    fn read(content: &[u8]) -> Option<Self>;
    /// Returns the number of the configuration.
    fn generation(&self) -> Generation;
    /// Returns when the configuration was accepted.
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

/// Hashes of all that a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The hash of its members.
    pub members: u64,
    /// The hash of its items.
    pub items: u64,
}

/// Hashes of the buckets of both tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Buckets {
    /// The hashes of the buckets of members.
    pub members: [u64; BUCKETS],
    /// The hashes of the buckets of items.
    pub items: [u64; BUCKETS],
}

/// The records of one bucket, as pairs of the hash of a name and of its state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// The number of the bucket.
    pub bucket: usize,
    /// The records, sorted.
    pub records: Vec<(u64, u64)>,
}

/// One message between two processes; any part may be missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The configuration that the sender holds.
    pub marker: Option<Marker>,
    /// Changed members.
    pub members: Vec<Member>,
    /// Changed items.
    pub items: Vec<Item>,
    /// Asks whether the receiver holds the same.
    pub summary: Option<Summary>,
    /// Answers a summary that differs.
    pub buckets: Option<Box<Buckets>>,
    /// Answers buckets of members that differ.
    pub member_inventories: Vec<Inventory>,
    /// Answers buckets of items that differ.
    pub item_inventories: Vec<Inventory>,
    /// Hashes of the names of members that the sender lacks, sorted.
    pub want_members: Vec<u64>,
    /// Hashes of the names of items that the sender lacks, sorted.
    pub want_items: Vec<u64>,
    /// Manifests and parts that the sender lacks.
    pub want_contents: Vec<Hash>,
    /// Manifests and parts.
    pub contents: Vec<Bytes>,
}

/// The process that sent a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name of its VM.
    pub name: Arc<str>,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The name of the VM.
    pub name: Arc<str>,
    /// What it carries.
    pub role: Role,
    /// The address of the process on it.
    pub address: SocketAddr,
    /// The data centre that holds it.
    pub data_centre: Arc<str>,
    /// Whether the platform has announced that it will go.
    pub leaving: bool,
}

/// What the store or the list answered; `None` where no answer came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The watch ended at this position; `changed` tells whether by a change.
    Watched(Option<Watched>),
    /// The manifest, or nothing where none was ever accepted.
    Manifest(Option<Option<Bytes>>),
    /// A part, by its digest.
    Part(Hash, Option<Bytes>),
    /// The platform's list.
    List(Option<Vec<Listed>>),
}

/// The end of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Where to watch from next.
    pub position: u64,
    /// Whether the manifest changed.
    pub changed: bool,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<M> {
    /// Sends a message; a step has at most one for each peer.
    Send {
        /// The name of the peer.
        to: Arc<str>,
        /// Its address.
        address: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Watches the manifest from a position, then gives [`Answer::Watched`].
    Watch {
        /// The position.
        position: u64,
    },
    /// Reads the manifest, then gives [`Answer::Manifest`].
    ReadManifest,
    /// Reads a part, then gives [`Answer::Part`].
    ReadPart(Hash),
    /// Reads the platform's list, then gives [`Answer::List`].
    ReadList,
    /// Puts a configuration in force.
    Apply {
        /// The configuration.
        marker: Marker,
        /// Its manifest.
        manifest: M,
        /// Its parts, sorted by digest.
        parts: Vec<(Hash, Bytes)>,
    },
    /// Tells that members or items changed.
    Changed,
    /// Tells that a later life of this process is running, so this one must stop.
    Superseded,
}
