//! Scheduling policy: the order in which waiting requests run, and how long a
//! request may wait.
//!
//! Requests run earliest deadline first, where the deadline is the end of the
//! latency objective. A request that cannot be answered within its objective is
//! refused early enough for its caller to try elsewhere. A less urgent request
//! gets a later deadline and a shorter allowed wait, so that it does not
//! displace a more urgent one.

use std::time::Duration;

/// The service time that is assumed while none is known, as a fraction of the
/// objective; operators set objectives well above the mean service time.
pub const DEFAULT_SERVICE_FRACTION: f64 = 0.4;

/// The multiple of the mean service time that is reserved for a run. Service
/// times are skewed, and only about half of the runs end within the mean.
const SERVICE_TIME_MARGIN: f64 = 1.25;

/// The multiple of the mean service time that must be left for a run past the
/// objective. Nearly all runs end within it; one that is cut off is wasted.
const LATE_RUN_MARGIN: f64 = 2.0;

/// The least allowed wait, as a fraction of the objective, so that slow targets
/// still absorb a short burst.
const MIN_WAIT_FRACTION: f64 = 0.1;

/// How long all slots may be busy in a burst, as a fraction of the objective. A
/// longer time is an overload, in which queueing does not increase throughput.
const MAX_BURST_FRACTION: f64 = 0.25;

/// The fraction by which each priority step shortens the allowed wait.
const PRIORITY_WAIT_STEP: f64 = 0.15;

/// The least fraction of the allowed wait that remains at a low priority.
const MIN_PRIORITY_FRACTION: f64 = 0.4;

/// One slot of this many is left free by requests past their objective.
const RESERVED_SLOTS_DIVISOR: u32 = 9;

/// The least time limit of a request that may wait beyond its objective, as a multiple
/// of the objective. With less, a run that begins after the objective is cut off.
const MIN_LATE_FACTOR: f64 = 2.0;

/// By how much each priority step postpones the deadline of a request, as a
/// fraction of its objective.
const PRIORITY_DEADLINE_STEP: f64 = 0.25;

/// Returns the time that must be left for a run of a request past its objective.
pub fn late_run(service_time: Duration) -> Duration {
    service_time.mul_f64(LATE_RUN_MARGIN)
}

/// Returns how long a request may wait for a slot, given the mean service time.
/// Priority 0 is the most urgent.
pub fn allowed_wait(objective: Duration, service_time: Duration, priority: u32) -> Duration {
    let expected_run = service_time.mul_f64(SERVICE_TIME_MARGIN);
    let min_wait = objective.mul_f64(MIN_WAIT_FRACTION);
    objective
        .saturating_sub(expected_run)
        .max(min_wait)
        .mul_f64(priority_fraction(priority))
}

/// Returns how long a request may wait at a target that more urgent requests keep
/// busy.
pub fn short_wait(objective: Duration, priority: u32) -> Duration {
    objective
        .mul_f64(MIN_WAIT_FRACTION)
        .mul_f64(priority_fraction(priority))
}

fn priority_fraction(priority: u32) -> f64 {
    (1.0 - PRIORITY_WAIT_STEP * f64::from(priority)).max(MIN_PRIORITY_FRACTION)
}

/// Returns the [`allowed_wait`] at a target whose slots have all been in use
/// for the time `busy`.
pub fn allowed_wait_when_busy(
    busy: Duration,
    objective: Duration,
    service_time: Duration,
    priority: u32,
) -> Duration {
    let allowed = allowed_wait(objective, service_time, priority);
    if busy < objective.mul_f64(MAX_BURST_FRACTION) {
        return allowed;
    }
    allowed.min(objective.mul_f64(MIN_WAIT_FRACTION))
}

/// Returns whether a request may wait beyond its objective: its caller waits for much
/// longer.
pub fn may_wait_late(objective: Duration, time_limit: Duration) -> bool {
    time_limit >= objective.mul_f64(MIN_LATE_FACTOR)
}

/// Returns the number of slots of a target that requests past their objective leave
/// free, so that requests in time find one at once.
pub fn reserved_slots(limit: u32) -> u32 {
    limit.div_ceil(RESERVED_SLOTS_DIVISOR).min(limit - 1)
}

/// Returns the deadline by which waiting requests are ordered, earliest first.
pub fn virtual_deadline(now: Duration, objective: Duration, priority: u32) -> Duration {
    now + objective.mul_f64(1.0 + PRIORITY_DEADLINE_STEP * f64::from(priority))
}
