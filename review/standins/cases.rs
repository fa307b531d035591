//! What the cases share: configurations, machines, load, and the check of a change.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::record::Record;
use crate::requester::Attempt;
use crate::requester::Call;
use crate::requester::Requester;
use crate::requester::Seen;
use crate::store::Door;

/// The bounds of the settings files, as DEPLOY.md shows them.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
pub const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
pub const MAX_STRETCH: Duration = Duration::from_millis(5_000);
pub const RECOVERY: Duration = Duration::from_secs(15);

pub const ZONES: [(&str, &str); 2] = [("za01", "ra"), ("zb01", "rb")];

/// The port in the command of the deploy file.
const METRICS_PORT: u16 = 9464;

const BODY_BYTES: usize = 67_108_864;

pub fn play(case: &str, with_trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "odd-key" => crate::case_1::play(with_trouble, record),
        "long-body" => crate::case_2::play(with_trouble, record),
        "upgrade" => crate::case_3::play(with_trouble, record),
        "store-moved" => crate::case_4::play(with_trouble, record),
        "odd-hosts" => crate::case_5::play(with_trouble, record),
        _ => Err(format!("unknown case {case}")),
    }
}

/// A route of a configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
}

pub fn config(version: u32, routes: &[Route]) -> String {
    let rules: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| {
            format!(
                "{{\"name\":\"r-{index}\",\"routeType\":\"{}\",\"latencySlo\":\"500ms\",\"priority\":1,\"match\":{{\"prefix\":\"{}\"}},\"action\":{{\"service\":\"{}\",\"timeout\":\"{}ms\",\"attempts\":2,\"allowedRegions\":[]}}}}",
                route.kind, route.prefix, route.service, route.timeout_ms
            )
        })
        .collect();
    let clusters: Vec<String> = ["svc-a", "svc-b"]
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStart\":\"3s\",\"coldPerS\":57.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":{BODY_BYTES},\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}},\"listeners\":[{{\"host\":\"mesh.example\",\"policy\":[{}]}}],\"clusters\":[{}]}}",
        rules.join(","),
        clusters.join(",")
    )
}

pub fn put_config(fleet: &Fleet, version: u32, routes: &[Route]) {
    fleet
        .store
        .put("op/config", config(version, routes).as_bytes());
}

pub const READS_AT_A: Route = Route {
    prefix: "/read/",
    kind: "idempotent",
    service: "svc-a",
    timeout_ms: 1_000,
};

pub const READS_AT_B: Route = Route {
    prefix: "/read/",
    kind: "idempotent",
    service: "svc-b",
    timeout_ms: 1_000,
};

pub const READ: Call = Call {
    method: "GET",
    path: "/read/1",
    limit: Duration::from_millis(1_000),
    lines: "",
    body: b"",
};

/// Returns four loopback addresses at which the port of the daemons' metrics is free.
pub fn free_hosts() -> Result<[[u8; 4]; 4], String> {
    // Cases that are started at the same moment begin at different addresses.
    let first = std::process::id() % 100;
    let nets = (first..first + 100).map(|net| 20 + net as u8);
    let mut hosts = nets.map(|net| [1, 2, 3, 4].map(|host| [127, 77, net, host]));
    let is_free = |hosts: &[[u8; 4]; 4]| {
        let mut ips = hosts.iter().map(|host| Ipv4Addr::from(*host));
        ips.all(|ip| TcpListener::bind((ip, METRICS_PORT)).is_ok())
    };
    hosts.find(is_free).ok_or("no free addresses".to_owned())
}

/// Four machines in two zones, with a worker of each service in each zone.
pub fn four_machines(hosts: [[u8; 4]; 4], work_ms: u64) -> Vec<Plan> {
    let places = [
        ("za01", "svc-a"),
        ("za01", "svc-b"),
        ("zb01", "svc-a"),
        ("zb01", "svc-b"),
    ];
    hosts
        .into_iter()
        .zip(places)
        .map(|(ip, (zone, service))| Plan {
            ip: Ipv4Addr::from(ip),
            zone,
            service,
            work: Duration::from_millis(work_ms),
        })
        .collect()
}

/// Requesters at all machines that send one request after the other.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Attempt>>>,
}

impl Load {
    pub fn start(fleet: &Fleet, each: usize, call: Call<'static>, pause: Duration) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for machine in &fleet.machines {
            for _ in 0..each {
                let mut requester = Requester::new(fleet.outbound(machine), &fleet.record);
                let stop = Arc::clone(&stop);
                let call = call.clone();
                threads.push(std::thread::spawn(move || {
                    let mut attempts = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        attempts.push(requester.send(&call));
                        std::thread::sleep(pause);
                    }
                    attempts
                }));
            }
        }
        Load { stop, threads }
    }

    pub fn stop(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.threads.into_iter();
        ended.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

pub fn start(fleet: &mut Fleet, routes: &[Route]) -> Result<Door, String> {
    put_config(fleet, 3, routes);
    let entrance = fleet.open_store()?;
    fleet.write_settings(&entrance)?;
    fleet.start_daemons()?;
    fleet.wait_ready(Duration::from_secs(12))?;
    // Targets may be cold for `coldStart`.
    std::thread::sleep(Duration::from_secs(4));
    Ok(entrance)
}

pub fn served(attempts: &[Attempt]) -> usize {
    attempts
        .iter()
        .filter(|attempt| attempt.seen.is_served())
        .count()
}

/// CONFIG: counts the requests that are run by the old service later than `configApply`
/// after the acknowledgement of the version that moves the route.
pub fn check_move(fleet: &Fleet) -> Result<Verdict, String> {
    let record = &fleet.record;
    let load = Load::start(fleet, 2, READ, Duration::from_millis(50));
    std::thread::sleep(Duration::from_secs(2));
    let calls = fleet.store.calls();
    put_config(fleet, 5, &[READS_AT_B]);
    let acknowledged = record.now();
    std::thread::sleep(CONFIG_APPLY + Duration::from_secs(10));
    let attempts = load.stop();
    let count = |service: &str, attempts: &[&Attempt]| {
        let ran = |attempt: &&&Attempt| matches!(&attempt.seen, Seen::Answer { status: 200, service: by } if by == service);
        attempts.iter().filter(ran).count()
    };
    let before: Vec<&Attempt> = attempts
        .iter()
        .filter(|attempt| attempt.sent < acknowledged)
        .collect();
    let late: Vec<&Attempt> = attempts
        .iter()
        .filter(|attempt| attempt.sent > acknowledged + CONFIG_APPLY)
        .collect();
    record.note(format!(
        "before the change the old service ran {} of {} requests",
        count("svc-a", &before),
        before.len()
    ));
    let ready = fleet
        .machines
        .iter()
        .filter(|machine| fleet.is_ready(machine));
    record.note(format!(
        "after that {} of {} daemons were ready; since the acknowledgement the store got {} calls",
        ready.count(),
        fleet.machines.len(),
        fleet.store.calls() - calls
    ));
    let stale = count("svc-a", &late);
    record.note(format!(
        "of {} requests sent later than 2 s after the acknowledgement, the old service ran {stale}, the new one {}",
        late.len(),
        count("svc-b", &late)
    ));
    if count("svc-a", &before) * 2 < before.len() || late.len() < 100 {
        return Err("the fleet did not serve before the change".to_owned());
    }
    Ok(match stale > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
