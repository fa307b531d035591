//! The ledger of one owner: which requests it runs, replays and refuses.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::key::KeyIssuer;
use radishgauge_traffic::once::OnceDecision;
use radishgauge_traffic::once::OnceLedger;
use radishgauge_traffic::once::OnceLimits;
use radishgauge_traffic::once::OnceOutcome;
use radishgauge_traffic::once::OnceReason;
use radishgauge_traffic::once::OnceRequest;
use smol_str::SmolStr;

use crate::support::RETENTION;
use crate::support::advance_until;
use crate::support::begin_run;
use crate::support::change_owners;
use crate::support::ledger;
use crate::support::ledger_with;
use crate::support::opaque;
use crate::support::refuse;
use crate::support::request;
use crate::support::response;

/// Guards against a second run or a different response when a request is re-sent
/// after its answer.
#[test]
fn a_resend_gets_the_complete_first_response() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let ticket = begin_run(&mut ledger, &key, RETENTION);
    assert_eq!(
        ledger.begin(&request(&key), RETENTION),
        OnceDecision::Attach(ticket)
    );
    assert!(ledger.begin_dispatch(ticket, RETENTION));
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::Ran(response(65536)), RETENTION),
        CallVerdict::Ran
    );
    let replay = OnceDecision::Replay(Arc::new(response(65536)));
    assert_eq!(ledger.begin(&request(&key), RETENTION), replay);
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::MayHaveRun, RETENTION),
        CallVerdict::Ran
    );
    assert_eq!(ledger.begin(&request(&key), RETENTION), replay);
}

/// Guards against answering "not run", or with a truncated response, after a
/// response that is too large to store.
#[test]
fn a_response_too_large_to_store_keeps_its_verdict() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let ticket = begin_run(&mut ledger, &key, RETENTION);
    assert!(ledger.begin_dispatch(ticket, RETENTION));
    ledger.finish(ticket, OnceOutcome::Ran(response(65537)), RETENTION);
    let not_stored = refuse(CallVerdict::Ran, OnceReason::ResponseNotStored);
    assert_eq!(ledger.begin(&request(&key), RETENTION), not_stored);
}

/// Guards against "not run" for a request that was dispatched and not refused.
#[test]
fn not_run_after_a_dispatch_requires_a_refusal() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let lost = opaque("lost");
    let ticket = begin_run(&mut ledger, &lost, RETENTION);
    assert!(ledger.begin_dispatch(ticket, RETENTION));
    assert!(
        !ledger.begin_dispatch(ticket, RETENTION),
        "dispatched twice"
    );
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::NotRun, RETENTION),
        CallVerdict::MayHaveRun
    );
    let unknown = refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown);
    assert_eq!(ledger.begin(&request(&lost), RETENTION), unknown);

    let refused = opaque("refused");
    let ticket = begin_run(&mut ledger, &refused, RETENTION);
    assert!(ledger.begin_dispatch(ticket, RETENTION));
    ledger.dispatch_refused(ticket);
    assert!(
        ledger.begin_dispatch(ticket, RETENTION),
        "a refused request may be dispatched again"
    );
    ledger.dispatch_refused(ticket);
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::NotRun, RETENTION),
        CallVerdict::NotRun
    );
    let again = begin_run(&mut ledger, &refused, RETENTION);
    assert_ne!(again, ticket);
    assert!(
        !ledger.begin_dispatch(ticket, RETENTION),
        "a late dispatch of the ended run"
    );
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::NotRun, RETENTION),
        CallVerdict::MayHaveRun
    );
    assert_eq!(
        ledger.begin(&request(&refused), RETENTION),
        OnceDecision::Attach(again)
    );
}

/// Guards against a thread that stalls between decision and dispatch, and
/// dispatches the request after its record has expired.
#[test]
fn a_ticket_with_an_expired_record_dispatches_nothing() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let ticket = begin_run(&mut ledger, &key, RETENTION);
    let late = RETENTION * 2;
    advance_until(&mut ledger, late);
    assert!(!ledger.begin_dispatch(ticket, RETENTION));
    let unknown = refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown);
    assert_eq!(ledger.begin(&request(&key), late), unknown);
    advance_until(&mut ledger, RETENTION * 3);
    assert!(ledger.is_empty());
    assert_eq!(ledger.bytes(), 0);
}

/// Guards against a second run when a re-send waits in the socket of a paused
/// owner, and the record would have expired if the pause counted.
#[test]
fn records_do_not_expire_during_a_pause() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let ticket = begin_run(&mut ledger, &key, RETENTION);
    assert!(ledger.begin_dispatch(ticket, RETENTION));
    ledger.finish(ticket, OnceOutcome::Ran(response(3)), RETENTION);
    let resumed = RETENTION * 20;
    ledger.expire(resumed);
    let replay = OnceDecision::Replay(Arc::new(response(3)));
    assert_eq!(ledger.begin(&request(&key), resumed), replay);
}

/// Guards against answering one request with the response to another (invariant
/// I7).
#[test]
fn a_key_is_bound_to_its_request_and_tenant() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let ticket = begin_run(&mut ledger, &key, RETENTION);
    assert!(ledger.begin_dispatch(ticket, RETENTION));
    ledger.finish(ticket, OnceOutcome::Ran(response(3)), RETENTION);
    let other = OnceRequest {
        fingerprint: 2,
        ..request(&key)
    };
    let reused = refuse(CallVerdict::MayHaveRun, OnceReason::KeyReused);
    assert_eq!(ledger.begin(&other, RETENTION), reused);
    let tenant = SmolStr::new("u");
    let other = OnceRequest {
        tenant: &tenant,
        ..request(&key)
    };
    assert!(matches!(
        ledger.begin(&other, RETENTION),
        OnceDecision::Run(_)
    ));

    let issued = IdempotencyKey::Issued(ledger.issue());
    begin_run(&mut ledger, &issued, RETENTION);
    let other = OnceRequest {
        tenant: &tenant,
        ..request(&issued)
    };
    assert_eq!(ledger.begin(&other, RETENTION), reused);
}

