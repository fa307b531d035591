//! Which target a call is sent to.
//!
//! A sender sees only its own calls and what targets report, late. It weighs
//! its own calls under way at each target, which are exact, with the smoothed
//! response time and the reported capacity, and it looks at its own random
//! subset only, so senders do not all choose the one target that last looked
//! best.

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

/// How long a target that refused for lack of room is passed over. About the
/// time in which a full queue drains by a quarter.
const FULL_PAUSE: Duration = Duration::from_millis(10);

/// How long a target is passed over after its path broke or it was down, so
/// that a session can be dialled and the next calls do not meet the same fault.
const BROKEN_PAUSE: Duration = Duration::from_millis(250);

/// How long a target is passed over that said it takes no work at all. The next
/// snapshot leaves it out; this covers the time until then.
const CLOSED_PAUSE: Duration = Duration::from_secs(1);

/// How the better of several targets is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PickRule {
    /// The better of two random targets.
    TwoChoices,
    /// The best of all targets of the subset; of equals, a random one. A sender
    /// has few calls under way at each target, so that two random ones often
    /// tell it nothing, and the subset is small enough to look at all.
    #[default]
    LeastLoaded,
}

/// What picking needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PickRequest {
    /// Where the request may be handled.
    pub home: HomeRule,
    /// The order in which requests are shed: a target that is full for cheap
    /// work may have room for critical work.
    pub criticality: Criticality,
    /// The bytes that the request sends, counted against the link budget when
    /// the target is in another region.
    pub bytes: u64,
}

/// The targets that one call was sent to; a retry goes to none of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TriedTargets(Vec<TargetKey>);

impl TriedTargets {
    /// Adds a target.
    pub fn insert(&mut self, target: TargetKey) {
        self.0.push(target);
    }

    /// Whether the target was tried.
    pub fn contains(&self, target: TargetKey) -> bool {
        self.0.contains(&target)
    }

    /// Returns the number of targets that were tried.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no target was tried.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// How a call to a target ended, as its sender sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// An answer came, with the capacity that the target's daemon reported.
    Answered {
        /// The reported capacity.
        capacity: u32,
    },
    /// The target answered with a server error.
    Failed {
        /// The reported capacity.
        capacity: u32,
    },
    /// The target's daemon refused the call.
    Refused {
        /// The reason that it gave.
        reason: RefusalReason,
    },
    /// The session broke, was silent or could not be opened.
    Broken,
    /// The caller went away or its deadline passed.
    Cancelled,
}

/// The target that a call is sent to.
///
/// Counts as outstanding until [`Picked::finish`] or until it is dropped.
#[derive(Debug)]
pub struct Picked {
    /// Identifies the target across snapshots.
    pub target: TargetKey,
    /// The host of the target.
    pub host: SmolStr,
    /// The peer address of the daemon on the host.
    pub daemon: SocketAddr,
    /// The region of the target.
    pub region: RegionKey,
    /// How far the target is.
    pub distance: Distance,
    criticality: Criticality,
    stats: Arc<TargetStats>,
    started: Duration,
}

impl Picked {
    /// Reports how the call ended.
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
            CallOutcome::Refused { reason } if reason.overloaded() => {
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

    /// Returns the response time that the target is expected to have.
    pub fn expected_response(&self) -> Duration {
        self.stats.response_time()
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        self.stats.end();
    }
}

/// Picks targets. One picker serves all traffic threads.
#[derive(Debug)]
pub struct TargetPicker {
    rule: PickRule,
    seed: u64,
    drawn: AtomicU64,
    link: LinkBudget,
}

impl TargetPicker {
    /// Returns a picker with the default rule, whose random numbers follow from
    /// the seed.
    pub fn new(seed: u64, link_budget_kbit: u64) -> TargetPicker {
        TargetPicker::with_rule(PickRule::default(), seed, link_budget_kbit)
    }

    /// Returns a picker with another rule.
    pub fn with_rule(rule: PickRule, seed: u64, link_budget_kbit: u64) -> TargetPicker {
        TargetPicker {
            rule,
            seed,
            drawn: AtomicU64::new(0),
            link: LinkBudget::new(link_budget_kbit),
        }
    }

    /// Returns the budget of bytes to other regions.
    pub fn link(&self) -> &LinkBudget {
        &self.link
    }

    /// Picks a target that was not tried yet, where the request may be handled.
    ///
    /// Near targets come first, then those in other failure domains of the
    /// region. Other regions are used when no target of this region has room
    /// and the link budget does. A target whose path broke is used when there is
    /// no other. One that is full is not: it would refuse again, which costs it
    /// time that it lacks.
    ///
    /// # Errors
    ///
    /// A refusal that tells why no target is left.
    pub fn pick(
        &self,
        snapshot: &TrafficSnapshot,
        service: ServiceKey,
        request: &PickRequest,
        tried: &TriedTargets,
        now: Duration,
    ) -> Result<Picked, Refusal> {
        let service = snapshot
            .service(service)
            .ok_or(Refusal::new(RefusalReason::NoTarget))?;
        let draw = self.drawn.fetch_add(1, Ordering::Relaxed);
        let mut search = TargetSearch {
            rule: self.rule,
            service,
            request,
            tried,
            now,
            random: Pcg32::new(self.seed, draw),
        };
        let mut link_full = false;
        for with_paused in [false, true] {
            for distance in Distance::ALL {
                let Some(target) = search.find(distance, with_paused) else {
                    continue;
                };
                if distance == Distance::Far && !self.link.take(request.bytes, now) {
                    link_full = true;
                    continue;
                }
                target.stats.begin();
                return Ok(Picked {
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
    fn find(&mut self, distance: Distance, with_paused: bool) -> Option<&'a TargetEntry> {
        let tier = self.service.tier(distance);
        if tier.is_empty() {
            return None;
        }
        let first = self.random.random_range(0..tier.len());
        let around = tier[first..].iter().chain(&tier[..first]);
        let mut allowed = around.filter(|target| self.allows(target, with_paused));
        match self.rule {
            PickRule::LeastLoaded => {
                let now = self.now;
                allowed.min_by_key(|target| score(target, now))
            }
            PickRule::TwoChoices => {
                let one = allowed.next()?;
                // A second random place, not the next one: neighbours in the
                // list would always be compared with each other.
                let offset = self.random.random_range(0..tier.len());
                let others = tier[offset..].iter().chain(&tier[..offset]);
                let two = others
                    .filter(|target| target.key != one.key)
                    .find(|target| self.allows(target, with_paused));
                Some(match two {
                    Some(two) if score(two, self.now) < score(one, self.now) => two,
                    _ => one,
                })
            }
        }
    }

    fn allows(&self, target: &TargetEntry, with_paused: bool) -> bool {
        self.request.home.allows_target(target.region)
            && !self.tried.contains(target.key)
            && !target.stats.is_full(self.request.criticality, self.now)
            && (with_paused || !target.stats.is_paused(self.now))
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
                return Refusal::new(RefusalReason::AllFull).after(FULL_PAUSE);
            }
            reason = RefusalReason::AllTried;
        }
        Refusal::new(reason)
    }
}

/// Returns the expected wait at a target: less is better.
fn score(target: &TargetEntry, now: Duration) -> u64 {
    let outstanding = u64::from(target.stats.outstanding()) + 1;
    let response = target.stats.response_time().as_micros() as u64;
    // Scaled, so that small response times do not all divide to zero.
    let wait = outstanding * response * 1024 / u64::from(target.stats.capacity().max(1));
    wait << target.stats.failures(now)
}
