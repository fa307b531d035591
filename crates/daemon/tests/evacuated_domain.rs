//! An evacuated failure domain gets no new requests.

mod common;

use common::Caller;
use common::Fleet;
use common::FleetPlan;

const RULES: &str = "routes:\n  - name: orders\n    path_prefix: /orders\n    \
    service: order-desk\n    repeatable: true\n    timeout_ms: 60000\n\
    policy:\n  retry_percent: 10\n";
const CALLS: u64 = 20;

// Guards against requests that are sent to an evacuated domain although every
// daemon has the version that evacuates it, and against callers in that domain
// that are refused instead of served by the other domain.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn evacuated_domain_gets_no_requests_and_its_callers_are_served() {
    let fleet = Fleet::start(FleetPlan::new(
        &[
            ("shop-1", "addis-bole", true),
            ("shop-2", "addis-bole", true),
            ("shop-3", "addis-kality", true),
            ("shop-4", "addis-kality", true),
        ],
        RULES,
    ))
    .await;
    let caller = Caller::new();
    let started = |domain: &str| -> u64 {
        let hosts = fleet.hosts.iter().filter(|host| host.domain == domain);
        hosts.map(|host| host.target().counts().started).sum()
    };
    let first = fleet.hosts[0].daemon().callers();
    let answer = caller.post(first, "/orders", &[], "before").await;
    assert_eq!(answer.verdict().0, "ran", "{answer:?}");

    fleet.publish(2, &["addis-bole"]);
    fleet.wait_for_revision(2).await;
    let before = started("addis-bole");
    let before_elsewhere = started("addis-kality");
    for host in &fleet.hosts {
        for number in 0..CALLS {
            let body = format!("{} {number}", host.name);
            let entry = host.daemon().callers();
            let answer = caller.post(entry, "/orders", &[], body.clone()).await;
            assert_eq!(answer.verdict().0, "ran", "{answer:?}");
            assert_eq!(answer.body, body);
        }
    }
    assert_eq!(started("addis-bole"), before);
    assert_eq!(started("addis-kality"), before_elsewhere + 4 * CALLS);

    // After a newer version ends the evacuation, the domain serves again.
    fleet.publish(3, &[]);
    fleet.wait_for_revision(3).await;
    let answer = caller.post(first, "/orders", &[], "after").await;
    assert_eq!(answer.verdict().0, "ran", "{answer:?}");
    fleet.end().await;
}
