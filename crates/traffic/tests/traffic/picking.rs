//! Tests of target selection with late reports, full failure domains, home
//! regions and link budgets.

use std::collections::HashMap;

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use radishgauge_config::model::Criticality;
use radishgauge_config::model::DomainState;
use radishgauge_config::model::PolicyModel;
use radishgauge_traffic::AdmissionDecision;
use radishgauge_traffic::CallOutcome;
use radishgauge_traffic::HomeRule;
use radishgauge_traffic::LinkBudget;
use radishgauge_traffic::PickRequest;
use radishgauge_traffic::PickedTarget;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::TargetPicker;
use radishgauge_traffic::TrafficSnapshot;
use radishgauge_traffic::TriedTargets;
use radishgauge_traffic::pick::PickRule;
use radishgauge_traffic::snapshot::Distance;

use crate::fleet::admission;
use crate::fleet::cases;
use crate::fleet::fleet;
use crate::fleet::ms;
use crate::fleet::request;
use crate::fleet::service;
use crate::fleet::set_domain;
use crate::fleet::snapshot;

const ANYWHERE: PickRequest = PickRequest {
    home: HomeRule::ANYWHERE,
    criticality: Criticality::Normal,
    bytes: 1000,
};

fn pick(
    picker: &TargetPicker,
    snapshot: &TrafficSnapshot,
    tried: &TriedTargets,
    now: u64,
) -> Result<PickedTarget, Refusal> {
    let service = snapshot.service_key("desk").unwrap();
    picker.pick(snapshot, service, &ANYWHERE, tried, ms(now))
}

fn refuse(picked: PickedTarget, reason: RefusalReason, now: u64) {
    picked.finish(CallOutcome::Refused { reason }, ms(now));
}

/// Guards against calls that leave their failure domain or region although near
/// targets have capacity, and against calls that fail when no near target has
/// capacity but others do.
#[test]
fn calls_prefer_near_targets_and_spill_over_when_full() {
    let snapshot = snapshot(&fleet([2, 2, 2, 0, 0, 0]));
    let picker = TargetPicker::new(1, 8);
    let tried = TriedTargets::default();
    for _ in 0..50 {
        let picked = pick(&picker, &snapshot, &tried, 0).unwrap();
        assert_eq!(picked.distance, Distance::Near);
    }
    let mut seen = Vec::new();
    for _ in 0..5 {
        let picked = pick(&picker, &snapshot, &tried, 0).unwrap();
        seen.push(picked.distance);
        refuse(picked, RefusalReason::QueueFull, 0);
    }
    // The fifth call uses up the link's burst of 1000 bytes.
    use Distance::Far;
    use Distance::Near;
    use Distance::Region;
    assert_eq!(seen, [Near, Near, Region, Region, Far]);
    // The link budget is exhausted, and all other targets are full.
    let refused = pick(&picker, &snapshot, &tried, 0).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::LinkBudget);
    let picked = pick(&picker, &snapshot, &tried, 100).unwrap();
    assert_eq!(picked.distance, Near);
}

/// Guards against critical requests that leave their failure domain because less
/// critical ones were refused there.
#[test]
fn critical_calls_use_targets_full_for_normal_calls() {
    let snapshot = snapshot(&fleet([1, 1, 0, 0, 0, 0]));
    let service = snapshot.service_key("desk").unwrap();
    let picker = TargetPicker::new(1, 0);
    let pick = |criticality| {
        let request = PickRequest {
            criticality,
            ..ANYWHERE
        };
        let tried = TriedTargets::default();
        picker
            .pick(&snapshot, service, &request, &tried, ms(0))
            .unwrap()
    };
    refuse(pick(Criticality::Normal), RefusalReason::QueueFull, 0);
    assert_eq!(pick(Criticality::Sheddable).distance, Distance::Region);
    assert_eq!(pick(Criticality::Normal).distance, Distance::Region);
    assert_eq!(pick(Criticality::Critical).distance, Distance::Near);
}

/// Guards against refusals whose reason doesn't say why no target is available.
#[test]
fn refusal_reason_matches_the_cause() {
    let picker = TargetPicker::new(1, 0);
    let empty = snapshot(&fleet([0; 6]));
    let tried = TriedTargets::default();
    let reason = |snapshot: &TrafficSnapshot, tried: &TriedTargets| {
        pick(&picker, snapshot, tried, 0).unwrap_err().reason
    };
    assert_eq!(reason(&empty, &tried), RefusalReason::NoTarget);
    let far = snapshot(&fleet([0, 0, 1, 0, 0, 0]));
    assert_eq!(reason(&far, &tried), RefusalReason::LinkBudget);
    let near = snapshot(&fleet([1, 0, 0, 0, 0, 0]));
    let mut tried = TriedTargets::default();
    tried.insert(pick(&picker, &near, &tried, 0).unwrap().target);
    assert_eq!(reason(&near, &tried), RefusalReason::AllTried);
    let tried = TriedTargets::default();
    refuse(
        pick(&picker, &near, &tried, 0).unwrap(),
        RefusalReason::QueueFull,
        0,
    );
    assert_eq!(reason(&near, &tried), RefusalReason::AllFull);
}

