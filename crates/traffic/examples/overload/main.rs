//! Runs the state machines of the request path on a virtual clock and compares
//! them with a baseline: round robin, three unconditional retries, no limits and
//! no ramp.
//!
//! `cargo run --release -p radishgauge-traffic --example overload [-- PART [SEED]]`
//! with `load`, `pick`, `recovery`, `cold`, `mixed`, `broken`, `degraded`, `depth`, `cost` or `all`.

mod chain;
mod cost;

use std::time::Duration;

use radishgauge_standin::virtual_load::simulation::Handling;
use radishgauge_standin::virtual_load::simulation::LoadSimulation;
use radishgauge_standin::virtual_load::worker::SERVICE;
use radishgauge_standin::virtual_load::worker::SLOTS;
use radishgauge_traffic::pick::PickRule;

const TARGETS: usize = 6;
const SENDERS: usize = 12;
const MESH: Handling = Handling::Mesh(PickRule::TwoChoices);
const LEAST: Handling = Handling::Mesh(PickRule::LeastLoaded);

/// The time after which all ramps of the mesh have ended.
const WARM_UP: Duration = Duration::from_secs(12);

/// Runs one part of the comparison with a seed and prints its table.
type Part = fn(u64);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let part = arguments.next().unwrap_or_else(|| "all".to_owned());
    let seed = arguments.next().map_or(Ok(1), |seed| seed.parse());
    let Ok(seed) = seed else {
        eprintln!("SEED: accepted: a whole number");
        std::process::exit(2);
    };
    let parts: [(&str, Part); 9] = [
        ("load", load),
        ("pick", pick),
        ("recovery", recovery),
        ("cold", cold),
        ("mixed", mixed),
        ("broken", broken),
        ("degraded", degraded),
        ("depth", chain::depth),
        ("cost", cost::cost),
    ];
    let chosen: Vec<_> = parts
        .into_iter()
        .filter(|(name, _)| part == "all" || part == *name)
        .collect();
    if chosen.is_empty() {
        eprintln!(
            "PART `{part}`: accepted: load, pick, recovery, cold, mixed, broken, degraded, depth, cost, all"
        );
        std::process::exit(2);
    }
    for (name, run) in chosen {
        println!("== {name}, seed {seed}");
        run(seed);
    }
}

fn capacity(targets: usize) -> f64 {
    targets as f64 * f64::from(SLOTS) / SERVICE.as_secs_f64()
}

fn warm(handling: Handling, targets: usize, seed: u64) -> LoadSimulation {
    warm_with(handling, targets, SENDERS, seed)
}

fn warm_with(handling: Handling, targets: usize, senders: usize, seed: u64) -> LoadSimulation {
    let mut simulation = LoadSimulation::new(handling, targets, senders, seed);
    simulation.run(capacity(targets) * 0.6, WARM_UP);
    simulation.reset();
    simulation
}

fn load(seed: u64) {
    println!(
        "handling deadline_ms load goodput% p99ms p99.9ms attempts/first critical% critical_spilled% limits refused"
    );
    let loads = [
        (250, 0.5),
        (250, 1.0),
        (250, 2.0),
        (250, 3.0),
        (100, 1.0),
        (100, 3.0),
    ];
    for handling in [Handling::Naive, MESH, LEAST] {
        for (deadline, load) in loads {
            let mut simulation = warm(handling, TARGETS, seed);
            simulation.deadline = Duration::from_millis(deadline);
            let span = Duration::from_secs(20);
            simulation.run(capacity(TARGETS) * load, WARM_UP + span);
            let counts = &simulation.counts;
            let possible = capacity(TARGETS) * span.as_secs_f64();
            println!(
                "{handling:?} {deadline} {load} {:.1} {:.1} {:.1} {:.3} {:.1} {:.1} {:?} {:?}",
                counts.good as f64 * 100.0 / possible,
                counts.quantile(0.99),
                counts.quantile(0.999),
                simulation.amplification(),
                counts.critical_good as f64 * 100.0 / counts.critical as f64,
                counts.critical_spilled as f64 * 100.0 / counts.critical_attempts.max(1) as f64,
                simulation.limits(),
                counts.refused,
            );
        }
    }
}

/// Compares both selection rules below the capacity, with equal targets and with
/// one slow target.
fn pick(seed: u64) {
    println!("handling targets senders slow load good% p99ms p99.9ms");
    for (targets, senders) in [
        (6, SENDERS),
        (40, SENDERS),
        (40, 400),
        (40, 3000),
        (120, 60),
        (120, 400),
    ] {
        for slow in [false, true] {
            for load in [0.7, 0.9] {
                for handling in [Handling::Naive, MESH, LEAST] {
                    let mut simulation = warm_with(handling, targets, senders, seed);
                    if slow {
                        simulation.workers[0].warm_capacity = SLOTS / 4;
                    }
                    simulation.run(capacity(targets) * load, WARM_UP + Duration::from_secs(10));
                    let counts = &simulation.counts;
                    println!(
                        "{handling:?} {targets} {senders} {slow} {load} {:.2} {:.1} {:.1}",
                        counts.good as f64 * 100.0 / counts.first as f64,
                        counts.quantile(0.99),
                        counts.quantile(0.999),
                    );
                }
            }
        }
    }
}

