//! Detection of process pauses, after which the state may be outdated.
//!
//! A process that was paused resumes with the state it had before. Before it
//! acts on that state, it requests the head of one peer, with a timeout.

use std::time::Duration;

/// How long a resumed daemon waits for a reply from a peer.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether the control state of a daemon can be relied on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Freshness {
    /// The control loop runs on time, or a peer has replied since it ran late.
    #[default]
    Fresh,
    /// The loop ran late and a peer's head is awaited; new work waits.
    Checking,
    /// No peer replied in time; the daemon serves with the state it has.
    Isolated,
}

/// Detects pauses by the lateness of events.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    stale_after: Duration,
    state: Freshness,
    until: Duration,
}

impl PauseDetector {
    /// Creates a detector that reports a pause when a tick is more than
    /// `stale_after` late.
    pub fn new(stale_after: Duration) -> PauseDetector {
        PauseDetector {
            stale_after,
            state: Freshness::Fresh,
            until: Duration::ZERO,
        }
    }

    /// Returns the current freshness.
    pub fn state(&self) -> Freshness {
        self.state
    }

    /// Records the time of an event; returns its lateness if that indicates a
    /// pause.
    pub fn observe(&mut self, due: Duration, now: Duration) -> Option<Duration> {
        let late = now.saturating_sub(due);
        if late <= self.stale_after {
            return None;
        }
        self.state = Freshness::Checking;
        self.until = now + REPLY_TIMEOUT;
        Some(late)
    }

    /// Ends the wait for a peer if it timed out; returns whether it did.
    pub fn expire(&mut self, now: Duration) -> bool {
        let ends = self.state == Freshness::Checking && now >= self.until;
        if ends {
            self.state = Freshness::Isolated;
        }
        ends
    }

    /// Returns the time at which the wait for a peer ends, if there is one.
    pub fn deadline(&self) -> Option<Duration> {
        (self.state == Freshness::Checking).then_some(self.until)
    }

    /// Records a reply from a peer; returns whether the state was not `Fresh`.
    pub fn answered(&mut self) -> bool {
        std::mem::replace(&mut self.state, Freshness::Fresh) != Freshness::Fresh
    }
}
