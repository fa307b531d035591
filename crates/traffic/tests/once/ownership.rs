//! Changes of owners and the transfer of records.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::once::OnceDecision;
use radishgauge_traffic::once::OnceLimits;
use radishgauge_traffic::once::OnceOutcome;
use radishgauge_traffic::once::OnceReason;
use radishgauge_traffic::once::OnceRequest;
use radishgauge_traffic::once_cover::FormerOwners;
use radishgauge_traffic::once_cover::OwnerChange;
use radishgauge_traffic::once_owner::OwnerSet;
use radishgauge_traffic::once_owner::OwnerTarget;
use radishgauge_traffic::once_transfer::OnceTransfer;
use radishgauge_traffic::once_transfer::TransferStep;
use smol_str::SmolStr;

use crate::support::COVERED;
use crate::support::SERVICE;
use crate::support::answer;
use crate::support::ask;
use crate::support::change;
use crate::support::ledger;
use crate::support::ledger_with;
use crate::support::live;
use crate::support::opaque;
use crate::support::refuse;
use crate::support::request;
use crate::support::run;
use crate::support::set;

/// Returns a key whose owner changes from `a` to `b` when `b` is added.
fn moving() -> IdempotencyKey {
    let keys = (0..).map(|number| opaque(&format!("m{number}")));
    let mut probe = ledger("b", 1, &["a", "b"], &[]);
    let mut moves =
        keys.filter(|key| matches!(probe.begin(&request(key), COVERED), OnceDecision::Run(_)));
    moves.next().unwrap()
}

/// Guards against a new owner that runs a key while the former owner may still run
/// it.
#[test]
fn a_new_owner_waits_for_the_transfer() {
    let key = moving();
    let mut a = ledger("a", 1, &["a"], &[]);
    let ticket = run(&mut a, &key, COVERED);
    assert!(a.started(ticket, COVERED));
    a.finish(ticket, OnceOutcome::Ran(answer(9)), COVERED);
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    let now = COVERED;
    let waits = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    assert_eq!(b.begin(&request(&key), now), waits);
    assert_eq!(b.wanted(&SERVICE, now), ["a"]);
    assert_eq!(
        a.export(&ask("b", 2), 1, 1 << 20, COVERED),
        None,
        "revision not applied yet"
    );

    change(&mut a, 2, &["a", "b"], &[]);
    let piece = a.export(&ask("b", 2), 2, 1 << 20, COVERED).unwrap();
    assert_eq!(b.import(piece.clone(), now), TransferStep::Done);
    assert_eq!(b.import(piece, now), TransferStep::Done, "duplicate reply");
    assert_eq!(
        b.begin(&request(&key), now),
        OnceDecision::Replay(Arc::new(answer(9)))
    );
    assert_eq!(b.len(), 1);
    assert!(b.wanted(&SERVICE, now).is_empty());
}

/// Guards against a former owner that runs a key after a change of owners.
#[test]
fn a_former_owner_refuses_keys_after_a_change_of_owners() {
    let key = moving();
    let mut a = ledger("a", 1, &["a"], &[]);
    change(&mut a, 2, &["a", "b"], &[]);
    let other = refuse(
        CallVerdict::MayHaveRun,
        OnceReason::NotOwner(Some("b".into())),
    );
    assert_eq!(a.begin(&request(&key), COVERED), other);
}

/// Guards against a transfer from a restarted former owner that counts as complete
/// although its earlier records are lost.
#[test]
fn a_transfer_from_a_restarted_owner_counts_after_the_retention_time() {
    let key = moving();
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    let mut restarted = ledger_with("a", OnceLimits::default());
    change(&mut restarted, 2, &["a", "b"], &[]);
    let uptime = Duration::from_secs(60);
    live(&mut restarted, uptime);
    let piece = restarted.export(&ask("b", 2), 2, 1 << 20, uptime).unwrap();
    let now = COVERED;
    b.import(piece, now);
    let waits = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    let whole = now + COVERED - uptime;
    let short = whole - Duration::from_millis(1);
    live(&mut b, short);
    assert_eq!(b.begin(&request(&key), short), waits);
    run(&mut b, &key, whole);
}

