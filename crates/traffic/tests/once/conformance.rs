//! Compares the ledger with the process `host` of `model/once.pml`.
//!
//! `ModelHost` has the state and the guards of one host of the model; its fields have
//! the names of the model's variables. The test visits all states that one opaque
//! key can reach within the bounds of `step`. It applies each transition to a
//! ledger as well, and compares the decisions of both on a re-send of the key. The
//! other host of the model is represented by every piece that it may send.

use std::collections::HashSet;
use std::time::Duration;

use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::key::KeyIssuer;
use radishgauge_traffic::once::OnceDecision;
use radishgauge_traffic::once::OnceLedger;
use radishgauge_traffic::once::OnceLimits;
use radishgauge_traffic::once::OnceOutcome;
use radishgauge_traffic::once::OnceReason;
use radishgauge_traffic::once::OnceTicket;
use radishgauge_traffic::once::StoredResponse;
use radishgauge_traffic::once::fingerprint;
use radishgauge_traffic::once_transfer::OnceRecord;
use radishgauge_traffic::once_transfer::TransferPiece;

use crate::support::SERVICE;
use crate::support::TENANT;
use crate::support::change_owners;
use crate::support::opaque;
use crate::support::request;

/// The retention time of a record, in time steps.
const KEEP: u64 = 2;
/// The last time step that the test visits.
const LAST: u64 = 6;
/// The length of one time step of the model.
const STEP: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Record {
    None,
    Running,
    Started,
    Unknown,
    Answered,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelHost {
    t: u64,
    clk: u64,
    settled: u64,
    stale: bool,
    pauses: u64,
    rev: u64,
    rec: Record,
    since: u64,
    current: bool,
    handed: u64,
    whole: u64,
    gone: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Tick,
    Pause,
    Begin,
    Started,
    Refused,
    NotRun,
    MayHaveRun,
    Ran,
    Change,
    Confirmed,
    Gone,
    Listed,
    /// The revision, the verdict of a record that is one step old, and for how many
    /// steps the records are still incomplete.
    Import(u64, Option<CallVerdict>, u64),
}

/// Returns the answer to a re-send, as far as the model distinguishes answers.
fn observed(decision: &OnceDecision) -> &'static str {
    match decision {
        OnceDecision::Run(_) => "run",
        OnceDecision::Attach(_) => "attach",
        OnceDecision::Replay(_) => "answered",
        OnceDecision::Refuse {
            verdict: CallVerdict::Ran,
            ..
        } => "answered",
        OnceDecision::Refuse {
            reason: OnceReason::OutcomeUnknown,
            ..
        } => "unknown",
        OnceDecision::Refuse { verdict, .. } => verdict.as_str(),
    }
}

impl ModelHost {
    fn may_run(&self) -> bool {
        let handed = self.handed >= self.rev && self.whole <= self.clk;
        let gone = self.gone.is_some_and(|since| self.clk - since >= KEEP);
        self.rev == 2
            && !self.stale
            && self.clk >= self.settled
            && self.clk >= KEEP
            && (handed || gone)
    }

    fn observed(&self) -> &'static str {
        match self.rec {
            Record::None if self.may_run() => "run",
            Record::None => "may-have-run",
            Record::Running | Record::Started => "attach",
            Record::Unknown => "unknown",
            Record::Answered => "answered",
        }
    }

    fn set(&mut self, rec: Record) {
        self.rec = rec;
        if rec != Record::Running && rec != Record::Started {
            self.current = false;
        }
        if rec == Record::None {
            self.since = 0;
        }
    }

    fn expire(&mut self) {
        if self.rec != Record::None && self.since + KEEP <= self.clk {
            if matches!(self.rec, Record::Running | Record::Started) {
                self.set(Record::Unknown);
                self.since = self.clk;
            } else {
                self.set(Record::None);
            }
        }
    }

    /// Applies a transition. Returns false when it is not enabled or changes
    /// nothing.
    fn step(&mut self, step: Step) -> bool {
        let before = self.clone();
        match step {
            Step::Tick if self.t < LAST => {
                (self.t, self.clk) = (self.t + 1, self.clk + 1);
                self.expire();
            }
            Step::Pause if self.t + 2 <= LAST && self.pauses == 0 => {
                (self.t, self.pauses, self.stale, self.current) = (self.t + 2, 1, true, false);
                self.settled = self.clk + 1;
                self.expire();
            }
            Step::Begin if self.rec == Record::None && self.may_run() => {
                (self.rec, self.since, self.current) = (Record::Running, self.clk, true);
            }
            Step::Started if self.rec == Record::Running && self.current => {
                self.rec = Record::Started
            }
            Step::Refused if self.rec == Record::Started => self.rec = Record::Running,
            Step::NotRun if self.rec == Record::Running && self.current => self.set(Record::None),
            Step::NotRun if matches!(self.rec, Record::Running | Record::Started) => {
                self.set(Record::Unknown)
            }
            Step::MayHaveRun if self.rec == Record::Started => self.set(Record::Unknown),
            Step::Ran if matches!(self.rec, Record::Started) => self.set(Record::Answered),
            Step::Change if self.rev < 3 => self.rev += 1,
            Step::Confirmed if self.stale => self.stale = false,
            Step::Gone if self.gone.is_none() => self.gone = Some(self.clk),
            Step::Listed => self.gone = None,
            Step::Import(revision, verdict, unknown) => {
                let found = match verdict {
                    Some(CallVerdict::Ran) => Record::Answered,
                    Some(_) => Record::Unknown,
                    None => Record::None,
                };
                if self.rec == Record::None && found != Record::None {
                    (self.rec, self.since) = (found, self.clk.saturating_sub(1));
                } else if self.rec == Record::Unknown && found == Record::Answered {
                    self.rec = Record::Answered;
                }
                let whole = self.clk + unknown;
                if revision > self.handed || self.handed > 0 && whole < self.whole {
                    (self.handed, self.whole) = (revision, whole);
                }
            }
            _ => return false,
        }
        *self != before
    }
}

