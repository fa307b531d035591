//! Measures distribution in the virtual fleet, and computes a naive baseline.
//!
//! `cargo run --release -p radishgauge-control --example distribution -- 60 600 6000`
//!
//! For each number of hosts, it starts all of them together, waits, runs 20
//! changes at one every 5.76 s and at a rate of 920 restarts a day (for 6,000
//! hosts), and finally restarts all hosts. Bytes are those of encoded messages
//! plus 60 bytes of packet headers each, sent and received. The baseline is
//! computed for the same content: every daemon watches the root and reads a full
//! copy from a platform that serves 2,000 calls a second.

use std::time::Duration;

use radishgauge_standin::virtual_fleet::VirtualFleet;
use radishgauge_standin::virtual_fleet::content::FleetContent;
use radishgauge_standin::virtual_fleet::content::FleetSpec;

/// The time between two changes.
const CHANGE: Duration = Duration::from_millis(5760);
const CHANGES: usize = 20;
/// The restarts a day in a fleet of 6,000 hosts.
const RESTARTS_A_DAY: f64 = 920.0;

/// The calls for a full copy: the root, and a bundle for each index page.
const COPY_CALLS: f64 = 33.0;

/// The platform's capacity in calls a second.
const PLATFORM_RATE: f64 = 2000.0;

fn main() {
    for text in std::env::args().skip(1) {
        match text.parse() {
            Ok(hosts) if hosts >= 6 => measure(hosts),
            _ => {
                eprintln!("not a number of hosts of at least 6: {text}");
                std::process::exit(2);
            }
        }
    }
}

fn peak(calls: &[u32]) -> u32 {
    calls.iter().copied().max().unwrap_or(0)
}

fn measure(hosts: usize) {
    let spec = FleetSpec {
        regions: 3,
        domains: 2,
        hosts: hosts / 6,
        services: (hosts * 940 / 6000).max(6),
        seeds: 8.min(hosts / 6),
    };
    println!("== {hosts} hosts, {} services", spec.services);
    let mut content = FleetContent::new(&spec);
    let mut fleet = VirtualFleet::new(spec.clone(), 1);
    fleet.publish(&content);
    let empty = resident();
    fleet.start_all(Duration::from_millis(500));
    report_start("first start", &mut fleet, &content, hosts);
    println!("memory: {} kB a machine", (resident() - empty) / hosts);
    fleet.run_for(Duration::from_secs(60));
    ordinary_day(&mut fleet, &mut content, hosts);
    let second = fleet.now().as_secs() as usize + 1;
    for host in 0..spec.host_count() {
        fleet.restart(host, Duration::from_millis(host as u64 % 2000));
    }
    fleet.run_for(Duration::from_secs(3));
    fleet.publish_lists();
    report_start("restart of all", &mut fleet, &content, hosts);
    println!(
        "restart of all: peak platform calls {}/s",
        peak(&fleet.platform.calls[second.min(fleet.platform.calls.len())..])
    );
    baseline(&content, &spec);
}

fn report_start(name: &str, fleet: &mut VirtualFleet, content: &FleetContent, hosts: usize) {
    let before = bytes(fleet, hosts);
    let start = std::time::Instant::now();
    let took = fleet.run_until(content.version(), Duration::from_secs(300));
    let each = (bytes(fleet, hosts).saturating_sub(before)) / hosts as u64;
    println!(
        "{name}: last in force after {took:?}, {} without the version, peak platform calls {}/s, {each} B a daemon ({:?} real)",
        fleet.hosts_without(content.version()).len(),
        peak(&fleet.platform.calls),
        start.elapsed()
    );
}