/// Guards against a former owner that counts as gone too early because an earlier
/// absence from the host list is included in the wait.
#[test]
fn a_former_owner_is_gone_only_after_the_retention_time() {
    let key = moving();
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    b.host_gone("a", COVERED);
    b.host_listed("a");
    live(&mut b, COVERED * 2);
    b.host_gone("a", COVERED * 2);
    let waits = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    let short = COVERED * 3 - Duration::from_millis(1);
    live(&mut b, short);
    assert_eq!(b.begin(&request(&key), short), waits);
    run(&mut b, &key, COVERED * 3);
}

/// Guards against a completed transfer that still counts after the former owner
/// became the owner again and may have run more keys.
#[test]
fn a_completed_transfer_does_not_count_for_a_later_set() {
    let key = moving();
    let mut a = ledger("a", 1, &["a"], &[]);
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    change(&mut a, 2, &["a", "b"], &[]);
    let piece = a.export(&ask("b", 2), 2, 1 << 20, COVERED).unwrap();
    b.import(piece, COVERED);
    let ticket = run(&mut b, &key, COVERED);
    assert_eq!(
        b.finish(ticket, OnceOutcome::NotRun, COVERED),
        CallVerdict::NotRun
    );
    // Revision 3 made `a` the owner again; `b` did not apply it.
    change(&mut b, 4, &["a", "b"], &[(4, &["a"])]);
    let waits = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    assert_eq!(b.begin(&request(&key), COVERED), waits);
}

/// Guards against a transfer that counts as complete although pieces were lost,
/// duplicated or reordered.
#[test]
fn a_transfer_is_complete_only_with_every_piece() {
    let mut a = ledger("a", 1, &["a"], &[]);
    for number in 0..400 {
        let key = opaque(&format!("p{number}"));
        let ticket = run(&mut a, &key, COVERED);
        assert!(a.started(ticket, COVERED));
    }
    change(&mut a, 2, &["b"], &[]);
    let mut b = ledger("b", 2, &["b"], &[(2, &["a"])]);
    let mut pieces: Vec<OnceTransfer> = Vec::new();
    let mut next = ask("b", 2);
    loop {
        let piece = a.export(&next, 2, 4096, COVERED).unwrap();
        next.after = piece.next;
        pieces.push(piece);
        if next.after.is_none() {
            break;
        }
    }
    assert!(pieces.len() > 3);
    let last = pieces.last().unwrap().clone();
    assert_eq!(b.import(last.clone(), COVERED), TransferStep::Ask(None));
    assert_eq!(
        b.import(pieces[0].clone(), COVERED),
        TransferStep::Ask(pieces[0].next)
    );
    assert_eq!(b.import(last, COVERED), TransferStep::Ask(pieces[0].next));
    assert_eq!(b.wanted(&SERVICE, COVERED), ["a"]);
    for piece in &pieces[1..] {
        b.import(piece.clone(), COVERED);
        b.import(piece.clone(), COVERED);
    }
    assert!(b.wanted(&SERVICE, COVERED).is_empty());
    assert_eq!(b.len(), 400);
}

/// Guards against a stored response that is sent outside its home regions
/// (invariant I6).
#[test]
fn records_stay_in_their_home_regions() {
    let mut a = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let regions = [SmolStr::new("x")];
    let home = OnceRequest {
        regions: &regions,
        ..request(&key)
    };
    assert!(matches!(a.begin(&home, COVERED), OnceDecision::Run(_)));
    let abroad = OwnerTarget {
        host: "b".into(),
        region: "y".into(),
    };
    let current = OwnerSet::new(1, [abroad]);
    let former = FormerOwners {
        set: set(&["a"]),
        left_at: 2,
        merged: false,
    };
    let moved = OwnerChange {
        service: SERVICE.clone(),
        revision: 2,
        current,
        former: vec![former],
    };
    a.ownership_changed(moved.clone(), COVERED);
    let piece = a.export(&ask("b", 2), 2, 1 << 20, COVERED).unwrap();
    assert!(piece.withheld && piece.records.is_empty());
    let mut b = ledger_with("b", OnceLimits::default());
    b.ownership_changed(moved, Duration::ZERO);
    live(&mut b, COVERED);
    assert_eq!(b.import(piece, COVERED), TransferStep::Withheld);
    let waits = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    assert_eq!(b.begin(&request(&key), COVERED), waits);
}

