//! The headers that a hop forwards, and those that radishgauge adds.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use radishgauge_schema::peer::Header;
use radishgauge_traffic::context::CONTEXT_HEADER;

/// The W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// The tenant of a request without a call context.
pub const TENANT: &str = "x-radishgauge-tenant";
/// The caller's key for a request, the same in all its re-sends.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The verdict of an answer: whether the request ran, did not run, or may have
/// run.
pub const VERDICT: &str = "x-radishgauge-verdict";
/// The reason of a refusal or failure.
pub const REASON: &str = "x-radishgauge-reason";
/// The number of calls made on behalf of a call, itself included.
pub const CALLS: &str = "x-radishgauge-calls";
/// Set on the stored response of an idempotency key when it is sent again.
pub const REPLAYED: &str = "x-radishgauge-replayed";

/// The headers that are not forwarded: those of one connection (RFC 9110, section
/// 7.6.1), and those that each hop sets itself.
const PER_HOP: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    TRACEPARENT,
    TENANT,
    CONTEXT_HEADER,
];

/// Returns the headers to forward to the next hop.
pub fn forwarded(headers: &HeaderMap) -> Vec<Header> {
    let named: Vec<&str> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !PER_HOP.contains(&name) && !named.iter().any(|other| other.eq_ignore_ascii_case(name))
        })
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Adds the headers of a message to a map, skipping malformed ones.
pub fn add_all(map: &mut HeaderMap, headers: &[Header]) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
}

/// Returns the value of a header; empty when it is absent or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
