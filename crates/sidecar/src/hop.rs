//! The header fields between an entry daemon and an owner.
//!
//! Each field contains a message of `hop.proto` in base64. It is added to the
//! header fields of the caller or target, and removed before a target or a
//! caller receives them.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use prost::Message;
use radishgauge_mesh::Fingerprint;
use radishgauge_mesh::LoadReport;
use radishgauge_mesh::RequestPrints;
use radishgauge_mesh::StatePosition;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReport;

use crate::target_call::BufferedRequest;

/// The field of a request that contains a [`HopHead`].
const HEAD: HeaderName = HeaderName::from_static("x-mesh-head");

/// The field of an answer that contains a [`HopReport`].
const REPORT: HeaderName = HeaderName::from_static("x-mesh-report");

/// The greatest service time or wait that is taken from a report. A faulty owner may
/// report any time, and multiples of it must remain valid durations.
const MAX_REPORTED_TIME: Duration = Duration::from_secs(3_600);

/// The greatest number of requests that is taken from a report, for the same reason.
const MAX_REPORTED_REQUESTS: u32 = 1_000_000;

/// The greatest time that an owner may keep callers away. With a longer one, they
/// would stay away long after capacity is free again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Adds the hop head to a request for an owner.
pub fn set_head(headers: &mut HeaderMap, head: &HopHead) {
    set(headers, HEAD, head);
}

/// Removes and decodes the hop head of a request. Returns `None` if there is no
/// valid one, as in a request that no entry daemon forwarded.
pub fn take_head(headers: &mut HeaderMap) -> Option<HopHead> {
    take(headers, HEAD)
}

/// Adds the hop report to an answer.
pub fn set_report(headers: &mut HeaderMap, report: &HopReport) {
    set(headers, REPORT, report);
}

/// Removes and decodes the hop report of an answer. Returns `None` if there is
/// no valid one.
pub fn take_report(headers: &mut HeaderMap) -> Option<HopReport> {
    take(headers, REPORT)
}

/// Removes both fields from a caller's request or a target's answer, since
/// only daemons set them.
pub fn remove_fields(headers: &mut HeaderMap) {
    headers.remove(HEAD);
    headers.remove(REPORT);
}

fn set<M>(headers: &mut HeaderMap, name: HeaderName, message: &M)
where
    M: Message,
{
    let text = STANDARD_NO_PAD.encode(message.encode_to_vec());
    // Base64 text has only characters that are valid in a header field.
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(name, value);
    }
}

fn take<M>(headers: &mut HeaderMap, name: HeaderName) -> Option<M>
where
    M: Message + Default,
{
    let value = headers.remove(name)?;
    let bytes = STANDARD_NO_PAD.decode(value.as_bytes()).ok()?;
    M::decode(bytes.as_slice()).ok()
}

/// Converts a time to the microseconds used in messages. Longer times than a
/// `u64` can represent become `u64::MAX`.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a time of a report within its bound.
fn reported_time(micros: u64) -> Duration {
    Duration::from_micros(micros).min(MAX_REPORTED_TIME)
}

/// Returns the load in a hop report, with all numbers within their bounds.
pub fn load_from_report(report: &HopReport) -> LoadReport {
    LoadReport {
        occupied: report.occupied.min(MAX_REPORTED_REQUESTS),
        limit: report.limit.min(MAX_REPORTED_REQUESTS),
        wait: reported_time(report.wait_us),
        service_time: (report.service_us > 0).then(|| reported_time(report.service_us)),
        cold: report.cold,
        efficient_limit: (report.efficient_limit > 0).then_some(report.efficient_limit),
        waiting_priority: report.waiting_priority.checked_sub(1),
    }
}

/// Returns the mean service time of the request's route, if the owner reported it.
pub fn route_service_time(report: &HopReport) -> Option<Duration> {
    (report.route_service_us > 0).then(|| reported_time(report.route_service_us))
}

/// Returns the time after which the owner may have capacity, if it reported one.
pub fn retry_after(report: &HopReport) -> Option<Duration> {
    let time = Duration::from_micros(report.retry_after_us).min(MAX_RETRY_AFTER);
    (!time.is_zero()).then_some(time)
}

/// Returns a hop report with the given load; its other fields have their
/// defaults.
pub fn report_from_load(load: &LoadReport) -> HopReport {
    HopReport {
        occupied: load.occupied,
        limit: load.limit,
        wait_us: micros(load.wait),
        service_us: load.service_time.map_or(0, micros),
        cold: load.cold,
        efficient_limit: load.efficient_limit.unwrap_or_default(),
        waiting_priority: load
            .waiting_priority
            .map_or(0, |priority| priority.saturating_add(1)),
        ..HopReport::default()
    }
}

/// Returns the priority that determines which request goes first. A call of unknown
/// origin, as from a sender of an older version, goes before all requests of callers.
pub fn urgency(head: &HopHead) -> u32 {
    match head.call {
        true => head.call_priority.saturating_sub(1),
        false => head.priority,
    }
}

/// Returns the fingerprints that the sender states of its request; `None` if it states
/// none.
pub fn sent_prints(head: &HopHead) -> Option<RequestPrints> {
    (head.content_fingerprint != 0).then_some(RequestPrints {
        content: Fingerprint(head.content_fingerprint),
        exact: Fingerprint(head.exact_fingerprint),
    })
}

/// Returns the fingerprints of a request, which a sender of an older version does not
/// state.
pub fn prints(head: &HopHead, request: &BufferedRequest) -> RequestPrints {
    sent_prints(head).unwrap_or_else(|| request.prints(&head.caller_service, ""))
}

/// Returns the position of the state that a sender knows.
pub fn head_position(head: &HopHead) -> StatePosition {
    StatePosition {
        era: head.era,
        revision: head.revision,
    }
}

/// Returns the position of the state that an owner knows.
pub fn report_position(report: &HopReport) -> StatePosition {
    StatePosition {
        era: report.era,
        revision: report.revision,
    }
}
