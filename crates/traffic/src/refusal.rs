//! Why a call was refused, as a type with stable text.
//!
//! Refusals cross daemons and reach callers' headers, so their texts are part
//! of the interface: operators alert on them and callers branch on them.

use std::time::Duration;

use thiserror::Error;

use crate::verdict::CallVerdict;

/// Why a call was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No route matches the path and the method.
    NoRoute,
    /// A route matches the path, and none of them accepts the method.
    MethodNotAllowed,
    /// The tenant of the request is not in the configuration.
    UnknownTenant,
    /// The request may not be handled in this region, or in none at all.
    HomeRegion,
    /// The service has no target that may receive the request.
    NoTarget,
    /// Each target that may receive the request was tried.
    AllTried,
    /// Only targets in other regions are left, and the link budget is used up.
    LinkBudget,
    /// The daemon hosts no target of the service.
    NotHosted,
    /// The failure domain of the target was taken out.
    DomainOut,
    /// The target's host takes no new work because it stops.
    Leaving,
    /// The daemon's configuration may be old, and no neighbour confirmed it.
    Stale,
    /// The target refused the connection.
    TargetDown,
    /// The queue of the target is full for requests of this criticality.
    QueueFull,
    /// The request waited in the queue for as long as is allowed.
    QueueTimeout,
    /// The deadline has passed, or passes before the request could be answered.
    Deadline,
    /// Another request that may have crashed a target runs at this one.
    SuspectBusy,
    /// The request crashed targets and is quarantined.
    Quarantined,
    /// The call is made below a retry whose allowance of calls is used up.
    Allowance,
    /// The chain of calls is too deep, most likely a loop.
    Depth,
    /// The context header could not be read.
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

    /// Returns the reason whose stable text is `text`.
    pub fn from_text(text: &str) -> Option<RefusalReason> {
        RefusalReason::ALL
            .into_iter()
            .find(|reason| reason.as_str() == text)
    }

    /// All reasons.
    pub const ALL: [RefusalReason; 20] = [
        RefusalReason::NoRoute,
        RefusalReason::MethodNotAllowed,
        RefusalReason::UnknownTenant,
        RefusalReason::HomeRegion,
        RefusalReason::NoTarget,
        RefusalReason::AllTried,
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

    /// Whether another target may accept the same request.
    pub fn elsewhere(self) -> bool {
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

    /// Whether the refusal says that the target has no room.
    pub fn overloaded(self) -> bool {
        matches!(self, RefusalReason::QueueFull | RefusalReason::QueueTimeout)
    }
}

/// A decision not to run a request.
///
/// Refusals are made before a request is handed over, so the verdict is
/// always [`CallVerdict::NotRun`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{}", .reason.as_str())]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// After which time the same request may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal without advice about when to send the request again.
    pub fn new(reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry_after: None,
        }
    }

    /// Adds the time after which the same request may succeed.
    pub fn after(mut self, retry_after: Duration) -> Refusal {
        self.retry_after = Some(retry_after);
        self
    }

    /// Whether the request may have run: it was refused before, so it has not.
    pub fn verdict(&self) -> CallVerdict {
        CallVerdict::NotRun
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        self.reason.status()
    }
}
