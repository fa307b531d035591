//! Tests of the parts of a tenant's quota: shares, buckets, tokens in stock and owners.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_oneof;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use radishgauge_mesh::TenantLimit;
use radishgauge_mesh::quota::AdmitDecision;
use radishgauge_mesh::quota::DomainShare;
use radishgauge_mesh::quota::EntryQuota;
use radishgauge_mesh::quota::HostReach;
use radishgauge_mesh::quota::Lender;
use radishgauge_mesh::quota::LoanOrder;
use radishgauge_mesh::quota::LocalShare;
use radishgauge_mesh::quota::OwnerQuota;
use radishgauge_mesh::quota::QuotaBounds;
use radishgauge_mesh::quota::RefusalCause;
use radishgauge_mesh::quota::TOKEN_LEASE;
use radishgauge_mesh::quota::host_share;
use radishgauge_schema::quota::GrantState;
use radishgauge_schema::quota::LoanRequest;
use radishgauge_schema::quota::TokenGrant;
use radishgauge_schema::quota::TokenRequest;
use smol_str::SmolStr;

const SHARE: DomainShare = DomainShare {
    per_second: 40.0,
    burst: 40.0,
    start: 2.0,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn host(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn request(waiting: u32, ahead: u32) -> TokenRequest {
    TokenRequest {
        tenant: "shop".to_owned(),
        waiting,
        ahead,
        arrived: waiting,
        refused: 0,
    }
}

fn loan_request(tokens: f32) -> LoanRequest {
    LoanRequest {
        tenant: "shop".to_owned(),
        tokens,
    }
}

fn lenders() -> Vec<Lender> {
    ["b", "c"]
        .map(|domain| Lender {
            domain: domain.into(),
            is_near: domain == "b",
        })
        .into()
}

/// Guards against shares of domains, buckets of new owners and parts of daemons that
/// together exceed the tolerance.
#[test]
fn shares_stay_within_the_tolerance() {
    let bounds = QuotaBounds::default();
    for per_second in [0.5, 4.0, 40.0, 160.0, 2000.0] {
        for burst in [1.0, per_second] {
            let limit = TenantLimit { per_second, burst };
            for domains in [1, 2, 4, 6, 30] {
                let share = bounds.domain_share(limit, domains);
                let count = domains as f64;
                let local = bounds.local_total(limit, domains) as f64;
                // Tokens of a lease before the window, three new owners in each domain.
                let greatest =
                    count * (share.burst + 3.0 * share.start) + per_second * 6.25 + local;
                let bound = bounds.greatest(limit);
                assert!(
                    greatest <= bound + 1e-6,
                    "{limit:?} {domains}: {greatest} of {bound}"
                );
                assert!(share.burst * count >= burst - 1e-6);
            }
        }
    }
}

/// Guards against a new owner that repeats the burst, and against one that starts with few
/// tokens although it has been the owner for long.
#[test]
fn new_owner_starts_with_few_tokens() {
    let mut owner = OwnerQuota::new(ms(1000));
    let (grant, _) = owner.grant(host(1), &request(40, 0), &SHARE, ms(1000));
    assert_eq!(grant.tokens, 2);
    let mut owner = OwnerQuota::new(ms(1000));
    let (grant, _) = owner.grant(host(1), &request(40, 0), &SHARE, ms(9000));
    assert_eq!((grant.tokens, grant.state()), (40, GrantState::Granted));
    owner.restart(ms(10_000));
    let (grant, _) = owner.grant(host(1), &request(40, 0), &SHARE, ms(10_000));
    assert_eq!(grant.tokens, 2);
    owner.keep_owned(|tenant| tenant != "shop", ms(20_000));
    assert!(owner.is_empty());
}

/// Guards against a lowered limit that leaves the tokens of the old one in the bucket.
#[test]
fn lowered_limit_drops_tokens_at_once() {
    let mut owner = OwnerQuota::new(Duration::ZERO);
    let full = owner.grant(host(1), &request(1, 0), &SHARE, ms(5000)).0;
    assert!(full.left >= 38.0);
    let lowered = DomainShare {
        per_second: 4.0,
        burst: 4.0,
        start: 1.0,
    };
    let grant = owner.grant(host(1), &request(10, 0), &lowered, ms(5001)).0;
    assert_eq!(grant.tokens, 4);
}

/// Guards against tokens that are granted ahead while others need them.
#[test]
fn only_a_well_filled_bucket_grants_ahead() {
    let mut owner = OwnerQuota::new(Duration::ZERO);
    let grant = owner.grant(host(1), &request(1, 10), &SHARE, ms(5000)).0;
    assert_eq!(grant.tokens, 11);
    let grant = owner.grant(host(1), &request(1, 30), &SHARE, ms(5000)).0;
    assert_eq!(grant.tokens, 1 + 8);
    let grant = owner.grant(host(1), &request(1, 30), &SHARE, ms(5000)).0;
    assert_eq!(grant.tokens, 1);
}

/// Guards against refused callers that are all told the same time, and against times that
/// grow without end.
#[test]
fn retry_time_grows_with_refusals() {
    let mut owner = OwnerQuota::new(Duration::ZERO);
    let now = ms(5000);
    let first = owner.grant(host(1), &request(60, 0), &SHARE, now).0;
    assert_eq!((first.tokens, first.state()), (40, GrantState::Exhausted));
    // A token each 25 ms, for 20 refused callers.
    assert_eq!((first.retry_us, first.step_us), (25_000, 25_000));
    let second = owner.grant(host(2), &request(10, 0), &SHARE, now).0;
    assert_eq!(second.retry_us, 25_000 + 20 * 25_000);
    for _ in 0..100 {
        let grant = owner.grant(host(3), &request(100, 0), &SHARE, now).0;
        assert!(grant.retry_us <= 15_000_000);
    }
    // The line gets shorter as time passes.
    let later = owner
        .grant(host(1), &request(100, 0), &SHARE, now + ms(30_000))
        .0;
    assert!(later.retry_us <= 25_000);
}

/// Guards against an owner that refuses requests while another domain has tokens, and
/// against one that asks empty lenders again and again.
#[test]
fn short_owner_borrows_and_gives_up_on_empty_lenders() {
    let mut owner = OwnerQuota::new(Duration::ZERO);
    owner.set_lenders(lenders());
    let now = ms(5000);
    let (grant, orders) = owner.grant(host(1), &request(50, 0), &SHARE, now);
    assert_eq!((grant.tokens, grant.state()), (40, GrantState::Pending));
    let domains: Vec<&SmolStr> = orders.iter().map(|order| &order.domain).collect();
    assert_eq!(domains, ["b", "c"]);
    // While the loans are expected, they are not requested again.
    let (grant, repeated) = owner.grant(host(1), &request(10, 0), &SHARE, now);
    assert_eq!((grant.state(), repeated.len()), (GrantState::Pending, 0));
    owner.receive_loan(&orders[0], orders[0].tokens, now);
    let (grant, _) = owner.grant(host(1), &request(10, 0), &SHARE, now + ms(2));
    assert!(grant.tokens >= 5);
    owner.receive_loan(&orders[1], 0.0, now);
    owner.fail_loan(&orders[0], now + ms(3));
    let (grant, orders) = owner.grant(host(1), &request(10, 0), &SHARE, now + ms(3));
    assert_eq!((grant.state(), orders.len()), (GrantState::Exhausted, 0));
}

/// Guards against one token that is borrowed from all domains at once, and then expires.
#[test]
fn single_token_is_borrowed_from_one_lender() {
    let mut owner = OwnerQuota::new(Duration::ZERO);
    owner.set_lenders(lenders());
    let small = DomainShare {
        per_second: 1.0,
        burst: 1.0,
        start: 0.0,
    };
    let (_, orders) = owner.grant(host(1), &request(2, 0), &small, ms(5000));
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].domain, "b");
}

