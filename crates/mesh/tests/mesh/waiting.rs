//! Plays requests whose callers can wait beyond the objective.

use std::time::Duration;

use radishgauge_mesh::WaitingLine;
use radishgauge_mesh::spare_forecast::SpareCapacity;
use radishgauge_mesh::spare_forecast::SpareForecast;
use radishgauge_mesh::waiting_line::LineRefusal;
use radishgauge_mesh::waiting_line::LineRequest;
use radishgauge_mesh::waiting_line::LineStep;

use crate::contended_fleet::CallPlan;
use crate::contended_fleet::Fleet;
use crate::contended_fleet::FleetPlan;
use crate::contended_fleet::FleetRules;
use crate::contended_fleet::KindPlan;
use crate::contended_fleet::ServicePlan;

const WAITING: FleetRules = FleetRules {
    shares: true,
    waiting: true,
    return_order: false,
    refusals: false,
};

/// The rules without a waiting line, the baseline.
const REFUSING: FleetRules = FleetRules {
    shares: true,
    waiting: false,
    return_order: false,
    refusals: false,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn kind(name: &'static str, weight: f64, priority: u32, objective: u64, limit: u64) -> KindPlan {
    KindPlan {
        name,
        service: 0,
        weight,
        priority,
        objective: ms(objective),
        time_limit: ms(limit),
        run: ms(200),
        call: None,
    }
}

/// A wave with a period of 17 s and an amplitude of 0.55 of its mean, which is 0.9 of
/// what 12 targets of 9 slots serve.
fn wave(now: Duration) -> f64 {
    let phase = now.as_secs_f64() / 17.0 * std::f64::consts::TAU;
    490.0 * (1.0 + 0.55 * phase.sin())
}

fn plan(rate: fn(Duration) -> f64, callers_return: bool) -> FleetPlan {
    let service = ServicePlan {
        targets: 12,
        slots: 9,
    };
    FleetPlan {
        services: vec![service],
        senders: 24,
        kinds: vec![
            kind("pay", 0.3, 0, 800, 4_000),
            kind("read", 0.4, 1, 800, 6_400),
            kind("list", 0.3, 2, 1_000, 8_000),
        ],
        rate,
        length: Duration::from_secs(36),
        callers_return,
    }
}

/// Bursts of 3 s in each 12 s with 1.9 times the rate that is served, and 0.8 times it
/// between them.
fn bursts(now: Duration) -> f64 {
    match now.as_secs() % 12 {
        0..3 => 900.0,
        _ => 400.0,
    }
}

/// Guards against callers that are refused at the peak although they wait until the
/// trough, against waiting requests that make others late, and against tries without
/// bound.
///
/// Load: a wave whose peak is 1.4 times what the targets serve; callers wait 4 to 8 s
/// and return twice.
#[test]
fn callers_that_wait_are_served_in_the_trough() {
    for seed in 1..=2 {
        let plan = plan(wave, true);
        let before = Fleet::play(&plan, REFUSING, seed);
        let ours = Fleet::play(&plan, WAITING, seed);
        let (all, all_before) = (ours.all(), before.all());
        let context = format!("seed {seed}: {ours:?}, baseline {before:?}");
        assert!(all.value() >= all_before.value() + 0.01, "{context}");
        assert!(all.refused * 4 <= all_before.refused * 3, "{context}");
        assert!(all.in_time * 100 >= all_before.in_time * 99, "{context}");
        assert!(ours.given_up * 2 <= ours.waited, "{context}");
        assert!(ours.refused_tries <= ours.waited, "{context}");
        assert!(ours.refused_offers <= before.refused_offers, "{context}");
    }
}

/// Plays a load with several seeds, and returns the number of refused requests, that of
/// requests in time, and the mean value.
fn play_seeds(plan: &FleetPlan, rules: FleetRules, seeds: u64) -> (u32, u32, f64) {
    let mut sums = (0, 0, 0.0);
    for seed in 1..=seeds {
        let all = Fleet::play(plan, rules, seed).all();
        sums.0 += all.refused;
        sums.1 += all.in_time;
        sums.2 += all.value() / seeds as f64;
    }
    sums
}

/// Guards against refused callers that return while nothing is spare although they would
/// also have returned later, and against an order of return that costs others their
/// objective. One seed does not tell the rules apart.
#[test]
fn callers_refused_in_bursts_return_after_them() {
    let ordered = FleetRules {
        return_order: true,
        ..WAITING
    };
    let plan = plan(bursts, true);
    let before = play_seeds(&plan, WAITING, 3);
    let ours = play_seeds(&plan, ordered, 3);
    let context = format!("{ours:?}, baseline {before:?}");
    assert!(ours.0 * 100 <= before.0 * 97, "{context}");
    assert!(ours.1 * 100 >= before.1 * 99, "{context}");
    assert!(ours.2 >= before.2, "{context}");
}

/// Guards against an order of return that makes a long peak worse. The callers of the
/// wave cannot wait for its end, or wait in the line.
#[test]
fn order_of_return_does_no_harm_in_a_wave() {
    let ordered = FleetRules {
        return_order: true,
        ..WAITING
    };
    let plan = plan(wave, true);
    let before = play_seeds(&plan, WAITING, 1);
    let ours = play_seeds(&plan, ordered, 1);
    let context = format!("{ours:?}, baseline {before:?}");
    assert!(ours.1 * 100 >= before.1 * 99, "{context}");
    assert!(ours.2 + 0.005 >= before.2, "{context}");
}

/// Guards against requests in time that become late because late ones take the last
/// free slots just before a burst.
#[test]
fn requests_in_time_find_slots_after_late_ones() {
    let plan = plan(bursts, true);
    let before = Fleet::play(&plan, REFUSING, 1);
    let ours = Fleet::play(&plan, WAITING, 1);
    let context = format!("{ours:?}, baseline {before:?}");
    for (kind, kind_before) in ours.kinds.iter().zip(&before.kinds) {
        assert!(kind.in_time * 100 >= kind_before.in_time * 99, "{context}");
    }
    assert!(
        ours.all().refused * 4 <= before.all().refused * 3,
        "{context}"
    );
}

/// Guards against late runs that are wasted, because their calls meet a service without
/// capacity or because they are cut off at their time limit.
///
/// Load: the wave, where each run makes a call to a service that serves 400 requests a
/// second. It gets 270 calls a second on average and 420 at the peak, and 70 and 110
/// requests of callers.
#[test]
fn late_runs_are_seldom_wasted() {
    let call = CallPlan {
        service: 1,
        objective: ms(500),
        run: ms(180),
    };
    let mut plan = plan(|now| wave(now) * 0.7, true);
    plan.services = vec![
        ServicePlan {
            targets: 15,
            slots: 9,
        },
        ServicePlan {
            targets: 8,
            slots: 9,
        },
    ];
    plan.length = Duration::from_secs(30);
    for kind in &mut plan.kinds {
        kind.weight *= 0.8;
        kind.call = Some(call);
    }
    plan.kinds.push(KindPlan {
        service: 1,
        ..kind("direct", 0.2, 1, 900, 6_000)
    });
    let before = Fleet::play(&plan, REFUSING, 1);
    let ours = Fleet::play(&plan, WAITING, 1);
    let (all, all_before) = (ours.all(), before.all());
    let context = format!("{ours:?}, baseline {before:?}");
    assert!(all.value() >= all_before.value() + 0.02, "{context}");
    assert!(all.failed * 200 <= all.sent, "{context}");
}

/// Guards against callers that wait in vain: in an overload without end, nearly all are
/// refused at once.
#[test]
fn lasting_overload_is_refused_at_once() {
    let plan = plan(|_| 800.0, false);
    let before = Fleet::play(&plan, REFUSING, 1);
    let ours = Fleet::play(&plan, WAITING, 1);
    let context = format!("{ours:?}, baseline {before:?}");
    assert!(ours.given_up * 50 <= ours.all().refused, "{context}");
    assert!(
        ours.all().value() >= before.all().value() - 0.005,
        "{context}"
    );
}

/// Guards against changes for fleets whose time limits are near the objective: they are
/// served exactly as before.
#[test]
fn requests_with_near_time_limits_are_served_as_before() {
    let mut plan = plan(wave, true);
    plan.length = Duration::from_secs(12);
    for kind in &mut plan.kinds {
        kind.time_limit = kind.objective.mul_f64(1.9);
    }
    assert_eq!(
        Fleet::play(&plan, WAITING, 1),
        Fleet::play(&plan, REFUSING, 1)
    );
}

fn line_request(urgency: u32, deadline: u64) -> LineRequest {
    LineRequest {
        urgency,
        objective: ms(1_000),
        deadline: ms(deadline),
        time_limit: ms(5_000),
        run: ms(200),
    }
}

/// Returns a line of a daemon with a share of ten requests a second of spare capacity.
fn line() -> WaitingLine {
    let mut line = WaitingLine::default();
    let spare = SpareCapacity {
        fraction: 0.5,
        rate: 10.0,
    };
    line.record_spare(spare, ms(0));
    line
}

/// Guards against a less urgent request that is sent first, against tries at once after
/// refusals, and against a request that stays in the line without a chance, also if its
/// host was paused meanwhile.
#[test]
fn line_is_ordered_paced_and_left_in_time() {
    let mut line = line();
    let other = line.join(&line_request(1, 5_000), ms(0)).unwrap();
    let urgent = line.join(&line_request(0, 5_000), ms(0)).unwrap();
    assert_eq!(line.next_step(urgent, ms(0)), LineStep::Try);
    assert!(matches!(line.next_step(other, ms(0)), LineStep::Wait(_)));
    let mut now = ms(0);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        line.record_refused(urgent, now);
        let LineStep::Wait(until) = line.next_step(urgent, now) else {
            panic!("a refused request must pause");
        };
        pauses.push((until - now).as_millis());
        now = until;
    }
    assert_eq!(pauses, [50, 100, 200, 400, 800, 800]);
    line.record_served(urgent, now);
    assert_eq!(line.next_step(other, now), LineStep::Try);
    // The time limit, less the run and the way of the refusal.
    assert_eq!(line.next_step(other, ms(4_690)), LineStep::GiveUp);
    assert_eq!(line.next_step(other, ms(60_000)), LineStep::GiveUp);
    line.leave(other);
    assert!(line.is_empty());
}

