//! Admission control of the target on this host.
//!
//! A target is reachable from its own host only, so its whole load passes through
//! this module. The limits therefore hold whatever load the senders assume: the
//! number of concurrent requests, the rate while the target is cold or declares
//! one, and no requests at all once it drains or its failure domain is evacuated.
//! A request waits only if it is expected to be answered in time; otherwise it is
//! refused at once, so that its sender can try another target.
//!
//! A queue absorbs a short burst. In a longer overload, a long queue does not
//! increase throughput over a short one but makes all requests late, so the
//! queue is kept short until a slot is free again.
//!
//! Waiting requests run in the order of their urgency; see [`crate::shares`]. A
//! less urgent request that has waited as long as it may still gets a bounded part
//! of the slots, since it was told that it would run.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::call_pressure::CallPressure;
use crate::call_pressure::CalledQueue;
use crate::cold_rate_limit::ColdRateLimit;
use crate::declared_rate_limit::DeclaredRateLimit;
use crate::efficient_limit::EfficientLimit;
use crate::placement::LoadReport;
use crate::rate_limits::RateLimitKind;
use crate::rate_limits::RateLimits;
use crate::scheduling;
use crate::shares::RequestKind;
use crate::shares::ServedShares;
use crate::urgency_counts::UrgencyCounts;

/// The weight of one run in the moving averages of service times.
const RUN_WEIGHT: f64 = 0.1;

/// The wait that is reported when no request may be sent.
const MAX_REPORTED_WAIT: Duration = Duration::from_secs(60);

/// How many waiting requests run before a less urgent one that has waited as long
/// as it may. It bounds the delay of urgent requests, and the wait of the others.
const STARTS_PER_OVERDUE: u32 = 3;

/// The properties of a request that determine its admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The name of the route; the runs of one route take about the same time.
    pub route: SmolStr,
    /// The remaining part of the latency objective.
    pub objective: Duration,
    /// The time until the request times out.
    pub time_left: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The priority that determines which request goes first: for a call, the
    /// priority of the request on whose behalf it is made.
    pub urgency: u32,
    /// Whether a target makes the request on behalf of one that it runs. A call
    /// that is refused or late wastes that run, so it may wait as long as its
    /// caller does, and runs before requests of callers that are equally urgent.
    pub is_call: bool,
    /// Whether the request cannot be answered within its objective any more. It runs
    /// only in a slot that no other request needs, and never waits here.
    pub is_late: bool,
}

/// The reason why the target admits no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The daemon is stopping.
    Stopping,
    /// The target is draining.
    Draining,
    /// The failure domain of the target is evacuated.
    DomainOut,
    /// The target accepts no connections.
    Down,
}

/// The reason why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// The request would be answered after its latency objective.
    Full,
    /// As `Full`, while the rate of the cold target is limited.
    Cold,
    /// As `Full`, while the target declares a rate limit.
    RateLimited,
    /// Too little time was left to run the request when a slot became free.
    Expired,
    /// The target admits no requests.
    Closed(CloseReason),
}

/// The refusal of a request, which has not run and will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The reason for the refusal.
    pub reason: RefuseReason,
    /// The time after which the request may be admitted; `None` if unknown.
    pub retry_after: Option<Duration>,
}

/// Identifies a waiting request; ordered as the requests run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey {
    /// The urgency with which the request competes.
    urgency: u32,
    /// The virtual deadline of the request.
    sort_key: Duration,
    /// The number of the request in order of arrival, which breaks ties.
    number: u64,
}

/// The decision on an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Run,
    /// The request waits; [`LocalAdmission::decide_next`] decides on it later.
    Wait(WaitKey),
    /// The request does not run.
    Refuse(AdmissionRefusal),
}

/// The decision on a request that has waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueDecision {
    /// The request that the decision applies to.
    pub key: WaitKey,
    /// `Ok` if the request runs now, or else the refusal.
    pub decision: Result<(), AdmissionRefusal>,
}

#[derive(Debug)]
struct WaitingRequest {
    route: SmolStr,
    deadline: Duration,
    /// The urgency of the request itself, whatever it competes with.
    urgency: u32,
    /// When the request has waited as long as it may.
    overdue_at: Duration,
}

/// The admission control of one target.
#[derive(Debug)]
pub struct LocalAdmission {
    limit: u32,
    running: u32,
    closed: Option<CloseReason>,
    rates: RateLimits,
    queue: BTreeMap<WaitKey, WaitingRequest>,
    /// The requests in the queue by their own urgency.
    waiting_urgencies: UrgencyCounts,
    next_number: u64,
    shares: ServedShares,
    call_pressure: CallPressure,
    /// The requests that ran while a less urgent one waited, since the last of
    /// those ran.
    starts_since_overdue: u32,
    /// The start of the current period without a free slot; `None` if an arriving
    /// request found one.
    busy_since: Option<Duration>,
    /// The mean service time by route, in seconds.
    routes: IndexMap<SmolStr, f64>,
    /// The mean service time of all runs, in seconds.
    mean: Option<f64>,
    efficient_limit: EfficientLimit,
}

