//! Receives the bodies of requests within the memory of the process.

use std::net::IpAddr;
use std::time::Duration;

use radishgauge_net::BodyFault;
use radishgauge_net::BodyLimits;
use radishgauge_net::BodyPieces;
use radishgauge_net::HttpBody;

use crate::node::SidecarNode;

/// How long a body may make no progress while this daemon has no configuration. The sending
/// daemon has then already checked the length against its own.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);

/// Receives the body of a request that a client or daemon at this address sends.
///
/// # Errors
///
/// When the body is longer than the configuration allows, does not fit into the memory,
/// does not arrive within `time`, makes no progress, or is cut off.
pub(crate) async fn receive(
    node: &SidecarNode,
    body: &mut HttpBody,
    address: IpAddr,
    time: Duration,
) -> Result<BodyPieces, BodyFault> {
    let limits = node.config().map(|config| config.limits());
    let limits = BodyLimits {
        bytes: limits.map_or(u64::MAX, |limits| limits.body_bytes),
        time,
        stall: node.settings().client_limits.stall_time,
        idle: limits.map_or(DEFAULT_IDLE_TIME, |limits| limits.idle_time),
    };
    let received = body
        .pieces(limits, node.owner.memory.bodies.share(address))
        .await;
    match &received {
        Err(BodyFault::NoMemory) => node.metrics.count("bodies_without_memory"),
        Err(BodyFault::Late) => node.metrics.count("bodies_late"),
        _ => {}
    }
    received
}
