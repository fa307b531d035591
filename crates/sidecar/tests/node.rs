//! Tests of a daemon's shared state, without any other daemon.

mod common;
#[path = "common/peer.rs"]
mod peer;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use radishgauge_mesh::StatePosition;
use radishgauge_mesh::StopPlan;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_net::clock::SystemClock;
use radishgauge_platform::HostSettings;
use radishgauge_platform::StoreItem;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use radishgauge_sidecar::answer::BufferedAnswer;
use radishgauge_sidecar::answer::TargetOutcome;
use radishgauge_sidecar::answer_lease;
use radishgauge_sidecar::follow;
use radishgauge_sidecar::node::SidecarNode;
use radishgauge_sidecar::owner::TargetOwner;
use radishgauge_sidecar::state_exchange;

fn node() -> SidecarNode {
    node_with(common::settings())
}

fn node_with(settings: HostSettings) -> SidecarNode {
    let clock = Arc::new(SystemClock::start());
    let owner = Arc::new(TargetOwner::new(&settings, clock.clone()));
    SidecarNode::new(settings, clock, owner, 1)
}

/// Guards against followers that learn of an outage only when their request's
/// wait ends, because the followed daemon lost its connection to the store.
/// They would miss a configuration in the meantime.
#[tokio::test(start_paused = true)]
async fn store_outage_wakes_waiting_followers() {
    let node = Arc::new(node());
    let followed = Arc::clone(&node);
    let started = tokio::time::Instant::now();
    let pending_wait = tokio::spawn(async move {
        followed
            .wait_change(StatePosition::UNKNOWN, Duration::from_secs(4))
            .await;
        started.elapsed()
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    node.mark_store_unreachable();
    assert_eq!(pending_wait.await.unwrap(), Duration::from_secs(1));
}

/// Guards against requests that are cut off without an answer at the end of a
/// stop.
#[tokio::test(start_paused = true)]
async fn time_out_requests_wakes_pending_requests() {
    let node = Arc::new(node());
    let waiting = Arc::clone(&node);
    let request = tokio::spawn(async move { waiting.wait_for_time_out().await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!request.is_finished());
    node.time_out_requests();
    request.await.unwrap();
}

/// Guards against a daemon that requests the state only from the first peer
/// with a newer revision, although that peer may not answer.
#[test]
fn newer_peer_is_the_latest_to_report_the_revision() {
    let node = node();
    let peers = ["10.0.0.1:9", "10.0.0.2:9"].map(|peer| peer.parse().unwrap());
    for peer in peers {
        node.record_peer_position(peer, at(5));
        assert_eq!(node.newer_peer(), Some(peer));
    }
}

/// Guards against a stop that is delayed by waiting requests of followers.
#[tokio::test(start_paused = true)]
async fn stopping_wakes_waiting_followers() {
    let node = Arc::new(node());
    let followed = Arc::clone(&node);
    let pending_wait = tokio::spawn(async move {
        followed
            .wait_change(StatePosition::UNKNOWN, Duration::from_secs(4))
            .await;
        // A request that arrives during the stop does not wait either.
        followed
            .wait_change(StatePosition::UNKNOWN, Duration::from_secs(4))
            .await;
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let stop_started = tokio::time::Instant::now();
    node.begin_stop(StopPlan::new(node.now(), Duration::from_secs(6)));
    pending_wait.await.unwrap();
    assert_eq!(stop_started.elapsed(), Duration::ZERO);
}

/// Guards against a follower that waits too long for a reader that is no longer
/// reachable, and misses the removal of a target. It must notice within half of
/// the time limit, so that the next reader can be asked in time.
#[tokio::test(start_paused = true)]
async fn following_a_silent_reader_fails_within_half_the_apply_bound() {
    let node = Arc::new(node());
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = silent.local_addr().unwrap();
    let wait = node.settings().apply_bound.mul_f64(follow::FOLLOW_FRACTION);
    let started = tokio::time::Instant::now();
    assert!(state_exchange::follow(&node, peer, wait).await.is_err());
    assert!(started.elapsed() <= node.settings().apply_bound / 2);
}

/// The registration of the target `leaving` at a revision, or its removal.
fn registration(value: Option<&str>, revision: u64) -> StoreItem {
    StoreItem {
        key: "servers/leaving".into(),
        value: value.map(|value| value.as_bytes().to_vec()),
        revision,
        is_confirmed_removal: false,
    }
}

/// Returns a daemon that knows the target `leaving` at revision 5.
fn node_with_target() -> Arc<SidecarNode> {
    let record = r#"{"service": "shop", "address": "127.0.0.1:4", "zone": "north-a",
        "version": "1", "capacity": 8, "state": "ready", "coldLeft": "0ms", "sequence": 1}"#;
    let node = Arc::new(node());
    let items = vec![registration(Some(record), 5)];
    node.replace_state(items, at(5), StateSource::Store);
    assert!(knows_target(&node));
    node
}

/// Returns a position in the first era.
const fn at(revision: u64) -> StatePosition {
    StatePosition { era: 1, revision }
}

fn knows_target(node: &SidecarNode) -> bool {
    node.known().table.target("leaving").is_some()
}

/// Guards against requests to a target that has left: the followed daemon cannot
/// read the store, and learned of the removal from a peer that can.
#[tokio::test]
async fn removal_read_by_a_peer_is_not_a_lapse_for_followers() {
    let followed = node_with_target();
    followed.mark_store_unreachable();
    let removal = vec![registration(None, 6)];
    followed.update_state(removal, at(6), StateSource::Peer);
    assert!(!knows_target(&followed));
    let listener = peer::serve_state(&followed);
    let follower = node_with_target();
    let peer = listener.local_address();
    let report = state_exchange::follow(&follower, peer, Duration::ZERO).await;
    assert!(report.unwrap().store_unreachable);
    assert_eq!(follower.position(), at(6));
    assert!(!knows_target(&follower));
}

/// Guards against requests to a target that has left, when the daemon took its
/// removal for a lapse and a peer that reads the store has no newer state.
#[tokio::test]
async fn peer_with_equal_revision_rules_out_a_lapse() {
    let removal = || vec![registration(None, 6)];
    let reader = node_with_target();
    reader.update_state(removal(), at(6), StateSource::Store);
    let listener = peer::serve_state(&reader);
    let cut_off = node_with_target();
    cut_off.mark_store_unreachable();
    cut_off.update_state(removal(), at(6), StateSource::Store);
    assert!(knows_target(&cut_off));
    state_exchange::fetch_from_all(&cut_off, &[listener.local_address()]).await;
    assert!(!knows_target(&cut_off));
}

/// Guards against requests to a target whose entry another writer has overwritten,
/// while the daemon cannot read the store: such an entry did not lapse.
#[test]
fn unreadable_entry_is_not_a_lapse() {
    let node = node_with_target();
    node.mark_store_unreachable();
    let overwritten = vec![registration(Some("no registration"), 6)];
    node.update_state(overwritten, at(6), StateSource::Store);
    assert!(!knows_target(&node));
}

/// Guards against a daemon that keeps its state because a peer's has a smaller revision,
/// though of a later era, and against one that goes back to an earlier era.
#[tokio::test]
async fn state_of_a_later_era_is_taken_and_none_of_an_earlier_one() {
    let restored = StatePosition {
        era: 2,
        revision: 3,
    };
    let ahead = node_with_target();
    ahead.replace_state(vec![evacuation(3)], restored, StateSource::Store);
    let behind = node_with_target();
    let listener = peer::serve_state(&ahead);
    state_exchange::fetch_from_all(&behind, &[listener.local_address()]).await;
    assert_eq!(behind.position(), restored);
    assert!(behind.known().table.is_evacuated("north-b"));
    // The target's entry may be written again.
    assert!(knows_target(&behind));
    let earlier = node_with_target();
    let listener = peer::serve_state(&earlier);
    let peer = listener.local_address();
    state_exchange::fetch_from_all(&ahead, &[peer]).await;
    let followed = state_exchange::follow(&ahead, peer, Duration::ZERO).await;
    assert!(followed.is_ok());
    assert_eq!(ahead.position(), restored);
    assert!(ahead.known().table.is_evacuated("north-b"));
}

/// Guards against a daemon that has started after the restore and never learns what the
/// store has lost, because the peers that it asked had not noticed the restore yet.
#[tokio::test]
async fn fresh_daemon_learns_what_peers_know_once_they_notice_the_restore() {
    let restored = StatePosition {
        era: 2,
        revision: 3,
    };
    let peer = node_with_target();
    peer.update_state(vec![evacuation(6)], at(6), StateSource::Store);
    let listener = peer::serve_state(&peer);
    let address = listener.local_address();
    let fresh = node();
    fresh.replace_state(Vec::new(), restored, StateSource::Store);
    let notice = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        peer.replace_state(Vec::new(), restored, StateSource::Store);
    };
    let fetch = state_exchange::fetch_kept(&fresh, |_| vec![address]);
    futures_util::future::join(fetch, notice).await;
    assert!(fresh.known().table.is_evacuated("north-b"));
}

/// Guards against changes of another era that are applied to the known state.
#[test]
fn changes_of_another_era_are_ignored() {
    let node = node_with_target();
    let other = StatePosition {
        era: 2,
        revision: 9,
    };
    node.update_state(vec![evacuation(9)], other, StateSource::Store);
    assert_eq!(node.position(), at(5));
    assert!(!node.known().table.is_evacuated("north-b"));
}

fn evacuation(revision: u64) -> StoreItem {
    StoreItem {
        key: "op/evacuate/north-b".into(),
        value: Some(b"{}".to_vec()),
        revision,
        is_confirmed_removal: false,
    }
}

/// Guards against an operator who cannot tell a daemon whose state the store has stopped
/// to confirm, or which daemons read the store.
#[test]
fn metrics_tell_how_old_the_state_is_and_who_reads() {
    let node = node_with_target();
    let page = node.metrics.page(&node);
    assert!(page.contains("radishgauge.state_unconfirmed 1\n"));
    assert!(page.contains("radishgauge.store_reader 1\n"));
    assert!(page.contains(&format!("radishgauge.state_age_ms {}\n", u64::MAX)));
    node.confirm_state(node.now());
    let page = node.metrics.page(&node);
    assert!(page.contains("radishgauge.state_unconfirmed 0\n"));
    assert!(!page.contains(&format!("radishgauge.state_age_ms {}\n", u64::MAX)));
}

/// Returns an item of the store with this text.
fn item(key: &str, text: String) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: Some(text.into_bytes()),
        revision: 5,
        is_confirmed_removal: false,
    }
}

/// Returns the entry of a target, which is named by its service and address.
fn entry(service: &str, address: &str, domain: &str, incarnation: u64) -> StoreItem {
    let text = format!(
        r#"{{"service": "{service}", "address": "{address}", "zone": "{domain}", "version": "1",
        "capacity": 8, "state": "ready", "coldLeft": "0ms", "sequence": 1, "born": {incarnation}}}"#
    );
    item(&format!("servers/{service}-{address}-{domain}"), text)
}