fn ordinary_day(fleet: &mut VirtualFleet, content: &mut FleetContent, hosts: usize) {
    let before = bytes(fleet, hosts);
    let each: Vec<_> = (0..hosts).map(|host| fleet.host(host).bytes).collect();
    let platform_before: u64 = fleet.platform_bytes.values().sum();
    let links_before: u64 = fleet.link_bytes.values().sum();
    let second = fleet.now().as_secs() as usize;
    let start = fleet.now();
    fleet.delays.clear();
    fleet.handled = Default::default();
    fleet.measured = true;
    let restarts = RESTARTS_A_DAY / 86400.0 * hosts as f64 / 6000.0;
    let mut owed = 0.0;
    for number in 0..CHANGES {
        content.change_slots(number * 7 % fleet.spec.services);
        fleet.publish(content);
        owed += restarts * CHANGE.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            fleet.restart(number * 97 % hosts, Duration::from_secs(5));
        }
        fleet.run_for(CHANGE);
        fleet.publish_lists();
    }
    fleet.measured = false;
    let time = (fleet.now() - start).as_secs_f64();
    let mut delays: Vec<_> = fleet.delays.iter().map(|(_, delay)| *delay).collect();
    delays.sort_unstable();
    let at = |part: f64| delays[((delays.len() - 1) as f64 * part) as usize];
    println!(
        "ordinary day: in force median {:?}, p99 {:?}, last {:?} ({} samples)",
        at(0.5),
        at(0.99),
        at(1.0),
        delays.len()
    );
    let mut rates: Vec<_> = (0..hosts)
        .map(|host| fleet.host(host).bytes.saturating_sub(each[host]) as f64 / time)
        .collect();
    rates.sort_unstable_by(f64::total_cmp);
    println!(
        "control bytes: mean {:.0} B/s, p99 {:.0} B/s, greatest {:.0} B/s a daemon",
        (bytes(fleet, hosts) - before) as f64 / hosts as f64 / time,
        rates[(hosts - 1) * 99 / 100],
        rates[hosts - 1]
    );
    let calls = &fleet.platform.calls[second..];
    println!(
        "platform calls: peak {}/s, mean {:.1}/s",
        peak(calls),
        calls.iter().sum::<u32>() as f64 / time
    );
    let platform = fleet.platform_bytes.values().sum::<u64>() - platform_before;
    let links = fleet.link_bytes.values().sum::<u64>() - links_before;
    let changes = CHANGES as f64;
    let remote = (fleet.spec.regions - 1) as f64;
    println!(
        "bytes into a remote region per change: platform {:.0}, peers {:.0}; one delta (root, page, part) {}",
        platform as f64 / changes / remote,
        links as f64 / changes / fleet.spec.regions as f64,
        delta_bytes(content)
    );
    let (events, busy) = fleet.handled;
    println!(
        "processor: {:.2} us an event, {:.4}% of a core a daemon",
        busy.as_secs_f64() * 1e6 / events as f64,
        busy.as_secs_f64() / time / hosts as f64 * 100.0
    );
}

fn delta_bytes(content: &FleetContent) -> usize {
    let mut next = content.clone();
    next.change_slots(0);
    let values = next.values(Some(content));
    let bundle = |key: &radishgauge_control::PlatformKey| {
        matches!(key, radishgauge_control::PlatformKey::Bundle(_))
    };
    let needed = values.iter().filter(|(key, _)| !bundle(key));
    needed.map(|(_, value)| value.len()).sum()
}

fn baseline(content: &FleetContent, spec: &FleetSpec) {
    let hosts = spec.host_count() as f64;
    let copy = content.full_copy_bytes() as f64;
    let calls = hosts * (COPY_CALLS + 1.0);
    let remote = (spec.regions - 1) as f64 / spec.regions as f64;
    println!(
        "baseline (watch, full copies): {:.0} calls a change, last after {:.1} s at {PLATFORM_RATE} calls/s, \
         {:.0} B/s a daemon, {:.0} B into a remote region per change",
        calls,
        calls / PLATFORM_RATE,
        copy / CHANGE.as_secs_f64(),
        copy * hosts * remote / (spec.regions - 1).max(1) as f64
    );
}

fn bytes(fleet: &VirtualFleet, hosts: usize) -> u64 {
    (0..hosts).map(|host| fleet.host(host).bytes).sum()
}

/// Returns the resident memory of this process in kB.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}
