//! Stand-ins for the platform's store, the workers and the requesters, and the
//! cases that are played with them. Only the standard library is used.
//!
//! `standins-2 CASE` starts the daemons of the deploy file on loopback addresses,
//! plays the case, writes `record.txt` and exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the
//! disruption.

use std::process::exit;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    exit(cases::play(&case, trouble));
}

mod caller {
    //! A caller that takes little at a time: its socket has a small window, as the
    //! links of the platform do.

    use std::ffi::c_int;
    use std::ffi::c_void;
    use std::net::SocketAddr;
    use std::net::TcpStream;
    use std::os::fd::FromRawFd;

    #[repr(C)]
    struct SocketAddress {
        family: u16,
        port: u16,
        address: u32,
        zero: [u8; 8],
    }

    unsafe extern "C" {
        fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
        fn setsockopt(
            socket: c_int,
            level: c_int,
            name: c_int,
            value: *const c_void,
            length: u32,
        ) -> c_int;
        fn connect(socket: c_int, address: *const SocketAddress, length: u32) -> c_int;
    }

    const AF_INET: c_int = 2;
    const SOCK_STREAM_CLOEXEC: c_int = 0o2_000_001;
    const SOL_SOCKET: c_int = 1;
    const SO_RCVBUF: c_int = 8;
    const IPPROTO_TCP: c_int = 6;
    const TCP_MAXSEG: c_int = 2;

    /// Opens a connection with a small window; `None` if it is refused.
    pub fn connect_small(address: SocketAddr) -> Option<TcpStream> {
        let SocketAddr::V4(address) = address else {
            return None;
        };
        let target = SocketAddress {
            family: AF_INET as u16,
            port: address.port().to_be(),
            address: u32::from_ne_bytes(address.ip().octets()),
            zero: [0; 8],
        };
        // The calls get a valid socket, and pointers to values that outlive them.
        unsafe {
            let number = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
            if number < 0 {
                return None;
            }
            let stream = TcpStream::from_raw_fd(number);
            for (level, name, value) in [
                (SOL_SOCKET, SO_RCVBUF, 4096),
                (IPPROTO_TCP, TCP_MAXSEG, 536),
            ] {
                let value: c_int = value;
                setsockopt(number, level, name, (&raw const value).cast(), 4);
            }
            (connect(number, &raw const target, 16) == 0).then_some(stream)
        }
    }
}

mod cases {
    //! The cases.

    use std::collections::HashMap;
    use std::net::SocketAddr;
    use std::sync::Arc;
    use std::sync::Mutex;
    use std::time::Duration;

    use crate::clients;
    use crate::daemon::Daemon;
    use crate::daemon::Folder;
    use crate::daemon::Machine;
    use crate::daemon::free_network;
    use crate::http;
    use crate::record;
    use crate::store::Store;
    use crate::worker::Manner;
    use crate::worker::Worker;

    pub const ZONES: [(&str, &str); 2] = [("addis-bole", "addis"), ("addis-kality", "addis")];

    /// Plays a case, and returns the exit code.
    pub fn play(name: &str, trouble: bool) -> i32 {
        record::open();
        record::say(&format!("case {name}, disruption: {trouble}"));
        let result = std::panic::catch_unwind(|| match name {
            "cold" => cold(trouble),
            "stale" => stale(trouble),
            "unread" => clients::unread(trouble),
            "heads" => clients::heads(trouble),
            "slots" => clients::slots(trouble),
            "pipeline" => clients::pipeline(trouble),
            _ => Err(format!("no case {name}")),
        });
        let code = match result {
            Ok(Ok(true)) => {
                record::say("the rule held");
                0
            }
            Ok(Ok(false)) => {
                record::say("the rule was broken");
                1
            }
            Ok(Err(problem)) => {
                record::say(&format!("could not run: {problem}"));
                2
            }
            Err(_) => {
                record::say("could not run: a stand-in failed");
                2
            }
        };
        record::close();
        code
    }

    pub fn machine(network: &str, number: usize, service: &str, memory_mb: u32) -> Machine {
        Machine {
            name: format!("sidecar-addis-bole-{number}"),
            ip: format!("{network}.{number}"),
            zone: "addis-bole".to_owned(),
            region: "addis".to_owned(),
            service: service.to_owned(),
            memory_mb,
            max_fds: 4100,
        }
    }

    pub struct RoutePlan {
        pub host: &'static str,
        pub prefix: &'static str,
        pub kind: &'static str,
        pub service: &'static str,
        pub timeout_ms: u64,
    }

    pub fn config(version: u64, routes: &[RoutePlan], services: &[&str]) -> String {
        let listeners: Vec<String> = routes
            .iter()
            .map(|route| {
                format!(
                    "{{\"host\":\"{}\",\"policy\":[{{\"name\":\"r-{}\",\"routeType\":\"{}\",\"latencySlo\":\"500ms\",\"priority\":2,\"match\":{{\"prefix\":\"{}\"}},\"action\":{{\"service\":\"{}\",\"timeout\":\"{}ms\",\"attempts\":2,\"allowedRegions\":[]}}}}]}}",
                    route.host, route.service, route.kind, route.prefix, route.service, route.timeout_ms
                )
            })
            .collect();
        let clusters: Vec<String> = services
            .iter()
            .map(|service| {
                format!(
                    "{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConns\":120,\"protocol\":\"h1\",\"tls\":false,\"coldStart\":\"3s\",\"coldPerS\":21.0}}"
                )
            })
            .collect();
        format!(
            "{{\"version\":\"r{version}\",\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}},\"listeners\":[{}],\"clusters\":[{}]}}",
            listeners.join(","),
            clusters.join(",")
        )
    }

