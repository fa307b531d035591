//! Placement: the choice of the target that a request is sent to.
//!
//! The owner beside each target knows the target's load exactly and reports it
//! with each answer. A sender adds the requests that it has sent since the last
//! report, and prefers near targets, because bytes to another failure domain or
//! region are slow and cost money. A more distant target is chosen when it saves
//! more of the latency objective than the penalty for its distance.
//!
//! An owner cannot measure delays before a request reaches it, such as a lack of
//! processor time on its host or a full link. The sender sees them as time
//! that the owner's report does not account for, and as requests that time out.
//! It adds this delay to the expected wait, so that an overloaded host gets
//! fewer requests until it answers promptly again.

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand_pcg::Pcg32;
use smol_str::SmolStr;

use crate::answer_lengths::AnswerLengths;
use crate::body_admission::LONG_BODY;
use crate::candidate_cost::CostInput;
use crate::candidate_survey::CandidateSurvey;
use crate::cross_region_budget::CrossRegionBudget;
use crate::link_load;
use crate::spare_forecast::SpareCapacity;
use crate::target_estimate;
use crate::target_estimate::TargetEstimate;
use crate::target_speed::RouteKey;
use crate::target_speed::RouteTimes;

/// The greatest age of a report that describes the load of a target's link.
const MAX_LINK_REPORT_AGE: Duration = Duration::from_secs(2);

/// The fraction of the requests that may be spent on probes of slow targets.
const PROBE_FRACTION: f64 = 0.01;

/// How long a target is skipped after it did not accept a connection. The time
/// doubles with each further failure, since each one costs a request its
/// connection timeout.
const DOWN_PAUSE: Duration = Duration::from_millis(400);

/// The longest time for which a target is skipped that accepts no connections.
const MAX_DOWN_PAUSE: Duration = Duration::from_millis(3_200);

/// How long a target is skipped after its owner refused all requests.
const CLOSED_PAUSE: Duration = Duration::from_millis(700);

/// The greatest sample of the round-trip time, as a multiple of the average, so
/// that the delay of an overloaded host does not count as distance.
const MAX_ROUND_TRIP_STEP: f64 = 2.0;

/// The initial estimate of the round-trip time, indexed by [`TargetDistance`].
const INITIAL_ROUND_TRIPS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(2),
    Duration::from_millis(5),
    Duration::from_millis(30),
];

/// The load of a target, as reported by its owner with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// The number of requests that are running or waiting.
    pub occupied: u32,
    /// The number of requests that run concurrently when the target is fully used.
    pub limit: u32,
    /// The expected wait of one more request.
    pub wait: Duration,
    /// The mean service time; `None` until the first run has ended.
    pub service_time: Option<Duration>,
    /// Whether the target is in its cold phase, in which its rate is limited.
    pub cold: bool,
    /// The number of concurrent requests above which the throughput of the target
    /// does not increase; `None` if it increases up to the limit.
    pub efficient_limit: Option<u32>,
    /// The most urgent priority among the waiting requests; `None` if none waits.
    pub waiting_priority: Option<u32>,
}

/// The distance of a target from this host, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetDistance {
    /// The target is on this host.
    SameHost,
    /// The target is on another host of the same failure domain.
    SameDomain,
    /// The target is in another failure domain of the same region.
    SameRegion,
    /// The target is in another region.
    OtherRegion,
}

/// A target that is eligible for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceCandidate {
    /// Identifies the target, as in its record.
    pub id: SmolStr,
    /// The distance from this host.
    pub distance: TargetDistance,
    /// The number of requests that it runs concurrently, as registered.
    pub capacity: u32,
    /// Whether some other requests may be handled in this region only, while this
    /// one may be handled elsewhere too.
    pub is_scarce: bool,
}

/// The properties of a request that determine its placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceRequest {
    /// The remaining part of the latency objective.
    pub objective: Duration,
    /// The longest acceptable time until the answer; for a call of a target it
    /// may exceed the objective.
    pub patience: Duration,
    /// The priority with which the request competes; 0 is the most urgent. For a
    /// call, it is that of the request on whose behalf it is made.
    pub priority: u32,
    /// The length of the request body in bytes.
    pub body_bytes: u64,
    /// The route, by which service times and the length of answers are learnt.
    pub route: RouteKey,
    /// The rate at which this host can still receive, in bytes a second;
    /// `u64::MAX` if it is unknown.
    pub receive_rate: u64,
}

/// The reason why no target was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// There are no candidates.
    NoTarget,
    /// No candidate is expected to answer within the objective.
    Full {
        /// The time after which a candidate may have capacity.
        retry_after: Duration,
    },
}

