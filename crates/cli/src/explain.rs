//! `radishgauge explain`: shows how a daemon routes a call, or why its version
//! is in force.

use std::io;
use std::io::Write;
use std::net::SocketAddr;

use anyhow::Context;
use gumdrop::Options;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;
use serde_json::Value;

use crate::CommandError;
use crate::ExitStatus;
use crate::Subcommand;
use crate::operator;
use crate::table::table;

/// Explains a route (`route PATH`) or the version in force (`version`).
#[derive(Debug, Default, Options)]
pub struct ExplainOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "`route PATH` or `version`")]
    subject: Vec<String>,
    #[options(help = "operator address of the daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,
    #[options(help = "method of the call (default GET)", meta = "M")]
    method: Option<String>,
    #[options(help = "tenant of the call", meta = "T")]
    tenant: Option<String>,
    #[options(
        help = "time limit in ms, 1 to 60000 (default 2000)",
        no_short,
        meta = "N"
    )]
    timeout_ms: Option<u64>,
    #[options(help = "print JSON")]
    json: bool,
}

impl Subcommand for ExplainOptions {
    fn example(&self) -> &'static str {
        "radishgauge explain route --daemon 127.0.0.1:7003 /orders/17 --tenant abay\n\
         radishgauge explain version --daemon 127.0.0.1:7003"
    }

    fn run(&self, out: &mut dyn Write) -> Result<ExitStatus, CommandError> {
        let subject: Vec<&str> = self.subject.iter().map(String::as_str).collect();
        match subject.as_slice() {
            ["route", path] if path.starts_with('/') => {
                let page = self.fetch_page(&self.route_uri(path))?;
                let route: RoutePage = self.parse(&page)?;
                self.write(&page, out, |out| route.write(out))?;
                Ok(route.status())
            }
            ["route", _] => Err(CommandError::usage("PATH must start with /")),
            ["version"] if self.method.is_some() || self.tenant.is_some() => {
                let text = "--method and --tenant are accepted only with `explain route`";
                Err(CommandError::usage(text))
            }
            ["version"] => {
                let page = self.fetch_page("/explain/version")?;
                let version: VersionPage = self.parse(&page)?;
                self.write(&page, out, |out| version.write(out))?;
                Ok(ExitStatus::Done)
            }
            _ => Err(CommandError::usage("give `route PATH` or `version`")),
        }
    }
}

impl ExplainOptions {
    fn route_uri(&self, path: &str) -> String {
        let method = self.method.as_deref();
        let tenant = self.tenant.as_deref();
        let parameters = [("path", Some(path)), ("method", method), ("tenant", tenant)];
        let parameters: Vec<String> = parameters
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)))
            .map(|(name, value)| format!("{name}={}", utf8_percent_encode(value, NON_ALPHANUMERIC)))
            .collect();
        format!("/explain/route?{}", parameters.join("&"))
    }

    fn address(&self) -> Result<SocketAddr, CommandError> {
        self.daemon
            .ok_or_else(|| CommandError::usage("give --daemon IP:PORT"))
    }

    fn fetch_page(&self, target: &str) -> Result<Value, CommandError> {
        let limit = operator::time_limit(self.timeout_ms)?;
        let daemon = self.address()?;
        operator::block_on(operator::fetch_page(daemon, target, limit))?
            .with_context(|| format!("daemon {daemon}"))
            .map_err(CommandError::unreachable)
    }

    fn parse<'a, P>(&self, page: &'a Value) -> Result<P, CommandError>
    where
        P: Deserialize<'a>,
    {
        let daemon = self.address()?;
        P::deserialize(page)
            .with_context(|| format!("daemon {daemon}: the response lacks expected fields"))
            .map_err(CommandError::unreachable)
    }

    /// Writes the page as JSON if `--json` is given, else as text.
    fn write<W>(&self, page: &Value, out: &mut dyn Write, text: W) -> io::Result<()>
    where
        W: FnOnce(&mut dyn Write) -> io::Result<()>,
    {
        if self.json {
            writeln!(out, "{page:#}")
        } else {
            text(out)
        }
    }
}

/// The page `/explain/route` of a daemon.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum RoutePage {
    /// The call is refused before a target is selected.
    Refused {
        refused: String,
        route: Option<String>,
    },
    /// A route with a known service matches the call.
    Found(FoundRoute),
}

