//! `radishgauge demo`: runs an example fleet in this process and measures it.
//!
//! While callers send, the demo changes the configuration, takes a failure domain
//! out of service and returns it. It prints the convergence times, the control
//! bytes and the outcomes and response times of calls in each phase.

use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use gumdrop::Options;
use radishgauge_config::load_set;
use radishgauge_daemon::logs;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::DomainState;

use crate::CommandError;
use crate::ExitStatus;
use crate::Subcommand;
use crate::demo_fleet::DemoFleet;
use crate::demo_load::DemoLoad;
use crate::demo_load::KINDS;
use crate::table::table;

/// The phases for which calls are counted: before the failure domain is
/// evacuated, while this takes effect, while the domain is out, and after its
/// return.
const PHASES: [&str; 4] = ["before", "evacuating", "out", "returned"];

/// Runs a fleet of real daemons on loopback, with a simulated platform and
/// simulated targets, and measures it.
#[derive(Debug, Default, Options)]
pub struct DemoOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "the set of the fleet",
        meta = "DIR",
        default = "examples/abay-etchcraft"
    )]
    set: String,
    #[options(
        help = "the failure domain to take out of service",
        meta = "NAME",
        default = "addis-kality"
    )]
    domain: String,
    #[options(
        help = "the length of each phase in seconds",
        meta = "N",
        default = "3"
    )]
    seconds: u64,
}

impl Subcommand for DemoOptions {
    fn example(&self) -> &'static str {
        "radishgauge demo --set examples/cespedes --domain sur-a"
    }

    fn run(&self, out: &mut dyn Write) -> Result<ExitStatus, CommandError> {
        let set = load_set(self.set.as_ref()).map_err(CommandError::refused)?;
        if !set
            .failure_domains
            .iter()
            .any(|domain| domain.name == self.domain)
        {
            let names: Vec<&str> = set
                .failure_domains
                .iter()
                .map(|domain| domain.name.as_str())
                .collect();
            let text = format!(
                "no failure domain {:?}; accepted: {}",
                self.domain,
                names.join(", ")
            );
            return Err(CommandError::usage(&text));
        }
        logs::silence().map_err(CommandError::refused)?;
        let runtime = tokio::runtime::Runtime::new().map_err(CommandError::refused)?;
        let report = runtime
            .block_on(self.measure(set))
            .map_err(CommandError::refused)?;
        write!(out, "{}", report.text)?;
        Ok(if report.passed {
            ExitStatus::Done
        } else {
            ExitStatus::Partial
        })
    }
}

struct DemoReport {
    text: String,
    /// Whether no order ran more than once or was lost, no call was cut off by
    /// the stop, and no request started in the domain during the phase `out`, when
    /// it should be empty.
    passed: bool,
}

