//! Finding sessions that went silent.
//!
//! A connection can stop carrying bytes while new ones work. Keep-alives on
//! all sessions would use most of a daemon's byte budget, so a session is
//! probed only while a call waits on it.

use std::time::Duration;

/// A call that has received nothing for this long causes a ping.
pub const PING_AFTER: Duration = Duration::from_secs(1);

/// A session whose ping was not answered for this long is silent.
pub const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// A tick that comes later than asked for by this much means that the process
/// was paused. An answer to its ping may wait unread, so the ping gets its time
/// once more.
const PAUSED: Duration = Duration::from_millis(500);

/// A session or connection that was idle for this long may be dead without a
/// sign; a new connection takes about 1 ms.
pub const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// What to do with a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeAction {
    /// Nothing until the time, or until the next event when there is none.
    Wait(Option<Duration>),
    /// Send a ping on a new stream.
    Ping,
    /// Close the session, end its calls by their verdicts and dial again.
    Silent,
}

/// Watches one session for silence.
#[derive(Debug, Clone)]
pub struct SessionProbe {
    waiting: u32,
    received: Duration,
    waiting_since: Duration,
    ping: Option<Duration>,
    extended: bool,
}

impl SessionProbe {
    /// Returns the probe of a session that was opened now.
    pub fn new(now: Duration) -> SessionProbe {
        SessionProbe {
            waiting: 0,
            received: now,
            waiting_since: now,
            ping: None,
            extended: false,
        }
    }

    /// Whether the session must answer a ping before the call is sent: it was
    /// idle, and the call may not be sent a second time.
    pub fn needs_ping(&self, repeatable: bool, now: Duration) -> bool {
        !repeatable && now.saturating_sub(self.received) >= IDLE_LIMIT
    }

    /// Whether a call waits on the session.
    pub fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Records that a call or a ping before a call was sent.
    pub fn call_sent(&mut self, now: Duration) {
        if self.waiting == 0 {
            self.waiting_since = now;
        }
        self.waiting += 1;
    }

    /// Records that a call ended, with or without an answer.
    pub fn call_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.ping = None;
        }
    }

    /// Records that anything came from the peer.
    pub fn received(&mut self, now: Duration) {
        self.received = now;
        self.ping = None;
    }

    /// Returns what to do now. A ping that is asked for counts as sent.
    pub fn tick(&mut self, now: Duration) -> ProbeAction {
        if self.waiting == 0 {
            return ProbeAction::Wait(None);
        }
        if let Some(sent) = self.ping {
            let until = sent + PING_TIMEOUT;
            if now < until {
                return ProbeAction::Wait(Some(until));
            }
            if now < until + PAUSED || self.extended {
                return ProbeAction::Silent;
            }
            self.extended = true;
            self.ping = Some(now);
            return ProbeAction::Wait(Some(now + PING_TIMEOUT));
        }
        let until = self.received.max(self.waiting_since) + PING_AFTER;
        if now >= until {
            self.ping = Some(now);
            self.extended = false;
            return ProbeAction::Ping;
        }
        ProbeAction::Wait(Some(until))
    }
}

/// Whether a connection to a target that was last used at the time is replaced
/// rather than used again.
pub fn is_idle(last_used: Duration, now: Duration) -> bool {
    now.saturating_sub(last_used) >= IDLE_LIMIT
}