/// Guards against a request that loads owners with tries until its time limit: after
/// twelve refusals it gives up, and the next request still has all its tries.
#[test]
fn refused_tries_of_a_request_are_bounded() {
    let mut line = line();
    let first = line.join(&line_request(0, 60_000), ms(0)).unwrap();
    let second = line.join(&line_request(1, 60_000), ms(0)).unwrap();
    let mut now = ms(0);
    let mut tries = 0;
    while line.next_step(first, now) != LineStep::GiveUp {
        if line.next_step(first, now) == LineStep::Try {
            line.record_refused(first, now);
            tries += 1;
        }
        now += ms(50);
        assert!(now < ms(50_000), "{tries} tries");
    }
    assert_eq!(tries, 12);
    line.leave(first);
    now += ms(800);
    assert_eq!(line.next_step(second, now), LineStep::Try);
}

/// Guards against requests that wait although their callers do not, although they will
/// not be served in time, or in unbounded numbers.
#[test]
fn line_refuses_at_arrival_what_has_no_chance() {
    let mut line = line();
    let near = LineRequest {
        time_limit: ms(1_500),
        ..line_request(0, 5_000)
    };
    assert_eq!(line.join(&near, ms(0)), Err(LineRefusal::TimeLimit));
    let expired = line.join(&line_request(0, 200), ms(0));
    assert_eq!(expired, Err(LineRefusal::NoChance));
    let mut joined = 0;
    while line.join(&line_request(0, 5_000), ms(0)).is_ok() {
        joined += 1;
    }
    // Ten a second, for 5 s less two runs and the way of the refusal.
    assert_eq!(joined, 45);
    let mut long = self::line();
    while long.join(&line_request(0, 60_000), ms(0)).is_ok() {}
    assert_eq!(long.len(), 64);
}

