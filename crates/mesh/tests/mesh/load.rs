//! Plays a heavy load at one target and looks at what its callers get.
//!
//! The load is the one for which waiting and refusing were made: for some
//! seconds, twice as many requests come as the target can run. The baseline
//! queues them all in the order of their arrival, as a plain proxy does.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use radishgauge_mesh::LocalAdmission;
use radishgauge_mesh::Offer;
use radishgauge_mesh::OfferRequest;
use radishgauge_mesh::admission::WaitKey;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use smol_str::SmolStr;

const SLOTS: u32 = 10;
const OBJECTIVE: Duration = Duration::from_millis(500);
const TIME_LIMIT: Duration = Duration::from_secs(2);
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// A request's arrival, its work and its priority.
type Arrival = (Duration, Duration, u32);

#[derive(Debug, Default)]
struct CallerView {
    /// Answered within the objective, by priority.
    in_time: [u32; 2],
    late: u32,
    refused: u32,
    /// Callers who waited for nothing until their time was over.
    expired: u32,
    /// The longest wait of a caller who was refused.
    longest_refused: Duration,
}

/// 10 s of requests: 100 a second are what the target runs, and from second 3 to
/// 7 twice as many come. Each second one is urgent.
fn arrivals(seed: u64) -> Vec<Arrival> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut now = 0.0;
    let mut all = Vec::new();
    while now < 10.0 {
        let rate = if (3.0..7.0).contains(&now) {
            200.0
        } else {
            70.0
        };
        now += -random.random_range(0.0_f64..1.0).max(1e-9).ln() / rate;
        let work = SERVICE_TIME.mul_f64(random.random_range(0.5..1.5));
        all.push((Duration::from_secs_f64(now), work, (all.len() % 2) as u32));
    }
    all
}

fn served(view: &mut CallerView, arrival: &Arrival, end: Duration) {
    let took = end - arrival.0;
    if took <= OBJECTIVE {
        view.in_time[arrival.2 as usize] += 1;
    } else if took <= TIME_LIMIT {
        view.late += 1;
    } else {
        view.expired += 1;
    }
}

fn play_admission(arrivals: &[Arrival]) -> CallerView {
    let mut admission = LocalAdmission::new(SLOTS);
    let mut view = CallerView::default();
    let mut waiting: HashMap<WaitKey, usize> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<(Duration, usize, Duration)>> = BinaryHeap::new();
    let route = SmolStr::new("read");
    let mut next = 0;
    while next < arrivals.len() || !ends.is_empty() {
        let arrival = arrivals.get(next).map(|arrival| arrival.0);
        let end = ends.peek().map(|Reverse((end, _, _))| *end);
        if end.is_none_or(|end| arrival.is_some_and(|arrival| arrival <= end)) {
            let (now, work, priority) = arrivals[next];
            let request = OfferRequest {
                route: route.clone(),
                objective: OBJECTIVE,
                time_left: TIME_LIMIT,
                priority,
            };
            match admission.offer(&request, now) {
                Offer::Run => ends.push(Reverse((now + work, next, now))),
                Offer::Wait(key) => {
                    waiting.insert(key, next);
                }
                Offer::Refuse(_) => view.refused += 1,
            }
            next += 1;
        } else if let Some(Reverse((now, index, started))) = ends.pop() {
            admission.finish(&route, Some(now - started));
            served(&mut view, &arrivals[index], now);
            while let Some(popped) = admission.pop(now) {
                let index = waiting.remove(&popped.key).unwrap();
                match popped.decision {
                    Ok(()) => ends.push(Reverse((now + arrivals[index].1, index, now))),
                    Err(_) => {
                        view.refused += 1;
                        let waited = now - arrivals[index].0;
                        view.longest_refused = view.longest_refused.max(waited);
                    }
                }
            }
        }
    }
    view
}

/// Queues all requests in the order of their arrival.
fn play_baseline(arrivals: &[Arrival]) -> CallerView {
    let mut view = CallerView::default();
    let mut free: VecDeque<Duration> = vec![Duration::ZERO; SLOTS as usize].into();
    for arrival in arrivals {
        let slot = (0..free.len()).min_by_key(|slot| free[*slot]).unwrap();
        let start = free[slot].max(arrival.0);
        if start > arrival.0 + TIME_LIMIT {
            view.expired += 1;
            continue;
        }
        free[slot] = start + arrival.1;
        served(&mut view, arrival, free[slot]);
    }
    view
}

/// Guards against a queue in which everyone becomes late: under twice the load
/// that the target bears, what it can run is still answered in time, and who is
/// refused learns it at once.
#[test]
fn an_overloaded_target_answers_what_it_can_in_time() {
    for seed in 1..=5 {
        let arrivals = arrivals(seed);
        let ours = play_admission(&arrivals);
        let baseline = play_baseline(&arrivals);
        let in_time = |view: &CallerView| view.in_time.iter().sum::<u32>();
        // The target runs about 100 a second.
        let room = arrivals
            .iter()
            .filter(|arrival| !(3.0..7.0).contains(&arrival.0.as_secs_f64()));
        let bearable = room.count() as f64 + 4.0 * 100.0;
        assert!(
            f64::from(in_time(&ours)) >= 0.9 * bearable,
            "seed {seed}: {ours:?} of {bearable}"
        );
        assert!(
            in_time(&ours) * 10 >= in_time(&baseline) * 12,
            "seed {seed}: {ours:?}, baseline {baseline:?}"
        );
        assert_eq!(ours.expired, 0, "seed {seed}");
        assert_eq!(ours.longest_refused, Duration::ZERO, "seed {seed}");
    }
}

/// Guards against less urgent requests that crowd out more urgent ones.
#[test]
fn urgent_requests_are_served_first() {
    for seed in 1..=5 {
        let ours = play_admission(&arrivals(seed));
        let [urgent, other] = ours.in_time;
        assert!(urgent > other, "seed {seed}: {ours:?}");
    }
}
