//! A graceful stop doesn't interrupt running calls.

mod common;

use common::Caller;
use common::Fleet;
use common::FleetPlan;
use common::TargetLatch;
use common::wait_until;

const RULES: &str = "routes:\n  - name: orders\n    path_prefix: /orders\n    \
    service: order-desk\n    repeatable: true\n    timeout_ms: 60000\n\
    policy:\n  retry_percent: 10\n";
const CALLS: u64 = 8;
/// The size of a body in bytes: several frames, so that a truncated answer is
/// detected.
const BODY: usize = 200_000;

/// Stops the daemon at an index while calls from the first host run at the second
/// one.
async fn stop_while_calls_run(stopped: usize) {
    let latch = TargetLatch::closed();
    let mut fleet = Fleet::start(FleetPlan {
        latch: Some(&latch),
        ..FleetPlan::new(
            &[
                ("shop-1", "addis-bole", false),
                ("shop-2", "addis-bole", true),
            ],
            RULES,
        )
    })
    .await;
    let entry = fleet.hosts[0].daemon().callers();
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            tokio::spawn(async move {
                let body = vec![number as u8; BODY];
                let caller = Caller::new();
                let answer = caller.post(entry, "/orders", &[], body.clone()).await;
                (body, answer)
            })
        })
        .collect();
    wait_until("all calls to run", || fleet.started() == CALLS).await;
    let stopping = fleet.hosts[stopped].daemon.take().unwrap().begin_stop();
    let stop = tokio::spawn(stopping.finish());
    latch.open();
    for call in calls {
        let (body, answer) = call.await.unwrap();
        assert_eq!(answer.verdict().0, "ran", "{:?}", answer.headers);
        assert!(answer.body == body, "an answer belongs to another request");
    }
    let report = stop.await.unwrap();
    assert_eq!(report.cut_off, 0);
    assert_eq!(fleet.hosts[1].target().counts().interrupted, 0);
    assert_eq!(fleet.started(), CALLS);
    fleet.end().await;
}

// Guards against a stop of the entry daemon that breaks its callers' connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stop_of_entry_daemon_interrupts_no_call() {
    stop_while_calls_run(0).await;
}

// Guards against a stop of a target's host that breaks its senders' sessions.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stop_of_targets_daemon_interrupts_no_call() {
    stop_while_calls_run(1).await;
}
