//! HTTP/1.1 client with a connection pool for one target.
//!
//! A request may be retried safely only if the target received no byte of it.
//! Every request therefore has a tracker that records the first write, or
//! prevents it. The pool opens at most as many connections as the target accepts.
//! A connection that was idle for long is replaced, because the network path may
//! silently drop its packets by then.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use http::Method;
use http::Request;
use http::Response;
use http::response::Parts;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::answer_reader::AnswerHead;
use crate::answer_reader::BodyRest;
use crate::answer_reader::IdleState;
use crate::answer_reader::invalid;
use crate::byte_budget::BudgetShare;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::CountedBytes;
use crate::target_body::TargetBody;
use crate::target_connection::OpenConnections;
use crate::target_connection::OutgoingRequest;
use crate::target_connection::TargetConnection;
use crate::target_connection::WriteState;
use crate::write_tracker::WriteTracker;

/// The fraction of the target's keep-alive timeout during which an idle
/// connection is reused. The margin keeps a request from being sent while the
/// target closes the connection.
const IDLE_FRACTION: f64 = 0.8;

/// The greatest fraction of a shared budget that one body may use, so that a few
/// endless bodies do not fail the others.
const MAX_ANSWER_FRACTION: f64 = 0.125;

/// The greatest number of answers to other requests that are skipped.
const MAX_OTHER_ANSWERS: usize = 16;

/// Limits of the connections to one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLimits {
    /// The number of connections that the target accepts; further requests wait.
    pub connections: usize,
    /// How long a connection attempt may take.
    pub connect: Duration,
    /// How long a connection may be idle before it is replaced.
    pub idle: Duration,
    /// The greatest head of an answer, in bytes.
    pub head: usize,
    /// How long sent bytes may stay unacknowledged before the connection is
    /// closed; `None` for the system's default.
    pub unacknowledged: Option<Duration>,
}

impl Default for TargetLimits {
    fn default() -> TargetLimits {
        TargetLimits {
            connections: 110,
            // A target is on this host or near it, so connecting takes about 1 ms.
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
    /// The kind of failure.
    pub fault: TargetFault,
    /// Whether any byte of the request may have been written to a connection.
    pub sent: bool,
}

/// The kinds of failure of a request to a target.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TargetFault {
    /// No connection could be opened.
    #[error("no connection to the target: {0}")]
    Connect(String),
    /// The connection ended before the head of the answer.
    #[error("the target did not answer: {0}")]
    Lost(String),
    /// The target sent bytes that are no valid answer.
    #[error("the target's answer cannot be read: {0}")]
    Invalid(String),
    /// The body of the answer was cut off.
    #[error("the target's answer was cut off: {0}")]
    Cut(String),
    /// The body of the answer is longer than the given limit in bytes.
    #[error("the target's answer exceeds {0} bytes")]
    TooLarge(usize),
    /// The answers that are being received use all memory reserved for them.
    #[error("no memory is left for the target's answer")]
    NoMemory,
}

/// Tells whether a request was sent, even after its future was dropped.
#[derive(Debug, Default)]
pub struct RequestProgress {
    tracker: ArcSwapOption<WriteTracker>,
}

impl RequestProgress {
    /// Returns whether any byte of the request may have been written to a
    /// connection. If it returns false, none ever will be. Must be called after the
    /// future of the request has completed or was dropped.
    pub fn may_have_been_sent(&self) -> bool {
        self.tracker
            .load()
            .as_ref()
            .is_some_and(|tracker| tracker.cancel())
    }
}

/// An HTTP/1.1 client for one target; clones share its connections.
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
    budget: Option<Arc<ByteBudget>>,
}

struct IdleConnection {
    connection: TargetConnection,
    since: Instant,
}

impl TargetClient {
    /// Returns a client without connections; they are opened on demand.
    pub fn new(address: SocketAddr, limits: TargetLimits) -> TargetClient {
        TargetClient::open(address, limits, None)
    }

    /// As [`TargetClient::new`], for a client that shares the memory for complete
    /// bodies with others.
    pub fn with_budget(
        address: SocketAddr,
        limits: TargetLimits,
        budget: Arc<ByteBudget>,
    ) -> TargetClient {
        TargetClient::open(address, limits, Some(budget))
    }

