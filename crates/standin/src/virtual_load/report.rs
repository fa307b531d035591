//! Counts and response times of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// What was counted in one run.
pub struct Tally {
    /// Requests, without retries.
    pub first: u64,
    /// Answers within the deadline.
    pub good: u64,
    /// Answers after the deadline.
    pub late: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Refusals by reason, those that were sent again included.
    pub refused: BTreeMap<&'static str, u64>,
    /// Crashes of workers.
    pub crashes: u64,
    /// Critical requests.
    pub critical: u64,
    /// Critical requests that were answered within the deadline.
    pub critical_good: u64,
    /// Attempts of critical requests.
    pub critical_attempts: u64,
    /// Attempts of critical requests that left the failure domain.
    pub critical_spilled: u64,
    times: Histogram<u64>,
    /// Good answers and failures in windows of 100 ms.
    pub windows: Vec<(u32, u32)>,
}

impl Default for Tally {
    fn default() -> Tally {
        Tally {
            first: 0,
            good: 0,
            late: 0,
            failed: 0,
            refused: BTreeMap::new(),
            crashes: 0,
            critical: 0,
            critical_good: 0,
            critical_attempts: 0,
            critical_spilled: 0,
            times: Histogram::new(3).expect("three digits are valid"),
            windows: Vec::new(),
        }
    }
}

impl Tally {
    /// Counts an answer.
    pub fn answer(&mut self, took: Duration, in_time: bool, critical: bool, now: Duration) {
        if !in_time {
            self.late += 1;
            self.window(now).1 += 1;
            return;
        }
        self.good += 1;
        self.critical_good += u64::from(critical);
        self.window(now).0 += 1;
        let micros = took.as_micros() as u64;
        self.times.record(micros).expect("the histogram grows");
    }

    /// Counts a failure.
    pub fn fail(&mut self, now: Duration) {
        self.failed += 1;
        self.window(now).1 += 1;
    }

    fn window(&mut self, now: Duration) -> &mut (u32, u32) {
        let index = now.as_millis() as usize / 100;
        if self.windows.len() <= index {
            self.windows.resize(index + 1, (0, 0));
        }
        &mut self.windows[index]
    }

    /// Returns a quantile of the response times of good answers, in ms.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the first window from which on all have at least 99% good
    /// answers, counted from the time, in ms.
    pub fn recovery(&self, since: Duration) -> Option<u64> {
        let start = since.as_millis() as usize / 100;
        let bad = |(good, bad): &(u32, u32)| bad * 99 > *good;
        let windows = &self.windows[start..];
        let last = windows.iter().rposition(bad).map_or(0, |index| index + 1);
        (last < windows.len()).then_some(last as u64 * 100)
    }
}
