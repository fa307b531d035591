//! Listeners for callers and for operators.
//!
//! Requests and answers are streamed, so an upload is never buffered completely.
//! Limits on headers and bodies are enforced before the handler receives a byte
//! beyond them, and a stop waits for all requests under way.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::TcpStream;
use xitca_web::body::Body;
use xitca_web::body::Frame;
use xitca_web::body::RequestBody;
use xitca_web::body::ResponseBody;
use xitca_web::body::SizeHint;
use xitca_web::http::RequestExt;
use xitca_web::service::Service;
use xitca_web::service::ServiceExt;
use xitca_web::service::fn_service;

use crate::byte_budget::BudgetShare;
use crate::byte_budget::ByteBudget;
use crate::caller_registry::CallerRegistry;
use crate::caller_registry::OUTBOX_BYTES;
use crate::caller_stream::CallerStreamFactory;
use crate::clock::ProcessClock;
use crate::clock::SystemClock;
use crate::connection;
use crate::connection::ConnectionActivity;
use crate::connection::ConnectionGuard;
use crate::connection::StopSignal;
use crate::connection::StoppableListener;
use crate::connection_table::ConnectionPhase;
use crate::connection_table::TableLimits;
use crate::exchange::AnswerKind;
use crate::exchange::BoxError;
use crate::exchange::ChunkStream;
use crate::exchange::HttpAnswer;
use crate::exchange::HttpBody;
use crate::exchange::HttpRequest;
use crate::head_bounds::HeadBounds;
use crate::head_bounds::HeadLimits;
use crate::request_framing::HEADER_FIELDS;

/// How many times the greatest head may be received. A head somewhat over the limit is
/// received completely, so that its caller reads the refusal.
const HEAD_FACTOR: usize = 2;
/// The read buffer of one connection in bytes; a request head cannot be larger.
const READ_BUFFER: usize = 1024 * 1024;
/// The write buffer of one connection in bytes; an answer that fills it waits
/// until the caller has read some of it.
const WRITE_BUFFER: usize = 4 * 1024;
/// The greatest length in bytes of an answer that is written in one part. The buffer for it
/// is a part of each connection's memory.
const SHORT_ANSWER: usize = 4 * 1024;
/// The length in bytes of the parts in which a long answer is written. The buffer for them
/// grows to twice this length.
const ANSWER_PART: usize = OUTBOX_BYTES / 2;
/// How long an idle connection of another daemon is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// The index of the address to which callers connect.
const CALLERS_INDEX: usize = 0;
/// How long the listener's threads may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Bounds of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenLimits {
    /// The greatest request head in bytes; at most 1 MiB.
    pub head: usize,
    /// The greatest request body, in bytes.
    pub body: u64,
    /// The number of threads that serve connections.
    pub threads: usize,
    /// The greatest number of requests under way; further requests are refused
    /// with status 503 before they run.
    pub requests: usize,
    /// The greatest number of open connections to the first address; further ones are
    /// closed at once, so that descriptors are left for the other addresses.
    pub connections: usize,
    /// How long a caller may leave the bytes of an answer unacknowledged before its
    /// connection is closed.
    pub unread: Duration,
    /// How long a connection of a caller is kept without a request.
    pub idle: Duration,
    /// How late a caller may be with a transfer when its place is needed, or its memory
    /// while all is free. The less is free, the less late it may be.
    pub stall: Duration,
    /// The least number of bytes a second that a caller must transfer to be in time.
    pub least_rate: u32,
    /// How long a stop waits for the requests under way.
    pub stop: Duration,
}

impl Default for ListenLimits {
    fn default() -> ListenLimits {
        ListenLimits {
            head: 32 * 1024,
            body: 64 * 1024 * 1024,
            threads: 4,
            requests: 4096,
            connections: usize::MAX,
            unread: Duration::from_secs(30),
            idle: KEEP_ALIVE,
            stall: Duration::from_secs(1),
            least_rate: 4 * 1024,
            stop: Duration::from_secs(30),
        }
    }
}

/// A running HTTP/1.1 listener for callers.
pub struct CallerListener(RunningListener);

impl CallerListener {
    /// Binds the address and serves until [`CallerListener::stop`].
    ///
    /// The handler runs on the listener's own threads, with one task per
    /// connection, and is dropped when the caller disconnects.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound or the threads cannot be started.
    pub fn bind<H, F>(
        address: SocketAddr,
        limits: ListenLimits,
        handler: H,
    ) -> std::io::Result<CallerListener>
    where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HttpAnswer> + 'static,
    {
        let clock = Arc::new(SystemClock::start());
        CallerListener::bind_all(&[address], limits, clock, handler)
    }

