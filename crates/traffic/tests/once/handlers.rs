//! The reaction of the simulated daemons to each event.

use std::time::Duration;

use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::once::OnceDecision;
use radishgauge_traffic::once::OnceOutcome;
use radishgauge_traffic::once::OnceReason;
use radishgauge_traffic::once::OnceRequest;
use radishgauge_traffic::once::OnceTicket;
use radishgauge_traffic::once::StoredResponse;
use radishgauge_traffic::once_attempt::KeyedAttempt;
use radishgauge_traffic::once_owner::KeyOwner;
use radishgauge_traffic::once_transfer::TransferRequest;
use radishgauge_traffic::once_transfer::TransferStep;
use rand::Rng;
use smol_str::SmolStr;

use crate::simulation::DAEMONS;
use crate::simulation::DEADLINE;
use crate::simulation::Event;
use crate::simulation::Message;
use crate::simulation::Run;
use crate::simulation::Simulation;
use crate::simulation::daemon_index;
use crate::simulation::host;
use crate::simulation::ledger;
use crate::support::SERVICE;
use crate::support::TENANT;

impl Simulation {
    pub(crate) fn handle(&mut self, daemon: usize, id: u64, event: Event) {
        let state = &mut self.daemons[daemon];
        let incarnation = id >> 48;
        match event {
            Event::Crash(restart_after) if state.up => {
                (state.up, state.dead) = (false, restart_after.is_none());
                state.incarnation += 1;
                state.paused_until = 0;
                if let Some(restart_after) = restart_after {
                    self.push(self.now + restart_after, daemon, Event::Restart);
                }
            }
            Event::Restart => {
                state.ledger = ledger(daemon, state.incarnation, self.plan.records);
                (state.up, state.started) = (true, self.now);
                state.runs.clear();
                state.attempts.clear();
                let revision = state.revision;
                self.configure(daemon, revision);
                self.push(self.now, daemon, Event::Tick);
            }
            _ if !state.up || incarnation != 0 && incarnation != state.incarnation => {}
            Event::Pause(length) => state.paused_until = state.paused_until.max(self.now + length),
            _ if state.paused_until > self.now => {
                let until = state.paused_until;
                self.push(until, daemon, event);
            }
            Event::Attempt(attempt) => self.handle_attempt(daemon, attempt),
            Event::Deliver(message) => self.deliver(daemon, message),
            Event::Tick => self.tick(daemon),
            Event::Dispatch(ticket) => self.dispatch(daemon, ticket),
            Event::RunTimeout(ticket) => self.finish(daemon, ticket, OnceOutcome::MayHaveRun),
            Event::Resend(attempt) => self.call(daemon, attempt, None),
            Event::Deadline(attempt) => {
                if let Some(keyed) = self.daemons[daemon].attempts.remove(&attempt) {
                    self.verdict(attempt, keyed.unanswered(), self.now);
                }
            }
            Event::Publish(revision) => {
                if self.daemons[daemon].revision < revision {
                    self.configure(daemon, revision);
                }
            }
            Event::Crash(_) => {}
        }
    }

    fn tick(&mut self, daemon: usize) {
        let now = self.local_time(daemon);
        self.daemons[daemon].ledger.expire(now);
        let peer = self.rng.random_range(0..DAEMONS);
        if peer != daemon && self.can_reach(daemon, peer) {
            if self.daemons[peer].revision > self.daemons[daemon].revision {
                self.configure(daemon, self.daemons[peer].revision);
            }
            self.daemons[daemon].ledger.config_confirmed();
            self.daemons[peer].ledger.host_listed(&host(daemon));
            self.read_host_list(daemon, now);
        }
        if self.rng.random_ratio(1, 5) {
            let revision = self.daemons[daemon].revision as u64;
            for former in self.daemons[daemon].ledger.missing_transfers(&SERVICE, now) {
                self.request_piece(daemon, daemon_index(&former), revision, None);
            }
        }
        self.push(self.now + 1000, daemon, Event::Tick);
    }

    fn read_host_list(&mut self, daemon: usize, now: Duration) {
        for other in 0..DAEMONS {
            let state = &self.daemons[other];
            let paused = state.paused_until > self.now && self.plan.partition.is_none();
            let gone = state.dead || paused;
            let ledger = &mut self.daemons[daemon].ledger;
            if other != daemon && gone {
                ledger.host_gone(&host(other), now);
            } else {
                ledger.host_listed(&host(other));
            }
        }
    }

