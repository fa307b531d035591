//! Ledgers, requests and responses that the tests share.

use std::time::Duration;

use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::key::KeyIssuer;
use radishgauge_traffic::once::OnceDecision;
use radishgauge_traffic::once::OnceLedger;
use radishgauge_traffic::once::OnceLimits;
use radishgauge_traffic::once::OnceReason;
use radishgauge_traffic::once::OnceRequest;
use radishgauge_traffic::once::OnceTicket;
use radishgauge_traffic::once::StoredResponse;
use radishgauge_traffic::once_owner::OwnerSet;
use radishgauge_traffic::once_owner::OwnerTarget;
use radishgauge_traffic::once_ownership::FormerOwners;
use radishgauge_traffic::once_ownership::OwnerChange;
use radishgauge_traffic::once_transfer::TransferRequest;
use smol_str::SmolStr;

pub(crate) static SERVICE: SmolStr = SmolStr::new_static("desk");
pub(crate) static TENANT: SmolStr = SmolStr::new_static("t");

/// The retention time under the default limits. After this time, a new ledger runs
/// opaque keys.
pub(crate) const RETENTION: Duration = Duration::from_secs(660);

pub(crate) fn owner_set(hosts: &[&str]) -> OwnerSet {
    let target = |host: &&str| OwnerTarget {
        host: SmolStr::new(host),
        region: SmolStr::new("x"),
    };
    OwnerSet::new(0, hosts.iter().map(target))
}

pub(crate) fn ledger_with(host: &str, limits: OnceLimits) -> OnceLedger {
    OnceLedger::new(KeyIssuer::new(host, 1, [3; 32]), "x", limits)
}

pub(crate) fn change_owners(
    ledger: &mut OnceLedger,
    revision: u64,
    hosts: &[&str],
    former: &[(u64, &[&str])],
) {
    let former = former.iter().map(|&(left_at, hosts)| FormerOwners {
        set: owner_set(hosts),
        left_at,
        merged: false,
    });
    let change = OwnerChange {
        service: SERVICE.clone(),
        revision,
        current: owner_set(hosts),
        former: former.collect(),
    };
    ledger.ownership_changed(change, Duration::ZERO);
}

pub(crate) fn ledger(
    host: &str,
    revision: u64,
    hosts: &[&str],
    former: &[(u64, &[&str])],
) -> OnceLedger {
    let mut ledger = ledger_with(host, OnceLimits::default());
    change_owners(&mut ledger, revision, hosts, former);
    advance_until(&mut ledger, RETENTION);
    ledger
}

/// Advances a ledger's clock in ticks of 1 s from the start, as a daemon does.
pub(crate) fn advance_until(ledger: &mut OnceLedger, until: Duration) {
    let mut now = Duration::ZERO;
    while now < until {
        now += Duration::from_secs(1);
        ledger.expire(now.min(until));
    }
}

pub(crate) fn opaque(text: &str) -> IdempotencyKey {
    text.parse().unwrap()
}

pub(crate) fn request(key: &IdempotencyKey) -> OnceRequest<'_> {
    OnceRequest {
        key,
        service: &SERVICE,
        tenant: &TENANT,
        regions: &[],
        fingerprint: 1,
    }
}

pub(crate) fn begin_run(
    ledger: &mut OnceLedger,
    key: &IdempotencyKey,
    now: Duration,
) -> OnceTicket {
    match ledger.begin(&request(key), now) {
        OnceDecision::Run(ticket) => ticket,
        other => panic!("{key}: {other:?}"),
    }
}

pub(crate) fn refuse(verdict: CallVerdict, reason: OnceReason) -> OnceDecision {
    OnceDecision::Refuse { verdict, reason }
}

pub(crate) fn response(bytes: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![("x-order".into(), Box::from(*b"17"))],
        body: vec![7; bytes].into(),
    }
}

pub(crate) fn transfer_request(to: &str, revision: u64) -> TransferRequest {
    TransferRequest {
        service: SERVICE.clone(),
        to: SmolStr::new(to),
        revision,
        after: None,
    }
}
