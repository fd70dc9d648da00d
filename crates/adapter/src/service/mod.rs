//! The interface of a plain service, which answers one HTTP request with one response.

pub mod http;

use std::future::Future;

use ::http::{Request, Response};
use bytes::Bytes;

/// The reason that a call to a service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The connection could not be established, so the request was not sent.
    #[error(
        "failed to connect to the service, so the request was not sent; send it to another endpoint"
    )]
    Unreachable,
    /// The connection failed after the request was sent, so the service may have run it.
    #[error("the connection to the service failed; the service may have run the request")]
    Interrupted,
    /// The response has a status that HTTP does not have; the service may have run the request.
    #[error("the service's response has the status {0}; have its operators mend it")]
    InvalidStatus(u16),
    /// The response is larger than the configured limit; the service has run the request.
    #[error("the service's response exceeds the size limit; raise the limit in the settings")]
    TooLarge,
}

/// A plain service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Sends a request once and reads the complete response.
    ///
    /// # Errors
    ///
    /// Only after [`Error::Unreachable`] is it certain that the service did not run the request.
    fn call(
        &self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Result<Response<Bytes>, Error>> + Send;
}
