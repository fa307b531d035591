//! `radishgauge diff`: shows the differences between two sets.

use std::io::Write;

use gumdrop::Options;
use radishgauge_config::ChangeKind;
use radishgauge_config::SetChange;
use radishgauge_config::compare;

use crate::CommandError;
use crate::ExitStatus;
use crate::Subcommand;
use crate::source::open_set;
use crate::table::table;

/// Shows entries that were added (+) or removed (-) and fields that differ (~).
#[derive(Debug, Default, Options)]
pub struct DiffOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the older and the newer set (files or packed)")]
    sets: Vec<String>,
    #[options(help = "print JSON")]
    json: bool,
}

impl Subcommand for DiffOptions {
    fn example(&self) -> &'static str {
        "radishgauge diff platform examples/abay-etchcraft"
    }

    fn run(&self, out: &mut dyn Write) -> Result<ExitStatus, CommandError> {
        let [old, new] = self.sets.as_slice() else {
            let text = "give two directories, the older set and the newer one";
            return Err(CommandError::usage(text));
        };
        let diff = compare(&open_set(old)?, &open_set(new)?);
        if self.json {
            let text = serde_json::to_string_pretty(&diff).map_err(CommandError::refused)?;
            writeln!(out, "{text}")?;
            return Ok(ExitStatus::Done);
        }
        if diff.is_empty() {
            writeln!(out, "no difference")?;
            return Ok(ExitStatus::Done);
        }
        let rows: Vec<Vec<String>> = diff.changes.iter().map(change_row).collect();
        let heading = ["", "ENTRY", "NAME", "FIELD", "VALUE"];
        write!(out, "{}", table(&heading, &rows))?;
        for drop in &diff.drops {
            writeln!(out, "warning: {drop}")?;
        }
        Ok(ExitStatus::Done)
    }
}

fn change_row(change: &SetChange) -> Vec<String> {
    let SetChange { before, after, .. } = change;
    let value = match change.kind {
        ChangeKind::Added => after.clone(),
        ChangeKind::Removed => before.clone(),
        ChangeKind::Changed => format!("{before} -> {after}"),
    };
    vec![
        change.kind.sign().to_string(),
        change.entry.clone(),
        change.name.to_string(),
        change.field.to_string(),
        value,
    ]
}
