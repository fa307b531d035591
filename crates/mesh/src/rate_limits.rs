//! The rate limits of one target: the one of its cold phase, and the one that it
//! declares. A request must be allowed by both.

use std::time::Duration;

use crate::cold_rate_limit::ColdRateLimit;
use crate::declared_rate_limit::DeclaredRateLimit;

/// The limit that holds requests back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateLimitKind {
    /// The rate of the target's cold phase.
    Cold,
    /// The rate that the target declares.
    Declared,
}

/// The rate limits of one target.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    /// The limit of the cold phase.
    pub cold: ColdRateLimit,
    /// The limit that the target declares.
    pub declared: DeclaredRateLimit,
}

impl RateLimits {
    /// Returns the limits of a target whose daemon has started at the time `started`.
    pub fn after_start(started: Duration) -> RateLimits {
        RateLimits {
            cold: ColdRateLimit::after_start(started),
            declared: DeclaredRateLimit::default(),
        }
    }

    /// Returns the earliest time at which the next request may be sent, at least
    /// `now`.
    pub fn next_allowed(&self, now: Duration) -> Duration {
        let cold = self.cold.next_allowed(now);
        cold.max(self.declared.next_allowed(now))
    }

    /// Returns the lower limit in requests a second, and which one it is; `None`
    /// while there is no limit.
    pub fn lowest(&self, now: Duration) -> Option<(f64, RateLimitKind)> {
        let cold = self.cold.rate(now);
        match (cold, self.declared.per_second()) {
            (Some(cold), Some(declared)) if cold < declared => Some((cold, RateLimitKind::Cold)),
            (_, Some(declared)) => Some((declared, RateLimitKind::Declared)),
            (Some(cold), None) => Some((cold, RateLimitKind::Cold)),
            (None, None) => None,
        }
    }

    /// Returns the expected wait of a request behind `ahead` others; `None` if the
    /// limit lets nothing pass.
    pub fn expected_wait(&self, ahead: usize, now: Duration) -> Option<Duration> {
        if self.cold.awaits_statement(now) {
            // Most targets are warm, and are served as soon as they have said so.
            return Some(Duration::ZERO);
        }
        let Some((rate, _)) = self.lowest(now) else {
            return Some(Duration::ZERO);
        };
        let first = self.next_allowed(now).saturating_sub(now);
        let behind = Duration::try_from_secs_f64(ahead as f64 / rate).ok()?;
        first.checked_add(behind)
    }

    /// Counts a request that is sent at the time `now`.
    pub fn record(&mut self, now: Duration) {
        self.cold.record(now);
        self.declared.record(now);
    }
}
