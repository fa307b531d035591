//! Measures the time and memory that the ledger of idempotency keys needs at the
//! size that the design assumes.
//!
//! 1.9 M calls a second over 6,000 daemons are 317 calls a second at each daemon.
//! The design assumes that 1 in 10 of them, 32 a second, must not run twice. Each
//! record is retained for 660 s (repeat window and delivery margin), so a ledger
//! has 20,900 records. Responses have 2 KB.
//!
//! `cargo run --release -p radishgauge-traffic --example once_cost`

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::key::KeyIssuer;
use radishgauge_traffic::once::OnceDecision;
use radishgauge_traffic::once::OnceLedger;
use radishgauge_traffic::once::OnceLimits;
use radishgauge_traffic::once::OnceOutcome;
use radishgauge_traffic::once::OnceRequest;
use radishgauge_traffic::once::StoredResponse;
use radishgauge_traffic::once_owner::OwnerSet;
use radishgauge_traffic::once_owner::OwnerTarget;
use radishgauge_traffic::once_ownership::FormerOwners;
use radishgauge_traffic::once_ownership::OwnerChange;
use radishgauge_traffic::once_transfer::TransferPiece;
use radishgauge_traffic::once_transfer::TransferRequest;
use smol_str::SmolStr;

/// Requests a second at one daemon that must not run twice.
const KEYS_PER_SECOND: u64 = 1_900_000 / 6000 / 10 + 1;
const RETENTION_SECONDS: u64 = 660;
/// Measurements of each case, of which the fastest counts.
const ROUNDS: usize = 7;

/// Returns the resident memory of the process, as the kernel reports it, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * 4096
}

fn ledger_with_full_history(service: &SmolStr) -> OnceLedger {
    let limits = OnceLimits {
        records: 1_000_000,
        bytes: 4 << 30,
        ..OnceLimits::default()
    };
    let mut ledger = OnceLedger::new(KeyIssuer::new("addis-bole-1", 1, [1; 32]), "addis", limits);
    let target = OwnerTarget {
        host: "addis-bole-1".into(),
        region: "addis".into(),
    };
    let change = OwnerChange {
        service: service.clone(),
        revision: 1,
        current: OwnerSet::new(0, [target]),
        former: Vec::new(),
    };
    ledger.ownership_changed(change, Duration::ZERO);
    for second in 1..=RETENTION_SECONDS {
        ledger.expire(Duration::from_secs(second));
    }
    ledger
}

/// Adds 32 former sets of 20 targets to a ledger, all of which have transferred
/// their records.
fn add_former_sets(ledger: &mut OnceLedger, service: &SmolStr) {
    let now = Duration::from_secs(RETENTION_SECONDS);
    let target = |number: u64| OwnerTarget {
        host: SmolStr::new(format!("addis-kality-{number}")),
        region: "addis".into(),
    };
    let former = (0..32).map(|set| FormerOwners {
        set: OwnerSet::new(0, (set..set + 20).map(target)),
        left_at: 2,
        merged: false,
    });
    let change = OwnerChange {
        service: service.clone(),
        revision: 2,
        current: OwnerSet::new(
            0,
            [OwnerTarget {
                host: "addis-bole-1".into(),
                region: "addis".into(),
            }],
        ),
        former: former.collect(),
    };
    ledger.ownership_changed(change, now);
    for from in ledger.missing_transfers(service, now) {
        ledger.import(
            TransferPiece {
                service: service.clone(),
                from,
                incarnation: 1,
                revision: 2,
                after: None,
                next: None,
                withheld: false,
                unknown_for: Duration::ZERO,
                records: Vec::new(),
            },
            now,
        );
    }
}

fn response(body: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: vec![("content-type".into(), Box::from(*b"application/json"))],
        body: vec![1; body].into(),
    }
}

/// Fills a ledger with one record for each key, and prints the costs.
fn measure(
    name: &str,
    body: usize,
    former: bool,
    key: impl Fn(&mut OnceLedger, u64) -> IdempotencyKey,
) {
    let service = SmolStr::new("order-desk");
    let tenant = SmolStr::new("tenant-1");
    let records = KEYS_PER_SECOND * RETENTION_SECONDS;
    let mut best = (f64::MAX, f64::MAX, f64::MAX, f64::MAX);
    let mut memory = (0, 0);
    for _ in 0..ROUNDS {
        let mut ledger = ledger_with_full_history(&service);
        if former {
            add_former_sets(&mut ledger, &service);
        }
        let keys: Vec<IdempotencyKey> = (0..records)
            .map(|number| key(&mut ledger, number))
            .collect();
        let request = |key| OnceRequest {
            key,
            service: &service,
            tenant: &tenant,
            regions: &[],
            fingerprint: 7,
        };
        let now = Duration::from_secs(RETENTION_SECONDS);
        let before = resident();
        let (mut begins, mut finishes) = (Duration::ZERO, Duration::ZERO);
        for key in &keys {
            let outcome = OnceOutcome::Ran(response(body));
            let start = Instant::now();
            let OnceDecision::Run(ticket) = ledger.begin(&request(key), now) else {
                panic!("a new key runs");
            };
            let middle = Instant::now();
            assert!(ledger.begin_dispatch(ticket, now));
            ledger.finish(ticket, outcome, now);
            finishes += middle.elapsed();
            begins += middle - start;
        }
        let growth = resident().saturating_sub(before);
        memory = (memory.0.max(growth), ledger.bytes());
        let start = Instant::now();
        for key in &keys {
            black_box(ledger.begin(&request(key), now));
        }
        let replays = start.elapsed();
        let transfer_request = TransferRequest {
            service: service.clone(),
            to: "addis-bole-1".into(),
            revision: 1,
            after: None,
        };
        let start = Instant::now();
        black_box(ledger.export(&transfer_request, 1, 1 << 20, now));
        let export = start.elapsed();
        let each = |time: Duration| time.as_nanos() as f64 / records as f64;
        best.0 = best.0.min(each(begins));
        best.1 = best.1.min(each(finishes));
        best.2 = best.2.min(each(replays));
        best.3 = best.3.min(export.as_secs_f64() * 1000.0);
    }
    println!(
        "{name:<24} {records} records, best of {ROUNDS}: begin {:.0} ns, begin_dispatch and finish {:.0} ns, \
         replay {:.0} ns, export of 1 MB {:.2} ms; counted {} B a record, resident {} B a record, {:.1} MB in all",
        best.0,
        best.1,
        best.2,
        best.3,
        memory.1 as u64 / records,
        memory.0 as u64 / records,
        memory.1 as f64 / 1e6,
    );
}

fn main() {
    let opaque = |_: &mut OnceLedger, number: u64| format!("order-{number:012}").parse().unwrap();
    let issued = |ledger: &mut OnceLedger, _| IdempotencyKey::Issued(ledger.issue());
    measure("opaque, no body", 0, false, opaque);
    measure("issued, no body", 0, false, issued);
    measure("opaque, 2 KB body", 2048, false, opaque);
    measure("opaque, 32 former sets", 0, true, opaque);
}
