//! What runs at the target of this host, and when.
//!
//! Only processes of its own host reach a target, so its whole load passes this
//! one place. The limits therefore hold whatever senders believe: no more
//! requests at once than the target runs, no more a second than it bears while
//! cold, and none once it leaves or its failure domain is out. A request waits
//! only while its answer can come in time; otherwise it is refused at once, so
//! that its sender can try another target.
//!
//! A queue absorbs a short burst. When more requests come for longer than the
//! target runs, a long queue serves no more of them than a short one and makes
//! all of them late, so it is kept short until a slot is free again.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::order;
use crate::placement::LoadReport;
use crate::warmth::ColdLimit;

/// Weight of one run in the average service times.
const RUN_WEIGHT: f64 = 0.1;

/// What admission needs to know of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferRequest {
    /// The route; requests of one route take about the same time.
    pub route: SmolStr,
    /// How much of the latency objective is left.
    pub objective: Duration,
    /// How long the caller goes on waiting.
    pub time_left: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
}

/// Why nothing runs at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The daemon stops.
    Stopping,
    /// The target leaves.
    Draining,
    /// The target's failure domain was taken out.
    DomainOut,
    /// The target accepts no connections.
    Down,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// Its answer could not come in time.
    Full,
    /// As `Full`, while the target is cold.
    Cold,
    /// It waited until its time was over.
    Expired,
    /// Nothing runs at the target.
    Closed(CloseReason),
}

/// A refusal of a request that has not run and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferRefusal {
    /// Why.
    pub reason: RefuseReason,
    /// When there will be room again, as far as is known.
    pub retry_after: Option<Duration>,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey {
    order: Duration,
    number: u64,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It runs now.
    Run,
    /// It waits; [`LocalAdmission::pop`] decides later.
    Wait(WaitKey),
    /// It is not run.
    Refuse(OfferRefusal),
}

/// The decision on a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Popped {
    /// Which request.
    pub key: WaitKey,
    /// Whether it runs, or why not.
    pub decision: Result<(), OfferRefusal>,
}

#[derive(Debug)]
struct WaitingRequest {
    route: SmolStr,
    deadline: Duration,
}

/// The admission of one target.
#[derive(Debug)]
pub struct LocalAdmission {
    limit: u32,
    running: u32,
    closed: Option<CloseReason>,
    cold: ColdLimit,
    queue: BTreeMap<WaitKey, WaitingRequest>,
    numbers: u64,
    /// Since when each request found all slots taken.
    busy_since: Option<Duration>,
    /// The mean service time by route, in seconds.
    routes: IndexMap<SmolStr, f64>,
    /// The mean service time of all runs, in seconds.
    mean: Option<f64>,
}

impl LocalAdmission {
    /// Returns the admission of a target that runs so many requests at once.
    pub fn new(limit: u32) -> LocalAdmission {
        LocalAdmission {
            limit: limit.max(1),
            running: 0,
            closed: None,
            cold: ColdLimit::default(),
            queue: BTreeMap::new(),
            numbers: 0,
            busy_since: None,
            routes: IndexMap::new(),
            mean: None,
        }
    }

    /// Takes over how many requests run at once.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Closes the target, or opens it; requests that run are not touched.
    pub fn set_closed(&mut self, closed: Option<CloseReason>) {
        self.closed = closed;
    }

    /// Returns why nothing runs, if so.
    pub fn closed(&self) -> Option<CloseReason> {
        self.closed
    }

    /// Returns the bound that holds while the target is cold.
    pub fn cold_mut(&mut self) -> &mut ColdLimit {
        &mut self.cold
    }

    /// Returns the requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides on a request.
    pub fn offer(&mut self, request: &OfferRequest, now: Duration) -> Offer {
        if let Some(reason) = self.closed {
            return Offer::Refuse(closed_refusal(reason));
        }
        let free = self.running < self.limit && self.cold.next_at(now) <= now;
        if free && self.queue.is_empty() {
            self.busy_since = None;
            self.start(now);
            return Offer::Run;
        }
        let busy = now.saturating_sub(*self.busy_since.get_or_insert(now));
        let service_time = self.service_time(&request.route, request.objective);
        let order = order::order_time(now, request.objective, request.priority);
        let ahead = self
            .queue
            .keys()
            .take_while(|key| key.order <= order)
            .count();
        let wait = self.wait_behind(ahead, now);
        let objective = request.objective.min(request.time_left);
        let allowed = order::allowed_wait_after(busy, objective, service_time, request.priority);
        if wait > allowed {
            let reason = if self.cold.is_cold(now) {
                RefuseReason::Cold
            } else {
                RefuseReason::Full
            };
            return Offer::Refuse(OfferRefusal {
                reason,
                retry_after: Some(wait - allowed),
            });
        }
        let key = WaitKey {
            order,
            number: self.numbers,
        };
        self.numbers += 1;
        self.queue.insert(
            key,
            WaitingRequest {
                route: request.route.clone(),
                deadline: now + request.time_left,
            },
        );
        Offer::Wait(key)
    }

