//! Messages over one QUIC stream, each behind its length.

use std::{
    marker::PhantomData,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use cactusroad_wire::MAX_MESSAGE_BYTES;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use quinn::{RecvStream, SendStream};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::Error;
use crate::clock;

/// Bytes that are gathered before a stream is written to.
const WRITE_BOUNDARY_BYTES: usize = 8 * 1024;

/// The sending half of a stream.
pub struct Sender<M> {
    inner: FramedWrite<SendStream, LengthDelimitedCodec>,
    message: PhantomData<fn(M)>,
}

impl<M: Message> Sender<M> {
    pub(super) fn new(stream: SendStream) -> Sender<M> {
        let mut inner = FramedWrite::new(stream, codec());
        inner.set_backpressure_boundary(WRITE_BOUNDARY_BYTES);
        Sender {
            inner,
            message: PhantomData,
        }
    }

    /// Queues a message; it leaves with the next [`Sender::flush`].
    ///
    /// # Errors
    ///
    /// Fails where the link is broken.
    pub async fn feed(&mut self, message: &M) -> Result<(), Error> {
        let bytes = cactusroad_wire::encode(message);
        self.inner.feed(bytes).await.map_err(|_| Error::Broken)
    }

    /// Sends what is queued.
    ///
    /// # Errors
    ///
    /// Fails where the link is broken.
    pub async fn flush(&mut self) -> Result<(), Error> {
        SinkExt::<Bytes>::flush(&mut self.inner)
            .await
            .map_err(|_| Error::Broken)
    }

    /// Sends one message at once.
    ///
    /// # Errors
    ///
    /// Fails where the link is broken.
    pub async fn send(&mut self, message: &M) -> Result<(), Error> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Ends the stream; what was sent still arrives.
    pub fn finish(&mut self) {
        // A stream that is already closed has nothing left to end.
        let _ = self.inner.get_mut().finish();
    }
}

/// The receiving half of a stream.
pub struct Receiver<M> {
    inner: FramedRead<RecvStream, LengthDelimitedCodec>,
    heard: Arc<AtomicU64>,
    message: PhantomData<fn() -> M>,
}

impl<M: Message + Default> Receiver<M> {
    pub(super) fn new(stream: RecvStream, heard: Arc<AtomicU64>) -> Receiver<M> {
        Receiver {
            inner: FramedRead::new(stream, codec()),
            heard,
            message: PhantomData,
        }
    }

    /// Waits for the next message; `None` where the peer ended the stream.
    ///
    /// # Errors
    ///
    /// Fails where the link is broken or the peer sends garbage.
    pub async fn next(&mut self) -> Result<Option<M>, Error> {
        let Some(frame) = self.inner.next().await else {
            return Ok(None);
        };
        let bytes = frame.map_err(|_| Error::Broken)?;
        self.heard
            .store(clock::now().as_micros(), Ordering::Relaxed);
        let message = cactusroad_wire::decode(bytes.freeze()).map_err(|_| Error::Protocol)?;
        Ok(Some(message))
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}
