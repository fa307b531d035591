//! A requester with one connection, which it keeps while it can.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

static SENT: AtomicU64 = AtomicU64::new(1);

/// What a requester saw of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// An answer, with its status and the service that ran the request, if any did.
    Answer { status: u16, service: String },
    /// No connection could be opened.
    NoConnection,
    /// The connection ended without a complete answer.
    Closed,
    /// Nothing came until the requester left.
    Nothing,
}

impl Seen {
    pub fn is_served(&self) -> bool {
        matches!(self, Seen::Answer { status: 200, .. })
    }
}

/// A request and what became of it.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    /// When it was sent, since the start of the case.
    pub sent: Duration,
    pub took: Duration,
    pub seen: Seen,
}

/// What to send.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    /// The requester's time limit.
    pub limit: Duration,
    /// Further header lines, each with its line end.
    pub lines: &'a str,
    pub body: &'a [u8],
}

pub struct Requester {
    daemon: SocketAddr,
    connection: Option<TcpStream>,
    buffer: Vec<u8>,
    record: Record,
}

impl Requester {
    pub fn new(daemon: SocketAddr, record: &Record) -> Requester {
        Requester {
            daemon,
            connection: None,
            buffer: Vec::new(),
            record: record.clone(),
        }
    }

    pub fn send(&mut self, call: &Call) -> Attempt {
        let number = SENT.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let sent = self.record.now();
        let started = Instant::now();
        let seen = self.exchange(call, &id);
        if !matches!(seen, Seen::Answer { .. }) {
            self.connection = None;
        }
        let took = started.elapsed();
        self.record.line(format!(
            "requester at {}: {} {} {id}, {} bytes, sent at {} ms -> {seen:?} after {} ms",
            self.daemon.ip(),
            call.method,
            call.path,
            call.body.len(),
            sent.as_millis(),
            took.as_millis()
        ));
        Attempt {
            id,
            sent,
            took,
            seen,
        }
    }

    fn exchange(&mut self, call: &Call, id: &str) -> Seen {
        if self.connection.is_none() {
            self.buffer.clear();
            let opened = TcpStream::connect_timeout(&self.daemon, Duration::from_secs(1));
            let Ok(stream) = opened else {
                return Seen::NoConnection;
            };
            let _ = stream.set_nodelay(true);
            self.connection = Some(stream);
        }
        let Some(stream) = self.connection.as_mut() else {
            return Seen::NoConnection;
        };
        let _ = stream.set_read_timeout(Some(call.limit));
        let _ = stream.set_write_timeout(Some(call.limit));
        let length = match call.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", call.body.len()),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: mesh.example\r\nRadishgauge-Request-Id: {id}\r\nRadishgauge-Deadline-Ms: {}\r\n{}{length}\r\n",
            call.method,
            call.path,
            call.limit.as_millis(),
            call.lines
        );
        let written = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(call.body));
        if let Err(error) = written {
            return ended(&error);
        }
        match http::read_message(stream, &mut self.buffer) {
            Ok(answer) => {
                let closes = answer
                    .field("connection")
                    .is_some_and(|value| value == "close");
                if closes {
                    self.connection = None;
                }
                let own = answer.field("radishgauge-request-id") == Some(id);
                let signed = answer.field("radishgauge-response-signature").is_some();
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let service = match body.split_once(' ') {
                    Some((echoed, service)) if own && signed && echoed == id => service.to_owned(),
                    _ => String::new(),
                };
                Seen::Answer {
                    status: answer.status(),
                    service,
                }
            }
            Err(error) => ended(&error),
        }
    }
}

fn ended(error: &std::io::Error) -> Seen {
    match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Seen::Nothing,
        _ => Seen::Closed,
    }
}
