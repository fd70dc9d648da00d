//! A client of a plain service that uses HTTP and forwards requests unchanged,
//! except for the headers that belong to a connection.
//!
//! Each call opens a new connection, so that no call is lost on a pooled
//! connection that died while it was idle.

use std::ops::Range;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, header};

use super::{Error, Service};
use crate::{
    address::Address,
    transport::{Failure, Transport},
};

/// The default size limit of a response body.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The statuses of final responses. The parser of the client accepts others as well.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Headers that belong to one connection and are not forwarded in either direction.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// An HTTP client of a plain service.
#[derive(Clone, Debug)]
pub struct Client {
    transport: Transport,
    max_answer_bytes: usize,
}

impl Client {
    /// Returns a client of the service at `address`.
    pub fn new(address: &Address) -> Client {
        Client {
            transport: Transport::unpooled(address),
            max_answer_bytes: MAX_ANSWER_BYTES,
        }
    }

    /// Sets the size limit of a response body, in bytes.
    #[must_use]
    pub fn with_max_answer_bytes(mut self, bytes: usize) -> Client {
        self.max_answer_bytes = bytes;
        self
    }
}

impl Service for Client {
    async fn call(&self, mut request: Request<Bytes>) -> Result<Response<Bytes>, Error> {
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let uri = self.transport.uri(path).ok_or(Error::Unreachable)?;
        *request.uri_mut() = uri;
        *request.version_mut() = http::Version::HTTP_11;
        strip_connection_headers(request.headers_mut());
        let call = self.transport.call(request, self.max_answer_bytes);
        let mut answer = call.await.map_err(|failure| match failure {
            Failure::Unreachable => Error::Unreachable,
            Failure::Interrupted => Error::Interrupted,
            Failure::TooLarge => Error::TooLarge,
        })?;
        let status = answer.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(Error::InvalidStatus(status));
        }
        strip_connection_headers(answer.headers_mut());
        Ok(answer)
    }
}

fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
}
