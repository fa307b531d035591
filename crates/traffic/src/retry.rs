//! Retry decisions and the retry budget.
//!
//! A retry at one hop repeats the whole tree of calls below it, so that separate
//! budgets at each hop would multiply over a deep chain. The budget is therefore
//! counted in calls: a retry pays for its whole subtree in advance, and the
//! calls in that subtree are neither retried nor add to any budget.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg32;

use crate::refusal::RefusalReason;
use crate::verdict::CallVerdict;

/// The maximum number of calls in the budget. It bounds the burst of retries
/// after a quiet period to what a daemon under ordinary load deposits in about
/// 3 s.
const MAX_TOKENS: u64 = 100;

/// The number of tokens that pay for one call.
const TOKENS_PER_CALL: u64 = 1000;

/// The maximum number of retries of one call. Each is sent to a different
/// target, and a third failure in a row is rarely caused by the target.
pub const MAX_RETRIES: u32 = 2;

/// The upper bound of the backoff before the first retry.
const FIRST_BACKOFF: Duration = Duration::from_millis(5);

/// The upper bound of the backoff before any retry.
const LAST_BACKOFF: Duration = Duration::from_millis(100);

/// A token bucket for the calls that a daemon may make because of retries.
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
/// assert!(budget.try_spend(3));
/// assert!(!budget.try_spend(1));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    percent: AtomicU32,
    tokens: AtomicU64,
}

impl RetryBudget {
    /// Returns an empty budget; each first attempt adds `percent` hundredths of
    /// a call.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            percent: AtomicU32::new(percent),
            tokens: AtomicU64::new(0),
        }
    }

    /// Changes the percentage.
    pub fn configure(&self, percent: u32) {
        self.percent.store(percent, Ordering::Relaxed);
    }

    /// Adds the tokens for a first attempt that is not made on behalf of a
    /// retry.
    pub fn deposit(&self) {
        let earned = u64::from(self.percent.load(Ordering::Relaxed)) * TOKENS_PER_CALL / 100;
        self.add(earned);
    }

    /// Takes the tokens for a retry that may cause `calls` calls, itself
    /// included. Returns whether the budget contained them.
    pub fn try_spend(&self, calls: u32) -> bool {
        let cost = u64::from(calls) * TOKENS_PER_CALL;
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tokens| {
                tokens.checked_sub(cost)
            })
            .is_ok()
    }

    /// Returns the tokens for calls that a retry was granted but did not make.
    pub fn refund(&self, calls: u32) {
        self.add(u64::from(calls) * TOKENS_PER_CALL);
    }

    /// Returns the number of calls that the budget can pay for now.
    pub fn available(&self) -> u32 {
        (self.tokens.load(Ordering::Relaxed) / TOKENS_PER_CALL) as u32
    }

    fn add(&self, tokens: u64) {
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |old| {
                Some((old + tokens).min(MAX_TOKENS * TOKENS_PER_CALL))
            });
    }
}

/// A smoothed estimate of the number of calls that a request of one route
/// causes.
///
/// The estimate is the mean plus twice the mean deviation, because a retry that
/// was granted too few calls fails although it was paid for.
#[derive(Debug)]
pub struct CallCost {
    mean: AtomicU32,
    deviation: AtomicU32,
}

/// The number of units in one call; the mean and the deviation are stored in
/// 1/256 of a call, so that small means stay exact.
const COST_SCALE: u32 = 256;

/// The weight of one sample, as a right shift: an eighth.
const COST_SHIFT: u32 = 3;

impl Default for CallCost {
    fn default() -> CallCost {
        CallCost {
            mean: AtomicU32::new(COST_SCALE),
            deviation: AtomicU32::new(0),
        }
    }
}

