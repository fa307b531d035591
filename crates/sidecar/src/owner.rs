//! The target of this host, and everything that runs at it.
//!
//! Requests of this host and of others pass the same admission, so the target's
//! limits hold whatever senders believe.

use std::collections::HashMap;
use std::collections::VecDeque;
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
use radishgauge_mesh::LocalAdmission;
use radishgauge_mesh::ServicePolicy;
use radishgauge_mesh::StateTable;
use radishgauge_mesh::TargetRecord;
use radishgauge_mesh::admission::AdmissionRefusal;
use radishgauge_mesh::admission::CloseReason;
use radishgauge_mesh::admission::RefuseReason;
use radishgauge_mesh::admission::WaitKey;
use radishgauge_net::TargetClient;
use radishgauge_net::TargetLimits;
use radishgauge_net::clock::ProcessClock;
use radishgauge_platform::HostSettings;
use radishgauge_platform::message::MeshHeaders;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::answer::NotRun;
use crate::answer::TargetOutcome;
use crate::node::lock;
use crate::slot::QueuedRequest;
use crate::slot::RunningSlot;
use crate::target_call;
use crate::target_call::WholeRequest;

/// The capacity that is assumed of a target before it is known.
const UNKNOWN_CAPACITY: u32 = 4;

/// How long a connection to the target may take to open; it is on this host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an unused connection to the target is kept. Targets close theirs
/// after some seconds, and a request must not cross that.
const CONNECTION_IDLE: Duration = Duration::from_secs(4);

/// The greatest number of connections to the target. Admission keeps fewer in
/// use; this bounds those that are just being closed.
const CONNECTIONS: usize = 96;

/// How long before its caller gives up a waiting request is refused, so that
/// the refusal arrives in time, also from another region.
const REFUSAL_TIME: Duration = Duration::from_millis(60);

/// Identities of former targets that are remembered, so that a sender with an
/// older state is told.
const FORMER_TARGETS: usize = 64;

/// What is known of the target, and what runs at it.
pub(crate) struct OwnerState {
    pub(crate) admission: LocalAdmission,
    pub(crate) waiters: HashMap<WaitKey, oneshot::Sender<Result<(), AdmissionRefusal>>>,
    /// The targets that registered with this host's target address.
    records: Vec<TargetRecord>,
    former: VecDeque<SmolStr>,
    policy: Option<ServicePolicy>,
    stopping: bool,
    domain_out: bool,
    down: bool,
    /// The requests that run at the target, and whether each is a repeat.
    runs: HashMap<SmolStr, bool>,
    /// How often the target had ended all its connections.
    losses: u64,
    timer: Option<Duration>,
}

/// The target of this host.
pub struct TargetOwner {
    pub(crate) clock: Arc<dyn ProcessClock>,
    client: ArcSwap<TargetClient>,
    state: Mutex<OwnerState>,
    /// Asks for a health check of the target.
    pub check: Notify,
}

impl TargetOwner {
    /// Returns the owner of a target of which nothing is known yet.
    pub fn new(settings: &HostSettings, clock: Arc<dyn ProcessClock>) -> TargetOwner {
        TargetOwner {
            clock,
            client: ArcSwap::from_pointee(client(settings.target_address)),
            state: Mutex::new(OwnerState {
                admission: LocalAdmission::new(UNKNOWN_CAPACITY),
                waiters: HashMap::new(),
                records: Vec::new(),
                former: VecDeque::new(),
                policy: None,
                stopping: false,
                domain_out: false,
                down: false,
                runs: HashMap::new(),
                losses: 0,
                timer: None,
            }),
            check: Notify::new(),
        }
    }

    /// Returns the client of the target.
    pub fn client(&self) -> Arc<TargetClient> {
        self.client.load_full()
    }

    /// Owns the target at another address from here on.
    pub fn set_target(&self, address: SocketAddr) {
        self.client.store(Arc::new(client(address)));
        self.check.notify_one();
    }

    /// Returns what the configuration says of the target's service.
    pub fn policy(&self) -> Option<ServicePolicy> {
        self.state().policy.clone()
    }

    /// Returns the target's load.
    pub fn report(&self) -> LoadReport {
        self.state().admission.report(self.clock.now())
    }

    /// Returns the requests that run and wait.
    pub fn load(&self) -> (u32, usize) {
        let state = self.state();
        (state.admission.running(), state.admission.waiting())
    }

    /// Whether the target accepts no connections.
    pub fn is_down(&self) -> bool {
        self.state().down
    }

    /// Returns whether a request that runs at the target is a repeat; `None`
    /// when none of that identity runs.
    pub fn is_repeated_run(&self, request: &str) -> Option<bool> {
        self.state().runs.get(request).copied()
    }

