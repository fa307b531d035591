//! A client of the platform's configuration service, which can be read and watched.
//!
//! Values may be stale, torn or reordered, and this module does not check them.
//! Its users compare every value with its expected digest.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use indexmap::IndexMap;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use radishgauge_config::PartDigest;
use tokio::time::Instant;

/// The greatest value that the platform holds, in bytes.
pub const VALUE_LIMIT: usize = 1024 * 1024;
/// The longest key in bytes.
const KEY_LIMIT: usize = 256;
/// The interval at which a watched file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// A file that was modified less than this time ago is read even when its
/// modification time and length have not changed, because file systems may record
/// times with a resolution of two seconds.
const TIMESTAMP_RESOLUTION: Duration = Duration::from_secs(2);
/// The timeout of a read, and of a watch after its wait. The platform normally
/// answers within milliseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The greatest number of watched keys whose entity tags are cached.
const MAX_TAGS: usize = 64;

/// A failed read of the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The key does not have the accepted form.
    #[error("platform key {0:?}: expected names of [a-z0-9._-] separated by single slashes")]
    Key(String),
    /// The base address does not have the form `http://ip:port`.
    #[error("platform address {0:?}: expected http://ip:port")]
    Address(String),
    /// The platform could not be reached, or did not answer in time.
    #[error("the platform does not answer: {0}")]
    Unreachable(String),
    /// The platform answered with this HTTP status.
    #[error("the platform answered with status {0}")]
    Status(u16),
    /// The value is larger than the platform may store.
    #[error("the platform's value exceeds {VALUE_LIMIT} bytes")]
    TooLarge,
}

/// Reads and watches platform values; clones share connections.
#[derive(Clone)]
pub enum PlatformClient {
    /// Reads values from the files of a directory.
    Directory(DirectoryPlatform),
    /// Reads values over HTTP.
    Http(HttpPlatform),
}

impl PlatformClient {
    /// Returns a client that reads values from the files of a directory.
    pub fn directory(root: impl Into<PathBuf>) -> PlatformClient {
        PlatformClient::Directory(DirectoryPlatform { root: root.into() })
    }

    /// Returns a client that reads values over HTTP from `http://ip:port`.
    ///
    /// # Errors
    ///
    /// When the address does not have that form.
    pub fn http(address: &str) -> Result<PlatformClient, PlatformError> {
        HttpPlatform::new(address).map(PlatformClient::Http)
    }

    /// Returns the value of a key, or `None` when the key has no value.
    ///
    /// # Errors
    ///
    /// When the key is malformed, the platform does not answer, or the value is
    /// too large.
    pub async fn read(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        check_key(key)?;
        match self {
            PlatformClient::Directory(directory) => directory.read(key).await,
            PlatformClient::Http(http) => http.read(key).await,
        }
    }

    /// Returns the value of a key as soon as its digest differs from `known`, or
    /// `None` when the value has not changed, or does not exist, at the end of
    /// `wait`.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::read`].
    pub async fn watch(
        &self,
        key: &str,
        known: Option<PartDigest>,
        wait: Duration,
    ) -> Result<Option<Bytes>, PlatformError> {
        check_key(key)?;
        match self {
            PlatformClient::Directory(directory) => directory.watch(key, known, wait).await,
            PlatformClient::Http(http) => http.watch(key, known, wait).await,
        }
    }
}

/// Checks the form of a key. Keys become parts of paths, and must not lead out of
/// the directory or URL prefix.
fn check_key(key: &str) -> Result<(), PlatformError> {
    let name = |part: &str| {
        let plain =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"._-".contains(&byte);
        !part.is_empty() && !part.starts_with('.') && part.bytes().all(plain)
    };
    if key.len() <= KEY_LIMIT && key.split('/').all(name) {
        Ok(())
    } else {
        Err(PlatformError::Key(key.to_owned()))
    }
}

/// Reads platform values from the files of a directory, named by their keys.
#[derive(Clone)]
pub struct DirectoryPlatform {
    root: PathBuf,
}

impl DirectoryPlatform {
    async fn read(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        Ok(self.read_if_changed(key, None).await?.value)
    }

    async fn watch(
        &self,
        key: &str,
        known: Option<PartDigest>,
        wait: Duration,
    ) -> Result<Option<Bytes>, PlatformError> {
        let end = Instant::now() + wait;
        let mut last = None;
        loop {
            let file = self.read_if_changed(key, last).await?;
            if let Some(value) = file
                .value
                .filter(|value| known != Some(PartDigest::of(value)))
            {
                return Ok(Some(value));
            }
            last = file.stamp;
            let now = Instant::now();
            if now >= end {
                return Ok(None);
            }
            tokio::time::sleep_until(end.min(now + POLL_INTERVAL)).await;
        }
    }

