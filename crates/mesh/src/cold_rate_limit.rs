//! Rate limit for a cold target.
//!
//! A cold target crashes when it gets many more requests a second than its
//! declared rate. The limiter counts requests in a sliding window of one
//! second, so the limit holds for every interval of that length.

use std::collections::VecDeque;
use std::time::Duration;

/// The length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);

/// A sliding-window rate limiter that is active while a target is cold.
#[derive(Debug, Clone, Default)]
pub struct ColdRateLimit {
    until: Option<Duration>,
    rate: f64,
    /// The times of the requests in the window, oldest first; recorded while
    /// warm too, as a target may become cold at any time.
    sent: VecDeque<Duration>,
}

impl ColdRateLimit {
    /// Limits requests to `rate` a second until the time `until`.
    pub fn set_cold(&mut self, until: Duration, rate: f64) {
        self.until = Some(until);
        self.rate = rate;
    }

    /// Lifts the limit.
    pub fn set_warm(&mut self) {
        self.until = None;
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the earliest time at which the next request may be sent, at least
    /// `now`.
    pub fn next_allowed(&self, now: Duration) -> Duration {
        if !self.is_cold(now) {
            return now;
        }
        let allowed = (self.rate.floor() as usize).max(1);
        let recent = self.sent.iter().filter(|sent| **sent + WINDOW > now);
        let excess = recent.clone().count().saturating_sub(allowed - 1);
        match excess.checked_sub(1) {
            None => now,
            Some(index) => recent.clone().nth(index).map_or(now, |sent| *sent + WINDOW),
        }
    }

    /// Returns the limit in requests a second, at least 1; `None` while the target
    /// is warm.
    pub fn rate(&self, now: Duration) -> Option<f64> {
        self.is_cold(now).then_some(self.rate.max(1.0))
    }

    /// Counts a request that is sent at the time `now`.
    pub fn record(&mut self, now: Duration) {
        while self.sent.front().is_some_and(|sent| *sent + WINDOW <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
