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

/// A key that moves from `a` to `b` when `b` joins.
fn moving() -> IdempotencyKey {
    let keys = (0..).map(|number| opaque(&format!("m{number}")));
    let mut probe = ledger("b", 1, &["a", "b"], &[]);
    let mut moves =
        keys.filter(|key| matches!(probe.begin(&request(key), COVERED), OnceDecision::Run(_)));
    moves.next().unwrap()
}

/// Guards against a new owner that runs a key which the former owner still may run.
#[test]
fn a_new_owner_waits_for_the_handover() {
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
        "not applied yet"
    );

    change(&mut a, 2, &["a", "b"], &[]);
    let piece = a.export(&ask("b", 2), 2, 1 << 20, COVERED).unwrap();
    assert_eq!(b.import(piece.clone(), now), TransferStep::Done);
    assert_eq!(b.import(piece, now), TransferStep::Done, "a doubled reply");
    assert_eq!(
        b.begin(&request(&key), now),
        OnceDecision::Replay(Arc::new(answer(9)))
    );
    assert_eq!(b.len(), 1);
    assert!(b.wanted(&SERVICE, now).is_empty());
}

/// Guards against a former owner that went on running a key after it handed it over.
#[test]
fn a_former_owner_runs_no_key_after_the_change() {
    let key = moving();
    let mut a = ledger("a", 1, &["a"], &[]);
    change(&mut a, 2, &["a", "b"], &[]);
    let other = refuse(
        CallVerdict::MayHaveRun,
        OnceReason::NotOwner(Some("b".into())),
    );
    assert_eq!(a.begin(&request(&key), COVERED), other);
}

/// Guards against a handover by a restarted former owner, whose records are lost.
#[test]
fn the_handover_of_a_restarted_owner_counts_after_the_window() {
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

/// Guards against a former owner whose first restart a new owner takes for its end.
#[test]
fn a_former_owner_is_gone_only_after_the_window_off_the_list() {
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

/// Guards against a handover from before the former owner took its keys back.
#[test]
fn a_handover_does_not_stand_for_a_later_set() {
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
    // The keys went back to `a` with revision 3, which `b` never saw.
    change(&mut b, 4, &["a", "b"], &[(4, &["a"])]);
    let waits = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    assert_eq!(b.begin(&request(&key), COVERED), waits);
}

/// Guards against lost, doubled and crossed pieces of a long transfer.
#[test]
fn a_transfer_counts_only_when_each_piece_arrived() {
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

/// Guards against a stored response that leaves its home regions (invariant I6).
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

/// Guards against former sets that are lost when there are many of them.
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

/// Guards against a paused owner that another replaced: what it reads after the
/// pause, before it knows, and what it was about to hand over.
#[test]
fn a_paused_owner_runs_opaque_keys_only_once_confirmed() {
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
    // A call that waited in the socket may be older than others' records.
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

/// Guards against a merged former set in which the owner is computed, although
/// the owner of a key in a union is not its owner in each member.
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
    // The configuration names the set again with each publication.
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