impl CallCost {
    /// Returns the number of calls that a retry must be granted; at least 1.
    pub fn estimate(&self) -> u32 {
        let mean = self.mean.load(Ordering::Relaxed);
        let deviation = self.deviation.load(Ordering::Relaxed);
        (mean.saturating_add(deviation.saturating_mul(2)))
            .div_ceil(COST_SCALE)
            .max(1)
    }

    /// Records the number of calls that one request caused, itself included.
    pub fn record(&self, calls: u32) {
        let sample = i64::from(calls.clamp(1, u32::MAX / COST_SCALE) * COST_SCALE);
        let mean = i64::from(self.mean.load(Ordering::Relaxed));
        let deviation = i64::from(self.deviation.load(Ordering::Relaxed));
        let error = sample - mean;
        let mean = mean + (error >> COST_SHIFT);
        let deviation = deviation + ((error.abs() - deviation) >> COST_SHIFT);
        self.mean.store(mean as u32, Ordering::Relaxed);
        self.deviation.store(deviation as u32, Ordering::Relaxed);
    }
}

/// The properties of a failed call that a retry decision depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedCall {
    /// Whether the request may have run.
    pub verdict: CallVerdict,
    /// The reason of the refusal; `None` when the call failed otherwise.
    pub reason: Option<RefusalReason>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the call's context says that it is a retry or made on behalf of
    /// one.
    pub in_retry: bool,
    /// The number of retries of this call so far.
    pub retries: u32,
    /// The time that remains until the deadline.
    pub remaining: Duration,
    /// The expected response time of a target.
    pub expected: Duration,
    /// The number of calls that the request causes, from
    /// [`CallCost::estimate`].
    pub cost: u32,
}

/// The decision about a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call is retried after a backoff, with an allowance of calls that was
    /// taken from the budget.
    Retry {
        /// The backoff before the retry.
        after: Duration,
        /// The number of calls that the retry may cause, itself included.
        allowance: u32,
    },
    /// The call is not retried.
    Stop(StopReason),
}

/// The reason for not retrying a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The request ran, or may have run and must not be repeated.
    Verdict,
    /// Every target would refuse the request for the same reason.
    Refusal,
    /// The call is itself a retry, or made on behalf of one.
    InRetry,
    /// The call was already retried [`MAX_RETRIES`] times.
    Retries,
    /// A retry would not complete before the deadline.
    Deadline,
    /// The budget can't pay for the retry.
    Budget,
}

impl RetryBudget {
    /// Decides whether a failed call is retried, and if so takes the tokens for
    /// it. The seed determines the jitter of the backoff.
    pub fn decide(&self, call: &FailedCall, seed: u64) -> RetryDecision {
        let stop = RetryDecision::Stop;
        match call.verdict {
            CallVerdict::NotRun => {}
            CallVerdict::MayHaveRun if call.repeatable => {}
            CallVerdict::MayHaveRun | CallVerdict::Ran => return stop(StopReason::Verdict),
        }
        if call
            .reason
            .is_some_and(|reason| !reason.is_target_specific())
        {
            return stop(StopReason::Refusal);
        }
        if call.in_retry {
            return stop(StopReason::InRetry);
        }
        if call.retries >= MAX_RETRIES {
            return stop(StopReason::Retries);
        }
        let after = backoff(call.retries, seed);
        if after + call.expected >= call.remaining {
            return stop(StopReason::Deadline);
        }
        let allowance = call.cost.max(1);
        if !self.try_spend(allowance) {
            return stop(StopReason::Budget);
        }
        RetryDecision::Retry { after, allowance }
    }
}

/// Returns the backoff before a retry: random between zero and a bound that
/// doubles with each retry, up to 100 ms.
pub fn backoff(retries: u32, seed: u64) -> Duration {
    let bound = FIRST_BACKOFF
        .saturating_mul(2_u32.saturating_pow(retries))
        .min(LAST_BACKOFF);
    let micros = bound.as_micros() as u64;
    let mut random = Pcg32::new(seed, u64::from(retries));
    Duration::from_micros(random.random_range(0..=micros))
}
