//! Simulates a service with long answers on slow links, and checks what its callers
//! get. The baseline is the placement by the length of bodies alone.

use std::time::Duration;

use radishgauge_mesh::AnswerLink;

use crate::fleet::FleetPlan;
use crate::fleet::Outcome;
use crate::fleet::Reporting;
use crate::fleet::RoutePlan;
use crate::fleet::Simulation;
use crate::fleet::TargetPlan;

/// 10 Mbit/s.
const LINK_RATE: f64 = 1_250_000.0;

/// 60 Mbit/s.
const REGION_LINK_RATE: f64 = 7_500_000.0;

const TARGETS: usize = 9;

/// Returns the load: answers of 90 kB at `rate` a second, from 9 hosts with 10 Mbit/s
/// each, and 60 Mbit/s between the regions.
fn plan(domains: usize, rate: f64) -> FleetPlan {
    let target = |index| TargetPlan {
        domain: index % domains,
        speed: 1.0,
        slots: 8,
        knee: None,
    };
    let service_time = Duration::from_millis(60);
    let capacity = 8.0 * TARGETS as f64 / service_time.as_secs_f64();
    FleetPlan {
        domains,
        senders: 40,
        targets: (0..TARGETS).map(target).collect(),
        routes: vec![RoutePlan {
            name: "export",
            share: 1.0,
            service_time,
            answer_bytes: 90_000,
        }],
        objective: Duration::from_millis(800),
        load: rate / capacity,
        with_slow_periods: false,
        link_rate: LINK_RATE,
        region_link_rate: REGION_LINK_RATE,
        length: Duration::from_secs(16),
        warm_up: Duration::from_secs(4),
    }
}

/// Returns the sums over some seeds of ours and of the baseline.
fn play(plan: &FleetPlan) -> (Outcome, Outcome) {
    let sum = |reporting| {
        let mut sum = Outcome::default();
        for seed in 1..=3 {
            sum.add(&Simulation::new(plan, reporting, seed).run());
        }
        sum
    };
    (sum(Reporting::Full), sum(Reporting::LoadOnly))
}

/// Guards against long answers that queue on the links of their hosts until all are
/// late: at each load, at least as many are in time as by the length of bodies alone,
/// and near the capacity of the links nearly all that these can carry.
#[test]
fn long_answers_are_in_time_on_slow_links() {
    for domains in [1, 4] {
        for rate in [50.0, 82.0, 100.0, 140.0] {
            let (ours, baseline) = play(&plan(domains, rate));
            let name = format!("{domains} domains, {rate} a second");
            // One in 500 depends on chance.
            assert!(
                ours.in_time + ours.offered / 500 >= baseline.in_time,
                "{name}: {ours:?}, baseline {baseline:?}"
            );
            let possible = LINK_RATE * TARGETS as f64 / 90_000.0 / rate;
            let floor = f64::from(ours.offered) * possible.min(1.0) * 0.85;
            assert!(f64::from(ours.in_time) >= floor, "{name}: {ours:?}");
        }
    }
}

/// Guards against callers that wait for an answer which is late in the end: above the
/// capacity of the links, requests are refused instead.
#[test]
fn requests_are_refused_when_links_are_full() {
    let (ours, baseline) = play(&plan(1, 140.0));
    assert!(ours.late * 20 <= ours.offered, "{ours:?}");
    assert!(baseline.late * 2 >= baseline.offered, "{baseline:?}");
}

/// Guards against bytes that leave the failure domain for little.
#[test]
fn long_answers_stay_near() {
    let (ours, baseline) = play(&plan(4, 82.0));
    let leaving = |outcome: &Outcome| outcome.domain_bytes + outcome.region_bytes;
    assert!(
        leaving(&ours) < leaving(&baseline) && ours.region_bytes * 100 <= ours.domain_bytes,
        "{ours:?}, baseline {baseline:?}"
    );
}

/// Guards against a change where answers are short.
#[test]
fn short_answers_are_placed_as_before() {
    let mut plan = plan(4, 600.0);
    plan.routes[0].answer_bytes = 2_000;
    let (ours, baseline) = play(&plan);
    assert_eq!(ours.runs, baseline.runs);
    assert_eq!(ours.in_time, baseline.in_time);
}

/// Guards against an answer that is counted for ever after its request failed.
#[test]
fn link_is_free_after_requests_without_answers() {
    let mut link = AnswerLink::new(LINK_RATE);
    let now = Duration::from_secs(1);
    let run = Duration::from_millis(60);
    let left = Duration::from_millis(800);
    let leases: Vec<_> = (0..20).map(|_| link.begin(90_000)).collect();
    assert!(link.check(90_000, run, left, now).is_err());
    for lease in leases {
        link.end(lease);
    }
    assert_eq!(link.check(90_000, run, left, now), Ok(()));
}

/// Guards against a refusal without end: an answer that is late even on an idle link
/// is sent, and a full link is free again after the time that the refusal states.
#[test]
fn refusal_of_long_answer_ends() {
    let mut link = AnswerLink::new(LINK_RATE);
    let mut now = Duration::from_secs(1);
    let run = Duration::from_millis(60);
    let short = Duration::from_millis(50);
    assert_eq!(link.check(1_000_000, run, short, now), Ok(()));
    link.record_sent(2_000_000, now);
    let left = Duration::from_millis(800);
    let retry_after = link.check(90_000, run, left, now).unwrap_err();
    now += retry_after + Duration::from_millis(1);
    assert_eq!(link.check(90_000, run, left, now), Ok(()));
}
