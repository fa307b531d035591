//! Tests of the detection of requests under which targets end.

use std::time::Duration;

use radishgauge_mesh::Fingerprint;
use radishgauge_mesh::RequestPrints;
use radishgauge_mesh::RunAnswer;
use radishgauge_mesh::RunEvidence;
use radishgauge_mesh::SuspectRecord;
use radishgauge_mesh::SuspectTable;
use radishgauge_mesh::TargetEnd;
use radishgauge_mesh::TargetSoftware;
use radishgauge_mesh::WellRuns;
use radishgauge_mesh::run_evidence::CLEARING_FAILURES;
use radishgauge_mesh::suspect::MAX_SUSPECTS;
use radishgauge_mesh::suspect::SuspectKey;
use radishgauge_mesh::suspect::SuspectPolicy;
use radishgauge_mesh::suspect::SuspectState;

const TIME: Duration = Duration::from_secs(600);

const POLICY: SuspectPolicy = SuspectPolicy {
    ends: 3,
    time: TIME,
};

const REQUEST: Fingerprint = Fingerprint(1);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Ends a target under [`REQUEST`], and returns the record of it.
fn end(table: &SuspectTable, id: u64, now: Duration) -> SuspectRecord {
    let run = table.begin(REQUEST, now);
    table.record_end(id, &[run], now).remove(0)
}

fn answer(id: u64, evidence: RunEvidence) -> RunAnswer {
    RunAnswer { id, evidence }
}

fn is_quarantined(table: &SuspectTable, now: Duration) -> bool {
    table.check(REQUEST, now).quarantined_until().is_some()
}

/// Guards against a request that is sent to targets after it has ended three of
/// them one after the other, at different hosts.
#[test]
fn request_is_quarantined_everywhere_after_three_ends() {
    let tables: Vec<_> = (0..4).map(|_| SuspectTable::new(POLICY)).collect();
    for id in 0..3 {
        assert!(tables.iter().all(|table| !is_quarantined(table, ms(id))));
        let record = end(&tables[id as usize], id, ms(id));
        for table in &tables {
            table.merge(&record, ms(id));
        }
    }
    assert!(tables.iter().all(|table| is_quarantined(table, ms(3))));
}

/// Guards against a popular request that is refused because many targets ended at
/// the same time while they ran it.
#[test]
fn simultaneous_ends_do_not_quarantine() {
    let table = SuspectTable::new(POLICY);
    let runs: Vec<_> = (0..30).map(|_| table.begin(REQUEST, ms(0))).collect();
    for (id, run) in runs.iter().enumerate() {
        table.record_end(id as u64, &[*run], ms(1));
    }
    let state = table.check(REQUEST, ms(2));
    assert_eq!(state, SuspectState::OnTrial);
}

/// Guards against ends that count although the request has run well since, also if
/// the daemon that ran it well and those that saw the ends learn of it late.
#[test]
fn good_run_clears_all_ends_before() {
    let (ended, ran_well) = (SuspectTable::new(POLICY), SuspectTable::new(POLICY));
    let records: Vec<_> = (0..2).map(|id| end(&ended, id, ms(id))).collect();
    ran_well.merge(&records[1], ms(2));
    let run = ran_well.begin(REQUEST, ms(2));
    let cleared = ran_well
        .record_answer(run, answer(0, RunEvidence::Success), ms(3))
        .unwrap();
    assert_eq!(ran_well.check(REQUEST, ms(4)), SuspectState::Clear);
    // A third end is reported before the good run is known there.
    let third = end(&ended, 2, ms(4));
    assert!(is_quarantined(&ended, ms(5)));
    let answer = ran_well.merge(&third, ms(5)).unwrap();
    assert!(!is_quarantined(&ran_well, ms(5)));
    assert_eq!(answer.uncleared(), 1);
    ended.merge(&cleared, ms(6));
    assert!(!is_quarantined(&ended, ms(6)));
    assert_eq!(ended.digest(ms(6)), ran_well.digest(ms(6)));
}

