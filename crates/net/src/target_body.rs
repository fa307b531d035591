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

use crate::exchange::BoxError;

/// The body of a request to a target.
pub struct TargetBody {
    inner: UnsyncBoxBody<Bytes, BoxError>,
    /// The bytes, when the complete body is in memory.
    whole: Option<Bytes>,
}

impl TargetBody {
    /// Returns a body that is completely in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> TargetBody {
        let bytes = bytes.into();
        let whole = Full::new(bytes.clone()).map_err(|never| match never {});
        TargetBody {
            inner: whole.boxed_unsync(),
            whole: Some(bytes),
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
        }
    }

    /// Returns the bytes, when the complete body is in memory.
    pub(crate) fn as_whole(&self) -> Option<&Bytes> {
        self.whole.as_ref()
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
