//! Loads, compares and packs whole sets.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use radishgauge_config::ChangeKind;
use radishgauge_config::FleetModel;
use radishgauge_config::PartDigest;
use radishgauge_config::SetDiff;
use radishgauge_config::compare;
use radishgauge_config::load_set;
use radishgauge_config::load_settings;
use radishgauge_config::model::Criticality;
use radishgauge_config::model::PolicyModel;
use radishgauge_config::pack;
use radishgauge_config::read_packed;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::DomainState;
use radishgauge_schema::config::Target;
use radishgauge_schema::config::Tenant;
use radishgauge_schema::settings::LogLevel;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn abay() -> ConfigSet {
    load_set(&example("abay-etchcraft")).unwrap()
}

fn lines(diff: &SetDiff) -> Vec<String> {
    let line = |change: &radishgauge_config::SetChange| {
        let sign = change.kind.sign();
        let text = format!(
            "{sign} {} {} {} {} -> {}",
            change.entry, change.name, change.field, change.before, change.after
        );
        text.trim_end_matches(" -> ").to_owned()
    };
    diff.changes.iter().map(line).collect()
}

// Guards against example files that no longer load, and against a value that is
// lost in the conversion from file to model.
#[test]
fn examples_load_completely() {
    let model = FleetModel::from_set(&abay()).unwrap();
    assert_eq!(model.regions, ["addis", "bahir"]);
    assert_eq!(model.domains["bahir-gion"].region, "bahir");
    let sizes: Vec<usize> = model
        .services
        .values()
        .map(|service| service.targets.len())
        .collect();
    assert_eq!(sizes, [4, 5, 4]);
    let orders = &model.routes["orders"];
    assert_eq!(orders.criticality, Criticality::Critical);
    assert!(!orders.repeatable);
    assert_eq!(orders.timeout, Duration::from_secs(3));
    assert_eq!(orders.calls, ["motif-shop"]);
    assert_eq!(model.tenants["tana-weavers"].home_regions, ["bahir"]);
    assert_eq!(model.policy.link_budget_kbit, 2000);
    let cespedes = FleetModel::from_set(&load_set(&example("cespedes")).unwrap()).unwrap();
    assert!(
        cespedes
            .services
            .values()
            .all(|service| service.targets.len() == 4)
    );
    assert!(
        cespedes
            .services
            .values()
            .all(|service| service.connections == 110)
    );
    let settings = load_settings(&example("settings.yaml")).unwrap();
    assert_eq!(settings.host, "shop-1");
    let target = &model.services["motif-shop"].targets["shop-1"];
    assert_eq!(settings.listen.unwrap().peers, target.daemon.to_string());
}

// Guards against a default in the code that differs from the one in the schema.
#[test]
fn model_defaults_match_schema() {
    let dir = tempfile::tempdir().unwrap();
    let text = "services:\n  - name: shop\nroutes:\n  - {name: a, path_prefix: /, service: shop}\n";
    fs::write(dir.path().join("set.yaml"), text).unwrap();
    let model = FleetModel::from_set(&load_set(dir.path()).unwrap()).unwrap();
    assert_eq!(model.policy, PolicyModel::default());
    let shop = &model.services["shop"];
    assert_eq!(
        (shop.slots, shop.connections, shop.cold_start_slots),
        (20, 110, 2)
    );
    assert_eq!(model.routes["a"].criticality, Criticality::Normal);
    assert_eq!(model.routes["a"].timeout, Duration::from_secs(2));
    let file = dir.path().join("settings");
    let text = "host: a\nregion: b\nfailure_domain: c\nplatform: {url: \"http://[::1]:80/v1\"}\n\
                listen: {callers: \"[::1]:0\", peers: \"[::1]:0\", operators: \"[::1]:0\"}\n\
                tls: {ca: a, certificate: b, key: c}\n";
    fs::write(&file, text).unwrap();
    let settings = load_settings(&file).unwrap();
    let policy = settings.policy.unwrap();
    assert_eq!(policy.exchange_interval_ms, 2000);
    assert_eq!(policy.relays, 5);
    assert_eq!(settings.limits.unwrap().header_kib, 32);
    let telemetry = settings.telemetry.unwrap();
    assert_eq!(telemetry.log_level(), LogLevel::Info);
    assert_eq!(
        (telemetry.trace_per_mille, telemetry.statsd.as_str()),
        (1, "")
    );
}

