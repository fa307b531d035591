//! Answers that the daemon itself gives to callers, without a target.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use radishgauge_events::events;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::quota::QuotaRefusal;
use radishgauge_net::HttpAnswer;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::message;

use crate::node::SidecarNode;
use crate::request_outcome::RequestOutcome;
use crate::tenant_access::AccessRefusal;

/// Logs a refusal that precedes the choice of a target, and returns the answer: the
/// request has not run.
pub(crate) fn refuse(
    node: &SidecarNode,
    id: Option<&str>,
    reason: &'static str,
    retry_after: Duration,
) -> HttpAnswer {
    node.request_log.log_other(
        &events::REQUEST_REFUSED,
        id.unwrap_or_default(),
        format_args!("reason={reason}"),
        node.now(),
    );
    refused(id, reason, retry_after)
}

/// Returns the answer to a request that has not run and may be sent again after
/// `retry_after`.
pub(crate) fn refused(id: Option<&str>, reason: &'static str, retry_after: Duration) -> HttpAnswer {
    answer(
        StatusCode::SERVICE_UNAVAILABLE,
        id,
        reason,
        Some(retry_after),
    )
}

/// Logs the refusal of a request without a valid key, and returns the answer: the
/// request has not run.
pub(crate) fn refuse_access(
    node: &SidecarNode,
    id: &str,
    route: &str,
    refusal: AccessRefusal,
    retry_after: Duration,
) -> HttpAnswer {
    let reason = refusal.reason();
    node.metrics.count(match refusal.is_temporary() {
        true => "requests_unverified",
        false => "requests_unauthorized",
    });
    node.request_log.log_other(
        &events::REQUEST_UNAUTHORIZED,
        id,
        format_args!("route={route} reason={reason}"),
        node.now(),
    );
    if refusal.is_temporary() {
        return refused(Some(id), reason, retry_after);
    }
    let mut answer = error(StatusCode::UNAUTHORIZED, Some(id), reason);
    message::set_key_challenge(answer.headers_mut());
    answer
}

/// Logs the refusal of a request over its tenant's limit, and returns the answer: the
/// request has not run.
pub fn refuse_over_limit(
    node: &Arc<SidecarNode>,
    id: &str,
    tenant: &TenantPolicy,
    refusal: &QuotaRefusal,
) -> HttpAnswer {
    node.metrics
        .tenants
        .count(tenant, RequestOutcome::OverLimit);
    node.quota().log_refusal(id, tenant, refusal);
    answer(
        StatusCode::TOO_MANY_REQUESTS,
        Some(id),
        "tenant over its limit, not run",
        Some(refusal.retry_after),
    )
}

/// Returns an answer without a time after which the request may be sent again.
pub(crate) fn error(status: StatusCode, id: Option<&str>, reason: &'static str) -> HttpAnswer {
    answer(status, id, reason, None)
}

fn answer(
    status: StatusCode,
    id: Option<&str>,
    reason: &'static str,
    retry_after: Option<Duration>,
) -> HttpAnswer {
    let mut response = Response::new(AnswerBody::whole(reason));
    *response.status_mut() = status;
    message::set_local_reply_headers(response.headers_mut(), id, retry_after);
    response
}
