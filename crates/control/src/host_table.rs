//! The lifecycle state of each host, as one daemon knows it.
//!
//! Three sources can disagree: the platform's list, which lags; the sessions of
//! this daemon; and the host's own notices. A host's own notice that it is
//! leaving has priority, sessions determine reachability, and only the list
//! marks a host as gone.

use std::marker::PhantomData;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_schema::config::HostState;
use smol_str::SmolStr;

/// Typestate of [`HostPhase::Joining`].
#[derive(Debug, Clone, Copy)]
pub struct Joining;
/// Typestate of [`HostPhase::Cold`].
#[derive(Debug, Clone, Copy)]
pub struct Cold;
/// Typestate of [`HostPhase::Serving`].
#[derive(Debug, Clone, Copy)]
pub struct Serving;
/// Typestate of [`HostPhase::Leaving`].
#[derive(Debug, Clone, Copy)]
pub struct Leaving;
/// Typestate of [`HostPhase::Gone`].
#[derive(Debug, Clone, Copy)]
pub struct Gone;

/// One incarnation of a host in the phase `S`; a transition consumes it.
#[derive(Debug, Clone, Copy)]
pub struct HostLifecycle<S> {
    incarnation: u64,
    since: Duration,
    state: PhantomData<S>,
}

impl<S> HostLifecycle<S> {
    fn enter<T>(self, now: Duration) -> HostLifecycle<T> {
        HostLifecycle {
            incarnation: self.incarnation,
            since: now,
            state: PhantomData,
        }
    }

    /// Transitions to `Gone`: the platform no longer lists the host.
    pub fn end(self, now: Duration) -> HostLifecycle<Gone> {
        self.enter(now)
    }
}

impl HostLifecycle<Joining> {
    /// Starts a lifecycle for an incarnation, given as a start time in ms.
    pub fn begin(incarnation: u64, now: Duration) -> HostLifecycle<Joining> {
        HostLifecycle {
            incarnation,
            since: now,
            state: PhantomData,
        }
    }

    /// Transitions to `Cold`: a session with the host was established.
    pub fn observe(self, now: Duration) -> HostLifecycle<Cold> {
        self.enter(now)
    }

    /// Transitions to `Leaving`: the host accepts no new work.
    pub fn leave(self, now: Duration) -> HostLifecycle<Leaving> {
        self.enter(now)
    }
}

impl HostLifecycle<Cold> {
    /// Transitions to `Serving`: the host has been up for the warm-up time.
    pub fn serve(self, now: Duration) -> HostLifecycle<Serving> {
        self.enter(now)
    }

    /// Transitions to `Leaving`: the host accepts no new work.
    pub fn leave(self, now: Duration) -> HostLifecycle<Leaving> {
        self.enter(now)
    }
}

impl HostLifecycle<Serving> {
    /// Transitions to `Leaving`: the host accepts no new work.
    pub fn leave(self, now: Duration) -> HostLifecycle<Leaving> {
        self.enter(now)
    }
}

#[derive(Debug, Clone, Copy)]
enum AnyLifecycle {
    Joining(HostLifecycle<Joining>),
    Cold(HostLifecycle<Cold>),
    Serving(HostLifecycle<Serving>),
    Leaving(HostLifecycle<Leaving>),
    Gone(HostLifecycle<Gone>),
}

/// The phase of a host's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostPhase {
    /// The host is listed, and no session with this incarnation was established.
    Joining,
    /// A session was established, and the warm-up time is not over.
    Cold,
    /// The warm-up time is over.
    Serving,
    /// The host accepts no new work.
    Leaving,
    /// The platform no longer lists the host.
    Gone,
}

/// The state of a host, as one daemon knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostStatus {
    /// The phase of the current incarnation.
    pub phase: HostPhase,
    /// The start time of the host's daemon in ms; 0 if unknown.
    pub incarnation: u64,
    /// Whether a dial or request of this daemon failed, and no session has been
    /// established since.
    pub unreachable: bool,
}

/// The time from the first session with a host until its phase is `Serving`.
/// Targets have their own ramps, so this affects nothing but the phase.
const WARM_AFTER: Duration = Duration::from_secs(30);

/// The wait before an unreachable host is dialled again, doubled with each
/// failure up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_secs(4);

/// The maximum wait before an unreachable host is dialled again.
const RETRY_MAX: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct HostRecord {
    lifecycle: AnyLifecycle,
    retry: Option<Duration>,
    failures: u32,
}

/// The state of every host that is listed, connected or a target in scope.
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    hosts: IndexMap<SmolStr, HostRecord>,
    cold: Vec<SmolStr>,
}

impl HostTable {
    /// Returns the state of a host; an unknown host is `Joining`.
    pub fn host_status(&self, host: &str) -> HostStatus {
        match self.hosts.get(host) {
            Some(record) => HostStatus {
                phase: record.phase(),
                incarnation: record.incarnation(),
                unreachable: record.retry.is_some(),
            },
            None => HostStatus {
                phase: HostPhase::Joining,
                incarnation: 0,
                unreachable: false,
            },
        }
    }

    /// Returns whether a host may have a role: not leaving, gone or unreachable.
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

    /// Applies an entry of the platform's list; returns whether the host's state
    /// changed.
    pub fn apply_entry(
        &mut self,
        host: &SmolStr,
        incarnation: u64,
        state: HostState,
        now: Duration,
    ) -> bool {
        let before = self
            .hosts
            .contains_key(host)
            .then(|| self.host_status(host));
        if state == HostState::Gone && before.is_none() {
            return false;
        }
        let record = self.record(host, incarnation, now);
        if incarnation >= record.incarnation() {
            match state {
                HostState::Gone => record.lifecycle = AnyLifecycle::Gone(record.untyped().end(now)),
                HostState::Leaving => record.leave(now),
                HostState::Live | HostState::Unspecified => {}
            }
        }
        before != Some(self.host_status(host))
    }

