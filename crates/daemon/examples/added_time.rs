//! Measures the latency that the mesh adds to a call, compared with a direct call.
//!
//! `cargo run --release -p radishgauge-daemon --example added_time -- [CALLS_PER_SECOND] [SECONDS] [ENTRY]`
//!
//! With ENTRY 0, the default, the entry daemon has no target, so each call passes
//! over a session to the daemon on the target's host. With ENTRY 1 the entry daemon
//! is the one on the target's host, and no session is used. Direct calls and calls
//! through the mesh alternate in the same run, so that load on the machine slows
//! both.

use std::fs;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use prost::Message;
use radishgauge_config::pack;
use radishgauge_daemon::Daemon;
use radishgauge_daemon::DaemonResources;
use radishgauge_daemon::Running;
use radishgauge_daemon::logs;
use radishgauge_net::KeyAuthority;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::FailureDomain;
use radishgauge_schema::config::HostEntry;
use radishgauge_schema::config::HostList;
use radishgauge_schema::config::HostState;
use radishgauge_schema::config::Region;
use radishgauge_schema::config::Route;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::Target;
use radishgauge_schema::settings::DaemonSettings;
use radishgauge_schema::settings::LimitSettings;
use radishgauge_schema::settings::ListenSettings;
use radishgauge_schema::settings::PlatformSettings;
use radishgauge_schema::settings::TlsSettings;
use radishgauge_standin::PlatformStandIn;
use radishgauge_standin::TargetConfig;
use radishgauge_standin::TargetStandIn;

const DOMAIN: &str = "addis-bole";
const HOSTS: [&str; 2] = ["entry", "worker"];

/// The time after which the ramp of the target, which starts with two slots, has
/// ended.
const WARM_UP: Duration = Duration::from_secs(12);

/// The design's limit on the added latency: 0.48 ms at the 99th percentile.
const BOUND_US: i64 = 480;

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

fn main() -> Result<()> {
    let number = |at| {
        std::env::args()
            .nth(at)
            .map(|text| text.parse::<u64>())
            .transpose()
    };
    let rate = number(1)?.unwrap_or(1000).clamp(1, 20_000);
    let seconds = number(2)?.unwrap_or(10).clamp(1, 60);
    let entry = number(3)?.unwrap_or(0).min(1) as usize;
    logs::silence()?;
    let work = measure(rate, Duration::from_secs(seconds), entry);
    tokio::runtime::Runtime::new()?.block_on(work)
}

async fn measure(rate: u64, time: Duration, entry: usize) -> Result<()> {
    let worker = TargetStandIn::start(TargetConfig {
        response_bytes: Some(64),
        record_requests: false,
        ..TargetConfig::default()
    })
    .await?;
    let (daemons, _platform) = open_daemons(worker.address()).await?;
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mesh = daemons[entry].callers();
    run(&client, worker.address(), mesh, rate, WARM_UP).await?;
    let [direct, through] = run(&client, worker.address(), mesh, rate, time).await?;
    println!(
        "calls a second, each way: {rate}; samples: {}",
        direct.len()
    );
    println!(
        "{:>9} {:>10} {:>10} {:>10}",
        "quantile", "direct us", "mesh us", "added us"
    );
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        let [direct, through] = [&direct, &through].map(|times| times.value_at_quantile(quantile));
        let added = through as i64 - direct as i64;
        println!("{quantile:>9} {direct:>10} {through:>10} {added:>10}");
    }
    let added = |times: &Histogram<u64>| times.value_at_quantile(0.99) as i64;
    let met = added(&through) - added(&direct) <= BOUND_US;
    println!(
        "bound of {BOUND_US} us at 0.99: {}",
        if met { "met" } else { "missed" }
    );
    for daemon in daemons {
        daemon.begin_stop().finish().await;
    }
    Ok(())
}

/// Sends direct calls and calls through the mesh alternately at a fixed rate,
/// without waiting for earlier calls.
async fn run(
    client: &HttpClient,
    direct: SocketAddr,
    mesh: SocketAddr,
    rate: u64,
    time: Duration,
) -> Result<[Histogram<u64>; 2]> {
    let times = Arc::new(Mutex::new([Histogram::new(3)?, Histogram::new(3)?]));
    let failures = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / (2 * rate) as u32);
    let begun = Instant::now();
    let mut tasks = Vec::new();
    let mut turn = 0;
    while begun.elapsed() < time {
        ticks.tick().await;
        turn = 1 - turn;
        let address = [direct, mesh][turn];
        let (client, times) = (client.clone(), Arc::clone(&times));
        let failures = Arc::clone(&failures);
        tasks.push(tokio::spawn(async move {
            let begun = Instant::now();
            match call(&client, address).await {
                Ok(()) => {
                    let took = begun.elapsed().as_micros() as u64;
                    // Far below the end of the histogram's range, so that this
                    // cannot fail.
                    let _ = times.lock().expect("the lock is not poisoned")[turn].record(took);
                }
                Err(_) => {
                    failures.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                }
            }
        }));
    }
    for task in tasks {
        task.await?;
    }
    let failed = failures.load(std::sync::atomic::Ordering::Relaxed);
    if failed > 0 {
        println!("failed or refused calls: {failed}");
    }
    let times = times.lock().expect("the lock is not poisoned").clone();
    Ok(times)
}