/// Guards against borrowed tokens that are used long after the lender has accrued new ones,
/// and against a lender's message that creates tokens.
#[test]
fn loans_expire_and_are_bounded_by_the_order() {
    let order = LoanOrder {
        tenant: "shop".into(),
        domain: "b".into(),
        tokens: 5.0,
    };
    for (tokens, later, expected) in [
        (5.0, 100, 5),
        (5.0, 300, 0),
        (1e9, 100, 5),
        (f64::NAN, 100, 0),
        (-3.0, 100, 0),
    ] {
        let mut owner = OwnerQuota::new(Duration::ZERO);
        let still = DomainShare {
            per_second: 0.0,
            ..SHARE
        };
        owner.grant(host(1), &request(2, 0), &still, ms(0));
        owner.receive_loan(&order, tokens, ms(0));
        let grant = owner.grant(host(1), &request(40, 0), &still, ms(later)).0;
        assert_eq!(grant.tokens, expected, "{tokens} {later}");
    }
}

/// Guards against a lender that gives away what its own domain is about to need.
#[test]
fn lender_keeps_what_it_needs() {
    let mut owner = OwnerQuota::new(Duration::ZERO);
    assert_eq!(owner.lend(&loan_request(100.0), &SHARE, ms(5000)), 40.0);
    let mut owner = OwnerQuota::new(Duration::ZERO);
    for step in 0..100 {
        owner.grant(host(1), &request(1, 0), &SHARE, ms(5000 + step * 20));
    }
    let lent = owner.lend(&loan_request(100.0), &SHARE, ms(7000));
    assert!(lent > 0.0 && lent < 35.0, "{lent}");
    assert_eq!(owner.lend(&loan_request(-1.0), &SHARE, ms(7000)), 0.0);
}

