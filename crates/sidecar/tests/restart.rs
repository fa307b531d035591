//! Tests of a daemon that starts again beside a target that keeps running.

#[path = "common/clock.rs"]
mod clock;
mod common;
#[path = "common/peer.rs"]
mod peer;

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::Uri;
use radishgauge_mesh::StatePosition;
use radishgauge_mesh::declared_rate_limit::RateStatement;
use radishgauge_mesh::retry_budget::RetryKind;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_platform::StoreItem;
use radishgauge_platform::message::HealthReport;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use radishgauge_sidecar::answer::TargetOutcome;
use radishgauge_sidecar::node::SidecarNode;
use radishgauge_sidecar::owner::TargetOwner;
use radishgauge_sidecar::state_exchange;
use radishgauge_sidecar::target_call::BufferedRequest;

use crate::clock::ManualClock;

const TARGET: &str = "i-1";

/// The requests a second that the target takes while it is cold.
const COLD_RATE: usize = 20;

const CONFIG: &str = r#"{"version": "r1",
    "limits": {"headerBytes": 16384, "bodyBytes": 65536, "headerTimeout": "3s", "idleTimeout": "15s"},
    "listeners": [{"host": "x", "policy": [
        {"name": "read", "routeType": "idempotent", "latencySlo": "300ms", "priority": 1,
         "match": {"prefix": "/"}, "action": {"service": "shop", "timeout": "3s", "attempts": 2}}]}],
    "clusters": [
        {"name": "shop", "healthPath": "/health", "maxConns": 50, "coldStart": "3s", "coldPerS": 20.0}]}"#;

/// The entry of the target, which was written when the target was warm.
const ENTRY: &str = r#"{"service": "shop", "address": "127.0.0.1:4", "zone": "north-a", "version": "1",
    "capacity": 8, "state": "ready", "coldLeft": "0ms", "sequence": 1, "born": 1}"#;

/// Starts a daemon that knows nothing yet.
fn start_daemon(clock: &Arc<ManualClock>) -> Arc<SidecarNode> {
    let settings = common::settings();
    let owner = Arc::new(TargetOwner::new(&settings, clock.clone()));
    Arc::new(SidecarNode::new(settings, clock.clone(), owner, 1))
}

/// Makes a daemon learn the platform's state.
fn read_state(node: &SidecarNode) {
    let position = StatePosition {
        era: 1,
        revision: 5,
    };
    let items = vec![item("op/config", CONFIG), item("servers/i-1", ENTRY)];
    node.replace_state(items, position, StateSource::Store);
}

fn item(key: &str, text: &str) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: Some(text.as_bytes().to_vec()),
        revision: 5,
        is_confirmed_removal: false,
    }
}

/// Makes the target answer a health check.
fn answer_check(node: &SidecarNode, cold_left: Duration) {
    let report = HealthReport {
        target: Some(TARGET.into()),
        cold_left,
        rate_statement: RateStatement::Absent,
        is_leaving: false,
        is_healthy: true,
    };
    node.owner.record_up(&report, node.now(), 0);
}

fn head() -> HopHead {
    HopHead {
        target: TARGET.to_owned(),
        route: "read".to_owned(),
        objective_us: 300_000,
        time_left_us: 3_000_000,
        ..HopHead::default()
    }
}

fn request() -> BufferedRequest {
    BufferedRequest {
        id: "id-1".into(),
        method: Method::GET,
        uri: Uri::from_static("/read/1"),
        headers: HeaderMap::new(),
        body: Vec::new().into(),
    }
}

/// Returns how many of 50 requests, each of which ends at once, may be sent to the target
/// now.
fn count_sent(node: &SidecarNode) -> usize {
    let sent = (0..50).filter(|_| {
        let _admitted = node.owner.admit(&head());
        let (running, _) = node.owner.load();
        running > 0
    });
    sent.count()
}

