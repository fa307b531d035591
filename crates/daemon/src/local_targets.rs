//! The targets on this host: their slots, waiting calls and running calls.
//!
//! The admission decisions are made in `radishgauge-traffic`. This module passes
//! them on to the waiting calls, and releases the slot of a call whose future is
//! dropped at any point.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use radishgauge_mesh::RunEvidence;
use radishgauge_mesh::WellRuns;
use radishgauge_mesh::suspect::SuspectRun;
use radishgauge_traffic::AdmissionDecision;
use radishgauge_traffic::AdmissionRequest;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::TargetAdmission;
use radishgauge_traffic::admit::AdmissionTicket;
use radishgauge_traffic::admit::RunOutcome;
use radishgauge_traffic::admit::Waiter;
use radishgauge_traffic::admit::Wake;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::clock::ProcessClock;

type Decision = Result<AdmissionTicket, Refusal>;

/// A target on this host.
pub struct LocalTarget {
    admission: Arc<TargetAdmission>,
    clock: Arc<dyn ProcessClock>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Decision>>>,
    running: Mutex<RunningCalls>,
}

#[derive(Default)]
struct RunningCalls {
    next: u64,
    calls: HashMap<u64, RunningCall>,
    /// The requests that cannot be the cause if the target crashes.
    well_runs: WellRuns,
}

struct RunningCall {
    run: SuspectRun,
    /// Whether a crash that included this call has already been reported.
    crash_reported: bool,
}

impl LocalTarget {
    fn new(admission: Arc<TargetAdmission>, clock: Arc<dyn ProcessClock>) -> LocalTarget {
        LocalTarget {
            admission,
            clock,
            waiting: Mutex::default(),
            running: Mutex::default(),
        }
    }

    /// Returns the admission control of the target.
    pub fn admission(&self) -> &TargetAdmission {
        &self.admission
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// The refusal of the request, which did not run.
    pub async fn acquire_slot(
        self: &Arc<Self>,
        request: &AdmissionRequest,
    ) -> Result<ReservedSlot, Refusal> {
        let (waiter, decision) = {
            // The lock is held while the request joins the queue, so that its
            // decision cannot arrive before the sender is in the map.
            let mut waiting = lock(&self.waiting);
            match self.admission.admit(request, self.clock.now()) {
                AdmissionDecision::Run(ticket) => return Ok(self.slot(ticket)),
                AdmissionDecision::Refuse(refusal) => return Err(refusal),
                AdmissionDecision::Wait(waiter) => {
                    let (sender, receiver) = oneshot::channel();
                    waiting.insert(waiter.id, sender);
                    (waiter, receiver)
                }
            }
        };
        self.wait(waiter, decision).await
    }

    async fn wait(
        self: &Arc<Self>,
        waiter: Waiter,
        decision: oneshot::Receiver<Decision>,
    ) -> Result<ReservedSlot, Refusal> {
        let mut queued = QueuedCall {
            target: self,
            waiter,
            decision: Some(decision),
        };
        let time = waiter.until.saturating_sub(self.clock.now());
        let Some(receiver) = queued.decision.as_mut() else {
            return Err(Refusal::new(RefusalReason::QueueTimeout));
        };
        if let Ok(Ok(decision)) = tokio::time::timeout(time, receiver).await {
            queued.decision = None;
            return decision.map(|ticket| self.slot(ticket));
        }
        // The wait has timed out, unless the decision was made at the same
        // moment.
        match self.admission.stop_waiting(&waiter) {
            Some(refusal) => Err(refusal),
            None => match queued
                .decision
                .take()
                .and_then(|mut late| late.try_recv().ok())
            {
                Some(decision) => decision.map(|ticket| self.slot(ticket)),
                None => Err(Refusal::new(RefusalReason::QueueTimeout)),
            },
        }
    }

    fn slot(self: &Arc<Self>, ticket: AdmissionTicket) -> ReservedSlot {
        ReservedSlot {
            target: Arc::clone(self),
            ticket: Some(ticket),
        }
    }

    fn wake(&self, wakes: Vec<Wake>) {
        let mut more_wakes = Vec::new();
        for wake in wakes {
            let sender = lock(&self.waiting).remove(&wake.waiter);
            let unused = match sender {
                Some(sender) => sender.send(wake.decision).err(),
                None => Some(wake.decision),
            };
            // The waiting call was dropped; its ticket goes to the next one.
            if let Some(Ok(ticket)) = unused {
                more_wakes.extend(self.admission.cancel(ticket, self.clock.now()));
            }
        }
        if !more_wakes.is_empty() {
            self.wake(more_wakes);
        }
    }

    /// Returns the runs that may have caused the crash when the connection of call
    /// `id` broke; `None` when the crash has already been reported.
    fn report_crash(&self, id: u64) -> Option<Vec<SuspectRun>> {
        let mut running = lock(&self.running);
        if running
            .calls
            .get(&id)
            .is_none_or(|call| call.crash_reported)
        {
            return None;
        }
        for call in running.calls.values_mut() {
            call.crash_reported = true;
        }
        let runs = running.calls.values().map(|call| call.run);
        let suspected = runs
            .filter(|run| !running.well_runs.contains(run.fingerprint))
            .collect();
        running.well_runs.clear();
        Some(suspected)
    }
}

/// A call in the admission queue; dropping the value removes it.
struct QueuedCall<'a> {
    target: &'a LocalTarget,
    waiter: Waiter,
    decision: Option<oneshot::Receiver<Decision>>,
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        lock(&self.target.waiting).remove(&self.waiter.id);
        let Some(mut decision) = self.decision.take() else {
            return;
        };
        if self.target.admission.stop_waiting(&self.waiter).is_none()
            && let Ok(Ok(ticket)) = decision.try_recv()
        {
            let wakes = self
                .target
                .admission
                .cancel(ticket, self.target.clock.now());
            self.target.wake(wakes);
        }
    }
}

