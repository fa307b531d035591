//! Receives updates of the platform's store, directly or through another
//! daemon.

use std::mem::Discriminant;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use radishgauge_events::events;
use radishgauge_mesh::reader::ReaderRole;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_platform::StoreClient;
use radishgauge_platform::StoreError;
use radishgauge_platform::items::ItemFault;
use rand::Rng;

use crate::node::SidecarNode;
use crate::state_exchange;
use crate::state_exchange::FollowedReport;

/// The fraction of the platform's time limit for applying changes that one
/// watch of the store waits. A silent store is noticed after this time, early
/// enough for another daemon to read instead.
const WATCH_FRACTION: f64 = 0.55;

/// The fraction of the time limit for applying changes that one request to the
/// followed daemon waits. A silent daemon is noticed after this time.
pub const FOLLOW_FRACTION: f64 = 0.25;

/// The age at which a followed state shows that its sender does not read the store, as a
/// fraction of the time limit for applying changes: more than a reader takes from one
/// confirmation to the next, and early enough for another reader to apply a change in
/// time.
const OVERDUE_FRACTION: f64 = 0.8;

/// The least time between two watches, as a fraction of the time limit for
/// applying changes. Changes within this time are read with one call.
const PAUSE_FRACTION: f64 = 0.1;

/// The least time between two requests to the followed daemon.
const FOLLOW_PAUSE: Duration = Duration::from_millis(100);

/// The number of possible readers that are asked at once after the followed
/// daemon did not answer.
const NEXT_READERS: usize = 3;

/// The delay after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// The longest delay after failed calls. With it, a store that is reachable
/// again is noticed within a second.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How an update was received.
enum FollowStep {
    /// The store answered.
    Read,
    /// The followed daemon answered.
    Followed,
}

/// Why an update failed.
enum FollowFault {
    /// A call to the store failed.
    Store(StoreError),
    /// The followed daemon did not answer.
    Peer(IpAddr, anyhow::Error),
}

/// A time in which this daemon cannot read the store.
#[derive(Clone, Copy)]
struct StoreOutage {
    start: Duration,
    /// The kind of the last failure.
    cause: Discriminant<StoreError>,
}

