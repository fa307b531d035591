//! Requests of other daemons: for the target of this host, and for the state.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Response;
use http::StatusCode;
use radishgauge_events::events;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::message;
use radishgauge_schema::hop::HopReport;
use radishgauge_schema::hop::HopVerdict;

use crate::answer;
use crate::answer::TargetOutcome;
use crate::hop;
use crate::intake;
use crate::intake::BodyReading;
use crate::node::SidecarNode;
use crate::share;
use crate::target_call::WholeRequest;

/// Serves one request of another daemon.
pub async fn serve(node: Arc<SidecarNode>, request: HttpRequest) -> HttpAnswer {
    let arrived = node.now();
    let HttpRequest {
        mut head,
        mut body,
        remote,
        ..
    } = request;
    let Some(hop_head) = hop::take_head(&mut head.headers) else {
        if head.uri.path() == intake::INTAKE_PATH {
            return intake::serve(&node, &head.headers);
        }
        return share::serve(&node, &head.method, &head.uri, body).await;
    };
    let peer = SocketAddr::new(remote.ip(), node.settings().peer_address.port());
    node.hear_revision(peer, hop_head.revision);
    // A daemon reads the caller's whole body first, so this one is at hand.
    let reading = BodyReading::begin(&node, hop_head.lease);
    let Ok(body) = body.whole(u64::MAX).await else {
        return answer::bare(StatusCode::BAD_REQUEST);
    };
    drop(reading);
    message::strip_connection_fields(&mut head.headers);
    let request = WholeRequest {
        id: message::request_id(&head.headers).unwrap_or_default(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    let outcome = node.owner.run(&request, &hop_head).await;
    let now = node.now();
    let mut report = hop::report_of(&node.owner.report());
    report.spent_us = hop::micros(now.saturating_sub(arrived));
    report.revision = node.revision();
    log_outcome(&node, &request.id, &hop_head.target, &outcome, &report);
    hop_answer(outcome, report)
}

fn log_outcome(
    node: &SidecarNode,
    id: &str,
    target: &str,
    outcome: &TargetOutcome,
    report: &HopReport,
) {
    let now = node.now();
    match outcome {
        TargetOutcome::Answered(_) => {}
        TargetOutcome::NotRun(refusal) => {
            node.metrics.owner_refusal(refusal.reason.as_str_name());
            node.record.other(
                &events::OWNER_REFUSED,
                id,
                format_args!(
                    "target={target} reason={} occupied={} limit={} wait_ms={}",
                    refusal.reason.as_str_name(),
                    report.occupied,
                    report.limit,
                    report.wait_us / 1000
                ),
                now,
            );
        }
        TargetOutcome::MayHaveRun(reason) => node.record.other(
            &events::TARGET_REQUEST_FAILED,
            id,
            format_args!(
                "target={target} reason={reason} took_ms={}",
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
            answer::bare(StatusCode::SERVICE_UNAVAILABLE)
        }
        TargetOutcome::MayHaveRun(_) => {
            report.set_verdict(HopVerdict::MayHaveRun);
            answer::bare(StatusCode::BAD_GATEWAY)
        }
    };
    hop::set_report(response.headers_mut(), &report);
    response
}
