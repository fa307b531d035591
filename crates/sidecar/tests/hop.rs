//! Tests of the messages between an entry daemon and an owner.

use radishgauge_mesh::LoadReport;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReport;
use radishgauge_sidecar::hop;

/// Guards against a call that competes with the priority of its own route, and
/// against a call from a sender of an older version that is held back.
#[test]
fn call_competes_with_the_urgency_that_its_sender_states() {
    let head = |call, call_priority| HopHead {
        priority: 1,
        call,
        call_priority,
        ..HopHead::default()
    };
    assert_eq!(hop::urgency(&head(false, 0)), 1);
    assert_eq!(hop::urgency(&head(true, 3)), 2);
    assert_eq!(hop::urgency(&head(true, 0)), 0);
}

/// Guards against a waiting priority of 0 that is taken for an empty queue.
#[test]
fn report_tells_the_waiting_priority_or_that_none_waits() {
    for waiting_priority in [None, Some(0), Some(3)] {
        let load = LoadReport {
            waiting_priority,
            ..LoadReport::default()
        };
        let report = hop::report_from_load(&load);
        assert_eq!(hop::load_from_report(&report), load);
    }
    let older = HopReport::default();
    assert_eq!(hop::load_from_report(&older).waiting_priority, None);
}