    fn open(
        address: SocketAddr,
        limits: TargetLimits,
        budget: Option<Arc<ByteBudget>>,
    ) -> TargetClient {
        TargetClient {
            shared: Arc::new(TargetShared {
                address,
                limits,
                permits: Arc::new(Semaphore::new(limits.connections)),
                idle: Mutex::new(VecDeque::new()),
                open: Arc::default(),
                budget,
            }),
        }
    }

    /// Returns the address of the target.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.shared.idle().len()
    }

    /// Returns how often the target has closed the last remaining open connection.
    /// When the number grows, the target may have crashed and restarted, even if no
    /// request was under way.
    pub fn connection_losses(&self) -> u64 {
        self.shared.drop_closed();
        self.shared.open.losses.load(Ordering::Relaxed)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.shared.idle().clear();
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self) {
        self.shared.sweep();
    }

    /// Opens a connection and keeps it for the next request.
    ///
    /// # Errors
    ///
    /// When the target accepts no connection.
    pub async fn open_idle(&self) -> Result<(), TargetError> {
        let connection = self.shared.connect().await?;
        self.shared.return_idle(connection);
        Ok(())
    }

    /// Sends a request and waits for the head of the answer. The request's URI must
    /// be in origin form, and it must have a `host` header. Dropping the future
    /// closes the connection, which signals the cancellation to the target.
    ///
    /// # Errors
    ///
    /// `sent` is false only when the target cannot have received a byte of the
    /// request.
    pub async fn send(
        &self,
        request: Request<TargetBody>,
    ) -> Result<Response<TargetAnswer>, TargetError> {
        self.send_tracked(request, &RequestProgress::default())
            .await
    }

    /// As [`TargetClient::send`], and records in `progress` whether the request was
    /// sent, for callers that drop the future, for example after a deadline. Each
    /// request needs a progress of its own.
    ///
    /// # Errors
    ///
    /// As [`TargetClient::send`].
    pub async fn send_tracked(
        &self,
        request: Request<TargetBody>,
        progress: &RequestProgress,
    ) -> Result<Response<TargetAnswer>, TargetError> {
        self.send_matched(request, progress, |_| true).await
    }

    /// As [`TargetClient::send_tracked`], for targets that may send an answer
    /// twice: answers for which `belongs` returns false are skipped.
    ///
    /// # Errors
    ///
    /// As [`TargetClient::send`].
    pub async fn send_matched<F>(
        &self,
        request: Request<TargetBody>,
        progress: &RequestProgress,
        belongs: F,
    ) -> Result<Response<TargetAnswer>, TargetError>
    where
        F: Fn(&Parts) -> bool,
    {
        let permits = self.shared.permits.clone();
        // The semaphore is never closed.
        let permit = permits.acquire_owned().await.map_err(connect_error)?;
        let method = request.method().clone();
        let (mut connection, tracker) = self.write(request, progress).await?;
        match connection.matched(&method, belongs).await {
            Ok(head) => Ok(self.answer(connection, head, permit)),
            Err(error) => {
                self.shared.close_after(connection, &error);
                Err(TargetError {
                    fault: read_fault(&error, TargetFault::Lost),
                    sent: tracker.cancel(),
                })
            }
        }
    }

    /// Writes the request to an idle connection or a new one. If nothing could be
    /// written to an idle connection, the next one is tried.
    async fn write(
        &self,
        request: Request<TargetBody>,
        progress: &RequestProgress,
    ) -> Result<(TargetConnection, Arc<WriteTracker>), TargetError> {
        let mut request = OutgoingRequest::encode(request);
        loop {
            let (mut connection, is_new) = match self.shared.reuse() {
                Some(connection) => (connection, false),
                None => (self.shared.connect().await?, true),
            };
            let tracker = Arc::new(WriteTracker::default());
            progress.tracker.store(Some(tracker.clone()));
            let retry = match &request {
                OutgoingRequest::Whole(bytes) => Some(OutgoingRequest::Whole(bytes.clone())),
                OutgoingRequest::Long { .. } => None,
            };
            let Err(error) = connection.write(request, &tracker).await else {
                return Ok((connection, tracker));
            };
            let sent = tracker.cancel();
            self.shared.close_failed(connection);
            match retry {
                Some(retry) if !sent && !is_new => request = retry,
                _ => {
                    return Err(TargetError {
                        fault: TargetFault::Lost(error.to_string()),
                        sent,
                    });
                }
            }
        }
    }

    fn answer(
        &self,
        mut connection: TargetConnection,
        head: AnswerHead,
        permit: OwnedSemaphorePermit,
    ) -> Response<TargetAnswer> {
        connection.idle = head.idle.or(connection.idle);
        let length = match head.rest {
            BodyRest::Length(length) => Some(length),
            BodyRest::Done => Some(0),
            _ => None,
        };
        let body = TargetAnswer {
            connection: Some(connection),
            rest: head.rest,
            keep: head.keep,
            length,
            shared: self.shared.clone(),
            _permit: permit,
        };
        Response::from_parts(head.parts, body)
    }
}

