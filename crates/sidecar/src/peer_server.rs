//! Serves requests of other daemons: offers and requests for this host's target,
//! and requests for the platform's state.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use radishgauge_events::events;
use radishgauge_net::BodyFault;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::message;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use radishgauge_schema::hop::HopReport;
use radishgauge_schema::hop::HopVerdict;

use crate::answer;
use crate::answer::NotRun;
use crate::answer::TargetOutcome;
use crate::answer_lease;
use crate::body_receipt;
use crate::hop;
use crate::node::SidecarNode;
use crate::quota_exchange;
use crate::reservation;
use crate::slot::AdmittedRequest;
use crate::slot_offer;
use crate::state_exchange;
use crate::suspect_exchange;
use crate::target_call::BufferedRequest;

/// Serves one request of another daemon.
pub async fn serve(node: Arc<SidecarNode>, request: HttpRequest) -> HttpAnswer {
    let arrived = node.now();
    let HttpRequest {
        mut head,
        mut body,
        remote,
        ..
    } = request;
    let peer = node.peers.address_at(remote.ip());
    node.record_contact(peer.ip());
    let Some(hop_head) = hop::take_head(&mut head.headers) else {
        if head.uri.path() == slot_offer::OFFER_PATH {
            let id = message::request_id(&head.headers).unwrap_or_default();
            return slot_offer::serve(&node, &id, body).await;
        }
        if head.uri.path() == suspect_exchange::SUSPECT_PATH {
            return suspect_exchange::serve(&node, &head.method, body).await;
        }
        if head.uri.path() == quota_exchange::QUOTA_PATH {
            return quota_exchange::serve(&node, peer.ip(), body).await;
        }
        return state_exchange::serve(&node, peer, &head.method, &head.uri, body).await;
    };
    node.record_peer_position(peer, hop::head_position(&hop_head));
    node.record_suspicion_digest(peer, hop_head.suspicion_digest);
    suspect_exchange::merge(&node, &hop_head.suspicions);
    // The sending daemon has received the caller's complete body, so this body
    // arrives without waiting for the caller.
    let claimed_slot = reservation::claim(&node, hop_head.reservation);
    let time_left = Duration::from_micros(hop_head.time_left_us);
    let body = match body_receipt::receive(&node, &mut body, remote.ip(), time_left).await {
        Ok(body) => body,
        Err(BodyFault::Cut(_)) => return answer::empty(StatusCode::BAD_REQUEST),
        Err(fault) => {
            let reason = match fault {
                BodyFault::Late => HopReason::Expired,
                _ => HopReason::Full,
            };
            let refusal = NotRun::before_target(reason);
            let report = node.hop_report(&hop_head);
            return hop_answer(TargetOutcome::NotRun(refusal), report);
        }
    };
    let admitted = claimed_slot.map(|claimed_slot| claimed_slot.admitted);
    let body_bytes = body.len() as u64;
    node.link().record_received(body_bytes, node.now());
    message::strip_connection_fields(&mut head.headers);
    if node.config().is_some_and(|config| config.has_tenants()) {
        // The sender may have an older configuration, without tenants.
        message::remove_key(&mut head.headers);
    }
    let request = BufferedRequest {
        id: message::request_id(&head.headers).unwrap_or_default(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    let outcome = run(&node, &request, &hop_head, admitted).await;
    node.record_hop(body_bytes, &outcome);
    let mut report = node.hop_report(&hop_head);
    report.spent_us = hop::micros(node.now().saturating_sub(arrived));
    log_outcome(&node, &request.id, &hop_head, &outcome, &report);
    hop_answer(outcome, report)
}

/// Runs a request if this host's link can send its answer in time. A reserved request
/// was checked when it was offered.
async fn run(
    node: &Arc<SidecarNode>,
    request: &BufferedRequest,
    head: &HopHead,
    admitted: Option<AdmittedRequest>,
) -> TargetOutcome {
    if admitted.is_none()
        && let Err(refusal) = answer_lease::check(node, head)
    {
        return TargetOutcome::NotRun(refusal);
    }
    let lease = answer_lease::begin(node, head);
    let outcome = node.owner.run(request, head, admitted).await;
    lease.end(&outcome);
    outcome
}

fn log_outcome(
    node: &SidecarNode,
    id: &str,
    head: &HopHead,
    outcome: &TargetOutcome,
    report: &HopReport,
) {
    let now = node.now();
    let target = &head.target;
    match outcome {
        TargetOutcome::Answered(_) => {}
        TargetOutcome::NotRun(refusal) => {
            node.metrics.owner_refusal(refusal.reason.as_str_name());
            node.request_log.log_other(
                &events::OWNER_REFUSED,
                id,
                format_args!(
                    "target={target} reason={} urgency={} waiting_priority={:?} occupied={} limit={} wait_ms={}",
                    refusal.reason.as_str_name(),
                    hop::urgency(head),
                    report.waiting_priority.checked_sub(1),
                    report.occupied,
                    report.limit,
                    report.wait_us / 1000
                ),
                now,
            );
        }
        TargetOutcome::MayHaveRun(reason) => node.request_log.log_other(
            &events::TARGET_REQUEST_FAILED,
            id,
            format_args!(
                "target={target} reason={reason} fingerprint={:016x} took_ms={}",
                head.content_fingerprint,
                report.spent_us / 1000
            ),
            now,
        ),
    }
}

fn hop_answer(outcome: TargetOutcome, mut report: HopReport) -> HttpAnswer {
    let mut response = match outcome {
        TargetOutcome::Answered(answer) => {
            report.set_verdict(HopVerdict::Ran);
            let mut response = Response::new(AnswerBody::whole(answer.body));
            *response.status_mut() = answer.status;
            *response.headers_mut() = answer.headers;
            response
        }
        TargetOutcome::NotRun(refusal) => {
            report.set_verdict(HopVerdict::NotRun);
            report.set_reason(refusal.reason);
            report.retry_after_us = refusal.retry_after.map_or(0, hop::micros);
            answer::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
        TargetOutcome::MayHaveRun(_) => {
            report.set_verdict(HopVerdict::MayHaveRun);
            answer::empty(StatusCode::BAD_GATEWAY)
        }
    };
    hop::set_report(response.headers_mut(), &report);
    response
}
