//! The callers of the demo, which send catalogue reads, orders and uploads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinHandle;

/// The time between the starts of two calls of one kind.
const INTERVAL: Duration = Duration::from_millis(10);

/// The size of an upload in bytes.
const UPLOAD_BYTES: usize = 100 * 1024;

/// The maximum number of times that an order is sent with its key.
const MAX_ORDER_REQUESTS: u64 = 3;

/// The names of the kinds of calls; a kind is an index into this array.
pub const KINDS: [&str; 3] = ["catalogue", "orders", "uploads"];

/// The outcomes of the calls of one kind in one phase.
#[derive(Clone)]
pub struct KindCounts {
    /// Calls with a successful response.
    pub answered: u64,
    /// Calls that were refused with the verdict `not-run`.
    pub refused: u64,
    /// Calls with any other outcome.
    pub failed: u64,
    /// Response times of answered calls in microseconds.
    pub response_times: Histogram<u64>,
}

impl KindCounts {
    fn new() -> KindCounts {
        KindCounts {
            answered: 0,
            refused: 0,
            failed: 0,
            response_times: Histogram::new(3).expect("three digits are in range"),
        }
    }
}

struct LoadState {
    client: Client<HttpConnector, Full<Bytes>>,
    daemon_addresses: Vec<SocketAddr>,
    calls_sent: AtomicU64,
    phase: AtomicUsize,
    counts: Mutex<Vec<[KindCounts; 3]>>,
    keys: Mutex<Vec<String>>,
}

/// Callers that send until they are stopped.
pub struct DemoLoad {
    state: Arc<LoadState>,
    tasks: Vec<JoinHandle<()>>,
}

impl DemoLoad {
    /// Starts the callers, which send their calls to the daemons in turn.
    pub fn spawn(daemon_addresses: Vec<SocketAddr>, phases: usize) -> DemoLoad {
        let phase = || [KindCounts::new(), KindCounts::new(), KindCounts::new()];
        let state = Arc::new(LoadState {
            client: Client::builder(TokioExecutor::new()).build_http(),
            daemon_addresses,
            calls_sent: AtomicU64::new(0),
            phase: AtomicUsize::new(0),
            counts: Mutex::new((0..phases).map(|_| phase()).collect()),
            keys: Mutex::default(),
        });
        let tasks = (0..KINDS.len())
            .map(|kind| tokio::spawn(send_calls(Arc::clone(&state), kind)))
            .collect();
        DemoLoad { state, tasks }
    }

    /// Starts the next phase; a call is counted in the phase in which it started.
    pub fn next_phase(&self) {
        self.state.phase.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops the callers; returns the counts by phase and kind, and the keys of
    /// the orders that were answered.
    pub async fn stop(self) -> (Vec<[KindCounts; 3]>, Vec<String>) {
        for task in &self.tasks {
            task.abort();
        }
        // Calls in flight have this long to complete and be counted.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let counts = lock(&self.state.counts).clone();
        let keys = lock(&self.state.keys).clone();
        (counts, keys)
    }
}

async fn send_calls(state: Arc<LoadState>, kind: usize) {
    let mut ticks = tokio::time::interval(INTERVAL);
    loop {
        ticks.tick().await;
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let phase = state.phase.load(Ordering::Relaxed);
            let start_time = Instant::now();
            let outcome = match kind {
                0 => {
                    state
                        .send_call("GET", "/motifs/laurel", None, Bytes::new())
                        .await
                }
                1 => state.send_order().await,
                _ => {
                    let body = Bytes::from(vec![7; UPLOAD_BYTES]);
                    state.send_call("PUT", "/art/monogram", None, body).await
                }
            };
            state.record_outcome(phase, kind, &outcome, start_time.elapsed());
        });
    }
}

/// The outcome of one call.
enum CallOutcome {
    Answered(String),
    Refused,
    Failed,
}

impl LoadState {
    fn next_address(&self) -> SocketAddr {
        let turn = self.calls_sent.fetch_add(1, Ordering::Relaxed) as usize;
        self.daemon_addresses[turn % self.daemon_addresses.len()]
    }

    async fn send_call(
        &self,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> CallOutcome {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.next_address()));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let Ok(request) = request.body(Full::new(body)) else {
            return CallOutcome::Failed;
        };
        let Ok(response) = self.client.request(request).await else {
            return CallOutcome::Failed;
        };
        let verdict = response.headers().get("x-radishgauge-verdict").cloned();
        let success = response.status().is_success();
        let Ok(body) = response.into_body().collect().await else {
            return CallOutcome::Failed;
        };
        match verdict.as_ref().and_then(|verdict| verdict.to_str().ok()) {
            _ if success => {
                CallOutcome::Answered(String::from_utf8_lossy(&body.to_bytes()).into_owned())
            }
            Some("not-run") => CallOutcome::Refused,
            _ => CallOutcome::Failed,
        }
    }

    /// Requests an idempotency key, and sends the order until it is answered.
    /// Sending it again with the same key is safe even if the first request ran.
    async fn send_order(&self) -> CallOutcome {
        let issued = self
            .send_call(
                "POST",
                "/.radishgauge/keys?path=/orders",
                None,
                Bytes::new(),
            )
            .await;
        let CallOutcome::Answered(key) = issued else {
            return issued;
        };
        let key = key.trim();
        let mut last = CallOutcome::Failed;
        for _ in 0..MAX_ORDER_REQUESTS {
            last = self
                .send_call(
                    "POST",
                    "/orders/carafe",
                    Some(key),
                    Bytes::from_static(b"one"),
                )
                .await;
            if let CallOutcome::Answered(_) = last {
                lock(&self.keys).push(key.to_owned());
                break;
            }
        }
        last
    }

    fn record_outcome(
        &self,
        phase: usize,
        kind: usize,
        outcome: &CallOutcome,
        response_time: Duration,
    ) {
        let mut counts = lock(&self.counts);
        let Some(counts) = counts.get_mut(phase).map(|phase| &mut phase[kind]) else {
            return;
        };
        match outcome {
            CallOutcome::Answered(_) => {
                counts.answered += 1;
                // Only a time of hours could exceed the range of the histogram.
                let _ = counts
                    .response_times
                    .record(response_time.as_micros() as u64);
            }
            CallOutcome::Refused => counts.refused += 1,
            CallOutcome::Failed => counts.failed += 1,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
