use radishgauge_mesh::LeavingTargets;
use radishgauge_mesh::TargetRecord;

use crate::support;

fn record(id: &str, incarnation: Option<u64>) -> TargetRecord {
    TargetRecord {
        incarnation,
        sequence: 1,
        ..support::record(id)
    }
}

/// Guards against requests to a target that said that it leaves while its
/// registration says that it is ready, and against a target that is not used after
/// a restart under its former ID.
#[test]
fn word_of_a_target_holds_for_its_incarnation() {
    let mut leaving = LeavingTargets::default();
    assert!(!leaving.contains(&record("one", Some(1))));
    assert!(leaving.mark("one", Some(1)));
    assert!(!leaving.mark("one", Some(1)));
    assert!(leaving.contains(&record("one", Some(1))));
    assert!(!leaving.contains(&record("one", Some(2))));
    assert!(!leaving.contains(&record("two", Some(1))));
}

/// Guards against requests to a leaving target that registers again after its
/// entry was missing, and against a target of unknown incarnation that is never
/// used again.
#[test]
fn only_unknown_incarnations_are_forgotten_with_their_registration() {
    let mut leaving = LeavingTargets::default();
    leaving.mark("known", Some(1));
    leaving.mark("unknown", None);
    assert!(leaving.contains(&record("unknown", None)));
    assert!(leaving.contains(&record("unknown", Some(1))));
    leaving.record_removal("known");
    leaving.record_removal("unknown");
    assert!(leaving.contains(&record("known", Some(1))));
    assert!(!leaving.contains(&record("unknown", None)));
}

/// Guards against memory that grows with each target that ever left.
#[test]
fn number_of_remembered_targets_is_bounded() {
    let mut leaving = LeavingTargets::default();
    for number in 0..10_000 {
        leaving.mark(&format!("i-{number}"), Some(1));
    }
    assert!(!leaving.contains_id("i-0"));
    assert!(leaving.contains_id("i-9999"));
}
