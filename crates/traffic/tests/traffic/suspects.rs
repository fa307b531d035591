//! Tests of the detection of requests that crash targets.

use std::time::Duration;

use radishgauge_config::model::Criticality;
use radishgauge_traffic::AdmissionDecision;
use radishgauge_traffic::AdmissionRequest;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::SuspectTable;
use radishgauge_traffic::TargetAdmission;
use radishgauge_traffic::admit::RunOutcome;
use radishgauge_traffic::admit::RunningTicket;
use radishgauge_traffic::suspect::Fingerprint;
use radishgauge_traffic::suspect::MAX_SUSPECTS;
use radishgauge_traffic::suspect::SuspectNotice;
use radishgauge_traffic::suspect::SuspectState;

use crate::fleet::admission;
use crate::fleet::ms;

const WINDOW: Duration = Duration::from_secs(600);

/// A target with its admission control, its daemon's suspect table and its
/// running requests.
struct TargetHost {
    admission: TargetAdmission,
    suspects: SuspectTable,
    running: Vec<(Fingerprint, RunningTicket)>,
}

impl TargetHost {
    fn new() -> TargetHost {
        TargetHost {
            admission: admission(20, 20),
            suspects: SuspectTable::new(WINDOW),
            running: Vec::new(),
        }
    }

    fn run(&mut self, fingerprint: Fingerprint, now: Duration) -> Result<bool, RefusalReason> {
        let state = self.suspects.check(fingerprint, now);
        if let Some(refusal) = state.refusal(now) {
            return Err(refusal.reason);
        }
        let request = AdmissionRequest {
            criticality: Criticality::Normal,
            deadline: now + ms(1000),
            suspect: state == SuspectState::Suspect,
        };
        match self.admission.admit(&request, now) {
            AdmissionDecision::Run(ticket) => {
                self.running.push((fingerprint, ticket.hand_over(now)));
                Ok(true)
            }
            AdmissionDecision::Wait(_) => Ok(false),
            AdmissionDecision::Refuse(refusal) => Err(refusal.reason),
        }
    }

    fn crash(&mut self, crash: u64, now: Duration) -> Vec<SuspectNotice> {
        let in_flight: Vec<_> = self
            .running
            .iter()
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        let crash_notices = self.suspects.record_crash(crash, &in_flight, now);
        for (_, ticket) in self.running.drain(..) {
            self.admission.finish(ticket, RunOutcome::Crashed, now);
        }
        crash_notices
    }
}

/// Guards against a request that crashes one target after another while its
/// caller retries it, and against other requests that are refused because of it.
/// Other requests are running on the same targets all the time.
#[test]
fn crashing_request_is_quarantined_after_two_crashes() {
    let poison = Fingerprint(666);
    let mut hosts: Vec<_> = (0..6).map(|_| TargetHost::new()).collect();
    let mut crashes = 0;
    let mut harmless = 0;
    for round in 0..60_u64 {
        let now = ms(round * 1000);
        let host_index = (round % 6) as usize;
        for number in 0..5 {
            let fingerprint = Fingerprint(round * 5 % 20 + number);
            match hosts[host_index].run(fingerprint, now) {
                Ok(_) => harmless += 1,
                Err(reason) => panic!("a harmless request was refused: {reason:?}"),
            }
        }
        let poisoned = hosts[host_index].run(poison, now).is_ok();
        if poisoned {
            crashes += 1;
            let crash_notices = hosts[host_index].crash(round, now);
            for (other, host) in hosts.iter().enumerate() {
                // Each notice arrives twice.
                for notice in crash_notices
                    .iter()
                    .chain(&crash_notices)
                    .filter(|_| other != host_index)
                {
                    host.suspects.receive(*notice, now);
                }
            }
            continue;
        }
        let running: Vec<_> = hosts[host_index].running.drain(..).collect();
        for (fingerprint, ticket) in running {
            for host in &hosts {
                host.suspects.record_answer(fingerprint);
            }
            let admission = &hosts[host_index].admission;
            for wake in admission.finish(ticket, RunOutcome::Answered, now + ms(10)) {
                admission.cancel(wake.decision.unwrap(), now);
            }
        }
    }
    assert_eq!(crashes, 2);
    assert_eq!(harmless, 300);
    let late = ms(60_000);
    assert_eq!(hosts[3].run(poison, late), Err(RefusalReason::Quarantined));
    assert_eq!(hosts[3].run(poison, late + WINDOW), Ok(true));
}

