//! The lifecycle of a daemon: open, running, stopping, ended.
//!
//! Each state is a type, so that the compiler rejects a use of a daemon that has
//! stopped.

use std::fs;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use radishgauge_control::ControlConfig;
use radishgauge_control::ControlEvent;
use radishgauge_control::ControlPolicy;
use radishgauge_net::PeerConfig;
use radishgauge_net::PeerEndpoint;
use radishgauge_net::PeerIdentity;
use radishgauge_net::PeerLimits;
use radishgauge_net::PlatformClient;
use radishgauge_net::listener::CallerListener;
use radishgauge_net::listener::ListenLimits;
use radishgauge_net::listener::OperatorListener;
use radishgauge_schema::settings::DaemonSettings;
use radishgauge_schema::settings::LimitSettings;
use radishgauge_traffic::LocalHost;
use radishgauge_traffic::StalenessGuard;
use radishgauge_traffic::key::KeyIssuer;
use radishgauge_traffic::once::OnceLedger;
use radishgauge_traffic::once::OnceLimits;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use smol_str::SmolStr;
use tokio::runtime::Handle;
use tokio::sync::Notify;

use crate::accept_rule::ContentRule;
use crate::callers;
use crate::clock;
use crate::clock::ProcessClock;
use crate::control_loop;
use crate::control_loop::ControlHandle;
use crate::control_loop::ControlInput;
use crate::control_loop::ControlResources;
use crate::events;
use crate::meters::CallMeters;
use crate::meters::MeterSender;
use crate::node::DaemonNode;
use crate::node::NodeResources;
use crate::observe;
use crate::operator::OperatorHandler;
use crate::publish::Publisher;
use crate::publish::SharedState;
use crate::serve;
use crate::sessions::SessionPool;
use crate::traces::HopTracer;
use crate::transfer;

/// How long a stopping daemon keeps its sessions open to refuse the calls of
/// peers, so that the senders learn that it is leaving.
const LEAVING_NOTICE_TIME: Duration = Duration::from_millis(300);

/// The interval at which a stop checks whether the last answers have reached
/// their callers.
const ANSWER_INTERVAL: Duration = Duration::from_millis(10);

/// The state of a daemon that accepts calls.
#[derive(Debug)]
pub struct Running;

/// The state of a daemon that refuses new calls and finishes those under way.
#[derive(Debug)]
pub struct Stopping;

/// The process-wide resources that a daemon uses.
pub struct DaemonResources {
    /// The runtime whose threads carry sessions and calls.
    pub runtime: Handle,
    /// The number of threads of the listener for callers.
    pub listener_threads: usize,
    /// The monotonic clock of the process.
    pub clock: Arc<dyn ProcessClock>,
    /// The start time of the daemon in ms since the Unix epoch.
    pub incarnation: u64,
    /// The seed of all random choices, jitter and key nonces.
    pub seed: u64,
}

impl DaemonResources {
    /// Returns the resources of a daemon that is the only one in its process.
    ///
    /// # Panics
    ///
    /// When called outside a tokio runtime.
    pub fn of_process() -> DaemonResources {
        DaemonResources {
            runtime: Handle::current(),
            // One thread serves far more than the 317 calls per second of the
            // design load, and a second thread brings no gain.
            listener_threads: 1,
            clock: Arc::new(clock::SystemClock::start()),
            incarnation: clock::incarnation_now(),
            seed: rand::random(),
        }
    }
}

/// The result of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// The number of calls that were still under way at the stop deadline.
    pub cut_off: usize,
    /// The duration of the stop.
    pub took: Duration,
}

/// A daemon in the lifecycle state `S`, [`Running`] or [`Stopping`].
pub struct Daemon<S> {
    node: Arc<DaemonNode>,
    endpoint: PeerEndpoint,
    callers: CallerListener,
    operators: OperatorListener,
    control: JoinHandle<()>,
    stop_requested: Arc<Notify>,
    stop_deadline: Duration,
    peer_address: SocketAddr,
    state: PhantomData<S>,
}