/// The outcome of a request that was sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target answered without a server error.
    Served {
        /// The time from sending to the answer, less the time that the owner
        /// accounted for.
        round_trip: Duration,
        /// The length of the answer's body in bytes.
        answer_bytes: u64,
    },
    /// The target failed the request, or its answer was lost.
    Failed,
    /// The request timed out without an answer.
    TimedOut {
        /// The time from sending to the timeout.
        after: Duration,
    },
    /// The owner refused the request for lack of capacity.
    Full,
    /// The owner refuses all requests, or does not own this target.
    Closed,
    /// The owner or the target accepts no connections.
    Down,
    /// The caller disconnected.
    Cancelled,
}

/// How requests were placed so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlacementCounts {
    /// The placements among candidates that differ in speed.
    pub by_speed: u64,
    /// The requests that were sent to a slow target to learn its speed.
    pub probes: u64,
}

/// Chooses targets for the requests of one host, from its observations of them.
#[derive(Debug)]
pub struct TargetPlacer {
    estimates: IndexMap<SmolStr, TargetEstimate>,
    /// The average round-trip time in seconds, indexed by [`TargetDistance`].
    round_trips: [f64; 4],
    route_times: RouteTimes,
    counts: PlacementCounts,
    answer_lengths: AnswerLengths,
    cross_region: CrossRegionBudget,
    /// The budget for long answers from other regions.
    cross_region_answers: CrossRegionBudget,
    random: Pcg32,
}

impl TargetPlacer {
    /// Returns a placer without observations; `seed` determines its random
    /// numbers.
    pub fn new(seed: u64) -> TargetPlacer {
        TargetPlacer {
            estimates: IndexMap::new(),
            round_trips: INITIAL_ROUND_TRIPS.map(|round_trip| round_trip.as_secs_f64()),
            route_times: RouteTimes::default(),
            counts: PlacementCounts::default(),
            answer_lengths: AnswerLengths::default(),
            cross_region: CrossRegionBudget::default(),
            cross_region_answers: CrossRegionBudget::default(),
            random: Pcg32::new(seed, 0),
        }
    }

