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
    /// Show what differs between two sets.
    #[options(help = "show what differs between two sets")]
    Diff(DiffOptions),
    /// Pack a set for the platform.
    #[options(help = "pack a set for the platform")]
    Pack(PackOptions),
    /// Make the certificates of the daemons.
    #[options(help = "make the certificates of the daemons")]
    Keys(KeysOptions),
    /// Run an example fleet in this process.
    #[options(help = "run an example fleet in this process and measure it")]
    Demo(DemoOptions),
    /// Show which versions daemons have in force.
    #[options(help = "show which versions daemons have in force")]
    Status(StatusOptions),
    /// Explain how a daemon routes a call or chose its version.
    #[options(help = "explain how a daemon routes a call or chose its version")]
    Explain(ExplainOptions),
    /// Explain a command.
    #[options(help = "explain a command")]
    Help(HelpOptions),
}

impl Command {
    /// Returns the command to run.
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
