//! Requests to the targets of this host.
//!
//! Whether a request may be repeated depends on whether the target may have
//! seen a byte of it, so every connection has a gate that records the first
//! write and can be shut before it. The pool is bounded by what the target
//! accepts, and a connection that was idle for long is replaced, because the
//! path behind it may have gone silent.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use http::Request;
use http::Response;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::exchange::BoxError;
use crate::gate::GatedStream;
use crate::gate::WriteGate;

/// Bounds of the connections to one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLimits {
    /// The connections that the target accepts; more requests wait.
    pub connections: usize,
    /// How long a connection attempt may take.
    pub connect: Duration,
    /// After how long without use a connection is replaced.
    pub idle: Duration,
    /// The greatest head of an answer in bytes.
    pub head: usize,
    /// How long sent bytes may stay unacknowledged before the connection is
    /// given up; `None` for the system's own limit.
    pub unacknowledged: Option<Duration>,
}

impl Default for TargetLimits {
    fn default() -> TargetLimits {
        TargetLimits {
            connections: 110,
            // A target is on this host or next to it; a new connection takes about 1 ms.
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(5),
            head: 64 * 1024,
            unacknowledged: None,
        }
    }
}

/// A failed request to a target.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{fault}")]
pub struct TargetError {
    /// What went wrong.
    pub fault: TargetFault,
    /// Whether any byte of the request may have been handed to the connection.
    pub sent: bool,
}

/// The kinds of failure towards a target.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetFault {
    /// No connection could be opened.
    #[error("no connection to the target: {0}")]
    Connect(String),
    /// The connection ended before the head of the answer.
    #[error("the target did not answer: {0}")]
    Lost(String),
    /// The body of the answer was cut off.
    #[error("the target's answer was cut off: {0}")]
    Cut(String),
    /// The answer is longer than the limit given.
    #[error("the target's answer exceeds {0} bytes")]
    TooLarge(usize),
}

/// The body of a request to a target.
pub struct TargetBody {
    inner: UnsyncBoxBody<Bytes, BoxError>,
    done: Arc<AtomicBool>,
}

impl TargetBody {
    /// A body that is at hand.
    pub fn whole(bytes: impl Into<Bytes>) -> TargetBody {
        let whole = Full::new(bytes.into()).map_err(|never| match never {});
        TargetBody::boxed(whole.boxed_unsync())
    }

    /// A body that is sent as it arrives; an error of the stream closes the
    /// connection, so that the target sees a cut body.
    pub fn stream<S>(stream: S) -> TargetBody
    where
        S: Stream<Item = Result<Bytes, BoxError>> + Send + 'static,
    {
        TargetBody::boxed(StreamBody::new(stream.map(|data| data.map(Frame::data))).boxed_unsync())
    }

