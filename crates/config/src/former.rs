//! Records the former targets of services in each new version.
//!
//! The targets of a service determine which host owns a caller's idempotency key.
//! A restarted daemon knows no earlier version. If the version did not list the
//! former targets, the daemon could run a request again that the former owner of
//! its key already ran.

use std::collections::BTreeMap;
use std::collections::HashMap;

use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::FormerTarget;
use radishgauge_schema::config::FormerTargets;
use radishgauge_schema::config::Service;

/// The maximum number of former sets of targets that one service lists
/// separately. Older sets are merged into one additional entry, whose hosts must
/// all transfer their keys.
pub const MAX_FORMER_SETS: usize = 32;

/// The maximum number of hosts in all former sets of one service, unless a single
/// entry has more. At about 35 bytes each they take up to a third of the maximum
/// length of a part.
pub const MAX_FORMER_HOSTS: usize = 10_000;

/// Returns a copy of `set` with the former targets of its services.
///
/// For a service whose owner epoch, hosts or regions differ from those in
/// `previous`, the targets in `previous` are added as a former set with `left_at`
/// equal to `revision`. Former sets that `previous` or `set` already list are
/// retained.
///
/// # Examples
///
/// ```
/// use radishgauge_config::with_former_targets;
/// use radishgauge_schema::config::ConfigSet;
/// use radishgauge_schema::config::Service;
/// use radishgauge_schema::config::Target;
///
/// let target = Target { host: "shop-1".to_owned(), ..Target::default() };
/// let shop = Service { targets: vec![target], ..Service::default() };
/// let previous = ConfigSet { services: vec![shop], ..ConfigSet::default() };
/// let mut set = previous.clone();
/// set.services[0].targets[0].host = "shop-2".to_owned();
/// let set = with_former_targets(&set, &previous, 2);
/// let former = &set.services[0].former_targets[0];
/// assert_eq!((former.targets[0].host.as_str(), former.left_at), ("shop-1", 2));
/// ```
pub fn with_former_targets(set: &ConfigSet, previous: &ConfigSet, revision: u64) -> ConfigSet {
    let (regions, old_regions) = (regions_of(set), regions_of(previous));
    let services = previous.services.iter();
    let services: HashMap<&str, &Service> = services
        .map(|service| (service.name.as_str(), service))
        .collect();
    let mut filled = set.clone();
    for service in &mut filled.services {
        let Some(previous_service) = services.get(service.name.as_str()) else {
            continue;
        };
        let replaced = FormerTargets {
            left_at: revision,
            ..targets_of(previous_service, &old_regions)
        };
        let mut former = std::mem::take(&mut service.former_targets);
        let earlier_sets = previous_service.former_targets.iter().cloned();
        let current = targets_of(service, &regions);
        let same =
            replaced.owner_epoch == current.owner_epoch && replaced.targets == current.targets;
        // A service without targets owned no keys.
        let replaced = Some(replaced).filter(|replaced| !same && !replaced.targets.is_empty());
        for entry in earlier_sets.chain(replaced) {
            add_former_set(&mut former, entry);
        }
        former.sort_by_key(|entry| (!entry.merged, entry.left_at));
        merge_excess(&mut former);
        service.former_targets = former;
    }
    filled
}

fn regions_of(set: &ConfigSet) -> HashMap<&str, &str> {
    set.failure_domains
        .iter()
        .map(|domain| (domain.name.as_str(), domain.region.as_str()))
        .collect()
}

fn targets_of(service: &Service, regions: &HashMap<&str, &str>) -> FormerTargets {
    let targets = service.targets.iter().map(|target| FormerTarget {
        host: target.host.clone(),
        region: regions
            .get(target.failure_domain.as_str())
            .copied()
            .unwrap_or_default()
            .to_owned(),
    });
    let mut targets: Vec<FormerTarget> = targets.collect();
    targets.sort_by(|a, b| a.host.cmp(&b.host));
    FormerTargets {
        owner_epoch: service.owner_epoch,
        targets,
        left_at: 0,
        merged: false,
    }
}

// A set that was replaced more than once keeps the latest revision.
fn add_former_set(former: &mut Vec<FormerTargets>, entry: FormerTargets) {
    let same = |known: &&mut FormerTargets| {
        known.merged == entry.merged
            && known.owner_epoch == entry.owner_epoch
            && known.targets == entry.targets
    };
    match former.iter_mut().find(same) {
        Some(known) => known.left_at = known.left_at.max(entry.left_at),
        None => former.push(entry),
    }
}

/// Merges the oldest entries, which come first, until the limits are met.
fn merge_excess(former: &mut Vec<FormerTargets>) {
    let exceeds_limits = |former: &[FormerTargets]| {
        let merged = former.iter().filter(|entry| entry.merged).count();
        let hosts: usize = former.iter().map(|entry| entry.targets.len()).sum();
        merged > 1 || former.len() - merged > MAX_FORMER_SETS || hosts > MAX_FORMER_HOSTS
    };
    while former.len() > 1 && exceeds_limits(former) {
        let oldest = former.remove(0);
        former[0] = merge(oldest, &former[0]);
    }
}

fn merge(older: FormerTargets, newer: &FormerTargets) -> FormerTargets {
    let targets = older.targets.into_iter().chain(newer.targets.clone());
    let targets: BTreeMap<String, String> =
        targets.map(|target| (target.host, target.region)).collect();
    let targets = targets.into_iter();
    FormerTargets {
        owner_epoch: 0,
        targets: targets
            .map(|(host, region)| FormerTarget { host, region })
            .collect(),
        left_at: older.left_at.max(newer.left_at),
        merged: true,
    }
}
