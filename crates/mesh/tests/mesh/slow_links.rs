//! Simulates an overloaded service whose hosts have slow links, and checks what
//! its callers get.
//!
//! Requests with bodies of some kilobytes arrive at many hosts and go to a few
//! targets. All messages share the hosts' links, so bodies of refused requests
//! delay the answers. The baseline sends each body without an offer.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use radishgauge_mesh::AdmissionDecision;
use radishgauge_mesh::AdmissionRequest;
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

const SENDERS: usize = 42;
const TARGETS: usize = 11;
const SLOTS: u32 = 9;
const SERVICE_TIME: Duration = Duration::from_millis(190);
const OBJECTIVE: Duration = Duration::from_millis(600);
const TIME_LIMIT: Duration = Duration::from_secs(3);
const LATENCY: Duration = Duration::from_micros(900);
const REGION_LATENCY: Duration = Duration::from_millis(12);

/// What a host's link carries in each direction, in bytes a second.
const LINK_RATE: f64 = 1_250_000.0;

/// The head of a message, in bytes.
const HEAD_BYTES: u64 = 700;
/// An offer or a reply to one, in bytes.
const OFFER_BYTES: u64 = 350;
const BODY_BYTES: u64 = 6_000;
const ANSWER_BYTES: u64 = 5_000;

/// The greatest number of targets that a sender tries.
const MAX_OFFERS: usize = 4;

/// The time that is simulated, and the time before the outcomes count.
const LENGTH: Duration = Duration::from_secs(8);
const WARM_UP: Duration = Duration::from_secs(2);

/// The time for which the link of a host is in use, in each direction.
#[derive(Debug, Clone, Copy, Default)]
struct LinkQueue {
    sending_until: Duration,
    receiving_until: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    /// An offer arrives at the owner.
    Offer,
    /// The owner's agreement arrives at the sender.
    Agreed,
    /// The request with its body arrives at the owner.
    Body,
    /// The owner's refusal arrives at the sender.
    Refused,
    RunEnd,
    Answer,
}

#[derive(Debug, Clone, Default)]
struct RequestState {
    sender: usize,
    arrived: Duration,
    target: usize,
    tried: Vec<usize>,
    sent_at: Duration,
    run_start: Duration,
    reserved: bool,
    body_at_owner: bool,
    may_run: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    offered: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    refused_body_bytes: u64,
}

/// Where the hosts are, and where requests arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Layout {
    /// All hosts are in one region.
    OneRegion,
    /// Half of the senders and 6 of the targets are in the first region, at which
    /// this fraction of the requests arrives.
    TwoRegions(f64),
}

impl Layout {
    fn sender_region(self, sender: usize) -> usize {
        usize::from(self != Layout::OneRegion && sender >= SENDERS / 2)
    }

    fn target_region(self, target: usize) -> usize {
        usize::from(self != Layout::OneRegion && target >= 6)
    }

    fn distance(self, sender: usize, target: usize) -> TargetDistance {
        if self.sender_region(sender) == self.target_region(target) {
            TargetDistance::SameRegion
        } else {
            TargetDistance::OtherRegion
        }
    }

    fn draw_sender(self, random: &mut Pcg32) -> usize {
        match self {
            Layout::OneRegion => random.random_range(0..SENDERS),
            Layout::TwoRegions(first) if random.random_range(0.0..1.0) < first => {
                random.random_range(0..SENDERS / 2)
            }
            Layout::TwoRegions(_) => random.random_range(SENDERS / 2..SENDERS),
        }
    }
}

struct Simulation {
    layout: Layout,
    with_offers: bool,
    random: Pcg32,
    /// The links of the senders, then those of the targets.
    links: Vec<LinkQueue>,
    loads: Vec<LinkLoad>,
    placers: Vec<TargetPlacer>,
    owners: Vec<LocalAdmission>,
    waiting: Vec<HashMap<WaitKey, usize>>,
    requests: Vec<RequestState>,
    events: BinaryHeap<Reverse<(Duration, usize, Step)>>,
    outcome: Outcome,
}

fn target_id(target: usize) -> SmolStr {
    smol_str::format_smolstr!("t{target}")
}

fn route() -> SmolStr {
    SmolStr::new_static("sale")
}

impl Simulation {
    fn new(load: f64, seed: u64, with_offers: bool) -> Simulation {
        Simulation::with_layout(Layout::OneRegion, load, seed, with_offers)
    }

