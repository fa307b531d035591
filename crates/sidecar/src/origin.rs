//! The origin of a request: a caller, or the target of this host.
//!
//! Both send their requests to the same address. The ID of a request that a
//! target makes usually extends the ID of the request on whose behalf it is
//! made. A request comes from the target if the ID that it extends belongs to a
//! request that runs there.

use radishgauge_platform::message;

use crate::node::SidecarNode;

/// Who made a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller on this host.
    Caller,
    /// The target of this host, on behalf of a request that runs there.
    Run {
        /// Whether the run of that request is a retry.
        retried: bool,
    },
}

impl RequestOrigin {
    /// Returns the origin of a request from this host, given its ID.
    pub(crate) fn of(node: &SidecarNode, id: &str) -> RequestOrigin {
        let parent = message::parent_id(id);
        match parent.and_then(|parent| node.owner.is_retried_run(parent)) {
            Some(retried) => RequestOrigin::Run { retried },
            None => RequestOrigin::Caller,
        }
    }
}
