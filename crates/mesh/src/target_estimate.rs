//! What one host has observed of a target, and what it expects of it.

use std::time::Duration;

use crate::body_admission::LONG_BODY;
use crate::placement::LoadReport;
use crate::scheduling;
use crate::spare_forecast::SpareCapacity;
use crate::target_speed::TargetSpeed;

/// The weight of one answer in the moving averages of a target.
pub(crate) const ANSWER_WEIGHT: f64 = 0.15;

/// The time constant with which a load report loses its weight.
const REPORT_DECAY_TIME: Duration = Duration::from_secs(1);

/// The time constant with which the failure rate decays.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(3);

/// The greatest age of a reported service time that may make a target look
/// slower than others: it may have been cold, or slow for a while.
pub(crate) const MAX_SERVICE_TIME_AGE: Duration = Duration::from_secs(2);

/// The greatest age of a report that limits a target's concurrent requests.
const MAX_LIMIT_AGE: Duration = Duration::from_secs(2);

/// The greatest age of a report that tells which requests wait at a target. Queues
/// change faster than service times.
const MAX_QUEUE_AGE: Duration = Duration::from_secs(1);

/// For how many runs after a refusal for lack of capacity an owner is expected to keep
/// its queue short. Each slot then becomes free more than once.
const FULL_RUNS: u32 = 2;

/// The weight of one long body in the average transfer rate of a host's link;
/// links fill up fast.
const TRANSFER_RATE_WEIGHT: f64 = 0.3;

/// The greatest age of a reported rate of long answers.
const MAX_SEND_RATE_AGE: Duration = Duration::from_secs(1);

/// The time constant with which the greatest reported rate of long answers decays; the
/// link of a host may become slower.
const IDLE_RATE_DECAY_TIME: Duration = Duration::from_secs(30);

/// The factor by which an estimated transfer rate grows for each second of its
/// age.
const TRANSFER_RATE_GROWTH: f64 = 1.5;

/// The weight of one request in the average delay of a target's host. It is high
/// because an overloaded host fails all its requests within a second.
const DELAY_WEIGHT: f64 = 0.3;

/// The time constant with which a delay decays.
const DELAY_DECAY_TIME: Duration = Duration::from_secs(1);

/// What one host has observed of a target.
#[derive(Debug, Clone, Default)]
pub(crate) struct TargetEstimate {
    /// The requests that this host has in flight at the target.
    pub(crate) in_flight: u32,
    /// The value of `in_flight` at the time of the last report, less the request
    /// whose answer carried it.
    pub(crate) in_flight_at_report: u32,
    /// The last report, and when it arrived.
    pub(crate) report: Option<(LoadReport, Duration)>,
    /// The moving average of failed requests, in `0.0..=1.0`, as of
    /// `failures_at`.
    failures: f64,
    failures_at: Duration,
    pub(crate) paused_until: Duration,
    /// When the owner last refused a request for lack of capacity.
    pub(crate) full_at: Option<Duration>,
    /// The last pause of a target that accepts no connections; zero after it has
    /// answered.
    pub(crate) down_pause: Duration,
    /// The transfer rate of recent long bodies in bytes a second, and when it was
    /// updated.
    transfer_rate: Option<(f64, Duration)>,
    /// The rate at which the target's host can still receive bodies that were not
    /// offered, in bytes a second, and when it was reported.
    pub(crate) unoffered_rate: Option<(f64, Duration)>,
    /// The transfer rate of recent long answers in bytes a second, and when it was
    /// updated.
    answer_rate: Option<(f64, Duration)>,
    /// The rate at which the target's host can send a long answer, in bytes a second,
    /// and when it was reported.
    send_rate: Option<(f64, Duration)>,
    /// The greatest rate that was reported recently, in bytes a second. It is that of
    /// an idle link, or lower if the link was never idle.
    idle_send_rate: f64,
    /// By how much recent short requests exceeded the usual round-trip time, in
    /// seconds, and when it was updated.
    delay: Option<(f64, Duration)>,
    pub(crate) speed: TargetSpeed,
}

impl TargetEstimate {
    /// Returns the expected time to send a body to the target's host.
    pub(crate) fn transfer_time(&self, body_bytes: u64, now: Duration) -> Duration {
        transfer_time(self.transfer_rate, body_bytes, now)
    }

    /// Returns the expected time to receive an answer from the target's host.
    pub(crate) fn answer_time(&self, answer_bytes: u64, now: Duration) -> Duration {
        transfer_time(self.answer_rate, answer_bytes, now)
    }

