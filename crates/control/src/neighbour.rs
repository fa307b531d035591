//! Selection of the peers that a daemon keeps sessions with.
//!
//! Sessions with three pseudo-random neighbours per host keep a failure domain
//! connected. A relay also connects to the other relays of its region, and the
//! first reader of a region to the first reader of each other region, so that
//! few heads cross the paid links between regions.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::rank;

/// A relay with its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayLocation {
    /// The name of the relay's host.
    pub host: SmolStr,
    /// The failure domain of the host.
    pub domain: SmolStr,
    /// The region of the host.
    pub region: SmolStr,
}

/// Returns up to `count` neighbours for the host `own`, chosen among `hosts` by
/// rank.
pub fn neighbours<'a, I>(own: &str, hosts: I, count: usize) -> Vec<SmolStr>
where
    I: IntoIterator<Item = &'a SmolStr>,
{
    let others = hosts.into_iter().filter(|host| host.as_str() != own);
    rank::best(own, others, count)
}

/// Returns the readers of a region, best rank first: all relays in it.
pub fn readers(region: &str, relays: &[RelayLocation]) -> Vec<SmolStr> {
    let own = relays.iter().filter(|relay| relay.region == region);
    rank::best(region, own.map(|relay| &relay.host), usize::MAX)
}

/// Returns the hosts that a relay connects to besides its neighbours, with their
/// failure domains: the relays of its region and, if it is the first reader
/// (`first`), the first reader of each other region.
pub fn relay_sessions(
    own: &str,
    region: &str,
    first: bool,
    relays: &[RelayLocation],
) -> IndexMap<SmolStr, SmolStr> {
    let mut sessions = IndexMap::new();
    let mut regions: Vec<&SmolStr> = Vec::new();
    for relay in relays {
        if relay.region == region {
            if relay.host != own {
                sessions.insert(relay.host.clone(), relay.domain.clone());
            }
        } else if !regions.contains(&&relay.region) {
            regions.push(&relay.region);
        }
    }
    if first {
        for other in regions {
            if let Some(host) = readers(other, relays).into_iter().next() {
                let relay = relays.iter().find(|relay| relay.host == host);
                sessions.extend(relay.map(|relay| (host, relay.domain.clone())));
            }
        }
    }
    sessions
}
