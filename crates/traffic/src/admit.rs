//! Admission of calls at the daemon on the target's host.
//!
//! All load of a target passes this one place, so it is where the limit, the
//! ramp, the queue and the refusals of a domain that is out hold whatever the
//! senders believe. Each step takes constant time under one lock per target,
//! which is never held across I/O.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use radishgauge_config::model::Criticality;
use radishgauge_config::model::PolicyModel;
use radishgauge_config::model::ServiceModel;

use crate::limit::ConcurrencyLimit;
use crate::queue::AdmissionQueue;
use crate::queue::QUEUE_TIME;
use crate::queue::Waiting;
use crate::ramp::TargetRamp;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// What admission needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmitRequest {
    /// The order in which requests are shed.
    pub criticality: Criticality,
    /// When the caller stops waiting, on the clock of `now`.
    pub deadline: Duration,
    /// Whether the request has a strike; at most one such request runs at a
    /// target at a time.
    pub suspect: bool,
}

/// The decision on a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Admit {
    /// The request may run now.
    Run(Ticket),
    /// The request waits; the decision comes from a later [`Wake`].
    Wait(Waiter),
    /// The request is not run.
    Refuse(Refusal),
}

/// The right to run one request, which was not handed to the target yet.
///
/// Ends with [`TargetAdmission::cancel`] or with [`Ticket::hand_over`] and
/// [`TargetAdmission::finish`]. A ticket that is dropped keeps its slot.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket that is dropped keeps its slot"]
pub struct Ticket {
    suspect: bool,
}

impl Ticket {
    /// Marks the request as handed over: from now on it may have run, and no
    /// refusal can be made of it.
    pub fn hand_over(self, now: Duration) -> RunningTicket {
        RunningTicket {
            suspect: self.suspect,
            started: now,
        }
    }
}

/// A request that was handed to the target.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket that is dropped keeps its slot"]
pub struct RunningTicket {
    suspect: bool,
    started: Duration,
}

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// Names the request in a [`Wake`].
    pub id: u64,
    /// When to stop waiting, with [`TargetAdmission::give_up`].
    pub until: Duration,
}

/// The decision on a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub struct Wake {
    /// The identity from [`Waiter::id`].
    pub waiter: u64,
    /// The right to run, or why the request is not run.
    pub decision: Result<Ticket, Refusal>,
}

/// How a request that was handed over ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target gave a whole answer that does not say it is overloaded.
    Answered,
    /// The target answered that it is overloaded.
    Overloaded,
    /// The target answered with a server error; its time says nothing.
    Failed,
    /// The connection broke while the request ran.
    Crashed,
    /// The caller went away or its deadline passed.
    Cancelled,
}

/// The admission of one target.
#[derive(Debug)]
pub struct TargetAdmission {
    state: Mutex<AdmissionState>,
}

#[derive(Debug)]
struct AdmissionState {
    domain_out: bool,
    leaving: bool,
    /// Set by this daemon itself, which knows better than any list.
    stopping: bool,
    running: u32,
    suspect_running: bool,
    limit: ConcurrencyLimit,
    ramp: TargetRamp,
    queue: AdmissionQueue,
    next_waiter: u64,
    /// How often the target had ended all its connections.
    losses: u64,
}

impl TargetAdmission {
    /// Returns the admission of a target that is cold.
    pub fn new(service: &ServiceModel, policy: &PolicyModel, now: Duration) -> TargetAdmission {
        TargetAdmission {
            state: Mutex::new(AdmissionState {
                domain_out: false,
                leaving: false,
                stopping: false,
                running: 0,
                suspect_running: false,
                limit: ConcurrencyLimit::new(service.slots),
                ramp: TargetRamp::new(
                    service.cold_start_slots,
                    service.slots,
                    policy.ramp_step,
                    now,
                ),
                queue: AdmissionQueue::default(),
                next_waiter: 0,
                losses: 0,
            }),
        }
    }

    /// Takes over a new configuration. A target whose failure domain returns is
    /// cold; running requests are not touched.
    pub fn configure(
        &self,
        service: &ServiceModel,
        policy: &PolicyModel,
        domain_out: bool,
        leaving: bool,
        now: Duration,
    ) {
        let mut state = self.lock();
        state.limit.declare(service.slots);
        state
            .ramp
            .configure(service.cold_start_slots, service.slots, policy.ramp_step);
        if state.domain_out && !domain_out {
            state.ramp.restart(now);
        }
        state.domain_out = domain_out;
        state.leaving = leaving;
    }

    /// Stops taking new requests for good, before a graceful stop of the daemon.
    /// No later configuration lifts this.
    pub fn leave(&self) {
        self.lock().stopping = true;
    }

