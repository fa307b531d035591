//! Simulates a service with many senders and several targets, each with its owner,
//! and counts what the callers get.
//!
//! Senders and targets are in failure domains, and the first half of these is in
//! the first region. All messages share the links of their hosts and those between
//! the regions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use radishgauge_mesh::AdmissionDecision;
use radishgauge_mesh::AdmissionRequest;
use radishgauge_mesh::AnswerLease;
use radishgauge_mesh::AnswerLengths;
use radishgauge_mesh::AnswerLink;
use radishgauge_mesh::LinkLoad;
use radishgauge_mesh::LocalAdmission;
use radishgauge_mesh::PlaceRequest;
use radishgauge_mesh::RouteKey;
use radishgauge_mesh::TargetPlacer;
use radishgauge_mesh::admission::WaitKey;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::SendOutcome;
use radishgauge_mesh::placement::TargetDistance;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use smol_str::SmolStr;

pub const TIME_LIMIT: Duration = Duration::from_secs(3);

const DOMAIN_LATENCY: Duration = Duration::from_micros(500);
const REGION_LATENCY: Duration = Duration::from_millis(12);

/// The greatest number of targets that a sender tries.
const MAX_OFFERS: usize = 4;

/// The length of a slow period, and the mean time between two of them: 15 in 100 of
/// the time are slow.
const SLOW_PERIOD: f64 = 0.6;
const SLOW_PERIOD_GAP: f64 = 3.4;
const SLOW_PERIOD_FACTOR: f64 = 2.5;

/// The head of a message, and a refusal, in bytes.
const HEAD_BYTES: u64 = 700;

/// One target of the service.
#[derive(Debug, Clone, Copy)]
pub struct TargetPlan {
    pub domain: usize,
    pub speed: f64,
    pub slots: u32,
    /// The number of concurrent runs above which each further one makes runs
    /// longer, and by which fraction.
    pub knee: Option<(u32, f64)>,
}

/// One route of the service.
#[derive(Debug, Clone, Copy)]
pub struct RoutePlan {
    pub name: &'static str,
    /// The fraction of the requests.
    pub share: f64,
    pub service_time: Duration,
    pub answer_bytes: u64,
}

/// A service and the load on it.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub domains: usize,
    pub senders: usize,
    pub targets: Vec<TargetPlan>,
    pub routes: Vec<RoutePlan>,
    pub objective: Duration,
    /// The offered load as a fraction of the capacity.
    pub load: f64,
    pub with_slow_periods: bool,
    /// What a host's link carries in each direction, in bytes a second.
    pub link_rate: f64,
    /// What the link between the regions carries in each direction.
    pub region_link_rate: f64,
    pub length: Duration,
    pub warm_up: Duration,
}

/// What the owners report to the senders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reporting {
    /// As owners of earlier versions do, which gives the placement of today.
    LoadOnly,
    Full,
}

#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// The sum of the times until the answers of served requests.
    pub total_time: Duration,
    /// The number of runs at each target.
    pub runs: Vec<u32>,
    /// The bytes that were sent to other domains and regions, answers included.
    pub domain_bytes: u64,
    pub region_bytes: u64,
}

impl Outcome {
    /// Adds the outcome of another simulation with the same plan.
    pub fn add(&mut self, other: &Outcome) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.total_time += other.total_time;
        self.runs.resize(other.runs.len(), 0);
        for (total, runs) in self.runs.iter_mut().zip(&other.runs) {
            *total += runs;
        }
        self.domain_bytes += other.domain_bytes;
        self.region_bytes += other.region_bytes;
    }

    pub fn mean_time(&self) -> Duration {
        self.total_time / (self.in_time + self.late).max(1)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    AtOwner,
    Refused,
    RunEnd,
    Answer,
}

#[derive(Debug, Clone, Default)]
struct RequestState {
    sender: usize,
    route: usize,
    arrived: Duration,
    target: usize,
    tried: Vec<usize>,
    sent_at: Duration,
    at_owner: Duration,
    lease: Option<Rc<AnswerLease>>,
    run_start: Duration,
    run_end: Duration,
}

