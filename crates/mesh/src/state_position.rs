//! The position of a state of the platform's store among all its states.
//!
//! The store may come back from a copy that is some seconds old. Its revisions then go
//! back and are given out again, for other changes, and its era rises. A revision
//! alone therefore orders nothing, and positions can be compared only as a whole.

use std::fmt;

/// The position of a state: of two states, the one with the greater position is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StatePosition {
    /// How often the store has come back from a copy.
    pub era: u64,
    /// The store's revision within the era.
    pub revision: u64,
}

impl StatePosition {
    /// The position of a daemon that knows no state.
    pub const UNKNOWN: StatePosition = StatePosition {
        era: 0,
        revision: 0,
    };

    /// Returns whether there is a state at this position.
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Returns whether this state belongs to a later era than `other`, so that the
    /// changes between them are unknown.
    pub fn is_restored_since(&self, other: StatePosition) -> bool {
        other.is_known() && self.era > other.era
    }
}

impl fmt::Display for StatePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