    /// Takes no new work from here on.
    pub fn stop(self: &Arc<Self>) {
        let mut state = self.state();
        state.stopping = true;
        state.close_or_open();
        self.decide(&mut state);
    }

    /// Takes over what the platform says of the target, its service and its
    /// failure domain.
    pub fn refresh(self: &Arc<Self>, settings: &HostSettings, book: &StateTable, now: Duration) {
        let mut state = self.state();
        let policy = book
            .config()
            .and_then(|config| config.service(&settings.service));
        if state.policy.is_none() && policy.is_some() {
            // The target may have started with this daemon.
            state.suspect(now);
            self.check.notify_one();
        }
        state.policy = policy.cloned();
        let records = book
            .targets()
            .filter(|record| record.address == settings.target_address)
            .cloned()
            .collect();
        state.take_records(records, now);
        let out = book.is_evacuated(&settings.failure_domain);
        if state.domain_out && !out {
            // Targets of a failure domain that returns may be cold.
            state.suspect(now);
            self.check.notify_one();
        }
        state.domain_out = out;
        state.close_or_open();
        self.decide(&mut state);
    }

    /// Records that the target does not accept connections.
    pub fn record_down(self: &Arc<Self>, error: &str) {
        let mut state = self.state();
        if !state.down {
            events::TARGET_DOWN.emit(format_args!("error={error}"));
        }
        state.down = true;
        // What is still open leads to the life before.
        self.client().close_idle();
        state.close_or_open();
        self.decide(&mut state);
        self.check.notify_one();
    }

    /// Records that the target answered a health check.
    pub fn record_up(self: &Arc<Self>, target: Option<&str>, cold_left: Duration, losses: u64) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.down {
            let id = target.unwrap_or("unknown");
            let cold_ms = cold_left.as_millis();
            events::TARGET_UP.emit(format_args!("target={id} cold_ms={cold_ms}"));
        }
        state.down = false;
        state.losses = losses;
        if cold_left.is_zero() {
            state.admission.cold_mut().set_warm();
        } else {
            let rate = state.cold_rate();
            let until = now + cold_left;
            state.admission.cold_mut().set_cold(until, rate);
        }
        state.close_or_open();
        self.decide(&mut state);
    }

    /// Runs a request at the target, when its turn comes.
    pub async fn run(self: &Arc<Self>, request: &WholeRequest, head: &HopHead) -> TargetOutcome {
        let arrived = self.clock.now();
        let time_left = Duration::from_micros(head.time_left_us);
        let deadline = arrived + time_left;
        let offer = AdmissionRequest {
            route: SmolStr::from(head.route.as_str()),
            objective: Duration::from_micros(head.objective_us),
            time_left,
            priority: head.priority,
        };
        let slot = match self.acquire(&head.target, &offer).await {
            Ok(slot) => slot,
            Err(refusal) => return TargetOutcome::NotRun(refusal),
        };
        let _run = KnownRun::begin(self, &request.id, head.repeated);
        let left = deadline.saturating_sub(self.clock.now());
        let orders = MeshHeaders {
            target: &head.target,
            caller_service: &head.caller_service,
            time_left: left,
        };
        let client = self.client();
        let outcome = target_call::call(&client, request, &orders, left).await;
        self.conclude(slot, &outcome);
        outcome
    }

    fn conclude(self: &Arc<Self>, mut slot: RunningSlot, outcome: &TargetOutcome) {
        match outcome {
            TargetOutcome::Answered(_) => {
                slot.took = Some(self.clock.now().saturating_sub(slot.started));
            }
            TargetOutcome::NotRun(refusal) if refusal.reason == HopReason::Down => {
                self.record_down("no connection");
            }
            TargetOutcome::NotRun(_) | TargetOutcome::MayHaveRun(_) => {}
        }
    }

    async fn acquire(
        self: &Arc<Self>,
        target: &str,
        offer: &AdmissionRequest,
    ) -> Result<RunningSlot, NotRun> {
        let losses = self.client().connection_losses();
        let waiter = {
            let now = self.clock.now();
            let mut state = self.state();
            if state.is_former(target) {
                return Err(NotRun::unseen(HopReason::Draining));
            }
            if state.losses != losses {
                state.losses = losses;
                events::TARGET_RESTART_SUSPECTED.emit(format_args!("reason=all connections ended"));
                state.suspect(now);
                self.check.notify_one();
            }
            match state.admission.decide(offer, now) {
                AdmissionDecision::Run => return Ok(self.slot(&offer.route)),
                AdmissionDecision::Refuse(refusal) => return Err(not_run(refusal)),
                AdmissionDecision::Wait(key) => {
                    let (sender, decision) = oneshot::channel();
                    state.waiters.insert(key, sender);
                    self.arm_timer(&mut state, now);
                    QueuedRequest {
                        owner: self,
                        key: Some(key),
                        route: &offer.route,
                        until: now + offer.time_left.saturating_sub(REFUSAL_TIME),
                        decision,
                    }
                }
            }
        };
        waiter.wait().await
    }

    pub(crate) fn slot(self: &Arc<Self>, route: &SmolStr) -> RunningSlot {
        RunningSlot {
            owner: Arc::clone(self),
            route: route.clone(),
            started: self.clock.now(),
            took: None,
        }
    }

    /// Makes the decisions that are due on waiting requests.
    pub(crate) fn decide(self: &Arc<Self>, state: &mut OwnerState) {
        let now = self.clock.now();
        while let Some(popped) = state.admission.decide_next(now) {
            let sent = state
                .waiters
                .remove(&popped.key)
                .is_some_and(|sender| sender.send(popped.decision).is_ok());
            if !sent && popped.decision.is_ok() {
                // Its caller has gone; the slot is free again.
                state.admission.finish(&SmolStr::default(), None);
            }
        }
        self.arm_timer(state, now);
    }

    /// Wakes up when a cold target bears the next request.
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
            owner.decide(&mut state);
        });
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, OwnerState> {
        lock(&self.state)
    }
}