pub struct Simulation {
    plan: FleetPlan,
    reporting: Reporting,
    random: Pcg32,
    /// The times until which the links are in use for sending and receiving, of
    /// the senders, then of the targets.
    sending: Vec<Duration>,
    receiving: Vec<Duration>,
    /// The time until which the link from each region to the other is in use.
    region_links: [Duration; 2],
    placers: Vec<TargetPlacer>,
    owners: Vec<LocalAdmission>,
    waiting: Vec<HashMap<WaitKey, usize>>,
    loads: Vec<LinkLoad>,
    /// The long answers of each target's host.
    answer_links: Vec<AnswerLink>,
    owner_lengths: Vec<AnswerLengths>,
    slow_periods: Vec<Vec<f64>>,
    requests: Vec<RequestState>,
    events: BinaryHeap<Reverse<(Duration, usize, Step)>>,
    outcome: Outcome,
}

fn target_id(target: usize) -> SmolStr {
    smol_str::format_smolstr!("t{target}")
}

fn draw_gap(random: &mut Pcg32, mean: f64) -> f64 {
    -random.random_range(0.0_f64..1.0).max(1e-9).ln() * mean
}

impl Simulation {
    pub fn new(plan: &FleetPlan, reporting: Reporting, seed: u64) -> Simulation {
        let targets = plan.targets.len();
        let mut random = Pcg32::seed_from_u64(seed);
        let slow_periods = (0..targets)
            .map(|_| draw_slow_periods(plan, &mut random))
            .collect();
        let mut simulation = Simulation {
            plan: plan.clone(),
            reporting,
            random,
            sending: vec![Duration::ZERO; plan.senders + targets],
            receiving: vec![Duration::ZERO; plan.senders + targets],
            region_links: [Duration::ZERO; 2],
            placers: (0..plan.senders)
                .map(|sender| TargetPlacer::new(seed * 1000 + sender as u64))
                .collect(),
            owners: plan
                .targets
                .iter()
                .map(|target| LocalAdmission::new(target.slots))
                .collect(),
            waiting: vec![HashMap::new(); targets],
            loads: vec![LinkLoad::new(plan.link_rate); plan.senders],
            answer_links: vec![AnswerLink::new(plan.link_rate); targets],
            owner_lengths: vec![AnswerLengths::default(); targets],
            slow_periods,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            outcome: Outcome {
                runs: vec![0; targets],
                ..Outcome::default()
            },
        };
        simulation.draw_arrivals();
        simulation
    }

    /// Returns the number of runs a second of which the targets are capable.
    fn capacity(&self) -> f64 {
        let mean: f64 = self
            .plan
            .routes
            .iter()
            .map(|route| route.share * route.service_time.as_secs_f64())
            .sum();
        let slots: f64 = self
            .plan
            .targets
            .iter()
            .map(|target| {
                let limit = target.knee.map_or(target.slots, |(knee, _)| knee);
                target.speed * f64::from(limit)
            })
            .sum();
        let usual = if self.plan.with_slow_periods {
            let slow = SLOW_PERIOD / (SLOW_PERIOD + SLOW_PERIOD_GAP);
            1.0 - slow + slow / SLOW_PERIOD_FACTOR
        } else {
            1.0
        };
        slots * usual / mean
    }

    fn draw_arrivals(&mut self) {
        let rate = self.capacity() * self.plan.load;
        let mut now = 0.0;
        while now < self.plan.length.as_secs_f64() {
            now += draw_gap(&mut self.random, 1.0 / rate);
            let arrived = Duration::from_secs_f64(now);
            let sender = self.random.random_range(0..self.plan.senders);
            let route = self.draw_route();
            self.events
                .push(Reverse((arrived, self.requests.len(), Step::Arrive)));
            self.requests.push(RequestState {
                sender,
                route,
                arrived,
                ..RequestState::default()
            });
        }
    }

