//! Which target a request is sent to.
//!
//! The owner beside each target knows its load exactly and says so with each
//! answer. A sender adds what it has sent since, and prefers near targets:
//! bytes to another failure domain or region are slow and paid for. A farther
//! target is used when it saves more of the latency objective than it costs.
//!
//! An owner cannot tell what keeps requests from it: too little processor time
//! on its host, or a full link. That shows in the time that it does not account
//! for, and in requests of which nothing is heard. It counts as a wait, so that
//! a host which falls behind gets less until it answers promptly again.

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand_pcg::Pcg32;
use smol_str::SmolStr;

use crate::intake::LONG_BODY;
use crate::link::FarBudget;
use crate::order;

/// Weight of one answer in the averages of a target.
const ANSWER_WEIGHT: f64 = 0.15;

/// The time after which a report says little of other senders' load.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// The time after which an old failure counts a third.
const FAILURE_TIME: Duration = Duration::from_secs(3);

/// The time after which what a target last told of its service time is no
/// longer held against it: it may have been cold, or slow for a while.
const SERVICE_TIME_AGE: Duration = Duration::from_secs(2);

/// How much of the objective a target in another failure domain of the region
/// has to save.
const DOMAIN_PART: f64 = 0.08;

/// How much of the objective a target in another region has to save.
const REGION_PART: f64 = 0.3;

/// A body of so many bytes doubles what a farther target has to save.
const BYTES_SCALE: f64 = 32_768.0;

/// The greatest factor by which a long body raises what a farther target has to
/// save.
const GREATEST_BYTES_FACTOR: f64 = 3.0;

/// Weight of one long body in the rate of a host's link; links fill up fast.
const RATE_WEIGHT: f64 = 0.3;

/// By how much an old rate grows a second.
const RATE_RECOVERY: f64 = 1.5;

/// How long a target is passed over that does not accept connections.
const DOWN_PAUSE: Duration = Duration::from_millis(400);

/// How long a target is passed over whose owner refuses all work.
const CLOSED_PAUSE: Duration = Duration::from_millis(700);

/// Weight of one request in the delay of a target's host; a host that falls
/// behind fails all its requests within a second.
const DELAY_WEIGHT: f64 = 0.3;

/// The time after which an old delay counts a third.
const DELAY_TIME: Duration = Duration::from_secs(1);

/// By how much one answer may raise the average time there and back, as a
/// multiple, so that a host which falls behind does not pass for far away.
const GREATEST_HOP_STEP: f64 = 2.0;

/// The first estimate of the time to a target and back, by distance.
const FIRST_HOP: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(2),
    Duration::from_millis(5),
    Duration::from_millis(30),
];

/// The load of a target, as its owner tells it with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// The requests that run and wait.
    pub occupied: u32,
    /// The requests that run at once.
    pub limit: u32,
    /// How long one more request would wait.
    pub wait: Duration,
    /// The mean service time, when any run has ended.
    pub service_time: Option<Duration>,
    /// Whether the target is cold.
    pub cold: bool,
}

/// How far a target is from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetDistance {
    /// On this host.
    Host,
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the region.
    Region,
    /// In another region.
    Far,
}

/// A target that may get a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceCandidate {
    /// Its identity.
    pub id: SmolStr,
    /// How far it is.
    pub distance: TargetDistance,
    /// The requests that it runs at once, as it registered.
    pub capacity: u32,
}

/// What placing needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceRequest {
    /// How much of the latency objective is left.
    pub objective: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The length of its body.
    pub body_bytes: u64,
}

/// Why a request was placed nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unplaced {
    /// No target is known that may get it.
    NoTarget,
    /// Every target would answer too late; there may be room after a time.
    Full {
        /// When.
        retry_after: Duration,
    },
}

/// How a request that was sent to a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target answered well.
    Served {
        /// The time that the owner did not account for.
        hop: Duration,
    },
    /// The target failed it, or its answer was lost.
    Failed,
    /// Nothing was heard of it in time.
    Unheard {
        /// For how long.
        after: Duration,
    },
    /// The owner refused it for lack of room.
    Full,
    /// The owner refuses all work, or is not the target's owner.
    Closed,
    /// The owner or the target accepts no connections.
    Down,
    /// The caller went away.
    Cancelled,
}

#[derive(Debug, Clone, Default)]
struct TargetBelief {
    /// Requests of this host that are under way there.
    own: u32,
    /// `own` at the time of the last report.
    own_reported: u32,
    report: Option<(LoadReport, Duration)>,
    /// The share of failed requests, and when it was last updated.
    failures: f64,
    failures_at: Duration,
    paused_until: Duration,
    /// How fast long bodies lately went there, in bytes a second, and when.
    rate: Option<(f64, Duration)>,
    /// How much longer than usual short requests lately took there and back, in
    /// seconds, and when.
    delay: Option<(f64, Duration)>,
}

