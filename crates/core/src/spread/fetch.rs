//! Fetches a configuration by parts; the generation in force never decreases.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::message::{Hash, Manifest, Marker};
use crate::Time;

/// The timeout of a request for content; every [`MAX_PEER_ATTEMPTS`] attempts lengthen it by this.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The number of requests to peers without new content before the store is read.
const MAX_PEER_ATTEMPTS: u32 = 3;
/// The number of requests without new content after which a fetch is abandoned.
const MAX_ATTEMPTS: u32 = 12;
/// The maximum number of peers remembered as holders of a configuration.
const MAX_HOLDERS: usize = 6;
/// The maximum number of digests in one request.
const MAX_REQUEST_DIGESTS: usize = 8;
/// The maximum size of the content in one message, unless it is a single larger one.
const MAX_REPLY_BYTES: usize = 2 * 1024 * 1024;

/// A request for missing content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// Asks a peer that announced the configuration.
    Peer(Arc<str>, Vec<Hash>),
    /// Reads parts from the store.
    Parts(Vec<Hash>),
    /// Reads the manifest from the store.
    Manifest,
}

/// A configuration of which all content is present.
#[derive(Clone, Debug)]
pub(super) struct Configuration<M> {
    pub(super) marker: Marker,
    pub(super) manifest: M,
    pub(super) parts: Vec<(Hash, Bytes)>,
}

/// The configuration in force and the fetch of a later one.
#[derive(Clone, Debug)]
pub(super) struct Fetch<M> {
    in_force: Option<Marker>,
    /// The manifests and parts that this process holds, sorted by digest.
    contents: Vec<(Hash, Bytes)>,
    target: Option<Target<M>>,
}

/// The configuration that is being fetched.
#[derive(Clone, Debug)]
struct Target<M> {
    marker: Marker,
    /// `None` until the manifest has arrived.
    manifest: Option<M>,
    /// The names of peers that announced the configuration.
    holders: Vec<Arc<str>>,
    /// The digests of the last request that have not arrived.
    requested: Vec<Hash>,
    /// The requests since the last new content.
    attempts: u32,
    /// The time at which the next request is due.
    retry_at: Time,
}

impl<M: Manifest> Fetch<M> {
    pub(super) fn new() -> Fetch<M> {
        Fetch {
            in_force: None,
            contents: Vec::new(),
            target: None,
        }
    }

    /// Returns the configuration in force.
    pub(super) fn in_force(&self) -> Option<Marker> {
        self.in_force
    }

    /// Returns whether a configuration is being fetched.
    pub(super) fn is_fetching(&self) -> bool {
        self.target.is_some()
    }

    /// Returns those of the wanted contents that this process holds, up to the size limit of a message.
    pub(super) fn held_contents(&self, wanted: &[Hash]) -> Vec<Bytes> {
        let mut size = 0;
        let held = wanted.iter().filter_map(|hash| self.content(*hash));
        let fitting = held.take_while(|content| {
            let first = size == 0;
            size += content.len();
            first || size <= MAX_REPLY_BYTES
        });
        fitting.cloned().collect()
    }

    fn content(&self, hash: Hash) -> Option<&Bytes> {
        let at = self.contents.binary_search_by_key(&hash, |c| c.0).ok()?;
        Some(&self.contents[at].1)
    }

    /// Handles a marker from a peer or the store, and returns whether it starts a fetch.
    pub(super) fn handle_marker(
        &mut self,
        marker: Marker,
        from: Option<&Arc<str>>,
        now: Time,
    ) -> bool {
        let current = self.in_force.map_or(0, |m| m.generation.0);
        if marker.generation.0 <= current {
            return false;
        }
        if let Some(target) = &mut self.target {
            if target.marker == marker {
                target.add_holder(from);
                return false;
            }
            if target.marker.generation >= marker.generation {
                return false;
            }
        }
        let mut target = Target {
            marker,
            manifest: None,
            holders: Vec::new(),
            requested: Vec::new(),
            attempts: 0,
            retry_at: now,
        };
        target.add_holder(from);
        self.target = Some(target);
        true
    }

