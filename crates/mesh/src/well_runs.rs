//! The requests that a target has run well.

use std::collections::HashSet;
use std::collections::VecDeque;

use crate::fingerprint::Fingerprint;

/// The greatest number of requests that are remembered as having run well.
const MAX_WELL_RUNS: usize = 1024;

/// The requests that have run well at the present incarnation of a target. If the
/// target ends, they are not the cause.
#[derive(Debug, Default)]
pub struct WellRuns {
    fingerprints: HashSet<Fingerprint>,
    /// The members of `fingerprints`, oldest first.
    order: VecDeque<Fingerprint>,
}

impl WellRuns {
    /// Records that a request ran well.
    pub fn record(&mut self, fingerprint: Fingerprint) {
        if !self.fingerprints.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > MAX_WELL_RUNS
            && let Some(oldest) = self.order.pop_front()
        {
            self.fingerprints.remove(&oldest);
        }
    }

    /// Returns whether the request has run well.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprints.contains(&fingerprint)
    }

    /// Forgets all requests, because another incarnation of the target runs.
    pub fn clear(&mut self) {
        self.fingerprints.clear();
        self.order.clear();
    }
}