/// Guards against records that have another effect when they arrive twice or in
/// another order.
#[test]
fn records_can_be_merged_in_any_order() {
    let source = SuspectTable::new(POLICY);
    let mut records: Vec<_> = (0..3).map(|id| end(&source, id, ms(id))).collect();
    records.push(SuspectRecord {
        ends: vec![TargetEnd {
            id: 0,
            round: 1,
            software: TargetSoftware::default(),
            cleared: true,
        }],
        ..records[0].clone()
    });
    let digests: Vec<u64> = (0..records.len())
        .map(|first| {
            let table = SuspectTable::new(POLICY);
            records.rotate_left(first);
            for record in records.iter().chain(&records) {
                table.merge(record, ms(5));
            }
            assert!(!is_quarantined(&table, ms(6)));
            table.digest(ms(6))
        })
        .collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]));
    assert_ne!(digests[0], 0);
}

/// Guards against a late record of an earlier end that ends a quarantine.
#[test]
fn late_record_does_not_end_a_quarantine() {
    let table = SuspectTable::new(POLICY);
    let first = end(&table, 0, ms(0));
    end(&table, 1, ms(1));
    end(&table, 2, ms(2));
    table.merge(&first, ms(3));
    assert!(is_quarantined(&table, ms(4)));
}

/// Guards against a quarantine that lasts forever although the targets may have
/// been mended, and against one that has to be built up again if they have not.
#[test]
fn quarantine_ends_and_is_renewed_by_one_end() {
    let table = SuspectTable::new(POLICY);
    for id in 0..3 {
        end(&table, id, ms(0));
    }
    assert!(is_quarantined(&table, TIME - ms(1)));
    assert!(!is_quarantined(&table, TIME));
    end(&table, 3, TIME);
    assert!(is_quarantined(&table, TIME + ms(1)));
    let forgotten = TIME * 3;
    assert_eq!(table.check(REQUEST, forgotten), SuspectState::Clear);
    assert_eq!(table.digest(forgotten), 0);
}

/// Guards against a table that grows without bound, and against suspects that
/// evict a quarantined request.
#[test]
fn table_is_bounded_and_keeps_quarantines() {
    let table = SuspectTable::new(POLICY);
    for id in 0..3 {
        end(&table, id, ms(0));
    }
    for number in 2..3 * MAX_SUSPECTS as u64 {
        let run = table.begin(Fingerprint(number), ms(number));
        table.record_end(number, &[run], ms(number));
        assert!(table.len() <= MAX_SUSPECTS);
    }
    assert!(is_quarantined(&table, ms(20_000)));
}

/// Guards against a request that is suspected although the target that ended has
/// run it well, and against one that is trusted at the next incarnation.
#[test]
fn well_runs_hold_for_one_incarnation_and_are_bounded() {
    let mut well_runs = WellRuns::default();
    well_runs.record(REQUEST, RunEvidence::Success);
    assert!(well_runs.contains(REQUEST));
    well_runs.clear();
    assert!(!well_runs.contains(REQUEST));
    for number in 0..10_000 {
        well_runs.record(Fingerprint(number), RunEvidence::Success);
    }
    assert!(!well_runs.contains(Fingerprint(0)));
    assert!(well_runs.contains(Fingerprint(9_999)));
}

/// Guards against a crashing request that is cleared because some of its runs are
/// answered with failures, or are stopped, before it ends the target.
#[test]
fn failures_between_ends_do_not_clear() {
    let table = SuspectTable::new(POLICY);
    let mut well_runs = WellRuns::default();
    for id in 0..3 {
        end(&table, id, ms(id));
        for evidence in [RunEvidence::Failure, RunEvidence::Nothing] {
            let run = table.begin(REQUEST, ms(id));
            table.record_answer(run, answer(id, evidence), ms(id));
            well_runs.record(REQUEST, evidence);
        }
    }
    assert!(is_quarantined(&table, ms(3)));
    assert!(!well_runs.contains(REQUEST));
}

