//! Comparison of two results of one experiment.

use std::fmt::Write;

use anyhow::ensure;

use crate::result::ExperimentResult;

/// Returns a table of the figures of two results with the ratio new/old.
///
/// Figures that only one result has are listed without a ratio.
///
/// # Errors
///
/// Fails if the results are of different experiments.
pub fn table(old: &ExperimentResult, new: &ExperimentResult) -> anyhow::Result<String> {
    ensure!(
        old.experiment == new.experiment,
        "results of different experiments: {} and {}",
        old.experiment,
        new.experiment
    );
    let mut table = String::new();
    if (old.seed, old.quick) != (new.seed, new.quick) {
        table.push_str("note: the runs differ in their seed or in --quick\n");
    }
    let _ = writeln!(
        table,
        "{:<64} {:>14} {:>14} {:>8}",
        "figure", "old", "new", "ratio"
    );
    for (name, before) in &old.figures {
        let _ = match new.figures.get(name) {
            Some(after) if before == after => {
                writeln!(
                    table,
                    "{name:<64} {before:>14.3} {after:>14.3} {:>8.3}",
                    1.0
                )
            }
            Some(after) if *before == 0.0 => {
                writeln!(table, "{name:<64} {before:>14.3} {after:>14.3} {:>8}", "-")
            }
            Some(after) => writeln!(
                table,
                "{name:<64} {before:>14.3} {after:>14.3} {:>8.3}",
                after / before
            ),
            None => writeln!(table, "{name:<64} {before:>14.3} {:>14} {:>8}", "-", "-"),
        };
    }
    for (name, after) in &new.figures {
        if !old.figures.contains_key(name) {
            let _ = writeln!(table, "{name:<64} {:>14} {after:>14.3} {:>8}", "-", "-");
        }
    }
    Ok(table)
}
