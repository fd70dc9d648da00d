//! Tests of positions in the history of the store.

use cactusroad_core::history::Position;
use proptest::prelude::*;

proptest! {
    /// Guards against a state from before a restore that counts as newer because it has a higher
    /// revision.
    #[test]
    fn position_order(eras in (0..9u64, 0..9u64), revisions in (0..99u64, 0..99u64)) {
        let (one, other) = (
            Position::new(eras.0, revisions.0),
            Position::new(eras.1, revisions.1),
        );
        let is_newer = if eras.0 == eras.1 {
            revisions.0 > revisions.1
        } else {
            eras.0 > eras.1
        };
        prop_assert_eq!(one > other, is_newer);
    }
}
