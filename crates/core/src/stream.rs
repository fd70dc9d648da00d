//! Buffering and ordered delivery of the frames of one generation.
//!
//! A frame holds the text of one token. The agent, the process beside the engine,
//! numbers the frames of a generation from 0 and keeps them in a [`Buffer`] at least
//! until they are acknowledged. The entry, the process that terminates the caller,
//! filters what it receives with a [`Reader`], which accepts each index of the expected
//! attempt once and in order. The link by which the frames reach the entry may therefore
//! be replaced at any moment: the new one starts at the reader's next index.
//!
//! Acknowledged frames are kept until the buffer exceeds its size limit, or until
//! the grace deadline of an ended or abandoned generation ([`drop_at`]), because an
//! acknowledgement only says that an entry wrote the frames to its caller's
//! connection. If that entry dies, the caller reconnects through another one with
//! the last [`EventId`] that it received, which may lie well below the acknowledged
//! index.

use std::{collections::VecDeque, fmt, str::FromStr, sync::Arc};

use crate::{
    Time,
    id::{Attempt, Incarnation},
};

/// The result of passing a frame to a [`Reader`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The frame is the next one and is to be delivered.
    Deliver,
    /// The frame was delivered before and is to be dropped.
    Duplicate,
    /// Frames before this one are missing; the stream is to be resumed at the next index.
    Gap,
    /// The frame belongs to another attempt and is to be dropped.
    Foreign,
}

/// Accepts each frame of one attempt once, in order.
///
/// # Examples
///
/// ```
/// use cactusroad_core::{id::Attempt, stream::{Reader, Verdict}};
///
/// let mut reader = Reader::new(Attempt(7), 0);
/// assert_eq!(reader.accept(Attempt(7), 0), Verdict::Deliver);
/// assert_eq!(reader.accept(Attempt(7), 0), Verdict::Duplicate);
/// assert_eq!(reader.accept(Attempt(7), 2), Verdict::Gap);
/// assert_eq!(reader.accept(Attempt(8), 1), Verdict::Foreign);
/// assert_eq!(reader.next_index(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Reader {
    attempt: Attempt,
    next: u64,
}

impl Reader {
    /// Returns a reader whose first expected frame is `next` of `attempt`.
    pub fn new(attempt: Attempt, next: u64) -> Reader {
        Reader { attempt, next }
    }

    /// Classifies a frame, and advances if it is the next one.
    pub fn accept(&mut self, attempt: Attempt, index: u64) -> Verdict {
        if attempt != self.attempt {
            return Verdict::Foreign;
        }
        match index.cmp(&self.next) {
            std::cmp::Ordering::Less => Verdict::Duplicate,
            std::cmp::Ordering::Greater => Verdict::Gap,
            std::cmp::Ordering::Equal => {
                self.next += 1;
                Verdict::Deliver
            }
        }
    }

    /// Returns the attempt whose frames are accepted.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the index that is expected next, which equals the number of frames accepted from 0.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Returns whether all frames were delivered, given an end marker that states `count` frames.
    pub fn is_complete(&self, attempt: Attempt, count: u64) -> bool {
        attempt == self.attempt && count == self.next
    }
}

/// The size limits of a [`Buffer`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Unacknowledged bytes at which backpressure is applied to the engine.
    pub max_unacked_bytes: usize,
    /// Bytes kept in total; beyond them, acknowledged frames are dropped.
    pub max_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_unacked_bytes: 64 * 1024,
            max_bytes: 1024 * 1024,
        }
    }
}

/// The stream cannot be resumed at the requested index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frames were acknowledged and have been dropped.
    #[error("frames before index {first} have been dropped; send the request again")]
    Dropped {
        /// The first index that is still buffered.
        first: u64,
    },
    /// The index is past the end of the stream.
    #[error("the requested index is past the {next} frames of the stream; check the event id")]
    Ahead {
        /// The index that the next frame will have.
        next: u64,
    },
}

/// The buffered frames of one generation at its agent.
#[derive(Clone, Debug)]
pub struct Buffer {
    config: Config,
    frames: VecDeque<Arc<str>>,
    /// The index of the first frame in `frames`.
    first_index: u64,
    /// The index below which all frames are acknowledged.
    acked: u64,
    bytes: usize,
    unacked_bytes: usize,
}

/// The memory that a frame takes beyond its text, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 32;

impl Buffer {
    /// Returns an empty buffer.
    pub fn new(config: Config) -> Buffer {
        Buffer {
            config,
            frames: VecDeque::new(),
            first_index: 0,
            acked: 0,
            bytes: 0,
            unacked_bytes: 0,
        }
    }

    /// Returns the index that the next frame will have.
    pub fn next_index(&self) -> u64 {
        self.first_index + self.frames.len() as u64
    }

