//! The owner of this host's target: it admits all requests for the target and
//! runs them.
//!
//! Requests from this host and from others pass the same admission, so the
//! target's limits hold even when senders have outdated information.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use arc_swap::ArcSwap;
use radishgauge_events::events;
use radishgauge_mesh::AdmissionDecision;
use radishgauge_mesh::AdmissionRequest;
use radishgauge_mesh::LoadReport;
use radishgauge_mesh::ServicePolicy;
use radishgauge_mesh::StateTable;
use radishgauge_mesh::SuspectTable;
use radishgauge_mesh::admission::AdmissionRefusal;
use radishgauge_mesh::admission::CloseReason;
use radishgauge_mesh::admission::QueueDecision;
use radishgauge_mesh::admission::RefuseReason;
use radishgauge_mesh::call_pressure::CalledQueue;
use radishgauge_mesh::scheduling::REFUSAL_MARGIN;
use radishgauge_net::ByteBudget;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetLimits;
use radishgauge_net::clock::ProcessClock;
use radishgauge_platform::HostSettings;
use radishgauge_platform::message::HealthReport;
use radishgauge_platform::message::MeshHeaders;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use crate::answer::NotRun;
use crate::answer::TargetOutcome;
use crate::daemon_memory::DaemonMemory;
use crate::fleet_scope::FleetScope;
use crate::hop;
use crate::node::lock;
use crate::origin::RunningRequest;
use crate::owner_state::OwnerState;
use crate::owner_suspects::SUSPECT_POLICY;
use crate::owner_suspects::SuspectCounters;
use crate::run_ledger::TargetRun;
use crate::slot::AdmittedRequest;
use crate::slot::QueuedRequest;
use crate::slot::RunningSlot;
use crate::suspect_exchange::SuspectNews;
use crate::target_call;
use crate::target_call::BufferedRequest;
use crate::target_call::TargetStatement;

/// How long a connection to the target may take to open. It is short because
/// the target is on this host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an unused connection to the target is kept open. Targets close idle
/// connections after several seconds; closing them earlier here avoids sending
/// a request on a connection that the target is closing.
const CONNECTION_IDLE: Duration = Duration::from_secs(4);

/// The greatest number of connections to the target. Admission limits those in
/// use to fewer; this also limits the ones that are being closed.
const MAX_CONNECTIONS: usize = 96;

/// The owner of this host's target.
pub struct TargetOwner {
    pub(crate) clock: Arc<dyn ProcessClock>,
    client: ArcSwap<TargetClient>,
    /// The memory for what others make this daemon hold.
    pub(crate) memory: DaemonMemory,
    state: Mutex<OwnerState>,
    /// Requests a health check of the target.
    pub check_requested: Notify,
    /// The requests under which targets have ended.
    pub suspects: SuspectTable,
    /// What was concluded about them.
    pub suspect_counters: SuspectCounters,
    /// What other owners must be told of such requests.
    pub(crate) news: Mutex<SuspectNews>,
    pub(crate) news_added: Notify,
    /// Held while it is found out whether the target has ended.
    pub(crate) end_check: tokio::sync::Mutex<()>,
    /// Held by the one request on trial that runs at the target.
    pub(crate) trial_turn: Semaphore,
}

impl TargetOwner {
    /// Returns the owner of a target whose registration is not known yet.
    pub fn new(settings: &HostSettings, clock: Arc<dyn ProcessClock>) -> TargetOwner {
        let memory = DaemonMemory::new(&settings.client_limits, settings.memory_limit);
        let state = OwnerState::new(clock.now());
        TargetOwner {
            clock,
            client: ArcSwap::from_pointee(client(settings.target_address, &memory.answers)),
            memory,
            state: Mutex::new(state),
            check_requested: Notify::new(),
            suspects: SuspectTable::new(SUSPECT_POLICY),
            suspect_counters: SuspectCounters::default(),
            news: Mutex::default(),
            news_added: Notify::new(),
            end_check: tokio::sync::Mutex::new(()),
            trial_turn: Semaphore::new(1),
        }
    }

    /// Returns the HTTP client for the target.
    pub fn client(&self) -> Arc<TargetClient> {
        self.client.load_full()
    }