impl LocalAdmission {
    /// Returns the admission control of a target that runs `limit` requests
    /// concurrently, at least one.
    pub fn new(limit: u32) -> LocalAdmission {
        LocalAdmission {
            limit: limit.max(1),
            running: 0,
            closed: None,
            rates: RateLimits::default(),
            queue: BTreeMap::new(),
            waiting_urgencies: UrgencyCounts::default(),
            next_number: 0,
            shares: ServedShares::default(),
            call_pressure: CallPressure::default(),
            starts_since_overdue: 0,
            busy_since: None,
            routes: IndexMap::new(),
            mean: None,
            efficient_limit: EfficientLimit::default(),
        }
    }

    /// Returns the admission control of a target whose daemon has started at the time
    /// `started`. What the daemon before has sent to the target is unknown.
    pub fn after_start(limit: u32, started: Duration) -> LocalAdmission {
        LocalAdmission {
            rates: RateLimits::after_start(started),
            ..LocalAdmission::new(limit)
        }
    }

    /// Sets the number of requests that may run concurrently, at least one.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Closes the target for new requests, or opens it with `None`. Running
    /// requests are not affected.
    pub fn set_closed(&mut self, closed: Option<CloseReason>) {
        self.closed = closed;
    }

    /// Returns why the target is closed; `None` if it is open.
    pub fn closed(&self) -> Option<CloseReason> {
        self.closed
    }

    /// Returns the rate limiter that is active while the target is cold.
    pub fn cold_mut(&mut self) -> &mut ColdRateLimit {
        &mut self.rates.cold
    }

    /// Returns the rate limit that the target declares.
    pub fn declared(&self) -> &DeclaredRateLimit {
        &self.rates.declared
    }

    /// Returns the rate limit that the target declares.
    pub fn declared_mut(&mut self) -> &mut DeclaredRateLimit {
        &mut self.rates.declared
    }

