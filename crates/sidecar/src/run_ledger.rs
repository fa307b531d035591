//! The requests that were cut off at the target, until it is known why.
//!
//! A lost connection alone does not show that the target has ended: it also loses
//! single answers, and resets connections when it is full. Requests that were cut
//! off are therefore kept for a short time. If the target turns out to have ended,
//! they are the ones that may have been the cause.

use std::collections::VecDeque;
use std::time::Duration;

use radishgauge_mesh::RequestPrints;
use radishgauge_mesh::RunEvidence;
use radishgauge_mesh::TargetSoftware;
use radishgauge_mesh::WellRuns;
use radishgauge_mesh::suspect::SuspectRun;
use smol_str::SmolStr;

/// How far apart the loss of a connection and the discovery that the target has
/// ended may be.
const CUT_OFF_TIME: Duration = Duration::from_secs(1);

/// The greatest number of requests that are kept, more than run at a target.
const MAX_CUT_OFF: usize = 512;

/// A request that runs at the target.
#[derive(Debug, Clone)]
pub(crate) struct TargetRun {
    /// The route of the request.
    pub(crate) route: SmolStr,
    /// The fingerprints of the request.
    pub(crate) prints: RequestPrints,
    /// What the target runs.
    pub(crate) software: TargetSoftware,
    /// What was known of each fingerprint when the run began.
    pub(crate) suspect_runs: [SuspectRun; 2],
    /// How often the target had closed its last connection when the run began.
    pub(crate) connection_losses: u64,
}

/// The runs at one target that ended without an answer, and those that ended well.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    cut_off: VecDeque<(Duration, TargetRun)>,
    /// The latest end of the target: its number, and when it was noticed.
    last_end: Option<(u64, Duration)>,
    well_runs: WellRuns,
    /// How many runs were cut off without an end of the target.
    unexplained: u64,
}

impl RunLedger {
    /// Records that a run was cut off. Returns the number of the target's end if it
    /// is known already that the target has just ended.
    pub(crate) fn record_cut_off(&mut self, run: TargetRun, now: Duration) -> Option<u64> {
        if let Some((end, at)) = self.last_end
            && now < at + CUT_OFF_TIME
        {
            return Some(end);
        }
        self.drop_unexplained(now);
        self.cut_off.push_back((now, run));
        if self.cut_off.len() > MAX_CUT_OFF {
            self.cut_off.pop_front();
            self.unexplained += 1;
        }
        None
    }

    /// Drops the runs that no end of the target explains.
    pub(crate) fn drop_unexplained(&mut self, now: Duration) {
        let before = self.cut_off.len();
        self.cut_off.retain(|(at, _)| now < *at + CUT_OFF_TIME);
        self.unexplained += (before - self.cut_off.len()) as u64;
    }

    /// Returns how many runs were cut off without an end of the target.
    pub(crate) fn unexplained(&self) -> u64 {
        self.unexplained
    }

    /// Returns whether a run that was cut off is not explained yet.
    pub(crate) fn is_unexplained(&self) -> bool {
        !self.cut_off.is_empty()
    }

    /// Records that the target has ended. Returns how many runs were cut off, and those
    /// of them that may have been the cause.
    pub(crate) fn record_end(&mut self, end: u64, now: Duration) -> (usize, Vec<TargetRun>) {
        self.last_end = Some((end, now));
        self.drop_unexplained(now);
        let cut_off = std::mem::take(&mut self.cut_off).into_iter();
        let mut runs: Vec<TargetRun> = cut_off.map(|(_, run)| run).collect();
        let count = runs.len();
        runs.retain(|run| !self.well_runs.contains(run.prints.exact));
        self.well_runs.clear();
        (count, runs)
    }

    /// Records that the target is up again: runs that are cut off from now on belong to
    /// its next end.
    pub(crate) fn record_up(&mut self) {
        self.last_end = None;
    }

    /// Records the answer to a request.
    pub(crate) fn record_answer(&mut self, prints: &RequestPrints, evidence: RunEvidence) {
        self.well_runs.record(prints.exact, evidence);
    }
}
