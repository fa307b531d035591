//! The order in which refused callers return: a `Retry-After` is a position in a queue
//! that needs no memory at the daemon.
//!
//! Callers that are refused together must not return together. Each gets the next of
//! the moments at which capacity is expected to be spare, as far as callers wait for
//! it.

use std::time::Duration;

use crate::spare_forecast::SpareForecast;

/// The least time after which a refused caller may return. An earlier return would
/// only repeat the load that led to the refusal.
const MIN_RETURN_TIME: Duration = Duration::from_millis(50);

/// The fraction of its remaining time that a caller waits at most before it returns.
const MAX_RETURN_FRACTION: f64 = 1.0 / 3.0;

/// The greatest fraction by which a time is varied at random, so that the callers of
/// several daemons do not return at the same moments.
const JITTER: f64 = 0.5;

/// A refused request whose caller may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedRequest {
    /// The time after which a target may have capacity, as far as targets said.
    pub hint: Duration,
    /// How long the caller still waits.
    pub time_left: Duration,
}

/// The positions that were given to the refused callers of one service.
#[derive(Debug, Default)]
pub struct ReturnOrder {
    /// The first moment that is not taken yet.
    next: Duration,
}

impl ReturnOrder {
    /// Returns the time after which a refused caller should return. `waiting` requests
    /// of this daemon are served before it; `draw` is a random number in `0.0..1.0`.
    pub fn assign(
        &mut self,
        request: &RefusedRequest,
        forecast: &SpareForecast,
        waiting: usize,
        draw: f64,
        now: Duration,
    ) -> Duration {
        let spread = spread(request.hint, draw);
        let Some(interval) = forecast.serving_interval(now) else {
            return spread;
        };
        let free_after = forecast.busy_left(now).max(spread);
        let latest = request.time_left.mul_f64(MAX_RETURN_FRACTION);
        if free_after > latest {
            // Nothing will be spare while this caller waits. By chance, a slot is free
            // while an answer is still in time.
            return spread;
        }
        let served_first = interval.saturating_mul(waiting as u32);
        let position = free_after.saturating_add(served_first);
        let position = position.max(self.next.saturating_sub(now));
        if position > latest {
            // All moments are taken. The forecast may be too low.
            return free_after + (latest - free_after).mul_f64(draw);
        }
        self.next = now + position + interval;
        position
    }
}

/// Returns the time after which a refused caller should return if nothing is known
/// but that capacity may be free after `hint`.
pub fn spread(hint: Duration, draw: f64) -> Duration {
    hint.max(MIN_RETURN_TIME).mul_f64(1.0 + JITTER * draw)
}
