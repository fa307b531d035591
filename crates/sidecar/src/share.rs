//! The state of the platform, as daemons tell it to each other.
//!
//! Most daemons do not read the store: they follow one that does, which answers
//! as soon as it knows more. A daemon that cannot read the store asks others,
//! and one that knows nothing is told by the first daemon that notices.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use prost::Message;
use radishgauge_events::events;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_mesh::state_table::StoreHealth;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpBody;
use radishgauge_net::TargetBody;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::StoreItem;
use radishgauge_platform::view::ViewDifference;
use radishgauge_schema::hop;
use radishgauge_schema::hop::StateItem;
use radishgauge_schema::hop::StateSnapshot;
use smol_str::SmolStr;

use crate::answer;
use crate::hop::micros;
use crate::node::SidecarNode;

/// The path of requests for the state.
const STATE_PATH: &str = "/state";

/// The greatest state in bytes: some thousand targets and one configuration.
const GREATEST_STATE: usize = 8 * 1024 * 1024;

/// The level of compression; a state is mostly repeated names, and the first
/// level finds them.
const COMPRESSION_LEVEL: i32 = 1;

/// The longest time that a follower may ask to wait.
const GREATEST_WAIT: Duration = Duration::from_secs(10);

/// How long a daemon that is behind waits for the daemon that it follows.
const OWN_WATCH_TIME: Duration = Duration::from_millis(300);

/// How often peers are asked while the store cannot be read.
const ASK_INTERVAL: Duration = Duration::from_millis(700);

