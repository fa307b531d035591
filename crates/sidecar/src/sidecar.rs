//! Starts and stops a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use http::Response;
use http::StatusCode;
use radishgauge_events::events;
use radishgauge_mesh::StopPlan;
use radishgauge_net::CallerListener;
use radishgauge_net::CallerRegistry;
use radishgauge_net::HeadBounds;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::ListenLimits;
use radishgauge_net::caller_registry::CONNECTION_BYTES;
use radishgauge_net::clock::ProcessClock;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::HostSettings;
use radishgauge_platform::StoreClient;
use radishgauge_platform::message;

use crate::answer;
use crate::caller_report::CallerReport;
use crate::entry;
use crate::follow;
use crate::node::SidecarNode;
use crate::owner::TargetOwner;
use crate::peer_server;
use crate::probe;
use crate::state_exchange;
use crate::suspect_exchange;

/// The index of the listener address for callers.
const CALLERS_INDEX: usize = 0;
/// The index of the listener address for other daemons.
const PEERS_INDEX: usize = 1;

/// The index of the listener address for the platform's readiness checks. The
/// optional address for metrics has the next index.
const READINESS_INDEX: usize = 2;

/// The greatest length of a request head in bytes, which is more than the
/// platform allows callers to send.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The greatest number of concurrent requests from callers and peers together.
/// Each of them keeps its body in memory.
const MAX_REQUESTS: usize = 2048;

/// How many times the configuration's greatest head is received from callers. A head
/// somewhat over the limit is answered, not cut off.
const HEAD_FACTOR: usize = 2;

/// How much longer than the configuration's time a head of a caller may take, for the time
/// in which the network delivers it.
const HEAD_TIME_MARGIN: Duration = Duration::from_secs(1);

/// How long a connection of a caller is kept without a request before a configuration is
/// known.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(30);

/// The bounds of the time that a configuration may set for this.
const SHORTEST_IDLE_TIME: Duration = Duration::from_secs(1);
const LONGEST_IDLE_TIME: Duration = Duration::from_secs(600);

/// The interval at which the daemon removes expired targets and closes unused
/// connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// The result of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// The number of requests that were cut off at the deadline.
    pub cut_off: usize,
}

/// A running daemon.
pub struct Sidecar {
    node: Arc<SidecarNode>,
    listener: CallerListener,
}

