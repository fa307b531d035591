//! Limits the number of full transfers that a daemon serves at once.
//!
//! After a mass restart, every daemon of a failure domain requests all pages
//! and parts from the same few relays. The limit bounds the relays' memory and
//! bandwidth. Refused daemons get a time to retry, spread by a hash.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use crate::rank;

/// How long an admitted transfer counts: the time of a 1 MB reply at 8 Mbit/s.
pub const TRANSFER_TIME: Duration = Duration::from_secs(1);

/// The range of the extra wait given to refused hosts, in ms.
const SPREAD_MS: u64 = 2000;

/// Admits full transfers up to a limit.
///
/// Requests of one host within [`TRANSFER_TIME`] count as one transfer, since a
/// full transfer takes several requests.
#[derive(Debug, Clone)]
pub struct TransferAdmission {
    limit: usize,
    ends: VecDeque<(Duration, SmolStr)>,
}

impl TransferAdmission {
    /// Creates an admission control for up to `limit` concurrent transfers.
    pub fn new(limit: usize) -> TransferAdmission {
        let ends = VecDeque::new();
        TransferAdmission { limit, ends }
    }

    /// Admits a transfer to a host, unless the limit is reached.
    ///
    /// # Errors
    ///
    /// The time in ms after which the host may retry, never 0.
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