    /// As [`CallerListener::bind`], for several addresses that the same threads
    /// serve; [`HttpRequest::address_index`] is the index of the address at which a
    /// request arrived. The connections to the first address are those of callers.
    ///
    /// # Errors
    ///
    /// As [`CallerListener::bind`].
    pub fn bind_all<H, F>(
        addresses: &[SocketAddr],
        limits: ListenLimits,
        clock: Arc<dyn ProcessClock>,
        handler: H,
    ) -> std::io::Result<CallerListener>
    where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HttpAnswer> + 'static,
    {
        RunningListener::bind(addresses, limits, clock, handler).map(CallerListener)
    }

    /// Returns the bound address, or the first one of several.
    pub fn local_address(&self) -> SocketAddr {
        self.0.address
    }

    /// Returns the runtime of one of the listener's threads, which ends with the
    /// listener. An endpoint that is bound in this runtime passes a call's packets
    /// to the handler without waking another thread.
    pub fn runtime(&self) -> &Handle {
        &self.0.runtime
    }

    /// Returns the bounds of request heads at the first address, which can be changed.
    pub fn head_bounds(&self) -> Option<Arc<HeadBounds>> {
        self.0.heads.clone()
    }

    /// Returns the connections of callers, which are those to the first address.
    pub fn registry(&self) -> &Arc<CallerRegistry> {
        &self.0.state.registry
    }

    /// Returns the number of requests under way.
    pub fn running(&self) -> usize {
        self.0.state.running.load(Ordering::Acquire)
    }

    /// Returns the counter of requests under way, which stays readable during a
    /// stop.
    pub fn running_count(&self) -> RunningCount {
        RunningCount(self.0.state.clone())
    }

    /// Stops accepting connections, and waits until the requests under way have
    /// ended. Dropping the listener does the same without waiting.
    pub async fn stop(self) {
        self.0.stop().await;
    }
}

/// The counter of requests under way at a listener.
pub struct RunningCount(Arc<ListenState>);

impl RunningCount {
    /// Returns the number of requests under way.
    pub fn get(&self) -> usize {
        self.0.running.load(Ordering::Acquire)
    }
}

/// A running HTTP/1.1 listener for operators.
pub struct OperatorListener(RunningListener);

impl OperatorListener {
    /// Binds the address and serves until [`OperatorListener::stop`], with one
    /// thread and bodies of at most 64 KB, which suffices for operators' requests.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound or the thread cannot be started.
    pub fn bind<H, F>(address: SocketAddr, handler: H) -> std::io::Result<OperatorListener>
    where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HttpAnswer> + 'static,
    {
        let limits = ListenLimits {
            body: 64 * 1024,
            threads: 1,
            requests: 64,
            ..ListenLimits::default()
        };
        let clock = Arc::new(SystemClock::start());
        RunningListener::bind(&[address], limits, clock, handler).map(OperatorListener)
    }

    /// Returns the bound address.
    pub fn local_address(&self) -> SocketAddr {
        self.0.address
    }

    /// Stops the listener as [`CallerListener::stop`] does.
    pub async fn stop(self) {
        self.0.stop().await;
    }
}

struct RunningListener {
    address: SocketAddr,
    /// The bounds of heads at the first address.
    heads: Option<Arc<HeadBounds>>,
    state: Arc<ListenState>,
    stop: Box<dyn Fn() + Send + Sync>,
    ended: oneshot::Receiver<()>,
    runtime: Handle,
}

struct ListenState {
    stop: StopSignal,
    running: AtomicUsize,
    /// The open connections to the first address.
    registry: Arc<CallerRegistry>,
}

