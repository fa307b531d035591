//! A request that must not be retried runs once, even when it is re-sent to
//! another daemon.

mod common;

use std::sync::atomic::Ordering;

use common::Caller;
use common::Fleet;
use common::FleetPlan;
use common::TargetLatch;
use common::wait_until;
use radishgauge_traffic::key::IdempotencyKey;

const RULES: &str = "routes:\n  - name: orders\n    path_prefix: /orders\n    \
    service: order-desk\n    repeatable: false\n    timeout_ms: 60000\n\
    policy:\n  retry_percent: 10\n";
/// The first two have no targets; a key is issued by the daemon of one of the
/// others.
const HOSTS: [(&str, &str, bool); 4] = [
    ("shop-1", "addis-bole", false),
    ("shop-2", "addis-kality", false),
    ("shop-3", "addis-bole", true),
    ("shop-4", "addis-kality", true),
];

// Guards against a second run when a request is re-sent to another daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resent_request_runs_once_and_gets_the_first_answer() {
    let latch = TargetLatch::closed();
    let fleet = Fleet::start(FleetPlan {
        latch: Some(&latch),
        ..FleetPlan::new(&HOSTS, RULES)
    })
    .await;
    let entries = [0, 1].map(|index| fleet.hosts[index].daemon().callers());
    let caller = Caller::new();
    let key = caller.key(entries[0], "/orders").await;
    let send = |entry| {
        let (caller, key) = (caller.clone(), key.clone());
        tokio::spawn(async move {
            let headers = [("idempotency-key", &*key)];
            caller.post(entry, "/orders", &headers, "two chairs").await
        })
    };
    let first = send(entries[0]);
    wait_until("the first request to run", || fleet.started() == 1).await;
    let meters = &fleet.hosts[1].daemon().node().meters;
    let entered = || meters.calls.load(Ordering::Relaxed);
    let before = entered();
    let second = send(entries[1]);
    wait_until("the re-send to enter", || entered() > before).await;
    latch.open();
    let first = first.await.unwrap();
    let second = second.await.unwrap();
    let third = send(entries[1]).await.unwrap();
    assert_eq!(first.verdict().0, "ran", "{first:?}");
    assert_eq!(first.header("x-radishgauge-replayed"), "");
    assert_eq!(&first.body[..], b"two chairs");
    for resent in [second, third] {
        assert_eq!(
            resent.header("x-radishgauge-replayed"),
            "true",
            "{resent:?}"
        );
        assert_eq!(resent.verdict().0, "ran");
        assert_eq!(resent.status, first.status);
        assert_eq!(resent.body, first.body);
    }
    assert_eq!(fleet.started(), 1);
    fleet.end().await;
}

// Guards against a second run by a daemon that does not own the key, after the
// owner was lost with its records.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_of_lost_owner_may_have_run_and_is_not_run_again() {
    let mut fleet = Fleet::start(FleetPlan::new(&HOSTS, RULES)).await;
    let entries = [0, 1].map(|index| fleet.hosts[index].daemon().callers());
    let caller = Caller::new();
    let key = caller.key(entries[0], "/orders").await;
    let headers = [("idempotency-key", &*key)];
    let first = caller.post(entries[0], "/orders", &headers, "a desk").await;
    assert_eq!(first.verdict().0, "ran", "{first:?}");

    let Ok(IdempotencyKey::Issued(issued)) = key.parse() else {
        panic!("{key} is not an issued key");
    };
    let owner = fleet
        .hosts
        .iter_mut()
        .find(|host| host.name == *issued.host);
    owner.unwrap().daemon.take().unwrap().kill().await;
    for entry in entries {
        let resent = caller.post(entry, "/orders", &headers, "a desk").await;
        assert_eq!(resent.verdict().0, "may-have-run", "{resent:?}");
    }
    assert_eq!(fleet.started(), 1);
    fleet.end().await;
}
