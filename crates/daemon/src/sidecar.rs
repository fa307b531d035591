//! `radishgauged --platform`: the daemon beside a target of the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use anyhow::Result;
use radishgauge_events::events;
use radishgauge_events::logs;
use radishgauge_net::clock::SystemClock;
use radishgauge_platform::HostSettings;
use radishgauge_platform::settings::PATH_VARIABLE;
use radishgauge_schema::settings::LogLevel;
use radishgauge_sidecar::Sidecar;
use radishgauge_sidecar::StopReport;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::CANNOT_START;
use crate::CUT_OFF;
use crate::REFUSED;

/// Runs until a signal asks for the end.
pub fn main() -> ExitCode {
    let Some(path) = std::env::var_os(PATH_VARIABLE).map(PathBuf::from) else {
        eprintln!("radishgauged: the variable {PATH_VARIABLE} names no settings file");
        return ExitCode::from(REFUSED);
    };
    let settings = match HostSettings::load(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("radishgauged: {fault}");
            return ExitCode::from(REFUSED);
        }
    };
    match run(settings, path) {
        Ok(StopReport { cut_off: 0 }) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(CUT_OFF),
        Err(error) => {
            eprintln!("radishgauged: cannot start: {error:#}");
            ExitCode::from(CANNOT_START)
        }
    }
}

fn run(settings: HostSettings, path: PathBuf) -> Result<StopReport> {
    logs::open(LogLevel::Info)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the control thread")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        let sidecar = Sidecar::open(settings, Arc::new(SystemClock::start()))?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => reload_settings(&path),
            }
        }
        Ok(sidecar.stop().await)
    })
}

fn reload_settings(path: &std::path::Path) {
    match HostSettings::load(path) {
        Ok(settings) => events::SETTINGS_RELOADED.emit(format_args!(
            "service={} target={}",
            settings.service, settings.target
        )),
        Err(fault) => events::SETTINGS_REFUSED.emit(format_args!("fault={fault}")),
    }
}
