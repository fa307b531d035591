//! Selects the daemons that read the platform's store.
//!
//! Calls to the store are limited and cost money, and its answers cross the link
//! between regions. In each failure domain, the first host of a ranking reads
//! the store, and the others follow that host. When it cannot read the store, the
//! next one reads too, and so on: a few readers that are cut off do not show that
//! the store is down for the others. Their number is bounded, so an outage does
//! not cause calls from all hosts. A host that does not answer is excluded from
//! the ranking for some time, so a domain that loses its readers has new ones at
//! once.
//!
//! Daemons whose views differ may follow different hosts, and could follow each other
//! in a ring that no change of the store reaches. Therefore a host that is followed
//! reads the store, whatever its own ranking says: a chain of followers has one step.
//! Only hosts that come first in the ranking of another one read in this way, so they
//! are few.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

/// How long a host that did not answer is excluded from the ranking, unless it
/// sends something earlier: several times the restart time of a daemon.
const UNREACHABLE_TIME: Duration = Duration::from_secs(9);

/// How long a host's report that it cannot read the store is valid.
const STORE_UNREACHABLE_TIME: Duration = Duration::from_secs(2);

/// The greatest number of hosts of a failure domain that try to read the store at
/// the same time. While half of all hosts are cut off from it, all of these are
/// once in 64 times.
pub const MAX_READERS: usize = 6;

/// How a daemon receives updates of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// It reads the store itself.
    Read,
    /// It receives updates from the daemon on this host.
    Follow(IpAddr),
}

/// Until when a host, or the store as seen by that host, counts as unreachable.
#[derive(Debug, Clone, Copy, Default)]
struct HostStatus {
    unreachable_until: Duration,
    store_unreachable_until: Duration,
}

/// The ranking of a failure domain's hosts as readers of the store.
#[derive(Debug, Default)]
pub struct ReaderRanking {
    statuses: IndexMap<IpAddr, HostStatus>,
    /// Until when other hosts count as followers of this one.
    followed_until: Duration,
}

impl ReaderRanking {
    /// Records that a host did not answer, which excludes it for some time.
    pub fn mark_unreachable(&mut self, host: IpAddr, now: Duration) {
        self.statuses.entry(host).or_default().unreachable_until = now + UNREACHABLE_TIME;
    }

    /// Records that a host sent or answered a request, which ends its exclusion.
    pub fn mark_reachable(&mut self, host: IpAddr) {
        if let Some(status) = self.statuses.get_mut(&host) {
            status.unreachable_until = Duration::ZERO;
        }
    }

    /// Records a host's report on whether it can read the store.
    pub fn mark_store_report(&mut self, host: IpAddr, cannot_read: bool, now: Duration) {
        let status = self.statuses.entry(host).or_default();
        status.unreachable_until = Duration::ZERO;
        status.store_unreachable_until = if cannot_read {
            now + STORE_UNREACHABLE_TIME
        } else {
            Duration::ZERO
        };
    }

    /// Records that another host follows this one, at least until the time `until`.
    pub fn mark_followed(&mut self, until: Duration) {
        self.followed_until = self.followed_until.max(until);
    }

    /// Records that this host cannot read the store, so that it does not serve others as a
    /// reader until one of them follows it again.
    pub fn forget_followers(&mut self) {
        self.followed_until = Duration::ZERO;
    }

    /// Drops the hosts for which `known` returns false.
    pub fn retain<F>(&mut self, mut known: F)
    where
        F: FnMut(IpAddr) -> bool,
    {
        self.statuses.retain(|host, _| known(*host));
    }

    /// Returns the hosts of a failure domain in the order in which they are
    /// readers: `own` and those that are not excluded.
    pub fn ranked(
        &self,
        own: IpAddr,
        domain: &str,
        hosts: &[IpAddr],
        now: Duration,
    ) -> Vec<IpAddr> {
        let mut ranked: Vec<IpAddr> = hosts
            .iter()
            .copied()
            .filter(|host| *host == own || !self.is_unreachable(*host, now))
            .collect();
        if !ranked.contains(&own) {
            ranked.push(own);
        }
        ranked.sort_by_key(|host| (std::cmp::Reverse(rendezvous_hash(domain, *host)), *host));
        ranked
    }

    /// Returns the role of the host `own` among the hosts of its failure domain.
    pub fn role(&self, own: IpAddr, domain: &str, hosts: &[IpAddr], now: Duration) -> ReaderRole {
        if self.followed_until > now {
            return ReaderRole::Read;
        }
        let ranked = self.ranked(own, domain, hosts, now);
        let mut possible_readers = ranked.iter().copied().take(MAX_READERS);
        let reader =
            possible_readers.find(|host| *host == own || !self.is_store_unreachable(*host, now));
        // If no reader is left, the first one is the most likely to read the store
        // again soon.
        match reader.or(ranked.first().copied()) {
            Some(host) if host != own => ReaderRole::Follow(host),
            _ => ReaderRole::Read,
        }
    }

    /// Returns whether a host is asked only to find out whether it can read the
    /// store again: its report that it cannot is no longer valid.
    pub fn is_probed(&self, host: IpAddr, now: Duration) -> bool {
        let status = self.statuses.get(&host).copied().unwrap_or_default();
        status.store_unreachable_until > Duration::ZERO && status.store_unreachable_until <= now
    }

    fn is_unreachable(&self, host: IpAddr, now: Duration) -> bool {
        let status = self.statuses.get(&host);
        status.is_some_and(|status| status.unreachable_until > now)
    }

    /// Returns whether a host has reported lately that it cannot read the store.
    pub fn is_store_unreachable(&self, host: IpAddr, now: Duration) -> bool {
        let status = self.statuses.get(&host);
        status.is_some_and(|status| status.store_unreachable_until > now)
    }
}

/// Returns the rendezvous hash of a host for a key, by which all daemons compute the
/// same ranking without communication.
pub(crate) fn rendezvous_hash(key: &str, host: IpAddr) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(key.as_bytes());
    match host {
        IpAddr::V4(address) => hash.update(&address.octets()),
        IpAddr::V6(address) => hash.update(&address.octets()),
    }
    hash.digest()
}