/// Returns a configuration with the services `shop` and `desk`.
fn config() -> StoreItem {
    let service = |name: &str| {
        format!(
            r#"{{"name": "{name}", "healthPath": "/health", "maxConns": 50, "coldStart": "3s", "coldPerS": 20.0}}"#
        )
    };
    let text = format!(
        r#"{{"version": "r1", "limits": {{"headerBytes": 16384, "bodyBytes": 65536,
        "headerTimeout": "3s", "idleTimeout": "15s"}}, "listeners": [{{"host": "x", "policy": [
        {{"name": "read", "routeType": "idempotent", "latencySlo": "1s", "priority": 1,
        "match": {{"prefix": "/"}}, "action": {{"service": "desk", "timeout": "3s", "attempts": 2}}}}
        ]}}], "clusters": [{}, {}]}}"#,
        service("shop"),
        service("desk")
    );
    item("op/config", text)
}

/// Returns a daemon of the failure domain `north-a` that knows the domain `north-b` too,
/// a configuration and these entries.
fn node_with_entries(entries: Vec<StoreItem>) -> SidecarNode {
    let mut settings = common::settings();
    settings
        .domain_regions
        .insert("north-b".into(), "north".into());
    let node = node_with(settings);
    let mut items = vec![config()];
    items.extend(entries);
    node.replace_state(items, at(5), StateSource::Store);
    node
}

