use std::time::Duration;

use radishgauge_mesh::StateFreshness;
use radishgauge_mesh::freshness::FreshnessChange;

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

/// Guards against a daemon that keeps an old state for long without a word, and against
/// one that repeats the same word again and again.
#[test]
fn start_and_end_of_unconfirmed_time_are_told_once() {
    let mut freshness = StateFreshness::default();
    assert_eq!(freshness.observe(BOUND, s(10)), None);
    let late = Some(FreshnessChange::Unconfirmed(s(4)));
    assert_eq!(freshness.observe(BOUND, s(14)), late);
    assert_eq!(freshness.observe(BOUND, s(15)), None);
    freshness.confirm(s(16));
    let confirmed = Some(FreshnessChange::Confirmed(s(6)));
    assert_eq!(freshness.observe(BOUND, s(17)), confirmed);
    assert_eq!(freshness.observe(BOUND, s(19)), None);
    let late = Some(FreshnessChange::Unconfirmed(s(4)));
    assert_eq!(freshness.observe(BOUND, s(20)), late);
}
