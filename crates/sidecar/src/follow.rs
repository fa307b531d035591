//! Follows the platform's store.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishgauge_events::events;
use radishgauge_mesh::reader::ReaderRole;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_platform::StoreClient;
use radishgauge_platform::StoreError;
use rand::Rng;

use crate::node::SidecarNode;
use crate::share;

/// The part of the bound for changes that one watch of the store waits. A store
/// that has gone silent is noticed after it, and another daemon reads in time.
const WATCH_PART: f64 = 0.55;

/// The part of the bound for changes that one question to the daemon that this
/// one follows waits; one that has gone silent is noticed after it.
pub const FOLLOW_PART: f64 = 0.25;

/// The least time between two watches, as a part of the bound for changes:
/// changes that come together are read by one call.
const PAUSE_PART: f64 = 0.1;

/// The least time between two questions to the daemon that this one follows.
const FOLLOW_PAUSE: Duration = Duration::from_millis(100);

/// The first wait after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// The longest wait after failed calls. With all daemons waiting so long at
/// most, a store that returns is noticed within a second.
const LAST_BACKOFF: Duration = Duration::from_millis(800);

/// How the store was followed for a moment.
enum FollowStep {
    /// The store answered.
    Read,
    /// The daemon that this one follows answered.
    Told,
}

/// What ended a moment of following.
enum FollowFault {
    /// The store did.
    Store(StoreError),
    /// The daemon that this one follows did not answer.
    Peer(IpAddr, anyhow::Error),
}

/// Follows the store, by itself or through another daemon; ends never.
pub async fn run(node: Arc<SidecarNode>, store: StoreClient) {
    let mut lost_at: Option<Duration> = None;
    let mut backoff = FIRST_BACKOFF;
    // A whole read is due when the history is lost, and at the start.
    let mut read_due = false;
    loop {
        match step(&node, &store, read_due).await {
            Ok(FollowStep::Told) => {
                // What was told is newer than an outage seen before.
                lost_at = None;
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
            Ok(FollowStep::Read) => {
                read_due = false;
                backoff = FIRST_BACKOFF;
                if let Some(at) = lost_at.take() {
                    regain(&node, at);
                }
                tokio::time::sleep(node.settings().apply_bound.mul_f64(PAUSE_PART)).await;
            }
            Err(FollowFault::Peer(peer, error)) => {
                node.ranking().mark_unreachable(peer, node.now());
                events::STATE_EXCHANGE_FAILED.emit(format_args!("peer={peer} error={error}"));
            }
            Err(FollowFault::Store(StoreError::HistoryLost)) => {
                events::STORE_LOST.emit(format_args!(
                    "error=history lost revision={}",
                    node.revision()
                ));
                read_due = true;
            }
            Err(FollowFault::Store(error)) => {
                node.metrics.count("store_failures");
                if lost_at.is_none() {
                    lost_at = Some(node.now());
                    lose(&node, &error);
                }
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(LAST_BACKOFF);
            }
        }
    }
}

async fn step(
    node: &SidecarNode,
    store: &StoreClient,
    read_due: bool,
) -> Result<FollowStep, FollowFault> {
    if let ReaderRole::Follow(host) = node.role() {
        let peer = SocketAddr::new(host, node.settings().peer_address.port());
        let wait = node.settings().apply_bound.mul_f64(FOLLOW_PART);
        let away = share::follow(node, peer, wait)
            .await
            .map_err(|error| FollowFault::Peer(host, error))?;
        node.ranking().mark_store_report(host, away, node.now());
        return Ok(FollowStep::Told);
    }
    node.metrics.count("store_calls");
    let read = if read_due || node.revision() == 0 {
        read_all(node, store).await
    } else {
        watch(node, store).await
    };
    read.map(|()| FollowStep::Read).map_err(FollowFault::Store)
}

async fn read_all(node: &SidecarNode, store: &StoreClient) -> Result<(), StoreError> {
    let page = store.read_all().await?;
    // A peer may have told a newer state meanwhile.
    if page.revision >= node.revision() {
        node.replace_state(page.items, page.revision, StateSource::Store);
    }
    Ok(())
}

async fn watch(node: &SidecarNode, store: &StoreClient) -> Result<(), StoreError> {
    let away = node.known().book.store_unreachable();
    // After an outage the store is asked at once whether it is back.
    let wait = if away {
        Duration::ZERO
    } else {
        node.settings().apply_bound.mul_f64(WATCH_PART)
    };
    let changes = store.watch(node.revision(), wait).await?;
    if away {
        // Entries that lapsed during the outage may still come back.
        node.regain_store();
        node.expire_targets();
    }
    node.update_state(changes.items, changes.revision, StateSource::Store);
    Ok(())
}

fn lose(node: &SidecarNode, error: &StoreError) {
    node.lose_store();
    events::STORE_LOST.emit(format_args!("error={error} revision={}", node.revision()));
}

fn regain(node: &SidecarNode, lost_at: Duration) {
    node.regain_store();
    let away_ms = node.now().saturating_sub(lost_at).as_millis();
    events::STORE_REGAINED.emit(format_args!(
        "revision={} away_ms={away_ms}",
        node.revision()
    ));
}
