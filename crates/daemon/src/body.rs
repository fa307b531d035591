//! Bodies of requests and answers, streamed with bounded memory.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use radishgauge_traffic::suspect::FINGERPRINT_BODY;

/// The bytes of a request that are held so that it can be sent again, and from
/// which its fingerprint is made.
pub const HELD_BYTES: usize = FINGERPRINT_BODY;

/// A body that was cut off, damaged or oversize.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the body was cut off: {0}")]
pub struct BodyFault(pub String);

/// The pieces of a body.
pub type BodyStream = BoxStream<'static, Result<Bytes, BodyFault>>;

/// The body of a request: its first bytes, and the rest if it is longer.
pub struct RequestBody {
    /// Up to about [`HELD_BYTES`] from the start.
    pub held: Bytes,
    rest: Option<BodyStream>,
    cut: bool,
}

impl RequestBody {
    /// Reads the start of a body.
    ///
    /// # Errors
    ///
    /// When the body ends abnormally within its start.
    pub async fn read(mut stream: BodyStream) -> Result<RequestBody, BodyFault> {
        let mut held = Bytes::new();
        let mut joined = BytesMut::new();
        while let Some(piece) = stream.next().await {
            let piece = piece?;
            if held.is_empty() && joined.is_empty() {
                held = piece;
            } else {
                joined.extend_from_slice(&std::mem::take(&mut held));
                joined.extend_from_slice(&piece);
            }
            if held.len() + joined.len() >= HELD_BYTES {
                let held = if joined.is_empty() {
                    held
                } else {
                    joined.freeze()
                };
                return Ok(RequestBody {
                    held,
                    rest: Some(stream),
                    cut: false,
                });
            }
        }
        let held = if joined.is_empty() {
            held
        } else {
            joined.freeze()
        };
        Ok(RequestBody::whole(held))
    }

    /// Returns a body that is held whole.
    pub fn whole(held: Bytes) -> RequestBody {
        RequestBody {
            held,
            rest: None,
            cut: false,
        }
    }

    /// Whether the body can be sent from its start.
    pub fn is_complete(&self) -> bool {
        !self.cut
    }

    /// Returns the pieces for one attempt. A body that is held whole can be
    /// taken again; of a longer one the rest is gone afterwards.
    pub fn take(&mut self) -> BodyStream {
        let held =
            futures_util::stream::iter((!self.held.is_empty()).then(|| Ok(self.held.clone())));
        match self.rest.take() {
            None => held.boxed(),
            Some(rest) => {
                self.cut = true;
                held.chain(rest).boxed()
            }
        }
    }

    /// Returns the held bytes when they are the whole body.
    pub fn as_whole(&self) -> Option<&Bytes> {
        (self.rest.is_none() && !self.cut).then_some(&self.held)
    }
}

impl fmt::Debug for RequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestBody")
            .field("held", &self.held.len())
            .field("more", &self.rest.is_some())
            .finish()
    }
}

/// The body of an answer.
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Its pieces; an error ends the caller's connection abnormally.
    Stream(BodyStream),
}

impl AnswerBody {
    /// Reads up to `limit` bytes; a longer body is returned as a stream again.
    ///
    /// # Errors
    ///
    /// When the body is cut off within the limit.
    pub async fn hold(self, limit: usize) -> Result<AnswerBody, BodyFault> {
        let mut stream = match self {
            AnswerBody::Whole(_) => return Ok(self),
            AnswerBody::Stream(stream) => stream,
        };
        let mut held = BytesMut::new();
        while let Some(piece) = stream.next().await {
            held.extend_from_slice(&piece?);
            if held.len() > limit {
                let first = futures_util::stream::iter([Ok(held.freeze())]);
                return Ok(AnswerBody::Stream(first.chain(stream).boxed()));
            }
        }
        Ok(AnswerBody::Whole(held.freeze()))
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
