//! HTTP requests to other gateways and sidecars.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cactusroad_platform::dial::{self, Connection};
use cactusroad_wire as wire;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

/// The maximum size of a response body: a list of endpoints, or a configuration.
const MAX_RESPONSE_BYTES: usize = wire::MAX_MESSAGE_BYTES;

/// The reason why a request to a peer failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Dial(#[from] dial::Error),
    #[error("the connection to the peer failed: {0}; see the peer's log")]
    Lost(#[from] hyper::Error),
    #[error("the peer did not answer before the timeout; check the load of its VM")]
    Timeout,
    #[error("the peer answered with status {0}; see the peer's log")]
    Refused(StatusCode),
    #[error(
        "the peer's response body is incomplete or too large; check that both run the same release"
    )]
    Body,
    #[error("the request's path is not a valid URI; correct the name that it contains")]
    Path,
    #[error(transparent)]
    Format(#[from] wire::Error),
}

/// Sends one request on a new connection, within `limit`, and closes the connection.
pub(crate) async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
) -> Result<(StatusCode, Bytes), Error> {
    let response = async {
        let mut connection = dial::connect(address, limit).await?;
        send(&mut connection, address, method, path, body).await
    };
    timeout(limit, response)
        .await
        .unwrap_or(Err(Error::Timeout))
}

/// Sends a request on an open connection and reads the whole response.
pub(crate) async fn send(
    connection: &mut Connection,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), Error> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|_| Error::Path)?;
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    let response = connection.send(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
    Ok((status, body.await.map_err(|_| Error::Body)?.to_bytes()))
}
