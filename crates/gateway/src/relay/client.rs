//! Reads the changes of the store from another gateway.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cactusroad_core::{freshness::Answer, history::Position, relay::Limits};
use cactusroad_platform::{
    dial::{self, Connection},
    store::{Changes, Event, Kind, Listing, Meta, Object},
};
use cactusroad_wire as wire;
use http::{Method, StatusCode};
use serde_json::value::RawValue;
use tokio::time::timeout;

use super::path;
use crate::{clock, peer};

/// Why a relay's answer cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Peer(#[from] peer::Error),
    #[error("the relay's state is {age_ms} ms old; see the log of its VM for its store calls")]
    Old { age_ms: u128 },
    #[error("the relay is at {at}, before {known}; it follows a slower source")]
    Behind { at: Position, known: Position },
    #[error("an object's content is not JSON: {0}; check that both run the same release")]
    Format(#[from] serde_json::Error),
}

/// What changed since a position.
#[derive(Debug)]
pub(crate) enum Update {
    /// The whole list.
    Whole(Listing),
    /// The changes only.
    Changed(Changes),
}

/// Reads from one relay over a connection that is reused.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Returns a client that connects with its first read.
    pub(crate) fn new(address: SocketAddr) -> Client {
        Client {
            address,
            connection: None,
        }
    }

    /// Returns the address of the relay.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for changes of a kind after the position `since`, or reads the whole list.
    /// Fails if the relay does not answer in time, or if its answer is too old or is of a
    /// position before `known`.
    pub(crate) async fn read(
        &mut self,
        kind: Kind,
        since: Option<Position>,
        known: Position,
        limits: &Limits,
    ) -> Result<(Update, Answer), Error> {
        let since = since.unwrap_or(Position::ZERO);
        let sent_at = clock::now();
        let exchange = self.exchange(path(kind, since, limits.wait), limits.timeout);
        let body = timeout(limits.wait + limits.timeout, exchange)
            .await
            .unwrap_or(Err(peer::Error::Timeout))?;
        let wire: wire::relay::Changes = wire::decode(body).map_err(peer::Error::Format)?;
        let answer = Answer {
            held: Duration::from_micros(wire.held_us),
            age: Duration::from_micros(wire.age_us),
            ..Answer::list(sent_at, clock::now())
        };
        if !limits.accepts(&answer) {
            let age_ms = answer.age().as_millis();
            return Err(Error::Old { age_ms });
        }
        let at = Position::new(wire.era, wire.at);
        if at < known {
            return Err(Error::Behind { at, known });
        }
        Ok((decode(wire)?, answer))
    }

    async fn exchange(&mut self, path: String, limit: Duration) -> Result<Bytes, peer::Error> {
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.is_closed() => connection,
            _ => dial::connect(self.address, limit).await?,
        };
        let sent = peer::send(
            &mut connection,
            self.address,
            Method::GET,
            &path,
            Bytes::new(),
        );
        match sent.await? {
            (StatusCode::OK, body) => {
                // Kept only after a complete exchange, so that no late answer is read as
                // the next one.
                self.connection = Some(connection);
                Ok(body)
            }
            (status, _) => Err(peer::Error::Refused(status)),
        }
    }
}

fn decode(wire: wire::relay::Changes) -> Result<Update, Error> {
    let mut events = Vec::with_capacity(wire.changes.len());
    for change in wire.changes {
        let spec = match change.is_removed {
            true => None,
            false => Some(serde_json::from_slice::<Box<RawValue>>(&change.spec)?),
        };
        events.push(Event {
            object: Object {
                meta: Meta {
                    name: change.name.into(),
                    revision: change.revision,
                },
                spec,
                status: None,
            },
            deleted: change.is_removed,
        });
    }
    let at = Position::new(wire.era, wire.at);
    if !wire.is_whole {
        return Ok(Update::Changed(Changes { events, at }));
    }
    let objects = events.into_iter().map(|event| event.object).collect();
    Ok(Update::Whole(Listing { objects, at }))
}
