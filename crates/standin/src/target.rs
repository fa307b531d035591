//! A worker of a service, with the faults that workers have.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indexmap::IndexMap;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::cold::ColdStart;
use crate::cold::ColdState;
use crate::server::LoopbackServer;
use crate::server::ServerResult;

/// A request with this header crashes the worker that runs it.
pub const CRASH_HEADER: &str = "x-standin-crash";
/// Names the worker in its answers.
pub const HOST_HEADER: &str = "x-standin-host";
/// Names the worker's region in its answers.
pub const REGION_HEADER: &str = "x-standin-region";

const REQUEST_ID: &str = "x-request-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const CONTEXT: &str = "x-radishgauge-context";
const CALLS: &str = "x-radishgauge-calls";
const TRACE: &str = "traceparent";

/// What a worker is and how it serves.
#[derive(Debug, Clone)]
pub struct TargetConfig {
    /// The host, named in answers.
    pub host: String,
    /// The region, named in answers and records.
    pub region: String,
    /// The requests that run at once; more wait.
    pub slots: usize,
    /// How long a request runs.
    pub service_time: Duration,
    /// How a start goes; `None` for a worker that is warm at once.
    pub cold_start: Option<ColdStart>,
    /// The bytes of an answer; `None` returns the request's body.
    pub answer_bytes: Option<usize>,
    /// The calls that each request makes before it answers.
    pub calls: Vec<NextCall>,
    /// The caller address of this host's daemon, for `calls`.
    pub daemon: Option<SocketAddr>,
    /// Whether served requests are recorded one by one.
    pub record: bool,
}

impl Default for TargetConfig {
    fn default() -> TargetConfig {
        TargetConfig {
            host: "worker".to_owned(),
            region: "region".to_owned(),
            slots: 20,
            service_time: Duration::ZERO,
            cold_start: None,
            answer_bytes: None,
            calls: Vec::new(),
            daemon: None,
            record: true,
        }
    }
}

/// A call that a worker makes through its daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NextCall {
    /// The method.
    pub method: http::Method,
    /// The path, which selects the service.
    pub path: String,
}

/// What a worker did since its first start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetCounts {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their answer.
    pub finished: u64,
    /// Requests whose caller went away while they ran, or that a crash broke.
    pub interrupted: u64,
    /// Requests refused while draining or shedding.
    pub refused: u64,
    /// Requests failed because a cold worker was overloaded.
    pub collapsed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Requests that run now.
    pub running: usize,
    /// The most requests that ran at once.
    pub peak_running: usize,
    /// Connections accepted.
    pub accepted: usize,
    /// Connections open now.
    pub connections: usize,
}

/// One request that began to run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServedRequest {
    /// The request's own id; empty when it has none.
    pub id: String,
    /// The idempotency key; empty when it has none.
    pub key: String,
    /// The path.
    pub path: String,
    /// The context header that came with it.
    pub context: String,
    /// The trace that it belongs to.
    pub traceparent: String,
    /// The region that served it.
    pub region: String,
}

/// An HTTP worker on loopback.
pub struct TargetStandIn {
    server: Arc<LoopbackServer>,
    shared: Arc<TargetShared>,
    address: SocketAddr,
}

struct TargetShared {
    config: TargetConfig,
    state: Mutex<TargetState>,
    slots: Semaphore,
    finished: watch::Sender<u64>,
    client: Client<HttpConnector, Full<Bytes>>,
    crash: mpsc::UnboundedSender<()>,
}

#[derive(Default)]
struct TargetState {
    service_time: Duration,
    draining: bool,
    shedding: bool,
    cold: Option<ColdState>,
    counts: TargetCounts,
    by_key: IndexMap<String, u64>,
    by_id: IndexMap<String, u64>,
    served: Vec<ServedRequest>,
}

