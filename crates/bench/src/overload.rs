//! Goodput, response times and retries under load beyond capacity, compared with
//! a baseline: round robin, three unconditional retries, no limits and no ramp.
//!
//! Twelve senders share six workers on a virtual clock. Each load is run with two
//! deadlines: one longer and one shorter than the time that a worker needs for a
//! full backlog. A last run measures how long the service takes to recover from
//! 5 s at three times its capacity.

use std::time::Duration;

use radishgauge_standin::virtual_load::simulation::Handling;
use radishgauge_standin::virtual_load::simulation::LoadSimulation;
use radishgauge_standin::virtual_load::worker::SERVICE;
use radishgauge_standin::virtual_load::worker::SLOTS;
use radishgauge_traffic::pick::PickRule;

use crate::result::Curve;
use crate::result::ExperimentResult;

/// The number of targets of the service.
const TARGETS: usize = 6;

/// The number of daemons that send calls to the service.
const SENDERS: usize = 12;

/// The time after which all ramps of the mesh have ended.
const WARM_UP: Duration = Duration::from_secs(12);

/// The load during the warm-up, as a fraction of the capacity.
const WARM_LOAD: f64 = 0.6;

/// The measured time for each load.
const LOAD_DURATION: Duration = Duration::from_secs(20);

/// The measured time for each load in a quick run.
const QUICK_LOAD_DURATION: Duration = Duration::from_secs(4);

/// The loads, as multiples of the capacity.
const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 3.0];

/// The deadlines of requests. A full backlog of 120 connections takes 120 ms.
const DEADLINES: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(100)];

const HANDLINGS: [(&str, Handling); 2] = [
    ("mesh", Handling::Mesh(PickRule::LeastLoaded)),
    ("baseline", Handling::Naive),
];

/// Runs the experiment.
pub fn run(seed: u64, quick: bool) -> ExperimentResult {
    let duration = if quick {
        QUICK_LOAD_DURATION
    } else {
        LOAD_DURATION
    };
    let mut result = ExperimentResult::new("overload", seed, quick);
    for deadline in DEADLINES {
        let ms = deadline.as_millis();
        let x = "load, times the capacity";
        let curve = |name: &str, y| Curve::new(&format!("{name}-{ms}ms"), x, y);
        let mut goodput = curve("goodput", "answers in time, part of the capacity");
        let mut tail = curve("p99", "99th percentile of answers in time, ms");
        let mut attempts = curve("attempts", "attempts for each request, warm-up included");
        for (name, handling) in HANDLINGS {
            eprintln!("overload: {name}, deadline {ms} ms");
            for load in LOADS {
                let mut simulation = warm_simulation(handling, seed);
                simulation.deadline = deadline;
                simulation.run(capacity() * load, WARM_UP + duration);
                let counts = &simulation.counts;
                let good = counts.good as f64 / (capacity() * duration.as_secs_f64());
                let p99 = counts.quantile(0.99);
                let critical = counts.critical_good as f64 / counts.critical.max(1) as f64;
                goodput.add(name, load, good);
                tail.add(name, load, p99);
                attempts.add(name, load, simulation.amplification());
                for (figure, value) in [
                    ("goodput, part of capacity", good),
                    ("p99, ms", p99),
                    (
                        "attempts per request, warm-up included",
                        simulation.amplification(),
                    ),
                    ("critical requests in time, part", critical),
                ] {
                    let key = format!("{ms} ms, load {load}, {name}: {figure}");
                    result.figures.insert(key, value);
                }
            }
        }
        result.curves.extend([goodput, tail, attempts]);
    }
    for (name, handling) in HANDLINGS {
        eprintln!("overload: {name}, recovery");
        let key = format!("recovery, {name}: ms (-1: not within 20 s)");
        let time = recovery(handling, seed);
        result
            .figures
            .insert(key, time.map_or(-1.0, |ms| ms as f64));
    }
    result
}

fn capacity() -> f64 {
    TARGETS as f64 * f64::from(SLOTS) / SERVICE.as_secs_f64()
}

fn warm_simulation(handling: Handling, seed: u64) -> LoadSimulation {
    let mut simulation = LoadSimulation::new(handling, TARGETS, SENDERS, seed);
    simulation.run(capacity() * WARM_LOAD, WARM_UP);
    simulation.reset();
    simulation
}

fn recovery(handling: Handling, seed: u64) -> Option<u64> {
    let mut simulation = warm_simulation(handling, seed);
    let end = WARM_UP + Duration::from_secs(5);
    simulation.run(capacity() * 3.0, end);
    simulation.run(capacity() * 0.5, end + Duration::from_secs(20));
    simulation.counts.recovery(end)
}
