//! Tests of the owner of a target, without other daemons and without a target.

mod common;

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::Uri;
use radishgauge_mesh::StateTable;
use radishgauge_mesh::TargetRecord;
use radishgauge_mesh::declared_rate_limit::RateStatement;
use radishgauge_mesh::state_table::StateChange;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_net::clock::SystemClock;
use radishgauge_platform::HostSettings;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use radishgauge_sidecar::answer::TargetOutcome;
use radishgauge_sidecar::owner::TargetOwner;
use radishgauge_sidecar::target_call::BufferedRequest;
use radishgauge_sidecar::target_call::TargetStatement;

const TARGET: &str = "i-1";

/// The owner of one target, and the platform's state that it is told.
struct OwnerSetup {
    owner: Arc<TargetOwner>,
    settings: HostSettings,
    table: StateTable,
}

impl OwnerSetup {
    fn new() -> OwnerSetup {
        let settings = common::settings();
        let clock = Arc::new(SystemClock::start());
        OwnerSetup {
            owner: Arc::new(TargetOwner::new(&settings, clock)),
            settings,
            table: StateTable::default(),
        }
    }

    fn apply(&mut self, change: StateChange) {
        self.table.apply(change, StateSource::Store, Duration::ZERO);
        self.owner
            .refresh(&self.settings, &self.table, Duration::ZERO);
    }

    fn registration(&self, draining: bool) -> StateChange {
        self.incarnation(draining, None)
    }

    fn incarnation(&self, draining: bool, incarnation: Option<u64>) -> StateChange {
        StateChange::Target(TargetRecord {
            id: TARGET.into(),
            service: "shop".into(),
            address: self.settings.target_address,
            failure_domain: "north-a".into(),
            capacity: 1,
            draining,
            version: "v1".into(),
            cold_left: Duration::ZERO,
            incarnation,
            sequence: 1,
        })
    }
}

fn head() -> HopHead {
    HopHead {
        target: TARGET.to_owned(),
        route: "read".to_owned(),
        objective_us: 1_000_000,
        time_left_us: 1_000_000,
        ..HopHead::default()
    }
}

fn request() -> BufferedRequest {
    BufferedRequest {
        id: "id-1".into(),
        method: Method::GET,
        uri: Uri::from_static("/read/1"),
        headers: HeaderMap::new(),
        body: Vec::new().into(),
    }
}

/// Guards against a request that is sent to a target after another answer of the
/// target said that it leaves.
#[tokio::test]
async fn admitted_request_is_withdrawn_when_target_says_that_it_leaves() {
    let mut setup = OwnerSetup::new();
    let ready = setup.registration(false);
    setup.apply(ready);
    let admitted = setup.owner.admit(&head()).ok().unwrap();
    let statement = TargetStatement {
        rate: RateStatement::Absent,
        is_leaving: true,
        is_success: true,
    };
    setup
        .owner
        .record_statement(TARGET, statement, Duration::ZERO);
    // The registration still says that the target is ready.
    let ready = setup.registration(false);
    setup.apply(ready);
    let outcome = setup.owner.run(&request(), &head(), Some(admitted)).await;
    let TargetOutcome::NotRun(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusal.reason, HopReason::Draining);
    let refusal = setup.owner.admit(&head()).err().unwrap();
    assert_eq!(refusal.reason, HopReason::Draining);
}

/// Guards against senders that leave out a target which has started again under its
/// former ID, because its former incarnation said that it leaves.
#[tokio::test]
async fn word_of_a_former_incarnation_is_not_reported() {
    let mut setup = OwnerSetup::new();
    let former = setup.incarnation(false, Some(1));
    setup.apply(former);
    let statement = TargetStatement {
        rate: RateStatement::Absent,
        is_leaving: true,
        is_success: true,
    };
    let owner = Arc::clone(&setup.owner);
    owner.record_statement(TARGET, statement, Duration::ZERO);
    assert!(owner.is_leaving(TARGET));
    let present = setup.incarnation(false, Some(2));
    setup.apply(present);
    assert!(!owner.is_leaving(TARGET));
    assert!(owner.admit(&head()).is_ok());
}

/// Guards against a request that is sent to a target which has left, or whose
/// failure domain was evacuated, while the body of the admitted request arrived.
#[tokio::test]
async fn admitted_request_is_withdrawn_when_target_closes_before_it_is_sent() {
    let closings = [
        (None, HopReason::Draining),
        (
            Some(StateChange::TargetGone(TARGET.into())),
            HopReason::Draining,
        ),
        (
            Some(StateChange::DomainOut("north-a".into())),
            HopReason::DomainOut,
        ),
    ];
    for (closing, reason) in closings {
        let mut setup = OwnerSetup::new();
        let ready = setup.registration(false);
        setup.apply(ready);
        let admitted = setup.owner.admit(&head()).ok().unwrap();
        let closing = closing.unwrap_or_else(|| setup.registration(true));
        setup.apply(closing);
        let outcome = setup.owner.run(&request(), &head(), Some(admitted)).await;
        let TargetOutcome::NotRun(refusal) = outcome else {
            panic!("{reason:?}: {outcome:?}");
        };
        assert_eq!(refusal.reason, reason);
        assert!(!refusal.reached_target);
    }
}

/// Guards against a daemon that ends because another one states times and priorities
/// that no request has.
#[tokio::test]
async fn absurd_numbers_of_another_daemon_are_bounded() {
    let mut setup = OwnerSetup::new();
    let ready = setup.registration(false);
    setup.apply(ready);
    let _running = setup.owner.admit(&head()).ok().unwrap();
    let absurd = HopHead {
        objective_us: u64::MAX,
        time_left_us: u64::MAX,
        priority: u32::MAX,
        ..head()
    };
    // The slot is in use, so the request is ordered by its virtual deadline.
    let _waiting = setup.owner.admit(&absurd);
    assert!(setup.owner.admit(&head()).is_ok());
}