/// Guards against a service that is unavailable after the sessions to all its
/// targets broke.
#[test]
fn broken_targets_are_used_as_last_resort() {
    let snapshot = snapshot(&fleet([1, 1, 0, 0, 0, 0]));
    let picker = TargetPicker::new(1, 0);
    let tried = TriedTargets::default();
    for expected in [Distance::Near, Distance::Region, Distance::Near] {
        let picked = pick(&picker, &snapshot, &tried, 0).unwrap();
        assert_eq!(picked.distance, expected);
        picked.finish(CallOutcome::Broken, ms(0));
    }
}

/// Guards against a sender that sends all calls to the target with the best last
/// report while further reports are late. No call completes here.
#[test]
fn late_capacity_reports_do_not_concentrate_calls() {
    for rule in [PickRule::TwoChoices, PickRule::LeastLoaded] {
        let snapshot = snapshot(&fleet([5, 0, 0, 0, 0, 0]));
        let picker = TargetPicker::with_rule(rule, 3, 0);
        let tried = TriedTargets::default();
        let first = pick(&picker, &snapshot, &tried, 0).unwrap();
        first.finish(CallOutcome::Answered { capacity: 20 }, ms(1));
        let outstanding_calls: Vec<_> = (0..100)
            .map(|_| pick(&picker, &snapshot, &tried, 1).unwrap())
            .collect();
        let mut counts: HashMap<_, usize> = HashMap::new();
        for picked in &outstanding_calls {
            *counts.entry(picked.target).or_default() += 1;
        }
        let most = counts.values().max().unwrap();
        assert!(*most <= 30, "{rule:?} sent {most} of 100 calls to one of 5");
    }
}

/// Guards against a sender with a stale snapshot that keeps sending calls to a
/// failure domain out of service. Each target there refuses one call and is then
/// avoided until the next snapshot.
#[test]
fn sender_with_stale_snapshot_avoids_refusing_targets() {
    let snapshot = snapshot(&fleet([3, 3, 0, 0, 0, 0]));
    let picker = TargetPicker::new(11, 0);
    let mut calls_to_domain = 0;
    for now in 0..500 {
        let picked = pick(&picker, &snapshot, &TriedTargets::default(), now).unwrap();
        if picked.distance == Distance::Near {
            calls_to_domain += 1;
            refuse(picked, RefusalReason::DomainOut, now);
        } else {
            picked.finish(CallOutcome::Answered { capacity: 20 }, ms(now + 10));
        }
    }
    assert_eq!(calls_to_domain, 3);
}

/// Guards invariant I5 in a partition, when the revision that takes a failure
/// domain out of service reaches only the sender or only the receivers. Either
/// side alone keeps new requests off the domain, and critical requests are
/// served by another one.
#[test]
fn partition_keeps_calls_off_an_out_of_service_domain() {
    let policy = PolicyModel::default();
    for seed in 1..=20 {
        for sender_knows in [false, true] {
            let mut model = fleet([3, 3, 0, 0, 0, 0]);
            if sender_knows {
                set_domain(&mut model, "addis-bole", DomainState::Out);
            }
            let snapshot = snapshot(&model);
            let receivers: Vec<_> = (0..3).map(|_| admission(20, 2)).collect();
            for receiver in &receivers {
                receiver.configure(&service(20, 2), &policy, !sender_knows, false, ms(0));
            }
            let picker = TargetPicker::new(seed, 0);
            let (mut calls_to_domain, mut served) = (0, 0);
            for now in 5000..5500 {
                let mut tried = TriedTargets::default();
                loop {
                    let picked = pick(&picker, &snapshot, &tried, now).unwrap();
                    if picked.distance != Distance::Near {
                        served += 1;
                        picked.finish(CallOutcome::Answered { capacity: 20 }, ms(now + 10));
                        break;
                    }
                    let receiver = &receivers[calls_to_domain % receivers.len()];
                    calls_to_domain += 1;
                    let call = request(Criticality::Critical, ms(now + 1000));
                    let AdmissionDecision::Refuse(refusal) = receiver.admit(&call, ms(now)) else {
                        panic!("seed {seed}: a target of the domain accepted a request at {now}");
                    };
                    tried.insert(picked.target);
                    refuse(picked, refusal.reason, now);
                }
            }
            assert_eq!(served, 500, "seed {seed}");
            let expected = if sender_knows { 0 } else { 3 };
            assert_eq!(calls_to_domain, expected, "seed {seed}");
        }
    }
}

