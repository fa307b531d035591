//! Slow start of a cold target.
//!
//! A worker that has just started sustains only a few concurrent requests and
//! may crash when all its declared slots are used. It may also become cold again
//! without notice. The ramp runs at the receiving daemon, because only this
//! daemon knows the load from all senders.

use std::time::Duration;

/// A response is slow, and a sign of a cold start, when it takes longer than the
/// long-term average times this factor.
pub const COLD_FACTOR: f64 = 4.0;

/// The number of slow responses among the last 16 that restarts the ramp. At
/// most a quarter of all responses can take over 4 times the average, so that 14
/// of 16 are slow by chance less than once in 5 million responses. A service
/// that has cheap and expensive requests is therefore not mistaken for cold.
pub const COLD_RESPONSES: u32 = 14;

/// The minimum number of running requests at which a period without any response
/// is a sign of a cold start. A warm target that runs four requests completes
/// about 16 within [`COLD_FACTOR`] times its average response time; that it
/// completes none happens by chance once in millions of periods.
pub const STALL_RUNNING: u32 = 4;

/// The minimum number of good responses for each bad one with which a step may
/// raise the limit. Bad responses are allowed because a warm target at full rate
/// has some expensive requests in every step.
const MIN_GOOD_PER_BAD: u32 = 10;

/// The target doesn't sustain the current limit yet when the mean response time
/// of a step exceeds that of the fastest step by this factor. At twice the load
/// that a target sustains, its response time is twice as long.
const MAX_STEP_RISE: f64 = 1.5;

/// The weight of one response in the long-term average of a warm target.
const WARM_WEIGHT: f64 = 1.0 / 256.0;

/// The weight of one response in the long-term average while the target is cold.
/// It is small, so that the average still describes the warm target. It is not
/// zero, so that the ramp ends for a service that has become permanently slower.
const COLD_WEIGHT: f64 = 1.0 / 1024.0;

/// The limit on the concurrent requests of a target that is cold.
#[derive(Debug, Clone)]
pub struct TargetRamp {
    cold_slots: u32,
    declared_slots: u32,
    step: Duration,
    /// `None` when the target is warm.
    current_step: Option<RampStep>,
    average: Option<f64>,
    /// Whether each of the last 16 responses was slow, the newest in bit 0.
    slow_history: u16,
    /// When a request last ended, or when fewer than [`STALL_RUNNING`] requests
    /// were last running.
    last_progress: Duration,
    /// When the progress was last checked.
    last_checked: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RampStep {
    limit: u32,
    until: Duration,
    good: u32,
    bad: u32,
    /// The sum of the good responses' times in seconds.
    sum: f64,
    /// The shortest mean response time of a step since the restart, in seconds.
    fastest_mean: Option<f64>,
}

impl TargetRamp {
    /// Returns the ramp of a target that is cold at `now`.
    pub fn new(cold_slots: u32, declared_slots: u32, step: Duration, now: Duration) -> TargetRamp {
        let mut ramp = TargetRamp {
            cold_slots: cold_slots.max(1),
            declared_slots: declared_slots.max(1),
            step,
            current_step: None,
            average: None,
            slow_history: 0,
            last_progress: now,
            last_checked: now,
        };
        ramp.restart(now);
        ramp
    }

    /// Changes the limits and the length of a step. A ramp in progress continues
    /// at its current limit.
    pub fn configure(&mut self, cold_slots: u32, declared_slots: u32, step: Duration) {
        self.cold_slots = cold_slots.max(1);
        self.declared_slots = declared_slots.max(1);
        self.step = step;
    }

    /// Treats the target as cold and resets the limit to the cold slots.
    pub fn restart(&mut self, now: Duration) {
        self.slow_history = 0;
        self.current_step = Some(RampStep {
            limit: self.cold_slots,
            until: now + self.step,
            good: 0,
            bad: 0,
            sum: 0.0,
            fastest_mean: None,
        });
    }

