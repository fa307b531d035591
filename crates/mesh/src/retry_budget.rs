//! Retry budget: how many requests a daemon may send to a second target.
//!
//! Within a sliding window, all daemons together may retry a fixed fraction of a
//! service's requests, plus a fixed number. Without shared state, each daemon
//! may use the fraction of its own requests and an equal portion of the fixed
//! number, so the sum stays within the limit whatever the other daemons do.
//!
//! A retried request that had already run makes its calls to other services
//! again, and these calls count as retries at the called services. Refusing
//! them would waste the run, so they are always allowed, and they reduce the
//! budget for other retries.
//!
//! A process does not know what the one before it spent of the same portion. In its first
//! window it uses only what that one cannot have spent, and this bit by bit, so that a
//! process that ends soon leaves some to the next one.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// The fraction of the budget that all retries of a service may use. The rest is
/// reserved for the calls of retried runs, which are counted after the fact.
const TOTAL_FRACTION: f64 = 0.7;

/// The fraction of the budget up to which refused requests of callers are
/// retried. Callers can retry by themselves; for the call of a target, this
/// is the only retry.
const CALLER_FRACTION: f64 = 0.5;

/// The fraction of the budget that retries of requests which have run may use.
/// Each of these makes its calls again, one or two in most services.
const RAN_FRACTION: f64 = 0.25;

/// The fraction of the portion that a process may have in its first window when there was
/// one before it, so that both together spend no more than the portion.
const SUCCESSOR_FRACTION: f64 = (1.0 - TOTAL_FRACTION) / TOTAL_FRACTION;

/// The origin of the request to be retried, and whether it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryKind {
    /// A call made by a target, which another target refused.
    RefusedCall,
    /// A request of a caller, which a target refused.
    Refused,
    /// A request that ran, or may have run, and made its calls.
    Ran,
}

impl RetryKind {
    fn fraction(self) -> f64 {
        match self {
            RetryKind::RefusedCall => TOTAL_FRACTION,
            RetryKind::Refused => CALLER_FRACTION,
            RetryKind::Ran => RAN_FRACTION,
        }
    }
}

/// The limits of retries, as the platform specifies them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// The retries that each request adds to the budget.
    pub ratio: f64,
    /// The additional retries in each window, over all daemons.
    pub extra: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// The times of the requests and retries of one service within the window.
#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
    /// The subset of retries whose requests had run.
    ran: VecDeque<Duration>,
}

/// The retry budget of one daemon, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    services: IndexMap<SmolStr, ServiceWindow>,
    /// When this process started, if there was one before it.
    succeeded_at: Option<Duration>,
}

impl RetryBudget {
    /// Returns a budget in which no request is counted.
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget {
            limits,
            services: IndexMap::new(),
            succeeded_at: None,
        }
    }

    /// Records that this process, which started at the time `started`, took the place of one
    /// that may have spent the same portion of the additional retries.
    pub fn record_predecessor(&mut self, started: Duration) {
        self.succeeded_at = Some(started);
    }

    /// Replaces the limits; the counts remain.
    pub fn configure(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts the first attempt of a request for a service.
    pub fn record_request(&mut self, service: &SmolStr, now: Duration) {
        let window = self.limits.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        expire(&mut counts.requests, window, now);
    }

    /// Counts a call that is made by the run of a retried request.
    pub fn record_retried_call(&mut self, service: &SmolStr, now: Duration) {
        let window = self.limits.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.retries.push_back(now);
        expire(&mut counts.retries, window, now);
    }

    /// Spends one retry and returns true if the budget allows it; `daemons` is the
    /// number of daemons that divide the additional retries.
    pub fn try_spend(
        &mut self,
        service: &SmolStr,
        kind: RetryKind,
        daemons: usize,
        now: Duration,
    ) -> bool {
        let limits = self.limits;
        let own_extra = self.own_extra(daemons, now);
        let counts = self.services.entry(service.clone()).or_default();
        for times in [&mut counts.requests, &mut counts.retries, &mut counts.ran] {
            expire(times, limits.window, now);
        }
        let from_requests = limits.ratio * counts.requests.len() as f64;
        let allowed = from_requests + own_extra;
        let fits =
            |spent: &VecDeque<Duration>, fraction| spent.len() as f64 + 1.0 <= allowed * fraction;
        let spent = match kind {
            RetryKind::RefusedCall | RetryKind::Refused => fits(&counts.retries, kind.fraction()),
            RetryKind::Ran => {
                fits(&counts.retries, TOTAL_FRACTION) && fits(&counts.ran, kind.fraction())
            }
        };
        if spent {
            counts.retries.push_back(now);
            if kind == RetryKind::Ran {
                counts.ran.push_back(now);
            }
        }
        spent
    }

    /// Returns this daemon's portion of the additional retries.
    fn own_extra(&self, daemons: usize, now: Duration) -> f64 {
        let portion = self.limits.extra / daemons.max(1) as f64;
        let age = self.succeeded_at.map(|started| now.saturating_sub(started));
        match age.filter(|age| *age < self.limits.window) {
            None => portion,
            Some(age) => portion * SUCCESSOR_FRACTION * age.div_duration_f64(self.limits.window),
        }
    }
}

fn expire(times: &mut VecDeque<Duration>, window: Duration, now: Duration) {
    while times.front().is_some_and(|time| *time + window <= now) {
        times.pop_front();
    }
}