    /// Handles a manifest read from the store. A stale one has no effect.
    pub(super) fn handle_stored_manifest(&mut self, content: Bytes, now: Time) {
        let Some(manifest) = M::read(&content) else {
            return;
        };
        let marker = Marker {
            generation: manifest.generation(),
            hash: Hash::of(&content),
            accepted_at: manifest.accepted_at(),
        };
        self.handle_marker(marker, None, now);
        let wanted = self.target.as_ref().is_some_and(|t| t.marker == marker);
        if wanted {
            self.insert(content, now);
        }
    }

    /// Stores a manifest or part if the current fetch needs it, and drops it otherwise.
    pub(super) fn insert(&mut self, content: Bytes, now: Time) {
        let hash = Hash::of(&content);
        let Some(target) = &mut self.target else {
            return;
        };
        if target.manifest.is_none() && target.marker.hash == hash {
            let manifest = M::read(&content);
            target.manifest = manifest.filter(|m| m.generation() == target.marker.generation);
            if target.manifest.is_none() {
                self.target = None;
                return;
            }
        } else if !target.needs(hash) {
            return;
        }
        target.attempts = 0;
        target.requested.retain(|requested| *requested != hash);
        if target.requested.is_empty() {
            target.retry_at = now;
        }
        if let Err(at) = self.contents.binary_search_by_key(&hash, |c| c.0) {
            self.contents.insert(at, (hash, content));
        }
    }

    /// Ends a request that a peer has answered, perhaps with only part of the content.
    pub(super) fn end_request(&mut self, now: Time) {
        if let Some(target) = &mut self.target {
            target.requested.clear();
            target.retry_at = now;
        }
    }

    fn missing(&self, target: &Target<M>) -> Vec<Hash> {
        let Some(manifest) = &target.manifest else {
            return vec![target.marker.hash];
        };
        let parts = manifest.parts();
        let absent = parts
            .into_iter()
            .filter(|part| self.content(*part).is_none());
        absent.collect()
    }

    /// Completes the fetch and returns its configuration, once all content is present.
    pub(super) fn take_complete(&mut self) -> Option<Configuration<M>> {
        let target = self.target.as_ref()?;
        if !self.missing(target).is_empty() {
            return None;
        }
        let target = self.target.take()?;
        let manifest = target.manifest?;
        let mut kept = manifest.parts();
        kept.sort_unstable();
        let parts = self
            .contents
            .iter()
            .filter(|c| kept.binary_search(&c.0).is_ok());
        let parts: Vec<_> = parts.cloned().collect();
        let manifest_hash = target.marker.hash;
        self.contents
            .retain(|c| c.0 == manifest_hash || kept.binary_search(&c.0).is_ok());
        self.in_force = Some(target.marker);
        Some(Configuration {
            marker: target.marker,
            manifest,
            parts,
        })
    }

    /// Starts and returns the next request, if one is due.
    pub(super) fn take_request(&mut self, now: Time) -> Option<Request> {
        let target = self.target.as_ref().filter(|t| t.retry_at.is_past(now))?;
        let mut missing = self.missing(target);
        missing.truncate(MAX_REQUEST_DIGESTS);
        let target = self.target.as_mut()?;
        if target.attempts >= MAX_ATTEMPTS {
            self.target = None;
            return None;
        }
        let attempts = target.attempts;
        target.attempts += 1;
        target.retry_at = now + REQUEST_TIMEOUT * (attempts / MAX_PEER_ATTEMPTS + 1);
        if attempts < MAX_PEER_ATTEMPTS && !target.holders.is_empty() {
            let at = attempts as usize % target.holders.len();
            target.requested.clone_from(&missing);
            return Some(Request::Peer(Arc::clone(&target.holders[at]), missing));
        }
        if target.manifest.is_none() {
            return Some(Request::Manifest);
        }
        target.requested.clone_from(&missing);
        Some(Request::Parts(missing))
    }
}

impl<M: Manifest> Target<M> {
    fn add_holder(&mut self, from: Option<&Arc<str>>) {
        let new = from.filter(|name| !self.holders.contains(name));
        if let Some(name) = new.filter(|_| self.holders.len() < MAX_HOLDERS) {
            self.holders.push(Arc::clone(name));
        }
    }

    fn needs(&self, hash: Hash) -> bool {
        let manifest = self.manifest.as_ref();
        manifest.is_some_and(|manifest| manifest.parts().contains(&hash))
    }
}
