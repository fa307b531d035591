//! The load of a host's network link, and which requests are offered to an
//! owner before their bodies are sent.
//!
//! An owner that is fully occupied refuses requests. Each refused body was sent
//! for nothing, and on a slow link the refused bodies of an overloaded service
//! delay the requests that could run. A sender therefore first asks the owner to
//! reserve a slot, and sends the body only if the owner agrees. Asking takes a
//! short message, so a body that takes less time to send than that goes without,
//! as long as few bytes are spent on refused bodies.

use std::time::Duration;

/// The time that a body may take on the unused part of a link before it must be
/// offered: about the time that asking takes.
const UNOFFERED_SEND_TIME: Duration = Duration::from_millis(1);

/// The greatest length of a body that is never offered, in bytes: an offer and its
/// reply are about as long.
const MAX_UNOFFERED_BODY: u64 = 600;

/// The time constant of the averages of the load.
const AVERAGE_TIME: Duration = Duration::from_secs(1);

/// The fraction of a link that refused bodies may use.
const MAX_REFUSED_FRACTION: f64 = 0.1;

/// The share of that fraction from which on all bodies are offered first. The rest
/// is left for the bodies that are on their way when senders learn of it.
const OFFER_ALL_SHARE: f64 = 0.5;

/// The least fraction of a link at which one more answer is received: a full link is
/// shared with the answers that it already carries.
const MIN_RECEIVE_FRACTION: f64 = 0.1;

/// A decaying average of a rate, in bytes a second.
#[derive(Debug, Clone, Copy, Default)]
struct ByteRate {
    average: f64,
    updated_at: Duration,
}

impl ByteRate {
    fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.average * (-age / AVERAGE_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, bytes: u64, now: Duration) {
        self.average = self.get(now) + bytes as f64 / AVERAGE_TIME.as_secs_f64();
        self.updated_at = now;
    }
}

/// The load of one host's link in both directions.
#[derive(Debug, Clone)]
pub struct LinkLoad {
    /// What the link can carry in each direction, in bytes a second.
    capacity: f64,
    sent: ByteRate,
    received: ByteRate,
    /// The part of `received` that belongs to refused requests.
    refused: ByteRate,
}

impl LinkLoad {
    /// Returns the load of an idle link that carries `capacity` bytes a second in
    /// each direction.
    pub fn new(capacity: f64) -> LinkLoad {
        LinkLoad {
            capacity,
            sent: ByteRate::default(),
            received: ByteRate::default(),
            refused: ByteRate::default(),
        }
    }

    /// Changes the capacity; the measured load remains.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
    }

    /// Records bytes that this host sent to another host.
    pub fn record_sent(&mut self, bytes: u64, now: Duration) {
        self.sent.add(bytes, now);
    }

    /// Records bytes that this host received from another host.
    pub fn record_received(&mut self, bytes: u64, now: Duration) {
        self.received.add(bytes, now);
    }

    /// Records that the received body of a request was refused.
    pub fn record_refused(&mut self, bytes: u64, now: Duration) {
        self.refused.add(bytes, now);
    }

    /// Returns the rate at which this host can still send, in bytes a second.
    pub fn free_send_rate(&self, now: Duration) -> f64 {
        (self.capacity - self.sent.get(now)).max(0.0)
    }

    /// Returns the rate at which this host can receive one more answer, in bytes a
    /// second.
    pub fn free_receive_rate(&self, now: Duration) -> f64 {
        let least = self.capacity * MIN_RECEIVE_FRACTION;
        self.unused_receive_rate(now).max(least)
    }

    fn unused_receive_rate(&self, now: Duration) -> f64 {
        (self.capacity - self.received.get(now)).max(0.0)
    }

    /// Returns the rate at which this host can still receive bodies that were not
    /// offered, in bytes a second; 0 if too many of them are refused.
    pub fn unoffered_rate(&self, now: Duration) -> f64 {
        let refused = self.refused.get(now);
        if refused > self.capacity * MAX_REFUSED_FRACTION * OFFER_ALL_SHARE {
            return 0.0;
        }
        self.unused_receive_rate(now)
    }
}

/// Returns whether a request must be offered before its body is sent over a path
/// with the given unused rate, in bytes a second.
pub fn needs_offer(body_bytes: u64, unused_rate: f64) -> bool {
    let free_bytes = unused_rate * UNOFFERED_SEND_TIME.as_secs_f64();
    body_bytes > MAX_UNOFFERED_BODY && body_bytes as f64 > free_bytes
}
