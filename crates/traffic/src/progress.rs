//! The progress of a call attempt and the verdict that follows from it.
//!
//! A verdict may only move towards "ran", with one exception: a refusal of the
//! receiving daemon makes it "not run" again. Both ends of a hop track the
//! progress, so that no code path can report "not run" by mistake.

use crate::refusal::Refusal;
use crate::verdict::CallVerdict;

/// The progress of one attempt, at a sender or at the receiving daemon.
///
/// # Examples
///
/// ```
/// use radishgauge_traffic::CallVerdict;
/// use radishgauge_traffic::progress::CallProgress;
///
/// let mut progress = CallProgress::default();
/// progress.hand_over();
/// assert_eq!(progress.verdict(), CallVerdict::MayHaveRun);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallProgress {
    step: AttemptStep,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum AttemptStep {
    #[default]
    NotSent,
    HandedOver,
    Refused,
    Answered,
}

impl CallProgress {
    /// Records that the first byte is handed over: at a sender to the session,
    /// at the receiving daemon to the target's connection. Must be called before
    /// the byte is written, because a write that fails may still have sent it.
    pub fn hand_over(&mut self) {
        if self.step == AttemptStep::NotSent {
            self.step = AttemptStep::HandedOver;
        }
    }

    /// Records the verdict of the receiving daemon's response or refusal.
    pub fn receive(&mut self, verdict: CallVerdict) {
        self.step = match (self.step, verdict) {
            // A response before the call was sent belongs to another call.
            (AttemptStep::NotSent, _) => AttemptStep::NotSent,
            (AttemptStep::Answered, _) | (_, CallVerdict::Ran) => AttemptStep::Answered,
            (AttemptStep::HandedOver, CallVerdict::NotRun) => AttemptStep::Refused,
            (step, _) => step,
        };
    }

    /// Records that a complete response head arrived.
    pub fn answer(&mut self) {
        self.receive(CallVerdict::Ran);
    }

    /// Returns whether the attempt ran, may have run or did not run.
    pub fn verdict(&self) -> CallVerdict {
        match self.step {
            AttemptStep::NotSent | AttemptStep::Refused => CallVerdict::NotRun,
            AttemptStep::HandedOver => CallVerdict::MayHaveRun,
            AttemptStep::Answered => CallVerdict::Ran,
        }
    }

    /// Returns the refusal if the attempt has not run, else `None`.
    pub fn refuse(&self, refusal: Refusal) -> Option<Refusal> {
        (self.verdict() == CallVerdict::NotRun).then_some(refusal)
    }
}