    /// Changes the address of the target.
    pub fn set_target(&self, address: SocketAddr) {
        let client = client(address, &self.memory.answers);
        self.client.store(Arc::new(client));
        self.check_requested.notify_one();
    }

    /// Returns the configured policy of the target's service, if one is known.
    pub fn policy(&self) -> Option<ServicePolicy> {
        self.state().policy.clone()
    }

    /// Returns the target's load, as it is reported to senders.
    pub fn report(&self) -> LoadReport {
        self.state().admission.report(self.clock.now())
    }

    /// Returns the mean service time of a route, if one is known.
    pub fn route_service_time(&self, route: &str) -> Option<Duration> {
        self.state().admission.route_service_time(route)
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, usize) {
        let state = self.state();
        (state.admission.running(), state.admission.waiting())
    }

    /// Returns whether the target accepts no connections.
    pub fn is_down(&self) -> bool {
        self.state().down
    }

    /// Returns whether the target has been asked how it is since this daemon started, or
    /// cannot be asked, as the configuration does not have its service.
    pub fn knows_target(&self) -> bool {
        let state = self.state();
        state.is_asked || state.policy.is_none()
    }

    /// Records that a health check of the target has ended, with an answer or without one.
    pub fn finish_check(&self) {
        self.state().is_asked = true;
    }

    /// Returns the request with this ID that runs at the target; `None` if there is
    /// none.
    pub(crate) fn running_request(&self, request: &str) -> Option<RunningRequest> {
        self.state().runs.get(request).cloned()
    }

    /// Records that a call of a run was answered by an owner at which
    /// `waiting_priority` waits.
    pub(crate) fn record_call(&self, running: &RunningRequest, waiting_priority: Option<u32>) {
        let queue = CalledQueue::of(waiting_priority, running.urgency);
        let now = self.clock.now();
        let mut state = self.state();
        state.admission.record_call(&running.route, queue, now);
    }

    /// Returns whether the run of a request was given up at the time `since` or later,
    /// so that the target may still be at work on it.
    pub fn may_still_run(&self, request: &str, since: Duration) -> bool {
        self.state().interrupted.contains(request, since)
    }

    /// Stops admitting requests.
    pub fn stop(self: &Arc<Self>) {
        let mut state = self.state();
        state.stopping = true;
        state.update_closed();
        self.deliver_decisions(&mut state);
    }

    /// Applies the platform's state of the target, its service and its failure
    /// domain.
    pub fn refresh(self: &Arc<Self>, settings: &HostSettings, table: &StateTable, now: Duration) {
        let mut state = self.state();
        let policy = table
            .config()
            .and_then(|config| config.service(&settings.service));
        let is_first_policy = state.policy.is_none() && policy.is_some();
        state.policy = policy.cloned();
        if is_first_policy {
            state.assume_cold(now);
            self.check_requested.notify_one();
        }
        let fleet = FleetScope::new(settings, table);
        let records = table
            .targets()
            .filter(|record| record.address == settings.target_address && fleet.contains(record))
            .cloned()
            .collect();
        let had_target = !state.records.is_empty();
        if state.update_records(records, now) {
            self.check_requested.notify_one();
        }
        if had_target && state.records.is_empty() {
            // The target that the waiting requests name has left.
            for refusal in state.admission.refuse_waiting(CloseReason::Draining) {
                self.deliver(&mut state, refusal);
            }
        }
        let evacuated = table.is_evacuated(&settings.failure_domain);
        if state.domain_evacuated && !evacuated {
            // Targets may be cold when the evacuation of their failure domain
            // ends.
            state.assume_cold(now);
            self.check_requested.notify_one();
        }
        state.domain_evacuated = evacuated;
        state.update_closed();
        self.deliver_decisions(&mut state);
    }

    /// Records that the target does not accept connections.
    pub fn record_down(self: &Arc<Self>, error: &str) {
        let mut state = self.state();
        if !state.down {
            events::TARGET_DOWN.emit(format_args!("error={error}"));
            self.record_end(&mut state, error);
        }
        state.down = true;
        state.checked_id = None;
        state.answered_id = None;
        // Connections that are still open belong to the target's previous
        // incarnation.
        self.client().close_idle();
        state.update_closed();
        self.deliver_decisions(&mut state);
        self.check_requested.notify_one();
    }

