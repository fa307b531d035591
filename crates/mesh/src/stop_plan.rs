//! The phases of a planned stop.
//!
//! The platform ends a process after a grace period. The daemon first serves as
//! before, until callers have switched to other daemons. Then its target gets no
//! new requests. Shortly before the end, requests that are still under way are
//! answered as timed out. A request that may last until then must not be accepted
//! late in the stop, because its caller would get no answer of a target.

use std::time::Duration;

/// The fraction of the grace period during which the daemon serves all requests,
/// so that callers can switch to other daemons before it refuses any.
const SERVING_FRACTION: f64 = 0.38;

/// The fraction of the grace period after which pending requests are answered as
/// timed out. The platform allows this in the last sixth.
const TIMEOUT_FRACTION: f64 = 0.86;

/// The fraction of the grace period after which requests still pending are cut
/// off.
const CUT_OFF_FRACTION: f64 = 0.94;

/// How long after the start of the stop every request is accepted at most. The
/// platform allows a request to be under way in the last sixth if it was sent
/// within three seconds.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2_800);

/// The times of one planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    started: Duration,
    grace: Duration,
}

impl StopPlan {
    /// Returns the plan of a stop that started at the time `started` and may take
    /// `grace`.
    pub fn new(started: Duration, grace: Duration) -> StopPlan {
        StopPlan { started, grace }
    }

    /// Returns when the target gets no new requests.
    pub fn serving_end(&self) -> Duration {
        self.started + self.grace.mul_f64(SERVING_FRACTION)
    }

    /// Returns when pending requests are answered as timed out.
    pub fn timeout(&self) -> Duration {
        self.started + self.grace.mul_f64(TIMEOUT_FRACTION)
    }

    /// Returns when pending requests are cut off.
    pub fn cut_off(&self) -> Duration {
        self.started + self.grace.mul_f64(CUT_OFF_FRACTION)
    }

    /// Returns whether a request that arrives at the time `now` and lasts for
    /// `longest` at most is accepted. Until callers have switched to other daemons,
    /// all are; later only those that end before the stop does.
    pub fn accepts(&self, now: Duration, longest: Duration) -> bool {
        let accepts_all = now < self.serving_end().min(self.started + MAX_ACCEPT_TIME);
        accepts_all || now + longest <= self.timeout()
    }
}
