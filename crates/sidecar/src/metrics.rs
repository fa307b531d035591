//! Counters and latency histograms, served as text.
//!
//! The statsd client formats each metric, and the registry adds it to its
//! series, so infrequent readers lose no counts. The number of series is
//! limited because routes come and go with configurations.

use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::Counted;
use cadence::CountedExt;
use cadence::Gauged;
use cadence::Histogrammed;
use cadence::MetricSink;
use cadence::StatsdClient;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use indexmap::IndexSet;
use radishgauge_mesh::quota::QuotaCounts;
use radishgauge_mesh::reader::ReaderRole;
use radishgauge_mesh::tenant::TenantLabel;
use smol_str::SmolStr;

use crate::node::SidecarNode;
use crate::node::lock;
use crate::quota;
use crate::request_outcome::RequestOutcome;
use crate::tenant_metrics::TenantMetrics;

/// The greatest number of series; metrics of further series are counted in
/// [`OVERFLOW`].
const MAX_SERIES: usize = 400;

/// The greatest latency that a histogram distinguishes, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// The significant decimal digits of a histogram; 1 keeps a series below 3 KB.
const SIGNIFICANT_DIGITS: u8 = 1;

/// The greatest number of tenants with series of their own.
const MAX_TENANT_LABELS: usize = 64;

/// The label of all other tenants, which no name in a configuration can equal.
const OTHER_TENANTS: &str = "(other)";

/// The series that counts the metrics of series beyond the limit.
const OVERFLOW: &str = "radishgauge.series_left_out";

/// One series.
#[derive(Debug)]
enum MetricSeries {
    Counter(u64),
    Gauge(u64),
    Latency(Box<Histogram<u32>>),
}

/// All metric series of one process.
#[derive(Debug, Default)]
pub struct MetricRegistry {
    series: Mutex<IndexMap<SmolStr, MetricSeries>>,
}

impl MetricRegistry {
    /// Returns all series as text, one per line: the name with its labels, and
    /// the value.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, series) in lock(&self.series).iter() {
            // Writing to a string cannot fail.
            let _ = match series {
                MetricSeries::Counter(value) | MetricSeries::Gauge(value) => {
                    writeln!(text, "{name} {value}")
                }
                MetricSeries::Latency(latencies) => write_latency(&mut text, name, latencies),
            };
        }
        text
    }

    fn add(&self, name: &str, value: u64, kind: &str) {
        let mut series = lock(&self.series);
        let name = if series.contains_key(name) || series.len() < MAX_SERIES {
            SmolStr::from(name)
        } else {
            SmolStr::new_static(OVERFLOW)
        };
        let counted = kind == "c" || name == OVERFLOW;
        let entry = series.entry(name).or_insert_with(|| match kind {
            _ if counted => MetricSeries::Counter(0),
            "g" => MetricSeries::Gauge(0),
            _ => MetricSeries::Latency(Box::new(latencies())),
        });
        match entry {
            MetricSeries::Counter(sum) => *sum += if counted { value } else { 1 },
            MetricSeries::Gauge(last) => *last = value,
            MetricSeries::Latency(latencies) => latencies.saturating_record(value.max(1)),
        }
    }
}

fn latencies() -> Histogram<u32> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS).expect("valid bounds")
}

fn write_latency(text: &mut String, name: &str, latencies: &Histogram<u32>) -> std::fmt::Result {
    let (base, labels) = name.split_once('{').unwrap_or((name, "}"));
    writeln!(text, "{base}_count{{{labels} {}", latencies.len())?;
    for (label, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)] {
        let value = latencies.value_at_quantile(quantile);
        writeln!(text, "{base}_{label}{{{labels} {value}")?;
    }
    Ok(())
}

/// Adds the metrics that the statsd client formats to the registry.
struct RegistrySink(Arc<MetricRegistry>);

impl MetricSink for RegistrySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        // `name:value|kind|#key:value,key:value`
        let mut parts = metric.split('|');
        let name_and_value = parts.next().and_then(|part| part.rsplit_once(':'));
        let Some((name, value)) = name_and_value else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let kind = parts.next().unwrap_or_default();
        let tags = parts.next().and_then(|part| part.strip_prefix('#'));
        let value = value.parse().map_err(io::Error::other)?;
        match tags {
            None => self.0.add(name, value, kind),
            Some(tags) => self.0.add(&format!("{name}{{{tags}}}"), value, kind),
        }
        Ok(metric.len())
    }
}

/// The metrics of one daemon.
pub struct SidecarMetrics {
    client: StatsdClient,
    registry: Arc<MetricRegistry>,
    /// The requests of tenants.
    pub tenants: TenantMetrics,
    /// The tenants that have series of their own.
    limited_tenants: Mutex<IndexSet<SmolStr>>,
}

impl Default for SidecarMetrics {
    fn default() -> SidecarMetrics {
        let registry = Arc::new(MetricRegistry::default());
        let client = StatsdClient::from_sink("radishgauge", RegistrySink(Arc::clone(&registry)));
        SidecarMetrics {
            client,
            registry,
            tenants: TenantMetrics::default(),
            limited_tenants: Mutex::default(),
        }
    }
}

