//! A forecast of the capacity that requests in time will leave unused.
//!
//! Load comes in bursts and waves. While there is no spare capacity, a busy period,
//! the forecast is that it lasts as long as earlier ones did, and that afterwards as
//! much is spare as usually outside of busy periods. A busy period that already lasts
//! longer is expected to go on for as long as it has exceeded them.

use std::time::Duration;

/// The time constant with which the present spare fraction is smoothed. It covers a
/// few runs, so that chance alone does not begin or end a busy period.
const SMOOTH_TIME: Duration = Duration::from_millis(500);

/// The spare fraction of the capacity below which a busy period begins.
const BUSY_BELOW: f64 = 0.05;

/// The spare fraction of the capacity above which it ends.
const FREE_ABOVE: f64 = 0.1;

/// The shortest busy period from which lengths are learnt. A shorter one ends before a
/// request that waits for it is late.
const MIN_BUSY_TIME: Duration = Duration::from_secs(1);

/// The time constant with which the spare rate is averaged.
const RATE_TIME: Duration = Duration::from_secs(4);

/// The age of an observation from which nothing is known of spare capacity.
const MAX_AGE: Duration = Duration::from_secs(2);

/// The least rate in requests a second that counts as spare capacity.
const MIN_RATE: f64 = 0.01;

/// The spare capacity that a daemon sees at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SpareCapacity {
    /// The part of the capacity that is spare, in `0.0..=1.0`.
    pub fraction: f64,
    /// The requests a second that it would serve.
    pub rate: f64,
}

/// A forecast from the spare capacity that was observed.
#[derive(Debug, Default)]
pub struct SpareForecast {
    observed_at: Option<Duration>,
    /// The smoothed spare fraction.
    fraction: f64,
    /// The average spare rate outside of busy periods.
    rate: f64,
    /// The start of the present busy period.
    busy_since: Option<Duration>,
    /// The usual length of busy periods; zero if none has ended yet.
    busy_time: Duration,
}

impl SpareForecast {
    /// Returns the time of the last observation.
    pub fn observed_at(&self) -> Option<Duration> {
        self.observed_at
    }

    /// Records what is spare now.
    pub fn observe(&mut self, spare: SpareCapacity, now: Duration) {
        let age = self.observed_at.map(|at| now.saturating_sub(at));
        // The first observation counts as if it had been made for some time.
        let weight = |time: Duration| {
            age.map_or(1.0, |age| {
                1.0 - (-age.as_secs_f64() / time.as_secs_f64()).exp()
            })
        };
        self.observed_at = Some(now);
        self.fraction += (spare.fraction - self.fraction) * weight(SMOOTH_TIME);
        match self.busy_since {
            None if self.fraction < BUSY_BELOW => self.busy_since = Some(now),
            Some(since) if self.fraction > FREE_ABOVE => {
                self.busy_since = None;
                self.end_busy_period(now.saturating_sub(since));
            }
            _ => {}
        }
        if self.busy_since.is_none() {
            self.rate += (spare.rate - self.rate) * weight(RATE_TIME);
        }
    }

    fn end_busy_period(&mut self, length: Duration) {
        if length < MIN_BUSY_TIME {
            return;
        }
        self.busy_time = match self.busy_time.is_zero() {
            true => length,
            false => (self.busy_time + length) / 2,
        };
    }

    /// Returns whether a busy period is in progress.
    pub fn is_busy(&self) -> bool {
        self.busy_since.is_some()
    }

    /// Returns how much longer nothing is expected to be spare.
    pub fn busy_left(&self, now: Duration) -> Duration {
        self.busy_since.map_or(Duration::ZERO, |since| {
            now.saturating_sub(since).abs_diff(self.busy_time)
        })
    }

    /// Returns how many requests the spare capacity is expected to serve within `time`.
    pub fn served_within(&self, time: Duration, now: Duration) -> f64 {
        let spare_time = time.saturating_sub(self.busy_left(now));
        self.rate * spare_time.as_secs_f64()
    }

    /// Returns the mean time between two requests that the spare capacity serves;
    /// `None` if nothing is known of it.
    pub fn serving_interval(&self, now: Duration) -> Option<Duration> {
        let is_known = self.is_known(now) && self.rate > MIN_RATE;
        is_known.then(|| Duration::from_secs_f64(1.0 / self.rate))
    }

    /// Returns whether the spare capacity was observed recently.
    pub fn is_known(&self, now: Duration) -> bool {
        self.observed_at
            .is_some_and(|at| now.saturating_sub(at) <= MAX_AGE)
    }
}
