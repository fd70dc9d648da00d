//! Metrics and health of a process over HTTP, for the site's own tools.

use std::{net::SocketAddr, sync::Arc};

use axum::{Router, extract::State, http::StatusCode, routing::get};
use tokio::net::TcpListener;

use crate::{metrics::Exporter, transport::Error};

/// Tells whether a process is ready for work.
pub trait Readiness: Send + Sync + 'static {
    /// Tells whether a process is ready for work.
    fn is_ready(&self) -> bool;
}

struct Shared<R> {
    exporter: Exporter,
    readiness: R,
}

/// Serves `/metrics`, `/healthz` and `/readyz` in a task of its own; returns the address.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub async fn start<R: Readiness>(
    address: SocketAddr,
    exporter: Exporter,
    readiness: R,
) -> Result<SocketAddr, Error> {
    let bind = |cause: std::io::Error| Error::Bind {
        address: address.to_string(),
        cause: cause.to_string(),
    };
    let listener = TcpListener::bind(address).await.map_err(bind)?;
    let bound = listener.local_addr().map_err(bind)?;
    let shared = Arc::new(Shared {
        exporter,
        readiness,
    });
    let router = Router::new()
        .route("/metrics", get(metrics::<R>))
        .route("/healthz", get(|| async { StatusCode::OK }))
        .route("/readyz", get(ready::<R>))
        .with_state(shared);
    tokio::spawn(async move {
        if let Err(cause) = axum::serve(listener, router).await {
            log::error!("the server for metrics failed: {cause}");
        }
    });
    Ok(bound)
}

async fn metrics<R: Readiness>(State(shared): State<Arc<Shared<R>>>) -> String {
    shared.exporter.render()
}

async fn ready<R: Readiness>(State(shared): State<Arc<Shared<R>>>) -> StatusCode {
    match shared.readiness.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
