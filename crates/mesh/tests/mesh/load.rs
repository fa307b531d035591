//! Simulates an overload of one target and checks the answers to its callers.
//!
//! For some seconds, at least twice as many requests arrive as the target can
//! run. The baseline queues all of them in the order of their arrival, as a
//! simple proxy does.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use radishgauge_mesh::AdmissionDecision;
use radishgauge_mesh::AdmissionRequest;
use radishgauge_mesh::LocalAdmission;
use radishgauge_mesh::admission::WaitKey;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use smol_str::SmolStr;

const SLOTS: u32 = 10;
const OBJECTIVE: Duration = Duration::from_millis(500);
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// The period of the overload, in seconds from the start.
const PEAK: std::ops::Range<f64> = 3.0..7.0;

/// A load on one target.
#[derive(Debug, Clone, Copy)]
struct LoadPlan {
    /// The mean service time.
    service_time: Duration,
    /// The standard deviation of the logarithm of the service time.
    spread: f64,
    /// The rate of requests in the peak, as a multiple of the target's capacity.
    peak: f64,
}

/// Runs take a fifth of the objective, at twice the capacity of the target.
const SHORT_RUNS: LoadPlan = LoadPlan {
    service_time: Duration::from_millis(100),
    spread: 0.3,
    peak: 2.0,
};

/// Runs take half of the objective, at far more than the capacity of the target.
/// A request that waits long is late.
const LONG_RUNS: LoadPlan = LoadPlan {
    service_time: Duration::from_millis(250),
    spread: 0.5,
    peak: 2.5,
};

impl LoadPlan {
    /// Returns the capacity of the target in runs a second.
    fn capacity(&self) -> f64 {
        f64::from(SLOTS) / self.service_time.as_secs_f64()
    }

    /// Returns a random service time; most are short and a few are long.
    fn draw_service_time(&self, random: &mut Pcg32) -> Duration {
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        let factor = (normal * self.spread - self.spread * self.spread / 2.0).exp();
        self.service_time.mul_f64(factor)
    }
}

/// The arrival time, service time and priority of a request.
type Arrival = (Duration, Duration, u32);

/// The requests of one simulation, counted by outcome.
#[derive(Debug, Default)]
struct RequestCounts {
    /// The requests answered within the objective, by priority.
    in_time: [u32; 2],
    late: u32,
    refused: u32,
    /// The requests that timed out.
    expired: u32,
    /// The longest wait of a request that was refused.
    longest_refused: Duration,
}

/// Returns the requests of 10 s, at 0.7 of the capacity of the target outside the
/// peak. Every second request is urgent.
fn arrivals(plan: &LoadPlan, seed: u64) -> Vec<Arrival> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut now = 0.0;
    let mut all = Vec::new();
    while now < 10.0 {
        let load_factor = if PEAK.contains(&now) { plan.peak } else { 0.7 };
        let rate = plan.capacity() * load_factor;
        now += -random.random_range(0.0_f64..1.0).max(1e-9).ln() / rate;
        let run_time = plan.draw_service_time(&mut random);
        all.push((
            Duration::from_secs_f64(now),
            run_time,
            (all.len() % 2) as u32,
        ));
    }
    all
}

fn count_answer(counts: &mut RequestCounts, arrival: &Arrival, end: Duration) {
    let took = end - arrival.0;
    if took <= OBJECTIVE {
        counts.in_time[arrival.2 as usize] += 1;
    } else if took <= TIME_LIMIT {
        counts.late += 1;
    } else {
        counts.expired += 1;
    }
}

