//! Slow start of a cold target.
//!
//! A worker that has just started bears a few requests only, and may crash
//! under its declared slots. It may also fall back into that state without
//! notice. The ramp runs at the receiving daemon, because only there the load
//! of all senders is known.

use std::time::Duration;

/// A response that takes longer than the long-term average by this factor is a
/// sign of a cold start.
pub const COLD_FACTOR: f64 = 4.0;

/// Successive slow responses that restart the ramp. One alone is often an
/// expensive request.
pub const COLD_STREAK: u32 = 3;

/// A step is good while at most one in so many of its responses is bad. A warm
/// target at full rate has some expensive requests in each step, so that a step
/// without any bad response never comes.
const BAD_SHARE: u32 = 10;

/// Weight of one response in the long-term average of a warm target.
const WARM_WEIGHT: f64 = 1.0 / 256.0;

/// Weight of one response while the target is cold: small, so that the average
/// still describes the warm target, and not zero, so that a service that has
/// become slower for good leaves the ramp.
const COLD_WEIGHT: f64 = 1.0 / 1024.0;

/// Limits the load on a target that is cold.
#[derive(Debug, Clone)]
pub struct TargetRamp {
    cold_slots: u32,
    declared: u32,
    step: Duration,
    /// `None` when the target is warm.
    ramping: Option<RampStep>,
    average: Option<f64>,
    streak: u32,
}

#[derive(Debug, Clone, Copy)]
struct RampStep {
    limit: u32,
    until: Duration,
    good: u32,
    bad: u32,
}

impl TargetRamp {
    /// Returns the ramp of a target that is cold.
    pub fn new(cold_slots: u32, declared: u32, step: Duration, now: Duration) -> TargetRamp {
        let mut ramp = TargetRamp {
            cold_slots: cold_slots.max(1),
            declared: declared.max(1),
            step,
            ramping: None,
            average: None,
            streak: 0,
        };
        ramp.restart(now);
        ramp
    }

    /// Takes over other limits; a ramp under way goes on.
    pub fn configure(&mut self, cold_slots: u32, declared: u32, step: Duration) {
        self.cold_slots = cold_slots.max(1);
        self.declared = declared.max(1);
        self.step = step;
    }

    /// Starts again at the cold limit.
    pub fn restart(&mut self, now: Duration) {
        self.streak = 0;
        self.ramping = Some(RampStep {
            limit: self.cold_slots,
            until: now + self.step,
            good: 0,
            bad: 0,
        });
    }

    /// Whether the target is limited because it is cold.
    pub fn is_cold(&self) -> bool {
        self.ramping.is_some()
    }

    /// Returns the greatest number of requests that may run now.
    pub fn limit(&self) -> u32 {
        match self.ramping {
            Some(step) => step.limit.min(self.declared),
            None => self.declared,
        }
    }

    /// Returns the long-term average of the response time.
    pub fn average(&self) -> Option<Duration> {
        self.average.map(Duration::from_secs_f64)
    }

    /// Doubles the limit when a step is over and its responses were good.
    pub fn advance(&mut self, now: Duration) {
        let Some(step) = &mut self.ramping else {
            return;
        };
        if now < step.until {
            return;
        }
        // Without a response the target has not shown that it bears more.
        if step.good > 0 && step.bad.saturating_mul(BAD_SHARE) <= step.good {
            step.limit = step.limit.saturating_mul(2);
        }
        step.until = now + self.step;
        step.good = 0;
        step.bad = 0;
        if step.limit >= self.declared {
            self.ramping = None;
        }
    }

    /// Records a response of the target. Returns whether it restarted the ramp.
    pub fn record(&mut self, took: Duration, now: Duration) -> bool {
        let took = took.as_secs_f64();
        let average = *self.average.get_or_insert(took);
        let slow = took > average * COLD_FACTOR;
        let weight = if self.ramping.is_some() || slow {
            COLD_WEIGHT
        } else {
            WARM_WEIGHT
        };
        self.average = Some(average + (took - average) * weight);
        if let Some(step) = &mut self.ramping {
            if slow {
                step.bad += 1;
            } else {
                step.good += 1;
            }
            self.advance(now);
            return false;
        }
        self.streak = if slow { self.streak + 1 } else { 0 };
        if self.streak >= COLD_STREAK {
            self.restart(now);
            return true;
        }
        false
    }

    /// Records that the target failed to answer, while it is ramped.
    pub fn record_failure(&mut self) {
        if let Some(step) = &mut self.ramping {
            step.bad += 1;
        }
    }
}
