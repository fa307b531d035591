//! The bodies of requests and answers, streamed with bounded memory.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use radishgauge_mesh::fingerprint::FINGERPRINT_BODY;

/// The number of bytes of a request body that are buffered, so that the request
/// can be sent again and its fingerprint computed.
pub const BUFFERED_BYTES: usize = FINGERPRINT_BODY;

/// The error of a body that was cut off, malformed or too large.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the body was cut off: {0}")]
pub struct BodyFault(pub String);

/// A body as a stream of pieces.
pub type BodyStream = BoxStream<'static, Result<Bytes, BodyFault>>;

/// The body of a request: its buffered start, and a stream of the rest if it is
/// longer.
pub struct RequestBody {
    /// The start of the body: all of a shorter body, otherwise at least
    /// [`BUFFERED_BYTES`], up to the end of a piece.
    pub buffered: Bytes,
    rest: Option<BodyStream>,
    rest_taken: bool,
}

impl RequestBody {
    /// Reads and buffers the start of a body.
    ///
    /// # Errors
    ///
    /// When the body ends abnormally within its start.
    pub async fn read(mut stream: BodyStream) -> Result<RequestBody, BodyFault> {
        let mut buffered = Bytes::new();
        let mut joined = BytesMut::new();
        while let Some(piece) = stream.next().await {
            let piece = piece?;
            if buffered.is_empty() && joined.is_empty() {
                buffered = piece;
            } else {
                joined.extend_from_slice(&std::mem::take(&mut buffered));
                joined.extend_from_slice(&piece);
            }
            if buffered.len() + joined.len() >= BUFFERED_BYTES {
                let buffered = if joined.is_empty() {
                    buffered
                } else {
                    joined.freeze()
                };
                return Ok(RequestBody {
                    buffered,
                    rest: Some(stream),
                    rest_taken: false,
                });
            }
        }
        let buffered = if joined.is_empty() {
            buffered
        } else {
            joined.freeze()
        };
        Ok(RequestBody::whole(buffered))
    }

    /// Returns a body that is buffered completely.
    pub fn whole(buffered: Bytes) -> RequestBody {
        RequestBody {
            buffered,
            rest: None,
            rest_taken: false,
        }
    }

    /// Whether the body can still be sent from its start.
    pub fn is_resendable(&self) -> bool {
        !self.rest_taken
    }

    /// Returns the body as a stream for one attempt.
    ///
    /// A body that is buffered completely can be streamed again. The rest of a
    /// longer one can be streamed only once.
    pub fn take_stream(&mut self) -> BodyStream {
        let buffered = futures_util::stream::iter(
            (!self.buffered.is_empty()).then(|| Ok(self.buffered.clone())),
        );
        match self.rest.take() {
            None => buffered.boxed(),
            Some(rest) => {
                self.rest_taken = true;
                buffered.chain(rest).boxed()
            }
        }
    }

    /// Returns the buffered bytes when they are the whole body.
    pub fn as_whole(&self) -> Option<&Bytes> {
        (self.rest.is_none() && !self.rest_taken).then_some(&self.buffered)
    }
}

impl fmt::Debug for RequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestBody")
            .field("held", &self.buffered.len())
            .field("more", &self.rest.is_some())
            .finish()
    }
}

/// The body of an answer.
pub enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// A stream of pieces; an error in it aborts the caller's connection.
    Stream(BodyStream),
}

impl AnswerBody {
    /// Buffers a body of up to `limit` bytes; a longer body is returned as a
    /// stream of all its bytes.
    ///
    /// # Errors
    ///
    /// When the body is cut off within the limit.
    pub async fn buffer(self, limit: usize) -> Result<AnswerBody, BodyFault> {
        let mut stream = match self {
            AnswerBody::Whole(_) => return Ok(self),
            AnswerBody::Stream(stream) => stream,
        };
        let mut buffered = BytesMut::new();
        while let Some(piece) = stream.next().await {
            buffered.extend_from_slice(&piece?);
            if buffered.len() > limit {
                let first = futures_util::stream::iter([Ok(buffered.freeze())]);
                return Ok(AnswerBody::Stream(first.chain(stream).boxed()));
            }
        }
        Ok(AnswerBody::Whole(buffered.freeze()))
    }
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerBody::Whole(bytes) => write!(f, "Whole({} bytes)", bytes.len()),
            AnswerBody::Stream(_) => f.write_str("Stream"),
        }
    }
}
