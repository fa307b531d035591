//! How recently the store confirmed the state of a daemon.
//!
//! A reader's state is confirmed by each answer of the store. A follower's state
//! is as old as that of the daemon it follows. A daemon whose state is older than
//! the time in which changes must take effect may lack a route that others
//! already know, so it must not tell callers that a route does not exist.

use std::time::Duration;

/// When the store last confirmed a daemon's state.
#[derive(Debug, Clone, Copy, Default)]
pub struct StateFreshness {
    confirmed_at: Option<Duration>,
}

impl StateFreshness {
    /// Records that the state was the store's state at the time `at`.
    pub fn confirm(&mut self, at: Duration) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// Returns the age of the last confirmation; `None` before the first one.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether a change that must have taken effect within `bound` may be
    /// missing from the state.
    pub fn may_lack_changes(&self, bound: Duration, now: Duration) -> bool {
        self.age(now).is_none_or(|age| age > bound)
    }
}
