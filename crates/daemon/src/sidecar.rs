//! Runs `radishgauged --platform`: the daemon beside a target of the users'
//! platform.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

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

/// The interval at which the settings file is read again.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the daemon until a signal stops it. Metrics are served at the host's
/// address for daemons, on `metrics_port`.
pub fn main(metrics_port: Option<u16>) -> ExitCode {
    let Some(path) = std::env::var_os(PATH_VARIABLE).map(PathBuf::from) else {
        eprintln!(
            "radishgauged: the environment variable {PATH_VARIABLE} is not set; it must contain the path of the settings file"
        );
        return ExitCode::from(REFUSED);
    };
    let settings = match HostSettings::load(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("radishgauged: {fault}");
            return ExitCode::from(REFUSED);
        }
    };
    match run(settings, &path, metrics_port) {
        Ok(StopReport { cut_off: 0 }) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(CUT_OFF),
        Err(error) => {
            eprintln!("radishgauged: cannot start: {error:#}");
            ExitCode::from(CANNOT_START)
        }
    }
}

fn run(settings: HostSettings, path: &Path, metrics_port: Option<u16>) -> Result<StopReport> {
    logs::open(LogLevel::Info)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the control thread")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        let metrics = metrics_port.map(|port| SocketAddr::new(settings.peer_address.ip(), port));
        let mut current = settings.clone();
        let sidecar = Sidecar::open(settings, metrics, Arc::new(SystemClock::start()))?;
        let mut settings_poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => {}
                _ = settings_poll.tick() => {}
            }
            reload_settings(&sidecar, path, &mut current);
        }
        Ok(sidecar.stop().await)
    })
}

/// Reads the settings file and applies it if its settings have changed. The
/// file may change without a signal.
fn reload_settings(sidecar: &Sidecar, path: &Path, current: &mut HostSettings) {
    match HostSettings::load(path) {
        Ok(settings) if settings == *current => {}
        Ok(settings) => {
            events::SETTINGS_RELOADED.emit(format_args!(
                "service={} target={}",
                settings.service, settings.target_address
            ));
            *current = settings.clone();
            sidecar.reload(settings);
        }
        Err(fault) => events::SETTINGS_REFUSED.emit(format_args!("fault={fault}")),
    }
}