/// Returns an entry daemon with one waiting request, and the answer that it gets.
fn answered(grant: TokenGrant, arrived: usize) -> (EntryQuota, Vec<Result<(), RefusalCause>>) {
    let mut entry = EntryQuota::new(Duration::ZERO);
    let tenant = SmolStr::from("shop");
    for _ in 0..arrived {
        assert!(matches!(
            entry.admit(&tenant, ms(0)),
            AdmitDecision::Wait(_)
        ));
    }
    let ask = entry.ask(|_| true, ms(0)).unwrap();
    assert_eq!(ask.message.tokens[0].waiting as usize, arrived);
    assert!(entry.ask(|_| true, ms(0)).is_none());
    let outcomes = entry.apply(&ask, &[grant], host(1), ms(1));
    let decisions = outcomes.into_iter();
    let decisions = decisions.map(|outcome| outcome.decision.map_err(|refusal| refusal.cause));
    (entry, decisions.collect())
}

/// Guards against a token that serves two requests, and against one that is used after its
/// lease.
#[test]
fn tokens_serve_one_request_within_their_lease() {
    let grant = TokenGrant {
        tokens: 6,
        ..TokenGrant::default()
    };
    let tenant = SmolStr::from("shop");
    // After four requests, two tokens are asked for in advance.
    let (mut entry, decisions) = answered(grant, 4);
    assert_eq!(decisions, [Ok(()); 4]);
    let lease_end = TOKEN_LEASE - ms(1);
    assert_eq!(entry.admit(&tenant, lease_end), AdmitDecision::Admitted);
    assert!(matches!(
        entry.admit(&tenant, TOKEN_LEASE),
        AdmitDecision::Wait(_)
    ));
}

/// Guards against a request that waits although its refusal is known, against one that is
/// refused without any wait while the owner borrows, and against messages for each refused
/// request.
#[test]
fn exhausted_owner_ends_the_wait() {
    let mut grant = TokenGrant {
        tokens: 1,
        retry_us: 100_000,
        step_us: 10_000,
        hold_us: 50_000,
        ..TokenGrant::default()
    };
    grant.set_state(GrantState::Exhausted);
    let tenant = SmolStr::from("shop");
    let (mut entry, decisions) = answered(grant.clone(), 3);
    let refused = Err(RefusalCause::Exhausted);
    assert_eq!(decisions, [Ok(()), refused, refused]);
    let AdmitDecision::Refused(refusal) = entry.admit(&tenant, ms(50)) else {
        panic!("asked again too early");
    };
    // Two callers before this one have the times 101 and 111 ms.
    assert_eq!(refusal.retry_after, ms(71));
    assert_eq!(refusal.owner, Some(host(1)));
    assert_eq!(refusal.grant_age, Some(ms(49)));
    assert!(matches!(
        entry.admit(&tenant, ms(51)),
        AdmitDecision::Wait(_)
    ));
    let ask = entry.ask(|_| true, ms(51)).unwrap();
    assert_eq!(ask.message.tokens[0].refused, 1);
    grant.set_state(GrantState::Pending);
    grant.tokens = 0;
    grant.retry_us = 5_000;
    assert!(entry.apply(&ask, &[grant], host(1), ms(52)).is_empty());
    assert!(entry.ask(|_| true, ms(56)).is_none());
    assert!(entry.ask(|_| true, ms(57)).is_some());
}

