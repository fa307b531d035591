//! Whether a daemon may trust what it knows after a pause.
//!
//! A paused process resumes with the state that it had. Before it acts on that
//! state it asks one neighbour for its head, for a bounded time.

use std::time::Duration;

/// How long a resumed daemon waits for a neighbour.
pub const CHECK_TIME: Duration = Duration::from_millis(500);

/// How far a daemon may act on what it knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Freshness {
    /// The control loop runs on time.
    #[default]
    Fresh,
    /// The loop ran late and a neighbour is being asked; new work waits.
    Checking,
    /// No neighbour answered; the daemon serves what it has.
    Isolated,
}

/// Follows the lateness of ticks.
#[derive(Debug, Clone)]
pub struct FreshnessCheck {
    stale_after: Duration,
    state: Freshness,
    until: Duration,
}

impl FreshnessCheck {
    /// Returns a check that takes a tick later than `stale_after` for a pause.
    pub fn new(stale_after: Duration) -> FreshnessCheck {
        FreshnessCheck {
            stale_after,
            state: Freshness::Fresh,
            until: Duration::ZERO,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> Freshness {
        self.state
    }

    /// Notes the time of an event; returns the lateness when it shows a pause.
    pub fn observe(&mut self, due: Duration, now: Duration) -> Option<Duration> {
        let late = now.saturating_sub(due);
        if late <= self.stale_after {
            return None;
        }
        self.state = Freshness::Checking;
        self.until = now + CHECK_TIME;
        Some(late)
    }

    /// Ends the wait when its time is over; returns whether it did.
    pub fn expire(&mut self, now: Duration) -> bool {
        let ends = self.state == Freshness::Checking && now >= self.until;
        if ends {
            self.state = Freshness::Isolated;
        }
        ends
    }

    /// Returns when the wait ends, while there is one.
    pub fn deadline(&self) -> Option<Duration> {
        (self.state == Freshness::Checking).then_some(self.until)
    }

    /// Notes that a peer answered; returns whether that made the state fresh.
    pub fn answered(&mut self) -> bool {
        std::mem::replace(&mut self.state, Freshness::Fresh) != Freshness::Fresh
    }
}
