//! Admission control at the daemon on the target's host.
//!
//! All requests to a target pass through its daemon. The concurrency limit, the
//! ramp, the queue and the refusals for a failure domain that is out of service
//! are therefore enforced here, even when a sender's configuration is out of
//! date. Each operation takes constant time under one lock per target, which is
//! never held across I/O.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use radishgauge_config::model::Criticality;
use radishgauge_config::model::PolicyModel;
use radishgauge_config::model::ServiceModel;

use crate::limit::ConcurrencyLimit;
use crate::queue::AdmissionQueue;
use crate::queue::MAX_QUEUE_TIME;
use crate::queue::QueuedRequest;
use crate::ramp::TargetRamp;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// The properties of a request that admission depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// How important the request is; less critical requests are shed first.
    pub criticality: Criticality,
    /// The time at which the caller stops waiting, on the same clock as `now`.
    pub deadline: Duration,
    /// Whether the request was in flight when a target crashed; a target runs at
    /// most one such request at a time.
    pub suspect: bool,
}

/// The decision about a new request.
#[derive(Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run now.
    Run(AdmissionTicket),
    /// The request is queued; a later [`Wake`] contains the final decision.
    Wait(Waiter),
    /// The request is refused and was not run.
    Refuse(Refusal),
}

/// Permission to run one request that was not handed over to the target yet.
///
/// The slot is freed by [`TargetAdmission::cancel`], or by
/// [`AdmissionTicket::hand_over`] followed by [`TargetAdmission::finish`].
/// Dropping a ticket doesn't free its slot.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket that is dropped keeps its slot"]
pub struct AdmissionTicket {
    suspect: bool,
}

impl AdmissionTicket {
    /// Marks the request as handed over to the target. From now on it may have
    /// run, so that it can no longer be refused.
    pub fn hand_over(self, now: Duration) -> RunningTicket {
        RunningTicket {
            suspect: self.suspect,
            started: now,
        }
    }
}

/// The slot of a request that was handed over to the target.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket that is dropped keeps its slot"]
pub struct RunningTicket {
    suspect: bool,
    started: Duration,
}

/// A request that is queued for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// Identifies the request in a [`Wake`].
    pub id: u64,
    /// The time at which the daemon must call [`TargetAdmission::stop_waiting`].
    pub until: Duration,
}

/// The decision about a request that was queued.
#[derive(Debug, PartialEq, Eq)]
pub struct Wake {
    /// The request's [`Waiter::id`].
    pub waiter: u64,
    /// The permission to run, or why the request is refused.
    pub decision: Result<AdmissionTicket, Refusal>,
}

/// How a request ended after it was handed over to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target sent a complete response that doesn't report an overload.
    Answered,
    /// The target responded that it is overloaded.
    Overloaded,
    /// The target responded with a server error; its response time is not
    /// recorded.
    Failed,
    /// The connection broke while the request ran.
    Crashed,
    /// The caller disconnected or its deadline passed.
    Cancelled,
}

/// The admission control of one target.
#[derive(Debug)]
pub struct TargetAdmission {
    state: Mutex<AdmissionState>,
}

#[derive(Debug)]
struct AdmissionState {
    domain_out: bool,
    leaving: bool,
    /// Set when this daemon starts its own shutdown, which a host list may not
    /// show yet.
    stopping: bool,
    running: u32,
    suspect_running: bool,
    limit: ConcurrencyLimit,
    ramp: TargetRamp,
    queue: AdmissionQueue,
    next_waiter: u64,
    /// How many times the target has closed all its connections.
    connection_losses: u64,
}