    /// Decides on a request.
    pub fn admit(&self, request: &AdmitRequest, now: Duration) -> Admit {
        let mut state = self.lock();
        if let Some(reason) = state.closed() {
            return Admit::Refuse(Refusal::new(reason));
        }
        if request.deadline <= now {
            return Admit::Refuse(Refusal::new(RefusalReason::Deadline));
        }
        state.ramp.advance(now);
        let running = state.running;
        state.ramp.check_progress(running, now);
        let limit = state.limit();
        let suspect_waits = request.suspect && state.suspect_running;
        if state.running < limit && !suspect_waits {
            return Admit::Run(state.start(request.suspect));
        }
        if !state.queue.has_room(request.criticality, limit) {
            let reason = if suspect_waits {
                RefusalReason::SuspectBusy
            } else {
                RefusalReason::QueueFull
            };
            return Admit::Refuse(Refusal::new(reason).after(QUEUE_TIME));
        }
        let waiting = Waiting {
            id: state.next_waiter,
            until: request.deadline.min(now + QUEUE_TIME),
            deadline: request.deadline,
            suspect: request.suspect,
        };
        state.next_waiter += 1;
        state.queue.push(request.criticality, waiting);
        Admit::Wait(Waiter {
            id: waiting.id,
            until: waiting.until,
        })
    }

    /// Ends the wait of a request whose time is over or whose caller went away.
    /// Returns `None` when the decision was already made: it is in the [`Wake`]
    /// that the daemon passed on, and a ticket in it must be used or cancelled.
    pub fn give_up(&self, waiter: &Waiter) -> Option<Refusal> {
        let waiting = self.lock().queue.remove(waiter.id)?;
        Some(waiting.timed_out())
    }

    /// Gives back a ticket whose request was not handed over.
    pub fn cancel(&self, ticket: Ticket, now: Duration) -> Vec<Wake> {
        let mut state = self.lock();
        state.stop(ticket.suspect);
        state.wake(now)
    }

    /// Gives back a ticket whose request was not handed over because the target
    /// refused the connection. A target that was down is cold when it accepts
    /// again. Returns the refusal for the sender.
    pub fn connection_refused(&self, ticket: Ticket, now: Duration) -> (Refusal, Vec<Wake>) {
        self.lock().ramp.restart(now);
        let wakes = self.cancel(ticket, now);
        (Refusal::new(RefusalReason::TargetDown), wakes)
    }

    /// Takes note of how often the target has ended all its connections so far.
    /// One that did so since the last time may have crashed while no request
    /// ran, and is cold. To be called before [`TargetAdmission::admit`].
    pub fn see_losses(&self, losses: u64, now: Duration) {
        let mut state = self.lock();
        if state.losses != losses {
            state.losses = losses;
            state.ramp.restart(now);
        }
    }

    /// Ends a request that was handed over. Returns the decisions on waiting
    /// requests that the free slot allows.
    pub fn finish(&self, ticket: RunningTicket, outcome: RunOutcome, now: Duration) -> Vec<Wake> {
        let mut state = self.lock();
        let running = state.running;
        state.stop(ticket.suspect);
        let took = now.saturating_sub(ticket.started);
        match outcome {
            RunOutcome::Answered => {
                state.limit.record(took, running);
                state.ramp.record(took, now);
            }
            RunOutcome::Overloaded => {
                state.limit.record_overload();
                state.ramp.record_failure(now);
            }
            RunOutcome::Failed => state.ramp.record_failure(now),
            RunOutcome::Crashed => state.ramp.restart(now),
            RunOutcome::Cancelled => {}
        }
        state.wake(now)
    }

    /// Returns the requests that may run at once.
    pub fn limit(&self) -> u32 {
        self.lock().limit()
    }

    /// Returns the requests that run.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns the requests that wait.
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// Whether the target is limited because it is cold.
    pub fn is_cold(&self) -> bool {
        self.lock().ramp.is_cold()
    }

    /// Returns the capacity to report with a response: the requests that may run
    /// at once. Free slots would be out of date when the report arrives, and
    /// senders that divide by them leave a slow target too late.
    pub fn reported_capacity(&self) -> u32 {
        let state = self.lock();
        if state.closed().is_some() {
            return 0;
        }
        state.limit()
    }

    /// A panic while the lock was held leaves counters that are still usable.
    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting {
    fn timed_out(&self) -> Refusal {
        if self.until == self.deadline {
            Refusal::new(RefusalReason::Deadline)
        } else {
            Refusal::new(RefusalReason::QueueTimeout).after(QUEUE_TIME)
        }
    }
}

impl AdmissionState {
    fn closed(&self) -> Option<RefusalReason> {
        if self.leaving || self.stopping {
            Some(RefusalReason::Leaving)
        } else if self.domain_out {
            Some(RefusalReason::DomainOut)
        } else {
            None
        }
    }

    fn limit(&self) -> u32 {
        self.limit.limit().min(self.ramp.limit())
    }

    fn start(&mut self, suspect: bool) -> Ticket {
        self.running += 1;
        self.suspect_running |= suspect;
        Ticket { suspect }
    }

    fn stop(&mut self, suspect: bool) {
        self.running -= 1;
        if suspect {
            self.suspect_running = false;
        }
    }

    fn wake(&mut self, now: Duration) -> Vec<Wake> {
        let mut wakes = Vec::new();
        let closed = self.closed();
        while closed.is_some() || self.running < self.limit() {
            let allowed = closed.is_some() || !self.suspect_running;
            let Some(waiting) = self.queue.pop(allowed) else {
                break;
            };
            let decision = match closed {
                Some(reason) => Err(Refusal::new(reason)),
                None if waiting.until <= now => Err(waiting.timed_out()),
                None => Ok(self.start(waiting.suspect)),
            };
            wakes.push(Wake {
                waiter: waiting.id,
                decision,
            });
        }
        wakes
    }
}
