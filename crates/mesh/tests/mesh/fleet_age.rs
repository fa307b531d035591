use std::time::Duration;

use radishgauge_mesh::FleetAge;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a daemon that is taken for a restarted one when the whole fleet starts.
#[test]
fn fleet_that_starts_as_a_whole_is_new() {
    let mut age = FleetAge::new(s(0));
    assert!(!age.record(s(1), s(0)));
    assert!(!age.record(s(61), s(60)));
    assert_eq!(age.get(s(60)), s(61));
}

/// Guards against an age that is lost when all daemons that were there from the start have
/// ended one after the other.
#[test]
fn age_outlives_the_first_daemons() {
    let first = FleetAge::new(s(0));
    let mut second = FleetAge::new(s(0));
    // The clock of each daemon begins at its start.
    assert!(second.record(first.get(s(8)), s(0)));
    let mut third = FleetAge::new(s(0));
    assert!(third.record(second.get(s(1)), s(0)));
    assert_eq!(third.get(s(2)), s(11));
    // A report that took long on its way takes nothing back.
    assert!(third.record(s(1), s(3)));
    assert_eq!(third.get(s(3)), s(12));
}
