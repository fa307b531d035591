use std::time::Duration;

use radishgauge_mesh::AdmissionDecision;
use radishgauge_mesh::AdmissionRequest;
use radishgauge_mesh::LocalAdmission;
use radishgauge_mesh::admission::CloseReason;
use radishgauge_mesh::admission::RefuseReason;
use radishgauge_mesh::admission::WaitKey;
use radishgauge_mesh::call_pressure::CalledQueue;
use smol_str::SmolStr;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(route: &str, objective: u64, priority: u32) -> AdmissionRequest {
    AdmissionRequest {
        route: route.into(),
        objective: ms(objective),
        time_left: ms(objective * 4),
        priority,
        urgency: priority,
        is_call: false,
        is_late: false,
    }
}

/// Returns the admission control of a target whose runs take 100 ms.
fn admission(limit: u32) -> LocalAdmission {
    let mut admission = LocalAdmission::new(limit);
    for route in ["read", "order", "call"] {
        assert_eq!(
            admission.decide(&request(route, 1000, 1), ms(0)),
            AdmissionDecision::Run
        );
        admission.finish(&SmolStr::new(route), Some(ms(100)));
    }
    admission
}

fn wait_key(admission: &mut LocalAdmission, request: &AdmissionRequest) -> WaitKey {
    match admission.decide(request, ms(0)) {
        AdmissionDecision::Wait(key) => key,
        other => panic!("{other:?}"),
    }
}

/// Guards against more concurrent requests than the limit of the target.
#[test]
fn concurrent_runs_are_limited() {
    let mut admission = admission(2);
    let read = request("read", 1000, 1);
    assert_eq!(admission.decide(&read, ms(0)), AdmissionDecision::Run);
    assert_eq!(admission.decide(&read, ms(0)), AdmissionDecision::Run);
    let key = wait_key(&mut admission, &read);
    assert_eq!(admission.decide_next(ms(1)), None);
    admission.finish(&SmolStr::new("read"), Some(ms(100)));
    let decided = admission.decide_next(ms(1)).unwrap();
    assert_eq!((decided.key, decided.decision), (key, Ok(())));
    assert_eq!(admission.running(), 2);
}

/// Guards against a call of a running request that waits behind new requests. It
/// has a shorter objective, so it must run first.
#[test]
fn request_with_shortest_objective_runs_first() {
    let mut admission = admission(1);
    assert_eq!(
        admission.decide(&request("read", 1000, 1), ms(0)),
        AdmissionDecision::Run
    );
    let read = wait_key(&mut admission, &request("read", 1000, 2));
    let order = wait_key(&mut admission, &request("order", 1000, 1));
    let call = wait_key(&mut admission, &request("call", 600, 1));
    let mut order_of_runs = Vec::new();
    for _ in 0..3 {
        admission.finish(&SmolStr::new("read"), Some(ms(100)));
        order_of_runs.push(admission.decide_next(ms(1)).unwrap().key);
    }
    assert_eq!(order_of_runs, [call, order, read]);
}

/// Guards against requests that wait although they cannot be answered in time,
/// and against refusals without a `retry_after`.
#[test]
fn late_request_is_refused_at_once() {
    let mut admission = admission(1);
    assert_eq!(
        admission.decide(&request("read", 500, 0), ms(0)),
        AdmissionDecision::Run
    );
    let mut refused = None;
    for _ in 0..10 {
        if let AdmissionDecision::Refuse(refusal) =
            admission.decide(&request("read", 500, 0), ms(0))
        {
            refused.get_or_insert((admission.waiting(), refusal));
        }
    }
    let (waiting, refusal) = refused.unwrap();
    // Within 500 ms, a run of 100 ms can follow at most four others.
    assert!((1..=4).contains(&waiting), "{waiting} wait");
    assert_eq!(refusal.reason, RefuseReason::Full);
    assert!(refusal.retry_after.unwrap() > Duration::ZERO);
}