/// Guards against a daemon that refuses everything while no owner answers, against one that
/// admits without bound, and against one that repeats its part after a restart.
#[test]
fn unanswered_requests_use_the_local_part() {
    let tenant = SmolStr::from("shop");
    let window = Duration::from_secs(5);
    let give_up = |entry: &mut EntryQuota, now: Duration| {
        let AdmitDecision::Wait(key) = entry.admit(&tenant, now) else {
            panic!("decided without an owner");
        };
        let ask = entry.ask(|_| true, now);
        ask.iter().for_each(|ask| entry.fail(ask));
        let decision = entry.give_up(&tenant, key, now, 2, window, now + ms(90));
        decision.map_err(|refusal| refusal.cause)
    };
    let mut entry = EntryQuota::new(Duration::ZERO);
    let refused = Err(RefusalCause::NoOwner);
    assert_eq!(give_up(&mut entry, ms(1000)), refused);
    assert_eq!(give_up(&mut entry, ms(6000)), Ok(()));
    assert_eq!(give_up(&mut entry, ms(7000)), Ok(()));
    assert_eq!(give_up(&mut entry, ms(8000)), refused);
    assert_eq!(give_up(&mut entry, ms(11_000)), Ok(()));
}

/// Guards against a tenant whose delayed message is never sent because another tenant is
/// due, or because the owner names no time.
#[test]
fn next_delayed_message_is_found_beside_due_tenants() {
    for (retry_us, expected) in [(20_000, ms(21)), (0, ms(2))] {
        let mut grant = TokenGrant {
            retry_us,
            ..TokenGrant::default()
        };
        grant.set_state(GrantState::Pending);
        let (mut entry, _) = answered(grant, 1);
        entry.admit(&"due".into(), ms(1));
        assert_eq!(entry.due_tenants(ms(1)).count(), 1);
        assert_eq!(entry.next_ask(ms(1)), Some(expected));
    }
}

/// Guards against callers that are all told the same time, or no time at all, when too many
/// requests wait.
#[test]
fn crowded_callers_come_back_one_after_the_other() {
    let tenant = SmolStr::from("shop");
    let mut entry = EntryQuota::new(Duration::ZERO);
    let mut times = Vec::new();
    for _ in 0..520 {
        if let AdmitDecision::Refused(refusal) = entry.admit(&tenant, ms(0)) {
            assert_eq!(refusal.cause, RefusalCause::Crowded);
            times.push(refusal.retry_after);
        }
    }
    assert_eq!(times.len(), 8);
    assert!(times[0] >= ms(50), "{times:?}");
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
}

/// Returns when three callers may come back that give up after an owner's answer.
fn give_up_times(entry: &mut EntryQuota, now: Duration) -> Vec<Duration> {
    let tenant = SmolStr::from("shop");
    let keys: Vec<_> = (0..3)
        .map(|_| match entry.admit(&tenant, now) {
            AdmitDecision::Wait(key) => key,
            decision => panic!("decided at once: {decision:?}"),
        })
        .collect();
    let ask = entry.ask(|_| true, now).unwrap();
    let mut grant = TokenGrant {
        retry_us: 200_000,
        ..TokenGrant::default()
    };
    grant.set_state(GrantState::Pending);
    assert!(entry.apply(&ask, &[grant], host(1), now + ms(1)).is_empty());
    let window = Duration::from_secs(5);
    keys.into_iter()
        .map(|key| {
            let decision = entry.give_up(&tenant, key, now, 0, window, now + ms(90));
            decision.unwrap_err().retry_after
        })
        .collect()
}

/// Guards against callers that have waited in vain and are all told the same time.
#[test]
fn callers_that_gave_up_come_back_one_after_the_other() {
    let mut entry = EntryQuota::new(Duration::ZERO);
    let times = give_up_times(&mut entry, ms(1000));
    assert!(times[0] >= ms(50), "{times:?}");
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
}

