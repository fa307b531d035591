//! The number of concurrent requests that a target runs well.
//!
//! Some targets become slower when they are nearly full, so that more concurrent
//! requests do not increase their throughput. The owner compares the throughput
//! at different numbers of concurrent runs: that number divided by the service
//! time. The limit is the least number that reaches nearly the greatest
//! throughput.
//!
//! A slow period of a target also makes it fuller. The service time at each number
//! of runs is therefore a low quantile, which slow periods hardly change.

use std::time::Duration;

/// The number of classes into which the concurrency is divided.
const CLASSES: usize = 8;

/// The quantile of the service times that is compared.
const QUANTILE: f64 = 0.3;

/// The step of the quantile for one run, as a fraction of the service time.
const QUANTILE_STEP: f64 = 0.01;

/// The factor by which the step is greater for the first run in a class; it falls
/// with the number of runs.
const FIRST_STEP_FACTOR: f64 = 30.0;

/// The least number of runs in a class before it is compared.
const MIN_RUNS: u32 = 150;

/// The number of runs after which all classes lose half of their weight. A class
/// above the limit then counts as unknown after a time, and is tried again.
const HALVING_RUNS: u32 = 4_000;

/// The fraction of the greatest throughput that the limit must reach.
const NEARLY_GREATEST: f64 = 0.95;

/// How many times as long as in the lowest classes a run must take at a full target
/// before it has a limit.
const MIN_SLOWDOWN: f64 = 1.35;

/// The service times at one class of concurrency.
#[derive(Debug, Clone, Copy, Default)]
struct ConcurrencyClass {
    runs: u32,
    /// The quantile of the logarithm of the service time, relative to the mean of
    /// the route.
    log_time: f64,
    /// The mean of the concurrency.
    concurrency: f64,
}

/// Finds the number of concurrent requests that one target runs well.
#[derive(Debug, Clone, Default)]
pub(crate) struct EfficientLimit {
    classes: [ConcurrencyClass; CLASSES],
    /// The capacity for which the classes were formed.
    capacity: u32,
    /// The number of runs since the classes last lost weight.
    runs: u32,
    found: Option<u32>,
}

impl EfficientLimit {
    /// Records a run that ended while `running` requests were running, itself
    /// included. `mean` is the mean service time of its route in seconds.
    pub(crate) fn record(&mut self, capacity: u32, running: u32, took: Duration, mean: f64) {
        if self.capacity != capacity {
            *self = EfficientLimit {
                capacity,
                ..EfficientLimit::default()
            };
        }
        if took.is_zero() || mean <= 0.0 || running == 0 {
            return;
        }
        let log_time = (took.as_secs_f64() / mean).ln();
        let index = (running as usize - 1) * CLASSES / capacity.max(1) as usize;
        let class = &mut self.classes[index.min(CLASSES - 1)];
        let step = match log_time < class.log_time {
            true => QUANTILE - 1.0,
            false => QUANTILE,
        };
        class.runs += 1;
        let runs = f64::from(class.runs);
        class.log_time += step * QUANTILE_STEP * (FIRST_STEP_FACTOR / runs).max(1.0);
        let weight = 1.0 / runs.min(f64::from(MIN_RUNS));
        class.concurrency += (f64::from(running) - class.concurrency) * weight;
        self.runs += 1;
        if self.runs >= HALVING_RUNS {
            self.runs = 0;
            for class in &mut self.classes {
                class.runs /= 2;
            }
        }
        self.found = self.find();
    }

    /// Returns the limit, or `None` if the target runs well when it is full, or has
    /// not been full enough to tell.
    pub(crate) fn get(&self) -> Option<u32> {
        self.found
    }

    fn find(&self) -> Option<u32> {
        let known = || self.classes.iter().filter(|class| class.runs >= MIN_RUNS);
        let fullest = known().next_back()?;
        let least_time = known().map(|class| class.log_time).fold(f64::MAX, f64::min);
        if fullest.log_time - least_time < MIN_SLOWDOWN.ln() {
            return None;
        }
        let throughput = |class: &ConcurrencyClass| class.concurrency / class.log_time.exp();
        let greatest = known().map(throughput).fold(0.0, f64::max);
        let limit = known().find(|class| throughput(class) >= greatest * NEARLY_GREATEST)?;
        // Nothing is known of more runs than the fullest class has.
        let is_fullest = std::ptr::eq(limit, fullest);
        (!is_fullest).then_some(limit.concurrency.ceil() as u32)
    }
}
