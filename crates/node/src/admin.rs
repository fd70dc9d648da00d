//! HTTP server for the metrics and health checks of a process.

use std::{net::SocketAddr, sync::Arc};

use axum::{Router, extract::State, http::StatusCode, routing::get};
use tokio::net::TcpListener;

use crate::{metrics::Exporter, transport::Error};

/// A source for the readiness check of a process.
pub trait Readiness: Send + Sync + 'static {
    /// Returns whether the process accepts new requests.
    fn is_ready(&self) -> bool;
}

struct ServerState<R> {
    exporter: Exporter,
    readiness: R,
}

/// Spawns a task that serves `/metrics`, `/healthz` and `/readyz`, and returns the bound address.
///
/// # Errors
///
/// Returns [`Error::Bind`] if `address` cannot be bound.
pub async fn start<R: Readiness>(
    address: SocketAddr,
    exporter: Exporter,
    readiness: R,
) -> Result<SocketAddr, Error> {
    let bind_error = |cause: std::io::Error| Error::Bind {
        address: address.to_string(),
        cause: cause.to_string(),
    };
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    let state = Arc::new(ServerState {
        exporter,
        readiness,
    });
    let router = Router::new()
        .route("/metrics", get(metrics::<R>))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .route("/readyz", get(ready::<R>))
        .with_state(state);
    tokio::spawn(async move {
        if let Err(cause) = axum::serve(listener, router).await {
            log::error!("admin server on {bound} failed: {cause}");
        }
    });
    Ok(bound)
}

async fn metrics<R: Readiness>(State(state): State<Arc<ServerState<R>>>) -> String {
    state.exporter.render()
}

async fn ready<R: Readiness>(State(state): State<Arc<ServerState<R>>>) -> StatusCode {
    match state.readiness.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
