//! The requests and answers that are passed to and from a listener's handler.
//!
//! Bodies are streamed in chunks. A body that was cut off ends with an error,
//! never like a complete body.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::Response;
use http::request::Parts;
use xitca_web::body::BodyExt;
use xitca_web::body::Frame;
use xitca_web::body::RequestBody;

use crate::body_budget::BodyShare;
use crate::body_pieces::BodyPieces;
use crate::body_pieces::PieceCollector;
use crate::byte_budget::BudgetShare;
use crate::byte_budget::ByteBudget;
use crate::connection::ConnectionActivity;

/// An error of any type, as returned by body streams.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The answer to a request of a caller or an operator.
pub type HttpAnswer = Response<AnswerBody>;

/// A request whose body has not been read.
pub struct HttpRequest {
    /// Method, target, version and headers.
    pub head: Parts,
    /// The address of the caller.
    pub remote: SocketAddr,
    /// The index of the listener's address at which the request arrived, from 0.
    pub address_index: usize,
    /// The body, to be read by the handler.
    pub body: HttpBody,
}

/// Bounds of one body that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// The greatest length in bytes.
    pub bytes: u64,
    /// How long the complete body may take.
    pub time: Duration,
    /// How long the body may be without progress before it is checked whether others lack
    /// its memory.
    pub stall: Duration,
    /// How long the body may be without progress.
    pub idle: Duration,
}

/// Why a body could not be read completely.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyFault {
    /// The body is longer than the limit.
    #[error("the body exceeds the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: u64,
    },
    /// The bodies that are being received use all memory reserved for them.
    #[error("no memory is left for the body")]
    NoMemory,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    Late,
    /// The caller's connection ended before the end of the body.
    #[error("the body was cut off: {0}")]
    Cut(String),
}

/// The body of a request, read in chunks.
pub struct HttpBody {
    inner: RequestBody,
    /// The length that the request declares; `None` for a body in chunks.
    declared: Option<u64>,
    connection: Rc<ConnectionActivity>,
    limit: u64,
    seen: u64,
}

impl HttpBody {
    pub(crate) fn new(inner: RequestBody, declared: Option<u64>, limit: u64) -> HttpBody {
        HttpBody {
            inner,
            declared,
            connection: ConnectionActivity::current(),
            limit,
            seen: 0,
        }
    }

    /// Returns the length of the complete body in bytes; `None` for a body in chunks.
    pub fn declared_length(&self) -> Option<u64> {
        self.declared
    }

    /// Returns whether the caller waits to be asked for the body, which the first read does.
    pub fn awaits_continue(&self) -> bool {
        self.connection.is_continue_due()
    }

