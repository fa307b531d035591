//! Tests of admission control: limits, queue, shedding and refusals.

use std::collections::HashMap;
use std::collections::VecDeque;

use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::TestCaseError;
use radishgauge_config::model::Criticality;
use radishgauge_config::model::PolicyModel;
use radishgauge_traffic::AdmissionDecision;
use radishgauge_traffic::AdmissionRequest;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::TargetAdmission;
use radishgauge_traffic::admit::AdmissionTicket;
use radishgauge_traffic::admit::RunOutcome;
use radishgauge_traffic::admit::Waiter;

use crate::fleet::admission;
use crate::fleet::cases;
use crate::fleet::ms;
use crate::fleet::request;
use crate::fleet::service;

fn run(admission: &TargetAdmission, now: u64) -> AdmissionTicket {
    match admission.admit(&request(Criticality::Normal, ms(now + 1000)), ms(now)) {
        AdmissionDecision::Run(ticket) => ticket,
        other => panic!("not run: {other:?}"),
    }
}

fn wait(admission: &TargetAdmission, criticality: Criticality, now: u64) -> Waiter {
    match admission.admit(&request(criticality, ms(now + 1000)), ms(now)) {
        AdmissionDecision::Wait(waiter) => waiter,
        other => panic!("not queued: {other:?}"),
    }
}

/// Guards against critical requests that are refused while less critical ones
/// are queued.
#[test]
fn requests_are_shed_by_criticality() {
    let admission = admission(4, 4);
    let running: Vec<_> = (0..4).map(|_| run(&admission, 0)).collect();
    let mut waiting = Vec::new();
    for (criticality, accepted) in [
        (Criticality::Sheddable, 4),
        (Criticality::Normal, 2),
        (Criticality::Critical, 2),
    ] {
        for _ in 0..accepted {
            waiting.push(wait(&admission, criticality, 0));
        }
        let refused = admission.admit(&request(criticality, ms(1000)), ms(0));
        let AdmissionDecision::Refuse(refusal) = refused else {
            panic!("{criticality:?} was accepted by a full queue");
        };
        assert_eq!(refusal.reason, RefusalReason::QueueFull);
        assert!(refusal.retry_after.is_some());
    }
    // The critical requests were queued last and run first.
    let ticket = running.into_iter().next().unwrap();
    let wakes = admission.cancel(ticket, ms(1));
    assert_eq!(wakes.len(), 1);
    assert!(wakes[0].decision.is_ok());
    assert_eq!(wakes[0].waiter, waiting[6].id);
}

/// Guards against a last-in, first-out queue: most responses would be fast and
/// the rest very late, so that senders wouldn't notice that the target is
/// loaded.
#[test]
fn queue_is_fifo_within_a_class() {
    for waiting in [1, 6] {
        let admission = admission(4, 4);
        let mut running: Vec<_> = (0..4).map(|_| run(&admission, 0)).collect();
        let waiters: Vec<_> = (0..waiting)
            .map(|now| wait(&admission, Criticality::Normal, now).id)
            .collect();
        let wakes = admission.cancel(running.pop().unwrap(), ms(10));
        assert_eq!(wakes[0].waiter, waiters[0]);
    }
}