/// Guards against runs at a target that is draining or down, or whose failure
/// domain is evacuated, including those of requests that were already waiting.
#[test]
fn nothing_runs_at_a_closed_target() {
    for reason in [
        CloseReason::Draining,
        CloseReason::DomainOut,
        CloseReason::Down,
        CloseReason::Stopping,
    ] {
        let mut admission = admission(1);
        let read = request("read", 1000, 1);
        assert_eq!(admission.decide(&read, ms(0)), AdmissionDecision::Run);
        let key = wait_key(&mut admission, &read);
        admission.set_closed(Some(reason));
        let decided = admission.decide_next(ms(1)).unwrap();
        assert_eq!(decided.key, key);
        assert_eq!(
            decided.decision.unwrap_err().reason,
            RefuseReason::Closed(reason)
        );
        assert!(matches!(
            admission.decide(&read, ms(1)),
            AdmissionDecision::Refuse(_)
        ));
    }
}

/// Guards against runs of requests that will time out before the answer.
#[test]
fn expired_request_does_not_run() {
    let mut admission = admission(1);
    assert_eq!(
        admission.decide(&request("read", 1000, 1), ms(0)),
        AdmissionDecision::Run
    );
    wait_key(&mut admission, &request("read", 1000, 1));
    admission.finish(&SmolStr::new("read"), Some(ms(100)));
    let decided = admission.decide_next(ms(3990)).unwrap();
    assert_eq!(decided.decision.unwrap_err().reason, RefuseReason::Expired);
    assert_eq!(admission.running(), 0);
}

/// Guards against a slot that is lost when a caller disconnects while its
/// request waits.
#[test]
fn abandoned_request_is_removed_from_queue() {
    let mut admission = admission(1);
    let read = request("read", 1000, 1);
    assert_eq!(admission.decide(&read, ms(0)), AdmissionDecision::Run);
    let key = wait_key(&mut admission, &read);
    assert!(admission.remove_waiting(key));
    assert!(!admission.remove_waiting(key));
    admission.finish(&SmolStr::new("read"), Some(ms(100)));
    assert_eq!(admission.decide_next(ms(1)), None);
    assert_eq!(admission.decide(&read, ms(1)), AdmissionDecision::Run);
}

/// Guards against more requests to a cold target than its declared rate, and
/// against requests that wait for it without end: the timer gives the time of
/// the next run.
#[test]
fn rate_of_cold_target_is_limited() {
    let mut admission = admission(18);
    admission.cold_mut().set_cold(ms(10_000), 5.0);
    let read = request("read", 2000, 0);
    let now = ms(1_500);
    for _ in 0..5 {
        assert_eq!(admission.decide(&read, now), AdmissionDecision::Run);
        admission.finish(&SmolStr::new("read"), Some(ms(100)));
    }
    let AdmissionDecision::Wait(key) = admission.decide(&read, now) else {
        panic!("the sixth request of a second must wait");
    };
    assert_eq!(admission.decide_next(now), None);
    let next = admission.next_timer(now).unwrap();
    assert_eq!(next, ms(2_500));
    assert_eq!(admission.decide_next(next).unwrap().key, key);
}

/// Guards against requests that wait for a cold target until their time has passed, and
/// against a refusal of those that can be served: after a start, they wait in the hope
/// that the target is warm.
#[test]
fn requests_that_a_cold_target_cannot_serve_in_time_are_refused() {
    let started = ms(0);
    let mut admission = LocalAdmission::after_start(18, started);
    admission.cold_mut().assume_cold(ms(10_000), 5.0, started);
    let patient = wait_key(&mut admission, &request("read", 4_000, 0));
    let urgent = wait_key(&mut admission, &request("read", 500, 0));
    assert_eq!(admission.decide_next(ms(50)), None);
    admission.cold_mut().set_cold(ms(10_000), 5.0);
    let refused = admission.refuse_overdue(ms(50));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].key, urgent);
    let refusal = refused[0].decision.unwrap_err();
    assert_eq!(refusal.reason, RefuseReason::Cold);
    assert_eq!(refusal.retry_after, Some(ms(950)));
    assert_eq!(admission.next_timer(ms(50)), Some(ms(1_000)));
    let next = admission.decide_next(ms(1_000)).unwrap();
    assert_eq!((next.key, next.decision), (patient, Ok(())));
}