impl Sidecar {
    /// Starts the daemon with the given settings. If `metrics` is given, it
    /// serves metrics at that address.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub fn open(
        settings: HostSettings,
        metrics: Option<SocketAddr>,
        clock: Arc<dyn ProcessClock>,
    ) -> Result<Sidecar> {
        let owner = Arc::new(TargetOwner::new(&settings, Arc::clone(&clock)));
        let seed = rand::random();
        let node = Arc::new(SidecarNode::new(settings, clock, owner, seed));
        let settings = node.settings();
        let limits = ListenLimits {
            head: MAX_HEAD_BYTES,
            threads: 1,
            requests: MAX_REQUESTS,
            connections: caller_connections(&settings),
            unread: settings.client_limits.unread_time,
            idle: LONGEST_IDLE_TIME,
            stall: settings.client_limits.stall_time,
            least_rate: settings.client_limits.least_rate,
            ..ListenLimits::default()
        };
        let mut addresses = vec![
            settings.caller_address,
            settings.peer_address,
            settings.readiness_address,
        ];
        addresses.extend(metrics);
        let served = Arc::clone(&node);
        let handler = move |request| serve(Arc::clone(&served), request);
        let clock = Arc::clone(&node.clock);
        let listener = CallerListener::bind_all(&addresses, limits, clock, handler)
            .context("bind the addresses")?;
        listener
            .registry()
            .set_budgets(node.owner.memory.of_callers());
        events::SIDECAR_STARTED.emit(format_args!(
            "host={} failure_domain={} service={} callers={} peers={} target={} store={} transport=plain",
            settings.host,
            settings.failure_domain,
            settings.service,
            settings.caller_address,
            settings.peer_address,
            settings.target_address,
            settings.store_address,
        ));
        let runtime = listener.runtime();
        let store = StoreClient::new(settings.store_address);
        runtime.spawn(follow::run(Arc::clone(&node), store));
        runtime.spawn(state_exchange::run(Arc::clone(&node)));
        runtime.spawn(suspect_exchange::run_pushes(Arc::clone(&node)));
        runtime.spawn(suspect_exchange::run_fetches(Arc::clone(&node)));
        runtime.spawn(probe::run(Arc::clone(&node)));
        let heads = listener.head_bounds();
        let callers = Arc::clone(listener.registry());
        runtime.spawn(run_maintenance(Arc::clone(&node), heads, callers));
        Ok(Sidecar { node, listener })
    }

    /// Applies changed settings to the running daemon.
    pub fn reload(&self, settings: HostSettings) {
        let node = Arc::clone(&self.node);
        // Applying settings can wake waiting requests, which must happen on the
        // listener's runtime.
        self.listener
            .runtime()
            .spawn(async move { node.reload(settings) });
    }

    /// Stops the daemon within the stop time. It first serves all requests
    /// until callers have switched to other daemons, and then waits for the
    /// pending requests; [`StopPlan`] has the times. Requests that are still
    /// pending near the end are answered as timed out.
    pub async fn stop(self) -> StopReport {
        let Sidecar { node, listener } = self;
        let stop_started = node.now();
        let (running, waiting) = node.owner.load();
        events::SIDECAR_STOPPING.emit(format_args!("running={running} waiting={waiting}"));
        let plan = StopPlan::new(stop_started, node.settings().stop_grace);
        node.begin_stop(plan);
        tokio::time::sleep(plan.serving_end().saturating_sub(node.now())).await;
        let owner = Arc::clone(&node.owner);
        listener.runtime().spawn(async move { owner.stop() });
        let remaining = plan.cut_off().saturating_sub(node.now());
        let running_count = listener.running_count();
        let timed_out_node = Arc::clone(&node);
        let time_out_delay = plan.timeout().saturating_sub(node.now());
        listener.runtime().spawn(async move {
            tokio::time::sleep(time_out_delay).await;
            timed_out_node.time_out_requests();
        });
        let stopped = tokio::time::timeout(remaining, listener.stop()).await;
        let cut_off = match stopped {
            Ok(()) => 0,
            Err(_) => running_count.get(),
        };
        let took_ms = node.now().saturating_sub(stop_started).as_millis();
        events::SIDECAR_STOPPED.emit(format_args!("took_ms={took_ms} cut_off={cut_off}"));
        StopReport { cut_off }
    }
}

async fn serve(node: Arc<SidecarNode>, request: HttpRequest) -> HttpAnswer {
    match request.address_index {
        CALLERS_INDEX => entry::serve(node, request).await,
        PEERS_INDEX => peer_server::serve(node, request).await,
        READINESS_INDEX => readiness(&node, &request),
        _ => Response::new(AnswerBody::whole(node.metrics.page(&node))),
    }
}

fn readiness(node: &SidecarNode, request: &HttpRequest) -> HttpAnswer {
    let status = if request.head.uri.path() != message::READINESS_PATH {
        StatusCode::NOT_FOUND
    } else if node.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    answer::empty(status)
}

/// Returns the greatest number of open connections of callers: those for which there are
/// descriptors and memory.
fn caller_connections(settings: &HostSettings) -> usize {
    let limits = settings.client_limits;
    let affordable = limits.affordable_connections(settings.memory_limit, CONNECTION_BYTES);
    settings.caller_connections().min(affordable)
}

async fn run_maintenance(
    node: Arc<SidecarNode>,
    heads: Option<Arc<HeadBounds>>,
    callers: Arc<CallerRegistry>,
) {
    let mut report = CallerReport::default();
    loop {
        let config = node.config();
        let idle_time = config.map_or(DEFAULT_IDLE_TIME, |config| config.limits().idle_time);
        callers.close_idle(idle_time.clamp(SHORTEST_IDLE_TIME, LONGEST_IDLE_TIME));
        report.update(&node.metrics, callers.closed_counts(), node.now());
        if let (Some(heads), Some(config)) = (&heads, node.config()) {
            let limits = config.limits();
            heads.set(
                limits.head_bytes.saturating_mul(HEAD_FACTOR),
                limits.head_time + HEAD_TIME_MARGIN,
            );
        }
        // A target must not be used after its expiry, so the next maintenance
        // runs no later than that.
        let expiry = node.next_expiry().map(|at| at.saturating_sub(node.now()));
        let wait = expiry.map_or(MAINTENANCE_INTERVAL, |expiry| {
            expiry.min(MAINTENANCE_INTERVAL)
        });
        tokio::time::sleep(wait).await;
        node.expire_targets();
        node.expire_kept_items();
        node.peers.sweep();
        node.quota().maintain();
        node.owner.client().sweep();
    }
}
