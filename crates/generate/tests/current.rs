//! Compares the committed code with the output of the generator.

use std::fs;

/// Guards against a change of the schema without regenerated code, and against a
/// committed file that the generator no longer writes.
#[test]
fn committed_code_is_current() {
    let output = tempfile::tempdir().unwrap();
    radishgauge_generate::generate(output.path()).unwrap();
    let home = radishgauge_generate::schema_dir().join("src/generated");
    let mut names = 0;
    for entry in fs::read_dir(output.path()).unwrap() {
        let generated = entry.unwrap().path();
        let committed = home.join(generated.file_name().unwrap());
        assert_eq!(
            fs::read(&generated).unwrap(),
            fs::read(&committed).unwrap_or_default(),
            "{} differs; run the generator",
            committed.display()
        );
        names += 1;
    }
    assert_eq!(names, fs::read_dir(home).unwrap().count());
}
