//! The speed of each target of a service, relative to the others.
//!
//! A target may be slow because of its host, and a route may be expensive. An
//! owner reports the mean service time of the request's route, and a sender
//! separates both: the logarithm of a reported time is the sum of the typical
//! time of the route and the slowness of the target.
//!
//! Targets also have slow periods of about 600 ms. A change counts as
//! such a period first and is forgotten after that time. Only what persists
//! changes the slowness, which is an average over the time in which the target
//! was observed. Its uncertainty follows from the number of slow periods that
//! this time may contain.

use std::time::Duration;

use indexmap::IndexMap;

use crate::fingerprint::Fingerprint;

/// The usual length of a slow period of a target.
const SLOW_PERIOD: Duration = Duration::from_millis(600);

/// The standard deviation of the logarithm of a target's service time that slow
/// periods cause: 15 in 100 of the time at 2.5 times the usual service time.
const SLOW_PERIOD_SPREAD: f64 = 0.33;

/// The greatest time over which the slowness is averaged; a target may become
/// faster or slower.
const AVERAGE_TIME: Duration = Duration::from_secs(10);

/// The least time for which a target must have been observed before it counts as
/// different from others: several slow periods.
const MIN_OBSERVED_TIME: Duration = Duration::from_secs(3);

/// The greatest time that one report stands for. Nothing is known of a longer
/// time between two reports.
const MAX_REPORT_TIME: Duration = Duration::from_millis(250);

/// The time constant with which a target that sends no reports is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(30);

/// The multiple of its uncertainty by which the slowness of a target must differ
/// from that of the others.
const SIGNIFICANT_DEVIATIONS: f64 = 3.0;

/// The standard deviation of the slowness among the targets of a service whose
/// targets differ.
const SLOWNESS_SPREAD: f64 = 0.4;

/// The greatest number of routes for which typical times are kept.
const MAX_ROUTES: usize = 2_048;

/// The greatest service time that is taken from a report. A faulty owner may report
/// any time, and multiples of it must remain valid durations.
const MAX_TIME: Duration = Duration::from_secs(3_600);

/// The greatest slowness that is assumed of a target, as a logarithm: about 150 times
/// the usual time. Service times multiplied with it must remain valid durations.
const MAX_SLOWNESS: f64 = 5.0;

/// The least weight of one report in the typical time of a route.
const MIN_ROUTE_WEIGHT: f64 = 0.02;

/// Identifies a route to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct RouteKey(u64);

impl RouteKey {
    /// Stands for a route that is not known; nothing is learnt of it.
    pub const UNKNOWN: RouteKey = RouteKey(0);

    /// Returns the key of a route to a service.
    pub fn new(service: &str, route: &str) -> RouteKey {
        RouteKey(Fingerprint::of_fields([service.as_bytes(), route.as_bytes()]).0)
    }
}

/// The typical time of one route.
#[derive(Debug, Clone, Copy)]
struct TypicalTime {
    /// The logarithm of the time in seconds.
    log_time: f64,
    /// The number of reports so far, up to the inverse of [`MIN_ROUTE_WEIGHT`].
    reports: f64,
}

/// The typical service times of all routes that a sender has used.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteTimes {
    routes: IndexMap<RouteKey, TypicalTime>,
}

impl RouteTimes {
    /// Returns the logarithm of the typical time of a route in seconds.
    pub(crate) fn log_time(&self, route: RouteKey) -> Option<f64> {
        self.routes.get(&route).map(|typical| typical.log_time)
    }

    /// Records the service time of a route that the owner of a target reported.
    pub(crate) fn record(
        &mut self,
        speed: &mut TargetSpeed,
        route: RouteKey,
        time: Duration,
        now: Duration,
    ) {
        if route == RouteKey::UNKNOWN || time.is_zero() {
            return;
        }
        let log_time = time.min(MAX_TIME).as_secs_f64().ln();
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            // Routes of former configurations are the oldest ones.
            self.routes.shift_remove_index(0);
        }
        let typical = self.routes.entry(route).or_insert(TypicalTime {
            log_time: log_time - speed.slowness,
            reports: 0.0,
        });
        let deviation = log_time - typical.log_time;
        let weight = (1.0 / (typical.reports + 1.0)).max(MIN_ROUTE_WEIGHT);
        typical.log_time += (deviation - speed.slowness) * weight;
        typical.reports = (typical.reports + 1.0).min(1.0 / MIN_ROUTE_WEIGHT);
        speed.record(log_time - typical.log_time, now);
    }
}

