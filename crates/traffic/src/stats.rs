//! A sender's statistics about each target.
//!
//! The values are atomics, because all traffic threads read and write them for
//! each call. They are approximate by design: when two threads update a smoothed
//! value or the number of failures at the same time, one of the updates may be
//! lost. The number of outstanding calls is exact.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use radishgauge_config::model::Criticality;

/// The weight of one response in the smoothed response time, as a right shift.
/// A weight of an eighth follows a change within about ten responses and still
/// damps single outliers.
const SMOOTHING_SHIFT: u32 = 3;

/// The assumed response time in µs of a target without samples. It is low, so
/// that a new target gets calls and is measured.
const INITIAL_RESPONSE_US: u32 = 1_000;

/// The maximum number of failures that count against a target; each doubles its
/// score.
const MAX_FAILURES: u32 = 6;

/// The time without a further failure after which one failure no longer counts,
/// so that a target that was avoided is tried again.
const FAILURE_DECAY: Duration = Duration::from_secs(1);

/// This daemon's statistics about one target.
#[derive(Debug)]
pub struct TargetStats {
    outstanding: AtomicU32,
    response_us: AtomicU32,
    capacity: AtomicU32,
    /// The time until which the target is avoided if there are others, in µs.
    paused_until_us: AtomicU64,
    /// The time until which the target counts as full, in µs, for sheddable,
    /// normal and critical requests.
    full_until_us: [AtomicU64; 3],
    failures: AtomicU32,
    failed_at_us: AtomicU64,
}

impl TargetStats {
    /// Returns the statistics of a target that was not used yet, with its
    /// declared capacity in concurrent requests.
    pub fn new(capacity: u32) -> TargetStats {
        TargetStats {
            outstanding: AtomicU32::new(0),
            response_us: AtomicU32::new(INITIAL_RESPONSE_US),
            capacity: AtomicU32::new(capacity.max(1)),
            paused_until_us: AtomicU64::new(0),
            full_until_us: Default::default(),
            failures: AtomicU32::new(0),
            failed_at_us: AtomicU64::new(0),
        }
    }

    /// Returns the number of this daemon's calls in flight at the target.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Returns the smoothed response time.
    pub fn response_time(&self) -> Duration {
        Duration::from_micros(u64::from(self.response_us.load(Ordering::Relaxed)))
    }

    /// Returns the number of concurrent requests that the target's daemon last
    /// reported as its capacity.
    pub fn capacity(&self) -> u32 {
        self.capacity.load(Ordering::Relaxed)
    }

    /// Returns the number of server errors that count against the target, at
    /// most 6. Each successful response and each second without an error reduces
    /// it by one.
    pub fn failures(&self, now: Duration) -> u32 {
        let failures = self.failures.load(Ordering::Relaxed);
        if failures == 0 {
            return 0;
        }
        let failed_at = self.failed_at_us.load(Ordering::Relaxed);
        let age = micros(now).saturating_sub(failed_at) / micros(FAILURE_DECAY);
        failures.saturating_sub(u32::try_from(age).unwrap_or(u32::MAX))
    }

    /// Returns whether the target is avoided, because the session to it broke
    /// recently, it was down or it reported that it accepts no work.
    pub fn is_paused(&self, now: Duration) -> bool {
        self.paused_until_us.load(Ordering::Relaxed) > micros(now)
    }

    /// Returns whether the target recently refused requests of the criticality
    /// for lack of capacity.
    pub fn is_full(&self, criticality: Criticality, now: Duration) -> bool {
        self.full_until_us[class(criticality)].load(Ordering::Relaxed) > micros(now)
    }

    pub(crate) fn begin(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records a server error. Its response time is not recorded: a target that
    /// fails immediately would look like the fastest and attract most requests.
    pub(crate) fn record_failure(&self, now: Duration) {
        let failures = (self.failures(now) + 1).min(MAX_FAILURES);
        self.failures.store(failures, Ordering::Relaxed);
        self.failed_at_us.store(micros(now), Ordering::Relaxed);
    }

    pub(crate) fn record_response(&self, response_time: Duration) {
        let failures = self.failures.load(Ordering::Relaxed);
        if failures > 0 {
            self.failures.store(failures - 1, Ordering::Relaxed);
        }
        let sample = u32::try_from(response_time.as_micros())
            .unwrap_or(u32::MAX)
            .max(1);
        let old = self.response_us.load(Ordering::Relaxed);
        let step = (i64::from(sample) - i64::from(old)) >> SMOOTHING_SHIFT;
        let new = (i64::from(old) + step).clamp(1, i64::from(u32::MAX));
        self.response_us.store(new as u32, Ordering::Relaxed);
    }

    pub(crate) fn record_capacity(&self, capacity: u32) {
        self.capacity.store(capacity, Ordering::Relaxed);
    }

    pub(crate) fn record_pause(&self, until: Duration) {
        self.paused_until_us
            .fetch_max(micros(until), Ordering::Relaxed);
    }

    /// Records that the target refused a request of the criticality for lack of
    /// capacity. It would refuse less critical requests too, but may still
    /// accept more critical ones.
    pub(crate) fn record_full(&self, criticality: Criticality, until: Duration) {
        for full_until in &self.full_until_us[..=class(criticality)] {
            full_until.fetch_max(micros(until), Ordering::Relaxed);
        }
    }
}

fn class(criticality: Criticality) -> usize {
    match criticality {
        Criticality::Sheddable => 0,
        Criticality::Normal | Criticality::Unspecified => 1,
        Criticality::Critical => 2,
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