/// Guards against wasted runs: a call that a running request waits for is
/// admitted although the target is busy, and runs before callers' requests.
#[test]
fn call_waits_for_next_slot_before_other_requests() {
    let mut admission = admission(1);
    let other = request("read", 1000, 0);
    assert_eq!(admission.decide(&other, ms(0)), AdmissionDecision::Run);
    let first = wait_key(&mut admission, &other);
    let call = AdmissionRequest {
        time_left: ms(400),
        // The request behind the call is as urgent as the one that waits.
        urgency: 0,
        is_call: true,
        ..request("call", 100, 2)
    };
    // A request with this objective is refused, as all slots are busy.
    let without_run = AdmissionRequest {
        is_call: false,
        ..call.clone()
    };
    assert!(matches!(
        admission.decide(&without_run, ms(300)),
        AdmissionDecision::Refuse(_)
    ));
    let AdmissionDecision::Wait(key) = admission.decide(&call, ms(300)) else {
        panic!("the call must wait");
    };
    admission.finish(&SmolStr::new("read"), Some(ms(100)));
    assert_eq!(admission.decide_next(ms(350)).unwrap().key, key);
    admission.finish(&SmolStr::new("call"), Some(ms(20)));
    assert_eq!(admission.decide_next(ms(400)).unwrap().key, first);
}

/// Guards against a more urgent request that waits behind less urgent ones with
/// shorter objectives, and against a less urgent one that waits for ever: when it
/// has waited as long as it may, it gets every fourth slot.
#[test]
fn urgent_requests_run_first_and_overdue_ones_now_and_then() {
    let mut admission = admission(1);
    let urgent = request("order", 1000, 0);
    assert_eq!(admission.decide(&urgent, ms(0)), AdmissionDecision::Run);
    let less_urgent = wait_key(&mut admission, &request("read", 600, 2));
    let keys: Vec<WaitKey> = (0..5).map(|_| wait_key(&mut admission, &urgent)).collect();
    assert_eq!(admission.report(ms(0)).waiting_priority, Some(0));
    let mut order_of_runs = Vec::new();
    for run in 1..=6 {
        admission.finish(&SmolStr::new("order"), Some(ms(100)));
        let decided = admission.decide_next(ms(run * 150)).unwrap();
        assert_eq!(decided.decision, Ok(()));
        order_of_runs.push(decided.key);
    }
    let expected = [keys[0], keys[1], keys[2], less_urgent, keys[3], keys[4]];
    assert_eq!(order_of_runs, expected);
    assert_eq!(admission.report(ms(900)).waiting_priority, None);
}

/// Guards against a call of a less urgent request that goes before a more urgent
/// request only because it is a call.
#[test]
fn call_competes_with_the_urgency_of_the_request_behind_it() {
    let mut admission = admission(1);
    let urgent = request("order", 1000, 0);
    assert_eq!(admission.decide(&urgent, ms(0)), AdmissionDecision::Run);
    let call = AdmissionRequest {
        urgency: 1,
        is_call: true,
        ..request("call", 1000, 0)
    };
    let call = wait_key(&mut admission, &call);
    let order = wait_key(&mut admission, &urgent);
    let equal = wait_key(&mut admission, &request("read", 500, 1));
    let mut order_of_runs = Vec::new();
    for _ in 0..3 {
        admission.finish(&SmolStr::new("order"), Some(ms(100)));
        order_of_runs.push(admission.decide_next(ms(1)).unwrap().key);
    }
    assert_eq!(order_of_runs, [order, call, equal]);
}