/// The slowness of one target: the logarithm of its service time, relative to the
/// typical time of the route.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetSpeed {
    slowness: f64,
    /// The time for which the target was observed, up to [`AVERAGE_TIME`].
    observed: Duration,
    /// The standard error of the slowness.
    uncertainty: f64,
    /// The weight of the slowness against the expectation that a target is like the
    /// others, in `0.0..=1.0`.
    certainty: f64,
    /// By how much the last report exceeded the slowness.
    excess: f64,
    reported_at: Option<Duration>,
}

impl TargetSpeed {
    fn record(&mut self, slowness: f64, now: Duration) {
        let slowness = slowness.clamp(-MAX_SLOWNESS, MAX_SLOWNESS);
        let gap = self
            .reported_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.reported_at = Some(now);
        let forgotten = (-gap.as_secs_f64() / FORGET_TIME.as_secs_f64()).exp();
        let observed = self.observed.mul_f64(forgotten);
        let added = gap.min(MAX_REPORT_TIME);
        let weight = match observed.is_zero() {
            true => 1.0,
            false => added.as_secs_f64() / (observed + added).as_secs_f64(),
        };
        self.slowness += (slowness - self.slowness) * weight;
        self.observed = (observed + added).min(AVERAGE_TIME);
        self.excess = slowness - self.slowness;
        let period = SLOW_PERIOD.as_secs_f64();
        let fraction = period / (period + self.observed.as_secs_f64());
        self.uncertainty = SLOW_PERIOD_SPREAD * fraction.sqrt();
        let variance = SLOWNESS_SPREAD * SLOWNESS_SPREAD;
        self.certainty = variance / (variance + self.uncertainty * self.uncertainty);
    }

    /// Returns the time since the last report; `None` if there is none.
    pub(crate) fn silence(&self, now: Duration) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the excess that is left of a slow period.
    fn current_excess(&self, now: Duration) -> f64 {
        let Some(silence) = self.silence(now) else {
            return 0.0;
        };
        self.excess * (-silence.as_secs_f64() / SLOW_PERIOD.as_secs_f64()).exp()
    }
}

/// The speeds of the candidates for one request, relative to their mean.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SpeedSummary {
    sum: f64,
    weight: f64,
    least: f64,
    greatest: f64,
}

impl SpeedSummary {
    /// Adds the speed of a candidate.
    pub(crate) fn add(&mut self, speed: &TargetSpeed) {
        if speed.observed < MIN_OBSERVED_TIME {
            return;
        }
        // The bound of a target's slowness that is nearer to that of the others.
        let margin = SIGNIFICANT_DEVIATIONS * speed.uncertainty;
        let (low, high) = (speed.slowness + margin, speed.slowness - margin);
        self.least = if self.weight > 0.0 {
            self.least.min(low)
        } else {
            low
        };
        self.greatest = if self.weight > 0.0 {
            self.greatest.max(high)
        } else {
            high
        };
        self.sum += speed.slowness;
        self.weight += 1.0;
    }

    /// Returns whether the candidates differ by more than their uncertainty.
    pub(crate) fn differs(&self) -> bool {
        let mean = self.mean();
        self.weight > 1.0 && (self.least < mean || self.greatest > mean)
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }

    /// Returns the expected service time of a target as a multiple of the mean of
    /// the candidates. An uncertain slowness counts less.
    pub(crate) fn factor(&self, speed: &TargetSpeed, now: Duration) -> f64 {
        let slowness = match speed.observed.is_zero() {
            true => 0.0,
            false => (speed.slowness - self.mean()) * speed.certainty,
        };
        let exponent = slowness + speed.current_excess(now);
        exponent.clamp(-MAX_SLOWNESS, MAX_SLOWNESS).exp()
    }

    /// Returns the expected time of a route at a target of mean speed.
    pub(crate) fn route_time(&self, routes: &RouteTimes, route: RouteKey) -> Option<Duration> {
        let log_time = routes.log_time(route)?;
        let log_time = (log_time + self.mean()).min(MAX_TIME.as_secs_f64().ln());
        Some(Duration::from_secs_f64(log_time.exp()))
    }
}
