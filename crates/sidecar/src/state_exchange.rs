//! Exchange of the platform's state between daemons.
//!
//! Most daemons do not read the store. They follow a daemon that does, which
//! answers as soon as it has a newer state. A daemon that cannot read the store
//! requests the state from its peers, and a daemon without any state receives
//! it from the first daemon that notices this.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Response;
use http::StatusCode;
use http::Uri;
use radishgauge_events::events;
use radishgauge_mesh::StatePosition;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpBody;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_schema::hop;
use radishgauge_schema::hop::StateSnapshot;
use rand::seq::IndexedRandom;

use crate::answer;
use crate::node::SidecarNode;
use crate::peers::MAX_ASK_BYTES;
use crate::state_snapshot;
use crate::suspect_exchange;

/// The path of requests that fetch or push the state.
const STATE_PATH: &str = "/state";

/// The longest time that a follower may let its request wait.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// How long a daemon counts as followed after a follower's request has waited, as a
/// fraction of the time limit for applying changes: longer than a follower takes until
/// its next request.
const FOLLOWED_FRACTION: f64 = 1.0;

/// How long a daemon with an older state waits for its own updates before it
/// requests the state from a peer.
const OWN_UPDATE_WAIT: Duration = Duration::from_millis(300);

/// How long the hosts of a failure domain have to contact a daemon that has just
/// read its first state.
const FIRST_CONTACT_TIME: Duration = Duration::from_millis(250);

/// The interval of requests to random peers while the known state may be out of
/// date.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// How often a daemon that has just started asks for items of earlier eras. All daemons
/// that reach the store notice its return within this time.
const KEPT_FETCHES: usize = 6;

/// The number of random peers that are asked at once. While a part of the hosts
/// is cut off, one of them is probably reachable.
const RANDOM_PEERS: usize = 3;