    /// Chooses one of the candidates for a request, and counts the request as in
    /// flight there until [`TargetPlacer::finish`].
    ///
    /// # Errors
    ///
    /// When there is no candidate, or none that is expected to answer in time.
    pub fn place(
        &mut self,
        candidates: &[PlaceCandidate],
        request: &PlaceRequest,
        now: Duration,
    ) -> Result<SmolStr, PlacementError> {
        let survey =
            CandidateSurvey::new(&self.estimates, &self.route_times, candidates, request, now);
        let answer_bytes = self.answer_lengths.long(request.route);
        let link_wait = self.cross_region.wait(request.body_bytes, now);
        let answer_wait = self.cross_region_answers.wait(answer_bytes, now);
        let link_wait = link_wait.max(answer_wait);
        let mut best: Option<(f64, &PlaceCandidate)> = None;
        let mut best_paused: Option<(f64, &PlaceCandidate)> = None;
        let mut best_probe: Option<(Duration, &PlaceCandidate)> = None;
        let mut min_excess: Option<Duration> = None;
        for candidate in candidates {
            let noise = self.random.random_range(0.0..1.0);
            let estimate = self.estimates.entry(candidate.id.clone()).or_default();
            if estimate.paused_until > now {
                let until = Duration::as_secs_f64(&estimate.paused_until);
                if best_paused.is_none_or(|(least, _)| until < least) {
                    best_paused = Some((until, candidate));
                }
                continue;
            }
            let input = CostInput {
                estimate,
                candidate,
                request,
                times: survey.times(estimate, now),
                usual: survey.usual_occupied(candidate),
                answer_bytes: match candidate.distance {
                    TargetDistance::SameHost => 0,
                    _ => answer_bytes,
                },
                round_trip: self.round_trips[candidate.distance as usize],
                now,
            };
            let mut excess = input.excess_wait();
            if candidate.distance == TargetDistance::OtherRegion {
                excess = excess.max(link_wait);
            }
            if excess > Duration::ZERO {
                min_excess = Some(min_excess.map_or(excess, |least| least.min(excess)));
                continue;
            }
            let cost = input.cost(noise);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate));
            }
            if let Some(silence) = input.probe_silence()
                && best_probe.is_none_or(|(longest, _)| silence > longest)
            {
                best_probe = Some((silence, candidate));
            }
        }
        if let Some((_, probe)) = best_probe
            && best.is_some_and(|(_, nearest)| probe.distance <= nearest.distance)
            && self.random.random_bool(PROBE_FRACTION)
        {
            best = Some((0.0, probe));
            self.counts.probes += 1;
        }
        self.counts.by_speed += u64::from(survey.has_speeds());
        // Every candidate may be paused. One that is probably down is still
        // better than none.
        let chosen = match (best, min_excess, best_paused) {
            (Some((_, candidate)), _, _) => candidate,
            (None, Some(retry_after), _) => return Err(PlacementError::Full { retry_after }),
            (None, None, Some((_, candidate))) => candidate,
            (None, None, None) => return Err(PlacementError::NoTarget),
        };
        Ok(self.record_placed(chosen, request, answer_bytes, now))
    }

    /// Returns how requests were placed so far.
    pub fn counts(&self) -> PlacementCounts {
        self.counts
    }

    /// Chooses a target for a request that has missed its objective, and counts the
    /// request as in flight there until [`TargetPlacer::finish`]. Returns `None` if
    /// all candidates reported recently that they have no slot to spare.
    pub fn place_late(
        &mut self,
        candidates: &[PlaceCandidate],
        request: &PlaceRequest,
        now: Duration,
    ) -> Option<SmolStr> {
        let survey =
            CandidateSurvey::new(&self.estimates, &self.route_times, candidates, request, now);
        let answer_bytes = self.answer_lengths.long(request.route);
        let mut best: Option<(f64, &PlaceCandidate)> = None;
        for candidate in candidates {
            let estimate = self.estimates.entry(candidate.id.clone()).or_default();
            if estimate.paused_until > now || !estimate.may_have_spare_slot(candidate.capacity, now)
            {
                continue;
            }
            let input = CostInput {
                estimate,
                candidate,
                request,
                times: survey.times(estimate, now),
                usual: 0.0,
                answer_bytes: match candidate.distance {
                    TargetDistance::SameHost => 0,
                    _ => answer_bytes,
                },
                round_trip: self.round_trips[candidate.distance as usize],
                now,
            };
            let cost = input.cost(self.random.random_range(0.0..1.0));
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate));
            }
        }
        let (_, chosen) = best?;
        Some(self.record_placed(chosen, request, answer_bytes, now))
    }

    /// Counts a request as in flight at the chosen target, and its bytes against the budgets
    /// between regions.
    fn record_placed(
        &mut self,
        chosen: &PlaceCandidate,
        request: &PlaceRequest,
        answer_bytes: u64,
        now: Duration,
    ) -> SmolStr {
        if chosen.distance == TargetDistance::OtherRegion {
            self.cross_region.record_sent(request.body_bytes, now);
            self.cross_region_answers.record_sent(answer_bytes, now);
        }
        let estimate = self.estimates.entry(chosen.id.clone()).or_default();
        estimate.in_flight += 1;
        chosen.id.clone()
    }

    /// Returns the shortest mean service time, over all routes, that a candidate reported
    /// recently; a default fraction of the objective without a report.
    pub fn shortest_service_time(
        &self,
        candidates: &[PlaceCandidate],
        request: &PlaceRequest,
        now: Duration,
    ) -> Duration {
        CandidateSurvey::new(&self.estimates, &self.route_times, candidates, request, now)
            .shortest_time()
    }

    /// Returns the capacity that the candidates leave unused, as far as recent reports
    /// tell; it is extrapolated to those without one. Returns `None` if none has one.
    pub fn spare_capacity(
        &self,
        candidates: &[PlaceCandidate],
        now: Duration,
    ) -> Option<SpareCapacity> {
        let mut spare = SpareCapacity::default();
        let mut count = 0_u32;
        for candidate in candidates {
            let estimate = self.estimates.get(&candidate.id);
            let reported =
                estimate.and_then(|estimate| estimate.spare_capacity(candidate.capacity, now));
            if let Some(reported) = reported {
                spare.fraction += reported.fraction;
                spare.rate += reported.rate;
                count += 1;
            }
        }
        let count = f64::from(count);
        (count > 0.0).then(|| SpareCapacity {
            fraction: spare.fraction / count,
            rate: spare.rate / count * candidates.len() as f64,
        })
    }

    /// Records a load report from the owner of a target.
    pub fn report(&mut self, id: &SmolStr, report: LoadReport, now: Duration) {
        let estimate = self.estimates.entry(id.clone()).or_default();
        estimate.down_pause = Duration::ZERO;
        // The request whose answer carries the report is no longer in flight.
        estimate.in_flight_at_report = estimate.in_flight.saturating_sub(1);
        estimate.report = Some((report, now));
    }

    /// Records the mean service time of a route at a target, as reported by its
    /// owner.
    pub fn record_route_time(
        &mut self,
        id: &SmolStr,
        route: RouteKey,
        time: Duration,
        now: Duration,
    ) {
        let estimate = self.estimates.entry(id.clone()).or_default();
        self.route_times
            .record(&mut estimate.speed, route, time, now);
    }

    /// Records the rate at which a target's host can still receive bodies that
    /// were not offered first, in bytes a second.
    pub fn record_unoffered_rate(&mut self, id: &SmolStr, rate: f64, now: Duration) {
        let estimate = self.estimates.entry(id.clone()).or_default();
        estimate.unoffered_rate = Some((rate, now));
    }

    /// Records the rate at which a target's host can send a long answer, in bytes a
    /// second.
    pub fn record_send_rate(&mut self, id: &SmolStr, rate: f64, now: Duration) {
        let estimate = self.estimates.entry(id.clone()).or_default();
        estimate.record_send_rate(rate, now);
    }

    /// Records the length of an answer on a route in bytes.
    pub fn record_answer_length(&mut self, route: RouteKey, bytes: u64) {
        self.answer_lengths.record(route, bytes);
    }

    /// Returns the number of routes whose answers are long.
    pub fn long_answer_routes(&self) -> usize {
        self.answer_lengths.long_routes()
    }

    /// Returns whether a request must be offered to a target's owner before its
    /// body is sent. `send_rate` is what this host's link can still send, in bytes
    /// a second. A target without a recent report may be fully occupied.
    pub fn needs_offer(
        &self,
        id: &SmolStr,
        distance: TargetDistance,
        body_bytes: u64,
        send_rate: f64,
        now: Duration,
    ) -> bool {
        let estimate = self.estimates.get(id);
        let reported = estimate.and_then(|estimate| estimate.unoffered_rate);
        let recent = reported.filter(|(_, at)| now.saturating_sub(*at) <= MAX_LINK_REPORT_AGE);
        let mut rate = recent.map_or(0.0, |(rate, _)| rate.min(send_rate));
        if distance == TargetDistance::OtherRegion {
            rate = rate.min(self.cross_region.rate());
        }
        link_load::needs_offer(body_bytes, rate)
    }

    /// Records the outcome of a request that was placed on a target.
    pub fn finish(
        &mut self,
        id: &SmolStr,
        distance: TargetDistance,
        body_bytes: u64,
        outcome: SendOutcome,
        now: Duration,
    ) {
        if distance == TargetDistance::OtherRegion {
            self.record_cross_region(body_bytes, outcome, now);
        }
        let estimate = self.estimates.entry(id.clone()).or_default();
        estimate.in_flight = estimate.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Served {
                round_trip,
                answer_bytes,
            } => {
                estimate.record_failure(false, now);
                if distance == TargetDistance::SameHost {
                    // The request did not use a link.
                } else if body_bytes >= LONG_BODY {
                    estimate.record_transfer(body_bytes, round_trip, now);
                } else if answer_bytes >= LONG_BODY {
                    estimate.record_answer(answer_bytes, round_trip, now);
                } else {
                    let average = &mut self.round_trips[distance as usize];
                    let usual = Duration::from_secs_f64(*average);
                    estimate.record_delay(round_trip.saturating_sub(usual), now);
                    let round_trip = round_trip.min(usual.mul_f64(MAX_ROUND_TRIP_STEP));
                    *average +=
                        (round_trip.as_secs_f64() - *average) * target_estimate::ANSWER_WEIGHT;
                }
            }
            SendOutcome::Failed => estimate.record_failure(true, now),
            SendOutcome::TimedOut { after } => {
                estimate.record_failure(true, now);
                estimate.record_delay(after, now);
            }
            SendOutcome::Closed => estimate.paused_until = now + CLOSED_PAUSE,
            SendOutcome::Down => {
                // Requests that were sent at the same time fail together.
                if estimate.paused_until <= now {
                    let next = (estimate.down_pause * 2).max(DOWN_PAUSE);
                    estimate.down_pause = next.min(MAX_DOWN_PAUSE);
                    estimate.paused_until = now + estimate.down_pause;
                }
            }
            SendOutcome::Full => estimate.full_at = Some(now),
            SendOutcome::Cancelled => {}
        }
    }

    /// Records the outcome of a request to another region in the budgets for bodies
    /// and for long answers.
    fn record_cross_region(&mut self, body_bytes: u64, outcome: SendOutcome, now: Duration) {
        match outcome {
            SendOutcome::Served {
                round_trip,
                answer_bytes,
            } if answer_bytes >= LONG_BODY => {
                // The answers of a route are about as long, so that their
                // round-trip times are comparable with each other.
                self.cross_region_answers
                    .record_round_trip(round_trip, 0, now);
            }
            SendOutcome::Served { round_trip, .. } => self
                .cross_region
                .record_round_trip(round_trip, body_bytes, now),
            SendOutcome::TimedOut { .. } => {
                self.cross_region.record_timeout(now);
                self.cross_region_answers.record_timeout(now);
            }
            _ => {}
        }
    }

    /// Drops the observations of targets for which `known` returns false, unless
    /// requests are in flight there.
    pub fn retain<F>(&mut self, mut known: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.estimates
            .retain(|id, estimate| estimate.in_flight > 0 || known(id));
    }
}
