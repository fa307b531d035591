//! `radishgauge help`: prints the usage, options and examples of each command.

use std::io;
use std::io::Write;

use gumdrop::Options;

use crate::CommandError;
use crate::ExitStatus;
use crate::ProgramOptions;
use crate::Subcommand;
use crate::command::Command;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  input refused
  2  wrong usage
  3  a daemon or the platform could not be reached
  4  some daemons did not answer, or a check of the demo failed";

/// Prints the help of the program or of one command.
#[derive(Debug, Options)]
pub struct HelpOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the command; without it, the help of the program")]
    command: Option<String>,
}

impl Subcommand for HelpOptions {
    fn example(&self) -> &'static str {
        "radishgauge help pack"
    }

    fn run(&self, out: &mut dyn Write) -> Result<ExitStatus, CommandError> {
        let Some(name) = &self.command else {
            program_help(out)?;
            return Ok(ExitStatus::Done);
        };
        let command = Command::parse_args_default(&[name.as_str()])
            .map_err(|error| CommandError::usage(&error.to_string()))?;
        command_help(&command, out)?;
        Ok(ExitStatus::Done)
    }
}

/// Writes the commands, global options and exit codes of the program.
pub(crate) fn program_help(out: &mut dyn Write) -> io::Result<()> {
    let commands = ProgramOptions::command_list().unwrap_or_default();
    writeln!(out, "Usage: radishgauge [OPTIONS] COMMAND\n")?;
    writeln!(
        out,
        "{}\n\nCommands:\n{commands}\n",
        ProgramOptions::usage()
    )?;
    writeln!(out, "{EXIT_CODES}\n")?;
    writeln!(out, "Example:\n  radishgauge check examples/abay-etchcraft")
}

/// Writes the usage, options and examples of a command.
pub(crate) fn command_help(command: &Command, out: &mut dyn Write) -> io::Result<()> {
    let name = command.command_name().unwrap_or_default();
    writeln!(out, "Usage: radishgauge {name} [OPTIONS] [ARGUMENTS]\n")?;
    writeln!(out, "{}\n\nExample:", command.self_usage())?;
    for line in command.subcommand().example().lines() {
        writeln!(out, "  {line}")?;
    }
    Ok(())
}
