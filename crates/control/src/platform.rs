//! When this daemon calls the platform.
//!
//! The platform serves about 2,000 calls a second over all daemons. A bucket
//! bounds each daemon, ranks decide who watches and who polls, and waits are
//! spread so that a mass restart stays below the bound.

use std::time::Duration;

use radishgauge_config::PartDigest;
use radishgauge_schema::config::IndexRoot;
use rand::Rng;
use rand_pcg::Pcg32;

use crate::event::RequestId;
use crate::ledger::VersionMark;

/// The calls that a daemon may make at once; a whole read takes 33.
pub const BURST: u32 = 40;

/// The calls that a daemon may make each second.
pub const RATE: u32 = 20;

/// How often readers behind the first two, and relays for host lists, look.
pub const POLL: Duration = Duration::from_secs(30);

/// The readers and relays that keep a watch.
pub const WATCHERS: usize = 2;

/// The first wait after a failed call, doubled up to [`POLL`].
const BACKOFF: Duration = Duration::from_secs(1);

/// The shortest time between two watches, for a platform that answers at once.
const REWATCH: Duration = Duration::from_millis(100);

/// A token bucket over platform calls.
#[derive(Debug, Clone)]
pub struct CallBudget {
    tokens: f64,
    at: Duration,
}

impl Default for CallBudget {
    fn default() -> CallBudget {
        CallBudget {
            tokens: f64::from(BURST),
            at: Duration::ZERO,
        }
    }
}

impl CallBudget {
    /// Takes one call out of the bucket; returns whether there was one.
    pub fn take(&mut self, now: Duration) -> bool {
        let gained = now.saturating_sub(self.at).as_secs_f64() * f64::from(RATE);
        self.tokens = (self.tokens + gained).min(f64::from(BURST));
        self.at = now;
        let some = self.tokens >= 1.0;
        if some {
            self.tokens -= 1.0;
        }
        some
    }
}

/// How a value is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowMode {
    /// Not at all.
    Off,
    /// By a waiting call.
    Watch,
    /// By reads every [`POLL`].
    Poll,
}

impl FollowMode {
    /// Returns how a relay follows the host list of its failure domain: a list
    /// is 60 KB at 1,000 hosts, so only the first relay watches, and the second
    /// polls in case the first has lost the platform.
    pub fn of_list_rank(rank: Option<usize>) -> FollowMode {
        match rank {
            Some(0) => FollowMode::Watch,
            Some(1) => FollowMode::Poll,
            Some(_) | None => FollowMode::Off,
        }
    }

    /// Returns the mode of a rank; `None` has no rank.
    pub fn of_rank(rank: Option<usize>) -> FollowMode {
        match rank {
            None => FollowMode::Off,
            Some(rank) if rank < WATCHERS => FollowMode::Watch,
            Some(_) => FollowMode::Poll,
        }
    }
}

/// One platform value that is followed.
#[derive(Debug, Clone, Default)]
pub struct FollowedValue {
    /// The digest of the value last seen.
    pub known: Option<PartDigest>,
    call: Option<(RequestId, Duration)>,
    next: Duration,
    failures: u32,
    spread: bool,
}

impl FollowedValue {
    /// Returns whether a call should be made now.
    pub fn due(&mut self, mode: FollowMode, now: Duration, rng: &mut Pcg32) -> bool {
        if mode == FollowMode::Off {
            self.spread = false;
            return false;
        }
        // The first poll comes at a random point of the period, so that polls
        // of daemons that started together are spread.
        if mode == FollowMode::Poll
            && !std::mem::replace(&mut self.spread, true)
            && self.failures == 0
        {
            self.next = now + POLL.mul_f64(rng.random());
        }
        if mode == FollowMode::Watch
            && std::mem::replace(&mut self.spread, false)
            && self.failures == 0
        {
            self.next = now;
        }
        match self.call {
            // A call whose answer the daemon never gave is made again.
            Some((_, until)) => now >= until,
            None => now >= self.next,
        }
    }

    /// Notes that a call was made, and the longest time that it may take.
    pub fn called(&mut self, id: RequestId, until: Duration) {
        self.call = Some((id, until));
    }

    /// Notes the end of a call; returns whether it was this value's.
    pub fn ended(
        &mut self,
        id: RequestId,
        ok: bool,
        mode: FollowMode,
        now: Duration,
        rng: &mut Pcg32,
    ) -> bool {
        if self.call.is_none_or(|(call, _)| call != id) {
            return false;
        }
        self.call = None;
        let jitter = rng.random_range(0.5..1.0);
        self.failures = if ok { 0 } else { self.failures + 1 };
        self.next = now
            + match (ok, mode) {
                (false, _) => (BACKOFF * 2u32.pow(self.failures.min(6) - 1))
                    .min(POLL)
                    .mul_f64(jitter),
                (true, FollowMode::Watch) => REWATCH,
                (true, _) => POLL.mul_f64(0.5 + jitter),
            };
        true
    }

    /// Returns whether the last call failed.
    pub fn failing(&self) -> bool {
        self.failures > 0
    }
}

/// The platform's root and who reads it when.
#[derive(Debug, Clone, Default)]
pub struct ReadPlan {
    /// The followed root.
    pub root: FollowedValue,
    /// The followed host list of the own failure domain.
    pub hosts: FollowedValue,
    /// The newest root seen that is not in force, and when it was seen.
    pub seen: Option<(IndexRoot, VersionMark, Duration)>,
    /// The earliest time of the next read of a version.
    pub retry_at: Duration,
    /// When the platform last answered.
    pub contact: Option<Duration>,
}

impl ReadPlan {
    /// Returns when a rank may read the root that was seen: each waits for the
    /// ranks before it.
    pub fn read_at(&self, rank: usize, stagger: Duration) -> Option<Duration> {
        let (_, _, seen) = self.seen.as_ref()?;
        Some(self.retry_at.max(*seen + stagger * rank as u32))
    }
}
