//! `radishgauge pack`: checks a set and writes it in the platform's format.

use std::io::ErrorKind;
use std::io::Write;
use std::path::Path;

use anyhow::Context;
use anyhow::anyhow;
use gumdrop::Options;
use radishgauge_config::PackedError;
use radishgauge_config::PackedSet;
use radishgauge_config::load_set;
use radishgauge_config::pack;
use radishgauge_config::read_packed;
use radishgauge_config::read_root;
use radishgauge_config::with_former_targets;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::IndexRoot;
use serde::Serialize;

use crate::CommandError;
use crate::ExitStatus;
use crate::Subcommand;
use crate::check::refusals;
use crate::source::open_set;
use crate::table::table;

/// Checks a set and writes it as the values that the platform publishes.
#[derive(Debug, Default, Options)]
pub struct PackOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the directory of the set")]
    set: Option<String>,
    #[options(
        help = "the revision, greater than that of every earlier version",
        meta = "N"
    )]
    revision: Option<u64>,
    #[options(help = "the directory that the platform publishes", meta = "DIR")]
    output: Option<String>,
    #[options(
        help = "refuse the removal of too many targets since this set, instead of since the \
                version in the output; the former targets of both are kept",
        meta = "DIR"
    )]
    previous: Option<String>,
    #[options(help = "print JSON")]
    json: bool,
}

/// The result of packing, as `--json` prints it.
#[derive(Debug, Serialize)]
struct PackReport {
    revision: u64,
    root_digest: String,
    parts: usize,
    values_written: usize,
    bytes_written: usize,
    output: String,
}

impl Subcommand for PackOptions {
    fn example(&self) -> &'static str {
        "radishgauge pack examples/abay-etchcraft --revision 12 --output platform"
    }

    fn run(&self, out: &mut dyn Write) -> Result<ExitStatus, CommandError> {
        let Some(set) = &self.set else {
            return Err(CommandError::usage("give the directory of the set"));
        };
        let Some(revision) = self.revision.filter(|revision| *revision > 0) else {
            let text = "give --revision N, a number greater than that of every earlier version";
            return Err(CommandError::usage(text));
        };
        let Some(output) = &self.output else {
            let text = "give --output DIR, the directory that the platform publishes";
            return Err(CommandError::usage(text));
        };
        let set = load_set(Path::new(set)).map_err(CommandError::refused)?;
        let root = none_if_absent(read_root(Path::new(output)), Path::new(output))?;
        let (previous, published) = match &self.previous {
            // The output may be damaged; then only the former targets of
            // `--previous` are kept.
            Some(previous) => (
                Some(open_set(previous)?),
                read_published(Path::new(output)).ok(),
            ),
            None => (None, Some(read_published(Path::new(output))?)),
        };
        let published = published.flatten();
        // A set of YAML files has no former targets, so those of the version in
        // the output are kept too.
        let earlier = published.iter().chain(&previous);
        let set = earlier.fold(set, |set, earlier| {
            with_former_targets(&set, earlier, revision)
        });
        let packed = pack(&set, revision);
        check_revision(&packed, root, output)?;
        let previous = if self.previous.is_some() {
            previous
        } else {
            published
        };
        let refused = refusals(&set, previous.as_ref(), revision);
        if !refused.is_empty() {
            return Err(CommandError::refused(anyhow!(
                "the set is refused\n{}",
                refused.join("\n")
            )));
        }
        let written = packed
            .write_to(Path::new(output))
            .with_context(|| format!("cannot write to {output}"))
            .map_err(CommandError::unreachable)?;
        let report = PackReport {
            revision,
            root_digest: packed.root_digest().to_string(),
            parts: packed.parts().count(),
            values_written: written.values,
            bytes_written: written.bytes,
            output: output.clone(),
        };
        if self.json {
            let text = serde_json::to_string_pretty(&report).map_err(CommandError::refused)?;
            writeln!(out, "{text}")?;
        } else {
            let row = vec![
                report.revision.to_string(),
                report.root_digest,
                report.parts.to_string(),
                report.values_written.to_string(),
                report.bytes_written.to_string(),
            ];
            let heading = [
                "REVISION",
                "ROOT DIGEST",
                "PARTS",
                "VALUES WRITTEN",
                "BYTES WRITTEN",
            ];
            write!(out, "{}", table(&heading, &[row]))?;
        }
        Ok(ExitStatus::Done)
    }
}

// Packing the same version again writes the same values, so the command may be
// repeated after a failure. Any other content needs a greater revision.
fn check_revision(
    packed: &PackedSet,
    root: Option<IndexRoot>,
    output: &str,
) -> Result<(), CommandError> {
    let Some(root) = root else {
        return Ok(());
    };
    let revision = packed.index().revision();
    let IndexRoot { revision: last, .. } = root;
    if revision > last || packed.index().root() == root {
        return Ok(());
    }
    Err(CommandError::refused(anyhow!(
        "--revision; found: {revision}; accepted: greater than {last}, the revision in {output}"
    )))
}

fn read_published(output: &Path) -> Result<Option<ConfigSet>, CommandError> {
    let packed = none_if_absent(read_packed(output), output)?;
    Ok(packed.map(|(_, set)| set))
}

fn none_if_absent<T>(
    result: Result<T, PackedError>,
    output: &Path,
) -> Result<Option<T>, CommandError> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(PackedError::Read { key, error })
            if key == "root" && error.kind() == ErrorKind::NotFound =>
        {
            Ok(None)
        }
        Err(error) => {
            let context = format!(
                "cannot read the version in {}; with --previous only its root must be readable",
                output.display()
            );
            Err(CommandError::refused(anyhow!(error).context(context)))
        }
    }
}
