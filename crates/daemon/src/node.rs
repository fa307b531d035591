//! The state that the traffic threads of one daemon share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use opentelemetry::trace::SpanKind;
use radishgauge_control::ControlEvent;
use radishgauge_mesh::SuspectTable;
use radishgauge_mesh::suspect::SuspectPolicy;
use radishgauge_schema::settings::LimitSettings;
use radishgauge_traffic::CallTree;
use radishgauge_traffic::LocalHost;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::RetryBudget;
use radishgauge_traffic::TargetPicker;
use radishgauge_traffic::staleness::StalenessDecision;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::clock::ProcessClock;
use crate::control_loop::ControlHandle;
use crate::control_loop::ControlInput;
use crate::keyed::KeyRuns;
use crate::local_targets::LocalTargets;
use crate::meters::CallMeters;
use crate::publish::PublishedVersion;
use crate::publish::SharedState;
use crate::sessions::SessionPool;
use crate::targets::TargetClients;
use crate::traces::HopSpan;
use crate::traces::HopTracer;

/// The interval at which a held call checks again whether the configuration may
/// be stale.
const STALENESS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The number of targets that end under a request before it is quarantined.
const QUARANTINE_ENDS: usize = 2;

/// The state of one daemon that its traffic threads share.
pub struct DaemonNode {
    /// The host, the region and the failure domain of this daemon.
    pub local: LocalHost,
    /// The start time of the daemon in ms since the Unix epoch.
    pub incarnation: u64,
    /// The monotonic clock of the process.
    pub clock: Arc<dyn ProcessClock>,
    /// The state that the control thread publishes.
    pub state: Arc<SharedState>,
    /// Sends events and requests to the control thread.
    pub control: ControlHandle,
    /// The sessions over which calls are sent to other daemons.
    pub pool: SessionPool,
    /// Selects the targets of calls.
    pub picker: TargetPicker,
    /// Limits the retries of this daemon.
    pub budget: RetryBudget,
    /// Counts the child calls of each running call.
    pub tree: CallTree,
    /// The requests that were in flight when a target crashed.
    pub suspects: SuspectTable,
    /// Admission and running calls of the targets on this host.
    pub local_targets: LocalTargets,
    /// The HTTP clients of the targets on this host.
    pub targets: TargetClients,
    /// The runs in progress of idempotency keys that this daemon owns.
    pub runs: KeyRuns,
    /// The counters of this daemon.
    pub meters: Arc<CallMeters>,
    /// Creates trace spans; `None` when the settings name no collector.
    pub tracer: Option<HopTracer>,
    /// Limits on the size of requests and on the number of calls under way.
    pub limits: LimitSettings,
    /// The number of calls and background tasks that a stop waits for.
    pub under_way: AtomicUsize,
    /// Notified when a call or a background task ends.
    pub ended: Notify,
    /// The next number that identifies a call, a retry decision or a crash.
    pub sequence: AtomicU64,
    stopping: AtomicBool,
    stopped: AtomicBool,
}

/// A call or a background task that a stop waits for; it ends when the value is
/// dropped.
pub struct PendingWork {
    node: Arc<DaemonNode>,
}

impl Drop for PendingWork {
    fn drop(&mut self) {
        self.node.under_way.fetch_sub(1, Ordering::AcqRel);
        self.node.ended.notify_waiters();
    }
}

/// The arguments of [`DaemonNode::new`].
pub struct NodeResources {
    /// The host, the region and the failure domain of this daemon.
    pub local: LocalHost,
    /// The start time of the daemon in ms since the Unix epoch.
    pub incarnation: u64,
    /// The monotonic clock of the process.
    pub clock: Arc<dyn ProcessClock>,
    /// The state that the control thread publishes.
    pub state: Arc<SharedState>,
    /// Sends events and requests to the control thread.
    pub control: ControlHandle,
    /// The sessions over which calls are sent to other daemons.
    pub pool: SessionPool,
    /// The counters of this daemon.
    pub meters: Arc<CallMeters>,
    /// Creates trace spans; `None` when the settings name no collector.
    pub tracer: Option<HopTracer>,
    /// Limits on the size of requests and on the number of calls under way.
    pub limits: LimitSettings,
    /// The seed of all random choices.
    pub seed: u64,
}