    /// Returns the time to receive a long answer as reported: with those that this
    /// host has requested since the report. `receive_rate` is what this host can
    /// receive.
    pub(crate) fn reported_answer_time(
        &self,
        answer_bytes: u64,
        receive_rate: u64,
        now: Duration,
    ) -> Duration {
        let send_rate = self.recent_send_rate(now).unwrap_or(f64::MAX);
        let rate = send_rate.min(receive_rate as f64).max(1.0);
        Duration::from_secs_f64(self.requested_bytes(answer_bytes) / rate)
    }

    /// Returns the time for which the target's host sends a long answer on an idle
    /// link; zero without a recent report.
    pub(crate) fn idle_answer_time(&self, answer_bytes: u64, now: Duration) -> Duration {
        match self.recent_send_rate(now) {
            Some(_) => Duration::from_secs_f64(answer_bytes as f64 / self.idle_send_rate),
            None => Duration::ZERO,
        }
    }

    /// Returns for how long a long answer waits for the link of the target's host;
    /// zero without a recent report.
    pub(crate) fn answer_wait(&self, answer_bytes: u64, now: Duration) -> Duration {
        let Some(rate) = self.recent_send_rate(now) else {
            return Duration::ZERO;
        };
        let time = Duration::from_secs_f64(self.requested_bytes(answer_bytes) / rate);
        time.saturating_sub(self.idle_answer_time(answer_bytes, now))
    }

    pub(crate) fn record_send_rate(&mut self, rate: f64, now: Duration) {
        let rate = rate.max(1.0);
        let age = self
            .send_rate
            .map_or(Duration::ZERO, |(_, at)| now.saturating_sub(at));
        let kept = (-age.as_secs_f64() / IDLE_RATE_DECAY_TIME.as_secs_f64()).exp();
        self.idle_send_rate = rate.max(self.idle_send_rate * kept);
        self.send_rate = Some((rate, now));
    }

    fn recent_send_rate(&self, now: Duration) -> Option<f64> {
        let (rate, at) = self.send_rate?;
        (now.saturating_sub(at) <= MAX_SEND_RATE_AGE).then_some(rate)
    }

    /// Returns the length of a long answer with those that this host has requested
    /// since the last report, in bytes.
    fn requested_bytes(&self, answer_bytes: u64) -> f64 {
        let requested = self.in_flight.saturating_sub(self.in_flight_at_report);
        answer_bytes as f64 * (f64::from(requested) + 1.0)
    }

    /// Returns the recent delay beyond the usual round trip and the service time.
    pub(crate) fn delay(&self, now: Duration) -> Duration {
        self.delay.map_or(Duration::ZERO, |(delay, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            Duration::from_secs_f64(delay * (-age / DELAY_DECAY_TIME.as_secs_f64()).exp())
        })
    }

    pub(crate) fn record_delay(&mut self, delay: Duration, now: Duration) {
        let before = self.delay(now).as_secs_f64();
        let after = before + (delay.as_secs_f64() - before) * DELAY_WEIGHT;
        self.delay = Some((after, now));
    }

    pub(crate) fn record_transfer(&mut self, body_bytes: u64, round_trip: Duration, now: Duration) {
        record_rate(&mut self.transfer_rate, body_bytes, round_trip, now);
    }