impl TargetStandIn {
    /// Starts a worker on a free port.
    ///
    /// # Errors
    ///
    /// When no loopback port is free.
    pub async fn start(config: TargetConfig) -> io::Result<TargetStandIn> {
        let (crash, mut crashes) = mpsc::unbounded_channel();
        let shared = Arc::new(TargetShared {
            state: Mutex::new(TargetState {
                service_time: config.service_time,
                cold: config.cold_start.map(ColdState::new),
                ..TargetState::default()
            }),
            slots: Semaphore::new(config.slots),
            finished: watch::Sender::new(0),
            client: Client::builder(TokioExecutor::new()).build_http(),
            crash,
            config,
        });
        let served = shared.clone();
        let server = LoopbackServer::start(move |request| served.clone().answer(request)).await?;
        let server = Arc::new(server);
        let crashing = Arc::downgrade(&server);
        tokio::spawn(async move {
            while crashes.recv().await.is_some() {
                let Some(server) = crashing.upgrade() else {
                    return;
                };
                server.cut();
            }
        });
        Ok(TargetStandIn {
            address: server.address(),
            server,
            shared,
        })
    }

    /// The address; it stays the same over crashes.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how long later requests run.
    pub fn set_service_time(&self, time: Duration) {
        self.shared.state().service_time = time;
    }

    /// Refuses new requests with status 503 while set; running ones finish.
    pub fn set_draining(&self, draining: bool) {
        self.shared.state().draining = draining;
    }

    /// Refuses new requests with status 503 and `retry-after` while set.
    pub fn set_shedding(&self, shedding: bool) {
        self.shared.state().shedding = shedding;
    }

    /// Puts a running worker back into its cold state, without any other sign.
    pub fn fall_cold(&self, start: ColdStart) {
        self.shared.state().cold = Some(ColdState::new(start));
    }

    /// Breaks all connections and stops listening, as a crash does.
    pub fn crash(&self) {
        self.shared.state().counts.crashes += 1;
        self.server.cut();
    }

    /// Starts again on the same address after a crash; cold when the
    /// configuration says so.
    ///
    /// # Errors
    ///
    /// When the port was taken meanwhile.
    pub async fn restart(&self) -> io::Result<()> {
        let served = self.shared.clone();
        self.shared.state().cold = self.shared.config.cold_start.map(ColdState::new);
        self.server
            .restart(move |request| served.clone().answer(request))
            .await
    }

    /// Makes the open connections silent; new ones work.
    pub fn silence_open(&self) {
        self.server.silence_open();
    }

    /// What the worker did since its first start.
    pub fn counts(&self) -> TargetCounts {
        TargetCounts {
            accepted: self.server.accepted(),
            connections: self.server.connections(),
            ..self.shared.state().counts
        }
    }

    /// How often a request with this idempotency key ran.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        self.shared.state().by_key.get(key).copied().unwrap_or(0)
    }

    /// How often the request with this id ran.
    pub fn runs_of_request(&self, id: &str) -> u64 {
        self.shared.state().by_id.get(id).copied().unwrap_or(0)
    }

    /// The keys that ran more than once.
    pub fn repeated_keys(&self) -> Vec<String> {
        let state = self.shared.state();
        let repeated = state.by_key.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(key, _)| key.clone()).collect()
    }

    /// The requests that began to run, in order.
    pub fn served(&self) -> Vec<ServedRequest> {
        self.shared.state().served.clone()
    }

    /// Waits until so many requests have run to their answer.
    pub async fn wait_finished(&self, count: u64) {
        // The sender lives in `self`, so the wait cannot fail.
        let _ = self
            .shared
            .finished
            .subscribe()
            .wait_for(|seen| *seen >= count)
            .await;
    }
}

