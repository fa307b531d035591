//! The requests that a target has run without ending.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::fingerprint::Fingerprint;
use crate::run_evidence::CLEARING_FAILURES;
use crate::run_evidence::RunEvidence;

/// The greatest number of requests that are remembered.
const MAX_WELL_RUNS: usize = 1024;

/// The requests that have run well at the present incarnation of a target. If the
/// target ends, they are not the cause.
#[derive(Debug, Default)]
pub struct WellRuns {
    /// How often each request failed; [`CLEARING_FAILURES`] if it succeeded.
    failures: HashMap<Fingerprint, usize>,
    /// The keys of `failures`, oldest first.
    order: VecDeque<Fingerprint>,
}

impl WellRuns {
    /// Records the answer to a request.
    pub fn record(&mut self, fingerprint: Fingerprint, evidence: RunEvidence) {
        let failures = match evidence {
            RunEvidence::Success => CLEARING_FAILURES,
            RunEvidence::Failure => 1,
            RunEvidence::Nothing => return,
        };
        if let Some(known) = self.failures.get_mut(&fingerprint) {
            *known = known.saturating_add(failures);
            return;
        }
        self.failures.insert(fingerprint, failures);
        self.order.push_back(fingerprint);
        if self.order.len() > MAX_WELL_RUNS
            && let Some(oldest) = self.order.pop_front()
        {
            self.failures.remove(&oldest);
        }
    }

    /// Returns whether the request has run well.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        let failures = self.failures.get(&fingerprint);
        failures.is_some_and(|failures| *failures >= CLEARING_FAILURES)
    }

    /// Forgets all requests, because another incarnation of the target runs.
    pub fn clear(&mut self) {
        self.failures.clear();
        self.order.clear();
    }
}
