//! The hops of a call export their spans in one trace.

mod common;

use common::Caller;
use common::Fleet;
use common::FleetPlan;
use common::STEP_TIMEOUT;
use radishgauge_standin::CollectorStandIn;

const RULES: &str = "routes:\n  - name: orders\n    path_prefix: /orders\n    \
    service: order-desk\n    repeatable: true\n    timeout_ms: 60000\n\
    policy:\n  retry_percent: 10\n";
const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
/// The spans of the entry, of its attempt, and of the run at the target.
const SPANS: usize = 3;

// Guards against a hop that starts a new trace or exports no span.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn call_through_two_daemons_exports_spans_of_one_trace() {
    let collector = CollectorStandIn::start().await.unwrap();
    let fleet = Fleet::start(FleetPlan {
        otlp: format!("http://{}", collector.address()),
        ..FleetPlan::new(
            &[
                ("shop-1", "addis-bole", false),
                ("shop-2", "addis-bole", true),
            ],
            RULES,
        )
    })
    .await;
    let parent = format!("00-{TRACE}-b7ad6b7169203331-01");
    let entry = fleet.hosts[0].daemon().callers();
    let headers = [("traceparent", &*parent)];
    let answer = Caller::new().post(entry, "/orders", &headers, "").await;
    assert_eq!(answer.verdict().0, "ran", "{answer:?}");
    let spans = tokio::time::timeout(STEP_TIMEOUT, collector.wait_for(SPANS)).await;
    let spans = spans.unwrap_or_else(|_| panic!("stuck: {:?}", collector.spans()));
    let mut parent = "b7ad6b7169203331".to_owned();
    // Each hop is the parent of the next one.
    for _ in 0..SPANS {
        let span = spans
            .iter()
            .find(|span| hex(&span.parent_span_id) == parent);
        let span = span.unwrap_or_else(|| panic!("no child of {parent}: {spans:?}"));
        assert_eq!(hex(&span.trace_id), TRACE);
        parent = hex(&span.span_id);
    }
    let served = fleet.hosts[1].target().served();
    assert!(served[0].traceparent.contains(TRACE), "{served:?}");
    fleet.end().await;
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
