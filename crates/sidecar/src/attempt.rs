//! The attempts of one request, and their outcomes as the placer needs them.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_mesh::placement::SendOutcome;
use radishgauge_mesh::placement::TargetDistance;
use radishgauge_net::RequestProgress;
use radishgauge_schema::hop::HopReason;
use smol_str::SmolStr;

use crate::answer::BufferedAnswer;
use crate::answer::NotRun;
use crate::answer::TargetOutcome;
use crate::node::SidecarNode;

/// What became of a request that could not be answered in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum LineOutcome {
    /// It did not ask for a place in the line.
    #[default]
    None,
    /// Its time limit is too near to its objective.
    TimeLimit,
    /// The line was full.
    Full,
    /// It was not expected to be served before its time limit.
    NoChance,
    /// It waited until its time limit could not be met any more.
    GivenUp,
    /// It waited until its service had no target any more.
    NoTarget,
    /// It waited until the daemon began to stop.
    Stopped,
    /// It waited, and was sent.
    Sent,
}

impl LineOutcome {
    /// Returns the name that the log shows.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            LineOutcome::None => "-",
            LineOutcome::TimeLimit => "time_limit",
            LineOutcome::Full => "full",
            LineOutcome::NoChance => "no_chance",
            LineOutcome::GivenUp => "given_up",
            LineOutcome::NoTarget => "no_target",
            LineOutcome::Stopped => "stopped",
            LineOutcome::Sent => "sent",
        }
    }
}

/// The results of a request's attempts so far.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// The targets to which the request was offered, in order.
    pub(crate) tried: Vec<SmolStr>,
    /// The number of owners that refused the request for lack of capacity.
    pub(crate) refused_offers: usize,
    /// The number of targets that received the request.
    pub(crate) reached: u32,
    /// Why the request may have run, if an attempt has ended without a complete
    /// answer.
    pub(crate) may_have_run: Option<&'static str>,
    /// The latest refusal.
    pub(crate) refusal: Option<NotRun>,
    /// The latest answer of a target with a server error.
    pub(crate) failure: Option<BufferedAnswer>,
    /// What became of the request when it could not be answered in time.
    pub(crate) line: LineOutcome,
    /// Whether the request waits for spare capacity, so that nothing of it is sent.
    pub(crate) is_waiting: bool,
    /// How much of the request was sent by the pending attempt at another host.
    pub(crate) progress: Option<Arc<RequestProgress>>,
}

/// A pending attempt; dropping it reports its outcome to the placer.
pub(crate) struct PendingAttempt<'a> {
    pub(crate) node: &'a Arc<SidecarNode>,
    pub(crate) id: &'a SmolStr,
    pub(crate) distance: TargetDistance,
    pub(crate) body_bytes: u64,
    pub(crate) started: Duration,
    pub(crate) deadline: Duration,
    /// `None` until the attempt has ended.
    pub(crate) outcome: Option<SendOutcome>,
}

impl Drop for PendingAttempt<'_> {
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

/// Returns whether a refusal is due to the load of a target, which the caller's
/// retry would only add to.
pub(crate) fn is_for_lack_of_capacity(refusal: &NotRun) -> bool {
    match refusal.reason {
        HopReason::Full
        | HopReason::Cold
        | HopReason::RateLimited
        | HopReason::Expired
        | HopReason::Shed
        | HopReason::Unspecified => true,
        HopReason::Stopping
        | HopReason::Draining
        | HopReason::DomainOut
        | HopReason::OtherTarget
        | HopReason::Down
        | HopReason::Quarantined
        | HopReason::Misplaced => false,
    }
}

/// Returns the outcome of an attempt for the placer. `spent` is the time
/// between the request's arrival at the owner and the owner's answer, if the
/// owner reported it.
pub(crate) fn send_outcome(
    outcome: &TargetOutcome,
    took: Duration,
    spent: Option<Duration>,
) -> SendOutcome {
    match outcome {
        TargetOutcome::Answered(answer) if answer.status.is_server_error() => SendOutcome::Failed,
        TargetOutcome::Answered(answer) => SendOutcome::Served {
            round_trip: spent.map_or(Duration::ZERO, |spent| took.saturating_sub(spent)),
            answer_bytes: answer.body.len() as u64,
        },
        TargetOutcome::MayHaveRun(_) => SendOutcome::Failed,
        TargetOutcome::NotRun(refusal) => match refusal.reason {
            HopReason::Full
            | HopReason::Cold
            | HopReason::RateLimited
            | HopReason::Expired
            | HopReason::Unspecified => SendOutcome::Full,
            HopReason::Shed => SendOutcome::Failed,
            HopReason::Stopping
            | HopReason::Draining
            | HopReason::DomainOut
            | HopReason::OtherTarget
            | HopReason::Misplaced => SendOutcome::Closed,
            HopReason::Down => SendOutcome::Down,
            // The refusal says nothing about the target.
            HopReason::Quarantined => SendOutcome::Cancelled,
        },
    }
}
