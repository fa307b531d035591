//! Leases for long bodies that are sent to other hosts.
//!
//! The receiving daemon limits how many long bodies it receives at a time; see
//! [`radishgauge_mesh::body_admission`]. The sender requests the lease in a
//! short request of its own. If the lease is refused, nothing of the caller's
//! request was sent, so it cannot have run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use prost::Message;
use radishgauge_events::events;
use radishgauge_mesh::body_admission::BodyLease;
use radishgauge_net::HttpAnswer;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::message;
use radishgauge_schema::hop::HopReason;
use radishgauge_schema::hop::IntakeReply;

use crate::answer::MAX_ANSWER_BYTES;
use crate::answer::NotRun;
use crate::hop::micros;
use crate::node::SidecarNode;

/// How long a request for a lease may take: several times the latency between
/// regions. A host that takes longer has an overloaded link and cannot receive
/// a long body.
const LEASE_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// The path of requests for a lease.
pub const LEASE_PATH: &str = "/intake";

/// Answers a request for a lease to send a long body to this host.
pub fn serve(node: &SidecarNode, headers: &HeaderMap) -> HttpAnswer {
    let now = node.now();
    let granted = node.body_admission().grant(now);
    let reply = match granted {
        Ok(lease) => IntakeReply {
            lease: lease.0,
            retry_after_us: 0,
        },
        Err(retry_after) => {
            let id = message::request_id(headers).unwrap_or_default();
            node.metrics.count("bodies_refused");
            node.request_log.log_other(
                &events::BODY_LEASE_REFUSED,
                &id,
                format_args!("retry_after_ms={}", retry_after.as_millis()),
                now,
            );
            IntakeReply {
                lease: 0,
                retry_after_us: micros(retry_after),
            }
        }
    };
    Response::new(AnswerBody::whole(reply.encode_to_vec()))
}

/// A long body that is being received; dropping it ends its lease.
pub struct IncomingBody<'a> {
    node: &'a SidecarNode,
    lease: BodyLease,
}

impl IncomingBody<'_> {
    /// Starts to receive the body of a lease. Returns `None` for lease 0, which
    /// stands for no lease.
    pub fn begin(node: &SidecarNode, lease: u64) -> Option<IncomingBody<'_>> {
        if lease == 0 {
            return None;
        }
        let lease = BodyLease(lease);
        node.body_admission().begin(lease, node.now());
        Some(IncomingBody { node, lease })
    }
}

impl Drop for IncomingBody<'_> {
    fn drop(&mut self) {
        self.node.body_admission().end(self.lease, self.node.now());
    }
}

/// Requests a lease from the daemon at `peer` for the body of a request.
///
/// # Errors
///
/// When the daemon refuses the lease or does not answer. The request itself was
/// not sent.
pub async fn request_lease(
    node: &SidecarNode,
    peer: SocketAddr,
    request: &str,
) -> Result<u64, NotRun> {
    let client = node.peers.client(peer);
    let answer =
        tokio::time::timeout(LEASE_REQUEST_TIMEOUT, send_lease_request(&client, request)).await;
    match answer {
        Ok(Ok(reply)) if reply.lease > 0 => Ok(reply.lease),
        Ok(Ok(reply)) => Err(NotRun {
            reason: HopReason::Full,
            retry_after: Some(Duration::from_micros(reply.retry_after_us)),
            reached_target: false,
        }),
        Ok(Err(error)) => {
            log_lease_failure(node, peer, request, &error.to_string());
            Err(NotRun::before_target(HopReason::Down))
        }
        Err(_) => {
            log_lease_failure(node, peer, request, "timeout");
            Err(NotRun::before_target(HopReason::Full))
        }
    }
}

fn log_lease_failure(node: &SidecarNode, peer: SocketAddr, request: &str, error: &str) {
    let fields = format_args!("peer={peer} error={error}");
    let now = node.now();
    node.request_log
        .log_other(&events::BODY_LEASE_FAILED, request, fields, now);
}

async fn send_lease_request(client: &TargetClient, request: &str) -> anyhow::Result<IntakeReply> {
    let lease_request = Request::builder()
        .method(Method::GET)
        .uri(LEASE_PATH)
        .header(header::HOST, client.address().to_string())
        .header(message::REQUEST_ID, request)
        .body(TargetBody::whole(Bytes::new()))?;
    let mut body = client.send(lease_request).await?.into_body();
    Ok(IntakeReply::decode(body.whole(MAX_ANSWER_BYTES).await?)?)
}
