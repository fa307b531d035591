//! The two halves of a call, at both ends.
//!
//! A call and its answer share one stream, so answers cannot be crossed. A body
//! is whole only when its end frame arrived and agrees with what was received;
//! a half that is dropped early resets the stream, which is how a cancellation
//! reaches the other end.

use bytes::Bytes;
use futures_util::Stream;
use radishgauge_schema::peer::AnswerHead;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::peer_reply::Reply;

use crate::error::CODE_CANCELLED;
use crate::error::PeerError;
use crate::error::PeerFault;
use crate::frame;
use crate::frame::BodyDigest;
use crate::frame::FrameReader;
use crate::frame::FrameWriter;

/// Sends the body of a call. Dropping it before [`CallSender::finish`] resets
/// the stream.
pub struct CallSender {
    writer: FrameWriter,
    digest: BodyDigest,
}

impl CallSender {
    pub(crate) fn new(writer: FrameWriter, digest: BodyDigest) -> CallSender {
        CallSender { writer, digest }
    }

    /// Sends a piece of the body; larger pieces are split into frames.
    ///
    /// # Errors
    ///
    /// When the peer stopped reading or the session ended. The peer's answer,
    /// such as a refusal, may still be read.
    pub async fn send(&mut self, data: Bytes) -> Result<(), PeerError> {
        send_data(&mut self.writer, &mut self.digest, data).await
    }

    /// Sends the end of the body, which makes it whole.
    ///
    /// # Errors
    ///
    /// As [`CallSender::send`].
    pub async fn finish(mut self) -> Result<(), PeerError> {
        send_end(&mut self.writer, &mut self.digest, Bytes::new()).await?;
        self.writer.finish().map_err(PeerError::sent)
    }
}

/// Receives the answer to a call. Dropping it early cancels the call.
pub struct CallReceiver {
    reader: FrameReader,
    digest: BodyDigest,
    call: u64,
}

impl CallReceiver {
    pub(crate) fn new(reader: FrameReader, call: u64) -> CallReceiver {
        CallReceiver {
            reader,
            digest: BodyDigest::default(),
            call,
        }
    }

    /// Waits for the head of the answer, and returns it with its body.
    ///
    /// # Errors
    ///
    /// When the stream or the session ends first, or the answer names another
    /// call. The request may have run in all these cases.
    pub async fn answer(mut self) -> Result<(AnswerHead, BodyReceiver), PeerError> {
        let head = self.head().await.map_err(PeerError::sent)?;
        Ok((
            head,
            BodyReceiver {
                reader: self.reader,
                digest: self.digest,
                done: false,
            },
        ))
    }

    async fn head(&mut self) -> Result<AnswerHead, PeerFault> {
        let (message, _) = self.reader.message::<PeerReply>(frame::HEAD_LIMIT).await?;
        let Some(Reply::Answer(head)) = message.reply else {
            self.reader.stop(crate::error::CODE_MALFORMED);
            return Err(PeerFault::Unexpected("the head of an answer"));
        };
        if head.call != self.call {
            self.reader.stop(crate::error::CODE_MALFORMED);
            return Err(PeerFault::Crossed {
                expected: self.call,
                found: head.call,
            });
        }
        Ok(head)
    }
}

/// Receives a body. Dropping it before its end tells the sender to stop.
pub struct BodyReceiver {
    reader: FrameReader,
    digest: BodyDigest,
    done: bool,
}

impl BodyReceiver {
    pub(crate) fn new(reader: FrameReader) -> BodyReceiver {
        BodyReceiver {
            reader,
            digest: BodyDigest::default(),
            done: false,
        }
    }

    /// Returns the next piece, or `None` once the whole body was received and
    /// agrees with its digest. The future may be dropped and called again.
    ///
    /// # Errors
    ///
    /// When the body was cut off, reset or damaged. The pieces before must then
    /// not be used as a complete body.
    pub async fn data(&mut self) -> Result<Option<Bytes>, PeerError> {
        if self.done {
            return Ok(None);
        }
        let data = self
            .digest
            .read(&mut self.reader)
            .await
            .map_err(PeerError::sent)?;
        self.done = data.is_none();
        Ok(data)
    }

    /// Whether the whole body was received.
    pub fn is_whole(&self) -> bool {
        self.done
    }

    /// Receives the whole body.
    ///
    /// # Errors
    ///
    /// As [`BodyReceiver::data`], and when the body is longer than `limit` bytes.
    pub async fn whole(&mut self, limit: usize) -> Result<Bytes, PeerError> {
        let mut first = Bytes::new();
        let mut joined = Vec::new();
        while let Some(data) = self.data().await? {
            let length = first.len() + joined.len() + data.len();
            if length > limit {
                self.reader.stop(crate::error::CODE_OVERSIZE);
                return Err(PeerError::sent(PeerFault::Oversize {
                    bytes: length as u64,
                    limit: limit as u64,
                }));
            }
            if first.is_empty() && joined.is_empty() {
                first = data;
            } else {
                // Most bodies are one frame; only longer ones are copied.
                joined.extend_from_slice(&std::mem::take(&mut first));
                joined.extend_from_slice(&data);
            }
        }
        Ok(if joined.is_empty() {
            first
        } else {
            joined.into()
        })
    }