/// Returns whether an answer failed because of what the target sent, rather than with
/// its connection.
fn is_invalid(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::InvalidData
}

/// Returns the fault of an answer that could not be read; `lost` makes that of a
/// connection that has ended.
fn read_fault<F>(error: &io::Error, lost: F) -> TargetFault
where
    F: FnOnce(String) -> TargetFault,
{
    match is_invalid(error) {
        true => TargetFault::Invalid(error.to_string()),
        false => lost(error.to_string()),
    }
}

fn connect_error(error: impl std::fmt::Display) -> TargetError {
    TargetError {
        fault: TargetFault::Connect(error.to_string()),
        sent: false,
    }
}

impl TargetConnection {
    /// Reads the head of the answer that belongs to the request, skipping a few answers
    /// that do not.
    async fn matched<F>(&mut self, method: &Method, belongs: F) -> io::Result<AnswerHead>
    where
        F: Fn(&Parts) -> bool,
    {
        for _ in 0..=MAX_OTHER_ANSWERS {
            let mut head = self.head(method).await?;
            if belongs(&head.parts) || !head.keep {
                return Ok(head);
            }
            self.reader.skip(&mut head.rest).await?;
        }
        Err(invalid("too many answers to other requests"))
    }
}

impl TargetShared {
    fn idle(&self) -> MutexGuard<'_, VecDeque<IdleConnection>> {
        // Every operation leaves the queue consistent, so poisoning is ignored.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sweep(&self) {
        let limit = self.limits.idle;
        let kept = |idle: &IdleConnection| {
            let keep_alive = idle
                .connection
                .idle
                .map(|keep_alive| keep_alive.mul_f64(IDLE_FRACTION));
            idle.since.elapsed() < keep_alive.map_or(limit, |keep_alive| keep_alive.min(limit))
        };
        self.idle().retain(kept);
        self.drop_closed();
    }

    /// Drops idle connections that the target has closed, or on which it has sent
    /// unexpected data.
    fn drop_closed(&self) {
        self.idle()
            .retain_mut(|idle| match idle.connection.reader.idle_state() {
                IdleState::Open => true,
                IdleState::UnexpectedData => false,
                IdleState::Closed => {
                    self.open.record_closed();
                    false
                }
            });
    }

    /// Closes a connection on which an answer could not be read.
    fn close_after(&self, connection: TargetConnection, error: &io::Error) {
        if is_invalid(error) {
            // The target has not closed it.
            drop(connection);
        } else {
            self.close_failed(connection);
        }
    }

    /// Closes a connection that failed during a request.
    fn close_failed(&self, connection: TargetConnection) {
        self.drop_closed();
        self.open.record_closed();
        drop(connection);
    }

    /// Returns the most recently used idle connection that can be reused.
    fn reuse(&self) -> Option<TargetConnection> {
        self.sweep();
        let mut idle = self.idle();
        idle.retain_mut(|idle| idle.connection.written() != WriteState::Lost);
        let written = |idle: &mut IdleConnection| idle.connection.written() == WriteState::Written;
        let last = idle.iter_mut().rposition(written)?;
        Some(idle.remove(last)?.connection)
    }

    fn return_idle(&self, connection: TargetConnection) {
        self.idle().push_back(IdleConnection {
            connection,
            since: Instant::now(),
        });
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
        Ok(TargetConnection::new(stream, self.limits.head, &self.open))
    }
}

