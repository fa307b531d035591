//! Frames on a stream: a length prefix, then one message.
//!
//! The length is checked against its limit before the frame is buffered, so a
//! peer can never make a daemon buffer more than the limit. An error ends only
//! the stream; the session continues.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use prost::Message;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;
use radishgauge_schema::peer::BodyEnd;
use radishgauge_schema::peer::BodyFrame;
use radishgauge_schema::peer::body_frame::Frame;
use xxhash_rust::xxh3::Xxh3;

use crate::error::CODE_CANCELLED;
use crate::error::CODE_MALFORMED;
use crate::error::CODE_OVERSIZE;
use crate::error::PeerFault;
use crate::stream_limit::OpenStream;

/// The greatest control message in bytes: a platform value of 1 MiB and its
/// encoding overhead.
pub const CONTROL_LIMIT: usize = 1024 * 1024 + 4096;
/// The greatest head of a call or an answer in bytes.
pub const HEAD_LIMIT: usize = 32 * 1024;
/// The greatest number of body bytes in one frame.
pub const BODY_LIMIT: usize = 64 * 1024;
/// The greatest encoding overhead of a body frame, in bytes.
const BODY_ENVELOPE: usize = 16;
/// The longest length prefix of a frame in bytes; lengths are thus below 2^28.
const PREFIX_MAX: usize = 4;
/// The greatest number of bytes read from a stream at once.
const READ_MAX: usize = 64 * 1024;

/// Counts the bytes of the frames of one session.
#[derive(Debug, Default)]
pub(crate) struct FrameMeter {
    pub(crate) control_sent: AtomicU64,
    pub(crate) control_received: AtomicU64,
    pub(crate) call_sent: AtomicU64,
    pub(crate) call_received: AtomicU64,
}

/// The kind of traffic as which a stream's bytes are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamKind {
    Control,
    Call,
}

/// Reads the frames of one stream.
pub(crate) struct FrameReader {
    stream: RecvStream,
    rest: Bytes,
    partial: Option<(BytesMut, usize)>,
    meter: Arc<FrameMeter>,
    kind: StreamKind,
    ended: bool,
}

impl FrameReader {
    pub(crate) fn new(stream: RecvStream, meter: Arc<FrameMeter>, kind: StreamKind) -> FrameReader {
        FrameReader {
            stream,
            rest: Bytes::new(),
            partial: None,
            meter,
            kind,
            ended: false,
        }
    }

    pub(crate) fn set_kind(&mut self, kind: StreamKind) {
        self.kind = kind;
    }

    /// Returns the next frame, or `None` at the end of the stream. Cancel safe: a
    /// later call continues where a dropped future stopped.
    pub(crate) async fn frame(&mut self, limit: usize) -> Result<Option<Bytes>, PeerFault> {
        let result = self.read_frame(limit).await;
        match &result {
            Err(PeerFault::Oversize { .. }) => self.stop(CODE_OVERSIZE),
            Err(PeerFault::Malformed(_)) => self.stop(CODE_MALFORMED),
            Err(_) => self.ended = true,
            Ok(Some(frame)) => self.count(frame.len()),
            Ok(None) => self.ended = true,
        }
        result
    }

    async fn read_frame(&mut self, limit: usize) -> Result<Option<Bytes>, PeerFault> {
        if self.partial.is_none() {
            let (prefix, length) = loop {
                if let Some(found) = frame_length(&self.rest)? {
                    break found;
                }
                match self.stream.read_chunk(READ_MAX, true).await? {
                    Some(chunk) if self.rest.is_empty() => self.rest = chunk.bytes,
                    Some(chunk) => {
                        let mut joined =
                            BytesMut::with_capacity(self.rest.len() + chunk.bytes.len());
                        joined.extend_from_slice(&self.rest);
                        joined.extend_from_slice(&chunk.bytes);
                        self.rest = joined.freeze();
                    }
                    None if self.rest.is_empty() => return Ok(None),
                    None => return Err(PeerFault::Truncated),
                }
            };
            if length > limit {
                return Err(PeerFault::Oversize {
                    bytes: length as u64,
                    limit: limit as u64,
                });
            }
            self.rest.advance(prefix);
            if self.rest.len() >= length {
                return Ok(Some(self.rest.split_to(length)));
            }
            // The capacity grows with the received bytes, so that a large length
            // prefix alone does not allocate memory.
            let buffer = BytesMut::from(std::mem::take(&mut self.rest));
            self.partial = Some((buffer, length));
        }
        while let Some((buffer, length)) = &mut self.partial {
            let missing = *length - buffer.len();
            if missing == 0 {
                break;
            }
            match self.stream.read_chunk(missing, true).await? {
                Some(chunk) => buffer.extend_from_slice(&chunk.bytes),
                None => return Err(PeerFault::Truncated),
            }
        }
        let (buffer, _) = self.partial.take().unwrap_or_default();
        Ok(Some(buffer.freeze()))
    }

