//! The frames of one generation, on both sides of a link.
//!
//! The agent numbers the tokens of a generation from 0 and keeps them in a
//! [`Buffer`] until they are acknowledged and a grace deadline has passed. The
//! entry passes what it receives through a [`Reader`], which lets each index of
//! the one expected attempt through once and in order. A link may therefore be
//! replaced at any moment: the new one starts at the reader's next index.
//!
//! Acknowledged frames stay for a while because an acknowledgement only says
//! that an entry handed the frames to its caller's connection. If that entry
//! dies, the caller comes back through another one with the last [`EventId`]
//! that it saw, which may lie well below the acknowledged index.

use std::{collections::VecDeque, fmt, str::FromStr, sync::Arc};

use crate::{
    Time,
    id::{Attempt, Incarnation},
};

/// What a [`Reader`] says of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The frame is the next one: pass it on.
    Deliver,
    /// The frame was passed on before: drop it.
    Duplicate,
    /// Frames before this one are missing: take the stream up again at the next index.
    Gap,
    /// The frame belongs to another attempt: drop it.
    Foreign,
}

/// Lets each frame of one attempt through once, in order.
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
    /// Returns a reader that expects `next` of `attempt` first.
    pub fn new(attempt: Attempt, next: u64) -> Reader {
        Reader { attempt, next }
    }

    /// Judges a frame and steps forward where it is the next one.
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

    /// The attempt whose frames are let through.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// The index that is expected next, which is also how many were let through from 0.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Tells whether the stream is whole when its end states `count` tokens.
    pub fn is_whole(&self, attempt: Attempt, count: u64) -> bool {
        attempt == self.attempt && count == self.next
    }
}

/// How much a [`Buffer`] holds.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Bytes that may wait for acknowledgement before the engine is held back.
    pub max_unacked_bytes: usize,
    /// Bytes kept in all; acknowledged frames beyond them go first.
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

/// A stream that cannot be taken up at the index that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frames were dropped after their grace deadline.
    #[error("frames before {first} are no longer kept; send the request again")]
    Dropped {
        /// The first index that is still kept.
        first: u64,
    },
    /// The index lies beyond the frames that exist.
    #[error("the stream has only {next} frames; check the event id")]
    Ahead {
        /// The index that the next frame will have.
        next: u64,
    },
}

/// The frames of one generation at its agent.
#[derive(Clone, Debug)]
pub struct Buffer {
    config: Config,
    frames: VecDeque<Arc<str>>,
    first: u64,
    acked: u64,
    bytes: usize,
    unacked_bytes: usize,
}

/// What a frame costs beyond its text, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 32;

impl Buffer {
    /// Returns an empty buffer.
    pub fn new(config: Config) -> Buffer {
        Buffer {
            config,
            frames: VecDeque::new(),
            first: 0,
            acked: 0,
            bytes: 0,
            unacked_bytes: 0,
        }
    }

    /// The index that the next frame will have.
    pub fn next_index(&self) -> u64 {
        self.first + self.frames.len() as u64
    }

    /// The bytes that the frames take up.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tells whether the engine must be held back until more is acknowledged.
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

    /// Marks every frame below `next` as delivered; a lower mark changes nothing.
    pub fn acknowledge(&mut self, next: u64) {
        let next = next.min(self.next_index());
        while self.acked < next {
            let at = self.acked.saturating_sub(self.first);
            if let Some(text) = self.frames.get(at as usize) {
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
    /// Fails where the frames at `index` are dropped or do not exist yet.
    pub fn read(&self, index: u64, limit: usize) -> Result<impl Iterator<Item = &Arc<str>>, Error> {
        if index < self.first {
            return Err(Error::Dropped { first: self.first });
        }
        if index > self.next_index() {
            return Err(Error::Ahead {
                next: self.next_index(),
            });
        }
        let skip = (index - self.first) as usize;
        Ok(self.frames.iter().skip(skip).take(limit))
    }

    /// Drops acknowledged frames, oldest first, while the buffer is over its size.
    fn trim(&mut self) {
        while self.bytes > self.config.max_bytes && self.first < self.acked {
            let Some(text) = self.frames.pop_front() else {
                return;
            };
            self.bytes -= frame_bytes(&text);
            self.first += 1;
        }
    }
}

fn frame_bytes(text: &str) -> usize {
    text.len() + FRAME_OVERHEAD_BYTES
}

/// The id of a server-sent event: where its generation is held, and its index.
///
/// A caller that lost its connection sends the last id it saw, and any entry
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
    /// The generation.
    pub attempt: Attempt,
    /// The index of the token.
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

/// A text that is not an event id of this system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event id cannot be read; send back the last `id:` field exactly as it came")]
pub struct EventIdError;

/// The longest event id that is read, in bytes.
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
        // The stream is taken up after the index, so there must be an index after it.
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

/// When the frames of an ended or abandoned generation may be dropped.
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

/// How long a generation without a reader is kept, in seconds.
const GRACE_SECONDS: u64 = 30;
