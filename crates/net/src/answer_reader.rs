//! Reads HTTP/1.1 answers from a connection to a target.
//!
//! The reader finds the exact end of each answer. This distinguishes a complete
//! answer from one that was cut off, and allows the connection to be used after
//! an answer that belongs to another request.

use std::io;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use http::response::Parts;
use httparse::Status;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

/// The greatest number of header fields in an answer.
const HEADER_FIELDS: usize = 96;

/// The greatest status code of an answer (RFC 9110, section 15).
const GREATEST_STATUS: u16 = 599;

/// The greatest length of a chunk size line or trailer field, in bytes.
const GREATEST_LINE: usize = 8 * 1024;

/// The greatest number of informational answers before the final one.
const MAX_INFORMATIONAL: usize = 16;

/// The length of a chunk size line without extensions, in bytes.
const PLAIN_SIZE_LINE: usize = 16;

/// The greatest length of the chunk extensions and trailer fields of one answer
/// together, in bytes.
const MAX_FRAMING: usize = 64 * 1024;

/// The greatest length of the bodies of skipped answers together, in bytes.
const MAX_SKIPPED: usize = 1024 * 1024;

/// The part of an answer's body that has not been read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyRest {
    /// This number of bytes.
    Length(u64),
    /// Chunks, beginning with the size line of the next one.
    ChunkSize,
    /// This number of bytes of a chunk and its line end, then further chunks.
    Chunk(u64),
    /// The trailer fields after the last chunk.
    Trailers,
    /// All bytes up to the end of the connection.
    UntilEnd,
    /// Nothing; the body is complete.
    Done,
}

/// The head of an answer.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    /// The status and header fields.
    pub(crate) parts: Parts,
    /// The body, of which nothing has been read.
    pub(crate) rest: BodyRest,
    /// Whether the connection can be reused after the body.
    pub(crate) keep: bool,
    /// How long the target keeps an idle connection open, if it specifies that.
    pub(crate) idle: Option<Duration>,
}

/// Reads the answers of one connection, one after the other.
pub(crate) struct AnswerReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
    head_limit: usize,
    /// The length of the chunk extensions and trailer fields of the current answer.
    framing: usize,
}

impl AnswerReader {
    pub(crate) fn new(stream: OwnedReadHalf, head_limit: usize) -> AnswerReader {
        AnswerReader {
            stream,
            buffer: BytesMut::new(),
            head_limit,
            framing: 0,
        }
    }

    /// Returns the connection's socket.
    pub(crate) fn socket(&self) -> &TcpStream {
        self.stream.as_ref()
    }

