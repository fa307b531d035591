//! What the traffic threads of one daemon share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use opentelemetry::trace::SpanKind;
use radishgauge_control::ControlEvent;
use radishgauge_schema::settings::LimitSettings;
use radishgauge_traffic::CallTree;
use radishgauge_traffic::LocalHost;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::RetryBudget;
use radishgauge_traffic::SuspectTable;
use radishgauge_traffic::TargetPicker;
use radishgauge_traffic::staleness::StalenessDecision;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::clock::ProcessClock;
use crate::control_loop::ControlHandle;
use crate::control_loop::ControlInput;
use crate::hosted::HostedTargets;
use crate::keyed::KeyRuns;
use crate::meters::CallMeters;
use crate::publish::PublishedVersion;
use crate::publish::SharedState;
use crate::sessions::SessionPool;
use crate::targets::TargetClients;
use crate::traces::HopSpan;
use crate::traces::HopTracer;

/// How often a held call looks whether the control thread is on time again.
const GATE_INTERVAL: Duration = Duration::from_millis(10);

/// The shared parts of one daemon.
pub struct DaemonNode {
    /// Who this daemon is.
    pub local: LocalHost,
    /// The start time of this process in ms.
    pub incarnation: u64,
    /// The process clock.
    pub clock: Arc<dyn ProcessClock>,
    /// What the control thread publishes.
    pub state: Arc<SharedState>,
    /// Reaches the control thread.
    pub control: ControlHandle,
    /// The sessions that carry calls.
    pub pool: SessionPool,
    /// Chooses targets.
    pub picker: TargetPicker,
    /// Bounds retries.
    pub budget: RetryBudget,
    /// Counts the calls made for each running call.
    pub tree: CallTree,
    /// The requests that may crash targets.
    pub suspects: SuspectTable,
    /// The targets of this host.
    pub hosted: HostedTargets,
    /// Sends requests to targets.
    pub targets: TargetClients,
    /// The runs of idempotency keys that this daemon owns.
    pub runs: KeyRuns,
    /// The counters.
    pub meters: Arc<CallMeters>,
    /// Makes spans, if a collector is set.
    pub tracer: Option<HopTracer>,
    /// Size limits of requests.
    pub limits: LimitSettings,
    /// Calls under way that entered here.
    pub under_way: AtomicUsize,
    /// Signalled when a call ends.
    pub ended: Notify,
    /// The next number for calls, retries and crashes.
    pub sequence: AtomicU64,
    stopping: AtomicBool,
    stopped: AtomicBool,
}

/// A call under way; dropping it ends it.
pub struct UnderWay {
    node: Arc<DaemonNode>,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.node.under_way.fetch_sub(1, Ordering::AcqRel);
        self.node.ended.notify_waiters();
    }
}

/// The parts that [`DaemonNode::new`] puts together.
pub struct NodeParts {
    /// Who this daemon is.
    pub local: LocalHost,
    /// The start time of this process in ms.
    pub incarnation: u64,
    /// The process clock.
    pub clock: Arc<dyn ProcessClock>,
    /// What the control thread publishes.
    pub state: Arc<SharedState>,
    /// Reaches the control thread.
    pub control: ControlHandle,
    /// The sessions that carry calls.
    pub pool: SessionPool,
    /// The counters.
    pub meters: Arc<CallMeters>,
    /// Makes spans, if a collector is set.
    pub tracer: Option<HopTracer>,
    /// Size limits of requests.
    pub limits: LimitSettings,
    /// The seed of all choices.
    pub seed: u64,
}

impl DaemonNode {
    /// Returns the shared parts of a daemon that has no version yet.
    pub fn new(parts: NodeParts) -> DaemonNode {
        let policy = radishgauge_config::model::PolicyModel::default();
        DaemonNode {
            local: parts.local,
            incarnation: parts.incarnation,
            clock: parts.clock,
            state: parts.state,
            control: parts.control,
            pool: parts.pool,
            picker: TargetPicker::new(parts.seed, policy.link_budget_kbit),
            budget: RetryBudget::new(policy.retry_percent),
            tree: CallTree::new(parts.seed),
            suspects: SuspectTable::new(policy.quarantine),
            hosted: HostedTargets::default(),
            targets: TargetClients::default(),
            runs: KeyRuns::default(),
            meters: parts.meters,
            tracer: parts.tracer,
            limits: parts.limits,
            under_way: AtomicUsize::new(0),
            ended: Notify::new(),
            sequence: AtomicU64::new(parts.seed),
            stopping: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        }
    }

    /// Returns a number that this daemon has not used before.
    pub fn next_number(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a call as under way.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Leaving`] once the daemon stops, and
    /// [`RefusalReason::QueueFull`] at the limit of calls under way.
    pub fn begin_call(self: &Arc<Self>) -> Result<UnderWay, Refusal> {
        let before = self.under_way.fetch_add(1, Ordering::AcqRel);
        let guard = UnderWay {
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

    /// Counts work as under way that a stop waits for, without a limit.
    pub fn begin_background(self: &Arc<Self>) -> UnderWay {
        self.under_way.fetch_add(1, Ordering::AcqRel);
        UnderWay {
            node: Arc::clone(self),
        }
    }

    /// Whether the daemon takes no new calls.
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

    /// Ends background work.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Returns the version in force once the control thread is on time.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Stale`] when there is no version, or when the control
    /// thread stays late for as long as a call is held.
    pub async fn fresh_version(&self) -> Result<Arc<PublishedVersion>, Refusal> {
        let arrived = self.clock.now();
        loop {
            match self.state.gate.check(arrived, self.clock.now()) {
                StalenessDecision::Proceed => break,
                StalenessDecision::Hold { .. } => tokio::time::sleep(GATE_INTERVAL).await,
                StalenessDecision::Refuse(refusal) => return Err(refusal),
            }
        }
        self.state
            .current()
            .ok_or(Refusal::new(RefusalReason::Stale))
    }

    /// Notes the revision that another daemon names in a call or an answer; a
    /// newer one is asked for at once.
    pub fn see_revision(&self, host: &str, revision: u64) {
        let known = self
            .state
            .current()
            .map_or(0, |current| current.share.revision);
        if revision > known {
            let host = SmolStr::new(host);
            let event = ControlEvent::RevisionSeen { host, revision };
            self.control.send(ControlInput::Event(event));
        }
    }

    /// Takes over the policy of a version.
    pub fn configure(&self, version: &PublishedVersion) {
        let policy = version.snapshot.policy();
        self.budget.configure(policy.retry_percent);
        self.suspects.configure(policy.quarantine);
        self.picker.link().configure(policy.link_budget_kbit);
        let services = version.share.model.services.values();
        let own: Vec<(SocketAddr, u32)> = services
            .filter_map(|service| {
                let target = service.targets.get(&self.local.host)?;
                Some((target.address, service.connections))
            })
            .collect();
        self.targets.configure(&own);
    }

    /// Returns the peer address of a host that runs a target in the share.
    pub fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        let current = self.state.current()?;
        let mut services = current.share.model.services.values();
        services
            .find_map(|service| service.targets.get(host))
            .map(|target| target.daemon)
    }

    /// Starts the span of a hop, if spans are made.
    pub fn span(&self, name: &'static str, kind: SpanKind, traceparent: &str) -> Option<HopSpan> {
        self.tracer
            .as_ref()
            .map(|tracer| tracer.start(name, kind, traceparent))
    }
}
