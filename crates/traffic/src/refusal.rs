//! Refusals of calls and their reasons.
//!
//! Reasons are sent between daemons and returned to callers in a header. Their
//! texts are part of the public interface: operators alert on them, and callers
//! branch on them.

use std::time::Duration;

use thiserror::Error;

use crate::verdict::CallVerdict;

/// The reason for refusing a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No route matches the path and the method.
    NoRoute,
    /// At least one route matches the path, but none accepts the method.
    MethodNotAllowed,
    /// The tenant of the request is not in the configuration.
    UnknownTenant,
    /// The request may not be handled in this region, or in any region.
    HomeRegion,
    /// The service has no target that may receive the request.
    NoTarget,
    /// The call was already sent to each target that may receive it.
    AllTried,
    /// Each target that may receive the request recently refused a request of
    /// this or a higher criticality for lack of capacity.
    AllFull,
    /// Only targets in other regions are available, and the link budget is
    /// exhausted.
    LinkBudget,
    /// The daemon's host runs no target of the service.
    NotHosted,
    /// The failure domain of the target is out of service.
    DomainOut,
    /// The target's host accepts no new requests because it is shutting down.
    Leaving,
    /// The daemon's configuration may be out of date, and was not confirmed in
    /// time.
    Stale,
    /// The target refused the connection.
    TargetDown,
    /// The queue of the target is full for requests of this criticality.
    QueueFull,
    /// The request was queued for the maximum waiting time.
    QueueTimeout,
    /// The deadline has passed, or will pass before a response can arrive.
    Deadline,
    /// The request is a suspect, another suspect is running at the target, and
    /// the queue is full.
    SuspectBusy,
    /// The request is quarantined because it crashed targets.
    Quarantined,
    /// The call is made on behalf of a retry whose allowance of calls is
    /// exhausted.
    Allowance,
    /// The chain of calls is too deep; most likely it is a loop.
    Depth,
    /// The context header is malformed.
    BadContext,
}

impl RefusalReason {
    /// Returns the value of the `x-radishgauge-reason` header.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoRoute => "no-route",
            RefusalReason::MethodNotAllowed => "method-not-allowed",
            RefusalReason::UnknownTenant => "unknown-tenant",
            RefusalReason::HomeRegion => "home-region",
            RefusalReason::NoTarget => "no-target",
            RefusalReason::AllTried => "all-targets-tried",
            RefusalReason::AllFull => "all-targets-full",
            RefusalReason::LinkBudget => "link-budget",
            RefusalReason::NotHosted => "not-hosted",
            RefusalReason::DomainOut => "domain-out",
            RefusalReason::Leaving => "leaving",
            RefusalReason::Stale => "stale",
            RefusalReason::TargetDown => "target-down",
            RefusalReason::QueueFull => "queue-full",
            RefusalReason::QueueTimeout => "queue-timeout",
            RefusalReason::Deadline => "deadline",
            RefusalReason::SuspectBusy => "suspect-busy",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::Allowance => "allowance",
            RefusalReason::Depth => "depth",
            RefusalReason::BadContext => "bad-context",
        }
    }

    /// Returns the reason with the given header value.
    pub fn from_text(text: &str) -> Option<RefusalReason> {
        RefusalReason::ALL
            .into_iter()
            .find(|reason| reason.as_str() == text)
    }

    /// All reasons, in the order of declaration.
    pub const ALL: [RefusalReason; 21] = [
        RefusalReason::NoRoute,
        RefusalReason::MethodNotAllowed,
        RefusalReason::UnknownTenant,
        RefusalReason::HomeRegion,
        RefusalReason::NoTarget,
        RefusalReason::AllTried,
        RefusalReason::AllFull,
        RefusalReason::LinkBudget,
        RefusalReason::NotHosted,
        RefusalReason::DomainOut,
        RefusalReason::Leaving,
        RefusalReason::Stale,
        RefusalReason::TargetDown,
        RefusalReason::QueueFull,
        RefusalReason::QueueTimeout,
        RefusalReason::Deadline,
        RefusalReason::SuspectBusy,
        RefusalReason::Quarantined,
        RefusalReason::Allowance,
        RefusalReason::Depth,
        RefusalReason::BadContext,
    ];

    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::BadContext => 400,
            RefusalReason::UnknownTenant => 403,
            RefusalReason::NoRoute => 404,
            RefusalReason::MethodNotAllowed => 405,
            RefusalReason::HomeRegion => 421,
            RefusalReason::Deadline => 504,
            RefusalReason::Quarantined => 422,
            RefusalReason::Depth => 508,
            _ => 503,
        }
    }

    /// Returns whether the reason concerns a single target, so that another
    /// target may accept the same request.
    pub fn is_target_specific(self) -> bool {
        matches!(
            self,
            RefusalReason::NotHosted
                | RefusalReason::DomainOut
                | RefusalReason::Leaving
                | RefusalReason::Stale
                | RefusalReason::TargetDown
                | RefusalReason::QueueFull
                | RefusalReason::QueueTimeout
                | RefusalReason::SuspectBusy
        )
    }

    /// Returns whether the target refused for lack of capacity.
    pub fn is_overload(self) -> bool {
        matches!(self, RefusalReason::QueueFull | RefusalReason::QueueTimeout)
    }
}

/// A decision not to run a request.
///
/// A request is refused only before it is handed over to a target, so that the
/// verdict is always [`CallVerdict::NotRun`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{}", .reason.as_str())]
pub struct Refusal {
    /// The reason, which is also sent to the caller.
    pub reason: RefusalReason,
    /// The time after which the same request may succeed, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal without [`Refusal::retry_after`].
    pub fn new(reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry_after: None,
        }
    }

    /// Sets the time after which the same request may succeed.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Refusal {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns [`CallVerdict::NotRun`], because the request was refused before
    /// it was handed over.
    pub fn verdict(&self) -> CallVerdict {
        CallVerdict::NotRun
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        self.reason.status()
    }
}
