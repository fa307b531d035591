//! The clock of the process, as a trait.
//!
//! All decisions are based on the time since the start of the process. Only
//! this module reads the system's clocks.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Measures the time since a fixed instant of this process.
pub trait ProcessClock: Send + Sync + 'static {
    /// Returns the time since that instant.
    fn now(&self) -> Duration;
}

/// The monotonic clock of the system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Returns a clock that starts now.
    pub fn start() -> SystemClock {
        SystemClock {
            start: Instant::now(),
        }
    }
}

impl ProcessClock for SystemClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Returns the incarnation of a process that starts now: the wall-clock time in
/// ms. A process that restarts within the same ms gets the same incarnation.
pub fn incarnation_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
