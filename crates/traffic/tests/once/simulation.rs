//! A discrete-event simulation of entry daemons, owners, a lossy network and
//! targets that record each execution. Times are in ms.
//!
//! Like the model, it makes the assumptions of `model/README.md`:
//!
//! - A call arrives within the delivery margin or never. Calls with issued keys
//!   need no such bound.
//! - A restarted daemon applies no older revision than it had applied before.
//! - The host list drops a host only if it is dead, or if it is paused while there
//!   is no partition that could keep the new configuration from it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::key::KeyIssuer;
use radishgauge_traffic::once::OnceLedger;
use radishgauge_traffic::once::OnceLimits;
use radishgauge_traffic::once::OnceTicket;
use radishgauge_traffic::once::StoredResponse;
use radishgauge_traffic::once_attempt::KeyedAttempt;
use radishgauge_traffic::once_owner::OwnerSet;
use radishgauge_traffic::once_owner::OwnerTarget;
use radishgauge_traffic::once_ownership::FormerOwners;
use radishgauge_traffic::once_ownership::OwnerChange;
use radishgauge_traffic::once_transfer::TransferPiece;
use radishgauge_traffic::once_transfer::TransferRequest;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

use crate::support::SERVICE;

pub(crate) const DAEMONS: usize = 5;
/// The repeat window, in ms.
pub(crate) const REPEAT_WINDOW: u64 = 60_000;
/// The delivery margin, in ms.
pub(crate) const DELIVERY_MARGIN: u64 = 30_000;
/// The time after which a caller's attempt ends, in ms.
pub(crate) const DEADLINE: u64 = 20_000;
/// The end of the simulation, in ms.
pub(crate) const END: u64 = 900_000;

/// The faults and requests of one simulation. Times are in ms.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    /// The daemon, the time, and the time until it restarts; `None` if it never
    /// restarts.
    pub(crate) crashes: Vec<(usize, u64, Option<u64>)>,
    /// The daemon, the time, and the length of the pause.
    pub(crate) pauses: Vec<(usize, u64, u64)>,
    /// The daemons on one side of the partition, its start and its length.
    pub(crate) partition: Option<(Vec<usize>, u64, u64)>,
    /// The time at which a configuration is published, and its targets.
    pub(crate) changes: Vec<(u64, Vec<usize>)>,
    /// The number of the key (its remainder by 3 is the kind of the key), the time,
    /// and the entry daemon.
    pub(crate) attempts: Vec<(usize, u64, usize)>,
    /// The greatest number of records in a ledger.
    pub(crate) records: usize,
}

#[derive(Debug, Clone)]
pub(crate) enum Message {
    Call {
        attempt: usize,
        from: usize,
    },
    Answer {
        attempt: usize,
        verdict: CallVerdict,
        answer: Option<StoredResponse>,
        not_owner: Option<SmolStr>,
    },
    Execute {
        ticket: OnceTicket,
        attempt: usize,
        from: usize,
    },
    Executed {
        ticket: OnceTicket,
        answer: Option<StoredResponse>,
    },
    RequestPiece {
        request: TransferRequest,
        from: usize,
    },
    Piece(TransferPiece),
}

#[derive(Debug, Clone)]
pub(crate) enum Event {
    Attempt(usize),
    Deliver(Message),
    Tick,
    Dispatch(OnceTicket),
    RunTimeout(OnceTicket),
    Resend(usize),
    Deadline(usize),
    Crash(Option<u64>),
    Restart,
    Pause(u64),
    Publish(usize),
}

pub(crate) struct Run {
    pub(crate) attempt: usize,
    pub(crate) waiters: Vec<(usize, usize)>,
}

pub(crate) struct Daemon {
    pub(crate) ledger: OnceLedger,
    pub(crate) revision: usize,
    pub(crate) incarnation: u64,
    pub(crate) started: u64,
    pub(crate) up: bool,
    pub(crate) paused_until: u64,
    pub(crate) dead: bool,
    pub(crate) runs: HashMap<OnceTicket, Run>,
    pub(crate) attempts: HashMap<usize, KeyedAttempt>,
}

/// The observations of one simulation.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Each execution: the key, the attempt that caused it, and the time.
    pub(crate) executions: Vec<(usize, usize, u64)>,
    /// Each verdict for a caller: the key, the attempt, the verdict, and the time of
    /// the decision.
    pub(crate) verdicts: Vec<(usize, usize, CallVerdict, u64)>,
    /// Each response that a caller received, by key.
    pub(crate) answers: BTreeMap<usize, Vec<StoredResponse>>,
    /// The number of refusals by reason.
    pub(crate) reasons: BTreeMap<String, u32>,
}

pub(crate) struct Simulation {
    pub(crate) plan: Plan,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: u64,
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64, usize, u64)>>,
    pub(crate) events: HashMap<u64, Event>,
    pub(crate) sequence: u64,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) configs: Vec<(OwnerSet, Vec<FormerOwners>)>,
    pub(crate) keys: HashMap<usize, IdempotencyKey>,
    pub(crate) decided_at: HashMap<usize, u64>,
    pub(crate) outcome: Outcome,
}

pub(crate) fn host(daemon: usize) -> SmolStr {
    SmolStr::new(format!("h{daemon}"))
}

pub(crate) fn daemon_index(host: &str) -> usize {
    host[1..].parse().unwrap()
}

pub(crate) fn ledger(daemon: usize, incarnation: u64, records: usize) -> OnceLedger {
    let limits = OnceLimits {
        records,
        repeat_window: Duration::from_millis(REPEAT_WINDOW),
        delivery_margin: Duration::from_millis(DELIVERY_MARGIN),
        ..OnceLimits::default()
    };
    let issuer = KeyIssuer::new(&host(daemon), incarnation, [incarnation as u8; 32]);
    OnceLedger::new(issuer, "x", limits)
}

