//! The interface of the platform's object store: versioned objects, conditional updates and
//! watches.

pub mod http;

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;

/// The version of an object, which changes with each write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// An object that was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The key of the object.
    pub key: Arc<str>,
    /// The version of the value.
    pub version: Version,
    /// The value, of at most one megabyte.
    pub value: Bytes,
}

/// The condition of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No object with the key exists.
    Absent,
    /// The object exists at exactly this version.
    At(Version),
}

/// The objects that were listed, or that changed under a watched prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The position in the store's order of changes from which to watch next.
    pub position: u64,
    /// The keys and versions of the objects, sorted by key; a deleted object has version 0.
    pub objects: Vec<(Arc<str>, Version)>,
}

/// The reason that a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store cannot be reached or is overloaded, and the call had no effect.
    #[error("the store is unavailable and the call had no effect; retry later")]
    Unavailable,
    /// The store did not answer, or failed, so a write may or may not have taken effect.
    #[error(
        "the store did not answer; read the object again to find out whether the write took effect"
    )]
    Unanswered,
    /// The condition of the update did not hold.
    #[error("the object is at another version than expected; read it and decide again")]
    Conflict,
    /// The value exceeds the store's size limit.
    #[error("the value is larger than one megabyte; split it into parts")]
    TooLarge,
    /// The store's response does not follow the protocol.
    #[error(
        "the store's response is malformed; check that the configured address is that of a store"
    )]
    Malformed,
}

/// The platform's object store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Returns an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, does not answer or sends a malformed response.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes an object if `expect` holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// After [`Error::Unanswered`], the write may or may not have taken effect.
    fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
    ) -> impl Future<Output = Result<Version, Error>> + Send;

    /// Deletes an object if it is at exactly this version.
    ///
    /// # Errors
    ///
    /// After [`Error::Unanswered`], the deletion may or may not have taken effect.
    fn delete(&self, key: &str, at: Version) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists the keys and versions under a prefix, and the position to watch from.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, does not answer or sends a malformed response.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Change, Error>> + Send;

    /// Waits for a change under the prefix after `position`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, does not answer or sends a malformed response.
    fn watch(
        &self,
        prefix: &str,
        position: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Change, Error>> + Send;
}
