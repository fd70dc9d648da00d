//! How a buffer grows while a message of unknown length is read into it.
//!
//! A buffer that doubles takes up to twice what it holds. The memory that all messages may
//! take is limited, so what a buffer will take must be known before it grows. The buffers of
//! libraries grow as they see fit and do not tell beforehand.

/// Returns the capacity, in bytes, that a buffer needs for `more` bytes behind the `held`
/// ones. It stays as it is if they fit. Otherwise it doubles, so that a message that arrives
/// in small parts is copied a few times only, but to no more than `max`, the longest message,
/// unless the bytes need that.
pub fn capacity(held: usize, more: usize, capacity: usize, max: usize) -> usize {
    let needed = held.saturating_add(more);
    if needed <= capacity {
        return capacity;
    }
    needed.max(capacity.saturating_mul(2).min(max))
}
