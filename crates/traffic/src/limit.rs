//! The adaptive concurrency limit of a target.
//!
//! The declared slots are an upper bound. A target that shares its host with
//! other work, or that lost a dependency, sustains fewer. When response times
//! rise above their long-term average, more concurrency only adds queueing
//! inside the target, so that the limit is lowered until they fall again.

use std::time::Duration;

/// A rise of the response time by up to this factor is treated as noise.
const TOLERANCE: f64 = 1.5;

/// Lower bound of the factor by which one window lowers the limit, so that a
/// single burst of slow responses doesn't leave the target idle.
const LOWEST_GRADIENT: f64 = 0.5;

/// The fraction of each window's proposed change that is applied.
const BLEND: f64 = 0.3;

/// The number of requests that a window without slow responses proposes to add.
/// With [`BLEND`], the limit grows by about one request per window.
const GROWTH: f64 = 3.0;

/// The minimum number of responses in a window; fewer don't give a stable mean.
const WINDOW: u32 = 10;

/// The number of responses in a window for each request of the limit. With only
/// one response for each, the mean varies by half in a service that has cheap
/// and expensive requests.
const ROUNDS: u32 = 5;

/// The weight of a window whose mean is above the long-term average. At ten
/// windows per second, the average follows a lasting change of the service
/// within about a minute.
const RISE: f64 = 0.002;

/// The weight of a window whose mean is below the long-term average. It is
/// greater than [`RISE`] because a faster window shows what the target is
/// capable of, and small enough that the average doesn't sink to the mean of
/// the few fastest windows.
const FALL: f64 = 0.01;

/// The adaptive limit on the requests that one target runs concurrently.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    declared: u32,
    limit: f64,
    average: Option<f64>,
    sum: f64,
    samples: u32,
    overloads: u32,
    busiest: u32,
}

impl ConcurrencyLimit {
    /// Returns a limit that starts at the number of declared slots.
    pub fn new(declared: u32) -> ConcurrencyLimit {
        let declared = declared.max(1);
        ConcurrencyLimit {
            declared,
            limit: f64::from(declared),
            average: None,
            sum: 0.0,
            samples: 0,
            overloads: 0,
            busiest: 0,
        }
    }

    /// Returns the limit in requests: at least 1, at most the declared slots.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.declared)
    }

    /// Changes the number of declared slots; a different number resets the
    /// limit.
    pub fn declare(&mut self, declared: u32) {
        let declared = declared.max(1);
        if declared != self.declared {
            self.declared = declared;
            self.limit = f64::from(declared);
        }
    }

    /// Records the time of a successful response and the number of requests
    /// that were running when it arrived.
    pub fn record(&mut self, took: Duration, running: u32) {
        self.sum += took.as_secs_f64();
        self.samples += 1;
        self.busiest = self.busiest.max(running);
        if self.samples >= WINDOW.max(self.limit() * ROUNDS) {
            self.close_window();
        }
    }

    /// Records a response in which the target reports that it is overloaded.
    pub fn record_overload(&mut self) {
        self.overloads += 1;
        if self.overloads >= WINDOW {
            self.overloads = 0;
            self.limit = (self.limit * 0.9).max(1.0);
        }
    }

    fn close_window(&mut self) {
        let mean = self.sum / f64::from(self.samples);
        let average = *self.average.get_or_insert(mean);
        let weight = if mean < average { FALL } else { RISE };
        let average = average + (mean - average) * weight;
        self.average = Some(average);
        let gradient = (TOLERANCE * average / mean.max(1e-9)).clamp(LOWEST_GRADIENT, 1.0);
        // The limit is raised only when at least half of it was in use: the
        // response times of an idle target don't show what it sustains.
        let used = f64::from(self.busiest) >= self.limit * 0.5;
        let step = if used && gradient >= 1.0 { GROWTH } else { 0.0 };
        let proposal = self.limit * gradient + step;
        self.limit =
            (self.limit + (proposal - self.limit) * BLEND).clamp(1.0, f64::from(self.declared));
        self.sum = 0.0;
        self.samples = 0;
        self.overloads = 0;
        self.busiest = 0;
    }
}