    fn request_piece(&mut self, daemon: usize, to: usize, revision: u64, after: Option<u64>) {
        let request = TransferRequest {
            service: SERVICE.clone(),
            to: host(daemon),
            revision,
            after,
        };
        self.send(
            daemon,
            to,
            Message::RequestPiece {
                request,
                from: daemon,
            },
        );
    }

    /// Handles the arrival of a caller's attempt at its entry daemon.
    ///
    /// The remainder of the key's number by 3 is its kind: 0 is an opaque key, 1 is
    /// a key issued to the caller, and 2 is a request without a key, for which the
    /// entry daemon issues one.
    fn handle_attempt(&mut self, entry: usize, attempt: usize) {
        let key = self.plan.attempts[attempt].0;
        let issued_here = key % 3 == 2;
        let slot = if issued_here {
            usize::MAX - attempt
        } else {
            key
        };
        let ledger = &mut self.daemons[entry].ledger;
        self.keys.entry(slot).or_insert_with(|| match key % 3 {
            0 => format!("key-{key}").parse().unwrap(),
            _ => IdempotencyKey::Issued(ledger.issue()),
        });
        self.daemons[entry]
            .attempts
            .insert(attempt, KeyedAttempt::new(issued_here));
        self.push(self.now + DEADLINE / 3, entry, Event::Resend(attempt));
        self.push(self.now + DEADLINE, entry, Event::Deadline(attempt));
        self.call(entry, attempt, None);
    }

    fn key(&self, attempt: usize) -> IdempotencyKey {
        let key = self.plan.attempts[attempt].0;
        let slot = if key % 3 == 2 {
            usize::MAX - attempt
        } else {
            key
        };
        self.keys[&slot].clone()
    }

    /// Returns the number of what must run at most once: of the key, or of the
    /// attempt if the request has no key.
    fn run_key(&self, attempt: usize) -> usize {
        let key = self.plan.attempts[attempt].0;
        if key % 3 == 2 { 1000 + attempt } else { key }
    }

    fn call(&mut self, entry: usize, attempt: usize, owner: Option<SmolStr>) {
        let owner = owner.or_else(|| match self.key(attempt) {
            IdempotencyKey::Issued(key) => Some(key.host),
            IdempotencyKey::Opaque(key) => {
                let set = &self.configs[self.daemons[entry].revision].0;
                KeyOwner::of(&SERVICE, &key, set, &[]).map(|owner| owner.host)
            }
        });
        let late = self.now - self.plan.attempts[attempt].1 >= DEADLINE;
        if let (Some(owner), false) = (owner, late)
            && let Some(keyed) = self.daemons[entry].attempts.get_mut(&attempt)
        {
            keyed.sent();
            let from = entry;
            self.send(entry, daemon_index(&owner), Message::Call { attempt, from });
        }
    }

    fn deliver(&mut self, daemon: usize, message: Message) {
        match message {
            Message::Call { attempt, from } => self.begin(daemon, from, attempt),
            Message::Answer {
                attempt,
                verdict,
                answer,
                not_owner,
            } => {
                let Some(keyed) = self.daemons[daemon].attempts.get_mut(&attempt) else {
                    return;
                };
                if let Some(owner) = not_owner {
                    keyed.redirected();
                    return self.call(daemon, attempt, Some(owner));
                }
                let verdict = keyed.answered(verdict);
                self.daemons[daemon].attempts.remove(&attempt);
                let at = self.decided_at.get(&attempt).copied().unwrap_or(self.now);
                self.verdict(attempt, verdict, at);
                if let Some(answer) = answer {
                    let answers = self
                        .outcome
                        .answers
                        .entry(self.run_key(attempt))
                        .or_default();
                    answers.push(answer);
                }
            }
            Message::Execute {
                ticket,
                attempt,
                from,
            } => {
                let answer = (!self.rng.random_ratio(1, 10)).then(|| {
                    let id = self.outcome.executions.len();
                    self.outcome
                        .executions
                        .push((self.run_key(attempt), attempt, self.now));
                    StoredResponse {
                        status: 200,
                        headers: vec![("x-run".into(), id.to_string().into_bytes().into())],
                        // Every eighth body is too large to be stored.
                        body: vec![id as u8; id % 8 / 7 * 66_000 + 100].into(),
                    }
                });
                self.send(daemon, from, Message::Executed { ticket, answer });
            }
            Message::Executed {
                ticket,
                answer: Some(answer),
            } => {
                self.finish(daemon, ticket, OnceOutcome::Ran(answer));
            }
            Message::Executed {
                ticket,
                answer: None,
            } => {
                self.daemons[daemon].ledger.dispatch_refused(ticket);
                if self.rng.random_bool(0.5) {
                    self.push(self.now + 10, daemon, Event::Dispatch(ticket));
                } else {
                    self.finish(daemon, ticket, OnceOutcome::NotRun);
                }
            }
            Message::RequestPiece { request, from } => {
                let now = self.local_time(daemon);
                let state = &mut self.daemons[daemon];
                if let Some(piece) = state
                    .ledger
                    .export(&request, state.revision as u64, 300, now)
                {
                    self.send(daemon, from, Message::Piece(piece));
                }
            }
            Message::Piece(piece) => {
                let (now, from, revision) = (
                    self.local_time(daemon),
                    daemon_index(&piece.from),
                    piece.revision,
                );
                let step = self.daemons[daemon].ledger.import(piece, now);
                if let TransferStep::RequestPiece(Some(after)) = step {
                    self.request_piece(
                        daemon,
                        from,
                        revision.min(self.daemons[daemon].revision as u64),
                        Some(after),
                    );
                }
            }
        }
    }

