//! Scheduling and rate limiting of calls to the platform.
//!
//! The platform serves about 2,000 calls a second over all daemons. A token
//! bucket limits each daemon, ranks select the daemons that watch or poll, and
//! random delays keep a mass restart below the platform's limit.

use std::time::Duration;

use radishgauge_config::PartDigest;
use radishgauge_schema::config::IndexRoot;
use rand::Rng;
use rand_pcg::Pcg32;

use crate::event::RequestId;
use crate::ledger::VersionId;

/// The capacity of the token bucket in calls; reading a full version takes 33.
pub const BURST: u32 = 40;

/// The refill rate of the token bucket in calls a second.
pub const RATE: u32 = 20;

/// The average interval of polls, by readers after the first [`WATCHERS`] for
/// the root, and by the second relay of a failure domain for the host list.
pub const POLL_INTERVAL: Duration = Duration::from_secs(30);

/// The number of readers of a region that watch the root.
pub const WATCHERS: usize = 2;

/// The wait after a failed call, doubled with each further failure up to
/// [`POLL_INTERVAL`].
const BACKOFF: Duration = Duration::from_secs(1);

/// The minimum time between two watches, in case the platform replies at once.
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
    /// Takes one token from the bucket; returns whether there was one.
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

/// How a daemon keeps a platform value up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowMode {
    /// The value is not requested.
    Off,
    /// Long polling: each call waits until the value changes.
    Watch,
    /// Periodic calls, on average every [`POLL_INTERVAL`].
    Poll,
}

impl FollowMode {
    /// Returns the mode for the host list of a relay's failure domain.
    ///
    /// A list has 60 KB at 1,000 hosts, so only the first relay watches it. The
    /// second polls in case the first cannot reach the platform.
    pub fn of_list_rank(rank: Option<usize>) -> FollowMode {
        match rank {
            Some(0) => FollowMode::Watch,
            Some(1) => FollowMode::Poll,
            Some(_) | None => FollowMode::Off,
        }
    }

    /// Returns the mode for the root; `rank` is `None` for a daemon that is not a
    /// reader.
    pub fn of_rank(rank: Option<usize>) -> FollowMode {
        match rank {
            None => FollowMode::Off,
            Some(rank) if rank < WATCHERS => FollowMode::Watch,
            Some(_) => FollowMode::Poll,
        }
    }
}

/// The schedule of calls for one platform value.
#[derive(Debug, Clone, Default)]
pub struct FollowedValue {
    /// The digest of the value last received.
    pub known: Option<PartDigest>,
    call: Option<(RequestId, Duration)>,
    next: Duration,
    failures: u32,
    spread: bool,
}

impl FollowedValue {
    /// Returns whether a call is due.
    pub fn due(&mut self, mode: FollowMode, now: Duration, rng: &mut Pcg32) -> bool {
        if mode == FollowMode::Off {
            self.spread = false;
            return false;
        }
        // The first poll is at a random time within the interval, so that daemons
        // that started together do not poll together.
        if mode == FollowMode::Poll
            && !std::mem::replace(&mut self.spread, true)
            && self.failures == 0
        {
            self.next = now + POLL_INTERVAL.mul_f64(rng.random());
        }
        if mode == FollowMode::Watch
            && std::mem::replace(&mut self.spread, false)
            && self.failures == 0
        {
            self.next = now;
        }
        match self.call {
            // A call whose result was never reported is repeated.
            Some((_, until)) => now >= until,
            None => now >= self.next,
        }
    }

    /// Records that a call was made, which counts as lost at the time `until`.
    pub fn call_started(&mut self, id: RequestId, until: Duration) {
        self.call = Some((id, until));
    }

    /// Records the result of a call and schedules the next one; returns whether
    /// the call was for this value.
    pub fn call_ended(
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
                    .min(POLL_INTERVAL)
                    .mul_f64(jitter),
                (true, FollowMode::Watch) => REWATCH,
                (true, _) => POLL_INTERVAL.mul_f64(0.5 + jitter),
            };
        true
    }

    /// Returns whether the last call failed.
    pub fn failing(&self) -> bool {
        self.failures > 0
    }
}

/// The schedule of platform reads.
#[derive(Debug, Clone, Default)]
pub struct ReadPlan {
    /// The schedule of calls for the root.
    pub root: FollowedValue,
    /// The schedule of calls for the host list of the own failure domain.
    pub hosts: FollowedValue,
    /// The newest root received that is not in force, and the time of receipt.
    pub seen: Option<(IndexRoot, VersionId, Duration)>,
    /// The earliest time at which a version may be read.
    pub retry_at: Duration,
    /// The time of the platform's last successful response.
    pub last_response: Option<Duration>,
}

impl ReadPlan {
    /// Returns the time at which a reader may read the version of the root in
    /// `seen`: one `stagger` later for each rank before it.
    pub fn read_at(&self, rank: usize, stagger: Duration) -> Option<Duration> {
        let (_, _, seen) = self.seen.as_ref()?;
        Some(self.retry_at.max(*seen + stagger * rank as u32))
    }
}
