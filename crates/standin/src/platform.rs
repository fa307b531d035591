//! A stand-in for the platform's configuration service, which can be down, slow
//! or stale, or mix values of two versions.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use indexmap::IndexMap;
use radishgauge_config::PartDigest;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::server::LoopbackServer;
use crate::server::ServerResult;

/// The number of latest values kept for each key. Earlier ones are needed for
/// responses that are out of order or that mix two versions.
const HISTORY: usize = 8;

/// Serves `GET /v1/values/<key>` and `GET /v1/watch/<key>` on loopback.
///
/// # Examples
///
/// ```
/// use radishgauge_standin::PlatformStandIn;
///
/// # async fn example() -> std::io::Result<()> {
/// let platform = PlatformStandIn::start().await?;
/// platform.put("root", "first");
/// platform.set_down(true);
/// assert_eq!(platform.counts().reads, 0);
/// # Ok(())
/// # }
/// ```
pub struct PlatformStandIn {
    server: LoopbackServer,
    shared: Arc<PlatformShared>,
}

/// Counts of the requests to the platform since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Reads of a value.
    pub reads: u64,
    /// Watch requests; each is counted once, when it begins.
    pub watches: u64,
    /// Watches that wait for a change now.
    pub waiting: u64,
    /// Requests that got no response because the platform was down.
    pub unanswered: u64,
    /// Total length in bytes of the values sent.
    pub bytes: u64,
    /// The greatest number of requests that began within one second.
    pub peak_rate: u64,
}

impl PlatformCounts {
    /// Returns the number of reads and watches.
    pub fn calls(&self) -> u64 {
        self.reads + self.watches
    }
}

struct PlatformShared {
    state: Mutex<PlatformState>,
    changed: watch::Sender<u64>,
}

#[derive(Default)]
struct PlatformState {
    values: IndexMap<String, VecDeque<Bytes>>,
    stale_values: Option<IndexMap<String, Bytes>>,
    down: bool,
    response_delay: Duration,
    mixed_every: u64,
    out_of_order: bool,
    answers: u64,
    counts: PlatformCounts,
    rate_window: Option<(Instant, u64)>,
}

impl PlatformStandIn {
    /// Starts a platform that has no values.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port is free.
    pub async fn start() -> io::Result<PlatformStandIn> {
        let shared = Arc::new(PlatformShared {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let served = shared.clone();
        let server = LoopbackServer::start(move |request| {
            let shared = served.clone();
            async move { shared.answer(request).await }
        })
        .await?;
        Ok(PlatformStandIn { server, shared })
    }

    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL of the service, in the form that a daemon's settings
    /// use.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Sets the value of one key.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        self.put_all([(key, value.into())]);
    }

    /// Sets the values of several keys in one step, so that no request sees only
    /// some of them changed.
    pub fn put_all<K, I>(&self, values: I)
    where
        K: Into<String>,
        I: IntoIterator<Item = (K, Bytes)>,
    {
        let mut state = self.shared.state();
        for (key, value) in values {
            let history = state.values.entry(key.into()).or_default();
            history.push_back(value);
            if history.len() > HISTORY {
                history.pop_front();
            }
        }
        drop(state);
        self.shared.notify();
    }

    /// Removes a key with its value.
    pub fn remove(&self, key: &str) {
        self.shared.state().values.shift_remove(key);
        self.shared.notify();
    }

    /// Sets one value for each file below a directory. The key is the file's path
    /// relative to the directory.
    ///
    /// # Errors
    ///
    /// Fails if a file or directory cannot be read.
    pub fn put_directory(&self, root: &Path) -> io::Result<()> {
        let mut values = Vec::new();
        let mut folders = vec![root.to_owned()];
        while let Some(folder) = folders.pop() {
            for entry in std::fs::read_dir(folder)? {
                let path = entry?.path();
                if path.is_dir() {
                    folders.push(path);
                } else if let Ok(key) = path.strip_prefix(root) {
                    values.push((
                        key.to_string_lossy().into_owned(),
                        Bytes::from(std::fs::read(&path)?),
                    ));
                }
            }
        }
        self.put_all(values);
        Ok(())
    }

    /// Closes the connection of each request without a response while set; waiting
    /// watches end in the same way.
    pub fn set_down(&self, down: bool) {
        self.shared.state().down = down;
        self.shared.notify();
    }

    /// Serves the present values while set, even if they are changed later.
    pub fn set_stale(&self, stale: bool) {
        let mut state = self.shared.state();
        state.stale_values = stale.then(|| {
            let newest = |history: &VecDeque<Bytes>| history.back().cloned().unwrap_or_default();
            state
                .values
                .iter()
                .map(|(key, history)| (key.clone(), newest(history)))
                .collect()
        });
        drop(state);
        self.shared.notify();
    }

    /// Sets the delay of each response.
    pub fn set_slow(&self, delay: Duration) {
        self.shared.state().response_delay = delay;
    }

    /// Mixes the bytes of two values in every `every`-th response; 0 turns this
    /// off.
    pub fn set_mixed_values(&self, every: u64) {
        self.shared.state().mixed_every = every;
    }

    /// Responds to watches with the value before the newest whenever the number of
    /// responses so far is odd.
    pub fn set_out_of_order(&self, out_of_order: bool) {
        self.shared.state().out_of_order = out_of_order;
        self.shared.notify();
    }

    /// Returns the counts since the platform's start.
    pub fn counts(&self) -> PlatformCounts {
        self.shared.state().counts
    }
}

impl PlatformShared {
    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|change| *change += 1);
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> ServerResult {
        let path = request.uri().path();
        if let Some(key) = path.strip_prefix("/v1/values/") {
            let response_delay = self.state().begin(false)?;
            tokio::time::sleep(response_delay).await;
            let mut state = self.state();
            let value = state.newest(key);
            return Ok(state.respond(key, value));
        }
        let Some(key) = path.strip_prefix("/v1/watch/") else {
            return Ok(empty(StatusCode::NOT_FOUND));
        };
        let query = request.uri().query().unwrap_or_default();
        let query_field = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|pair| pair.0 == name)
        };
        let known = query_field("known").and_then(|pair| pair.1.parse::<PartDigest>().ok());
        let wait = query_field("wait_s")
            .and_then(|pair| pair.1.parse().ok())
            .unwrap_or(0);
        let response_delay = self.state().begin(true)?;
        tokio::time::sleep(response_delay).await;
        let _waiting = WaitingWatch::begin(&self);
        self.watch(key, known, Duration::from_secs(wait)).await
    }

    async fn watch(&self, key: &str, known: Option<PartDigest>, wait: Duration) -> ServerResult {
        let mut changes = self.changed.subscribe();
        let end = Instant::now() + wait;
        loop {
            {
                let mut state = self.state();
                if state.down {
                    state.counts.unanswered += 1;
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                let value = state.watch_value(key);
                if value
                    .as_ref()
                    .is_some_and(|value| known != Some(PartDigest::of(value)))
                {
                    return Ok(state.respond(key, value));
                }
            }
            // `self` owns the sender, so only a change ends the wait early.
            let changed = tokio::time::timeout_at(end, changes.changed()).await;
            if changed.is_err() {
                return Ok(empty(StatusCode::NOT_MODIFIED));
            }
        }
    }
}

