//! An invalid version is refused by every daemon and changes nothing.

mod common;

use common::Caller;
use common::Fleet;
use common::FleetPlan;
use common::wait_until_async;
use radishgauge_config::load_set;
use radishgauge_config::pack;

const RULES: &str = "routes:\n  - name: orders\n    path_prefix: /orders\n    \
    service: order-desk\n    repeatable: true\n    timeout_ms: 60000\n\
    policy:\n  retry_percent: 10\n";

// Guards against an invalid version that is applied in part: its second route is
// valid, and only the first one refers to a service that does not exist.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_version_is_not_applied_in_part() {
    let fleet = Fleet::start(FleetPlan::new(
        &[
            ("shop-1", "addis-bole", false),
            ("shop-2", "addis-bole", true),
        ],
        RULES,
    ))
    .await;
    let mut set = load_set(&fleet.write_set(&[])).unwrap_or_else(|faults| panic!("{faults}"));
    let mut added = set.routes[0].clone();
    added.name = "returns".to_owned();
    added.path_prefix = "/returns".to_owned();
    set.routes[0].service = "no-such-service".to_owned();
    set.routes.push(added);
    fleet.platform.put_all(pack(&set, 2).values());

    let caller = Caller::new();
    for host in &fleet.hosts {
        let operators = host.daemon().operators();
        wait_until_async("the refusal of revision 2", async || {
            caller.status(operators).await["refused_revision"] == 2
        })
        .await;
    }
    for host in &fleet.hosts {
        assert_eq!(host.daemon().revision(), 1, "{}", host.name);
        let entry = host.daemon().callers();
        let answer = caller.post(entry, "/orders", &[], "a pot").await;
        assert_eq!(answer.verdict().0, "ran", "{answer:?}");
        let answer = caller.post(entry, "/returns", &[], "a pot").await;
        assert_eq!(answer.verdict(), ("not-run", "no-route"), "{answer:?}");
    }

    // A valid version with a greater revision comes into force.
    fleet.publish(3, &[]);
    fleet.wait_for_revision(3).await;
    fleet.end().await;
}
