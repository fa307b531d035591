//! Reads HTTP/1.1 messages.

use std::io::Read;
use std::net::TcpStream;

/// A request or an answer.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field; `name` is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(field, _)| field == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the part of the first line with this index.
    pub fn part(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.part(1).parse().unwrap_or(0)
    }
}

/// Reads the next message; an error if the connection ends before its end, or if a
/// read takes longer than the stream's timeout.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Message> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        fill(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let fields: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        start,
        fields,
        body: Vec::new(),
    };
    if message.field("transfer-encoding") == Some("chunked") {
        loop {
            let size = usize::from_str_radix(line(stream, buffer)?.trim(), 16).unwrap_or(0);
            if size == 0 {
                line(stream, buffer)?;
                return Ok(message);
            }
            let chunk = exactly(stream, buffer, size)?;
            message.body.extend(chunk);
            line(stream, buffer)?;
        }
    }
    let length = message.field("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = exactly(stream, buffer, length)?;
    Ok(message)
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<()> {
    let mut piece = [0; 64 * 1024];
    match stream.read(&mut piece)? {
        0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
        read => {
            buffer.extend_from_slice(&piece[..read]);
            Ok(())
        }
    }
}

fn exactly(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> std::io::Result<Vec<u8>> {
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    Ok(buffer.drain(..length).collect())
}

fn line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<String> {
    loop {
        if let Some(end) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 2);
            return Ok(line);
        }
        fill(stream, buffer)?;
    }
}
