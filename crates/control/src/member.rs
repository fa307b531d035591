//! The life of each host as others see it.
//!
//! Three inputs disagree at times: the platform's list, which lags; this
//! daemon's own observation; and what a host says of itself. A host's own word
//! counts most, observation decides reachability, and only the list ends a life.

use std::marker::PhantomData;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_schema::config::HostState;
use smol_str::SmolStr;

/// Listed, and not yet observed.
#[derive(Debug, Clone, Copy)]
pub struct Joining;
/// Observed in this incarnation, and not warm.
#[derive(Debug, Clone, Copy)]
pub struct Cold;
/// In service.
#[derive(Debug, Clone, Copy)]
pub struct Serving;
/// Takes no new work.
#[derive(Debug, Clone, Copy)]
pub struct Leaving;
/// Ended.
#[derive(Debug, Clone, Copy)]
pub struct Gone;

/// One incarnation of a host in one state; each change of state consumes it.
#[derive(Debug, Clone, Copy)]
pub struct HostLife<S> {
    incarnation: u64,
    since: Duration,
    state: PhantomData<S>,
}

impl<S> HostLife<S> {
    fn enter<T>(self, now: Duration) -> HostLife<T> {
        HostLife {
            incarnation: self.incarnation,
            since: now,
            state: PhantomData,
        }
    }

    /// Ends the life.
    pub fn end(self, now: Duration) -> HostLife<Gone> {
        self.enter(now)
    }
}

impl HostLife<Joining> {
    /// Begins a life.
    pub fn begin(incarnation: u64, now: Duration) -> HostLife<Joining> {
        HostLife {
            incarnation,
            since: now,
            state: PhantomData,
        }
    }

    /// The host was observed.
    pub fn observe(self, now: Duration) -> HostLife<Cold> {
        self.enter(now)
    }

    /// The host takes no new work.
    pub fn leave(self, now: Duration) -> HostLife<Leaving> {
        self.enter(now)
    }
}

impl HostLife<Cold> {
    /// The host has been up long enough.
    pub fn serve(self, now: Duration) -> HostLife<Serving> {
        self.enter(now)
    }

    /// The host takes no new work.
    pub fn leave(self, now: Duration) -> HostLife<Leaving> {
        self.enter(now)
    }
}

impl HostLife<Serving> {
    /// The host takes no new work.
    pub fn leave(self, now: Duration) -> HostLife<Leaving> {
        self.enter(now)
    }
}

#[derive(Debug, Clone, Copy)]
enum AnyLife {
    Joining(HostLife<Joining>),
    Cold(HostLife<Cold>),
    Serving(HostLife<Serving>),
    Leaving(HostLife<Leaving>),
    Gone(HostLife<Gone>),
}

/// The state of a host's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostPhase {
    /// Listed, and not yet observed.
    Joining,
    /// Observed in this incarnation, and not warm.
    Cold,
    /// In service.
    Serving,
    /// Takes no new work.
    Leaving,
    /// Ended.
    Gone,
}

/// What a daemon believes of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostStanding {
    /// The state of its life.
    pub phase: HostPhase,
    /// Its start time in ms; 0 when unknown.
    pub incarnation: u64,
    /// Whether this daemon's own sessions to it fail.
    pub unreachable: bool,
}

/// A host that has been observed this long is in service; targets have their
/// own ramps, so this only ends the `Cold` mark.
const WARM_AFTER: Duration = Duration::from_secs(30);

/// The first wait before an unreachable host is dialled again, doubled for each
/// failure up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_secs(4);

/// The longest wait before an unreachable host is dialled again.
const RETRY_MAX: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct HostRecord {
    life: AnyLife,
    retry: Option<Duration>,
    failures: u32,
}

/// The standing of every host that a daemon has to do with.
#[derive(Debug, Clone, Default)]
pub struct HostBook {
    hosts: IndexMap<SmolStr, HostRecord>,
    cold: Vec<SmolStr>,
}

impl HostBook {
    /// Returns the standing of a host; an unknown host is `Joining`.
    pub fn standing(&self, host: &str) -> HostStanding {
        match self.hosts.get(host) {
            Some(record) => HostStanding {
                phase: record.phase(),
                incarnation: record.incarnation(),
                unreachable: record.retry.is_some(),
            },
            None => HostStanding {
                phase: HostPhase::Joining,
                incarnation: 0,
                unreachable: false,
            },
        }
    }

    /// Returns whether a host may hold a role: not leaving, gone or unreachable.
    pub fn usable(&self, host: &str) -> bool {
        self.hosts
            .get(host)
            .is_none_or(|record| record.retry.is_none() && record.phase() < HostPhase::Leaving)
    }

    /// Returns whether a host may be dialled now.
    pub fn may_dial(&self, host: &str, now: Duration) -> bool {
        self.hosts.get(host).is_none_or(|record| {
            record.phase() < HostPhase::Gone && record.retry.is_none_or(|at| at <= now)
        })
    }

