//! The verdict that an entry daemon returns for a request with an idempotency key.
//!
//! A caller that receives "not run" may repeat the request under another key. The
//! entry daemon may therefore answer "not run" only if no copy of the request can
//! still reach the owner and no attempt through another daemon can exist.

use crate::CallVerdict;

/// One attempt of a caller, of which the entry daemon may send several copies.
///
/// # Examples
///
/// ```
/// use radishgauge_traffic::CallVerdict;
/// use radishgauge_traffic::once_attempt::KeyedAttempt;
///
/// let mut attempt = KeyedAttempt::new(true);
/// assert_eq!(attempt.unanswered(), CallVerdict::NotRun);
/// attempt.sent();
/// attempt.sent();
/// // The owner refused one copy; the other may still reach it.
/// assert_eq!(attempt.answered(CallVerdict::NotRun), CallVerdict::MayHaveRun);
/// ```
#[derive(Debug, Clone)]
pub struct KeyedAttempt {
    issued_here: bool,
    outstanding: u32,
}

impl KeyedAttempt {
    /// Creates an attempt. `issued_here` is true when this daemon issued the key for
    /// this attempt, so that no earlier attempt can exist.
    pub fn new(issued_here: bool) -> KeyedAttempt {
        KeyedAttempt {
            issued_here,
            outstanding: 0,
        }
    }

    /// Records that a copy is about to be sent to a daemon.
    pub fn sent(&mut self) {
        self.outstanding += 1;
    }

    /// Records that the receiver of a copy refused it because it is not the
    /// owner. The request may then be sent to the owner.
    pub fn redirected(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Returns the verdict for the caller when the owner answered a copy with
    /// `verdict`.
    pub fn answered(&mut self, verdict: CallVerdict) -> CallVerdict {
        self.outstanding = self.outstanding.saturating_sub(1);
        match verdict {
            CallVerdict::NotRun if self.outstanding > 0 => CallVerdict::MayHaveRun,
            verdict => verdict,
        }
    }

    /// Returns the verdict for the caller when no owner answered.
    pub fn unanswered(&self) -> CallVerdict {
        if self.issued_here && self.outstanding == 0 {
            CallVerdict::NotRun
        } else {
            CallVerdict::MayHaveRun
        }
    }
}
