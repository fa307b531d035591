//! Limits how many long request bodies a host receives concurrently.
//!
//! When callers upload more than the links of a service's hosts can carry, each
//! body takes seconds, all of them are late, and short requests to these hosts
//! queue behind them. A sender therefore offers a long body before it sends
//! it. The daemon at the receiving end of the link grants a few leases at a time,
//! which is enough to fill the link, and refuses the other offers before any byte
//! is sent, so that the sender can choose another host. [`crate::link_load`] decides
//! which bodies are offered.

use std::time::Duration;

use indexmap::IndexMap;

/// The least length of a body that needs a lease, in bytes; shorter ones do not fill
/// a link.
pub const LONG_BODY: u64 = 16 * 1024;

/// The greatest number of leases at a time. Some senders are slow or distant, so
/// it takes a few to fill the link; with only a few, short requests still have
/// a short wait.
const MAX_CONCURRENT_BODIES: usize = 4;

/// How long a sender may take to start sending its body: several times the
/// latency between regions.
const LEASE_START_TIMEOUT: Duration = Duration::from_millis(500);

/// The weight of one body in the moving average of transfer times.
const TRANSFER_WEIGHT: f64 = 0.2;

/// The transfer time that is assumed before the first transfer.
const INITIAL_TRANSFER_TIME: Duration = Duration::from_millis(100);

/// Permits its holder to send one body; unique within one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyLease(pub u64);

#[derive(Debug, Clone, Copy)]
enum LeaseState {
    /// The sender has not started its body; the lease expires at this time.
    Granted(Duration),
    /// The body has been arriving since this time.
    Started(Duration),
}

/// The leases of one host for long bodies.
#[derive(Debug)]
pub struct BodyAdmission {
    leases: IndexMap<BodyLease, LeaseState>,
    /// The number of leases granted so far; the latest lease has this number.
    granted: u64,
    /// The mean transfer time in seconds.
    mean_transfer: f64,
}

impl Default for BodyAdmission {
    fn default() -> BodyAdmission {
        BodyAdmission {
            leases: IndexMap::new(),
            granted: 0,
            mean_transfer: INITIAL_TRANSFER_TIME.as_secs_f64(),
        }
    }
}

impl BodyAdmission {
    /// Grants a lease for one body.
    ///
    /// # Errors
    ///
    /// When all leases are in use: the mean transfer time, after which one is
    /// probably free.
    pub fn grant(&mut self, now: Duration) -> Result<BodyLease, Duration> {
        self.leases
            .retain(|_, state| !matches!(state, LeaseState::Granted(until) if *until <= now));
        if self.leases.len() >= MAX_CONCURRENT_BODIES {
            return Err(Duration::from_secs_f64(self.mean_transfer));
        }
        self.granted += 1;
        let lease = BodyLease(self.granted);
        self.leases
            .insert(lease, LeaseState::Granted(now + LEASE_START_TIMEOUT));
        Ok(lease)
    }

    /// Records that a body starts to arrive. It is accepted even if its lease has
    /// expired.
    pub fn begin(&mut self, lease: BodyLease, now: Duration) {
        self.leases.insert(lease, LeaseState::Started(now));
    }

    /// Records that a body has ended, whether complete or not.
    pub fn end(&mut self, lease: BodyLease, now: Duration) {
        if let Some(LeaseState::Started(since)) = self.leases.swap_remove(&lease) {
            let took = now.saturating_sub(since).as_secs_f64();
            self.mean_transfer += (took - self.mean_transfer) * TRANSFER_WEIGHT;
        }
    }
}