impl Daemon<Running> {
    /// Opens a daemon: binds its listeners and starts its control thread.
    ///
    /// # Errors
    ///
    /// When a TLS file cannot be read or used, when a setting is invalid, or when
    /// an address cannot be bound.
    pub async fn open(
        settings: &DaemonSettings,
        resources: DaemonResources,
    ) -> Result<Daemon<Running>> {
        let local = LocalHost {
            host: SmolStr::new(&settings.host),
            region: SmolStr::new(&settings.region),
            failure_domain: SmolStr::new(&settings.failure_domain),
        };
        let listen = settings.listen.clone().unwrap_or_default();
        let limits = settings.limits.unwrap_or_default();
        let policy = ControlPolicy::from(&settings.policy.unwrap_or_default());
        let meters = Arc::new(CallMeters::default());
        let _entered = resources.runtime.enter();
        let endpoint = PeerEndpoint::bind(PeerConfig {
            listen: address("listen.peers", &listen.peers)?,
            identity: identity(settings)?,
            host: local.host.clone(),
            failure_domain: local.failure_domain.clone(),
            region: local.region.clone(),
            incarnation: resources.incarnation,
            limits: PeerLimits::default(),
        })?;
        let peer_address = match settings.advertise.as_str() {
            "" => endpoint.local_address()?,
            text => address("advertise", text)?,
        };
        let (control, queue) = ControlHandle::queue();
        let state = Arc::new(shared_state(&local, &resources, &policy));
        let node = Arc::new(DaemonNode::new(NodeResources {
            local: local.clone(),
            incarnation: resources.incarnation,
            clock: Arc::clone(&resources.clock),
            state: Arc::clone(&state),
            control: control.clone(),
            pool: SessionPool::new(endpoint.clone(), Arc::clone(&resources.clock)),
            meters: Arc::clone(&meters),
            tracer: tracer(settings, &resources.runtime)?,
            limits,
            seed: resources.seed,
        }));
        let callers = bind_callers(
            &node,
            address("listen.callers", &listen.callers)?,
            &limits,
            resources.listener_threads,
        )?;
        let stop_requested = Arc::new(Notify::new());
        let handler = OperatorHandler {
            node: Arc::clone(&node),
            stop: Arc::clone(&stop_requested),
        };
        let operators = OperatorListener::bind(
            address("listen.operators", &listen.operators)?,
            move |request| handler.clone().answer(request),
        )
        .context("bind listen.operators")?;
        let control_resources = ControlResources {
            config: ControlConfig {
                host: local.host.clone(),
                region: local.region.clone(),
                domain: local.failure_domain.clone(),
                address: peer_address,
                incarnation: resources.incarnation,
                seeds: settings
                    .seeds
                    .iter()
                    .map(|seed| address("seeds", seed))
                    .collect::<Result<_>>()?,
                policy,
                rule: Arc::new(ContentRule),
            },
            seed: resources.seed,
            clock: Arc::clone(&resources.clock),
            endpoint: endpoint.clone(),
            platform: platform(settings)?,
            publisher: Publisher::new(state, local),
            node: Arc::clone(&node),
            meters,
            sender: meter_sender(settings)?,
            runtime: resources.runtime.clone(),
        };
        let control = control_loop::spawn(control_resources, control, queue)?;
        resources
            .runtime
            .spawn(serve::accept(Arc::clone(&node), endpoint.clone()));
        resources.runtime.spawn(transfer::run(Arc::clone(&node)));
        resources.runtime.spawn(observe::run(Arc::clone(&node)));
        events::STARTED.emit(format_args!(
            "host={} failure_domain={} callers={} peers={peer_address} operators={}",
            settings.host,
            settings.failure_domain,
            callers.local_address(),
            operators.local_address()
        ));
        let seconds = settings.policy.map_or(0, |policy| policy.stop_deadline_s);
        Ok(Daemon {
            node,
            endpoint,
            callers,
            operators,
            control,
            stop_requested,
            stop_deadline: Duration::from_secs(if seconds == 0 { 30 } else { seconds }),
            peer_address,
            state: PhantomData,
        })
    }

    /// Waits until an operator requests a graceful stop.
    pub async fn stop_requested(&self) {
        self.stop_requested.notified().await;
    }

