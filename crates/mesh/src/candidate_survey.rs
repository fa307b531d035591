//! What the candidates for one request have in common: the load that is usual
//! among them, and the service times that are expected of them.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::placement::PlaceCandidate;
use crate::placement::PlaceRequest;
use crate::scheduling;
use crate::target_estimate;
use crate::target_estimate::TargetEstimate;
use crate::target_speed::RouteTimes;
use crate::target_speed::SpeedSummary;

/// The service times that are expected of one target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TargetTimes {
    /// The time of the request's route.
    pub(crate) run: Duration,
    /// The mean over all routes, which determines the wait.
    pub(crate) mean: Duration,
    /// Whether the target is known to be slower than the mean of the candidates.
    pub(crate) is_slow: bool,
}

/// The service times at a target of mean speed.
#[derive(Debug, Clone, Copy)]
struct MeanTimes {
    /// The time of the request's route.
    route: Duration,
    /// The mean over all routes.
    all: Duration,
}

/// What the candidates for one request have in common.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CandidateSurvey {
    /// The shortest service time that any candidate reported recently.
    fastest: Duration,
    /// The mean load of the recently reported candidates as a fraction of their
    /// capacity, indexed by the distance. Few or old reports are not taken for
    /// the load of all, so with them the load tends to zero.
    usual_load: [f64; 4],
    speeds: SpeedSummary,
    /// `None` unless the candidates differ in speed by more than the uncertainty.
    mean: Option<MeanTimes>,
}

impl CandidateSurvey {
    /// Returns the survey of the candidates for a request.
    pub(crate) fn new(
        estimates: &IndexMap<SmolStr, TargetEstimate>,
        routes: &RouteTimes,
        candidates: &[PlaceCandidate],
        request: &PlaceRequest,
        now: Duration,
    ) -> CandidateSurvey {
        let mut fastest: Option<Duration> = None;
        let mut loads = [0.0; 4];
        let mut weights = [0.0; 4];
        let mut speeds = SpeedSummary::default();
        let mut total_time = 0.0;
        let mut total_weight = 0.0;
        for candidate in candidates {
            let Some(estimate) = estimates.get(&candidate.id) else {
                continue;
            };
            speeds.add(&estimate.speed);
            let Some((report, at)) = estimate.report else {
                continue;
            };
            let age = now.saturating_sub(at);
            let weight = target_estimate::report_weight(age);
            let load = f64::from(report.occupied) / f64::from(candidate.capacity.max(1));
            loads[candidate.distance as usize] += load * weight;
            weights[candidate.distance as usize] += weight;
            let Some(time) = report.service_time else {
                continue;
            };
            if age <= target_estimate::MAX_SERVICE_TIME_AGE {
                fastest = Some(fastest.map_or(time, |least| least.min(time)));
            }
            total_time += time.as_secs_f64() * weight;
            total_weight += weight;
        }
        let usual_load = std::array::from_fn(|distance| match weights[distance] {
            weight if weight > 0.0 => loads[distance] / f64::max(weight, 1.0),
            _ => 0.0,
        });
        let default_time = request
            .objective
            .mul_f64(scheduling::DEFAULT_SERVICE_FRACTION);
        let route_time = match speeds.differs() {
            true => speeds.route_time(routes, request.route),
            false => None,
        };
        let mean = route_time.map(|route| MeanTimes {
            route,
            all: match total_weight > 0.0 {
                true => Duration::from_secs_f64(total_time / total_weight),
                false => route,
            },
        });
        CandidateSurvey {
            fastest: fastest.unwrap_or(default_time),
            usual_load,
            speeds,
            mean,
        }
    }

    /// Returns the shortest service time that any candidate reported recently, or a
    /// default if there is none.
    pub(crate) fn shortest_time(&self) -> Duration {
        self.fastest
    }

    /// Returns whether the candidates differ in speed, and their speeds are known.
    pub(crate) fn has_speeds(&self) -> bool {
        self.mean.is_some()
    }

    /// Returns the number of requests that usually run or wait at a candidate.
    pub(crate) fn usual_occupied(&self, candidate: &PlaceCandidate) -> f64 {
        self.usual_load[candidate.distance as usize] * f64::from(candidate.capacity)
    }

    /// Returns the expected service times of a target. Unless the candidates
    /// differ in speed, both are the mean over all routes as reported.
    pub(crate) fn times(&self, estimate: &TargetEstimate, now: Duration) -> TargetTimes {
        match &self.mean {
            Some(mean) => {
                let factor = self.speeds.factor(&estimate.speed, now);
                TargetTimes {
                    run: mean.route.mul_f64(factor),
                    mean: mean.all.mul_f64(factor),
                    is_slow: factor > 1.0,
                }
            }
            None => {
                let time = estimate.service_time(self.fastest, now);
                TargetTimes {
                    run: time,
                    mean: time,
                    is_slow: false,
                }
            }
        }
    }
}
