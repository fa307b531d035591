//! Which targets one sender uses.
//!
//! If each of thousands of senders used all targets of a service, each would
//! see too few responses of a target to know its load, and sessions would grow
//! with the square of the fleet. Rendezvous hashing gives each sender a fixed
//! random subset, and a target that comes or goes changes only the subsets
//! that hold it.

use std::cmp::Reverse;
use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::home::RegionKey;
use crate::snapshot::TargetEntry;

/// Targets of a service that one sender uses at each distance. Twenty keep the
/// chance that a whole subset is down below one in a million at half the
/// targets down, and give each target enough samples.
pub const SUBSET_SIZE: usize = 20;

/// Returns the weight of a target for a sender; the greatest weights win.
pub fn weight(sender: &str, service: &str, target: &str) -> u64 {
    let seed = xxh3_64_with_seed(sender.as_bytes(), 0);
    let seed = xxh3_64_with_seed(service.as_bytes(), seed);
    xxh3_64_with_seed(target.as_bytes(), seed)
}

/// Reduces the targets to those that the sender uses: [`SUBSET_SIZE`] in each
/// region. A subset over all regions could hold none of a small region, and a
/// request bound to that region would find no target.
pub(crate) fn keep_chosen(targets: &mut Vec<TargetEntry>, sender: &str, service: &str) {
    if targets.len() <= SUBSET_SIZE {
        return;
    }
    targets.sort_by_cached_key(|target| Reverse(weight(sender, service, target.host.as_str())));
    let mut kept: HashMap<RegionKey, usize> = HashMap::new();
    targets.retain(|target| {
        let count = kept.entry(target.region).or_default();
        *count += 1;
        *count <= SUBSET_SIZE
    });
}
