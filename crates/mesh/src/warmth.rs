//! The rate that a cold target bears.
//!
//! A cold target crashes when it gets many more requests a second than it
//! declared. The limit counts the requests of the last second, so the bound
//! holds for every span of that length.

use std::collections::VecDeque;
use std::time::Duration;

/// The span over which requests to a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A bound on the requests to a cold target.
#[derive(Debug, Clone, Default)]
pub struct ColdLimit {
    until: Option<Duration>,
    rate: f64,
    /// When the requests of the last second were sent; kept while warm too, as a
    /// target may turn cold at any moment.
    sent: VecDeque<Duration>,
}

impl ColdLimit {
    /// Takes the target for cold until a time, with a rate in requests a second.
    pub fn set_cold(&mut self, until: Duration, rate: f64) {
        self.until = Some(until);
        self.rate = rate;
    }

    /// Takes the target for warm.
    pub fn set_warm(&mut self) {
        self.until = None;
    }

    /// Whether the target is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns when the next request may be sent: `now` at the earliest.
    pub fn next_at(&self, now: Duration) -> Duration {
        if !self.is_cold(now) {
            return now;
        }
        let allowed = (self.rate.floor() as usize).max(1);
        let recent = self.sent.iter().filter(|sent| **sent + WINDOW > now);
        let over = recent.clone().count().saturating_sub(allowed - 1);
        match over.checked_sub(1) {
            None => now,
            Some(index) => recent.clone().nth(index).map_or(now, |sent| *sent + WINDOW),
        }
    }

    /// Returns the requests a second that the target bears, while it is cold.
    pub fn rate(&self, now: Duration) -> Option<f64> {
        self.is_cold(now).then_some(self.rate.max(1.0))
    }

    /// Counts a request that is sent now.
    pub fn record(&mut self, now: Duration) {
        while self.sent.front().is_some_and(|sent| *sent + WINDOW <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
