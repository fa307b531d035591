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
use radishgauge_traffic::once_owner::OwnerSet;
use radishgauge_traffic::once_owner::OwnerTarget;
use radishgauge_traffic::once_ownership::FormerOwners;
use radishgauge_traffic::once_ownership::OwnerChange;
use radishgauge_traffic::once_transfer::TransferPiece;
use radishgauge_traffic::once_transfer::TransferStep;
use smol_str::SmolStr;

use crate::support::RETENTION;
use crate::support::SERVICE;
use crate::support::advance_until;
use crate::support::begin_run;
use crate::support::change_owners;
use crate::support::ledger;
use crate::support::ledger_with;
use crate::support::opaque;
use crate::support::owner_set;
use crate::support::refuse;
use crate::support::request;
use crate::support::response;
use crate::support::transfer_request;

/// Returns a key whose owner changes from `a` to `b` when `b` is added.
fn moved_key() -> IdempotencyKey {
    let keys = (0..).map(|number| opaque(&format!("m{number}")));
    let mut probe = ledger("b", 1, &["a", "b"], &[]);
    let mut moves =
        keys.filter(|key| matches!(probe.begin(&request(key), RETENTION), OnceDecision::Run(_)));
    moves.next().unwrap()
}

/// Guards against a new owner that runs a key while the former owner may still run
/// it.
#[test]
fn a_new_owner_waits_for_the_transfer() {
    let key = moved_key();
    let mut a = ledger("a", 1, &["a"], &[]);
    let ticket = begin_run(&mut a, &key, RETENTION);
    assert!(a.begin_dispatch(ticket, RETENTION));
    a.finish(ticket, OnceOutcome::Ran(response(9)), RETENTION);
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    let now = RETENTION;
    let blocked = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    assert_eq!(b.begin(&request(&key), now), blocked);
    assert_eq!(b.missing_transfers(&SERVICE, now), ["a"]);
    assert_eq!(
        a.export(&transfer_request("b", 2), 1, 1 << 20, RETENTION),
        None,
        "revision not applied yet"
    );

    change_owners(&mut a, 2, &["a", "b"], &[]);
    let piece = a
        .export(&transfer_request("b", 2), 2, 1 << 20, RETENTION)
        .unwrap();
    assert_eq!(b.import(piece.clone(), now), TransferStep::Done);
    assert_eq!(b.import(piece, now), TransferStep::Done, "duplicate reply");
    assert_eq!(
        b.begin(&request(&key), now),
        OnceDecision::Replay(Arc::new(response(9)))
    );
    assert_eq!(b.len(), 1);
    assert!(b.missing_transfers(&SERVICE, now).is_empty());
}

/// Guards against a former owner that runs a key after a change of owners.
#[test]
fn a_former_owner_refuses_keys_after_a_change_of_owners() {
    let key = moved_key();
    let mut a = ledger("a", 1, &["a"], &[]);
    change_owners(&mut a, 2, &["a", "b"], &[]);
    let other = refuse(
        CallVerdict::MayHaveRun,
        OnceReason::NotOwner(Some("b".into())),
    );
    assert_eq!(a.begin(&request(&key), RETENTION), other);
}

/// Guards against a transfer from a restarted former owner that counts as complete
/// although its earlier records are lost.
#[test]
fn a_transfer_from_a_restarted_owner_counts_after_the_retention_time() {
    let key = moved_key();
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    let mut restarted = ledger_with("a", OnceLimits::default());
    change_owners(&mut restarted, 2, &["a", "b"], &[]);
    let uptime = Duration::from_secs(60);
    advance_until(&mut restarted, uptime);
    let piece = restarted
        .export(&transfer_request("b", 2), 2, 1 << 20, uptime)
        .unwrap();
    let now = RETENTION;
    b.import(piece, now);
    let blocked = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    let complete = now + RETENTION - uptime;
    let just_before = complete - Duration::from_millis(1);
    advance_until(&mut b, just_before);
    assert_eq!(b.begin(&request(&key), just_before), blocked);
    begin_run(&mut b, &key, complete);
}

/// Guards against a former owner that counts as gone too early because an earlier
/// absence from the host list is included in the wait.
#[test]
fn a_former_owner_is_gone_only_after_the_retention_time() {
    let key = moved_key();
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    b.host_gone("a", RETENTION);
    b.host_listed("a");
    advance_until(&mut b, RETENTION * 2);
    b.host_gone("a", RETENTION * 2);
    let blocked = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    let just_before = RETENTION * 3 - Duration::from_millis(1);
    advance_until(&mut b, just_before);
    assert_eq!(b.begin(&request(&key), just_before), blocked);
    begin_run(&mut b, &key, RETENTION * 3);
}

/// Guards against a completed transfer that still counts after the former owner
/// became the owner again and may have run more keys.
#[test]
fn a_completed_transfer_does_not_count_for_a_later_set() {
    let key = moved_key();
    let mut a = ledger("a", 1, &["a"], &[]);
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    change_owners(&mut a, 2, &["a", "b"], &[]);
    let piece = a
        .export(&transfer_request("b", 2), 2, 1 << 20, RETENTION)
        .unwrap();
    b.import(piece, RETENTION);
    let ticket = begin_run(&mut b, &key, RETENTION);
    assert_eq!(
        b.finish(ticket, OnceOutcome::NotRun, RETENTION),
        CallVerdict::NotRun
    );
    // Revision 3 made `a` the owner again; `b` did not apply it.
    change_owners(&mut b, 4, &["a", "b"], &[(4, &["a"])]);
    let blocked = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    assert_eq!(b.begin(&request(&key), RETENTION), blocked);
}

