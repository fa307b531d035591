//! Tests of retry decisions and of the bound on calls in whole call trees.

use std::time::Duration;

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use radishgauge_traffic::CallProgress;
use radishgauge_traffic::CallTree;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::RetryBudget;
use radishgauge_traffic::RetryDecision;
use radishgauge_traffic::retry::CallCost;
use radishgauge_traffic::retry::FailedCall;
use radishgauge_traffic::retry::StopReason;
use radishgauge_traffic::retry::backoff;
use radishgauge_traffic::tree::CallKey;
use rand::Rng;
use rand_pcg::Pcg64;

use crate::fleet::cases;
use crate::fleet::ms;

const REFUSED: FailedCall = FailedCall {
    verdict: CallVerdict::NotRun,
    reason: Some(RefusalReason::QueueFull),
    repeatable: false,
    in_retry: false,
    retries: 0,
    remaining: Duration::from_secs(1),
    expected: Duration::from_millis(20),
    cost: 3,
};

fn funded(calls: u32) -> RetryBudget {
    let budget = RetryBudget::new(10);
    budget.refund(calls);
    budget
}

/// Guards invariant I9 and the retry budget: checks each rule that forbids a
/// retry.
#[test]
fn retry_rules() {
    let stop = |call: FailedCall| {
        let budget = funded(10);
        let decision = budget.decide(&call, 1);
        let RetryDecision::Stop(reason) = decision else {
            panic!("retried: {call:?}");
        };
        assert_eq!(budget.available(), 10, "{reason:?} took tokens");
        reason
    };
    let may_have_run = FailedCall {
        verdict: CallVerdict::MayHaveRun,
        reason: None,
        ..REFUSED
    };
    assert_eq!(stop(may_have_run), StopReason::Verdict);
    let repeatable = FailedCall {
        repeatable: true,
        ..may_have_run
    };
    assert!(matches!(
        funded(10).decide(&repeatable, 1),
        RetryDecision::Retry { .. }
    ));
    let ran = FailedCall {
        verdict: CallVerdict::Ran,
        ..repeatable
    };
    assert_eq!(stop(ran), StopReason::Verdict);
    let home = FailedCall {
        reason: Some(RefusalReason::HomeRegion),
        ..REFUSED
    };
    assert_eq!(stop(home), StopReason::Refusal);
    let in_retry = FailedCall {
        in_retry: true,
        ..REFUSED
    };
    assert_eq!(stop(in_retry), StopReason::InRetry);
    let third = FailedCall {
        retries: 2,
        ..REFUSED
    };
    assert_eq!(stop(third), StopReason::Retries);
    let late = FailedCall {
        remaining: ms(20),
        ..REFUSED
    };
    assert_eq!(stop(late), StopReason::Deadline);
    let costly = FailedCall {
        cost: 11,
        ..REFUSED
    };
    assert_eq!(stop(costly), StopReason::Budget);
}

/// Guards against synchronised retries: full jitter spreads the backoff over
/// the whole range.
#[test]
fn backoff_is_jittered_over_the_whole_range() {
    for (retries, bound) in [(0, 5_000), (1, 10_000), (9, 100_000)] {
        let waits: Vec<_> = (0..400)
            .map(|seed| backoff(retries, seed).as_micros())
            .collect();
        assert!(waits.iter().all(|wait| *wait <= bound));
        for quarter in 0..4 {
            let range = bound * quarter / 4..bound * (quarter + 1) / 4;
            let count = waits.iter().filter(|wait| range.contains(wait)).count();
            assert!((60..=140).contains(&count), "{count} of 400 in {range:?}");
        }
    }
}

/// Guards against an estimate below the usual size of the call tree, with which
/// a retry that was paid for would run out of its allowance.
#[test]
fn cost_estimate_covers_a_typical_call_tree() {
    let cost = CallCost::default();
    assert_eq!(cost.estimate(), 1);
    for number in 0..200 {
        cost.record(8 + number % 5);
    }
    assert!((12..=16).contains(&cost.estimate()), "{}", cost.estimate());
}