impl TargetBelief {
    /// Returns how long a body takes to the target's host. A rate that was seen
    /// some time ago counts for more, so that a link which was full is tried
    /// again.
    fn transfer_time(&self, body_bytes: u64, now: Duration) -> Duration {
        match self.rate {
            Some((rate, at)) if body_bytes >= LONG_BODY => {
                let age = now.saturating_sub(at).as_secs_f64();
                Duration::from_secs_f64(body_bytes as f64 / (rate * RATE_RECOVERY.powf(age)))
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns how long requests lately took beside the usual way and their run.
    fn delay(&self, now: Duration) -> Duration {
        self.delay.map_or(Duration::ZERO, |(delay, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            Duration::from_secs_f64(delay * (-age / DELAY_TIME.as_secs_f64()).exp())
        })
    }

    fn record_delay(&mut self, delay: Duration, now: Duration) {
        let before = self.delay(now).as_secs_f64();
        let after = before + (delay.as_secs_f64() - before) * DELAY_WEIGHT;
        self.delay = Some((after, now));
    }

    fn record_transfer(&mut self, body_bytes: u64, hop: Duration, now: Duration) {
        let rate = body_bytes as f64 / hop.as_secs_f64().max(1e-3);
        let average = self.rate.map_or(rate, |(average, _)| average);
        self.rate = Some((average + (rate - average) * RATE_WEIGHT, now));
    }

    fn failure_share(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failures_at).as_secs_f64();
        self.failures * (-age / FAILURE_TIME.as_secs_f64()).exp()
    }

    fn record_failure(&mut self, failed: bool, now: Duration) {
        let share = self.failure_share(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures = share + (sample - share) * ANSWER_WEIGHT;
        self.failures_at = now;
    }

    /// Returns the expected service time. A target that has not told it lately
    /// is taken for as fast as the fastest other one, so that it gets requests
    /// and tells it.
    fn service_time(&self, fastest: Duration, now: Duration) -> Duration {
        let told = self
            .report
            .and_then(|(report, at)| Some((report.service_time?, now.saturating_sub(at))));
        match told {
            Some((time, age)) if age <= SERVICE_TIME_AGE => time,
            Some((time, _)) => time.min(fastest),
            None => fastest,
        }
    }

    /// Returns how long one more request would wait.
    fn wait(&self, capacity: u32, service_time: Duration, now: Duration) -> Duration {
        let limit = f64::from(capacity.max(1));
        let (others, base) = match self.report {
            None => (0.0, Duration::ZERO),
            Some((report, at)) => {
                let age = now.saturating_sub(at);
                let kept = (-age.as_secs_f64() / REPORT_TIME.as_secs_f64()).exp();
                let others = f64::from(report.occupied.saturating_sub(self.own_reported));
                (others * kept, report.wait.saturating_sub(age))
            }
        };
        let over = others + f64::from(self.own) + 1.0 - limit;
        let slots = service_time.mul_f64(over.max(0.0) / limit);
        slots.max(base)
    }
}

/// Places requests on targets, by what one host knows of them.
#[derive(Debug)]
pub struct TargetPlacer {
    beliefs: IndexMap<SmolStr, TargetBelief>,
    /// The time to a target and back, by distance, in seconds.
    hops: [f64; 4],
    far: FarBudget,
    random: Pcg32,
}

impl TargetPlacer {
    /// Returns a placer that knows nothing; its random numbers follow from the
    /// seed.
    pub fn new(seed: u64) -> TargetPlacer {
        TargetPlacer {
            beliefs: IndexMap::new(),
            hops: FIRST_HOP.map(|hop| hop.as_secs_f64()),
            far: FarBudget::default(),
            random: Pcg32::new(seed, 0),
        }
    }

    /// Places a request on one of the candidates, and counts it as under way
    /// there until [`TargetPlacer::finish`].
    ///
    /// # Errors
    ///
    /// When there is no candidate, or none that could answer in time.
    pub fn place(
        &mut self,
        candidates: &[PlaceCandidate],
        request: &PlaceRequest,
        now: Duration,
    ) -> Result<SmolStr, Unplaced> {
        let fastest = self.fastest(candidates, request, now);
        let link_wait = self.far.wait(request.body_bytes, now);
        let mut best: Option<(f64, &PlaceCandidate)> = None;
        let mut best_paused: Option<(f64, &PlaceCandidate)> = None;
        let mut soonest: Option<Duration> = None;
        for candidate in candidates {
            let cost = self.cost(candidate, request, fastest, now);
            let belief = self.beliefs.entry(candidate.id.clone()).or_default();
            if belief.paused_until > now {
                let until = Duration::as_secs_f64(&belief.paused_until);
                if best_paused.is_none_or(|(least, _)| until < least) {
                    best_paused = Some((until, candidate));
                }
                continue;
            }
            let mut over = over_allowed(belief, candidate, request, fastest, now);
            if candidate.distance == TargetDistance::Far {
                over = over.max(link_wait);
            }
            if over > Duration::ZERO {
                soonest = Some(soonest.map_or(over, |least| least.min(over)));
                continue;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate));
            }
        }
        // A target that is down for all this host knows is better than none.
        let chosen = match (best, soonest, best_paused) {
            (Some((_, candidate)), _, _) => candidate,
            (None, Some(retry_after), _) => return Err(Unplaced::Full { retry_after }),
            (None, None, Some((_, candidate))) => candidate,
            (None, None, None) => return Err(Unplaced::NoTarget),
        };
        if chosen.distance == TargetDistance::Far {
            self.far.record_sent(request.body_bytes, now);
        }
        let belief = self.beliefs.entry(chosen.id.clone()).or_default();
        belief.own += 1;
        Ok(chosen.id.clone())
    }

    /// Records what the owner of a target told of its load.
    pub fn report(&mut self, id: &SmolStr, report: LoadReport, now: Duration) {
        let belief = self.beliefs.entry(id.clone()).or_default();
        // The request that brought the report is not under way any more.
        belief.own_reported = belief.own.saturating_sub(1);
        belief.report = Some((report, now));
    }

    /// Ends a request that was placed on a target.
    pub fn finish(
        &mut self,
        id: &SmolStr,
        distance: TargetDistance,
        body_bytes: u64,
        outcome: SendOutcome,
        now: Duration,
    ) {
        if distance == TargetDistance::Far {
            match outcome {
                SendOutcome::Served { hop } => self.far.record_trip(hop, body_bytes, now),
                SendOutcome::Unheard { .. } => self.far.record_lost(now),
                _ => {}
            }
        }
        let belief = self.beliefs.entry(id.clone()).or_default();
        belief.own = belief.own.saturating_sub(1);
        match outcome {
            SendOutcome::Served { hop } => {
                belief.record_failure(false, now);
                if distance == TargetDistance::Host {
                    // Nothing was sent over a link.
                } else if body_bytes >= LONG_BODY {
                    belief.record_transfer(body_bytes, hop, now);
                } else {
                    let average = &mut self.hops[distance as usize];
                    let usual = Duration::from_secs_f64(*average);
                    belief.record_delay(hop.saturating_sub(usual), now);
                    let hop = hop.min(usual.mul_f64(GREATEST_HOP_STEP));
                    *average += (hop.as_secs_f64() - *average) * ANSWER_WEIGHT;
                }
            }
            SendOutcome::Failed => belief.record_failure(true, now),
            SendOutcome::Unheard { after } => {
                belief.record_failure(true, now);
                belief.record_delay(after, now);
            }
            SendOutcome::Closed => belief.paused_until = now + CLOSED_PAUSE,
            SendOutcome::Down => belief.paused_until = now + DOWN_PAUSE,
            SendOutcome::Full | SendOutcome::Cancelled => {}
        }
    }

    /// Forgets the targets that are not known any more.
    pub fn retain<F>(&mut self, mut known: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.beliefs
            .retain(|id, belief| belief.own > 0 || known(id));
    }

    /// Returns the service time of the fastest candidate that has told it lately.
    fn fastest(
        &self,
        candidates: &[PlaceCandidate],
        request: &PlaceRequest,
        now: Duration,
    ) -> Duration {
        let told = candidates.iter().filter_map(|candidate| {
            let (report, at) = self.beliefs.get(&candidate.id)?.report?;
            let lately = now.saturating_sub(at) <= SERVICE_TIME_AGE;
            report.service_time.filter(|_| lately)
        });
        told.min()
            .unwrap_or(request.objective.mul_f64(order::UNKNOWN_SERVICE_PART))
    }

    fn cost(
        &mut self,
        candidate: &PlaceCandidate,
        request: &PlaceRequest,
        fastest: Duration,
        now: Duration,
    ) -> f64 {
        let belief = self.beliefs.entry(candidate.id.clone()).or_default();
        let objective = request.objective.as_secs_f64();
        let service_time = belief.service_time(fastest, now);
        let wait = belief.wait(candidate.capacity, service_time, now);
        let failures = belief.failure_share(now) * objective;
        let bytes = 1.0 + request.body_bytes as f64 / BYTES_SCALE;
        let saving = match candidate.distance {
            TargetDistance::Host | TargetDistance::Domain => 0.0,
            TargetDistance::Region => DOMAIN_PART,
            TargetDistance::Far => REGION_PART,
        };
        let saving = saving * bytes.min(GREATEST_BYTES_FACTOR) * objective;
        let transfer = belief.transfer_time(request.body_bytes, now);
        let late = (transfer + belief.delay(now)).as_secs_f64();
        let hop = self.hops[candidate.distance as usize] + late;
        // Of about equal targets, senders should not all choose the same.
        let spread = service_time.as_secs_f64() / f64::from(candidate.capacity.max(1));
        let noise = self.random.random_range(0.0..1.0) * spread;
        hop + service_time.as_secs_f64() + wait.as_secs_f64() + failures + saving + noise
    }
}

/// Returns by how much a request would wait longer than it may.
fn over_allowed(
    belief: &TargetBelief,
    candidate: &PlaceCandidate,
    request: &PlaceRequest,
    fastest: Duration,
    now: Duration,
) -> Duration {
    let service_time = belief.service_time(fastest, now);
    let wait = belief.wait(candidate.capacity, service_time, now);
    let allowed = order::allowed_wait(request.objective, service_time, request.priority);
    let transfer = belief.transfer_time(request.body_bytes, now);
    (wait + transfer + belief.delay(now)).saturating_sub(allowed)
}
