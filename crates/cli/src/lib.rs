//! The operators' command line.
//!
//! Each sub-command is a module with an options type that implements
//! [`Subcommand`]; [`command::Command`] lists them. Results go to the standard
//! output and error messages to the standard error output, so that programs can
//! read the `--json` output.

use std::ffi::OsString;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;
use gumdrop::ParsingStyle;

pub mod check;
pub mod command;
pub mod demo;
mod demo_fleet;
mod demo_load;
pub mod diff;
pub mod explain;
pub mod help;
pub mod keys;
pub mod operator;
pub mod pack;
pub mod source;
pub mod status;
pub mod table;

use crate::command::Command;

/// The outcome of a command; the discriminant is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The input was refused; nothing was changed.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A daemon or the platform could not be reached.
    Unreachable = 3,
    /// Some daemons did not answer, or a check of the demo failed.
    Partial = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// A failed command: the error and the exit code that reports it.
#[derive(Debug)]
pub struct CommandError {
    /// The exit code of the program.
    pub status: ExitStatus,
    /// The error, printed with its causes on one line.
    pub error: anyhow::Error,
}

impl CommandError {
    /// Returns an error for an invalid command line.
    pub fn usage(text: &str) -> CommandError {
        CommandError {
            status: ExitStatus::Usage,
            error: anyhow::Error::msg(text.to_owned()),
        }
    }

    /// Returns an error for refused input.
    pub fn refused<E>(error: E) -> CommandError
    where
        E: Into<anyhow::Error>,
    {
        CommandError {
            status: ExitStatus::Refused,
            error: error.into(),
        }
    }

    /// Returns an error for a daemon or platform that could not be reached.
    pub fn unreachable<E>(error: E) -> CommandError
    where
        E: Into<anyhow::Error>,
    {
        CommandError {
            status: ExitStatus::Unreachable,
            error: error.into(),
        }
    }
}

// Commands choose the exit code of other I/O errors themselves. Only errors of
// writing the results and of starting the async runtime are converted here.
impl From<io::Error> for CommandError {
    fn from(error: io::Error) -> CommandError {
        CommandError::unreachable(error)
    }
}

/// One sub-command with its parsed options.
pub trait Subcommand {
    /// Returns example command lines, one a line.
    fn example(&self) -> &'static str;

    /// Runs the command and writes its results.
    ///
    /// # Errors
    ///
    /// When the command fails; the error has the exit code.
    fn run(&self, out: &mut dyn Write) -> Result<ExitStatus, CommandError>;
}

/// Distributes mesh configuration: checks, packs and compares sets of files, and
/// queries the state of daemons.
#[derive(Debug, Options)]
struct ProgramOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

/// Parses the arguments, without the program name, and runs the command.
///
/// # Examples
///
/// ```
/// use radishgauge_cli::ExitStatus;
///
/// let mut out = Vec::new();
/// let status = radishgauge_cli::run(vec!["help".into()], &mut out, &mut Vec::new());
/// assert_eq!(status, ExitStatus::Done);
/// assert!(String::from_utf8(out).unwrap().contains("check"));
/// ```
pub fn run(args: Vec<OsString>, out: &mut dyn Write, err: &mut dyn Write) -> ExitStatus {
    let arguments: Result<Vec<String>, OsString> =
        args.into_iter().map(OsString::into_string).collect();
    let result = match &arguments {
        Ok(arguments) => dispatch(arguments, out),
        Err(text) => {
            let text = format!("argument is not UTF-8: {}", text.display());
            Err(CommandError::usage(&text))
        }
    };
    match result {
        Ok(status) => status,
        // The reader closed the output early, as `head` does; this is not an
        // error.
        Err(failure) if is_broken_pipe(&failure.error) => ExitStatus::Done,
        Err(failure) => {
            // A failure of the error output cannot be reported anywhere.
            let _ = writeln!(err, "radishgauge: {:#}", failure.error);
            if failure.status == ExitStatus::Usage {
                let names = Command::command_list().unwrap_or_default();
                let names = names
                    .lines()
                    .filter_map(|line| line.split_whitespace().next());
                let first = arguments
                    .ok()
                    .and_then(|arguments| arguments.into_iter().next());
                let command_name = names
                    .into_iter()
                    .find(|name| Some(*name) == first.as_deref());
                let hint = command_name.map_or("help".to_owned(), |name| format!("help {name}"));
                let _ = writeln!(err, "See radishgauge {hint}.");
            }
            failure.status
        }
    }
}

fn dispatch(args: &[String], out: &mut dyn Write) -> Result<ExitStatus, CommandError> {
    let options = ProgramOptions::parse_args(args, ParsingStyle::AllOptions)
        .map_err(|error| CommandError::usage(&error.to_string()))?;
    if options.version {
        writeln!(out, "radishgauge {}", env!("CARGO_PKG_VERSION"))?;
        return Ok(ExitStatus::Done);
    }
    match &options.command {
        Some(command) if command.help_requested() => {
            help::command_help(command, out)?;
            Ok(ExitStatus::Done)
        }
        Some(command) if !options.help => command.subcommand().run(out),
        _ if options.help => {
            help::program_help(out)?;
            Ok(ExitStatus::Done)
        }
        _ => Err(CommandError::usage("no command given")),
    }
}

fn is_broken_pipe(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<io::Error>();
    error.is_some_and(|error| error.kind() == ErrorKind::BrokenPipe)
}