/// Guards against requests that are started after their caller stopped waiting.
#[test]
fn expired_requests_are_not_started() {
    let admission = admission(1, 1);
    let late = admission.admit(&request(Criticality::Critical, ms(5)), ms(5));
    let AdmissionDecision::Refuse(refusal) = late else {
        panic!("started after the deadline: {late:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    let running = run(&admission, 0);
    let AdmissionDecision::Wait(early_deadline) =
        admission.admit(&request(Criticality::Normal, ms(20)), ms(0))
    else {
        panic!("not queued");
    };
    let late_deadline = wait(&admission, Criticality::Critical, 0);
    assert_eq!(
        (early_deadline.until, late_deadline.until),
        (ms(20), ms(50))
    );
    let wakes = admission.cancel(running, ms(60));
    let reasons: Vec<_> = wakes
        .iter()
        .map(|wake| wake.decision.as_ref().unwrap_err().reason)
        .collect();
    assert_eq!(
        reasons,
        [RefusalReason::QueueTimeout, RefusalReason::Deadline]
    );
    assert_eq!(admission.stop_waiting(&early_deadline), None);
    let _running = run(&admission, 60);
    let waiter = wait(&admission, Criticality::Normal, 60);
    let refusal = admission.stop_waiting(&waiter).unwrap();
    assert_eq!(refusal.reason, RefusalReason::QueueTimeout);
    assert_eq!(admission.waiting(), 0);
}

/// Guards invariants I5 and I10: after a failure domain is taken out of service
/// or the host starts to leave, no request is started and running requests are
/// not interrupted.
#[test]
fn running_calls_finish_when_admission_closes() {
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
        assert!(matches!(refused, AdmissionDecision::Refuse(refusal) if refusal.reason == reason));
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

/// Guards invariant I10 against a daemon that admits requests again during its
/// shutdown, because of a snapshot from a host list that doesn't show yet that
/// this host is leaving.
#[test]
fn snapshot_does_not_reopen_a_stopping_daemon() {
    let admission = admission(20, 2);
    admission.stop_admitting();
    let policy = PolicyModel::default();
    admission.configure(&service(20, 2), &policy, false, false, ms(10));
    let refused = admission.admit(&request(Criticality::Critical, ms(1000)), ms(20));
    assert!(
        matches!(refused, AdmissionDecision::Refuse(refusal) if refusal.reason == RefusalReason::Leaving)
    );
}

/// Guards against full load on cold targets when a failure domain returns to
/// service.
#[test]
fn targets_of_a_restored_domain_are_cold() {
    let admission = admission(20, 2);
    warm(&admission);
    let policy = PolicyModel::default();
    admission.configure(&service(20, 2), &policy, true, false, ms(20_000));
    admission.configure(&service(20, 2), &policy, false, false, ms(30_000));
    assert_eq!((admission.limit(), admission.is_cold()), (2, true));
}

/// Completes requests of 10 ms, one at a time, until the ramp ends.
pub fn warm(admission: &TargetAdmission) {
    for now in (0..20_000).step_by(20) {
        let ticket = run(admission, now).hand_over(ms(now));
        let wakes = admission.finish(ticket, RunOutcome::Answered, ms(now + 10));
        assert!(wakes.is_empty());
    }
    assert_eq!((admission.limit(), admission.is_cold()), (20, false));
}

/// Guards invariant I4 when a target becomes cold without notice: it responds
/// slowly, refuses connections or crashes.
#[test]
fn sudden_cold_start_is_detected() {
    let slow: fn(&TargetAdmission) = |admission| {
        for number in 0..14 {
            assert!(!admission.is_cold());
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

/// Guards invariant I4 when a target becomes cold and its first responses take
/// so long that none shows it. A pause of the daemon, which looks alike, must
/// not restart the ramp.
#[test]
fn stalled_target_is_cold() {
    for paused in [false, true] {
        let admission = admission(20, 2);
        warm(&admission);
        let _first: Vec<_> = (0..6).map(|_| run(&admission, 30_000)).collect();
        let mut tickets = Vec::new();
        let times: &[u64] = if paused {
            &[30_900]
        } else {
            &[30_015, 30_030, 30_040]
        };
        for now in times.iter().copied() {
            tickets.push(run(&admission, now));
            assert!(!admission.is_cold());
        }
        if !paused {
            let request = request(Criticality::Critical, ms(31_000));
            assert!(matches!(
                admission.admit(&request, ms(30_041)),
                AdmissionDecision::Wait(_)
            ));
        }
        assert_eq!(admission.is_cold(), !paused);
    }
}

/// Guards against expensive requests that are mistaken for a cold start: in each
/// 24 requests, four in a row are slow. If three slow responses in a row
/// restarted the ramp, a service with one expensive request in twenty would
/// serve only 39% of its requests.
#[test]
fn expensive_requests_are_not_a_cold_start() {
    let admission = admission(20, 2);
    warm(&admission);
    for number in 0..2400 {
        let now = 30_000 + number * 200;
        let ticket = run(&admission, now).hand_over(ms(now));
        let took = if number % 24 < 4 { 150 } else { 10 };
        admission.finish(ticket, RunOutcome::Answered, ms(now + took));
        assert!(!admission.is_cold());
    }
}

/// Guards against full load on targets that are all cold after a mass restart:
/// each runs as many requests as its cold slots, and the other requests are
/// queued or refused.
#[test]
fn cold_targets_are_limited_after_a_mass_restart() {
    for admission in (0..6).map(|_| admission(20, 2)) {
        let mut run = 0;
        let mut refused = 0;
        for _ in 0..100 {
            match admission.admit(&request(Criticality::Normal, ms(1000)), ms(0)) {
                AdmissionDecision::Run(ticket) => {
                    let _running = ticket.hand_over(ms(0));
                    run += 1;
                }
                AdmissionDecision::Wait(_) => {}
                AdmissionDecision::Refuse(_) => refused += 1,
            }
        }
        assert_eq!((run, refused), (2, 95));
        assert_eq!(admission.waiting(), 3);
    }
}

proptest! {
    #![proptest_config(cases(512, 0x53))]

    /// Guards invariants I4 and I8 in any order of events: admission never
    /// starts a request beyond the limit or a second suspect, the queue stays
    /// within its bounds, and each queued request gets exactly one decision.
    #[test]
    fn admission_never_exceeds_the_limit(
        events in prop::collection::vec((0_u8..10, 0_usize..64, 0_u64..40), 1..400),
        slots in 1_u32..12,
        cold in 1_u32..4,
    ) {
        let admission = admission(slots, cold);
        let policy = PolicyModel::default();
        let mut tickets = Vec::new();
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
                    let request = AdmissionRequest { criticality, deadline: ms(now + choice as u64 * 3), suspect };
                    match admission.admit(&request, ms(now)) {
                        AdmissionDecision::Run(ticket) => {
                            prop_assert!(!out);
                            prop_assert!(admission.running() <= admission.limit());
                            tickets.push((ticket, suspect));
                        }
                        AdmissionDecision::Wait(waiter) => {
                            prop_assert!(!out);
                            prop_assert!(admission.waiting() as u32 <= 2 * admission.limit());
                            suspects.insert(waiter.id, suspect);
                            prop_assert!(waiters.insert(waiter.id, waiter).is_none());
                        }
                        AdmissionDecision::Refuse(_) => {}
                    }
                }
                4 if !tickets.is_empty() => {
                    let (ticket, suspect) = tickets.swap_remove(choice % tickets.len());
                    running.push((ticket.hand_over(ms(now)), suspect));
                }
                5 if !tickets.is_empty() => {
                    let (ticket, _) = tickets.swap_remove(choice % tickets.len());
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
                        prop_assert!(admission.stop_waiting(&waiter).is_some());
                    }
                }
                9 if choice < 8 => {
                    out = !out;
                    admission.configure(&service(slots, cold), &policy, out, false, ms(now));
                }
                _ => {}
            }
            for wake in wakes {
                prop_assert!(waiters.remove(&wake.waiter).is_some(), "a queued request got two decisions");
                if let Ok(ticket) = wake.decision {
                    prop_assert!(!out);
                    prop_assert!(admission.running() <= admission.limit());
                    tickets.push((ticket, suspects[&wake.waiter]));
                }
            }
            let at_target = tickets.iter().filter(|(_, suspect)| *suspect).count()
                + running.iter().filter(|(_, suspect)| *suspect).count();
            prop_assert!(at_target <= 1, "{at_target} suspects at one target");
            prop_assert_eq!(admission.running() as usize, tickets.len() + running.len());
            prop_assert_eq!(admission.waiting(), waiters.len());
        }
    }
}

/// A model of the concurrent requests that a target sustains: its cold slots
/// after a start, doubled after each ramp step in which it has responded.
struct SustainedLoad {
    slots: u32,
    raise_at: Option<u64>,
    answered: bool,
}

impl SustainedLoad {
    const STEP: u64 = 2000;

    fn cold(slots: u32) -> SustainedLoad {
        SustainedLoad {
            slots,
            raise_at: None,
            answered: false,
        }
    }

    fn advance(&mut self, now: u64) {
        if self.answered && self.raise_at.is_some_and(|at| at <= now) {
            self.slots *= 2;
            self.raise_at = Some(now + SustainedLoad::STEP);
            self.answered = false;
        }
    }

    fn answer(&mut self, now: u64) {
        self.answered = true;
        self.raise_at.get_or_insert(now + SustainedLoad::STEP);
        self.advance(now);
    }
}

/// Simulates admissions, responses, crashes and pauses at one target. With
/// `idle_crashes`, the target also crashes while no request is running.
fn crash_and_pause(
    events: &[(u8, u64)],
    cold: u32,
    idle_crashes: bool,
) -> Result<(), TestCaseError> {
    let admission = admission(20, cold);
    let mut load = SustainedLoad::cold(cold);
    let mut running = VecDeque::new();
    let (mut now, mut down_until) = (0, 0);
    // A crash closes all connections that the target's daemon keeps open.
    let mut connection_losses = 0;
    for (event, number) in events.iter().copied() {
        now += number;
        admission.record_connection_losses(connection_losses, ms(now));
        load.advance(now);
        let mut wakes = Vec::new();
        match event {
            0..=19 => match admission.admit(&request(Criticality::Normal, ms(now + 1000)), ms(now))
            {
                AdmissionDecision::Run(ticket) if now < down_until => {
                    wakes = admission.connection_refused(ticket, ms(now)).1;
                }
                AdmissionDecision::Run(ticket) => running.push_back(ticket.hand_over(ms(now))),
                AdmissionDecision::Wait(_) | AdmissionDecision::Refuse(_) => {}
            },
            20..=37 => {
                if let Some(ticket) = running.pop_front() {
                    load.answer(now);
                    wakes = admission.finish(ticket, RunOutcome::Answered, ms(now));
                }
            }
            38 if idle_crashes || !running.is_empty() => {
                down_until = now + number * 10;
                connection_losses += 1;
                load = SustainedLoad::cold(cold);
                for ticket in running.drain(..) {
                    wakes.extend(admission.finish(ticket, RunOutcome::Crashed, ms(now)));
                }
            }
            38 => {}
            _ => now += number * 500,
        }
        while let Some(wake) = wakes.pop() {
            match wake.decision {
                Ok(ticket) if now < down_until => {
                    wakes.extend(admission.connection_refused(ticket, ms(now)).1);
                }
                Ok(ticket) => running.push_back(ticket.hand_over(ms(now))),
                Err(_) => {}
            }
        }
        prop_assert_eq!(admission.running() as usize, running.len());
        prop_assert!(
            running.len() as u32 <= load.slots,
            "{} requests run at {now}, but the target sustains {}",
            running.len(),
            load.slots
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(cases(512, 0x54))]

    /// Guards invariant I4 while the target crashes repeatedly and the daemon is
    /// paused: a target that is down or has restarted is limited to its cold
    /// slots, and a pause of any length counts as one step of the ramp.
    #[test]
    fn crashes_and_pauses_never_overload_a_cold_target(
        events in prop::collection::vec((0_u8..40, 1_u64..200), 1..600),
        cold in 1_u32..4,
    ) {
        crash_and_pause(&events, cold, true)?;
    }

    /// Guards invariant I4 like the test above, but the target only crashes
    /// while requests are running.
    #[test]
    fn crashes_of_running_requests_and_pauses_never_overload_a_cold_target(
        events in prop::collection::vec((0_u8..40, 1_u64..200), 1..600),
        cold in 1_u32..4,
    ) {
        crash_and_pause(&events, cold, false)?;
    }
}