    /// Takes the platform's word; returns whether the standing changed.
    pub fn list(
        &mut self,
        host: &SmolStr,
        incarnation: u64,
        state: HostState,
        now: Duration,
    ) -> bool {
        let before = self.hosts.contains_key(host).then(|| self.standing(host));
        if state == HostState::Gone && before.is_none() {
            return false;
        }
        let record = self.record(host, incarnation, now);
        if incarnation >= record.incarnation() {
            match state {
                HostState::Gone => record.life = AnyLife::Gone(record.bare().end(now)),
                HostState::Leaving => record.leave(now),
                HostState::Live | HostState::Unspecified => {}
            }
        }
        before != Some(self.standing(host))
    }

    /// Ends the life of a host that a newer list does not name.
    pub fn unlist(&mut self, host: &str, now: Duration) -> bool {
        let Some(record) = self.hosts.get_mut(host) else {
            return false;
        };
        let changed = record.phase() != HostPhase::Gone;
        if changed {
            record.life = AnyLife::Gone(record.bare().end(now));
        }
        changed
    }

    /// Notes that a session with the host is open; returns whether the standing
    /// changed.
    pub fn observe(&mut self, host: &SmolStr, incarnation: u64, now: Duration) -> bool {
        let before = self.standing(host);
        let record = self.record(host, incarnation, now);
        if incarnation < record.incarnation() {
            return false;
        }
        record.retry = None;
        record.failures = 0;
        if let AnyLife::Joining(life) = record.life {
            record.life = AnyLife::Cold(life.observe(now));
            self.cold.push(host.clone());
        }
        before != self.standing(host)
    }

    /// Notes that the host cannot be reached; returns whether the standing changed.
    pub fn fail(&mut self, host: &SmolStr, now: Duration) -> bool {
        let before = self.standing(host);
        let record = self.record(host, 0, now);
        let wait = (RETRY_MIN * 2u32.pow(record.failures.min(4))).min(RETRY_MAX);
        record.retry = Some(now + wait);
        record.failures += 1;
        before != self.standing(host)
    }

    /// Takes a host's own word that it leaves; returns whether it is news.
    pub fn leave(&mut self, host: &SmolStr, incarnation: u64, now: Duration) -> bool {
        let record = self.record(host, incarnation, now);
        let news = incarnation == record.incarnation() && record.phase() < HostPhase::Leaving;
        if news {
            record.leave(now);
        }
        news
    }

    /// Warms hosts whose time has come; returns whether any standing changed.
    pub fn warm(&mut self, now: Duration) -> bool {
        let before = self.cold.len();
        let hosts = &mut self.hosts;
        self.cold.retain(|host| match hosts.get_mut(host) {
            Some(record) => match record.life {
                AnyLife::Cold(life) if now >= life.since + WARM_AFTER => {
                    record.life = AnyLife::Serving(life.serve(now));
                    false
                }
                AnyLife::Cold(_) => true,
                _ => false,
            },
            None => false,
        });
        self.cold.len() != before
    }

    /// Forgets all hosts but those that `keep` names.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SmolStr) -> bool,
    {
        self.hosts.retain(|host, _| keep(host));
    }

    // A greater incarnation begins a new life; a smaller one changes nothing.
    fn record(&mut self, host: &SmolStr, incarnation: u64, now: Duration) -> &mut HostRecord {
        let record = self
            .hosts
            .entry(host.clone())
            .or_insert_with(|| HostRecord {
                life: AnyLife::Joining(HostLife::begin(incarnation, now)),
                retry: None,
                failures: 0,
            });
        if incarnation > record.incarnation() {
            *record = HostRecord {
                life: AnyLife::Joining(HostLife::begin(incarnation, now)),
                retry: None,
                failures: 0,
            };
        }
        record
    }
}

impl HostRecord {
    fn bare(&self) -> HostLife<()> {
        let (incarnation, since) = match self.life {
            AnyLife::Joining(life) => (life.incarnation, life.since),
            AnyLife::Cold(life) => (life.incarnation, life.since),
            AnyLife::Serving(life) => (life.incarnation, life.since),
            AnyLife::Leaving(life) => (life.incarnation, life.since),
            AnyLife::Gone(life) => (life.incarnation, life.since),
        };
        HostLife {
            incarnation,
            since,
            state: PhantomData,
        }
    }

    fn incarnation(&self) -> u64 {
        self.bare().incarnation
    }

    fn phase(&self) -> HostPhase {
        match self.life {
            AnyLife::Joining(_) => HostPhase::Joining,
            AnyLife::Cold(_) => HostPhase::Cold,
            AnyLife::Serving(_) => HostPhase::Serving,
            AnyLife::Leaving(_) => HostPhase::Leaving,
            AnyLife::Gone(_) => HostPhase::Gone,
        }
    }

    fn leave(&mut self, now: Duration) {
        self.life = match self.life {
            AnyLife::Joining(life) => AnyLife::Leaving(life.leave(now)),
            AnyLife::Cold(life) => AnyLife::Leaving(life.leave(now)),
            AnyLife::Serving(life) => AnyLife::Leaving(life.leave(now)),
            ended => ended,
        };
    }
}
