//! The origin of a request: a caller, or the target of this host.
//!
//! Both send their requests to the same address. The ID of a request that a
//! target makes usually extends the ID of the request on whose behalf it is
//! made. A request comes from the target if the ID that it extends belongs to a
//! request that runs there.

use radishgauge_platform::message;
use smol_str::SmolStr;

use crate::node::SidecarNode;

/// A request that runs at this host's target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunningRequest {
    /// The name of its route.
    pub(crate) route: SmolStr,
    /// Whether the run is a retry.
    pub(crate) retried: bool,
    /// The priority with which the request competed for its slot, which its calls
    /// inherit; 0 is the most urgent.
    pub(crate) urgency: u32,
}

/// Who made a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller on this host.
    Caller,
    /// The target of this host, on behalf of a request that runs there.
    Run(RunningRequest),
}

impl RequestOrigin {
    /// Returns the origin of a request from this host, given its ID.
    pub(crate) fn of(node: &SidecarNode, id: &str) -> RequestOrigin {
        let parent = message::parent_id(id);
        match parent.and_then(|parent| node.owner.running_request(parent)) {
            Some(running) => RequestOrigin::Run(running),
            None => RequestOrigin::Caller,
        }
    }

    /// Returns whether the request belongs to a run that is a retry.
    pub(crate) fn is_retried(&self) -> bool {
        matches!(self, RequestOrigin::Run(running) if running.retried)
    }

    /// Returns the priority with which a request of this origin competes, given its
    /// own priority.
    pub(crate) fn urgency(&self, priority: u32) -> u32 {
        match self {
            RequestOrigin::Caller => priority,
            RequestOrigin::Run(running) => running.urgency,
        }
    }
}
