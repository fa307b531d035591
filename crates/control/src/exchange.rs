//! Whom a daemon tells of its head, and when.
//!
//! A head is pushed once to each peer that does not have it; a periodic
//! exchange with one random peer repairs what was lost.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg32;

use crate::event::PeerKey;
use crate::peers::PeerTable;

/// Returns the peers that are not known to have a revision.
pub fn behind(peers: &PeerTable, revision: u64) -> Vec<PeerKey> {
    peers
        .iter()
        .filter(|(_, info)| info.revision < revision)
        .map(|(key, _)| key)
        .collect()
}

/// Times the periodic exchange.
#[derive(Debug, Clone)]
pub struct ExchangeTimer {
    interval: Duration,
    next: Duration,
}

impl ExchangeTimer {
    /// Returns a timer whose first exchange is at a random point of the interval.
    pub fn new(interval: Duration, now: Duration, rng: &mut Pcg32) -> ExchangeTimer {
        ExchangeTimer {
            interval,
            next: now + interval.mul_f64(rng.random()),
        }
    }

    /// Returns the peer of the exchange that is due, if one is.
    pub fn due(&mut self, peers: &PeerTable, now: Duration, rng: &mut Pcg32) -> Option<PeerKey> {
        if now < self.next {
            return None;
        }
        self.next = now + self.interval.mul_f64(rng.random_range(0.9..1.1));
        if peers.is_empty() {
            return None;
        }
        peers.at(rng.random_range(0..peers.len()))
    }
}
