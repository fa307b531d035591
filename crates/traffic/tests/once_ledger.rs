//! The ledger of one owner: what it runs, replays and refuses.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::key::KeyIssuer;
use radishgauge_traffic::once::OnceAnswer;
use radishgauge_traffic::once::OnceDecision;
use radishgauge_traffic::once::OnceLedger;
use radishgauge_traffic::once::OnceLimits;
use radishgauge_traffic::once::OnceOutcome;
use radishgauge_traffic::once::OnceReason;
use radishgauge_traffic::once::OnceRequest;
use radishgauge_traffic::once::OnceTicket;
use radishgauge_traffic::once_cover::FormerOwners;
use radishgauge_traffic::once_cover::OwnerChange;
use radishgauge_traffic::once_owner::OwnerSet;
use radishgauge_traffic::once_owner::OwnerTarget;
use radishgauge_traffic::once_transfer::OnceTransfer;
use radishgauge_traffic::once_transfer::TransferRequest;
use radishgauge_traffic::once_transfer::TransferStep;
use smol_str::SmolStr;

static SERVICE: SmolStr = SmolStr::new_static("desk");
static TENANT: SmolStr = SmolStr::new_static("t");

/// Enough time for a ledger with the default limits to cover opaque keys.
const COVERED: Duration = Duration::from_secs(660);

fn set(hosts: &[&str]) -> OwnerSet {
    let target = |host: &&str| OwnerTarget {
        host: SmolStr::new(host),
        region: SmolStr::new("x"),
    };
    OwnerSet::new(0, hosts.iter().map(target))
}

fn ledger_with(host: &str, limits: OnceLimits) -> OnceLedger {
    OnceLedger::new(KeyIssuer::new(host, 1, [3; 32]), "x", limits)
}

fn change(ledger: &mut OnceLedger, revision: u64, hosts: &[&str], former: &[(u64, &[&str])]) {
    let former = former.iter().map(|&(left_at, hosts)| FormerOwners {
        set: set(hosts),
        left_at,
    });
    let change = OwnerChange {
        service: SERVICE.clone(),
        revision,
        current: set(hosts),
        former: former.collect(),
    };
    ledger.ownership_changed(change, Duration::ZERO);
}

fn ledger(host: &str, revision: u64, hosts: &[&str], former: &[(u64, &[&str])]) -> OnceLedger {
    let mut ledger = ledger_with(host, OnceLimits::default());
    change(&mut ledger, revision, hosts, former);
    ledger
}

fn opaque(text: &str) -> IdempotencyKey {
    text.parse().unwrap()
}

fn request(key: &IdempotencyKey) -> OnceRequest<'_> {
    OnceRequest {
        key,
        service: &SERVICE,
        tenant: &TENANT,
        regions: &[],
        fingerprint: 1,
    }
}

fn run(ledger: &mut OnceLedger, key: &IdempotencyKey, now: Duration) -> OnceTicket {
    match ledger.begin(&request(key), now) {
        OnceDecision::Run(ticket) => ticket,
        other => panic!("{key}: {other:?}"),
    }
}

fn refuse(verdict: CallVerdict, reason: OnceReason) -> OnceDecision {
    OnceDecision::Refuse { verdict, reason }
}

fn answer(bytes: usize) -> OnceAnswer {
    OnceAnswer {
        status: 201,
        headers: vec![("x-order".into(), Box::from(*b"17"))],
        body: vec![7; bytes].into(),
    }
}

fn ask(to: &str, revision: u64) -> TransferRequest {
    TransferRequest {
        service: SERVICE.clone(),
        to: SmolStr::new(to),
        revision,
        after: None,
    }
}

/// Guards against a second run, and a replay that differs, on a re-send after the answer.
#[test]
fn a_resend_gets_the_first_response_whole() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let ticket = run(&mut ledger, &key, COVERED);
    assert_eq!(
        ledger.begin(&request(&key), COVERED),
        OnceDecision::Attach(ticket)
    );
    assert!(ledger.started(ticket));
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::Ran(answer(65536))),
        CallVerdict::Ran
    );
    let replay = OnceDecision::Replay(Arc::new(answer(65536)));
    assert_eq!(ledger.begin(&request(&key), COVERED), replay);
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::MayHaveRun),
        CallVerdict::Ran
    );
    assert_eq!(ledger.begin(&request(&key), COVERED), replay);
}

