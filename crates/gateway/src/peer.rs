//! One question to another process of this project, on a connection of its own.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use cactusroad_platform::dial::{self, Connection};
use cactusroad_wire as wire;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

/// Bytes of an answer that are read at most; a list of engines has a few dozen each.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// Why a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Dial(#[from] dial::Error),
    #[error("the peer broke off: {0}; see its own log")]
    Lost(#[from] hyper::Error),
    #[error("the peer did not answer in time; check the load of its VM")]
    Timeout,
    #[error("the peer refused with status {0}; see its own log")]
    Refused(StatusCode),
    #[error("the peer's answer broke off or is too long; check that both run the same release")]
    Body,
    #[error(transparent)]
    Format(#[from] wire::Error),
}

/// Asks a peer within `limit`, and closes the connection.
pub(crate) async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &'static str,
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

/// Asks a peer on an open connection.
pub(crate) async fn send(
    connection: &mut Connection,
    address: SocketAddr,
    method: Method,
    path: &'static str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), Error> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = http::Uri::from_static(path);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    let response = connection.sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
    Ok((status, body.await.map_err(|_| Error::Body)?.to_bytes()))
}
