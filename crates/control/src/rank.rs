//! Assignment of roles by rendezvous hashing, which needs no election.
//!
//! Each daemon orders the live hosts by a hash of a group's name and the host's
//! name. Daemons with the same view of the fleet compute the same order, and the
//! loss of a host moves only the roles that it had.

use std::cmp::Reverse;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a host within a group; greater ranks first.
pub fn weight(group: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64(group.as_bytes()))
}

/// Returns up to `count` hosts with the greatest weights, best first.
///
/// # Examples
///
/// ```
/// use radishgauge_control::rank;
///
/// let hosts = ["a", "b", "c"].map(Into::into);
/// let all = rank::best("zone", &hosts, 3);
/// assert_eq!(rank::best("zone", &hosts, 2), all[..2]);
/// ```
pub fn best<'a, I>(group: &str, hosts: I, count: usize) -> Vec<SmolStr>
where
    I: IntoIterator<Item = &'a SmolStr>,
{
    let seed = xxh3_64(group.as_bytes());
    let mut ranked: Vec<_> = hosts
        .into_iter()
        .map(|host| (Reverse(xxh3_64_with_seed(host.as_bytes(), seed)), host))
        .collect();
    if count == 0 || ranked.is_empty() {
        return Vec::new();
    }
    if count < ranked.len() {
        ranked.select_nth_unstable(count - 1);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, host)| host.clone()).collect()
}