    fn begin(&mut self, daemon: usize, from: usize, attempt: usize) {
        let now = self.local_time(daemon);
        let key = self.key(attempt);
        let request = OnceRequest {
            key: &key,
            service: &SERVICE,
            tenant: &TENANT,
            regions: &[],
            fingerprint: 1,
        };
        match self.daemons[daemon].ledger.begin(&request, now) {
            OnceDecision::Run(ticket) => {
                let waiters = vec![(from, attempt)];
                self.daemons[daemon]
                    .runs
                    .insert(ticket, Run { attempt, waiters });
                self.push(self.now + 5, daemon, Event::Dispatch(ticket));
            }
            OnceDecision::Attach(ticket) => {
                let run = self.daemons[daemon].runs.get_mut(&ticket).unwrap();
                run.waiters.push((from, attempt));
            }
            OnceDecision::Replay(answer) => {
                self.answer(
                    daemon,
                    from,
                    attempt,
                    CallVerdict::Ran,
                    Some((*answer).clone()),
                    None,
                );
            }
            OnceDecision::Refuse { verdict, reason } => {
                let name = format!("{reason:?}");
                let name = name.split('(').next().unwrap().to_owned();
                *self.outcome.reasons.entry(name).or_default() += 1;
                let owner = match reason {
                    OnceReason::NotOwner(owner) => owner,
                    _ => None,
                };
                self.answer(daemon, from, attempt, verdict, None, owner);
            }
        }
    }

    fn dispatch(&mut self, daemon: usize, ticket: OnceTicket) {
        let now = self.local_time(daemon);
        let Some(attempt) = self.daemons[daemon]
            .runs
            .get(&ticket)
            .map(|run| run.attempt)
        else {
            return;
        };
        if self.daemons[daemon].ledger.begin_dispatch(ticket, now) {
            let target = self.rng.random_range(0..DAEMONS);
            let from = daemon;
            self.send(
                daemon,
                target,
                Message::Execute {
                    ticket,
                    attempt,
                    from,
                },
            );
            self.push(self.now + 12_000, daemon, Event::RunTimeout(ticket));
        } else {
            self.finish(daemon, ticket, OnceOutcome::NotRun);
        }
    }

    fn finish(&mut self, daemon: usize, ticket: OnceTicket, outcome: OnceOutcome) {
        let now = self.local_time(daemon);
        let answer = match &outcome {
            OnceOutcome::Ran(answer) => Some(answer.clone()),
            _ => None,
        };
        let verdict = self.daemons[daemon].ledger.finish(ticket, outcome, now);
        if let Some(run) = self.daemons[daemon].runs.remove(&ticket) {
            for (from, attempt) in run.waiters {
                self.answer(daemon, from, attempt, verdict, answer.clone(), None);
            }
        }
    }

    fn answer(
        &mut self,
        daemon: usize,
        to: usize,
        attempt: usize,
        verdict: CallVerdict,
        answer: Option<StoredResponse>,
        not_owner: Option<SmolStr>,
    ) {
        if verdict == CallVerdict::NotRun {
            self.decided_at.insert(attempt, self.now);
        }
        let message = Message::Answer {
            attempt,
            verdict,
            answer,
            not_owner,
        };
        self.send(daemon, to, message);
    }

    fn verdict(&mut self, attempt: usize, verdict: CallVerdict, at: u64) {
        let run_key = self.run_key(attempt);
        self.outcome.verdicts.push((run_key, attempt, verdict, at));
    }
}
