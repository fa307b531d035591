//! Sends requests to the daemons of other hosts.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use indexmap::IndexMap;
use radishgauge_net::ByteBudget;
use radishgauge_net::RequestProgress;
use radishgauge_net::TargetBody;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetError;
use radishgauge_net::TargetLimits;
use radishgauge_platform::message;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use radishgauge_schema::hop::HopReport;
use radishgauge_schema::hop::HopVerdict;

use crate::answer::BufferedAnswer;
use crate::answer::MAX_ANSWER_BYTES;
use crate::answer::NotRun;
use crate::answer::TargetOutcome;
use crate::hop;
use crate::node::lock;
use crate::target_call::BufferedRequest;

/// The greatest number of connections to one daemon; further requests wait. It
/// is more than a target runs at once, and low enough for connections to a
/// hundred daemons within the file descriptor limit of a small host.
const MAX_CONNECTIONS: usize = 36;

/// How long a connection to a daemon may take to open: several times the
/// latency between regions, and less than a caller's objective.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an unused connection is kept open. Each connection uses memory at
/// both ends, which with several hundred daemons exceeds all other use; opening
/// a new one costs one round trip.
const CONNECTION_IDLE: Duration = Duration::from_secs(3);

/// How long bytes sent to a daemon may stay unacknowledged before the
/// connection is closed: long enough for some retransmissions between regions,
/// and shorter than callers wait.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a peer may take to answer a question of the daemon itself, in addition
/// to the wait that was requested. A peer that is only slow is asked again; a
/// follower must switch away from a silent one soon.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// The greatest size in bytes of the answer to a question of the daemon itself,
/// enough for a state with several thousand targets and one configuration.
pub const MAX_ASK_BYTES: usize = 8 * 1024 * 1024;

/// The result of sending a request to an owner.
pub struct HopOutcome {
    /// The outcome of the request.
    pub outcome: TargetOutcome,
    /// The hop report of the owner, if it answered with one.
    pub report: Option<HopReport>,
}

impl HopOutcome {
    fn without_report(outcome: TargetOutcome) -> HopOutcome {
        HopOutcome {
            outcome,
            report: None,
        }
    }
}

/// The HTTP clients for other daemons, one for each address.
pub struct PeerClients {
    port: u16,
    answer_budget: Arc<ByteBudget>,
    clients: Mutex<IndexMap<SocketAddr, TargetClient>>,
}

impl PeerClients {
    /// Returns an empty set of clients for daemons that all listen on `port`.
    pub fn new(port: u16, answer_budget: Arc<ByteBudget>) -> PeerClients {
        PeerClients {
            port,
            answer_budget,
            clients: Mutex::default(),
        }
    }

    /// Returns the address of the daemon beside a target, given the target's
    /// address.
    pub fn address_of(&self, target: SocketAddr) -> SocketAddr {
        self.address_at(target.ip())
    }

    /// Returns the address of the daemon on a host.
    pub fn address_at(&self, host: IpAddr) -> SocketAddr {
        SocketAddr::new(host, self.port)
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        for client in lock(&self.clients).values() {
            client.sweep();
        }
    }

    /// Returns the client for one daemon, which is created at its first use.
    pub fn client(&self, address: SocketAddr) -> TargetClient {
        let mut clients = lock(&self.clients);
        let client = clients.entry(address).or_insert_with(|| {
            let limits = TargetLimits {
                connections: MAX_CONNECTIONS,
                connect: CONNECT_TIMEOUT,
                idle: CONNECTION_IDLE,
                unacknowledged: Some(UNACKNOWLEDGED_TIMEOUT),
                ..TargetLimits::default()
            };
            TargetClient::with_budget(address, limits, Arc::clone(&self.answer_budget))
        });
        client.clone()
    }

    /// Sends a question of the daemon itself to a peer, which may delay its answer by
    /// `wait`. Returns the answer's status and body.
    ///
    /// # Errors
    ///
    /// When the peer does not answer in time.
    pub async fn ask(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, peer.to_string())
            .body(TargetBody::whole(body))?;
        let client = self.client(peer);
        let exchange = async {
            let (head, mut body) = client.send(request).await?.into_parts();
            anyhow::Ok((head.status, body.whole(MAX_ASK_BYTES).await?))
        };
        tokio::time::timeout(wait + PEER_TIMEOUT, exchange)
            .await
            .context("timeout")?
    }

    /// Sends a request to the owner of a target.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: &BufferedRequest,
        head: &HopHead,
        progress: &RequestProgress,
    ) -> HopOutcome {
        let mut headers = request.headers.clone();
        hop::set_head(&mut headers, head);
        let Ok(http_request) = request.to_http(headers) else {
            let refusal = NotRun::before_target(HopReason::Unspecified);
            return HopOutcome::without_report(TargetOutcome::NotRun(refusal));
        };
        match exchange(&self.client(peer), http_request, progress).await {
            Ok((status, headers, body)) => read_answer(status, headers, body),
            Err(error) if !error.sent => {
                let refusal = NotRun::before_target(HopReason::Down);
                HopOutcome::without_report(TargetOutcome::NotRun(refusal))
            }
            Err(_) => HopOutcome::without_report(TargetOutcome::MayHaveRun(
                "connection to the owner ended",
            )),
        }
    }
}

async fn exchange(
    client: &TargetClient,
    request: Request<TargetBody>,
    progress: &RequestProgress,
) -> Result<(StatusCode, HeaderMap, Bytes), TargetError> {
    let answer = client.send_tracked(request, progress).await?;
    let (head, mut body) = answer.into_parts();
    let body = body.whole(MAX_ANSWER_BYTES).await?;
    Ok((head.status, head.headers, body))
}

fn read_answer(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> HopOutcome {
    let Some(report) = hop::take_report(&mut headers) else {
        // The peer's listener may refuse a request before the owner receives
        // it. Such a refusal has no report and always has status 503. Any other
        // answer without a report does not come from an owner.
        let outcome = match status {
            StatusCode::SERVICE_UNAVAILABLE => {
                TargetOutcome::NotRun(NotRun::before_target(HopReason::Full))
            }
            _ => TargetOutcome::MayHaveRun("answer without a report"),
        };
        return HopOutcome::without_report(outcome);
    };
    let outcome = match report.verdict() {
        HopVerdict::Ran => {
            message::strip_connection_fields(&mut headers);
            TargetOutcome::Answered(BufferedAnswer {
                status,
                headers,
                body,
            })
        }
        HopVerdict::NotRun => TargetOutcome::NotRun(NotRun {
            reason: report.reason(),
            retry_after: hop::retry_after(&report),
            reached_target: matches!(report.reason(), HopReason::Shed | HopReason::OtherTarget),
        }),
        HopVerdict::MayHaveRun | HopVerdict::Unspecified => {
            TargetOutcome::MayHaveRun("the target did not answer its owner well")
        }
    };
    HopOutcome {
        outcome,
        report: Some(report),
    }
}
