//! Tests of the order of states.

use radishgauge_mesh::StatePosition;

const fn at(era: u64, revision: u64) -> StatePosition {
    StatePosition { era, revision }
}

/// Guards against a state of an earlier era that counts as newer because its revision
/// is greater.
#[test]
fn era_goes_before_revision() {
    assert!(at(2, 5) > at(1, 90));
    assert!(at(2, 6) > at(2, 5));
    assert!(at(1, 1) > StatePosition::UNKNOWN);
    assert!(at(2, 5).is_restored_since(at(1, 90)));
    assert!(!at(2, 5).is_restored_since(at(2, 4)));
    // A daemon without a state has nothing that a restore could undo.
    assert!(!at(2, 5).is_restored_since(StatePosition::UNKNOWN));
}
