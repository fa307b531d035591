use std::time::Duration;

use radishgauge_mesh::RetryBudget;
use radishgauge_mesh::retry_budget::RetryKind;
use radishgauge_mesh::retry_budget::RetryLimits;
use smol_str::SmolStr;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    extra: 60.0,
    window: Duration::from_secs(10),
};

/// Guards against more retries than the limit, summed over all daemons, in any
/// window. The retry of a request that ran counts together with the call that
/// it makes again, which enters at the daemon of another host.
#[test]
fn retries_of_all_daemons_stay_within_limit() {
    let daemons = 13;
    let service = SmolStr::new("desk");
    let mut budgets: Vec<_> = (0..daemons).map(|_| RetryBudget::new(LIMITS)).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for tick in 0..40_000_u64 {
        let now = Duration::from_millis(tick);
        let entry = (tick % daemons) as usize;
        let other = ((tick + 1) % daemons) as usize;
        let budget = &mut budgets[entry];
        // Requests come in bursts; each is retried as often as allowed.
        if tick % 3 == 0 && (tick / 5_000) % 2 == 0 {
            budget.record_request(&service, now);
            requests.push(now);
        }
        while budgets[entry].try_spend(&service, RetryKind::Ran, daemons as usize, now) {
            retries.extend([now, now]);
            budgets[other].record_retried_call(&service, now);
        }
        for kind in [RetryKind::Refused, RetryKind::RefusedCall] {
            while budgets[entry].try_spend(&service, kind, daemons as usize, now) {
                retries.push(now);
            }
        }
    }
    assert!(!retries.is_empty());
    let count = |times: &[Duration], from: Duration| {
        let window = from..from + LIMITS.window;
        times.iter().filter(|time| window.contains(time)).count() as f64
    };
    for from in (0..40).map(Duration::from_secs) {
        let before = from.saturating_sub(LIMITS.window);
        let most = count(&requests, from).max(count(&requests, before));
        let allowed = LIMITS.ratio * most + LIMITS.extra;
        assert!(count(&retries, from) <= allowed, "from {from:?}");
    }
}

/// Guards against a budget that is not restored after its window.
#[test]
fn retries_are_allowed_again_after_window() {
    let service = SmolStr::new("desk");
    let mut budget = RetryBudget::new(LIMITS);
    let spent = |budget: &mut RetryBudget, now| {
        (0..100)
            .filter(|_| budget.try_spend(&service, RetryKind::RefusedCall, 1, now))
            .count()
    };
    let first = spent(&mut budget, Duration::ZERO);
    assert!(first > 0);
    assert_eq!(spent(&mut budget, Duration::from_secs(9)), 0);
    assert_eq!(spent(&mut budget, Duration::from_secs(10)), first);
}

/// Guards against callers' requests that use up the budget for the calls of
/// running targets: callers can retry by themselves, the calls cannot.
#[test]
fn calls_are_retried_after_callers_used_their_fraction() {
    let service = SmolStr::new("desk");
    let mut budget = RetryBudget::new(LIMITS);
    let now = Duration::ZERO;
    while budget.try_spend(&service, RetryKind::Refused, 1, now) {}
    assert!(budget.try_spend(&service, RetryKind::RefusedCall, 1, now));
}

/// Guards against retries that are allowed although the calls of retried runs
/// have used up the limit.
#[test]
fn calls_of_retried_runs_reduce_budget() {
    let service = SmolStr::new("desk");
    let mut budget = RetryBudget::new(LIMITS);
    for _ in 0..60 {
        budget.record_retried_call(&service, Duration::ZERO);
    }
    assert!(!budget.try_spend(&service, RetryKind::RefusedCall, 1, Duration::ZERO));
}

/// Guards against retries above the limit when processes end and start again within a
/// window: each would spend the portion of the additional retries anew.
#[test]
fn restarts_do_not_add_retries() {
    const DAEMONS: usize = 13;
    const KILL_INTERVAL: u64 = 1_600;
    let service = SmolStr::new("desk");
    let mut budgets: Vec<_> = (0..DAEMONS).map(|_| RetryBudget::new(LIMITS)).collect();
    let mut retries = 0;
    for tick in 0..10_000_u64 {
        let now = Duration::from_millis(tick);
        if tick % KILL_INTERVAL == KILL_INTERVAL - 1 {
            // Every second process ends, another half each time.
            let offset = (tick / KILL_INTERVAL) as usize % 2;
            for budget in budgets.iter_mut().skip(offset).step_by(2) {
                *budget = RetryBudget::new(LIMITS);
                budget.record_predecessor(now);
            }
        }
        for budget in &mut budgets {
            while budget.try_spend(&service, RetryKind::RefusedCall, DAEMONS, now) {
                retries += 1;
            }
        }
    }
    assert!(f64::from(retries) <= LIMITS.extra, "{retries}");
}

/// Guards against a small service without any retries after a restart: one request a second
/// enters at the daemon, and each needs one. It loses half of them in the first window, and
/// none in the next one.
#[test]
fn small_service_has_some_retries_after_a_restart() {
    const DAEMONS: usize = 13;
    let service = SmolStr::new("desk");
    let count = |is_restarted: bool| {
        let mut budget = RetryBudget::new(LIMITS);
        if is_restarted {
            budget.record_predecessor(Duration::ZERO);
        }
        let mut counts = [0, 0];
        for second in 1..20 {
            let now = Duration::from_secs(second);
            budget.record_request(&service, now);
            let is_retried = budget.try_spend(&service, RetryKind::RefusedCall, DAEMONS, now);
            counts[second as usize / 10] += u32::from(is_retried);
        }
        counts
    };
    let ([first, then], [first_unbroken, then_unbroken]) = (count(true), count(false));
    assert!(first * 2 >= first_unbroken, "{first} of {first_unbroken}");
    assert!(then >= then_unbroken, "{then} of {then_unbroken}");
}