async fn call(client: &HttpClient, address: SocketAddr) -> Result<()> {
    let uri = format!("http://{address}/motifs/laurel").parse()?;
    let response = client.get(uri).await?;
    ensure!(
        response.status().is_success(),
        "status {}",
        response.status()
    );
    response.into_body().collect().await?;
    Ok(())
}

async fn open_daemons(target: SocketAddr) -> Result<(Vec<Daemon<Running>>, PlatformStandIn)> {
    let keys = tempfile::tempdir()?;
    let authority = KeyAuthority::generate()?;
    let platform = PlatformStandIn::start().await?;
    let mut peers = Vec::new();
    for _ in HOSTS {
        peers.push(UdpSocket::bind("127.0.0.1:0")?.local_addr()?);
    }
    platform.put_all(pack(&config_set(target, peers[1]), 1).values());
    let entry = |(host, address): (&&str, &SocketAddr)| HostEntry {
        host: (*host).to_owned(),
        failure_domain: DOMAIN.to_owned(),
        daemon: address.to_string(),
        incarnation: 1,
        state: HostState::Live.into(),
    };
    let list = HostList {
        failure_domain: DOMAIN.to_owned(),
        revision: 1,
        hosts: HOSTS.iter().zip(&peers).map(entry).collect(),
    };
    platform.put(&format!("hosts/{DOMAIN}"), list.encode_to_vec());
    let mut daemons = Vec::new();
    for (host, address) in HOSTS.iter().zip(&peers) {
        let identity = authority.issue(host, DOMAIN)?;
        let write = |name: String, text: &str| -> Result<String> {
            let path = keys.path().join(name);
            fs::write(&path, text)?;
            Ok(path.display().to_string())
        };
        let tls = TlsSettings {
            ca: write("ca.pem".to_owned(), &identity.ca)?,
            certificate: write(format!("{host}.pem"), &identity.certificate)?,
            key: write(format!("{host}.key"), &identity.key)?,
        };
        let settings = DaemonSettings {
            host: (*host).to_owned(),
            region: "addis".to_owned(),
            failure_domain: DOMAIN.to_owned(),
            listen: Some(ListenSettings {
                callers: "127.0.0.1:0".to_owned(),
                peers: address.to_string(),
                operators: "127.0.0.1:0".to_owned(),
            }),
            seeds: peers.iter().map(SocketAddr::to_string).collect(),
            platform: Some(PlatformSettings {
                url: platform.url(),
                ..PlatformSettings::default()
            }),
            tls: Some(tls),
            limits: Some(LimitSettings {
                header_kib: 32,
                body_mib: 64,
                calls: 4096,
            }),
            ..DaemonSettings::default()
        };
        daemons.push(Daemon::open(&settings, DaemonResources::of_process()).await?);
    }
    for daemon in &daemons {
        let reached = daemon.wait_for_revision(1, Duration::from_secs(60)).await;
        ensure!(reached, "a daemon did not reach revision 1");
    }
    Ok((daemons, platform))
}

fn config_set(target: SocketAddr, daemon: SocketAddr) -> ConfigSet {
    ConfigSet {
        regions: vec![Region {
            name: "addis".to_owned(),
        }],
        failure_domains: vec![FailureDomain {
            name: DOMAIN.to_owned(),
            region: "addis".to_owned(),
            state: 0,
        }],
        services: vec![Service {
            name: "motif-shop".to_owned(),
            slots: 20,
            connections: 120,
            cold_start_slots: 2,
            targets: vec![Target {
                host: HOSTS[1].to_owned(),
                address: target.to_string(),
                daemon: daemon.to_string(),
                failure_domain: DOMAIN.to_owned(),
            }],
            ..Service::default()
        }],
        routes: vec![Route {
            name: "catalogue".to_owned(),
            path_prefix: "/motifs".to_owned(),
            service: "motif-shop".to_owned(),
            repeatable: true,
            timeout_ms: 2000,
            ..Route::default()
        }],
        ..ConfigSet::default()
    }
}
