//! Invalid files as test data. Each case consists of input files and the exact
//! messages that loading them must return, in order.
//!
//! `RADISHGAUGE_REWRITE=1` rewrites the expected messages, which must be reviewed
//! before they are committed.

use std::env;
use std::fs;
use std::path::Path;

use radishgauge_config::FaultList;
use radishgauge_config::load_set;
use radishgauge_config::load_settings;

datatest_stable::harness! {
    { test = set_case, root = "tests/cases/sets", pattern = r"expected\.txt$" },
    { test = settings_case, root = "tests/cases/settings", pattern = r"\.yaml$" },
}

// Guards against faults that are missed or reported at a wrong position, and
// against messages without the accepted values.
fn set_case(expected: &Path) -> datatest_stable::Result<()> {
    let dir = expected.parent().expect("a case has a directory");
    let faults = load_set(dir).err();
    assert_eq!(
        load_set(dir).err(),
        faults,
        "the order of faults differs between runs"
    );
    compare(expected, faults)
}

fn settings_case(file: &Path) -> datatest_stable::Result<()> {
    compare(&file.with_extension("txt"), load_settings(file).err())
}

fn compare(expected: &Path, faults: Option<FaultList>) -> datatest_stable::Result<()> {
    let found = match faults {
        Some(faults) => format!("{faults}\n"),
        None => return Err("the case was accepted".into()),
    };
    if env::var_os("RADISHGAUGE_REWRITE").is_some() {
        fs::write(expected, &found)?;
    }
    let wanted = fs::read_to_string(expected)?;
    if found == wanted {
        return Ok(());
    }
    Err(format!("expected:\n{wanted}\nfound:\n{found}").into())
}
