//! Load balancing: selects the target that a call is sent to.
//!
//! A sender knows only its own calls and the reports of targets, which arrive
//! late. It scores a target by the number of its own calls in flight there,
//! which is exact, by the smoothed response time and by the reported capacity.
//! Each sender considers only its own random subset of the targets, so that
//! senders don't all choose the target that last looked best.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use radishgauge_config::model::Criticality;
use rand::Rng;
use rand_pcg::Pcg32;
use smol_str::SmolStr;

use crate::home::HomeRule;
use crate::home::RegionKey;
use crate::link::LinkBudget;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::snapshot::Distance;
use crate::snapshot::ServiceEntry;
use crate::snapshot::ServiceKey;
use crate::snapshot::TargetEntry;
use crate::snapshot::TargetKey;
use crate::snapshot::TrafficSnapshot;
use crate::stats::TargetStats;

/// How long a target is skipped after it refused a call for lack of capacity.
/// About the time in which a full queue drains by a quarter.
const FULL_PAUSE: Duration = Duration::from_millis(10);

/// How long a target is avoided after the session to its daemon broke or the
/// target refused the connection. This leaves time to open a new session, so
/// that the next calls don't fail in the same way.
const BROKEN_PAUSE: Duration = Duration::from_millis(250);

/// How long a target is avoided after it reported that it accepts no work at
/// all. The next snapshot excludes it; this bridges the time until then.
const CLOSED_PAUSE: Duration = Duration::from_secs(1);

/// How a target is chosen among those at the same distance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PickRule {
    /// The better of two random targets.
    TwoChoices,
    /// The best target of the whole subset, with ties broken at random. A sender
    /// has few calls in flight at each target, so that two random targets often
    /// have the same score; the subset is small enough to be scanned.
    #[default]
    LeastLoaded,
}

/// The properties of a request that target selection depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PickRequest {
    /// The regions in which the request may be handled.
    pub home: HomeRule,
    /// How important the request is: a target that is full for less critical
    /// requests may still have capacity for critical ones.
    pub criticality: Criticality,
    /// The size of the request in bytes, which is charged to the link budget
    /// when the target is in another region.
    pub bytes: u64,
}

/// The targets that one call was already sent to; a retry excludes them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TriedTargets(Vec<TargetKey>);

impl TriedTargets {
    /// Adds a target to the set.
    pub fn insert(&mut self, target: TargetKey) {
        self.0.push(target);
    }

    /// Returns whether the call was already sent to the target.
    pub fn contains(&self, target: TargetKey) -> bool {
        self.0.contains(&target)
    }

    /// Returns the number of attempts so far.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the call was not sent to any target yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// How a call to a target ended, from its sender's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target responded without a server error.
    Answered {
        /// The number of concurrent requests that the target's daemon reported.
        capacity: u32,
    },
    /// The target responded with a server error.
    Failed {
        /// The number of concurrent requests that the target's daemon reported.
        capacity: u32,
    },
    /// The target's daemon refused the call.
    Refused {
        /// The reason in the daemon's refusal.
        reason: RefusalReason,
    },
    /// The session broke, was unresponsive or could not be opened.
    Broken,
    /// The caller disconnected or its deadline passed.
    Cancelled,
}

/// The target that was selected for a call.
///
/// The call counts as outstanding at the target until
/// [`PickedTarget::finish`] is called or the value is dropped.
#[derive(Debug)]
pub struct PickedTarget {
    /// Identifies the target across snapshots.
    pub target: TargetKey,
    /// The name of the target's host.
    pub host: SmolStr,
    /// The address at which the host's daemon accepts calls of other daemons.
    pub daemon: SocketAddr,
    /// The region of the target.
    pub region: RegionKey,
    /// How far the target is from this daemon.
    pub distance: Distance,
    criticality: Criticality,
    stats: Arc<TargetStats>,
    started: Duration,
}

impl PickedTarget {
    /// Records the outcome of the call in the target's statistics.
    pub fn finish(self, outcome: CallOutcome, now: Duration) {
        match outcome {
            CallOutcome::Answered { capacity } => {
                self.stats.record_response(now.saturating_sub(self.started));
                self.stats.record_capacity(capacity);
            }
            CallOutcome::Failed { capacity } => {
                self.stats.record_failure(now);
                self.stats.record_capacity(capacity);
            }
            CallOutcome::Refused { reason } if reason.is_overload() => {
                self.stats.record_full(self.criticality, now + FULL_PAUSE);
            }
            CallOutcome::Refused {
                reason:
                    RefusalReason::DomainOut
                    | RefusalReason::Leaving
                    | RefusalReason::NotHosted
                    | RefusalReason::Stale,
            } => self.stats.record_pause(now + CLOSED_PAUSE),
            CallOutcome::Broken
            | CallOutcome::Refused {
                reason: RefusalReason::TargetDown,
            } => self.stats.record_pause(now + BROKEN_PAUSE),
            CallOutcome::Refused { .. } | CallOutcome::Cancelled => {}
        }
    }

    /// Returns the smoothed response time of the target.
    pub fn expected_response(&self) -> Duration {
        self.stats.response_time()
    }
}

impl Drop for PickedTarget {
    fn drop(&mut self) {
        self.stats.end();
    }
}

