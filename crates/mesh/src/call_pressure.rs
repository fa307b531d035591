//! Which routes make calls that compete with more urgent requests elsewhere.
//!
//! A call that is refused or delayed wastes the run that makes it, so the owner of
//! the called target can do little for more urgent requests. The owner of the run
//! can: it starts fewer runs of the route. The answer to each call says which
//! requests wait at the called target.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// The time constant with which the answers to calls lose their weight.
const ANSWER_DECAY_TIME: Duration = Duration::from_secs(1);

/// The part of the calls of a route that more urgent requests must wait behind, from
/// which its requests give way. Short queues form below full use, too.
const HIGH_PRESSURE: f64 = 0.5;

/// The weight of the assumption that no request waits, against chance results of a
/// few calls.
const PRIOR_WEIGHT: f64 = 1.0;

/// The greatest number of routes that are observed at the same time.
const MAX_ROUTES: usize = 256;

/// Which requests wait at the target that a call was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CalledQueue {
    /// None waits.
    Empty,
    /// Some wait, none of them more urgent than the call.
    Waiting,
    /// More urgent ones than the call wait.
    MoreUrgent,
}

impl CalledQueue {
    /// Returns what a report of the most urgent waiting priority means for a call.
    pub fn of(waiting_priority: Option<u32>, urgency: u32) -> CalledQueue {
        match waiting_priority {
            None => CalledQueue::Empty,
            Some(waiting) if waiting < urgency => CalledQueue::MoreUrgent,
            Some(_) => CalledQueue::Waiting,
        }
    }
}

/// The decaying numbers of answered calls, of those that met a queue, and of those
/// with more urgent requests in it.
#[derive(Debug, Clone, Copy, Default)]
struct CallCounts {
    answered: f64,
    queued: f64,
    contested: f64,
    at: Duration,
}

impl CallCounts {
    fn at(&self, now: Duration) -> CallCounts {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let weight = (-age / ANSWER_DECAY_TIME.as_secs_f64()).exp();
        CallCounts {
            answered: self.answered * weight,
            queued: self.queued * weight,
            contested: self.contested * weight,
            at: now,
        }
    }
}

/// The recent calls of the runs at one target, by the route of the run.
#[derive(Debug, Default)]
pub struct CallPressure {
    routes: IndexMap<SmolStr, CallCounts>,
}

impl CallPressure {
    /// Records that a call of a run of `route` was answered, and which requests wait at
    /// the called target.
    pub fn record(&mut self, route: &SmolStr, queue: CalledQueue, now: Duration) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes
                .retain(|_, counts| counts.at(now).answered >= HIGH_PRESSURE);
            if self.routes.len() >= MAX_ROUTES {
                return;
            }
        }
        let counts = self.routes.entry(route.clone()).or_default();
        *counts = counts.at(now);
        counts.answered += 1.0;
        if queue != CalledQueue::Empty {
            counts.queued += 1.0;
        }
        if queue == CalledQueue::MoreUrgent {
            counts.contested += 1.0;
        }
    }

    /// Returns whether the calls of a route take capacity from more urgent requests.
    pub fn is_high(&self, route: &SmolStr, now: Duration) -> bool {
        self.routes.get(route).is_some_and(|counts| {
            let counts = counts.at(now);
            counts.contested > (counts.answered + PRIOR_WEIGHT) * HIGH_PRESSURE
        })
    }

    /// Returns whether the calls of a route meet queues at the called targets.
    pub fn meets_queues(&self, route: &SmolStr, now: Duration) -> bool {
        self.routes.get(route).is_some_and(|counts| {
            let counts = counts.at(now);
            counts.queued > (counts.answered + PRIOR_WEIGHT) * HIGH_PRESSURE
        })
    }
}
