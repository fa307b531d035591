//! Runs the simulation with random fault plans from fixed seeds.

use std::collections::BTreeMap;
use std::collections::HashMap;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::sample::subsequence;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use radishgauge_traffic::CallVerdict;

use crate::simulation::DAEMONS;
use crate::simulation::Outcome;
use crate::simulation::Plan;
use crate::simulation::REPEAT_WINDOW;
use crate::simulation::simulate;

/// Checks the invariants on the outcome of one simulation.
fn check(outcome: &Outcome) -> Result<(), String> {
    let mut runs: HashMap<usize, u64> = HashMap::new();
    for &(key, _, at) in &outcome.executions {
        if let Some(first) = runs.insert(key, at) {
            return Err(format!("key {key} ran at {first} and again at {at}"));
        }
    }
    for &(key, attempt, verdict, at) in &outcome.verdicts {
        if verdict != CallVerdict::NotRun {
            continue;
        }
        for &(ran, by, when) in &outcome.executions {
            if ran == key && (by == attempt || when <= at) {
                return Err(format!(
                    "attempt {attempt} of key {key}: not run at {at}, ran at {when}"
                ));
            }
        }
    }
    for (key, answers) in &outcome.answers {
        if answers.iter().any(|answer| *answer != answers[0]) {
            return Err(format!("key {key} got two responses"));
        }
    }
    Ok(())
}

fn faults() -> impl Strategy<Value = Plan> {
    let times = 0..600_000u64;
    let crash = (
        0..DAEMONS,
        times.clone(),
        option::weighted(0.7, 1000..60_000u64),
    );
    let pause = (0..DAEMONS, times.clone(), 1000..250_000u64);
    let partition = (
        subsequence((0..DAEMONS).collect::<Vec<_>>(), 1..4),
        times.clone(),
        10_000..400_000u64,
    );
    let targets = subsequence((0..DAEMONS).collect::<Vec<_>>(), 1..=4);
    let change = (times, targets);
    // All attempts with a key lie within the repeat window.
    let sends = vec((0..REPEAT_WINDOW, 0..DAEMONS), 1..5);
    let keys = vec((0..600_000u64, sends), 6..24);
    (
        (any::<u64>(), 0..40u32, 0..40u32, 4..60usize),
        vec(crash, 0..4),
        vec(pause, 0..3),
        option::of(partition),
        vec(change, 0..4),
        keys,
    )
        .prop_flat_map(|parts| Just(plan(parts)))
}

type Parts = (
    (u64, u32, u32, usize),
    Vec<(usize, u64, Option<u64>)>,
    Vec<(usize, u64, u64)>,
    Option<(Vec<usize>, u64, u64)>,
    Vec<(u64, Vec<usize>)>,
    Vec<(u64, Vec<(u64, usize)>)>,
);

fn plan((numbers, crashes, pauses, partition, mut changes, keys): Parts) -> Plan {
    let (seed, loss_percent, duplicate_percent, records) = numbers;
    changes.sort();
    let mut attempts = Vec::new();
    for (key, (first, sends)) in keys.into_iter().enumerate() {
        attempts.extend(
            sends
                .into_iter()
                .map(|(later, entry)| (key, first + later, entry)),
        );
    }
    Plan {
        seed,
        loss_percent,
        duplicate_percent,
        crashes,
        pauses,
        partition,
        changes,
        attempts,
        records,
    }
}

/// Guards against a second run, a wrong "not run" and differing responses, under
/// lost messages, re-sends, crashes, pauses, partitions and changes of owners.
///
/// The environment variable `ONCE_RUNS` sets the number of plans; the default is
/// 1,000.
#[test]
fn no_key_runs_twice_under_random_faults() {
    let config = ProptestConfig {
        cases: std::env::var("ONCE_RUNS").map_or(1000, |runs| runs.parse().unwrap()),
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let result = TestRunner::new(config).run(&faults(), |plan| {
        check(&simulate(&plan)).map_err(proptest::test_runner::TestCaseError::fail)
    });
    if let Err(fault) = result {
        panic!("{fault}");
    }
}

/// Guards against a simulation in which hardly any key runs, so that every check
/// passes without having tested anything.
#[test]
fn random_plans_reach_every_refusal_and_run_most_keys() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::default(), rng);
    let mut reasons: BTreeMap<String, u32> = BTreeMap::new();
    let (mut keys, mut executions, mut replays, mut not_run) = (0, 0, 0, 0);
    for _ in 0..300 {
        let plan = faults().new_tree(&mut runner).unwrap().current();
        let outcome = simulate(&plan);
        for (reason, count) in &outcome.reasons {
            *reasons.entry(reason.clone()).or_default() += count;
        }
        let mut run_keys: Vec<usize> = outcome.verdicts.iter().map(|verdict| verdict.0).collect();
        run_keys.sort();
        run_keys.dedup();
        keys += run_keys.len();
        executions += outcome.executions.len();
        replays += outcome
            .answers
            .values()
            .map(|answers| answers.len() - 1)
            .sum::<usize>();
        let verdicts = outcome.verdicts.iter();
        not_run += verdicts
            .filter(|verdict| verdict.2 == CallVerdict::NotRun)
            .count();
    }
    println!(
        "{keys} keys, {executions} executions, {replays} replays, {not_run} not run, {reasons:?}"
    );
    for reason in [
        "OutcomeUnknown",
        "ResponseNotStored",
        "Full",
        "KeyExpired",
        "IncarnationGone",
        "NotOwner",
        "RecentStart",
        "Paused",
        "FormerOwner",
    ] {
        assert!(
            reasons.contains_key(reason),
            "{reason} was never reached: {reasons:?}"
        );
    }
    assert!(executions * 2 > keys, "{executions} of {keys} keys ran");
    assert!(replays > 0 && not_run > 0);
}
