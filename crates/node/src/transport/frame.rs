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
use prometheus::IntCounter;
use prost::Message;
use quinn::{RecvStream, SendStream};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::Error;
use crate::clock;

/// Bytes that are gathered before a stream is written to.
const WRITE_BOUNDARY_BYTES: usize = 8 * 1024;

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

/// The sending half of a stream.
pub struct Sender<M> {
    inner: FramedWrite<SendStream, LengthDelimitedCodec>,
    bytes: Bytecount,
    message: PhantomData<fn(M)>,
}

impl<M: Message> Sender<M> {
    pub(super) fn new(stream: SendStream) -> Sender<M> {
        let mut inner = FramedWrite::new(stream, codec());
        inner.set_backpressure_boundary(WRITE_BOUNDARY_BYTES);
        Sender {
            inner,
            bytes: Bytecount::default(),
            message: PhantomData,
        }
    }

    /// Counts what this stream has sent and will send.
    pub fn count(&mut self, counter: IntCounter) {
        self.bytes.report(counter);
    }

    /// Queues a message; it leaves with the next [`Sender::flush`].
    ///
    /// # Errors
    ///
    /// Fails where the link is broken.
    pub async fn feed(&mut self, message: &M) -> Result<(), Error> {
        let bytes = cactusroad_wire::encode(message);
        self.bytes.add(bytes.len());
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
    bytes: Bytecount,
    message: PhantomData<fn() -> M>,
}

impl<M: Message + Default> Receiver<M> {
    pub(super) fn new(stream: RecvStream, heard: Arc<AtomicU64>) -> Receiver<M> {
        Receiver {
            inner: FramedRead::new(stream, codec()),
            heard,
            bytes: Bytecount::default(),
            message: PhantomData,
        }
    }

    /// Counts what this stream has received and will receive.
    pub fn count(&mut self, counter: IntCounter) {
        self.bytes.report(counter);
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
        self.bytes.add(bytes.len());
        self.heard
            .store(clock::now().as_micros(), Ordering::Relaxed);
        let message = cactusroad_wire::decode(bytes.freeze()).map_err(|_| Error::Protocol)?;
        Ok(Some(message))
    }
}

/// Bytes of one direction of a stream, whose kind shows only after its first message.
#[derive(Default)]
struct Bytecount {
    unreported: u64,
    counter: Option<IntCounter>,
}

impl Bytecount {
    fn add(&mut self, message_bytes: usize) {
        let bytes = (message_bytes + LENGTH_BYTES) as u64;
        match &self.counter {
            Some(counter) => counter.inc_by(bytes),
            None => self.unreported += bytes,
        }
    }

    fn report(&mut self, counter: IntCounter) {
        counter.inc_by(std::mem::take(&mut self.unreported));
        self.counter = Some(counter);
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}
