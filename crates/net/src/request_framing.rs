//! Finds where the head and the body of each request of a connection end.
//!
//! The HTTP library switches its protocol, waits for a body or answers 400 because of
//! header fields that concern one connection only. They are removed from the head before
//! the library parses it, for which the end of each request must be known.

use bytes::Buf;
use bytes::BytesMut;
use http::header;
use httparse::Header;
use httparse::Status;

/// The greatest number of header fields in a request.
pub(crate) const HEADER_FIELDS: usize = 128;

/// The minor version of HTTP/1.1, as the parser reports it.
const HTTP_11: u8 = 1;

/// The fields on which the library acts, and which are to change nothing.
const REMOVED_FIELDS: [&str; 3] = ["upgrade", "http2-settings", "expect"];

/// The result of looking for a request head.
#[derive(Debug)]
pub(crate) enum HeadScan {
    /// The end of the head has not arrived.
    Partial,
    /// The head ends after this number of bytes.
    Complete(RequestHead),
    /// The bytes are no request head. The library refuses them.
    Invalid,
    /// The head does not tell where its body ends, or does so in a form on which
    /// recipients may differ.
    AmbiguousBody,
}

/// What the head of a request declares.
#[derive(Debug)]
pub(crate) struct RequestHead {
    /// The length of the head in bytes.
    pub(crate) length: usize,
    /// The body that follows.
    pub(crate) body: BodyEnd,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
}

/// Where the body of a request ends.
#[derive(Debug)]
pub(crate) enum BodyEnd {
    /// After this number of bytes.
    Length(u64),
    /// After the last chunk.
    Chunks(ChunkScanner),
    /// It is not known; the library closes the connection after the request.
    Unknown,
}

/// Returns the position after the first empty line, from which on a head may be complete;
/// the search begins at `start`, or at the end of a shorter buffer.
pub(crate) fn find_head_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut line = start.min(bytes.len());
    while let Some(end) = bytes[line..].iter().position(|byte| *byte == b'\n') {
        line += end + 1;
        match &bytes[line..] {
            [b'\n', ..] => return Some(line + 1),
            [b'\r', b'\n', ..] => return Some(line + 2),
            _ => {}
        }
    }
    None
}

/// Reads the head at the start of `inbox`, which has no empty lines before it, and removes
/// the fields on which the library must not act.
pub(crate) fn scan_head(inbox: &mut BytesMut) -> HeadScan {
    let mut fields = [httparse::EMPTY_HEADER; HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let length = match request.parse(inbox) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return HeadScan::Partial,
        Err(_) => return HeadScan::Invalid,
    };
    let Some(declared) = body_end(request.headers, request.version) else {
        return HeadScan::AmbiguousBody;
    };
    let body = match request.method == Some("CONNECT") {
        true => BodyEnd::Unknown,
        false => declared,
    };
    let expects_continue = request.headers.iter().any(is_expectation);
    let removed: Vec<(usize, usize)> = request
        .headers
        .iter()
        .filter(|field| is_removed(field) || is_repeated_length(request.headers, field))
        .map(|field| position_in(inbox, field))
        .collect();
    let mut head = RequestHead {
        length,
        body,
        expects_continue,
    };
    if !removed.is_empty() {
        head.length -= remove_lines(inbox, &removed);
    }
    HeadScan::Complete(head)
}

fn is_removed(field: &Header<'_>) -> bool {
    let mut names = REMOVED_FIELDS.iter();
    names.any(|name| field.name.eq_ignore_ascii_case(name))
}