#[derive(Debug, Deserialize)]
struct FoundRoute {
    revision: u64,
    route: String,
    service: String,
    repeatable: bool,
    timeout_ms: u64,
    home_regions: Vec<String>,
    /// Why this daemon refuses the call as its entry daemon, if it does.
    refused_here: Option<String>,
    targets: Vec<RouteTarget>,
}

#[derive(Debug, Deserialize)]
struct RouteTarget {
    host: String,
    distance: String,
    allowed: bool,
    outstanding: u64,
    response_us: u64,
    capacity: u64,
    passed_over: bool,
}

impl RoutePage {
    fn status(&self) -> ExitStatus {
        match self {
            RoutePage::Found(found) if found.refused_here.is_none() => ExitStatus::Done,
            _ => ExitStatus::Refused,
        }
    }

    fn write(&self, out: &mut dyn Write) -> io::Result<()> {
        match self {
            RoutePage::Refused {
                refused,
                route: Some(route),
            } => writeln!(out, "route {route}: refused: {refused}"),
            RoutePage::Refused { refused, .. } => writeln!(out, "refused: {refused}"),
            RoutePage::Found(found) => found.write(out),
        }
    }
}

impl FoundRoute {
    fn write(&self, out: &mut dyn Write) -> io::Result<()> {
        let repeatable = if self.repeatable { "yes" } else { "no" };
        writeln!(out, "route         {}", self.route)?;
        writeln!(out, "revision      {}", self.revision)?;
        writeln!(out, "service       {}", self.service)?;
        writeln!(out, "repeatable    {repeatable}")?;
        writeln!(out, "timeout       {} ms", self.timeout_ms)?;
        writeln!(out, "home regions  {}", join_names(&self.home_regions))?;
        if let Some(reason) = &self.refused_here {
            writeln!(out, "refused here  {reason}")?;
        }
        if self.targets.is_empty() {
            return writeln!(out, "targets       none");
        }
        let heading = [
            "TARGET",
            "DISTANCE",
            "USE",
            "OUTSTANDING",
            "CAPACITY",
            "RESPONSE",
        ];
        let rows: Vec<Vec<String>> = self.targets.iter().map(RouteTarget::row).collect();
        write!(out, "\n{}", table(&heading, &rows))
    }
}

impl RouteTarget {
    fn row(&self) -> Vec<String> {
        let usable = match (self.allowed, self.passed_over) {
            (false, _) => "not allowed",
            (true, true) => "passed over",
            (true, false) => "yes",
        };
        vec![
            self.host.clone(),
            self.distance.clone(),
            usable.to_owned(),
            self.outstanding.to_string(),
            self.capacity.to_string(),
            format!("{} us", self.response_us),
        ]
    }
}

/// The page `/explain/version` of a daemon. While no version is in force, only
/// the first two fields are present.
#[derive(Debug, Deserialize)]
struct VersionPage {
    revision: u64,
    because: String,
    #[serde(default)]
    root: String,
    #[serde(default)]
    source: String,
    #[serde(default)]
    freshness: String,
    #[serde(default)]
    services_held: Vec<String>,
    #[serde(default)]
    routes_held: u64,
    #[serde(default)]
    routes_not_held: u64,
    #[serde(default)]
    refused_revision: u64,
    #[serde(default)]
    refused_reasons: Vec<String>,
}

impl VersionPage {
    fn write(&self, out: &mut dyn Write) -> io::Result<()> {
        writeln!(out, "revision   {}", self.revision)?;
        writeln!(out, "because    {}", self.because)?;
        if self.revision > 0 {
            let (held, not_held) = (self.routes_held, self.routes_not_held);
            writeln!(out, "root       {}", self.root)?;
            writeln!(out, "source     {}", self.source)?;
            writeln!(out, "freshness  {}", self.freshness)?;
            writeln!(out, "services   {}", join_names(&self.services_held))?;
            writeln!(out, "routes     {held} held, {not_held} not held")?;
        }
        if self.refused_revision > 0 {
            writeln!(out, "refused    {}", self.refused_revision)?;
            for reason in &self.refused_reasons {
                writeln!(out, "           {reason}")?;
            }
        }
        Ok(())
    }
}

fn join_names(names: &[String]) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    names.join(", ")
}