/// Guards against a cut or lost large response that reads as "not run".
#[test]
fn a_response_too_large_to_keep_leaves_its_verdict() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let ticket = run(&mut ledger, &key, COVERED);
    assert!(ledger.started(ticket));
    ledger.finish(ticket, OnceOutcome::Ran(answer(65537)));
    let kept = refuse(CallVerdict::Ran, OnceReason::AnswerNotKept);
    assert_eq!(ledger.begin(&request(&key), COVERED), kept);
}

/// Guards against "not run" for a request that was handed over and not refused.
#[test]
fn not_run_after_a_hand_over_needs_a_refusal() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let lost = opaque("lost");
    let ticket = run(&mut ledger, &lost, COVERED);
    assert!(ledger.started(ticket));
    assert!(!ledger.started(ticket), "handed over twice");
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::NotRun),
        CallVerdict::MayHaveRun
    );
    let unknown = refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown);
    assert_eq!(ledger.begin(&request(&lost), COVERED), unknown);

    let refused = opaque("refused");
    let ticket = run(&mut ledger, &refused, COVERED);
    assert!(ledger.started(ticket));
    ledger.refused(ticket);
    assert!(
        ledger.started(ticket),
        "a refused hand-over may be tried elsewhere"
    );
    ledger.refused(ticket);
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::NotRun),
        CallVerdict::NotRun
    );
    let again = run(&mut ledger, &refused, COVERED);
    assert_ne!(again, ticket);
    assert!(!ledger.started(ticket), "a late hand-over of the ended run");
    assert_eq!(
        ledger.finish(ticket, OnceOutcome::NotRun),
        CallVerdict::MayHaveRun
    );
    assert_eq!(
        ledger.begin(&request(&refused), COVERED),
        OnceDecision::Attach(again)
    );
}

/// Guards against a thread that pauses between decision and hand-over, and
/// wakes after the record's time.
#[test]
fn a_ticket_older_than_its_record_hands_nothing_over() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let ticket = run(&mut ledger, &key, COVERED);
    let late = COVERED * 2;
    ledger.expire(late);
    assert!(!ledger.started(ticket));
    let unknown = refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown);
    assert_eq!(ledger.begin(&request(&key), late), unknown);
    ledger.expire(COVERED * 3);
    assert!(ledger.is_empty());
    assert_eq!(ledger.bytes(), 0);
}

/// Guards against the response of one request given to another (invariant I7).
#[test]
fn a_key_is_bound_to_its_request_and_tenant() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let key = opaque("k");
    let ticket = run(&mut ledger, &key, COVERED);
    assert!(ledger.started(ticket));
    ledger.finish(ticket, OnceOutcome::Ran(answer(3)));
    let other = OnceRequest {
        fingerprint: 2,
        ..request(&key)
    };
    let reused = refuse(CallVerdict::MayHaveRun, OnceReason::KeyReused);
    assert_eq!(ledger.begin(&other, COVERED), reused);
    let tenant = SmolStr::new("u");
    let other = OnceRequest {
        tenant: &tenant,
        ..request(&key)
    };
    assert!(matches!(
        ledger.begin(&other, COVERED),
        OnceDecision::Run(_)
    ));

    let issued = IdempotencyKey::Issued(ledger.issue());
    run(&mut ledger, &issued, COVERED);
    let other = OnceRequest {
        tenant: &tenant,
        ..request(&issued)
    };
    assert_eq!(ledger.begin(&other, COVERED), reused);
}

/// Guards against records dropped early under load, which would run keys twice.
#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_old_ones() {
    let limits = OnceLimits {
        records: 3,
        ..OnceLimits::default()
    };
    let mut ledger = ledger_with("a", limits);
    change(&mut ledger, 1, &["a"], &[]);
    let keys: Vec<IdempotencyKey> = (0..4).map(|number| opaque(&format!("k{number}"))).collect();
    for key in &keys[..3] {
        let ticket = run(&mut ledger, key, COVERED);
        assert!(ledger.started(ticket));
        ledger.finish(ticket, OnceOutcome::MayHaveRun);
    }
    let full = refuse(CallVerdict::NotRun, OnceReason::Full);
    assert_eq!(ledger.begin(&request(&keys[3]), COVERED), full);
    let unknown = refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown);
    assert_eq!(ledger.begin(&request(&keys[0]), COVERED), unknown);
    run(&mut ledger, &keys[3], COVERED * 2);
}

