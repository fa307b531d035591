use std::time::Duration;

use radishgauge_mesh::StateFreshness;

const BOUND: Duration = Duration::from_secs(3);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a daemon that was cut off, or has just started, and takes its
/// old state for the current one.
#[test]
fn state_without_recent_confirmation_may_lack_changes() {
    let mut freshness = StateFreshness::default();
    assert!(freshness.may_lack_changes(BOUND, s(0)));
    freshness.confirm(s(10));
    assert!(!freshness.may_lack_changes(BOUND, s(13)));
    assert!(freshness.may_lack_changes(BOUND, s(14)));
}

/// Guards against an answer of a peer that is behind, which makes a state look
/// older than it is.
#[test]
fn older_confirmation_is_ignored() {
    let mut freshness = StateFreshness::default();
    freshness.confirm(s(10));
    freshness.confirm(s(7));
    assert_eq!(freshness.age(s(11)), Some(s(1)));
}
