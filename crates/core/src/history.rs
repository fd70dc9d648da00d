//! Positions in the history of the platform's store.
//!
//! The store numbers its changes with revisions. After a restore from an older copy it
//! loses the changes since the copy was made and gives their revisions out again, so a
//! revision alone does not identify a state. Each restore begins a new era of the history.
//! Positions are compared by the era first: the state at a revision of a later era is newer
//! than any state of an earlier one, although it may lack changes of that one.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::history::Position;
//!
//! let before = Position::new(1, 900);
//! let restored = Position::new(2, 850);
//! assert!(before < restored);
//! assert!(before.is_of_era(1) && !restored.is_of_era(1));
//! ```

use std::fmt;

/// A position in the history: a revision of an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The era; zero for a store that does not state it.
    pub era: u64,
    /// The revision, which grows within the era.
    pub revision: u64,
}

impl Position {
    /// The position before all changes.
    pub const ZERO: Position = Position::new(0, 0);

    /// Returns the position at a revision of an era.
    pub const fn new(era: u64, revision: u64) -> Position {
        Position { era, revision }
    }

    /// Returns whether the position is one of this era.
    pub fn is_of_era(self, era: u64) -> bool {
        self.era == era
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "revision {} of era {}", self.revision, self.era)
    }
}
