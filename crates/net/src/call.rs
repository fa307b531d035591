//! Senders and receivers of calls, requests and their answers.
//!
//! A call and its answer share one stream, so an answer cannot reach another
//! call. A body is complete only when its end frame arrived and matches the
//! received bytes. A sender or receiver that is dropped early resets the stream,
//! which cancels the call at the other end.

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

    /// Sends a chunk of the body; larger chunks are split into frames.
    ///
    /// # Errors
    ///
    /// When the peer stopped reading or the session ended. The peer's answer,
    /// such as a refusal, can still be received.
    pub async fn send(&mut self, data: Bytes) -> Result<(), PeerError> {
        send_data(&mut self.writer, &mut self.digest, data).await
    }

    /// Sends the end of the body, which makes it complete.
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

    /// Waits for the head of the answer, and returns it with the receiver of its
    /// body.
    ///
    /// # Errors
    ///
    /// When the stream or the session ends first, or the answer belongs to another
    /// call. In all these cases the request may have run.
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

/// Receives a body. Dropping it before the end makes the sender stop.
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

    /// Returns the next chunk, or `None` once the complete body was received and
    /// matches its digest. When the future is dropped, no data is lost, and the
    /// method may be called again.
    ///
    /// # Errors
    ///
    /// When the body was cut off, reset or damaged. The chunks received before
    /// must then not be used as a complete body.
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

    /// Whether the complete body was received.
    pub fn is_whole(&self) -> bool {
        self.done
    }

    /// Receives the complete body.
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
                // Most bodies fit one frame; only longer ones are copied.
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

    /// Returns the chunks as a stream, for an HTTP body.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, PeerError>> + Send + 'static {
        futures_util::stream::try_unfold(self, |mut body| async move {
            Ok(body.data().await?.map(|data| (data, body)))
        })
    }
}

/// Sends the answer to a call. Dropping it before the end resets the stream, so
/// that the caller cannot mistake a partial answer for a complete one.
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

    /// Sends the head of the answer, with its `call` set to that of the request.
    ///
    /// # Errors
    ///
    /// When the head is too large, the caller cancelled the call, or the session
    /// ended.
    pub async fn head(&mut self, head: AnswerHead) -> Result<(), PeerError> {
        let frame = self.encode(head)?;
        let written = self.writer.write(&mut [frame]).await;
        written.map_err(PeerError::sent)
    }

    /// Sends a chunk of the body; larger chunks are split into frames.
    ///
    /// # Errors
    ///
    /// When the caller cancelled the call or the session ended.
    pub async fn send(&mut self, data: Bytes) -> Result<(), PeerError> {
        send_data(&mut self.writer, &mut self.digest, data).await
    }

    /// Sends the end of the body, which makes it complete, and waits until the
    /// peer has acknowledged all of it. The session may be closed afterwards.
    ///
    /// # Errors
    ///
    /// As [`AnswerSender::send`].
    pub async fn finish(mut self) -> Result<(), PeerError> {
        send_end(&mut self.writer, &mut self.digest, Bytes::new()).await?;
        self.writer.deliver().await.map_err(PeerError::sent)
    }

    /// Sends a complete answer at once, and waits until the peer has acknowledged
    /// it; for refusals and small bodies.
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

    /// Completes when the caller cancelled the call or its session ended, but
    /// never after the complete answer was delivered. The future borrows nothing.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + Sync + 'static {
        let stopped = self.writer.stream().stopped();
        async move {
            if let Ok(None) = stopped.await {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Resets the stream, for example when the target's answer was cut off.
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

/// Sends the reply to a request. Dropping it resets the stream.
pub struct Responder {
    writer: FrameWriter,
}

impl Responder {
    pub(crate) fn new(writer: FrameWriter) -> Responder {
        Responder { writer }
    }

    /// Sends the reply and ends the stream.
    ///
    /// # Errors
    ///
    /// When the reply is too large, the peer cancelled the request, or the session
    /// ended.
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
