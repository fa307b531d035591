//! Plays a load on a fleet of entry daemons and owners, without a network.
//!
//! Each sender has its own placer and counts, each target its own admission, and
//! they learn of each other only what the messages between daemons contain. A
//! caller honours `Retry-After` up to a third of the time that it has left.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use radishgauge_mesh::AdmissionDecision;
use radishgauge_mesh::AdmissionRequest;
use radishgauge_mesh::LoadReport;
use radishgauge_mesh::LocalAdmission;
use radishgauge_mesh::PlaceRequest;
use radishgauge_mesh::RequestKind;
use radishgauge_mesh::ReturnOrder;
use radishgauge_mesh::RouteKey;
use radishgauge_mesh::ServiceShares;
use radishgauge_mesh::TargetPlacer;
use radishgauge_mesh::WaitingLine;
use radishgauge_mesh::admission::WaitKey;
use radishgauge_mesh::call_pressure::CalledQueue;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::PlacementError;
use radishgauge_mesh::placement::SendOutcome;
use radishgauge_mesh::placement::TargetDistance;
use radishgauge_mesh::return_order::RefusedRequest;
use radishgauge_mesh::waiting_line::LinePlace;
use radishgauge_mesh::waiting_line::LineRequest;
use radishgauge_mesh::waiting_line::LineStep;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use smol_str::SmolStr;

/// The latency of a message between two daemons.
const LATENCY: Duration = Duration::from_millis(1);

/// How long before its time limit a waiting request is refused, as at owners.
const REFUSAL_MARGIN: Duration = Duration::from_millis(60);

/// The greatest number of refused offers of one request, as at entry daemons.
const MAX_OFFERS: usize = 4;

/// The greatest number of times that a caller sends a refused request again.
const MAX_RETURNS: u32 = 2;

/// The number of failure domains among which senders and targets are divided.
const DOMAINS: usize = 4;

/// The time at the start of a load that is not counted.
const WARM_UP: Duration = Duration::from_secs(2);

/// The call that each run of a kind makes.
#[derive(Debug, Clone, Copy)]
pub struct CallPlan {
    pub service: usize,
    pub objective: Duration,
    pub run: Duration,
}

/// A kind of request.
#[derive(Debug, Clone)]
pub struct KindPlan {
    pub name: &'static str,
    pub service: usize,
    /// The fraction of the load's rate.
    pub weight: f64,
    pub priority: u32,
    pub objective: Duration,
    pub time_limit: Duration,
    /// The mean service time.
    pub run: Duration,
    pub call: Option<CallPlan>,
}

/// The targets of one service.
#[derive(Debug, Clone, Copy)]
pub struct ServicePlan {
    pub targets: usize,
    pub slots: u32,
}

/// A load on a fleet.
pub struct FleetPlan {
    pub services: Vec<ServicePlan>,
    pub senders: usize,
    pub kinds: Vec<KindPlan>,
    /// The rate of requests in each second.
    pub rate: fn(Duration) -> f64,
    pub length: Duration,
    /// Whether callers send refused requests again.
    pub callers_return: bool,
}

/// The decisions that are in force; without any, those of earlier versions.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetRules {
    /// More urgent requests go first, with a floor for each kind.
    pub shares: bool,
    /// Requests that cannot be answered in time wait at their daemons.
    pub waiting: bool,
    /// Refused callers return when capacity is expected to be spare.
    pub return_order: bool,
    /// Senders remember which owners refused requests for lack of capacity.
    pub refusals: bool,
}

/// The outcomes of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindCounts {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    pub calls_sent: u32,
    pub calls_served: u32,
}

impl KindCounts {
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent.max(1))
    }

    /// Returns the value to callers; a late answer is worth a third.
    pub fn value(&self) -> f64 {
        (f64::from(self.in_time) + f64::from(self.late) / 3.0) / f64::from(self.sent.max(1))
    }
}

/// What callers and daemons saw of a load.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetOutcome {
    pub kinds: Vec<KindCounts>,
    /// The offers that owners refused.
    pub refused_offers: u32,
    pub offers: u32,
    /// The requests that waited at their daemons, and those of them that were refused.
    pub waited: u32,
    pub given_up: u32,
    /// The tries of waiting requests that owners refused.
    pub refused_tries: u32,
    /// The longest time between the arrival of a request at a daemon and its refusal.
    pub longest_refusal: Duration,
}