    /// Returns the pieces as a stream, for an HTTP body.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, PeerError>> + Send + 'static {
        futures_util::stream::try_unfold(self, |mut body| async move {
            Ok(body.data().await?.map(|data| (data, body)))
        })
    }
}

/// Sends the answer to a call. Dropping it before the end resets the stream,
/// so that the caller never takes a part of an answer for the whole.
pub struct AnswerSender {
    writer: FrameWriter,
    digest: BodyDigest,
    call: u64,
}

impl AnswerSender {
    pub(crate) fn new(writer: FrameWriter, call: u64) -> AnswerSender {
        AnswerSender {
            writer,
            digest: BodyDigest::default(),
            call,
        }
    }

    /// Sends the head. Its `call` is set to that of the request.
    ///
    /// # Errors
    ///
    /// When the head is too large, the caller is gone, or the session ended.
    pub async fn head(&mut self, head: AnswerHead) -> Result<(), PeerError> {
        let frame = self.encode(head)?;
        let written = self.writer.write(&mut [frame]).await;
        written.map_err(PeerError::sent)
    }

    /// Sends a piece of the body; larger pieces are split into frames.
    ///
    /// # Errors
    ///
    /// When the caller is gone or the session ended.
    pub async fn send(&mut self, data: Bytes) -> Result<(), PeerError> {
        send_data(&mut self.writer, &mut self.digest, data).await
    }

    /// Sends the end of the body, which makes it whole, and waits until the
    /// peer has it; the session may be closed then.
    ///
    /// # Errors
    ///
    /// As [`AnswerSender::send`].
    pub async fn finish(mut self) -> Result<(), PeerError> {
        send_end(&mut self.writer, &mut self.digest, Bytes::new()).await?;
        self.writer.deliver().await.map_err(PeerError::sent)
    }

    /// Sends a whole answer in one go, and waits until the peer has it; the
    /// usual way for refusals and small bodies.
    ///
    /// # Errors
    ///
    /// As [`AnswerSender::head`].
    pub async fn whole(mut self, head: AnswerHead, body: Bytes) -> Result<(), PeerError> {
        let mut frames = vec![self.encode(head)?];
        self.digest.push_data(body, &mut frames);
        self.digest.push_end(&mut frames);
        self.writer
            .write(&mut frames)
            .await
            .map_err(PeerError::sent)?;
        self.writer.deliver().await.map_err(PeerError::sent)
    }

    /// Completes when the caller gave up the call or its session ended; never
    /// after the whole answer was delivered. The future borrows nothing.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + Sync + 'static {
        let stopped = self.writer.stream().stopped();
        async move {
            if let Ok(None) = stopped.await {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Ends the answer abnormally, as when the target's body was cut off.
    pub fn abort(mut self) {
        self.writer.reset(CODE_CANCELLED);
    }

    fn encode(&self, mut head: AnswerHead) -> Result<Bytes, PeerError> {
        head.call = self.call;
        let reply = PeerReply {
            reply: Some(Reply::Answer(head)),
        };
        frame::encode(&reply, frame::HEAD_LIMIT).map_err(PeerError::unsent)
    }
}

/// Replies to a request. Dropping it resets the stream.
pub struct Responder {
    writer: FrameWriter,
}

impl Responder {
    pub(crate) fn new(writer: FrameWriter) -> Responder {
        Responder { writer }
    }

    /// Sends the reply.
    ///
    /// # Errors
    ///
    /// When the reply is too large, the requester is gone, or the session ended.
    pub async fn reply(mut self, reply: PeerReply) -> Result<(), PeerError> {
        let frame = frame::encode(&reply, frame::CONTROL_LIMIT).map_err(PeerError::unsent)?;
        self.writer
            .write(&mut [frame])
            .await
            .map_err(PeerError::sent)?;
        self.writer.finish().map_err(PeerError::sent)
    }
}

async fn send_data(
    writer: &mut FrameWriter,
    digest: &mut BodyDigest,
    data: Bytes,
) -> Result<(), PeerError> {
    let mut frames = Vec::with_capacity(2);
    digest.push_data(data, &mut frames);
    writer.write(&mut frames).await.map_err(PeerError::sent)
}

async fn send_end(
    writer: &mut FrameWriter,
    digest: &mut BodyDigest,
    data: Bytes,
) -> Result<(), PeerError> {
    let mut frames = Vec::with_capacity(3);
    digest.push_data(data, &mut frames);
    digest.push_end(&mut frames);
    writer.write(&mut frames).await.map_err(PeerError::sent)
}
