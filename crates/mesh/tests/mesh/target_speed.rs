//! Tests of how one sender learns the speeds of targets, and of how an owner finds
//! the number of requests that its target runs well.

use std::time::Duration;

use radishgauge_mesh::AdmissionRequest;
use radishgauge_mesh::LoadReport;
use radishgauge_mesh::LocalAdmission;
use radishgauge_mesh::PlaceRequest;
use radishgauge_mesh::RouteKey;
use radishgauge_mesh::TargetPlacer;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::SendOutcome;
use radishgauge_mesh::placement::TargetDistance;
use smol_str::SmolStr;

const SLOTS: u32 = 16;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn candidates() -> [PlaceCandidate; 2] {
    ["slow", "fast"].map(|id| PlaceCandidate {
        id: id.into(),
        distance: TargetDistance::SameDomain,
        capacity: 10,
        is_scarce: false,
    })
}

fn request(route: RouteKey) -> PlaceRequest {
    PlaceRequest {
        objective: ms(800),
        patience: ms(800),
        priority: 0,
        body_bytes: 0,
        route,
        receive_rate: u64::MAX,
    }
}

fn report(placer: &mut TargetPlacer, id: &str, route: RouteKey, mean: u64, time: u64, now: u64) {
    let load = LoadReport {
        occupied: 0,
        limit: 10,
        service_time: Some(ms(mean)),
        ..LoadReport::default()
    };
    placer.report(&id.into(), load, ms(now));
    placer.record_route_time(&id.into(), route, ms(time), ms(now));
}

/// Places one request every 20 ms and returns the fraction at the target `slow`.
/// Only the target that gets the request reports.
fn slow_share(placer: &mut TargetPlacer, slow_time: u64, from: u64, to: u64) -> f64 {
    let route = RouteKey::new("shop", "read");
    let mut slow = 0;
    let mut all = 0;
    for now in (from..to).step_by(20) {
        let id = placer
            .place(&candidates(), &request(route), ms(now))
            .unwrap();
        let time = if id == "slow" { slow_time } else { 100 };
        report(placer, &id, route, time, time, now);
        let outcome = SendOutcome::Served {
            round_trip: ms(1),
            answer_bytes: 0,
        };
        placer.finish(&id, TargetDistance::SameDomain, 0, outcome, ms(now));
        slow += u32::from(id == "slow");
        all += 1;
    }
    f64::from(slow) / f64::from(all)
}

/// Returns a placer that has observed both targets for some seconds.
fn placer(slow_time: u64) -> TargetPlacer {
    let route = RouteKey::new("shop", "read");
    let mut placer = TargetPlacer::new(1);
    for now in (0..6_000).step_by(100) {
        report(&mut placer, "slow", route, slow_time, slow_time, now);
        report(&mut placer, "fast", route, 100, 100, now);
    }
    placer
}

/// Guards against a slow target that costs callers more than a few requests, or
/// that is never tried again.
#[test]
fn slow_target_is_probed_at_a_low_rate() {
    let mut placer = placer(200);
    let share = slow_share(&mut placer, 200, 6_000, 66_000);
    assert!(share > 0.0 && share <= 0.012, "{share}");
}

/// Guards against a target that stays without requests after it became as fast as
/// the others.
#[test]
fn recovered_target_is_used_again() {
    let mut placer = placer(200);
    let before = slow_share(&mut placer, 200, 6_000, 12_000);
    slow_share(&mut placer, 100, 12_000, 42_000);
    let after = slow_share(&mut placer, 100, 42_000, 52_000);
    assert!(before < 0.02 && after > 0.3, "{before} and {after}");
}