impl RunningListener {
    fn bind<H, F>(
        addresses: &[SocketAddr],
        limits: ListenLimits,
        clock: Arc<dyn ProcessClock>,
        handler: H,
    ) -> std::io::Result<RunningListener>
    where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HttpAnswer> + 'static,
    {
        let listeners = addresses
            .iter()
            .map(TcpListener::bind)
            .collect::<std::io::Result<Vec<_>>>()?;
        let address = listeners
            .first()
            .ok_or_else(|| std::io::Error::other("no address to listen on"))?
            .local_addr()?;
        let table_limits = TableLimits {
            places: limits.connections,
            stall: limits.stall,
            least_rate: limits.least_rate,
        };
        let state = Arc::new(ListenState {
            stop: StopSignal::default(),
            running: AtomicUsize::new(0),
            registry: Arc::new(CallerRegistry::new(table_limits, clock)),
        });
        let config = HttpServiceConfig::new()
            .request_head_timeout(HEAD_TIMEOUT)
            .max_read_buf_size::<READ_BUFFER>()
            .max_write_buf_size::<WRITE_BUFFER>()
            .max_request_headers::<HEADER_FIELDS>();
        let head_limits = HeadLimits {
            bytes: limits.head.saturating_mul(HEAD_FACTOR).min(READ_BUFFER),
            time: HEAD_TIMEOUT,
        };
        let heads: Vec<Arc<HeadBounds>> = addresses
            .iter()
            .map(|_| Arc::new(HeadBounds::new(head_limits)))
            .collect();
        let (started, runtimes) = std::sync::mpsc::channel();
        let mut builder = xitca_server::Builder::new()
            .worker_threads(limits.threads.max(1))
            .shutdown_timeout(limits.stop.as_secs().max(1))
            .disable_signal();
        for (address_index, listener) in listeners.into_iter().enumerate() {
            let served = state.clone();
            let handler = handler.clone();
            let service = fn_service(move |request: Request<RequestExt<RequestBody>>| {
                let state = served.clone();
                let handler = handler.clone();
                async move {
                    Ok::<_, Infallible>(
                        handle_request(request, address_index, limits, &state, handler).await,
                    )
                }
            });
            let watched = state.clone();
            let keep_alive = match address_index {
                CALLERS_INDEX => limits.idle,
                _ => KEEP_ALIVE,
            };
            let service = service
                .enclosed(RuntimeReporter(started.clone()))
                .enclosed(
                    // There is no TLS here: the library's hook for it is the only way to put
                    // a stream of our own between the socket and its parser.
                    HttpServiceBuilder::h1()
                        .config(config.keep_alive_timeout(keep_alive))
                        .with_tls(CallerStreamFactory(Arc::clone(&heads[address_index]))),
                )
                .enclosed_fn(
                    async move |service: &_, (stream, remote): (TcpStream, SocketAddr)| {
                        let place = match address_index {
                            CALLERS_INDEX => watched.registry.open().await,
                            _ => None,
                        };
                        if place.is_none() && address_index == CALLERS_INDEX {
                            // The connection is closed without an answer: none of its
                            // requests was read.
                            return Ok(());
                        }
                        let (stop, unread) = (&watched.stop, limits.unread);
                        connection::serve(service, stream, remote, place, stop, unread).await
                    },
                );
            builder = builder.listen(
                format!("listener {address_index}"),
                StoppableListener::new(listener, state.stop.clone()),
                service,
            );
        }
        let mut server = builder.build();
        let handle = server.handle()?;
        let runtime = runtimes
            .recv_timeout(START_TIMEOUT)
            .map_err(|_| std::io::Error::other("the listener's threads did not start"))?;
        let (end, ended) = oneshot::channel();
        std::thread::Builder::new()
            .name("listener".to_owned())
            .spawn(move || {
                // The server fails only while it starts, which `handle` reported.
                let _ = server.wait();
                let _ = end.send(());
            })?;
        Ok(RunningListener {
            address,
            heads: heads.into_iter().next(),
            state,
            stop: Box::new(move || handle.stop(true)),
            ended,
            runtime,
        })
    }

    async fn stop(mut self) {
        self.begin_stop();
        // The sender is dropped only together with the server's thread.
        let _ = (&mut self.ended).await;
    }

    fn begin_stop(&self) {
        self.state.stop.send();
        (self.stop)();
    }
}

impl Drop for RunningListener {
    fn drop(&mut self) {
        self.begin_stop();
    }
}

/// Sends the runtime of each thread to `bind` when the thread builds its service.
struct RuntimeReporter(std::sync::mpsc::Sender<Handle>);

impl<S, E> Service<Result<S, E>> for RuntimeReporter {
    type Response = S;
    type Error = E;

    async fn call(&self, built: Result<S, E>) -> Result<S, E> {
        // Only the first report is read.
        let _ = self.0.send(Handle::current());
        built
    }
}

/// Counts one request as under way at the listener and at its connection, until
/// dropped.
struct RunningRequest {
    state: Arc<ListenState>,
    _connection: ConnectionGuard,
    /// The memory of a caller's request.
    _share: Option<BudgetShare<Arc<ByteBudget>>>,
}

