//! Distribution of configuration changes in the virtual fleet for several fleet
//! sizes, compared with a naive baseline.
//!
//! For each size, all hosts start at once. A minute later, changes are published
//! every 5.76 s while hosts are restarted at the rate of an ordinary day. At the
//! end, all hosts restart. Bytes are those of encoded messages and packet
//! headers, sent and received. The baseline is computed for the same
//! configurations: every daemon watches the root and reads a full copy from a
//! platform that serves 2,000 calls a second.

use std::time::Duration;

use radishgauge_control::PlatformKey;
use radishgauge_standin::virtual_fleet::VirtualFleet;
use radishgauge_standin::virtual_fleet::content::FleetContent;
use radishgauge_standin::virtual_fleet::content::FleetSpec;

use crate::result::Curve;
use crate::result::ExperimentResult;

/// The time between changes, for 15,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5760);

/// The number of measured changes.
const CHANGES: usize = 20;

/// The number of measured changes in a quick run.
const QUICK_CHANGES: usize = 5;

/// The number of hosts, out of 6,000, that are restarted on an ordinary day.
const RESTARTS_A_DAY: f64 = 920.0;

/// The time after which the experiment stops waiting for a fleet to converge.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(300);

/// The number of calls for a full copy: the root, and a bundle for each index
/// page.
const COPY_CALLS: f64 = 1.0 + radishgauge_config::index::PAGES as f64;

/// The capacity of the baseline's platform, in calls a second.
const PLATFORM_RATE: f64 = 2000.0;

/// Runs the experiment. Each size is a number of hosts, at least 6.
pub fn run(seed: u64, quick: bool, sizes: &[usize]) -> ExperimentResult {
    let mut result = ExperimentResult::new("distribution", seed, quick);
    let changes = if quick { QUICK_CHANGES } else { CHANGES };
    let mut plots = SizePlots::new();
    for size in sizes {
        let mut run = SizeRun::new(*size, seed, changes);
        run.measure();
        run.collect(&mut result);
        plots.add(&run);
    }
    result.curves = plots.curves.into();
    result
}

struct SizePlots {
    curves: [Curve; 4],
}

impl SizePlots {
    fn new() -> SizePlots {
        let curve = |name, y| Curve::new(name, "hosts", y).logarithmic();
        SizePlots {
            curves: [
                curve("convergence", "time until in force, s"),
                curve("control", "control bytes a second and daemon"),
                curve("calls", "platform calls for each change"),
                curve("link", "bytes into a remote region for each change"),
            ],
        }
    }

    fn add(&mut self, run: &SizeRun) {
        let x = run.hosts as f64;
        let [convergence, control, calls, link] = &mut self.curves;
        let point = |curve: &mut Curve, series: &str, figure: &str| {
            if let Some((_, y)) = run.figures.iter().find(|(name, _)| name == figure) {
                curve.add(series, x, *y);
            }
        };
        point(convergence, "median", "change in force, median, s");
        point(convergence, "last", "change in force, last, s");
        point(convergence, "baseline, last", "baseline: last in force, s");
        point(control, "mean", "control, mean, B/s");
        point(control, "greatest", "control, greatest, B/s");
        point(control, "baseline", "baseline: control, B/s");
        point(calls, "mesh", "platform calls per change");
        point(calls, "baseline", "baseline: platform calls per change");
        point(link, "from the platform", "link, platform, B per change");
        point(link, "from peers", "link, peers, B per change");
        point(link, "baseline", "baseline: link, B per change");
    }
}

struct SizeRun {
    hosts: usize,
    changes: usize,
    content: FleetContent,
    fleet: VirtualFleet,
    figures: Vec<(String, f64)>,
}

impl SizeRun {
    fn new(size: usize, seed: u64, changes: usize) -> SizeRun {
        let spec = FleetSpec {
            regions: 3,
            domains: 2,
            hosts: size / 6,
            services: (size * 940 / 6000).max(6),
            seeds: 8.min(size / 6),
        };
        let content = FleetContent::new(&spec);
        SizeRun {
            hosts: spec.host_count(),
            changes,
            fleet: VirtualFleet::new(spec, seed),
            content,
            figures: Vec::new(),
        }
    }

    fn add_figure(&mut self, name: &str, value: f64) {
        self.figures.push((name.into(), value));
    }

    fn collect(&self, result: &mut ExperimentResult) {
        for (name, value) in &self.figures {
            let key = format!("{} hosts, {name}", self.hosts);
            result.figures.insert(key, *value);
        }
    }

    fn measure(&mut self) {
        eprintln!("distribution: {} hosts, first start", self.hosts);
        self.fleet.publish(&self.content);
        self.fleet.start_all(Duration::from_millis(500));
        self.measure_convergence("first start", 0);
        self.fleet.run_for(Duration::from_secs(60));
        eprintln!("distribution: {} hosts, ordinary day", self.hosts);
        self.ordinary_day();
        eprintln!("distribution: {} hosts, restart of all", self.hosts);
        let second = self.fleet.now().as_secs() as usize + 1;
        for host in 0..self.hosts {
            let after = Duration::from_millis(host as u64 % 2000);
            self.fleet.restart(host, after);
        }
        self.fleet.run_for(Duration::from_secs(3));
        self.fleet.publish_lists();
        self.measure_convergence("restart of all", second);
        self.baseline();
    }

