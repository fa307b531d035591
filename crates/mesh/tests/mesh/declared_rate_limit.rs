//! Plays load on a target that declares a rate limit in its answers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::time::Duration;

use radishgauge_mesh::AdmissionDecision;
use radishgauge_mesh::AdmissionRequest;
use radishgauge_mesh::DeclaredRateLimit;
use radishgauge_mesh::LocalAdmission;
use radishgauge_mesh::admission::RefuseReason;
use radishgauge_mesh::admission::WaitKey;
use radishgauge_mesh::declared_rate_limit::RateAnswer;
use radishgauge_mesh::declared_rate_limit::RateChange;
use radishgauge_mesh::declared_rate_limit::RateStatement;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// The time that a run takes.
const RUN: Duration = Duration::from_millis(160);

/// The span in which the platform counts a target's requests.
const SPAN: Duration = Duration::from_secs(4);

/// How long after the first statement of a limit it must be kept.
const STABLE: Duration = Duration::from_secs(2);

/// The time that is played; the target states its limit all the while.
const PLAYED: Duration = Duration::from_secs(20);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request() -> AdmissionRequest {
    AdmissionRequest {
        route: "read".into(),
        objective: ms(500),
        time_left: ms(2_000),
        priority: 0,
        urgency: 0,
        is_call: false,
        is_late: false,
    }
}

fn answer(statement: RateStatement, sent: Duration) -> RateAnswer {
    RateAnswer {
        statement,
        sent,
        is_success: true,
    }
}

/// What the target and the callers saw.
#[derive(Default)]
struct Outcome {
    /// When requests were sent to the target.
    sent: Vec<Duration>,
    /// The longest time between a request's arrival and its run.
    longest_wait: Duration,
    /// The refusals, and how many of them came without a time to return.
    refused: usize,
    without_time: usize,
}

impl Outcome {
    /// Returns the greatest number of requests in any span from `from` on.
    fn most_in_span(&self, from: Duration) -> usize {
        let counted: Vec<&Duration> = self.sent.iter().filter(|time| **time >= from).collect();
        let in_span = |first: &Duration| {
            let span = *first..*first + SPAN;
            counted.iter().filter(|time| span.contains(time)).count()
        };
        counted
            .iter()
            .map(|first| in_span(first))
            .max()
            .unwrap_or_default()
    }
}

/// Plays `per_second` requests to a target of 18 slots that states `limit` in
/// each answer.
fn play(limit: f64, per_second: f64, seed: u64) -> Outcome {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut admission = LocalAdmission::new(18);
    let mut outcome = Outcome::default();
    let mut running: BinaryHeap<Reverse<(Duration, Duration)>> = BinaryHeap::new();
    let mut waiting: Vec<(WaitKey, Duration)> = Vec::new();
    let mut next_arrival = Duration::ZERO;
    let mut now = Duration::ZERO;
    while now < PLAYED {
        while let Some(Reverse((end, sent))) =
            running.peek().copied().filter(|next| next.0.0 <= now)
        {
            running.pop();
            admission.finish(&"read".into(), Some(RUN));
            let statement = answer(RateStatement::PerSecond(limit), sent);
            admission.declared_mut().observe(&statement, end);
        }
        while let Some(decision) = admission.decide_next(now) {
            let index = waiting.iter().position(|(key, _)| *key == decision.key);
            let (_, arrived) = waiting.swap_remove(index.unwrap());
            if decision.decision.is_ok() {
                running.push(Reverse((now + RUN, now)));
                outcome.sent.push(now);
                outcome.longest_wait = outcome.longest_wait.max(now - arrived);
            }
        }
        while next_arrival <= now {
            let gap = -random.random_range(0.0_f64..1.0).max(1e-9).ln() / per_second;
            next_arrival += Duration::from_secs_f64(gap);
            match admission.decide(&request(), now) {
                AdmissionDecision::Run => {
                    running.push(Reverse((now + RUN, now)));
                    outcome.sent.push(now);
                }
                AdmissionDecision::Wait(key) => waiting.push((key, now)),
                AdmissionDecision::Refuse(refusal) => {
                    outcome.refused += 1;
                    outcome.without_time += usize::from(refusal.retry_after.is_none());
                }
            }
        }
        now += ms(1);
    }
    outcome
}

