//! A request that crashes its targets is refused after the second crash.

mod common;

use std::time::Instant;

use common::Caller;
use common::Fleet;
use common::FleetPlan;
use common::STEP_TIMEOUT;
use radishgauge_standin::target::CRASH_HEADER;
use radishgauge_standin::target::FAIL_HEADER;

const HOSTS: [(&str, &str, bool); 5] = [
    ("shop-1", "addis-bole", false),
    ("shop-2", "addis-kality", false),
    ("shop-3", "addis-bole", true),
    ("shop-4", "addis-kality", true),
    ("shop-5", "addis-bole", true),
];

/// Sends a request that crashes its target again and again, alternating between
/// two entry daemons, until it is quarantined. Crashed targets are restarted at
/// once. With `fails`, a target answers each second sending with a failure.
async fn resend_until_quarantined(repeatable: bool, fails: bool) {
    let rules = format!(
        "routes:\n  - name: orders\n    path_prefix: /orders\n    \
         service: order-desk\n    repeatable: {repeatable}\n    timeout_ms: 60000\n\
         policy:\n  retry_percent: 10\n"
    );
    let fleet = Fleet::start(FleetPlan::new(&HOSTS, &rules)).await;
    let entries = [0, 1].map(|index| fleet.hosts[index].daemon().callers());
    let crashes = || -> u64 {
        let targets = fleet.hosts.iter().filter_map(|host| host.target.as_ref());
        targets.map(|target| target.counts().crashes).sum()
    };
    let headers = [(CRASH_HEADER, "1")];
    let caller = Caller::new();
    let begun = Instant::now();
    let mut sent = 0;
    let mut restarted = [0; HOSTS.len()];
    let refused = loop {
        let entry = entries[sent % entries.len()];
        sent += 1;
        let before = crashes();
        let headers = match fails && sent % 2 == 0 {
            true => [(FAIL_HEADER, "1")],
            false => [(CRASH_HEADER, "1")],
        };
        let answer = caller.post(entry, "/orders", &headers, "poison").await;
        let crashed = crashes() - before;
        assert!(crashes() <= 2, "the request crashed {} targets", crashes());
        if answer.verdict() == ("not-run", "quarantined") {
            break answer;
        }
        if crashed > 0 {
            assert_eq!(answer.verdict().0, "may-have-run", "{answer:?}");
        }
        assert!(
            begun.elapsed() < STEP_TIMEOUT,
            "stuck after {sent}: {answer:?}"
        );
        for (host, restarted) in fleet.hosts.iter().zip(&mut restarted) {
            if let Some(target) = &host.target
                && target.counts().crashes > *restarted
            {
                target.restart().await.unwrap();
                *restarted += 1;
            }
        }
    };
    assert_eq!(crashes(), 2, "{refused:?}");
    // Each entry daemon refuses the request, and other requests run.
    for entry in entries {
        let answer = caller.post(entry, "/orders", &headers, "poison").await;
        assert_eq!(answer.verdict(), ("not-run", "quarantined"));
        let answer = caller.post(entry, "/orders", &[], "harmless").await;
        assert_eq!(answer.verdict().0, "ran", "{answer:?}");
    }
    assert_eq!(crashes(), 2);
    fleet.end().await;
}

// Guards against a request that is sent on after two crashes and crashes one
// target after another.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeatable_request_crashes_at_most_two_targets() {
    resend_until_quarantined(true, false).await;
}

// Guards against a fingerprint that includes the key that a daemon issues for a
// request without one, so that it differs between re-sends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unrepeatable_request_crashes_at_most_two_targets() {
    resend_until_quarantined(false, false).await;
}

// Guards against a failure between two crashes that makes the daemons forget the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_fails_at_times_crashes_at_most_two_targets() {
    resend_until_quarantined(true, true).await;
}
