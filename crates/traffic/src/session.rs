//! Detection of unresponsive sessions.
//!
//! A connection can stop transmitting bytes while new connections work.
//! Keep-alives on all sessions would use most of a daemon's byte budget, so that
//! a session is probed only while a call is waiting for a response on it.

use std::time::Duration;

/// The time without any received byte, while a call is waiting, after which a
/// ping is sent.
pub const PING_AFTER: Duration = Duration::from_secs(1);

/// The time without a reply to a ping after which a session counts as
/// unresponsive.
pub const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// A tick that is late by this much shows that the process was paused. The reply
/// to its ping may have arrived unread, so that the timeout of the ping is
/// extended once.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// The idle time after which a session or connection may be dead unnoticed. A
/// replacement takes only about 1 ms to open.
pub const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// The next action for a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeAction {
    /// Do nothing until the given time, or until the next event if there is
    /// none.
    Wait(Option<Duration>),
    /// Send a ping on a new stream.
    Ping,
    /// The session is unresponsive: close it, end its calls according to their
    /// verdicts and reconnect.
    Silent,
}

/// Detects when one session becomes unresponsive.
#[derive(Debug, Clone)]
pub struct SessionProbe {
    waiting: u32,
    last_received: Duration,
    waiting_since: Duration,
    ping_sent_at: Option<Duration>,
    ping_extended: bool,
}

impl SessionProbe {
    /// Returns the probe of a session that was opened at `now`.
    pub fn new(now: Duration) -> SessionProbe {
        SessionProbe {
            waiting: 0,
            last_received: now,
            waiting_since: now,
            ping_sent_at: None,
            ping_extended: false,
        }
    }

    /// Returns whether the peer must reply to a ping before the call is sent:
    /// the session was idle, and the call must not be sent a second time.
    pub fn needs_ping(&self, repeatable: bool, now: Duration) -> bool {
        !repeatable && now.saturating_sub(self.last_received) >= IDLE_LIMIT
    }

    /// Returns whether any call is waiting on the session.
    pub fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Records that a call, or the ping that precedes it, was sent.
    pub fn call_sent(&mut self, now: Duration) {
        if self.waiting == 0 {
            self.waiting_since = now;
        }
        self.waiting += 1;
    }

    /// Records that a call ended, with or without a response.
    pub fn call_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.ping_sent_at = None;
        }
    }

    /// Records that bytes arrived from the peer.
    pub fn received(&mut self, now: Duration) {
        self.last_received = now;
        self.ping_sent_at = None;
    }

    /// Returns the action to take at `now`. A requested ping counts as sent.
    pub fn tick(&mut self, now: Duration) -> ProbeAction {
        if self.waiting == 0 {
            return ProbeAction::Wait(None);
        }
        if let Some(sent) = self.ping_sent_at {
            let until = sent + PING_TIMEOUT;
            if now < until {
                return ProbeAction::Wait(Some(until));
            }
            if now < until + PAUSE_THRESHOLD || self.ping_extended {
                return ProbeAction::Silent;
            }
            self.ping_extended = true;
            self.ping_sent_at = Some(now);
            return ProbeAction::Wait(Some(now + PING_TIMEOUT));
        }
        let until = self.last_received.max(self.waiting_since) + PING_AFTER;
        if now >= until {
            self.ping_sent_at = Some(now);
            self.ping_extended = false;
            return ProbeAction::Ping;
        }
        ProbeAction::Wait(Some(until))
    }
}

/// Returns whether a connection to a target that was last used at `last_used`
/// must be replaced instead of being reused.
pub fn is_idle(last_used: Duration, now: Duration) -> bool {
    now.saturating_sub(last_used) >= IDLE_LIMIT
}
