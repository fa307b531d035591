//! Output and exit codes of the commands that contact no daemon.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use radishgauge_cli::ExitStatus;
use radishgauge_config::load_set;
use radishgauge_config::read_packed;
use serde_json::Value;
use tempfile::TempDir;
use x509_parser::extensions::GeneralName;
use x509_parser::pem::parse_x509_pem;

struct Outcome {
    status: ExitStatus,
    out: String,
    err: String,
}

fn run(args: &[&str]) -> Outcome {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = args.iter().map(|arg| (*arg).into()).collect();
    let status = radishgauge_cli::run(args, &mut out, &mut err);
    Outcome {
        status,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    path.display().to_string()
}

fn abay() -> String {
    example("abay-etchcraft")
}

/// Copies the Abay Etchcraft set and replaces the first match of `from` in one of
/// its files.
fn changed_copy(file: &str, from: &str, to: &str) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    for entry in fs::read_dir(abay()).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let name = path.file_name().unwrap().to_owned();
        let text = if name == file {
            text.replacen(from, to, 1)
        } else {
            text
        };
        fs::write(dir.path().join(name), text).unwrap();
    }
    dir
}

fn path_str(path: &Path) -> &str {
    path.to_str().unwrap()
}

// Guards against a command without help or without an example.
#[test]
fn every_command_has_help_with_an_example() {
    let all = run(&["help"]).out;
    let commands = all.split("Commands:\n").nth(1).unwrap();
    let commands = commands.lines().take_while(|line| !line.is_empty());
    let names: Vec<&str> = commands
        .map(|line| line.split_whitespace().next().unwrap())
        .collect();
    assert!(names.len() >= 5);
    for name in names {
        let help = run(&[name, "--help"]);
        assert_eq!(help.status, ExitStatus::Done);
        assert!(
            help.out
                .contains(&format!("\nExample:\n  radishgauge {name}")),
            "{name}"
        );
        assert_eq!(run(&["help", name]).out, help.out);
    }
}

// Guards against usage errors that exit with the code of refused input, or that
// are ignored.
#[test]
fn usage_errors_have_their_own_exit_code() {
    let cases: &[&[&str]] = &[
        &[],
        &["chekc"],
        &["check"],
        &["check", "a", "b"],
        &["check", "--sets", "a"],
        &["check", "a", "--settings", "b"],
        &["check", "--settings", "a", "--previous", "b"],
        &["diff", "a"],
        &["pack", "a", "--output", "b"],
        &["pack", "a", "--revision", "1"],
        &["pack", "a", "--revision", "0", "--output", "b"],
        &["pack", "a", "--revision", "-1", "--output", "b"],
        &["pack", "--revision", "1", "--output", "b"],
        &["status"],
        &["status", "--daemon", "localhost"],
        &["status", "--daemon", "127.0.0.1:1", "--timeout-ms", "0"],
        &["status", "--daemon", "127.0.0.1:1", "--timeout-ms", "60001"],
        &["explain", "--daemon", "127.0.0.1:1"],
        &["explain", "version"],
        &["explain", "route", "/a"],
        &["explain", "route", "--daemon", "127.0.0.1:1"],
        &["explain", "route", "a", "--daemon", "127.0.0.1:1"],
        &["explain", "version", "a", "--daemon", "127.0.0.1:1"],
        &[
            "explain",
            "version",
            "--daemon",
            "127.0.0.1:1",
            "--tenant",
            "a",
        ],
        &["keys", "a.b"],
        &["keys", "--output", "b"],
        &["keys", "a", "--output", "b"],
        &["keys", "a.b.c", "--output", "b"],
        &["keys", "a.b", "a.c", "--output", "b"],
        &["keys", "ca.b", "--output", "b"],
        &["keys", "a.b", "--output", "b", "--days", "0"],
        &["help", "chekc"],
    ];
    for case in cases {
        let outcome = run(case);
        assert_eq!(
            outcome.status,
            ExitStatus::Usage,
            "{case:?}: {}",
            outcome.err
        );
        assert!(outcome.out.is_empty(), "{case:?}");
        assert!(outcome.err.starts_with("radishgauge: "), "{case:?}");
    }
    assert!(
        run(&["check"])
            .err
            .ends_with("See radishgauge help check.\n")
    );
    assert!(run(&["chekc"]).err.ends_with("See radishgauge help.\n"));
}

