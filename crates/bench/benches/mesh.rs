//! The benchmark command. `--help` lists the experiments and options.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match radishgauge_bench::command::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mesh: {error:#}");
            ExitCode::from(2)
        }
    }
}
