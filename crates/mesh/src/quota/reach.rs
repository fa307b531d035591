//! Which hosts a daemon can reach, and which of them owns a tenant's bucket.

use std::cmp::Reverse;
use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::reader::rendezvous_hash;

/// The interval at which an unreachable host is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The hosts that did not answer, each with the time of its next probe. A host stays
/// unreachable until it sends or answers something.
#[derive(Debug, Default)]
pub struct HostReach {
    unreachable: IndexMap<IpAddr, Duration>,
}

impl HostReach {
    /// Records that a host did not answer. Returns whether it counted as reachable before.
    pub fn mark_unreachable(&mut self, host: IpAddr, now: Duration) -> bool {
        self.unreachable
            .insert(host, now + PROBE_INTERVAL)
            .is_none()
    }

    /// Records that a host sent or answered something. Returns whether it counted as
    /// unreachable before.
    pub fn mark_reachable(&mut self, host: IpAddr) -> bool {
        !self.unreachable.is_empty() && self.unreachable.swap_remove(&host).is_some()
    }

    /// Returns whether a host has not answered.
    pub fn is_unreachable(&self, host: IpAddr) -> bool {
        self.unreachable.contains_key(&host)
    }

    /// Returns up to `count` hosts that are due for a probe, and sets their next probe.
    pub fn due_probes(&mut self, count: usize, now: Duration) -> Vec<IpAddr> {
        let due = self.unreachable.iter_mut();
        let due = due.filter(|(_, probe_at)| **probe_at <= now).take(count);
        due.map(|(host, probe_at)| {
            *probe_at = now + PROBE_INTERVAL;
            *host
        })
        .collect()
    }

    /// Drops the hosts for which `known` returns false.
    pub fn retain<F>(&mut self, mut known: F)
    where
        F: FnMut(IpAddr) -> bool,
    {
        self.unreachable.retain(|host, _| known(*host));
    }

    /// Returns the owner of a tenant's bucket among the hosts of a failure domain.
    pub fn owner(&self, tenant: &str, hosts: &[IpAddr]) -> Option<IpAddr> {
        let hosts = hosts.iter().copied();
        let reachable = hosts.filter(|host| !self.is_unreachable(*host));
        reachable.max_by_key(|host| (rendezvous_hash(tenant, *host), Reverse(*host)))
    }

    /// Returns the fraction of the hosts that can be reached; 1 if there are none.
    pub fn reachable_fraction(&self, hosts: &[IpAddr]) -> f64 {
        if hosts.is_empty() || self.unreachable.is_empty() {
            return 1.0;
        }
        let reachable = hosts.iter().filter(|host| !self.is_unreachable(**host));
        reachable.count() as f64 / hosts.len() as f64
    }
}
