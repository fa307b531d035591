//! Former targets of services over a sequence of packed versions.

use std::path::Path;

use proptest::collection::btree_set;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use radishgauge_config::FleetModel;
use radishgauge_config::accept;
use radishgauge_config::compare;
use radishgauge_config::former::MAX_FORMER_HOSTS;
use radishgauge_config::former::MAX_FORMER_SETS;
use radishgauge_config::load_set;
use radishgauge_config::pack;
use radishgauge_config::pack::VALUE_MAX;
use radishgauge_config::read_packed;
use radishgauge_config::with_former_targets;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::FailureDomain;
use radishgauge_schema::config::FormerTargets;
use radishgauge_schema::config::Region;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::Target;

/// Returns a set of one service with a target on each host.
fn set<H>(owner_epoch: u64, region: &str, hosts: H) -> ConfigSet
where
    H: IntoIterator<Item = usize>,
{
    let target = |host: usize| Target {
        host: format!("host-{host}"),
        address: format!("10.{}.{}.1:80", host / 250, host % 250),
        daemon: format!("10.{}.{}.1:7100", host / 250, host % 250),
        failure_domain: "a-1".to_owned(),
    };
    let regions = ["addis", "bahir"].map(|name| Region {
        name: name.to_owned(),
    });
    ConfigSet {
        regions: regions.into(),
        failure_domains: vec![FailureDomain {
            name: "a-1".to_owned(),
            region: region.to_owned(),
            state: 0,
        }],
        services: vec![Service {
            name: "shop".to_owned(),
            slots: 20,
            connections: 110,
            cold_start_slots: 2,
            targets: hosts.into_iter().map(target).collect(),
            owner_epoch,
            former_targets: Vec::new(),
        }],
        ..ConfigSet::default()
    }
}

fn former_target_sets(set: &ConfigSet) -> &[FormerTargets] {
    &set.services[0].former_targets
}

fn hosts(entry: &FormerTargets) -> Vec<&str> {
    let targets = entry.targets.iter();
    targets.map(|target| target.host.as_str()).collect()
}

/// Applies the sets as revisions 1, 2, … and returns the last one with its former
/// targets.
fn apply_in_order<S>(sets: S) -> ConfigSet
where
    S: IntoIterator<Item = ConfigSet>,
{
    let mut last = ConfigSet::default();
    for (index, set) in sets.into_iter().enumerate() {
        last = with_former_targets(&set, &last, index as u64 + 1);
    }
    last
}

// Guards against former targets that are lost when a set is packed and read, and
// against a change of hosts, region or epoch that adds no former set.
#[test]
fn each_kind_of_change_adds_a_former_set() {
    let dir = tempfile::tempdir().unwrap();
    let sets = [
        set(0, "addis", [1, 2]),
        set(0, "addis", [2, 3]),
        set(0, "bahir", [2, 3]),
        set(1, "bahir", [2, 3]),
        set(1, "bahir", [3, 2]),
    ];
    for (index, set) in sets.iter().enumerate() {
        let revision = index as u64 + 1;
        let set = match read_packed(dir.path()) {
            Ok((_, previous)) => with_former_targets(set, &previous, revision),
            Err(_) => set.clone(),
        };
        let packed = pack(&set, revision);
        let verdict = accept(&packed.index().root(), packed.parts());
        assert!(verdict.is_accepted(), "{verdict:?}");
        packed.write_to(dir.path()).unwrap();
    }
    let (_, last) = read_packed(dir.path()).unwrap();
    let model = FleetModel::from_set(&last).unwrap();
    let entries = model.services["shop"].former.iter().map(|entry| {
        let targets = entry.targets.iter();
        let targets: Vec<String> = targets
            .map(|(host, region)| format!("{host} {region}"))
            .collect();
        (
            entry.left_at,
            entry.owner_epoch,
            targets.join(", "),
            entry.merged,
        )
    });
    let expected = [
        (2, 0, "host-1 addis, host-2 addis"),
        (3, 0, "host-2 addis, host-3 addis"),
        (4, 0, "host-2 bahir, host-3 bahir"),
    ];
    let expected = expected.map(|(left, epoch, hosts)| (left, epoch, hosts.to_owned(), false));
    assert_eq!(entries.collect::<Vec<_>>(), expected);
    // Operators cannot set the field, so it is not shown as a difference.
    assert!(compare(&sets[4], &last).is_empty());
}

// Guards against former targets that grow without bound, and against hosts that
// are lost when old sets are merged.
#[test]
fn older_sets_are_merged() {
    let last = apply_in_order((0..100).map(|host| set(0, "addis", [host])));
    let entries = former_target_sets(&last);
    assert_eq!(entries.len(), MAX_FORMER_SETS + 1);
    let (merged, separate) = entries.split_first().unwrap();
    assert!(merged.merged && separate.iter().all(|entry| !entry.merged));
    // Host 99 is current, hosts 67 to 98 are the 32 newest former sets.
    assert_eq!((merged.targets.len(), merged.left_at), (67, 68));
    assert_eq!(hosts(&separate[0]), ["host-67"]);
    assert_eq!(separate[31].left_at, 100);
}

