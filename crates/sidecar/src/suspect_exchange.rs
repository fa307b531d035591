//! Tells the daemons of other hosts about requests under which targets end.
//!
//! When a target ends, its owner pushes what it knows of the requests that ran there
//! to the owners that may get them next, and to all daemons once a request has ended
//! several targets. A daemon that missed a push, or has just started, notices that the
//! digest in a peer's message differs from its own, and fetches the records from that
//! peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use indexmap::IndexSet;
use prost::Message;
use radishgauge_events::events;
use radishgauge_mesh::RequestPrints;
use radishgauge_mesh::SuspectRecord;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpBody;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_schema::suspect;
use radishgauge_schema::suspect::SuspectRecords;
use smol_str::SmolStr;

use crate::answer;
use crate::fleet_scope::FleetScope;
use crate::node::SidecarNode;

/// The path of requests that fetch or push records.
pub const SUSPECT_PATH: &str = "/suspects";

/// The greatest size of a message in bytes.
const MAX_MESSAGE_BYTES: u64 = 512 * 1024;

/// How often a push to one daemon is attempted.
const PUSH_ATTEMPTS: u32 = 3;

/// The time between two attempts to push to one daemon.
const PUSH_INTERVAL: Duration = Duration::from_millis(500);

/// The least time between two fetches of a daemon.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// What an owner has learned of requests, and must tell other owners.
#[derive(Debug, Clone, Default)]
pub struct SuspectNews {
    /// The routes of the requests.
    pub routes: IndexSet<SmolStr>,
    /// What is known of the requests.
    pub records: Vec<SuspectRecord>,
}

/// Pushes news to the owners that they concern. Never returns.
pub async fn run_pushes(node: Arc<SidecarNode>) {
    loop {
        let news = node.owner.next_news().await;
        let (shared, other): (Vec<_>, Vec<_>) =
            news.records.into_iter().partition(SuspectRecord::is_shared);
        push_to_all(&node, concerned_owners(&node, &news.routes), &other);
        push_to_all(&node, node.peer_addresses(), &shared);
    }
}

fn push_to_all<I>(node: &Arc<SidecarNode>, peers: I, records: &[SuspectRecord])
where
    I: IntoIterator<Item = SocketAddr>,
{
    if records.is_empty() {
        return;
    }
    let message = encode(records);
    for peer in peers {
        tokio::spawn(push(Arc::clone(node), peer, message.clone()));
    }
}

/// Fetches records from peers that know others than this daemon. Never returns.
pub async fn run_fetches(node: Arc<SidecarNode>) {
    loop {
        let peer = node.next_suspect_source().await;
        fetch_from_all(&node, &[peer]).await;
        tokio::time::sleep(FETCH_INTERVAL).await;
    }
}

/// Fetches the records of several peers, for a daemon that has just started.
pub async fn fetch_from_all(node: &SidecarNode, peers: &[SocketAddr]) {
    let fetches =
        peers.iter().map(
            async |peer| match exchange(node, *peer, Method::GET, Vec::new()).await {
                Ok(message) => merge(node, &message.records),
                Err(error) => log_failure(*peer, &error),
            },
        );
    futures_util::future::join_all(fetches).await;
}

/// Serves a request that fetches the records of this daemon (`GET`), or that pushes
/// records of a peer (`POST`) and gets back those of which this daemon knows better.
pub async fn serve(node: &SidecarNode, method: &Method, mut body: HttpBody) -> HttpAnswer {
    let now = node.now();
    if *method == Method::GET {
        return records_answer(&node.owner.suspects.shared_records(now));
    }
    let budget = &node.owner.memory.messages;
    let Ok(body) = body.whole_within(MAX_MESSAGE_BYTES, budget).await else {
        return answer::empty(StatusCode::BAD_REQUEST);
    };
    let Ok(pushed) = SuspectRecords::decode(body) else {
        return answer::empty(StatusCode::BAD_REQUEST);
    };
    let records = pushed.records.iter().map(SuspectRecord::from_message);
    let better: Vec<SuspectRecord> = records
        .filter_map(|record| merge_record(node, &record))
        .collect();
    records_answer(&better)
}

