//! How far a call has come, and what may be said of it.
//!
//! The verdict of a call can only become more certain that work was done, with
//! one exception: the receiving daemon says that it refused. Both ends keep
//! this record, so that no code path can report "not run" by mistake.

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
    step: Step,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Step {
    #[default]
    Held,
    HandedOver,
    Refused,
    Answered,
}

impl CallProgress {
    /// Records that the first byte was handed over: at a sender to the session,
    /// at the receiving daemon to the target's connection. To be recorded
    /// before the byte is written, since a write may fail after it took effect.
    pub fn hand_over(&mut self) {
        if self.step == Step::Held {
            self.step = Step::HandedOver;
        }
    }

    /// Records the verdict in the answer or refusal of the receiving daemon.
    pub fn receive(&mut self, verdict: CallVerdict) {
        self.step = match (self.step, verdict) {
            // An answer to a call that was not sent is not for this call.
            (Step::Held, _) => Step::Held,
            (Step::Answered, _) | (_, CallVerdict::Ran) => Step::Answered,
            (Step::HandedOver, CallVerdict::NotRun) => Step::Refused,
            (step, _) => step,
        };
    }

    /// Records that a whole answer head came.
    pub fn answer(&mut self) {
        self.receive(CallVerdict::Ran);
    }

    /// Returns what may be said of the attempt.
    pub fn verdict(&self) -> CallVerdict {
        match self.step {
            Step::Held | Step::Refused => CallVerdict::NotRun,
            Step::HandedOver => CallVerdict::MayHaveRun,
            Step::Answered => CallVerdict::Ran,
        }
    }

    /// Returns the refusal if the attempt can still be refused. Once it was
    /// handed over there is none to give.
    pub fn refuse(&self, refusal: Refusal) -> Option<Refusal> {
        (self.verdict() == CallVerdict::NotRun).then_some(refusal)
    }
}
