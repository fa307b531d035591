//! Tests of the budget for other regions, with a simulation of daemons of one
//! region that share a link with a queue.

use std::time::Duration;

use radishgauge_mesh::cross_region_budget::CrossRegionBudget;

/// The capacity of the link in bytes a second, and the round-trip time without
/// queueing.
const LINK: f64 = 7_000_000.0;
const TRIP: Duration = Duration::from_millis(25);

/// The length of each upload in bytes.
const UPLOAD: u64 = 280_000;

/// The result of one simulation.
struct LinkResult {
    /// The greatest queueing delay after the first 8 s, in seconds.
    worst_delay: f64,
    /// The uploaded bytes.
    carried: f64,
}

/// Simulates twelve daemons. Each tries to send five uploads a second, together
/// over twice the capacity of the link, and makes a short request every 20 ms.
/// Without `guarded`, uploads ignore the budget, as the baseline.
fn simulate(guarded: bool) -> LinkResult {
    let mut budgets: Vec<CrossRegionBudget> =
        (0..12).map(|_| CrossRegionBudget::default()).collect();
    let (mut queue, mut carried, mut worst) = (0.0_f64, 0.0, 0.0_f64);
    for tick in 0..30_000_u64 {
        let now = Duration::from_millis(tick);
        queue = (queue - LINK / 1000.0).max(0.0);
        let delay = queue / LINK;
        if tick > 8_000 {
            worst = worst.max(delay);
        }
        for (index, budget) in budgets.iter_mut().enumerate() {
            let turn = tick + index as u64 * 17;
            if turn.is_multiple_of(20) {
                let trip = TRIP + Duration::from_secs_f64(delay);
                budget.record_round_trip(trip, 100, now);
            }
            let passes = !guarded || budget.wait(UPLOAD, now).is_zero();
            if turn.is_multiple_of(200) && passes {
                budget.record_sent(UPLOAD, now);
                queue += UPLOAD as f64;
                carried += UPLOAD as f64;
            }
        }
    }
    LinkResult {
        worst_delay: worst,
        carried,
    }
}

/// Guards against uploads that fill the link between regions and thereby delay
/// every other request on it.
#[test]
fn link_stays_usable_for_short_requests() {
    let guarded = simulate(true);
    // Objectives of callers are some hundred milliseconds.
    assert!(guarded.worst_delay < 0.5, "{}", guarded.worst_delay);
    let utilisation = guarded.carried / (LINK * 30.0);
    assert!(utilisation > 0.3, "only {utilisation} of the link is used");
    assert!(simulate(false).worst_delay > 5.0);
}

/// Guards against short requests that wait together with long ones, and against
/// a wait without end.
#[test]
fn short_requests_pass_and_long_ones_wait() {
    let mut budget = CrossRegionBudget::default();
    let now = Duration::from_secs(1);
    while budget.wait(UPLOAD, now).is_zero() {
        budget.record_sent(UPLOAD, now);
    }
    assert!(budget.wait(1_000, now).is_zero());
    let wait = budget.wait(UPLOAD, now);
    assert!(wait > Duration::ZERO && wait < Duration::from_secs(2));
    assert!(budget.wait(UPLOAD, now + wait).is_zero());
}
