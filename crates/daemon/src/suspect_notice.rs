//! Notices to the daemons of a service about the requests that were in flight
//! when a target crashed.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use radishgauge_mesh::SuspectRecord;
use radishgauge_mesh::suspect::SuspectRun;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::StrikeNotice;
use radishgauge_schema::peer::peer_request::Request;
use radishgauge_traffic::CallContext;
use smol_str::SmolStr;

use crate::events;
use crate::node::DaemonNode;
use crate::publish::PublishedVersion;

/// How long the answer to a crashed call waits for the delivery of the notices. A
/// caller that is answered earlier could send the request again to a daemon that
/// does not know of the crash yet.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(200);

/// Records a crash and notifies the other daemons of the service, but for those
/// outside the home regions of the call.
pub async fn announce_crash(
    node: &Arc<DaemonNode>,
    version: &Arc<PublishedVersion>,
    service: &SmolStr,
    in_flight: &[SuspectRun],
    context: &CallContext,
) {
    events::TARGET_CRASHED.emit(format_args!("service={service} calls={}", in_flight.len()));
    let crash = node.next_number();
    let records = node.suspects.record_end(crash, in_flight, node.clock.now());
    let now = node.clock.now();
    let is_quarantined = |record: &&SuspectRecord| {
        let state = node.suspects.check(record.fingerprint, now);
        state.quarantined_until().is_some()
    };
    for record in records.iter().filter(is_quarantined) {
        events::REQUEST_QUARANTINED.emit(format_args!(
            "service={service} fingerprint={:016x}",
            record.fingerprint.0
        ));
    }
    let model = &version.fleet_state.model;
    let Some(entry) = model.services.get(service) else {
        return;
    };
    let in_home_regions = |domain: &SmolStr| {
        let region = model.domains.get(domain).map(|domain| &domain.region);
        context.home.is_empty() || region.is_some_and(|region| context.home.contains(region))
    };
    let others = entry.targets.iter().filter(|(host, target)| {
        **host != node.local.host && in_home_regions(&target.failure_domain)
    });
    let notices = others.map(|(_, target)| {
        let node = Arc::clone(node);
        let records = records.clone();
        let address = target.daemon;
        async move {
            let Ok(session) = node.pool.get(address).await else {
                return;
            };
            for record in records {
                let request = PeerRequest {
                    request: Some(Request::Strike(notice(service, &record))),
                };
                // A daemon that misses the notice learns of the request only
                // when the request crashes its own target.
                let _ = session
                    .peer_session()
                    .request(request, NOTICE_TIMEOUT)
                    .await;
            }
        }
    });
    let _ = tokio::time::timeout(NOTICE_TIMEOUT, join_all(notices)).await;
}

/// Records a notice of another daemon; one without a record is ignored.
pub fn record_notice(node: &DaemonNode, notice: &StrikeNotice) {
    let Some(record) = &notice.record else {
        return;
    };
    let record = SuspectRecord::from_message(record);
    // A daemon that knows of a good run has no need to say so: the sender finds out
    // at its own next run.
    let _ = node.suspects.merge(&record, node.clock.now());
}

fn notice(service: &SmolStr, record: &SuspectRecord) -> StrikeNotice {
    StrikeNotice {
        service: service.to_string(),
        record: Some(record.to_message()),
    }
}
