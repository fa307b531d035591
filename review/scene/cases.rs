//! The cases.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Verdict;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::record::Record;
use crate::requester::Attempt;
use crate::requester::Call;
use crate::requester::Requester;
use crate::requester::Seen;
use crate::store::Door;

/// The bounds of the settings files, as DEPLOY.md shows them.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const MAX_STRETCH: Duration = Duration::from_millis(5_000);
const RECOVERY: Duration = Duration::from_secs(15);

const ZONES: [(&str, &str); 2] = [("za01", "ra"), ("zb01", "rb")];

/// The port in the command of the deploy file.
const METRICS_PORT: u16 = 9464;

const BODY_BYTES: usize = 67_108_864;

pub fn play(case: &str, with_trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "odd-key" => odd_key(with_trouble, record),
        "long-body" => long_body(with_trouble, record),
        "upgrade" => upgrade(with_trouble, record),
        "store-moved" => store_moved(with_trouble, record),
        "odd-hosts" => odd_hosts(with_trouble, record),
        _ => Err(format!("unknown case {case}")),
    }
}

/// A route of a configuration.
struct Route {
    prefix: &'static str,
    kind: &'static str,
    service: &'static str,
    timeout_ms: u32,
}

fn config(version: u32, routes: &[Route]) -> String {
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

fn put_config(fleet: &Fleet, version: u32, routes: &[Route]) {
    fleet
        .store
        .put("op/config", config(version, routes).as_bytes());
}

const READS_AT_A: Route = Route {
    prefix: "/read/",
    kind: "idempotent",
    service: "svc-a",
    timeout_ms: 1_000,
};

const READS_AT_B: Route = Route {
    prefix: "/read/",
    kind: "idempotent",
    service: "svc-b",
    timeout_ms: 1_000,
};

const READ: Call = Call {
    method: "GET",
    path: "/read/1",
    limit: Duration::from_millis(1_000),
    lines: "",
    body: b"",
};

/// Returns four loopback addresses at which the port of the daemons' metrics is free.
fn free_hosts() -> Result<[[u8; 4]; 4], String> {
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
fn four_machines(hosts: [[u8; 4]; 4], work_ms: u64) -> Vec<Plan> {
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
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Attempt>>>,
}

impl Load {
    fn start(fleet: &Fleet, each: usize, call: Call<'static>, pause: Duration) -> Load {
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

    fn stop(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.threads.into_iter();
        ended.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

fn start(fleet: &mut Fleet, routes: &[Route]) -> Result<Door, String> {
    put_config(fleet, 3, routes);
    let entrance = fleet.open_store()?;
    fleet.write_settings(&entrance)?;
    fleet.start_daemons()?;
    fleet.wait_ready(Duration::from_secs(12))?;
    // Targets may be cold for `coldStart`.
    std::thread::sleep(Duration::from_secs(4));
    Ok(entrance)
}

fn served(attempts: &[Attempt]) -> usize {
    attempts
        .iter()
        .filter(|attempt| attempt.seen.is_served())
        .count()
}

/// RECOVER: another writer's item has a key with a space and a long value; then all
/// processes are killed at the same time.
fn odd_key(with_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let hosts = free_hosts()?;
    let plans = four_machines(hosts, 20);
    let mut fleet = Fleet::prepare(plans, &ZONES, 110, record)?;
    let _entrance = start(&mut fleet, &[READS_AT_A])?;
    let load = Load::start(&fleet, 2, READ, Duration::from_millis(50));
    std::thread::sleep(Duration::from_secs(3));
    if with_trouble {
        // Bytes that cannot be read, within `provider.valueBytes`.
        fleet
            .store
            .put("servers/batch host 7", &vec![0xf7; 1_000_000]);
    }
    std::thread::sleep(Duration::from_secs(4));
    put_config(&fleet, 4, &[READS_AT_A]);
    for machine in &mut fleet.machines {
        machine.kill();
    }
    let killed = record.now();
    record.line("all processes were killed".to_owned());
    std::thread::sleep(Duration::from_secs(1));
    fleet.start_daemons()?;
    let back = record.now();
    std::thread::sleep(RECOVERY + Duration::from_secs(10));
    let attempts = load.stop();
    let (before, after): (Vec<_>, Vec<_>) = attempts
        .into_iter()
        .filter(|attempt| attempt.sent < killed || attempt.sent > back + RECOVERY)
        .partition(|attempt| attempt.sent < killed);
    fleet.record_logs(&["STORE", "store", "error"], 4);
    record.note(format!(
        "before the fault {} of {} requests were served",
        served(&before),
        before.len()
    ));
    record.note(format!(
        "of the requests sent later than 15 s after the machines were back, {} of {} were served",
        served(&after),
        after.len()
    ));
    if served(&before) * 4 < before.len() || after.len() < 100 {
        return Err("the fleet did not serve before the fault".to_owned());
    }
    Ok(match served(&after) * 4 < after.len() {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// CONFIG: counts the requests that are run by the old service later than `configApply`
/// after the acknowledgement of the version that moves the route.
fn check_move(fleet: &Fleet) -> Result<Verdict, String> {
    let record = &fleet.record;
    let load = Load::start(fleet, 2, READ, Duration::from_millis(50));
    std::thread::sleep(Duration::from_secs(2));
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

/// CONFIG: the settings files change, and name another address of the store.
fn store_moved(with_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let hosts = free_hosts()?;
    let mut fleet = Fleet::prepare(four_machines(hosts, 20), &ZONES, 110, record)?;
    let old = start(&mut fleet, &[READS_AT_A])?;
    let new = fleet.open_store()?;
    if with_trouble {
        fleet.write_settings(&new)?;
        record.line(format!("settings: store at {}", new.address));
    }
    // The others find the change without a signal.
    for machine in fleet.machines.iter().take(2) {
        machine.signal(fleet::SIGHUP);
    }
    // Both addresses work while the daemons read their settings.
    std::thread::sleep(Duration::from_secs(4));
    if with_trouble {
        old.close();
        record.line(format!("the store has left {}", old.address));
    }
    std::thread::sleep(STABLE_WINDOW + MAX_STRETCH);
    let verdict = check_move(&fleet);
    fleet.record_logs(&["SETTINGS", "settings", "store"], 6);
    verdict
}

/// CONFIG: another writer's entries name a service that no configuration has.
fn odd_hosts(with_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let hosts = [8, 9, 10, 11].map(|host| [127, 77, 5, host]);
    let mut fleet = Fleet::prepare(four_machines(hosts, 20), &ZONES, 110, record)?;
    let _entrance = start(&mut fleet, &[READS_AT_A])?;
    if with_trouble {
        for (key, machine, zone) in [("agent-1", 0, "zb01"), ("agent-2", 2, "za01")] {
            let address = SocketAddr::new(fleet.machines[machine].ip, 9100);
            let entry = fleet::entry("node-agent", address, zone, 1);
            fleet.store.put(&format!("servers/{key}"), entry.as_bytes());
        }
    }
    std::thread::sleep(STABLE_WINDOW + MAX_STRETCH);
    let verdict = check_move(&fleet);
    fleet.record_logs(&["SOURCE", "source", "role="], 8);
    verdict
}

/// CONFIG: requests have header fields that concern their connection only.
fn upgrade(with_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let hosts = free_hosts()?;
    let mut fleet = Fleet::prepare(four_machines(hosts, 20), &ZONES, 110, record)?;
    let _entrance = start(&mut fleet, &[READS_AT_A])?;
    let timeout = Duration::from_millis(1_000);
    let call = Call {
        limit: Duration::from_secs(5),
        lines: match with_trouble {
            true => {
                "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n"
            }
            false => "",
        },
        ..READ
    };
    let load = Load::start(&fleet, 4, call, Duration::from_millis(100));
    std::thread::sleep(Duration::from_secs(16));
    let attempts = load.stop();
    let unanswered = |after: Duration| {
        let is_late = |attempt: &&Attempt| match attempt.seen {
            Seen::Answer { .. } => attempt.took > after,
            _ => true,
        };
        attempts.iter().filter(is_late).count()
    };
    let at_timeout = unanswered(timeout);
    let later = unanswered(timeout + Duration::from_millis(500));
    record.note(format!(
        "of {} requests, {} were served, {at_timeout} had no answer at the route's timeout of 1 s, and {later} had none half a second later",
        attempts.len(),
        served(&attempts)
    ));
    if attempts.len() < 30 {
        return Err("too few requests".to_owned());
    }
    Ok(match later > 8 && later * 2 > at_timeout {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// LOST: an upload within `bodyBytes` reaches a machine that serves other requests.
fn long_body(with_trouble: bool, record: &Record) -> Result<Verdict, String> {
    const MEMORY_MB: u32 = 110;
    const UPLOAD: Route = Route {
        prefix: "/upload/",
        kind: "upload",
        service: "svc-b",
        timeout_ms: 10_000,
    };
    const ORDER: Route = Route {
        prefix: "/order/",
        kind: "non_idempotent",
        service: "svc-a",
        timeout_ms: 2_500,
    };
    let hosts = free_hosts()?;
    let plans = four_machines(hosts, 300);
    let mut fleet = Fleet::prepare(plans, &ZONES, MEMORY_MB, record)?;
    let _entrance = start(&mut fleet, &[ORDER, UPLOAD])?;
    let orders = Call {
        method: "POST",
        path: "/order/1",
        limit: Duration::from_millis(2_500),
        lines: "",
        body: b"one carafe",
    };
    let load = Load::start(&fleet, 5, orders, Duration::from_millis(20));
    std::thread::sleep(Duration::from_secs(3));
    let limit = u64::from(MEMORY_MB) * 1024 * 1024;
    let mut peak = 0;
    let mut ends = vec![0; fleet.machines.len()];
    let bytes = match with_trouble {
        true => 66_000_000,
        false => 280_000,
    };
    let mut uploads = Vec::new();
    for round in 0..3 {
        // One upload at each of two machines, one after the other.
        for index in [0, 2] {
            let mut requester = Requester::new(fleet.outbound(&fleet.machines[index]), record);
            let upload = std::thread::spawn(move || {
                let body = vec![b'u'; bytes];
                requester.send(&Call {
                    method: "POST",
                    path: "/upload/1",
                    limit: Duration::from_secs(10),
                    lines: "",
                    body: &body,
                })
            });
            // The platform: it kills a process over its memory limit, and starts it again
            // after a short delay.
            let until = record.now() + Duration::from_secs(7);
            let mut starts: Vec<(usize, Duration)> = Vec::new();
            while record.now() < until {
                for index in 0..fleet.machines.len() {
                    let machine = &mut fleet.machines[index];
                    let memory = machine.memory();
                    peak = peak.max(memory);
                    let is_up = starts.iter().all(|(started, _)| *started != index);
                    if memory > limit || is_up && machine.has_ended() {
                        machine.kill();
                        ends[index] += 1;
                        starts.push((index, record.now() + Duration::from_secs(1)));
                        record.line(format!(
                            "platform: round {round}, the daemon at {} used {memory} bytes and was ended",
                            machine.ip
                        ));
                    }
                }
                let now = record.now();
                let due: Vec<usize> = starts
                    .iter()
                    .filter(|(_, at)| *at <= now)
                    .map(|(index, _)| *index)
                    .collect();
                starts.retain(|(_, at)| *at > now);
                for index in due {
                    fleet.start_daemon(index)?;
                }
                std::thread::sleep(Duration::from_millis(2));
            }
            for (index, _) in starts {
                fleet.start_daemon(index)?;
            }
            uploads.push(upload.join().unwrap());
        }
    }
    let attempts = load.stop();
    let ran: Vec<String> = fleet
        .machines
        .iter()
        .flat_map(|machine| machine.worker.ran.lock().unwrap().clone())
        .map(|(id, _)| id)
        .collect();
    let lost = attempts
        .iter()
        .filter(|attempt| attempt.seen == Seen::Closed && ran.contains(&attempt.id))
        .count();
    record.note(format!(
        "orders: {} of {} were served; {lost} were passed on to a worker, and their connections closed without an answer",
        served(&attempts),
        attempts.len()
    ));
    record.note(format!(
        "uploads of {bytes} bytes: {} of {} were served",
        served(&uploads),
        uploads.len()
    ));
    record.note(format!(
        "greatest memory of a daemon {peak} bytes, the limit is {limit}; ends of processes by machine {ends:?}"
    ));
    if served(&attempts) * 2 < attempts.len() {
        return Err("the fleet did not serve".to_owned());
    }
    Ok(match lost > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
