//! Accepts the links of peers and hands each stream to a handler.

use std::{future::Future, sync::Arc, sync::atomic::AtomicU64};

use cactusroad_wire::message::{Reply, Request};
use quinn::{Connection, Endpoint};

use super::frame::{Receiver, Sender};

/// A stream that a peer opened.
pub struct Incoming {
    /// What the peer sends.
    pub receiver: Receiver<Request>,
    /// What this side answers.
    pub sender: Sender<Reply>,
}

/// Accepts links until the socket is closed; each stream runs as a task of its own.
pub async fn serve<F, H>(socket: Endpoint, handler: H)
where
    H: Fn(Incoming) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    while let Some(incoming) = socket.accept().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => streams(connection, handler).await,
                Err(cause) => log::warn!("a peer was refused: {cause}"),
            }
        });
    }
}

async fn streams<F, H>(connection: Connection, handler: H)
where
    H: Fn(Incoming) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let heard = Arc::new(AtomicU64::new(0));
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(handler(Incoming {
            receiver: Receiver::new(receive, heard.clone()),
            sender: Sender::new(send),
        }));
    }
}