impl FleetOutcome {
    pub fn all(&self) -> KindCounts {
        let mut all = KindCounts::default();
        for counts in &self.kinds {
            all.sent += counts.sent;
            all.in_time += counts.in_time;
            all.late += counts.late;
            all.refused += counts.refused;
            all.failed += counts.failed;
        }
        all
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// The caller sends the request, or the target its call.
    Send,
    /// The request reaches the owner.
    Offered,
    /// The owner's refusal reaches the sender.
    Refused,
    /// A waiting request is refused because of its time limit.
    Expired,
    /// The run has come to its call.
    CallDue,
    /// The run ends.
    RunEnd,
    /// The answer reaches the sender.
    Answered,
    /// A request that waits at its daemon may be sent.
    Turn,
    /// The slot that an owner gave to such a request is known at the daemon.
    Reserved,
}

#[derive(Debug, Clone)]
struct Request {
    kind: usize,
    sender: usize,
    /// When the caller sent it for the first time.
    first_sent: Duration,
    /// When it arrived at the daemon this time.
    arrived: Duration,
    deadline: Duration,
    /// The request that makes this call.
    parent: Option<usize>,
    returns: u32,
    tried: Vec<usize>,
    refused_offers: usize,
    target: usize,
    run: Duration,
    run_started: Duration,
    wait_key: Option<WaitKey>,
    /// The place of a request that waits at its daemon, and when it acts next.
    place: Option<LinePlace>,
    turn_at: Duration,
    is_late: bool,
    report: LoadReport,
}

type Event = (Duration, u64, usize, Step);

/// A fleet under load.
pub struct Fleet<'a> {
    plan: &'a FleetPlan,
    rules: FleetRules,
    placers: Vec<TargetPlacer>,
    shares: Vec<ServiceShares>,
    owners: Vec<LocalAdmission>,
    waiting: Vec<HashMap<WaitKey, usize>>,
    /// The waiting lines by sender and service.
    lines: HashMap<(usize, usize), WaitingLine>,
    in_line: HashMap<(usize, usize, LinePlace), usize>,
    return_orders: HashMap<(usize, usize), ReturnOrder>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<Event>>,
    sequence: u64,
    random: Pcg32,
    outcome: FleetOutcome,
}

impl<'a> Fleet<'a> {
    pub fn play(plan: &'a FleetPlan, rules: FleetRules, seed: u64) -> FleetOutcome {
        let owners = plan
            .services
            .iter()
            .flat_map(|service| (0..service.targets).map(|_| LocalAdmission::new(service.slots)));
        let owners: Vec<LocalAdmission> = owners.collect();
        let mut fleet = Fleet {
            plan,
            rules,
            placers: (0..plan.senders)
                .map(|sender| TargetPlacer::new(seed * 1000 + sender as u64))
                .collect(),
            shares: (0..plan.senders)
                .map(|_| ServiceShares::default())
                .collect(),
            waiting: owners.iter().map(|_| HashMap::new()).collect(),
            owners,
            lines: HashMap::new(),
            in_line: HashMap::new(),
            return_orders: HashMap::new(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            random: Pcg32::seed_from_u64(seed),
            outcome: FleetOutcome {
                kinds: vec![KindCounts::default(); plan.kinds.len()],
                ..FleetOutcome::default()
            },
        };
        fleet.schedule_callers();
        fleet.run();
        fleet.outcome
    }

    fn schedule_callers(&mut self) {
        let mut now = 0.0;
        loop {
            let rate = (self.plan.rate)(Duration::from_secs_f64(now));
            now += -self.random.random_range(1e-9_f64..1.0).ln() / rate;
            let at = Duration::from_secs_f64(now);
            if at >= self.plan.length {
                return;
            }
            let mut draw = self.random.random_range(0.0..1.0);
            let weights = self.plan.kinds.iter().map(|kind| kind.weight);
            let kind = weights
                .take_while(|weight| {
                    draw -= weight;
                    draw >= 0.0
                })
                .count();
            let kind = kind.min(self.plan.kinds.len() - 1);
            let sender = self.random.random_range(0..self.plan.senders);
            let deadline = at + self.plan.kinds[kind].time_limit;
            self.add_request(kind, sender, at, deadline, None);
        }
    }

    fn add_request(
        &mut self,
        kind: usize,
        sender: usize,
        at: Duration,
        deadline: Duration,
        parent: Option<usize>,
    ) {
        let mean = match parent {
            Some(_) => self.plan.kinds[kind].call.unwrap().run,
            None => self.plan.kinds[kind].run,
        };
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12)
            .map(|_| self.random.random_range(0.0..1.0))
            .sum::<f64>()
            - 6.0;
        self.requests.push(Request {
            kind,
            sender,
            first_sent: at,
            arrived: at,
            deadline,
            parent,
            returns: 0,
            tried: Vec::new(),
            refused_offers: 0,
            target: 0,
            run: mean.mul_f64((normal * 0.3 - 0.045).exp()),
            run_started: Duration::ZERO,
            wait_key: None,
            place: None,
            turn_at: Duration::ZERO,
            is_late: false,
            report: LoadReport::default(),
        });
        let index = self.requests.len() - 1;
        if self.is_counted(index) {
            let counts = &mut self.outcome.kinds[kind];
            match parent {
                Some(_) => counts.calls_sent += 1,
                None => counts.sent += 1,
            }
        }
        self.schedule(at, index, Step::Send);
    }

