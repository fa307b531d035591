//! Detection of a stale configuration on the request path.
//!
//! The configuration of a daemon that was paused, or whose control thread is
//! blocked, may be out of date. Such a daemon holds new calls until the control
//! thread confirms the active configuration. It refuses a call when that takes
//! too long, because another daemon can serve it.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// The maximum time for which a new call is held.
pub const MAX_HOLD: Duration = Duration::from_millis(500);

/// The decision about a new call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StalenessDecision {
    /// The configuration was confirmed recently; the call may proceed.
    Proceed,
    /// The call is held; check again after a confirmation, or at `until` at the
    /// latest.
    Hold {
        /// The time at which the call is refused unless a confirmation arrives.
        until: Duration,
    },
    /// The call was held for [`MAX_HOLD`] without a confirmation.
    Refuse(Refusal),
}

/// The time of the control thread's last confirmation of the configuration,
/// shared with the traffic threads.
#[derive(Debug)]
pub struct StalenessGuard {
    confirmed_us: AtomicU64,
    stale_after_us: u64,
}

impl StalenessGuard {
    /// Returns a guard with a confirmation at `now`; `stale_after` is the
    /// setting `policy.stale_after_ms`.
    pub fn new(stale_after: Duration, now: Duration) -> StalenessGuard {
        StalenessGuard {
            confirmed_us: AtomicU64::new(now.as_micros() as u64),
            stale_after_us: stale_after.as_micros() as u64,
        }
    }

    /// Records that the control thread is running and that the configuration
    /// which it published last is active.
    pub fn confirm(&self, now: Duration) {
        self.confirmed_us
            .fetch_max(now.as_micros() as u64, Ordering::Release);
    }

    /// Decides about a call that arrived at `arrived`.
    pub fn check(&self, arrived: Duration, now: Duration) -> StalenessDecision {
        let confirmed = self.confirmed_us.load(Ordering::Acquire);
        if (now.as_micros() as u64).saturating_sub(confirmed) <= self.stale_after_us {
            return StalenessDecision::Proceed;
        }
        let until = arrived + MAX_HOLD;
        if now < until {
            return StalenessDecision::Hold { until };
        }
        StalenessDecision::Refuse(Refusal::new(RefusalReason::Stale).with_retry_after(MAX_HOLD))
    }
}
