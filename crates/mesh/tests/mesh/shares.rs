//! Plays requests of several priorities that compete for too few targets.

use std::time::Duration;

use radishgauge_mesh::CallPressure;
use radishgauge_mesh::RequestKind;
use radishgauge_mesh::ServedShares;
use radishgauge_mesh::call_pressure::CalledQueue;
use smol_str::SmolStr;

use crate::contended_fleet::CallPlan;
use crate::contended_fleet::Fleet;
use crate::contended_fleet::FleetOutcome;
use crate::contended_fleet::FleetPlan;
use crate::contended_fleet::FleetRules;
use crate::contended_fleet::KindPlan;
use crate::contended_fleet::ServicePlan;

const SHARES: FleetRules = FleetRules {
    shares: true,
    waiting: false,
    return_order: false,
    refusals: false,
};

/// The rules of earlier versions, the baseline.
const BEFORE: FleetRules = FleetRules {
    shares: false,
    waiting: false,
    return_order: false,
    refusals: false,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn kind(name: &'static str, weight: f64, priority: u32, objective: u64) -> KindPlan {
    KindPlan {
        name,
        service: 0,
        weight,
        priority,
        objective: ms(objective),
        time_limit: ms(objective * 6),
        run: ms(200),
        call: None,
    }
}

/// By how much a less urgent kind may be served more often, as a difference of
/// served fractions.
const MARGIN: f64 = 0.05;

/// Returns the served fraction of each kind.
fn served(outcome: &FleetOutcome) -> [f64; 5] {
    std::array::from_fn(|kind| outcome.kinds[kind].served())
}

/// Returns a load of `rate` requests a second on 12 targets of 9 slots, which serve
/// 540 requests a second of 200 ms.
fn plan(kinds: Vec<KindPlan>, rate: fn(Duration) -> f64) -> FleetPlan {
    let service = ServicePlan {
        targets: 12,
        slots: 9,
    };
    FleetPlan {
        services: vec![service, service],
        senders: 16,
        kinds,
        rate,
        length: Duration::from_secs(16),
        callers_return: false,
    }
}

/// Returns three kinds of requests, the less urgent with the longer objectives, and
/// the least urgent ones also as calls of runs elsewhere.
fn competing_kinds() -> Vec<KindPlan> {
    let call = CallPlan {
        service: 0,
        objective: ms(600),
        run: ms(200),
    };
    vec![
        kind("pay", 0.3, 0, 800),
        kind("read", 0.25, 1, 800),
        kind("list", 0.15, 2, 1_000),
        KindPlan {
            service: 1,
            call: Some(call),
            ..kind("export", 0.15, 2, 1_000)
        },
        KindPlan {
            service: 1,
            ..kind("open", 0.15, 0, 800)
        },
    ]
}

/// Guards against urgent requests that lose more than less urgent ones, directly or
/// by calls, against kinds that starve, and against runs that are wasted because
/// their calls are refused.
///
/// Load: 1,000 requests a second of five kinds; 850 of them need a service that
/// serves 540 a second.
#[test]
fn urgent_kinds_lose_least_and_none_starves() {
    for seed in 1..=3 {
        let plan = plan(competing_kinds(), |_| 1_000.0);
        let before = Fleet::play(&plan, BEFORE, seed);
        let ours = Fleet::play(&plan, SHARES, seed);
        let [pay, read, list, export, open] = served(&ours);
        let context = format!("seed {seed}: {ours:?}");
        assert!(pay >= 0.97 && open >= 0.97, "{context}");
        assert!(pay + MARGIN >= read, "{context}");
        assert!(
            read + MARGIN >= list && read + MARGIN >= export,
            "{context}"
        );
        let all = ours.all().served();
        assert!(list >= all / 4.0 && export >= all / 4.0, "{context}");
        assert_eq!(ours.all().failed, 0, "{context}");
        // The calls of the least urgent kind passed all other requests.
        let [_, read_before, _, export_before, _] = served(&before);
        assert!(export_before > read_before + 0.5, "seed {seed}: {before:?}");
        assert!(
            ours.all().value() + 0.02 >= before.all().value(),
            "{context}"
        );
        assert!(
            ours.refused_offers < before.refused_offers * 4 / 5,
            "{context}"
        );
    }
}

/// Guards against changes for fleets in which nothing competes: requests of one
/// priority are served exactly as before, also in overload, and also if they make
/// calls.
#[test]
fn requests_of_one_priority_are_served_as_before() {
    let mut kinds = competing_kinds();
    for kind in &mut kinds {
        kind.priority = 1;
    }
    for rate in [|_| 500.0, |_| 1_000.0] {
        let plan = plan(kinds.clone(), rate);
        let before = Fleet::play(&plan, BEFORE, 1);
        assert_eq!(Fleet::play(&plan, SHARES, 1), before);
    }
}

/// Guards against capacity that is left unused for the order: below full use, all
/// kinds are served.
#[test]
fn kinds_of_all_priorities_are_served_below_full_use() {
    let plan = plan(competing_kinds(), |_| 540.0);
    let ours = Fleet::play(&plan, SHARES, 1);
    for served in served(&ours) {
        assert!(served >= 0.97, "{ours:?}");
    }
}

/// Guards against a kind that is raised for ever, and against a rare kind that is
/// raised before it has lost anything.
#[test]
fn kind_below_its_floor_competes_as_the_most_urgent() {
    let kind = |route: &str, urgency| RequestKind {
        route: route.into(),
        urgency,
        is_call: false,
    };
    let (urgent, other) = (kind("pay", 0), kind("list", 2));
    let mut shares = ServedShares::default();
    assert_eq!(shares.effective_urgency(&other, ms(0)), 2);
    for request in 0..20 {
        shares.record(&urgent, true, ms(request));
        shares.record(&other, request == 0, ms(request));
    }
    assert_eq!(shares.effective_urgency(&urgent, ms(20)), 0);
    assert_eq!(shares.effective_urgency(&other, ms(20)), 0);
    for request in 20..30 {
        shares.record(&other, true, ms(request));
    }
    assert_eq!(shares.effective_urgency(&other, ms(30)), 2);
    // The urgent kind is not present any more, so that nothing competes with it.
    for request in 60_000..60_020 {
        shares.record(&other, false, ms(request));
    }
    assert_eq!(shares.effective_urgency(&other, ms(120_000)), 2);
}

/// Guards against a failure of the feedback: if the owners with waiting urgent
/// requests end or are cut off, what they reported stops to hold back others.
#[test]
fn calls_are_contested_only_as_long_as_answers_say_so() {
    let mut pressure = CallPressure::default();
    let route = SmolStr::new("export");
    pressure.record(&route, CalledQueue::MoreUrgent, ms(0));
    assert!(!pressure.is_high(&route, ms(0)), "one call is no evidence");
    for call in 1..5 {
        pressure.record(&route, CalledQueue::MoreUrgent, ms(call * 100));
    }
    assert!(pressure.is_high(&route, ms(400)));
    assert!(!pressure.is_high(&SmolStr::new("read"), ms(400)));
    // No further call is answered.
    assert!(!pressure.is_high(&route, ms(2_400)));
}
