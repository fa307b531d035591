//! The failure matrix names only tests that exist.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

const COLUMNS: usize = 9;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).into_iter().flatten() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Says whether `text` has a test function of this name.
fn has_test(text: &str, name: &str) -> bool {
    let head = format!("fn {name}(");
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    let is_test = |index: usize| {
        let attributes = lines[..index]
            .iter()
            .rev()
            .take_while(|line| line.starts_with("#["));
        attributes.into_iter().any(|line| *line == "#[test]")
    };
    (0..lines.len()).any(|index| lines[index].starts_with(&head) && is_test(index))
}

/// Says whether a test of the form `package::module::name` is in the tree.
fn exists(test: &str) -> bool {
    let mut parts = test.split("::");
    let package = parts.next().unwrap_or_default();
    let folder = root()
        .join("crates")
        .join(package.trim_start_matches("radishgauge-"));
    let modules: Vec<&str> = parts.collect();
    let Some((name, modules)) = modules.split_last() else {
        return false;
    };
    let mut files = Vec::new();
    sources(&folder.join("src"), &mut files);
    sources(&folder.join("tests"), &mut files);
    files.iter().any(|file| {
        let path = file.strip_prefix(&folder).unwrap().with_extension("");
        let steps: Vec<_> = path
            .iter()
            .skip(1)
            .map(|step| step.to_string_lossy())
            .collect();
        steps
            .iter()
            .map(|step| step.as_ref())
            .eq(modules.iter().copied())
            && has_test(&fs::read_to_string(file).unwrap(), name)
    })
}

/// Guards against a cell that names a test which was renamed or removed.
#[test]
fn each_named_test_exists() {
    let text = fs::read_to_string(root().join("docs/failure-matrix.md")).unwrap();
    let rows: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("| I"))
        .collect();
    assert_eq!(rows.len(), 12, "one row for each invariant");
    for row in rows {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        assert_eq!(cells.len(), COLUMNS + 1, "{row}");
        for cell in &cells[1..] {
            for test in cell.split("<br>").filter(|test| *test != "open") {
                let test = test.trim_matches('`');
                assert!(exists(test), "{}: there is no test `{test}`", cells[0]);
            }
        }
    }
}

/// Guards against a check that finds any name.
#[test]
fn a_test_that_is_not_in_the_tree_is_noticed() {
    assert!(exists(
        "radishgauge-generate::matrix::each_named_test_exists"
    ));
    assert!(!exists("radishgauge-generate::matrix::root"));
    assert!(!exists(
        "radishgauge-generate::current::each_named_test_exists"
    ));
    assert!(!exists("radishgauge-traffic::each_named_test_exists"));
}