fn simulate_admission(arrivals: &[Arrival]) -> RequestCounts {
    let mut admission = LocalAdmission::new(SLOTS);
    let mut counts = RequestCounts::default();
    let mut waiting: HashMap<WaitKey, usize> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<(Duration, usize, Duration)>> = BinaryHeap::new();
    let route = SmolStr::new("read");
    let mut next = 0;
    while next < arrivals.len() || !ends.is_empty() {
        let arrival = arrivals.get(next).map(|arrival| arrival.0);
        let end = ends.peek().map(|Reverse((end, _, _))| *end);
        if end.is_none_or(|end| arrival.is_some_and(|arrival| arrival <= end)) {
            let (now, run_time, priority) = arrivals[next];
            let request = AdmissionRequest {
                route: route.clone(),
                objective: OBJECTIVE,
                time_left: TIME_LIMIT,
                priority,
                urgency: priority,
                is_call: false,
                is_late: false,
            };
            match admission.decide(&request, now) {
                AdmissionDecision::Run => ends.push(Reverse((now + run_time, next, now))),
                AdmissionDecision::Wait(key) => {
                    waiting.insert(key, next);
                }
                AdmissionDecision::Refuse(_) => counts.refused += 1,
            }
            next += 1;
        } else if let Some(Reverse((now, index, started))) = ends.pop() {
            admission.finish(&route, Some(now - started));
            count_answer(&mut counts, &arrivals[index], now);
            while let Some(decided) = admission.decide_next(now) {
                let index = waiting.remove(&decided.key).unwrap();
                match decided.decision {
                    Ok(()) => ends.push(Reverse((now + arrivals[index].1, index, now))),
                    Err(_) => {
                        counts.refused += 1;
                        let waited = now - arrivals[index].0;
                        counts.longest_refused = counts.longest_refused.max(waited);
                    }
                }
            }
        }
    }
    counts
}

/// Simulates a queue without admission control, in the order of arrival.
fn simulate_baseline(arrivals: &[Arrival]) -> RequestCounts {
    let mut counts = RequestCounts::default();
    let mut free: VecDeque<Duration> = vec![Duration::ZERO; SLOTS as usize].into();
    for arrival in arrivals {
        let slot = (0..free.len()).min_by_key(|slot| free[*slot]).unwrap();
        let start = free[slot].max(arrival.0);
        if start > arrival.0 + TIME_LIMIT {
            counts.expired += 1;
            continue;
        }
        free[slot] = start + arrival.1;
        count_answer(&mut counts, arrival, free[slot]);
    }
    counts
}

/// Guards against a queue in which all requests become late: at twice the
/// capacity of the target, as many requests as it can run are still answered in
/// time, and the others are refused at once.
#[test]
fn overloaded_target_serves_its_capacity_in_time() {
    for seed in 1..=5 {
        let arrivals = arrivals(&SHORT_RUNS, seed);
        let ours = simulate_admission(&arrivals);
        let baseline = simulate_baseline(&arrivals);
        let in_time = |counts: &RequestCounts| counts.in_time.iter().sum::<u32>();
        // The target runs about 100 requests a second.
        let off_peak = arrivals
            .iter()
            .filter(|arrival| !PEAK.contains(&arrival.0.as_secs_f64()));
        let capacity = off_peak.count() as f64 + 4.0 * 100.0;
        assert!(
            f64::from(in_time(&ours)) >= 0.9 * capacity,
            "seed {seed}: {ours:?} of {capacity}"
        );
        assert!(
            in_time(&ours) * 10 >= in_time(&baseline) * 12,
            "seed {seed}: {ours:?}, baseline {baseline:?}"
        );
        assert_eq!(ours.expired, 0, "seed {seed}");
        assert_eq!(ours.longest_refused, Duration::ZERO, "seed {seed}");
    }
}

/// Guards against a queue that stays full during a peak: it does not increase
/// throughput over a short queue, and all requests in it are late.
#[test]
fn long_runs_are_answered_in_time_during_peak() {
    for seed in 1..=5 {
        let arrivals = arrivals(&LONG_RUNS, seed);
        let ours = simulate_admission(&arrivals);
        let calm = arrivals
            .iter()
            .filter(|arrival| !PEAK.contains(&arrival.0.as_secs_f64()));
        let peak = (PEAK.end - PEAK.start) * LONG_RUNS.capacity();
        // Some runs take longer than the objective even without a wait.
        let short = arrivals.iter().filter(|arrival| arrival.1 <= OBJECTIVE);
        let short = short.count() as f64 / arrivals.len() as f64;
        let capacity = (calm.count() as f64 + peak) * short;
        let in_time = f64::from(ours.in_time.iter().sum::<u32>());
        assert!(
            in_time >= 0.9 * capacity,
            "seed {seed}: {ours:?} of {capacity}"
        );
    }
}

/// Guards against less urgent requests that displace more urgent ones.
#[test]
fn urgent_requests_are_served_first() {
    for seed in 1..=5 {
        let ours = simulate_admission(&arrivals(&SHORT_RUNS, seed));
        let [urgent, other] = ours.in_time;
        assert!(urgent > other, "seed {seed}: {ours:?}");
    }
}