impl TargetShared {
    fn state(&self) -> MutexGuard<'_, TargetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> ServerResult {
        if let Some(refusal) = self.refuse() {
            return Ok(refusal);
        }
        let (head, body) = request.into_parts();
        // A cut body is not a request; the connection is broken anyway.
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let Ok(_slot) = self.slots.acquire().await else {
            return Err(io::ErrorKind::ConnectionAborted.into());
        };
        let Some((running, time)) = RunningRequest::begin(&self, &head) else {
            return Ok(status(
                StatusCode::INTERNAL_SERVER_ERROR,
                "overloaded while cold",
            ));
        };
        if head.headers.contains_key(CRASH_HEADER) {
            self.state().counts.crashes += 1;
            // The crash aborts this connection, this request included.
            let _ = self.crash.send(());
            return std::future::pending().await;
        }
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let mut calls = 1;
        for call in &self.config.calls {
            match self.call(call, &head.headers).await {
                Some(made) => calls += made,
                None => {
                    running.finish();
                    return Ok(status(StatusCode::BAD_GATEWAY, "a further call failed"));
                }
            }
        }
        running.finish();
        let body = self
            .config
            .answer_bytes
            .map_or(body, |bytes| vec![b'.'; bytes].into());
        let mut response = Response::new(Full::new(body));
        let headers = response.headers_mut();
        headers.insert(CALLS, HeaderValue::from(calls));
        copy_header(&head.headers, headers, REQUEST_ID);
        for (name, text) in [
            (HOST_HEADER, &self.config.host),
            (REGION_HEADER, &self.config.region),
        ] {
            if let Ok(value) = HeaderValue::from_str(text) {
                headers.insert(name, value);
            }
        }
        Ok(response)
    }

    fn refuse(&self) -> Option<Response<Full<Bytes>>> {
        let mut state = self.state();
        if !state.draining && !state.shedding {
            return None;
        }
        state.counts.refused += 1;
        let mut refusal = status(StatusCode::SERVICE_UNAVAILABLE, "no new work");
        let headers = refusal.headers_mut();
        if state.draining {
            headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        } else {
            headers.insert(http::header::RETRY_AFTER, HeaderValue::from_static("1"));
        }
        Some(refusal)
    }

    /// Makes a further call; returns how many calls it took, itself included.
    async fn call(&self, call: &NextCall, headers: &HeaderMap) -> Option<u32> {
        let daemon = self.config.daemon?;
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{daemon}{}", call.path))
            .body(Full::default())
            .ok()?;
        for name in [CONTEXT, TRACE, REQUEST_ID] {
            copy_header(headers, request.headers_mut(), name);
        }
        let response = self.client.request(request).await.ok()?;
        let made = response.headers().get(CALLS);
        let made = made
            .and_then(|made| made.to_str().ok()?.parse().ok())
            .unwrap_or(1);
        let good = response.status().is_success();
        response.into_body().collect().await.ok()?;
        good.then_some(made)
    }
}

/// A request that runs; counted as interrupted unless it is finished.
struct RunningRequest {
    shared: Arc<TargetShared>,
    done: bool,
}

impl RunningRequest {
    /// Begins a request, or fails it when a cold worker is overloaded.
    fn begin(
        shared: &Arc<TargetShared>,
        head: &http::request::Parts,
    ) -> Option<(RunningRequest, Duration)> {
        let mut state = shared.state();
        let running = state.counts.running + 1;
        let mut time = state.service_time;
        if let Some(cold) = &mut state.cold {
            match cold.begin(running, time) {
                Some(slowed) => time = slowed,
                None => {
                    state.counts.collapsed += 1;
                    return None;
                }
            }
        }
        state.counts.running = running;
        state.counts.started += 1;
        state.counts.peak_running = state.counts.peak_running.max(running);
        if shared.config.record {
            state.record(head, &shared.config.region);
        }
        drop(state);
        let request = RunningRequest {
            shared: shared.clone(),
            done: false,
        };
        Some((request, time))
    }

    fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.counts.running -= 1;
        if !self.done {
            state.counts.interrupted += 1;
            return;
        }
        state.counts.finished += 1;
        let finished = state.counts.finished;
        let slots = self.shared.config.slots;
        if let Some(cold) = &mut state.cold
            && cold.finish() >= slots
        {
            state.cold = None;
        }
        drop(state);
        self.shared.finished.send_replace(finished);
    }
}

impl TargetState {
    fn record(&mut self, head: &http::request::Parts, region: &str) {
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let served = ServedRequest {
            id: text(REQUEST_ID),
            key: text(IDEMPOTENCY_KEY),
            path: head.uri.path().to_owned(),
            context: text(CONTEXT),
            traceparent: text(TRACE),
            region: region.to_owned(),
        };
        if !served.key.is_empty() {
            *self.by_key.entry(served.key.clone()).or_default() += 1;
        }
        if !served.id.is_empty() {
            *self.by_id.entry(served.id.clone()).or_default() += 1;
        }
        self.served.push(served);
    }
}

fn copy_header(from: &HeaderMap, to: &mut HeaderMap, name: &'static str) {
    if let Some(value) = from.get(name) {
        to.insert(name, value.clone());
    }
}

fn status(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}
