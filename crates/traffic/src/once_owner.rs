//! The choice of the daemon that owns an opaque idempotency key.
//!
//! Every entry daemon must choose the same owner, so the choice depends only on
//! the service, the key and the configuration. A re-send that enters through
//! another region goes to the same owner.

use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A daemon that may own keys of a service, as it runs beside one of its targets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerTarget {
    /// The host that the target and its daemon run on.
    pub host: SmolStr,
    /// The region of the host.
    pub region: SmolStr,
}

/// The daemons that may own the keys of a service under one configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerSet {
    epoch: u64,
    targets: Vec<OwnerTarget>,
}

impl OwnerSet {
    /// Creates a set from targets in any order. Repeated hosts are dropped.
    ///
    /// The owner epoch must be increased whenever the home regions of a route or
    /// tenant of the service change, since the owner depends on them too.
    pub fn new<T>(epoch: u64, targets: T) -> OwnerSet
    where
        T: IntoIterator<Item = OwnerTarget>,
    {
        let mut targets: Vec<OwnerTarget> = targets.into_iter().collect();
        targets.sort();
        targets.dedup_by(|a, b| a.host == b.host);
        OwnerSet { epoch, targets }
    }

    /// Returns the owner epoch of the configuration.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the targets, sorted by host.
    pub fn targets(&self) -> &[OwnerTarget] {
        &self.targets
    }

    /// Returns the region of `host`, if it is in the set.
    pub fn region(&self, host: &str) -> Option<&SmolStr> {
        let found = self.targets.iter().find(|target| target.host == host)?;
        Some(&found.region)
    }
}

/// The owner of an opaque key under one configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The host whose daemon owns the key.
    pub host: SmolStr,
    /// The owner epoch of the configuration.
    pub epoch: u64,
}

impl KeyOwner {
    /// Returns the owner of `key` among the targets of `service` in `regions`, or
    /// `None` when there is no target there. Empty `regions` allow every region.
    ///
    /// Rendezvous hashing: adding or removing a target moves only the keys that
    /// this target owns.
    pub fn of(service: &str, key: &str, set: &OwnerSet, regions: &[SmolStr]) -> Option<KeyOwner> {
        let seed = key_seed(service, key);
        let allowed =
            |target: &&OwnerTarget| regions.is_empty() || regions.contains(&target.region);
        let host = best(seed, set.targets.iter().filter(allowed))?;
        Some(KeyOwner {
            host: host.clone(),
            epoch: set.epoch,
        })
    }

    /// Returns each host that can own `key` under some set of allowed regions.
    ///
    /// The owner under any set of regions is the best host of one of its regions,
    /// so these are the best hosts of each region.
    pub fn possible_hosts<'a>(service: &str, key: &str, set: &'a OwnerSet) -> Vec<&'a SmolStr> {
        let seed = key_seed(service, key);
        let mut regions: Vec<&SmolStr> = set.targets.iter().map(|target| &target.region).collect();
        regions.sort();
        regions.dedup();
        let in_region = |region: &SmolStr| {
            let targets = set.targets.iter();
            best(seed, targets.filter(move |target| target.region == *region))
        };
        regions.into_iter().filter_map(in_region).collect()
    }
}

fn key_seed(service: &str, key: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(service.as_bytes());
    // A zero byte is a safe separator: service names and keys contain none.
    hash.update(&[0]);
    hash.update(key.as_bytes());
    hash.digest()
}

fn best<'a, T>(seed: u64, targets: T) -> Option<&'a SmolStr>
where
    T: Iterator<Item = &'a OwnerTarget>,
{
    let score = |target: &&OwnerTarget| xxh3_64_with_seed(target.host.as_bytes(), seed);
    let found = targets.max_by_key(|target| (score(target), &target.host))?;
    Some(&found.host)
}
