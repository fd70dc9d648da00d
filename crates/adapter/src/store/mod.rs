//! The platform's object API: versions, conditional updates and watches.

pub mod http;

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;

/// The version of an object; it changes with each write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// An object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The name of the object.
    pub key: Arc<str>,
    /// The version that was read.
    pub version: Version,
    /// The value, at most a megabyte.
    pub value: Bytes,
}

/// What a conditional update expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No object of that name.
    Absent,
    /// The object at exactly this version.
    At(Version),
}

/// What changed under a watched prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The position to watch from next.
    pub position: u64,
    /// The names and versions of the objects that changed, sorted by name; a deleted one
    /// has version 0.
    pub objects: Vec<(Arc<str>, Version)>,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store is down and the call took no effect.
    #[error("the store cannot be reached; the call took no effect; repeat it later")]
    Unavailable,
    /// No answer came, so a write may or may not have taken effect.
    #[error(
        "the store gave no answer; read the object back to learn whether the write took effect"
    )]
    Unanswered,
    /// The condition did not hold.
    #[error("the object is at another version; read it and decide again")]
    Conflict,
    /// The value is larger than the store takes.
    #[error("the value is over one megabyte; split it into parts")]
    TooLarge,
    /// The store's answer does not follow its protocol.
    #[error("the store's answer cannot be read; check that its address names a store")]
    Malformed,
}

/// The platform's object API.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails where the store is down or its answer is lost.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes an object where the expectation holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Unanswered`] leaves open whether the write took effect.
    fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
    ) -> impl Future<Output = Result<Version, Error>> + Send;

    /// Deletes an object at exactly this version.
    ///
    /// # Errors
    ///
    /// [`Error::Unanswered`] leaves open whether the deletion took effect.
    fn delete(&self, key: &str, at: Version) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists the names and versions under a prefix, with the position to watch from.
    ///
    /// # Errors
    ///
    /// Fails where the store is down or its answer is lost.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Change, Error>> + Send;

    /// Waits until something under the prefix changes after `position`, or until `wait` is over.
    ///
    /// # Errors
    ///
    /// Fails where the store is down or its answer is lost.
    fn watch(
        &self,
        prefix: &str,
        position: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Change, Error>> + Send;
}
