//! Checks that docs/events.md matches the catalogue of events in the code.

use std::env;
use std::fs;
use std::path::Path;

use radishgauge_daemon::events;

#[test]
fn reference_page_is_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/events.md");
    if env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, events::reference()).unwrap();
    }
    assert_eq!(
        fs::read_to_string(path).unwrap_or_default(),
        events::reference()
    );
}

// Guards against two events with the same number, which would make alerts
// ambiguous.
#[test]
fn numbers_are_unique_and_ordered() {
    let numbers: Vec<u16> = events::CATALOGUE.iter().map(|kind| kind.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b));
}
