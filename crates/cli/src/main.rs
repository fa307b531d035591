//! The command line program `radishgauge`.

use std::env;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = env::args_os().skip(1).collect();
    radishgauge_cli::run(args, &mut io::stdout().lock(), &mut io::stderr().lock()).into()
}