    fn with_layout(layout: Layout, load: f64, seed: u64, with_offers: bool) -> Simulation {
        let mut simulation = Simulation {
            layout,
            with_offers,
            random: Pcg32::seed_from_u64(seed),
            links: vec![LinkQueue::default(); SENDERS + TARGETS],
            loads: vec![LinkLoad::new(LINK_RATE); SENDERS + TARGETS],
            placers: (0..SENDERS)
                .map(|s| TargetPlacer::new(seed * 1000 + s as u64))
                .collect(),
            owners: (0..TARGETS).map(|_| LocalAdmission::new(SLOTS)).collect(),
            waiting: vec![HashMap::new(); TARGETS],
            requests: Vec::new(),
            events: BinaryHeap::new(),
            outcome: Outcome::default(),
        };
        simulation.draw_arrivals(load);
        simulation
    }

    fn capacity() -> f64 {
        f64::from(SLOTS) * TARGETS as f64 / SERVICE_TIME.as_secs_f64()
    }

    fn draw_arrivals(&mut self, load: f64) {
        let rate = Simulation::capacity() * load;
        let mut now = 0.0;
        while now < LENGTH.as_secs_f64() {
            now += -self.random.random_range(0.0_f64..1.0).max(1e-9).ln() / rate;
            let arrived = Duration::from_secs_f64(now);
            let sender = self.layout.draw_sender(&mut self.random);
            self.events
                .push(Reverse((arrived, self.requests.len(), Step::Arrive)));
            self.requests.push(RequestState {
                sender,
                arrived,
                ..RequestState::default()
            });
        }
    }

    /// Schedules the arrival of a message, after those before it on both links.
    fn send(&mut self, from: usize, to: usize, bytes: u64, now: Duration, event: (usize, Step)) {
        let took = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        let sent = self.links[from].sending_until.max(now) + took;
        self.links[from].sending_until = sent;
        let latency = self.latency(from, to);
        let received = self.links[to].receiving_until.max(sent + latency - took) + took;
        self.links[to].receiving_until = received;
        self.events.push(Reverse((received, event.0, event.1)));
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        // One of the hosts is a sender, and the other one is a target's.
        let (sender, target) = (from.min(to), from.max(to) - SENDERS);
        match self.layout.distance(sender, target) {
            TargetDistance::OtherRegion => REGION_LATENCY,
            _ => LATENCY,
        }
    }

