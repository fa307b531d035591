//! How long the fleet has been running, as daemons tell each other.
//!
//! A daemon that starts cannot know whether its host had a process before. If other daemons
//! have been running for longer, it had one, or the host is new; if all of them have just
//! started, nothing was counted before. Each daemon passes on the greatest age that it has
//! heard of, so that the age outlives the daemons that were there from the start.

use std::time::Duration;

/// The longest time between the starts of two daemons of a fleet that starts as a whole.
const START_SPREAD: Duration = Duration::from_secs(2);

/// The age of the fleet, as far as one daemon knows it.
#[derive(Debug, Clone, Copy)]
pub struct FleetAge {
    /// When the daemon started.
    started: Duration,
    /// How much earlier than this one the first daemon started.
    head_start: Duration,
}

impl FleetAge {
    /// Returns the age of a fleet of which a daemon that started at the time `started`
    /// knows only itself.
    pub fn new(started: Duration) -> FleetAge {
        FleetAge {
            started,
            head_start: Duration::ZERO,
        }
    }

    /// Returns the age of the fleet at the time `now`.
    pub fn get(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started) + self.head_start
    }

    /// Records that another daemon knows that the fleet has this age. Returns whether the
    /// fleet had been running when this daemon started.
    pub fn record(&mut self, age: Duration, now: Duration) -> bool {
        let own_age = now.saturating_sub(self.started);
        self.head_start = self.head_start.max(age.saturating_sub(own_age));
        self.head_start > START_SPREAD
    }
}