    /// Records that a call of a run of `route` was answered, and which requests wait at
    /// the called target.
    pub fn record_call(&mut self, route: &SmolStr, queue: CalledQueue, now: Duration) {
        self.call_pressure.record(route, queue, now);
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides on an arriving request.
    pub fn decide(&mut self, request: &AdmissionRequest, now: Duration) -> AdmissionDecision {
        if let Some(reason) = self.closed {
            return AdmissionDecision::Refuse(closed_refusal(reason));
        }
        if request.is_late {
            return self.decide_late(request, now);
        }
        let kind = RequestKind {
            route: request.route.clone(),
            urgency: request.urgency,
            is_call: request.is_call,
        };
        let decision = self.decide_open(request, &kind, now);
        let is_admitted = !matches!(decision, AdmissionDecision::Refuse(_));
        self.shares.record(&kind, is_admitted, now);
        decision
    }

    /// Decides on a request that has missed its objective. Nothing of it counts for
    /// the decisions on other requests, apart from the slot that it occupies.
    fn decide_late(&mut self, request: &AdmissionRequest, now: Duration) -> AdmissionDecision {
        let is_limited = self.rates.lowest(now).is_some();
        let spare = self.limit - scheduling::reserved_slots(self.limit);
        let has_spare_slot = self.running < spare && self.queue.is_empty();
        let service_time = self.service_time(&request.route, request.time_left);
        let is_in_time = request.time_left >= scheduling::late_run(service_time);
        let gives_way = self.call_pressure.meets_queues(&request.route, now);
        if is_limited || !has_spare_slot || !is_in_time || gives_way {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: self.full_reason(now),
                retry_after: None,
            });
        }
        self.start(now);
        AdmissionDecision::Run
    }

    fn decide_open(
        &mut self,
        request: &AdmissionRequest,
        kind: &RequestKind,
        now: Duration,
    ) -> AdmissionDecision {
        let urgency = self.shares.effective_urgency(kind, now);
        let gives_way = !request.is_call && urgency == request.urgency;
        if gives_way && self.call_pressure.is_high(&request.route, now) {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: RefuseReason::Full,
                retry_after: None,
            });
        }
        let free = self.running < self.limit && self.rates.next_allowed(now) <= now;
        if free && self.queue.is_empty() {
            self.busy_since = None;
            self.start(now);
            return AdmissionDecision::Run;
        }
        let busy = now.saturating_sub(*self.busy_since.get_or_insert(now));
        let service_time = self.service_time(&request.route, request.objective);
        // A kind below its floor competes as a more urgent one in all respects.
        let priority = match urgency < request.urgency {
            true => request.priority.min(urgency),
            false => request.priority,
        };
        let sort_key = match request.is_call {
            true => now,
            false => scheduling::virtual_deadline(now, request.objective, priority),
        };
        let ahead = self
            .queue
            .keys()
            .take_while(|key| (key.urgency, key.sort_key) <= (urgency, sort_key))
            .count();
        let wait = self.expected_wait(ahead, now);
        let objective = request.objective.min(request.time_left);
        let allowed_in_time =
            scheduling::allowed_wait_when_busy(busy, objective, service_time, priority);
        let allowed = match request.is_call {
            true => scheduling::allowed_wait(request.time_left, service_time, priority),
            false => allowed_in_time,
        };
        if wait.is_none_or(|wait| wait > allowed) {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: self.full_reason(now),
                retry_after: wait.map(|wait| wait - allowed),
            });
        }
        let key = WaitKey {
            urgency,
            sort_key,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting_urgencies.add(request.urgency);
        self.queue.insert(
            key,
            WaitingRequest {
                route: request.route.clone(),
                deadline: now + request.time_left,
                urgency: request.urgency,
                overdue_at: now + allowed.min(allowed_in_time),
            },
        );
        AdmissionDecision::Wait(key)
    }

    /// Removes the next waiting request on which a decision is due, and returns
    /// the decision. Must be called after each change, and at
    /// [`LocalAdmission::next_timer`], until it returns `None`.
    pub fn decide_next(&mut self, now: Duration) -> Option<QueueDecision> {
        let (&key, _) = self.queue.first_key_value()?;
        if let Some(reason) = self.closed {
            self.take_waiting(key);
            return Some(QueueDecision {
                key,
                decision: Err(closed_refusal(reason)),
            });
        }
        if self.running >= self.limit || self.rates.next_allowed(now) > now {
            return None;
        }
        let key = self.overdue_key(key, now).unwrap_or(key);
        let waiting = self.take_waiting(key)?;
        let left = waiting.deadline.saturating_sub(now);
        // The request would probably time out during its run, which would be
        // wasted.
        if left < self.service_time(&waiting.route, left).mul_f64(0.5) {
            return Some(QueueDecision {
                key,
                decision: Err(AdmissionRefusal {
                    reason: RefuseReason::Expired,
                    retry_after: None,
                }),
            });
        }
        self.count_start(key);
        self.start(now);
        Some(QueueDecision {
            key,
            decision: Ok(()),
        })
    }

    /// Removes the waiting requests that a rate limit holds back for longer than they may
    /// wait, and returns the decisions. Must be called when a limit turns out to be in
    /// force that was not expected when they began to wait.
    pub fn refuse_overdue(&mut self, now: Duration) -> Vec<QueueDecision> {
        let mut kept = 0;
        let mut overdue = Vec::new();
        for (key, waiting) in &self.queue {
            let wait = self.rates.expected_wait(kept, now);
            if wait.is_some_and(|wait| now + wait <= waiting.overdue_at) {
                kept += 1;
                continue;
            }
            let refusal = AdmissionRefusal {
                reason: self.full_reason(now),
                retry_after: wait,
            };
            overdue.push(QueueDecision {
                key: *key,
                decision: Err(refusal),
            });
        }
        for queue_decision in &overdue {
            self.take_waiting(queue_decision.key);
        }
        overdue
    }

    /// Removes all waiting requests, which are refused for this reason, and returns the
    /// decisions. Those that arrive later are not affected.
    pub fn refuse_waiting(&mut self, reason: CloseReason) -> Vec<QueueDecision> {
        let keys: Vec<WaitKey> = self.queue.keys().copied().collect();
        let refuse = |key| {
            self.take_waiting(key);
            QueueDecision {
                key,
                decision: Err(closed_refusal(reason)),
            }
        };
        keys.into_iter().map(refuse).collect()
    }

    /// Returns the next of the requests that are less urgent than `first` and have
    /// waited as long as they may, if its turn has come.
    fn overdue_key(&self, first: WaitKey, now: Duration) -> Option<WaitKey> {
        if self.starts_since_overdue < STARTS_PER_OVERDUE {
            return None;
        }
        self.less_urgent(first)
            .filter(|(_, waiting)| waiting.overdue_at <= now)
            .min_by_key(|(_, waiting)| waiting.overdue_at)
            .map(|(key, _)| *key)
    }

    fn count_start(&mut self, key: WaitKey) {
        let first = self.queue.first_key_value();
        if first.is_some_and(|(first, _)| first.urgency < key.urgency) {
            self.starts_since_overdue = 0;
        } else if self.less_urgent(key).next().is_some() {
            self.starts_since_overdue += 1;
        } else {
            self.starts_since_overdue = 0;
        }
    }

    /// Returns the waiting requests that are less urgent than `key`.
    fn less_urgent(&self, key: WaitKey) -> impl Iterator<Item = (&WaitKey, &WaitingRequest)> {
        let start = WaitKey {
            urgency: key.urgency.saturating_add(1),
            sort_key: Duration::ZERO,
            number: 0,
        };
        self.queue.range(start..)
    }

    /// Removes a waiting request whose caller has disconnected, and returns true
    /// if it was still waiting. Otherwise it has been decided on, and a run must
    /// be ended with [`LocalAdmission::finish`].
    pub fn remove_waiting(&mut self, key: WaitKey) -> bool {
        self.take_waiting(key).is_some()
    }

    fn take_waiting(&mut self, key: WaitKey) -> Option<WaitingRequest> {
        let waiting = self.queue.remove(&key)?;
        self.waiting_urgencies.remove(waiting.urgency);
        Some(waiting)
    }

    /// Returns when [`LocalAdmission::decide_next`] must be called if nothing else
    /// changes.
    pub fn next_timer(&self, now: Duration) -> Option<Duration> {
        if self.queue.is_empty() || self.running >= self.limit {
            return None;
        }
        Some(self.rates.next_allowed(now)).filter(|next| *next > now)
    }

    /// Ends a run. `took` is its service time, or `None` if the time is not
    /// representative.
    pub fn finish(&mut self, route: &SmolStr, took: Option<Duration>) {
        let running = self.running;
        self.running = self.running.saturating_sub(1);
        let Some(took) = took else {
            return;
        };
        if let Some(mean) = self.routes.get(route) {
            self.efficient_limit
                .record(self.limit, running, took, *mean);
        }
        let took = took.as_secs_f64();
        let mean = self.mean.get_or_insert(took);
        *mean += (took - *mean) * RUN_WEIGHT;
        let average = self.routes.entry(route.clone()).or_insert(took);
        *average += (took - *average) * RUN_WEIGHT;
    }

    /// Returns the load report that is sent to the senders with each answer.
    pub fn report(&self, now: Duration) -> LoadReport {
        LoadReport {
            occupied: self.running + self.queue.len() as u32,
            limit: self.concurrency(),
            wait: self
                .expected_wait(self.queue.len(), now)
                .unwrap_or(MAX_REPORTED_WAIT),
            service_time: self.mean.map(Duration::from_secs_f64),
            cold: self.rates.cold.is_cold(now),
            efficient_limit: self.efficient_limit.get(),
            waiting_priority: self.waiting_urgencies.most_urgent(),
        }
    }

    /// Returns the mean service time of a route; `None` until its first run has
    /// ended.
    pub fn route_service_time(&self, route: &str) -> Option<Duration> {
        self.routes.get(route).copied().map(Duration::from_secs_f64)
    }

    fn start(&mut self, now: Duration) {
        self.running += 1;
        self.rates.record(now);
    }

    fn full_reason(&self, now: Duration) -> RefuseReason {
        match self.rates.lowest(now) {
            Some((_, RateLimitKind::Cold)) => RefuseReason::Cold,
            Some((_, RateLimitKind::Declared)) => RefuseReason::RateLimited,
            None => RefuseReason::Full,
        }
    }

    /// Returns the number of requests that run concurrently when the target is
    /// fully used: the slots, or what its declared rate keeps busy of them.
    fn concurrency(&self) -> u32 {
        let Some((rate, mean)) = self.rates.declared.per_second().zip(self.mean) else {
            return self.limit;
        };
        let busy = (rate * mean).ceil().max(1.0);
        f64::from(self.limit).min(busy) as u32
    }

    fn service_time(&self, route: &SmolStr, objective: Duration) -> Duration {
        self.routes.get(route).map_or(
            objective.mul_f64(scheduling::DEFAULT_SERVICE_FRACTION),
            |seconds| Duration::from_secs_f64(*seconds),
        )
    }

    /// Returns the expected wait of a request with `ahead` others before it; `None`
    /// if a rate limit lets nothing pass.
    fn expected_wait(&self, ahead: usize, now: Duration) -> Option<Duration> {
        let busy = self.running as usize + ahead + 1;
        let excess = busy.saturating_sub(self.limit as usize);
        let mean = Duration::from_secs_f64(self.mean.unwrap_or_default());
        let slot_wait = mean.mul_f64(excess as f64 / f64::from(self.limit));
        let rate_wait = self.rates.expected_wait(ahead, now)?;
        Some(slot_wait.max(rate_wait))
    }
}

fn closed_refusal(reason: CloseReason) -> AdmissionRefusal {
    AdmissionRefusal {
        reason: RefuseReason::Closed(reason),
        retry_after: None,
    }
}