/// Returns whether a field repeats an earlier length. The library refuses repeats.
fn is_repeated_length(fields: &[Header<'_>], field: &Header<'_>) -> bool {
    let name = header::CONTENT_LENGTH;
    let is_length = |field: &Header<'_>| field.name.eq_ignore_ascii_case(name.as_str());
    let first = fields.iter().find(|field| is_length(field));
    is_length(field) && first.is_some_and(|first| !std::ptr::eq(first.name, field.name))
}

fn is_expectation(field: &Header<'_>) -> bool {
    let name = header::EXPECT;
    field.name.eq_ignore_ascii_case(name.as_str())
        && field.value.eq_ignore_ascii_case(b"100-continue")
}

/// Returns where the name of a field begins in `bytes`, and where its value ends.
fn position_in(bytes: &[u8], field: &Header<'_>) -> (usize, usize) {
    let start = bytes.as_ptr() as usize;
    let name = field.name.as_ptr() as usize - start;
    let value = field.value.as_ptr() as usize - start;
    (name, value + field.value.len())
}

/// Removes header lines, given where their names begin and their values end, and returns
/// the number of bytes removed.
fn remove_lines(inbox: &mut BytesMut, lines: &[(usize, usize)]) -> usize {
    let mut kept = BytesMut::with_capacity(inbox.len());
    let mut copied = 0;
    for (start, value_end) in lines {
        kept.extend_from_slice(&inbox[copied..*start]);
        let line_end = inbox[*value_end..].iter().position(|byte| *byte == b'\n');
        copied = line_end.map_or(inbox.len(), |end| value_end + end + 1);
    }
    kept.extend_from_slice(&inbox[copied..]);
    let removed = inbox.len() - kept.len();
    *inbox = kept;
    removed
}

/// Returns where the body ends, or `None` if RFC 9112 demands or allows a refusal of the
/// declared framing. Another recipient could read a different end, and take a part of the
/// body for a request.
fn body_end(fields: &[Header<'_>], version: Option<u8>) -> Option<BodyEnd> {
    let mut declared: Option<BodyEnd> = None;
    for field in fields {
        let is_field = |name: &str| field.name.eq_ignore_ascii_case(name);
        if is_field(header::TRANSFER_ENCODING.as_str()) {
            let is_chunked = field.value.eq_ignore_ascii_case(b"chunked");
            let is_supported = is_chunked && version == Some(HTTP_11);
            if !is_supported || declared.is_some() {
                return None;
            }
            declared = Some(BodyEnd::Chunks(ChunkScanner::default()));
        } else if is_field(header::CONTENT_LENGTH.as_str()) {
            let length = parse_length(field.value)?;
            match declared {
                None => declared = Some(BodyEnd::Length(length)),
                Some(BodyEnd::Length(first)) if first == length => {}
                Some(_) => return None,
            }
        }
    }
    Some(declared.unwrap_or(BodyEnd::Length(0)))
}

/// Returns the value of a length field, which consists of digits only.
fn parse_length(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Removes the empty lines at the start of `inbox`, and returns their length in bytes.
pub(crate) fn skip_empty_lines(inbox: &mut BytesMut) -> usize {
    let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let length = inbox.iter().take_while(|byte| is_line_end(byte)).count();
    inbox.advance(length);
    length
}

/// The part of a chunked body in which the next byte lies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ChunkPart {
    /// The first digit of a chunk's size.
    #[default]
    SizeStart,
    /// The further digits of a chunk's size.
    Size,
    /// The blanks after the size.
    Blanks,
    /// The extensions of a chunk.
    Extension,
    /// The line feed after the size or the extensions.
    SizeLineFeed,
    /// The data of a chunk, of which this number of bytes is left.
    Data(u64),
    /// The carriage return after the data.
    DataEnd,
    /// The line feed after the data.
    DataLineFeed,
    /// The start of a line after the last chunk.
    TrailerStart,
    /// The rest of a trailer line.
    Trailer,
    /// The line feed after a trailer line.
    TrailerLineFeed,
    /// The line feed after the empty line that ends the body.
    LastLineFeed,
    /// Nothing; the body has ended.
    End,
    /// Bytes that are no chunks.
    Invalid,
}

/// Finds the end of a body in chunks.
#[derive(Debug, Default)]
pub(crate) struct ChunkScanner {
    part: ChunkPart,
    /// The size of the current chunk, as far as its digits have arrived.
    size: u64,
}

impl ChunkScanner {
    /// Returns whether the body has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.part == ChunkPart::End
    }

    /// Returns whether the bytes that follow the scanned ones are no chunks.
    pub(crate) fn is_invalid(&self) -> bool {
        self.part == ChunkPart::Invalid
    }

    /// Scans the next bytes, and returns how many of them belong to the body.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> usize {
        let mut position = 0;
        while position < bytes.len() && !self.has_ended() {
            if let ChunkPart::Data(left) = self.part {
                let available = (bytes.len() - position) as u64;
                let data = left.min(available);
                position += data as usize;
                self.part = match left - data {
                    0 => ChunkPart::DataEnd,
                    left => ChunkPart::Data(left),
                };
                continue;
            }
            self.part = self.after(bytes[position]);
            if self.is_invalid() {
                return position;
            }
            position += 1;
        }
        position
    }

    /// Returns the part after a byte that is no data.
    fn after(&mut self, byte: u8) -> ChunkPart {
        match (self.part, byte) {
            (ChunkPart::SizeStart, _) => self.after_digit(byte),
            (ChunkPart::Size | ChunkPart::Blanks, b' ' | b'\t') => ChunkPart::Blanks,
            (ChunkPart::Size | ChunkPart::Blanks, b';') => ChunkPart::Extension,
            (ChunkPart::Size | ChunkPart::Blanks, b'\r') => ChunkPart::SizeLineFeed,
            (ChunkPart::Size, _) => self.after_digit(byte),
            (ChunkPart::Extension, b'\r') => ChunkPart::SizeLineFeed,
            (ChunkPart::Extension, b'\n') => ChunkPart::Invalid,
            (ChunkPart::Extension, _) => ChunkPart::Extension,
            (ChunkPart::SizeLineFeed, b'\n') => match std::mem::take(&mut self.size) {
                0 => ChunkPart::TrailerStart,
                size => ChunkPart::Data(size),
            },
            (ChunkPart::DataEnd, b'\r') => ChunkPart::DataLineFeed,
            (ChunkPart::DataLineFeed, b'\n') => ChunkPart::SizeStart,
            (ChunkPart::TrailerStart, b'\r') => ChunkPart::LastLineFeed,
            (ChunkPart::Trailer, b'\r') => ChunkPart::TrailerLineFeed,
            (ChunkPart::TrailerStart | ChunkPart::Trailer, b'\n') => ChunkPart::Invalid,
            (ChunkPart::TrailerStart | ChunkPart::Trailer, _) => ChunkPart::Trailer,
            (ChunkPart::TrailerLineFeed, b'\n') => ChunkPart::TrailerStart,
            (ChunkPart::LastLineFeed, b'\n') => ChunkPart::End,
            _ => ChunkPart::Invalid,
        }
    }

    fn after_digit(&mut self, byte: u8) -> ChunkPart {
        let Some(digit) = char::from(byte).to_digit(16) else {
            return ChunkPart::Invalid;
        };
        let size = self.size.checked_mul(16);
        match size.and_then(|size| size.checked_add(u64::from(digit))) {
            Some(size) => {
                self.size = size;
                ChunkPart::Size
            }
            None => ChunkPart::Invalid,
        }
    }
}