/// Guards against late requests that take the last free slot or a slot for which
/// another request waits, that wait at the owner, or that use up a limited rate.
#[test]
fn late_request_runs_only_in_a_spare_slot() {
    let late = AdmissionRequest {
        is_late: true,
        ..request("read", 1000, 1)
    };
    let is_run = |admission: &mut LocalAdmission| {
        let decision = admission.decide(&late, ms(0));
        assert!(!matches!(decision, AdmissionDecision::Wait(_)));
        decision == AdmissionDecision::Run
    };
    let mut admission = admission(3);
    assert!(is_run(&mut admission));
    assert!(is_run(&mut admission));
    assert!(!is_run(&mut admission), "the last slot stays free");
    assert_eq!(admission.running(), 2);
    let urgent = request("order", 1000, 0);
    assert_eq!(admission.decide(&urgent, ms(0)), AdmissionDecision::Run);
    wait_key(&mut admission, &urgent);
    admission.finish(&SmolStr::new("read"), Some(ms(100)));
    admission.finish(&SmolStr::new("read"), Some(ms(100)));
    assert!(!is_run(&mut admission), "another request waits");
    assert!(admission.decide_next(ms(0)).is_some());
    admission.finish(&SmolStr::new("order"), Some(ms(100)));
    assert!(is_run(&mut admission));
    let mut cold = self::admission(3);
    cold.cold_mut().set_cold(ms(10_000), 5.0);
    assert!(!is_run(&mut cold), "the rate is limited");
}

/// Guards against late runs whose calls take scarce capacity of another service from
/// requests in time, and against late runs that are cut off at their time limit.
#[test]
fn late_request_does_not_run_when_its_calls_would_wait() {
    let mut admission = admission(9);
    let late = |time_left| AdmissionRequest {
        is_late: true,
        time_left: ms(time_left),
        ..request("read", 1000, 1)
    };
    let route = SmolStr::new("read");
    for call in 0..5 {
        admission.record_call(&route, CalledQueue::Waiting, ms(call));
    }
    let decision = admission.decide(&late(4_000), ms(10));
    assert!(matches!(decision, AdmissionDecision::Refuse(_)));
    let in_time = request("read", 1000, 1);
    assert_eq!(admission.decide(&in_time, ms(10)), AdmissionDecision::Run);
    // No call has met a queue lately.
    let decision = admission.decide(&late(4_000), ms(3_000));
    assert_eq!(decision, AdmissionDecision::Run);
    // A run takes 100 ms on average.
    let decision = admission.decide(&late(190), ms(3_000));
    assert!(matches!(decision, AdmissionDecision::Refuse(_)));
}

/// Guards against a report of a priority that waits no longer, or that is missing,
/// however the requests leave the queue.
#[test]
fn report_tells_the_most_urgent_of_those_that_still_wait() {
    let mut admission = admission(1);
    let urgency = |urgency| request("read", 1000, urgency);
    assert_eq!(admission.decide(&urgency(1), ms(0)), AdmissionDecision::Run);
    let first = wait_key(&mut admission, &urgency(0));
    let keys = [1, 1, 2, 2].map(|number| wait_key(&mut admission, &urgency(number)));
    let reported = |admission: &LocalAdmission| admission.report(ms(0)).waiting_priority;
    assert_eq!(reported(&admission), Some(0));
    // One runs.
    admission.finish(&SmolStr::new("read"), Some(ms(100)));
    assert_eq!(admission.decide_next(ms(0)).unwrap().key, first);
    assert_eq!(reported(&admission), Some(1));
    // The callers of two disconnect, of one twice.
    assert!(admission.remove_waiting(keys[0]));
    assert!(!admission.remove_waiting(keys[0]));
    assert_eq!(reported(&admission), Some(1));
    assert!(admission.remove_waiting(keys[1]));
    assert_eq!(reported(&admission), Some(2));
    // The others are refused.
    admission.set_closed(Some(CloseReason::Draining));
    while admission.decide_next(ms(0)).is_some() {}
    assert_eq!(reported(&admission), None);
}