    /// Returns whether the target is limited because it is cold.
    pub fn is_cold(&self) -> bool {
        self.current_step.is_some()
    }

    /// Returns the number of requests that may run concurrently.
    pub fn limit(&self) -> u32 {
        match self.current_step {
            Some(step) => step.limit.min(self.declared_slots),
            None => self.declared_slots,
        }
    }

    /// Ends the current step when its time has passed. Doubles the limit when the
    /// responses were good, and halves it when their mean time exceeds that of
    /// the fastest step by more than half.
    pub fn advance(&mut self, now: Duration) {
        let Some(step) = &mut self.current_step else {
            return;
        };
        if now < step.until {
            return;
        }
        // A step without responses doesn't show that the target sustains more.
        if step.good > 0 && step.bad.saturating_mul(MIN_GOOD_PER_BAD) <= step.good {
            let mean = step.sum / f64::from(step.good);
            let fastest_mean = step
                .fastest_mean
                .map_or(mean, |fastest_mean| fastest_mean.min(mean));
            step.fastest_mean = Some(fastest_mean);
            step.limit = if mean > fastest_mean * MAX_STEP_RISE {
                (step.limit / 2).max(self.cold_slots)
            } else {
                step.limit.saturating_mul(2)
            };
        }
        step.until = now + self.step;
        step.good = 0;
        step.bad = 0;
        step.sum = 0.0;
        if step.limit >= self.declared_slots {
            self.current_step = None;
        }
    }

    /// Records a successful response and how long it took. Returns whether it
    /// restarted the ramp.
    pub fn record(&mut self, response_time: Duration, now: Duration) -> bool {
        self.last_progress = now;
        let response_time = response_time.as_secs_f64();
        let average = *self.average.get_or_insert(response_time);
        let slow = response_time > average * COLD_FACTOR;
        let weight = if self.current_step.is_some() {
            COLD_WEIGHT
        } else {
            WARM_WEIGHT
        };
        self.average = Some(average + (response_time - average) * weight);
        if let Some(step) = &mut self.current_step {
            // The first step begins with the first response, because a target
            // that crashed is down for a while and still cold when it is back.
            if step.fastest_mean.is_none() && step.good + step.bad == 0 {
                step.until = now + self.step;
            }
            // A cold target is slower than a warm one even at a load that it
            // sustains, so that a response is also compared with the fastest
            // step of this ramp.
            if step
                .fastest_mean
                .is_some_and(|fastest_mean| response_time > average.max(fastest_mean) * COLD_FACTOR)
            {
                step.bad += 1;
            } else {
                step.good += 1;
                step.sum += response_time;
            }
            self.advance(now);
            return false;
        }
        self.slow_history = self.slow_history << 1 | u16::from(slow);
        if self.slow_history.count_ones() >= COLD_RESPONSES {
            self.restart(now);
            return true;
        }
        false
    }

    /// Restarts the ramp when none of the `running` requests has ended for
    /// [`COLD_FACTOR`] times the average response time, and returns whether it
    /// did. Must be called before a request is started: the responses of a cold
    /// target come late, and until then the target would be filled to its limit.
    pub fn check_progress(&mut self, running: u32, now: Duration) -> bool {
        let Some(average) = self.average else {
            return false;
        };
        let stall = Duration::from_secs_f64(average * COLD_FACTOR);
        // After this process was paused, responses may have arrived unread.
        let paused = now.saturating_sub(self.last_checked) > stall;
        self.last_checked = now;
        if running < STALL_RUNNING || paused {
            self.last_progress = now;
        }
        let stalled = now.saturating_sub(self.last_progress) > stall;
        if stalled && self.current_step.is_none() {
            self.restart(now);
            return true;
        }
        false
    }

    /// Records that the target reported an overload or a server error.
    pub fn record_failure(&mut self, now: Duration) {
        self.last_progress = now;
        if let Some(step) = &mut self.current_step {
            step.bad += 1;
        }
    }
}