    pub fn entry(
        machine: &Machine,
        id: &str,
        state: &str,
        cold: &str,
        sequence: u64,
        born: u64,
    ) -> (String, String) {
        (
            format!("servers/{id}"),
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":18,\"state\":\"{state}\",\"coldLeft\":\"{cold}\",\"sequence\":{sequence},\"born\":{born}}}",
                machine.service,
                machine.worker(),
                machine.zone
            ),
        )
    }

    pub fn manner(id: &str, work_ms: u64) -> Manner {
        Manner {
            id: id.to_owned(),
            work: Duration::from_millis(work_ms),
            answer_bytes: 400,
            cold_until: Duration::ZERO,
            fields: Vec::new(),
        }
    }

    pub fn unix_ms() -> u64 {
        let now = std::time::SystemTime::now();
        now.duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64
    }

    /// When each request was sent, by its identifier, and the status of its answer.
    pub type Sent = Arc<Mutex<HashMap<String, (Duration, Option<u16>)>>>;

    /// Sends requests at a rate, each on a connection of its own, until `until`.
    fn send_at_rate(
        address: SocketAddr,
        name: &str,
        method: &'static str,
        per_second: f64,
        until: Duration,
        sent: &Sent,
    ) {
        let (name, sent) = (name.to_owned(), Arc::clone(sent));
        std::thread::spawn(move || {
            let start = record::now();
            for number in 0_u32.. {
                let due = start + Duration::from_secs_f64(f64::from(number) / per_second);
                if due >= until {
                    return;
                }
                std::thread::sleep(due.saturating_sub(record::now()));
                let (id, sent) = (format!("{name}x{number}"), Arc::clone(&sent));
                std::thread::spawn(move || {
                    let request = format!(
                        "{method} /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nRadishgauge-Request-Id: {id}\r\nRadishgauge-Deadline-Ms: 2000\r\n\r\n"
                    );
                    let at = record::now();
                    sent.lock().unwrap().insert(id.clone(), (at, None));
                    let answer =
                        http::exchange(address, request.as_bytes(), Duration::from_millis(2000));
                    let status = answer.map(|answer| answer.status());
                    record::line(&format!(
                        "requester {id} sent at {:.4}: {status:?}",
                        at.as_secs_f64()
                    ));
                    sent.lock().unwrap().insert(id, (at, status));
                });
            }
        });
    }

    pub const ROUTES: [RoutePlan; 1] = [RoutePlan {
        host: "jepu9.example",
        prefix: "/lepu270/",
        kind: "idempotent",
        service: "motif-shop",
        timeout_ms: 1_000,
    }];

    /// How long the platform takes to start a process again; as long as on the bench.
    const RESTART_MS: u64 = 500;

    /// FAILBACK: the daemon beside a cold worker is killed and starts again.
    fn cold(trouble: bool) -> Result<bool, String> {
        const ALLOWED: f64 = 21.0 * 1.5 + 5.0;
        let network = free_network();
        let folder = Folder::new();
        let store = Store::start(&format!("{network}.200"));
        let machines: Vec<Machine> = (1..=3)
            .map(|n| machine(&network, n, "motif-shop", 260))
            .collect();
        store.put("op/config", &config(7, &ROUTES, &["motif-shop"]));
        let mut daemons = Vec::new();
        for (index, machine) in machines.iter().take(2).enumerate() {
            let id = format!("i-{index}");
            Worker::start(machine.worker(), 18, manner(&id, 160));
            let (key, value) = entry(machine, &id, "ready", "0ms", 1, unix_ms());
            store.put(&key, &value);
            daemons.push(Daemon::start(machine, &store, &ZONES, &folder));
        }
        if !daemons.iter().all(Daemon::wait_ready) {
            return Err("the daemons are not ready".to_owned());
        }
        std::thread::sleep(Duration::from_secs(5));
        let sent = Sent::default();
        let start = record::now();
        let end = start + Duration::from_secs(12);
        for (index, machine) in machines.iter().take(2).enumerate() {
            send_at_rate(
                machine.outbound(),
                &format!("m{index}"),
                "GET",
                130.0,
                end,
                &sent,
            );
        }
        std::thread::sleep(Duration::from_secs(4));
        // A worker is added with its machine, and is cold.
        let joined = &machines[2];
        let mut added = manner("i-2", 160);
        added.cold_until = record::now() + Duration::from_secs(3);
        let worker = Worker::start(joined.worker(), 18, added);
        let (key, value) = entry(joined, "i-2", "ready", "3000ms", 1, unix_ms());
        store.put(&key, &value);
        let mut daemon = Daemon::start(joined, &store, &ZONES, &folder);
        if !daemon.wait_ready() {
            return Err("the new daemon is not ready".to_owned());
        }
        send_at_rate(joined.outbound(), "m2", "GET", 130.0, end, &sent);
        // The daemon is killed right after the requests of one second have reached the
        // worker, and starts again half a second later.
        let recent = || {
            let now = record::now();
            let arrivals = worker.arrivals.lock().unwrap();
            let recent = arrivals
                .iter()
                .filter(|one| one.at + Duration::from_millis(300) > now);
            recent.count()
        };
        let cold_until = worker.manner.lock().unwrap().cold_until;
        while recent() < 20 && record::now() + Duration::from_millis(1_200) < cold_until {
            std::thread::sleep(Duration::from_millis(2));
        }
        if trouble {
            daemon.kill();
            std::thread::sleep(Duration::from_millis(RESTART_MS));
            daemon.spawn();
        }
        std::thread::sleep(Duration::from_millis(1_300));
        let arrivals = worker.arrivals.lock().unwrap().clone();
        let sent = sent.lock().unwrap();
        let most = busiest_second(&arrivals, &sent, cold_until);
        record::say(&format!(
            "the cold worker got {} requests within one second at {:.3} s; {ALLOWED} are allowed",
            most.0,
            most.1.as_secs_f64()
        ));
        drop(daemons);
        Ok(most.0 as f64 <= ALLOWED)
    }

    /// Returns the greatest number of requests that were sent and arrived within one
    /// second before `cold_until`, and the start of that second.
    fn busiest_second(
        arrivals: &[crate::worker::Arrival],
        sent: &HashMap<String, (Duration, Option<u16>)>,
        cold_until: Duration,
    ) -> (usize, Duration) {
        let times: Vec<(Duration, Duration)> = arrivals
            .iter()
            .filter(|arrival| arrival.at < cold_until)
            .filter_map(|arrival| Some((sent.get(&arrival.id)?.0, arrival.at)))
            .collect();
        let count = |start: Duration| {
            let end = start + Duration::from_secs(1);
            times
                .iter()
                .filter(|(sent, at)| *sent >= start && *at < end)
                .count()
        };
        let starts = times.iter().map(|(sent, _)| *sent);
        starts
            .map(|start| (count(start), start))
            .max()
            .unwrap_or_default()
    }

    /// A running fleet of machines with one worker each.
    pub struct Fleet {
        pub machines: Vec<Machine>,
        pub daemons: Vec<Daemon>,
        _store: Store,
        _folder: Folder,
    }

    /// Starts machines of one service, and waits until they serve.
    pub fn start_fleet(
        service: &'static str,
        routes: &[RoutePlan],
        memory_mb: u32,
        machines: usize,
        manner_of: impl Fn(usize) -> Manner,
    ) -> Result<Fleet, String> {
        let network = free_network();
        let folder = Folder::new();
        let store = Store::start(&format!("{network}.200"));
        let machines: Vec<Machine> = (1..=machines)
            .map(|number| machine(&network, number, service, memory_mb))
            .collect();
        store.put("op/config", &config(7, routes, &[service]));
        let mut daemons = Vec::new();
        for (index, machine) in machines.iter().enumerate() {
            let manner = manner_of(index);
            let (key, value) = entry(machine, &manner.id, "ready", "0ms", 1, unix_ms());
            Worker::start(machine.worker(), 18, manner);
            store.put(&key, &value);
            daemons.push(Daemon::start(machine, &store, &ZONES, &folder));
        }
        if !daemons.iter().all(Daemon::wait_ready) {
            return Err("the daemons are not ready".to_owned());
        }
        // The workers count as cold until the first checks.
        std::thread::sleep(Duration::from_secs(4));
        Ok(Fleet {
            machines,
            daemons,
            _store: store,
            _folder: folder,
        })
    }

    const ORDERS: [RoutePlan; 1] = [RoutePlan {
        host: "jepu9.example",
        prefix: "/lepu270/",
        kind: "non_idempotent",
        service: "order-desk",
        timeout_ms: 1_000,
    }];

    /// DRAIN: a heartbeat whose answer was lost is done late, after the worker has reported
    /// that it leaves.
    fn stale(trouble: bool) -> Result<bool, String> {
        const DRAIN: Duration = Duration::from_secs(2);
        const BEAT: Duration = Duration::from_millis(1_500);
        let network = free_network();
        let folder = Folder::new();
        let store = Store::start(&format!("{network}.200"));
        let machines: Vec<Machine> = (1..=3)
            .map(|n| machine(&network, n, "order-desk", 260))
            .collect();
        store.put("op/config", &config(7, &ORDERS, &["order-desk"]));
        let born = unix_ms();
        let put = |index: usize, state: &str, sequence: u64| {
            let (key, value) = entry(
                &machines[index],
                &format!("i-{index}"),
                state,
                "0ms",
                sequence,
                born,
            );
            store.put(&key, &value);
            record::line(&format!(
                "the store has done the write of i-{index}: {state}, sequence {sequence}"
            ));
        };
        let mut daemons = Vec::new();
        let mut workers = Vec::new();
        for (index, machine) in machines.iter().enumerate() {
            workers.push(Worker::start(
                machine.worker(),
                18,
                manner(&format!("i-{index}"), 100),
            ));
            put(index, "ready", 1);
            daemons.push(Daemon::start(machine, &store, &ZONES, &folder));
        }
        if !daemons.iter().all(Daemon::wait_ready) {
            return Err("the daemons are not ready".to_owned());
        }
        std::thread::sleep(Duration::from_secs(5));
        let sent = Sent::default();
        let start = record::now();
        for (index, machine) in machines.iter().enumerate() {
            let until = start + Duration::from_secs(14);
            send_at_rate(
                machine.outbound(),
                &format!("m{index}"),
                "POST",
                60.0,
                until,
                &sent,
            );
        }
        // The worker reports at this time that it leaves.
        let leaves = start + Duration::from_secs(7);
        // What i-0 writes, with the time at which the store has done it. The store loses the
        // answer to the write of 3.2 s before the report, and has done it 4.8 s later.
        let lost = leaves - Duration::from_millis(3_200);
        let done_late = match trouble {
            true => lost + Duration::from_millis(4_800),
            false => lost,
        };
        let mut writes = vec![
            (lost - BEAT, "ready", 2),
            (done_late, "ready", 3),
            (lost + BEAT, "ready", 4),
            (lost + BEAT * 2, "ready", 5),
            (leaves, "draining", 6),
            (leaves + BEAT - Duration::from_millis(200), "draining", 7),
            (
                leaves + BEAT * 2 - Duration::from_millis(200),
                "draining",
                8,
            ),
        ];
        writes.sort();
        for (at, state, sequence) in writes {
            std::thread::sleep(at.saturating_sub(record::now()));
            put(0, state, sequence);
            if state == "ready" {
                put(1, state, sequence);
                put(2, state, sequence);
            }
        }
        // The worker ends 2.8 s after its report.
        std::thread::sleep((leaves + Duration::from_millis(2_790)).saturating_sub(record::now()));
        workers[0].end();
        std::thread::sleep(Duration::from_millis(2_500));
        let bound = leaves + DRAIN;
        let arrivals = workers[0].arrivals.lock().unwrap().clone();
        let before = arrivals.iter().filter(|one| one.at < leaves).count();
        let late: Vec<_> = arrivals.iter().filter(|one| one.at > bound).collect();
        let sent = sent.lock().unwrap();
        let status = |id: &str| sent.get(id).and_then(|(_, status)| *status);
        let lost = late.iter().filter(|one| status(&one.id) != Some(200));
        record::say(&format!(
            "the worker got {before} requests before its report at {:.3} s, and {} later than 2 s after it, the last one {:.3} s after it; {} of these were not served",
            leaves.as_secs_f64(),
            late.len(),
            late.last()
                .map_or(0.0, |one| one.at.saturating_sub(leaves).as_secs_f64()),
            lost.count()
        ));
        Ok(late.is_empty())
    }
}

