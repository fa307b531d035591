//! The command line of the benchmark.

use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::bail;
use gumdrop::Options;

use crate::compare;
use crate::distribution;
use crate::overload;
use crate::plot;
use crate::result::ExperimentResult;
use crate::torn;

// `cargo bench` runs the bench target in the package's directory. Relative paths
// are resolved from the workspace, where the command is normally entered.
const WORKSPACE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// The options of the benchmark command.
#[derive(Debug, Options)]
pub struct BenchOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The flag that `cargo bench` passes to every bench target.
    #[options(no_short, help = "accepted because cargo bench passes it")]
    pub bench: bool,
    /// The experiment to run, or the comparison.
    #[options(command)]
    pub command: Option<BenchCommand>,
}

/// An experiment, or the comparison of two results.
#[derive(Debug, Options)]
pub enum BenchCommand {
    /// Measures convergence and traffic of a virtual fleet.
    #[options(help = "convergence, control bytes and platform calls by fleet size")]
    Distribution(DistributionOptions),
    /// Measures goodput and retries under load beyond capacity.
    #[options(help = "goodput, response times and retries under load beyond capacity")]
    Overload(RunOptions),
    /// Measures torn reads with and without consistency checks.
    #[options(help = "platform calls and torn reads for each consistency check")]
    Torn(RunOptions),
    /// Prints the ratios between two result files.
    #[options(help = "print the ratio of each figure of two result files")]
    Compare(CompareOptions),
}

/// The options of `overload` and `torn`.
#[derive(Debug, Options)]
pub struct RunOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The flag that `cargo bench` passes to every bench target.
    #[options(no_short, help = "accepted because cargo bench passes it")]
    pub bench: bool,
    /// The seed of all random choices.
    #[options(default = "1", meta = "N", help = "seed of all random choices")]
    pub seed: u64,
    /// Whether to run a smaller experiment.
    #[options(help = "run a smaller experiment")]
    pub quick: bool,
    /// The directory for result files and plots, relative to the workspace.
    #[options(
        default = "bench-results",
        meta = "DIR",
        help = "directory for results, relative to the workspace"
    )]
    pub output: PathBuf,
}

/// The options of `distribution`.
#[derive(Debug, Options)]
pub struct DistributionOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The flag that `cargo bench` passes to every bench target.
    #[options(no_short, help = "accepted because cargo bench passes it")]
    pub bench: bool,
    /// The seed of all random choices.
    #[options(default = "1", meta = "N", help = "seed of all random choices")]
    pub seed: u64,
    /// Whether to run a smaller experiment.
    #[options(help = "run a smaller experiment")]
    pub quick: bool,
    /// The directory for result files and plots, relative to the workspace.
    #[options(
        default = "bench-results",
        meta = "DIR",
        help = "directory for results, relative to the workspace"
    )]
    pub output: PathBuf,
    /// The number of hosts of each simulated fleet.
    #[options(
        meta = "HOSTS",
        help = "hosts of a fleet, at least 6; may be repeated (60 and 600; with --quick 60)"
    )]
    pub size: Vec<usize>,
}

/// The options of `compare`.
#[derive(Debug, Options)]
pub struct CompareOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The flag that `cargo bench` passes to every bench target.
    #[options(no_short, help = "accepted because cargo bench passes it")]
    pub bench: bool,
    /// The result files to compare: the old one and the new one.
    #[options(free, help = "OLD.json NEW.json")]
    pub files: Vec<PathBuf>,
}

/// Runs the command with its arguments, without the program's name.
///
/// # Errors
///
/// Fails if an argument is unknown or invalid, or if a file cannot be read or
/// written.
pub fn run(arguments: &[String]) -> anyhow::Result<()> {
    let options = BenchOptions::parse_args_default(arguments)?;
    let help = options.help_requested();
    let Some(command) = options.command.as_ref().filter(|_| !help) else {
        let usage = options.self_usage();
        match options.command.as_ref() {
            Some(command) => println!("{}", command.self_usage()),
            None => {
                println!("Usage: mesh EXPERIMENT [OPTIONS] | compare OLD.json NEW.json\n\n{usage}");
                println!("\nCommands:\n{}", BenchCommand::usage());
            }
        }
        return Ok(());
    };
    match command {
        BenchCommand::Distribution(options) => {
            let sizes: &[usize] = match options.size.as_slice() {
                [] if options.quick => &[60],
                [] => &[60, 600],
                sizes => sizes,
            };
            if let Some(size) = sizes.iter().find(|size| **size < 6) {
                bail!("--size {size}: a fleet has at least 6 hosts");
            }
            let result = distribution::run(options.seed, options.quick, sizes);
            finish(&result, &options.output)
        }
        BenchCommand::Overload(options) => {
            let result = overload::run(options.seed, options.quick);
            finish(&result, &options.output)
        }
        BenchCommand::Torn(options) => {
            let result = torn::run(options.seed, options.quick);
            finish(&result, &options.output)
        }
        BenchCommand::Compare(options) => {
            let [old, new] = options.files.as_slice() else {
                bail!("compare takes two files, OLD.json and NEW.json");
            };
            let old = ExperimentResult::read(&from_workspace(old))?;
            let new = ExperimentResult::read(&from_workspace(new))?;
            print!("{}", compare::table(&old, &new)?);
            Ok(())
        }
    }
}

fn from_workspace(path: &Path) -> PathBuf {
    Path::new(WORKSPACE).join(path)
}

fn finish(result: &ExperimentResult, output: &Path) -> anyhow::Result<()> {
    let folder = from_workspace(output);
    std::fs::create_dir_all(&folder)
        .with_context(|| format!("cannot create {}", folder.display()))?;
    result.write(&folder)?;
    for curve in &result.curves {
        plot::draw(&result.experiment, curve, &folder)?;
    }
    print!("{}", result.table());
    eprintln!("results are in {}", output.display());
    Ok(())
}
