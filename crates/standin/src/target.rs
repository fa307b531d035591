//! A stand-in for a target: an HTTP worker of a service that can crash, drain,
//! shed load, stall or start cold.

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

/// The request header that makes the worker crash when it runs the request.
pub const CRASH_HEADER: &str = "x-standin-crash";
/// The request header that makes the worker answer with status 500.
pub const FAIL_HEADER: &str = "x-standin-fail";
/// The response header with the worker's host.
pub const HOST_HEADER: &str = "x-standin-host";
/// The response header with the worker's region.
pub const REGION_HEADER: &str = "x-standin-region";

const REQUEST_ID_HEADER: &str = "x-request-id";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const CONTEXT_HEADER: &str = "x-radishgauge-context";
const CALLS_HEADER: &str = "x-radishgauge-calls";
const TRACE_HEADER: &str = "traceparent";

/// The configuration of a worker.
#[derive(Debug, Clone)]
pub struct TargetConfig {
    /// The host name, sent in [`HOST_HEADER`].
    pub host: String,
    /// The region, sent in [`REGION_HEADER`] and noted in each [`ServedRequest`].
    pub region: String,
    /// The number of requests that run at once; further requests wait.
    pub slots: usize,
    /// The time that the worker takes for a request.
    pub service_time: Duration,
    /// The cold start after each start of the worker; `None` for a worker that
    /// is warm at once.
    pub cold_start: Option<ColdStart>,
    /// The length of a response body in bytes; `None` sends the request's body
    /// back.
    pub response_bytes: Option<usize>,
    /// The calls that the worker makes, one after the other, before it responds
    /// to a request.
    pub calls: Vec<DownstreamCall>,
    /// The address for callers of the daemon that carries `calls`.
    pub daemon: Option<SocketAddr>,
    /// Whether each request is kept for [`TargetStandIn::served`] and counted by
    /// its id and key.
    pub record_requests: bool,
}

impl Default for TargetConfig {
    fn default() -> TargetConfig {
        TargetConfig {
            host: "worker".to_owned(),
            region: "region".to_owned(),
            slots: 20,
            service_time: Duration::ZERO,
            cold_start: None,
            response_bytes: None,
            calls: Vec::new(),
            daemon: None,
            record_requests: true,
        }
    }
}

/// A call to another service that a worker makes through its daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DownstreamCall {
    /// The HTTP method of the call.
    pub method: http::Method,
    /// The path, which selects the service.
    pub path: String,
}

/// Counts of a worker since its first start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetCounts {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran until their response was ready.
    pub finished: u64,
    /// Requests that ended early because their caller disconnected or the worker
    /// crashed.
    pub interrupted: u64,
    /// Requests refused while draining or shedding.
    pub refused: u64,
    /// Requests that failed because the worker was cold and overloaded.
    pub collapsed: u64,
    /// Crashes, by [`TargetStandIn::crash`] or [`CRASH_HEADER`].
    pub crashes: u64,
    /// Requests that run now.
    pub running: usize,
    /// The greatest number of requests that ran at once.
    pub peak_running: usize,
    /// Connections accepted, over all starts.
    pub accepted: usize,
    /// Connections open now.
    pub connections: usize,
}

/// One request that began to run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServedRequest {
    /// The value of `x-request-id`, or empty.
    pub id: String,
    /// The value of `idempotency-key`, or empty.
    pub key: String,
    /// The path of the request's URI.
    pub path: String,
    /// The value of `x-radishgauge-context`, or empty.
    pub context: String,
    /// The value of `traceparent`, or empty.
    pub traceparent: String,
    /// The region of the worker.
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
    runs_by_key: IndexMap<String, u64>,
    runs_by_id: IndexMap<String, u64>,
    served: Vec<ServedRequest>,
}

