//! Measures the check of tenants' rate limits on the way of a request: time for each
//! request, and memory for each tenant. The daemon is one of 20 in its failure domain and
//! owns the buckets of all tenants, so no message is sent.
//!
//! `cargo run --release -p radishgauge-sidecar --example quota_cost`

use std::hint::black_box;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::TargetRecord;
use radishgauge_mesh::TenantDirectory;
use radishgauge_mesh::TenantLimit;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::config::RequestLimits;
use radishgauge_mesh::quota::HostReach;
use radishgauge_mesh::state_table::StateChange;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_net::clock::SystemClock;
use radishgauge_platform::HostSettings;
use radishgauge_sidecar::node::SidecarNode;
use radishgauge_sidecar::owner::TargetOwner;
use smol_str::format_smolstr;

const SETTINGS: &str = "\
node=host-1
zone=north-a
region=north
zones.north-a=north
listen.outbound=127.0.0.1:1
listen.inbound=127.0.0.1:2
listen.readiness=127.0.0.1:3
service=shop
appAddr=127.0.0.1:4
provider.address=127.0.0.1:5
bounds.grace=6s
bounds.configApply=2000ms
bounds.drain=2s
bounds.retryBudgetRatio=0.2
bounds.budgetExtra=60
bounds.budgetWindow=10s
";

/// The hosts of the failure domain; the first is the daemon that is measured.
const HOSTS: u8 = 20;

/// The requests of each measurement.
const REQUESTS: usize = 200_000;

/// Measurements of each case, of which the fastest counts.
const ROUNDS: usize = 5;

/// Returns the resident memory of the process, as the kernel reports it, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * 4096
}

fn hosts() -> Vec<IpAddr> {
    let hosts = 1..=HOSTS;
    hosts
        .map(|host| IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)))
        .collect()
}

/// Returns tenants whose buckets the first host owns.
fn tenants(count: usize, limit: Option<TenantLimit>) -> Vec<TenantPolicy> {
    let hosts = hosts();
    let reach = HostReach::default();
    let names = (0..).map(|index| format_smolstr!("tenant-{index}"));
    names
        .filter(|name| reach.owner(name, &hosts) == Some(hosts[0]))
        .take(count)
        .map(|name| TenantPolicy {
            name,
            priority: None,
            limit,
            regions: Vec::new(),
        })
        .collect()
}

/// Returns a daemon without tolerance, whose buckets start empty, unless `starts_filled`.
fn node(tenants: &[TenantPolicy], starts_filled: bool) -> Arc<SidecarNode> {
    let mut settings =
        HostSettings::parse(SETTINGS, Path::new("cost.conf")).expect("valid settings");
    if !starts_filled {
        settings.quota_bounds.overage = 0.0;
        settings.quota_bounds.slack = 0.0;
    }
    let clock = Arc::new(SystemClock::start());
    let owner = Arc::new(TargetOwner::new(&settings, clock.clone()));
    let node = Arc::new(SidecarNode::new(settings, clock, owner, 1));
    let config = MeshConfig::new(1, RequestLimits::default(), Vec::new(), IndexMap::new());
    let mut directory = TenantDirectory::default();
    for tenant in tenants {
        directory
            .insert(tenant.clone(), [])
            .expect("names that differ");
    }
    let config = config.with_tenants(directory);
    let mut changes = vec![StateChange::Config(Arc::new(config))];
    changes.extend(hosts().into_iter().map(|ip| {
        StateChange::Target(TargetRecord {
            id: format_smolstr!("i-{ip}"),
            service: "shop".into(),
            address: SocketAddr::new(ip, 4),
            failure_domain: "north-a".into(),
            capacity: 8,
            draining: false,
            version: "v1".into(),
            cold_left: std::time::Duration::ZERO,
            incarnation: None,
            sequence: 1,
        })
    }));
    let now = node.now();
    node.known().table.replace(changes, StateSource::Store, now);
    node
}

/// Returns the nanoseconds of a check, and how many of the checks of one round admitted.
async fn measure(node: &Arc<SidecarNode>, tenants: &[TenantPolicy]) -> (f64, usize) {
    let mut fastest = f64::MAX;
    let mut admitted = 0;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        admitted = 0;
        for index in 0..REQUESTS {
            let tenant = &tenants[index % tenants.len()];
            let decision = black_box(node.quota().admit(tenant).await);
            admitted += usize::from(decision.is_ok());
        }
        let nanoseconds = started.elapsed().as_nanos() as f64 / REQUESTS as f64;
        fastest = fastest.min(nanoseconds);
    }
    (fastest, admitted)
}

async fn measure_all(count: usize) {
    let ample = TenantLimit {
        per_second: 1e9,
        burst: 1e9,
    };
    let scarce = TenantLimit {
        per_second: 1.0,
        burst: 1.0,
    };
    // A bucket that starts empty is not half full in the time of the run, so no tokens are
    // granted ahead.
    let unfilled = TenantLimit {
        per_second: 1e8,
        burst: 1e12,
    };
    for (name, limit, starts_filled) in [
        ("no limit", None, true),
        ("below the limit, tokens in stock", Some(ample), true),
        (
            "below the limit, tokens of the bucket",
            Some(unfilled),
            false,
        ),
        ("above the limit", Some(scarce), true),
    ] {
        let tenants = tenants(count, limit);
        let node = node(&tenants, starts_filled);
        let before = resident();
        let (nanoseconds, admitted) = measure(&node, &tenants).await;
        let bytes = resident().saturating_sub(before) / count;
        println!(
            "{count} tenants, {name}: {nanoseconds:.0} ns a check, {bytes} B a tenant, {admitted} of {REQUESTS} admitted"
        );
    }
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    for count in [81, 10_000] {
        runtime.block_on(measure_all(count));
    }
}
