//! Counts and response times of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// The counts and response times of one run.
pub struct RunCounts {
    /// Requests; retries are not counted.
    pub first: u64,
    /// Successful responses within the deadline.
    pub good: u64,
    /// Successful responses after the deadline.
    pub late: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Refused attempts by reason, including those that were retried.
    pub refused: BTreeMap<&'static str, u64>,
    /// Crashes of workers.
    pub crashes: u64,
    /// Requests of the highest criticality.
    pub critical: u64,
    /// Critical requests with a successful response within the deadline.
    pub critical_good: u64,
    /// Attempts of critical requests, including retries.
    pub critical_attempts: u64,
    /// Attempts of critical requests that went to another failure domain.
    pub critical_spilled: u64,
    times: Histogram<u64>,
    /// For each window of 100 ms, the responses within the deadline and the
    /// failed or late requests.
    pub windows: Vec<(u32, u32)>,
}

impl Default for RunCounts {
    fn default() -> RunCounts {
        RunCounts {
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

impl RunCounts {
    /// Counts a successful response.
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

    /// Counts a failed request.
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

    /// Returns a quantile of the response times within the deadline, in ms.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the time after `since` from which every window has at least 99
    /// responses within the deadline for each other outcome, in ms. Returns
    /// `None` if the last window does not.
    pub fn recovery(&self, since: Duration) -> Option<u64> {
        let start = since.as_millis() as usize / 100;
        let bad = |(good, bad): &(u32, u32)| bad * 99 > *good;
        let windows = &self.windows[start..];
        let last = windows.iter().rposition(bad).map_or(0, |index| index + 1);
        (last < windows.len()).then_some(last as u64 * 100)
    }
}
