//! Requests and answers as the handlers of a listener see them.
//!
//! Bodies come and go in pieces. A body that was cut off ends with an error and
//! never with its regular end.

use std::net::SocketAddr;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::Stream;
use http::Response;
use http::request::Parts;
use xitca_web::body::BodyExt;
use xitca_web::body::Frame;
use xitca_web::body::RequestBody;

/// An error of any kind, as bodies report it.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// An answer to a caller or an operator.
pub type HttpAnswer = Response<AnswerBody>;

/// A request whose body is still to be read.
pub struct HttpRequest {
    /// Method, target, version and headers.
    pub head: Parts,
    /// The address of the caller.
    pub remote: SocketAddr,
    /// By which of the listener's addresses the request came, counted from 0.
    pub socket: usize,
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
    pub(crate) fn new(inner: RequestBody, limit: u64) -> HttpBody {
        HttpBody {
            inner,
            limit,
            seen: 0,
        }
    }

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

/// The pieces of a streamed answer.
pub(crate) type PieceStream = Pin<Box<dyn Stream<Item = Result<Bytes, BoxError>>>>;

/// The two forms of an answer's body.
pub(crate) enum AnswerKind {
    Whole(Bytes),
    Stream(PieceStream),
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
