//! A plain service: one HTTP request, one answer.

pub mod http;

use std::future::Future;

use ::http::{Request, Response};
use bytes::Bytes;

/// Why a call to a service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service refused the connection, so it was not given the call.
    #[error("the service cannot be reached and was not given the call; send it to another")]
    Unreachable,
    /// The connection broke after the call was sent.
    #[error("the service broke off; it may have run the call")]
    Broken,
    /// The answer is larger than the agent takes.
    #[error("the answer of the service is too large; raise the limit in the settings")]
    TooLarge,
}

/// A plain service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Sends a request once and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Only [`Error::Unreachable`] promises that nothing ran.
    fn call(
        &self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Result<Response<Bytes>, Error>> + Send;
}
