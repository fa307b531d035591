//! Properties of packing and acceptance, tested on sets generated from fixed seeds.

use std::fs;
use std::path::Path;

use proptest::collection::btree_map;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::sample::subsequence;
use proptest::test_runner::RngSeed;
use prost::Message;
use radishgauge_config::AcceptVerdict;
use radishgauge_config::DigestIndex;
use radishgauge_config::FleetModel;
use radishgauge_config::PackedSet;
use radishgauge_config::PartDigest;
use radishgauge_config::accept;
use radishgauge_config::check_partial_model;
use radishgauge_config::check_set;
use radishgauge_config::compare;
use radishgauge_config::load_set;
use radishgauge_config::open_root;
use radishgauge_config::open_value;
use radishgauge_config::pack;
use radishgauge_config::read_packed;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::Criticality;
use radishgauge_schema::config::DomainState;
use radishgauge_schema::config::FailureDomain;
use radishgauge_schema::config::FleetPolicy;
use radishgauge_schema::config::IndexPage;
use radishgauge_schema::config::Region;
use radishgauge_schema::config::Route;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::Target;
use radishgauge_schema::config::Tenant;

const REGIONS: [&str; 3] = ["addis", "bahir", "centro"];
const DOMAINS: [(&str, usize); 4] = [("a-1", 0), ("a-2", 0), ("b-1", 1), ("c-1", 2)];
const SERVICES: [&str; 5] = ["shop", "desk", "intake", "rutas", "photos"];

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn texts(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn regions() -> impl Strategy<Value = Vec<String>> {
    subsequence(REGIONS.to_vec(), 0..=REGIONS.len()).prop_map(|names| texts(&names))
}

// Derives addresses from the numbers of the service and the host, so that they are
// unique.
fn targets(service: usize) -> impl Strategy<Value = Vec<Target>> {
    btree_map(0..200_usize, select(DOMAINS.to_vec()), 0..8).prop_map(move |hosts| {
        let target = |(host, (domain, _)): (usize, (&str, usize))| Target {
            host: format!("host-{service}-{host}"),
            address: format!("10.{service}.{host}.1:80"),
            daemon: format!("10.{service}.{host}.1:7100"),
            failure_domain: domain.to_owned(),
        };
        hosts.into_iter().map(target).collect()
    })
}

fn service(at: usize) -> impl Strategy<Value = Service> {
    (
        1..=2_u32,
        2..=10_000_u32,
        1..=100_000_u32,
        targets(at),
        any::<u64>(),
    )
        .prop_map(
            move |(cold_start_slots, slots, connections, targets, owner_epoch)| Service {
                name: SERVICES[at].to_owned(),
                slots,
                connections,
                cold_start_slots,
                targets,
                owner_epoch,
                former_targets: Vec::new(),
            },
        )
}

fn route(at: usize) -> impl Strategy<Value = Route> {
    let methods = subsequence(vec!["GET", "POST", "PUT"], 0..=3);
    let calls = subsequence(SERVICES.to_vec(), 0..=SERVICES.len());
    let kind = (
        select(SERVICES.to_vec()),
        1..=3_i32,
        any::<bool>(),
        1..=600_000_u64,
    );
    (methods, calls, regions(), kind).prop_map(move |(methods, calls, home_regions, kind)| Route {
        name: format!("route-{at}"),
        path_prefix: format!("/path/{at}"),
        methods: texts(&methods),
        service: kind.0.to_owned(),
        criticality: kind.1,
        repeatable: kind.2,
        timeout_ms: kind.3,
        home_regions,
        calls: texts(&calls),
    })
}

fn fleet(state: i32) -> ConfigSet {
    let regions = REGIONS.map(|name| Region {
        name: name.to_owned(),
    });
    let domains = DOMAINS.map(|(name, region)| FailureDomain {
        name: name.to_owned(),
        region: REGIONS[region].to_owned(),
        state: DomainState::In.into(),
    });
    let mut set = ConfigSet {
        regions: regions.into(),
        failure_domains: domains.into(),
        policy: Some(FleetPolicy {
            retry_percent: 10,
            link_budget_kbit: 3000,
            repeat_window_s: 600,
            max_domains_out: 1,
            max_target_drop_percent: 50,
            quarantine_s: 600,
            ramp_step_ms: 2000,
        }),
        ..ConfigSet::default()
    };
    set.failure_domains[0].state = state;
    set
}

prop_compose! {
    fn sets()(
        state in 1..=2_i32,
        services in (service(0), service(1), service(2), service(3), service(4)),
        routes in vec(any::<()>(), 0..12).prop_flat_map(|routes| {
            (0..routes.len()).map(route).collect::<Vec<_>>()
        }),
        tenants in vec(regions(), 0..4),
    ) -> ConfigSet {
        let tenants = tenants.into_iter().enumerate().map(|(at, home_regions)| Tenant {
            name: format!("tenant-{at}"),
            home_regions,
        });
        ConfigSet {
            services: vec![services.0, services.1, services.2, services.3, services.4],
            routes,
            tenants: tenants.collect(),
            ..fleet(state)
        }
    }
}

fn shuffled(packed: &PackedSet) -> impl Strategy<Value = Vec<(String, Vec<u8>)>> + use<> {
    let parts = packed
        .parts()
        .map(|(key, value)| (key.to_string(), value.to_vec()));
    Just(parts.collect::<Vec<_>>()).prop_shuffle()
}

fn sets_and_orders() -> impl Strategy<Value = (ConfigSet, Vec<(String, Vec<u8>)>)> {
    sets().prop_flat_map(|set| {
        let packed = pack(&set, 5);
        (Just(set), shuffled(&packed))
    })
}

fn verdict(packed: &PackedSet, parts: &[(String, Vec<u8>)]) -> AcceptVerdict {
    let parts = parts.iter().map(|(key, value)| (key, value));
    accept(&packed.index().root(), parts)
}

proptest! {
    #![proptest_config(config(0x5eed_0001))]

    // Guards against a field that is lost by packing and unpacking.
    #[test]
    fn parts_contain_the_whole_set((set, parts) in sets_and_orders()) {
        let model = FleetModel::from_set(&set).unwrap();
        let unpacked = FleetModel::from_parts(parts.iter().map(|(key, value)| (key, value)));
        prop_assert_eq!(&unpacked.unwrap(), &model);
        prop_assert!(compare(&set, &model.to_set()).is_empty());
        prop_assert_eq!(pack(&model.to_set(), 5), pack(&set, 5));
    }

    // Guards against verdicts that depend on the order in which a daemon receives
    // the parts.
    #[test]
    fn acceptance_is_independent_of_order((set, parts) in sets_and_orders()) {
        prop_assert_eq!(check_set(&set), Ok(()));
        prop_assert!(verdict(&pack(&set, 5), &parts).is_accepted());
        // The same holds for a refused version.
        let mut bad = set.clone();
        bad.services.remove(0);
        bad.failure_domains[1].state = DomainState::Out.into();
        bad.failure_domains[2].state = DomainState::Out.into();
        let packed = pack(&bad, 5);
        let mut parts = parts;
        parts.retain(|(key, _)| packed.part(key).is_some());
        for (key, value) in &mut parts {
            *value = packed.part(key).unwrap().to_vec();
        }
        let refused = verdict(&packed, &parts);
        parts.sort();
        prop_assert!(matches!(refused, AcceptVerdict::Refused(_)));
        prop_assert_eq!(verdict(&packed, &parts), refused);
    }

    // Guards against accepting a corrupt root, part, page or bundle.
    #[test]
    fn flipped_bits_are_detected(set in sets(), at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let packed = pack(&set, 5);
        let flip = |value: &[u8]| {
            let mut value = value.to_vec();
            let at = at.index(value.len());
            value[at] ^= 1 << bit;
            value
        };
        let root = packed.index().root();
        prop_assert!(open_root(&flip(&root.encode_to_vec())).is_err());
        for (damaged, _) in packed.parts() {
            let parts = packed.parts().map(|(key, value)| {
                let value = if key == damaged { flip(value) } else { value.to_vec() };
                (key, value)
            });
            let page = DigestIndex::page_of(damaged);
            prop_assert_eq!(accept(&root, parts), AcceptVerdict::Mismatch(vec![page]));
        }
        for page in (0..32).filter(|page| !packed.index().page(*page).entries.is_empty()) {
            let value = flip(&packed.index().page(page).encode_to_vec());
            prop_assert_ne!(PartDigest::of(&value), packed.index().page_digest(page));
            for mut value in packed.bundle(page).parts {
                prop_assert!(open_value(&value).is_ok());
                value.value = flip(&value.value).into();
                prop_assert!(open_value(&value).is_err());
            }
        }
    }

    // Guards against a missing or additional part that acceptance does not detect.
    #[test]
    fn missing_or_additional_part_is_detected(set in sets(), at in any::<prop::sample::Index>()) {
        let packed = pack(&set, 5);
        let root = packed.index().root();
        let at = at.index(packed.parts().count());
        let (missing, _) = packed.parts().nth(at).unwrap();
        let page = DigestIndex::page_of(missing);
        let rest = packed.parts().filter(|(key, _)| *key != missing);
        prop_assert_eq!(accept(&root, rest), AcceptVerdict::Mismatch(vec![page]));
        let foreign = "service/foreign".into();
        let value = packed.part("fleet").unwrap();
        let more = packed.parts().chain([(&foreign, value)]);
        let page = DigestIndex::page_of("service/foreign");
        prop_assert_eq!(accept(&root, more), AcceptVerdict::Mismatch(vec![page]));
    }

    // Guards against refusing a partial model of an accepted version.
    #[test]
    fn partial_models_of_accepted_version_pass(
        set in sets(),
        loaded in vec(any::<bool>(), SERVICES.len()),
    ) {
        let packed = pack(&set, 5);
        let partial = packed.parts().filter(|(key, _)| {
            let at = SERVICES.iter().position(|name| **key == format!("service/{name}"));
            at.is_none_or(|at| loaded[at])
        });
        let partial = FleetModel::from_parts(partial).unwrap();
        prop_assert_eq!(check_partial_model(&partial), Ok(()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, ..config(0x5eed_0002) })]

    // Guards against a directory that differs from what was packed, and against
    // corrupt values of an interrupted run that are not replaced.
    #[test]
    fn packed_directory_contains_the_set(set in sets(), at in any::<prop::sample::Index>()) {
        let dir = tempfile::tempdir().unwrap();
        let packed = pack(&set, 5);
        let values = packed.values();
        let (damaged, _) = &values[at.index(values.len())];
        let path = dir.path().join(damaged);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, b"corrupt").unwrap();
        prop_assert_eq!(packed.write_to(dir.path()).unwrap().values, values.len());
        let (revision, read) = read_packed(dir.path()).unwrap();
        prop_assert_eq!(revision, 5);
        prop_assert!(compare(&set, &read).is_empty());
        for (key, value) in &values {
            prop_assert_eq!(&fs::read(dir.path().join(key)).unwrap(), value);
        }
        prop_assert_eq!(packed.write_to(dir.path()).unwrap().values, 0);
        prop_assert_eq!(values.last().map(|(key, _)| key.as_str()), Some("root"));
    }
}

