//! How many requests a target runs at once.
//!
//! The declared slots are an upper bound, and a target that shares its host or
//! lost a dependency sustains fewer. When response times rise above their
//! long-term average, running more at once only adds waiting inside the target,
//! so the limit is lowered until they fall again.

use std::time::Duration;

/// A rise of the response time up to this factor is taken as noise.
const TOLERANCE: f64 = 1.5;

/// A window lowers the limit at most by this factor, so that one burst of slow
/// responses does not idle the target.
const LOWEST_GRADIENT: f64 = 0.5;

/// Part of each window's proposal that is applied.
const BLEND: f64 = 0.3;

/// Responses in a window, at least; fewer do not give a stable mean.
const WINDOW: u32 = 10;

/// Weight of a window above the long-term average. At 50 windows a second the
/// average follows a lasting change of the service within about ten seconds.
const RISE: f64 = 0.002;

/// Weight of a window below the long-term average: a faster response is proof
/// that the target can be that fast.
const FALL: f64 = 0.1;

/// The adaptive limit on the requests that one target runs at once.
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
    /// Returns a limit that starts at the declared slots.
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

    /// Takes over another number of declared slots.
    pub fn declare(&mut self, declared: u32) {
        let declared = declared.max(1);
        if declared != self.declared {
            self.declared = declared;
            self.limit = f64::from(declared);
        }
    }

    /// Returns the long-term average of the response time.
    pub fn average(&self) -> Option<Duration> {
        self.average.map(Duration::from_secs_f64)
    }

    /// Records a good response and how many requests ran when it came.
    pub fn record(&mut self, took: Duration, running: u32) {
        self.sum += took.as_secs_f64();
        self.samples += 1;
        self.busiest = self.busiest.max(running);
        if self.samples >= WINDOW.max(self.limit()) {
            self.close_window();
        }
    }

    /// Records that the target itself said that it is overloaded.
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
        // A limit that was not reached says nothing about a greater one.
        let used = f64::from(self.busiest) >= self.limit * 0.5;
        let step = if used { 1.0 } else { 0.0 };
        let proposal = self.limit * gradient + step;
        self.limit =
            (self.limit + (proposal - self.limit) * BLEND).clamp(1.0, f64::from(self.declared));
        self.sum = 0.0;
        self.samples = 0;
        self.overloads = 0;
        self.busiest = 0;
    }
}
