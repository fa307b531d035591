//! Whether this daemon's configuration may be acted on.
//!
//! A daemon that was paused, or whose control thread is stuck, knows only what
//! it knew then. It holds new calls until the control thread confirms what is
//! in force, and refuses those for which that takes too long, because other
//! daemons can serve them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// How long a new call is held.
pub const HOLD: Duration = Duration::from_millis(500);

/// The decision on a new call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The call may go on.
    Fresh,
    /// The call waits; ask again on a confirmation, and at the time at latest.
    Hold {
        /// When to ask again.
        until: Duration,
    },
    /// The call is not run.
    Refuse(Refusal),
}

/// Tells the traffic threads when the control thread last confirmed what is in
/// force.
#[derive(Debug)]
pub struct FreshnessGate {
    confirmed_us: AtomicU64,
    stale_after_us: u64,
}

impl FreshnessGate {
    /// Returns a gate that was confirmed now; `stale_after` is the setting
    /// `policy.stale_after_ms`.
    pub fn new(stale_after: Duration, now: Duration) -> FreshnessGate {
        FreshnessGate {
            confirmed_us: AtomicU64::new(now.as_micros() as u64),
            stale_after_us: stale_after.as_micros() as u64,
        }
    }

    /// Records that the control thread runs and what it published is in force.
    pub fn confirm(&self, now: Duration) {
        self.confirmed_us
            .fetch_max(now.as_micros() as u64, Ordering::Release);
    }

    /// Decides on a call that arrived at the time.
    pub fn check(&self, arrived: Duration, now: Duration) -> Freshness {
        let confirmed = self.confirmed_us.load(Ordering::Acquire);
        if (now.as_micros() as u64).saturating_sub(confirmed) <= self.stale_after_us {
            return Freshness::Fresh;
        }
        let until = arrived + HOLD;
        if now < until {
            return Freshness::Hold { until };
        }
        Freshness::Refuse(Refusal::new(RefusalReason::Stale).after(HOLD))
    }
}
