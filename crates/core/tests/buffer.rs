//! How a buffer for a message of unknown length grows.

use cactusroad_core::buffer;
use proptest::prelude::*;

const MAX: usize = 100_000;

proptest! {
    /// The bytes fit, nothing shrinks, and a message of allowed length never takes more than
    /// the longest one.
    #[test]
    fn capacity_random(parts in prop::collection::vec(1..20_000_usize, 1..60)) {
        let (mut held, mut capacity, mut grown) = (0, 0, 0);
        for more in parts {
            if held + more > MAX {
                break;
            }
            let next = buffer::capacity(held, more, capacity, MAX);
            held += more;
            prop_assert!(next >= held && next >= capacity && next <= MAX);
            grown += usize::from(next > capacity);
            capacity = next;
        }
        // Doubling from one byte to the maximum takes 17 steps.
        prop_assert!(grown <= 18);
    }
}

#[test]
fn capacity_doubled() {
    assert_eq!(buffer::capacity(0, 10, 0, MAX), 10);
    assert_eq!(buffer::capacity(4, 6, 10, MAX), 10);
    assert_eq!(buffer::capacity(10, 1, 10, MAX), 20);
    assert_eq!(buffer::capacity(10, 50, 10, MAX), 60);
    assert_eq!(buffer::capacity(80_000, 1, 80_000, MAX), MAX);
    assert_eq!(buffer::capacity(MAX, 1, MAX, MAX), MAX + 1);
}