/// Guards against a byte bound that a burst of large responses breaks.
#[test]
fn the_byte_bound_drops_responses_and_no_record() {
    let limits = OnceLimits {
        bytes: 40_000,
        ..OnceLimits::default()
    };
    let mut ledger = ledger_with("a", limits);
    change(&mut ledger, 1, &["a"], &[]);
    for number in 0..4 {
        let key = opaque(&format!("k{number}"));
        let ticket = run(&mut ledger, &key, COVERED);
        assert!(ledger.started(ticket));
        ledger.finish(ticket, OnceOutcome::Ran(answer(15_000)));
        assert!(ledger.bytes() <= 40_000);
    }
    assert_eq!(ledger.len(), 4);
    let kept = refuse(CallVerdict::Ran, OnceReason::AnswerNotKept);
    assert_eq!(ledger.begin(&request(&opaque("k3")), COVERED), kept);
}

/// Guards against a second run of a key whose owner restarted with an empty ledger.
#[test]
fn a_restarted_owner_refuses_keys_that_it_may_have_run() {
    let mut old = ledger("a", 1, &["a"], &[]);
    let issued = IdempotencyKey::Issued(old.issue());
    let mut new = OnceLedger::new(KeyIssuer::new("a", 2, [4; 32]), "x", OnceLimits::default());
    change(&mut new, 1, &["a"], &[]);
    let gone = refuse(CallVerdict::MayHaveRun, OnceReason::IncarnationGone);
    assert_eq!(new.begin(&request(&issued), COVERED * 9), gone);
    let recent = refuse(CallVerdict::MayHaveRun, OnceReason::RecentStart);
    let short = COVERED - Duration::from_millis(1);
    assert_eq!(new.begin(&request(&opaque("k")), short), recent);
    run(&mut new, &opaque("k"), COVERED);
    let fresh = IdempotencyKey::Issued(new.issue());
    run(&mut new, &fresh, Duration::ZERO);
}

/// Guards against a run of an issued key whose record expired.
#[test]
fn an_issued_key_without_record_is_judged_by_its_serial() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    let [unused, used, later] = [(); 3].map(|()| IdempotencyKey::Issued(ledger.issue()));
    run(&mut ledger, &used, Duration::ZERO);
    run(&mut ledger, &later, COVERED - Duration::from_secs(1));
    ledger.expire(COVERED);
    ledger.expire(COVERED * 2);
    let expired = refuse(CallVerdict::MayHaveRun, OnceReason::KeyExpired);
    for key in [&unused, &used] {
        assert_eq!(ledger.begin(&request(key), COVERED * 2), expired, "{key}");
    }
    let unknown = refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown);
    assert_eq!(ledger.begin(&request(&later), COVERED * 2), unknown);
}

/// Guards against a longer repeat window that trusts records a shorter one dropped.
#[test]
fn a_longer_window_waits_for_the_difference() {
    let mut ledger = ledger("a", 1, &["a"], &[]);
    ledger.set_repeat_window(Duration::from_secs(1200), COVERED * 2);
    let recent = refuse(CallVerdict::MayHaveRun, OnceReason::RecentStart);
    let key = opaque("k");
    assert_eq!(ledger.begin(&request(&key), COVERED * 2), recent);
    run(&mut ledger, &key, COVERED * 2 + Duration::from_secs(600));
}

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
    assert!(a.started(ticket));
    a.finish(ticket, OnceOutcome::Ran(answer(9)));
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    let now = COVERED * 2;
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
    let restarted = ledger("a", 2, &["a", "b"], &[]);
    let uptime = Duration::from_secs(60);
    let piece = restarted.export(&ask("b", 2), 2, 1 << 20, uptime).unwrap();
    let now = COVERED * 2;
    b.import(piece, now);
    let waits = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    let whole = now + COVERED - uptime;
    assert_eq!(
        b.begin(&request(&key), whole - Duration::from_millis(1)),
        waits
    );
    run(&mut b, &key, whole);
}

/// Guards against a former owner whose first restart a new owner takes for its end.
#[test]
fn a_former_owner_is_gone_only_after_the_window_off_the_list() {
    let key = moving();
    let mut b = ledger("b", 2, &["a", "b"], &[(2, &["a"])]);
    b.host_gone("a", COVERED);
    b.host_listed("a");
    b.host_gone("a", COVERED * 2);
    let waits = refuse(CallVerdict::MayHaveRun, OnceReason::FormerOwner("a".into()));
    let short = COVERED * 3 - Duration::from_millis(1);
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
    assert_eq!(b.finish(ticket, OnceOutcome::NotRun), CallVerdict::NotRun);
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
        assert!(a.started(ticket));
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
    b.ownership_changed(moved, COVERED);
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
