//! What daemons tell each other about requests under which targets have ended.

use std::time::Duration;

use radishgauge_schema::suspect;

use crate::fingerprint::Fingerprint;
use crate::target::TargetSoftware;

/// The greatest number of ends, failures or successes that are read of one record.
const MAX_PARTS: usize = 64;

/// The number of ends from which daemons that did not see them are told of a request.
pub(crate) const SHARED_ENDS: usize = 2;

/// One end of a target under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetEnd {
    /// Identifies the end among all of all targets.
    pub id: u64,
    /// 1 plus the greatest round among the ends that were known when the run began.
    pub round: u32,
    /// What the target ran.
    pub software: TargetSoftware,
    /// Whether the request has run well since at targets with this software.
    pub cleared: bool,
}

/// A run that was answered with a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedRun {
    /// Identifies the run among all runs.
    pub id: u64,
    /// 1 plus the greatest round among the ends that were known when the run began.
    pub round: u32,
    /// What the target runs.
    pub software: TargetSoftware,
}

/// A software that has run a request well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SoftwareSuccess {
    /// What the target runs.
    pub software: TargetSoftware,
    /// 1 plus the greatest round among the ends that were known then.
    pub round: u32,
}

/// What a daemon knows of one request, as it tells others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRecord {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// The ends of targets under the request.
    pub ends: Vec<TargetEnd>,
    /// The latest runs that failed.
    pub failures: Vec<FailedRun>,
    /// The kinds of software that have run the request well.
    pub successes: Vec<SoftwareSuccess>,
    /// For how much longer the record is kept.
    pub left: Duration,
}

impl SuspectRecord {
    /// Returns the message that holds the record.
    pub fn to_message(&self) -> suspect::SuspectRecord {
        let end = |end: &TargetEnd| suspect::TargetEnd {
            id: end.id,
            round: end.round,
            cleared: end.cleared,
            software: end.software.0,
        };
        let failure = |run: &FailedRun| suspect::FailedRun {
            id: run.id,
            round: run.round,
            software: run.software.0,
        };
        let success = |success: &SoftwareSuccess| suspect::SoftwareSuccess {
            software: success.software.0,
            round: success.round,
        };
        suspect::SuspectRecord {
            fingerprint: self.fingerprint.0,
            ends: self.ends.iter().map(end).collect(),
            failures: self.failures.iter().map(failure).collect(),
            successes: self.successes.iter().map(success).collect(),
            left_us: u64::try_from(self.left.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the record that a message holds.
    pub fn from_message(message: &suspect::SuspectRecord) -> SuspectRecord {
        let end = |end: &suspect::TargetEnd| TargetEnd {
            id: end.id,
            round: end.round,
            software: TargetSoftware(end.software),
            cleared: end.cleared,
        };
        let failure = |run: &suspect::FailedRun| FailedRun {
            id: run.id,
            round: run.round,
            software: TargetSoftware(run.software),
        };
        let success = |success: &suspect::SoftwareSuccess| SoftwareSuccess {
            software: TargetSoftware(success.software),
            round: success.round,
        };
        let ends = message.ends.iter().take(MAX_PARTS);
        let failures = message.failures.iter().take(MAX_PARTS);
        let successes = message.successes.iter().take(MAX_PARTS);
        SuspectRecord {
            fingerprint: Fingerprint(message.fingerprint),
            ends: ends.map(end).collect(),
            failures: failures.map(failure).collect(),
            successes: successes.map(success).collect(),
            left: Duration::from_micros(message.left_us),
        }
    }

    /// Returns whether all daemons are told of the request.
    pub fn is_shared(&self) -> bool {
        self.ends.len() >= SHARED_ENDS
    }

    /// Returns how many of the ends are not cleared.
    pub fn uncleared(&self) -> usize {
        self.ends.iter().filter(|end| !end.cleared).count()
    }

    /// Returns whether the request has run well at targets with the given software, and
    /// is cleared of their ends.
    pub fn is_cleared_at(&self, software: TargetSoftware) -> bool {
        let mut successes = self.successes.iter();
        let mut ends = self.ends.iter();
        successes.any(|success| success.software == software)
            && ends.all(|end| end.cleared || end.software != software)
    }
}
