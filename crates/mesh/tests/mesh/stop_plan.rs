use std::time::Duration;

use radishgauge_mesh::StopPlan;

const STARTED: Duration = Duration::from_secs(100);

/// How long after the start of a stop the platform allows a request to be sent
/// that is under way in the last sixth of the grace period.
const LATEST_LONG_REQUEST: Duration = Duration::from_secs(3);

/// Guards against requests that are accepted late in a stop and broken off at its
/// end, and against a stop that refuses requests which it could serve.
#[test]
fn late_request_is_accepted_only_if_it_ends_before_the_stop() {
    for grace in [1, 6, 10, 30].map(Duration::from_secs) {
        let plan = StopPlan::new(STARTED, grace);
        assert!(plan.timeout() >= STARTED + grace.mul_f64(5.0 / 6.0));
        assert!(plan.serving_end() < plan.timeout() && plan.timeout() < plan.cut_off());
        for hundredth in 0..100 {
            let offset = grace.mul_f64(f64::from(hundredth) / 100.0);
            for longest in [1, 100, 500, 2_500, 6_000].map(Duration::from_millis) {
                let now = STARTED + offset;
                let in_time = now + longest <= plan.timeout();
                if plan.accepts(now, longest) {
                    assert!(
                        in_time || offset <= LATEST_LONG_REQUEST,
                        "{grace:?} {offset:?}"
                    );
                } else {
                    assert!(!in_time, "{grace:?} {offset:?} {longest:?}");
                }
            }
        }
    }
}