/// Guards against a full ledger that drops records early, so that keys run twice.
#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_old_ones() {
    let limits = OnceLimits {
        records: 3,
        ..OnceLimits::default()
    };
    let mut ledger = ledger_with("a", limits);
    change_owners(&mut ledger, 1, &["a"], &[]);
    advance_until(&mut ledger, RETENTION);
    let keys: Vec<IdempotencyKey> = (0..4).map(|number| opaque(&format!("k{number}"))).collect();
    for key in &keys[..3] {
        let ticket = begin_run(&mut ledger, key, RETENTION);
        assert!(ledger.begin_dispatch(ticket, RETENTION));
        ledger.finish(ticket, OnceOutcome::MayHaveRun, RETENTION);
    }
    let full = refuse(CallVerdict::NotRun, OnceReason::Full);
    assert_eq!(ledger.begin(&request(&keys[3]), RETENTION), full);
    let unknown = refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown);
    assert_eq!(ledger.begin(&request(&keys[0]), RETENTION), unknown);
    advance_until(&mut ledger, RETENTION * 2);
    begin_run(&mut ledger, &keys[3], RETENTION * 2);
}

/// Guards against a burst of large responses that exceeds the byte limit.
#[test]
fn the_byte_limit_drops_responses_but_no_records() {
    let limits = OnceLimits {
        bytes: 40_000,
        ..OnceLimits::default()
    };
    let mut ledger = ledger_with("a", limits);
    change_owners(&mut ledger, 1, &["a"], &[]);
    advance_until(&mut ledger, RETENTION);
    for number in 0..4 {
        let key = opaque(&format!("k{number}"));
        let ticket = begin_run(&mut ledger, &key, RETENTION);
        assert!(ledger.begin_dispatch(ticket, RETENTION));
        ledger.finish(ticket, OnceOutcome::Ran(response(15_000)), RETENTION);
        assert!(ledger.bytes() <= 40_000);
    }
    assert_eq!(ledger.len(), 4);
    let not_stored = refuse(CallVerdict::Ran, OnceReason::ResponseNotStored);
    assert_eq!(ledger.begin(&request(&opaque("k3")), RETENTION), not_stored);
}

/// Guards against a second run after the owner restarted with an empty ledger.
#[test]
fn a_restarted_owner_refuses_keys_that_it_may_have_run() {
    let mut old = ledger("a", 1, &["a"], &[]);
    let issued = IdempotencyKey::Issued(old.issue());
    let mut new = OnceLedger::new(KeyIssuer::new("a", 2, [4; 32]), "x", OnceLimits::default());
    change_owners(&mut new, 1, &["a"], &[]);
    let gone = refuse(CallVerdict::MayHaveRun, OnceReason::IncarnationGone);
    assert_eq!(new.begin(&request(&issued), Duration::ZERO), gone);
    let own_key = IdempotencyKey::Issued(new.issue());
    begin_run(&mut new, &own_key, Duration::ZERO);
    let recent = refuse(CallVerdict::MayHaveRun, OnceReason::RecentStart);
    let just_before = RETENTION - Duration::from_millis(1);
    advance_until(&mut new, just_before);
    assert_eq!(new.begin(&request(&opaque("k")), just_before), recent);
    begin_run(&mut new, &opaque("k"), RETENTION);
}

/// Guards against a second run of an issued key whose record has expired.
#[test]
fn an_issued_key_without_a_record_is_checked_by_serial() {
    let mut ledger = ledger_with("a", OnceLimits::default());
    let [unused, used, later] = [(); 3].map(|()| IdempotencyKey::Issued(ledger.issue()));
    begin_run(&mut ledger, &used, Duration::ZERO);
    advance_until(&mut ledger, RETENTION - Duration::from_secs(1));
    begin_run(&mut ledger, &later, RETENTION - Duration::from_secs(1));
    advance_until(&mut ledger, RETENTION * 2);
    let expired = refuse(CallVerdict::MayHaveRun, OnceReason::KeyExpired);
    for key in [&unused, &used] {
        assert_eq!(ledger.begin(&request(key), RETENTION * 2), expired, "{key}");
    }
    let unknown = refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown);
    assert_eq!(ledger.begin(&request(&later), RETENTION * 2), unknown);
}

/// Guards against a second run after the repeat window was increased: the records
/// that expired under the shorter window are missing.
#[test]
fn a_longer_repeat_window_refuses_new_keys_for_the_difference() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    advance_until(&mut ledger, RETENTION * 2);
    ledger.set_repeat_window(Duration::from_secs(1200), RETENTION * 2);
    let recent = refuse(CallVerdict::MayHaveRun, OnceReason::RecentStart);
    let key = opaque("k");
    assert_eq!(ledger.begin(&request(&key), RETENTION * 2), recent);
    let later = RETENTION * 2 + Duration::from_secs(600);
    let just_before = later - Duration::from_millis(1);
    advance_until(&mut ledger, just_before);
    assert_eq!(ledger.begin(&request(&key), just_before), recent);
    begin_run(&mut ledger, &key, later);
}