fn records_answer(records: &[SuspectRecord]) -> HttpAnswer {
    http::Response::new(AnswerBody::whole(encode(records)))
}

fn encode(records: &[SuspectRecord]) -> Vec<u8> {
    let records = records.iter().map(SuspectRecord::to_message).collect();
    SuspectRecords { records }.encode_to_vec()
}

/// Returns the daemons of other hosts whose targets may get requests of the routes.
fn concerned_owners(node: &SidecarNode, routes: &IndexSet<SmolStr>) -> IndexSet<SocketAddr> {
    let settings = node.settings();
    let known = node.known();
    let mut services = IndexSet::from([settings.service.clone()]);
    if let Some(config) = known.table.config() {
        let concerned = config.routes().iter();
        let concerned = concerned.filter(|route| routes.contains(&route.name));
        let splits = concerned.flat_map(|route| &route.split);
        services.extend(splits.map(|weighted| weighted.service.clone()));
    }
    let fleet = FleetScope::new(&settings, &known.table);
    let targets = known.table.targets();
    targets
        .filter(|target| fleet.contains(target) && services.contains(&target.service))
        .map(|target| node.peers.address_of(target.address))
        .filter(|peer| peer.ip() != settings.peer_address.ip())
        .collect()
}

async fn push(node: Arc<SidecarNode>, peer: SocketAddr, message: Vec<u8>) {
    for _ in 0..PUSH_ATTEMPTS {
        match exchange(&node, peer, Method::POST, message.clone()).await {
            Ok(better) => return merge(&node, &better.records),
            Err(error) => log_failure(peer, &error),
        }
        tokio::time::sleep(PUSH_INTERVAL).await;
    }
}

async fn exchange(
    node: &SidecarNode,
    peer: SocketAddr,
    method: Method,
    body: Vec<u8>,
) -> anyhow::Result<SuspectRecords> {
    let (status, body) = node
        .peers
        .ask(peer, method, SUSPECT_PATH, body, Duration::ZERO)
        .await?;
    anyhow::ensure!(status == StatusCode::OK, "status {status}");
    Ok(SuspectRecords::decode(body)?)
}

fn log_failure(peer: SocketAddr, error: &anyhow::Error) {
    events::SUSPECT_EXCHANGE_FAILED.emit(format_args!("peer={peer} error={error}"));
}

/// Adds what a peer says of requests.
pub fn merge(node: &SidecarNode, records: &[suspect::SuspectRecord]) {
    for record in records {
        // If this daemon knows better, the peer learns it with the next message.
        let _ = merge_record(node, &SuspectRecord::from_message(record));
    }
}

/// Adds what a peer says of a request. Returns this daemon's record if it knows better.
fn merge_record(node: &SidecarNode, record: &SuspectRecord) -> Option<SuspectRecord> {
    let now = node.now();
    let suspects = &node.owner.suspects;
    let was_quarantined = suspects.is_quarantined(record.fingerprint, now);
    let better = suspects.merge(record, now);
    if !was_quarantined && suspects.is_quarantined(record.fingerprint, now) {
        events::QUARANTINE_LEARNED.emit(format_args!(
            "fingerprint={:016x} ends={}",
            record.fingerprint.0,
            record.uncleared()
        ));
    }
    better
}

/// Returns what this daemon knows of a request, for a message about it.
pub fn records_of(node: &SidecarNode, prints: &RequestPrints) -> Vec<suspect::SuspectRecord> {
    let now = node.now();
    let known = prints.both().into_iter();
    known
        .filter_map(|fingerprint| node.owner.suspects.record(fingerprint, now))
        .map(|record| record.to_message())
        .collect()
}
