//! Who made a request.
//!
//! Callers and the target of the host send their requests to the same address.
//! Calls that a target makes are told by their identity, which names the
//! request that runs there.

use radishgauge_platform::message;

use crate::node::SidecarNode;

/// Who made a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller.
    Caller,
    /// A request that runs at the target of this host.
    Run {
        /// Whether that run is a repeat.
        repeated: bool,
    },
}

impl RequestOrigin {
    /// Returns the origin of a request that entered on the host of a target.
    pub(crate) fn of(node: &SidecarNode, id: &str) -> RequestOrigin {
        let parent = message::parent_id(id);
        match parent.and_then(|parent| node.owner.is_repeated_run(parent)) {
            Some(repeated) => RequestOrigin::Run { repeated },
            None => RequestOrigin::Caller,
        }
    }
}