    /// Waits until the revision in force is at least `revision`, at most for
    /// `time`.
    ///
    /// Returns `false` when the time ran out.
    pub async fn wait_for_revision(&self, revision: u64, time: Duration) -> bool {
        let mut changes = self.node.state.changes();
        let reached = async {
            while self.revision() < revision {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::time::timeout(time, reached).await.is_ok()
    }

    /// Refuses new calls from now on and announces the stop to the peers.
    pub fn begin_stop(self) -> Daemon<Stopping> {
        let running = self.node.under_way.load(Ordering::Acquire);
        events::STOPPING.emit(format_args!("running={running}"));
        self.node.begin_stop();
        self.node
            .control
            .send(ControlInput::Event(ControlEvent::Stop));
        Daemon {
            node: self.node,
            endpoint: self.endpoint,
            callers: self.callers,
            operators: self.operators,
            control: self.control,
            stop_requested: self.stop_requested,
            stop_deadline: self.stop_deadline,
            peer_address: self.peer_address,
            state: PhantomData,
        }
    }

    /// Ends the daemon at once, as a crash would: calls under way are interrupted
    /// and peers get no notice.
    ///
    /// Used by failure tests and by the demo.
    pub async fn kill(self) {
        self.node.end();
        self.node.control.send(ControlInput::End);
        self.endpoint.close("killed").await;
        let _ = tokio::time::timeout(Duration::from_millis(10), self.callers.stop()).await;
        let _ = tokio::time::timeout(Duration::from_millis(10), self.operators.stop()).await;
    }
}

impl Daemon<Stopping> {
    /// Waits until the calls under way have ended, at most until the stop
    /// deadline, and ends the daemon.
    pub async fn finish(self) -> StopReport {
        let begun = self.node.clock.now();
        tokio::time::sleep(LEAVING_NOTICE_TIME).await;
        let idle = async {
            loop {
                let ended = self.node.ended.notified();
                if self.node.under_way.load(Ordering::Acquire) == 0 {
                    return;
                }
                ended.await;
            }
        };
        let _ = tokio::time::timeout(self.stop_deadline, idle).await;
        // The answer of a call that has ended may still be in transit to its
        // caller.
        let left = self
            .stop_deadline
            .saturating_sub(self.node.clock.now().saturating_sub(begun));
        let answers = async {
            while self.callers.running() > 0 {
                tokio::time::sleep(ANSWER_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(left, answers).await;
        let cut_off = self
            .node
            .under_way
            .load(Ordering::Acquire)
            .max(self.callers.running());
        let _ = tokio::time::timeout(serve::CLOSE_TIMEOUT, self.callers.stop()).await;
        self.node.end();
        self.node.control.send(ControlInput::End);
        // The timeout prevents that a peer which does not answer the close
        // delays the stop.
        let closed = self.endpoint.close("stopped");
        let _ = tokio::time::timeout(serve::CLOSE_TIMEOUT, closed).await;
        let _ = tokio::task::spawn_blocking(move || self.control.join()).await;
        if let Some(tracer) = &self.node.tracer {
            tracer.shutdown();
        }
        let _ = tokio::time::timeout(serve::CLOSE_TIMEOUT, self.operators.stop()).await;
        let took = self.node.clock.now().saturating_sub(begun);
        events::STOPPED.emit(format_args!(
            "cut_off={cut_off} took_ms={}",
            took.as_millis()
        ));
        StopReport { cut_off, took }
    }
}

impl<S> Daemon<S> {
    /// Returns the state that the traffic threads share, for tests and the demo.
    pub fn node(&self) -> &Arc<DaemonNode> {
        &self.node
    }

    /// Returns the address of the listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.local_address()
    }

    /// Returns the address of the listener for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.local_address()
    }

    /// Returns the address at which peers reach this daemon.
    pub fn peers(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the revision in force; 0 before the first version.
    pub fn revision(&self) -> u64 {
        self.node
            .state
            .current()
            .map_or(0, |current| current.fleet_state.revision)
    }
}

fn shared_state(
    local: &LocalHost,
    resources: &DaemonResources,
    policy: &ControlPolicy,
) -> SharedState {
    let mut random = Pcg64::seed_from_u64(resources.seed);
    let mut seed = [0; 32];
    random.fill(&mut seed);
    let issuer = KeyIssuer::new(&local.host, resources.incarnation, seed);
    let ledger = OnceLedger::new(issuer, &local.region, OnceLimits::default());
    let staleness = StalenessGuard::new(policy.stale_after, resources.clock.now());
    SharedState::new(staleness, ledger)
}

fn bind_callers(
    node: &Arc<DaemonNode>,
    address: SocketAddr,
    limits: &LimitSettings,
    threads: usize,
) -> Result<CallerListener> {
    let handler = callers::CallerHandler {
        node: Arc::clone(node),
    };
    let bounds = ListenLimits {
        head: limits.header_kib as usize * 1024,
        body: limits.body_mib * 1024 * 1024,
        threads,
        requests: limits.calls as usize,
        ..ListenLimits::default()
    };
    CallerListener::bind(address, bounds, move |request| {
        handler.clone().answer(request)
    })
    .context("bind listen.callers")
}

fn address(field: &str, text: &str) -> Result<SocketAddr> {
    text.parse()
        .with_context(|| format!("{field}: {text:?} is not an IP address and port"))
}

fn identity(settings: &DaemonSettings) -> Result<PeerIdentity> {
    let tls = settings.tls.clone().unwrap_or_default();
    let read = |field: &str, path: &str| {
        fs::read_to_string(path).with_context(|| format!("{field}: read {path}"))
    };
    Ok(PeerIdentity {
        ca: read("tls.ca", &tls.ca)?,
        certificate: read("tls.certificate", &tls.certificate)?,
        key: read("tls.key", &tls.key)?,
    })
}

fn platform(settings: &DaemonSettings) -> Result<PlatformClient> {
    let platform = settings.platform.clone().unwrap_or_default();
    if platform.url.is_empty() {
        return Ok(PlatformClient::directory(platform.directory));
    }
    PlatformClient::http(&platform.url).context("platform.url")
}

fn tracer(settings: &DaemonSettings, runtime: &Handle) -> Result<Option<HopTracer>> {
    let telemetry = settings.telemetry.clone().unwrap_or_default();
    if telemetry.otlp.is_empty() {
        return Ok(None);
    }
    let tracer = HopTracer::open(
        &telemetry.otlp,
        telemetry.trace_per_mille,
        &settings.host,
        &settings.failure_domain,
        runtime.clone(),
    );
    tracer.map(Some).context("telemetry.otlp")
}

fn meter_sender(settings: &DaemonSettings) -> Result<Option<MeterSender>> {
    let telemetry = settings.telemetry.clone().unwrap_or_default();
    if telemetry.statsd.is_empty() {
        return Ok(None);
    }
    let receiver = address("telemetry.statsd", &telemetry.statsd)?;
    MeterSender::open(receiver, &settings.host, &settings.failure_domain).map(Some)
}
