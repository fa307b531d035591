//! Measures loading, packing and acceptance for the fleet size that the design
//! allows: 940 services, 6,000 targets and about 1,900 parts. Run it with
//! `cargo run --release -p radishgauge-config --example scale`.

use std::fmt::Write;
use std::fs;
use std::hint::black_box;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use radishgauge_config::FleetModel;
use radishgauge_config::accept;
use radishgauge_config::check_partial_model;
use radishgauge_config::compare;
use radishgauge_config::load_set;
use radishgauge_config::pack;
use radishgauge_config::read_packed;

const SERVICES: usize = 940;
const ROUTES: usize = 960;
const TARGETS: usize = 6000;
const REGIONS: usize = 3;
const DOMAINS: usize = 6;

/// The number of runs of each measurement; enough for a stable median, and short
/// enough for a total of a thirty_services seconds.
const RUNS: usize = 21;

fn main() -> anyhow::Result<()> {
    let files = tempfile::tempdir()?;
    write_files(files.path())?;
    let bytes: u64 = ["fleet.yaml", "services.yaml", "routes.yaml"]
        .iter()
        .map(|name| fs::metadata(files.path().join(name)).map(|file| file.len()))
        .sum::<Result<u64, _>>()?;
    let set = load_set(files.path())?;
    let packed = pack(&set, 1);
    let root = packed.index().root();
    let model = FleetModel::from_set(&set)?;
    let size: usize = packed.parts().map(|(_, value)| value.len()).sum();
    let (parts, values) = (packed.parts().count(), packed.values().len());
    println!("files {bytes} B, {parts} parts of {size} B, {values} values");
    measure("load_set", || load_set(files.path()).unwrap());
    measure("pack", || pack(&set, 1));
    measure("root_digest", || packed.root_digest());
    measure("values", || packed.values());
    measure("accept", || {
        assert!(accept(&root, packed.parts()).is_accepted())
    });
    measure("from_parts", || {
        FleetModel::from_parts(packed.parts()).unwrap()
    });
    measure("check_partial_model, all", || {
        check_partial_model(&model).unwrap()
    });
    measure("compare", || compare(&set, &set));
    let parts_of_scope = packed
        .parts()
        .filter(|(key, _)| !key.starts_with("service/"));
    let thirty_services = packed
        .parts()
        .filter(|(key, _)| key.starts_with("service/"))
        .take(30);
    let parts_of_scope: Vec<_> = parts_of_scope.chain(thirty_services).collect();
    measure("from_parts, 30 services", || {
        FleetModel::from_parts(parts_of_scope.iter().copied()).unwrap()
    });
    let partial = FleetModel::from_parts(parts_of_scope.iter().copied())?;
    measure("check_partial_model, 30", || {
        check_partial_model(&partial).unwrap()
    });
    let output = tempfile::tempdir()?;
    let start = Instant::now();
    packed.write_to(output.path())?;
    println!(
        "{:28} {:>9.3} ms",
        "write_to, empty directory",
        ms(start.elapsed())
    );
    let mut changed = set.clone();
    changed.services[7].slots = 30;
    let next = pack(&changed, 2);
    let start = Instant::now();
    let report = next.write_to(output.path())?;
    let time = ms(start.elapsed());
    println!(
        "{:28} {time:>9.3} ms, {} B",
        "write_to, one change", report.bytes
    );
    measure("read_packed", || read_packed(output.path()).unwrap());
    Ok(())
}

fn measure<T>(name: &str, mut run: impl FnMut() -> T) {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed()
        })
        .collect();
    times.sort();
    let (median, max) = (times[RUNS / 2], times[RUNS - 1]);
    println!(
        "{name:28} {:>9.3} ms median, {:>9.3} ms max",
        ms(median),
        ms(max)
    );
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn write_files(dir: &Path) -> anyhow::Result<()> {
    let mut fleet = "regions:\n".to_owned();
    for region in 0..REGIONS {
        writeln!(fleet, "  - name: region-{region}")?;
    }
    writeln!(fleet, "failure_domains:")?;
    for domain in 0..DOMAINS {
        let region = domain * REGIONS / DOMAINS;
        writeln!(
            fleet,
            "  - {{name: domain-{domain}, region: region-{region}}}"
        )?;
    }
    fs::write(dir.join("fleet.yaml"), fleet)?;
    let mut services = "services:\n".to_owned();
    for service in 0..SERVICES {
        writeln!(
            services,
            "  - name: service-{service}\n    slots: 20\n    targets:"
        )?;
        for target in (service..TARGETS).step_by(SERVICES) {
            let (high, low) = (target / 250, target % 250);
            writeln!(services, "      - host: host-{target}")?;
            writeln!(services, "        address: 10.1.{high}.{low}:8080")?;
            writeln!(services, "        daemon: 10.1.{high}.{low}:7100")?;
            writeln!(
                services,
                "        failure_domain: domain-{}",
                target % DOMAINS
            )?;
        }
    }
    fs::write(dir.join("services.yaml"), services)?;
    let mut routes = "routes:\n".to_owned();
    for route in 0..ROUTES {
        writeln!(
            routes,
            "  - name: route-{route}\n    path_prefix: /api/{route}"
        )?;
        writeln!(routes, "    service: service-{}", route % SERVICES)?;
        writeln!(
            routes,
            "    methods: [GET, POST]\n    home_regions: [region-0, region-1]"
        )?;
        let calls = [(route * 7 + 1) % SERVICES, (route * 11 + 2) % SERVICES];
        writeln!(
            routes,
            "    calls: [service-{}, service-{}]",
            calls[0], calls[1]
        )?;
    }
    fs::write(dir.join("routes.yaml"), routes)?;
    Ok(())
}
