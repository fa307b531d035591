//! How much a daemon sends over the paid links between regions.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Bytes that may be sent at once after a pause, as a time at the full rate.
const BURST: Duration = Duration::from_secs(1);

/// A token bucket in bytes.
///
/// The bucket is kept as the time at which it is full again, so that one
/// compare-and-swap both refills and takes.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use radishgauge_traffic::link::LinkBudget;
///
/// let link = LinkBudget::new(8);
/// assert!(link.take(1000, Duration::from_secs(1)));
/// assert!(!link.take(1, Duration::from_secs(1)));
/// assert!(link.take(500, Duration::from_millis(1500)));
/// ```
#[derive(Debug)]
pub struct LinkBudget {
    bytes_per_second: AtomicU64,
    full_at_ns: AtomicU64,
}

impl LinkBudget {
    /// Returns a full budget of the rate in kbit/s.
    pub fn new(kbit: u64) -> LinkBudget {
        LinkBudget {
            bytes_per_second: AtomicU64::new(kbit * 125),
            full_at_ns: AtomicU64::new(0),
        }
    }

    /// Takes over another rate in kbit/s.
    pub fn configure(&self, kbit: u64) {
        self.bytes_per_second.store(kbit * 125, Ordering::Relaxed);
    }

    /// Whether bytes may be sent now, without taking any.
    pub fn has_room(&self, now: Duration) -> bool {
        let full_at = self.full_at_ns.load(Ordering::Relaxed);
        self.bytes_per_second.load(Ordering::Relaxed) > 0 && full_at < nanos(now) + nanos(BURST)
    }

    /// Takes the bytes if the budget has them.
    pub fn take(&self, bytes: u64, now: Duration) -> bool {
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

    /// Takes the bytes of something that was sent already, such as an answer
    /// whose size was not known before. The budget may go below zero.
    pub fn charge(&self, bytes: u64, now: Duration) {
        let cost = self.cost(bytes).unwrap_or(0);
        let _ = self
            .full_at_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |full_at| {
                Some(full_at.max(nanos(now)).saturating_add(cost))
            });
    }

    /// Returns the time that the bytes take at the rate, in ns.
    fn cost(&self, bytes: u64) -> Option<u64> {
        let rate = self.bytes_per_second.load(Ordering::Relaxed);
        let cost = u128::from(bytes) * 1_000_000_000 / u128::from(rate.max(1));
        (rate > 0).then(|| u64::try_from(cost).unwrap_or(u64::MAX))
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX / 2)
}
