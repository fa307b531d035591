//! `radishgauge status`: shows which versions daemons have in force, and why
//! some daemons lag.

use std::fs;
use std::io;
use std::io::Write;
use std::iter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::anyhow;
use gumdrop::Options;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::CommandError;
use crate::ExitStatus;
use crate::Subcommand;
use crate::operator;
use crate::table::table;

/// The most concurrent requests; more connections could exceed the common limit
/// of 1024 open files.
const MAX_CONCURRENT_REQUESTS: usize = 512;

/// Queries daemons concurrently for their version in force and counters.
#[derive(Debug, Default, Options)]
pub struct StatusOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "operator address of a daemon; may be repeated",
        meta = "IP:PORT"
    )]
    daemon: Vec<SocketAddr>,
    #[options(help = "a file with one operator address a line", meta = "FILE")]
    file: Option<String>,
    #[options(
        help = "time limit of the request to each daemon in ms, 1 to 60000 (default 2000)",
        meta = "N"
    )]
    timeout_ms: Option<u64>,
    #[options(help = "print JSON")]
    json: bool,
}

impl Subcommand for StatusOptions {
    fn example(&self) -> &'static str {
        "radishgauge status --daemon 127.0.0.1:7003 --daemon 127.0.0.2:7003\n\
         radishgauge status --file daemons.txt --json"
    }

    fn run(&self, out: &mut dyn Write) -> Result<ExitStatus, CommandError> {
        let limit = operator::time_limit(self.timeout_ms)?;
        let daemons = self.addresses()?;
        let answers = operator::block_on(fetch_status_pages(&daemons, limit))?;
        let report = FleetReport::new(daemons.into_iter().zip(answers));
        if self.json {
            let text = serde_json::to_string_pretty(&report).map_err(CommandError::refused)?;
            writeln!(out, "{text}")?;
        } else {
            report.write(out)?;
        }
        let summary = &report.summary;
        Ok(match summary.answered {
            0 => ExitStatus::Unreachable,
            answered if answered < summary.daemons => ExitStatus::Partial,
            _ => ExitStatus::Done,
        })
    }
}

impl StatusOptions {
    /// Returns the addresses without duplicates, in the order given.
    fn addresses(&self) -> Result<IndexSet<SocketAddr>, CommandError> {
        let mut daemons: IndexSet<SocketAddr> = self.daemon.iter().copied().collect();
        if let Some(file) = &self.file {
            daemons.extend(read_addresses(file).map_err(CommandError::refused)?);
        }
        if daemons.is_empty() {
            return Err(CommandError::usage(
                "give --daemon IP:PORT, or --file FILE with addresses",
            ));
        }
        Ok(daemons)
    }
}

/// Reads addresses from a file; empty lines and lines that start with `#` are
/// skipped.
fn read_addresses(file: &str) -> Result<Vec<SocketAddr>> {
    let text = fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    text.lines()
        .map(str::trim)
        .enumerate()
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
        .map(|(index, line)| {
            line.parse()
                .map_err(|_| anyhow!("{file}:{}: {line:?} is not IP:PORT", index + 1))
        })
        .collect()
}

async fn fetch_status_pages(daemons: &IndexSet<SocketAddr>, limit: Duration) -> Vec<Result<Value>> {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    let mut requests = JoinSet::new();
    for (index, daemon) in daemons.iter().copied().enumerate() {
        let permits = Arc::clone(&permits);
        requests.spawn(async move {
            // The semaphore is never closed.
            let _permit = permits.acquire_owned().await;
            (index, operator::fetch_page(daemon, "/status", limit).await)
        });
    }
    let mut answers = requests.join_all().await;
    answers.sort_by_key(|(index, _)| *index);
    answers.into_iter().map(|(_, answer)| answer).collect()
}

/// The fields of a daemon's status page that the report uses.
#[derive(Debug, Deserialize)]
struct StatusPage {
    host: String,
    failure_domain: String,
    revision: u64,
    source: String,
    age_ms: u64,
    took_ms: u64,
    unconfirmed: bool,
    refused_revision: u64,
    refused_reasons: Vec<String>,
    roles: Vec<String>,
    stopping: bool,
    meters: IndexMap<String, u64>,
}

/// The state of one daemon, as `--json` prints it.
#[derive(Debug, Serialize)]
struct DaemonReport {
    daemon: SocketAddr,
    /// The difference to the newest revision in force at any daemon that
    /// answered.
    lag: Option<u64>,
    reasons: Vec<String>,
    /// The status page with all its fields.
    status: Option<Value>,
    #[serde(skip)]
    page: Option<StatusPage>,
}

/// Totals over all daemons.
#[derive(Debug, Serialize)]
struct FleetSummary {
    daemons: usize,
    answered: usize,
    newest_revision: u64,
    at_newest: usize,
    /// Over the daemons at the newest revision, as is `longest_took_ms`.
    median_took_ms: Option<u64>,
    longest_took_ms: Option<u64>,
}