/// Guards against requests that are refused, or sent to a dead host again and again,
/// because the only other target is slow. The fast one is used again after its
/// return.
#[test]
fn slow_target_replaces_one_that_is_down() {
    let mut placer = placer(200);
    let route = RouteKey::new("shop", "read");
    let mut sent_to_dead = 0;
    for now in (6_000..12_000).step_by(20) {
        let id = placer
            .place(&candidates(), &request(route), ms(now))
            .unwrap();
        let outcome = if id == "fast" {
            sent_to_dead += 1;
            SendOutcome::Down
        } else {
            report(&mut placer, &id, route, 200, 200, now);
            SendOutcome::Served {
                round_trip: ms(1),
                answer_bytes: 0,
            }
        };
        placer.finish(&id, TargetDistance::SameDomain, 0, outcome, ms(now));
    }
    assert!(sent_to_dead <= 5, "{sent_to_dead}");
    let share = slow_share(&mut placer, 200, 16_000, 22_000);
    assert!(share < 0.1, "{share}");
}

/// Guards against a panic because of the service time that a faulty owner reports: its
/// target is avoided.
#[test]
fn absurd_service_time_is_bounded() {
    let mut placer = placer(100);
    let route = RouteKey::new("shop", "read");
    let absurd = Duration::from_micros(u64::MAX);
    for now in (6_000..20_000).step_by(100) {
        placer.record_route_time(&"slow".into(), route, absurd, ms(now));
        placer.record_route_time(&"fast".into(), route, Duration::from_nanos(1), ms(now));
        let chosen = placer.place(&candidates(), &request(route), ms(now));
        if now > 10_000 {
            assert_eq!(chosen.unwrap(), "fast");
        }
    }
}

/// Guards against a target that looks slow only because it runs an expensive route:
/// the times of one route count.
#[test]
fn expensive_requests_do_not_make_a_target_slow() {
    let cheap = RouteKey::new("shop", "read");
    let expensive = RouteKey::new("shop", "report");
    let mut placer = TargetPlacer::new(1);
    let mut far = candidates();
    far[1].distance = TargetDistance::SameRegion;
    for now in (0..8_000).step_by(100) {
        // The target `slow` is a little faster, and runs expensive requests.
        report(&mut placer, "slow", cheap, 280, 50, now);
        report(&mut placer, "fast", cheap, 120, 100, now);
        report(&mut placer, "slow", expensive, 280, 300, now);
        report(&mut placer, "fast", expensive, 120, 600, now);
    }
    let chosen = placer.place(&far, &request(cheap), ms(8_000)).unwrap();
    assert_eq!(chosen, "slow");
}

/// Runs requests at an owner, with a number of them at a time that goes up and down,
/// and returns the limit that it finds. `time` gives the service time in ms.
fn efficient_limit<F>(mut time: F) -> Option<u32>
where
    F: FnMut(u32, u32) -> u64,
{
    let mut admission = LocalAdmission::new(SLOTS);
    let route = SmolStr::new_static("read");
    let request = AdmissionRequest {
        route: route.clone(),
        objective: ms(500),
        time_left: ms(500),
        priority: 0,
        urgency: 0,
        is_call: false,
        is_late: false,
    };
    let mut now = Duration::ZERO;
    for run in 0..8_000 {
        let step = run % (2 * SLOTS);
        let wanted = step.min(2 * SLOTS - 1 - step) + 1;
        while admission.running() < wanted {
            now += ms(1);
            admission.decide(&request, now);
        }
        while admission.running() >= wanted {
            let running = admission.running();
            admission.finish(&route, Some(ms(time(running, run))));
        }
    }
    admission.report(now).efficient_limit
}

/// Guards against a limit that is not found, or found where more requests increase
/// the throughput.
#[test]
fn limit_is_where_throughput_stops_to_grow() {
    let with_knee = efficient_limit(|running, _| 100 + 20 * u64::from(running.saturating_sub(6)));
    assert!(
        with_knee.is_some_and(|limit| (6..=9).contains(&limit)),
        "{with_knee:?}"
    );
    assert_eq!(efficient_limit(|_, _| 100), None);
}

/// Guards against slow periods that are taken for a limit.
#[test]
fn slow_periods_are_not_a_limit() {
    let limit = efficient_limit(|_, run| if run % 700 < 105 { 250 } else { 100 });
    assert_eq!(limit, None);
}
