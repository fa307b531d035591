//! A model of a worker's cold start.
//!
//! A worker that just started has empty caches and code that is not yet
//! optimised. It can run only a fraction of its slots at full speed, and fails
//! every request when it gets its full load at once.

use std::time::Duration;

/// How a worker's capacity grows after a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// The number of requests that run at full speed right after the start.
    pub slots: usize,
    /// The number of successful responses after which the capacity doubles,
    /// until the worker is warm.
    pub responses_per_doubling: u64,
}

/// How far a cold worker has warmed up.
#[derive(Clone, Copy)]
pub(crate) struct ColdState {
    start: ColdStart,
    slots: usize,
    successes: u64,
    collapsed: bool,
}

impl ColdState {
    pub(crate) fn new(start: ColdStart) -> ColdState {
        ColdState {
            start,
            slots: start.slots.max(1),
            successes: 0,
            collapsed: false,
        }
    }

    /// Returns how long a request takes when `running` requests run at once,
    /// itself included, or `None` if it fails.
    ///
    /// With more than twice its present capacity running, the worker collapses:
    /// it is as cold as at its start, and fails every request until only one
    /// runs.
    pub(crate) fn begin(&mut self, running: usize, time: Duration) -> Option<Duration> {
        self.collapsed = running > 1 && (self.collapsed || running > 2 * self.slots);
        if self.collapsed {
            *self = ColdState {
                collapsed: true,
                ..ColdState::new(self.start)
            };
            return None;
        }
        let slowdown = running.div_ceil(self.slots);
        Some(time * u32::try_from(slowdown).unwrap_or(u32::MAX))
    }

    /// Counts a successful response and returns the present capacity in slots.
    pub(crate) fn finish(&mut self) -> usize {
        self.successes += 1;
        if self
            .successes
            .is_multiple_of(self.start.responses_per_doubling.max(1))
        {
            self.slots *= 2;
        }
        self.slots
    }
}