/// Guards against callers that are told the times of an earlier shortage, after the owner
/// has granted tokens again.
#[test]
fn grant_ends_the_times_of_an_earlier_shortage() {
    let mut grant = TokenGrant {
        retry_us: 10_000_000,
        step_us: 1_000_000,
        hold_us: 10_000,
        ..TokenGrant::default()
    };
    grant.set_state(GrantState::Exhausted);
    let (mut entry, _) = answered(grant, 2);
    assert!(matches!(
        entry.admit(&"shop".into(), ms(20)),
        AdmitDecision::Wait(_)
    ));
    let ask = entry.ask(|_| true, ms(20)).unwrap();
    let granted = TokenGrant {
        tokens: 1,
        ..TokenGrant::default()
    };
    assert_eq!(entry.apply(&ask, &[granted], host(1), ms(21)).len(), 1);
    let times = give_up_times(&mut entry, ms(2000));
    assert!(times[2] < ms(100), "{times:?}");
}

/// Guards against a line of refused callers that outlives the shortage, so that callers of
/// the next one come back long after there are tokens.
#[test]
fn full_bucket_ends_the_line_of_refused_callers() {
    let mut owner = OwnerQuota::new(Duration::ZERO);
    let hot = owner.grant(host(1), &request(440, 0), &SHARE, ms(5000)).0;
    assert_eq!(hot.state(), GrantState::Exhausted);
    let later = owner.grant(host(1), &request(60, 0), &SHARE, ms(7000)).0;
    assert_eq!((later.tokens, later.state()), (40, GrantState::Exhausted));
    assert_eq!(later.retry_us, 25_000);
}

/// Guards against a message of a peer that empties a bucket, or fills it beyond any limit,
/// with a number that is not finite.
#[test]
fn loans_that_are_not_finite_are_rejected() {
    let mut owner = OwnerQuota::new(Duration::ZERO);
    for tokens in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY] {
        assert_eq!(owner.lend(&loan_request(tokens), &SHARE, ms(5000)), 0.0);
    }
    owner.set_lenders(lenders());
    let (_, orders) = owner.grant(host(1), &request(50, 0), &SHARE, ms(5000));
    assert_eq!(orders.len(), 2);
    owner.receive_loan(&orders[0], f64::INFINITY, ms(5000));
    owner.receive_loan(&orders[1], f64::NAN, ms(5000));
    let (grant, _) = owner.grant(host(1), &request(10, 0), &SHARE, ms(5000));
    assert_eq!(grant.tokens, 0);
}

/// Guards against an owner's answer that gives a daemon more tokens than it asked for.
#[test]
fn grant_is_capped_at_what_was_asked_for() {
    let tenant = SmolStr::from("shop");
    let mut entry = EntryQuota::new(Duration::ZERO);
    entry.admit(&tenant, ms(0));
    let ask = entry.ask(|_| true, ms(0)).unwrap();
    let ahead = ask.message.tokens[0].ahead;
    let grant = TokenGrant {
        tokens: u32::MAX,
        ..TokenGrant::default()
    };
    assert_eq!(entry.apply(&ask, &[grant], host(1), ms(1)).len(), 1);
    let decisions = (0..100).map(|_| entry.admit(&tenant, ms(2)));
    let admitted = decisions.filter(|decision| *decision == AdmitDecision::Admitted);
    assert_eq!(admitted.count(), ahead as usize);
}

/// Guards against a request that is refused because of an answer to a message which was
/// sent before the request arrived.
#[test]
fn answer_to_an_earlier_message_does_not_refuse_a_request() {
    let tenant = SmolStr::from("shop");
    let window = Duration::from_secs(5);
    let mut entry = EntryQuota::new(Duration::ZERO);
    let arrived = ms(6000);
    let AdmitDecision::Wait(_) = entry.admit(&tenant, arrived) else {
        panic!("decided without an owner");
    };
    let ask = entry.ask(|_| true, arrived).unwrap();
    let AdmitDecision::Wait(later) = entry.admit(&tenant, arrived + ms(5)) else {
        panic!("decided without an owner");
    };
    let mut grant = TokenGrant::default();
    grant.set_state(GrantState::Pending);
    entry.apply(&ask, &[grant], host(1), arrived + ms(10));
    let decision = entry.give_up(&tenant, later, arrived + ms(5), 2, window, arrived + ms(95));
    assert_eq!(decision, Ok(()));
}