    /// Returns the memory that the frames take, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether reading from the engine must pause until more is acknowledged.
    pub fn is_full(&self) -> bool {
        self.unacked_bytes >= self.config.max_unacked_bytes
    }

    /// Appends a frame.
    pub fn push(&mut self, text: Arc<str>) {
        let size = frame_bytes(&text);
        self.frames.push_back(text);
        self.bytes += size;
        self.unacked_bytes += size;
        self.trim();
    }

    /// Marks every frame below `next` as acknowledged; an index below earlier ones has no effect.
    pub fn acknowledge(&mut self, next: u64) {
        let next = next.min(self.next_index());
        while self.acked < next {
            let position = self.acked.saturating_sub(self.first_index);
            if let Some(text) = self.frames.get(position as usize) {
                self.unacked_bytes -= frame_bytes(text);
            }
            self.acked += 1;
        }
        self.trim();
    }

    /// Returns the frames from `index` on, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// Fails if the frame at `index` was dropped, or if `index` is past the end.
    pub fn read(&self, index: u64, limit: usize) -> Result<impl Iterator<Item = &Arc<str>>, Error> {
        if index < self.first_index {
            return Err(Error::Dropped {
                first: self.first_index,
            });
        }
        if index > self.next_index() {
            return Err(Error::Ahead {
                next: self.next_index(),
            });
        }
        let skip = (index - self.first_index) as usize;
        Ok(self.frames.iter().skip(skip).take(limit))
    }

    /// Drops acknowledged frames, oldest first, while the buffer exceeds its size limit.
    fn trim(&mut self) {
        while self.bytes > self.config.max_bytes && self.first_index < self.acked {
            let Some(text) = self.frames.pop_front() else {
                return;
            };
            self.bytes -= frame_bytes(&text);
            self.first_index += 1;
        }
    }
}

fn frame_bytes(text: &str) -> usize {
    text.len() + FRAME_OVERHEAD_BYTES
}

/// The id of a server-sent event: the agent that holds its generation, and its index.
///
/// A caller that lost its connection sends the last id it received, and any entry
/// can tell from the text alone which agent to ask.
///
/// # Examples
///
/// ```
/// use cactusroad_core::{id::{Attempt, Incarnation}, stream::EventId};
///
/// let id = EventId {
///     endpoint: "sousse-3".into(),
///     incarnation: Incarnation(0x2a),
///     attempt: Attempt(5),
///     index: 17,
/// };
/// let text = id.to_string();
/// assert_eq!(text, "sousse-3~2a~00000000000000000000000000000005~17");
/// assert_eq!(text.parse::<EventId>().unwrap(), id);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The VM whose agent holds the generation.
    pub endpoint: Arc<str>,
    /// The incarnation of that agent.
    pub incarnation: Incarnation,
    /// The attempt that the generation belongs to.
    pub attempt: Attempt,
    /// The index of the frame.
    pub index: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            endpoint,
            incarnation,
            attempt,
            index,
        } = self;
        write!(f, "{endpoint}~{incarnation}~{attempt}~{index}")
    }
}

/// The text is not a valid event id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event id is invalid; send back the last `id:` field unchanged")]
pub struct EventIdError;

/// The maximum length of an event id, in bytes.
const MAX_EVENT_ID_BYTES: usize = 256;

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<EventId, EventIdError> {
        if text.len() > MAX_EVENT_ID_BYTES {
            return Err(EventIdError);
        }
        let mut fields = text.split('~');
        let mut field = || fields.next().ok_or(EventIdError);
        let endpoint = field()?;
        let incarnation = u64::from_str_radix(field()?, 16).map_err(|_| EventIdError)?;
        let attempt = field()?.parse().map_err(|_| EventIdError)?;
        let index: u64 = field()?.parse().map_err(|_| EventIdError)?;
        // The stream resumes after the index, so `index + 1` must not overflow.
        if endpoint.is_empty() || index == u64::MAX || fields.next().is_some() {
            return Err(EventIdError);
        }
        Ok(EventId {
            endpoint: endpoint.into(),
            incarnation: Incarnation(incarnation),
            attempt,
            index,
        })
    }
}

/// Returns when the frames of an ended or abandoned generation may be dropped: 30 s after
/// `last_read`, when its last reader left or, if it had none, when it began.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cactusroad_core::{Time, stream};
///
/// let last_reader = Time::from_millis(1_000);
/// assert_eq!(stream::drop_at(last_reader), Time::from_millis(31_000));
/// ```
pub fn drop_at(last_read: Time) -> Time {
    last_read + std::time::Duration::from_secs(GRACE_SECONDS)
}

/// How long a generation without a reader is kept, so that its caller can reconnect, in
/// seconds.
const GRACE_SECONDS: u64 = 30;