impl DemoOptions {
    async fn measure(&self, set: ConfigSet) -> Result<DemoReport> {
        let phase = Duration::from_secs(self.seconds.clamp(1, 60));
        let start_time = Instant::now();
        let mut fleet = DemoFleet::open(set).await?;
        let startup_time = start_time.elapsed();
        let entries = fleet
            .hosts
            .iter()
            .map(|host| host.daemon.callers())
            .collect();
        let load = DemoLoad::spawn(entries, PHASES.len());
        tokio::time::sleep(phase).await;

        fleet.publish(|set| {
            if let Some(route) = set.routes.first_mut() {
                route.timeout_ms += 1;
            }
        });
        let change_times = fleet.converge().await?;

        load.next_phase();
        fleet.publish(|set| set_state(set, &self.domain, DomainState::Out));
        let out_times = fleet.converge().await?;
        let runs_in_force = self.runs_in_domain(&fleet);
        tokio::time::sleep(phase).await;
        load.next_phase();
        let runs_after_phase = self.runs_in_domain(&fleet);
        tokio::time::sleep(phase).await;
        let late_runs = self.runs_in_domain(&fleet) - runs_after_phase;

        load.next_phase();
        fleet.publish(|set| set_state(set, &self.domain, DomainState::In));
        let in_times = fleet.converge().await?;
        tokio::time::sleep(phase).await;
        let (counts, keys) = load.stop().await;
        let measured_time = start_time.elapsed();

        let runs_of = |key: &String| -> u64 {
            fleet
                .hosts
                .iter()
                .map(|host| host.target.runs_of_key(key))
                .sum()
        };
        let extra_runs: u64 = keys.iter().map(|key| runs_of(key).saturating_sub(1)).sum();
        let lost_orders = keys.iter().filter(|key| runs_of(key) == 0).count();
        let mut text = format!(
            "first version in force at all {} daemons after {} ms\n\nCONVERGENCE (ms from publication until in force)\n",
            fleet.hosts.len(),
            startup_time.as_millis()
        );
        let rows = [
            ("change", &change_times),
            ("domain out", &out_times),
            ("domain in", &in_times),
        ];
        let rows: Vec<Vec<String>> = rows
            .iter()
            .map(|(name, times)| convergence_row(name, times))
            .collect();
        text += &table(&["VERSION", "MEDIAN", "LAST"], &rows);
        text += &self.control_text(&fleet, measured_time);
        text += "\nSERVICE\n";
        let mut rows = Vec::new();
        for (name, kinds) in PHASES.iter().zip(&counts) {
            for (kind, counts) in KINDS.iter().zip(kinds) {
                rows.push(vec![
                    (*name).to_owned(),
                    (*kind).to_owned(),
                    counts.answered.to_string(),
                    counts.refused.to_string(),
                    counts.failed.to_string(),
                    format_ms(counts.response_times.value_at_quantile(0.5)),
                    format_ms(counts.response_times.value_at_quantile(0.99)),
                ]);
            }
        }
        let heading = [
            "PHASE", "CALLS", "ANSWERED", "NOT RUN", "FAILED", "P50 MS", "P99 MS",
        ];
        text += &table(&heading, &rows);
        let reports = fleet.stop().await;
        let cut_off: usize = reports.iter().map(|report| report.cut_off).sum();
        text += &format!(
            "\nextra runs of orders: {extra_runs}, lost orders: {lost_orders} (of {0})\n\
             requests started in {1} once its evacuation was in force: {3} in the first {2} s, {late_runs} in the next {2} s (should be 0)\n\
             calls cut off by the graceful stop of all daemons: {cut_off}\n",
            keys.len(),
            self.domain,
            phase.as_secs(),
            runs_after_phase - runs_in_force,
        );
        let passed = extra_runs == 0 && lost_orders == 0 && cut_off == 0 && late_runs == 0;
        Ok(DemoReport { text, passed })
    }

    fn runs_in_domain(&self, fleet: &DemoFleet) -> u64 {
        let hosts = fleet
            .hosts
            .iter()
            .filter(|host| host.failure_domain == self.domain);
        hosts.map(|host| host.target.counts().started).sum()
    }

    fn control_text(&self, fleet: &DemoFleet, measured_time: Duration) -> String {
        let seconds = measured_time.as_secs_f64();
        let mut rates: Vec<f64> = fleet
            .hosts
            .iter()
            .map(|host| {
                let meters = &host.daemon.node().meters;
                let sent = meters.control_sent.load(Ordering::Relaxed);
                sent as f64 / seconds
            })
            .collect();
        rates.sort_by(f64::total_cmp);
        let platform = fleet.platform.counts();
        format!(
            "\nCONTROL BYTES (UDP payload sent by a daemon, startup included)\n\
             median {:.0} B/s, greatest {:.0} B/s; bound 8000 B/s\n\
             platform calls {}, greatest in one second {}\n",
            rates[rates.len() / 2],
            rates[rates.len() - 1],
            platform.calls(),
            platform.peak_rate
        )
    }
}

fn set_state(set: &mut ConfigSet, domain: &str, state: DomainState) {
    for found in set
        .failure_domains
        .iter_mut()
        .filter(|found| found.name == domain)
    {
        found.set_state(state);
    }
}

fn convergence_row(name: &str, times: &[Duration]) -> Vec<String> {
    let mut times = times.to_vec();
    times.sort();
    let text = |time: Option<&Duration>| {
        time.map_or_else(String::new, |time| time.as_millis().to_string())
    };
    vec![
        name.to_owned(),
        text(times.get(times.len() / 2)),
        text(times.last()),
    ]
}

fn format_ms(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1000.0)
}