/// Lets a run be found by the identity of its request until it is dropped.
struct KnownRun<'a> {
    owner: &'a TargetOwner,
    request: &'a SmolStr,
}

impl KnownRun<'_> {
    fn begin<'a>(owner: &'a TargetOwner, request: &'a SmolStr, repeated: bool) -> KnownRun<'a> {
        owner.state().runs.insert(request.clone(), repeated);
        KnownRun { owner, request }
    }
}

impl Drop for KnownRun<'_> {
    fn drop(&mut self) {
        self.owner.state().runs.remove(self.request);
    }
}

fn client(address: SocketAddr) -> TargetClient {
    TargetClient::new(
        address,
        TargetLimits {
            connections: CONNECTIONS,
            connect: CONNECT_TIMEOUT,
            idle: CONNECTION_IDLE,
            ..TargetLimits::default()
        },
    )
}

impl OwnerState {
    fn cold_rate(&self) -> f64 {
        self.policy.as_ref().map_or(1.0, |policy| policy.cold_rate)
    }

    /// Takes the target for cold until a health check says otherwise.
    fn suspect(&mut self, now: Duration) {
        let time = self
            .policy
            .as_ref()
            .map_or(Duration::ZERO, |policy| policy.cold_time);
        let rate = self.cold_rate();
        self.admission.cold_mut().set_cold(now + time, rate);
    }

    fn take_records(&mut self, records: Vec<TargetRecord>, now: Duration) {
        for old in &self.records {
            if !records.iter().any(|record| record.id == old.id) {
                self.former.push_back(old.id.clone());
            }
        }
        while self.former.len() > FORMER_TARGETS {
            self.former.pop_front();
        }
        for record in &records {
            self.former.retain(|id| *id != record.id);
            let known = self.records.iter().find(|old| old.same_incarnation(record));
            let newly_cold = known.is_none_or(|old| old.cold_left != record.cold_left);
            if newly_cold && !record.cold_left.is_zero() {
                let rate = self.cold_rate();
                let until = now + record.cold_left;
                self.admission.cold_mut().set_cold(until, rate);
            }
        }
        if let Some(record) = records.iter().find(|record| !record.draining) {
            self.admission.set_limit(record.capacity);
        }
        self.records = records;
    }

    /// Whether a target that a sender names is known to have left.
    fn is_former(&self, target: &str) -> bool {
        let record = self.records.iter().find(|record| record.id == target);
        match record {
            Some(record) => record.draining,
            None => self.former.iter().any(|id| id == target),
        }
    }

    fn close_or_open(&mut self) {
        let drained = !self.records.is_empty() && self.records.iter().all(|record| record.draining);
        let closed = if self.stopping {
            Some(CloseReason::Stopping)
        } else if self.domain_out {
            Some(CloseReason::DomainOut)
        } else if drained {
            Some(CloseReason::Draining)
        } else if self.down {
            Some(CloseReason::Down)
        } else {
            None
        };
        self.admission.set_closed(closed);
    }
}

pub(crate) fn not_run(refusal: AdmissionRefusal) -> NotRun {
    let reason = match refusal.reason {
        RefuseReason::Full => HopReason::Full,
        RefuseReason::Cold => HopReason::Cold,
        RefuseReason::Expired => HopReason::Expired,
        RefuseReason::Closed(CloseReason::Stopping) => HopReason::Stopping,
        RefuseReason::Closed(CloseReason::Draining) => HopReason::Draining,
        RefuseReason::Closed(CloseReason::DomainOut) => HopReason::DomainOut,
        RefuseReason::Closed(CloseReason::Down) => HopReason::Down,
    };
    NotRun {
        reason,
        retry_after: refusal.retry_after,
        reached_target: false,
    }
}