// Guards against a program whose exit codes differ from the library's statuses.
#[test]
fn program_exits_with_the_library_status() {
    let program = env!("CARGO_BIN_EXE_radishgauge");
    let code = |args: &[&str]| {
        let output = Command::new(program).args(args).output().unwrap();
        output.status.code().unwrap()
    };
    assert_eq!(code(&["check", &abay()]), 0);
    assert_eq!(code(&["check", "no-such-directory"]), 1);
    assert_eq!(code(&["check"]), 2);
}

// Guards against a check that stops at the first fault, and against faults
// without a file position.
#[test]
fn check_reports_all_faults() {
    let outcome = run(&["check", &abay()]);
    assert_eq!(outcome.status, ExitStatus::Done);
    assert!(outcome.out.starts_with("accepted: "));
    assert!(
        outcome
            .out
            .contains("3 services, 13 targets, 7 routes, 2 tenants")
    );
    let settings = run(&["check", "--settings", &example("settings.yaml")]);
    assert_eq!(settings.status, ExitStatus::Done);
    let dir = changed_copy("services.yaml", "slots: 20", "slots: 0\n    slot: 1");
    let outcome = run(&["check", path_str(dir.path())]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(
        outcome
            .out
            .contains("services.yaml:5:12: services[0].slots: value not accepted")
    );
    assert!(outcome.out.contains("5 |     slots: 0\n"));
    assert!(outcome.out.ends_with("refused: 2 faults\n"));
    let outcome = run(&["check", path_str(dir.path()), "--json"]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    let report: Value = serde_json::from_str(&outcome.out).unwrap();
    assert_eq!(report["accepted"], false);
    assert_eq!(report["faults"][1]["field"], "services[0].slot");
    assert_eq!(report["faults"][1]["line"], 6);
}

// Guards against a check that accepts a set without the targets of the previous
// one, although `--previous` is given.
#[test]
fn check_compares_with_the_previous_set() {
    let dir = changed_copy("services.yaml", "", "");
    fs::write(dir.path().join("services.yaml"), "").unwrap();
    fs::write(dir.path().join("routes.yaml"), "").unwrap();
    assert_eq!(
        run(&["check", path_str(dir.path())]).status,
        ExitStatus::Done
    );
    let outcome = run(&["check", path_str(dir.path()), "--previous", &abay()]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert_eq!(
        outcome
            .out
            .matches("too many targets removed at once")
            .count(),
        3
    );
}

// Guards against a packed set that differs from the files it was packed from.
#[test]
fn diff_shows_changes_of_files_and_packed_sets() {
    let dir = changed_copy("fleet.yaml", "state: in", "state: out");
    let outcome = run(&["diff", &abay(), path_str(dir.path())]);
    assert_eq!(outcome.status, ExitStatus::Done);
    let row = "~  failure domain  addis-bole  state  in -> out";
    assert_eq!(outcome.out.lines().nth(1), Some(row));
    let output = tempfile::tempdir().unwrap();
    run(&[
        "pack",
        &abay(),
        "--revision",
        "1",
        "--output",
        path_str(output.path()),
    ]);
    let outcome = run(&[
        "diff",
        path_str(output.path()),
        path_str(dir.path()),
        "--json",
    ]);
    let diff: Value = serde_json::from_str(&outcome.out).unwrap();
    assert_eq!(diff["changes"][0]["after"], "out");
    assert_eq!(diff["changes"].as_array().unwrap().len(), 1);
    let same = run(&["diff", path_str(output.path()), &abay()]);
    assert_eq!(same.out, "no difference\n");
    assert_eq!(
        run(&["diff", "no-such-directory", &abay()]).status,
        ExitStatus::Refused
    );
}

fn value_files(dir: &Path) -> Vec<PathBuf> {
    let mut files: Vec<PathBuf> = ["part", "page", "bundle"]
        .iter()
        .flat_map(|kind| fs::read_dir(dir.join(kind)).unwrap())
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    files
}

// Guards against a published version that is replaced by one with a lower
// revision, by another one with the same revision, or by one without the
// targets.
#[test]
fn pack_refuses_older_and_conflicting_versions() {
    let output = tempfile::tempdir().unwrap();
    let output = path_str(output.path());
    let pack = |set: &str, revision: &str| {
        run(&[
            "pack",
            set,
            "--revision",
            revision,
            "--output",
            output,
            "--json",
        ])
    };
    let first = pack(&abay(), "7");
    assert_eq!(first.status, ExitStatus::Done, "{}", first.err);
    let report: Value = serde_json::from_str(&first.out).unwrap();
    assert_eq!(report["parts"], 11);
    let again: Value = serde_json::from_str(&pack(&abay(), "7").out).unwrap();
    assert_eq!(again["values_written"], 0);
    let changed_set = changed_copy("fleet.yaml", "state: in", "state: out");
    let changed_set = path_str(changed_set.path());
    for revision in ["6", "7"] {
        let outcome = pack(changed_set, revision);
        assert_eq!(outcome.status, ExitStatus::Refused);
        assert!(
            outcome.err.contains("accepted: greater than 7"),
            "{}",
            outcome.err
        );
    }
    let outcome = pack(&example("cespedes"), "8");
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert_eq!(
        outcome
            .err
            .matches("too many targets removed at once")
            .count(),
        3
    );
    let (revision, set) = read_packed(Path::new(output)).unwrap();
    assert_eq!(revision, 7);
    assert_eq!(
        set.failure_domains.len(),
        load_set(Path::new(&abay())).unwrap().failure_domains.len()
    );
    // One part, one page and one bundle are added. Those of the earlier version
    // stay, because daemons may still be fetching them.
    let before = value_files(Path::new(output));
    assert_eq!(pack(changed_set, "8").status, ExitStatus::Done);
    let after = value_files(Path::new(output));
    assert_eq!(after.len(), before.len() + 3);
    assert!(before.iter().all(|file| after.contains(file)));
}

// Guards against former targets that are lost when `--previous` is a set of
// files, and against a repeated pack that writes different former targets.
#[test]
fn pack_records_former_targets() {
    let output = tempfile::tempdir().unwrap();
    let output = path_str(output.path());
    let pack = |set: &str, revision: &str, previous: &[&str]| {
        let args = ["pack", set, "--revision", revision, "--output", output];
        let outcome = run(&[&args, previous].concat());
        assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.err);
    };
    let renamed = |host: &str| changed_copy("services.yaml", "host: shop-1", host);
    let (second, third) = (renamed("host: shop-21"), renamed("host: shop-31"));
    let (second, third) = (path_str(second.path()), path_str(third.path()));
    pack(&abay(), "1", &[]);
    pack(second, "2", &[]);
    pack(third, "3", &["--previous", second]);
    let history = || {
        let (_, set) = read_packed(Path::new(output)).unwrap();
        let mut services = set.services.into_iter();
        let shop = services.find(|service| service.name == "motif-shop");
        shop.unwrap().former_targets
    };
    let entries = history();
    let entry = |at: usize, host: &str| {
        assert!(entries[at].targets.iter().any(|target| target.host == host));
        entries[at].left_at
    };
    assert_eq!(entries.len(), 2);
    assert_eq!((entry(0, "shop-1"), entry(1, "shop-21")), (2, 3));
    pack(third, "3", &["--previous", second]);
    assert_eq!(history(), entries);
}

// Guards against a damaged version that is overwritten, and with it the former
// targets that it lists.
#[test]
fn pack_does_not_overwrite_a_damaged_version() {
    let output = tempfile::tempdir().unwrap();
    fs::write(output.path().join("root"), "damaged").unwrap();
    let args = [
        "pack",
        &abay(),
        "--revision",
        "1",
        "--output",
        path_str(output.path()),
    ];
    let outcome = run(&args);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(
        outcome.err.contains("the root does not decode"),
        "{}",
        outcome.err
    );
    assert_eq!(fs::read(output.path().join("root")).unwrap(), b"damaged");
    let file = output.path().join("root");
    let args = [
        "pack",
        &abay(),
        "--revision",
        "1",
        "--output",
        path_str(&file),
    ];
    assert_eq!(run(&args).status, ExitStatus::Refused);
}

fn dns_names(path: &Path) -> Vec<String> {
    let bytes = fs::read(path).unwrap();
    let (_, pem) = parse_x509_pem(&bytes).unwrap();
    let certificate = pem.parse_x509().unwrap();
    let names = certificate.subject_alternative_name().unwrap().unwrap();
    let name = |name: &GeneralName| match name {
        GeneralName::DNSName(name) => (*name).to_owned(),
        other => panic!("{other}"),
    };
    names.value.general_names.iter().map(name).collect()
}

// Guards against a certificate with the name of another host or failure domain,
// and against an authority that is replaced while daemons still use its
// certificates.
#[test]
fn certificates_name_host_and_failure_domain() {
    let output = tempfile::tempdir().unwrap();
    let dir = path_str(output.path());
    let outcome = run(&["keys", "--set", &abay(), "--output", dir, "--json"]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.err);
    let reports: Value = serde_json::from_str(&outcome.out).unwrap();
    assert_eq!(reports.as_array().unwrap().len(), 13);
    let certificate = output.path().join("shop-1.pem");
    assert_eq!(
        dns_names(&certificate),
        ["shop-1.addis-bole.radishgauge.internal"]
    );
    let authority = fs::read(output.path().join("ca.pem")).unwrap();
    let before = fs::read(&certificate).unwrap();
    let bytes = authority.clone();
    let (_, pem) = parse_x509_pem(&bytes).unwrap();
    let ca = pem.parse_x509().unwrap();
    let (_, host) = parse_x509_pem(&before).unwrap();
    assert_eq!(host.parse_x509().unwrap().issuer(), ca.subject());

    let kept = run(&["keys", "shop-1.addis-bole", "--output", dir]);
    assert!(kept.out.contains("kept  shop-1"), "{}", kept.out);
    assert_eq!(fs::read(&certificate).unwrap(), before);
    run(&["keys", "shop-1.addis-bole", "--output", dir, "--renew"]);
    assert_ne!(fs::read(&certificate).unwrap(), before);
    run(&["keys", "shop-1.bahir-tana", "--output", dir]);
    assert_eq!(
        dns_names(&certificate),
        ["shop-1.bahir-tana.radishgauge.internal"]
    );
    assert_eq!(fs::read(output.path().join("ca.pem")).unwrap(), authority);

    fs::remove_file(output.path().join("ca.pem")).unwrap();
    let outcome = run(&["keys", "shop-1.bahir-tana", "--output", dir]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(
        outcome.err.contains("accepted: both or none"),
        "{}",
        outcome.err
    );
}

// Guards against private keys that other users of the machine can read.
#[cfg(unix)]
#[test]
fn private_keys_are_accessible_to_owner_only() {
    use std::os::unix::fs::PermissionsExt;
    let output = tempfile::tempdir().unwrap();
    run(&["keys", "a.b", "--output", path_str(output.path())]);
    for name in ["ca.key.pem", "a.key.pem"] {
        let mode = fs::metadata(output.path().join(name))
            .unwrap()
            .permissions()
            .mode();
        assert_eq!(mode & 0o777, 0o600, "{name}");
    }
}