/// Guards against entries of other writers that change whom a daemon follows, asks and
/// tells, and how many daemons share a limit.
#[test]
fn entries_of_other_services_and_domains_name_no_hosts() {
    let node = node_with_entries(vec![
        entry("shop", "10.0.0.1:4", "north-a", 1),
        entry("desk", "10.0.0.2:4", "north-b", 1),
        entry("agent", "10.0.1.1:4", "north-a", 1),
        entry("agent", "10.0.0.2:9", "north-a", 1),
        entry("shop", "10.0.1.2:4", "west", 1),
    ]);
    let [first, second] = ["10.0.0.1:2", "10.0.0.2:2"].map(|peer| peer.parse().unwrap());
    assert_eq!(node.peer_addresses(), [first, second]);
    assert_eq!(node.next_readers(9), [first]);
    assert_eq!(node.silent_domain_hosts(), [first]);
}

/// Guards against a target that gets no requests any more because an entry of a service
/// or failure domain that the fleet does not have claims its address, and to have started
/// there later: nobody sends such an entry a request, so no owner can deny it. A later
/// target of the fleet does supersede the one before.
#[test]
fn entries_of_other_services_and_domains_supersede_no_target() {
    let target = "10.0.0.2:4";
    let ids = |later: StoreItem| {
        let node = node_with_entries(vec![entry("desk", target, "north-b", 1), later]);
        let config = node.config().unwrap();
        let route = config.find("x", "/").unwrap();
        let candidates = node.candidates(route, None, "desk").into_iter();
        let ids = candidates.map(|candidate| candidate.place.id.to_string());
        ids.collect::<Vec<_>>()
    };
    let known = ["desk-10.0.0.2:4-north-b"];
    assert_eq!(ids(entry("agent", target, "north-b", 2)), known);
    assert_eq!(ids(entry("desk", target, "west", 2)), known);
    assert_eq!(
        ids(entry("desk", target, "north-a", 2)),
        ["desk-10.0.0.2:4-north-a"]
    );
    assert!(ids(entry("shop", target, "north-b", 2)).is_empty());
}