/// The report, as `--json` prints it.
#[derive(Debug, Serialize)]
struct FleetReport {
    daemons: Vec<DaemonReport>,
    summary: FleetSummary,
}

impl FleetReport {
    fn new<I>(answers: I) -> FleetReport
    where
        I: Iterator<Item = (SocketAddr, Result<Value>)>,
    {
        let mut daemons: Vec<DaemonReport> = answers.map(DaemonReport::new).collect();
        let pages = daemons.iter().filter_map(|daemon| daemon.page.as_ref());
        let newest = pages.clone().map(|page| page.revision).max().unwrap_or(0);
        let mut times_ms: Vec<u64> = pages
            .clone()
            .filter(|page| page.revision == newest && newest > 0)
            .map(|page| page.took_ms)
            .collect();
        times_ms.sort_unstable();
        let summary = FleetSummary {
            daemons: daemons.len(),
            answered: pages.count(),
            newest_revision: newest,
            at_newest: times_ms.len(),
            median_took_ms: times_ms.get(times_ms.len().saturating_sub(1) / 2).copied(),
            longest_took_ms: times_ms.last().copied(),
        };
        for daemon in &mut daemons {
            daemon.set_lag(newest);
        }
        FleetReport { daemons, summary }
    }

    fn write(&self, out: &mut dyn Write) -> io::Result<()> {
        let heading = [
            "DAEMON", "HOST", "DOMAIN", "REVISION", "LAG", "SOURCE", "AGE", "TOOK", "ROLES",
            "CALLS", "REFUSED", "REASON",
        ];
        let rows: Vec<Vec<String>> = self.daemons.iter().map(DaemonReport::row).collect();
        write!(out, "{}", table(&heading, &rows))?;
        let summary = &self.summary;
        write!(
            out,
            "{} daemons, {} answered, {} at the newest revision {}",
            summary.daemons, summary.answered, summary.at_newest, summary.newest_revision
        )?;
        if let (Some(median), Some(longest)) = (summary.median_took_ms, summary.longest_took_ms) {
            write!(out, ", took median {median} ms, longest {longest} ms")?;
        }
        writeln!(out)
    }
}

impl DaemonReport {
    fn new((daemon, answer): (SocketAddr, Result<Value>)) -> DaemonReport {
        let parsed = answer.and_then(|status| {
            let page = StatusPage::deserialize(&status).context("not a status page")?;
            Ok((status, page))
        });
        let (found, reasons) = match parsed {
            Ok(found) => (Some(found), Vec::new()),
            Err(error) => (None, vec![format!("{error:#}")]),
        };
        let (status, page) = found.unzip();
        DaemonReport {
            daemon,
            lag: None,
            reasons,
            status,
            page,
        }
    }

    /// Sets the lag behind the newest revision, and adds the reasons for it.
    fn set_lag(&mut self, newest: u64) {
        let Some(page) = &self.page else {
            return;
        };
        self.lag = Some(newest - page.revision);
        // A refusal is no longer shown once a later version is in force.
        if page.refused_revision > page.revision {
            let reasons = page.refused_reasons.join("; ");
            let refused = format!("refused {}: {reasons}", page.refused_revision);
            self.reasons.push(refused);
        }
        if page.unconfirmed {
            self.reasons.push("unconfirmed".to_owned());
        }
        if page.stopping {
            self.reasons.push("stopping".to_owned());
        }
        if page.revision == 0 {
            self.reasons.push("no version in force".to_owned());
        } else if page.revision < newest && self.reasons.is_empty() {
            self.reasons.push(format!("{newest} not in force yet"));
        }
    }

    fn row(&self) -> Vec<String> {
        let reasons = self.reasons.join(", ");
        // The reasons from a daemon may contain line breaks, which would break the
        // table.
        let reasons = reasons.split_whitespace().collect::<Vec<_>>().join(" ");
        let mut row = vec![self.daemon.to_string()];
        match &self.page {
            Some(page) => row.extend([
                page.host.clone(),
                page.failure_domain.clone(),
                page.revision.to_string(),
                self.lag.map(|lag| lag.to_string()).unwrap_or_default(),
                page.source.clone(),
                format_age(page.age_ms),
                format!("{} ms", page.took_ms),
                page.roles.join(","),
                page.format_meter("calls"),
                page.format_meter("refused"),
            ]),
            None => row.extend(iter::repeat_n("-".to_owned(), 10)),
        }
        row.push(reasons);
        row
    }
}

impl StatusPage {
    fn format_meter(&self, name: &str) -> String {
        let value = self.meters.get(name);
        value.map_or("-".to_owned(), u64::to_string)
    }
}

/// Formats a duration as whole milliseconds, seconds, minutes or hours.
fn format_age(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{} s", ms / 1_000),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}
