//! Admission at the receiving daemon: limits, queue, shedding and refusals.

use std::collections::HashMap;

use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use radishgauge_config::model::Criticality;
use radishgauge_config::model::PolicyModel;
use radishgauge_traffic::Admit;
use radishgauge_traffic::AdmitRequest;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::TargetAdmission;
use radishgauge_traffic::admit::RunOutcome;
use radishgauge_traffic::admit::Ticket;
use radishgauge_traffic::admit::Waiter;

use crate::fleet::admission;
use crate::fleet::cases;
use crate::fleet::ms;
use crate::fleet::request;
use crate::fleet::service;

fn run(admission: &TargetAdmission, now: u64) -> Ticket {
    match admission.admit(&request(Criticality::Normal, ms(now + 1000)), ms(now)) {
        Admit::Run(ticket) => ticket,
        other => panic!("not run: {other:?}"),
    }
}

fn wait(admission: &TargetAdmission, criticality: Criticality, now: u64) -> Waiter {
    match admission.admit(&request(criticality, ms(now + 1000)), ms(now)) {
        Admit::Wait(waiter) => waiter,
        other => panic!("not queued: {other:?}"),
    }
}

/// Guards against important work that is refused while cheap work waits.
#[test]
fn sheddable_work_is_refused_first_and_critical_work_last() {
    let admission = admission(4, 4);
    let running: Vec<_> = (0..4).map(|_| run(&admission, 0)).collect();
    let mut waiting = Vec::new();
    for (criticality, room) in [
        (Criticality::Sheddable, 4),
        (Criticality::Normal, 2),
        (Criticality::Critical, 2),
    ] {
        for _ in 0..room {
            waiting.push(wait(&admission, criticality, 0));
        }
        let refused = admission.admit(&request(criticality, ms(1000)), ms(0));
        let Admit::Refuse(refusal) = refused else {
            panic!("{criticality:?} was let into a full queue");
        };
        assert_eq!(refusal.reason, RefusalReason::QueueFull);
        assert!(refusal.retry_after.is_some());
    }
    // The critical requests came last and are woken first.
    let ticket = running.into_iter().next().unwrap();
    let wakes = admission.cancel(ticket, ms(1));
    assert_eq!(wakes.len(), 1);
    assert!(wakes[0].decision.is_ok());
    assert_eq!(wakes[0].waiter, waiting[6].id);
}