impl TargetStandIn {
    /// Starts a worker on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port is free.
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
        let weak_server = Arc::downgrade(&server);
        tokio::spawn(async move {
            while crashes.recv().await.is_some() {
                let Some(server) = weak_server.upgrade() else {
                    return;
                };
                server.abort_all();
            }
        });
        Ok(TargetStandIn {
            address: server.address(),
            server,
            shared,
        })
    }

    /// Returns the worker's address, which is the same after a crash and restart.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the service time of later requests.
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

    /// Makes a running worker cold without a restart, so that nothing tells its
    /// daemon about it.
    pub fn make_cold(&self, start: ColdStart) {
        self.shared.state().cold = Some(ColdState::new(start));
    }

    /// Closes all connections and stops listening, as when the process crashes.
    pub fn crash(&self) {
        self.shared.state().counts.crashes += 1;
        self.server.abort_all();
    }

    /// Starts the worker again at the same address after a crash. It is cold if
    /// [`TargetConfig::cold_start`] is set.
    ///
    /// # Errors
    ///
    /// Fails if another process has bound the port since the crash.
    pub async fn restart(&self) -> io::Result<()> {
        let served = self.shared.clone();
        self.shared.state().cold = self.shared.config.cold_start.map(ColdState::new);
        self.server
            .restart(move |request| served.clone().answer(request))
            .await
    }

    /// Stops all traffic on the open connections without closing them. New
    /// connections are not affected.
    pub fn stall_open_connections(&self) {
        self.server.stall_open_connections();
    }

    /// Returns the counts since the worker's first start.
    pub fn counts(&self) -> TargetCounts {
        TargetCounts {
            accepted: self.server.accepted(),
            connections: self.server.connections(),
            ..self.shared.state().counts
        }
    }

    /// Returns how many requests with this idempotency key ran.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        self.shared
            .state()
            .runs_by_key
            .get(key)
            .copied()
            .unwrap_or(0)
    }

    /// Returns how many requests with this id ran.
    pub fn runs_of_request(&self, id: &str) -> u64 {
        self.shared.state().runs_by_id.get(id).copied().unwrap_or(0)
    }

    /// Returns the idempotency keys of which more than one request ran.
    pub fn repeated_keys(&self) -> Vec<String> {
        let state = self.shared.state();
        let repeated = state.runs_by_key.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the requests that began to run, in the order of their start.
    pub fn served(&self) -> Vec<ServedRequest> {
        self.shared.state().served.clone()
    }

    /// Waits until at least `count` requests have finished.
    pub async fn wait_finished(&self, count: u64) {
        // `self` owns the sender, so the wait cannot fail.
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
        // A request with an incomplete body is not run: its connection is already
        // closed.
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
            // The crash aborts the task that serves this connection.
            let _ = self.crash.send(());
            return std::future::pending().await;
        }
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        if head.headers.contains_key(FAIL_HEADER) {
            running.finish();
            return Ok(status(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
        }
        let mut calls = 1;
        for call in &self.config.calls {
            match self.call(call, &head.headers).await {
                Some(call_count) => calls += call_count,
                None => {
                    running.finish();
                    return Ok(status(StatusCode::BAD_GATEWAY, "a further call failed"));
                }
            }
        }
        running.finish();
        let body = self
            .config
            .response_bytes
            .map_or(body, |bytes| vec![b'.'; bytes].into());
        let mut response = Response::new(Full::new(body));
        let headers = response.headers_mut();
        headers.insert(CALLS_HEADER, HeaderValue::from(calls));
        copy_header(&head.headers, headers, REQUEST_ID_HEADER);
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

    /// Makes a call through the daemon. Returns the number of calls made for it,
    /// itself included, or `None` if it failed.
    async fn call(&self, call: &DownstreamCall, headers: &HeaderMap) -> Option<u32> {
        let daemon = self.config.daemon?;
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{daemon}{}", call.path))
            .body(Full::default())
            .ok()?;
        for name in [CONTEXT_HEADER, TRACE_HEADER, REQUEST_ID_HEADER] {
            copy_header(headers, request.headers_mut(), name);
        }
        let response = self.client.request(request).await.ok()?;
        let call_count = response.headers().get(CALLS_HEADER);
        let call_count = call_count
            .and_then(|call_count| call_count.to_str().ok()?.parse().ok())
            .unwrap_or(1);
        let good = response.status().is_success();
        response.into_body().collect().await.ok()?;
        good.then_some(call_count)
    }
}

/// A request that runs. If it is dropped before [`RunningRequest::finish`], it
/// counts as interrupted.
struct RunningRequest {
    shared: Arc<TargetShared>,
    is_finished: bool,
}

impl RunningRequest {
    /// Starts a request and returns it with its service time, or `None` if the
    /// worker is cold and overloaded.
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
        if shared.config.record_requests {
            state.record(head, &shared.config.region);
        }
        drop(state);
        let request = RunningRequest {
            shared: shared.clone(),
            is_finished: false,
        };
        Some((request, time))
    }

    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.counts.running -= 1;
        if !self.is_finished {
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
            id: text(REQUEST_ID_HEADER),
            key: text(IDEMPOTENCY_KEY_HEADER),
            path: head.uri.path().to_owned(),
            context: text(CONTEXT_HEADER),
            traceparent: text(TRACE_HEADER),
            region: region.to_owned(),
        };
        if !served.key.is_empty() {
            *self.runs_by_key.entry(served.key.clone()).or_default() += 1;
        }
        if !served.id.is_empty() {
            *self.runs_by_id.entry(served.id.clone()).or_default() += 1;
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
