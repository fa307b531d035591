//! Limits the long answers that a host's link must send.
//!
//! A target may run more requests with long answers than its host's link can send
//! answers. All of them are then late, and the runs were for nothing. The daemon
//! beside the target therefore counts the answers that wait for the link, and those
//! of the requests that were admitted. It refuses a request whose answer could not
//! be sent within the objective, so that its sender can choose another host.

use std::time::Duration;

/// The fraction of the time that is left for a request which its answer may take on
/// this host. The rest is left for another host, since a refusal waits behind the
/// answers on the same link.
const USABLE_FRACTION: f64 = 2.0 / 3.0;

/// The long answers that one host's link must send.
#[derive(Debug, Clone)]
pub struct AnswerLink {
    /// What the link can send, in bytes a second.
    capacity: f64,
    /// The bytes that wait for the link, as of `updated_at`.
    backlog: f64,
    updated_at: Duration,
    /// The expected bytes of the answers of admitted requests.
    admitted: u64,
}

/// The long answer of an admitted request; to be ended with [`AnswerLink::end`].
#[derive(Debug, PartialEq, Eq)]
pub struct AnswerLease {
    bytes: u64,
}

impl AnswerLink {
    /// Returns an idle link that can send `capacity` bytes a second.
    pub fn new(capacity: f64) -> AnswerLink {
        AnswerLink {
            capacity: capacity.max(1.0),
            backlog: 0.0,
            updated_at: Duration::ZERO,
            admitted: 0,
        }
    }

    /// Changes the capacity.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(1.0);
    }

    /// Decides on a request whose answer is expected to have `bytes`. `run` is its
    /// expected service time, and `time_left` the time within which the answer is
    /// useful.
    ///
    /// # Errors
    ///
    /// When the answer could not be sent in time: the time after which it could.
    pub fn check(
        &mut self,
        bytes: u64,
        run: Duration,
        time_left: Duration,
        now: Duration,
    ) -> Result<(), Duration> {
        self.drain(now);
        let queued = self.backlog + (self.admitted + bytes) as f64;
        let drained = Duration::from_secs_f64(queued / self.capacity);
        let own = Duration::from_secs_f64(bytes as f64 / self.capacity);
        // The link sends while the request runs.
        let sent_after = drained.max(run + own);
        // An answer that takes too long on an idle link is not refused: no host sends
        // it sooner.
        let usable = time_left.mul_f64(USABLE_FRACTION).max(run + own);
        if sent_after <= usable {
            return Ok(());
        }
        Err(sent_after - usable)
    }

    /// Counts the answer of an admitted request.
    pub fn begin(&mut self, bytes: u64) -> AnswerLease {
        self.admitted += bytes;
        AnswerLease { bytes }
    }

    /// Ends a lease, whether its request was answered or not.
    pub fn end(&mut self, lease: AnswerLease) {
        self.admitted = self.admitted.saturating_sub(lease.bytes);
    }

    /// Records that the link must send an answer.
    pub fn record_sent(&mut self, bytes: u64, now: Duration) {
        self.drain(now);
        self.backlog += bytes as f64;
    }

    /// Returns the rate in bytes a second at which a long answer of `bytes` would
    /// be sent now, the wait for those before it included.
    pub fn rate(&mut self, bytes: u64, now: Duration) -> f64 {
        self.drain(now);
        let queued = self.backlog + self.admitted as f64;
        self.capacity * bytes as f64 / (queued + bytes as f64).max(1.0)
    }

    fn drain(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.backlog = (self.backlog - elapsed * self.capacity).max(0.0);
    }
}
