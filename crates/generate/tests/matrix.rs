//! Checks that the tests named in docs/failure-matrix.md exist.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// The columns of the matrix, without the one that names the invariant.
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

/// Whether the source `text` contains a test function with this name.
fn has_test(text: &str, name: &str) -> bool {
    let head = format!("fn {name}(");
    let is_head = |line: &str| {
        line.strip_prefix("async ")
            .unwrap_or(line)
            .starts_with(&head)
    };
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    let is_test = |index: usize| {
        let attributes = lines[..index]
            .iter()
            .rev()
            .take_while(|line| line.starts_with("#["));
        attributes
            .into_iter()
            .any(|line| *line == "#[test]" || line.starts_with("#[tokio::test"))
    };
    (0..lines.len()).any(|index| is_head(lines[index]) && is_test(index))
}

/// Whether the repository contains the test `package::module::name`.
fn test_exists(test: &str) -> bool {
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

/// Whether the list under `Not applicable:` gives a reason for the invariant.
fn has_reason(text: &str, invariant: &str) -> bool {
    let list = text.split("\nNot applicable:\n").nth(1);
    list.unwrap_or_default()
        .lines()
        .take_while(|line| !line.starts_with("## "))
        .filter_map(|line| line.strip_prefix("- ")?.split_once(" with "))
        .any(|(names, _)| names.split(", ").any(|name| name == invariant))
}

/// Whether a cell's entry is a test or a model that exists in the repository.
fn entry_exists(entry: &str) -> bool {
    let is_model = entry.starts_with("model/") && entry.ends_with(".pml");
    if is_model {
        root().join(entry).is_file()
    } else {
        test_exists(entry)
    }
}

/// Guards against a cell that names a renamed or removed test, and against a
/// cell that is `n/a` without a reason.
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
            if *cell == "open" {
                continue;
            }
            if *cell == "n/a" {
                assert!(has_reason(&text, cells[0]), "{}: no reason", cells[0]);
                continue;
            }
            for test in cell.split("<br>") {
                let test = test.trim_matches('`');
                assert!(
                    entry_exists(test),
                    "{}: there is no test `{test}`",
                    cells[0]
                );
            }
        }
    }
}

/// Guards against a row for two simultaneous failures whose test was renamed or
/// removed.
#[test]
fn each_test_of_a_pair_exists() {
    let text = fs::read_to_string(root().join("docs/failure-matrix.md")).unwrap();
    let (_, table) = text.split_once("## Failures at the same time").unwrap();
    let rows: Vec<&str> = table
        .lines()
        .filter(|line| line.starts_with("| "))
        .skip(1)
        .collect();
    assert!(!rows.is_empty());
    for row in rows {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 3, "{row}");
        let test = cells[1].trim_matches('`');
        assert!(test_exists(test), "there is no test `{test}`");
        assert!(cells[2].contains(|letter: char| letter.is_ascii_digit()));
    }
}

/// Guards against a lookup that accepts names of tests that do not exist.
#[test]
fn names_of_missing_tests_are_rejected() {
    assert!(test_exists(
        "radishgauge-generate::matrix::each_named_test_exists"
    ));
    assert!(!test_exists("radishgauge-generate::matrix::root"));
    assert!(!test_exists(
        "radishgauge-generate::current::each_named_test_exists"
    ));
    assert!(!test_exists("radishgauge-traffic::each_named_test_exists"));
    assert!(has_test("#[tokio::test]\nasync fn a() {", "a"));
    assert!(!has_test("async fn a() {", "a"));
    assert!(entry_exists("model/once.pml"));
    assert!(!entry_exists("model/absent.pml"));
    assert!(has_reason("x\nNot applicable:\n- I1, I2 with y: z", "I2"));
    assert!(!has_reason("x\nNot applicable:\n- I12 with y: z", "I1"));
}