// Guards against differences that are not reported, and against reporting a changed
// order of entries as a difference.
#[test]
fn differences_are_named_as_in_files() {
    let old = abay();
    let mut new = old.clone();
    new.services.reverse();
    new.services[0].targets.reverse();
    new.routes[0].methods.reverse();
    assert!(compare(&old, &new).is_empty());
    new.failure_domains[0].state = DomainState::Out.into();
    new.services[0].slots = 24;
    new.services[0].targets.remove(0);
    new.services[2].targets.push(Target {
        host: "shop-6".to_owned(),
        address: "127.0.0.1:8106".to_owned(),
        daemon: "127.0.0.1:7106".to_owned(),
        failure_domain: "bahir-gion".to_owned(),
    });
    new.routes.remove(0);
    new.tenants.push(Tenant {
        name: "gion-press".to_owned(),
        home_regions: vec!["bahir".to_owned()],
    });
    new.policy.as_mut().unwrap().max_domains_out = 1;
    let diff = compare(&old, &new);
    assert_eq!(
        lines(&diff),
        [
            "~ failure domain addis-bole state in -> out",
            "~ service art-intake slots 20 -> 24",
            "- target art-intake/intake-4  address: 127.0.0.1:8304, daemon: 127.0.0.1:7304, \
             failure_domain: bahir-gion",
            "+ target motif-shop/shop-6   -> address: 127.0.0.1:8106, daemon: 127.0.0.1:7106, \
             failure_domain: bahir-gion",
            "- route catalogue  path_prefix: /motifs, methods: [GET, HEAD], service: motif-shop, \
             criticality: sheddable, repeatable: true, timeout_ms: 800",
            "+ tenant gion-press   -> home_regions: [bahir]",
            "~ policy  max_domains_out 2 -> 1",
        ]
    );
    assert!(diff.drops.is_empty());
    let back = compare(&new, &old);
    assert_eq!(back.changes.len(), diff.changes.len());
    assert_eq!(back.changes[4].kind, ChangeKind::Added);
}

// Guards against a set that silently removes most targets of a service, for
// example because a file is missing.
#[test]
fn removal_of_many_targets_is_reported() {
    let old = abay();
    let mut new = old.clone();
    let keep_targets = |set: &mut ConfigSet, count: usize| set.services[0].targets.truncate(count);
    keep_targets(&mut new, 3);
    assert!(compare(&old, &new).drops.is_empty());
    keep_targets(&mut new, 2);
    let drops = compare(&old, &new).drops;
    assert_eq!((drops[0].before, drops[0].removed), (5, 3));
    assert_eq!(
        drops[0].to_string(),
        "service motif-shop: too many targets removed at once; found: 3 of 5; accepted: up to 50 \
         percent, by policy.max_target_drop_percent of the newer set"
    );
    new.services.remove(1);
    assert_eq!(compare(&old, &new).drops.len(), 2);
    new.policy.as_mut().unwrap().max_target_drop_percent = 100;
    assert!(compare(&old, &new).drops.is_empty());
    // A replaced host counts as removed, because its target starts cold.
    let mut replaced = old.clone();
    for target in &mut replaced.services[0].targets {
        target.host = format!("new-{}", target.host);
    }
    assert_eq!(compare(&old, &replaced).drops.len(), 1);
    assert!(compare(&ConfigSet::default(), &old).drops.is_empty());
}

// Guards against a root that refers to values whose write failed.
#[test]
fn failed_write_does_not_replace_root() {
    let dir = tempfile::tempdir().unwrap();
    let set = abay();
    pack(&set, 1).write_to(dir.path()).unwrap();
    let root = fs::read(dir.path().join("root")).unwrap();
    let mut next = set.clone();
    next.services[0].slots = 24;
    let next = pack(&next, 2);
    // A file cannot replace a directory with the same name.
    let part = next.part("service/motif-shop").unwrap();
    let blocked = format!("part/{}", PartDigest::of(part));
    fs::create_dir(dir.path().join(blocked)).unwrap();
    assert!(next.write_to(dir.path()).is_err());
    assert_eq!(fs::read(dir.path().join("root")).unwrap(), root);
    assert_eq!(read_packed(dir.path()).unwrap().0, 1);
}
