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

/// Slow responses among the last 16 that restart the ramp. At most a quarter of
/// the responses can take over 4 times the average, so 14 of 16 are slow by
/// chance less than once in 5 million responses, and a service of cheap and
/// expensive requests is not taken for cold.
pub const COLD_RESPONSES: u32 = 14;

/// Running requests from which on a time without any response is a sign of a
/// cold start. A warm target that runs four answers 16 in the time of
/// [`COLD_FACTOR`], and none of them by chance once in millions of times.
pub const STALL_RUNNING: u32 = 4;

/// A step is good while at most one in so many of its responses is bad. A warm
/// target at full rate has some expensive requests in each step, so that a step
/// without any bad response never comes.
const BAD_SHARE: u32 = 10;

/// A step whose mean response time is over that of the best step by this factor
/// shows that the target does not bear the limit yet. Twice the load that it
/// bears would take twice the time.
const STEP_RISE: f64 = 1.5;

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
    /// Whether each of the last 16 responses was slow, the newest in bit 0.
    slow: u16,
    /// When a request last ended, or the target ran too few to tell.
    progress: Duration,
    /// When the progress was last looked at.
    seen: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RampStep {
    limit: u32,
    until: Duration,
    good: u32,
    bad: u32,
    /// The sum of the response times.
    sum: f64,
    /// The least mean of a step of this ramp.
    best: Option<f64>,
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
            slow: 0,
            progress: now,
            seen: now,
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
        self.slow = 0;
        self.ramping = Some(RampStep {
            limit: self.cold_slots,
            until: now + self.step,
            good: 0,
            bad: 0,
            sum: 0.0,
            best: None,
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

    /// Ends a step whose time is over: doubles the limit when its responses were
    /// good, and halves it when they took longer than in an earlier step.
    pub fn advance(&mut self, now: Duration) {
        let Some(step) = &mut self.ramping else {
            return;
        };
        if now < step.until {
            return;
        }
        // Without a response the target has not shown that it bears more.
        if step.good > 0 && step.bad.saturating_mul(BAD_SHARE) <= step.good {
            let mean = step.sum / f64::from(step.good);
            let best = step.best.map_or(mean, |best| best.min(mean));
            step.best = Some(best);
            step.limit = if mean > best * STEP_RISE {
                (step.limit / 2).max(self.cold_slots)
            } else {
                step.limit.saturating_mul(2)
            };
        }
        step.until = now + self.step;
        step.good = 0;
        step.bad = 0;
        step.sum = 0.0;
        if step.limit >= self.declared {
            self.ramping = None;
        }
    }

    /// Records a response of the target. Returns whether it restarted the ramp.
    pub fn record(&mut self, took: Duration, now: Duration) -> bool {
        self.progress = now;
        let took = took.as_secs_f64();
        let average = *self.average.get_or_insert(took);
        let slow = took > average * COLD_FACTOR;
        let weight = if self.ramping.is_some() {
            COLD_WEIGHT
        } else {
            WARM_WEIGHT
        };
        self.average = Some(average + (took - average) * weight);
        if let Some(step) = &mut self.ramping {
            // The first step begins with the first response: a target that
            // crashed is down for a time, and is as cold as ever when it is back.
            if step.best.is_none() && step.good + step.bad == 0 {
                step.until = now + self.step;
            }
            // A cold target is slower than a warm one also with a load that it
            // bears, so that within the ramp it is compared with itself.
            if step
                .best
                .is_some_and(|best| took > average.max(best) * COLD_FACTOR)
            {
                step.bad += 1;
            } else {
                step.good += 1;
                step.sum += took;
            }
            self.advance(now);
            return false;
        }
        self.slow = self.slow << 1 | u16::from(slow);
        if self.slow.count_ones() >= COLD_RESPONSES {
            self.restart(now);
            return true;
        }
        false
    }

    /// Looks at a target that runs so many requests, before one is added.
    /// Returns whether it has answered none for so long that the ramp was
    /// restarted: responses of a cold target come late, and until then it would
    /// be filled up to its limit.
    pub fn check_progress(&mut self, running: u32, now: Duration) -> bool {
        let Some(average) = self.average else {
            return false;
        };
        let stall = Duration::from_secs_f64(average * COLD_FACTOR);
        // After a pause of this process, responses may wait unread.
        let paused = now.saturating_sub(self.seen) > stall;
        self.seen = now;
        if running < STALL_RUNNING || paused {
            self.progress = now;
        }
        let stalled = now.saturating_sub(self.progress) > stall;
        if stalled && self.ramping.is_none() {
            self.restart(now);
            return true;
        }
        false
    }

    /// Records that the target failed to answer.
    pub fn record_failure(&mut self, now: Duration) {
        self.progress = now;
        if let Some(step) = &mut self.ramping {
            step.bad += 1;
        }
    }
}
