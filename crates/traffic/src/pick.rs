//! Which target a call is sent to.
//!
//! A sender sees only its own calls and what targets report, late. Power of
//! two choices needs no more than that and does not send all senders to the
//! one target that last reported the best value.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

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
    #[default]
    TwoChoices,
    /// The best of all targets of the subset.
    LeastLoaded,
}

/// What picking needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PickRequest {
    /// Where the request may be handled.
    pub home: HomeRule,
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
            CallOutcome::Refused { reason } if reason.overloaded() => {
                self.stats.record_full(now + FULL_PAUSE);
            }
            CallOutcome::Refused {
                reason:
                    RefusalReason::DomainOut
                    | RefusalReason::Leaving
                    | RefusalReason::NotHosted
                    | RefusalReason::Stale,
            } => self.stats.record_full(now + CLOSED_PAUSE),
            CallOutcome::Broken
            | CallOutcome::Refused {
                reason: RefusalReason::TargetDown,
            } => self.stats.record_full(now + BROKEN_PAUSE),
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
    /// Returns a picker with two random choices, whose random numbers follow
    /// from the seed.
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
    /// and the link budget does.
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
        for with_full in [false, true] {
            for distance in Distance::ALL {
                let Some(target) = search.find(distance, with_full) else {
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
    fn find(&mut self, distance: Distance, with_full: bool) -> Option<&'a TargetEntry> {
        let tier = self.service.tier(distance);
        if tier.is_empty() {
            return None;
        }
        let first = self.random.random_range(0..tier.len());
        let around = tier[first..].iter().chain(&tier[..first]);
        let mut allowed = around.filter(|target| self.allows(target, with_full));
        match self.rule {
            PickRule::LeastLoaded => allowed.min_by_key(|target| score(target)),
            PickRule::TwoChoices => {
                let one = allowed.next()?;
                // A second random place, not the next one: neighbours in the
                // list would always be compared with each other.
                let offset = self.random.random_range(0..tier.len());
                let others = tier[offset..].iter().chain(&tier[..offset]);
                let two = others
                    .filter(|target| target.key != one.key)
                    .find(|target| self.allows(target, with_full));
                Some(match two {
                    Some(two) if score(two) < score(one) => two,
                    _ => one,
                })
            }
        }
    }

    fn allows(&self, target: &TargetEntry, with_full: bool) -> bool {
        self.request.home.allows_target(target.region)
            && !self.tried.contains(target.key)
            && (with_full || !target.stats.is_full(self.now))
    }

    fn refusal(&self, link_full: bool) -> Refusal {
        let mut targets = Distance::ALL
            .into_iter()
            .flat_map(|distance| self.service.tier(distance));
        let reason = if link_full {
            RefusalReason::LinkBudget
        } else if targets.any(|target| self.request.home.allows_target(target.region)) {
            RefusalReason::AllTried
        } else {
            RefusalReason::NoTarget
        };
        Refusal::new(reason)
    }
}

/// Returns the expected wait at a target: less is better.
fn score(target: &TargetEntry) -> u64 {
    let outstanding = u64::from(target.stats.outstanding()) + 1;
    let response = target.stats.response_time().as_micros() as u64;
    // Scaled, so that small response times do not all divide to zero.
    outstanding * response * 1024 / u64::from(target.stats.capacity().max(1))
}