/// Guards against a lost chance and against long lines while no owner reports: one
/// request finds out.
#[test]
fn one_request_waits_while_nothing_is_known() {
    let mut line = WaitingLine::default();
    assert!(line.join(&line_request(0, 5_000), ms(0)).is_ok());
    let second = line.join(&line_request(0, 5_000), ms(0));
    assert_eq!(second, Err(LineRefusal::NoChance));
    let mut line = self::line();
    line.join(&line_request(0, 9_000), ms(4_000)).unwrap();
    let second = line.join(&line_request(0, 9_000), ms(4_000));
    assert_eq!(second, Err(LineRefusal::NoChance), "the reports are old");
}

/// Guards against an idle service that lets nobody wait, because each daemon of a large
/// fleet gets a small part of its spare rate, and against waiting at a busy one.
#[test]
fn one_request_waits_in_a_large_fleet_unless_the_service_is_busy() {
    let line_with = |fraction| {
        let mut line = WaitingLine::default();
        // 300 a second of 6,000 daemons.
        line.record_spare(
            SpareCapacity {
                fraction,
                rate: 0.05,
            },
            ms(0),
        );
        line
    };
    let mut idle = line_with(0.9);
    assert!(idle.join(&line_request(0, 5_000), ms(0)).is_ok());
    let second = idle.join(&line_request(0, 5_000), ms(0));
    assert_eq!(second, Err(LineRefusal::NoChance));
    let mut busy = line_with(0.0);
    let first = busy.join(&line_request(0, 5_000), ms(0));
    assert_eq!(first, Err(LineRefusal::NoChance));
}

/// Guards against requests that wait through a busy period that outlasts them, and
/// against those that are refused shortly before its end.
#[test]
fn forecast_learns_how_long_busy_periods_last() {
    let mut forecast = SpareForecast::default();
    let free = SpareCapacity {
        fraction: 0.5,
        rate: 10.0,
    };
    // Busy from 4 s to 12 s, and again from 16 s.
    let is_busy = |now: u64| (4_000..12_000).contains(&now) || now >= 16_000;
    let mut served = Vec::new();
    for now in (0..40_000).step_by(100) {
        let spare = match is_busy(now) {
            true => SpareCapacity::default(),
            false => free,
        };
        forecast.observe(spare, ms(now));
        if [3_900, 15_900, 18_000, 23_000, 39_900].contains(&now) {
            served.push(forecast.served_within(ms(4_000), ms(now)).round());
        }
    }
    let [free_first, free_again, begin, end, too_long] = served[..] else {
        panic!("{served:?}");
    };
    assert_eq!(free_first, 40.0);
    // The average falls until the begin of the busy period is noticed.
    assert!(free_again >= 35.0, "{served:?}");
    assert_eq!(begin, 0.0, "six more seconds are expected");
    assert!(end >= 20.0, "{served:?}");
    assert_eq!(too_long, 0.0, "this is no such period any more");
}
