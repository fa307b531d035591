//! The list of sub-commands.

use gumdrop::Options;

use crate::Subcommand;
use crate::check::CheckOptions;
use crate::demo::DemoOptions;
use crate::diff::DiffOptions;
use crate::explain::ExplainOptions;
use crate::help::HelpOptions;
use crate::keys::KeysOptions;
use crate::pack::PackOptions;
use crate::status::StatusOptions;

/// A sub-command with its options.
#[derive(Debug, Options)]
pub enum Command {
    /// Check a set of configuration files or a settings file.
    #[options(help = "check a set of configuration files or a settings file")]
    Check(CheckOptions),
    /// Show the differences between two sets.
    #[options(help = "show the differences between two sets")]
    Diff(DiffOptions),
    /// Check a set and write it in the platform's format.
    #[options(help = "check a set and write it in the platform's format")]
    Pack(PackOptions),
    /// Create the certificates of the daemons.
    #[options(help = "create the certificates of the daemons")]
    Keys(KeysOptions),
    /// Run an example fleet in this process and measure it.
    #[options(help = "run an example fleet in this process and measure it")]
    Demo(DemoOptions),
    /// Show which versions daemons have in force.
    #[options(help = "show which versions daemons have in force")]
    Status(StatusOptions),
    /// Explain how a daemon routes a call or chooses its version.
    #[options(help = "explain how a daemon routes a call or chooses its version")]
    Explain(ExplainOptions),
    /// Print the help of the program or of a command.
    #[options(help = "print the help of the program or of a command")]
    Help(HelpOptions),
}

impl Command {
    /// Returns the options of the command that was given.
    pub fn subcommand(&self) -> &dyn Subcommand {
        match self {
            Command::Check(options) => options,
            Command::Diff(options) => options,
            Command::Pack(options) => options,
            Command::Keys(options) => options,
            Command::Demo(options) => options,
            Command::Status(options) => options,
            Command::Explain(options) => options,
            Command::Help(options) => options,
        }
    }
}
