//! The requests of a tenant are served only in its home regions.

mod common;

use common::Caller;
use common::Fleet;
use common::FleetPlan;

const RULES: &str = "tenants:\n  - name: weavers\n    home_regions: [bahir]\n\
    routes:\n  - name: orders\n    path_prefix: /orders\n    \
    service: order-desk\n    repeatable: true\n    timeout_ms: 60000\n\
    policy:\n  retry_percent: 10\n";
const TENANT: [(&str, &str); 1] = [("x-radishgauge-tenant", "weavers")];
const CALLS: u64 = 20;

// Guards against a request that is sent out of the home regions of its tenant.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_outside_home_regions_is_refused_and_reaches_no_target() {
    let fleet = Fleet::start(FleetPlan::new(
        &[
            ("shop-1", "addis-bole", true),
            ("shop-2", "addis-bole", true),
            ("shop-3", "bahir-tana", true),
            ("shop-4", "bahir-gion", false),
        ],
        RULES,
    ))
    .await;
    let caller = Caller::new();
    for host in &fleet.hosts[..2] {
        let entry = host.daemon().callers();
        let answer = caller.post(entry, "/orders", &TENANT, "a rug").await;
        assert_eq!(answer.verdict(), ("not-run", "home-region"), "{answer:?}");
    }
    assert_eq!(fleet.started(), 0);

    for _ in 0..CALLS {
        for host in &fleet.hosts[2..] {
            let entry = host.daemon().callers();
            let answer = caller.post(entry, "/orders", &TENANT, "a rug").await;
            assert_eq!(answer.verdict().0, "ran", "{answer:?}");
            assert_eq!(answer.header("x-standin-region"), "bahir");
        }
    }
    assert_eq!(fleet.hosts[2].target().counts().started, 2 * CALLS);
    assert_eq!(fleet.started(), 2 * CALLS);
    fleet.end().await;
}