    /// Reads a file, unless its modification time and length are those in `last`.
    async fn read_if_changed(
        &self,
        key: &str,
        last: Option<FileStamp>,
    ) -> Result<FileRead, PlatformError> {
        let path = self.root.join(key);
        let result = tokio::task::spawn_blocking(move || read_file_if_changed(&path, last)).await;
        match result {
            Ok(Ok(file)) => Ok(file),
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::NotFound => {
                Ok(FileRead::default())
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::FileTooLarge => {
                Err(PlatformError::TooLarge)
            }
            Ok(Err(error)) => Err(PlatformError::Unreachable(error.to_string())),
            Err(error) => Err(PlatformError::Unreachable(error.to_string())),
        }
    }
}

type FileStamp = (SystemTime, u64);

#[derive(Default)]
struct FileRead {
    value: Option<Bytes>,
    stamp: Option<FileStamp>,
}

fn read_file_if_changed(
    path: &std::path::Path,
    last: Option<FileStamp>,
) -> std::io::Result<FileRead> {
    let metadata = std::fs::metadata(path)?;
    if metadata.len() > VALUE_LIMIT as u64 {
        return Err(std::io::ErrorKind::FileTooLarge.into());
    }
    let changed = metadata.modified()?;
    let stamp = Some((changed, metadata.len()));
    let settled = changed
        .elapsed()
        .is_ok_and(|age| age > TIMESTAMP_RESOLUTION);
    let value = if settled && stamp == last {
        None
    } else {
        Some(std::fs::read(path)?.into())
    };
    Ok(FileRead { value, stamp })
}

/// Reads platform values over HTTP.
#[derive(Clone)]
pub struct HttpPlatform {
    base: String,
    client: Client<HttpConnector, Empty<Bytes>>,
    tags: Arc<Mutex<IndexMap<String, (PartDigest, String)>>>,
}

impl HttpPlatform {
    fn new(address: &str) -> Result<HttpPlatform, PlatformError> {
        let base = address.trim_end_matches('/');
        let number = base
            .strip_prefix("http://")
            .map(str::parse::<std::net::SocketAddr>);
        if !matches!(number, Some(Ok(_))) {
            return Err(PlatformError::Address(address.to_owned()));
        }
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(READ_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(60))
            .pool_max_idle_per_host(2)
            .build(connector);
        Ok(HttpPlatform {
            base: base.to_owned(),
            client,
            tags: Arc::default(),
        })
    }

    async fn read(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let uri = format!("{}/v1/values/{key}", self.base);
        let exchange = async {
            let response = self.get(&uri).await?;
            match response.status() {
                StatusCode::OK => read_value(response).await.map(Some),
                StatusCode::NOT_FOUND => Ok(None),
                status => Err(PlatformError::Status(status.as_u16())),
            }
        };
        with_timeout(READ_TIMEOUT, exchange).await
    }

    async fn watch(
        &self,
        key: &str,
        known: Option<PartDigest>,
        wait: Duration,
    ) -> Result<Option<Bytes>, PlatformError> {
        let end = Instant::now() + wait;
        let tag = known.map_or(String::new(), |known| self.known_tag(key, known));
        let wait_s = wait.as_secs_f64().ceil();
        let uri = format!("{}/v1/watch/{key}?known={tag}&wait_s={wait_s}", self.base);
        let exchange = async {
            let response = self.get(&uri).await?;
            match response.status() {
                StatusCode::OK => {
                    let tag = response
                        .headers()
                        .get(header::ETAG)
                        .and_then(|tag| tag.to_str().ok());
                    let tag = tag.map(|tag| tag.trim_matches('"').to_owned());
                    let value = read_value(response).await?;
                    if let Some(tag) = tag {
                        self.store_tag(key, PartDigest::of(&value), tag);
                    }
                    Ok(Some(value))
                }
                StatusCode::NOT_MODIFIED => Ok(None),
                // A platform that answers at once for a missing key must not be
                // queried in a tight loop.
                StatusCode::NOT_FOUND => {
                    tokio::time::sleep_until(end).await;
                    Ok(None)
                }
                status => Err(PlatformError::Status(status.as_u16())),
            }
        };
        let value = with_timeout(wait + READ_TIMEOUT, exchange).await?;
        Ok(value.filter(|value| known != Some(PartDigest::of(value))))
    }

    async fn get(&self, uri: &str) -> Result<Response<Incoming>, PlatformError> {
        let request = Request::get(uri)
            .body(Empty::new())
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        let sent = self.client.request(request).await;
        sent.map_err(|error| PlatformError::Unreachable(error.to_string()))
    }

    /// Returns the platform's entity tag of the known value. When none is cached,
    /// the digest is used, which is the tag on platforms of this project.
    fn known_tag(&self, key: &str, known: PartDigest) -> String {
        let tags = self.tags.lock().unwrap_or_else(PoisonError::into_inner);
        match tags.get(key) {
            Some((digest, tag)) if *digest == known => {
                utf8_percent_encode(tag, NON_ALPHANUMERIC).to_string()
            }
            _ => known.to_string(),
        }
    }

    fn store_tag(&self, key: &str, digest: PartDigest, tag: String) {
        let mut tags = self.tags.lock().unwrap_or_else(PoisonError::into_inner);
        tags.insert(key.to_owned(), (digest, tag));
        if tags.len() > MAX_TAGS {
            tags.shift_remove_index(0);
        }
    }
}

async fn read_value(response: Response<Incoming>) -> Result<Bytes, PlatformError> {
    match Limited::new(response.into_body(), VALUE_LIMIT)
        .collect()
        .await
    {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(PlatformError::TooLarge),
        Err(error) => Err(PlatformError::Unreachable(error.to_string())),
    }
}

async fn with_timeout<T, F>(time: Duration, exchange: F) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let ended = tokio::time::timeout(time, exchange).await;
    ended.unwrap_or_else(|_| {
        Err(PlatformError::Unreachable(format!(
            "no answer within {time:?}"
        )))
    })
}