/// Guards against the owner of a target that takes the word of an entry of an unknown
/// service at the target's address, for as long as no health check has shown who is there.
#[test]
fn owner_ignores_entries_of_other_services_at_its_address() {
    let target = "127.0.0.1:4";
    let mut odd = entry("agent", target, "north-a", 2);
    let text = String::from_utf8(odd.value.unwrap()).unwrap();
    odd.value = Some(text.replace(": 8", ": 99").into_bytes());
    let node = node_with_entries(vec![entry("shop", target, "north-a", 1), odd]);
    assert_eq!(node.owner.report().limit, 8);
}

/// Returns the outcome of a request with an answer of this length.
fn answered(bytes: usize) -> TargetOutcome {
    TargetOutcome::Answered(BufferedAnswer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; bytes]),
    })
}

/// Guards against a link that counts answers of requests which failed, or that were
/// cancelled, until it admits none; against refusals where answers are short; and
/// against runs whose answers the link cannot send in time.
#[test]
fn lease_of_long_answer_ends_with_its_request() {
    const ANSWER: usize = 5_000_000;
    let mut settings = common::settings();
    settings.link_rate = 1_250_000.0;
    let node = Arc::new(node_with(settings));
    let head = |route: &str| HopHead {
        route: route.to_owned(),
        objective_us: 7_000_000,
        time_left_us: 9_000_000,
        ..HopHead::default()
    };
    let long = head("export");
    assert!(answer_lease::check(&node, &long).is_ok());
    assert_eq!(node.hop_report(&long).send_rate, 0);
    answer_lease::begin(&node, &head("read")).end(&answered(2_000));
    // The link sends the first answer, so that the next ones are late.
    answer_lease::begin(&node, &long).end(&answered(ANSWER));
    assert!(node.hop_report(&long).send_rate > 0);
    let refusal = answer_lease::check(&node, &long).unwrap_err();
    assert_eq!(refusal.reason, HopReason::Full);
    assert!(!refusal.reached_target);
    // A call of a target may take longer.
    let call = HopHead {
        call: true,
        time_left_us: 60_000_000,
        ..head("export")
    };
    for _ in 0..100 {
        drop(answer_lease::begin(&node, &call));
        answer_lease::begin(&node, &call).end(&TargetOutcome::MayHaveRun("cut off"));
    }
    assert!(answer_lease::check(&node, &call).is_ok());
    assert!(answer_lease::check(&node, &head("read")).is_ok());
}

/// Guards against late requests that any backlog of the link refuses, because nothing is
/// left of their objective.
#[test]
fn late_request_is_admitted_by_the_time_that_its_caller_waits() {
    let mut settings = common::settings();
    settings.link_rate = 1_250_000.0;
    let node = Arc::new(node_with(settings));
    let head = |late, objective_us, time_left_us| HopHead {
        route: "export".to_owned(),
        late,
        objective_us,
        time_left_us,
        ..HopHead::default()
    };
    // The link sends the answer for 4 s.
    answer_lease::begin(&node, &head(false, 800_000, 9_000_000)).end(&answered(5_000_000));
    assert!(answer_lease::check(&node, &head(false, 800_000, 20_000_000)).is_err());
    assert!(answer_lease::check(&node, &head(true, 0, 20_000_000)).is_ok());
    assert!(answer_lease::check(&node, &head(true, 5_000, 20_000_000)).is_ok());
    assert!(answer_lease::check(&node, &head(false, 0, 20_000_000)).is_ok());
    assert!(answer_lease::check(&node, &head(true, 0, 5_000_000)).is_err());
}
