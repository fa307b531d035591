//! One request to the target of this host.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::response::Parts;
use radishgauge_net::RequestProgress;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetError;
use radishgauge_platform::message;
use radishgauge_platform::message::MeshHeaders;
use radishgauge_platform::message::TargetResponseKind;
use radishgauge_schema::hop::HopReason;

use crate::answer::GREATEST_ANSWER;
use crate::answer::NotRun;
use crate::answer::TargetOutcome;
use crate::answer::WholeAnswer;

/// A caller's request with its whole body.
#[derive(Debug, Clone)]
pub struct WholeRequest {
    /// The identity that its caller gave it.
    pub id: smol_str::SmolStr,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its header fields, without those that concern one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl WholeRequest {
    /// Returns the request for the next hop, with other header fields.
    ///
    /// # Errors
    ///
    /// When method, path or fields cannot stand in a request.
    pub fn to_http(&self, headers: HeaderMap) -> Result<Request<TargetBody>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.uri.clone())
            .body(TargetBody::whole(self.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }
}

/// Sends a request to the target and waits for its whole answer. Dropping the
/// future closes the connection, at which the target drops the request.
pub async fn call(
    client: &TargetClient,
    request: &WholeRequest,
    orders: &MeshHeaders<'_>,
    time_left: Duration,
) -> TargetOutcome {
    let mut headers = request.headers.clone();
    orders.apply(&mut headers);
    let Ok(sending) = request.to_http(headers) else {
        return TargetOutcome::NotRun(NotRun::unseen(HopReason::Unspecified));
    };
    let exchange = exchange(client, sending, &request.id);
    match tokio::time::timeout(time_left, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => TargetOutcome::MayHaveRun("timeout"),
    }
}

async fn exchange(client: &TargetClient, request: Request<TargetBody>, id: &str) -> TargetOutcome {
    let belongs = |head: &Parts| message::belongs_to(&head.headers, id);
    let progress = RequestProgress::default();
    let answer = match client.send_matched(request, &progress, belongs).await {
        Ok(answer) => answer,
        Err(error) => return lost(&error),
    };
    let (head, mut body) = answer.into_parts();
    let word = message::classify_response(head.status, &head.headers, id);
    let body = match body.whole(GREATEST_ANSWER).await {
        Ok(body) => body,
        // A refusal is true whatever becomes of its body.
        Err(_)
            if matches!(
                word,
                TargetResponseKind::NotRun | TargetResponseKind::OtherTarget
            ) =>
        {
            Bytes::new()
        }
        Err(_) => return TargetOutcome::MayHaveRun("answer was cut off"),
    };
    match word {
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
            TargetOutcome::Answered(WholeAnswer {
                status: head.status,
                headers,
                body,
            })
        }
    }
}

fn lost(error: &TargetError) -> TargetOutcome {
    if error.sent {
        TargetOutcome::MayHaveRun("connection ended before the answer")
    } else {
        TargetOutcome::NotRun(NotRun::unseen(HopReason::Down))
    }
}
