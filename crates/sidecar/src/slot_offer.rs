//! Offers of requests to owners on other hosts, before the bodies are sent.
//!
//! The sender describes the request in a short message. The owner decides on it
//! as on the request itself, and reserves a slot or a place in its queue until
//! the body arrives. If it refuses, nothing of the caller's request was sent, so
//! the request cannot have run. [`radishgauge_mesh::link_load`] decides which
//! requests are offered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use prost::Message;
use radishgauge_events::events;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpBody;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::message;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use radishgauge_schema::hop::HopReport;
use radishgauge_schema::hop::HopVerdict;
use radishgauge_schema::hop::SlotOffer;
use radishgauge_schema::hop::SlotReply;

use crate::answer;
use crate::answer::MAX_ANSWER_BYTES;
use crate::answer::NotRun;
use crate::hop;
use crate::node::SidecarNode;
use crate::reservation;

/// How long an offer may take: several times the latency between regions. A host
/// that takes longer has an overloaded link and cannot receive the body.
const OFFER_TIMEOUT: Duration = Duration::from_millis(300);

/// The greatest length of an encoded offer in bytes.
const MAX_OFFER_BYTES: u64 = 16 * 1024;

/// The path of offers.
pub const OFFER_PATH: &str = "/offer";

/// Answers an offer of another daemon.
pub async fn serve(node: &Arc<SidecarNode>, request: &str, mut body: HttpBody) -> HttpAnswer {
    let Ok(body) = body.whole(MAX_OFFER_BYTES).await else {
        return answer::empty(StatusCode::BAD_REQUEST);
    };
    let Ok(SlotOffer {
        head: Some(head),
        body_bytes,
    }) = SlotOffer::decode(body)
    else {
        return answer::empty(StatusCode::BAD_REQUEST);
    };
    let outcome = reservation::reserve(node, &head, body_bytes);
    let mut report = node.hop_report(&head);
    let reservation = match outcome {
        Ok(reservation) => reservation,
        Err(refusal) => {
            node.metrics.count("offers_refused");
            log_refusal(node, request, &head, refusal);
            report.set_verdict(HopVerdict::NotRun);
            report.set_reason(refusal.reason);
            report.retry_after_us = refusal.retry_after.map_or(0, hop::micros);
            0
        }
    };
    let reply = SlotReply {
        reservation,
        report: Some(report),
    };
    Response::new(AnswerBody::whole(reply.encode_to_vec()))
}

fn log_refusal(node: &SidecarNode, request: &str, head: &HopHead, refusal: NotRun) {
    node.request_log.log_other(
        &events::OFFER_REFUSED,
        request,
        format_args!(
            "target={} reason={} retry_after_ms={}",
            head.target,
            refusal.reason.as_str_name(),
            refusal.retry_after.unwrap_or_default().as_millis()
        ),
        node.now(),
    );
}

/// The owner's reply to an offer.
pub struct OfferOutcome {
    /// The reservation, or the owner's refusal. After a refusal the request has
    /// not run, because it was not sent.
    pub decision: Result<u64, NotRun>,
    /// The owner's report, if it replied.
    pub report: Option<HopReport>,
}

impl OfferOutcome {
    fn without_report(reason: HopReason) -> OfferOutcome {
        OfferOutcome {
            decision: Err(NotRun::before_target(reason)),
            report: None,
        }
    }
}

/// Offers a request with a body of `body_bytes` to the owner at `peer`.
pub async fn send(
    node: &SidecarNode,
    peer: SocketAddr,
    head: &HopHead,
    request: &str,
    body_bytes: u64,
) -> OfferOutcome {
    let client = node.peers.client(peer);
    let offer = SlotOffer {
        head: Some(head.clone()),
        body_bytes,
    };
    let exchange = exchange(&client, request, &offer);
    match tokio::time::timeout(OFFER_TIMEOUT, exchange).await {
        Ok(Ok(reply)) => read_reply(reply),
        Ok(Err(error)) => {
            log_failure(node, peer, request, &error.to_string());
            OfferOutcome::without_report(HopReason::Down)
        }
        Err(_) => {
            log_failure(node, peer, request, "timeout");
            OfferOutcome::without_report(HopReason::Full)
        }
    }
}

fn read_reply(reply: SlotReply) -> OfferOutcome {
    let report = reply.report;
    let decision = match reply.reservation {
        0 => Err(report
            .as_ref()
            .map_or(NotRun::before_target(HopReason::Full), |report| NotRun {
                reason: report.reason(),
                retry_after: hop::retry_after(report),
                reached_target: false,
            })),
        reservation => Ok(reservation),
    };
    OfferOutcome { decision, report }
}

fn log_failure(node: &SidecarNode, peer: SocketAddr, request: &str, error: &str) {
    let fields = format_args!("peer={peer} error={error}");
    let now = node.now();
    node.request_log
        .log_other(&events::OFFER_FAILED, request, fields, now);
}

async fn exchange(
    client: &TargetClient,
    request: &str,
    offer: &SlotOffer,
) -> anyhow::Result<SlotReply> {
    let http_request = Request::builder()
        .method(Method::POST)
        .uri(OFFER_PATH)
        .header(header::HOST, client.address().to_string())
        .header(message::REQUEST_ID, request)
        .body(TargetBody::whole(Bytes::from(offer.encode_to_vec())))?;
    let (head, mut body) = client.send(http_request).await?.into_parts();
    anyhow::ensure!(head.status == StatusCode::OK, "status {}", head.status);
    Ok(SlotReply::decode(body.whole(MAX_ANSWER_BYTES).await?)?)
}