    fn schedule(&mut self, at: Duration, index: usize, step: Step) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, index, step)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, index, step))) = self.events.pop() {
            match step {
                Step::Send => {
                    let request = &mut self.requests[index];
                    request.arrived = now;
                    request.tried.clear();
                    request.refused_offers = 0;
                    request.is_late = false;
                    self.place(index, now);
                }
                Step::Offered => self.decide(index, now),
                Step::Refused => self.offer_refused(index, now),
                Step::Expired => self.expire(index, now),
                Step::CallDue => self.call(index, now),
                Step::RunEnd => self.run_ended(index, now),
                Step::Answered => self.answered(index, now),
                Step::Turn => self.take_turn(index, now),
                Step::Reserved => self.leave_line(index, true, now),
            }
        }
    }

    fn is_counted(&self, index: usize) -> bool {
        let request = &self.requests[index];
        let first = request.parent.unwrap_or(index);
        self.requests[first].first_sent >= WARM_UP
    }

    fn service(&self, index: usize) -> usize {
        let request = &self.requests[index];
        let kind = &self.plan.kinds[request.kind];
        match request.parent {
            Some(_) => kind.call.unwrap().service,
            None => kind.service,
        }
    }

    fn service_name(&self, index: usize) -> SmolStr {
        SmolStr::from(format!("s{}", self.service(index)))
    }

    fn objective(&self, index: usize) -> Duration {
        let request = &self.requests[index];
        let kind = &self.plan.kinds[request.kind];
        match request.parent {
            Some(_) => kind.call.unwrap().objective,
            None => kind.objective,
        }
    }

    fn kind(&self, index: usize) -> RequestKind {
        let request = &self.requests[index];
        let kind = &self.plan.kinds[request.kind];
        RequestKind {
            route: self.route(index),
            urgency: kind.priority,
            is_call: request.parent.is_some(),
        }
    }

    fn route(&self, index: usize) -> SmolStr {
        let request = &self.requests[index];
        let name = self.plan.kinds[request.kind].name;
        match request.parent {
            Some(_) => SmolStr::from(format!("{name} call")),
            None => SmolStr::new_static(name),
        }
    }

    fn objective_left(&self, index: usize, now: Duration) -> Duration {
        let request = &self.requests[index];
        let left = request.deadline.saturating_sub(now);
        self.objective(index)
            .saturating_sub(now - request.arrived)
            .min(left)
    }

    fn place_request(&self, index: usize, now: Duration) -> PlaceRequest {
        let request = &self.requests[index];
        let objective = match request.is_late {
            true => self.objective(index),
            false => self.objective_left(index, now),
        };
        let kind = self.kind(index);
        let priority = match self.rules.shares {
            true => {
                self.shares[request.sender].effective_urgency(&self.service_name(index), &kind, now)
            }
            false => kind.urgency,
        };
        PlaceRequest {
            objective,
            patience: match request.parent {
                Some(_) => request.deadline.saturating_sub(now),
                None => objective,
            },
            priority,
            body_bytes: 0,
            route: RouteKey::default(),
            receive_rate: u64::MAX,
        }
    }

    fn candidates(&self, index: usize) -> Vec<PlaceCandidate> {
        let request = &self.requests[index];
        let service = self.service(index);
        let before = &self.plan.services[..service];
        let first: usize = before.iter().map(|service| service.targets).sum();
        let ServicePlan { targets, slots } = self.plan.services[service];
        (first..first + targets)
            .filter(|target| !request.tried.contains(target))
            .map(|target| PlaceCandidate {
                id: target_id(target),
                distance: match target % DOMAINS == request.sender % DOMAINS {
                    true => TargetDistance::SameDomain,
                    false => TargetDistance::SameRegion,
                },
                capacity: slots,
                is_scarce: false,
            })
            .collect()
    }

    fn place(&mut self, index: usize, now: Duration) {
        if now >= self.requests[index].deadline {
            return self.refuse(index, Duration::ZERO, now);
        }
        let candidates = self.candidates(index);
        let place_request = self.place_request(index, now);
        let sender = self.requests[index].sender;
        if self.rules.waiting && self.line_of(index).needs_spare(now) {
            let spare = self.placers[sender].spare_capacity(&candidates, now);
            if let Some(mut spare) = spare {
                spare.rate /= self.plan.senders as f64;
                self.line_of(index).record_spare(spare, now);
            }
        }
        match self.placers[sender].place(&candidates, &place_request, now) {
            Ok(id) => self.send(index, target_index(&id), now),
            Err(PlacementError::Full { retry_after }) => self.refuse(index, retry_after, now),
            Err(PlacementError::NoTarget) => self.refuse(index, Duration::ZERO, now),
        }
    }

    fn send(&mut self, index: usize, target: usize, now: Duration) {
        let request = &mut self.requests[index];
        request.target = target;
        request.tried.push(target);
        self.outcome.offers += 1;
        self.schedule(now + LATENCY, index, Step::Offered);
    }

    /// The owner decides on a request.
    fn decide(&mut self, index: usize, now: Duration) {
        let request = &self.requests[index];
        let target = request.target;
        let priority = self.plan.kinds[request.kind].priority;
        let time_left = request.deadline.saturating_sub(now);
        let admission_request = AdmissionRequest {
            route: self.route(index),
            objective: self.objective_left(index, now),
            time_left,
            priority,
            // Requests that are all equally urgent are ordered as before.
            urgency: if self.rules.shares { priority } else { 0 },
            is_call: request.parent.is_some(),
            is_late: request.is_late,
        };
        match self.owners[target].decide(&admission_request, now) {
            AdmissionDecision::Run => {
                if admission_request.is_late {
                    self.schedule(now + LATENCY, index, Step::Reserved);
                }
                self.start(index, now);
            }
            AdmissionDecision::Wait(key) => {
                self.requests[index].wait_key = Some(key);
                self.waiting[target].insert(key, index);
                let refuse_at = now + time_left.saturating_sub(REFUSAL_MARGIN);
                self.schedule(refuse_at, index, Step::Expired);
            }
            AdmissionDecision::Refuse(_) => self.reply_refused(index, now),
        }
    }

    fn reply_refused(&mut self, index: usize, now: Duration) {
        match self.requests[index].is_late {
            true => self.outcome.refused_tries += 1,
            false => self.outcome.refused_offers += 1,
        }
        self.set_report(index, now);
        self.schedule(now + LATENCY, index, Step::Refused);
    }

    fn set_report(&mut self, index: usize, now: Duration) {
        let target = self.requests[index].target;
        let mut report = self.owners[target].report(now);
        if !self.rules.shares {
            report.waiting_priority = None;
        }
        self.requests[index].report = report;
    }

    fn start(&mut self, index: usize, now: Duration) {
        let request = &mut self.requests[index];
        request.wait_key = None;
        request.run_started = now;
        let has_call = request.parent.is_none() && self.plan.kinds[request.kind].call.is_some();
        let (at, step) = match has_call {
            true => (now + request.run / 2, Step::CallDue),
            false => (now + request.run, Step::RunEnd),
        };
        self.schedule(at, index, step);
    }

    /// The target makes the call of a run at its own host's daemon.
    fn call(&mut self, index: usize, now: Duration) {
        let request = &self.requests[index];
        let (kind, deadline) = (request.kind, request.deadline);
        let sender = request.target % self.plan.senders;
        self.add_request(kind, sender, now, deadline, Some(index));
    }

    fn run_ended(&mut self, index: usize, now: Duration) {
        let request = &self.requests[index];
        let (target, started) = (request.target, request.run_started);
        let route = self.route(index);
        self.owners[target].finish(&route, Some(now - started));
        self.decide_waiting(target, now);
        self.set_report(index, now);
        self.schedule(now + LATENCY, index, Step::Answered);
    }

    fn decide_waiting(&mut self, target: usize, now: Duration) {
        while let Some(decided) = self.owners[target].decide_next(now) {
            let index = self.waiting[target].remove(&decided.key).unwrap();
            match decided.decision {
                Ok(()) => self.start(index, now),
                Err(_) => {
                    self.requests[index].wait_key = None;
                    self.reply_refused(index, now);
                }
            }
        }
    }

    fn expire(&mut self, index: usize, now: Duration) {
        let Some(key) = self.requests[index].wait_key.take() else {
            return;
        };
        let target = self.requests[index].target;
        self.waiting[target].remove(&key);
        self.owners[target].remove_waiting(key);
        self.reply_refused(index, now);
    }

    fn finish_attempt(&mut self, index: usize, outcome: SendOutcome, now: Duration) {
        let request = &self.requests[index];
        let id = target_id(request.target);
        let distance = match request.target % DOMAINS == request.sender % DOMAINS {
            true => TargetDistance::SameDomain,
            false => TargetDistance::SameRegion,
        };
        let placer = &mut self.placers[request.sender];
        placer.report(&id, request.report, now);
        placer.finish(&id, distance, 0, outcome, now);
    }

    /// The owner of the run learns what its call met.
    fn record_call(&mut self, index: usize, now: Duration) {
        let Some(parent) = self.requests[index].parent else {
            return;
        };
        let priority = self.kind(index).urgency;
        let waiting = self.requests[index].report.waiting_priority;
        let queue = CalledQueue::of(waiting, priority);
        let route = self.route(parent);
        self.owners[self.requests[parent].target].record_call(&route, queue, now);
    }

    fn offer_refused(&mut self, index: usize, now: Duration) {
        // Before, a refusal had no effect but its report.
        let outcome = match self.rules.refusals {
            true => SendOutcome::Full,
            false => SendOutcome::Cancelled,
        };
        self.finish_attempt(index, outcome, now);
        self.record_call(index, now);
        if let Some(place) = self.requests[index].place {
            self.line_of(index).record_refused(place, now);
            return self.schedule_turn(index, now);
        }
        let request = &mut self.requests[index];
        request.refused_offers += 1;
        if request.refused_offers < MAX_OFFERS {
            self.place(index, now);
        } else {
            self.refuse(index, Duration::ZERO, now);
        }
    }

    fn answered(&mut self, index: usize, now: Duration) {
        let outcome = SendOutcome::Served {
            round_trip: 2 * LATENCY,
            answer_bytes: 0,
        };
        self.finish_attempt(index, outcome, now);
        self.record_call(index, now);
        self.record_share(index, true, now);
        self.count_answer(index, now);
        if let Some(parent) = self.requests[index].parent {
            let rest = self.requests[parent].run / 2;
            self.schedule(now + rest, parent, Step::RunEnd);
        }
    }

    fn record_share(&mut self, index: usize, served: bool, now: Duration) {
        let kind = self.kind(index);
        let service = self.service_name(index);
        self.shares[self.requests[index].sender].record(&service, &kind, served, now);
    }

    fn count_answer(&mut self, index: usize, now: Duration) {
        let request = &self.requests[index];
        if !self.is_counted(index) {
            return;
        }
        let took = now - request.first_sent;
        let is_in_time = took <= self.objective(index);
        let is_late = now <= request.deadline;
        let counts = &mut self.outcome.kinds[request.kind];
        if request.parent.is_some() {
            counts.calls_served += 1;
        } else if is_in_time {
            counts.in_time += 1;
        } else if is_late {
            counts.late += 1;
        } else {
            counts.failed += 1;
        }
    }

    fn line_of(&mut self, index: usize) -> &mut WaitingLine {
        let key = (self.requests[index].sender, self.service(index));
        self.lines.entry(key).or_default()
    }

    /// Lets a request wait at its daemon, and returns whether it does.
    fn join_line(&mut self, index: usize, now: Duration) -> bool {
        let request = &self.requests[index];
        if !self.rules.waiting || request.parent.is_some() || request.is_late {
            return false;
        }
        let candidates = self.candidates(index);
        let place_request = self.place_request(index, now);
        let sender = request.sender;
        let kind = &self.plan.kinds[request.kind];
        let line_request = LineRequest {
            urgency: kind.priority,
            objective: kind.objective,
            deadline: request.deadline,
            time_limit: request.deadline - request.arrived,
            run: self.placers[sender].expected_service_time(&candidates, &place_request, now),
        };
        let Ok(place) = self.line_of(index).join(&line_request, now) else {
            return false;
        };
        self.outcome.waited += 1;
        let service = self.service(index);
        self.in_line.insert((sender, service, place), index);
        let request = &mut self.requests[index];
        request.place = Some(place);
        request.is_late = true;
        self.schedule_turn(index, now);
        true
    }

    fn schedule_turn(&mut self, index: usize, now: Duration) {
        let Some(place) = self.requests[index].place else {
            return;
        };
        let at = match self.line_of(index).next_step(place, now) {
            LineStep::Wait(until) => until,
            LineStep::Try | LineStep::GiveUp => now,
        };
        self.requests[index].turn_at = at;
        self.schedule(at, index, Step::Turn);
    }

    fn take_turn(&mut self, index: usize, now: Duration) {
        let request = &mut self.requests[index];
        let Some(place) = request.place.filter(|_| request.turn_at == now) else {
            return;
        };
        match self.line_of(index).next_step(place, now) {
            LineStep::Wait(_) => self.schedule_turn(index, now),
            LineStep::GiveUp => {
                self.outcome.given_up += 1;
                self.leave_line(index, false, now);
                self.refuse(index, Duration::ZERO, now);
            }
            LineStep::Try => self.try_late(index, now),
        }
    }

    fn try_late(&mut self, index: usize, now: Duration) {
        self.requests[index].tried.clear();
        let candidates = self.candidates(index);
        let place_request = self.place_request(index, now);
        let sender = self.requests[index].sender;
        match self.placers[sender].place_late(&candidates, &place_request, now) {
            Some(id) => {
                // No further turn until the owner has replied.
                self.requests[index].turn_at = Duration::MAX;
                self.send(index, target_index(&id), now);
            }
            None => {
                self.line_of(index).record_none_free(now);
                self.schedule_turn(index, now);
            }
        }
    }

    fn leave_line(&mut self, index: usize, is_served: bool, now: Duration) {
        let Some(place) = self.requests[index].place.take() else {
            return;
        };
        let line = self.line_of(index);
        match is_served {
            true => line.record_served(place, now),
            false => line.leave(place),
        }
        let next = line.first();
        let (sender, service) = (self.requests[index].sender, self.service(index));
        self.in_line.remove(&(sender, service, place));
        if let Some(next) = next.and_then(|next| self.in_line.get(&(sender, service, next))) {
            self.schedule_turn(*next, now);
        }
    }

    fn refuse(&mut self, index: usize, hint: Duration, now: Duration) {
        if self.join_line(index, now) {
            return;
        }
        self.record_share(index, false, now);
        let request = &self.requests[index];
        let waited = now - request.arrived;
        if request.parent.is_none() {
            self.outcome.longest_refusal = self.outcome.longest_refusal.max(waited);
        }
        if let Some(parent) = request.parent {
            return self.fail_run(parent, now);
        }
        let retry_after = self.retry_after(index, hint, now);
        let request = &mut self.requests[index];
        let left = request.deadline.saturating_sub(now);
        let wait = retry_after.min(left / 3);
        if self.plan.callers_return && request.returns < MAX_RETURNS && !left.is_zero() {
            request.returns += 1;
            self.schedule(now + wait, index, Step::Send);
        } else if self.is_counted(index) {
            let kind = self.requests[index].kind;
            self.outcome.kinds[kind].refused += 1;
        }
    }

    fn retry_after(&mut self, index: usize, hint: Duration, now: Duration) -> Duration {
        let draw = self.random.random_range(0.0..1.0);
        let hint = match hint.is_zero() {
            true => Duration::from_millis(400),
            false => hint,
        };
        if !self.rules.return_order {
            let hint = hint.max(Duration::from_millis(50));
            return hint.mul_f64(1.0 + 0.5 * draw);
        }
        let key = (self.requests[index].sender, self.service(index));
        let request = RefusedRequest {
            hint,
            time_left: self.requests[index].deadline.saturating_sub(now),
        };
        let line = self.lines.entry(key).or_default();
        let order = self.return_orders.entry(key).or_default();
        order.assign(&request, line.forecast(), line.len(), draw, now)
    }

    /// A run whose call was refused fails at once.
    fn fail_run(&mut self, index: usize, now: Duration) {
        let target = self.requests[index].target;
        let route = self.route(index);
        self.owners[target].finish(&route, None);
        self.decide_waiting(target, now);
        self.set_report(index, now);
        self.finish_attempt(index, SendOutcome::Failed, now);
        self.record_share(index, true, now);
        if self.is_counted(index) {
            let kind = self.requests[index].kind;
            self.outcome.kinds[kind].failed += 1;
        }
    }
}

fn target_id(target: usize) -> SmolStr {
    SmolStr::from(format!("t{target}"))
}

fn target_index(id: &SmolStr) -> usize {
    id[1..].parse().unwrap()
}
