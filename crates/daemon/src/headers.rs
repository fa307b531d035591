//! Which headers pass a hop, and those that radishgauge adds.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use radishgauge_schema::peer::Header;
use radishgauge_traffic::context::CONTEXT_HEADER;

/// The trace context of W3C.
pub const TRACEPARENT: &str = "traceparent";
/// The tenant of a request that brings no context.
pub const TENANT: &str = "x-radishgauge-tenant";
/// The caller's name for a request across its re-sends.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Whether the request may have run.
pub const VERDICT: &str = "x-radishgauge-verdict";
/// Why a request was refused.
pub const REASON: &str = "x-radishgauge-reason";
/// How many calls were made for a call, itself included.
pub const CALLS: &str = "x-radishgauge-calls";
/// Set on the repeated answer to an idempotency key.
pub const REPLAYED: &str = "x-radishgauge-replayed";

/// Headers that belong to one connection (RFC 9110, section 7.6.1), and those
/// that each hop writes itself.
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

/// Returns the headers that go on to the next hop.
pub fn pass_on(headers: &HeaderMap) -> Vec<Header> {
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

/// Adds headers of a message to a map; malformed ones are left out.
pub fn add_all(map: &mut HeaderMap, headers: &[Header]) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
}

/// Returns a header's text; empty when it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
