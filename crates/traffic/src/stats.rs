//! What a sender has seen of each target.
//!
//! The numbers are atomics, because all traffic threads read and write them for
//! each call. They are approximate by design: two threads that report at the
//! same time may lose one sample of a smoothed value, never a count.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Weight of one response in the smoothed response time: an eighth follows a
/// change within about ten responses and still damps single outliers.
const SMOOTHING_SHIFT: u32 = 3;

/// Response time that a target without samples is expected to have, in µs.
/// Low, so that a fresh target is tried and measured.
const INITIAL_RESPONSE_US: u32 = 1_000;

/// What this daemon has seen of one target.
#[derive(Debug)]
pub struct TargetStats {
    outstanding: AtomicU32,
    response_us: AtomicU32,
    capacity: AtomicU32,
    full_until_us: AtomicU64,
}

impl TargetStats {
    /// Returns the statistics of a target that was not used yet.
    pub fn new(capacity: u32) -> TargetStats {
        TargetStats {
            outstanding: AtomicU32::new(0),
            response_us: AtomicU32::new(INITIAL_RESPONSE_US),
            capacity: AtomicU32::new(capacity.max(1)),
            full_until_us: AtomicU64::new(0),
        }
    }

    /// Returns the calls under way from this daemon.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Returns the smoothed response time.
    pub fn response_time(&self) -> Duration {
        Duration::from_micros(u64::from(self.response_us.load(Ordering::Relaxed)))
    }

    /// Returns the concurrency that the target's daemon last reported.
    pub fn capacity(&self) -> u32 {
        self.capacity.load(Ordering::Relaxed)
    }

    /// Whether the target recently said that it has no room.
    pub fn is_full(&self, now: Duration) -> bool {
        self.full_until_us.load(Ordering::Relaxed) > micros(now)
    }

    pub(crate) fn begin(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn record_response(&self, took: Duration) {
        let sample = u32::try_from(took.as_micros()).unwrap_or(u32::MAX).max(1);
        let old = self.response_us.load(Ordering::Relaxed);
        let step = (i64::from(sample) - i64::from(old)) >> SMOOTHING_SHIFT;
        let new = (i64::from(old) + step).clamp(1, i64::from(u32::MAX));
        self.response_us.store(new as u32, Ordering::Relaxed);
    }

    pub(crate) fn record_capacity(&self, capacity: u32) {
        self.capacity.store(capacity, Ordering::Relaxed);
    }

    pub(crate) fn record_full(&self, until: Duration) {
        self.full_until_us
            .fetch_max(micros(until), Ordering::Relaxed);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