    fn draw_route(&mut self) -> usize {
        let mut left = self.random.random_range(0.0..1.0);
        for (index, route) in self.plan.routes.iter().enumerate() {
            left -= route.share;
            if left < 0.0 {
                return index;
            }
        }
        0
    }

    fn sender_domain(&self, sender: usize) -> usize {
        sender % self.plan.domains
    }

    fn region(&self, domain: usize) -> usize {
        domain * 2 / self.plan.domains.max(2)
    }

    fn distance(&self, sender: usize, target: usize) -> TargetDistance {
        let from = self.sender_domain(sender);
        let to = self.plan.targets[target].domain;
        if from == to {
            TargetDistance::SameDomain
        } else if self.region(from) == self.region(to) {
            TargetDistance::SameRegion
        } else {
            TargetDistance::OtherRegion
        }
    }

    fn host(&self, target: usize) -> usize {
        self.plan.senders + target
    }

    /// Schedules the arrival of a message, after those before it on both links.
    fn send(&mut self, from: usize, to: usize, bytes: u64, now: Duration, event: (usize, Step)) {
        let took = Duration::from_secs_f64(bytes as f64 / self.plan.link_rate);
        let sent = self.sending[from].max(now) + took;
        self.sending[from] = sent;
        let (sender, target) = (from.min(to), from.max(to) - self.plan.senders);
        let mut arrives = sent + DOMAIN_LATENCY;
        match self.distance(sender, target) {
            TargetDistance::OtherRegion => {
                self.outcome.region_bytes += bytes;
                let from_region = match from == sender {
                    true => self.region(self.sender_domain(sender)),
                    false => self.region(self.plan.targets[target].domain),
                };
                let link = &mut self.region_links[from_region];
                let took = Duration::from_secs_f64(bytes as f64 / self.plan.region_link_rate);
                *link = (*link).max(sent) + took;
                arrives = *link + REGION_LATENCY;
            }
            TargetDistance::SameRegion => self.outcome.domain_bytes += bytes,
            TargetDistance::SameDomain | TargetDistance::SameHost => {}
        }
        let received = self.receiving[to].max(arrives - took) + took;
        self.receiving[to] = received;
        self.events.push(Reverse((received, event.0, event.1)));
    }

    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((now, index, step))) = self.events.pop() {
            if now > self.plan.length + TIME_LIMIT {
                break;
            }
            match step {
                Step::Arrive => self.place(index, now),
                Step::AtOwner => self.decide(index, now),
                Step::Refused => self.refused(index, now),
                Step::RunEnd => self.run_ended(index, now),
                Step::Answer => self.answered(index, now),
            }
        }
        self.outcome
    }

    fn counts(&self, index: usize) -> bool {
        (self.plan.warm_up..self.plan.length).contains(&self.requests[index].arrived)
    }

    fn objective_left(&self, index: usize, now: Duration) -> Duration {
        self.plan
            .objective
            .saturating_sub(now - self.requests[index].arrived)
    }

    fn route(&self, index: usize) -> RoutePlan {
        self.plan.routes[self.requests[index].route]
    }

    fn place(&mut self, index: usize, now: Duration) {
        let state = self.requests[index].clone();
        if state.tried.is_empty() && self.counts(index) {
            self.outcome.offered += 1;
        }
        let candidates: Vec<PlaceCandidate> = (0..self.plan.targets.len())
            .filter(|target| !state.tried.contains(target))
            .map(|target| PlaceCandidate {
                id: target_id(target),
                distance: self.distance(state.sender, target),
                capacity: self.plan.targets[target].slots,
                is_scarce: false,
            })
            .collect();
        let objective = self.objective_left(index, now);
        let request = PlaceRequest {
            objective,
            patience: objective,
            priority: 1,
            body_bytes: 0,
            route: RouteKey::new("shop", self.route(index).name),
            receive_rate: self.receive_rate(state.sender, now),
        };
        let placer = &mut self.placers[state.sender];
        let chosen = match placer.place(&candidates, &request, now) {
            Ok(chosen) if state.tried.len() < MAX_OFFERS => chosen,
            _ => return self.refuse(index),
        };
        let target: usize = chosen[1..].parse().unwrap();
        let state = &mut self.requests[index];
        state.target = target;
        state.tried.push(target);
        state.sent_at = now;
        let (from, to) = (state.sender, self.host(target));
        self.send(from, to, HEAD_BYTES, now, (index, Step::AtOwner));
    }

    fn decide(&mut self, index: usize, now: Duration) {
        let request = AdmissionRequest {
            route: SmolStr::new_static(self.route(index).name),
            objective: self.objective_left(index, now),
            time_left: TIME_LIMIT.saturating_sub(now - self.requests[index].arrived),
            priority: 1,
            urgency: 1,
            is_call: false,
            is_late: false,
        };
        self.requests[index].at_owner = now;
        let target = self.requests[index].target;
        if !self.may_send_answer(index, now) {
            let (host, sender) = (self.host(target), self.requests[index].sender);
            self.send(host, sender, HEAD_BYTES, now, (index, Step::Refused));
            return;
        }
        match self.owners[target].decide(&request, now) {
            AdmissionDecision::Run => self.start(index, now),
            AdmissionDecision::Wait(key) => {
                self.waiting[target].insert(key, index);
            }
            AdmissionDecision::Refuse(_) => {
                self.end_lease(index);
                let (host, sender) = (self.host(target), self.requests[index].sender);
                self.send(host, sender, HEAD_BYTES, now, (index, Step::Refused));
            }
        }
    }

    fn start(&mut self, index: usize, now: Duration) {
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12)
            .map(|_| self.random.random_range(0.0..1.0))
            .sum::<f64>()
            - 6.0;
        let target = self.requests[index].target;
        let plan = self.plan.targets[target];
        let mut factor = (normal * 0.3 - 0.045).exp() / plan.speed;
        if let Some((knee, slope)) = plan.knee {
            let excess = self.owners[target].running().saturating_sub(knee);
            factor *= 1.0 + slope * f64::from(excess);
        }
        let seconds = now.as_secs_f64();
        let is_slow = |start: &f64| (*start..*start + SLOW_PERIOD).contains(&seconds);
        if self.slow_periods[target].iter().any(is_slow) {
            factor *= SLOW_PERIOD_FACTOR;
        }
        let run = self.route(index).service_time.mul_f64(factor);
        self.requests[index].run_start = now;
        self.outcome.runs[target] += 1;
        self.events.push(Reverse((now + run, index, Step::RunEnd)));
    }

    fn run_ended(&mut self, index: usize, now: Duration) {
        let route = self.route(index);
        let state = &mut self.requests[index];
        state.run_end = now;
        let (target, sender) = (state.target, state.sender);
        let took = now - state.run_start;
        self.owners[target].finish(&SmolStr::new_static(route.name), Some(took));
        let host = self.host(target);
        let bytes = HEAD_BYTES + route.answer_bytes;
        self.end_lease(index);
        self.answer_links[target].record_sent(bytes, now);
        let key = self.route_key(index);
        self.owner_lengths[target].record(key, route.answer_bytes);
        self.send(host, sender, bytes, now, (index, Step::Answer));
        while let Some(decided) = self.owners[target].decide_next(now) {
            let next = self.waiting[target].remove(&decided.key).unwrap();
            match decided.decision {
                Ok(()) => self.start(next, now),
                Err(_) => {
                    self.end_lease(next);
                    self.refuse(next);
                }
            }
        }
    }

    fn route_key(&self, index: usize) -> RouteKey {
        RouteKey::new("shop", self.route(index).name)
    }

    fn receive_rate(&self, sender: usize, now: Duration) -> u64 {
        match self.reporting {
            Reporting::LoadOnly => u64::MAX,
            Reporting::Full => self.loads[sender].free_receive_rate(now) as u64,
        }
    }

    /// Returns whether the link of the target's host can send the answer in time.
    fn may_send_answer(&mut self, index: usize, now: Duration) -> bool {
        let target = self.requests[index].target;
        let bytes = self.owner_lengths[target].long(self.route_key(index));
        if self.reporting == Reporting::LoadOnly || bytes == 0 {
            return true;
        }
        let left = self.objective_left(index, now);
        let run = self.owners[target]
            .route_service_time(self.route(index).name)
            .unwrap_or_default();
        let link = &mut self.answer_links[target];
        if link.check(bytes, run, left, now).is_err() {
            return false;
        }
        self.requests[index].lease = Some(Rc::new(link.begin(bytes)));
        true
    }

    fn end_lease(&mut self, index: usize) {
        let target = self.requests[index].target;
        if let Some(lease) = self.requests[index].lease.take().and_then(Rc::into_inner) {
            self.answer_links[target].end(lease);
        }
    }

    fn report(&mut self, index: usize, now: Duration) {
        let name = self.route(index).name;
        let state = &self.requests[index];
        let id = target_id(state.target);
        let owner = &self.owners[state.target];
        let mut load = owner.report(now);
        let route_time = owner.route_service_time(name);
        let placer = &mut self.placers[state.sender];
        if self.reporting == Reporting::LoadOnly {
            load.efficient_limit = None;
        } else if let Some(time) = route_time {
            placer.record_route_time(&id, RouteKey::new("shop", name), time, now);
        }
        placer.report(&id, load, now);
        let bytes = self.owner_lengths[state.target].long(RouteKey::new("shop", name));
        if self.reporting == Reporting::Full && bytes > 0 {
            let rate = self.answer_links[state.target].rate(bytes, now);
            self.placers[state.sender].record_send_rate(&id, rate, now);
        }
    }

    fn finish(&mut self, index: usize, outcome: SendOutcome, now: Duration) {
        let state = &self.requests[index];
        let id = target_id(state.target);
        let distance = self.distance(state.sender, state.target);
        self.placers[state.sender].finish(&id, distance, 0, outcome, now);
    }

    fn refused(&mut self, index: usize, now: Duration) {
        self.report(index, now);
        self.finish(index, SendOutcome::Full, now);
        self.place(index, now);
    }

    fn answered(&mut self, index: usize, now: Duration) {
        self.report(index, now);
        let state = &self.requests[index];
        let at_owner = state.run_end - state.at_owner;
        let round_trip = (now - state.sent_at).saturating_sub(at_owner);
        let total = now - state.arrived;
        let sender = state.sender;
        let bytes = self.route(index).answer_bytes;
        let answer_bytes = match self.reporting {
            Reporting::LoadOnly => 0,
            Reporting::Full => bytes,
        };
        self.loads[sender].record_received(bytes, now);
        let key = self.route_key(index);
        self.placers[sender].record_answer_length(key, answer_bytes);
        let outcome = SendOutcome::Served {
            round_trip,
            answer_bytes,
        };
        self.finish(index, outcome, now);
        if !self.counts(index) {
            return;
        }
        self.outcome.total_time += total;
        if total <= self.plan.objective {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
    }

    fn refuse(&mut self, index: usize) {
        if self.counts(index) {
            self.outcome.refused += 1;
        }
    }
}

/// Returns the starts of the slow periods of one target, in seconds.
fn draw_slow_periods(plan: &FleetPlan, random: &mut Pcg32) -> Vec<f64> {
    let mut starts = Vec::new();
    if !plan.with_slow_periods {
        return starts;
    }
    let mut now = draw_gap(random, SLOW_PERIOD_GAP);
    while now < (plan.length + TIME_LIMIT).as_secs_f64() {
        starts.push(now);
        now += SLOW_PERIOD + draw_gap(random, SLOW_PERIOD_GAP);
    }
    starts
}