    /// Records that the target answered a health check that was sent at the time
    /// `sent`. `connection_losses` is the target client's count from before the
    /// check.
    pub fn record_up(
        self: &Arc<Self>,
        report: &HealthReport,
        sent: Duration,
        connection_losses: u64,
    ) {
        let target = report.target.as_deref();
        let cold_left = report.cold_left;
        let now = self.clock.now();
        let mut state = self.state();
        if state.down {
            let id = target.unwrap_or("unknown");
            let cold_ms = cold_left.as_millis();
            events::TARGET_UP.emit(format_args!("target={id} cold_ms={cold_ms}"));
            state.ledger.record_up();
        }
        let is_new_target = target.is_some_and(|id| state.declared_by.as_deref() != Some(id));
        if is_new_target && !state.down && state.declared_by.is_some() {
            self.record_end(&mut state, "another target answers");
        }
        if state.down || is_new_target {
            // The limit of a former target or incarnation does not hold for this
            // one.
            state.admission.declared_mut().reset();
            // A target that leaves says so in all its answers, this one included.
            state.leaving.remove(target.unwrap_or_default());
            state.declared_by = target.map(SmolStr::from);
        }
        let statement = TargetStatement::of_check(report);
        state.apply_statement(target.unwrap_or_default(), statement, sent, now);
        state.down = false;
        // A check from before the latest registration may have met the target's
        // predecessor.
        let is_current = sent >= state.records_changed;
        state.checked_id = target.filter(|_| is_current).map(SmolStr::from);
        state.answered_id = target.map(SmolStr::from);
        state.update_limit();
        state.connection_losses = connection_losses;
        if cold_left.is_zero() {
            state.admission.cold_mut().set_warm();
        } else {
            let rate = state.cold_rate();
            let until = now + cold_left;
            let was_assumed = state.admission.cold_mut().is_assumed();
            state.admission.cold_mut().set_cold(until, rate);
            let cold_time = state.cold_time().checked_sub(cold_left);
            if let Some(cold_time) = cold_time {
                state.admission.cold_mut().record_cold_time(cold_time, sent);
            }
            if was_assumed {
                // Requests have waited for this answer in the hope of a warm target.
                for refusal in state.admission.refuse_overdue(now) {
                    self.deliver(&mut state, refusal);
                }
            }
        }
        state.update_closed();
        self.deliver_decisions(&mut state);
    }

    /// Runs a request at the target as soon as it is admitted. `admitted` is the
    /// reservation of a request that was offered first.
    pub async fn run(
        self: &Arc<Self>,
        request: &BufferedRequest,
        head: &HopHead,
        admitted: Option<AdmittedRequest>,
    ) -> TargetOutcome {
        let deadline = self.clock.now() + hop::stated_time(head.time_left_us);
        let prints = hop::prints(head, request);
        let software = self.state().software(&head.target);
        let is_reserved = admitted.is_some();
        let turn = self
            .trial_turn(&prints, software, is_reserved, deadline)
            .await;
        let _turn = match turn {
            Ok(turn) => turn,
            Err(refusal) => return TargetOutcome::NotRun(refusal),
        };
        let admitted = match admitted {
            Some(admitted) => Ok(admitted),
            None => self.admit(head),
        };
        let slot = match admitted {
            Ok(admitted) => admitted.slot().await,
            Err(refusal) => Err(refusal),
        };
        let mut slot = match slot {
            Ok(slot) => slot,
            Err(refusal) => return TargetOutcome::NotRun(refusal),
        };
        if let Some(reason) = self.state().withdrawal(&head.target) {
            return TargetOutcome::NotRun(NotRun::before_target(reason));
        }
        // The request may have been quarantined while it waited.
        if let Some(refusal) = self.quarantine(&prints, software) {
            return TargetOutcome::NotRun(refusal);
        }
        slot.started = self.clock.now();
        let run = self.begin_run(&head.route, &prints, software);
        let mut registration = RunRegistration::begin(self, &request.id, head);
        let left = deadline.saturating_sub(self.clock.now());
        let mesh_headers = MeshHeaders {
            target: &head.target,
            caller_service: &head.caller_service,
            time_left: left,
            tenant: (!head.tenant.is_empty()).then_some(head.tenant.as_str()),
        };
        let client = self.client();
        let sent = slot.started;
        let observe = |statement| self.record_statement(&head.target, statement, sent);
        let outcome = target_call::call(&client, request, &mesh_headers, left, observe).await;
        registration.has_ended = !matches!(outcome, TargetOutcome::MayHaveRun(_));
        if target_call::is_cut_off(&outcome) {
            self.explain_cut_off(&run).await;
        }
        self.finish_run(slot, head, &run, &outcome);
        outcome
    }

