//! `radishgauged`: the process of a daemon.

mod sidecar;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use gumdrop::Options;
use radishgauge_config::load_settings;
use radishgauge_daemon::Daemon;
use radishgauge_daemon::DaemonResources;
use radishgauge_daemon::logs;
use radishgauge_schema::settings::DaemonSettings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code when the settings file is invalid or cannot be read.
const REFUSED: u8 = 1;
/// The exit code for invalid command-line arguments.
const USAGE: u8 = 2;
/// The exit code when the daemon cannot start although its settings are valid.
const CANNOT_START: u8 = 3;
/// The exit code of a stop that interrupted calls at the stop deadline.
const CUT_OFF: u8 = 4;

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "the settings file (YAML)", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(
        help = "run beside a target of the users' platform, with the settings file that the platform provides"
    )]
    platform: bool,
    #[options(
        help = "with --platform: serve metrics on the host's address and this port",
        meta = "PORT"
    )]
    metrics_port: Option<u16>,
    #[options(
        help = "number of threads for sessions and calls; 0 for one per core",
        meta = "N"
    )]
    threads: usize,
}

const EXAMPLE: &str = "\
Example:
  radishgauged --settings /etc/radishgauge/host.yaml
  radishgauged --platform --metrics-port 9464

SIGTERM and SIGINT stop the daemon gracefully: it refuses new calls and finishes
those under way.

Exit codes: 0 stopped, 1 invalid settings, 2 invalid arguments, 3 cannot start,
4 stopped, but calls were interrupted at the stop deadline.";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match DaemonOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!(
                "radishgauged: {error}\n\n{}\n\n{EXAMPLE}",
                DaemonOptions::usage()
            );
            return ExitCode::from(USAGE);
        }
    };
    if options.help {
        println!(
            "Usage: radishgauged --settings FILE\n\n{}\n\n{EXAMPLE}",
            DaemonOptions::usage()
        );
        return ExitCode::SUCCESS;
    }
    if options.version {
        println!("radishgauged {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if options.platform {
        return sidecar::main(options.metrics_port);
    }
    let Some(path) = &options.settings else {
        eprintln!("radishgauged: --settings is required\n\n{EXAMPLE}");
        return ExitCode::from(USAGE);
    };
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(REFUSED);
        }
    };
    match run(&settings, options.threads) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut_off) => {
            eprintln!("radishgauged: {cut_off} calls were cut off at the stop deadline");
            ExitCode::from(CUT_OFF)
        }
        Err(error) => {
            eprintln!("radishgauged: cannot start: {error:#}");
            ExitCode::from(CANNOT_START)
        }
    }
}

fn run(settings: &DaemonSettings, threads: usize) -> Result<usize> {
    logs::open(settings.telemetry.clone().unwrap_or_default().log_level())?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if threads > 0 {
        builder.worker_threads(threads);
    }
    let runtime = builder
        .enable_all()
        .build()
        .context("start the traffic threads")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let daemon = Daemon::open(settings, DaemonResources::of_process()).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.stop_requested() => {}
        }
        Ok(daemon.begin_stop().finish().await.cut_off)
    })
}