/// The body of a target's answer. Dropping it before its end closes the connection.
pub struct TargetAnswer {
    /// The connection that delivers the body; `None` after its end.
    connection: Option<TargetConnection>,
    rest: BodyRest,
    keep: bool,
    length: Option<u64>,
    shared: Arc<TargetShared>,
    _permit: OwnedSemaphorePermit,
}

impl TargetAnswer {
    /// Returns the next chunk, or `None` after the end of the complete body.
    ///
    /// # Errors
    ///
    /// When the body was cut off; the chunks received before are not a complete
    /// answer.
    pub async fn data(&mut self) -> Result<Option<Bytes>, TargetError> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        let ends_with_connection = self.rest == BodyRest::UntilEnd;
        let mut read = connection.reader.data(&mut self.rest).await;
        if ends_with_connection && matches!(read, Ok(None)) {
            // A reset that the write notices first reads like the end of the answer.
            read = connection.finish_write().await.map(|()| None);
        }
        match read {
            Ok(Some(data)) => Ok(Some(data)),
            Ok(None) => {
                self.end();
                Ok(None)
            }
            Err(error) => {
                if let Some(connection) = self.connection.take() {
                    self.shared.close_after(connection, &error);
                }
                Err(TargetError {
                    fault: read_fault(&error, TargetFault::Cut),
                    sent: true,
                })
            }
        }
    }

    /// Returns the connection to the pool after a complete answer.
    fn end(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        connection.end_request();
        if self.keep {
            // The rest of a long request may still be being written; see `reuse`.
            self.shared.return_idle(connection);
        }
    }

    /// Whether the complete body was received.
    pub fn is_whole(&self) -> bool {
        matches!(self.rest, BodyRest::Done | BodyRest::Length(0))
    }

    /// Returns the length of the body in bytes, if the target declared it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Receives the complete body.
    ///
    /// # Errors
    ///
    /// As [`TargetAnswer::data`], when the body is longer than `limit` bytes, and
    /// when the client's budget does not allow it. The connection is then closed.
    pub async fn whole(&mut self, limit: usize) -> Result<Bytes, TargetError> {
        let shared = self.shared.clone();
        let mut share = BudgetShare::new(shared.budget.clone());
        // The chunks are copied, because many small ones would use far more memory
        // than their bytes.
        let mut body = BytesMut::new();
        let limit = shared.budget.as_ref().map_or(limit, |budget| {
            limit.min((budget.limit() as f64 * MAX_ANSWER_FRACTION) as usize)
        });
        while let Some(data) = self.data().await? {
            let length = body.len() + data.len();
            if length > limit {
                return Err(self.abort(TargetFault::TooLarge(limit)));
            }
            if length > body.capacity() {
                let declared = self.length.map_or(0, |length| length as usize);
                let capacity = length.max(body.capacity() * 2).max(declared.min(limit));
                if !share.extend_to_or_wait(capacity).await {
                    return Err(self.abort(TargetFault::NoMemory));
                }
                body.reserve(capacity - body.len());
            }
            body.extend_from_slice(&data);
        }
        let bytes = body.freeze();
        Ok(match shared.budget {
            None => bytes,
            // The bytes count until the answer was delivered.
            Some(_) => Bytes::from_owner(CountedBytes {
                bytes,
                _share: share,
            }),
        })
    }

    /// Closes the connection of an answer that is not read to its end.
    fn abort(&mut self, fault: TargetFault) -> TargetError {
        drop(self.connection.take());
        TargetError { fault, sent: true }
    }

    /// Returns the chunks as a stream.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, TargetError>> + Send + 'static {
        futures_util::stream::try_unfold(self, |mut answer| async move {
            Ok(answer.data().await?.map(|data| (data, answer)))
        })
    }
}
