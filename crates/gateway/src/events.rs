//! Splits a stream into whole events.
//!
//! An engine that breaks off may do so in the middle of an event. Only whole
//! events go to callers, so that a run can go on elsewhere at the next one.

use bytes::{Buf, Bytes, BytesMut};

/// Bytes of one event that are held at most; usual ones have a few hundred.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is larger than streams may hold.
#[derive(Debug, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes; the endpoint must split it")]
pub(crate) struct TooLarge;

/// One whole event with its closing blank line.
#[derive(Debug, PartialEq)]
pub(crate) struct Event {
    /// The bytes, as the engine sent them.
    pub(crate) bytes: Bytes,
    /// The number in its `id` field.
    pub(crate) id: Option<u64>,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    /// Bytes that were searched already.
    searched: usize,
}

impl Splitter {
    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Fails where an event does not end.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next whole event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = parse_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the bytes of an event that is not whole.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.copy_to_bytes(self.buffer.len())
    }

    /// Finds the end of the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        // An ending may straddle the bytes searched before and the new ones.
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
