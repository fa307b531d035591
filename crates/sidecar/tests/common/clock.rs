//! A clock that a test sets.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use radishgauge_net::clock::ProcessClock;

/// A clock that a test sets.
#[derive(Default)]
pub struct ManualClock {
    millis: AtomicU64,
}

impl ManualClock {
    pub fn set(&self, millis: u64) {
        self.millis.store(millis, Ordering::Relaxed);
    }
}

impl ProcessClock for ManualClock {
    fn now(&self) -> Duration {
        Duration::from_millis(self.millis.load(Ordering::Relaxed))
    }
}