impl TargetAdmission {
    /// Returns the admission control of a target that is cold.
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
                connection_losses: 0,
            }),
        }
    }

    /// Applies a new configuration. A target whose failure domain returns to
    /// service is treated as cold. Running requests are not interrupted.
    pub fn configure(
        &self,
        service: &ServiceModel,
        policy: &PolicyModel,
        domain_out: bool,
        leaving: bool,
        now: Duration,
    ) {
        let mut state = self.lock();
        state.limit.set_declared_slots(service.slots);
        state
            .ramp
            .configure(service.cold_start_slots, service.slots, policy.ramp_step);
        if state.domain_out && !domain_out {
            state.ramp.restart(now);
        }
        state.domain_out = domain_out;
        state.leaving = leaving;
    }

    /// Refuses all new requests from now on, at the start of a graceful shutdown
    /// of the daemon. A later configuration doesn't undo this.
    pub fn stop_admitting(&self) {
        self.lock().stopping = true;
    }

    /// Runs, queues or refuses a request.
    pub fn admit(&self, request: &AdmissionRequest, now: Duration) -> AdmissionDecision {
        let mut state = self.lock();
        if let Some(reason) = state.closed_reason() {
            return AdmissionDecision::Refuse(Refusal::new(reason));
        }
        if request.deadline <= now {
            return AdmissionDecision::Refuse(Refusal::new(RefusalReason::Deadline));
        }
        state.ramp.advance(now);
        let running = state.running;
        state.ramp.check_progress(running, now);
        let limit = state.limit();
        let suspect_must_wait = request.suspect && state.suspect_running;
        if state.running < limit && !suspect_must_wait {
            return AdmissionDecision::Run(state.start(request.suspect));
        }
        if !state.queue.has_capacity(request.criticality, limit) {
            let reason = if suspect_must_wait {
                RefusalReason::SuspectBusy
            } else {
                RefusalReason::QueueFull
            };
            return AdmissionDecision::Refuse(
                Refusal::new(reason).with_retry_after(MAX_QUEUE_TIME),
            );
        }
        let queued = QueuedRequest {
            id: state.next_waiter,
            until: request.deadline.min(now + MAX_QUEUE_TIME),
            deadline: request.deadline,
            suspect: request.suspect,
        };
        state.next_waiter += 1;
        state.queue.push(request.criticality, queued);
        AdmissionDecision::Wait(Waiter {
            id: queued.id,
            until: queued.until,
        })
    }

    /// Removes a request from the queue because its time has passed or its
    /// caller disconnected. Returns `None` when the request had already left the
    /// queue; its decision is then in a [`Wake`], and a ticket in that must be
    /// used or cancelled.
    pub fn stop_waiting(&self, waiter: &Waiter) -> Option<Refusal> {
        let queued = self.lock().queue.remove(waiter.id)?;
        Some(queued.timeout_refusal())
    }

    /// Frees the slot of a request that was not handed over. Returns the
    /// decisions about queued requests that this allows.
    pub fn cancel(&self, ticket: AdmissionTicket, now: Duration) -> Vec<Wake> {
        let mut state = self.lock();
        state.stop(ticket.suspect);
        state.wake(now)
    }

    /// Frees the slot of a request that was not handed over because the target
    /// refused the connection. The target was down, so that it will be cold when
    /// it accepts connections again. Returns the refusal for the sender and the
    /// decisions about queued requests.
    pub fn connection_refused(
        &self,
        ticket: AdmissionTicket,
        now: Duration,
    ) -> (Refusal, Vec<Wake>) {
        self.lock().ramp.restart(now);
        let wakes = self.cancel(ticket, now);
        (Refusal::new(RefusalReason::TargetDown), wakes)
    }

    /// Restarts the ramp when `connection_losses`, the number of times that the
    /// target has closed all its connections, has changed since the last call.
    /// The target may have crashed while no request was running, and is then
    /// cold. Must be called before [`TargetAdmission::admit`].
    pub fn record_connection_losses(&self, connection_losses: u64, now: Duration) {
        let mut state = self.lock();
        if state.connection_losses != connection_losses {
            state.connection_losses = connection_losses;
            state.ramp.restart(now);
        }
    }

    /// Frees the slot of a request that was handed over. Returns the decisions
    /// about queued requests that this allows.
    pub fn finish(&self, ticket: RunningTicket, outcome: RunOutcome, now: Duration) -> Vec<Wake> {
        let mut state = self.lock();
        let running = state.running;
        state.stop(ticket.suspect);
        let response_time = now.saturating_sub(ticket.started);
        match outcome {
            RunOutcome::Answered => {
                state.limit.record(response_time, running);
                state.ramp.record(response_time, now);
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

    /// Returns the number of requests that may run concurrently.
    pub fn limit(&self) -> u32 {
        self.lock().limit()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// Returns whether the target is limited because it is cold.
    pub fn is_cold(&self) -> bool {
        self.lock().ramp.is_cold()
    }

    /// Returns the capacity to report with a response: the number of requests
    /// that may run concurrently, or 0 when no request is admitted. The number
    /// of free slots would be out of date on arrival, and senders that divide
    /// by it would move away from a slow target too late.
    pub fn reported_capacity(&self) -> u32 {
        let state = self.lock();
        if state.closed_reason().is_some() {
            return 0;
        }
        state.limit()
    }

    /// Ignores poisoning: the counters are still usable after a panic of a
    /// thread that held the lock.
    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueuedRequest {
    fn timeout_refusal(&self) -> Refusal {
        if self.until == self.deadline {
            Refusal::new(RefusalReason::Deadline)
        } else {
            Refusal::new(RefusalReason::QueueTimeout).with_retry_after(MAX_QUEUE_TIME)
        }
    }
}

impl AdmissionState {
    fn closed_reason(&self) -> Option<RefusalReason> {
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

    fn start(&mut self, suspect: bool) -> AdmissionTicket {
        self.running += 1;
        self.suspect_running |= suspect;
        AdmissionTicket { suspect }
    }

    fn stop(&mut self, suspect: bool) {
        self.running -= 1;
        if suspect {
            self.suspect_running = false;
        }
    }

    fn wake(&mut self, now: Duration) -> Vec<Wake> {
        let mut wakes = Vec::new();
        let closed_reason = self.closed_reason();
        while closed_reason.is_some() || self.running < self.limit() {
            let suspect_allowed = closed_reason.is_some() || !self.suspect_running;
            let Some(queued) = self.queue.pop(suspect_allowed) else {
                break;
            };
            let decision = match closed_reason {
                Some(reason) => Err(Refusal::new(reason)),
                None if queued.until <= now => Err(queued.timeout_refusal()),
                None => Ok(self.start(queued.suspect)),
            };
            wakes.push(Wake {
                waiter: queued.id,
                decision,
            });
        }
        wakes
    }
}
