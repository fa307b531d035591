//! What daemons tell each other.
//!
//! A daemon that cannot read the store asks a peer for the state, and one that
//! knows nothing is told by the first daemon that notices.

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
use radishgauge_mesh::book::StateSource;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::TargetBody;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::StoreItem;
use radishgauge_platform::message;
use radishgauge_schema::hop::HopReport;
use radishgauge_schema::hop::HopVerdict;
use radishgauge_schema::hop::StateItem;
use radishgauge_schema::hop::StateSnapshot;
use smol_str::SmolStr;

use crate::answer::TargetOutcome;
use crate::hop;
use crate::node::SidecarNode;
use crate::target_call::WholeRequest;

/// The path of requests for the state; they carry no hop head.
const STATE_PATH: &str = "/state";

/// The greatest state in bytes: some thousand targets and one configuration.
const GREATEST_STATE: usize = 8 * 1024 * 1024;

/// How long a daemon that is behind waits for its own watch of the store.
const OWN_WATCH_TIME: Duration = Duration::from_millis(300);

/// How often peers are asked while the store cannot be read.
const ASK_INTERVAL: Duration = Duration::from_millis(700);

/// How long a peer may take to tell its state.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

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
        return serve_state(&node, &head.method, &head.uri, body).await;
    };
    let peer = SocketAddr::new(remote.ip(), node.settings().peers.port());
    node.hear_revision(peer, hop_head.revision);
    // A daemon reads the caller's whole body first, so this one is at hand.
    let Ok(body) = body.whole(u64::MAX).await else {
        return plain(StatusCode::BAD_REQUEST);
    };
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
    answer(outcome, report)
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
                    "target={target} reason={:?} occupied={} limit={} wait_ms={}",
                    refusal.reason,
                    report.occupied,
                    report.limit,
                    report.wait_us / 1000
                ),
                now,
            );
        }
        TargetOutcome::MayHaveRun(reason) => node.record.other(
            &events::OWNER_FAILED,
            id,
            format_args!(
                "target={target} reason={reason} took_ms={}",
                report.spent_us / 1000
            ),
            now,
        ),
    }
}

fn answer(outcome: TargetOutcome, mut report: HopReport) -> HttpAnswer {
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
            plain(StatusCode::SERVICE_UNAVAILABLE)
        }
        TargetOutcome::MayHaveRun(_) => {
            report.set_verdict(HopVerdict::MayHaveRun);
            plain(StatusCode::BAD_GATEWAY)
        }
    };
    hop::set_report(response.headers_mut(), &report);
    response
}

async fn serve_state(
    node: &Arc<SidecarNode>,
    method: &Method,
    uri: &http::Uri,
    mut body: radishgauge_net::HttpBody,
) -> HttpAnswer {
    if uri.path() != STATE_PATH {
        return plain(StatusCode::NOT_FOUND);
    }
    if *method == Method::POST {
        let Ok(body) = body.whole(GREATEST_STATE as u64).await else {
            return plain(StatusCode::BAD_REQUEST);
        };
        return match take_snapshot(node, &body, "told") {
            true => plain(StatusCode::OK),
            false => plain(StatusCode::BAD_REQUEST),
        };
    }
    let after = uri.query().and_then(|query| query.strip_prefix("after="));
    let after = after.and_then(|after| after.parse::<u64>().ok());
    if node.revision() <= after.unwrap_or_default() {
        return plain(StatusCode::NO_CONTENT);
    }
    Response::new(AnswerBody::whole(snapshot(node)))
}

fn snapshot(node: &SidecarNode) -> Vec<u8> {
    let known = node.known();
    let items = known.view.items().map(|item| StateItem {
        key: item.key.to_string(),
        value: Bytes::from(item.value.clone().unwrap_or_default()),
        revision: item.revision,
    });
    StateSnapshot {
        revision: known.view.revision(),
        items: items.collect(),
        settled: known.book.is_settled(),
    }
    .encode_to_vec()
}

/// Takes over a peer's state when it is newer. Returns whether it could be read.
fn take_snapshot(node: &SidecarNode, body: &[u8], peer: &str) -> bool {
    let Ok(snapshot) = StateSnapshot::decode(body) else {
        return false;
    };
    let before = node.revision();
    // A state with entries missing because of an outage is of use only to a
    // daemon that knows nothing.
    if snapshot.revision <= before || (before > 0 && !snapshot.settled) {
        return true;
    }
    let items = snapshot.items.into_iter().map(|item| StoreItem {
        key: SmolStr::from(item.key),
        value: Some(item.value.to_vec()),
        revision: item.revision,
    });
    node.replace_state(items.collect(), snapshot.revision, StateSource::Peer);
    events::STATE_TOLD.emit(format_args!(
        "peer={peer} from={before} to={}",
        snapshot.revision
    ));
    true
}

fn plain(status: StatusCode) -> HttpAnswer {
    let mut response = Response::new(AnswerBody::default());
    *response.status_mut() = status;
    response
}

impl SidecarNode {
    /// Takes note of the revision that an owner reported; one that knows no
    /// state is told.
    pub fn hear_report(self: &Arc<Self>, peer: SocketAddr, revision: u64) {
        if revision > 0 {
            self.hear_revision(peer, revision);
        } else if self.revision() > 0 {
            let node = Arc::clone(self);
            tokio::spawn(async move { tell(&node, peer).await });
        }
    }
}

async fn tell(node: &SidecarNode, peer: SocketAddr) {
    let body = snapshot(node);
    if let Err(error) = send(node, peer, Method::POST, STATE_PATH, body).await {
        events::PEER_STATE_FAILED.emit(format_args!("peer={peer} error={error}"));
    }
}

/// Asks a peer for a newer state.
async fn ask(node: &SidecarNode, peer: SocketAddr) {
    let path = format!("{STATE_PATH}?after={}", node.revision());
    match send(node, peer, Method::GET, &path, Vec::new()).await {
        Ok((StatusCode::OK, body)) => {
            take_snapshot(node, &body, &peer.to_string());
        }
        Ok(_) => {}
        Err(error) => events::PEER_STATE_FAILED.emit(format_args!("peer={peer} error={error}")),
    }
}

async fn send(
    node: &SidecarNode,
    peer: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, peer.to_string())
        .body(TargetBody::whole(body))?;
    let client = node.peers.client(peer);
    let exchange = async {
        let (head, mut body) = client.send(request).await?.into_parts();
        anyhow::Ok((head.status, body.whole(GREATEST_STATE).await?))
    };
    tokio::time::timeout(ASK_TIMEOUT, exchange).await?
}

/// Keeps the state up with that of peers; ends never.
pub async fn run(node: Arc<SidecarNode>) {
    let mut turn = 0;
    loop {
        let wait = tokio::time::timeout(ASK_INTERVAL, node.behind.notified()).await;
        if wait.is_ok() {
            tokio::time::sleep(OWN_WATCH_TIME).await;
        }
        if let Some(peer) = node.ahead() {
            ask(&node, peer).await;
        } else if node.known().book.store_away() {
            let peers = node.peer_addresses();
            if let Some(peer) = peers.get(turn % peers.len().max(1)) {
                ask(&node, *peer).await;
            }
            turn += 1;
        }
    }
}
