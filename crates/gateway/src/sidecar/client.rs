//! A gateway's questions to one sidecar.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cactusroad_core::{Time, pool::Report};
use cactusroad_platform::dial::{self, Connection};
use cactusroad_wire::{self as wire, sidecar::Load};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use super::{LOAD_PATH, NOTICE_PATH};

/// Bytes of an answer that are read at most; a load has a few dozen.
const MAX_ANSWER: usize = 4 << 10;

/// Why a sidecar gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Dial(#[from] dial::Error),
    #[error("the sidecar broke off: {0}; see its own log")]
    Lost(#[from] hyper::Error),
    #[error("the sidecar did not answer in time; check the load of its VM")]
    Late,
    #[error("the sidecar has no report, status {0}; check the engine beside it")]
    Refused(StatusCode),
    #[error("the sidecar's answer broke off or is too long; check that both run the same release")]
    Body,
    #[error(transparent)]
    Format(#[from] wire::Error),
}

/// Asks one sidecar, on a connection that it keeps.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Returns a client that opens its connection with the first question.
    pub(crate) fn new(address: SocketAddr) -> Client {
        Client {
            address,
            connection: None,
        }
    }

    /// Asks for the engine's load, within `limit`.
    pub(crate) async fn load(&mut self, limit: Duration, now: Time) -> Result<Report, Error> {
        match self.ask(LOAD_PATH, limit).await? {
            (StatusCode::OK, body) => Ok(decode(body, now)?),
            (status, _) => Err(Error::Refused(status)),
        }
    }

    /// Waits for the engine's notice; returns `None` where there was none for a while.
    pub(crate) async fn notice(
        &mut self,
        limit: Duration,
        now: Time,
    ) -> Result<Option<Report>, Error> {
        match self.ask(NOTICE_PATH, limit).await? {
            (StatusCode::OK, body) => Ok(Some(decode(body, now)?)),
            (StatusCode::NO_CONTENT, _) => Ok(None),
            (status, _) => Err(Error::Refused(status)),
        }
    }

    async fn ask(&mut self, path: &str, limit: Duration) -> Result<(StatusCode, Bytes), Error> {
        let asked = timeout(limit, self.exchange(path, limit)).await;
        asked.unwrap_or(Err(Error::Late))
    }

    async fn exchange(
        &mut self,
        path: &str,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        // A connection is taken out, so that one with an open question is not used again.
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.is_closed() => connection,
            _ => dial::connect(self.address, limit).await?,
        };
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().unwrap_or_default();
        if let Ok(host) = self.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        let response = connection.sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER).collect();
        let body = body.await.map_err(|_| Error::Body)?.to_bytes();
        self.connection = Some(connection);
        Ok((status, body))
    }
}

fn decode(body: Bytes, now: Time) -> Result<Report, wire::Error> {
    let load: Load = wire::decode(body)?;
    Ok(Report {
        running: load.running,
        waiting: load.waiting,
        computing: load.computing,
        used_tokens: load.used_tokens,
        memory_tokens: load.memory_tokens,
        is_leaving: load.is_leaving,
        leaves_at: load
            .leaves_in_ms
            .map(|left| now + Duration::from_millis(left)),
        is_fresh: true,
    })
}
