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
    /// The time of the first [`StateFreshness::observe`].
    observed_since: Option<Duration>,
    /// The last confirmation before the state became unconfirmed; `None` while it is
    /// confirmed in time.
    unconfirmed_since: Option<Duration>,
}

/// The start or the end of a time in which the state is not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessChange {
    /// The state is no longer confirmed in time; the last confirmation is this old.
    Unconfirmed(Duration),
    /// The state is confirmed again, this long after the confirmation before.
    Confirmed(Duration),
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

    /// Returns whether the state has stopped or begun to be confirmed within `bound`
    /// since the last call. Before the first confirmation, the time counts from the
    /// first call.
    pub fn observe(&mut self, bound: Duration, now: Duration) -> Option<FreshnessChange> {
        let observed_since = *self.observed_since.get_or_insert(now);
        let latest = self.confirmed_at.unwrap_or(observed_since);
        let age = now.saturating_sub(latest);
        match self.unconfirmed_since {
            None if age > bound => {
                self.unconfirmed_since = Some(latest);
                Some(FreshnessChange::Unconfirmed(age))
            }
            Some(since) if age <= bound => {
                self.unconfirmed_since = None;
                Some(FreshnessChange::Confirmed(latest.saturating_sub(since)))
            }
            _ => None,
        }
    }
}
