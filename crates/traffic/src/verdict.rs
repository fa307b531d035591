//! The verdict of a call: whether the request ran, may have run or did not run.
//!
//! The same type is used from the transport up to the caller's header, so that
//! no layer turns "unknown" into "not run".

use std::fmt;

use radishgauge_schema::peer::Verdict;

/// Whether a request may have run at a target.
///
/// Verdicts are ordered by how certain it is that work was done, so that the
/// verdict of several attempts is their maximum.
///
/// # Examples
///
/// ```
/// use radishgauge_traffic::CallVerdict;
///
/// let attempts = [CallVerdict::NotRun, CallVerdict::MayHaveRun];
/// assert_eq!(attempts.into_iter().max(), Some(CallVerdict::MayHaveRun));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallVerdict {
    /// No byte of the request reached a target.
    NotRun,
    /// The request was sent, but no complete response head arrived.
    MayHaveRun,
    /// A target responded.
    Ran,
}

impl CallVerdict {
    /// Returns the value of the `x-radishgauge-verdict` header.
    pub fn as_str(self) -> &'static str {
        match self {
            CallVerdict::NotRun => "not-run",
            CallVerdict::MayHaveRun => "may-have-run",
            CallVerdict::Ran => "ran",
        }
    }
}

impl fmt::Display for CallVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl From<CallVerdict> for Verdict {
    fn from(verdict: CallVerdict) -> Verdict {
        match verdict {
            CallVerdict::NotRun => Verdict::NotRun,
            CallVerdict::MayHaveRun => Verdict::MayHaveRun,
            CallVerdict::Ran => Verdict::Ran,
        }
    }
}

impl From<Verdict> for CallVerdict {
    /// Reads an unspecified verdict as "may have run", which is always safe.
    fn from(verdict: Verdict) -> CallVerdict {
        match verdict {
            Verdict::NotRun => CallVerdict::NotRun,
            Verdict::MayHaveRun | Verdict::Unspecified => CallVerdict::MayHaveRun,
            Verdict::Ran => CallVerdict::Ran,
        }
    }
}