mod clients {
    //! Cases of callers that nobody controls.

    use std::collections::HashMap;
    use std::io::Read;
    use std::io::Write;
    use std::net::SocketAddr;
    use std::net::TcpStream;
    use std::sync::Arc;
    use std::sync::Mutex;
    use std::sync::atomic::AtomicBool;
    use std::sync::atomic::Ordering;
    use std::thread::JoinHandle;
    use std::time::Duration;

    use crate::caller::connect_small;
    use crate::cases::Fleet;
    use crate::cases::ROUTES;
    use crate::cases::RoutePlan;
    use crate::cases::manner;
    use crate::cases::start_fleet;
    use crate::daemon::Daemon;
    use crate::http;
    use crate::record;

    /// How often processes must end at two machines for the rule to be broken.
    const ENDS: usize = 3;

    /// How long the load of one round lasts at most.
    const ROUND_TIME: Duration = Duration::from_secs(22);

    /// Plays rounds of a load at all machines at once, and the platform's part: a process
    /// over its memory is killed and starts again half a second later. Returns whether
    /// fewer than two machines have ended so often that the rule is broken.
    fn play_memory_rounds<L>(fleet: &mut Fleet, load: L) -> Result<bool, String>
    where
        L: Fn(SocketAddr, usize, &Arc<AtomicBool>) -> Vec<JoinHandle<()>>,
    {
        let mut ends = vec![0; fleet.machines.len()];
        for round in 1..=ENDS {
            let stop = Arc::new(AtomicBool::new(false));
            let mut loads = Vec::new();
            for machine in &fleet.machines {
                loads.extend(load(machine.outbound(), round, &stop));
            }
            let until = record::now() + ROUND_TIME;
            let mut has_ended = vec![false; fleet.machines.len()];
            while record::now() < until
                && has_ended.contains(&false)
                && !loads.iter().all(JoinHandle::is_finished)
            {
                std::thread::sleep(Duration::from_millis(20));
                for (index, daemon) in fleet.daemons.iter_mut().enumerate() {
                    if has_ended[index] {
                        continue;
                    }
                    if daemon.has_ended() {
                        return Err(format!("a daemon ended by itself: {}", daemon.log()));
                    }
                    let (memory, _) = daemon.memory_mb();
                    let limit = daemon.machine.memory_mb;
                    if memory > f64::from(limit) {
                        record::say(&format!(
                            "round {round}: {} uses {memory:.0} MB of {limit} MB, and the platform kills it",
                            daemon.machine.name
                        ));
                        daemon.kill();
                        has_ended[index] = true;
                        ends[index] += 1;
                    }
                }
            }
            stop.store(true, Ordering::Relaxed);
            for load in loads {
                let _ = load.join();
            }
            for (index, daemon) in fleet.daemons.iter_mut().enumerate() {
                if !has_ended[index] {
                    let (_, peak) = daemon.memory_mb();
                    let limit = daemon.machine.memory_mb;
                    record::say(&format!(
                        "round {round}: {} uses {peak:.0} MB of {limit} MB at most",
                        daemon.machine.name
                    ));
                }
            }
            std::thread::sleep(Duration::from_millis(500));
            for (index, daemon) in fleet.daemons.iter_mut().enumerate() {
                if has_ended[index] {
                    daemon.spawn();
                }
            }
            if !fleet.daemons.iter().all(Daemon::wait_ready) {
                return Err("the daemons are not ready again".to_owned());
            }
            if round < ENDS {
                std::thread::sleep(Duration::from_secs(4));
            }
        }
        let often = ends.iter().filter(|ends| **ends >= ENDS).count();
        record::say(&format!("ends for lack of memory, by machine: {ends:?}"));
        Ok(often < 2)
    }

