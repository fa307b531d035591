//! The cost of sending a request to one candidate, and whether it can be served there in
//! time.
//!
//! The cost is the expected time until the answer. Distance and scarcity are added as
//! fractions of the latency objective, so that they weigh the same for all routes.

use std::time::Duration;

use crate::candidate_survey::TargetTimes;
use crate::placement::PlaceCandidate;
use crate::placement::PlaceRequest;
use crate::placement::TargetDistance;
use crate::scheduling;
use crate::target_estimate::TargetEstimate;

/// The penalty for a target in another failure domain of the region, as a
/// fraction of the objective.
const OTHER_DOMAIN_PENALTY: f64 = 0.08;

/// The penalty for a target in another region, as a fraction of the objective.
const OTHER_REGION_PENALTY: f64 = 0.3;

/// The penalty for a fully occupied target that other requests need more, as a
/// fraction of the objective. It exceeds the cost of another region.
const SCARCE_PENALTY: f64 = 0.9;

/// The load from which a target counts as scarce, as a fraction of its capacity.
/// Below it, there is room for all.
const SCARCE_LOAD: f64 = 0.7;

/// The length of a body and its answer that doubles the distance penalty, in bytes.
const PENALTY_DOUBLING_BYTES: f64 = 32_768.0;

/// The greatest factor by which a long body or answer raises the distance penalty.
const MAX_PENALTY_FACTOR: f64 = 3.0;

/// The time without a report after which a slow target is probed: its speed may
/// have changed.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// One candidate with all that its cost depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CostInput<'a> {
    pub(crate) estimate: &'a TargetEstimate,
    pub(crate) candidate: &'a PlaceCandidate,
    pub(crate) request: &'a PlaceRequest,
    pub(crate) times: TargetTimes,
    /// The number of requests that usually run or wait at a candidate.
    pub(crate) usual: f64,
    /// The expected length of a long answer that is sent over links; 0 if there is
    /// none.
    pub(crate) answer_bytes: u64,
    /// The average round-trip time in seconds.
    pub(crate) round_trip: f64,
    pub(crate) now: Duration,
}

impl CostInput<'_> {
    /// Returns the expected time until the answer in seconds, with the penalties
    /// for failures, distance and scarcity. `noise` is random, in `0.0..1.0`.
    pub(crate) fn cost(&self, noise: f64) -> f64 {
        let estimate = self.estimate;
        let candidate = self.candidate;
        let now = self.now;
        let objective = self.request.objective.as_secs_f64();
        let limit = estimate.efficient_capacity(candidate.capacity, now);
        let wait = estimate.wait(limit, self.usual, self.times.mean, now);
        let failures = estimate.failure_rate(now) * objective;
        let transfer = estimate.transfer_time(self.request.body_bytes, now);
        let added_delay = (transfer + self.answer_time() + estimate.delay(now)).as_secs_f64();
        // Random noise keeps senders from all choosing the same one of several
        // targets at about the same cost.
        let spread = self.times.mean.as_secs_f64() / f64::from(candidate.capacity.max(1));
        self.round_trip
            + added_delay
            + self.times.run.as_secs_f64()
            + wait.as_secs_f64()
            + failures
            + self.distance_penalty()
            + self.scarce_penalty()
            + noise * spread
    }

    /// Returns the expected time to receive a long answer: as observed, or as reported
    /// if that is longer.
    fn answer_time(&self) -> Duration {
        if self.answer_bytes == 0 {
            return Duration::ZERO;
        }
        let observed = self.estimate.answer_time(self.answer_bytes, self.now);
        let receive_rate = self.request.receive_rate;
        let reported =
            self.estimate
                .reported_answer_time(self.answer_bytes, receive_rate, self.now);
        observed.max(reported)
    }

    fn distance_penalty(&self) -> f64 {
        let bytes = self.request.body_bytes + self.answer_bytes;
        let body_factor = 1.0 + bytes as f64 / PENALTY_DOUBLING_BYTES;
        let penalty = match self.candidate.distance {
            TargetDistance::SameHost | TargetDistance::SameDomain => 0.0,
            TargetDistance::SameRegion => OTHER_DOMAIN_PENALTY,
            TargetDistance::OtherRegion => OTHER_REGION_PENALTY,
        };
        penalty * body_factor.min(MAX_PENALTY_FACTOR) * self.request.objective.as_secs_f64()
    }

    fn scarce_penalty(&self) -> f64 {
        if !self.candidate.is_scarce {
            return 0.0;
        }
        let capacity = f64::from(self.candidate.capacity.max(1));
        let occupied = self.estimate.occupied(self.usual, self.now) / capacity;
        let scarcity = (occupied.min(1.0) - SCARCE_LOAD).max(0.0) / (1.0 - SCARCE_LOAD);
        SCARCE_PENALTY * scarcity * self.request.objective.as_secs_f64()
    }

    /// Returns by how much the expected wait exceeds the allowed wait.
    ///
    /// The time of a long answer on an idle link counts as part of the run, since no
    /// wait avoids it. The link of this host rules out no target: it is common to all.
    pub(crate) fn excess_wait(&self) -> Duration {
        let estimate = self.estimate;
        let request = self.request;
        let limit = estimate.capacity(self.candidate.capacity, self.now);
        // Without a recent report the target may have room, so it is not ruled
        // out.
        let wait = estimate.wait(limit, 0.0, self.times.mean, self.now);
        let run = self.times.run + estimate.idle_answer_time(self.answer_bytes, self.now);
        let allowed = scheduling::allowed_wait(request.patience, run, request.priority);
        let waiting = estimate.waiting_priority(self.now);
        let passes_all = waiting.is_some_and(|waiting| request.priority < waiting);
        let is_passed = waiting.is_some_and(|waiting| request.priority > waiting);
        // Owners let calls wait as long as the runs that make them.
        let is_call = request.patience > request.objective;
        let wait = match passes_all {
            // The request needs only one slot.
            true => wait.min(self.times.mean / limit.max(1)),
            false => wait,
        };
        let was_full = estimate.was_full(self.times.mean, self.now);
        let is_short = !is_call && (is_passed || (!passes_all && was_full));
        let allowed = match is_short {
            // The owner admits the request only for a short wait.
            true => allowed.min(scheduling::short_wait(request.patience, request.priority)),
            false => allowed,
        };
        let transfer = estimate.transfer_time(request.body_bytes, self.now);
        let answer_wait = estimate.answer_wait(self.answer_bytes, self.now);
        (wait + transfer + answer_wait + estimate.delay(self.now)).saturating_sub(allowed)
    }

    /// Returns for how long a slow target has sent no report, if a request may be
    /// spent on learning whether it is still slow.
    pub(crate) fn probe_silence(&self) -> Option<Duration> {
        let in_time = self.times.run * 2 <= self.request.objective;
        let silence = self.estimate.speed.silence(self.now)?;
        (self.times.is_slow && in_time && silence >= PROBE_INTERVAL).then_some(silence)
    }
}
