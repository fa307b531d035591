use std::time::Duration;

use radishgauge_mesh::LinkLoad;
use radishgauge_mesh::LoadReport;
use radishgauge_mesh::PlaceRequest;
use radishgauge_mesh::RouteKey;
use radishgauge_mesh::TargetPlacer;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::PlacementError;
use radishgauge_mesh::placement::SendOutcome;
use radishgauge_mesh::placement::TargetDistance;
use smol_str::SmolStr;

const REQUEST: PlaceRequest = PlaceRequest {
    objective: Duration::from_millis(500),
    patience: Duration::from_millis(500),
    priority: 0,
    body_bytes: 0,
    route: RouteKey::UNKNOWN,
    receive_rate: u64::MAX,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn candidate(id: &str, distance: TargetDistance) -> PlaceCandidate {
    PlaceCandidate {
        id: id.into(),
        distance,
        capacity: 10,
        is_scarce: false,
    }
}

fn candidates() -> Vec<PlaceCandidate> {
    vec![
        candidate("far", TargetDistance::OtherRegion),
        candidate("region", TargetDistance::SameRegion),
        candidate("domain", TargetDistance::SameDomain),
    ]
}

fn load(occupied: u32, wait: u64, service_time: u64) -> LoadReport {
    LoadReport {
        occupied,
        limit: 10,
        wait: ms(wait),
        service_time: Some(ms(service_time)),
        cold: false,
        efficient_limit: None,
        waiting_priority: None,
    }
}

/// Returns a placer with a report from each target: the given one, or else one of
/// an idle target.
fn placer(loads: &[(&str, LoadReport)]) -> TargetPlacer {
    let mut placer = TargetPlacer::new(1);
    for candidate in candidates() {
        let given = loads.iter().find(|(id, _)| *id == candidate.id);
        let load = given.map_or(load(0, 0, 100), |(_, load)| *load);
        placer.report(&candidate.id, load, ms(0));
    }
    placer
}

fn place(placer: &mut TargetPlacer, now: u64) -> Result<SmolStr, PlacementError> {
    placer.place(&candidates(), &REQUEST, ms(now))
}

/// Guards against costly bytes to other failure domains while a target in the
/// same one has capacity.
#[test]
fn nearest_target_with_capacity_is_chosen() {
    let mut placer = placer(&[]);
    for _ in 0..10 {
        assert_eq!(place(&mut placer, 1).unwrap(), "domain");
    }
}

/// Guards against requests that wait at a near target although a more distant one
/// would answer within the objective, and against a more distant choice than
/// needed.
#[test]
fn distant_target_is_chosen_when_near_ones_are_late() {
    let full = load(20, 250, 100);
    let mut placer = placer(&[("domain", full)]);
    assert_eq!(place(&mut placer, 1).unwrap(), "region");
    placer.report(&"region".into(), full, ms(1));
    assert_eq!(place(&mut placer, 2).unwrap(), "far");
}

/// Guards against long bodies that are sent to another region to save little
/// time.
#[test]
fn long_body_is_sent_to_near_target() {
    let busy = load(14, 140, 100);
    let mut placer = placer(&[("domain", busy), ("region", busy)]);
    let long = PlaceRequest {
        body_bytes: 60_000,
        ..REQUEST
    };
    assert_eq!(placer.place(&candidates(), &long, ms(1)).unwrap(), "domain");
}

/// Guards against callers that wait although no target can answer in time: the
/// request must fail at once, with a `retry_after`.
#[test]
fn request_fails_when_all_targets_are_full() {
    let full = load(60, 600, 100);
    let mut placer = placer(&[("domain", full), ("region", full), ("far", full)]);
    let Err(PlacementError::Full { retry_after }) = place(&mut placer, 0) else {
        panic!("a full service must refuse");
    };
    assert!(retry_after > ms(100) && retry_after < ms(600));
    // The reported load decays, so the targets are tried again.
    assert!(place(&mut placer, 2_000).is_ok());
}

/// Guards against a target that is still chosen while it fails requests.
#[test]
fn failing_target_is_avoided_and_tried_again_later() {
    let mut placer = placer(&[]);
    for tick in 0..20 {
        let id = place(&mut placer, tick).unwrap();
        if id != "domain" {
            break;
        }
        placer.finish(
            &id,
            TargetDistance::SameDomain,
            0,
            SendOutcome::Failed,
            ms(tick),
        );
    }
    assert_eq!(place(&mut placer, 20).unwrap(), "region");
    assert_eq!(place(&mut placer, 20_000).unwrap(), "domain");
}

/// Guards against a new target that gets no requests because it has not reported
/// yet.
#[test]
fn target_without_report_is_chosen() {
    let mut placer = placer(&[]);
    let mut all = candidates();
    all.push(candidate("new", TargetDistance::SameDomain));
    let chosen: Vec<_> = (0..20)
        .map(|_| placer.place(&all, &REQUEST, ms(1)).unwrap())
        .collect();
    assert!(chosen.iter().any(|id| id == "new"));
}

/// Guards against a target that was slow for a while and is never chosen again.
#[test]
fn slow_target_is_tried_again_later() {
    let mut placer = TargetPlacer::new(1);
    let pair = [
        candidate("slow", TargetDistance::SameDomain),
        candidate("fast", TargetDistance::SameDomain),
    ];
    placer.report(&"slow".into(), load(0, 0, 400), ms(0));
    let mut chosen = Vec::new();
    for tick in 0..40 {
        let now = tick * 100;
        placer.report(&"fast".into(), load(0, 0, 100), ms(now));
        let id = placer.place(&pair, &REQUEST, ms(now)).unwrap();
        placer.finish(
            &id,
            TargetDistance::SameDomain,
            0,
            SendOutcome::Served {
                round_trip: ms(1),
                answer_bytes: 0,
            },
            ms(now),
        );
        chosen.push((now, id));
    }
    let slow: Vec<_> = chosen.iter().filter(|(_, id)| id == "slow").collect();
    assert!(slow.iter().all(|(now, _)| *now > 2_000), "{slow:?}");
    assert!(!slow.is_empty());
}

/// Guards against requests to a daemon that accepts no connections while there is
/// another target. Without another, it is tried nevertheless.
#[test]
fn target_that_is_down_is_last_choice() {
    let mut placer = placer(&[]);
    let id = place(&mut placer, 1).unwrap();
    placer.finish(&id, TargetDistance::SameDomain, 0, SendOutcome::Down, ms(1));
    assert_eq!(place(&mut placer, 2).unwrap(), "region");
    let only = [candidate("domain", TargetDistance::SameDomain)];
    assert_eq!(placer.place(&only, &REQUEST, ms(2)).unwrap(), "domain");
}

/// Guards against a placement without any candidate.
#[test]
fn placement_without_candidates_fails() {
    let mut placer = placer(&[]);
    assert_eq!(
        placer.place(&[], &REQUEST, ms(1)),
        Err(PlacementError::NoTarget)
    );
}

/// Guards against long bodies that queue on the full link of a near host until
/// nothing arrives there in time. Short requests are still sent there.
#[test]
fn long_bodies_avoid_host_with_full_link() {
    let mut placer = placer(&[]);
    let long = PlaceRequest {
        body_bytes: 280_000,
        ..REQUEST
    };
    for tick in 0..10 {
        let id: SmolStr = "domain".into();
        let slow = SendOutcome::Served {
            round_trip: ms(1_500),
            answer_bytes: 0,
        };
        placer.finish(
            &id,
            TargetDistance::SameDomain,
            long.body_bytes,
            slow,
            ms(tick),
        );
    }
    let chosen = placer.place(&candidates(), &long, ms(10)).unwrap();
    assert_eq!(chosen, "region");
    assert_eq!(place(&mut placer, 10).unwrap(), "domain");
    let only = [candidate("domain", TargetDistance::SameDomain)];
    let refused = placer.place(&only, &long, ms(10));
    assert!(
        matches!(refused, Err(PlacementError::Full { .. })),
        "{refused:?}"
    );
    // The link is tried again after a time.
    assert!(placer.place(&only, &long, ms(6_000)).is_ok());
}

/// Records an answer with a delay in ms that the owner does not account for.
fn finish_delayed(placer: &mut TargetPlacer, id: &str, delay: u64, now: u64) {
    let outcome = SendOutcome::Served {
        round_trip: ms(delay),
        answer_bytes: 0,
    };
    placer.finish(&id.into(), TargetDistance::SameDomain, 0, outcome, ms(now));
}

/// Guards against a host that lacks processor time but gets all requests of its
/// failure domain because its target is idle.
#[test]
fn overloaded_host_gets_fewer_requests() {
    let mut placer = placer(&[]);
    for now in 1..4 {
        if place(&mut placer, now).unwrap() == "domain" {
            finish_delayed(&mut placer, "domain", 300, now);
        }
    }
    assert_eq!(place(&mut placer, 6).unwrap(), "region");
    // The host is tried again after some seconds, and remains the first choice
    // while it answers promptly.
    for now in [4000, 4001, 4002] {
        assert_eq!(place(&mut placer, now).unwrap(), "domain");
        finish_delayed(&mut placer, "domain", 1, now);
    }
}

/// Guards against overloaded hosts that get even more requests and therefore
/// answer none in time: requests must be refused at once instead.
#[test]
fn request_fails_when_all_hosts_are_overloaded() {
    let mut placer = placer(&[]);
    let timed_out = SendOutcome::TimedOut { after: ms(2000) };
    for now in 1..20 {
        if let Ok(chosen) = place(&mut placer, now) {
            let all = candidates();
            let found = all.iter().find(|candidate| candidate.id == chosen);
            let distance = found.unwrap().distance;
            placer.finish(&chosen, distance, 0, timed_out, ms(now));
        }
    }
    assert!(matches!(
        place(&mut placer, 20),
        Err(PlacementError::Full { .. })
    ));
    assert!(place(&mut placer, 5000).is_ok());
}

/// Guards against senders that pay the connection timeout for the same dead host
/// again and again: the pauses grow until the host answers.
#[test]
fn pauses_of_unreachable_host_grow() {
    let mut placer = TargetPlacer::new(1);
    let one = [candidate("domain", TargetDistance::SameDomain)];
    let others = [
        candidate("domain", TargetDistance::SameDomain),
        candidate("far", TargetDistance::OtherRegion),
    ];
    let mut timeouts = 0;
    for tick in 0..100 {
        let now = ms(tick * 100);
        let id = placer.place(&others, &REQUEST, now).unwrap();
        let outcome = if id == "domain" {
            timeouts += 1;
            SendOutcome::Down
        } else {
            SendOutcome::Cancelled
        };
        placer.finish(&id, TargetDistance::SameDomain, 0, outcome, now);
    }
    assert!(timeouts <= 6, "{timeouts} timeouts in 10 s");
    // After it has answered, the next pause is short again.
    placer.report(&one[0].id, load(0, 0, 100), ms(20_000));
    let id = placer.place(&one, &REQUEST, ms(20_000)).unwrap();
    placer.finish(
        &id,
        TargetDistance::SameDomain,
        0,
        SendOutcome::Down,
        ms(20_000),
    );
    assert_eq!(
        placer.place(&others, &REQUEST, ms(20_500)).unwrap(),
        "domain"
    );
}

/// Guards against requests that displace others which may be handled in this
/// region only: a busy target is left to them, although another one is farther.
/// While it is idle, the near target is used.
#[test]
fn busy_target_is_left_to_requests_that_need_it() {
    let call = PlaceRequest {
        objective: ms(120),
        patience: ms(300),
        ..REQUEST
    };
    let candidates = [
        PlaceCandidate {
            is_scarce: true,
            ..candidate("domain", TargetDistance::SameDomain)
        },
        candidate("far", TargetDistance::OtherRegion),
    ];
    for (occupied, expected) in [(0, "domain"), (6, "domain"), (10, "far")] {
        let mut placer = placer(&[("domain", load(occupied, 0, 30)), ("far", load(0, 0, 30))]);
        let id = placer.place(&candidates, &call, ms(1)).unwrap();
        assert_eq!(id, expected, "{occupied} of 10 slots occupied");
    }
}

/// Guards against requests to a target whose slots are free only because its owner
/// keeps to a declared rate limit, while another target has room.
#[test]
fn target_with_declared_rate_limit_is_full_with_free_slots() {
    let limited = LoadReport {
        limit: 2,
        ..load(8, 0, 100)
    };
    let place = |report| {
        let mut placer = placer(&[("domain", report)]);
        placer.place(&candidates(), &REQUEST, ms(0)).unwrap()
    };
    assert_eq!(place(load(8, 0, 100)), "domain");
    assert_eq!(place(limited), "region");
}

/// Guards against long answers that are fetched over the full link of their caller's
/// host although the target on this host could run the request a little later.
#[test]
fn long_answer_stays_on_host_with_full_link() {
    let route = RouteKey::new("shop", "export");
    let candidates = [
        candidate("here", TargetDistance::SameHost),
        candidate("domain", TargetDistance::SameDomain),
    ];
    let place = |receive_rate, answer_bytes| {
        let mut placer = placer(&[("domain", load(0, 0, 100))]);
        placer.report(&"here".into(), load(11, 30, 100), ms(0));
        placer.record_answer_length(route, answer_bytes);
        let request = PlaceRequest {
            route,
            receive_rate,
            ..REQUEST
        };
        placer.place(&candidates, &request, ms(1)).unwrap()
    };
    assert_eq!(place(10_000_000, 90_000), "domain");
    assert_eq!(place(300_000, 90_000), "here");
    // Short answers are placed as before.
    assert_eq!(place(300_000, 9_000), "domain");
}

/// Guards against targets that are all ruled out by the time of long answers on idle
/// links or by the full link of the caller's host, and against a `Retry-After` of hours.
#[test]
fn long_answers_on_idle_links_rule_no_target_out() {
    const LINK_RATE: f64 = 1_250_000.0;
    let route = RouteKey::new("shop", "export");
    let mut placer = placer(&[]);
    placer.record_answer_length(route, 900_000);
    let mut place = |receive_rate, send_rate, now| {
        for candidate in candidates() {
            let id = &candidate.id;
            placer.report(id, load(0, 0, 150), ms(now));
            placer.record_send_rate(id, send_rate, ms(now));
        }
        let request = PlaceRequest {
            objective: ms(800),
            patience: ms(800),
            route,
            receive_rate,
            ..REQUEST
        };
        let chosen = placer.place(&candidates()[1..], &request, ms(now))?;
        let distance = TargetDistance::SameDomain;
        placer.finish(&chosen, distance, 0, SendOutcome::Cancelled, ms(now));
        Ok(chosen)
    };
    assert!(place(u64::MAX, LINK_RATE, 0).is_ok(), "links are idle");
    assert!(place(0, LINK_RATE, 2_000).is_ok(), "the own link is full");
    // Twice as many bytes wait for the links of all targets.
    let retry_after = match place(u64::MAX, LINK_RATE / 3.0, 4_000) {
        Err(PlacementError::Full { retry_after }) => retry_after,
        other => panic!("{other:?}"),
    };
    assert!(retry_after < ms(2_000), "{retry_after:?}");
}

/// Guards against a full link that seems to receive nothing more, and against bodies
/// that are sent to it unasked.
#[test]
fn full_link_still_receives_answers() {
    let mut link = LinkLoad::new(1_000_000.0);
    link.record_received(5_000_000, ms(1_000));
    assert!(link.free_receive_rate(ms(1_000)) >= 50_000.0);
    assert_eq!(link.unoffered_rate(ms(1_000)), 0.0);
}

/// Guards against requests that are sent to queues of more urgent ones, and against
/// urgent requests that are held back by queues which they pass. A report that is
/// too old, or from an owner that does not tell what waits, changes nothing.
#[test]
fn queue_counts_by_the_priority_of_those_who_wait() {
    let queue = |waiting_priority| LoadReport {
        waiting_priority,
        ..load(20, 220, 100)
    };
    let place = |waiting_priority, priority, now| {
        let report = queue(waiting_priority);
        let mut placer = placer(&[("domain", report), ("region", report), ("far", report)]);
        let request = PlaceRequest {
            priority,
            ..REQUEST
        };
        placer.place(&candidates(), &request, ms(now)).is_ok()
    };
    assert!(place(None, 1, 1), "the wait is within the objective");
    assert!(place(Some(1), 1, 1));
    assert!(!place(Some(0), 1, 1), "more urgent requests wait");
    assert!(place(Some(0), 1, 1_200), "the report is old");
    // A wait of 600 ms, which exceeds the objective.
    let long = LoadReport {
        waiting_priority: Some(2),
        ..load(60, 600, 100)
    };
    let mut placer = placer(&[("domain", long), ("region", long), ("far", long)]);
    assert!(placer.place(&candidates(), &REQUEST, ms(1)).is_ok());
}

/// Guards against late requests at targets without a slot to spare, and against a
/// target that is never tried again because its last report is old.
#[test]
fn late_request_is_sent_where_a_slot_is_spare() {
    let mut placer = placer(&[
        ("domain", load(9, 0, 100)),
        ("region", load(3, 0, 100)),
        ("far", load(10, 0, 100)),
    ]);
    let late = |placer: &mut TargetPlacer, now| placer.place_late(&candidates(), &REQUEST, ms(now));
    for _ in 0..5 {
        assert_eq!(late(&mut placer, 1).unwrap(), "region");
    }
    assert_eq!(late(&mut placer, 1), None, "the slots are used since");
    let spare = placer.spare_capacity(&candidates(), ms(1)).unwrap();
    // Five of 30 slots, as two of each target's ten are left free.
    assert!((spare.rate - 50.0).abs() < 1e-6, "{spare:?}");
    assert_eq!(late(&mut placer, 1_200).unwrap(), "domain");
    assert_eq!(placer.spare_capacity(&candidates(), ms(1_200)), None);
}

/// Guards against further offers to an owner that has just refused one, against calls
/// that are held back although owners let them wait, and against a target that is left
/// out for longer than its queue may last.
#[test]
fn target_that_refused_for_lack_of_capacity_is_left_out_for_two_runs() {
    // A wait of 90 ms, which is within the objective but not within a tenth of it.
    let busy = load(18, 90, 100);
    let mut placer = TargetPlacer::new(1);
    let only = [candidate("domain", TargetDistance::SameDomain)];
    let place = |placer: &mut TargetPlacer, request: &PlaceRequest, now| {
        let placed = placer.place(&only, request, ms(now));
        if let Ok(id) = &placed {
            let outcome = SendOutcome::Cancelled;
            placer.finish(id, TargetDistance::SameDomain, 0, outcome, ms(now));
        }
        placed.is_ok()
    };
    placer.report(&only[0].id, busy, ms(0));
    assert!(place(&mut placer, &REQUEST, 1));
    let id = placer.place(&only, &REQUEST, ms(1)).unwrap();
    let full = SendOutcome::Full;
    placer.report(&id, busy, ms(2));
    placer.finish(&id, TargetDistance::SameDomain, 0, full, ms(2));
    assert!(!place(&mut placer, &REQUEST, 3));
    let call = PlaceRequest {
        patience: ms(2_000),
        ..REQUEST
    };
    assert!(place(&mut placer, &call, 3));
    placer.report(&id, busy, ms(203));
    assert!(place(&mut placer, &REQUEST, 204));
}
