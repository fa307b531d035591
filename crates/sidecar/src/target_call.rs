//! Sends one request to the target of this host.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::response::Parts;
use radishgauge_mesh::RequestPrints;
use radishgauge_mesh::declared_rate_limit::RateStatement;
use radishgauge_net::BodyPieces;
use radishgauge_net::RequestProgress;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetError;
use radishgauge_net::TargetFault;
use radishgauge_platform::message;
use radishgauge_platform::message::HealthReport;
use radishgauge_platform::message::MeshHeaders;
use radishgauge_platform::message::ResponseOwner;
use radishgauge_platform::message::TargetResponseKind;
use radishgauge_schema::hop::HopReason;

use crate::answer::BufferedAnswer;
use crate::answer::MAX_ANSWER_BYTES;
use crate::answer::NotRun;
use crate::answer::TargetOutcome;

/// The reason of a failure whose connection ended before the answer.
const CONNECTION_ENDED: &str = "connection ended before the answer";

/// The reason of a failure whose connection ended within the answer.
const ANSWER_CUT_OFF: &str = "answer was cut off";

/// The reason of a failure with bytes that are no valid answer, or too many of them.
const ANSWER_INVALID: &str = "answer cannot be read";

/// Returns whether the connection to the target ended during a run with this
/// outcome.
pub(crate) fn is_cut_off(outcome: &TargetOutcome) -> bool {
    matches!(
        outcome,
        TargetOutcome::MayHaveRun(CONNECTION_ENDED | ANSWER_CUT_OFF)
    )
}

/// What a target states about itself in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetStatement {
    /// The rate limit.
    pub rate: RateStatement,
    /// Whether the target says that it leaves.
    pub is_leaving: bool,
    /// Whether the target served the request.
    pub is_success: bool,
}

impl TargetStatement {
    /// Returns what the target states in the answer to a health check.
    pub fn of_check(report: &HealthReport) -> TargetStatement {
        TargetStatement {
            rate: report.rate_statement,
            is_leaving: report.is_leaving,
            is_success: report.is_healthy,
        }
    }
}

/// A caller's request with its complete body.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// The ID that the caller gave to the request.
    pub id: smol_str::SmolStr,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The header fields, without those that apply to a single connection.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: BodyPieces,
}

impl BufferedRequest {
    /// Returns the fingerprints of the request, which `caller_service` sends to
    /// `service`.
    pub fn prints(&self, caller_service: &str, service: &str) -> RequestPrints {
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        RequestPrints::of_pieces(
            self.method.as_str(),
            path,
            self.body.pieces().iter().map(|piece| &piece[..]),
            caller_service,
            service,
        )
    }

    /// Returns the request for the next hop, with the given header fields
    /// instead of its own.
    ///
    /// # Errors
    ///
    /// When the method, path or header fields do not form a valid request.
    pub fn to_http(&self, headers: HeaderMap) -> Result<Request<TargetBody>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.uri.clone())
            .body(TargetBody::pieces(self.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }
}

/// Sends a request to the target and waits for its complete answer. As soon as
/// the head of the answer has arrived, `observe` is told what the target states
/// there. Dropping the future closes the connection, on which the target abandons
/// the request.
pub async fn call<F>(
    client: &TargetClient,
    request: &BufferedRequest,
    mesh_headers: &MeshHeaders<'_>,
    time_left: Duration,
    observe: F,
) -> TargetOutcome
where
    F: FnOnce(TargetStatement),
{
    let mut headers = request.headers.clone();
    mesh_headers.apply(&mut headers);
    let Ok(http_request) = request.to_http(headers) else {
        return TargetOutcome::NotRun(NotRun::before_target(HopReason::Unspecified));
    };
    let exchange = exchange(client, http_request, &request.id, observe);
    match tokio::time::timeout(time_left, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => TargetOutcome::MayHaveRun("timeout"),
    }
}

async fn exchange<F>(
    client: &TargetClient,
    request: Request<TargetBody>,
    id: &str,
    observe: F,
) -> TargetOutcome
where
    F: FnOnce(TargetStatement),
{
    let belongs = |head: &Parts| message::response_owner(&head.headers, id) != ResponseOwner::Other;
    let progress = RequestProgress::default();
    let answer = match client.send_matched(request, &progress, belongs).await {
        Ok(answer) => answer,
        Err(error) => return outcome_of_error(&error),
    };
    let (head, mut body) = answer.into_parts();
    let kind = message::classify_response(head.status, &head.headers, id);
    if matches!(kind, TargetResponseKind::Ran | TargetResponseKind::NotRun) {
        observe(TargetStatement {
            rate: message::read_rate_statement(&head.headers),
            is_leaving: message::says_leaving(&head.headers),
            is_success: head.status.is_success(),
        });
    }
    let body = match body.whole(MAX_ANSWER_BYTES).await {
        Ok(body) => body,
        // A refusal is valid even if its body is incomplete.
        Err(_)
            if matches!(
                kind,
                TargetResponseKind::NotRun | TargetResponseKind::OtherTarget
            ) =>
        {
            Bytes::new()
        }
        Err(error) => {
            let is_cut_off = matches!(error.fault, TargetFault::Cut(_));
            let reason = match is_cut_off {
                true => ANSWER_CUT_OFF,
                false => ANSWER_INVALID,
            };
            return TargetOutcome::MayHaveRun(reason);
        }
    };
    match kind {
        TargetResponseKind::NotRun => TargetOutcome::NotRun(NotRun::by_target(HopReason::Shed)),
        TargetResponseKind::OtherTarget => {
            TargetOutcome::NotRun(NotRun::by_target(HopReason::OtherTarget))
        }
        TargetResponseKind::OtherRequest => TargetOutcome::MayHaveRun("answer to another request"),
        TargetResponseKind::Unsigned => {
            TargetOutcome::MayHaveRun("answer without the target's digest")
        }
        TargetResponseKind::Ran => {
            let mut headers = head.headers;
            message::strip_connection_fields(&mut headers);
            TargetOutcome::Answered(BufferedAnswer {
                status: head.status,
                headers,
                body,
            })
        }
    }
}

fn outcome_of_error(error: &TargetError) -> TargetOutcome {
    match &error.fault {
        _ if !error.sent => TargetOutcome::NotRun(NotRun::before_target(HopReason::Down)),
        TargetFault::Invalid(_) => TargetOutcome::MayHaveRun(ANSWER_INVALID),
        _ => TargetOutcome::MayHaveRun(CONNECTION_ENDED),
    }
}