impl RunningRequest {
    /// Counts a request.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal if there are too many requests, or no memory is
    /// left.
    async fn begin(
        state: &Arc<ListenState>,
        connection: &ConnectionActivity,
        limit: usize,
    ) -> Result<RunningRequest, &'static str> {
        let before = state.running.fetch_add(1, Ordering::AcqRel);
        let mut request = RunningRequest {
            state: state.clone(),
            _connection: ConnectionGuard::begin(),
            _share: None,
        };
        if before >= limit {
            return Err("too many requests under way");
        }
        if let Some(registry) = connection.registry() {
            let share = registry.request_share().await;
            request._share = Some(share.ok_or("no memory for the request")?);
        }
        Ok(request)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Checks the limits, runs the handler, and converts its answer for the library.
async fn handle_request<H, F>(
    request: Request<RequestExt<RequestBody>>,
    address_index: usize,
    limits: ListenLimits,
    state: &Arc<ListenState>,
    handler: H,
) -> Response<ResponseBody>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpAnswer>,
{
    let (head, extended) = request.into_parts();
    let remote = *extended.socket_addr();
    let (_, inner) = extended.replace_body(());
    if head_size(&head) > limits.head {
        return refusal(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "request head too large",
        );
    }
    let declared = match head.headers.contains_key(header::TRANSFER_ENCODING) {
        true => None,
        false => Some(declared_length(&head).unwrap_or_default()),
    };
    if declared.is_some_and(|length| length > limits.body) {
        return refusal(StatusCode::PAYLOAD_TOO_LARGE, "request body too large");
    }
    let connection = ConnectionActivity::current();
    let running = match RunningRequest::begin(state, &connection, limits.requests).await {
        Ok(running) => running,
        Err(reason) => return refusal(StatusCode::SERVICE_UNAVAILABLE, reason),
    };
    let request = HttpRequest {
        head,
        remote,
        address_index,
        body: HttpBody::new(inner, declared, limits.body),
    };
    // The handler's state is large, and most connections have no request under way.
    let (mut head, body) = Box::pin(handler(request)).await.into_parts();
    connection.enter(ConnectionPhase::Answering);
    if state.stop.is_sent() {
        head.headers
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let body = match body.into_kind() {
        AnswerKind::Whole(bytes) if bytes.len() <= SHORT_ANSWER => ResponseBody::bytes(bytes),
        AnswerKind::Whole(bytes) => ResponseBody::boxed(LongBody {
            rest: bytes,
            part: match connection.has_outbox() {
                true => ANSWER_PART,
                false => SHORT_ANSWER,
            },
            _running: running,
        }),
        AnswerKind::Stream(stream) => ResponseBody::boxed(CountedBody {
            chunks: stream,
            _running: running,
        }),
    };
    Response::from_parts(head, body)
}

/// A long answer that is passed to the library in parts, so that its write buffer does not
/// hold a second copy.
struct LongBody {
    rest: Bytes,
    /// The length of a part in bytes.
    part: usize,
    _running: RunningRequest,
}

impl Body for LongBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(self.part);
        let part = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::Data(part))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.rest.len() as u64)
    }
}

/// A streamed answer that counts as a request under way until its end.
///
/// The library's own adapter uses the stream's size hint, a number of chunks, as
/// the length of the body in bytes, and cuts the answer off there. This adapter
/// reports an unknown size.
struct CountedBody {
    chunks: ChunkStream,
    _running: RunningRequest,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.chunks
            .as_mut()
            .poll_next(cx)
            .map(|chunk| chunk.map(|data| data.map(Frame::Data)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Unknown
    }
}

fn head_size(head: &Parts) -> usize {
    // Each field has a colon, a space and a line end besides its name and value.
    const FIELD_EXTRA: usize = 4;
    let target = head
        .uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let fields = head.headers.iter();
    target
        + fields
            .map(|(name, value)| name.as_str().len() + value.len() + FIELD_EXTRA)
            .sum::<usize>()
}

fn declared_length(head: &Parts) -> Option<u64> {
    head.headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Returns the answer to a request that was not run. It closes the connection,
/// because the body of the request was not read.
fn refusal(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::bytes(reason));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    headers.insert("x-radishgauge-verdict", HeaderValue::from_static("not-run"));
    headers.insert("x-radishgauge-reason", HeaderValue::from_static(reason));
    response
}
