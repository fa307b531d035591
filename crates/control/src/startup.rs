//! When a newly started daemon may read from the platform.
//!
//! Hosts have no disk, so a daemon starts without a version. It tries peers
//! first, because the platform may be stale. It reads from the platform only
//! after a wait, which is randomized because thousands of daemons may start
//! together.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg32;

/// The number of peers' heads after which a daemon may follow the platform's
/// root.
pub const REQUIRED_ANSWERS: usize = 3;

/// The range of the random delay before a daemon that is not a seed reads the
/// host list.
pub const LIST_SPREAD: Duration = Duration::from_secs(30);

/// The range of the random delay before a daemon that is not a relay reads a
/// full version because no peer has announced one.
pub const FULL_READ_SPREAD: Duration = Duration::from_secs(120);

/// The progress of a start until a version is in force.
#[derive(Debug, Clone)]
pub struct StartupProgress {
    alone_at: Duration,
    seed: bool,
    answers: usize,
    list_at: Option<Duration>,
    full_read_at: Option<Duration>,
}

impl StartupProgress {
    /// Creates the state of a start at `now`; `seed` is true if the settings list
    /// this daemon as a seed.
    pub fn new(now: Duration, alone_after: Duration, seed: bool) -> StartupProgress {
        StartupProgress {
            alone_at: now + alone_after,
            seed,
            answers: 0,
            list_at: None,
            full_read_at: None,
        }
    }

    /// Records that a peer replied with its head.
    pub fn answered(&mut self) {
        self.answers += 1;
    }

    /// Returns whether the daemon may follow the platform's root.
    pub fn may_read(&self, now: Duration) -> bool {
        self.answers >= REQUIRED_ANSWERS || now >= self.alone_at
    }

    /// Returns whether a read of the host list from the platform is due.
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

    /// Returns whether a read of a full version is due, in a daemon that is not a
    /// relay and has no version from peers.
    pub fn full_read_due(&mut self, now: Duration, rng: &mut Pcg32) -> bool {
        if now < self.alone_at {
            return false;
        }
        let spread = FULL_READ_SPREAD.mul_f64(rng.random());
        now >= *self.full_read_at.get_or_insert(now + spread)
    }

    /// Schedules the next read of a full version after one that failed.
    pub fn full_read_failed(&mut self, now: Duration, rng: &mut Pcg32) {
        self.full_read_at = Some(now + FULL_READ_SPREAD.mul_f64(rng.random_range(0.5..1.0)));
    }
}
