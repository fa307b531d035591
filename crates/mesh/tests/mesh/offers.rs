//! Plays overloads in which owners refuse most of what is offered to them.

use std::time::Duration;

use crate::contended_fleet::Fleet;
use crate::contended_fleet::FleetPlan;
use crate::contended_fleet::FleetRules;
use crate::contended_fleet::KindPlan;
use crate::contended_fleet::ServicePlan;

/// All rules but the one that is tested, the baseline.
const FORGETTING: FleetRules = FleetRules {
    shares: true,
    waiting: true,
    return_order: true,
    refusals: false,
};

const REMEMBERING: FleetRules = FleetRules {
    refusals: true,
    ..FORGETTING
};

const OVERLOAD: fn(Duration) -> f64 = |_| 800.0;

/// Just below what the targets serve.
const FULL_USE: fn(Duration) -> f64 = |_| 520.0;

/// Returns a load of `rate` requests a second on 12 targets of 9 slots, which serve
/// 540 requests a second; callers return twice. The time limits are `limit` times the
/// objectives, and the priorities begin with `first_priority` and rise by `step`.
fn plan(rate: fn(Duration) -> f64, limit: f64, first_priority: u32, step: u32) -> FleetPlan {
    let kind = |name, weight, index, objective| KindPlan {
        name,
        service: 0,
        weight,
        priority: first_priority + index * step,
        objective,
        time_limit: objective.mul_f64(limit),
        run: Duration::from_millis(200),
        call: None,
    };
    FleetPlan {
        services: vec![ServicePlan {
            targets: 12,
            slots: 9,
        }],
        senders: 24,
        kinds: vec![
            kind("pay", 0.3, 0, Duration::from_millis(800)),
            kind("read", 0.4, 1, Duration::from_millis(800)),
            kind("list", 0.3, 2, Duration::from_millis(1_000)),
        ],
        rate,
        length: Duration::from_secs(16),
        callers_return: true,
    }
}

/// Guards against requests that are offered to one owner after the other although each
/// has just refused another one.
#[test]
fn owners_that_refuse_get_fewer_offers() {
    for (limit, first_priority, step) in [(7.0, 0, 1), (1.9, 1, 0)] {
        let plan = plan(OVERLOAD, limit, first_priority, step);
        let before = Fleet::play(&plan, FORGETTING, 1);
        let ours = Fleet::play(&plan, REMEMBERING, 1);
        let context = format!("{ours:?}, baseline {before:?}");
        assert!(
            ours.refused_offers * 10 <= before.refused_offers * 6,
            "{context}"
        );
        let (all, all_before) = (ours.all(), before.all());
        assert!(all.value() >= all_before.value(), "{context}");
        assert!(all.in_time >= all_before.in_time, "{context}");
    }
}

/// Guards against slots that stay free because senders believe old refusals.
#[test]
fn nearly_all_are_served_just_below_full_use() {
    for (limit, first_priority, step) in [(7.0, 0, 1), (1.9, 1, 0)] {
        let plan = plan(FULL_USE, limit, first_priority, step);
        let before = Fleet::play(&plan, FORGETTING, 1).all();
        let ours = Fleet::play(&plan, REMEMBERING, 1).all();
        let context = format!("{ours:?}, baseline {before:?}");
        assert!(ours.in_time * 1000 >= before.in_time * 995, "{context}");
        assert!(ours.refused * 1000 <= ours.sent, "{context}");
    }
}
