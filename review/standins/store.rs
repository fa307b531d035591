//! The platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// The greatest number of items on a page.
const PAGE_ITEMS: usize = 500;
/// The greatest size of the values on a page, unless it has one item only.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    /// All changes: revision, key, and the value if the item was not deleted.
    changes: Vec<(u64, String, Option<Vec<u8>>)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    calls: AtomicU64,
    record: Record,
}

#[derive(Clone)]
pub struct Store(Arc<Shared>);

/// An address at which the store answers, until it is closed.
pub struct Door {
    pub address: SocketAddr,
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Door {
    /// Ends all connections, and accepts no more.
    pub fn close(&self) {
        for stream in self.open.lock().unwrap().take().into_iter().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which drops the listening socket.
        let _ = TcpStream::connect(self.address);
    }
}

impl Store {
    pub fn new(record: &Record) -> Store {
        Store(Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            calls: AtomicU64::new(0),
            record: record.clone(),
        }))
    }

    /// Answers at another address too.
    pub fn open(&self, ip: IpAddr) -> std::io::Result<Door> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let open = Arc::new(Mutex::new(Some(Vec::new())));
        let accepted = Arc::clone(&open);
        let shared = Arc::clone(&self.0);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nodelay(true);
                let mut open = accepted.lock().unwrap();
                let Some(streams) = open.as_mut() else { return };
                streams.extend(stream.try_clone());
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Door { address, open })
    }

    /// Returns the number of calls so far, those that still wait included.
    pub fn calls(&self) -> u64 {
        self.0.calls.load(Ordering::Relaxed)
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.0.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state
            .items
            .get(key)
            .map_or(revision, |(_, created, _)| *created);
        state
            .items
            .insert(key.to_owned(), (value.to_vec(), created, revision));
        state
            .changes
            .push((revision, key.to_owned(), Some(value.to_vec())));
        drop(state);
        self.0.record.line(format!(
            "store: {key:?} written, {} bytes, revision {revision}",
            value.len()
        ));
        self.0.changed.notify_all();
    }
}

impl Shared {
    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(request) = http::read_message(&mut stream, &mut buffer) {
            let target = request.part(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            self.calls.fetch_add(1, Ordering::Relaxed);
            let (status, body) = match path {
                "/radishgauge/kv-range" => (200, self.range(query)),
                "/radishgauge/kv-watch" => (200, self.watch(query)),
                "/radishgauge/kv-key" => self.key(query),
                _ => (404, "{}".to_owned()),
            };
            let call = log_target(&request);
            self.record.line(format!("store: {call} -> {status}"));
            let answer = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn key(&self, query: &str) -> (u16, String) {
        let key = parameter(query, "key").unwrap_or_default();
        let state = self.state.lock().unwrap();
        match state.items.get(&key) {
            Some((value, created, revision)) => {
                let item = item(&key, value, *created, *revision);
                let at = state.revision;
                let open = item.trim_end_matches('}');
                (200, format!("{open},\"asOf\":{at}}}"))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, query: &str) -> String {
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (value, created, revision)) in &state.items {
            if !key.starts_with(&prefix) || *key <= after {
                continue;
            }
            bytes += value.len();
            if !items.is_empty() && (items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
                more = true;
                break;
            }
            items.push(item(key, value, *created, *revision));
        }
        let items = items.join(",");
        let revision = state.revision;
        format!("{{\"items\":[{items}],\"hasMore\":{more},\"asOf\":{revision}}}")
    }

    fn watch(&self, query: &str) -> String {
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let number = |name| parameter(query, name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let mut events = Vec::new();
        loop {
            for (revision, key, value) in &state.changes {
                if *revision > after && key.starts_with(&prefix) {
                    events.push(match value {
                        Some(value) => item(key, value, *revision, *revision),
                        None => format!(
                            "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                            quoted(key)
                        ),
                    });
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let revision = state.revision;
        let events = events.join(",");
        format!("{{\"events\":[{events}],\"asOf\":{revision}}}")
    }
}

fn log_target(request: &Message) -> String {
    request.start.trim_end_matches(" HTTP/1.1").to_owned()
}

/// Returns a decoded parameter of a query.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        let decoded = match byte {
            b'+' => b' ',
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                u8::from_str_radix(&digits, 16).unwrap_or(b'%')
            }
            other => other,
        };
        bytes.push(decoded);
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

fn item(key: &str, value: &[u8], created: u64, revision: u64) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}",
        quoted(key),
        base64(value)
    )
}

/// Returns a JSON string; keys here have no control characters.
fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= group.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
