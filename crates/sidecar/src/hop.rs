//! The header fields between an entry daemon and an owner.
//!
//! The messages are those of `hop.proto`, in base64. They stand beside the
//! caller's own fields and are taken off before a target or a caller sees them.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use prost::Message;
use radishgauge_mesh::LoadReport;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReport;

/// Carries a [`HopHead`] with a request.
const HEAD: HeaderName = HeaderName::from_static("x-mesh-head");

/// Carries a [`HopReport`] with an answer.
const REPORT: HeaderName = HeaderName::from_static("x-mesh-report");

/// Sets the head of a request to an owner.
pub fn set_head(headers: &mut HeaderMap, head: &HopHead) {
    set(headers, HEAD, head);
}

/// Takes the head off a request; `None` for a request that is not a hop.
pub fn take_head(headers: &mut HeaderMap) -> Option<HopHead> {
    take(headers, HEAD)
}

/// Sets the report of an answer.
pub fn set_report(headers: &mut HeaderMap, report: &HopReport) {
    set(headers, REPORT, report);
}

/// Takes the report off an answer.
pub fn take_report(headers: &mut HeaderMap) -> Option<HopReport> {
    take(headers, REPORT)
}

/// Removes both fields from a caller's request, who has no use for them.
pub fn strip(headers: &mut HeaderMap) {
    headers.remove(HEAD);
    headers.remove(REPORT);
}

fn set<M>(headers: &mut HeaderMap, name: HeaderName, message: &M)
where
    M: Message,
{
    let text = STANDARD_NO_PAD.encode(message.encode_to_vec());
    // Base64 holds only characters that a field may hold.
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

/// Returns a time as messages carry it.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the load that a report tells.
pub fn load_of(report: &HopReport) -> LoadReport {
    LoadReport {
        occupied: report.occupied,
        limit: report.limit,
        wait: Duration::from_micros(report.wait_us),
        service_time: (report.service_us > 0).then(|| Duration::from_micros(report.service_us)),
        cold: report.cold,
    }
}

/// Returns a report that tells the load.
pub fn report_of(load: &LoadReport) -> HopReport {
    HopReport {
        occupied: load.occupied,
        limit: load.limit,
        wait_us: micros(load.wait),
        service_us: load.service_time.map_or(0, micros),
        cold: load.cold,
        ..HopReport::default()
    }
}
