//! How many long bodies a host takes in at a time.
//!
//! The load for which this was made: callers upload more than the links of one
//! service's hosts carry. Each body then takes seconds, all are late, and the
//! short requests to these hosts wait behind them. A sender therefore asks for
//! a lease before it sends a long body. The owner of the link lets a few in at
//! a time, which is enough to fill the link, and refuses the others before a
//! byte was sent, so that they can go to another host.

use std::time::Duration;

use indexmap::IndexMap;

/// Bodies of this length or more need a lease, in bytes: shorter ones take less
/// time than a further message.
pub const LONG_BODY: u64 = 16 * 1024;

/// The bodies that are taken in at a time. Some senders are slow or far away;
/// a few together fill a link, and leave short requests a short wait.
const MOST_BODIES: usize = 4;

/// How long a sender may take to begin with its body: several times the way
/// between regions.
const LEASE_TIME: Duration = Duration::from_millis(500);

/// Weight of one body in the average time of a transfer.
const TRANSFER_WEIGHT: f64 = 0.2;

/// The time of a transfer that is assumed before one was seen.
const FIRST_TRANSFER: Duration = Duration::from_millis(100);

/// Permission to send one body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyLease(pub u64);

#[derive(Debug, Clone, Copy)]
enum LeaseState {
    /// The body has not begun; the lease ends then.
    Given(Duration),
    /// The body is taken in since then.
    Begun(Duration),
}

/// The long bodies that a host takes in.
#[derive(Debug)]
pub struct BodyIntake {
    leases: IndexMap<BodyLease, LeaseState>,
    given: u64,
    transfer: f64,
}

impl Default for BodyIntake {
    fn default() -> BodyIntake {
        BodyIntake {
            leases: IndexMap::new(),
            given: 0,
            transfer: FIRST_TRANSFER.as_secs_f64(),
        }
    }
}

impl BodyIntake {
    /// Gives a lease for one body.
    ///
    /// # Errors
    ///
    /// How long until a body that is taken in has probably ended.
    pub fn offer(&mut self, now: Duration) -> Result<BodyLease, Duration> {
        self.leases
            .retain(|_, state| !matches!(state, LeaseState::Given(until) if *until <= now));
        if self.leases.len() >= MOST_BODIES {
            return Err(Duration::from_secs_f64(self.transfer));
        }
        self.given += 1;
        let lease = BodyLease(self.given);
        self.leases
            .insert(lease, LeaseState::Given(now + LEASE_TIME));
        Ok(lease)
    }

    /// Records that a body begins. One whose lease has ended is taken in too.
    pub fn begin(&mut self, lease: BodyLease, now: Duration) {
        self.leases.insert(lease, LeaseState::Begun(now));
    }

    /// Records that a body has ended, whole or not.
    pub fn end(&mut self, lease: BodyLease, now: Duration) {
        if let Some(LeaseState::Begun(since)) = self.leases.swap_remove(&lease) {
            let took = now.saturating_sub(since).as_secs_f64();
            self.transfer += (took - self.transfer) * TRANSFER_WEIGHT;
        }
    }
}
