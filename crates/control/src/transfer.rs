//! How many full transfers a daemon serves at once.
//!
//! After a mass restart every fresh daemon of a failure domain asks the same
//! few relays for whole pages and parts. A bound keeps their memory and link
//! use finite; the others are told when to ask again, spread by a hash.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use crate::rank;

/// How long a granted transfer counts; a reply of 1 MB takes this at 8 Mbit/s.
pub const TRANSFER_TIME: Duration = Duration::from_secs(1);

/// The spread of the times given to refused askers, in ms.
const SPREAD_MS: u64 = 2000;

/// Counts the transfers under way.
///
/// The requests of one host within [`TRANSFER_TIME`] are one transfer, since a
/// fresh daemon needs several of them.
#[derive(Debug, Clone)]
pub struct TransferAdmission {
    limit: usize,
    ends: VecDeque<(Duration, SmolStr)>,
}

impl TransferAdmission {
    /// Returns an admission of this many transfers at once.
    pub fn new(limit: usize) -> TransferAdmission {
        let ends = VecDeque::new();
        TransferAdmission { limit, ends }
    }

    /// Admits a transfer, or says after how many ms the host may ask again.
    ///
    /// # Errors
    ///
    /// The time to wait in ms, never 0.
    pub fn admit(&mut self, host: &str, now: Duration) -> Result<(), u64> {
        while self.ends.front().is_some_and(|(end, _)| *end <= now) {
            self.ends.pop_front();
        }
        if self.ends.iter().any(|(_, held)| held == host) {
            return Ok(());
        }
        if self.ends.len() < self.limit {
            self.ends
                .push_back((now + TRANSFER_TIME, SmolStr::new(host)));
            return Ok(());
        }
        let wait = self.ends[0].0.saturating_sub(now).as_millis() as u64;
        Err(wait + 1 + rank::weight("transfer", host) % SPREAD_MS)
    }
}