// Guards against a service with many targets whose former sets make its packed
// part longer than the maximum. The oldest sets are merged to prevent this.
#[test]
fn former_sets_are_merged_to_stay_within_the_size_limit() {
    let last = apply_in_order((0..40).map(|owner_epoch| set(owner_epoch, "addis", 0..2000)));
    let entries = former_target_sets(&last);
    let count: usize = entries.iter().map(|entry| entry.targets.len()).sum();
    assert!(count <= MAX_FORMER_HOSTS, "{count}");
    assert!(entries.len() > 1 && entries[0].merged);
    let packed = pack(&last, 40);
    assert!(packed.part("service/shop").unwrap().len() <= VALUE_MAX);
    assert!(accept(&packed.index().root(), packed.parts()).is_accepted());
}

// Guards against accepting entries with a revision that no daemon reaches, which
// the new owners of keys would wait for, and entries that name no possible host.
#[test]
fn acceptance_refuses_invalid_former_targets() {
    let reasons = |change: &dyn Fn(&mut Vec<FormerTargets>)| {
        let mut set = apply_in_order([set(0, "addis", [1]), set(0, "addis", [2])]);
        change(&mut set.services[0].former_targets);
        let packed = pack(&set, 2);
        accept(&packed.index().root(), packed.parts()).reasons()
    };
    assert!(reasons(&|_| {}).is_empty());
    assert_eq!(
        reasons(&|entries| entries[0].left_at = 3),
        [
            "service/shop: former_targets[0].left_at: later than the version; found: 3; \
          accepted: 1 to 2"
        ]
    );
    assert_eq!(
        reasons(&|entries| entries[0].left_at = 0),
        [
            "service/shop: former_targets[0].left_at: value not accepted; found: 0; \
          accepted: a whole number of at least 1 as a revision"
        ]
    );
    let found = reasons(&|entries| entries[0].targets[0].host = "Shop 1".to_owned());
    assert!(
        found[0].starts_with(
            "service/shop: former_targets[0].targets[0].host: value not accepted; \
             found: \"Shop 1\"; accepted: 1 to 63 lower-case letters"
        ),
        "{found:?}"
    );
    assert_eq!(
        reasons(&|entries| *entries = vec![entries[0].clone(); MAX_FORMER_SETS + 2]),
        [
            "service/shop: former_targets: too many former sets of targets; found: 34; \
          accepted: up to 33"
        ]
    );
}

// Guards against an operator's file that adds or removes former targets.
#[test]
fn files_cannot_set_former_targets() {
    let dir = tempfile::tempdir().unwrap();
    let text = "services:\n  - name: shop\n    former_targets: []\n";
    std::fs::write(dir.path().join("set.yaml"), text).unwrap();
    let faults = load_set(Path::new(dir.path())).unwrap_err();
    let fault = &faults.faults()[0];
    assert_eq!(faults.faults().len(), 1);
    assert_eq!((fault.line, fault.problem.as_str()), (3, "unknown field"));
    assert!(!fault.accepted.contains("former_targets"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(0x5eed_0f02),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a missing former set: new owners would not ask its hosts for
    // their keys, and a request could run twice.
    #[test]
    fn newest_former_sets_are_listed_separately(
        // With few hosts, sets recur; with many, the limit of former sets is reached.
        versions in select(vec![3_usize, 200]).prop_flat_map(|pool| {
            vec((0..2_u64, any::<bool>(), btree_set(0..pool, 1..4)), 1..120)
        }),
    ) {
        let region = |bahir: bool| if bahir { "bahir" } else { "addis" };
        let sets = versions.iter().map(|(epoch, bahir, hosts)| {
            set(*epoch, region(*bahir), hosts.iter().copied())
        });
        let last = apply_in_order(sets);
        let changes = versions.windows(2).enumerate();
        let changes = changes.filter(|(_, pair)| pair[0] != pair[1]);
        let changes: Vec<_> = changes.map(|(index, pair)| (index as u64 + 2, &pair[0])).collect();
        prop_assert!(former_target_sets(&last).len() <= MAX_FORMER_SETS + 1);
        for (age, (left_at, (epoch, bahir, hosts))) in changes.iter().rev().enumerate() {
            let names = hosts.iter().map(|host| format!("host-{host}"));
            let mut names: Vec<String> = names.collect();
            // Targets are sorted by name, not by number.
            names.sort();
            let separate = former_target_sets(&last).iter().any(|entry| {
                let same = entry.targets.iter().map(|target| (&target.host, target.region.as_str()));
                !entry.merged
                    && entry.owner_epoch == *epoch
                    && entry.left_at >= *left_at
                    && same.eq(names.iter().map(|name| (name, region(*bahir))))
            });
            let merged = former_target_sets(&last).iter().any(|entry| {
                let lists_host = |name: &String| entry.targets.iter().any(|target| target.host == *name);
                entry.merged && entry.left_at >= *left_at && names.iter().all(lists_host)
            });
            prop_assert!(separate || age >= MAX_FORMER_SETS && merged, "change {left_at}");
        }
    }
}