/// Guards against a transfer that counts as complete although pieces were lost,
/// duplicated or reordered.
#[test]
fn a_transfer_is_complete_only_with_every_piece() {
    let mut a = ledger("a", 1, &["a"], &[]);
    for number in 0..400 {
        let key = opaque(&format!("p{number}"));
        let ticket = begin_run(&mut a, &key, RETENTION);
        assert!(a.begin_dispatch(ticket, RETENTION));
    }
    change_owners(&mut a, 2, &["b"], &[]);
    let mut b = ledger("b", 2, &["b"], &[(2, &["a"])]);
    let mut pieces: Vec<TransferPiece> = Vec::new();
    let mut next = transfer_request("b", 2);
    loop {
        let piece = a.export(&next, 2, 4096, RETENTION).unwrap();
        next.after = piece.next;
        pieces.push(piece);
        if next.after.is_none() {
            break;
        }
    }
    assert!(pieces.len() > 3);
    let last = pieces.last().unwrap().clone();
    assert_eq!(
        b.import(last.clone(), RETENTION),
        TransferStep::RequestPiece(None)
    );
    assert_eq!(
        b.import(pieces[0].clone(), RETENTION),
        TransferStep::RequestPiece(pieces[0].next)
    );
    assert_eq!(
        b.import(last, RETENTION),
        TransferStep::RequestPiece(pieces[0].next)
    );
    assert_eq!(b.missing_transfers(&SERVICE, RETENTION), ["a"]);
    for piece in &pieces[1..] {
        b.import(piece.clone(), RETENTION);
        b.import(piece.clone(), RETENTION);
    }
    assert!(b.missing_transfers(&SERVICE, RETENTION).is_empty());
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
    assert!(matches!(a.begin(&home, RETENTION), OnceDecision::Run(_)));
    let outside_home = OwnerTarget {
        host: "b".into(),
        region: "y".into(),
    };
    let current = OwnerSet::new(1, [outside_home]);
    let former = FormerOwners {
        set: owner_set(&["a"]),
        left_at: 2,
        merged: false,
    };
    let moved = OwnerChange {
        service: SERVICE.clone(),
        revision: 2,
        current,
        former: vec![former],
    };
    a.ownership_changed(moved.clone(), RETENTION);
    let piece = a
        .export(&transfer_request("b", 2), 2, 1 << 20, RETENTION)
        .unwrap();
    assert!(piece.withheld && piece.records.is_empty());
    let mut b = ledger_with("b", OnceLimits::default());
    b.ownership_changed(moved, Duration::ZERO);
    advance_until(&mut b, RETENTION);
    assert_eq!(b.import(piece, RETENTION), TransferStep::Withheld);
    let blocked = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    assert_eq!(b.begin(&request(&key), RETENTION), blocked);
}

/// Guards against former owners that are forgotten when there are more than 32
/// former sets.
#[test]
fn many_former_sets_are_merged_and_still_waited_for() {
    let mut b = ledger("b", 1, &["b"], &[]);
    for revision in 2..80 {
        let host = format!("h{revision}");
        change_owners(&mut b, revision, &["b", &host], &[]);
    }
    change_owners(&mut b, 80, &["b"], &[]);
    let missing = b.missing_transfers(&SERVICE, RETENTION);
    assert_eq!(missing.len(), 78);
    let blocked = b.begin(&request(&opaque("k")), RETENTION);
    assert!(matches!(
        blocked,
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
    let ticket = begin_run(&mut a, &begun, RETENTION);
    let resumed = RETENTION + Duration::from_millis(2001);
    assert!(!a.begin_dispatch(ticket, resumed));
    let paused = refuse(CallVerdict::MayHaveRun, OnceReason::Paused);
    assert_eq!(a.begin(&request(&opaque("k")), resumed), paused);
    let issued = IdempotencyKey::Issued(a.issue());
    begin_run(&mut a, &issued, resumed);
    a.config_confirmed();
    // A call that waited in the socket may be older than the records of other
    // owners.
    assert_eq!(a.begin(&request(&opaque("k")), resumed), paused);
    let mut margin_end = resumed;
    for _ in 0..60 {
        margin_end += Duration::from_secs(1);
        a.expire(margin_end);
    }
    begin_run(&mut a, &opaque("k"), margin_end);
    assert!(
        !a.begin_dispatch(ticket, margin_end),
        "another owner may have run it"
    );
    let verdict = a.finish(ticket, OnceOutcome::NotRun, margin_end);
    assert_eq!(verdict, CallVerdict::MayHaveRun);
}

/// Guards against a computed owner in a merged former set. The owner of a key in a
/// union of sets may differ from its owner in each of the sets, so every host must
/// be waited for.
#[test]
fn every_host_of_a_merged_set_is_waited_for() {
    let merged = FormerOwners {
        set: owner_set(&["a", "c", "d"]),
        left_at: 2,
        merged: true,
    };
    let moved = OwnerChange {
        service: SERVICE.clone(),
        revision: 2,
        current: owner_set(&["b"]),
        former: vec![merged],
    };
    let mut b = ledger_with("b", OnceLimits::default());
    advance_until(&mut b, RETENTION);
    // Each published configuration lists the former set again.
    b.ownership_changed(moved.clone(), RETENTION);
    b.ownership_changed(moved, RETENTION);
    let mut now = RETENTION;
    for host in ["a", "c", "d"] {
        let blocked = refuse(
            CallVerdict::MayHaveRun,
            OnceReason::FormerOwner(host.into()),
        );
        for key in 0..8 {
            let key = opaque(&format!("k{key}"));
            assert_eq!(b.begin(&request(&key), now), blocked);
        }
        b.host_gone(host, now);
        now += RETENTION;
        advance_until(&mut b, now);
    }
    begin_run(&mut b, &opaque("k0"), now);
}
