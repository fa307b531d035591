//! Requests to the operator listeners of daemons.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::anyhow;
use anyhow::bail;
use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::CommandError;

/// The default time limit of a request in milliseconds. Daemons generate
/// operator pages from memory, so a slower daemon is overloaded or faulty.
const DEFAULT_TIMEOUT_MS: u64 = 2000;

/// The longest accepted time limit in milliseconds.
const MAX_TIMEOUT_MS: u64 = 60_000;

/// The largest accepted response body in bytes. A page has about 100 bytes per
/// local service or target; the limit bounds the memory used when an address
/// belongs to another server.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Returns the time limit from `--timeout-ms`, or the default.
pub(crate) fn time_limit(option: Option<u64>) -> Result<Duration, CommandError> {
    let limit = option.unwrap_or(DEFAULT_TIMEOUT_MS);
    if !(1..=MAX_TIMEOUT_MS).contains(&limit) {
        let text = format!("--timeout-ms must be from 1 to {MAX_TIMEOUT_MS}");
        return Err(CommandError::usage(&text));
    }
    Ok(Duration::from_millis(limit))
}

/// Runs a future to completion on a runtime of one thread.
pub(crate) fn block_on<F>(requests: F) -> io::Result<F::Output>
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(requests))
}

/// Requests an operator page from a daemon and returns its JSON.
///
/// # Errors
///
/// When the daemon cannot be reached or does not answer within the limit, when
/// the status of the response is not 200, and when its body is not JSON or too
/// long.
pub(crate) async fn fetch_page(daemon: SocketAddr, path: &str, limit: Duration) -> Result<Value> {
    timeout(limit, request_page(daemon, path))
        .await
        .unwrap_or_else(|_| {
            Err(anyhow!(
                "not reachable: no answer within {} ms",
                limit.as_millis()
            ))
        })
}

async fn request_page(daemon: SocketAddr, path: &str) -> Result<Value> {
    let stream = TcpStream::connect(daemon).await.context("not reachable")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // A connection error also fails the request, which reports it.
    let connection = tokio::spawn(connection);
    let request = Request::get(path)
        .header(HOST, daemon.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await.context("no answer")?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body
        .collect()
        .await
        .map_err(|error| anyhow!("the answer is incomplete: {error}"))?;
    connection.abort();
    let page: Result<Value, _> = serde_json::from_slice(&body.to_bytes());
    if status != StatusCode::OK {
        let error = page
            .ok()
            .and_then(|page| Some(page["error"].as_str()?.to_owned()));
        bail!("answered {status}: {}", error.unwrap_or_default());
    }
    page.context("the answer is not JSON")
}