/// A slot reserved for one request at a target; dropping the value releases it.
pub struct ReservedSlot {
    target: Arc<LocalTarget>,
    ticket: Option<AdmissionTicket>,
}

impl ReservedSlot {
    /// Marks the request as handed over to the target: it is in flight from now on.
    ///
    /// # Panics
    ///
    /// Never: the ticket is removed only here and when the slot is dropped.
    pub fn hand_over(mut self, run: SuspectRun) -> RunningSlot {
        let ticket = self.ticket.take().expect("a slot is handed over once");
        let id = {
            let mut running = lock(&self.target.running);
            running.next += 1;
            let id = running.next;
            running.calls.insert(
                id,
                RunningCall {
                    run,
                    crash_reported: false,
                },
            );
            id
        };
        RunningSlot {
            target: Arc::clone(&self.target),
            ticket: Some(ticket),
            started: self.target.clock.now(),
            id,
        }
    }
}

impl Drop for ReservedSlot {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let wakes = self
                .target
                .admission
                .cancel(ticket, self.target.clock.now());
            self.target.wake(wakes);
        }
    }
}

/// A request that runs at a target; dropping the value cancels it.
pub struct RunningSlot {
    target: Arc<LocalTarget>,
    ticket: Option<AdmissionTicket>,
    started: Duration,
    id: u64,
}

impl RunningSlot {
    /// Returns the runs that may have caused the crash when the connection of this
    /// call broke; `None` when another call has reported the crash.
    pub fn report_crash(&self) -> Option<Vec<SuspectRun>> {
        self.target.report_crash(self.id)
    }

    /// Returns the target's capacity, in concurrent requests, that the answer
    /// reports to the sender.
    pub fn capacity(&self) -> u32 {
        self.target.admission.reported_capacity()
    }

    /// Releases the slot and records the outcome of a request that was not answered.
    pub fn finish(mut self, outcome: RunOutcome) {
        self.end(outcome);
    }

    /// Releases the slot and records the outcome of a request that was answered.
    /// Returns its run.
    pub fn finish_answered(
        mut self,
        outcome: RunOutcome,
        evidence: RunEvidence,
    ) -> Option<SuspectRun> {
        let run = self.end(outcome)?;
        let mut running = lock(&self.target.running);
        running.well_runs.record(run.fingerprint, evidence);
        Some(run)
    }

    /// Releases the slot of a request of which no byte was sent to the target.
    pub fn not_sent(mut self) -> Refusal {
        let Some(ticket) = self.ticket.take() else {
            return Refusal::new(RefusalReason::QueueFull);
        };
        self.remove_running();
        let now = self.target.clock.now();
        let (refusal, wakes) = self.target.admission.connection_refused(ticket, now);
        self.target.wake(wakes);
        refusal
    }

    /// Returns the run if it was not ended before.
    fn end(&mut self, outcome: RunOutcome) -> Option<SuspectRun> {
        let ticket = self.ticket.take()?;
        let call = self.remove_running();
        let ticket = ticket.hand_over(self.started);
        let now = self.target.clock.now();
        let wakes = self.target.admission.finish(ticket, outcome, now);
        self.target.wake(wakes);
        call.map(|call| call.run)
    }

    fn remove_running(&self) -> Option<RunningCall> {
        lock(&self.target.running).calls.remove(&self.id)
    }
}

impl Drop for RunningSlot {
    fn drop(&mut self) {
        self.end(RunOutcome::Cancelled);
    }
}

/// The targets on this host, by service.
#[derive(Default)]
pub struct LocalTargets {
    targets: Mutex<HashMap<SmolStr, Arc<LocalTarget>>>,
}

impl LocalTargets {
    /// Returns the target of a service, creating it when it is new or when
    /// `admission` is not that of the stored target.
    pub fn get(
        &self,
        service: &SmolStr,
        admission: &Arc<TargetAdmission>,
        clock: &Arc<dyn ProcessClock>,
    ) -> Arc<LocalTarget> {
        let mut targets = lock(&self.targets);
        if let Some(target) = targets.get(service)
            && Arc::ptr_eq(&target.admission, admission)
        {
            return Arc::clone(target);
        }
        let target = Arc::new(LocalTarget::new(Arc::clone(admission), Arc::clone(clock)));
        targets.insert(service.clone(), Arc::clone(&target));
        target
    }

    /// Returns the number of calls that run at the targets on this host.
    pub fn running(&self) -> usize {
        lock(&self.targets)
            .values()
            .map(|target| lock(&target.running).calls.len())
            .sum()
    }
}

/// Locks a mutex, ignoring poison: a panic while it is locked leaves these maps
/// valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