    /// Records what `target` states in an answer to a request that was sent at the
    /// time `sent`.
    pub fn record_statement(
        self: &Arc<Self>,
        target: &str,
        statement: TargetStatement,
        sent: Duration,
    ) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.apply_statement(target, statement, sent, now) {
            state.update_closed();
            self.deliver_decisions(&mut state);
        }
    }

    /// Returns whether a target has said in an answer that it leaves.
    pub fn is_leaving(&self, target: &str) -> bool {
        self.state().is_leaving(target)
    }

    /// Counts a health check of the target, and returns the least time until the
    /// next one.
    pub fn record_check(&self) -> Duration {
        let now = self.clock.now();
        let mut state = self.state();
        let declared = state.admission.declared_mut();
        declared.record(now);
        declared.check_interval()
    }

    /// Returns the rate limit that the target declares, in requests a second.
    pub fn declared_rate(&self) -> Option<f64> {
        self.state().admission.declared().per_second()
    }

    fn finish_run(
        self: &Arc<Self>,
        mut slot: RunningSlot,
        head: &HopHead,
        run: &TargetRun,
        outcome: &TargetOutcome,
    ) {
        match outcome {
            TargetOutcome::Answered(answer) => {
                let took = self.clock.now().saturating_sub(slot.started);
                self.record_answer(head, run, answer.status, took);
                slot.took = Some(took);
            }
            TargetOutcome::NotRun(refusal) if refusal.reason == HopReason::Down => {
                self.record_down("no connection");
            }
            TargetOutcome::NotRun(_) | TargetOutcome::MayHaveRun(_) => {}
        }
    }

    /// Decides on a request whose body may not have arrived yet.
    ///
    /// # Errors
    ///
    /// When the request is refused.
    pub fn admit(self: &Arc<Self>, head: &HopHead) -> Result<AdmittedRequest, NotRun> {
        let request = AdmissionRequest {
            route: SmolStr::from(head.route.as_str()),
            objective: hop::stated_time(head.objective_us),
            time_left: hop::stated_time(head.time_left_us),
            priority: head.priority,
            urgency: hop::urgency(head),
            is_call: head.call,
            is_late: head.late,
        };
        let connection_losses = self.client().connection_losses();
        let now = self.clock.now();
        let mut state = self.state();
        if let Some(reason) = state.absence(&head.target) {
            return Err(NotRun::before_target(reason));
        }
        if let Some(prints) = hop::sent_prints(head)
            && let Some(refusal) = self.quarantine(&prints, state.software(&head.target))
        {
            return Err(refusal);
        }
        if state.connection_losses != connection_losses {
            state.connection_losses = connection_losses;
            events::TARGET_RESTART_SUSPECTED.emit(format_args!("reason=all connections ended"));
            state.assume_cold(now);
            self.check_requested.notify_one();
        }
        match state.admission.decide(&request, now) {
            AdmissionDecision::Run => Ok(AdmittedRequest::Running(self.slot(&request.route))),
            AdmissionDecision::Refuse(refusal) => Err(not_run(refusal)),
            AdmissionDecision::Wait(key) => {
                let (sender, decision) = oneshot::channel();
                state.waiters.insert(key, sender);
                self.arm_timer(&mut state, now);
                Ok(AdmittedRequest::Queued(QueuedRequest {
                    owner: Arc::clone(self),
                    key: Some(key),
                    route: request.route,
                    refuse_at: now + request.time_left.saturating_sub(REFUSAL_MARGIN),
                    decision,
                }))
            }
        }
    }

    pub(crate) fn slot(self: &Arc<Self>, route: &SmolStr) -> RunningSlot {
        RunningSlot {
            owner: Arc::clone(self),
            route: route.clone(),
            started: self.clock.now(),
            took: None,
        }
    }

    /// Makes the due decisions on waiting requests and sends them to their
    /// waiters.
    pub(crate) fn deliver_decisions(self: &Arc<Self>, state: &mut OwnerState) {
        let now = self.clock.now();
        while let Some(queue_decision) = state.admission.decide_next(now) {
            self.deliver(state, queue_decision);
        }
        self.arm_timer(state, now);
    }

    /// Sends the decision on a waiting request to its waiter.
    fn deliver(&self, state: &mut OwnerState, queue_decision: QueueDecision) {
        let sent = state
            .waiters
            .remove(&queue_decision.key)
            .is_some_and(|sender| sender.send(queue_decision.decision).is_ok());
        if !sent && queue_decision.decision.is_ok() {
            // The waiter was dropped, so its slot is free again.
            state.admission.finish(&SmolStr::default(), None);
        }
    }

    /// Schedules the next decisions for when a cold target may receive its next
    /// request.
    fn arm_timer(self: &Arc<Self>, state: &mut OwnerState, now: Duration) {
        let Some(next) = state.admission.next_timer(now) else {
            return;
        };
        if state
            .timer
            .is_some_and(|armed| armed > now && armed <= next)
        {
            return;
        }
        state.timer = Some(next);
        let owner = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(next.saturating_sub(now)).await;
            let mut state = owner.state();
            state.timer = None;
            owner.deliver_decisions(&mut state);
        });
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, OwnerState> {
        lock(&self.state)
    }
}