    fn measure_convergence(&mut self, name: &str, second: usize) {
        let version = self.content.version();
        let start = self.fleet.now();
        let took = self.fleet.run_until(version, CONVERGENCE_TIMEOUT);
        let took = took.unwrap_or_else(|| self.fleet.now() - start);
        let outdated_hosts = self.fleet.hosts_without(version).len();
        let calls = self.fleet.platform.calls.get(second..).unwrap_or(&[]);
        let peak = peak(calls);
        self.add_figure(&format!("{name}: last in force, s"), took.as_secs_f64());
        self.add_figure(
            &format!("{name}: hosts behind at the end"),
            outdated_hosts as f64,
        );
        self.add_figure(&format!("{name}: peak platform calls/s"), peak);
    }

    fn ordinary_day(&mut self) {
        let hosts = self.hosts;
        let before: Vec<_> = (0..hosts).map(|host| self.fleet.host(host).bytes).collect();
        let platform: u64 = self.fleet.platform_bytes.values().sum();
        let links: u64 = self.fleet.link_bytes.values().sum();
        let second = self.fleet.now().as_secs() as usize;
        let start = self.fleet.now();
        self.fleet.delays.clear();
        self.fleet.handled = Default::default();
        self.fleet.measured = true;
        let restarts = RESTARTS_A_DAY / 86400.0 * hosts as f64 / 6000.0;
        let mut due_restarts = 0.0;
        for number in 0..self.changes {
            self.content
                .change_slots(number * 7 % self.fleet.spec.services);
            self.fleet.publish(&self.content);
            due_restarts += restarts * CHANGE_INTERVAL.as_secs_f64();
            while due_restarts >= 1.0 {
                due_restarts -= 1.0;
                self.fleet
                    .restart(number * 97 % hosts, Duration::from_secs(5));
            }
            self.fleet.run_for(CHANGE_INTERVAL);
            self.fleet.publish_lists();
        }
        self.fleet.measured = false;
        let time = (self.fleet.now() - start).as_secs_f64();
        let changes = self.changes as f64;

        let mut delays: Vec<_> = self.fleet.delays.iter().map(|(_, delay)| *delay).collect();
        delays.sort_unstable();
        for (name, fraction) in [("median", 0.5), ("p99", 0.99), ("last", 1.0)] {
            let rank = (delays.len().saturating_sub(1) as f64 * fraction) as usize;
            if let Some(delay) = delays.get(rank) {
                self.add_figure(&format!("change in force, {name}, s"), delay.as_secs_f64());
            }
        }
        let expected = hosts * self.changes;
        self.add_figure(
            "changes in force, part of all",
            delays.len() as f64 / expected as f64,
        );

        let mut rates: Vec<_> = (0..hosts)
            .map(|host| self.fleet.host(host).bytes.saturating_sub(before[host]) as f64 / time)
            .collect();
        rates.sort_unstable_by(f64::total_cmp);
        self.add_figure(
            "control, mean, B/s",
            rates.iter().sum::<f64>() / hosts as f64,
        );
        self.add_figure("control, p99, B/s", rates[(hosts - 1) * 99 / 100]);
        self.add_figure("control, greatest, B/s", rates[hosts - 1]);

        let calls = self.fleet.platform.calls.get(second..).unwrap_or(&[]);
        let (peak, sum) = (peak(calls), calls.iter().sum::<u32>() as f64);
        self.add_figure("platform calls, peak a second", peak);
        self.add_figure("platform calls per change", sum / changes);

        let platform = self.fleet.platform_bytes.values().sum::<u64>() - platform;
        let links = self.fleet.link_bytes.values().sum::<u64>() - links;
        let regions = self.fleet.spec.regions as f64;
        self.add_figure(
            "link, platform, B per change",
            platform as f64 / changes / (regions - 1.0),
        );
        self.add_figure(
            "link, peers, B per change",
            links as f64 / changes / regions,
        );
        let delta = delta_bytes(&self.content);
        self.add_figure("one delta (root, page, part), B", delta as f64);
        let (events, busy) = self.fleet.handled;
        self.add_figure(
            "processor (real time), us an event",
            busy.as_secs_f64() * 1e6 / events.max(1) as f64,
        );
    }

    fn baseline(&mut self) {
        let hosts = self.hosts as f64;
        let regions = self.fleet.spec.regions as f64;
        let copy = self.content.full_copy_bytes() as f64;
        let calls = hosts * (COPY_CALLS + 1.0);
        self.add_figure("baseline: platform calls per change", calls);
        self.add_figure("baseline: last in force, s", calls / PLATFORM_RATE);
        self.add_figure(
            "baseline: control, B/s",
            copy / CHANGE_INTERVAL.as_secs_f64(),
        );
        self.add_figure("baseline: link, B per change", copy * hosts / regions);
    }
}

fn peak(calls: &[u32]) -> f64 {
    f64::from(calls.iter().copied().max().unwrap_or(0))
}

// Returns the total length in bytes of the values, except bundles, that a change
// of one service replaces.
fn delta_bytes(content: &FleetContent) -> usize {
    let mut next = content.clone();
    next.change_slots(0);
    let values = next.values(Some(content));
    let needed = values
        .iter()
        .filter(|(key, _)| !matches!(key, PlatformKey::Bundle(_)));
    needed.map(|(_, value)| value.len()).sum()
}
