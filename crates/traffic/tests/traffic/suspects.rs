//! Tests of the detection of requests that crash targets.

use std::time::Duration;

use radishgauge_config::model::Criticality;
use radishgauge_mesh::Fingerprint;
use radishgauge_mesh::RunAnswer;
use radishgauge_mesh::RunEvidence;
use radishgauge_mesh::SuspectRecord;
use radishgauge_mesh::SuspectTable;
use radishgauge_mesh::suspect::SuspectPolicy;
use radishgauge_mesh::suspect::SuspectRun;
use radishgauge_mesh::suspect::SuspectState;
use radishgauge_traffic::AdmissionDecision;
use radishgauge_traffic::AdmissionRequest;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::TargetAdmission;
use radishgauge_traffic::admit::RunOutcome;
use radishgauge_traffic::admit::RunningTicket;

use crate::fleet::admission;
use crate::fleet::ms;

const WINDOW: Duration = Duration::from_secs(600);

const POLICY: SuspectPolicy = SuspectPolicy {
    ends: 2,
    time: WINDOW,
};

/// A target with its admission control, its daemon's suspect table and its
/// running requests.
struct TargetHost {
    admission: TargetAdmission,
    suspects: SuspectTable,
    running: Vec<(SuspectRun, RunningTicket)>,
}

impl TargetHost {
    fn new() -> TargetHost {
        TargetHost {
            admission: admission(20, 20),
            suspects: SuspectTable::new(POLICY),
            running: Vec::new(),
        }
    }

    fn run(&mut self, fingerprint: Fingerprint, now: Duration) -> Result<bool, RefusalReason> {
        let state = self.suspects.check(fingerprint, now);
        if state.quarantined_until().is_some() {
            return Err(RefusalReason::Quarantined);
        }
        let request = AdmissionRequest {
            criticality: Criticality::Normal,
            deadline: now + ms(1000),
            suspect: matches!(state, SuspectState::Suspect | SuspectState::OnTrial),
        };
        match self.admission.admit(&request, now) {
            AdmissionDecision::Run(ticket) => {
                let run = self.suspects.begin(fingerprint, now);
                self.running.push((run, ticket.hand_over(now)));
                Ok(true)
            }
            AdmissionDecision::Wait(_) => Ok(false),
            AdmissionDecision::Refuse(refusal) => Err(refusal.reason),
        }
    }

    fn crash(&mut self, crash: u64, now: Duration) -> Vec<SuspectRecord> {
        let in_flight: Vec<_> = self.running.iter().map(|(run, _)| *run).collect();
        let records = self.suspects.record_end(crash, &in_flight, now);
        for (_, ticket) in self.running.drain(..) {
            self.admission.finish(ticket, RunOutcome::Crashed, now);
        }
        records
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
            let records = hosts[host_index].crash(round, now);
            for (other, host) in hosts.iter().enumerate() {
                // Each record arrives twice.
                for record in records
                    .iter()
                    .chain(&records)
                    .filter(|_| other != host_index)
                {
                    host.suspects.merge(record, now);
                }
            }
            continue;
        }
        let running: Vec<_> = hosts[host_index].running.drain(..).collect();
        for (run, ticket) in running {
            for host in &hosts {
                let answer = RunAnswer {
                    id: round,
                    evidence: RunEvidence::Success,
                };
                host.suspects.record_answer(run, answer, now);
            }
            let admission = &hosts[host_index].admission;
            let mut wakes = admission.finish(ticket, RunOutcome::Answered, now + ms(10));
            while let Some(wake) = wakes.pop() {
                wakes.extend(admission.cancel(wake.decision.unwrap(), now));
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
