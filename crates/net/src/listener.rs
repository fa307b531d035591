//! Listeners for callers and for operators.
//!
//! Requests and answers are streamed, so an upload is never held whole. Limits
//! on headers and bodies apply before the handler sees a byte beyond them, and
//! a stop lets every request under way finish.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use tokio::sync::oneshot;
use xitca_web::HttpServer;
use xitca_web::body::Body;
use xitca_web::body::BodyExt;
use xitca_web::body::Frame;
use xitca_web::body::RequestBody;
use xitca_web::body::ResponseBody;
use xitca_web::body::SizeHint;
use xitca_web::body::StreamBody;
use xitca_web::http::RequestExt;
use xitca_web::service::fn_service;

/// An error of any kind, as bodies report it.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// An answer to a caller or an operator.
pub type HttpAnswer = Response<AnswerBody>;

/// The greatest number of header fields in a request.
const HEADER_FIELDS: usize = 128;
/// The read buffer of one connection; a request head cannot be larger.
const READ_BUFFER: usize = 1024 * 1024;
/// The write buffer of one connection, after which the answer waits for the caller.
const WRITE_BUFFER: usize = 256 * 1024;
/// How long an idle connection of a caller is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// How long a caller may take to send a request head.
const HEAD_TIME: Duration = Duration::from_secs(10);

/// Bounds of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenLimits {
    /// The greatest request head in bytes; at most 1 MiB.
    pub head: usize,
    /// The greatest request body in bytes.
    pub body: u64,
    /// The threads that serve connections.
    pub threads: usize,
    /// The requests under way; more are refused with status 503 before they run.
    pub requests: usize,
}

impl Default for ListenLimits {
    fn default() -> ListenLimits {
        ListenLimits {
            head: 32 * 1024,
            body: 64 * 1024 * 1024,
            threads: 4,
            requests: 4096,
        }
    }
}

/// A request whose body is still to be read.
pub struct HttpRequest {
    /// Method, target, version and headers.
    pub head: Parts,
    /// The address of the caller.
    pub remote: SocketAddr,
    /// The body.
    pub body: HttpBody,
}

/// Why a body could not be read to its end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyFault {
    /// The body is longer than the limit.
    #[error("the body exceeds the limit of {limit} bytes")]
    TooLarge {
        /// The limit.
        limit: u64,
    },
    /// The caller's connection ended before the body did.
    #[error("the body was cut off: {0}")]
    Cut(String),
}

/// The body of a request, read in pieces.
pub struct HttpBody {
    inner: RequestBody,
    limit: u64,
    seen: u64,
}

impl HttpBody {
    /// Returns the next piece, or `None` after the whole body.
    ///
    /// # Errors
    ///
    /// When the body is cut off or exceeds the limit.
    pub async fn data(&mut self) -> Result<Option<Bytes>, BodyFault> {
        loop {
            match self.inner.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(BodyFault::Cut(error.to_string())),
                Some(Ok(Frame::Trailers(_))) => {}
                Some(Ok(Frame::Data(data))) => {
                    self.seen += data.len() as u64;
                    if self.seen > self.limit {
                        return Err(BodyFault::TooLarge { limit: self.limit });
                    }
                    return Ok(Some(data));
                }
            }
        }
    }

    /// Receives the whole body.
    ///
    /// # Errors
    ///
    /// As [`HttpBody::data`], and when the body is longer than `limit` bytes.
    pub async fn whole(&mut self, limit: u64) -> Result<Bytes, BodyFault> {
        let mut pieces = Vec::new();
        self.limit = self.limit.min(limit);
        while let Some(data) = self.data().await? {
            pieces.push(data);
        }
        match <[Bytes; 1]>::try_from(pieces) {
            Ok([single]) => Ok(single),
            Err(pieces) => Ok(pieces.concat().into()),
        }
    }

    /// Returns the pieces as a stream; it stays on the listener's thread.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, BodyFault>> + 'static {
        futures_util::stream::try_unfold(self, |mut body| async move {
            Ok(body.data().await?.map(|data| (data, body)))
        })
    }
}

/// The body of an answer.
pub struct AnswerBody(AnswerKind);

enum AnswerKind {
    Whole(Bytes),
    Stream(ResponseBody),
}

impl AnswerBody {
    /// A body that is at hand.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody(AnswerKind::Whole(bytes.into()))
    }

    /// A body that is sent as it arrives. An error of the stream ends the
    /// caller's connection abnormally, so that a part is never taken for the whole.
    pub fn stream<S>(stream: S) -> AnswerBody
    where
        S: Stream<Item = Result<Bytes, BoxError>> + 'static,
    {
        let frames = Box::pin(stream.map(|data| data.map(Frame::Data)));
        AnswerBody(AnswerKind::Stream(ResponseBody::boxed(StreamBody::new(
            frames,
        ))))
    }
}

