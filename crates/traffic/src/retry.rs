//! When a failed call is sent again, and what that may cost.
//!
//! A retry at one hop repeats the whole tree of calls below it, and budgets at
//! each hop multiply over a deep chain. The budget is therefore counted in
//! calls: a retry pays for its whole subtree in advance, and the calls below
//! it neither retry nor add to any budget.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg32;

use crate::refusal::RefusalReason;
use crate::verdict::CallVerdict;

/// Calls that the budget can save up. Bounds the burst of retries after a quiet
/// time to about 3 s of an ordinary daemon's deposits.
const MAX_TOKENS: u64 = 100;

/// Tokens are counted in thousandths of a call.
const SCALE: u64 = 1000;

/// Retries of one call. Each goes to another target; a third failure in a row
/// is rarely the fault of the target.
pub const MAX_RETRIES: u32 = 2;

/// The upper bound of the first back-off.
const FIRST_BACKOFF: Duration = Duration::from_millis(5);

/// The upper bound of any back-off.
const LAST_BACKOFF: Duration = Duration::from_millis(100);

/// The calls that a daemon may make because of retries.
///
/// # Examples
///
/// ```
/// use radishgauge_traffic::RetryBudget;
///
/// let budget = RetryBudget::new(10);
/// for _ in 0..30 {
///     budget.deposit();
/// }
/// assert!(budget.take(3));
/// assert!(!budget.take(1));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    percent: AtomicU32,
    tokens: AtomicU64,
}

impl RetryBudget {
    /// Returns an empty budget that earns the percentage of first attempts.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            percent: AtomicU32::new(percent),
            tokens: AtomicU64::new(0),
        }
    }

    /// Takes over another percentage.
    pub fn configure(&self, percent: u32) {
        self.percent.store(percent, Ordering::Relaxed);
    }

    /// Counts a first attempt that is not made below a retry.
    pub fn deposit(&self) {
        let earned = u64::from(self.percent.load(Ordering::Relaxed)) * SCALE / 100;
        self.add(earned);
    }

    /// Takes the tokens of a retry that may cause the number of calls, itself
    /// included.
    pub fn take(&self, calls: u32) -> bool {
        let cost = u64::from(calls) * SCALE;
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tokens| {
                tokens.checked_sub(cost)
            })
            .is_ok()
    }

    /// Gives back the tokens of calls that a retry was granted and did not make.
    pub fn refund(&self, calls: u32) {
        self.add(u64::from(calls) * SCALE);
    }

    /// Returns the calls that may be made now.
    pub fn available(&self) -> u32 {
        (self.tokens.load(Ordering::Relaxed) / SCALE) as u32
    }

    fn add(&self, tokens: u64) {
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |old| {
                Some((old + tokens).min(MAX_TOKENS * SCALE))
            });
    }
}

/// The number of calls that a request of one route causes, smoothed.
///
/// The estimate is the mean and twice the mean deviation, as a retry that was
/// granted too few calls fails after it was paid for.
#[derive(Debug)]
pub struct CallCost {
    mean: AtomicU32,
    deviation: AtomicU32,
}

/// The estimate is kept in 1/256 of a call, so that small means stay exact.
const FRACTION: u32 = 256;

/// Weight of one sample, as a shift.
const COST_SHIFT: u32 = 3;

impl Default for CallCost {
    fn default() -> CallCost {
        CallCost {
            mean: AtomicU32::new(FRACTION),
            deviation: AtomicU32::new(0),
        }
    }
}

impl CallCost {
    /// Returns the calls that a retry must be granted: at least 1.
    pub fn estimate(&self) -> u32 {
        let mean = self.mean.load(Ordering::Relaxed);
        let deviation = self.deviation.load(Ordering::Relaxed);
        (mean.saturating_add(deviation.saturating_mul(2)))
            .div_ceil(FRACTION)
            .max(1)
    }

    /// Records the calls that one request caused, itself included.
    pub fn record(&self, calls: u32) {
        let sample = i64::from(calls.clamp(1, u32::MAX / FRACTION) * FRACTION);
        let mean = i64::from(self.mean.load(Ordering::Relaxed));
        let deviation = i64::from(self.deviation.load(Ordering::Relaxed));
        let error = sample - mean;
        let mean = mean + (error >> COST_SHIFT);
        let deviation = deviation + ((error.abs() - deviation) >> COST_SHIFT);
        self.mean.store(mean as u32, Ordering::Relaxed);
        self.deviation.store(deviation as u32, Ordering::Relaxed);
    }
}

/// A call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedCall {
    /// Whether the request may have run.
    pub verdict: CallVerdict,
    /// Why it was refused, if it was.
    pub reason: Option<RefusalReason>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the call is a retry's or below one, by its context.
    pub marked: bool,
    /// The retries of this call so far.
    pub retries: u32,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// The response time that a target is expected to have.
    pub expected: Duration,
    /// The calls that the request causes, from [`CallCost::estimate`].
    pub cost: u32,
}

/// Whether a failed call is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call is sent again after a time, with an allowance of calls that was
    /// taken from the budget.
    Retry {
        /// How long to wait.
        after: Duration,
        /// The calls that it may cause, itself included.
        allowance: u32,
    },
    /// The call is not sent again.
    Stop(StopReason),
}

/// Why a failed call is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The request ran, or may have run and must not be repeated.
    Verdict,
    /// The refusal holds at every target.
    Refusal,
    /// The call is made below a retry.
    Marked,
    /// The call was sent again often enough.
    Retries,
    /// The deadline could not be met.
    Deadline,
    /// The budget is used up.
    Budget,
}

impl RetryBudget {
    /// Decides on a failed call, and takes the tokens if it is sent again. The
    /// seed gives the jitter.
    pub fn decide(&self, call: &FailedCall, seed: u64) -> RetryDecision {
        let stop = RetryDecision::Stop;
        match call.verdict {
            CallVerdict::NotRun => {}
            CallVerdict::MayHaveRun if call.repeatable => {}
            CallVerdict::MayHaveRun | CallVerdict::Ran => return stop(StopReason::Verdict),
        }
        if call.reason.is_some_and(|reason| !reason.elsewhere()) {
            return stop(StopReason::Refusal);
        }
        if call.marked {
            return stop(StopReason::Marked);
        }
        if call.retries >= MAX_RETRIES {
            return stop(StopReason::Retries);
        }
        let after = backoff(call.retries, seed);
        if after + call.expected >= call.remaining {
            return stop(StopReason::Deadline);
        }
        let allowance = call.cost.max(1);
        if !self.take(allowance) {
            return stop(StopReason::Budget);
        }
        RetryDecision::Retry { after, allowance }
    }
}

/// Returns the wait before a retry: random between zero and a bound that
/// doubles with each retry.
pub fn backoff(retries: u32, seed: u64) -> Duration {
    let bound = FIRST_BACKOFF
        .saturating_mul(2_u32.saturating_pow(retries))
        .min(LAST_BACKOFF);
    let micros = bound.as_micros() as u64;
    let mut random = Pcg32::new(seed, u64::from(retries));
    Duration::from_micros(random.random_range(0..=micros))
}
