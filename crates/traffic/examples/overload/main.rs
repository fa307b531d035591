//! Drives the machines of the request path with a virtual clock, beside the
//! baseline: round robin, three blind retries, no limits, no ramp.
//!
//! `cargo run --release -p radishgauge-traffic --example overload [-- PART [SEED]]`
//! with `load`, `pick`, `recovery`, `cold`, `degraded`, `depth`, `cost` or `all`.

mod chain;
mod cost;
mod fleet;
mod report;
mod worker;
mod world;

use std::time::Duration;

use radishgauge_traffic::pick::PickRule;

use crate::worker::SERVICE;
use crate::worker::SLOTS;
use crate::world::Handling;
use crate::world::World;

const TARGETS: usize = 6;
const SENDERS: usize = 12;
const MESH: Handling = Handling::Mesh(PickRule::TwoChoices);
const LEAST: Handling = Handling::Mesh(PickRule::LeastLoaded);

/// Long enough for all ramps of the mesh to end.
const WARM_UP: Duration = Duration::from_secs(12);

/// Runs one part with a seed and prints its table.
type Part = fn(u64);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let part = arguments.next().unwrap_or_else(|| "all".to_owned());
    let seed = arguments.next().map_or(Ok(1), |seed| seed.parse());
    let Ok(seed) = seed else {
        eprintln!("SEED: accepted: a whole number");
        std::process::exit(2);
    };
    let parts: [(&str, Part); 7] = [
        ("load", load),
        ("pick", pick),
        ("recovery", recovery),
        ("cold", cold),
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
            "PART `{part}`: accepted: load, pick, recovery, cold, degraded, depth, cost, all"
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

fn warm(handling: Handling, targets: usize, seed: u64) -> World {
    let mut world = World::new(handling, targets, SENDERS, seed);
    world.run(capacity(targets) * 0.6, WARM_UP);
    world.reset();
    world
}

fn load(seed: u64) {
    println!(
        "handling deadline_ms load goodput% p99ms p99.9ms attempts/first critical% limits refused"
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
            let mut world = warm(handling, TARGETS, seed);
            world.deadline = Duration::from_millis(deadline);
            let span = Duration::from_secs(20);
            world.run(capacity(TARGETS) * load, WARM_UP + span);
            let tally = &world.tally;
            let possible = capacity(TARGETS) * span.as_secs_f64();
            println!(
                "{handling:?} {deadline} {load} {:.1} {:.1} {:.1} {:.3} {:.1} {:?} {:?}",
                tally.good as f64 * 100.0 / possible,
                tally.quantile(0.99),
                tally.quantile(0.999),
                world.amplification(),
                tally.critical_good as f64 * 100.0 / tally.critical as f64,
                world.limits(),
                tally.refused,
            );
        }
    }
}

/// Both rules below capacity, with even targets and with one that is slow.
fn pick(seed: u64) {
    println!("handling targets slow load good% p99ms p99.9ms");
    for targets in [6, 40] {
        for slow in [false, true] {
            for load in [0.7, 0.9] {
                for handling in [Handling::Naive, MESH, LEAST] {
                    let mut world = warm(handling, targets, seed);
                    if slow {
                        world.workers[0].sustained = SLOTS / 4;
                    }
                    world.run(capacity(targets) * load, WARM_UP + Duration::from_secs(10));
                    let tally = &world.tally;
                    println!(
                        "{handling:?} {targets} {slow} {load} {:.2} {:.1} {:.1}",
                        tally.good as f64 * 100.0 / tally.first as f64,
                        tally.quantile(0.99),
                        tally.quantile(0.999),
                    );
                }
            }
        }
    }
}

/// Three times capacity for 5 s, then half: time until 99% are good again.
fn recovery(seed: u64) {
    println!("handling recovery_ms");
    for handling in [Handling::Naive, MESH, LEAST] {
        let mut world = warm(handling, TARGETS, seed);
        let end = WARM_UP + Duration::from_secs(5);
        world.run(capacity(TARGETS) * 3.0, end);
        world.run(capacity(TARGETS) * 0.5, end + Duration::from_secs(20));
        let time = world.tally.recovery(end);
        println!(
            "{handling:?} {}",
            time.map_or("never".to_owned(), |ms| ms.to_string())
        );
    }
}

/// One target, then all, fall into cold start without warning at 0.6 of the
/// capacity. The load is the most that ran at once, of what the target bore.
fn cold(seed: u64) {
    println!("handling cold_targets good% crashes max_load% load_after_1s% recovery_ms");
    for cold_targets in [1, TARGETS] {
        for handling in [Handling::Naive, MESH, LEAST] {
            let mut world = warm(handling, TARGETS, seed);
            for target in 0..cold_targets {
                world.fall_cold(target, Duration::ZERO);
            }
            let rate = capacity(TARGETS) * 0.6;
            world.run(rate, WARM_UP + Duration::from_secs(1));
            let first = max_load(&mut world, cold_targets);
            world.run(rate, WARM_UP + Duration::from_secs(30));
            let later = max_load(&mut world, cold_targets);
            let tally = &world.tally;
            let time = tally.recovery(WARM_UP);
            println!(
                "{handling:?} {cold_targets} {:.1} {} {first} {later} {}",
                tally.good as f64 * 100.0 / tally.first as f64,
                tally.crashes,
                time.map_or("never".to_owned(), |ms| ms.to_string()),
            );
        }
    }
}

fn max_load(world: &mut World, targets: usize) -> u32 {
    let loads = world.workers[..targets].iter_mut();
    let loads = loads.map(|worker| std::mem::take(&mut worker.cold_load));
    loads.max().unwrap_or(0)
}

/// All targets bear a quarter of their slots for 20 s, at 0.6 of the capacity.
fn degraded(seed: u64) {
    println!("handling goodput%_of_degraded p99ms p99.9ms limits");
    for handling in [Handling::Naive, MESH, LEAST] {
        let mut world = warm(handling, TARGETS, seed);
        for worker in &mut world.workers {
            worker.sustained = SLOTS / 4;
        }
        let span = Duration::from_secs(20);
        world.run(capacity(TARGETS) * 0.6, WARM_UP + span);
        let tally = &world.tally;
        println!(
            "{handling:?} {:.1} {:.1} {:.1} {:?}",
            tally.good as f64 * 400.0 / (capacity(TARGETS) * span.as_secs_f64()),
            tally.quantile(0.99),
            tally.quantile(0.999),
            world.limits(),
        );
    }
}