/// Simulates a plan to its end.
pub(crate) fn simulate(plan: &Plan) -> Outcome {
    let mut simulation = Simulation::new(plan.clone());
    while let Some(Reverse((at, _, daemon, id))) = simulation.queue.pop() {
        let event = simulation.events.remove(&(id & !INCARNATION_BITS)).unwrap();
        simulation.now = at;
        if at < END {
            simulation.handle(daemon, id, event);
        }
    }
    simulation.outcome
}

/// The bits of an event's number that contain the incarnation it is for.
pub(crate) const INCARNATION_BITS: u64 = 0xffff << 48;

impl Simulation {
    fn new(plan: Plan) -> Simulation {
        let targets = |daemons: &[usize]| {
            let target = |&daemon: &usize| OwnerTarget {
                host: host(daemon),
                region: SmolStr::new(["x", "y"][daemon % 2]),
            };
            OwnerSet::new(0, daemons.iter().map(target))
        };
        let mut configs = vec![(targets(&[0, 1, 2]), Vec::new())];
        for (index, (_, daemons)) in plan.changes.iter().enumerate() {
            let (set, mut former) = configs[index].clone();
            let left_at = index as u64 + 1;
            former.push(FormerOwners {
                set,
                left_at,
                merged: false,
            });
            configs.push((targets(daemons), former));
        }
        let daemon = |daemon| Daemon {
            ledger: ledger(daemon, 1, plan.records),
            revision: 0,
            incarnation: 1,
            started: 0,
            up: true,
            paused_until: 0,
            dead: false,
            runs: HashMap::new(),
            attempts: HashMap::new(),
        };
        let mut simulation = Simulation {
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            daemons: (0..DAEMONS).map(daemon).collect(),
            configs,
            keys: HashMap::new(),
            decided_at: HashMap::new(),
            outcome: Outcome::default(),
            plan: plan.clone(),
        };
        for daemon in 0..DAEMONS {
            simulation.configure(daemon, 0);
            simulation.push(1000, daemon, Event::Tick);
        }
        for (index, &(_, at, entry)) in plan.attempts.iter().enumerate() {
            simulation.push(at, entry, Event::Attempt(index));
        }
        for &(daemon, at, restart_after) in &plan.crashes {
            simulation.push(at, daemon, Event::Crash(restart_after));
        }
        for &(daemon, at, length) in &plan.pauses {
            simulation.push(at, daemon, Event::Pause(length));
        }
        for (index, (at, _)) in plan.changes.iter().enumerate() {
            simulation.push(*at, 0, Event::Publish(index + 1));
        }
        simulation
    }

    pub(crate) fn push(&mut self, at: u64, daemon: usize, event: Event) {
        // External events apply to every incarnation of the daemon; all others
        // apply only to the current one.
        let external = matches!(
            event,
            Event::Attempt(_)
                | Event::Crash(_)
                | Event::Restart
                | Event::Pause(_)
                | Event::Publish(_)
        );
        let incarnation = if external {
            0
        } else {
            self.daemons[daemon].incarnation
        };
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        let id = incarnation << 48 | self.sequence;
        self.queue.push(Reverse((at, self.sequence, daemon, id)));
    }

    pub(crate) fn partitioned(&self, one: usize, other: usize) -> bool {
        self.plan
            .partition
            .as_ref()
            .is_some_and(|(side, from, length)| {
                side.contains(&one) != side.contains(&other)
                    && (*from..from + length).contains(&self.now)
            })
    }

    pub(crate) fn can_reach(&self, one: usize, other: usize) -> bool {
        let daemon = &self.daemons[other];
        daemon.up && daemon.paused_until <= self.now && !self.partitioned(one, other)
    }

    /// Sends a message. It is lost if a partition separates the daemons or the
    /// receiver is down, or by chance. Only messages of transfers are duplicated, as
    /// a call is a single stream.
    pub(crate) fn send(&mut self, from: usize, to: usize, message: Message) {
        let duplicate = matches!(message, Message::RequestPiece { .. } | Message::Piece(_))
            && self.rng.random_ratio(self.plan.duplicate_percent, 100);
        for _ in 0..1 + u32::from(duplicate) {
            let lost = from != to && self.rng.random_ratio(self.plan.loss_percent, 100);
            if !self.daemons[to].up || self.partitioned(from, to) || lost {
                continue;
            }
            let slow = matches!(&message, Message::Call { attempt, .. } if self.issued(*attempt))
                && self.rng.random_ratio(10, 100);
            let longest = if slow { 300_000 } else { 5000 };
            let delay = if from == to {
                0
            } else {
                self.rng.random_range(1..longest)
            };
            self.push(self.now + delay, to, Event::Deliver(message.clone()));
        }
    }

    pub(crate) fn issued(&self, attempt: usize) -> bool {
        !self.plan.attempts[attempt].0.is_multiple_of(3)
    }

    pub(crate) fn local_time(&self, daemon: usize) -> Duration {
        Duration::from_millis(self.now - self.daemons[daemon].started)
    }

    pub(crate) fn configure(&mut self, daemon: usize, revision: usize) {
        let now = self.local_time(daemon);
        let (current, former) = self.configs[revision].clone();
        self.daemons[daemon].revision = revision;
        let change = OwnerChange {
            service: SERVICE.clone(),
            revision: revision as u64,
            current,
            former,
        };
        self.daemons[daemon].ledger.ownership_changed(change, now);
    }
}