/// Applies three times the capacity for 5 s, then half of it, and prints the
/// time until 99% of the requests succeed again.
fn recovery(seed: u64) {
    println!("handling recovery_ms");
    for handling in [Handling::Naive, MESH, LEAST] {
        let mut simulation = warm(handling, TARGETS, seed);
        let end = WARM_UP + Duration::from_secs(5);
        simulation.run(capacity(TARGETS) * 3.0, end);
        simulation.run(capacity(TARGETS) * 0.5, end + Duration::from_secs(20));
        let time = simulation.counts.recovery(end);
        println!(
            "{handling:?} {}",
            time.map_or("never".to_owned(), |ms| ms.to_string())
        );
    }
}

/// Makes one target, or all of them, cold without notice at 0.6 of the capacity.
/// Overloaded cold workers crash or only become slow. `excess` is the number of
/// requests started beyond what a cold worker sustained, and `last_excess_ms`
/// the time of the last one.
fn cold(seed: u64) {
    println!(
        "handling crash warm_step_ms cold_targets good% crashes excess last_excess_ms recovery_ms"
    );
    let variants = [
        (4, 2000, 1),
        (4, 2000, TARGETS),
        (100, 2000, 1),
        (100, 2000, TARGETS),
        (100, 4000, 1),
    ];
    for (crash_factor, step, cold_targets) in variants {
        for handling in [Handling::Naive, MESH, LEAST] {
            let mut simulation = warm(handling, TARGETS, seed);
            for target in 0..cold_targets {
                simulation.make_cold(target, Duration::ZERO);
                simulation.workers[target].crash_factor = crash_factor;
                simulation.workers[target].warm_step = Duration::from_millis(step);
            }
            let rate = capacity(TARGETS) * 0.6;
            simulation.run(rate, WARM_UP + Duration::from_secs(30));
            let counts = &simulation.counts;
            let time = counts.recovery(WARM_UP);
            let excess: u64 = simulation.workers.iter().map(|worker| worker.excess).sum();
            let last = simulation
                .workers
                .iter()
                .map(|worker| worker.last_excess)
                .max();
            println!(
                "{handling:?} {} {step} {cold_targets} {:.1} {} {excess} {} {}",
                crash_factor == 4,
                counts.good as f64 * 100.0 / counts.first as f64,
                counts.crashes,
                last.unwrap_or_default().saturating_sub(WARM_UP).as_millis(),
                time.map_or("never".to_owned(), |ms| ms.to_string()),
            );
        }
    }
}

/// Makes one request in twenty take 21 times as long as the others. The mean
/// limit, sampled every 100 ms, shows how often that is mistaken for a cold
/// start.
fn mixed(seed: u64) {
    println!("handling load good% p99ms mean_limit");
    for load in [0.5, 0.8] {
        for handling in [Handling::Naive, MESH] {
            let mut simulation = LoadSimulation::new(handling, TARGETS, SENDERS, seed);
            simulation.deadline = Duration::from_secs(1);
            for worker in &mut simulation.workers {
                worker.mixed = true;
            }
            simulation.run(capacity(TARGETS) * 0.5, WARM_UP * 2);
            simulation.reset();
            let mut sum = 0;
            for sample in 1..=300 {
                let until = WARM_UP * 2 + Duration::from_millis(100) * sample;
                simulation.run(capacity(TARGETS) * load, until);
                sum += simulation.limits().iter().sum::<u32>();
            }
            println!(
                "{handling:?} {load} {:.2} {:.1} {:.1}",
                simulation.counts.good as f64 * 100.0 / simulation.counts.first as f64,
                simulation.counts.quantile(0.99),
                f64::from(sum) / 300.0 / TARGETS as f64,
            );
        }
    }
}

/// Makes one target respond to each request immediately with an error, which is
/// not retried. The percentage of successful requests shows how many calls the
/// target attracts.
fn broken(seed: u64) {
    println!("handling senders good%");
    for senders in [SENDERS, 400] {
        for handling in [Handling::Naive, MESH, LEAST] {
            let mut simulation = warm_with(handling, TARGETS, senders, seed);
            simulation.workers[0].broken = true;
            simulation.run(capacity(TARGETS) * 0.6, WARM_UP + Duration::from_secs(10));
            let counts = &simulation.counts;
            let good = counts.good as f64 * 100.0 / counts.first as f64;
            println!("{handling:?} {senders} {good:.2}");
        }
    }
}

/// Makes all targets sustain only a quarter of their slots for 20 s, at 0.6 of
/// the capacity.
fn degraded(seed: u64) {
    println!("handling goodput%_of_degraded p99ms p99.9ms limits");
    for handling in [Handling::Naive, MESH, LEAST] {
        let mut simulation = warm(handling, TARGETS, seed);
        for worker in &mut simulation.workers {
            worker.warm_capacity = SLOTS / 4;
        }
        let span = Duration::from_secs(20);
        simulation.run(capacity(TARGETS) * 0.6, WARM_UP + span);
        let counts = &simulation.counts;
        println!(
            "{handling:?} {:.1} {:.1} {:.1} {:?}",
            counts.good as f64 * 400.0 / (capacity(TARGETS) * span.as_secs_f64()),
            counts.quantile(0.99),
            counts.quantile(0.999),
            simulation.limits(),
        );
    }
}