    /// Marks a host as gone that a newer list has no entry for; returns whether
    /// its state changed.
    pub fn mark_gone(&mut self, host: &str, now: Duration) -> bool {
        let Some(record) = self.hosts.get_mut(host) else {
            return false;
        };
        let changed = record.phase() != HostPhase::Gone;
        if changed {
            record.lifecycle = AnyLifecycle::Gone(record.untyped().end(now));
        }
        changed
    }

    /// Records that a session with the host was established; returns whether the
    /// host's state changed.
    pub fn observe(&mut self, host: &SmolStr, incarnation: u64, now: Duration) -> bool {
        let before = self.host_status(host);
        let record = self.record(host, incarnation, now);
        if incarnation < record.incarnation() {
            return false;
        }
        record.retry = None;
        record.failures = 0;
        if let AnyLifecycle::Joining(lifecycle) = record.lifecycle {
            record.lifecycle = AnyLifecycle::Cold(lifecycle.observe(now));
            self.cold.push(host.clone());
        }
        before != self.host_status(host)
    }

    /// Records that a dial or request failed; returns whether the host's state
    /// changed.
    pub fn record_failure(&mut self, host: &SmolStr, now: Duration) -> bool {
        let before = self.host_status(host);
        let record = self.record(host, 0, now);
        let wait = (RETRY_MIN * 2u32.pow(record.failures.min(4))).min(RETRY_MAX);
        record.retry = Some(now + wait);
        record.failures += 1;
        before != self.host_status(host)
    }

    /// Records a host's own notice that it is leaving; returns whether it is new.
    pub fn leave(&mut self, host: &SmolStr, incarnation: u64, now: Duration) -> bool {
        let record = self.record(host, incarnation, now);
        let is_new = incarnation == record.incarnation() && record.phase() < HostPhase::Leaving;
        if is_new {
            record.leave(now);
        }
        is_new
    }

    /// Moves hosts whose warm-up time is over from `Cold` to `Serving`; returns
    /// whether there were any.
    pub fn finish_warm_up(&mut self, now: Duration) -> bool {
        let before = self.cold.len();
        let hosts = &mut self.hosts;
        self.cold.retain(|host| match hosts.get_mut(host) {
            Some(record) => match record.lifecycle {
                AnyLifecycle::Cold(lifecycle) if now >= lifecycle.since + WARM_AFTER => {
                    record.lifecycle = AnyLifecycle::Serving(lifecycle.serve(now));
                    false
                }
                AnyLifecycle::Cold(_) => true,
                _ => false,
            },
            None => false,
        });
        self.cold.len() != before
    }

    /// Removes all hosts for which `keep` returns false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SmolStr) -> bool,
    {
        self.hosts.retain(|host, _| keep(host));
    }

    // A later incarnation starts a new lifecycle; an earlier one has no effect.
    fn record(&mut self, host: &SmolStr, incarnation: u64, now: Duration) -> &mut HostRecord {
        let record = self
            .hosts
            .entry(host.clone())
            .or_insert_with(|| HostRecord {
                lifecycle: AnyLifecycle::Joining(HostLifecycle::begin(incarnation, now)),
                retry: None,
                failures: 0,
            });
        if incarnation > record.incarnation() {
            *record = HostRecord {
                lifecycle: AnyLifecycle::Joining(HostLifecycle::begin(incarnation, now)),
                retry: None,
                failures: 0,
            };
        }
        record
    }
}

impl HostRecord {
    fn untyped(&self) -> HostLifecycle<()> {
        let (incarnation, since) = match self.lifecycle {
            AnyLifecycle::Joining(lifecycle) => (lifecycle.incarnation, lifecycle.since),
            AnyLifecycle::Cold(lifecycle) => (lifecycle.incarnation, lifecycle.since),
            AnyLifecycle::Serving(lifecycle) => (lifecycle.incarnation, lifecycle.since),
            AnyLifecycle::Leaving(lifecycle) => (lifecycle.incarnation, lifecycle.since),
            AnyLifecycle::Gone(lifecycle) => (lifecycle.incarnation, lifecycle.since),
        };
        HostLifecycle {
            incarnation,
            since,
            state: PhantomData,
        }
    }

    fn incarnation(&self) -> u64 {
        self.untyped().incarnation
    }

    fn phase(&self) -> HostPhase {
        match self.lifecycle {
            AnyLifecycle::Joining(_) => HostPhase::Joining,
            AnyLifecycle::Cold(_) => HostPhase::Cold,
            AnyLifecycle::Serving(_) => HostPhase::Serving,
            AnyLifecycle::Leaving(_) => HostPhase::Leaving,
            AnyLifecycle::Gone(_) => HostPhase::Gone,
        }
    }

    fn leave(&mut self, now: Duration) {
        self.lifecycle = match self.lifecycle {
            AnyLifecycle::Joining(lifecycle) => AnyLifecycle::Leaving(lifecycle.leave(now)),
            AnyLifecycle::Cold(lifecycle) => AnyLifecycle::Leaving(lifecycle.leave(now)),
            AnyLifecycle::Serving(lifecycle) => AnyLifecycle::Leaving(lifecycle.leave(now)),
            ended => ended,
        };
    }
}