/// Guards against work that is started after its caller stopped waiting.
#[test]
fn deadlines_and_the_queue_time_are_checked_before_the_start() {
    let admission = admission(1, 1);
    let late = admission.admit(&request(Criticality::Critical, ms(5)), ms(5));
    let Admit::Refuse(refusal) = late else {
        panic!("started after the deadline: {late:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    let running = run(&admission, 0);
    let Admit::Wait(hasty) = admission.admit(&request(Criticality::Normal, ms(20)), ms(0)) else {
        panic!("not queued");
    };
    let patient = wait(&admission, Criticality::Critical, 0);
    assert_eq!((hasty.until, patient.until), (ms(20), ms(50)));
    let wakes = admission.cancel(running, ms(60));
    let reasons: Vec<_> = wakes
        .iter()
        .map(|wake| wake.decision.as_ref().unwrap_err().reason)
        .collect();
    assert_eq!(
        reasons,
        [RefusalReason::QueueTimeout, RefusalReason::Deadline]
    );
    assert_eq!(admission.give_up(&hasty), None);
    let _running = run(&admission, 60);
    let waiter = wait(&admission, Criticality::Normal, 60);
    let refusal = admission.give_up(&waiter).unwrap();
    assert_eq!(refusal.reason, RefusalReason::QueueTimeout);
    assert_eq!(admission.waiting(), 0);
}

/// Guards invariants I5 and I10: after a domain is taken out or the host
/// leaves, nothing new starts, and what runs is not interrupted.
#[test]
fn domain_taken_out_while_calls_run() {
    let policy = PolicyModel::default();
    for (out, leaving, reason) in [
        (true, false, RefusalReason::DomainOut),
        (false, true, RefusalReason::Leaving),
    ] {
        let admission = admission(2, 2);
        let first = run(&admission, 0).hand_over(ms(0));
        let second = run(&admission, 0).hand_over(ms(0));
        let waiter = wait(&admission, Criticality::Critical, 0);
        admission.configure(&service(2, 2), &policy, out, leaving, ms(10));
        assert_eq!(admission.running(), 2);
        assert_eq!(admission.reported_capacity(), 0);
        let wakes = admission.finish(first, RunOutcome::Answered, ms(20));
        assert_eq!(wakes.len(), 1);
        assert_eq!(wakes[0].waiter, waiter.id);
        assert_eq!(wakes[0].decision.as_ref().unwrap_err().reason, reason);
        let refused = admission.admit(&request(Criticality::Critical, ms(1000)), ms(20));
        assert!(matches!(refused, Admit::Refuse(refusal) if refusal.reason == reason));
        assert!(
            admission
                .finish(second, RunOutcome::Answered, ms(30))
                .is_empty()
        );
        assert_eq!(admission.running(), 0);
        admission.configure(&service(2, 2), &policy, false, false, ms(40));
        let _ticket = run(&admission, 40);
    }
}

/// Guards against a domain that returns with full load on cold targets.
#[test]
fn returning_domain_is_cold() {
    let admission = admission(20, 2);
    warm(&admission);
    let policy = PolicyModel::default();
    admission.configure(&service(20, 2), &policy, true, false, ms(20_000));
    admission.configure(&service(20, 2), &policy, false, false, ms(30_000));
    assert_eq!((admission.limit(), admission.is_cold()), (2, true));
}

/// Answers requests of 10 ms, one at a time, until the ramp is over.
pub fn warm(admission: &TargetAdmission) {
    for now in (0..20_000).step_by(20) {
        let ticket = run(admission, now).hand_over(ms(now));
        let wakes = admission.finish(ticket, RunOutcome::Answered, ms(now + 10));
        assert!(wakes.is_empty());
    }
    assert_eq!((admission.limit(), admission.is_cold()), (20, false));
}

/// Guards invariant I4 against a fall into cold start without warning: the
/// target answers slowly, refuses connections or crashes.
#[test]
fn fall_into_cold_start_is_noticed() {
    let slow: fn(&TargetAdmission) = |admission| {
        for number in 0..3 {
            let now = 30_000 + number * 100;
            let ticket = run(admission, now).hand_over(ms(now));
            admission.finish(ticket, RunOutcome::Answered, ms(now + 80));
        }
    };
    let refuses: fn(&TargetAdmission) = |admission| {
        let ticket = run(admission, 30_000);
        let (refusal, wakes) = admission.connection_refused(ticket, ms(30_001));
        assert_eq!(
            (refusal.reason, wakes.len()),
            (RefusalReason::TargetDown, 0)
        );
    };
    let crashes: fn(&TargetAdmission) = |admission| {
        let ticket = run(admission, 30_000).hand_over(ms(30_000));
        admission.finish(ticket, RunOutcome::Crashed, ms(30_001));
    };
    for (name, event) in [("slow", slow), ("refuses", refuses), ("crashes", crashes)] {
        let admission = admission(20, 2);
        warm(&admission);
        event(&admission);
        assert_eq!(
            (admission.limit(), admission.is_cold()),
            (2, true),
            "{name}"
        );
    }
}

/// Guards against one expensive request, or any number of them that are not in
/// a row, being taken for a cold start.
#[test]
fn single_slow_responses_are_not_a_cold_start() {
    let admission = admission(20, 2);
    warm(&admission);
    for number in 0..200 {
        let now = 30_000 + number * 200;
        let ticket = run(&admission, now).hand_over(ms(now));
        let took = if number % 3 == 0 { 150 } else { 10 };
        admission.finish(ticket, RunOutcome::Answered, ms(now + took));
    }
    assert!(!admission.is_cold());
}

/// Guards against a mass restart in which full load meets targets that are all
/// cold: each takes its cold slots, and the rest waits or is refused.
#[test]
fn all_targets_cold() {
    for admission in (0..6).map(|_| admission(20, 2)) {
        let mut run = 0;
        let mut refused = 0;
        for _ in 0..100 {
            match admission.admit(&request(Criticality::Normal, ms(1000)), ms(0)) {
                Admit::Run(ticket) => {
                    let _running = ticket.hand_over(ms(0));
                    run += 1;
                }
                Admit::Wait(_) => {}
                Admit::Refuse(_) => refused += 1,
            }
        }
        assert_eq!((run, refused), (2, 95));
        assert_eq!(admission.waiting(), 3);
    }
}

proptest! {
    #![proptest_config(cases(512, 0x53))]

    /// Guards invariants I4 and I8 under any order of events: admission never
    /// starts a request beyond the limit or a second suspect, the queue keeps
    /// its bounds, and each waiter gets one decision.
    #[test]
    fn admission_never_exceeds_the_limit(
        events in prop::collection::vec((0_u8..10, 0_usize..64, 0_u64..40), 1..400),
        slots in 1_u32..12,
        cold in 1_u32..4,
    ) {
        let admission = admission(slots, cold);
        let policy = PolicyModel::default();
        let mut held = Vec::new();
        let mut running = Vec::new();
        let mut waiters: HashMap<u64, Waiter> = HashMap::new();
        let mut suspects = HashMap::new();
        let mut now = 0;
        let mut out = false;
        for (event, choice, pause) in events {
            now += pause;
            let mut wakes = Vec::new();
            match event {
                0..=3 => {
                    let criticality = [Criticality::Sheddable, Criticality::Normal, Criticality::Critical][choice % 3];
                    let suspect = choice % 5 == 0;
                    let request = AdmitRequest { criticality, deadline: ms(now + choice as u64 * 3), suspect };
                    match admission.admit(&request, ms(now)) {
                        Admit::Run(ticket) => {
                            prop_assert!(!out);
                            prop_assert!(admission.running() <= admission.limit());
                            held.push((ticket, suspect));
                        }
                        Admit::Wait(waiter) => {
                            prop_assert!(!out);
                            prop_assert!(admission.waiting() as u32 <= 2 * admission.limit());
                            suspects.insert(waiter.id, suspect);
                            prop_assert!(waiters.insert(waiter.id, waiter).is_none());
                        }
                        Admit::Refuse(_) => {}
                    }
                }
                4 if !held.is_empty() => {
                    let (ticket, suspect) = held.swap_remove(choice % held.len());
                    running.push((ticket.hand_over(ms(now)), suspect));
                }
                5 if !held.is_empty() => {
                    let (ticket, _) = held.swap_remove(choice % held.len());
                    wakes = match choice % 4 {
                        0 => admission.connection_refused(ticket, ms(now)).1,
                        _ => admission.cancel(ticket, ms(now)),
                    };
                }
                6 | 7 if !running.is_empty() => {
                    let (ticket, _) = running.swap_remove(choice % running.len());
                    let outcome = [
                        RunOutcome::Answered, RunOutcome::Overloaded, RunOutcome::Failed,
                        RunOutcome::Crashed, RunOutcome::Cancelled,
                    ][choice % 5];
                    wakes = admission.finish(ticket, outcome, ms(now));
                }
                8 => {
                    let next = waiters.keys().copied().min();
                    if let Some(waiter) = next.and_then(|id| waiters.remove(&id)) {
                        prop_assert!(admission.give_up(&waiter).is_some());
                    }
                }
                9 if choice < 8 => {
                    out = !out;
                    admission.configure(&service(slots, cold), &policy, out, false, ms(now));
                }
                _ => {}
            }
            for wake in wakes {
                prop_assert!(waiters.remove(&wake.waiter).is_some(), "a waiter was told twice");
                if let Ok(ticket) = wake.decision {
                    prop_assert!(!out);
                    prop_assert!(admission.running() <= admission.limit());
                    held.push((ticket, suspects[&wake.waiter]));
                }
            }
            let at_target = held.iter().filter(|(_, suspect)| *suspect).count()
                + running.iter().filter(|(_, suspect)| *suspect).count();
            prop_assert!(at_target <= 1, "{at_target} suspects at one target");
            prop_assert_eq!(admission.running() as usize, held.len() + running.len());
            prop_assert_eq!(admission.waiting(), waiters.len());
        }
    }
}