prop_compose! {
    fn edits()(edits in vec((any::<prop::sample::Index>(), 0..4_usize, select(EDITS.to_vec())), 1..6))
        -> Vec<(prop::sample::Index, usize, &'static str)> { edits }
}

const EDITS: [&str; 12] = [
    "", " ", "\n", "\t", ":", "- ", "[", "}", "\"", "&a ", "*a", "ä",
];

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..config(0x5eed_0003) })]

    // Guards against a panic, an endless loop or a position outside of the file
    // when a file contains arbitrary edits.
    #[test]
    fn edited_files_give_faults_with_valid_positions(edits in edits(), file in 0..3_usize) {
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/cespedes");
        let dir = tempfile::tempdir().unwrap();
        for (at, name) in ["fleet.yaml", "routes.yaml", "services.yaml"].iter().enumerate() {
            let mut text: Vec<char> = fs::read_to_string(example.join(name)).unwrap().chars().collect();
            for (place, removed, added) in edits.iter().filter(|_| at == file) {
                let start = place.index(text.len());
                let end = (start + removed).min(text.len());
                text.splice(start..end, added.chars());
            }
            fs::write(dir.path().join(name), String::from_iter(text)).unwrap();
        }
        let first = load_set(dir.path());
        if let Err(faults) = &first {
            for fault in faults.faults() {
                let text = fs::read_to_string(&fault.file).unwrap();
                let lines: Vec<&str> = text.lines().collect();
                prop_assert!((1..=lines.len() + 1).contains(&fault.line), "{}", fault);
                let line = lines.get(fault.line - 1).copied().unwrap_or_default();
                prop_assert!((1..=line.chars().count() + 1).contains(&fault.column), "{}", fault);
            }
        }
        prop_assert_eq!(load_set(dir.path()), first);
    }
}

// Guards against a changed enum number of a criticality or a changed order of
// entries in a page, which daemons of another release would not understand.
#[test]
fn formats_are_stable() {
    assert_eq!(Criticality::Critical as i32, 3);
    let mut index = DigestIndex::new(1);
    index.insert("service/b".into(), PartDigest::of(b"b"));
    index.insert("service/a".into(), PartDigest::of(b"a"));
    let page = DigestIndex::page_of("service/a");
    let mut copy = DigestIndex::new(1);
    for page in 0..32 {
        copy.replace_page(page, &index.page(page)).unwrap();
    }
    assert_eq!(copy.root_digest(), index.root_digest());
    let mut wrong = index.page(page);
    wrong.entries.reverse();
    wrong.entries.extend(index.page(page).entries);
    assert!(copy.replace_page(page, &wrong).is_err());
    assert_eq!(copy, index);
    assert_eq!(IndexPage::default().encode_to_vec().len(), 0);
}