/// Guards against a target that gets more requests than the limit that it
/// declared, while three times as many arrive, and against a limit that is left
/// unused, that makes requests late or whose refusals name no time.
#[test]
fn declared_limit_is_kept_in_every_span_and_used() {
    for limit in [54.6, 21.5, 6.7, 1.0, 0.3] {
        for seed in 0..5 {
            let outcome = play(limit, limit * 3.0 + 5.0, seed);
            let allowed = limit * SPAN.as_secs_f64() * 1.5 + 5.0;
            let most = outcome.most_in_span(STABLE);
            assert!(most as f64 <= allowed, "{limit} a second: {most} sent");
            let later = outcome.sent.iter().filter(|time| **time >= STABLE).count();
            let due = limit * (PLAYED - STABLE).as_secs_f64();
            assert!(
                later as f64 >= due.floor() * 0.9,
                "{limit} a second: {later} sent"
            );
            assert!(outcome.longest_wait <= request().objective);
            assert!(outcome.refused > 0 && outcome.without_time == 0);
        }
    }
}

/// Guards against requests to a target that takes none, and against a panic or an
/// endless wait there.
#[test]
fn target_that_takes_no_requests_gets_none() {
    for limit in [0.0, 1e-300] {
        let outcome = play(limit, 50.0, 1);
        assert!(outcome.most_in_span(STABLE) <= 1, "{limit}");
    }
}

/// Guards against a limit that is lifted by an answer which does not show that the
/// target has recovered: one to an earlier request, or a failure.
#[test]
fn limit_is_lifted_only_by_a_later_success_without_statement() {
    let limited = |at| {
        let mut limit = DeclaredRateLimit::default();
        let statement = answer(RateStatement::PerSecond(5.0), ms(0));
        assert_eq!(
            limit.observe(&statement, at),
            Some(RateChange::Limited(5.0))
        );
        limit
    };
    let absent = |sent| answer(RateStatement::Absent, sent);
    let mut limit = limited(ms(100));
    assert_eq!(limit.observe(&absent(ms(50)), ms(5_000)), None);
    let failure = RateAnswer {
        is_success: false,
        ..absent(ms(4_000))
    };
    assert_eq!(limit.observe(&failure, ms(5_000)), None);
    // Answers of requests that overlap may contradict each other.
    assert_eq!(limit.observe(&absent(ms(150)), ms(300)), None);
    assert_eq!(limit.per_second(), Some(5.0));
    let change = limit.observe(&absent(ms(4_000)), ms(5_000));
    assert_eq!(change, Some(RateChange::Lifted));
    assert_eq!(limit.per_second(), None);
}

/// Guards against a known limit that is lost through a statement that cannot be
/// read, and against a log line for each such answer.
#[test]
fn unreadable_statement_keeps_known_limit() {
    let mut limit = DeclaredRateLimit::default();
    let unreadable = answer(RateStatement::Unreadable, ms(0));
    assert_eq!(
        limit.observe(&unreadable, ms(0)),
        Some(RateChange::Unreadable)
    );
    assert_eq!(limit.per_second(), None);
    limit.observe(&answer(RateStatement::PerSecond(5.0), ms(10)), ms(20));
    let changes: HashSet<bool> = (1..50)
        .map(|time| limit.observe(&unreadable, ms(20 + time * 100)))
        .map(|change| change.is_some())
        .collect();
    assert!(changes.contains(&false));
    assert_eq!(limit.observe(&unreadable, ms(9_000)), None);
    assert_eq!(limit.per_second(), Some(5.0));
}

/// Guards against refusals that blame the slots of a target whose declared rate is
/// used up, and against senders that take its idle slots for room.
#[test]
fn refusals_and_reports_show_the_declared_limit() {
    let mut admission = LocalAdmission::new(18);
    assert_eq!(admission.decide(&request(), ms(0)), AdmissionDecision::Run);
    admission.finish(&"read".into(), Some(RUN));
    assert_eq!(admission.report(ms(0)).limit, 18);
    let statement = answer(RateStatement::PerSecond(20.0), ms(0));
    admission.declared_mut().observe(&statement, RUN);
    // At this rate, 3.2 of the slots are busy.
    assert_eq!(admission.report(RUN).limit, 4);
    let refusal = (0..100).find_map(|_| match admission.decide(&request(), RUN) {
        AdmissionDecision::Refuse(refusal) => Some(refusal),
        AdmissionDecision::Run | AdmissionDecision::Wait(_) => None,
    });
    assert_eq!(refusal.unwrap().reason, RefuseReason::RateLimited);
}
