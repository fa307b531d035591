//! Measures the time per request of the check of a tenant's key, and the bytes per
//! tenant.
//!
//! `cargo run --release -p radishgauge-sidecar --example key_check`
//!
//! Each tenant has two keys. The keys are used in random order, so that a large number
//! of tenants is not measured with a warm cache only. The cases alternate in short
//! rounds, so that load from other processes affects all of them; the median of the
//! rounds and the fastest one are printed.

use std::hint::black_box;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::HeaderValue;
use http::header;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::StatePosition;
use radishgauge_net::clock::SystemClock;
use radishgauge_platform::HostSettings;
use radishgauge_platform::StoreItem;
use radishgauge_platform::StoreView;
use radishgauge_platform::items;
use radishgauge_platform::kept::KeepTimes;
use radishgauge_platform::message;
use radishgauge_sidecar::node::SidecarNode;
use radishgauge_sidecar::owner::TargetOwner;
use radishgauge_sidecar::tenant_access;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

/// The numbers of tenants: that of a fleet, and one far above it.
const TENANTS: [usize; 2] = [81, 10_000];
const KEYS_PER_TENANT: usize = 2;
const KEY_CHARS: usize = 20;
/// The number of requests in one round of a case.
const REQUESTS: usize = 20_000;
const ROUNDS: usize = 31;
/// The number of tenants, in several configurations, over which memory is averaged.
const MEASURED_TENANTS: usize = 200_000;
const SEED: u64 = 1;

/// The settings of a daemon that listens on no address here.
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
bounds.configApply=3s
bounds.drain=2s
bounds.retryBudgetRatio=0.2
bounds.budgetExtra=60
bounds.budgetWindow=10s
";

fn node() -> SidecarNode {
    let settings = HostSettings::parse(SETTINGS, Path::new("settings")).expect("valid settings");
    let clock = Arc::new(SystemClock::start());
    let owner = Arc::new(TargetOwner::new(&settings, clock.clone()));
    SidecarNode::new(settings, clock, owner, SEED)
}

/// Requests of one kind to a configuration.
struct KeyCase {
    name: String,
    config: MeshConfig,
    requests: Vec<HeaderMap>,
    rounds: Vec<Duration>,
}

impl KeyCase {
    fn new(name: String, config: MeshConfig, requests: Vec<HeaderMap>) -> KeyCase {
        KeyCase {
            name,
            config,
            requests,
            rounds: Vec::new(),
        }
    }

    fn run_round(&mut self, node: &SidecarNode) {
        let route = self.config.find("shop.example", "/").expect("a route");
        let started = Instant::now();
        for headers in &self.requests {
            let access = tenant_access::check(node, &self.config, route, headers, "id-1");
            black_box(access);
        }
        self.rounds.push(started.elapsed());
    }

    fn print(&mut self) {
        self.rounds.sort_unstable();
        let nanos = |round: Duration| round.as_nanos() as f64 / REQUESTS as f64;
        let median = nanos(self.rounds[ROUNDS / 2]);
        let fastest = nanos(self.rounds[0]);
        println!("{:<34} {median:>8.0} {fastest:>8.0}", self.name);
    }
}

fn main() {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut cases = vec![KeyCase::new(
        "no tenants".to_owned(),
        decode(&config_json(&[])),
        requests(&random_keys(REQUESTS, &mut random)),
    )];
    for tenants in TENANTS {
        let keys = random_keys(tenants * KEYS_PER_TENANT, &mut random);
        let config = decode(&config_json(&keys));
        let known: Vec<String> = (0..REQUESTS)
            .map(|_| keys[random.random_range(0..keys.len())].clone())
            .collect();
        let unknown = random_keys(REQUESTS, &mut random);
        let name = |kind| format!("{tenants} tenants, {kind}");
        cases.push(KeyCase::new(
            name("known key"),
            config.clone(),
            requests(&known),
        ));
        cases.push(KeyCase::new(
            name("unknown key"),
            config.clone(),
            requests(&unknown),
        ));
        let without = vec![HeaderMap::new(); REQUESTS];
        cases.push(KeyCase::new(name("no key"), config, without));
    }
    let node = node();
    for _ in 0..ROUNDS {
        cases.iter_mut().for_each(|case| case.run_round(&node));
    }
    println!("{:<34} {:>8} {:>8}", "ns per request", "median", "fastest");
    cases.iter_mut().for_each(KeyCase::print);
    for tenants in TENANTS {
        print_size(tenants, &mut random);
    }
}

