//! Accepts connections from peers and passes each stream to a handler.

use std::{future::Future, sync::Arc, sync::atomic::AtomicU64};

use cactusroad_wire::message::{Reply, Request};
use quinn::{Connection, Endpoint};

use super::frame::{Receiver, Sender};

/// A stream opened by a peer.
pub struct Incoming {
    /// The requests of the peer.
    pub receiver: Receiver<Request>,
    /// The replies to the peer.
    pub sender: Sender<Reply>,
}

/// Accepts connections until the socket is closed, and runs `handler` for each stream in a new task.
pub async fn serve<F, H>(socket: Endpoint, handler: H)
where
    H: Fn(Incoming) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    while let Some(incoming) = socket.accept().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => accept_streams(connection, handler).await,
                Err(cause) => log::warn!("handshake with a peer failed: {cause}"),
            }
        });
    }
}

async fn accept_streams<F, H>(connection: Connection, handler: H)
where
    H: Fn(Incoming) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let last_received_micros = Arc::new(AtomicU64::new(0));
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(handler(Incoming {
            receiver: Receiver::new(receive, last_received_micros.clone()),
            sender: Sender::new(send),
        }));
    }
}