    fn host(target: usize) -> usize {
        SENDERS + target
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((now, index, step))) = self.events.pop() {
            if now > LENGTH + TIME_LIMIT {
                break;
            }
            match step {
                Step::Arrive => self.place(index, now),
                Step::Offer => self.decide(index, now),
                Step::Agreed => self.send_body(index, now),
                Step::Body => self.body_arrived(index, now),
                Step::Refused => self.refused(index, now),
                Step::RunEnd => self.run_ended(index, now),
                Step::Answer => self.answered(index, now),
            }
        }
        self.outcome
    }

    fn counts(&self, index: usize) -> bool {
        (WARM_UP..LENGTH).contains(&self.requests[index].arrived)
    }

    fn objective_left(&self, index: usize, now: Duration) -> Duration {
        OBJECTIVE.saturating_sub(now - self.requests[index].arrived)
    }

    fn place(&mut self, index: usize, now: Duration) {
        let state = self.requests[index].clone();
        if state.tried.is_empty() && self.counts(index) {
            self.outcome.offered += 1;
        }
        let candidates: Vec<PlaceCandidate> = (0..TARGETS)
            .filter(|target| !state.tried.contains(target))
            .map(|target| PlaceCandidate {
                id: target_id(target),
                distance: self.layout.distance(state.sender, target),
                capacity: SLOTS,
                is_scarce: false,
            })
            .collect();
        let objective = self.objective_left(index, now);
        let request = PlaceRequest {
            objective,
            patience: objective,
            priority: 1,
            body_bytes: BODY_BYTES,
            route: RouteKey::UNKNOWN,
            receive_rate: u64::MAX,
        };
        let placer = &mut self.placers[state.sender];
        let chosen = match placer.place(&candidates, &request, now) {
            Ok(chosen) if state.tried.len() < MAX_OFFERS => chosen,
            _ => return self.refuse(index),
        };
        let target: usize = chosen[1..].parse().unwrap();
        let send_rate = self.loads[state.sender].free_send_rate(now);
        let needs_offer = self.with_offers
            && self.placers[state.sender].needs_offer(
                &chosen,
                self.layout.distance(state.sender, target),
                BODY_BYTES,
                send_rate,
                now,
            );
        let state = &mut self.requests[index];
        state.target = target;
        state.tried.push(target);
        state.sent_at = now;
        state.reserved = false;
        state.may_run = false;
        state.body_at_owner = false;
        if needs_offer {
            let (from, to) = (state.sender, Simulation::host(target));
            self.send(from, to, OFFER_BYTES, now, (index, Step::Offer));
        } else {
            self.send_body(index, now);
        }
    }

    fn send_body(&mut self, index: usize, now: Duration) {
        let state = &self.requests[index];
        let (from, to) = (state.sender, Simulation::host(state.target));
        self.loads[from].record_sent(BODY_BYTES, now);
        self.send(from, to, HEAD_BYTES + BODY_BYTES, now, (index, Step::Body));
    }

    /// The owner decides on an offer, or on a request that was not offered.
    fn decide(&mut self, index: usize, now: Duration) {
        let time_left = TIME_LIMIT.saturating_sub(now - self.requests[index].arrived);
        let request = AdmissionRequest {
            route: route(),
            objective: self.objective_left(index, now),
            time_left,
            priority: 1,
            urgency: 1,
            is_call: false,
            is_late: false,
        };
        let state = &mut self.requests[index];
        let target = state.target;
        let reply = match self.owners[target].decide(&request, now) {
            AdmissionDecision::Run => {
                state.may_run = true;
                Step::Agreed
            }
            AdmissionDecision::Wait(key) => {
                self.waiting[target].insert(key, index);
                Step::Agreed
            }
            AdmissionDecision::Refuse(_) => Step::Refused,
        };
        state.reserved = reply == Step::Agreed;
        let (sender, had_body) = (state.sender, state.body_at_owner);
        let host = Simulation::host(target);
        if reply == Step::Refused && had_body {
            self.loads[host].record_refused(BODY_BYTES, now);
            self.outcome.refused_body_bytes += BODY_BYTES;
        }
        if reply == Step::Refused || !had_body {
            self.send(host, sender, OFFER_BYTES, now, (index, reply));
        }
        self.start_if_possible(index, now);
    }

    fn body_arrived(&mut self, index: usize, now: Duration) {
        let state = &mut self.requests[index];
        state.body_at_owner = true;
        let host = Simulation::host(state.target);
        let reserved = state.reserved;
        self.loads[host].record_received(BODY_BYTES, now);
        if reserved {
            self.start_if_possible(index, now);
        } else {
            self.decide(index, now);
        }
    }

    fn start_if_possible(&mut self, index: usize, now: Duration) {
        let state = &mut self.requests[index];
        if !(state.may_run && state.body_at_owner) {
            return;
        }
        state.may_run = false;
        state.run_start = now;
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12)
            .map(|_| self.random.random_range(0.0..1.0))
            .sum::<f64>()
            - 6.0;
        let run = SERVICE_TIME.mul_f64((normal * 0.3 - 0.045).exp());
        self.events.push(Reverse((now + run, index, Step::RunEnd)));
    }

    fn run_ended(&mut self, index: usize, now: Duration) {
        let state = &self.requests[index];
        let (target, sender) = (state.target, state.sender);
        let took = now - state.run_start;
        self.owners[target].finish(&route(), Some(took));
        let host = Simulation::host(target);
        self.loads[host].record_sent(ANSWER_BYTES, now);
        self.send(
            host,
            sender,
            HEAD_BYTES + ANSWER_BYTES,
            now,
            (index, Step::Answer),
        );
        self.decide_waiting(target, now);
    }

    fn decide_waiting(&mut self, target: usize, now: Duration) {
        while let Some(decided) = self.owners[target].decide_next(now) {
            let index = self.waiting[target].remove(&decided.key).unwrap();
            match decided.decision {
                Ok(()) => {
                    self.requests[index].may_run = true;
                    self.start_if_possible(index, now);
                }
                Err(_) => self.refuse(index),
            }
        }
    }

    fn report(&mut self, index: usize, now: Duration) {
        let state = &self.requests[index];
        let id = target_id(state.target);
        let load = self.owners[state.target].report(now);
        let rate = self.loads[Simulation::host(state.target)].unoffered_rate(now);
        let placer = &mut self.placers[state.sender];
        placer.report(&id, load, now);
        placer.record_unoffered_rate(&id, rate, now);
    }

    fn finish(&mut self, index: usize, outcome: SendOutcome, now: Duration) {
        let state = &self.requests[index];
        let id = target_id(state.target);
        let distance = self.layout.distance(state.sender, state.target);
        self.placers[state.sender].finish(&id, distance, BODY_BYTES, outcome, now);
    }

    fn refused(&mut self, index: usize, now: Duration) {
        self.report(index, now);
        self.finish(index, SendOutcome::Full, now);
        self.place(index, now);
    }

    fn answered(&mut self, index: usize, now: Duration) {
        self.report(index, now);
        let state = &self.requests[index];
        let took = now - state.sent_at;
        let round_trip = took.saturating_sub(SERVICE_TIME);
        let total = now - state.arrived;
        self.finish(
            index,
            SendOutcome::Served {
                round_trip,
                answer_bytes: 0,
            },
            now,
        );
        if !self.counts(index) {
            return;
        }
        if total <= OBJECTIVE {
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

fn goodput(outcome: &Outcome) -> f64 {
    f64::from(outcome.in_time) / (LENGTH - WARM_UP).as_secs_f64()
}

/// Guards against refused bodies that fill the links of an overloaded service's
/// hosts: at up to twice the capacity, as many requests as the targets can run
/// are answered in time.
#[test]
fn overloaded_service_on_slow_links_serves_its_capacity() {
    for load in [1.0, 1.2, 1.5, 2.0] {
        for seed in 1..=2 {
            let ours = Simulation::new(load, seed, true).run();
            let offered = f64::from(ours.offered) / (LENGTH - WARM_UP).as_secs_f64();
            let capacity = Simulation::capacity().min(offered);
            assert!(
                goodput(&ours) >= 0.9 * capacity,
                "load {load}, seed {seed}: {ours:?} of {capacity} a second"
            );
        }
    }
}

/// Guards against an offer that costs more than it gains: at twice the capacity,
/// many more requests are answered in time than without offers.
#[test]
fn offers_serve_more_than_bodies_without_them() {
    let ours = Simulation::new(2.0, 1, true).run();
    let baseline = Simulation::new(2.0, 1, false).run();
    assert!(
        ours.in_time * 10 >= baseline.in_time * 13,
        "{ours:?}, baseline {baseline:?}"
    );
}

/// Guards against links that carry mostly bodies of refused requests: these may
/// use a tenth of the links.
#[test]
fn refused_bodies_use_a_tenth_of_the_links() {
    for seed in 1..=2 {
        let ours = Simulation::new(2.0, seed, true).run();
        let baseline = Simulation::new(2.0, seed, false).run();
        let bound = 0.1 * LINK_RATE * TARGETS as f64 * LENGTH.as_secs_f64();
        assert!((ours.refused_body_bytes as f64) < bound, "{ours:?}");
        assert!(
            baseline.refused_body_bytes as f64 > bound,
            "{baseline:?} of {bound}"
        );
    }
}

/// Guards against an extra round trip where nothing is gained: an idle link takes
/// a short body without an offer, and a body that would fill it only with one.
#[test]
fn idle_link_takes_short_bodies_without_offer() {
    let mut placer = TargetPlacer::new(1);
    let id = target_id(0);
    let now = Duration::from_secs(1);
    let idle = LinkLoad::new(LINK_RATE);
    placer.record_unoffered_rate(&id, idle.unoffered_rate(now), now);
    let needs_offer = |placer: &TargetPlacer, bytes, now| {
        placer.needs_offer(&id, TargetDistance::SameRegion, bytes, LINK_RATE, now)
    };
    assert!(!needs_offer(&placer, 1_000, now));
    assert!(needs_offer(&placer, 60_000, now));
    // Such a body is no longer than an offer, so it is sent in any case.
    assert!(!needs_offer(&placer, 300, now + Duration::from_secs(30)));
    // The target may be occupied by now.
    assert!(needs_offer(&placer, 1_000, now + Duration::from_secs(3)));
    let mut refusing = LinkLoad::new(LINK_RATE);
    refusing.record_refused(200_000, now);
    placer.record_unoffered_rate(&id, refusing.unoffered_rate(now), now);
    assert!(needs_offer(&placer, 1_000, now));
}

/// Guards against requests that are refused by the busy targets of their own
/// region, one after the other, while another region has room.
#[test]
fn requests_move_to_the_region_with_room() {
    for seed in 1..=3 {
        // 1.17 times what the first region can run arrives there.
        let layout = Layout::TwoRegions(0.75);
        let ours = Simulation::with_layout(layout, 0.85, seed, true).run();
        assert!(
            ours.in_time * 100 >= ours.offered * 97 && ours.refused * 100 <= ours.offered * 2,
            "seed {seed}: {ours:?}"
        );
    }
}