impl SidecarMetrics {
    /// Records the latency of one request of a caller, with its route and
    /// outcome as labels.
    pub fn request(&self, route: &str, outcome: RequestOutcome, took_ms: u64) {
        // The registry accepts every metric of these forms.
        let _ = self
            .client
            .histogram_with_tags("request_ms", took_ms)
            .with_tag("route", route)
            .with_tag("outcome", outcome.as_str())
            .try_send();
    }

    /// Counts one refusal by the owner, with its reason as label.
    pub fn owner_refusal(&self, reason: &str) {
        let _ = self
            .client
            .count_with_tags("owner_refusals", 1)
            .with_tag("reason", reason)
            .try_send();
    }

    /// Adds the decisions on requests of a tenant with a rate limit. Tenants beyond a
    /// fixed number are counted together.
    pub fn quota(&self, tenant: &SmolStr, counts: QuotaCounts) {
        let label = {
            let mut labels = lock(&self.limited_tenants);
            if labels.len() < MAX_TENANT_LABELS || labels.contains(tenant) {
                labels.insert(tenant.clone());
                TenantLabel(tenant).to_string()
            } else {
                OTHER_TENANTS.to_owned()
            }
        };
        for (name, count) in [
            ("quota_admitted", counts.admitted),
            ("quota_admitted_locally", counts.local),
            ("quota_refused", counts.refused),
        ] {
            if count > 0 {
                let _ = self
                    .client
                    .count_with_tags(name, count)
                    .with_tag("tenant", &label)
                    .try_send();
            }
        }
    }

    /// Adds connections of callers that were closed, with the reason as label.
    pub(crate) fn add_closed_connections(&self, reason: &str, count: u64) {
        if count > 0 {
            let _ = self
                .client
                .count_with_tags("connections_closed", count)
                .with_tag("reason", reason)
                .try_send();
        }
    }

    /// Adds one to the counter with this name, which has no labels.
    pub fn count(&self, name: &str) {
        let _: Result<cadence::Counter, _> = self.client.incr(name);
    }

    /// Adds `amount` to the counter with this name, which has no labels.
    pub fn add(&self, name: &str, amount: u64) {
        let _: Result<cadence::Counter, _> = self.client.count(name, amount);
    }

    /// Returns the metrics page: all series, including gauges of the daemon's
    /// current state.
    pub fn page(&self, node: &SidecarNode) -> String {
        quota::flush_counts(node);
        let load = node.owner.report();
        let declared = node.owner.declared_rate().unwrap_or_default();
        let (config, targets, evacuated) = {
            let known = node.known();
            let table = &known.table;
            (
                table.config().map_or(0, |config| config.version()),
                table.targets().count() as u64,
                table.evacuated_domains().count() as u64,
            )
        };
        let age = node.freshness().age(node.now()).unwrap_or(Duration::MAX);
        let counters = &node.owner.suspect_counters;
        let placements = node.placer().counts();
        let long_answer_routes = node.placer().long_answer_routes() as u64;
        let efficient_limit = load.efficient_limit.unwrap_or_default();
        let gauges = [
            ("state_revision", node.position().revision),
            ("state_era", node.position().era),
            ("config_version", config),
            ("targets_known", targets),
            ("domains_out", evacuated),
            ("target_occupied", u64::from(load.occupied)),
            ("target_limit", u64::from(load.limit)),
            // 0 while no number of concurrent requests is known to slow the target.
            ("target_efficient_limit", u64::from(efficient_limit)),
            ("placements_by_speed", placements.by_speed),
            ("placement_probes", placements.probes),
            ("long_answer_routes", long_answer_routes),
            ("target_wait_ms", load.wait.as_millis() as u64),
            ("line_waiting", node.waiting_lines().len() as u64),
            // The most urgent priority that waits, plus one; 0 if none waits.
            (
                "target_waiting_priority",
                load.waiting_priority
                    .map_or(0, |priority| u64::from(priority) + 1),
            ),
            ("target_cold", u64::from(load.cold)),
            // In requests per 1,000 s; 0 if the target declares no limit.
            ("target_rate_limit_milli", (declared * 1000.0).ceil() as u64),
            ("target_down", u64::from(node.owner.is_down())),
            ("suspected_requests", node.owner.suspects.len() as u64),
            ("target_ends", counters.ends.load(Ordering::Relaxed)),
            ("cut_off_unexplained", node.owner.unexplained_cut_offs()),
            ("suspects_cleared", counters.cleared.load(Ordering::Relaxed)),
            // The greatest value if the store has not confirmed the state yet.
            (
                "state_age_ms",
                age.as_millis().try_into().unwrap_or(u64::MAX),
            ),
            ("state_unconfirmed", u64::from(node.may_lack_changes())),
            ("store_reader", u64::from(node.role() == ReaderRole::Read)),
            (
                "store_away",
                u64::from(node.known().table.store_unreachable()),
            ),
        ];
        for (name, value) in gauges {
            let _: Result<cadence::Gauge, _> = self.client.gauge(name, value);
        }
        let mut text = self.registry.render();
        self.tenants.render(&mut text);
        text
    }
}
