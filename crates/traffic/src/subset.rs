//! The subset of a service's targets that one sender uses.
//!
//! If each of thousands of senders used all targets of a service, each would
//! get too few responses from a target to know its load, and the number of
//! sessions would grow with the square of the fleet's size. Rendezvous hashing
//! assigns each sender a fixed random subset. A target that is added or removed
//! changes only the subsets that contain it.

use std::cmp::Reverse;
use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::home::RegionKey;
use crate::snapshot::TargetEntry;

/// The maximum number of targets of a service that one sender uses in a region
/// at each distance. With twenty, the probability that the whole subset is down
/// is below one in a million when half of all targets are down, and a sender
/// still gets enough samples of each target.
pub const SUBSET_SIZE: usize = 20;

/// Returns the rendezvous weight of a target for a sender; the targets with the
/// greatest weights form the subset.
pub fn weight(sender: &str, service: &str, target: &str) -> u64 {
    let seed = xxh3_64_with_seed(sender.as_bytes(), 0);
    let seed = xxh3_64_with_seed(service.as_bytes(), seed);
    xxh3_64_with_seed(target.as_bytes(), seed)
}

/// Reduces the targets to the sender's subset of [`SUBSET_SIZE`] in each region.
/// A subset over all regions could omit a small region entirely, and a request
/// restricted to that region would then find no target.
pub(crate) fn retain_subset(targets: &mut Vec<TargetEntry>, sender: &str, service: &str) {
    if targets.len() <= SUBSET_SIZE {
        return;
    }
    targets.sort_by_cached_key(|target| Reverse(weight(sender, service, target.host.as_str())));
    let mut chosen_counts: HashMap<RegionKey, usize> = HashMap::new();
    targets.retain(|target| {
        let count = chosen_counts.entry(target.region).or_default();
        *count += 1;
        *count <= SUBSET_SIZE
    });
}
