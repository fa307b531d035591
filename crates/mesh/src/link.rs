//! How many bytes a daemon sends to other regions.
//!
//! All daemons of a region share one slow link, and none knows how much the
//! others send. A link that is full delays every request on it, so each daemon
//! watches the time to the other region and back: while it is near the least
//! that was seen lately, the daemon sends more, and when it grows, at once much
//! less. Short requests always pass; long bodies wait for the rate.

use std::time::Duration;

/// Bodies up to this length always pass, in bytes.
const SHORT_BODY: u64 = 16 * 1024;

/// The rate at the start, in bytes a second.
const FIRST_RATE: f64 = 500_000.0;

/// The least rate in bytes a second; it keeps a trickle that shows when the
/// link is free again.
const LEAST_RATE: f64 = 30_000.0;

/// The greatest rate in bytes a second; hosts have no faster use for a link.
const GREATEST_RATE: f64 = 50_000_000.0;

/// How much the rate grows a second while the link is not full, in bytes a
/// second.
const GROWTH: f64 = 100_000.0;

/// The part of the rate that is left when the link is full.
const FULL_PART: f64 = 0.6;

/// The least time between two cuts of the rate: a cut shows after a round trip.
const CUT_INTERVAL: Duration = Duration::from_millis(250);

/// How much longer than the least a trip may take on a link that is not full.
const FULL_DELAY: Duration = Duration::from_millis(60);

/// For how long a least trip is remembered; routes may change.
const LEAST_TIME: Duration = Duration::from_secs(20);

/// For how many seconds of the rate bytes are saved up.
const BURST_S: f64 = 1.0;

/// A rate of bytes to other regions that follows the room on the link.
#[derive(Debug, Clone)]
pub struct FarBudget {
    rate: f64,
    /// May be below zero: a body passes whole when any bytes are left.
    tokens: f64,
    filled: Duration,
    least: Option<(Duration, Duration)>,
    cut_at: Duration,
}

impl Default for FarBudget {
    fn default() -> FarBudget {
        FarBudget {
            rate: FIRST_RATE,
            tokens: FIRST_RATE * BURST_S,
            filled: Duration::ZERO,
            least: None,
            cut_at: Duration::ZERO,
        }
    }
}

impl FarBudget {
    /// Returns how long a body of the length has to wait; zero when it may be
    /// sent now.
    pub fn wait(&mut self, bytes: u64, now: Duration) -> Duration {
        self.fill(now);
        if bytes <= SHORT_BODY || self.tokens > 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((1.0 - self.tokens) / self.rate)
    }

    /// Counts a body that is sent.
    pub fn record_sent(&mut self, bytes: u64, now: Duration) {
        self.fill(now);
        self.tokens -= bytes as f64;
    }

    /// Records a trip to another region and back, without the time at the target.
    pub fn record_trip(&mut self, trip: Duration, bytes: u64, now: Duration) {
        // A long body takes its time on a free link too.
        if bytes > SHORT_BODY {
            return;
        }
        let least = match self.least {
            Some((least, at)) if least <= trip && now.saturating_sub(at) < LEAST_TIME => least,
            _ => {
                self.least = Some((trip, now));
                trip
            }
        };
        if trip > least + FULL_DELAY {
            self.cut(now);
        }
    }

    /// Records a request to another region of which nothing was heard in time.
    pub fn record_lost(&mut self, now: Duration) {
        self.cut(now);
    }

    /// Returns the rate in bytes a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn cut(&mut self, now: Duration) {
        if now.saturating_sub(self.cut_at) < CUT_INTERVAL {
            return;
        }
        self.fill(now);
        self.cut_at = now;
        self.rate = (self.rate * FULL_PART).max(LEAST_RATE);
        self.tokens = self.tokens.min(self.rate * BURST_S);
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        self.rate = (self.rate + passed * GROWTH).min(GREATEST_RATE);
        self.tokens = (self.tokens + passed * self.rate).min(self.rate * BURST_S);
    }
}
