//! A client of the roster that uses HTTP, as described in `docs/PROTOCOL.md`.

use std::time::Duration;

use http::Method;

use super::{Error, Roster, Vm};
use crate::{
    address::Address,
    transport::{Transport, read_json},
};

/// The timeout of a read of the roster.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of a response body.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// An HTTP client of the roster.
#[derive(Clone, Debug)]
pub struct Client {
    transport: Transport,
}

impl Client {
    /// Returns a client of the roster at `address`.
    pub fn new(address: &Address) -> Client {
        Client {
            transport: Transport::pooled(address),
        }
    }
}

impl Roster for Client {
    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        let request = self.transport.request(Method::GET, "/v1/vms");
        let call = self
            .transport
            .call_within(request, MAX_ANSWER_BYTES, CALL_TIMEOUT);
        let answer = call.await.map_err(|_| Error::Unavailable)?;
        if answer.status().is_server_error() {
            return Err(Error::Unavailable);
        }
        let mut vms: Vec<Vm> = read_json(&answer).ok_or(Error::Malformed)?;
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(vms)
    }
}
