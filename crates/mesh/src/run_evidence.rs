//! What the answer of a target says about a request under which targets may end.
//!
//! A request that ends its targets does so at some point of its run. An answer clears
//! it only if the run got past that point, which the status does not always tell.

/// The number of failures in a row, without an end between them, that clear a request
/// as one success does. A request that ends its targets and fails at half of its runs
/// before that gets this many in a row once in 256 times; a request that fails each time
/// gets them soon.
pub const CLEARING_FAILURES: usize = 8;

/// The answer to a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunAnswer {
    /// Identifies the run among all runs.
    pub id: u64,
    /// What the answer says about the request.
    pub evidence: RunEvidence,
}

/// What an answer says about the request that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEvidence {
    /// The run was completed, so the request does not end its targets.
    Success,
    /// The run failed at a point that the request alone may not have decided: a call
    /// of the target may have failed, for example.
    Failure,
    /// The request was stopped from outside, or did not run.
    Nothing,
}

impl RunEvidence {
    /// Returns what an answer with the given HTTP status says. A target that stops a
    /// run at its time limit answers 408 or 504, one that does not run a request 421,
    /// 429 or 503.
    pub fn of_status(status: u16) -> RunEvidence {
        match status {
            200..=399 => RunEvidence::Success,
            408 | 421 | 429 | 503 | 504 => RunEvidence::Nothing,
            _ => RunEvidence::Failure,
        }
    }
}