/// Guards against a good request that fails each time, and that is turned away because
/// targets ended while it ran.
#[test]
fn request_that_always_fails_is_cleared() {
    let table = SuspectTable::new(POLICY);
    let mut well_runs = WellRuns::default();
    end(&table, 0, ms(0));
    end(&table, 1, ms(1));
    let other = SuspectTable::new(POLICY);
    for id in 0..CLEARING_FAILURES as u64 {
        assert_eq!(table.check(REQUEST, ms(2)), SuspectState::OnTrial);
        assert!(!well_runs.contains(REQUEST));
        let run = table.begin(REQUEST, ms(2));
        let failure = answer(id, RunEvidence::Failure);
        if let Some(news) = table.record_answer(run, failure, ms(3)) {
            other.merge(&news, ms(3));
        }
        well_runs.record(REQUEST, RunEvidence::Failure);
    }
    assert_eq!(table.check(REQUEST, ms(3)), SuspectState::Clear);
    assert_eq!(other.check(REQUEST, ms(3)), SuspectState::Clear);
    assert_eq!(table.digest(ms(3)), other.digest(ms(3)));
    assert!(well_runs.contains(REQUEST));
    end(&table, 2, ms(4));
    assert_eq!(table.check(REQUEST, ms(5)), SuspectState::Suspect);
}

/// Guards against a request that fails each time at many targets, at none of them often
/// enough, and against failures that count twice.
#[test]
fn failures_at_several_targets_add_up() {
    let tables: Vec<_> = (0..4).map(|_| SuspectTable::new(POLICY)).collect();
    let first = end(&tables[0], 100, ms(0));
    let second = end(&tables[0], 101, ms(0));
    for table in &tables {
        table.merge(&first, ms(1));
        table.merge(&second, ms(1));
    }
    for id in 0..CLEARING_FAILURES {
        let table = &tables[id % tables.len()];
        assert_ne!(table.check(REQUEST, ms(1)), SuspectState::Clear);
        let run = table.begin(REQUEST, ms(1));
        table.record_answer(run, answer(id as u64, RunEvidence::Failure), ms(2));
        let record = table.record(REQUEST, ms(2)).unwrap();
        for other in tables.iter().chain(&tables) {
            other.merge(&record, ms(2));
        }
    }
    for table in &tables {
        assert_eq!(table.check(REQUEST, ms(3)), SuspectState::Clear);
    }
}

/// Guards against a good request that fails each time, and that is turned away for one
/// caller because this caller sends too few of the requests to clear them alone.
#[test]
fn failures_of_all_callers_clear_the_request_of_each() {
    let table = SuspectTable::new(POLICY);
    let content = Fingerprint(1);
    let frequent = Fingerprint(2);
    let rare = Fingerprint(3);
    let begin = |exact| (table.begin(exact, ms(1)), table.begin(content, ms(1)));
    let runs = [frequent, rare, content].map(|print| table.begin(print, ms(0)));
    table.record_end(100, &runs, ms(0));
    table.record_end(101, &runs, ms(0));
    let early = runs[1];
    for id in 0..CLEARING_FAILURES as u64 {
        let (exact, content) = begin(frequent);
        let failure = answer(id, RunEvidence::Failure);
        table.record_request_answer(exact, content, failure, ms(2));
    }
    assert_eq!(table.check(content, ms(3)), SuspectState::Clear);
    assert_eq!(table.check(rare, ms(3)), SuspectState::Suspect);
    // A run that began before the ends shows nothing.
    let (rare_run, content_run) = begin(rare);
    let failure = answer(20, RunEvidence::Failure);
    table.record_request_answer(early, content_run, failure, ms(4));
    assert_eq!(table.check(rare, ms(4)), SuspectState::Suspect);
    let failure = answer(21, RunEvidence::Failure);
    let records = table.record_request_answer(rare_run, content_run, failure, ms(5));
    assert!(records.iter().any(|record| record.fingerprint == rare));
    assert_eq!(table.check(rare, ms(5)), SuspectState::Clear);
}

/// Guards against a crashing request that is cleared by failures of runs that were under
/// way when it ended other targets, or by failures before its ends.
#[test]
fn failures_count_only_after_the_latest_end() {
    let table = SuspectTable::new(POLICY);
    let early: Vec<_> = (0..2 * CLEARING_FAILURES)
        .map(|_| table.begin(REQUEST, ms(0)))
        .collect();
    end(&table, 0, ms(1));
    end(&table, 1, ms(2));
    for (id, run) in early.into_iter().enumerate() {
        table.record_answer(run, answer(id as u64, RunEvidence::Failure), ms(3));
    }
    end(&table, 2, ms(4));
    assert!(is_quarantined(&table, ms(5)));
}

