//! The budget of bytes that a daemon sends over the paid links between regions.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The capacity of the bucket, as the time in which the rate fills it.
const BURST: Duration = Duration::from_secs(1);

/// A token bucket that counts bytes.
///
/// The fill level is stored as the time at which the bucket will be full, so
/// that a single compare-and-swap both refills it and takes bytes from it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use radishgauge_traffic::link::LinkBudget;
///
/// let link = LinkBudget::new(8);
/// assert!(link.try_spend(1000, Duration::from_secs(1)));
/// assert!(!link.try_spend(1, Duration::from_secs(1)));
/// assert!(link.try_spend(500, Duration::from_millis(1500)));
/// ```
#[derive(Debug)]
pub struct LinkBudget {
    bytes_per_second: AtomicU64,
    full_at_ns: AtomicU64,
}

impl LinkBudget {
    /// Returns a full bucket with a rate in kbit/s.
    pub fn new(kbit: u64) -> LinkBudget {
        LinkBudget {
            bytes_per_second: AtomicU64::new(kbit * 125),
            full_at_ns: AtomicU64::new(0),
        }
    }

    /// Changes the rate, in kbit/s.
    pub fn configure(&self, kbit: u64) {
        self.bytes_per_second.store(kbit * 125, Ordering::Relaxed);
    }

    /// Returns whether any bytes may be sent now, without taking them.
    pub fn has_capacity(&self, now: Duration) -> bool {
        let full_at = self.full_at_ns.load(Ordering::Relaxed);
        self.bytes_per_second.load(Ordering::Relaxed) > 0 && full_at < nanos(now) + nanos(BURST)
    }

    /// Takes the bytes if the bucket contains them. Returns whether it did.
    pub fn try_spend(&self, bytes: u64, now: Duration) -> bool {
        let Some(cost) = self.cost(bytes) else {
            return false;
        };
        let limit = nanos(now) + nanos(BURST);
        self.full_at_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |full_at| {
                let new = full_at.max(nanos(now)).saturating_add(cost);
                (new <= limit).then_some(new)
            })
            .is_ok()
    }

    /// Takes bytes that were already sent, such as a response whose size was not
    /// known in advance. The fill level may become negative.
    pub fn charge(&self, bytes: u64, now: Duration) {
        let cost = self.cost(bytes).unwrap_or(0);
        let _ = self
            .full_at_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |full_at| {
                Some(full_at.max(nanos(now)).saturating_add(cost))
            });
    }

    /// Returns the time in ns in which the rate earns the bytes, or `None` when
    /// the rate is 0.
    fn cost(&self, bytes: u64) -> Option<u64> {
        let rate = self.bytes_per_second.load(Ordering::Relaxed);
        let cost = u128::from(bytes) * 1_000_000_000 / u128::from(rate.max(1));
        (rate > 0).then(|| u64::try_from(cost).unwrap_or(u64::MAX))
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX / 2)
}
