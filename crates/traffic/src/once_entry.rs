//! What an entry daemon may say of a request with an idempotency key.
//!
//! A caller that reads "not run" may order anew under another key. So "not run"
//! must hold for the key: a copy that may still be on its way to the owner, or
//! an earlier attempt through another daemon, forbids it.

use crate::CallVerdict;

/// One caller's attempt, of which the entry daemon may send several copies.
///
/// # Examples
///
/// ```
/// use radishgauge_traffic::CallVerdict;
/// use radishgauge_traffic::once_entry::KeyedAttempt;
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
    fresh: bool,
    open: u32,
}

impl KeyedAttempt {
    /// Creates an attempt; `fresh` when this daemon issued the key for it, so
    /// that no earlier attempt can exist.
    pub fn new(fresh: bool) -> KeyedAttempt {
        KeyedAttempt { fresh, open: 0 }
    }

    /// Notes that a copy is about to be handed to a session.
    pub fn sent(&mut self) {
        self.open += 1;
    }

    /// Notes that a receiver refused a copy because it is not the owner; the
    /// request may be sent to the owner.
    pub fn redirected(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the verdict for the caller after the owner's answer to a copy.
    pub fn answered(&mut self, verdict: CallVerdict) -> CallVerdict {
        self.open = self.open.saturating_sub(1);
        match verdict {
            CallVerdict::NotRun if self.open > 0 => CallVerdict::MayHaveRun,
            verdict => verdict,
        }
    }

    /// Returns the verdict for the caller when no owner answered.
    pub fn unanswered(&self) -> CallVerdict {
        if self.fresh && self.open == 0 {
            CallVerdict::NotRun
        } else {
            CallVerdict::MayHaveRun
        }
    }
}
