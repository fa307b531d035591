//! What the process before this one may have used of an allowance.
//!
//! An allowance for a window of time, such as a rate or a budget, is counted in the memory
//! of a process. A process that has just started does not know what the one before it has
//! used, and both count against the same window. So after a start the allowance counts as
//! used until the window has passed since the start, or until whoever grants the allowance
//! has stated it anew.

use std::time::Duration;

/// The use of an allowance by the process before, which is unknown until a time.
#[derive(Debug, Clone, Copy, Default)]
pub struct InheritedUse {
    /// When the window since the start has passed; `None` if nothing is inherited.
    until: Option<Duration>,
}

impl InheritedUse {
    /// Returns the use of an allowance with this window, after a start at the time
    /// `started`.
    pub fn since(started: Duration, window: Duration) -> InheritedUse {
        InheritedUse {
            until: Some(started + window),
        }
    }

    /// Records that the allowance was stated anew.
    pub fn settle(&mut self) {
        self.until = None;
    }

    /// Returns whether the allowance counts as used at the time `now`.
    pub fn is_open(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the earliest time at which the allowance can be used, at least `now`.
    pub fn usable_from(&self, now: Duration) -> Duration {
        self.until.map_or(now, |until| until.max(now))
    }
}