/// Guards against loans of fractions of a token, which admit no request and expire.
#[test]
fn lender_lends_a_whole_token_or_nothing() {
    let mut owner = OwnerQuota::new(Duration::ZERO);
    // The bucket holds 2.4 tokens.
    assert_eq!(owner.lend(&loan_request(2.0), &SHARE, ms(10)), 2.0);
    assert_eq!(owner.lend(&loan_request(5.0), &SHARE, ms(10)), 0.0);
    let lent = owner.lend(&loan_request(0.25), &SHARE, ms(10));
    assert_eq!(lent, 0.25);
}

/// Guards against a daemon that takes tokens out of its own bucket before it needs them, as
/// they expire in its stock and would not do so in the bucket.
#[test]
fn daemon_asks_itself_for_waiting_requests_only() {
    let tenant = SmolStr::from("shop");
    let mut entry = EntryQuota::new(Duration::ZERO);
    for _ in 0..10 {
        entry.admit(&tenant, ms(0));
    }
    let ask = entry.ask(|_| true, ms(0)).unwrap();
    assert_eq!(ask.message.tokens[0].ahead, 5);
    entry.fail(&ask);
    let ask = entry.ask_own(|_| true, ms(0)).unwrap();
    let request = &ask.message.tokens[0];
    assert_eq!((request.waiting, request.ahead), (10, 0));
}

/// Guards against a daemon that keeps every tenant which ever sent a request.
#[test]
fn idle_tenants_are_dropped() {
    let mut entry = EntryQuota::new(Duration::ZERO);
    let AdmitDecision::Wait(key) = entry.admit(&"shop".into(), ms(0)) else {
        panic!("decided without an owner");
    };
    entry.drop_idle(Duration::from_secs(60));
    assert_eq!(entry.len(), 1);
    entry.cancel(&"shop".into(), key);
    entry.drop_idle(Duration::from_secs(60));
    assert!(entry.is_empty());
}

/// Guards against daemons that choose different owners, and against an owner that is asked
/// although it does not answer.
#[test]
fn next_host_owns_while_the_first_is_unreachable() {
    let hosts: Vec<IpAddr> = (1..=20).map(host).collect();
    let mut reach = HostReach::default();
    let first = reach.owner("shop", &hosts).unwrap();
    let mut reversed = hosts.clone();
    reversed.reverse();
    assert_eq!(reach.owner("shop", &reversed), Some(first));
    assert!(reach.mark_unreachable(first, ms(0)));
    assert!(!reach.mark_unreachable(first, ms(10)));
    let second = reach.owner("shop", &hosts).unwrap();
    assert_ne!(second, first);
    assert_eq!(reach.reachable_fraction(&hosts), 0.95);
    assert!(reach.due_probes(8, ms(500)).is_empty());
    assert_eq!(reach.due_probes(8, ms(2000)), [first]);
    assert!(reach.due_probes(8, ms(2000)).is_empty());
    assert!(reach.mark_reachable(first));
    assert_eq!(reach.owner("shop", &hosts), Some(first));
    assert_eq!(reach.owner("shop", &[]), None);
}

/// An operation on the buckets of two failure domains.
#[derive(Debug, Clone, Copy)]
enum BucketStep {
    Wait(u64),
    Grant {
        domain: usize,
        waiting: u32,
        ahead: u32,
    },
    Borrow {
        domain: usize,
        tokens: f64,
        is_lost: bool,
    },
}

