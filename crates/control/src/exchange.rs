//! Gossip of version heads.
//!
//! A new head is pushed once to each peer that is not known to have it. A
//! periodic exchange with one random peer makes up for lost messages.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg32;

use crate::event::PeerKey;
use crate::peers::PeerTable;

/// Returns the peers that are not known to have `revision` or a newer one.
pub fn outdated_peers(peers: &PeerTable, revision: u64) -> Vec<PeerKey> {
    peers
        .iter()
        .filter(|(_, info)| info.revision < revision)
        .map(|(key, _)| key)
        .collect()
}

/// Schedules the periodic exchange of heads.
#[derive(Debug, Clone)]
pub struct ExchangeTimer {
    interval: Duration,
    next: Duration,
}

impl ExchangeTimer {
    /// Creates a timer whose first exchange is at a random time within `interval`.
    pub fn new(interval: Duration, now: Duration, rng: &mut Pcg32) -> ExchangeTimer {
        ExchangeTimer {
            interval,
            next: now + interval.mul_f64(rng.random()),
        }
    }

    /// Returns a random peer to exchange heads with, if an exchange is due.
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