/// Receives updates from the store or from the followed daemon. Never returns.
pub async fn run(node: Arc<SidecarNode>, mut store: StoreClient) {
    let mut outage: Option<StoreOutage> = None;
    let mut backoff = INITIAL_BACKOFF;
    // A full read is needed when the store no longer has the history since the
    // known revision. The first read is always a full one.
    let mut full_read_due = false;
    let mut logged_role = None;
    loop {
        let has_state = node.position().is_known();
        let role = node.role();
        if logged_role.replace(role) != Some(role) {
            let revision = node.position();
            events::STATE_SOURCE_CHANGED.emit(format_args!("role={role:?} revision={revision}"));
        }
        let address = node.settings().store_address;
        if store.address() != address {
            events::STORE_MOVED.emit(format_args!(
                "from={} to={address} revision={}",
                store.address(),
                node.position()
            ));
            store.move_to(address);
            backoff = INITIAL_BACKOFF;
        }
        let outcome = tokio::select! {
            biased;
            // A call to the former address may not be answered any more.
            () = node.store_moved.notified() => continue,
            outcome = step(&node, &store, role, full_read_due) => outcome,
        };
        if !has_state && node.position().is_known() {
            tokio::spawn(state_exchange::fetch_first(Arc::clone(&node)));
        }
        match outcome {
            Ok(FollowStep::Followed) => {
                // The received state is newer than an outage noticed before.
                outage = None;
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
            Ok(FollowStep::Read) => {
                if !has_state && node.role() == ReaderRole::Read {
                    tokio::spawn(state_exchange::push_to_silent_hosts(Arc::clone(&node)));
                }
                full_read_due = false;
                backoff = INITIAL_BACKOFF;
                if let Some(ended) = outage.take() {
                    record_recovery(&node, ended.start);
                }
                tokio::time::sleep(node.settings().apply_bound.mul_f64(PAUSE_FRACTION)).await;
            }
            Err(FollowFault::Peer(peer, error)) => {
                node.ranking().mark_unreachable(peer, node.now());
                events::STATE_EXCHANGE_FAILED.emit(format_args!("peer={peer} error={error}"));
                // Several hosts may be unreachable; asking one after the other
                // would take too long.
                let next_readers = node.next_readers(NEXT_READERS);
                state_exchange::fetch_from_all(&node, &next_readers).await;
            }
            Err(FollowFault::Store(error)) if error.needs_full_read() && !full_read_due => {
                let position = node.position();
                events::STORE_LOST.emit(format_args!("error={error} revision={position}"));
                full_read_due = true;
            }
            Err(FollowFault::Store(error)) => {
                node.metrics.count("store_failures");
                outage = Some(record_failure(&node, outage, &error));
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn step(
    node: &Arc<SidecarNode>,
    store: &StoreClient,
    role: ReaderRole,
    full_read_due: bool,
) -> Result<FollowStep, FollowFault> {
    if let ReaderRole::Follow(host) = role {
        let peer = node.peers.address_at(host);
        let wait = follow_wait(node, host);
        let report = state_exchange::follow(node, peer, wait)
            .await
            .map_err(|error| FollowFault::Peer(host, error))?;
        record_report(node, host, &report);
        return Ok(FollowStep::Followed);
    }
    node.metrics.count("store_calls");
    let read = if full_read_due || !node.position().is_known() {
        read_all(node, store).await
    } else {
        watch(node, store).await
    };
    read.map(|()| FollowStep::Read).map_err(FollowFault::Store)
}

/// Records whether the followed daemon reads the store: it does not if it says so, or if
/// the store has not confirmed its state in time.
fn record_report(node: &SidecarNode, host: IpAddr, report: &FollowedReport) {
    let limit = overdue_age(node);
    let is_overdue = report.confirmed_age.is_none_or(|age| age > limit);
    if is_overdue && !report.store_unreachable {
        let age = report.confirmed_age;
        events::STATE_EXCHANGE_FAILED.emit(format_args!(
            "peer={host} error=the store last confirmed its state {age:?} ago"
        ));
    }
    let cannot_read = report.store_unreachable || is_overdue;
    node.ranking()
        .mark_store_report(host, cannot_read, node.now());
}

/// Returns the age from which a state is not that of a daemon that reads the store.
fn overdue_age(node: &SidecarNode) -> Duration {
    node.settings().apply_bound.mul_f64(OVERDUE_FRACTION)
}

/// Returns how long the followed daemon may delay its answer. A daemon whose
/// source of state cannot read the store looks for one that can without waiting
/// at each of them. Otherwise the wait ends when the state is overdue.
fn follow_wait(node: &SidecarNode, host: IpAddr) -> Duration {
    let now = node.now();
    let longest = node.settings().apply_bound.mul_f64(FOLLOW_FRACTION);
    let age = node.freshness().age(now).unwrap_or(Duration::MAX);
    let until_overdue = overdue_age(node).saturating_sub(age);
    let searches = node.known().table.store_unreachable() || until_overdue.is_zero();
    let ranking = node.ranking();
    let asks_first_time = searches && !ranking.is_store_unreachable(host, now);
    if asks_first_time || ranking.is_probed(host, now) {
        return Duration::ZERO;
    }
    if searches {
        return longest;
    }
    longest.min(until_overdue)
}

async fn read_all(node: &SidecarNode, store: &StoreClient) -> Result<(), StoreError> {
    let asked = node.now();
    let page = store.read_all().await?;
    log_faults(node, &page.faults);
    let known = node.position();
    if page.position >= known {
        node.replace_state(page.items, page.position, StateSource::Store);
    } else {
        // A peer may have sent a newer state in the meantime.
        let read = page.position;
        events::STATE_IGNORED.emit(format_args!("read={read} known={known}"));
        if read.era < known.era {
            return Err(StoreError::FormerEra {
                era: read.era,
                greatest: known.era,
            });
        }
    }
    node.confirm_state(asked);
    Ok(())
}

async fn watch(node: &SidecarNode, store: &StoreClient) -> Result<(), StoreError> {
    let store_unreachable = node.known().table.store_unreachable();
    // After an outage, the store is read without waiting to find out whether it
    // is reachable again.
    let wait = if store_unreachable {
        Duration::ZERO
    } else {
        node.settings().apply_bound.mul_f64(WATCH_FRACTION)
    };
    let changes = store.watch(node.position(), wait).await?;
    log_faults(node, &changes.faults);
    if store_unreachable {
        // Entries that lapsed in the outage may still be registered again.
        node.mark_store_reachable();
        node.expire_targets();
    }
    node.update_state(changes.items, changes.position, StateSource::Store);
    if changes.position.era == node.position().era {
        node.confirm_state(node.now());
    }
    Ok(())
}

fn log_faults(node: &SidecarNode, faults: &[ItemFault]) {
    for fault in faults {
        node.request_log.log_item(fault, node.now());
    }
}

/// Records a failed call to the store, and returns the outage to which it belongs. Each
/// kind of failure is logged, as a fault of this daemon may follow one of the store.
fn record_failure(
    node: &SidecarNode,
    outage: Option<StoreOutage>,
    error: &StoreError,
) -> StoreOutage {
    let cause = std::mem::discriminant(error);
    if outage.is_none_or(|known| known.cause != cause) {
        events::STORE_LOST.emit(format_args!("error={error} revision={}", node.position()));
    }
    if outage.is_none() {
        node.mark_store_unreachable();
    }
    node.ranking().forget_followers();
    StoreOutage {
        start: outage.map_or(node.now(), |known| known.start),
        cause,
    }
}

fn record_recovery(node: &SidecarNode, outage_start: Duration) {
    node.mark_store_reachable();
    let away_ms = node.now().saturating_sub(outage_start).as_millis();
    events::STORE_REGAINED.emit(format_args!(
        "revision={} away_ms={away_ms}",
        node.position()
    ));
}