/// How long a peer may take to tell its state, beyond the wait asked for. A
/// peer that is only slow is asked again; one that is silent must be left soon.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Serves a request for the state, or takes over one that is told.
pub async fn serve(
    node: &Arc<SidecarNode>,
    method: &Method,
    uri: &Uri,
    mut body: HttpBody,
) -> HttpAnswer {
    if uri.path() != STATE_PATH {
        return answer::bare(StatusCode::NOT_FOUND);
    }
    if *method == Method::POST {
        let Ok(body) = body.whole(GREATEST_STATE as u64).await else {
            return answer::bare(StatusCode::BAD_REQUEST);
        };
        return match decode(&body) {
            Ok(snapshot) => {
                take(node, snapshot, "told");
                answer::bare(StatusCode::OK)
            }
            Err(_) => answer::bare(StatusCode::BAD_REQUEST),
        };
    }
    let after = parameter(uri, "after").unwrap_or_default();
    let wait = Duration::from_millis(parameter(uri, "wait_ms").unwrap_or_default());
    node.wait_change(after, wait.min(GREATEST_WAIT)).await;
    match encode(node, after) {
        Ok(bytes) => Response::new(AnswerBody::whole(bytes)),
        Err(error) => {
            events::STATE_EXCHANGE_FAILED.emit(format_args!("peer=self error={error}"));
            answer::bare(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn parameter(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Returns the state for a daemon that knows it up to a revision.
fn encode(node: &SidecarNode, after: u64) -> std::io::Result<Vec<u8>> {
    let now = node.now();
    let known = node.known();
    let revision = known.view.revision();
    let difference = if revision > after {
        known.view.difference(after)
    } else {
        ViewDifference {
            since: Some(after),
            items: Vec::new(),
        }
    };
    let (health, regained) = match known.book.health() {
        // A daemon that stops reads the store no longer.
        _ if node.is_stopping() => (hop::StoreHealth::Away, Duration::ZERO),
        StoreHealth::Reachable => (hop::StoreHealth::Reachable, Duration::ZERO),
        StoreHealth::Unreachable => (hop::StoreHealth::Away, Duration::ZERO),
        StoreHealth::Recovered(at) => (hop::StoreHealth::Regained, now.saturating_sub(at)),
    };
    drop(known);
    let snapshot = StateSnapshot {
        revision,
        items: difference.items.into_iter().map(state_item).collect(),
        health: health.into(),
        regained_us: micros(regained),
        since: difference.since.unwrap_or_default(),
    };
    zstd::bulk::compress(&snapshot.encode_to_vec(), COMPRESSION_LEVEL)
}

fn decode(bytes: &[u8]) -> anyhow::Result<StateSnapshot> {
    let bytes = zstd::bulk::decompress(bytes, GREATEST_STATE)?;
    Ok(StateSnapshot::decode(bytes.as_slice())?)
}

fn state_item(item: StoreItem) -> StateItem {
    StateItem {
        key: item.key.to_string(),
        deleted: item.value.is_none(),
        value: Bytes::from(item.value.unwrap_or_default()),
        revision: item.revision,
    }
}

fn store_item(item: StateItem) -> StoreItem {
    StoreItem {
        key: SmolStr::from(item.key),
        value: (!item.deleted).then(|| item.value.to_vec()),
        revision: item.revision,
    }
}

/// Takes over the items of a snapshot that is newer than the own state. The
/// changes after a revision need the state of that revision.
fn take_items(node: &SidecarNode, snapshot: StateSnapshot, source: StateSource) {
    let items: Vec<StoreItem> = snapshot.items.into_iter().map(store_item).collect();
    if snapshot.since == 0 {
        node.replace_state(items, snapshot.revision, source);
    } else if snapshot.since <= node.revision() {
        node.update_state(items, snapshot.revision, source);
    }
}

/// Takes over the state of any peer when it is newer.
fn take(node: &SidecarNode, snapshot: StateSnapshot, peer: &str) {
    let before = node.revision();
    if snapshot.revision <= before {
        return;
    }
    let settled = snapshot.health() == hop::StoreHealth::Reachable;
    // What an unsettled state lacks may have lapsed. A daemon that reads the
    // store itself waits for its own word; any other keeps what is missing.
    let source = if settled {
        StateSource::Peer
    } else {
        StateSource::Store
    };
    if !settled && before > 0 && !node.known().book.store_unreachable() {
        return;
    }
    let revision = snapshot.revision;
    take_items(node, snapshot, source);
    events::STATE_RECEIVED.emit(format_args!("peer={peer} from={before} to={revision}"));
}

/// Takes over the state of the daemon that this one follows, with what it says
/// of the store.
fn take_followed(node: &SidecarNode, snapshot: StateSnapshot) {
    let health = match snapshot.health() {
        hop::StoreHealth::Reachable => StoreHealth::Reachable,
        hop::StoreHealth::Regained => {
            let ago = Duration::from_micros(snapshot.regained_us);
            StoreHealth::Recovered(node.now().saturating_sub(ago))
        }
        hop::StoreHealth::Away | hop::StoreHealth::Unspecified => StoreHealth::Unreachable,
    };
    node.known().book.apply_peer_health(health, node.now());
    node.expire_targets();
    if snapshot.revision > node.revision() {
        take_items(node, snapshot, StateSource::Store);
    }
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
    let sent = async {
        let body = encode(node, 0)?;
        send(node, peer, Method::POST, STATE_PATH, body, Duration::ZERO).await
    };
    if let Err(error) = sent.await {
        events::STATE_EXCHANGE_FAILED.emit(format_args!("peer={peer} error={error}"));
    }
}

/// Asks a peer for a state that is newer than the own one.
async fn fetch(
    node: &SidecarNode,
    peer: SocketAddr,
    wait: Duration,
) -> anyhow::Result<StateSnapshot> {
    let path = format!(
        "{STATE_PATH}?after={}&wait_ms={}",
        node.revision(),
        wait.as_millis()
    );
    let (status, body) = send(node, peer, Method::GET, &path, Vec::new(), wait).await?;
    anyhow::ensure!(status == StatusCode::OK, "status {status}");
    decode(&body)
}

/// Waits for the next state of the daemon that this one follows.
///
/// # Errors
///
/// When it does not answer.
pub async fn follow(node: &SidecarNode, peer: SocketAddr, wait: Duration) -> anyhow::Result<bool> {
    let snapshot = fetch(node, peer, wait).await?;
    let away = snapshot.health() == hop::StoreHealth::Away;
    take_followed(node, snapshot);
    Ok(away)
}

async fn send(
    node: &SidecarNode,
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
    let client = node.peers.client(peer);
    let exchange = async {
        let (head, mut body) = client.send(request).await?.into_parts();
        anyhow::Ok((head.status, body.whole(GREATEST_STATE).await?))
    };
    tokio::time::timeout(wait + ASK_TIMEOUT, exchange)
        .await
        .context("timeout")?
}

/// Catches up with peers that know more, and asks others while the store cannot
/// be read; ends never.
pub async fn run(node: Arc<SidecarNode>) {
    let mut turn = 0;
    loop {
        let wait = tokio::time::timeout(ASK_INTERVAL, node.behind.notified()).await;
        if wait.is_ok() {
            tokio::time::sleep(OWN_WATCH_TIME).await;
        }
        let peer = match node.ahead() {
            Some(peer) => Some(peer),
            None if node.known().book.store_unreachable() => {
                let peers = node.peer_addresses();
                turn += 1;
                peers.get(turn % peers.len().max(1)).copied()
            }
            None => None,
        };
        let Some(peer) = peer else {
            continue;
        };
        match fetch(&node, peer, Duration::ZERO).await {
            Ok(snapshot) => take(&node, snapshot, &peer.to_string()),
            Err(error) => {
                events::STATE_EXCHANGE_FAILED.emit(format_args!("peer={peer} error={error}"))
            }
        }
    }
}
