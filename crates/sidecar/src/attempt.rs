//! The attempts of one request, and what each says of its target.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_mesh::placement::SendOutcome;
use radishgauge_mesh::placement::TargetDistance;
use radishgauge_net::RequestProgress;
use radishgauge_schema::hop::HopReason;
use smol_str::SmolStr;

use crate::answer::NotRun;
use crate::answer::TargetOutcome;
use crate::answer::WholeAnswer;
use crate::node::SidecarNode;

/// What the attempts of a request came to.
#[derive(Default)]
pub(crate) struct AttemptLog {
    /// The targets that were tried.
    pub(crate) tried: Vec<SmolStr>,
    /// The targets that saw the request.
    pub(crate) reached: u32,
    /// Why it may have run, when it may.
    pub(crate) uncertain: Option<&'static str>,
    /// The last refusal.
    pub(crate) refusal: Option<NotRun>,
    /// A failure that a target answered.
    pub(crate) failure: Option<WholeAnswer>,
    /// What became of the attempt under way at another host.
    pub(crate) progress: Option<Arc<RequestProgress>>,
}

/// A request under way at a target; ends there when it is dropped.
pub(crate) struct UnderWay<'a> {
    pub(crate) node: &'a Arc<SidecarNode>,
    pub(crate) id: &'a SmolStr,
    pub(crate) distance: TargetDistance,
    pub(crate) body_bytes: u64,
    pub(crate) started: Duration,
    pub(crate) deadline: Duration,
    /// `None` while it is under way.
    pub(crate) outcome: Option<SendOutcome>,
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        let outcome = self.outcome.unwrap_or(if now >= self.deadline {
            SendOutcome::TimedOut {
                after: now.saturating_sub(self.started),
            }
        } else {
            SendOutcome::Cancelled
        });
        self.node
            .placer()
            .finish(self.id, self.distance, self.body_bytes, outcome, now);
    }
}

/// Returns what an outcome says of the target. `spent` is the time that its owner
/// accounted for.
pub(crate) fn send_outcome(
    outcome: &TargetOutcome,
    took: Duration,
    spent: Option<Duration>,
) -> SendOutcome {
    match outcome {
        TargetOutcome::Answered(answer) if answer.status.is_server_error() => SendOutcome::Failed,
        TargetOutcome::Answered(_) => SendOutcome::Served {
            round_trip: spent.map_or(Duration::ZERO, |spent| took.saturating_sub(spent)),
        },
        TargetOutcome::MayHaveRun(_) => SendOutcome::Failed,
        TargetOutcome::NotRun(refusal) => match refusal.reason {
            HopReason::Full | HopReason::Cold | HopReason::Expired | HopReason::Unspecified => {
                SendOutcome::Full
            }
            HopReason::Shed => SendOutcome::Failed,
            HopReason::Stopping
            | HopReason::Draining
            | HopReason::DomainOut
            | HopReason::OtherTarget => SendOutcome::Closed,
            HopReason::Down => SendOutcome::Down,
        },
    }
}
