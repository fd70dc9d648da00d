//! Length-prefixed messages over a QUIC stream.

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

/// Number of buffered bytes at which queued messages are written to the stream.
const WRITE_BOUNDARY_BYTES: usize = 8 * 1024;

/// Size of the length prefix of a message, in bytes.
const LENGTH_BYTES: usize = 4;

/// The sending half of a stream.
pub struct Sender<M> {
    inner: FramedWrite<SendStream, LengthDelimitedCodec>,
    bytes: ByteCount,
    message: PhantomData<fn(M)>,
}

impl<M: Message> Sender<M> {
    pub(super) fn new(stream: SendStream) -> Sender<M> {
        let mut inner = FramedWrite::new(stream, codec());
        inner.set_backpressure_boundary(WRITE_BOUNDARY_BYTES);
        Sender {
            inner,
            bytes: ByteCount::default(),
            message: PhantomData,
        }
    }

    /// Adds the bytes sent so far to `counter`, and those of all later messages.
    pub fn set_counter(&mut self, counter: IntCounter) {
        self.bytes.set_counter(counter);
    }

    /// Queues a message until the next [`Sender::flush`] or until the buffer is full.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Broken`] if the connection is lost.
    pub async fn feed(&mut self, message: &M) -> Result<(), Error> {
        let bytes = cactusroad_wire::encode(message);
        self.bytes.add(bytes.len());
        self.inner.feed(bytes).await.map_err(|_| Error::Broken)
    }

    /// Sends the queued messages.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Broken`] if the connection is lost.
    pub async fn flush(&mut self) -> Result<(), Error> {
        SinkExt::<Bytes>::flush(&mut self.inner)
            .await
            .map_err(|_| Error::Broken)
    }

    /// Sends a message and flushes the stream.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Broken`] if the connection is lost.
    pub async fn send(&mut self, message: &M) -> Result<(), Error> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Ends the stream; data that was sent is still delivered.
    pub fn finish(&mut self) {
        // An error means that the stream is already closed.
        let _ = self.inner.get_mut().finish();
    }
}

/// The receiving half of a stream.
pub struct Receiver<M> {
    inner: FramedRead<RecvStream, LengthDelimitedCodec>,
    last_received_micros: Arc<AtomicU64>,
    bytes: ByteCount,
    message: PhantomData<fn() -> M>,
}

impl<M: Message + Default> Receiver<M> {
    pub(super) fn new(stream: RecvStream, last_received_micros: Arc<AtomicU64>) -> Receiver<M> {
        Receiver {
            inner: FramedRead::new(stream, codec()),
            last_received_micros,
            bytes: ByteCount::default(),
            message: PhantomData,
        }
    }

    /// Adds the bytes received so far to `counter`, and those of all later messages.
    pub fn set_counter(&mut self, counter: IntCounter) {
        self.bytes.set_counter(counter);
    }

    /// Waits for the next message; returns `None` if the peer ended the stream.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Broken`] if the connection is lost, and [`Error::Protocol`] if the message
    /// cannot be decoded.
    pub async fn next(&mut self) -> Result<Option<M>, Error> {
        let Some(frame) = self.inner.next().await else {
            return Ok(None);
        };
        let bytes = frame.map_err(|_| Error::Broken)?;
        self.bytes.add(bytes.len());
        self.last_received_micros
            .store(clock::now().as_micros(), Ordering::Relaxed);
        let message = cactusroad_wire::decode(bytes.freeze()).map_err(|_| Error::Protocol)?;
        Ok(Some(message))
    }
}

/// Byte count of one direction of a stream.
///
/// The counter is set after the first message, since only that shows what the stream is used for.
#[derive(Default)]
struct ByteCount {
    uncounted: u64,
    counter: Option<IntCounter>,
}

impl ByteCount {
    fn add(&mut self, message_bytes: usize) {
        let bytes = (message_bytes + LENGTH_BYTES) as u64;
        match &self.counter {
            Some(counter) => counter.inc_by(bytes),
            None => self.uncounted += bytes,
        }
    }

    fn set_counter(&mut self, counter: IntCounter) {
        counter.inc_by(std::mem::take(&mut self.uncounted));
        self.counter = Some(counter);
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}
