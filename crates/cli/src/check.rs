//! `radishgauge check`: reports all faults of a set or a settings file.

use std::io::Write;
use std::path::Path;

use gumdrop::Options;
use radishgauge_config::AcceptVerdict;
use radishgauge_config::FaultList;
use radishgauge_config::SetDiff;
use radishgauge_config::accept;
use radishgauge_config::compare;
use radishgauge_config::load_set;
use radishgauge_config::load_settings;
use radishgauge_config::pack;
use radishgauge_schema::config::ConfigSet;
use serde::Serialize;

use crate::CommandError;
use crate::ExitStatus;
use crate::Subcommand;
use crate::source::open_set;

/// Reports all faults of a set of configuration files, or of a settings file.
#[derive(Debug, Default, Options)]
pub struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the directory of the set")]
    set: Option<String>,
    #[options(
        help = "check a daemon's settings file instead of a set",
        meta = "FILE"
    )]
    settings: Option<String>,
    #[options(
        help = "also refuse the removal of too many targets since this set (files or packed)",
        meta = "DIR"
    )]
    previous: Option<String>,
    #[options(help = "print JSON")]
    json: bool,
}

/// The result of a check, as `--json` prints it.
#[derive(Debug, Serialize)]
struct CheckReport {
    accepted: bool,
    summary: String,
    faults: FaultList,
    refused: Vec<String>,
}

impl Subcommand for CheckOptions {
    fn example(&self) -> &'static str {
        "radishgauge check examples/abay-etchcraft\n\
         radishgauge check --settings examples/settings.yaml --json"
    }

    fn run(&self, out: &mut dyn Write) -> Result<ExitStatus, CommandError> {
        let report = match (&self.set, &self.settings) {
            (Some(set), None) => self.check_set(set)?,
            (None, Some(_)) if self.previous.is_some() => {
                return Err(CommandError::usage(
                    "--previous needs a set, not --settings",
                ));
            }
            (None, Some(settings)) => check_settings(settings),
            _ => {
                let text = "give either the directory of a set or --settings FILE";
                return Err(CommandError::usage(text));
            }
        };
        if self.json {
            let text = serde_json::to_string_pretty(&report).map_err(CommandError::refused)?;
            writeln!(out, "{text}")?;
        } else {
            report.write(out)?;
        }
        Ok(match report.accepted {
            true => ExitStatus::Done,
            false => ExitStatus::Refused,
        })
    }
}

impl CheckOptions {
    fn check_set(&self, dir: &str) -> Result<CheckReport, CommandError> {
        let previous = self.previous.as_deref().map(open_set).transpose()?;
        let set = match load_set(Path::new(dir)) {
            Ok(set) => set,
            Err(faults) => return Ok(CheckReport::with_faults(faults)),
        };
        // No revision is given here. The greatest one passes the check that former
        // targets left no later than the version.
        let refused = refusals(&set, previous.as_ref(), u64::MAX);
        Ok(CheckReport {
            accepted: refused.is_empty(),
            summary: format!("{dir}: {}", set_summary(&set)),
            faults: FaultList::default(),
            refused,
        })
    }
}

fn check_settings(file: &str) -> CheckReport {
    match load_settings(Path::new(file)) {
        Ok(settings) => CheckReport {
            accepted: true,
            summary: format!(
                "{file}: host {} of failure domain {}",
                settings.host, settings.failure_domain
            ),
            faults: FaultList::default(),
            refused: Vec::new(),
        },
        Err(faults) => CheckReport::with_faults(faults),
    }
}

impl CheckReport {
    fn with_faults(faults: FaultList) -> CheckReport {
        CheckReport {
            accepted: false,
            summary: pluralize(faults.faults().len(), "fault"),
            faults,
            refused: Vec::new(),
        }
    }

    fn write(&self, out: &mut dyn Write) -> std::io::Result<()> {
        if !self.faults.faults().is_empty() {
            writeln!(out, "{}\n", self.faults)?;
        }
        for reason in &self.refused {
            writeln!(out, "{reason}")?;
        }
        let verdict = if self.accepted { "accepted" } else { "refused" };
        writeln!(out, "{verdict}: {}", self.summary)
    }
}

/// Returns the reasons against packing a set without faults as a revision;
/// empty if it is accepted.
pub(crate) fn refusals(
    set: &ConfigSet,
    previous: Option<&ConfigSet>,
    revision: u64,
) -> Vec<String> {
    // The length of a part is known only once it is packed.
    let packed = pack(set, revision);
    let mut refused = match accept(&packed.index().root(), packed.parts()) {
        AcceptVerdict::Accepted => Vec::new(),
        verdict => verdict.reasons(),
    };
    if let Some(previous) = previous {
        let SetDiff { drops, .. } = compare(previous, set);
        refused.extend(drops.iter().map(|drop| drop.to_string()));
    }
    refused
}

/// Returns the number of entries of each kind in one line.
pub(crate) fn set_summary(set: &ConfigSet) -> String {
    let targets = set
        .services
        .iter()
        .map(|service| service.targets.len())
        .sum();
    [
        pluralize(set.regions.len(), "region"),
        pluralize(set.failure_domains.len(), "failure domain"),
        pluralize(set.services.len(), "service"),
        pluralize(targets, "target"),
        pluralize(set.routes.len(), "route"),
        pluralize(set.tenants.len(), "tenant"),
    ]
    .join(", ")
}

fn pluralize(number: usize, noun: &str) -> String {
    match number {
        1 => format!("1 {noun}"),
        _ => format!("{number} {noun}s"),
    }
}