/// Registers a run under the ID of its request until it is dropped.
struct RunRegistration<'a> {
    owner: &'a TargetOwner,
    request: &'a SmolStr,
    /// Whether the target has ended the run, as far as is known.
    has_ended: bool,
}

impl RunRegistration<'_> {
    fn begin<'a>(
        owner: &'a TargetOwner,
        request: &'a SmolStr,
        head: &HopHead,
    ) -> RunRegistration<'a> {
        let running = RunningRequest {
            route: SmolStr::from(head.route.as_str()),
            retried: head.repeated,
            urgency: hop::urgency(head),
        };
        owner.state().runs.insert(request.clone(), running);
        RunRegistration {
            owner,
            request,
            has_ended: false,
        }
    }
}

impl Drop for RunRegistration<'_> {
    fn drop(&mut self) {
        let now = self.owner.clock.now();
        let mut state = self.owner.state();
        state.runs.remove(self.request);
        if !self.has_ended {
            state.interrupted.record(self.request.clone(), now);
        }
    }
}

fn client(address: SocketAddr, answer_budget: &Arc<ByteBudget>) -> TargetClient {
    let limits = TargetLimits {
        connections: MAX_CONNECTIONS,
        connect: CONNECT_TIMEOUT,
        idle: CONNECTION_IDLE,
        ..TargetLimits::default()
    };
    TargetClient::with_budget(address, limits, Arc::clone(answer_budget))
}

pub(crate) fn hop_reason(reason: CloseReason) -> HopReason {
    match reason {
        CloseReason::Stopping => HopReason::Stopping,
        CloseReason::Draining => HopReason::Draining,
        CloseReason::DomainOut => HopReason::DomainOut,
        CloseReason::Down => HopReason::Down,
    }
}

pub(crate) fn not_run(refusal: AdmissionRefusal) -> NotRun {
    let reason = match refusal.reason {
        RefuseReason::Full => HopReason::Full,
        RefuseReason::Cold => HopReason::Cold,
        RefuseReason::RateLimited => HopReason::RateLimited,
        RefuseReason::Expired => HopReason::Expired,
        RefuseReason::Closed(reason) => hop_reason(reason),
    };
    NotRun {
        reason,
        retry_after: refusal.retry_after,
        reached_target: false,
    }
}