    pub(crate) fn record_answer(&mut self, answer_bytes: u64, round_trip: Duration, now: Duration) {
        record_rate(&mut self.answer_rate, answer_bytes, round_trip, now);
    }

    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failures_at).as_secs_f64();
        self.failures * (-age / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    pub(crate) fn record_failure(&mut self, failed: bool, now: Duration) {
        let decayed = self.failure_rate(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures = decayed + (sample - decayed) * ANSWER_WEIGHT;
        self.failures_at = now;
    }

    /// Returns the expected service time. Without a recent report, a target is
    /// assumed to be as fast as the fastest other candidate, so that it gets
    /// requests and reports again.
    pub(crate) fn service_time(&self, fastest: Duration, now: Duration) -> Duration {
        let reported = self
            .report
            .and_then(|(report, at)| Some((report.service_time?, now.saturating_sub(at))));
        match reported {
            Some((time, age)) if age <= MAX_SERVICE_TIME_AGE => time,
            Some((time, _)) => time.min(fastest),
            None => fastest,
        }
    }

    /// Returns the number of requests that the target runs concurrently: as
    /// registered, or fewer if its owner reported so recently.
    pub(crate) fn capacity(&self, registered: u32, now: Duration) -> u32 {
        let recent = self
            .report
            .filter(|(_, at)| now.saturating_sub(*at) <= MAX_LIMIT_AGE);
        recent.map_or(registered, |(report, _)| registered.min(report.limit))
    }

    /// Returns the number of requests that the target runs well, which is at most
    /// [`TargetEstimate::capacity`].
    pub(crate) fn efficient_capacity(&self, registered: u32, now: Duration) -> u32 {
        let capacity = self.capacity(registered, now);
        let efficient = self.report.and_then(|(report, _)| report.efficient_limit);
        efficient.map_or(capacity, |efficient| capacity.min(efficient))
    }

    /// Returns the most urgent priority among the requests that wait at the target.
    pub(crate) fn waiting_priority(&self, now: Duration) -> Option<u32> {
        let (report, at) = self.report?;
        report
            .waiting_priority
            .filter(|_| now.saturating_sub(at) <= MAX_QUEUE_AGE)
    }

    /// Returns whether the owner refused a request a short time ago, as it does when the
    /// slots have been in use for some time.
    pub(crate) fn was_full(&self, service_time: Duration, now: Duration) -> bool {
        self.full_at
            .is_some_and(|at| now.saturating_sub(at) <= service_time * FULL_RUNS)
    }

    /// Returns whether the target may have a slot for a request that has missed its
    /// objective: its last report says so, or is too old to tell.
    pub(crate) fn may_have_spare_slot(&self, registered: u32, now: Duration) -> bool {
        let Some((report, at)) = self.report else {
            return self.in_flight == 0;
        };
        if now.saturating_sub(at) > MAX_QUEUE_AGE {
            return self.in_flight == 0;
        }
        let limit = self.capacity(registered, now).max(1);
        let sent_since = self.in_flight.saturating_sub(self.in_flight_at_report);
        let needed = report
            .occupied
            .saturating_add(sent_since)
            .saturating_add(scheduling::reserved_slots(limit));
        needed < limit
    }

    /// Returns the unused capacity; `None` without a recent report.
    pub(crate) fn spare_capacity(&self, registered: u32, now: Duration) -> Option<SpareCapacity> {
        let (report, at) = self.report?;
        let service_time = report.service_time?;
        if now.saturating_sub(at) > MAX_QUEUE_AGE {
            return None;
        }
        let limit = self.capacity(registered, now).max(1);
        let usable = limit - scheduling::reserved_slots(limit);
        let spare = f64::from(usable.saturating_sub(report.occupied));
        Some(SpareCapacity {
            fraction: spare / f64::from(limit),
            rate: spare / service_time.as_secs_f64().max(1e-3),
        })
    }

    /// Returns the expected wait of one more request at a target that runs `limit`
    /// requests concurrently.
    pub(crate) fn wait(
        &self,
        limit: u32,
        usual: f64,
        service_time: Duration,
        now: Duration,
    ) -> Duration {
        let limit = f64::from(limit.max(1));
        let reported_wait = self.report.map_or(Duration::ZERO, |(report, at)| {
            report.wait.saturating_sub(now.saturating_sub(at))
        });
        let excess = self.occupied(usual, now) + 1.0 - limit;
        let slot_wait = service_time.mul_f64(excess.max(0.0) / limit);
        slot_wait.max(reported_wait)
    }

    /// Returns the expected number of requests that run or wait at the target. The
    /// older the last report is, the nearer the result is to `usual`, the number at
    /// other targets.
    pub(crate) fn occupied(&self, usual: f64, now: Duration) -> f64 {
        let others = self.report.map_or(usual, |(report, at)| {
            let weight = report_weight(now.saturating_sub(at));
            let others = f64::from(report.occupied.saturating_sub(self.in_flight_at_report));
            others * weight + usual * (1.0 - weight)
        });
        others + f64::from(self.in_flight)
    }
}

/// Returns the expected time of a transfer at a rate that was updated at a time. The
/// rate grows with its age, so that a link which was full is tried again.
fn transfer_time(rate: Option<(f64, Duration)>, bytes: u64, now: Duration) -> Duration {
    match rate {
        Some((rate, at)) if bytes >= LONG_BODY => {
            let age = now.saturating_sub(at).as_secs_f64();
            Duration::from_secs_f64(bytes as f64 / (rate * TRANSFER_RATE_GROWTH.powf(age)))
        }
        _ => Duration::ZERO,
    }
}

fn record_rate(
    rate: &mut Option<(f64, Duration)>,
    bytes: u64,
    round_trip: Duration,
    now: Duration,
) {
    let sample = bytes as f64 / round_trip.as_secs_f64().max(1e-3);
    let average = rate.map_or(sample, |(average, _)| average);
    *rate = Some((average + (sample - average) * TRANSFER_RATE_WEIGHT, now));
}

/// Returns the weight of a report of this age.
pub(crate) fn report_weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / REPORT_DECAY_TIME.as_secs_f64()).exp()
}
