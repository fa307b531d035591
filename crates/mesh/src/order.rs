//! In which order waiting requests run, and how long one may wait.
//!
//! An answer is worth most within its latency objective, so the request whose
//! objective ends first runs first, and a request whose answer cannot come in
//! time is refused while its caller can still go elsewhere. A less urgent
//! request is ordered, and refused, as if its objective were tighter on its
//! wait, so that it never crowds out a more urgent one.

use std::time::Duration;

/// Service time that is assumed while none is known, as a part of the objective;
/// operators set objectives well above the mean.
pub const UNKNOWN_SERVICE_PART: f64 = 0.4;

/// How much longer than the mean a request may take and still meet its
/// objective; service times are skewed, so the mean alone is met by half only.
const SERVICE_MARGIN: f64 = 1.25;

/// The least part of the objective that a request may wait, so that slow
/// targets still absorb a short burst.
const LEAST_WAIT_PART: f64 = 0.1;

/// How long all slots may be taken for a burst, as a part of the objective; a
/// longer time is an overload, in which waiting gains nothing.
const BURST_PART: f64 = 0.25;

/// By how much each step of priority shortens the wait that is allowed.
const PRIORITY_STEP: f64 = 0.15;

/// The least part of the allowed wait that a low priority leaves.
const LEAST_PRIORITY_PART: f64 = 0.4;

/// By how much each step of priority delays a request in the order, as a part of
/// its objective.
const ORDER_STEP: f64 = 0.25;

/// Returns how long a request may wait for a slot when an answer takes the
/// service time on average.
pub fn allowed_wait(objective: Duration, service_time: Duration, priority: u32) -> Duration {
    let margin = service_time.mul_f64(SERVICE_MARGIN);
    let least = objective.mul_f64(LEAST_WAIT_PART);
    let part = (1.0 - PRIORITY_STEP * f64::from(priority)).max(LEAST_PRIORITY_PART);
    objective.saturating_sub(margin).max(least).mul_f64(part)
}

/// As [`allowed_wait`], at a target whose slots have been taken for a time.
pub fn allowed_wait_after(
    busy: Duration,
    objective: Duration,
    service_time: Duration,
    priority: u32,
) -> Duration {
    let allowed = allowed_wait(objective, service_time, priority);
    if busy < objective.mul_f64(BURST_PART) {
        return allowed;
    }
    allowed.min(objective.mul_f64(LEAST_WAIT_PART))
}

/// Returns the time that orders waiting requests: the least runs first.
pub fn order_time(now: Duration, objective: Duration, priority: u32) -> Duration {
    now + objective.mul_f64(1.0 + ORDER_STEP * f64::from(priority))
}