/// Guards against several suspects that run at one target, because a crash would
/// then not identify the cause.
#[test]
fn target_runs_one_suspect_at_a_time() {
    let mut host = TargetHost::new();
    for number in 0..3 {
        host.run(Fingerprint(number), ms(0)).unwrap();
    }
    assert_eq!(host.crash(1, ms(1)).len(), 3);
    assert_eq!(host.run(Fingerprint(0), ms(2)), Ok(true));
    assert_eq!(host.run(Fingerprint(1), ms(2)), Ok(false));
    assert_eq!(host.run(Fingerprint(9), ms(2)), Ok(true));
    let (_, ticket) = host.running.remove(0);
    let wakes = host.admission.finish(ticket, RunOutcome::Answered, ms(10));
    assert_eq!(wakes.len(), 1);
    assert!(wakes.into_iter().next().unwrap().decision.is_ok());
}

/// Guards against a duplicate or late notice that starts or ends a quarantine.
#[test]
fn notices_are_idempotent_in_any_order() {
    let table = SuspectTable::new(WINDOW);
    let first_notice = SuspectNotice {
        fingerprint: Fingerprint(1),
        crash: 7,
        quarantine: false,
    };
    table.receive(first_notice, ms(0));
    table.receive(first_notice, ms(1));
    assert_eq!(table.check(Fingerprint(1), ms(2)), SuspectState::Suspect);
    table.record_answer(Fingerprint(1));
    table.receive(first_notice, ms(3));
    assert_eq!(table.check(Fingerprint(1), ms(4)), SuspectState::Clear);
    let quarantine = SuspectNotice {
        fingerprint: Fingerprint(2),
        crash: 9,
        quarantine: true,
    };
    table.receive(quarantine, ms(5));
    let earlier = SuspectNotice {
        crash: 8,
        quarantine: false,
        ..quarantine
    };
    table.receive(earlier, ms(6));
    table.record_answer(Fingerprint(2));
    let state = table.check(Fingerprint(2), ms(7));
    assert!(matches!(state, SuspectState::Quarantined { .. }));
}

/// Guards against a table that grows without bound, and against suspects that
/// evict a quarantined request.
#[test]
fn table_is_bounded_and_keeps_quarantines() {
    let table = SuspectTable::new(WINDOW);
    table.record_crash(0, &[Fingerprint(0)], ms(0));
    table.record_crash(1, &[Fingerprint(0)], ms(1));
    for number in 1..3 * MAX_SUSPECTS as u64 {
        table.record_crash(number + 1, &[Fingerprint(number)], ms(number));
        assert!(table.len() <= MAX_SUSPECTS);
    }
    let state = table.check(Fingerprint(0), ms(20_000));
    assert!(matches!(state, SuspectState::Quarantined { .. }));
}

/// Guards against different requests that have the same fingerprint because
/// their fields are concatenated or omitted.
#[test]
fn fingerprint_depends_on_each_field() {
    let body = vec![7; 70_000];
    let mut longer = body.clone();
    longer.extend([1, 2, 3]);
    let base = Fingerprint::new("a", "GET", "/p", "t", None, &body);
    assert_eq!(base, Fingerprint::new("a", "GET", "/p", "t", None, &longer));
    let others = [
        Fingerprint::new("b", "GET", "/p", "t", None, &body),
        Fingerprint::new("aG", "ET", "/p", "t", None, &body),
        Fingerprint::new("a", "GET", "/q", "t", None, &body),
        Fingerprint::new("a", "GET", "/p", "u", None, &body),
        Fingerprint::new("a", "GET", "/p", "t", Some("k"), &body),
        Fingerprint::new("a", "GET", "/p", "t", None, &body[1..60_000]),
    ];
    assert!(others.iter().all(|other| *other != base));
}