/// Applies a transition to the ledger of host `b`, which is the owner under
/// revision 2.
fn apply(ledger: &mut OnceLedger, ticket: &mut Option<OnceTicket>, step: Step, host: &ModelHost) {
    let key = opaque("k");
    let now = STEP * host.t as u32;
    let run = ticket.unwrap_or_default();
    match step {
        Step::Tick | Step::Pause => ledger.expire(now),
        Step::Begin => match ledger.begin(&request(&key), now) {
            OnceDecision::Run(run) => *ticket = Some(run),
            other => panic!("{other:?}"),
        },
        Step::Started => assert!(ledger.begin_dispatch(run, now)),
        Step::Refused => ledger.dispatch_refused(run),
        Step::NotRun => {
            let verdict = ledger.finish(run, OnceOutcome::NotRun, now);
            assert_eq!(verdict == CallVerdict::NotRun, host.rec == Record::None);
        }
        Step::MayHaveRun => drop(ledger.finish(run, OnceOutcome::MayHaveRun, now)),
        Step::Ran => drop(ledger.finish(run, OnceOutcome::Ran(StoredResponse::default()), now)),
        Step::Change if host.rev == 2 => change_owners(ledger, 2, &["b"], &[(2, &["a"])]),
        Step::Change => change_owners(ledger, 3, &["a"], &[(2, &["a"]), (3, &["b"])]),
        Step::Confirmed => ledger.config_confirmed(),
        Step::Gone => ledger.host_gone("a", now),
        Step::Listed => ledger.host_listed("a"),
        Step::Import(revision, verdict, unknown) => {
            let record = verdict.map(|verdict| OnceRecord {
                tenant: TENANT.clone(),
                key: "k".into(),
                fingerprint: fingerprint(&request(&key)),
                regions: Box::default(),
                verdict,
                response: None,
                age: STEP,
            });
            let piece = TransferPiece {
                service: SERVICE.clone(),
                from: "a".into(),
                incarnation: 1,
                revision,
                after: None,
                next: None,
                withheld: false,
                unknown_for: STEP * unknown as u32,
                records: record.into_iter().collect(),
            };
            ledger.import(piece, now);
        }
    }
}

/// Guards against a ledger that behaves differently from the verified model.
#[test]
fn the_ledger_matches_each_transition_of_the_model() {
    let limits = OnceLimits {
        repeat_window: STEP,
        delivery_margin: STEP,
        ..OnceLimits::default()
    };
    let mut ledger = OnceLedger::new(KeyIssuer::new("b", 1, [3; 32]), "x", limits);
    change_owners(&mut ledger, 1, &["a"], &[]);
    let start = ModelHost {
        t: 0,
        clk: 0,
        settled: 0,
        stale: false,
        pauses: 0,
        rev: 1,
        rec: Record::None,
        since: 0,
        current: false,
        handed: 0,
        whole: 0,
        gone: None,
    };
    let mut steps = vec![
        Step::Tick,
        Step::Pause,
        Step::Begin,
        Step::Started,
        Step::Refused,
        Step::NotRun,
        Step::MayHaveRun,
        Step::Ran,
        Step::Change,
        Step::Confirmed,
        Step::Gone,
        Step::Listed,
    ];
    for revision in [2, 3] {
        for verdict in [None, Some(CallVerdict::MayHaveRun), Some(CallVerdict::Ran)] {
            steps.extend([0, KEEP].map(|unknown| Step::Import(revision, verdict, unknown)));
        }
    }
    let mut visited = HashSet::from([start.clone()]);
    let mut open = vec![(start, ledger, None)];
    let mut transitions = 0;
    let key = opaque("k");
    while let Some((host, ledger, ticket)) = open.pop() {
        for &step in &steps {
            let mut next = host.clone();
            if !next.step(step) {
                continue;
            }
            transitions += 1;
            let (mut ledger, mut ticket) = (ledger.clone(), ticket);
            apply(&mut ledger, &mut ticket, step, &next);
            let found = ledger.clone().begin(&request(&key), STEP * next.t as u32);
            assert_eq!(
                observed(&found),
                next.observed(),
                "{step:?} from {host:?} to {next:?}: {found:?}"
            );
            if visited.insert(next.clone()) {
                open.push((next, ledger, ticket));
            }
        }
    }
    println!("{} states, {transitions} transitions", visited.len());
    assert!(visited.len() > 10_000);
}
