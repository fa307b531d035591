//! Which sessions a daemon keeps.
//!
//! Three random neighbours keep a failure domain connected. Relays add the
//! other relays of their region, and the first reader of a region adds one
//! relay of each other region, so that few heads cross the paid links.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::rank;

/// A relay with the region and failure domain that it serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPlace {
    /// The host.
    pub host: SmolStr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its region.
    pub region: SmolStr,
}

/// Returns the neighbours that a host chooses in its failure domain.
pub fn neighbours<'a, I>(own: &str, hosts: I, count: usize) -> Vec<SmolStr>
where
    I: IntoIterator<Item = &'a SmolStr>,
{
    let others = hosts.into_iter().filter(|host| host.as_str() != own);
    rank::best(own, others, count)
}

/// Returns the readers of a region, best first: all its relays.
pub fn readers(region: &str, relays: &[RelayPlace]) -> Vec<SmolStr> {
    let own = relays.iter().filter(|relay| relay.region == region);
    rank::best(region, own.map(|relay| &relay.host), usize::MAX)
}

/// Returns the sessions that a relay keeps beside its neighbours, with their
/// failure domains: the relays of its region and, for the first reader, the
/// first reader of each other region.
pub fn relay_sessions(
    own: &str,
    region: &str,
    first: bool,
    relays: &[RelayPlace],
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
