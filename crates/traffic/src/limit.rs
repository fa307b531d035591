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
const MIN_GRADIENT: f64 = 0.5;

/// The fraction of each window's proposed change that is applied.
const CHANGE_FRACTION: f64 = 0.3;

/// The number of requests that a window without slow responses proposes to add.
/// With [`CHANGE_FRACTION`], the limit grows by about one request per window.
const GROWTH_STEP: f64 = 3.0;

/// The minimum number of responses in a window; fewer don't give a stable mean.
const MIN_WINDOW_RESPONSES: u32 = 10;

/// The number of responses in a window for each request of the limit. With only
/// one response for each, the mean varies by half in a service that has cheap
/// and expensive requests.
const RESPONSES_PER_SLOT: u32 = 5;

/// The weight of a window whose mean is above the long-term average. At ten
/// windows per second, the average follows a lasting change of the service
/// within about a minute.
const RISE_WEIGHT: f64 = 0.002;

/// The weight of a window whose mean is below the long-term average. It is
/// greater than [`RISE_WEIGHT`] because a faster window shows what the target is
/// capable of, and small enough that the average doesn't sink to the mean of
/// the few fastest windows.
const FALL_WEIGHT: f64 = 0.01;

/// The adaptive limit on the requests that one target runs concurrently.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    declared_slots: u32,
    limit: f64,
    average: Option<f64>,
    sum: f64,
    samples: u32,
    overloads: u32,
    max_running: u32,
}

impl ConcurrencyLimit {
    /// Returns a limit that starts at the number of declared slots.
    pub fn new(declared_slots: u32) -> ConcurrencyLimit {
        let declared_slots = declared_slots.max(1);
        ConcurrencyLimit {
            declared_slots,
            limit: f64::from(declared_slots),
            average: None,
            sum: 0.0,
            samples: 0,
            overloads: 0,
            max_running: 0,
        }
    }

    /// Returns the limit in requests: at least 1, at most the declared slots.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.declared_slots)
    }

    /// Changes the number of declared slots; a different number resets the
    /// limit.
    pub fn set_declared_slots(&mut self, declared_slots: u32) {
        let declared_slots = declared_slots.max(1);
        if declared_slots != self.declared_slots {
            self.declared_slots = declared_slots;
            self.limit = f64::from(declared_slots);
        }
    }

    /// Records the time of a successful response and the number of requests
    /// that were running when it arrived.
    pub fn record(&mut self, response_time: Duration, running: u32) {
        self.sum += response_time.as_secs_f64();
        self.samples += 1;
        self.max_running = self.max_running.max(running);
        if self.samples >= MIN_WINDOW_RESPONSES.max(self.limit() * RESPONSES_PER_SLOT) {
            self.close_window();
        }
    }

    /// Records a response in which the target reports that it is overloaded.
    pub fn record_overload(&mut self) {
        self.overloads += 1;
        if self.overloads >= MIN_WINDOW_RESPONSES {
            self.overloads = 0;
            self.limit = (self.limit * 0.9).max(1.0);
        }
    }

    fn close_window(&mut self) {
        let mean = self.sum / f64::from(self.samples);
        let average = *self.average.get_or_insert(mean);
        let weight = if mean < average {
            FALL_WEIGHT
        } else {
            RISE_WEIGHT
        };
        let average = average + (mean - average) * weight;
        self.average = Some(average);
        let gradient = (TOLERANCE * average / mean.max(1e-9)).clamp(MIN_GRADIENT, 1.0);
        // The limit is raised only when at least half of it was in use: the
        // response times of an idle target don't show what it sustains.
        let used = f64::from(self.max_running) >= self.limit * 0.5;
        let step = if used && gradient >= 1.0 {
            GROWTH_STEP
        } else {
            0.0
        };
        let proposal = self.limit * gradient + step;
        self.limit = (self.limit + (proposal - self.limit) * CHANGE_FRACTION)
            .clamp(1.0, f64::from(self.declared_slots));
        self.sum = 0.0;
        self.samples = 0;
        self.overloads = 0;
        self.max_running = 0;
    }
}