    /// Returns the next frame as a message, with its encoded length in bytes. The
    /// end of the stream is an error.
    pub(crate) async fn message<M: Message + Default>(
        &mut self,
        limit: usize,
    ) -> Result<(M, usize), PeerFault> {
        let frame = self.frame(limit).await?.ok_or(PeerFault::Truncated)?;
        let length = frame.len();
        match M::decode(frame) {
            Ok(message) => Ok((message, length)),
            Err(error) => {
                self.stop(CODE_MALFORMED);
                Err(PeerFault::Malformed(error.to_string()))
            }
        }
    }

    /// Reads the end of the stream after its last message. The end usually arrives
    /// with that message; reading it here avoids sending a stop frame to the peer.
    pub(crate) fn close(&mut self) {
        self.ended = true;
        let _ = self.stream.read_chunk(1, true).now_or_never();
    }

    /// Asks the peer to stop sending on this stream.
    pub(crate) fn stop(&mut self, code: VarInt) {
        if !std::mem::replace(&mut self.ended, true) {
            let _ = self.stream.stop(code);
        }
    }

    fn count(&self, bytes: usize) {
        let counter = match self.kind {
            StreamKind::Control => &self.meter.control_received,
            StreamKind::Call => &self.meter.call_received,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Drop for FrameReader {
    fn drop(&mut self) {
        self.stop(CODE_CANCELLED);
    }
}

/// Returns the lengths of the prefix and of the frame, or `None` when more bytes
/// are needed.
fn frame_length(bytes: &[u8]) -> Result<Option<(usize, usize)>, PeerFault> {
    let prefix = bytes
        .iter()
        .take(PREFIX_MAX)
        .position(|byte| byte & 0x80 == 0);
    match prefix {
        Some(last) => {
            let length = prost::decode_length_delimiter(&bytes[..=last])
                .map_err(|error| PeerFault::Malformed(error.to_string()))?;
            Ok(Some((last + 1, length)))
        }
        None if bytes.len() >= PREFIX_MAX => Err(PeerFault::Oversize {
            bytes: 1 << (7 * PREFIX_MAX),
            limit: CONTROL_LIMIT as u64,
        }),
        None => Ok(None),
    }
}

/// Writes the frames of one stream, which is reset when dropped before its end.
pub(crate) struct FrameWriter {
    stream: SendStream,
    meter: Arc<FrameMeter>,
    kind: StreamKind,
    ended: bool,
    sent: bool,
    open: Option<OpenStream>,
}

impl FrameWriter {
    pub(crate) fn new(stream: SendStream, meter: Arc<FrameMeter>, kind: StreamKind) -> FrameWriter {
        FrameWriter {
            stream,
            meter,
            kind,
            ended: false,
            sent: false,
            open: None,
        }
    }

    pub(crate) fn set_kind(&mut self, kind: StreamKind) {
        self.kind = kind;
    }

    /// Counts the stream as opened by the peer until the writer is dropped.
    pub(crate) fn set_open(&mut self, open: OpenStream) {
        self.open = Some(open);
    }

    /// Whether any byte was passed to the session.
    pub(crate) fn sent(&self) -> bool {
        self.sent
    }

    pub(crate) fn stream(&self) -> &SendStream {
        &self.stream
    }

    /// Writes encoded frames with as few writes as possible.
    pub(crate) async fn write(&mut self, frames: &mut [Bytes]) -> Result<(), PeerFault> {
        let total: usize = frames.iter().map(Bytes::len).sum();
        let mut from = 0;
        while from < frames.len() {
            let written = self.stream.write_chunks(&mut frames[from..]).await?;
            self.sent |= written.bytes > 0;
            from += written.chunks;
        }
        let counter = match self.kind {
            StreamKind::Control => &self.meter.control_sent,
            StreamKind::Call => &self.meter.call_sent,
        };
        counter.fetch_add(total as u64, Ordering::Relaxed);
        Ok(())
    }

    /// Ends the stream regularly.
    pub(crate) fn finish(&mut self) -> Result<(), PeerFault> {
        self.ended = true;
        self.stream
            .finish()
            .map_err(|error| PeerFault::Closed(error.to_string()))
    }

    /// Ends the stream regularly, and waits until the peer has acknowledged it.
    pub(crate) async fn deliver(&mut self) -> Result<(), PeerFault> {
        self.finish()?;
        match self.stream.stopped().await {
            Ok(None) => Ok(()),
            Ok(Some(code)) => Err(PeerFault::Closed(format!("stopped with code {code}"))),
            Err(error) => Err(PeerFault::Closed(error.to_string())),
        }
    }

    /// Resets the stream with an error code for the peer.
    pub(crate) fn reset(&mut self, code: VarInt) {
        if !std::mem::replace(&mut self.ended, true) {
            let _ = self.stream.reset(code);
        }
    }
}

impl Drop for FrameWriter {
    fn drop(&mut self) {
        self.reset(CODE_CANCELLED);
    }
}

/// Encodes one message as a frame.
pub(crate) fn encode<M: Message>(message: &M, limit: usize) -> Result<Bytes, PeerFault> {
    let length = message.encoded_len();
    if length > limit {
        return Err(PeerFault::Oversize {
            bytes: length as u64,
            limit: limit as u64,
        });
    }
    Ok(message.encode_length_delimited_to_vec().into())
}

/// Computes the length and digest of a body while it is transferred.
#[derive(Default)]
pub(crate) struct BodyDigest {
    bytes: u64,
    // The hash state is more than 512 bytes; boxed, it is not copied by moves.
    hash: Box<Xxh3>,
}

impl BodyDigest {
    fn add(&mut self, data: &[u8]) {
        self.bytes += data.len() as u64;
        self.hash.update(data);
    }

    /// Appends frames for these body bytes to a list, without copying the bytes.
    pub(crate) fn push_data(&mut self, mut data: Bytes, frames: &mut Vec<Bytes>) {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(BODY_LIMIT));
            self.add(&piece);
            frames.push(data_prefix(piece.len()));
            frames.push(piece);
        }
    }

    /// Appends the frame that ends the body.
    pub(crate) fn push_end(&self, frames: &mut Vec<Bytes>) {
        let end = BodyFrame {
            frame: Some(Frame::End(BodyEnd {
                bytes: self.bytes,
                digest: self.hash.digest(),
            })),
        };
        frames.push(end.encode_length_delimited_to_vec().into());
    }

    /// Reads one body frame and returns its bytes, or `None` for the end frame,
    /// which must match the bytes that were read.
    pub(crate) async fn read(
        &mut self,
        reader: &mut FrameReader,
    ) -> Result<Option<Bytes>, PeerFault> {
        let (message, _) = reader
            .message::<BodyFrame>(BODY_LIMIT + BODY_ENVELOPE)
            .await?;
        match message.frame {
            Some(Frame::Data(data)) => {
                self.add(&data);
                Ok(Some(data))
            }
            Some(Frame::End(end))
                if end.bytes == self.bytes && end.digest == self.hash.digest() =>
            {
                reader.close();
                Ok(None)
            }
            Some(Frame::End(end)) => Err(PeerFault::Digest {
                bytes: self.bytes,
                stated: end.bytes,
            }),
            None => Err(PeerFault::Malformed("an empty body frame".to_owned())),
        }
    }
}

/// Returns the encoding that precedes the bytes of a data frame, so that the bytes
/// need not be copied.
fn data_prefix(length: usize) -> Bytes {
    // The key of field 1 (`data`), which is length-delimited: (1 << 3) | 2.
    const DATA_KEY: u8 = 0x0a;
    let inner = 1 + prost::length_delimiter_len(length) + length;
    let mut prefix = BytesMut::with_capacity(2 * PREFIX_MAX + 1);
    // Writing to a growable buffer cannot fail.
    let _ = prost::encode_length_delimiter(inner, &mut prefix);
    prefix.extend_from_slice(&[DATA_KEY]);
    let _ = prost::encode_length_delimiter(length, &mut prefix);
    prefix.freeze()
}
