//! Tests of the messages between an entry daemon and an owner.

use std::time::Duration;

use radishgauge_mesh::LoadReport;
use radishgauge_mesh::PlaceRequest;
use radishgauge_mesh::RouteKey;
use radishgauge_mesh::TargetPlacer;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::TargetDistance;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReport;
use radishgauge_sidecar::hop;

/// Guards against a call that competes with the priority of its own route, and
/// against a call from a sender of an older version that is held back.
#[test]
fn call_competes_with_the_urgency_that_its_sender_states() {
    let head = |call, call_priority| HopHead {
        priority: 1,
        call,
        call_priority,
        ..HopHead::default()
    };
    assert_eq!(hop::urgency(&head(false, 0)), 1);
    assert_eq!(hop::urgency(&head(true, 3)), 2);
    assert_eq!(hop::urgency(&head(true, 0)), 0);
}

/// Guards against a waiting priority of 0 that is taken for an empty queue.
#[test]
fn report_tells_the_waiting_priority_or_that_none_waits() {
    for waiting_priority in [None, Some(0), Some(3)] {
        let load = LoadReport {
            waiting_priority,
            ..LoadReport::default()
        };
        let report = hop::report_from_load(&load);
        assert_eq!(hop::load_from_report(&report), load);
    }
    let older = HopReport::default();
    assert_eq!(hop::load_from_report(&older).waiting_priority, None);
}

const REQUEST: PlaceRequest = PlaceRequest {
    objective: Duration::from_millis(500),
    patience: Duration::from_millis(500),
    priority: 0,
    body_bytes: 0,
    route: RouteKey::UNKNOWN,
    receive_rate: u64::MAX,
};

fn candidates() -> Vec<PlaceCandidate> {
    let candidate = |id: &str| PlaceCandidate {
        id: id.into(),
        distance: TargetDistance::SameDomain,
        capacity: 1,
        is_scarce: false,
    };
    vec![candidate("absurd"), candidate("usual")]
}

/// Returns a report in which each number of the load is the greatest.
fn greatest_report() -> HopReport {
    HopReport {
        occupied: u32::MAX,
        limit: u32::MAX,
        wait_us: u64::MAX,
        service_us: u64::MAX,
        route_service_us: u64::MAX,
        retry_after_us: u64::MAX,
        efficient_limit: u32::MAX,
        waiting_priority: u32::MAX,
        ..HopReport::default()
    }
}

/// Guards against a panic under the placer's lock because of the numbers that a faulty
/// owner reports, and against its target being chosen.
#[test]
fn greatest_reported_numbers_rule_out_only_their_target() {
    let mut placer = TargetPlacer::new(1);
    let now = Duration::from_secs(1);
    placer.report(
        &"absurd".into(),
        hop::load_from_report(&greatest_report()),
        now,
    );
    let usual = HopReport {
        limit: 1,
        service_us: 100_000,
        ..HopReport::default()
    };
    placer.report(&"usual".into(), hop::load_from_report(&usual), now);
    assert_eq!(placer.place(&candidates(), &REQUEST, now).unwrap(), "usual");
    assert_eq!(placer.place_late(&candidates(), &REQUEST, now), None);
}

/// Guards against a panic because of route times between the least and the greatest,
/// whose ratio is not a time.
#[test]
fn route_times_of_any_ratio_are_placed_by() {
    let mut placer = TargetPlacer::new(1);
    let route = RouteKey::new("shop", "read");
    let request = PlaceRequest { route, ..REQUEST };
    let greatest = greatest_report();
    let long = hop::route_service_time(&greatest).unwrap();
    let short = Duration::from_nanos(1);
    for step in 0..200_u64 {
        let now = Duration::from_millis(step * 100);
        placer.report(&"absurd".into(), hop::load_from_report(&greatest), now);
        // The target is steady first and changes by the whole range in the end.
        let (absurd, usual) = match step < 150 {
            true => (short, long),
            false => (long, short),
        };
        placer.record_route_time(&"absurd".into(), route, absurd, now);
        placer.record_route_time(&"usual".into(), route, usual, now);
        let _ = placer.place(&candidates(), &request, now);
        let _ = placer.place_late(&candidates(), &request, now);
    }
}

/// Guards against callers that a faulty owner keeps away for hours.
#[test]
fn retry_after_is_bounded() {
    let greatest = hop::retry_after(&greatest_report()).unwrap();
    assert_eq!(greatest, Duration::from_secs(60));
    assert_eq!(hop::retry_after(&HopReport::default()), None);
}
