//! Splits a stream of server-sent events into complete events.
//!
//! An engine can fail in the middle of an event. Only complete events are forwarded
//! to callers, so that another engine can resume the run with the next event.

use bytes::{Buf, Bytes, BytesMut};
use cactusroad_core::buffer;

/// The maximum size of one event. Typical events have a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds the maximum size.
#[derive(Debug, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes; the endpoint must split it")]
pub(crate) struct TooLarge;

/// One complete event with its closing blank line.
#[derive(Debug, PartialEq)]
pub(crate) struct Event {
    /// The bytes, as the engine sent them.
    pub(crate) bytes: Bytes,
    /// The value of its `id` field, if that is a number.
    pub(crate) id: Option<u64>,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    /// The number of buffered bytes that were already searched for the end.
    searched: usize,
}

impl Splitter {
    /// Adds bytes to the buffer.
    ///
    /// # Errors
    ///
    /// Returns [`TooLarge`] if the buffer would exceed the maximum size of an event.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        let grown = self.held_bytes_with(bytes.len());
        self.buffer.reserve(grown - self.buffer.len());
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next complete event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = parse_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the memory that the buffer takes once `more` bytes are added.
    pub(crate) fn held_bytes_with(&self, more: usize) -> usize {
        let (held, capacity) = (self.buffer.len(), self.buffer.capacity());
        buffer::capacity(held, more, capacity, MAX_EVENT_BYTES)
    }

    /// Removes and returns the bytes of an incomplete event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.copy_to_bytes(self.buffer.len())
    }

    /// Finds the end of the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        // The end of an event may span the bytes searched before and the new ones.
        let from = self.searched.saturating_sub(3);
        for (index, byte) in bytes.iter().enumerate().skip(from) {
            if *byte != b'\n' {
                continue;
            }
            match (bytes.get(index + 1), bytes.get(index + 2)) {
                (Some(b'\n'), _) => return Some(index + 2),
                (Some(b'\r'), Some(b'\n')) => return Some(index + 3),
                _ => {}
            }
        }
        self.searched = bytes.len();
        None
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