/// Guards against calls on behalf of a retry that has ended, or that ran before
/// the daemon was restarted: there is no allowance to pay for them.
#[test]
fn retry_calls_without_a_running_parent_are_refused() {
    let tree = CallTree::new(1);
    let key = tree.begin(Some(3));
    let child = tree.begin_child(Some(key), true, 9).unwrap();
    assert_eq!(child.allowance(), Some(2));
    assert!(tree.begin_child(Some(key), true, 1).is_err());
    tree.end_child(child, Some(1));
    let second = tree.begin_child(Some(key), true, 1).unwrap();
    // The second child is still running and counts as its whole grant.
    assert_eq!(tree.end(key), 3);
    tree.end_child(second, None);
    let refused = tree.begin_child(Some(key), true, 1).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::Allowance);
    assert!(tree.begin_child(Some(key), false, 1).is_ok());
    assert!(tree.is_empty());
}

/// A chain of services, each of which calls the next one several times.
struct ChainWorld {
    fanouts: Vec<u32>,
    refused: f64,
    crashed: f64,
    random: Pcg64,
    daemons: Vec<DaemonState>,
    costs: Vec<CallCost>,
    first: u64,
    retried: u64,
}

struct DaemonState {
    budget: RetryBudget,
    tree: CallTree,
}

impl ChainWorld {
    fn new(fanouts: Vec<u32>, refused: f64, crashed: f64, seed: u64) -> ChainWorld {
        let daemons = (0..3).map(|number| DaemonState {
            budget: RetryBudget::new(10),
            tree: CallTree::new(seed + number),
        });
        ChainWorld {
            costs: (0..=fanouts.len()).map(|_| CallCost::default()).collect(),
            fanouts,
            refused,
            crashed,
            random: Pcg64::new(u128::from(seed), 0),
            daemons: daemons.collect(),
            first: 0,
            retried: 0,
        }
    }

    /// Makes one call, with retries, at the daemon on behalf of a running call.
    /// Returns whether it succeeded.
    fn call(
        &mut self,
        level: usize,
        daemon: usize,
        parent: Option<CallKey>,
        in_retry: bool,
    ) -> bool {
        let estimate = self.costs[level].estimate();
        let tree = &self.daemons[daemon].tree;
        let Ok(grant) = tree.begin_child(parent, in_retry, estimate) else {
            return false;
        };
        let mut made = Some(0);
        if !in_retry {
            self.daemons[daemon].budget.deposit();
        }
        let mut result = self.attempt(level, grant.allowance());
        let mut retries = 0;
        loop {
            made = made.zip(result.1).map(|(sum, calls)| sum + calls);
            if result.0 == CallVerdict::Ran {
                break;
            }
            let failed = FailedCall {
                verdict: result.0,
                reason: None,
                repeatable: true,
                in_retry,
                retries,
                cost: self.costs[level].estimate(),
                ..REFUSED
            };
            let seed = self.random.random();
            let budget = &self.daemons[daemon].budget;
            let RetryDecision::Retry { allowance, .. } = budget.decide(&failed, seed) else {
                break;
            };
            retries += 1;
            result = self.attempt(level, Some(allowance));
            let unused = result.1.map_or(0, |calls| allowance - calls);
            self.daemons[daemon].budget.refund(unused);
        }
        self.daemons[daemon].tree.end_child(grant, made);
        result.0 == CallVerdict::Ran
    }

