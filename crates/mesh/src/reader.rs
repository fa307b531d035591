//! Which daemons read the platform's store.
//!
//! Calls to the store are bounded and paid for, and its answers cross the link
//! between regions. In each failure domain, the first host of a ranking reads,
//! and the others follow it. The second one reads too when the first cannot;
//! a third would only add calls, since two hosts that are turned away say that
//! the store is away. A host that does not answer drops out of the ranking for
//! a time, so a domain that loses its readers has new ones at once.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

/// How long a host that did not answer is left out of the ranking, unless it is
/// heard before: several times the time in which a daemon starts again.
const UNREACHABLE_TIME: Duration = Duration::from_secs(9);

/// How long a host's word that it cannot read the store holds.
const AWAY_TIME: Duration = Duration::from_secs(2);

/// What a daemon does to follow the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// Reads the store itself.
    Read,
    /// Is told by another host.
    Follow(IpAddr),
}

#[derive(Debug, Clone, Copy, Default)]
struct HostMark {
    unreachable_until: Duration,
    away_until: Duration,
}

/// What a daemon knows of the readers of its failure domain.
#[derive(Debug, Default)]
pub struct ReaderRanking {
    marks: IndexMap<IpAddr, HostMark>,
}

impl ReaderRanking {
    /// Records that a host did not answer.
    pub fn mark_unreachable(&mut self, host: IpAddr, now: Duration) {
        self.marks.entry(host).or_default().unreachable_until = now + UNREACHABLE_TIME;
    }

    /// Records that a host sent or answered a request.
    pub fn mark_heard(&mut self, host: IpAddr) {
        if let Some(mark) = self.marks.get_mut(&host) {
            mark.unreachable_until = Duration::ZERO;
        }
    }

    /// Records whether a host can read the store.
    pub fn mark_answer(&mut self, host: IpAddr, away: bool, now: Duration) {
        let mark = self.marks.entry(host).or_default();
        mark.unreachable_until = Duration::ZERO;
        mark.away_until = if away {
            now + AWAY_TIME
        } else {
            Duration::ZERO
        };
    }

    /// Forgets hosts that are not known any more.
    pub fn retain<F>(&mut self, mut known: F)
    where
        F: FnMut(IpAddr) -> bool,
    {
        self.marks.retain(|host, _| known(*host));
    }

    /// Returns what the host `own` does, among the hosts of its failure domain.
    pub fn role(&self, own: IpAddr, domain: &str, hosts: &[IpAddr], now: Duration) -> ReaderRole {
        let mut alive: Vec<IpAddr> = hosts
            .iter()
            .copied()
            .filter(|host| *host == own || !self.is_unreachable(*host, now))
            .collect();
        if !alive.contains(&own) {
            alive.push(own);
        }
        alive.sort_by_key(|host| (std::cmp::Reverse(weight(domain, *host)), *host));
        let [first, second] = [alive.first(), alive.get(1)].map(|host| host.copied());
        match (first, second) {
            (Some(first), _) if first == own => ReaderRole::Read,
            (Some(first), _) if !self.is_away(first, now) => ReaderRole::Follow(first),
            (_, Some(second)) if second == own => ReaderRole::Read,
            (_, Some(second)) if !self.is_away(second, now) => ReaderRole::Follow(second),
            (Some(first), _) => ReaderRole::Follow(first),
            (None, _) => ReaderRole::Read,
        }
    }

    fn is_unreachable(&self, host: IpAddr, now: Duration) -> bool {
        let mark = self.marks.get(&host);
        mark.is_some_and(|mark| mark.unreachable_until > now)
    }

    fn is_away(&self, host: IpAddr, now: Duration) -> bool {
        let mark = self.marks.get(&host);
        mark.is_some_and(|mark| mark.away_until > now)
    }
}

fn weight(domain: &str, host: IpAddr) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(domain.as_bytes());
    match host {
        IpAddr::V4(address) => hash.update(&address.octets()),
        IpAddr::V6(address) => hash.update(&address.octets()),
    }
    hash.digest()
}
