//! The event loop of the load simulation: senders, targets and a virtual clock
//! that drive the state machines of the request path.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishgauge_config::model::Criticality;
use radishgauge_traffic::AdmissionDecision;
use radishgauge_traffic::AdmissionRequest;
use radishgauge_traffic::CallOutcome;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::HomeRule;
use radishgauge_traffic::PickRequest;
use radishgauge_traffic::PickedTarget;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::RetryBudget;
use radishgauge_traffic::RetryDecision;
use radishgauge_traffic::TargetAdmission;
use radishgauge_traffic::TargetPicker;
use radishgauge_traffic::TrafficSnapshot;
use radishgauge_traffic::TriedTargets;
use radishgauge_traffic::admit::AdmissionTicket;
use radishgauge_traffic::admit::RunOutcome;
use radishgauge_traffic::admit::RunningTicket;
use radishgauge_traffic::admit::Waiter;
use radishgauge_traffic::admit::Wake;
use radishgauge_traffic::pick::PickRule;
use radishgauge_traffic::retry::FailedCall;
use radishgauge_traffic::snapshot::Distance;
use rand::Rng;
use rand_pcg::Pcg64;

use crate::virtual_load::fleet;
use crate::virtual_load::report::RunCounts;
use crate::virtual_load::worker::Accept;
use crate::virtual_load::worker::Worker;

/// The number of retries of the baseline, each sent at once to the next target in
/// turn.
const BLIND_RETRIES: u32 = 3;

/// How calls are sent, limited and retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Handling {
    /// The baseline: round robin, three unconditional retries, no limits and no
    /// ramp.
    Naive,
    /// The mesh: the state machines of the request path, with this rule for
    /// picking targets.
    Mesh(PickRule),
}

// An event at a sender, target or worker. Numbers are indices of calls and
// targets; for `WaitTimeOut` the id of a waiter, for `Done` the generation of the
// worker.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Send(usize),
    ReachTarget(usize),
    WaitTimeOut(usize, u64),
    Done(usize, usize, u32),
    Reply(usize, Reply),
    MakeCold(usize),
}

// The end of an attempt, as the sender sees it. `Success` and `Failed` have the
// capacity that the target reports, `Refused` an index into `RefusalReason::ALL`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Success(u32),
    Failed(u32),
    Refused(usize),
    ConnectionLost,
}

struct Call {
    sender: usize,
    started: Duration,
    target: usize,
    tried: TriedTargets,
    picked: Option<PickedTarget>,
    running: Option<RunningTicket>,
    retries: u32,
    critical: Criticality,
}

struct Sender {
    snapshot: TrafficSnapshot,
    picker: TargetPicker,
    budget: RetryBudget,
    next_target: usize,
}

/// A simulation of one service with its senders and targets.
pub struct LoadSimulation {
    handling: Handling,
    /// The present time of the virtual clock.
    pub now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    calls: Vec<Call>,
    senders: Vec<Sender>,
    target_of_host: HashMap<smol_str::SmolStr, usize>,
    admissions: Vec<Arc<TargetAdmission>>,
    waiters: HashMap<(usize, u64), usize>,
    /// The worker of each target.
    pub workers: Vec<Worker>,
    /// The time that a caller waits for its response.
    pub deadline: Duration,
    /// Requests a second, over all senders.
    rate: f64,
    random: Pcg64,
    /// The counts since the last reset.
    pub counts: RunCounts,
    /// First attempts and all attempts since the start. They are not reset with
    /// `counts`, because the retry budget may spend what it saved before.
    first: u64,
    attempts: u64,
}

impl LoadSimulation {
    /// Creates a simulation with warm targets, whose first request arrives at time
    /// zero.
    pub fn new(handling: Handling, targets: usize, senders: usize, seed: u64) -> LoadSimulation {
        let model = fleet::model(targets);
        let hosts = fleet::hosts(targets);
        let rule = match handling {
            Handling::Mesh(rule) => rule,
            Handling::Naive => PickRule::default(),
        };
        let sender = |number: usize| Sender {
            snapshot: fleet::snapshot(&model, &format!("caller-{number}"), number % 2),
            picker: TargetPicker::with_rule(rule, seed + number as u64, 0),
            budget: RetryBudget::new(10),
            next_target: number,
        };
        let admission = |(index, host): (usize, &smol_str::SmolStr)| {
            let snapshot = fleet::snapshot(&model, host, index % 2);
            Arc::clone(
                snapshot
                    .local_admission("desk")
                    .expect("the host runs a target"),
            )
        };
        let mut simulation = LoadSimulation {
            handling,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            calls: Vec::new(),
            senders: (0..senders).map(sender).collect(),
            admissions: hosts.iter().enumerate().map(admission).collect(),
            target_of_host: hosts.into_iter().zip(0..).collect(),
            waiters: HashMap::new(),
            workers: (0..targets)
                .map(|number| Worker::new(seed + number as u64))
                .collect(),
            deadline: Duration::from_millis(250),
            rate: 1.0,
            random: Pcg64::new(u128::from(seed), 2),
            counts: RunCounts::default(),
            first: 0,
            attempts: 0,
        };
        simulation.push(Duration::ZERO, Event::Arrive);
        simulation
    }

