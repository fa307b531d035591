//! One connection to a target, which writes requests and reads their answers.
//!
//! A target may answer a long request before it has read all of it, and read the
//! rest later. A long body is therefore written by a task of its own, which
//! continues after the answer was received.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use http::Method;
use http::Request;
use http::header;
use http::request::Parts;
use http_body::Body;
use http_body_util::BodyExt;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::JoinHandle;

use crate::answer_reader::AnswerHead;
use crate::answer_reader::AnswerReader;
use crate::target_body::TargetBody;
use crate::write_tracker::WriteTracker;

/// The greatest request in bytes that is written before the answer is read. It
/// fits the buffers of a connection, so the write completes even when the target
/// does not read.
const WHOLE_REQUEST: usize = 16 * 1024;

/// The greatest number of pieces of a body that are written at once.
const WRITTEN_PIECES: usize = 16;

/// Counts the open connections to a target, and how often the target closed the
/// last remaining one.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections {
    pub(crate) count: AtomicUsize,
    pub(crate) losses: AtomicU64,
}

impl OpenConnections {
    /// Records that the target closed one of the connections.
    pub(crate) fn record_closed(&self) {
        if self.count.load(Ordering::Relaxed) == 1 {
            self.losses.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The state of the writing half of a connection.
enum WriteSide {
    /// No write is in progress.
    Free(OwnedWriteHalf),
    /// A task is writing a long request.
    Busy(JoinHandle<io::Result<OwnedWriteHalf>>),
    /// A write failed.
    Lost,
}

/// One connection to a target, which is closed when dropped.
pub(crate) struct TargetConnection {
    pub(crate) reader: AnswerReader,
    writer: WriteSide,
    open: Arc<OpenConnections>,
    /// How long the target keeps the connection open while idle, if it specifies
    /// that.
    pub(crate) idle: Option<Duration>,
    /// Whether a request is under way.
    busy: bool,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.open.count.fetch_sub(1, Ordering::Relaxed);
        let writer = std::mem::replace(&mut self.writer, WriteSide::Lost);
        if let WriteSide::Busy(task) = &writer {
            task.abort();
        }
        if !self.busy {
            return;
        }
        // A reset discards the bytes that were not delivered yet. Otherwise a
        // cancelled request could still be delivered over a slow path. If the
        // option cannot be set, the connection is closed regularly.
        let _ = SockRef::from(self.reader.socket()).set_linger(Some(Duration::ZERO));
        if let WriteSide::Free(half) = writer {
            // Dropping the half would first close the stream regularly.
            half.forget();
        }
    }
}

impl TargetConnection {
    pub(crate) fn new(
        stream: TcpStream,
        head_limit: usize,
        open: &Arc<OpenConnections>,
    ) -> TargetConnection {
        open.count.fetch_add(1, Ordering::Relaxed);
        let (reader, writer) = stream.into_split();
        TargetConnection {
            reader: AnswerReader::new(reader, head_limit),
            writer: WriteSide::Free(writer),
            open: open.clone(),
            idle: None,
            busy: false,
        }
    }

    /// Records that the complete answer was received.
    pub(crate) fn end_request(&mut self) {
        self.busy = false;
    }

    /// Writes a request, or starts a task that does, and returns when the answer may
    /// be read. After an error, the tracker records whether anything was written.
    pub(crate) async fn write(
        &mut self,
        request: OutgoingRequest,
        tracker: &Arc<WriteTracker>,
    ) -> io::Result<()> {
        let WriteSide::Free(mut half) = std::mem::replace(&mut self.writer, WriteSide::Lost) else {
            return Err(io::ErrorKind::BrokenPipe.into());
        };
        self.busy = true;
        match request {
            OutgoingRequest::Whole(bytes) => {
                write_all(&mut half, &bytes, tracker).await?;
                self.writer = WriteSide::Free(half);
            }
            OutgoingRequest::Long { head, body } => {
                let tracker = tracker.clone();
                self.writer = WriteSide::Busy(tokio::spawn(async move {
                    write_long(&mut half, &head, body, &tracker).await?;
                    Ok(half)
                }));
            }
        }
        Ok(())
    }

    /// Reads the head of the next answer, while the rest of a long request is
    /// written.
    pub(crate) async fn head(&mut self, method: &Method) -> io::Result<AnswerHead> {
        if let WriteSide::Busy(task) = &mut self.writer {
            let mut read = std::pin::pin!(self.reader.head(method));
            tokio::select! {
                biased;
                head = &mut read => return head,
                written = task => match written {
                    Ok(Ok(half)) => self.writer = WriteSide::Free(half),
                    Ok(Err(error)) => {
                        self.writer = WriteSide::Lost;
                        return Err(error);
                    }
                    Err(error) => {
                        self.writer = WriteSide::Lost;
                        return Err(io::Error::other(error));
                    }
                },
            }
            return read.await;
        }
        self.reader.head(method).await
    }

    /// Waits until the request has been written completely.
    pub(crate) async fn finish_write(&mut self) -> io::Result<()> {
        if let WriteSide::Busy(task) = &mut self.writer {
            let written = task.await;
            self.writer = WriteSide::Lost;
            self.writer = WriteSide::Free(written.map_err(io::Error::other)??);
        }
        match self.writer {
            WriteSide::Free(_) => Ok(()),
            WriteSide::Busy(_) | WriteSide::Lost => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    /// Returns how much of the request has been written, without waiting.
    pub(crate) fn written(&mut self) -> WriteState {
        if let WriteSide::Busy(task) = &mut self.writer {
            self.writer = match task.now_or_never() {
                None => return WriteState::Writing,
                Some(Ok(Ok(half))) => WriteSide::Free(half),
                // The connection can no longer be used.
                Some(Ok(Err(_)) | Err(_)) => WriteSide::Lost,
            };
        }
        match self.writer {
            WriteSide::Free(_) => WriteState::Written,
            WriteSide::Busy(_) => WriteState::Writing,
            WriteSide::Lost => WriteState::Lost,
        }
    }
}

/// The progress of writing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteState {
    /// The complete request was written.
    Written,
    /// The request is still being written.
    Writing,
    /// The write failed.
    Lost,
}

/// An encoded request.
pub(crate) enum OutgoingRequest {
    /// The head and the complete body.
    Whole(Bytes),
    /// The head, and a body that is long or streamed.
    Long {
        head: Bytes,
        body: Pin<Box<TargetBody>>,
    },
}

impl OutgoingRequest {
    /// Encodes a request whose URI is in origin form.
    pub(crate) fn encode(request: Request<TargetBody>) -> OutgoingRequest {
        let (parts, body) = request.into_parts();
        let length = body.size_hint().exact();
        let mut head = encode_head(&parts, length);
        match body.as_whole() {
            Some(bytes) if head.len() + bytes.len() <= WHOLE_REQUEST => {
                head.extend_from_slice(bytes);
                OutgoingRequest::Whole(head.freeze())
            }
            _ => OutgoingRequest::Long {
                head: head.freeze(),
                body: Box::pin(body),
            },
        }
    }
}

fn encode_head(parts: &Parts, length: Option<u64>) -> BytesMut {
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut head = BytesMut::with_capacity(1024);
    let mut put = |pieces: &[&[u8]]| {
        for piece in pieces {
            head.extend_from_slice(piece);
        }
    };
    put(&[
        parts.method.as_str().as_bytes(),
        b" ",
        target.as_bytes(),
        b" HTTP/1.1\r\n",
    ]);
    for (name, value) in &parts.headers {
        // The framing of the body is chosen below, not by the caller's headers.
        if name != header::CONTENT_LENGTH && name != header::TRANSFER_ENCODING {
            put(&[name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
        }
    }
    let bodiless = matches!(parts.method, Method::GET | Method::HEAD | Method::DELETE);
    match length {
        Some(0) if bodiless => {}
        Some(length) => put(&[b"content-length: ", length.to_string().as_bytes(), b"\r\n"]),
        None => put(&[b"transfer-encoding: chunked\r\n"]),
    }
    put(&[b"\r\n"]);
    head
}

async fn write_long(
    half: &mut OwnedWriteHalf,
    head: &[u8],
    mut body: Pin<Box<TargetBody>>,
    tracker: &WriteTracker,
) -> io::Result<()> {
    let chunked = body.size_hint().exact().is_none();
    write_all(half, head, tracker).await?;
    if let Some(pieces) = body.as_pieces() {
        return write_pieces(half, pieces.pieces(), tracker).await;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.is_empty() {
            continue;
        }
        if chunked {
            let size = format!("{:x}\r\n", data.len());
            write_all(half, size.as_bytes(), tracker).await?;
        }
        write_all(half, &data, tracker).await?;
        if chunked {
            write_all(half, b"\r\n", tracker).await?;
        }
    }
    if chunked {
        write_all(half, b"0\r\n\r\n", tracker).await?;
    }
    Ok(())
}

/// Writes the pieces of a body, several at a time.
async fn write_pieces(
    half: &mut OwnedWriteHalf,
    mut pieces: &[Bytes],
    tracker: &WriteTracker,
) -> io::Result<()> {
    // The bytes of the first piece that are written already.
    let mut offset = 0;
    while let Some((first, rest)) = pieces.split_first() {
        half.writable().await?;
        let mut slices = [IoSlice::new(&[]); WRITTEN_PIECES];
        let following = rest.iter().map(|piece| &piece[..]);
        let data = std::iter::once(&first[offset..]).chain(following);
        for (slice, data) in slices.iter_mut().zip(data) {
            *slice = IoSlice::new(data);
        }
        // The head was written before, so the tracker only tells of a cancellation.
        tracker.begin_write()?;
        let mut written = match half.try_write_vectored(&slices) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => written + offset,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        while let Some((first, rest)) = pieces.split_first()
            && written >= first.len()
        {
            written -= first.len();
            pieces = rest;
        }
        offset = written;
    }
    Ok(())
}

async fn write_all(
    half: &mut OwnedWriteHalf,
    bytes: &[u8],
    tracker: &WriteTracker,
) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        half.writable().await?;
        // There is no await between the record and the write, so that the tracker
        // states exactly whether a byte may have been written.
        let first = tracker.begin_write()?;
        match half.try_write(rest) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => rest = &rest[written..],
            Err(error) => {
                if first {
                    tracker.undo_write();
                }
                if error.kind() != io::ErrorKind::WouldBlock {
                    return Err(error);
                }
            }
        }
    }
    Ok(())
}