    const DOWNLOADS: [RoutePlan; 1] = [RoutePlan {
        host: "jepu9.example",
        prefix: "/lepu270/",
        kind: "download",
        service: "motif-shop",
        timeout_ms: 2_000,
    }];

    /// Fault: callers do not read the answers that they asked for.
    pub fn unread(trouble: bool) -> Result<bool, String> {
        let manner_of = |index| {
            let mut manner = manner(&format!("i-{index}"), 100);
            manner.answer_bytes = 250_000;
            manner
        };
        let mut fleet = start_fleet("motif-shop", &DOWNLOADS, 260, 2, manner_of)?;
        play_memory_rounds(&mut fleet, |address, round, stop| {
            let stop = Arc::clone(stop);
            vec![std::thread::spawn(move || {
                request_downloads(address, round, trouble, &stop);
            })]
        })
    }

    /// Sends requests at a steady rate, each on a connection of its own. In trouble, the
    /// answers are not read, and the connections stay open until the end of the round.
    fn request_downloads(address: SocketAddr, round: usize, trouble: bool, stop: &Arc<AtomicBool>) {
        let mut open: Vec<TcpStream> = Vec::new();
        let until = record::now() + ROUND_TIME;
        for number in 0..1_400 {
            if stop.load(Ordering::Relaxed) || record::now() >= until {
                return;
            }
            std::thread::sleep(Duration::from_millis(9));
            let id = format!("{}r{round}n{number}", name_of(address));
            let request = format!(
                "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nRadishgauge-Request-Id: {id}\r\nRadishgauge-Deadline-Ms: 2000\r\n\r\n"
            );
            if trouble {
                if let Some(mut stream) = connect_small(address) {
                    let _ = stream.write_all(request.as_bytes());
                    record::line(&format!(
                        "caller {id} has sent its request, and reads nothing"
                    ));
                    open.push(stream);
                }
            } else {
                std::thread::spawn(move || {
                    let answer =
                        http::exchange(address, request.as_bytes(), Duration::from_secs(2));
                    let status = answer.map(|answer| (answer.status(), answer.body.len()));
                    record::line(&format!("caller {id} has read {status:?}"));
                });
            }
        }
        while !stop.load(Ordering::Relaxed) && record::now() < until {
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn name_of(address: SocketAddr) -> String {
        address.ip().to_string().replace('.', "a")
    }

    const UPLOADS: [RoutePlan; 1] = [RoutePlan {
        host: "jepu9.example",
        prefix: "/lepu270/",
        kind: "upload",
        service: "evidencia",
        timeout_ms: 4_000,
    }];

    /// Fault: callers send long heads and a part of the body, and wait with the rest.
    pub fn heads(trouble: bool) -> Result<bool, String> {
        const CALLERS: usize = 1_440;
        const SENDERS: usize = 4;
        let manner_of = |index| manner(&format!("i-{index}"), 72);
        let mut fleet = start_fleet("evidencia", &UPLOADS, 110, 2, manner_of)?;
        play_memory_rounds(&mut fleet, |address, round, stop| {
            let senders = 0..SENDERS;
            senders
                .map(|sender| {
                    let stop = Arc::clone(stop);
                    let name = format!("{}r{round}s{sender}", name_of(address));
                    std::thread::spawn(move || {
                        send_heads(address, &name, CALLERS / SENDERS, trouble, &stop);
                    })
                })
                .collect()
        })
    }

    /// Opens connections, and then sends the beginning of a request on each of them. Without
    /// trouble, it is a short head.
    fn send_heads(
        address: SocketAddr,
        name: &str,
        callers: usize,
        trouble: bool,
        stop: &AtomicBool,
    ) {
        let (bytes, fields, body) = match trouble {
            true => (31_000, 100, 44_000),
            false => (310, 5, 0),
        };
        let part = "b".repeat(body);
        let field = |number| {
            format!(
                "x-note-{number:03}: {}\r\n",
                "n".repeat(bytes / fields - 14)
            )
        };
        let lines: String = (0..fields).map(field).collect();
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
        let mut open: Vec<TcpStream> = (0..callers).filter_map(connect).collect();
        std::thread::sleep(Duration::from_millis(300));
        for (number, stream) in open.iter_mut().enumerate() {
            let id = format!("{name}n{number}");
            let request = format!(
                "POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nRadishgauge-Request-Id: {id}\r\nRadishgauge-Deadline-Ms: 4000\r\nContent-Length: {}\r\n{lines}\r\n{part}",
                body + 10
            );
            let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
            let sent = stream.write_all(request.as_bytes());
            record::line(&format!(
                "caller {id} has sent a head and a part of the body, {} bytes: {sent:?}",
                request.len()
            ));
        }
        let until = record::now() + Duration::from_secs(5);
        while !stop.load(Ordering::Relaxed) && record::now() < until {
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// RECOVER: callers keep connections open and send nothing.
    pub fn slots(trouble: bool) -> Result<bool, String> {
        const REQUESTERS: usize = 8;
        let manner_of = |index| manner(&format!("i-{index}"), 160);
        let fleet = start_fleet("motif-shop", &ROUTES, 260, 1, manner_of)?;
        let machine = &fleet.machines[0];
        let address = machine.outbound();
        let mut silent = Vec::new();
        if trouble {
            let connect = |_| TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
            silent = (0..1_600).filter_map(connect).collect::<Vec<TcpStream>>();
            let count = silent.len();
            record::say(&format!(
                "{count} callers have opened a connection, and send nothing"
            ));
        }
        let start = record::now();
        let end = start + Duration::from_secs(12);
        // When the daemon has answered on a new connection.
        let taken: Arc<Mutex<Vec<Duration>>> = Arc::default();
        let requesters: Vec<JoinHandle<usize>> = (0..REQUESTERS)
            .map(|requester| {
                let taken = Arc::clone(&taken);
                std::thread::spawn(move || try_connections(address, requester, end, &taken))
            })
            .collect();
        let mut not_ready = 0;
        while record::now() < end {
            std::thread::sleep(Duration::from_secs(1));
            let request = b"GET /radishgauge/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
            let answer = http::exchange(machine.address(8625), request, Duration::from_secs(1));
            let status = answer.map(|answer| answer.status());
            record::line(&format!("readiness: {status:?}"));
            not_ready += usize::from(status != Some(200));
        }
        let tries: usize = requesters
            .into_iter()
            .filter_map(|one| one.join().ok())
            .sum();
        let mut times = taken.lock().unwrap().clone();
        let answered = times.len();
        times.extend([start, end]);
        times.sort();
        let gaps = times.windows(2).map(|two| two[1].saturating_sub(two[0]));
        let longest = gaps.max().unwrap_or_default();
        record::say(&format!(
            "{answered} of {tries} attempts of {REQUESTERS} requesters were answered; no new connection was taken for {:.1} s, 3 s are allowed; the daemon was not ready {not_ready} times",
            longest.as_secs_f64()
        ));
        drop(silent);
        Ok(longest < Duration::from_secs(3) || not_ready > 0)
    }

    /// Sends requests on new connections until `end`, and returns how many.
    fn try_connections(
        address: SocketAddr,
        requester: usize,
        end: Duration,
        taken: &Mutex<Vec<Duration>>,
    ) -> usize {
        for number in 0.. {
            if record::now() >= end {
                return number;
            }
            let id = format!("q{requester}n{number}");
            let request = format!(
                "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nRadishgauge-Request-Id: {id}\r\nRadishgauge-Deadline-Ms: 2000\r\n\r\n"
            );
            let answer = http::exchange(address, request.as_bytes(), Duration::from_secs(2));
            let status = answer.map(|answer| answer.status());
            record::line(&format!("requester {id}: {status:?}"));
            if status.is_some() {
                taken.lock().unwrap().push(record::now());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        0
    }

    /// CONFIG: callers send request after request without waiting for the answers.
    pub fn pipeline(trouble: bool) -> Result<bool, String> {
        const RUDE: usize = 32;
        const ORDINARY: usize = 100;
        let manner_of = |index| manner(&format!("i-{index}"), 160);
        let fleet = start_fleet("motif-shop", &ROUTES, 260, 1, manner_of)?;
        let address = fleet.machines[0].outbound();
        let stop = Arc::new(AtomicBool::new(false));
        if trouble {
            let opened = (0..RUDE).filter(|_| send_without_waiting(address, &stop).is_some());
            let count = opened.count();
            record::say(&format!(
                "{count} callers send requests without waiting for the answers"
            ));
            std::thread::sleep(Duration::from_secs(1));
        }
        let answered: Arc<Mutex<HashMap<usize, Duration>>> = Arc::default();
        let mut requesters = Vec::new();
        for number in 0..ORDINARY {
            std::thread::sleep(Duration::from_millis(100));
            let answered = Arc::clone(&answered);
            requesters.push(std::thread::spawn(move || {
                let request = format!(
                    "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nRadishgauge-Request-Id: q{number}\r\nRadishgauge-Deadline-Ms: 2000\r\n\r\n"
                );
                let at = record::now();
                let answer = http::exchange(address, request.as_bytes(), Duration::from_secs(2));
                let took = record::now().saturating_sub(at);
                let status = answer.map(|answer| answer.status());
                record::line(&format!("requester q{number}: {status:?} after {:.3} s", took.as_secs_f64()));
                if status.is_some() {
                    answered.lock().unwrap().insert(number, took);
                }
            }));
        }
        for requester in requesters {
            let _ = requester.join();
        }
        stop.store(true, Ordering::Relaxed);
        let answered = answered.lock().unwrap();
        let within = |limit: u64| {
            let limit = Duration::from_millis(limit);
            answered.values().filter(|took| **took <= limit).count()
        };
        let late = ORDINARY - within(1_000);
        let too_late = ORDINARY - within(1_500);
        record::say(&format!(
            "of {ORDINARY} requests of ordinary callers, {} were answered within 2 s; {late} were unanswered at the route's timeout of 1 s, and {too_late} half a second later",
            answered.len()
        ));
        Ok(late == 0 || too_late * 2 <= late)
    }

    /// Sends requests on one connection until `stop` is set, and reads the answers at the
    /// same time.
    fn send_without_waiting(address: SocketAddr, stop: &Arc<AtomicBool>) -> Option<()> {
        let request = "GET /nowhere/2f HTTP/1.1\r\nHost: jepu9.example\r\nRadishgauge-Request-Id: rude\r\n\r\n";
        let requests = request.repeat(1_000).into_bytes();
        let mut writer = http::connect(address, Duration::from_secs(20))?;
        let mut reader = writer.try_clone().ok()?;
        let (writer_stop, reader_stop) = (Arc::clone(stop), Arc::clone(stop));
        std::thread::spawn(move || {
            while !writer_stop.load(Ordering::Relaxed) && writer.write_all(&requests).is_ok() {}
        });
        std::thread::spawn(move || {
            let mut bytes = vec![0; 256 * 1024];
            while !reader_stop.load(Ordering::Relaxed) && matches!(reader.read(&mut bytes), Ok(1..))
            {
            }
        });
        Some(())
    }
}

mod daemon {
    //! Machines: a daemon of the deploy file beside a worker, on a loopback address of
    //! its own.

    use std::ffi::c_int;
    use std::ffi::c_ulong;
    use std::fs::File;
    use std::net::SocketAddr;
    use std::os::unix::process::CommandExt;
    use std::path::PathBuf;
    use std::process::Child;
    use std::process::Command;
    use std::process::Stdio;
    use std::time::Duration;

    use crate::http;
    use crate::record;
    use crate::store::Store;

    unsafe extern "C" {
        fn prctl(option: c_int, argument: c_ulong, ...) -> c_int;
    }

    const PR_SET_PDEATHSIG: c_int = 1;
    const SIGKILL: c_ulong = 9;

    /// What the settings file of a machine says.
    #[derive(Debug, Clone)]
    pub struct Machine {
        pub name: String,
        pub ip: String,
        pub zone: String,
        pub region: String,
        pub service: String,
        pub memory_mb: u32,
        pub max_fds: u32,
    }

    impl Machine {
        pub fn address(&self, port: u16) -> SocketAddr {
            format!("{}:{port}", self.ip).parse().unwrap()
        }

        pub fn worker(&self) -> SocketAddr {
            self.address(8628)
        }

        pub fn outbound(&self) -> SocketAddr {
            self.address(8629)
        }

        fn settings(&self, store: &Store, zones: &[(&str, &str)]) -> String {
            let zones: String = zones
                .iter()
                .map(|(zone, region)| format!("zones.{zone}={region}\n"))
                .collect();
            let Machine {
                name,
                ip,
                zone,
                region,
                service,
                memory_mb,
                max_fds,
            } = self;
            format!(
                "node={name}\nrole=sidecar\nmachineClass=sidecar\nserves=sidecar\nip={ip}\nzone={zone}\nregion={region}\n{zones}\
    listen.inbound={ip}:8624\nlisten.outbound={ip}:8629\nlisten.readiness={ip}:8625\nportRange=7600,7615\nseeds=\nbootstrap=true\ninTolerance=false\n\
    limits.cpuShare=0.2\nlimits.cores=1\nlimits.memoryMb={memory_mb}\nlimits.maxFds={max_fds}\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n\
    discovery=platform\nentryMode=static\nheartbeat=1500ms\ncontracts=base,drain,config,cost,retry,recover,places,platform\n\
    faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
    bounds.seedLag=3s\nbounds.reuseAfter=2s\nbounds.stableWindow=3000ms\nbounds.ack=4000ms\nbounds.catchUp=4s\nbounds.drain=2000ms\nbounds.grace=6s\nbounds.lossSlack=200ms\n\
    bounds.configApply=2000ms\nbounds.rollbackSlack=250ms\nbounds.maxStretch=5000ms\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindow=10s\nbounds.budgetExtra=60\n\
    bounds.coldOverage=1.5\nbounds.coldSlack=5\nbounds.evacuate=5000ms\nbounds.recovery=15s\n\
    appAddr={ip}:8628\nservice={service}\nprovider.address={}\nprovider.form=read\nprovider.writesPerS=400\nprovider.readsPerS=2000\nprovider.history=20s\nprovider.valueBytes=1048576\nprovider.ttlMin=1000ms\n",
                store.address
            )
        }
    }

    /// A folder for settings and logs, which is removed at the end.
    pub struct Folder(pub PathBuf);

    impl Folder {
        pub fn new() -> Folder {
            let name = format!("review-2-{}", std::process::id());
            let path = std::env::temp_dir().join(name);
            std::fs::create_dir_all(&path).expect("a temporary folder");
            Folder(path)
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    /// A running daemon; it is killed when dropped.
    pub struct Daemon {
        pub machine: Machine,
        settings: PathBuf,
        log: PathBuf,
        child: Option<Child>,
    }

    impl Daemon {
        pub fn start(
            machine: &Machine,
            store: &Store,
            zones: &[(&str, &str)],
            folder: &Folder,
        ) -> Daemon {
            let settings = folder.0.join(format!("{}.conf", machine.name));
            std::fs::write(&settings, machine.settings(store, zones)).expect("settings");
            let mut daemon = Daemon {
                machine: machine.clone(),
                settings,
                log: folder.0.join(format!("{}.log", machine.name)),
                child: None,
            };
            daemon.spawn();
            daemon
        }

        /// Starts the process with the command of the deploy file.
        pub fn spawn(&mut self) {
            let log = File::options().create(true).append(true).open(&self.log);
            let log = log.expect("a log file");
            let mut command = Command::new("target/release/radishgauged");
            command
                .args(["--platform", "--metrics-port", "9464"])
                .env_clear()
                .env("RADISHGAUGE_CONFIG", &self.settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone().unwrap())
                .stderr(log);
            // The call between fork and exec allocates nothing. It ends the daemon when the
            // stand-ins are ended from outside.
            unsafe {
                command.pre_exec(|| {
                    prctl(PR_SET_PDEATHSIG, SIGKILL);
                    Ok(())
                });
            }
            let child = command.spawn().expect("the daemon's program");
            record::line(&format!(
                "daemon {} starts, process {}",
                self.machine.name,
                child.id()
            ));
            self.child = Some(child);
        }

        pub fn pid(&self) -> u32 {
            self.child.as_ref().map_or(0, Child::id)
        }

        /// Sends SIGKILL, and waits for the end.
        pub fn kill(&mut self) {
            if let Some(mut child) = self.child.take() {
                let _ = child.kill();
                let _ = child.wait();
                record::line(&format!("daemon {} was killed", self.machine.name));
            }
        }

        pub fn has_ended(&mut self) -> bool {
            match &mut self.child {
                Some(child) => !matches!(child.try_wait(), Ok(None)),
                None => true,
            }
        }

        /// Waits until the daemon says that it is ready.
        pub fn wait_ready(&self) -> bool {
            let request = b"GET /radishgauge/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
            for _ in 0..500 {
                let answer =
                    http::exchange(self.machine.address(8625), request, Duration::from_secs(1));
                if answer.is_some_and(|answer| answer.status() == 200) {
                    return true;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            false
        }

        /// The memory of the process in megabytes, now and at its peak.
        pub fn memory_mb(&self) -> (f64, f64) {
            let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
            let status = status.unwrap_or_default();
            let value = |name: &str| {
                let line = status.lines().find(|line| line.starts_with(name));
                let number = line.and_then(|line| line.split_whitespace().nth(1));
                number
                    .and_then(|number| number.parse::<f64>().ok())
                    .unwrap_or(0.0)
                    * 1024.0
                    / 1e6
            };
            (value("VmRSS:"), value("VmHWM:"))
        }

        pub fn log(&self) -> String {
            std::fs::read_to_string(&self.log).unwrap_or_default()
        }
    }

    impl Drop for Daemon {
        fn drop(&mut self) {
            self.kill();
        }
    }

    /// Returns a prefix `127.A.B` whose first address has the platform's ports free.
    pub fn free_network() -> String {
        let seed = std::process::id();
        for attempt in 0..200_u32 {
            let number = seed.wrapping_mul(31).wrapping_add(attempt * 7919);
            let network = format!("127.{}.{}", 16 + number % 200, 1 + number / 200 % 250);
            let ports = [8624, 8625, 8628, 8629, 9464];
            let is_free =
                |port: &u16| std::net::TcpListener::bind((format!("{network}.1"), *port)).is_ok();
            if ports.iter().all(is_free) {
                return network;
            }
        }
        panic!("no free loopback addresses");
    }
}

mod http {
    //! A small HTTP/1.1 reader and writer for stand-ins.

    use std::io::Read;
    use std::io::Write;
    use std::net::SocketAddr;
    use std::net::TcpStream;
    use std::time::Duration;

    /// A request or an answer.
    #[derive(Debug, Clone, Default)]
    pub struct Message {
        /// The words of the first line.
        pub start: Vec<String>,
        pub headers: Vec<(String, String)>,
        pub body: Vec<u8>,
    }

    impl Message {
        pub fn header(&self, name: &str) -> Option<&str> {
            let mut fields = self.headers.iter();
            let field = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
            field.map(|(_, value)| value.as_str())
        }

        pub fn status(&self) -> u16 {
            let word = self.start.get(1);
            word.and_then(|word| word.parse().ok()).unwrap_or(0)
        }

        pub fn path(&self) -> &str {
            let target = self.start.get(1).map_or("", String::as_str);
            target.split('?').next().unwrap_or_default()
        }

        pub fn parameter(&self, name: &str) -> Option<String> {
            let target = self.start.get(1)?;
            let (_, query) = target.split_once('?')?;
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| decode(value))
        }
    }

    fn decode(text: &str) -> String {
        let bytes = text.as_bytes();
        let mut decoded = Vec::new();
        let mut index = 0;
        while index < bytes.len() {
            let hex = bytes.get(index + 1..index + 3);
            let byte = hex
                .and_then(|hex| std::str::from_utf8(hex).ok())
                .and_then(|hex| u8::from_str_radix(hex, 16).ok());
            match (bytes[index], byte) {
                (b'%', Some(byte)) => {
                    decoded.push(byte);
                    index += 3;
                }
                (byte, _) => {
                    decoded.push(byte);
                    index += 1;
                }
            }
        }
        String::from_utf8_lossy(&decoded).into_owned()
    }

    /// Reads messages from one connection.
    pub struct Reader {
        pub stream: TcpStream,
        buffer: Vec<u8>,
    }

    impl Reader {
        pub fn new(stream: TcpStream) -> Reader {
            let _ = stream.set_nodelay(true);
            Reader {
                stream,
                buffer: Vec::new(),
            }
        }

        fn fill(&mut self) -> Option<()> {
            let mut bytes = [0; 16 * 1024];
            match self.stream.read(&mut bytes) {
                Ok(read @ 1..) => {
                    self.buffer.extend_from_slice(&bytes[..read]);
                    Some(())
                }
                Ok(0) | Err(_) => None,
            }
        }

        /// Returns the next complete message; `None` if the connection ends before.
        pub fn next(&mut self) -> Option<Message> {
            let end = loop {
                let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
                match found {
                    Some(end) => break end + 4,
                    None => self.fill()?,
                }
            };
            let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end);
            let mut lines = head.split("\r\n");
            let start = lines.next()?.split(' ').map(str::to_owned).collect();
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            let mut message = Message {
                start,
                headers,
                body: Vec::new(),
            };
            if message.header("transfer-encoding").is_some() {
                message.body = self.chunks()?;
            } else {
                let length = message.header("content-length");
                let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
                while self.buffer.len() < length {
                    self.fill()?;
                }
                message.body = self.buffer.drain(..length).collect();
            }
            Some(message)
        }

        fn line(&mut self) -> Option<String> {
            loop {
                if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                    self.buffer.drain(..end + 2);
                    return Some(line);
                }
                self.fill()?;
            }
        }

        fn chunks(&mut self) -> Option<Vec<u8>> {
            let mut body = Vec::new();
            loop {
                let size = self.line()?;
                let size = size.split(';').next().unwrap_or_default().trim().to_owned();
                let size = usize::from_str_radix(&size, 16).ok()?;
                while self.buffer.len() < size + 2 {
                    self.fill()?;
                }
                body.extend(self.buffer.drain(..size));
                self.buffer.drain(..2);
                if size == 0 {
                    return Some(body);
                }
            }
        }
    }

    /// Returns an answer with a length.
    pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
        let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Opens a connection, and bounds its reads.
    pub fn connect(address: SocketAddr, read: Duration) -> Option<TcpStream> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(read)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Sends a request on a connection of its own; `None` if there is no complete answer.
    pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
        let mut stream = connect(address, limit)?;
        stream.write_all(request).ok()?;
        Reader::new(stream).next()
    }
}

mod record {
    //! What was sent, answered and run, with the time since the start of the case.

    use std::fs::File;
    use std::io::BufWriter;
    use std::io::Write;
    use std::path::PathBuf;
    use std::sync::Mutex;
    use std::sync::OnceLock;
    use std::time::Duration;
    use std::time::Instant;

    static START: OnceLock<Instant> = OnceLock::new();
    static FILE: Mutex<Option<BufWriter<File>>> = Mutex::new(None);

    /// Opens `record.txt` in the folder that `CASE_FOLDER` names.
    pub fn open() {
        START.get_or_init(Instant::now);
        let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        *FILE.lock().unwrap() = Some(BufWriter::new(file));
    }

    /// The time since the start of the case.
    pub fn now() -> Duration {
        START.get_or_init(Instant::now).elapsed()
    }

    /// Writes one line.
    pub fn line(text: &str) {
        let at = now().as_secs_f64();
        if let Some(file) = FILE.lock().unwrap().as_mut() {
            let _ = writeln!(file, "{at:9.4} {text}");
        }
    }

    /// Writes one line and prints it.
    pub fn say(text: &str) {
        println!("{text}");
        line(text);
    }

    pub fn close() {
        if let Some(mut file) = FILE.lock().unwrap().take() {
            let _ = file.flush();
        }
    }
}

mod store {
    //! A stand-in for the platform's store, read only for the daemons.

    use std::collections::BTreeMap;
    use std::io::Write;
    use std::net::SocketAddr;
    use std::net::TcpListener;
    use std::net::TcpStream;
    use std::sync::Arc;
    use std::sync::Condvar;
    use std::sync::Mutex;
    use std::time::Duration;
    use std::time::Instant;

    use crate::http;
    use crate::http::Message;
    use crate::http::Reader;

    #[derive(Debug, Clone)]
    struct Change {
        key: String,
        value: Option<String>,
        revision: u64,
    }

    #[derive(Default)]
    struct State {
        revision: u64,
        items: BTreeMap<String, (String, u64)>,
        changes: Vec<Change>,
    }

    #[derive(Clone)]
    pub struct Store {
        pub address: SocketAddr,
        state: Arc<(Mutex<State>, Condvar)>,
    }

    impl Store {
        pub fn start(host: &str) -> Store {
            let listener = TcpListener::bind((host, 0)).expect("the store's address");
            let store = Store {
                address: listener.local_addr().unwrap(),
                state: Arc::new((
                    Mutex::new(State {
                        revision: 100,
                        ..State::default()
                    }),
                    Condvar::new(),
                )),
            };
            let served = store.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = served.clone();
                    std::thread::spawn(move || store.serve(stream));
                }
            });
            store
        }

        pub fn put(&self, key: &str, value: &str) {
            self.change(key, Some(value.to_owned()));
        }

        fn change(&self, key: &str, value: Option<String>) {
            let (state, changed) = &*self.state;
            let mut state = state.lock().unwrap();
            state.revision += 1;
            let revision = state.revision;
            match &value {
                Some(value) => {
                    state
                        .items
                        .insert(key.to_owned(), (value.clone(), revision));
                }
                None => {
                    state.items.remove(key);
                }
            }
            state.changes.push(Change {
                key: key.to_owned(),
                value,
                revision,
            });
            changed.notify_all();
        }

        fn serve(&self, stream: TcpStream) {
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = Reader::new(stream);
            while let Some(request) = reader.next() {
                let answer = self.answer(&request);
                std::thread::sleep(Duration::from_millis(4));
                if writer.write_all(&answer).is_err() {
                    return;
                }
            }
        }

        fn answer(&self, request: &Message) -> Vec<u8> {
            let json = [("Content-Type", "application/json")];
            match request.path() {
                "/radishgauge/kv-range" => {
                    let state = self.state.0.lock().unwrap();
                    let after = request.parameter("after").unwrap_or_default();
                    let prefix = request.parameter("prefix").unwrap_or_default();
                    let items: Vec<String> = state
                        .items
                        .iter()
                        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                        .map(|(key, (value, revision))| item(key, value, *revision))
                        .collect();
                    let body = format!(
                        "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
                        items.join(","),
                        state.revision
                    );
                    http::answer(200, &json, body.as_bytes())
                }
                "/radishgauge/kv-watch" => {
                    let number = |name: &str| {
                        let value = request.parameter(name);
                        value
                            .and_then(|value| value.parse::<u64>().ok())
                            .unwrap_or(0)
                    };
                    let (after, wait) = (number("after"), number("waitMs"));
                    let body = self.watch(after, Duration::from_millis(wait));
                    http::answer(200, &json, body.as_bytes())
                }
                _ => http::answer(404, &json, b"{}"),
            }
        }

        fn watch(&self, after: u64, wait: Duration) -> String {
            let (state, changed) = &*self.state;
            let due = Instant::now() + wait;
            let mut state = state.lock().unwrap();
            loop {
                let later = state
                    .changes
                    .iter()
                    .filter(|change| change.revision > after);
                let events: Vec<String> = later
                    .map(|change| match &change.value {
                        Some(value) => item(&change.key, value, change.revision),
                        None => format!(
                            "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                            change.key, change.revision
                        ),
                    })
                    .collect();
                let left = due.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return format!(
                        "{{\"events\":[{}],\"asOf\":{}}}",
                        events.join(","),
                        state.revision
                    );
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
    }

    fn item(key: &str, value: &str, revision: u64) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        )
    }

    fn base64(bytes: &[u8]) -> String {
        const DIGITS: &[u8; 64] =
            b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        let mut text = String::new();
        for three in bytes.chunks(3) {
            let mut number = 0_u32;
            for index in 0..3 {
                number = number << 8 | u32::from(three.get(index).copied().unwrap_or(0));
            }
            for index in 0..4 {
                let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize];
                text.push(if index > three.len() {
                    '='
                } else {
                    char::from(digit)
                });
            }
        }
        text
    }
}

mod worker {
    //! A stand-in for one worker, as the pages describe it.

    use std::io::Write;
    use std::net::Shutdown;
    use std::net::SocketAddr;
    use std::net::TcpListener;
    use std::net::TcpStream;
    use std::sync::Arc;
    use std::sync::Mutex;
    use std::sync::atomic::AtomicBool;
    use std::sync::atomic::AtomicUsize;
    use std::sync::atomic::Ordering;
    use std::time::Duration;

    use crate::http;
    use crate::http::Message;
    use crate::http::Reader;
    use crate::record;

    /// A request that reached the worker.
    #[derive(Debug, Clone)]
    pub struct Arrival {
        pub at: Duration,
        pub id: String,
    }

    /// How a worker answers.
    #[derive(Debug, Clone)]
    pub struct Manner {
        pub id: String,
        /// How long a run takes.
        pub work: Duration,
        /// The length of an answer's body.
        pub answer_bytes: usize,
        /// Until when the worker is cold.
        pub cold_until: Duration,
        /// Further header lines of all answers.
        pub fields: Vec<(String, String)>,
    }

    #[derive(Clone)]
    pub struct Worker {
        capacity: usize,
        pub manner: Arc<Mutex<Manner>>,
        pub arrivals: Arc<Mutex<Vec<Arrival>>>,
        running: Arc<AtomicUsize>,
        has_ended: Arc<AtomicBool>,
        open: Arc<Mutex<Vec<TcpStream>>>,
    }

    impl Worker {
        pub fn start(address: SocketAddr, capacity: usize, manner: Manner) -> Worker {
            let listener = TcpListener::bind(address).expect("the worker's address");
            let worker = Worker {
                capacity,
                manner: Arc::new(Mutex::new(manner)),
                arrivals: Arc::default(),
                running: Arc::default(),
                has_ended: Arc::default(),
                open: Arc::default(),
            };
            let served = worker.clone();
            listener.set_nonblocking(true).expect("a listener");
            std::thread::spawn(move || {
                while !served.has_ended.load(Ordering::SeqCst) {
                    match listener.accept() {
                        Ok((stream, _)) => served.open(stream),
                        Err(_) => std::thread::sleep(Duration::from_millis(1)),
                    }
                }
            });
            worker
        }

        fn open(&self, stream: TcpStream) {
            if stream.set_nonblocking(false).is_err() {
                return;
            }
            if let Ok(second) = stream.try_clone() {
                self.open.lock().unwrap().push(second);
            }
            let worker = self.clone();
            std::thread::spawn(move || worker.serve(stream));
        }

        /// Ends the worker: its port and all its connections are closed.
        pub fn end(&self) {
            self.has_ended.store(true, Ordering::SeqCst);
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            record::line("a worker has ended");
        }

        fn serve(&self, stream: TcpStream) {
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = Reader::new(stream);
            while let Some(request) = reader.next() {
                let answer = self.answer(&request);
                if writer.write_all(&answer).is_err() {
                    return;
                }
            }
        }

        fn answer(&self, request: &Message) -> Vec<u8> {
            let manner = self.manner.lock().unwrap().clone();
            let fields = manner.fields.iter();
            let mut headers: Vec<(&str, &str)> = fields
                .map(|(name, value)| (name.as_str(), value.as_str()))
                .collect();
            let cold_left = manner.cold_until.saturating_sub(record::now()).as_millis();
            let cold_left = cold_left.to_string();
            if request.path() == "/health" {
                headers.push(("Radishgauge-Instance-Id", &manner.id));
                headers.push(("Radishgauge-Cold-Ms", &cold_left));
                return http::answer(200, &headers, b"");
            }
            let id = request.header("radishgauge-request-id").unwrap_or_default();
            headers.push(("Radishgauge-Request-Id", id));
            let meant = request.header("radishgauge-target-instance");
            if meant.is_some_and(|meant| meant != manner.id) {
                record::line(&format!("worker {} answers 421 to {id}", manner.id));
                return http::answer(421, &headers, b"");
            }
            let has_slot = self.running.fetch_add(1, Ordering::SeqCst) < self.capacity;
            self.arrivals.lock().unwrap().push(Arrival {
                at: record::now(),
                id: id.to_owned(),
            });
            record::line(&format!("worker {} runs {id}: {has_slot}", manner.id));
            let answer = if has_slot {
                std::thread::sleep(manner.work);
                headers.push(("Radishgauge-Response-Signature", "s.1"));
                http::answer(200, &headers, &vec![b'a'; manner.answer_bytes])
            } else {
                headers.push(("Radishgauge-Not-Executed", "1"));
                http::answer(503, &headers, b"")
            };
            self.running.fetch_sub(1, Ordering::SeqCst);
            answer
        }
    }
}