    /// Takes out the next waiting request on which a decision is due. To be
    /// called until it returns `None` after each change, and at
    /// [`LocalAdmission::next_timer`].
    pub fn pop(&mut self, now: Duration) -> Option<Popped> {
        let (&key, _) = self.queue.first_key_value()?;
        if let Some(reason) = self.closed {
            self.queue.remove(&key);
            return Some(Popped {
                key,
                decision: Err(closed_refusal(reason)),
            });
        }
        if self.running >= self.limit || self.cold.next_at(now) > now {
            return None;
        }
        let waiting = self.queue.remove(&key)?;
        let left = waiting.deadline.saturating_sub(now);
        // An answer that comes after the caller has gone is work for nothing.
        if left < self.service_time(&waiting.route, left).mul_f64(0.5) {
            return Some(Popped {
                key,
                decision: Err(OfferRefusal {
                    reason: RefuseReason::Expired,
                    retry_after: None,
                }),
            });
        }
        self.start(now);
        Some(Popped {
            key,
            decision: Ok(()),
        })
    }

    /// Takes out a request whose caller has gone. Returns whether it still
    /// waited; otherwise the decision was made, and a run must be ended.
    pub fn abandon(&mut self, key: WaitKey) -> bool {
        self.queue.remove(&key).is_some()
    }

    /// Returns when [`LocalAdmission::pop`] has to be called without another
    /// change.
    pub fn next_timer(&self, now: Duration) -> Option<Duration> {
        if self.queue.is_empty() || self.running >= self.limit {
            return None;
        }
        Some(self.cold.next_at(now)).filter(|next| *next > now)
    }

    /// Ends a run. `took` is `None` when its time says nothing.
    pub fn finish(&mut self, route: &SmolStr, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let Some(took) = took else {
            return;
        };
        let took = took.as_secs_f64();
        let mean = self.mean.get_or_insert(took);
        *mean += (took - *mean) * RUN_WEIGHT;
        let average = self.routes.entry(route.clone()).or_insert(took);
        *average += (took - *average) * RUN_WEIGHT;
    }

    /// Returns what senders are told of the target's load.
    pub fn report(&self, now: Duration) -> LoadReport {
        LoadReport {
            occupied: self.running + self.queue.len() as u32,
            limit: self.limit,
            wait: self.wait_behind(self.queue.len(), now),
            service_time: self.mean.map(Duration::from_secs_f64),
            cold: self.cold.is_cold(now),
        }
    }

    fn start(&mut self, now: Duration) {
        self.running += 1;
        self.cold.record(now);
    }

    fn service_time(&self, route: &SmolStr, objective: Duration) -> Duration {
        self.routes
            .get(route)
            .map_or(objective.mul_f64(order::UNKNOWN_SERVICE_PART), |seconds| {
                Duration::from_secs_f64(*seconds)
            })
    }

    /// Returns how long a request waits behind so many others.
    fn wait_behind(&self, ahead: usize, now: Duration) -> Duration {
        let busy = self.running as usize + ahead + 1;
        let over = busy.saturating_sub(self.limit as usize);
        let mean = Duration::from_secs_f64(self.mean.unwrap_or_default());
        let slots = mean.mul_f64(over as f64 / f64::from(self.limit));
        let cold = match self.cold.rate(now) {
            None => Duration::ZERO,
            Some(rate) => {
                let first = self.cold.next_at(now).saturating_sub(now);
                first + Duration::from_secs_f64(ahead as f64 / rate)
            }
        };
        slots.max(cold)
    }
}

fn closed_refusal(reason: CloseReason) -> OfferRefusal {
    OfferRefusal {
        reason: RefuseReason::Closed(reason),
        retry_after: None,
    }
}