/// Guards against a request that goes on ending targets of one software because those
/// of another serve it, and against callers that are refused although those would.
#[test]
fn each_software_is_judged_by_its_own_ends() {
    let table = SuspectTable::new(POLICY);
    let other = SuspectTable::new(POLICY);
    let [first, second] = ["v1", "v2"].map(|version| SuspectKey {
        fingerprint: REQUEST,
        software: TargetSoftware::new("shop", version),
    });
    for id in 0..3 {
        let run = table.begin(first, ms(id));
        table.record_end(id, &[run], ms(id));
    }
    let is_quarantined = |key| table.check(key, ms(4)).quarantined_until().is_some();
    assert!(is_quarantined(first));
    assert_eq!(table.check(second, ms(4)), SuspectState::OnTrial);
    let run = table.begin(second, ms(4));
    let news = table.record_answer(run, answer(0, RunEvidence::Success), ms(4));
    other.merge(&news.unwrap(), ms(4));
    assert!(is_quarantined(first));
    assert_eq!(table.check(second, ms(4)), SuspectState::Clear);
    assert_eq!(other.check(second, ms(4)), SuspectState::Clear);
    // The second software has the fault too.
    let run = table.begin(second, ms(4));
    table.record_end(3, &[run], ms(4));
    assert!(is_quarantined(first) && is_quarantined(second));
}

/// Guards against daemons that keep different ends of a request with many, so that
/// their digests never agree.
#[test]
fn daemons_keep_the_same_of_many_ends() {
    let ends: Vec<TargetEnd> = (0..60)
        .map(|id| TargetEnd {
            id,
            round: 1 + (id % 7) as u32,
            software: TargetSoftware(id % 6),
            cleared: id % 5 == 0,
        })
        .collect();
    let digests = [0, 17, 31].map(|first| {
        let table = SuspectTable::new(POLICY);
        let mut ends = ends.clone();
        ends.rotate_left(first);
        for end in ends {
            let record = SuspectRecord {
                fingerprint: REQUEST,
                ends: vec![end],
                failures: Vec::new(),
                successes: Vec::new(),
                left: TIME,
            };
            table.merge(&record, ms(1));
        }
        table.digest(ms(2))
    });
    assert!(digests.iter().all(|digest| *digest == digests[0]));
}

/// Guards against answers that are taken for more than they say.
#[test]
fn only_completed_runs_are_successes() {
    let statuses = |evidence| {
        (200..600)
            .filter(move |status| RunEvidence::of_status(*status) == evidence)
            .collect::<Vec<u16>>()
    };
    assert_eq!(
        statuses(RunEvidence::Success),
        (200..400).collect::<Vec<_>>()
    );
    assert_eq!(
        statuses(RunEvidence::Nothing),
        [408, 421, 429, 503, 504],
        "the target stopped these or did not run them"
    );
}

/// Guards against equal requests that have different fingerprints, and against
/// different ones that are taken for equal.
#[test]
fn request_prints_tell_content_and_services() {
    let base = RequestPrints::new("GET", "/p?x=1", b"body", "shop", "desk");
    let same = RequestPrints::new("GET", "/p?x=1", b"body", "shop", "desk");
    assert_eq!(base, same);
    let other_service = RequestPrints::new("GET", "/p?x=1", b"body", "shop", "intake");
    assert_eq!(base.content, other_service.content);
    assert_ne!(base.exact, other_service.exact);
    let long = vec![7; 200_000];
    let mut longer = long.clone();
    longer[199_999] = 8;
    let others = [
        RequestPrints::new("POST", "/p?x=1", b"body", "shop", "desk"),
        RequestPrints::new("GET", "/p?x=2", b"body", "shop", "desk"),
        RequestPrints::new("GET", "/p?x=1", &long, "shop", "desk"),
        RequestPrints::new("GET", "/p?x=1", &longer, "shop", "desk"),
    ];
    for (index, other) in others.iter().enumerate() {
        assert_ne!(base.content, other.content);
        assert!(
            others[..index]
                .iter()
                .all(|one| one.content != other.content)
        );
    }
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