/// Guards against a target that fails immediately and therefore looks like the
/// fastest, and against one that is never tried again after it was repaired.
#[test]
fn failing_target_gets_few_calls_until_repaired() {
    for rule in [PickRule::TwoChoices, PickRule::LeastLoaded] {
        let snapshot = snapshot(&fleet([5, 0, 0, 0, 0, 0]));
        let picker = TargetPicker::with_rule(rule, 9, 0);
        let run = |from: u64, broken: bool| {
            let mut count = 0;
            let mut outstanding_calls: Vec<(u64, PickedTarget)> = Vec::new();
            for now in from..from + 5000 {
                let due = outstanding_calls
                    .iter()
                    .position(|(until, _)| *until == now);
                if let Some(index) = due {
                    let (_, picked) = outstanding_calls.swap_remove(index);
                    picked.finish(CallOutcome::Answered { capacity: 20 }, ms(now));
                }
                let picked = pick(&picker, &snapshot, &TriedTargets::default(), now).unwrap();
                if picked.host != "addis-bole-3" || !broken {
                    count += u64::from(picked.host == "addis-bole-3");
                    outstanding_calls.push((now + 20, picked));
                    continue;
                }
                count += 1;
                picked.finish(CallOutcome::Failed { capacity: 20 }, ms(now));
            }
            count
        };
        run(0, false);
        let failed = run(10_000, true);
        assert!(
            failed <= 250,
            "{rule:?} sent {failed} of 5000 calls to the failing target"
        );
        let repaired = run(20_000, false);
        assert!(
            repaired >= 750,
            "{rule:?} sent {repaired} of 5000 calls after the repair"
        );
    }
}

/// Guards against a call that counts as outstanding forever because its task was
/// dropped, for example on cancellation.
#[test]
fn dropped_pick_is_not_outstanding() {
    let snapshot = snapshot(&fleet([1, 0, 0, 0, 0, 0]));
    let picker = TargetPicker::new(1, 0);
    drop(pick(&picker, &snapshot, &TriedTargets::default(), 0).unwrap());
    let service = snapshot
        .service(snapshot.service_key("desk").unwrap())
        .unwrap();
    assert_eq!(service.tier(Distance::Near)[0].stats.outstanding(), 0);
}

/// Guards against more bytes than the link budget allows, and against a budget
/// that doesn't recover after responses of unknown size have overdrawn it.
#[test]
fn link_budget_is_enforced_and_recovers() {
    let link = LinkBudget::new(800);
    let sent = (0..5000)
        .filter(|time| link.try_spend(1000, ms(*time)))
        .count();
    // A burst of one second and the rate of five seconds, at 100 kB per second.
    assert!((595..=600).contains(&sent), "{sent} kB were sent");
    link.charge(200_000, ms(5000));
    assert!(!link.has_capacity(ms(6900)));
    assert!(link.has_capacity(ms(7100)));
}

proptest! {
    #![proptest_config(cases(256, 0x51))]

    /// Guards invariant I6: a call is never sent outside its home regions,
    /// whichever targets are full, broken or tried already.
    #[test]
    fn picks_stay_within_home_regions(
        targets in prop::array::uniform6(0_usize..4),
        tenant in 0_usize..4,
        route_home in prop::collection::vec(0_usize..3, 0..3),
        events in prop::collection::vec((any::<bool>(), 0_u8..5, 0_u64..30), 1..60),
        seed in any::<u64>(),
    ) {
        let regions = ["addis", "bahir", "gonder"];
        let mut model = fleet(targets);
        let route = model.routes.get_mut("orders").unwrap();
        route.home_regions = route_home.iter().map(|index| regions[*index].into()).collect();
        let snapshot = snapshot(&model);
        let key = snapshot.routes().find("GET", "/orders").unwrap();
        let route = snapshot.routes().get(key).unwrap();
        let tenant = ["", "free", "local", "lake"][tenant];
        let Ok(home) = snapshot.home_rule(route, tenant, &[]) else {
            return Ok(());
        };
        let picker = TargetPicker::new(seed, 100);
        let request = PickRequest { home, criticality: Criticality::Normal, bytes: 500 };
        let mut now = 0;
        let mut tried = TriedTargets::default();
        for (retry, outcome, pause) in events {
            now += pause;
            if !retry {
                tried = TriedTargets::default();
            }
            let Ok(picked) = picker.pick(&snapshot, route.service, &request, &tried, ms(now)) else {
                continue;
            };
            let region = snapshot.region_name(picked.region).unwrap();
            let of_route = route_home.is_empty()
                || route_home.iter().any(|index| regions[*index] == region);
            let of_tenant = match tenant {
                "local" => region == "addis",
                "lake" => region == "bahir",
                _ => true,
            };
            prop_assert!(of_route && of_tenant, "{tenant} {route_home:?} went to {region}");
            prop_assert!(!tried.contains(picked.target));
            tried.insert(picked.target);
            let outcome = match outcome {
                0 => CallOutcome::Answered { capacity: 0 },
                1 => CallOutcome::Refused { reason: RefusalReason::QueueFull },
                2 => CallOutcome::Refused { reason: RefusalReason::DomainOut },
                3 => CallOutcome::Broken,
                _ => CallOutcome::Cancelled,
            };
            picked.finish(outcome, ms(now + 5));
        }
    }
}
