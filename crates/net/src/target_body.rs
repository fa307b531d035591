//! Bodies of requests to a target, from memory or from a stream.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;

use crate::body_pieces::BodyPieces;
use crate::exchange::BoxError;

/// The greatest length in bytes of a body in pieces that is copied into one, so that it is
/// written together with its head.
const MERGED_BODY: usize = 16 * 1024;

/// The body of a request to a target.
pub struct TargetBody {
    inner: UnsyncBoxBody<Bytes, BoxError>,
    /// The bytes, when the complete body is in memory in one piece.
    whole: Option<Bytes>,
    /// The pieces, when the complete body is in memory in several.
    pieces: Option<BodyPieces>,
}

impl TargetBody {
    /// Returns a body that is completely in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> TargetBody {
        let bytes = bytes.into();
        let whole = Full::new(bytes.clone()).map_err(|never| match never {});
        TargetBody {
            inner: whole.boxed_unsync(),
            whole: Some(bytes),
            pieces: None,
        }
    }

    /// Returns a body that is completely in memory, in pieces.
    pub fn pieces(body: BodyPieces) -> TargetBody {
        match body.pieces() {
            [] => TargetBody::whole(Bytes::new()),
            [single] => TargetBody {
                pieces: Some(body.clone()),
                ..TargetBody::whole(single.clone())
            },
            pieces if body.len() <= MERGED_BODY => TargetBody::whole(pieces.concat()),
            _ => TargetBody {
                inner: PiecesBody::new(body.clone()).boxed_unsync(),
                whole: None,
                pieces: Some(body),
            },
        }
    }

    /// Returns a body that is sent while it is received. An error of the stream
    /// closes the connection, so that the target sees that the body was cut off.
    pub fn stream<S>(stream: S) -> TargetBody
    where
        S: Stream<Item = Result<Bytes, BoxError>> + Send + 'static,
    {
        let chunks = StreamBody::new(stream.map(|data| data.map(Frame::data)));
        TargetBody {
            inner: chunks.boxed_unsync(),
            whole: None,
            pieces: None,
        }
    }

    /// Returns the pieces, when the complete body is in memory in several.
    pub(crate) fn as_pieces(&self) -> Option<&BodyPieces> {
        self.pieces.as_ref()
    }

    /// Returns the bytes, when the complete body is in memory in one piece.
    pub(crate) fn as_whole(&self) -> Option<&Bytes> {
        self.whole.as_ref()
    }
}

/// A body that is read piece by piece.
struct PiecesBody {
    body: BodyPieces,
    /// The index of the next piece.
    next: usize,
    /// The length of the pieces from the next one on, in bytes.
    left: usize,
}

impl PiecesBody {
    fn new(body: BodyPieces) -> PiecesBody {
        PiecesBody {
            left: body.len(),
            body,
            next: 0,
        }
    }
}

impl Body for PiecesBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let Some(piece) = self.body.pieces().get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= piece.len();
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

impl Body for TargetBody {
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
