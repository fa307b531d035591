//! Rate limit for a cold target.
//!
//! A cold target crashes when it gets many more requests a second than its
//! declared rate. The limiter counts requests in a sliding window of one
//! second, so the limit holds for every interval of that length.
//!
//! The count is in the memory of the process. The process before may have used the
//! whole rate just before its end, so a cold target gets nothing in the first window
//! after a start, unless it has become cold since that end. Until the target has said that
//! it is warm, it is taken to be cold.

use std::collections::VecDeque;
use std::time::Duration;

/// The length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);

/// How long a target should take at most to say whether it is cold. It is asked on its own
/// host, but not while another check runs.
const STATEMENT_TIME: Duration = Duration::from_millis(250);

/// The least time from the end of a process to the start of the next one.
const RESTART_TIME: Duration = Duration::from_millis(100);

/// A sliding-window rate limiter that is active while a target is cold.
#[derive(Debug, Clone, Default)]
pub struct ColdRateLimit {
    until: Option<Duration>,
    rate: f64,
    /// The times of the requests in the window, oldest first; recorded while
    /// warm too, as a target may become cold at any time.
    sent: VecDeque<Duration>,
    /// When this process started, if the window after that may have requests of the process
    /// before.
    succeeded_at: Option<Duration>,
    /// When the target, which is only assumed to be cold, should have said whether it
    /// is; `None` if it has.
    statement_due: Option<Duration>,
}

impl ColdRateLimit {
    /// Returns the limit of a process that has started at the time `started`.
    pub fn after_start(started: Duration) -> ColdRateLimit {
        ColdRateLimit {
            until: Some(started + WINDOW),
            succeeded_at: Some(started),
            statement_due: Some(started + STATEMENT_TIME),
            ..ColdRateLimit::default()
        }
    }

    /// Limits requests to `rate` a second until the time `until`.
    pub fn set_cold(&mut self, until: Duration, rate: f64) {
        self.until = Some(until);
        self.rate = rate;
        self.statement_due = None;
    }

    /// Lifts the limit.
    pub fn set_warm(&mut self) {
        self.until = None;
        self.statement_due = None;
    }

    /// Limits requests as [`ColdRateLimit::set_cold`] does, although the target itself has
    /// not said that it is cold. It is asked at the time `now`.
    pub fn assume_cold(&mut self, until: Duration, rate: f64, now: Duration) {
        self.set_cold(until, rate);
        self.statement_due = Some(now + STATEMENT_TIME);
    }

    /// Records that the target, at the time `now`, had been cold for `time`. If the process
    /// before had ended when that began, it has sent nothing to the cold target.
    pub fn record_cold_time(&mut self, time: Duration, now: Duration) {
        let is_known = |started: Duration| time <= now.saturating_sub(started) + RESTART_TIME;
        if self.succeeded_at.is_some_and(is_known) {
            self.succeeded_at = None;
        }
    }

    /// Returns the end of the window that may have requests of the process before.
    fn inherited_until(&self) -> Duration {
        self.succeeded_at
            .map_or(Duration::ZERO, |started| started + WINDOW)
    }

    /// Returns whether the target is assumed to be cold and has not said so.
    pub fn is_assumed(&self) -> bool {
        self.statement_due.is_some()
    }

    /// Returns whether all requests are held back, and the target is about to say whether
    /// it is cold.
    pub fn awaits_statement(&self, now: Duration) -> bool {
        now < self.inherited_until() && self.statement_due.is_some_and(|due| now < due)
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
        let next = match excess.checked_sub(1) {
            None => now,
            Some(index) => recent.clone().nth(index).map_or(now, |sent| *sent + WINDOW),
        };
        next.max(self.inherited_until())
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