impl DaemonNode {
    /// Returns the shared state of a daemon that has no configuration version yet.
    pub fn new(resources: NodeResources) -> DaemonNode {
        let policy = radishgauge_config::model::PolicyModel::default();
        DaemonNode {
            local: resources.local,
            incarnation: resources.incarnation,
            clock: resources.clock,
            state: resources.state,
            control: resources.control,
            pool: resources.pool,
            picker: TargetPicker::new(resources.seed, policy.link_budget_kbit),
            budget: RetryBudget::new(policy.retry_percent),
            tree: CallTree::new(resources.seed),
            suspects: SuspectTable::new(suspect_policy(policy.quarantine)),
            local_targets: LocalTargets::default(),
            targets: TargetClients::default(),
            runs: KeyRuns::default(),
            meters: resources.meters,
            tracer: resources.tracer,
            limits: resources.limits,
            under_way: AtomicUsize::new(0),
            ended: Notify::new(),
            sequence: AtomicU64::new(resources.seed),
            stopping: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        }
    }

    /// Returns a number that this daemon process has not used before.
    pub fn next_number(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a call as under way until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Leaving`] once the daemon is stopping, and
    /// [`RefusalReason::QueueFull`] when `limits.calls` calls are under way.
    pub fn begin_call(self: &Arc<Self>) -> Result<PendingWork, Refusal> {
        let before = self.under_way.fetch_add(1, Ordering::AcqRel);
        let guard = PendingWork {
            node: Arc::clone(self),
        };
        if self.is_stopping() {
            return Err(Refusal::new(RefusalReason::Leaving));
        }
        if before >= self.limits.calls as usize {
            return Err(Refusal::new(RefusalReason::QueueFull));
        }
        Ok(guard)
    }

    /// Counts a task that a stop must wait for, without a limit on their number.
    pub fn begin_background(self: &Arc<Self>) -> PendingWork {
        self.under_way.fetch_add(1, Ordering::AcqRel);
        PendingWork {
            node: Arc::clone(self),
        }
    }

    /// Whether the daemon is stopping and refuses new calls.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether the daemon has ended.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Refuses new calls from now on.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Makes the background tasks end.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Returns the version in force, after waiting while it may be stale.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Stale`] when there is no version, or when the control
    /// thread confirms none within the time for which a call is held.
    pub async fn non_stale_version(&self) -> Result<Arc<PublishedVersion>, Refusal> {
        let arrived = self.clock.now();
        loop {
            match self.state.staleness.check(arrived, self.clock.now()) {
                StalenessDecision::Proceed => break,
                StalenessDecision::Hold { .. } => tokio::time::sleep(STALENESS_POLL_INTERVAL).await,
                StalenessDecision::Refuse(refusal) => return Err(refusal),
            }
        }
        self.state
            .current()
            .ok_or(Refusal::new(RefusalReason::Stale))
    }

    /// Reports the revision in a call or an answer of another daemon to the
    /// control thread if it is newer than the revision in force, so that it is
    /// fetched at once.
    pub fn report_seen_revision(&self, host: &str, revision: u64) {
        let known = self
            .state
            .current()
            .map_or(0, |current| current.fleet_state.revision);
        if revision > known {
            let host = SmolStr::new(host);
            let event = ControlEvent::RevisionSeen { host, revision };
            self.control.send(ControlInput::Event(event));
        }
    }

    /// Applies the policy of a version and the targets that it lists on this host.
    pub fn configure(&self, version: &PublishedVersion) {
        let policy = version.snapshot.policy();
        self.budget.configure(policy.retry_percent);
        self.suspects.configure(suspect_policy(policy.quarantine));
        self.picker.link().configure(policy.link_budget_kbit);
        let services = version.fleet_state.model.services.values();
        let targets: Vec<(SocketAddr, u32)> = services
            .filter_map(|service| {
                let target = service.targets.get(&self.local.host)?;
                Some((target.address, service.connections))
            })
            .collect();
        self.targets.configure(&targets);
    }

    /// Returns the peer address of a host that has a target of a loaded service.
    pub fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        let current = self.state.current()?;
        let mut services = current.fleet_state.model.services.values();
        services
            .find_map(|service| service.targets.get(host))
            .map(|target| target.daemon)
    }

    /// Starts the span of a hop; `None` when no collector is set.
    pub fn span(&self, name: &'static str, kind: SpanKind, traceparent: &str) -> Option<HopSpan> {
        self.tracer
            .as_ref()
            .map(|tracer| tracer.start(name, kind, traceparent))
    }
}

fn suspect_policy(time: Duration) -> SuspectPolicy {
    SuspectPolicy {
        ends: QUARANTINE_ENDS,
        time,
    }
}