fn steps() -> impl Strategy<Value = Vec<BucketStep>> {
    let step = prop_oneof![
        (0_u64..400).prop_map(BucketStep::Wait),
        (0_usize..2, 0_u32..30, 0_u32..30).prop_map(|(domain, waiting, ahead)| {
            BucketStep::Grant {
                domain,
                waiting,
                ahead,
            }
        }),
        (0_usize..2, 0.0_f64..50.0, any::<bool>()).prop_map(|(domain, tokens, is_lost)| {
            BucketStep::Borrow {
                domain,
                tokens,
                is_lost,
            }
        }),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    /// Guards against any order of grants, loans and losses that creates tokens: both
    /// domains together never grant more than their bursts and rates.
    #[test]
    fn buckets_never_grant_more_than_they_accrue(steps in steps()) {
        let mut owners = [OwnerQuota::new(Duration::ZERO), OwnerQuota::new(Duration::ZERO)];
        let mut now = Duration::ZERO;
        let mut granted = 0_u32;
        for step in steps {
            match step {
                BucketStep::Wait(millis) => now += ms(millis),
                BucketStep::Grant { domain, waiting, ahead } => {
                    let wanted = request(waiting, ahead);
                    let (grant, _) = owners[domain].grant(host(1), &wanted, &SHARE, now);
                    prop_assert!(grant.tokens <= waiting + ahead);
                    granted += grant.tokens;
                }
                BucketStep::Borrow { domain, tokens, is_lost } => {
                    let lent = owners[1 - domain].lend(&loan_request(tokens as f32), &SHARE, now);
                    prop_assert!(lent >= 0.0 && lent <= tokens + 1e-3);
                    if !is_lost {
                        let order = LoanOrder { tenant: "shop".into(), domain: "b".into(), tokens };
                        owners[domain].receive_loan(&order, lent, now);
                    }
                }
            }
            let bound = 2.0 * (SHARE.burst + SHARE.per_second * now.as_secs_f64());
            prop_assert!(f64::from(granted) <= bound + 0.01, "{} of {}", granted, bound);
        }
    }

    /// Guards against parts of daemons that add up to more than the tolerance, or leave a
    /// part of it unused.
    #[test]
    fn local_parts_add_up(total in 0_usize..300, count in 1_u8..100, tenant in "[a-z]{1,9}") {
        let hosts: Vec<IpAddr> = (1..=count).map(host).collect();
        let parts = hosts.iter().map(|own| host_share(total, &tenant, *own, &hosts));
        prop_assert_eq!(parts.sum::<usize>(), total);
        prop_assert_eq!(host_share(total, &tenant, host(200), &hosts), 0);
    }

    /// Guards against a window in which a daemon admits more than its part.
    #[test]
    fn local_part_holds_in_every_window(
        gaps in prop::collection::vec(0_u64..900, 1..100),
        allowed in 0_usize..6,
    ) {
        let window = Duration::from_secs(5);
        let mut share = LocalShare::default();
        let mut now = Duration::ZERO;
        let mut admitted: Vec<Duration> = Vec::new();
        for gap in gaps {
            now += ms(gap);
            if share.try_admit(allowed, window, now) {
                admitted.push(now);
            }
            let recent = admitted.iter().filter(|at| **at + window > now);
            prop_assert!(recent.count() <= allowed);
        }
    }

    /// Guards against a request that is decided twice or never, and against tokens that
    /// serve more requests than they are.
    #[test]
    fn each_request_is_decided_once(
        rounds in prop::collection::vec((1_usize..6, 0_u32..8, 0_i32..6, 0_u64..300), 1..60),
    ) {
        let tenant = SmolStr::from("shop");
        let mut entry = EntryQuota::new(Duration::ZERO);
        let mut now = Duration::ZERO;
        let (mut waiting, mut admitted, mut tokens) = (Vec::new(), 0, 0);
        for (arrivals, granted, state, gap) in rounds {
            now += ms(gap);
            for _ in 0..arrivals {
                match entry.admit(&tenant, now) {
                    AdmitDecision::Admitted => admitted += 1,
                    AdmitDecision::Refused(_) => {}
                    AdmitDecision::Wait(key) => waiting.push(key),
                }
            }
            let Some(ask) = entry.ask(|_| true, now) else {
                continue;
            };
            let mut grant = TokenGrant { tokens: granted, hold_us: 1000, ..TokenGrant::default() };
            // An owner without a limit admits everything, which is left out here.
            let state = GrantState::try_from(state).unwrap_or_default();
            if state == GrantState::Unlimited {
                continue;
            }
            grant.set_state(state);
            let request = &ask.message.tokens[0];
            tokens += granted.min(request.waiting + request.ahead);
            for outcome in entry.apply(&ask, &[grant], host(1), now) {
                let place = waiting.iter().position(|key| *key == outcome.key);
                prop_assert!(place.is_some());
                waiting.swap_remove(place.unwrap_or_default());
                admitted += u32::from(outcome.decision.is_ok());
            }
            prop_assert!(admitted <= tokens, "{} of {}", admitted, tokens);
        }
    }
}
