//! A gateway's client of one sidecar.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cactusroad_core::{Time, pool::Report};
use cactusroad_platform::dial::{self, Connection};
use cactusroad_wire::{self as wire, sidecar::Load};
use http::{Method, StatusCode};
use tokio::time::timeout;

use super::{LOAD_PATH, NOTICE_PATH};
use crate::peer::{self, Error};

/// A client of one sidecar that keeps its connection open.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Returns a client that connects with its first request.
    pub(crate) fn new(address: SocketAddr) -> Client {
        Client {
            address,
            connection: None,
        }
    }

    /// Requests the engine's load, within `limit`.
    pub(crate) async fn load(&mut self, limit: Duration, now: Time) -> Result<Report, Error> {
        match self.get(LOAD_PATH, limit).await? {
            (StatusCode::OK, body) => Ok(decode(body, now)?),
            (status, _) => Err(Error::Refused(status)),
        }
    }

    /// Waits for the engine's shutdown notice. Returns `None` if the sidecar ends the
    /// wait without one.
    pub(crate) async fn notice(
        &mut self,
        limit: Duration,
        now: Time,
    ) -> Result<Option<Report>, Error> {
        match self.get(NOTICE_PATH, limit).await? {
            (StatusCode::OK, body) => Ok(Some(decode(body, now)?)),
            (StatusCode::NO_CONTENT, _) => Ok(None),
            (status, _) => Err(Error::Refused(status)),
        }
    }

    async fn get(
        &mut self,
        path: &'static str,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let response = async {
            // The connection is taken out, so that one with a request in flight is not
            // used again.
            let mut connection = match self.connection.take() {
                Some(connection) if !connection.is_closed() => connection,
                _ => dial::connect(self.address, limit).await?,
            };
            let none = Bytes::new();
            let response =
                peer::send(&mut connection, self.address, Method::GET, path, none).await?;
            self.connection = Some(connection);
            Ok(response)
        };
        timeout(limit, response)
            .await
            .unwrap_or(Err(Error::Timeout))
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
        born_ms: load.born_ms,
        event_us: load.event_us,
    })
}