impl Default for AnswerBody {
    fn default() -> AnswerBody {
        AnswerBody::whole(Bytes::new())
    }
}

/// A running listener for callers; HTTP/1.1 on a TCP address.
pub struct CallerListener(RunningListener);

impl CallerListener {
    /// Binds the address and serves until [`CallerListener::stop`].
    ///
    /// The handler runs on the listener's own threads, one task a connection,
    /// and is dropped when the caller goes away.
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
        RunningListener::bind(address, limits, handler).map(CallerListener)
    }

    /// The bound address.
    pub fn local_address(&self) -> SocketAddr {
        self.0.address
    }

    /// The requests under way.
    pub fn running(&self) -> usize {
        self.0.state.running.load(Ordering::Acquire)
    }

    /// Accepts no more connections, lets the requests under way finish, and
    /// ends. Dropping the future leaves the listener stopping.
    pub async fn stop(self) {
        self.0.stop().await;
    }
}

/// A running listener for operators.
pub struct OperatorListener(RunningListener);

impl OperatorListener {
    /// Binds the address and serves until [`OperatorListener::stop`]; one
    /// thread, and bodies of at most 64 KB, since operators only ask.
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
        RunningListener::bind(address, limits, handler).map(OperatorListener)
    }

    /// The bound address.
    pub fn local_address(&self) -> SocketAddr {
        self.0.address
    }

    /// As [`CallerListener::stop`].
    pub async fn stop(self) {
        self.0.stop().await;
    }
}

struct RunningListener {
    address: SocketAddr,
    state: Arc<ListenState>,
    stop: Box<dyn Fn() + Send + Sync>,
    ended: oneshot::Receiver<()>,
}

#[derive(Default)]
struct ListenState {
    stopping: AtomicBool,
    running: AtomicUsize,
}

impl RunningListener {
    fn bind<H, F>(
        address: SocketAddr,
        limits: ListenLimits,
        handler: H,
    ) -> std::io::Result<RunningListener>
    where
        H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HttpAnswer> + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(ListenState::default());
        let served = state.clone();
        let service = fn_service(move |request: Request<RequestExt<RequestBody>>| {
            let state = served.clone();
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(answer(request, limits, &state, handler).await) }
        });
        let mut server = HttpServer::serve(service)
            .worker_threads(limits.threads.max(1))
            .disable_signal()
            .keep_alive_timeout(KEEP_ALIVE)
            .request_head_timeout(HEAD_TIME)
            .max_read_buf_size::<READ_BUFFER>()
            .max_write_buf_size::<WRITE_BUFFER>()
            .max_request_headers::<HEADER_FIELDS>()
            .listen(listener)?
            .run();
        let handle = server.handle()?;
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
            state,
            stop: Box::new(move || handle.stop(true)),
            ended,
        })
    }

    async fn stop(self) {
        self.state.stopping.store(true, Ordering::Release);
        (self.stop)();
        // The sender is dropped only together with the server's thread.
        let _ = self.ended.await;
    }
}

/// Counts one request under way until it is dropped.
struct RunningRequest(Arc<ListenState>);

impl RunningRequest {
    fn begin(state: &Arc<ListenState>, limit: usize) -> Option<RunningRequest> {
        let before = state.running.fetch_add(1, Ordering::AcqRel);
        let request = RunningRequest(state.clone());
        (before < limit).then_some(request)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Checks the limits, runs the handler, and turns its answer into the listener's form.
async fn answer<H, F>(
    request: Request<RequestExt<RequestBody>>,
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
    if declared_length(&head).is_some_and(|length| length > limits.body) {
        return refusal(StatusCode::PAYLOAD_TOO_LARGE, "request body too large");
    }
    let Some(running) = RunningRequest::begin(state, limits.requests) else {
        return refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "too many requests under way",
        );
    };
    let request = HttpRequest {
        head,
        remote,
        body: HttpBody {
            inner,
            limit: limits.body,
            seen: 0,
        },
    };
    let (mut head, body) = handler(request).await.into_parts();
    if state.stopping.load(Ordering::Acquire) {
        head.headers
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let body = match body.0 {
        AnswerKind::Whole(bytes) => ResponseBody::bytes(bytes),
        AnswerKind::Stream(stream) => ResponseBody::boxed(CountedBody {
            inner: stream,
            _running: running,
        }),
    };
    Response::from_parts(head, body)
}

/// A streamed answer that counts as a request under way until its end.
struct CountedBody {
    inner: ResponseBody,
    _running: RunningRequest,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
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

/// An answer to a request that was not run. The connection is closed, since the
/// request's body was not read.
fn refusal(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::bytes(reason));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    headers.insert("x-radishgauge-verdict", HeaderValue::from_static("not-run"));
    headers.insert("x-radishgauge-reason", HeaderValue::from_static(reason));
    response
}
