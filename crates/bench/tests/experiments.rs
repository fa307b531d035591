//! The model of torn reads, the comparison of results and the command line.

use radishgauge_bench::command;
use radishgauge_bench::compare;
use radishgauge_bench::result::ExperimentResult;
use radishgauge_bench::torn;
use radishgauge_bench::torn::ReadCheck;
use radishgauge_bench::torn::ReadFault;

const READS: u64 = 500;

fn arguments(line: &str) -> Vec<String> {
    line.split_whitespace().map(Into::into).collect()
}

/// Guards against a simulated platform that never causes a torn read, so that
/// every check would seem to work, and against a digest check that accepts a torn
/// version.
#[test]
fn digest_checks_accept_no_torn_version() {
    for kind in [ReadFault::Moving, ReadFault::Stale] {
        for seed in 1..=5 {
            let count = |check| torn::measure(kind, check, 0.5, READS, seed);
            assert!(count(ReadCheck::None).torn > 0, "{kind:?}, seed {seed}");
            assert_eq!(count(ReadCheck::Digests).torn, 0);
            assert_eq!(count(ReadCheck::DigestsChanged).torn, 0);
        }
    }
}

/// Guards against a check of two roots that misses a version published between
/// its two reads of the root, and against results that credit it with detecting a
/// stale part, which it cannot.
#[test]
fn two_roots_detect_only_moving_versions() {
    let torn = |kind| torn::measure(kind, ReadCheck::TwoRoots, 0.5, READS, 1).torn;
    assert_eq!(torn(ReadFault::Moving), 0);
    assert!(torn(ReadFault::Stale) > 0);
}

/// Guards against faults or extra calls when the probability of a fault is 0.
#[test]
fn reads_without_faults_need_one_attempt() {
    let expected = [33, 34, 33, 5];
    for (check, calls) in ReadCheck::ALL.into_iter().zip(expected) {
        let count = torn::measure(ReadFault::Moving, check, 0.0, READS, 1);
        assert_eq!((count.calls, count.accepted), (calls * READS, READS));
        assert_eq!((count.torn, count.missed), (0, 0));
    }
}

/// Guards against results that differ between runs with the same seed, against a
/// result file that cannot be read, and against an incomplete plot.
#[test]
fn result_files_are_the_same_for_a_seed() {
    let folder = tempfile::tempdir().unwrap();
    let output = folder.path().display();
    command::run(&arguments(&format!(
        "torn --quick --seed 7 --output {output} --bench"
    )))
    .unwrap();
    let read = ExperimentResult::read(&folder.path().join("torn.json")).unwrap();
    assert_eq!(read, torn::run(7, true));
    for curve in &read.curves {
        let plot = folder.path().join(format!("torn-{}.svg", curve.name));
        let text = std::fs::read_to_string(plot).unwrap();
        assert!(text.trim_end().ends_with("</svg>"));
    }
}

/// Guards against ratios of old to new, and against figures that are left out
/// because only one result has them.
#[test]
fn compare_lists_ratios_and_unmatched_figures() {
    let mut old = ExperimentResult::new("torn", 1, false);
    let mut new = old.clone();
    old.figures
        .extend([("both".into(), 2.0), ("gone".into(), 1.0)]);
    new.figures
        .extend([("both".into(), 3.0), ("added".into(), 1.0)]);
    let table = compare::table(&old, &new).unwrap();
    let last = |name| {
        let line = table.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().last().unwrap()
    };
    assert_eq!(last("both"), "1.500");
    assert_eq!((last("gone"), last("added")), ("-", "-"));
    new.experiment = "distribution".into();
    assert!(compare::table(&old, &new).is_err());
}

/// Guards against invalid arguments that are accepted silently.
#[test]
fn invalid_arguments_are_rejected() {
    for line in [
        "nothing",
        "torn --seed x",
        "torn --unknown",
        "distribution --size 5",
        "compare one.json",
        "compare /nonexistent/a.json /nonexistent/b.json",
    ] {
        assert!(command::run(&arguments(line)).is_err(), "{line}");
    }
}
