//! An estimate of the rate of events.

use std::time::Duration;

/// The time constant of the estimate: load moves between hosts within a second.
const TIME_CONSTANT_S: f64 = 1.0;

/// The exponentially weighted rate of events in the last second.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateEstimate {
    per_second: f64,
    updated: Duration,
}

impl RateEstimate {
    /// Counts events at the time `now`.
    pub fn record(&mut self, events: f64, now: Duration) {
        self.per_second = self.per_second(now) + events / TIME_CONSTANT_S;
        self.updated = self.updated.max(now);
    }

    /// Returns the events a second.
    pub fn per_second(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.per_second * (-passed / TIME_CONSTANT_S).exp()
    }
}