    /// Runs until a time, with `rate` requests a second.
    pub fn run(&mut self, rate: f64, until: Duration) {
        self.rate = rate;
        while let Some(Reverse((time, _, _))) = self.events.peek()
            && *time < until
        {
            let Reverse((time, _, event)) = self.events.pop().expect("an event was seen");
            self.now = time;
            self.handle(event);
        }
        self.now = until;
    }

    /// Makes a target's worker cold after a time. Nothing tells its daemon about
    /// it.
    pub fn make_cold(&mut self, target: usize, after: Duration) {
        self.push(after, Event::MakeCold(target));
    }

    /// Clears the counts and response times.
    pub fn reset(&mut self) {
        self.counts = RunCounts::default();
    }

    /// Returns the number of attempts divided by the number of requests, since the
    /// start.
    pub fn amplification(&self) -> f64 {
        self.attempts as f64 / self.first as f64
    }

    /// Returns the concurrency limit of each target.
    pub fn limits(&self) -> Vec<u32> {
        self.admissions
            .iter()
            .map(|target| target.limit())
            .collect()
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Send(call) => self.send(call),
            Event::ReachTarget(call) => self.reach_target(call),
            Event::WaitTimeOut(target, waiter) => self.time_out_waiter(target, waiter),
            Event::Done(target, call, generation) => self.done(target, call, generation),
            Event::Reply(call, reply) => self.reply(call, reply),
            Event::MakeCold(target) => self.workers[target].make_cold(self.now),
        }
    }

    fn arrive(&mut self) {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() / self.rate);
        self.push(gap, Event::Arrive);
        let sender = self.random.random_range(0..self.senders.len());
        let critical = match self.random.random_range(0..10) {
            0 => Criticality::Critical,
            1..6 => Criticality::Normal,
            _ => Criticality::Sheddable,
        };
        self.counts.first += 1;
        self.first += 1;
        self.counts.critical += u64::from(critical == Criticality::Critical);
        self.senders[sender].budget.deposit();
        self.calls.push(Call {
            sender,
            started: self.now,
            target: 0,
            tried: TriedTargets::default(),
            picked: None,
            running: None,
            retries: 0,
            critical,
        });
        self.send(self.calls.len() - 1);
    }

    fn send(&mut self, index: usize) {
        let now = self.now;
        let call = &mut self.calls[index];
        let sender = &mut self.senders[call.sender];
        if self.handling == Handling::Naive {
            call.target = sender.next_target % self.workers.len();
            sender.next_target += 1;
        } else {
            let request = PickRequest {
                home: HomeRule::ANYWHERE,
                criticality: call.critical,
                bytes: 0,
            };
            let service = sender.snapshot.service_key("desk").expect("configured");
            let picked = sender
                .picker
                .pick(&sender.snapshot, service, &request, &call.tried, now);
            let picked = match picked {
                Ok(picked) => picked,
                Err(refusal) => {
                    self.counts.fail(now);
                    let count = self.counts.refused.entry(refusal.reason.as_str());
                    *count.or_default() += 1;
                    return;
                }
            };
            call.target = self.target_of_host[&picked.host];
            if call.critical == Criticality::Critical {
                self.counts.critical_attempts += 1;
                self.counts.critical_spilled += u64::from(picked.distance != Distance::Near);
            }
            call.tried.insert(picked.target);
            call.picked = Some(picked);
        }
        self.attempts += 1;
        self.push(self.delay(index), Event::ReachTarget(index));
    }

    /// Returns the one-way latency between the sender and the target of a call.
    fn delay(&self, call: usize) -> Duration {
        let call = &self.calls[call];
        match call.picked.as_ref().map(|picked| picked.distance) {
            Some(Distance::Near) => Duration::from_micros(200),
            Some(_) => Duration::from_micros(1500),
            None if call.sender % 2 == call.target % 2 => Duration::from_micros(200),
            None => Duration::from_micros(1500),
        }
    }

    fn reach_target(&mut self, index: usize) {
        if self.handling == Handling::Naive {
            return self.start(index, None);
        }
        let call = &self.calls[index];
        let target = call.target;
        let request = AdmissionRequest {
            criticality: call.critical,
            deadline: call.started + self.deadline,
            suspect: false,
        };
        match self.admissions[target].admit(&request, self.now) {
            AdmissionDecision::Run(ticket) => self.start(index, Some(ticket)),
            AdmissionDecision::Wait(waiter) => {
                self.waiters.insert((target, waiter.id), index);
                self.push(
                    waiter.until - self.now,
                    Event::WaitTimeOut(target, waiter.id),
                );
            }
            AdmissionDecision::Refuse(refusal) => {
                self.workers[target].refuse();
                self.refuse(index, refusal.reason);
            }
        }
    }

    fn refuse(&mut self, call: usize, reason: RefusalReason) {
        *self.counts.refused.entry(reason.as_str()).or_default() += 1;
        let code = RefusalReason::ALL.iter().position(|other| *other == reason);
        let reply = Reply::Refused(code.expect("all reasons are listed"));
        self.push(self.delay(call), Event::Reply(call, reply));
    }

    fn time_out_waiter(&mut self, target: usize, id: u64) {
        let until = self.now;
        if let Some(refusal) = self.admissions[target].stop_waiting(&Waiter { id, until })
            && let Some(call) = self.waiters.remove(&(target, id))
        {
            self.refuse(call, refusal.reason);
        }
    }

    fn start(&mut self, index: usize, ticket: Option<AdmissionTicket>) {
        let target = self.calls[index].target;
        match self.workers[target].accept(index, self.now) {
            Accept::Refused => match ticket {
                Some(ticket) => {
                    let admission = &self.admissions[target];
                    let (refusal, wakes) = admission.connection_refused(ticket, self.now);
                    self.refuse(index, refusal.reason);
                    self.wake(target, wakes);
                }
                None => self.push(
                    self.delay(index),
                    Event::Reply(index, Reply::ConnectionLost),
                ),
            },
            accepted => {
                self.calls[index].running = ticket.map(|ticket| ticket.hand_over(self.now));
                match accepted {
                    Accept::Started(took) => {
                        let generation = self.workers[target].generation;
                        self.push(took, Event::Done(target, index, generation));
                    }
                    Accept::Crashed(lost) => self.crash(target, lost),
                    Accept::Backlog | Accept::Refused => {}
                }
            }
        }
    }

    fn crash(&mut self, target: usize, lost: Vec<usize>) {
        self.counts.crashes += 1;
        for call in lost {
            self.push(self.delay(call), Event::Reply(call, Reply::ConnectionLost));
            if let Some(running) = self.calls[call].running.take() {
                let wakes = self.admissions[target].finish(running, RunOutcome::Crashed, self.now);
                self.wake(target, wakes);
            }
        }
    }

    fn done(&mut self, target: usize, call: usize, generation: u32) {
        if self.workers[target].generation != generation {
            return;
        }
        if let Some((next, took)) = self.workers[target].end(call, self.now) {
            self.push(took, Event::Done(target, next, generation));
        }
        let admission = Arc::clone(&self.admissions[target]);
        let mut wakes = Vec::new();
        let broken = self.workers[target].broken;
        if let Some(running) = self.calls[call].running.take() {
            let outcome = match broken {
                true => RunOutcome::Failed,
                false => RunOutcome::Answered,
            };
            wakes = admission.finish(running, outcome, self.now);
        }
        let capacity = admission.reported_capacity();
        let reply = match broken {
            true => Reply::Failed(capacity),
            false => Reply::Success(capacity),
        };
        self.push(self.delay(call), Event::Reply(call, reply));
        self.wake(target, wakes);
    }

    fn wake(&mut self, target: usize, wakes: Vec<Wake>) {
        for wake in wakes {
            let call = self.waiters.remove(&(target, wake.waiter));
            let call = call.expect("each waiter is woken once");
            match wake.decision {
                Ok(ticket) => self.start(call, Some(ticket)),
                Err(refusal) => self.refuse(call, refusal.reason),
            }
        }
    }

    fn reply(&mut self, index: usize, reply: Reply) {
        let now = self.now;
        let call = &mut self.calls[index];
        let took = now - call.started;
        let expected = call.picked.as_ref().map(PickedTarget::expected_response);
        if let Some(picked) = call.picked.take() {
            let outcome = match reply {
                Reply::Success(capacity) => CallOutcome::Answered { capacity },
                Reply::Failed(capacity) => CallOutcome::Failed { capacity },
                Reply::Refused(code) => CallOutcome::Refused {
                    reason: RefusalReason::ALL[code],
                },
                Reply::ConnectionLost => CallOutcome::Broken,
            };
            picked.finish(outcome, now);
        }
        if let Reply::Success(_) = reply {
            let critical = call.critical == Criticality::Critical;
            self.counts
                .answer(took, took <= self.deadline, critical, now);
            return;
        }
        if let Reply::Failed(_) = reply {
            self.counts.fail(now);
            return;
        }
        let failed = match reply {
            Reply::Refused(code) => (CallVerdict::NotRun, Some(RefusalReason::ALL[code])),
            _ => (CallVerdict::MayHaveRun, None),
        };
        if self.handling == Handling::Naive {
            if call.retries < BLIND_RETRIES {
                call.retries += 1;
                self.send(index);
            } else {
                self.counts.fail(now);
            }
            return;
        }
        let failed = FailedCall {
            verdict: failed.0,
            reason: failed.1,
            repeatable: true,
            in_retry: false,
            retries: call.retries,
            remaining: self.deadline.saturating_sub(took),
            expected: expected.unwrap_or_default(),
            cost: 1,
        };
        let seed = self.random.random();
        match self.senders[call.sender].budget.decide(&failed, seed) {
            RetryDecision::Retry { after, .. } => {
                call.retries += 1;
                self.push(after, Event::Send(index));
            }
            RetryDecision::Stop(_) => self.counts.fail(now),
        }
    }
}
