//! Transfer of the records of idempotency keys between owners.
//!
//! When the targets of a service change, a new owner requests the records of the
//! former owners. It refuses their keys until all records have arrived.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use radishgauge_schema::peer::Header;
use radishgauge_schema::peer::OnceAnswer as AnswerMessage;
use radishgauge_schema::peer::OnceRecord as RecordMessage;
use radishgauge_schema::peer::OwnerTransferReply;
use radishgauge_schema::peer::OwnerTransferRequest;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;
use radishgauge_traffic::once::StoredResponse;
use radishgauge_traffic::once_transfer::OnceRecord;
use radishgauge_traffic::once_transfer::TransferPiece;
use radishgauge_traffic::once_transfer::TransferRequest;
use radishgauge_traffic::once_transfer::TransferStep;
use smol_str::SmolStr;

use crate::node::DaemonNode;

/// The approximate size in bytes of the records in one piece, well below the
/// limit of a control message.
const PIECE_BYTES: usize = 256 * 1024;

/// The timeout of a request to a former owner.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of records removed at once, so that the ledger is never
/// locked for long.
const EXPIRED_AT_ONCE: usize = 1000;

/// The interval at which missing records are requested and expired ones removed.
/// The ledger treats a gap of more than 2 s as a pause of the process.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// Answers the request of a new owner for one piece of records.
pub fn export(node: &DaemonNode, request: OwnerTransferRequest) -> OwnerTransferReply {
    let applied = node
        .state
        .current()
        .map_or(0, |current| current.fleet_state.revision);
    let request = TransferRequest {
        service: request.service.into(),
        to: request.to.into(),
        revision: request.revision,
        after: request.after,
    };
    let now = node.clock.now();
    let piece = node
        .state
        .with_ledger(|ledger| ledger.export(&request, applied, PIECE_BYTES, now));
    match piece {
        Some(piece) => reply_of(piece),
        None => OwnerTransferReply::default(),
    }
}

/// Requests missing records from former owners and removes expired ones, until
/// the daemon has stopped.
pub async fn run(node: Arc<DaemonNode>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        if node.is_stopped() {
            return;
        }
        let now = node.clock.now();
        node.state
            .with_ledger(|ledger| ledger.expire_some(now, EXPIRED_AT_ONCE));
        let Some(current) = node.state.current() else {
            continue;
        };
        let services: Vec<SmolStr> = current
            .snapshot
            .local_admissions()
            .map(|(name, _)| name.clone())
            .collect();
        for service in services {
            let now = node.clock.now();
            let missing = node
                .state
                .with_ledger(|ledger| ledger.missing_transfers(&service, now));
            for host in missing {
                request_records(&node, &service, &host, current.fleet_state.revision).await;
            }
        }
    }
}

async fn request_records(node: &DaemonNode, service: &SmolStr, host: &SmolStr, revision: u64) {
    let Some(address) = node.peer_address(host) else {
        return;
    };
    let mut after = None;
    // A transfer that fails is continued at the next interval.
    let Ok(session) = node.pool.get(address).await else {
        return;
    };
    loop {
        let request = OwnerTransferRequest {
            service: service.to_string(),
            to: node.local.host.to_string(),
            revision,
            after,
        };
        let request = PeerRequest {
            request: Some(Request::Transfer(request)),
        };
        let Ok(PeerReply {
            reply: Some(Reply::Transfer(reply)),
        }) = session.peer_session().request(request, TIMEOUT).await
        else {
            return;
        };
        if !reply.ready {
            return;
        }
        let now = node.clock.now();
        let piece = piece_of(service, reply);
        match node.state.with_ledger(|ledger| ledger.import(piece, now)) {
            TransferStep::RequestPiece(position) => after = position,
            _ => return,
        }
    }
}

fn reply_of(piece: TransferPiece) -> OwnerTransferReply {
    OwnerTransferReply {
        ready: true,
        incarnation: piece.incarnation,
        revision: piece.revision,
        after: piece.after,
        next: piece.next,
        withheld: piece.withheld,
        unknown_for_ms: piece.unknown_for.as_millis() as u64,
        records: piece.records.into_iter().map(record_message).collect(),
        from: piece.from.to_string(),
    }
}

fn piece_of(service: &SmolStr, reply: OwnerTransferReply) -> TransferPiece {
    TransferPiece {
        service: service.clone(),
        from: reply.from.into(),
        incarnation: reply.incarnation,
        revision: reply.revision,
        after: reply.after,
        next: reply.next,
        withheld: reply.withheld,
        unknown_for: Duration::from_millis(reply.unknown_for_ms),
        records: reply.records.into_iter().map(record_of).collect(),
    }
}

fn record_message(record: OnceRecord) -> RecordMessage {
    RecordMessage {
        tenant: record.tenant.to_string(),
        key: record.key.to_string(),
        fingerprint: record.fingerprint,
        home_regions: record.regions.iter().map(SmolStr::to_string).collect(),
        verdict: radishgauge_schema::peer::Verdict::from(record.verdict).into(),
        age_ms: record.age.as_millis() as u64,
        answer: record.response.as_deref().map(answer_message),
    }
}

fn record_of(message: RecordMessage) -> OnceRecord {
    OnceRecord {
        verdict: message.verdict().into(),
        tenant: message.tenant.into(),
        key: message.key.into(),
        fingerprint: message.fingerprint,
        regions: message
            .home_regions
            .into_iter()
            .map(SmolStr::from)
            .collect(),
        response: message.answer.map(|answer| Arc::new(answer_of(answer))),
        age: Duration::from_millis(message.age_ms),
    }
}

fn answer_message(answer: &StoredResponse) -> AnswerMessage {
    let headers = answer.headers.iter().map(|(name, value)| Header {
        name: name.to_string(),
        value: Bytes::copy_from_slice(value),
    });
    AnswerMessage {
        status: answer.status.into(),
        headers: headers.collect(),
        body: Bytes::copy_from_slice(&answer.body),
    }
}

fn answer_of(message: AnswerMessage) -> StoredResponse {
    let headers = message
        .headers
        .into_iter()
        .map(|header| (SmolStr::from(header.name), Box::from(&header.value[..])));
    StoredResponse {
        status: u16::try_from(message.status).unwrap_or(502),
        headers: headers.collect(),
        body: Box::from(&message.body[..]),
    }
}