/// Selects targets for the calls of a daemon; all traffic threads share one
/// picker.
#[derive(Debug)]
pub struct TargetPicker {
    rule: PickRule,
    seed: u64,
    pick_count: AtomicU64,
    link: LinkBudget,
}

impl TargetPicker {
    /// Returns a picker with the default rule. The seed determines its random
    /// numbers.
    pub fn new(seed: u64, link_budget_kbit: u64) -> TargetPicker {
        TargetPicker::with_rule(PickRule::default(), seed, link_budget_kbit)
    }

    /// Returns a picker with the given rule.
    pub fn with_rule(rule: PickRule, seed: u64, link_budget_kbit: u64) -> TargetPicker {
        TargetPicker {
            rule,
            seed,
            pick_count: AtomicU64::new(0),
            link: LinkBudget::new(link_budget_kbit),
        }
    }

    /// Returns the budget of bytes that are sent to other regions.
    pub fn link(&self) -> &LinkBudget {
        &self.link
    }

    /// Selects a target that was not tried yet and is in a region where the
    /// request may be handled.
    ///
    /// Targets in the same failure domain come first, then those in other
    /// failure domains of the region. A target in another region is used when no
    /// target of this region has capacity and the link budget allows the
    /// request. A target whose session broke is used when there is no other. A
    /// target that is full is not used: it would refuse again, which costs it
    /// time while it is overloaded.
    ///
    /// # Errors
    ///
    /// A refusal whose reason says why no target is available.
    pub fn pick(
        &self,
        snapshot: &TrafficSnapshot,
        service: ServiceKey,
        request: &PickRequest,
        tried: &TriedTargets,
        now: Duration,
    ) -> Result<PickedTarget, Refusal> {
        let service = snapshot
            .service(service)
            .ok_or(Refusal::new(RefusalReason::NoTarget))?;
        let pick_number = self.pick_count.fetch_add(1, Ordering::Relaxed);
        let mut search = TargetSearch {
            rule: self.rule,
            service,
            request,
            tried,
            now,
            random: Pcg32::new(self.seed, pick_number),
        };
        let mut link_full = false;
        for include_paused in [false, true] {
            for distance in Distance::ALL {
                let Some(target) = search.find(distance, include_paused) else {
                    continue;
                };
                if distance == Distance::Far && !self.link.try_spend(request.bytes, now) {
                    link_full = true;
                    continue;
                }
                target.stats.begin();
                return Ok(PickedTarget {
                    target: target.key,
                    host: target.host.clone(),
                    daemon: target.daemon,
                    region: target.region,
                    distance,
                    criticality: request.criticality,
                    stats: Arc::clone(&target.stats),
                    started: now,
                });
            }
        }
        Err(search.refusal(link_full))
    }
}

struct TargetSearch<'a> {
    rule: PickRule,
    service: &'a ServiceEntry,
    request: &'a PickRequest,
    tried: &'a TriedTargets,
    now: Duration,
    random: Pcg32,
}

impl<'a> TargetSearch<'a> {
    fn find(&mut self, distance: Distance, include_paused: bool) -> Option<&'a TargetEntry> {
        let tier = self.service.tier(distance);
        if tier.is_empty() {
            return None;
        }
        let first = self.random.random_range(0..tier.len());
        let candidates = tier[first..].iter().chain(&tier[..first]);
        let mut allowed = candidates.filter(|target| self.allows(target, include_paused));
        match self.rule {
            PickRule::LeastLoaded => {
                let now = self.now;
                allowed.min_by_key(|target| score(target, now))
            }
            PickRule::TwoChoices => {
                let candidate = allowed.next()?;
                // The second candidate has a random position of its own. If it
                // were the next in the list, a target would only ever be
                // compared with its neighbours.
                let offset = self.random.random_range(0..tier.len());
                let others = tier[offset..].iter().chain(&tier[..offset]);
                let other = others
                    .filter(|target| target.key != candidate.key)
                    .find(|target| self.allows(target, include_paused));
                Some(match other {
                    Some(other) if score(other, self.now) < score(candidate, self.now) => other,
                    _ => candidate,
                })
            }
        }
    }

    fn allows(&self, target: &TargetEntry, include_paused: bool) -> bool {
        self.request.home.allows_target(target.region)
            && !self.tried.contains(target.key)
            && !target.stats.is_full(self.request.criticality, self.now)
            && (include_paused || !target.stats.is_paused(self.now))
    }

    fn refusal(&self, link_full: bool) -> Refusal {
        let targets = Distance::ALL
            .into_iter()
            .flat_map(|distance| self.service.tier(distance));
        let mut reason = RefusalReason::NoTarget;
        for target in targets.filter(|target| self.request.home.allows_target(target.region)) {
            if link_full {
                return Refusal::new(RefusalReason::LinkBudget);
            }
            if !self.tried.contains(target.key) {
                return Refusal::new(RefusalReason::AllFull).with_retry_after(FULL_PAUSE);
            }
            reason = RefusalReason::AllTried;
        }
        Refusal::new(reason)
    }
}

/// Returns the expected waiting time at a target; a lower score is better.
fn score(target: &TargetEntry, now: Duration) -> u64 {
    let outstanding = u64::from(target.stats.outstanding()) + 1;
    let response = target.stats.response_time().as_micros() as u64;
    // Scaled up, so that the division doesn't round short response times to 0.
    let wait = outstanding * response * 1024 / u64::from(target.stats.capacity().max(1));
    wait << target.stats.failures(now)
}
