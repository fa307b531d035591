//! The runs whose answers were not awaited.
//!
//! A target may still make calls for such a run until it notices that it has been
//! abandoned. These calls must not be taken for requests of callers without a key.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

/// The greatest number of runs that are remembered.
const MAX_RUNS: usize = 1024;

/// The IDs of the latest runs whose answers were not awaited.
#[derive(Debug, Default)]
pub(crate) struct InterruptedRuns {
    /// The IDs and the times at which the runs were given up, earliest first.
    runs: VecDeque<(SmolStr, Duration)>,
}

impl InterruptedRuns {
    /// Records that the answer of a run is awaited no longer.
    pub(crate) fn record(&mut self, request: SmolStr, now: Duration) {
        if self.runs.len() == MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back((request, now));
    }

    /// Returns whether a run was given up at the time `since` or later.
    pub(crate) fn contains(&self, request: &str, since: Duration) -> bool {
        let latest = self.runs.iter().rev();
        let mut recent = latest.take_while(|(_, at)| *at >= since);
        recent.any(|(id, _)| id == request)
    }
}