    /// Returns the state of an idle connection, without waiting.
    pub(crate) fn idle_state(&mut self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::UnexpectedData;
        }
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Open,
            Ok(1..) => IdleState::UnexpectedData,
            Ok(0) | Err(_) => IdleState::Closed,
        }
    }

    /// Reads the head of the next answer to a request with this method, skipping
    /// informational (1xx) answers.
    pub(crate) async fn head(&mut self, method: &Method) -> io::Result<AnswerHead> {
        self.framing = 0;
        for _ in 0..MAX_INFORMATIONAL {
            let head = loop {
                if let Some(head) = self.parse_head(method)? {
                    break head;
                }
                if self.buffer.len() >= self.head_limit {
                    return Err(invalid("the head of the answer is too long"));
                }
                self.fill().await?;
            };
            if !head.parts.status.is_informational() {
                return Ok(head);
            }
        }
        Err(invalid("too many informational answers"))
    }

    /// Reads the rest of an answer and discards it.
    pub(crate) async fn skip(&mut self, rest: &mut BodyRest) -> io::Result<()> {
        let mut skipped = 0;
        while let Some(data) = self.data(rest).await? {
            skipped += data.len();
            if skipped > MAX_SKIPPED {
                return Err(invalid("the body of a skipped answer is too long"));
            }
        }
        Ok(())
    }

    /// Returns the next bytes of a body, or `None` after its end.
    pub(crate) async fn data(&mut self, rest: &mut BodyRest) -> io::Result<Option<Bytes>> {
        loop {
            match *rest {
                BodyRest::Done | BodyRest::Length(0) => {
                    *rest = BodyRest::Done;
                    return Ok(None);
                }
                BodyRest::Length(left) => {
                    let data = self.piece(left).await?;
                    *rest = BodyRest::Length(left - data.len() as u64);
                    return Ok(Some(data));
                }
                BodyRest::UntilEnd => return self.until_end(rest).await,
                BodyRest::ChunkSize => {
                    let size = self.chunk_size().await?;
                    *rest = match size {
                        0 => BodyRest::Trailers,
                        size => BodyRest::Chunk(size),
                    };
                }
                BodyRest::Chunk(0) => {
                    if !self.line().await?.is_empty() {
                        return Err(invalid("a chunk is longer than its size"));
                    }
                    *rest = BodyRest::ChunkSize;
                }
                BodyRest::Chunk(left) => {
                    let data = self.piece(left).await?;
                    *rest = BodyRest::Chunk(left - data.len() as u64);
                    return Ok(Some(data));
                }
                BodyRest::Trailers => {
                    let trailer = self.line().await?;
                    if trailer.is_empty() {
                        *rest = BodyRest::Done;
                    }
                    self.record_framing(trailer.len())?;
                }
            }
        }
    }

    async fn until_end(&mut self, rest: &mut BodyRest) -> io::Result<Option<Bytes>> {
        if self.buffer.is_empty() && self.stream.read_buf(&mut self.buffer).await? == 0 {
            *rest = BodyRest::Done;
            return Ok(None);
        }
        Ok(Some(self.buffer.split().freeze()))
    }

    async fn piece(&mut self, most: u64) -> io::Result<Bytes> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        let length = usize::try_from(most)
            .unwrap_or(usize::MAX)
            .min(self.buffer.len());
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn chunk_size(&mut self) -> io::Result<u64> {
        let mut line = self.line().await?;
        self.record_framing(line.len().saturating_sub(PLAIN_SIZE_LINE))?;
        line.extend_from_slice(b"\r\n");
        match httparse::parse_chunk_size(&line) {
            Ok(Status::Complete((_, size))) => Ok(size),
            Ok(Status::Partial) | Err(_) => Err(invalid("the size of a chunk cannot be read")),
        }
    }

    fn record_framing(&mut self, bytes: usize) -> io::Result<()> {
        self.framing += bytes;
        if self.framing > MAX_FRAMING {
            return Err(invalid("chunk extensions and trailers are too long"));
        }
        Ok(())
    }

    /// Reads one line and returns it without its line end.
    async fn line(&mut self) -> io::Result<BytesMut> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let mut line = self.buffer.split_to(end);
                self.buffer.advance(1);
                if line.ends_with(b"\r") {
                    line.truncate(end - 1);
                }
                return Ok(line);
            }
            if self.buffer.len() > GREATEST_LINE {
                return Err(invalid("a line of the answer is too long"));
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> io::Result<()> {
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// Parses the head, or returns `None` until it has arrived completely.
    fn parse_head(&mut self, method: &Method) -> io::Result<Option<AnswerHead>> {
        let mut fields = [httparse::EMPTY_HEADER; HEADER_FIELDS];
        let mut answer = httparse::Response::new(&mut fields);
        let length = match answer.parse(&self.buffer) {
            Ok(Status::Complete(length)) => length,
            Ok(Status::Partial) => return Ok(None),
            Err(error) => return Err(invalid(&error.to_string())),
        };
        let status = final_or_informational(answer.code.unwrap_or_default())?;
        let mut headers = HeaderMap::with_capacity(answer.headers.len());
        for field in answer.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let name = name.map_err(|error| invalid(&error.to_string()))?;
            let value = HeaderValue::from_bytes(field.value);
            let value = value.map_err(|error| invalid(&error.to_string()))?;
            headers.append(name, value);
        }
        let keeps = answer.version == Some(1);
        self.buffer.advance(length);
        let rest = body_rest(method, status, &headers)?;
        let closes = has_close_option(&headers) || rest == BodyRest::UntilEnd;
        let idle = keep_alive_timeout(&headers);
        let (mut parts, ()) = Response::new(()).into_parts();
        parts.status = status;
        parts.version = Version::HTTP_11;
        parts.headers = headers;
        Ok(Some(AnswerHead {
            parts,
            rest,
            keep: keeps && !closes,
            idle,
        }))
    }
}

/// Returns the status of an answer; 101 and those over 599 are no valid answers.
fn final_or_informational(code: u16) -> io::Result<StatusCode> {
    let status = StatusCode::from_u16(code).map_err(|error| invalid(&error.to_string()))?;
    // No request asks for another protocol.
    if status == StatusCode::SWITCHING_PROTOCOLS || code > GREATEST_STATUS {
        return Err(invalid("the status of the answer is not valid"));
    }
    Ok(status)
}

/// The state of an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdleState {
    /// The connection is open, and nothing was received.
    Open,
    /// Bytes were received that answer no request.
    UnexpectedData,
    /// The target has closed the connection.
    Closed,
}

fn body_rest(method: &Method, status: StatusCode, headers: &HeaderMap) -> io::Result<BodyRest> {
    let bodiless = *method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    if bodiless {
        return Ok(BodyRest::Done);
    }
    if let Some(coding) = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back()
    {
        let last = coding.as_bytes().rsplit(|byte| *byte == b',').next();
        let chunked = last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"));
        return Ok(if chunked {
            BodyRest::ChunkSize
        } else {
            BodyRest::UntilEnd
        });
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(BodyRest::UntilEnd);
    };
    if lengths.any(|length| length != first) {
        return Err(invalid("the answer has several lengths"));
    }
    let text = first.to_str().unwrap_or_default().trim();
    // The number parser also accepts a sign.
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    let length = text.parse().ok().filter(|_| is_number);
    length
        .map(BodyRest::Length)
        .ok_or_else(|| invalid("the length of the answer cannot be read"))
}

fn has_close_option(headers: &HeaderMap) -> bool {
    let fields = headers.get_all(header::CONNECTION).iter();
    fields
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    text.split(',').find_map(|parameter| {
        let seconds = parameter.trim().strip_prefix("timeout=")?;
        Some(Duration::from_secs(seconds.trim().parse().ok()?))
    })
}

/// Returns the error of bytes that are no valid answer.
pub(crate) fn invalid(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem.to_owned())
}