    /// Runs one attempt. Returns its verdict and the number of calls made, if
    /// known.
    fn attempt(&mut self, level: usize, allowance: Option<u32>) -> (CallVerdict, Option<u32>) {
        match allowance {
            Some(_) => self.retried += 1,
            None => self.first += 1,
        }
        if self.random.random_bool(self.refused) {
            return (CallVerdict::NotRun, Some(1));
        }
        let daemon = self.random.random_range(0..self.daemons.len());
        let key = self.daemons[daemon].tree.begin(allowance);
        let mut all_succeeded = true;
        for _ in 0..self.fanouts.get(level).copied().unwrap_or(0) {
            all_succeeded &= self.call(level + 1, daemon, Some(key), allowance.is_some());
        }
        let calls = self.daemons[daemon].tree.end(key);
        if let Some(allowance) = allowance {
            assert!(
                calls <= allowance,
                "{calls} calls under an allowance of {allowance}"
            );
        }
        if self.random.random_bool(self.crashed) {
            return (CallVerdict::MayHaveRun, None);
        }
        if !all_succeeded {
            // The target responds with an error, and its caller retries.
            return (CallVerdict::MayHaveRun, Some(calls));
        }
        self.costs[level].record(calls);
        (CallVerdict::Ran, Some(calls))
    }
}

/// Guards against a budget that allows too few retries: at a low failure rate,
/// most failures are repaired within the budget.
#[test]
fn budget_repairs_rare_failures() {
    let mut world = ChainWorld::new(vec![2, 2, 1, 1], 0.01, 0.0, 5);
    for _ in 0..200 {
        world.call(0, 0, None, false);
    }
    let failed = (0..2000).filter(|_| !world.call(0, 0, None, false)).count();
    assert!(world.retried > 200);
    // Without retries, 13 calls at 1% would fail 12% of the requests.
    assert!(failed < 80, "{failed} of 2000 failed");
}

proptest! {
    #![proptest_config(cases(96, 0x54))]

    /// Guards the bound of 1.1 calls for each first attempt: in any call tree up
    /// to 10 deep and under any pattern of failures, calls made because of
    /// retries are at most 0.1 of the first attempts. The pattern changes
    /// halfway, when the budgets are full.
    #[test]
    fn retry_calls_are_at_most_a_tenth_of_first_attempts(
        fanouts in prop::collection::vec(1_u32..4, 0..10),
        before in (0.0_f64..0.3, 0.0_f64..0.2),
        after in (0.0_f64..=1.0, 0.0_f64..=1.0),
        seed in any::<u64>(),
    ) {
        let mut nodes = 1;
        let mut width = 1;
        let fanouts: Vec<u32> = fanouts
            .into_iter()
            .map(|fanout| {
                let fanout = if nodes + width * fanout > 120 { 1 } else { fanout };
                width *= fanout;
                nodes += width;
                fanout
            })
            .collect();
        let mut world = ChainWorld::new(fanouts, before.0, before.1, seed % 1_000_000);
        for number in 0..150 {
            if number == 75 {
                (world.refused, world.crashed) = after;
            }
            world.call(0, number % 3, None, false);
            prop_assert!(
                world.retried * 10 <= world.first,
                "{} retry calls for {} first attempts",
                world.retried,
                world.first,
            );
        }
    }

    /// Guards invariant I8: a call that was handed over is reported as "not run"
    /// only after the receiving daemon refused it, and not after a response.
    #[test]
    fn handed_over_call_is_reported_as_not_run_only_after_a_refusal(events in prop::collection::vec(0_u8..4, 0..12)) {
        let mut progress = CallProgress::default();
        let mut handed_over = false;
        let mut refused = false;
        let mut answered = false;
        for event in events {
            match event {
                0 => {
                    progress.hand_over();
                    handed_over = true;
                }
                1 => {
                    progress.receive(CallVerdict::NotRun);
                    refused |= handed_over && !answered;
                }
                2 => progress.receive(CallVerdict::MayHaveRun),
                _ => {
                    progress.answer();
                    answered |= handed_over;
                }
            }
            let refusal = progress.refuse(Refusal::new(RefusalReason::Deadline));
            let may_refuse = !handed_over || (refused && !answered);
            prop_assert!(refusal.is_none() || may_refuse);
            prop_assert!((progress.verdict() == CallVerdict::NotRun) == refusal.is_some());
            prop_assert!(!answered || progress.verdict() == CallVerdict::Ran);
        }
    }
}