impl PlatformState {
    /// Counts one request and returns the delay of its response.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down.
    fn begin(&mut self, watch: bool) -> io::Result<Duration> {
        let now = Instant::now();
        let (start, count) = self.rate_window.get_or_insert((now, 0));
        if now.duration_since(*start) >= Duration::from_secs(1) {
            (*start, *count) = (now, 0);
        }
        *count += 1;
        self.counts.peak_rate = self.counts.peak_rate.max(*count);
        if watch {
            self.counts.watches += 1;
        } else {
            self.counts.reads += 1;
        }
        if self.down {
            self.counts.unanswered += 1;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(self.response_delay)
    }

    fn newest(&self, key: &str) -> Option<Bytes> {
        match &self.stale_values {
            Some(stale_values) => stale_values.get(key).cloned(),
            None => self.values.get(key)?.back().cloned(),
        }
    }

    fn watch_value(&self, key: &str) -> Option<Bytes> {
        let history = self.values.get(key)?;
        if self.out_of_order
            && self.stale_values.is_none()
            && self.answers % 2 == 1
            && history.len() > 1
        {
            return history.get(history.len() - 2).cloned();
        }
        self.newest(key)
    }

    fn respond(&mut self, key: &str, value: Option<Bytes>) -> Response<Full<Bytes>> {
        let Some(mut value) = value else {
            return empty(StatusCode::NOT_FOUND);
        };
        self.answers += 1;
        if self.mixed_every > 0 && self.answers.is_multiple_of(self.mixed_every) {
            value = self.mix_values(key, &value);
        }
        self.counts.bytes += value.len() as u64;
        let tag = format!("\"{}\"", PartDigest::of(&value));
        let mut response = Response::new(Full::new(value));
        if let Ok(tag) = tag.parse() {
            response.headers_mut().insert(header::ETAG, tag);
        }
        response
    }

    /// Joins the first half of a value with the second half of the key's latest
    /// other value, or of another key's value if there is none.
    fn mix_values(&self, key: &str, value: &Bytes) -> Bytes {
        let before = self
            .values
            .get(key)
            .and_then(|history| history.iter().rev().find(|other| *other != value));
        let other = || {
            self.values
                .values()
                .filter_map(VecDeque::back)
                .find(|other| *other != value)
        };
        let second = before.or_else(other).cloned().unwrap_or_default();
        let mut mixed = value[..value.len() / 2].to_vec();
        mixed.extend_from_slice(&second[second.len() / 2..]);
        mixed.into()
    }
}

/// Counts a watch in [`PlatformCounts::waiting`] until it is dropped.
struct WaitingWatch<'a>(&'a PlatformShared);

impl WaitingWatch<'_> {
    fn begin(shared: &PlatformShared) -> WaitingWatch<'_> {
        shared.state().counts.waiting += 1;
        WaitingWatch(shared)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.state().counts.waiting -= 1;
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