/// Guards against a cold target that gets the requests of a second from each of two
/// processes, because the second one does not know what the first one sent.
#[tokio::test]
async fn restart_does_not_repeat_requests_of_a_second() {
    for knows_state in [true, false] {
        let clock = Arc::new(ManualClock::default());
        let first = start_daemon(&clock);
        read_state(&first);
        clock.set(2_000);
        answer_check(&first, Duration::from_millis(2_900));
        assert_eq!(count_sent(&first), COLD_RATE);
        clock.set(2_150);
        // Other daemons send it requests before it knows the state itself.
        let second = start_daemon(&clock);
        if knows_state {
            read_state(&second);
        }
        for millis in (2_150..3_150).step_by(50) {
            clock.set(millis);
            assert_eq!(count_sent(&second), 0, "after {millis} ms");
            if knows_state && millis == 2_400 {
                answer_check(&second, Duration::from_millis(2_500));
            }
        }
        if knows_state {
            clock.set(3_150);
            assert_eq!(count_sent(&second), COLD_RATE);
        }
    }
}

/// Guards against a warm target that gets nothing after a start of its daemon: requests
/// wait until it has answered the first check, and are sent at once then.
#[tokio::test]
async fn warm_target_is_served_once_it_has_answered() {
    let node = start_daemon(&Arc::default());
    read_state(&node);
    let _admitted = [(); 4].map(|()| node.owner.admit(&head()).ok().unwrap());
    assert_eq!(node.owner.load(), (0, 4));
    answer_check(&node, Duration::ZERO);
    assert_eq!(node.owner.load(), (4, 0));
}

/// Returns how many retries of calls a daemon may send now, as one of two.
fn count_retries(node: &SidecarNode) -> usize {
    let service = "desk".into();
    let now = node.now();
    let mut budget = node.budget();
    let spent = (0..100).filter(|_| budget.try_spend(&service, RetryKind::RefusedCall, 2, now));
    spent.count()
}

/// Guards against a restarted daemon that spends the additional retries of its host again,
/// and against a fleet without retries because all its daemons have just started.
#[tokio::test]
async fn retries_of_the_process_before_are_not_spent_again() {
    let clock = Arc::new(ManualClock::default());
    let running = start_daemon(&clock);
    read_state(&running);
    assert_eq!(count_retries(&running), 21);
    let listener = peer::serve_state(&running);
    let address = listener.local_address();
    let beside = start_daemon(&clock);
    let followed = state_exchange::follow(&beside, address, Duration::ZERO).await;
    assert!(followed.is_ok());
    assert_eq!(count_retries(&beside), 21);
    clock.set(5_000);
    for follows in [true, false] {
        let restarted = start_daemon(&clock);
        if follows {
            let followed = state_exchange::follow(&restarted, address, Duration::ZERO).await;
            assert!(followed.is_ok());
        } else {
            read_state(&restarted);
            state_exchange::fetch_kept(&restarted, |_| vec![address]).await;
        }
        assert_eq!(count_retries(&restarted), 0);
    }
}

/// Guards against a target that gets nothing for a second although it has been cold only
/// since its daemon started, as after a loss of power.
#[tokio::test]
async fn target_that_started_with_its_daemon_is_served_at_its_cold_rate() {
    let clock = Arc::new(ManualClock::default());
    let node = start_daemon(&clock);
    read_state(&node);
    clock.set(20);
    answer_check(&node, Duration::from_millis(2_950));
    assert_eq!(count_sent(&node), COLD_RATE);
}

/// Guards against requests that wait out their time for a cold target: when it answers the
/// first check, those that it cannot serve in time are refused, and told when to come back.
#[tokio::test]
async fn waiting_requests_are_refused_once_target_says_that_it_is_cold() {
    let clock = Arc::new(ManualClock::default());
    let node = start_daemon(&clock);
    read_state(&node);
    let (request, head) = (request(), head());
    let answer = async {
        assert_eq!(node.owner.load(), (0, 1));
        clock.set(10);
        answer_check(&node, Duration::from_secs(2));
    };
    let run = node.owner.run(&request, &head, None);
    let (outcome, ()) = futures_util::future::join(run, answer).await;
    let TargetOutcome::NotRun(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusal.reason, HopReason::Cold);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(990)));
    assert!(!refusal.reached_target);
}