/// Serves a request that fetches the state of this daemon (`GET`), or that
/// pushes a peer's state to it (`POST`).
pub async fn serve(
    node: &Arc<SidecarNode>,
    peer: SocketAddr,
    method: &Method,
    uri: &Uri,
    mut body: HttpBody,
) -> HttpAnswer {
    if uri.path() != STATE_PATH {
        return answer::empty(StatusCode::NOT_FOUND);
    }
    if *method == Method::POST {
        let budget = &node.owner.memory.messages;
        let Ok(body) = body.whole_within(MAX_ASK_BYTES as u64, budget).await else {
            return answer::empty(StatusCode::BAD_REQUEST);
        };
        return match state_snapshot::decode(&body) {
            Ok(snapshot) => {
                state_snapshot::apply_peer_snapshot(node, &snapshot, "told");
                answer::empty(StatusCode::OK)
            }
            Err(_) => answer::empty(StatusCode::BAD_REQUEST),
        };
    }
    node.record_suspicion_digest(peer, parameter(uri, "suspicions").unwrap_or_default());
    let after = StatePosition {
        era: parameter(uri, "era").unwrap_or_default(),
        revision: parameter(uri, "after").unwrap_or_default(),
    };
    let wait = Duration::from_millis(parameter(uri, "wait_ms").unwrap_or_default()).min(MAX_WAIT);
    if parameter(uri, "follows") == Some(1) {
        node.mark_followed(wait);
    }
    node.wait_change(after, wait).await;
    match state_snapshot::encode(node, after) {
        Ok(bytes) => Response::new(AnswerBody::whole(bytes)),
        Err(error) => {
            events::STATE_EXCHANGE_FAILED.emit(format_args!("peer=self error={error}"));
            answer::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn parameter(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

impl SidecarNode {
    /// Records that another daemon follows this one, with a request that waits for
    /// `wait` at most.
    fn mark_followed(&self, wait: Duration) {
        let time = self.settings().apply_bound.mul_f64(FOLLOWED_FRACTION);
        let until = self.now() + wait + time;
        self.ranking().mark_followed(until);
    }

    /// Records the position that an owner reported. An owner that reports none
    /// has no state, so this daemon's state is pushed to it.
    pub fn handle_owner_position(self: &Arc<Self>, peer: SocketAddr, position: StatePosition) {
        if position.is_known() {
            self.record_peer_position(peer, position);
        } else if self.position().is_known() {
            let node = Arc::clone(self);
            tokio::spawn(async move { push_state(&node, peer).await });
        }
    }
}

/// Fetches what other daemons knew before this one started and the store does not tell:
/// suspected requests, items of earlier eras, and last words of targets.
pub async fn fetch_first(node: Arc<SidecarNode>) {
    suspect_exchange::fetch_from_all(&node, &random_peers(&node)).await;
    fetch_kept(&node, random_peers).await;
}

/// Fetches the items of earlier eras from the peers that `choose_peers` returns, again
/// and again while some of them have not noticed that the store has come back from a
/// copy: they cannot say yet what it has lost.
pub async fn fetch_kept<F>(node: &SidecarNode, choose_peers: F)
where
    F: Fn(&SidecarNode) -> Vec<SocketAddr>,
{
    for _ in 0..KEPT_FETCHES {
        let peers = choose_peers(node);
        let requests = peers.iter().map(|peer| fetch_from(node, *peer));
        let positions = futures_util::future::join_all(requests).await;
        let era = node.position().era;
        let knows =
            |position: &Option<StatePosition>| position.is_some_and(|known| known.era >= era);
        if positions.iter().all(knows) {
            return;
        }
        tokio::time::sleep(PEER_POLL_INTERVAL).await;
    }
}

/// Pushes the state to the hosts of this failure domain that have sent nothing so
/// far. A daemon that has just started and cannot read the store knows no other
/// daemon that it could ask.
pub async fn push_to_silent_hosts(node: Arc<SidecarNode>) {
    tokio::time::sleep(FIRST_CONTACT_TIME).await;
    let silent_hosts = node.silent_domain_hosts();
    let pushes = silent_hosts.into_iter().map(|peer| push_state(&node, peer));
    futures_util::future::join_all(pushes).await;
}

async fn push_state(node: &SidecarNode, peer: SocketAddr) {
    let push = async {
        let body = state_snapshot::encode(node, StatePosition::UNKNOWN)?;
        node.peers
            .ask(peer, Method::POST, STATE_PATH, body, Duration::ZERO)
            .await
    };
    if let Err(error) = push.await {
        events::STATE_EXCHANGE_FAILED.emit(format_args!("peer={peer} error={error}"));
    }
}

/// Why a daemon requests the state of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchPurpose {
    /// It follows that daemon, which must therefore read the store.
    Follow,
    /// It asks once whether that daemon has a newer state.
    Compare,
}

/// Requests a state from a peer that is newer than the known one.
async fn fetch(
    node: &SidecarNode,
    peer: SocketAddr,
    wait: Duration,
    purpose: FetchPurpose,
) -> anyhow::Result<StateSnapshot> {
    let known = node.position();
    let path = format!(
        "{STATE_PATH}?after={}&era={}&wait_ms={}&suspicions={}&follows={}",
        known.revision,
        known.era,
        wait.as_millis(),
        node.owner.suspects.digest(node.now()),
        u8::from(purpose == FetchPurpose::Follow),
    );
    let ask = node.peers.ask(peer, Method::GET, &path, Vec::new(), wait);
    let (status, body) = ask.await?;
    anyhow::ensure!(status == StatusCode::OK, "status {status}");
    let snapshot = state_snapshot::decode(&body)?;
    node.record_suspicion_digest(peer, snapshot.suspicion_digest);
    Ok(snapshot)
}

/// What a followed daemon says of its connection to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowedReport {
    /// Whether it says that it cannot read the store.
    pub store_unreachable: bool,
    /// How long ago the store last confirmed its state; `None` if it never did.
    pub confirmed_age: Option<Duration>,
}

/// Requests the next state from the daemon that this one follows, which may
/// delay its answer by `wait`, and applies it.
///
/// # Errors
///
/// When the daemon does not answer in time or its answer is invalid.
pub async fn follow(
    node: &Arc<SidecarNode>,
    peer: SocketAddr,
    wait: Duration,
) -> anyhow::Result<FollowedReport> {
    let snapshot = fetch(node, peer, wait, FetchPurpose::Follow).await?;
    if !state_snapshot::position(&snapshot).is_known() {
        // The followed daemon has no state yet.
        node.handle_owner_position(peer, StatePosition::UNKNOWN);
    }
    state_snapshot::apply_followed_snapshot(node, &snapshot);
    Ok(FollowedReport {
        store_unreachable: snapshot.health() == hop::StoreHealth::Away,
        confirmed_age: state_snapshot::confirmed_age(&snapshot),
    })
}

/// Requests the state from several peers at once, applies what they send, and
/// records which of them answered.
pub async fn fetch_from_all(node: &SidecarNode, peers: &[SocketAddr]) {
    let requests = peers.iter().map(|peer| fetch_from(node, *peer));
    futures_util::future::join_all(requests).await;
}

/// Requests the state from a peer and applies it. Returns the position of the peer's
/// state; `None` if the peer did not answer.
async fn fetch_from(node: &SidecarNode, peer: SocketAddr) -> Option<StatePosition> {
    match fetch(node, peer, Duration::ZERO, FetchPurpose::Compare).await {
        Ok(snapshot) => {
            let store_unreachable = snapshot.health() == hop::StoreHealth::Away;
            node.ranking()
                .mark_store_report(peer.ip(), store_unreachable, node.now());
            state_snapshot::apply_peer_snapshot(node, &snapshot, &peer.to_string());
            Some(state_snapshot::position(&snapshot))
        }
        Err(error) => {
            node.ranking().mark_unreachable(peer.ip(), node.now());
            events::STATE_EXCHANGE_FAILED.emit(format_args!("peer={peer} error={error}"));
            None
        }
    }
}

/// Fetches the state from peers that reported a newer revision, and from some
/// random peers while the known state may be out of date. Never returns.
pub async fn run(node: Arc<SidecarNode>) {
    loop {
        let notified = tokio::time::timeout(PEER_POLL_INTERVAL, node.newer_state.notified()).await;
        node.log_freshness();
        if notified.is_ok() {
            tokio::time::sleep(OWN_UPDATE_WAIT).await;
        }
        let mut peers: Vec<SocketAddr> = node.newer_peer().into_iter().collect();
        if node.known().table.store_unreachable() || node.may_lack_changes() {
            peers.extend(random_peers(&node));
        }
        fetch_from_all(&node, &peers).await;
    }
}

fn random_peers(node: &SidecarNode) -> Vec<SocketAddr> {
    let peers = node.peer_addresses();
    let mut random = rand::rng();
    peers
        .choose_multiple(&mut random, RANDOM_PEERS)
        .copied()
        .collect()
}