    fn boxed(inner: UnsyncBoxBody<Bytes, BoxError>) -> TargetBody {
        let done = Arc::new(AtomicBool::new(inner.is_end_stream()));
        TargetBody { inner, done }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.inner.is_end_stream() {
            self.done.store(true, Ordering::Release);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// What became of one request, readable also after its future was dropped.
#[derive(Debug, Default)]
pub struct RequestProgress {
    gate: ArcSwapOption<WriteGate>,
}

impl RequestProgress {
    /// Returns whether any byte of the request may have been handed to a
    /// connection. When it returns false, none ever will be. To be called after
    /// the future of the request has ended or was dropped.
    pub fn seal(&self) -> bool {
        self.gate.load().as_ref().is_some_and(|gate| gate.shut())
    }
}

/// The connections to one target; clones share them.
#[derive(Clone)]
pub struct TargetClient {
    shared: Arc<TargetShared>,
}

struct TargetShared {
    address: SocketAddr,
    limits: TargetLimits,
    permits: Arc<Semaphore>,
    idle: Mutex<VecDeque<IdleConnection>>,
    open: Arc<OpenConnections>,
}

/// Counts the open connections, and how often the target ended the last one.
#[derive(Default)]
struct OpenConnections {
    count: AtomicUsize,
    losses: AtomicU64,
}

/// One open connection; dropping it before [`OpenConnection::lose`] means that
/// this end closed it.
struct OpenConnection(Arc<OpenConnections>);

impl OpenConnection {
    fn begin(open: &Arc<OpenConnections>) -> OpenConnection {
        open.count.fetch_add(1, Ordering::Relaxed);
        OpenConnection(open.clone())
    }

    /// The target ended the connection.
    fn lose(self) {
        if self.0.count.load(Ordering::Relaxed) == 1 {
            self.0.losses.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
    }
}

struct IdleConnection {
    connection: TargetConnection,
    since: Instant,
}

/// One connection; dropping it closes it.
struct TargetConnection {
    sender: SendRequest<TargetBody>,
    gates: Arc<ArcSwap<WriteGate>>,
    driver: AbortHandle,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl TargetClient {
    /// Prepares a client; connections are opened when they are needed.
    pub fn new(address: SocketAddr, limits: TargetLimits) -> TargetClient {
        TargetClient {
            shared: Arc::new(TargetShared {
                address,
                limits,
                permits: Arc::new(Semaphore::new(limits.connections)),
                idle: Mutex::new(VecDeque::new()),
                open: Arc::default(),
            }),
        }
    }

    /// The address of the target.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// The connections that are open and unused.
    pub fn idle(&self) -> usize {
        self.shared.idle().len()
    }

    /// How often the target has ended the last open connection. When the number
    /// grows, the target may have crashed and started again, even when no
    /// request was under way.
    pub fn losses(&self) -> u64 {
        self.shared.open.losses.load(Ordering::Relaxed)
    }

    /// Closes the connections that are not in use.
    pub fn close_idle(&self) {
        self.shared.idle().clear();
    }

    /// Closes the connections that were idle for too long.
    pub fn sweep(&self) {
        self.shared.sweep();
    }

    /// Sends a request whose target is in origin form and that has a `host`
    /// header, and waits for the head of the answer. Dropping the future closes
    /// the connection, which tells the target that the request was cancelled.
    ///
    /// # Errors
    ///
    /// `sent` is false only when the target cannot have seen a byte of it.
    pub async fn send(
        &self,
        request: Request<TargetBody>,
    ) -> Result<Response<TargetAnswer>, TargetError> {
        self.send_tracked(request, &RequestProgress::default())
            .await
    }

    /// As [`TargetClient::send`]; the progress says what became of the request
    /// when the future is dropped, as after a deadline. Each request needs a
    /// progress of its own.
    ///
    /// # Errors
    ///
    /// As [`TargetClient::send`].
    pub async fn send_tracked(
        &self,
        request: Request<TargetBody>,
        progress: &RequestProgress,
    ) -> Result<Response<TargetAnswer>, TargetError> {
        let body_done = request.body().done.clone();
        let permits = self.shared.permits.clone();
        // The semaphore is never closed.
        let permit = permits.acquire_owned().await.map_err(connect_error)?;
        let mut request = Some(request);
        loop {
            let (mut connection, fresh) = match self.shared.reuse().await {
                Some(connection) => (connection, false),
                None => (self.shared.connect().await?, true),
            };
            let gate = Arc::new(WriteGate::default());
            connection.gates.store(gate.clone());
            progress.gate.store(Some(gate.clone()));
            let Some(sending) = request.take() else {
                return Err(TargetError {
                    fault: TargetFault::Lost("the request was already sent".to_owned()),
                    sent: true,
                });
            };
            let response = match connection.sender.try_send_request(sending).await {
                Ok(response) => response,
                Err(mut error) => {
                    let sent = gate.shut();
                    let message = error.take_message();
                    if !sent && !fresh && message.is_some() {
                        request = message;
                        continue;
                    }
                    return Err(TargetError {
                        fault: TargetFault::Lost(error.into_error().to_string()),
                        sent,
                    });
                }
            };
            let (head, body) = response.into_parts();
            let lease = ConnectionLease {
                connection: Some(connection),
                shared: self.shared.clone(),
                body_done,
                _permit: permit,
            };
            return Ok(Response::from_parts(head, TargetAnswer { body, lease }));
        }
    }
}

fn connect_error(error: impl std::fmt::Display) -> TargetError {
    TargetError {
        fault: TargetFault::Connect(error.to_string()),
        sent: false,
    }
}

impl TargetShared {
    fn idle(&self) -> MutexGuard<'_, VecDeque<IdleConnection>> {
        // The queue is whole between any two of its operations.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sweep(&self) {
        let mut idle = self.idle();
        // The front was returned first, so the first fresh one ends the search.
        while idle
            .front()
            .is_some_and(|front| front.since.elapsed() >= self.limits.idle)
        {
            idle.pop_front();
        }
    }

    /// Returns the connection that was used last, when it is fit for use.
    async fn reuse(&self) -> Option<TargetConnection> {
        loop {
            self.sweep();
            let mut connection = self.idle().pop_back()?.connection;
            // Both bodies of the last request were whole, so the connection's
            // task needs at most its next turn to be ready.
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<TargetConnection, TargetError> {
        let stream =
            match tokio::time::timeout(self.limits.connect, TcpStream::connect(self.address)).await
            {
                Ok(connected) => connected.map_err(connect_error)?,
                Err(_) => return Err(connect_error("no answer to the connection attempt")),
            };
        stream.set_nodelay(true).map_err(connect_error)?;
        if self.limits.unacknowledged.is_some() {
            SockRef::from(&stream)
                .set_tcp_user_timeout(self.limits.unacknowledged)
                .map_err(connect_error)?;
        }
        let gates = Arc::new(ArcSwap::default());
        let gated = GatedStream::new(stream, gates.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(self.limits.head)
            .handshake(TokioIo::new(gated))
            .await
            .map_err(connect_error)?;
        let open = OpenConnection::begin(&self.open);
        let driver = tokio::spawn(async move {
            // The request under way reports the error.
            let _ = driver.await;
            open.lose();
        });
        Ok(TargetConnection {
            sender,
            gates,
            driver: driver.abort_handle(),
        })
    }
}

/// Holds a connection while its answer is read; returns it to the pool after a
/// whole exchange and closes it otherwise.
struct ConnectionLease {
    connection: Option<TargetConnection>,
    shared: Arc<TargetShared>,
    body_done: Arc<AtomicBool>,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLease {
    fn end(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if self.body_done.load(Ordering::Acquire) && !connection.sender.is_closed() {
            self.shared.idle().push_back(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }
}

/// The body of a target's answer. Dropping it before its end closes the connection.
pub struct TargetAnswer {
    body: Incoming,
    lease: ConnectionLease,
}

impl TargetAnswer {
    /// Returns the next piece, or `None` after the whole body.
    ///
    /// # Errors
    ///
    /// When the body was cut off; the pieces before are not a complete answer.
    pub async fn data(&mut self) -> Result<Option<Bytes>, TargetError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    return Err(TargetError {
                        fault: TargetFault::Cut(error.to_string()),
                        sent: true,
                    });
                }
                None => {
                    self.lease.end();
                    return Ok(None);
                }
            }
        }
    }

    /// Whether the whole body was received.
    pub fn is_whole(&self) -> bool {
        self.body.is_end_stream()
    }

    /// The length of the body when the target declared it.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Receives the whole body.
    ///
    /// # Errors
    ///
    /// As [`TargetAnswer::data`], and when the body is longer than `limit` bytes.
    pub async fn whole(&mut self, limit: usize) -> Result<Bytes, TargetError> {
        let mut pieces = Vec::new();
        let mut length = 0;
        while let Some(data) = self.data().await? {
            length += data.len();
            if length > limit {
                return Err(TargetError {
                    fault: TargetFault::TooLarge(limit),
                    sent: true,
                });
            }
            pieces.push(data);
        }
        match <[Bytes; 1]>::try_from(pieces) {
            Ok([single]) => Ok(single),
            Err(pieces) => Ok(pieces.concat().into()),
        }
    }

    /// Returns the pieces as a stream.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, TargetError>> + Send + 'static {
        futures_util::stream::try_unfold(self, |mut answer| async move {
            Ok(answer.data().await?.map(|data| (data, answer)))
        })
    }
}
