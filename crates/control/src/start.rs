//! How a daemon without any state finds a version.
//!
//! Hosts have no disk, so every start is fresh. Peers come first, because the
//! platform may be stale; the platform comes after a wait, and spread out,
//! because thousands of daemons may start together.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg32;

/// The heads that a fresh daemon asks for.
pub const ASKED: usize = 3;

/// The spread of first reads of the host list by daemons that are not seeds.
pub const LIST_SPREAD: Duration = Duration::from_secs(30);

/// The spread of whole reads by lone daemons that are not relays.
pub const LONE_SPREAD: Duration = Duration::from_secs(120);

/// The progress of a fresh start.
#[derive(Debug, Clone)]
pub struct FreshStart {
    alone_at: Duration,
    seed: bool,
    answers: usize,
    list_at: Option<Duration>,
    lone_at: Option<Duration>,
}

impl FreshStart {
    /// Returns a start at this time; `seed` tells whether settings name this
    /// daemon as a seed.
    pub fn new(now: Duration, alone_after: Duration, seed: bool) -> FreshStart {
        FreshStart {
            alone_at: now + alone_after,
            seed,
            answers: 0,
            list_at: None,
            lone_at: None,
        }
    }

    /// Notes that a peer gave its head.
    pub fn answered(&mut self) {
        self.answers += 1;
    }

    /// Returns whether the daemon may take a version from the platform.
    pub fn may_read(&self, now: Duration) -> bool {
        self.answers >= ASKED || now >= self.alone_at
    }

    /// Returns whether the host list is to be read from the platform now.
    pub fn list_due(&mut self, now: Duration, rng: &mut Pcg32) -> bool {
        if now < self.alone_at {
            return false;
        }
        let first = if self.seed { 0.0 } else { rng.random() };
        let at = *self.list_at.get_or_insert(now + LIST_SPREAD.mul_f64(first));
        let due = now >= at;
        if due {
            let again = LIST_SPREAD.mul_f64(rng.random_range(0.5..1.0));
            self.list_at = Some(now + again);
        }
        due
    }

    /// Returns whether a lone daemon that is no relay may read the whole version.
    pub fn lone_due(&mut self, now: Duration, rng: &mut Pcg32) -> bool {
        if now < self.alone_at {
            return false;
        }
        let spread = LONE_SPREAD.mul_f64(rng.random());
        now >= *self.lone_at.get_or_insert(now + spread)
    }

    /// Puts the next lone read off, after one that failed.
    pub fn lone_failed(&mut self, now: Duration, rng: &mut Pcg32) {
        self.lone_at = Some(now + LONE_SPREAD.mul_f64(rng.random_range(0.5..1.0)));
    }
}