    /// Returns the next chunk, or `None` after the end of the complete body.
    ///
    /// # Errors
    ///
    /// When the body was cut off or exceeds the listener's limit.
    pub async fn data(&mut self) -> Result<Option<Bytes>, BodyFault> {
        if self.declared == Some(0) {
            // The library hands over what follows a `CONNECT` request as its body.
            return Ok(None);
        }
        loop {
            match self.inner.frame().await {
                None => return self.end(),
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

    /// Checks that the body is complete. The library also ends a body when the
    /// caller closes its end of the connection; in chunks, this cannot be told from
    /// the last chunk. A caller that closes its end waits for no answer, so its
    /// request need not be served.
    fn end(&self) -> Result<Option<Bytes>, BodyFault> {
        let seen = self.seen;
        match self.declared {
            Some(declared) if declared != seen => Err(BodyFault::Cut(format!(
                "{seen} of {declared} bytes were received"
            ))),
            None if self.connection.caller_has_closed() => Err(BodyFault::Cut(format!(
                "the connection ended after {seen} bytes in chunks"
            ))),
            _ => Ok(None),
        }
    }

    /// Receives the complete body.
    ///
    /// # Errors
    ///
    /// As [`HttpBody::data`], and when the body is longer than `limit` bytes.
    pub async fn whole(&mut self, limit: u64) -> Result<Bytes, BodyFault> {
        self.collect(limit, None).await
    }

    /// Receives the complete body in pieces, within its share of the memory. A body whose
    /// declared length does not fit is refused before it is read.
    ///
    /// # Errors
    ///
    /// As [`HttpBody::data`], when the body is longer than its limit or does not fit into
    /// the memory, when its time has passed, and when it stalls while other bodies lack the
    /// memory.
    pub async fn pieces(
        &mut self,
        limits: BodyLimits,
        share: BodyShare,
    ) -> Result<BodyPieces, BodyFault> {
        if self.declared == Some(0) {
            return Ok(BodyPieces::default());
        }
        self.limit = self.limit.min(limits.bytes);
        if self.declared.is_some_and(|length| length > self.limit) {
            return Err(BodyFault::TooLarge { limit: self.limit });
        }
        let declared = self.declared.map(|length| length as usize);
        let collector = PieceCollector::new(declared, share).ok_or(BodyFault::NoMemory)?;
        let received = self.collect_pieces(collector, limits);
        let received = tokio::time::timeout(limits.time, received).await;
        received.unwrap_or(Err(BodyFault::Late))
    }

    async fn collect_pieces(
        &mut self,
        mut collector: PieceCollector,
        limits: BodyLimits,
    ) -> Result<BodyPieces, BodyFault> {
        let mut idle = Duration::ZERO;
        // The refusals of other bodies when this one began to stall.
        let mut refusals = None;
        loop {
            match tokio::time::timeout(limits.stall, self.data()).await {
                Ok(Ok(Some(data))) => {
                    idle = Duration::ZERO;
                    refusals = None;
                    if !collector.push(data) {
                        return Err(BodyFault::NoMemory);
                    }
                }
                Ok(Ok(None)) => return Ok(collector.finish()),
                Ok(Err(fault)) => return Err(fault),
                Err(_) => {
                    idle += limits.stall;
                    let now = collector.refusals();
                    let before = *refusals.get_or_insert(now);
                    if idle >= limits.idle || now > before {
                        return Err(BodyFault::Late);
                    }
                }
            }
        }
    }

    /// Receives the complete body, in memory that is shared with other bodies.
    ///
    /// # Errors
    ///
    /// As [`HttpBody::whole`], and when the budget does not allow it.
    pub async fn whole_within(
        &mut self,
        limit: u64,
        budget: &ByteBudget,
    ) -> Result<Bytes, BodyFault> {
        self.collect(limit, Some(budget)).await
    }

    async fn collect(
        &mut self,
        limit: u64,
        budget: Option<&ByteBudget>,
    ) -> Result<Bytes, BodyFault> {
        let mut share = BudgetShare::new(budget);
        let mut chunks = Vec::new();
        self.limit = self.limit.min(limit);
        while let Some(data) = self.data().await? {
            if !share.extend(data.len() + size_of::<Bytes>()) {
                return Err(BodyFault::NoMemory);
            }
            chunks.push(data);
        }
        match <[Bytes; 1]>::try_from(chunks) {
            Ok([single]) => Ok(single),
            Err(chunks) => Ok(chunks.concat().into()),
        }
    }

    /// Returns the chunks as a stream, which must stay on the listener's thread.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, BodyFault>> + 'static {
        futures_util::stream::try_unfold(self, |mut body| async move {
            Ok(body.data().await?.map(|data| (data, body)))
        })
    }
}

/// The body of an answer.
pub struct AnswerBody(AnswerKind);

/// The chunks of a streamed answer.
pub(crate) type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, BoxError>>>>;

/// The two forms of an answer's body.
pub(crate) enum AnswerKind {
    Whole(Bytes),
    Stream(ChunkStream),
}

impl AnswerBody {
    /// Returns a body that is completely in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody(AnswerKind::Whole(bytes.into()))
    }

    /// Returns a body that is sent while it is received. An error of the stream
    /// aborts the caller's connection, so that the caller cannot mistake a partial
    /// body for a complete one.
    pub fn stream<S>(stream: S) -> AnswerBody
    where
        S: Stream<Item = Result<Bytes, BoxError>> + 'static,
    {
        AnswerBody(AnswerKind::Stream(Box::pin(stream)))
    }
}

impl AnswerBody {
    pub(crate) fn into_kind(self) -> AnswerKind {
        self.0
    }
}

impl Default for AnswerBody {
    fn default() -> AnswerBody {
        AnswerBody::whole(Bytes::new())
    }
}