/// Guards against former owners that are forgotten when there are more than 32
/// former sets.
#[test]
fn many_former_sets_are_merged_and_still_waited_for() {
    let mut b = ledger("b", 1, &["b"], &[]);
    for revision in 2..80 {
        let host = format!("h{revision}");
        change(&mut b, revision, &["b", &host], &[]);
    }
    change(&mut b, 80, &["b"], &[]);
    let wanted = b.wanted(&SERVICE, COVERED);
    assert_eq!(wanted.len(), 78);
    let waits = b.begin(&request(&opaque("k")), COVERED);
    assert!(matches!(
        waits,
        OnceDecision::Refuse {
            reason: OnceReason::FormerOwner(_),
            ..
        }
    ));
}

/// Guards against an owner that was replaced during a pause and still runs opaque
/// keys: requests that it reads before it has compared its configuration, and a run
/// that it began before the pause.
#[test]
fn a_paused_owner_refuses_opaque_keys_until_confirmed() {
    let mut a = ledger("a", 1, &["a"], &[]);
    let begun = opaque("begun");
    let ticket = run(&mut a, &begun, COVERED);
    let woken = COVERED + Duration::from_millis(2001);
    assert!(!a.started(ticket, woken));
    let paused = refuse(CallVerdict::MayHaveRun, OnceReason::Paused);
    assert_eq!(a.begin(&request(&opaque("k")), woken), paused);
    let issued = IdempotencyKey::Issued(a.issue());
    run(&mut a, &issued, woken);
    a.confirmed();
    // A call that waited in the socket may be older than the records of other
    // owners.
    assert_eq!(a.begin(&request(&opaque("k")), woken), paused);
    let mut settled = woken;
    for _ in 0..60 {
        settled += Duration::from_secs(1);
        a.expire(settled);
    }
    run(&mut a, &opaque("k"), settled);
    assert!(!a.started(ticket, settled), "another owner may have run it");
    let verdict = a.finish(ticket, OnceOutcome::NotRun, settled);
    assert_eq!(verdict, CallVerdict::MayHaveRun);
}

/// Guards against a computed owner in a merged former set. The owner of a key in a
/// union of sets may differ from its owner in each of the sets, so every host must
/// be waited for.
#[test]
fn every_host_of_a_merged_set_is_waited_for() {
    let merged = FormerOwners {
        set: set(&["a", "c", "d"]),
        left_at: 2,
        merged: true,
    };
    let moved = OwnerChange {
        service: SERVICE.clone(),
        revision: 2,
        current: set(&["b"]),
        former: vec![merged],
    };
    let mut b = ledger_with("b", OnceLimits::default());
    live(&mut b, COVERED);
    // Each published configuration lists the former set again.
    b.ownership_changed(moved.clone(), COVERED);
    b.ownership_changed(moved, COVERED);
    let mut now = COVERED;
    for host in ["a", "c", "d"] {
        let waits = refuse(
            CallVerdict::MayHaveRun,
            OnceReason::FormerOwner(host.into()),
        );
        for key in 0..8 {
            let key = opaque(&format!("k{key}"));
            assert_eq!(b.begin(&request(&key), now), waits);
        }
        b.host_gone(host, now);
        now += COVERED;
        live(&mut b, now);
    }
    run(&mut b, &opaque("k0"), now);
}
