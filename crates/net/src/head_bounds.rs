//! Bounds of request heads, which follow the configuration while connections are open.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Bounds of the request heads of all connections to an address. They can be changed while
/// connections are open.
#[derive(Debug)]
pub struct HeadBounds {
    bytes: AtomicUsize,
    time_ms: AtomicU64,
    /// The greatest values that can be set.
    greatest: HeadLimits,
}

/// Bounds of one request head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeadLimits {
    /// The greatest length in bytes.
    pub(crate) bytes: usize,
    /// How long a head may take to arrive after its first byte.
    pub(crate) time: Duration,
}

impl HeadBounds {
    pub(crate) fn new(greatest: HeadLimits) -> HeadBounds {
        HeadBounds {
            bytes: AtomicUsize::new(greatest.bytes),
            time_ms: AtomicU64::new(greatest.time.as_millis() as u64),
            greatest,
        }
    }

    /// Sets the greatest length in bytes of a head, and how long it may take, as far as the
    /// listener's own bounds allow.
    pub fn set(&self, bytes: usize, time: Duration) {
        let bytes = bytes.min(self.greatest.bytes);
        let time = time.min(self.greatest.time);
        self.bytes.store(bytes, Ordering::Relaxed);
        self.time_ms
            .store(time.as_millis() as u64, Ordering::Relaxed);
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn time(&self) -> Duration {
        Duration::from_millis(self.time_ms.load(Ordering::Relaxed))
    }
}
