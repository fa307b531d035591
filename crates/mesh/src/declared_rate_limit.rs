//! The rate limit that a target declares in its answers.
//!
//! A target in need states how many requests a second it takes from all hosts
//! together. All requests for a target pass its owner, so the owner keeps the
//! limit alone, whatever the senders know.
//!
//! The requests are spaced by the declared rate, with an allowance for a short
//! burst. The limit holds until the target has answered successfully without
//! stating it, to a request that was sent after the last statement. A failure
//! that lacks the statement does not lift the limit, because it may not come from
//! the part of the target that states it.

use std::time::Duration;

/// The requests that may be sent at once after a pause, as a time at the declared
/// rate.
const BURST_TIME: Duration = Duration::from_millis(250);

/// How long a limit holds after its last statement, whatever the target answers.
/// Answers of concurrent requests may arrive out of order.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// The longest time between two requests; a target that takes fewer gets none.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);

/// The fraction of the declared rate that health checks may use.
const CHECK_FRACTION: f64 = 0.25;

/// What an answer states about the target's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateStatement {
    /// Nothing.
    Absent,
    /// A limit that cannot be read.
    Unreadable,
    /// The limit in requests a second, finite and not negative.
    PerSecond(f64),
}

/// One answer of the target, as far as it concerns the rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateAnswer {
    /// What the answer states.
    pub statement: RateStatement,
    /// When the request was sent.
    pub sent: Duration,
    /// Whether the target served the request.
    pub is_success: bool,
}

/// A change of the declared limit, as written to the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// The target declares this limit, in requests a second.
    Limited(f64),
    /// The target no longer declares a limit.
    Lifted,
    /// The target states a limit that cannot be read; the known one stays.
    Unreadable,
}

/// The limit that a target has declared, and the requests sent under it.
#[derive(Debug, Clone, Default)]
pub struct DeclaredRateLimit {
    /// The limit in requests a second; `None` if the target declares none.
    per_second: Option<f64>,
    /// When the target last stated a limit.
    stated: Duration,
    /// When the next request is due if all are evenly spaced.
    next_due: Duration,
    /// Whether the latest statement could not be read.
    is_unreadable: bool,
}

impl DeclaredRateLimit {
    /// Returns the limit in requests a second; `None` if there is none.
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Applies what an answer states, and returns the change if there is one.
    pub fn observe(&mut self, answer: &RateAnswer, now: Duration) -> Option<RateChange> {
        match answer.statement {
            RateStatement::PerSecond(rate) => self.limit(rate, now),
            RateStatement::Unreadable => {
                self.stated = now;
                let is_known = std::mem::replace(&mut self.is_unreadable, true);
                (!is_known).then_some(RateChange::Unreadable)
            }
            RateStatement::Absent => self.lift(answer, now),
        }
    }

    fn limit(&mut self, rate: f64, now: Duration) -> Option<RateChange> {
        self.stated = now;
        self.is_unreadable = false;
        if self.per_second.is_none() {
            self.next_due = now;
        }
        let before = self.per_second.replace(rate);
        (before != Some(rate)).then_some(RateChange::Limited(rate))
    }

    fn lift(&mut self, answer: &RateAnswer, now: Duration) -> Option<RateChange> {
        let is_later = answer.sent > self.stated && now >= self.stated + HOLD_TIME;
        if !answer.is_success || !is_later {
            return None;
        }
        self.is_unreadable = false;
        self.per_second.take().map(|_| RateChange::Lifted)
    }

    /// Forgets the limit, because another target or another incarnation answers.
    pub fn reset(&mut self) {
        self.per_second = None;
        self.is_unreadable = false;
    }

    /// Returns the earliest time at which the next request may be sent, at least
    /// `now`.
    pub fn next_allowed(&self, now: Duration) -> Duration {
        match self.per_second {
            None => now,
            Some(0.0) => now + MAX_INTERVAL,
            Some(_) => self.next_due.saturating_sub(BURST_TIME).max(now),
        }
    }

    /// Counts a request that is sent at the time `now`.
    pub fn record(&mut self, now: Duration) {
        if let Some(rate) = self.per_second {
            self.next_due = self.next_due.max(now) + interval(rate);
        }
    }

    /// Returns the least time between two health checks; zero without a limit. The
    /// target may count checks as requests.
    pub fn check_interval(&self) -> Duration {
        self.per_second
            .map_or(Duration::ZERO, |rate| interval(rate * CHECK_FRACTION))
    }
}

/// Returns the time between two requests at a rate.
fn interval(rate: f64) -> Duration {
    let seconds = MAX_INTERVAL.as_secs_f64().min(1.0 / rate);
    Duration::from_secs_f64(seconds)
}