fn print_size(tenants: usize, random: &mut StdRng) {
    let keys = random_keys(tenants * KEYS_PER_TENANT, random);
    let with = config_json(&keys);
    let without = config_json(&[]);
    let copies = MEASURED_TENANTS / tenants;
    let memory = memory_of(&with, copies).saturating_sub(memory_of(&without, copies));
    let stored = stored_bytes(&with) - stored_bytes(&without);
    let started = Instant::now();
    black_box(decode(&with));
    let took = started.elapsed();
    println!(
        "{tenants} tenants: {} bytes of memory per tenant, {} bytes per tenant in the stored configuration, {} in the original; decoded in {:.2} ms",
        memory / tenants,
        stored / tenants,
        (with.len() - without.len()) / tenants,
        took.as_secs_f64() * 1000.0,
    );
}

/// Returns the resident memory of a decoded configuration, in bytes. The copies are not
/// freed, since later ones would reuse their memory unmeasured.
fn memory_of(config: &str, copies: usize) -> usize {
    // Decoding leaves free memory behind, which must not count as that of a copy.
    let first = decode(config);
    let before = resident();
    let configs: Vec<MeshConfig> = (0..copies).map(|_| decode(config)).collect();
    let bytes = resident().saturating_sub(before) / copies;
    std::mem::forget(black_box((first, configs)));
    bytes
}

/// Returns the resident memory of the process, as the kernel reports it, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1);
    pages.map_or(0, |pages| pages.parse::<usize>().unwrap_or(0) * 4096)
}

/// Returns the length of the configuration as daemons store it and send it to others.
fn stored_bytes(config: &str) -> usize {
    let item = StoreItem {
        key: "op/config".into(),
        value: Some(config.as_bytes().to_vec()),
        revision: 1,
        is_confirmed_removal: false,
    };
    let mut view = StoreView::default();
    let times = KeepTimes {
        entry_timeout: Duration::ZERO,
    };
    let position = StatePosition {
        era: 1,
        revision: 1,
    };
    view.replace(vec![item], position, &times, Duration::ZERO);
    let values = view.items().filter_map(|item| item.value.as_ref());
    values.map(Vec::len).sum()
}

fn random_keys(count: usize, random: &mut StdRng) -> Vec<String> {
    const CHARS: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789";
    let key = |_| {
        (0..KEY_CHARS)
            .map(|_| char::from(CHARS[random.random_range(0..CHARS.len())]))
            .collect()
    };
    (0..count).map(key).collect()
}

fn requests(keys: &[String]) -> Vec<HeaderMap> {
    let head = |key: &String| {
        let mut headers = HeaderMap::new();
        headers.insert(header::HOST, HeaderValue::from_static("shop.example"));
        headers.insert(message::REQUEST_ID, HeaderValue::from_static("id-1"));
        let field = HeaderValue::from_str(&format!("Bearer {key}"));
        headers.insert(header::AUTHORIZATION, field.expect("letters and digits"));
        headers
    };
    keys.iter().map(head).collect()
}

fn config_json(keys: &[String]) -> String {
    let tenant = |(number, keys): (usize, &[String])| {
        json!({"name": format!("tenant{number}"), "apiKeys": keys, "priority": 1,
               "ratePerS": 161, "burst": 161, "allowedRegions": []})
    };
    let tenants = keys.chunks(KEYS_PER_TENANT).enumerate().map(tenant);
    json!({
        "version": "r1",
        "limits": {"headerBytes": 16384, "bodyBytes": 65536, "headerTimeout": "3s", "idleTimeout": "15s"},
        "listeners": [{"host": "shop.example", "policy": [
            {"name": "read", "routeType": "idempotent", "latencySlo": "1s", "priority": 1,
             "match": {"prefix": "/"}, "action": {"service": "shop", "timeout": "3s", "attempts": 2}}]}],
        "clusters": [{"name": "shop", "healthPath": "/health", "maxConns": 50, "coldStart": "3s", "coldPerS": 20.0}],
        "tenants": tenants.collect::<Vec<_>>(),
    })
    .to_string()
}

fn decode(config: &str) -> MeshConfig {
    items::decode_config(config.as_bytes()).expect("valid configuration")
}
