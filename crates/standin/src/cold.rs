//! The cold start of a worker.
//!
//! A worker that just started has empty caches and unwarmed code. It sustains a
//! part of its slots, and fails altogether when it gets its full load at once.

use std::time::Duration;

/// A start during which the worker sustains less than its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// The requests that run at once right after the start.
    pub slots: usize,
    /// After how many good answers the number doubles, until it is warm.
    pub warm_after: u64,
}

/// How far a cold worker has warmed up.
#[derive(Clone, Copy)]
pub(crate) struct ColdState {
    start: ColdStart,
    slots: usize,
    good: u64,
    collapsed: bool,
}

impl ColdState {
    pub(crate) fn new(start: ColdStart) -> ColdState {
        ColdState {
            start,
            slots: start.slots.max(1),
            good: 0,
            collapsed: false,
        }
    }

    /// Returns how long a request runs beside others, or `None` when it fails.
    /// Beyond twice what it sustains the worker fails everything until only one
    /// request runs, and is as cold as at its start.
    pub(crate) fn begin(&mut self, running: usize, time: Duration) -> Option<Duration> {
        self.collapsed = running > 1 && (self.collapsed || running > 2 * self.slots);
        if self.collapsed {
            *self = ColdState {
                collapsed: true,
                ..ColdState::new(self.start)
            };
            return None;
        }
        let share = running.div_ceil(self.slots);
        Some(time * u32::try_from(share).unwrap_or(u32::MAX))
    }

    /// Counts a good answer; returns the slots that the worker sustains now.
    pub(crate) fn finish(&mut self) -> usize {
        self.good += 1;
        if self.good.is_multiple_of(self.start.warm_after.max(1)) {
            self.slots *= 2;
        }
        self.slots
    }
}
