//! How many requests a daemon may send to a second target.
//!
//! All daemons together may repeat a fixed part of a service's requests and a
//! fixed number besides, within a sliding window. Without shared state, each
//! daemon takes the part of its own requests and an equal share of the fixed
//! number, so the sum stays within the bound whatever the others do.
//!
//! A run that is itself a repeat makes its calls again, and these count as
//! repeats of the services that are called. They cannot be refused without
//! wasting the run, so they are counted and leave less for others.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// The part of the allowance that all repeats of a service may use. The rest is
/// for the calls of repeated runs, which are counted after the fact.
const USED_PART: f64 = 0.7;

/// The part that repeats of callers' refused requests may use. Callers can come
/// back themselves; a call that a target makes has no other chance.
const CALLER_PART: f64 = 0.5;

/// The part that repeats of requests which ran may use: each makes its calls
/// again, one or two in most services.
const RAN_PART: f64 = 0.25;

/// What became of the request that is sent again, and who made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatKind {
    /// A target refused a call that another target makes.
    RefusedCall,
    /// A target refused a caller's request.
    Refused,
    /// It ran, or may have, and made its calls.
    Ran,
}

impl RepeatKind {
    fn part(self) -> f64 {
        match self {
            RepeatKind::RefusedCall => USED_PART,
            RepeatKind::Refused => CALLER_PART,
            RepeatKind::Ran => RAN_PART,
        }
    }
}

/// The bounds of repeats, as the platform states them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, over all daemons.
    pub extra: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
    /// Those of the repeats whose requests had run.
    ran: VecDeque<Duration>,
}

/// The repeats of one daemon, by service.
#[derive(Debug)]
pub struct RepeatBudget {
    bounds: RepeatBounds,
    services: IndexMap<SmolStr, ServiceWindow>,
}

impl RepeatBudget {
    /// Returns a budget without any request counted.
    pub fn new(bounds: RepeatBounds) -> RepeatBudget {
        RepeatBudget {
            bounds,
            services: IndexMap::new(),
        }
    }

    /// Takes over other bounds.
    pub fn configure(&mut self, bounds: RepeatBounds) {
        self.bounds = bounds;
    }

    /// Counts a first request for a service.
    pub fn record_request(&mut self, service: &SmolStr, now: Duration) {
        let window = self.bounds.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        expire(&mut counts.requests, window, now);
    }

    /// Counts a call that a run makes which is itself a repeat.
    pub fn record_repeat(&mut self, service: &SmolStr, now: Duration) {
        let window = self.bounds.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.repeats.push_back(now);
        expire(&mut counts.repeats, window, now);
    }

    /// Takes one repeat, when the budget allows it with so many daemons.
    pub fn take(
        &mut self,
        service: &SmolStr,
        kind: RepeatKind,
        daemons: usize,
        now: Duration,
    ) -> bool {
        let bounds = self.bounds;
        let counts = self.services.entry(service.clone()).or_default();
        for times in [&mut counts.requests, &mut counts.repeats, &mut counts.ran] {
            expire(times, bounds.window, now);
        }
        let own = bounds.ratio * counts.requests.len() as f64;
        let share = bounds.extra / daemons.max(1) as f64;
        let allowed = own + share;
        let fits = |taken: &VecDeque<Duration>, part| taken.len() as f64 + 1.0 <= allowed * part;
        let taken = match kind {
            RepeatKind::RefusedCall | RepeatKind::Refused => fits(&counts.repeats, kind.part()),
            RepeatKind::Ran => fits(&counts.repeats, USED_PART) && fits(&counts.ran, kind.part()),
        };
        if taken {
            counts.repeats.push_back(now);
            if kind == RepeatKind::Ran {
                counts.ran.push_back(now);
            }
        }
        taken
    }
}

fn expire(times: &mut VecDeque<Duration>, window: Duration, now: Duration) {
    while times.front().is_some_and(|time| *time + window <= now) {
        times.pop_front();
    }
}
