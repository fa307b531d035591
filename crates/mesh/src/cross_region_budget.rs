//! Congestion control for the link to other regions.
//!
//! All daemons of a region share one slow link, and none of them knows how much
//! the others send. A full link delays every request on it, so each daemon
//! observes the round-trip time to other regions. It raises its rate linearly
//! over time, and cuts it by a factor as soon as the round-trip time exceeds the
//! recent minimum by a margin. Short bodies are always sent; long bodies wait
//! for the rate.

use std::time::Duration;

/// The greatest length of a body that is sent without a wait, in bytes.
const MAX_SHORT_BODY: u64 = 16 * 1024;

/// The initial rate, in bytes a second.
const INITIAL_RATE: f64 = 500_000.0;

/// The least rate, in bytes a second; a little traffic is needed to notice that
/// the link is free again.
const MIN_RATE: f64 = 30_000.0;

/// The greatest rate, in bytes a second; hosts cannot use a faster link.
const MAX_RATE: f64 = 50_000_000.0;

/// The growth of the rate for each second, in bytes a second.
const RATE_GROWTH: f64 = 100_000.0;

/// The factor by which the rate is cut when the link is full.
const CUT_FACTOR: f64 = 0.6;

/// The least time between two cuts of the rate: the effect of a cut shows only
/// after a round trip.
const CUT_INTERVAL: Duration = Duration::from_millis(250);

/// How far the round-trip time may exceed the recent minimum before the link
/// counts as full.
const CONGESTION_DELAY: Duration = Duration::from_millis(60);

/// How long a minimum of the round-trip time is valid; routes may change.
const MIN_ROUND_TRIP_LIFETIME: Duration = Duration::from_secs(20);

/// The greatest burst, in seconds of the rate.
const BURST_S: f64 = 1.0;

/// A token bucket for bytes sent to other regions, whose rate adapts to
/// congestion of the link.
#[derive(Debug, Clone)]
pub struct CrossRegionBudget {
    rate: f64,
    /// Bytes that may be sent. May be negative: a whole body is sent when any
    /// tokens are left.
    tokens: f64,
    refilled_at: Duration,
    /// The recent minimum of the round-trip time, and when it was observed.
    min_round_trip: Option<(Duration, Duration)>,
    cut_at: Duration,
}

impl Default for CrossRegionBudget {
    fn default() -> CrossRegionBudget {
        CrossRegionBudget {
            rate: INITIAL_RATE,
            tokens: INITIAL_RATE * BURST_S,
            refilled_at: Duration::ZERO,
            min_round_trip: None,
            cut_at: Duration::ZERO,
        }
    }
}

impl CrossRegionBudget {
    /// Returns how long a body of `bytes` must wait; zero when it may be sent
    /// now.
    pub fn wait(&mut self, bytes: u64, now: Duration) -> Duration {
        self.refill(now);
        if bytes <= MAX_SHORT_BODY || self.tokens > 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((1.0 - self.tokens) / self.rate)
    }

    /// Deducts a body that is sent.
    pub fn record_sent(&mut self, bytes: u64, now: Duration) {
        self.refill(now);
        self.tokens -= bytes as f64;
    }

    /// Records the round-trip time of a request with a body of `bytes`, without
    /// the time spent at the target.
    pub fn record_round_trip(&mut self, round_trip: Duration, bytes: u64, now: Duration) {
        // Sending a long body takes time on an idle link too.
        if bytes > MAX_SHORT_BODY {
            return;
        }
        let min_round_trip = match self.min_round_trip {
            Some((min_round_trip, at))
                if min_round_trip <= round_trip
                    && now.saturating_sub(at) < MIN_ROUND_TRIP_LIFETIME =>
            {
                min_round_trip
            }
            _ => {
                self.min_round_trip = Some((round_trip, now));
                round_trip
            }
        };
        if round_trip > min_round_trip + CONGESTION_DELAY {
            self.cut(now);
        }
    }

    /// Records a request to another region that timed out.
    pub fn record_timeout(&mut self, now: Duration) {
        self.cut(now);
    }

    /// Returns the current rate in bytes a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn cut(&mut self, now: Duration) {
        if now.saturating_sub(self.cut_at) < CUT_INTERVAL {
            return;
        }
        self.refill(now);
        self.cut_at = now;
        self.rate = (self.rate * CUT_FACTOR).max(MIN_RATE);
        self.tokens = self.tokens.min(self.rate * BURST_S);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.rate = (self.rate + elapsed * RATE_GROWTH).min(MAX_RATE);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate * BURST_S);
    }
}
