//! A running daemon and its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use http::Response;
use http::StatusCode;
use radishgauge_events::events;
use radishgauge_net::CallerListener;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::ListenLimits;
use radishgauge_net::clock::ProcessClock;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::HostSettings;
use radishgauge_platform::StoreClient;
use radishgauge_platform::message;

use crate::answer;
use crate::entry;
use crate::exchange;
use crate::follow;
use crate::node::SidecarNode;
use crate::owner::TargetOwner;
use crate::probe;
use crate::share;

/// The listener's address for callers, by its place.
const CALLERS: usize = 0;
/// The listener's address for other daemons, by its place.
const PEERS: usize = 1;

/// The listener's address of the platform's question whether this daemon is
/// ready, by its place. The address for metrics comes after it.
const READINESS: usize = 2;

/// The greatest request head in bytes, above what the platform allows callers.
const GREATEST_HEAD: usize = 64 * 1024;

/// The requests under way of callers and peers; each holds its body.
const GREATEST_REQUESTS: usize = 2048;

/// The part of the stop time during which everything is still served, so that
/// callers learn to go elsewhere before the daemon takes no more.
const SERVING_PART: f64 = 0.38;

/// The part of the stop time after which requests under way are answered as
/// timed out; the platform allows it in the last sixth.
const CUT_PART: f64 = 0.86;

/// The part of the stop time after which requests under way are cut off.
const LAST_PART: f64 = 0.94;

/// How often expired entries and unused connections are looked for.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);

/// How a stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// The requests that were cut off at the deadline.
    pub cut_off: usize,
}

/// A running daemon.
pub struct Sidecar {
    node: Arc<SidecarNode>,
    listener: CallerListener,
}

impl Sidecar {
    /// Starts to serve, by the settings.
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
            head: GREATEST_HEAD,
            threads: 1,
            requests: GREATEST_REQUESTS,
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
        let listener =
            CallerListener::bind_all(&addresses, limits, handler).context("bind the addresses")?;
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
        runtime.spawn(share::run(Arc::clone(&node)));
        runtime.spawn(probe::run(Arc::clone(&node)));
        runtime.spawn(upkeep(Arc::clone(&node)));
        Ok(Sidecar { node, listener })
    }

    /// Takes over changed settings.
    pub fn reload(&self, settings: HostSettings) {
        let node = Arc::clone(&self.node);
        // The owner wakes waiting requests on the listener's thread.
        self.listener
            .runtime()
            .spawn(async move { node.reload(settings) });
    }

    /// Stops within the stop time: everything is served until callers have gone
    /// elsewhere, then requests under way finish.
    pub async fn stop(self) -> StopReport {
        let Sidecar { node, listener } = self;
        let begun = node.now();
        let (running, waiting) = node.owner.load();
        events::SIDECAR_STOPPING.emit(format_args!("running={running} waiting={waiting}"));
        node.begin_stop();
        let grace = node.settings().stop_grace;
        tokio::time::sleep(grace.mul_f64(SERVING_PART)).await;
        let owner = Arc::clone(&node.owner);
        listener.runtime().spawn(async move { owner.stop() });
        let left = (begun + grace.mul_f64(LAST_PART)).saturating_sub(node.now());
        let state = listener.running_count();
        let cutting = Arc::clone(&node);
        let cut_at = (begun + grace.mul_f64(CUT_PART)).saturating_sub(node.now());
        listener.runtime().spawn(async move {
            tokio::time::sleep(cut_at).await;
            cutting.cut_requests();
        });
        let stopped = tokio::time::timeout(left, listener.stop()).await;
        let cut_off = match stopped {
            Ok(()) => 0,
            Err(_) => state.get(),
        };
        let took_ms = node.now().saturating_sub(begun).as_millis();
        events::SIDECAR_STOPPED.emit(format_args!("took_ms={took_ms} cut_off={cut_off}"));
        StopReport { cut_off }
    }
}

async fn serve(node: Arc<SidecarNode>, request: HttpRequest) -> HttpAnswer {
    match request.address_index {
        CALLERS => entry::serve(node, request).await,
        PEERS => exchange::serve(node, request).await,
        READINESS => readiness(&node, &request),
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
    answer::bare(status)
}

async fn upkeep(node: Arc<SidecarNode>) {
    loop {
        // An entry that expires must not be used until the next upkeep.
        let expiry = node.next_expiry().map(|at| at.saturating_sub(node.now()));
        let wait = expiry.map_or(UPKEEP_INTERVAL, |expiry| expiry.min(UPKEEP_INTERVAL));
        tokio::time::sleep(wait).await;
        node.expire_targets();
        node.peers.sweep();
        node.owner.client().sweep();
    }
}
