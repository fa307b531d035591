//! What a daemon admits while no owner answers: its part of the tolerance.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

use crate::reader::rendezvous_hash;

/// Returns the part of `total` that `own` has among the hosts of the fleet. The parts are
/// whole numbers that add up to `total`; the remainder goes to the hosts that come first
/// in the tenant's ranking.
pub fn host_share(total: usize, tenant: &str, own: IpAddr, hosts: &[IpAddr]) -> usize {
    if !hosts.contains(&own) {
        return 0;
    }
    let rank_of = |host: IpAddr| (rendezvous_hash(tenant, host), host);
    let own_rank = rank_of(own);
    let before = hosts.iter().filter(|host| rank_of(**host) > own_rank);
    let has_more = before.count() < total % hosts.len();
    total / hosts.len() + usize::from(has_more)
}

/// The times of the requests of one tenant that a daemon admitted without an owner.
#[derive(Debug, Clone, Default)]
pub struct LocalShare {
    admitted: VecDeque<Duration>,
}

impl LocalShare {
    /// Admits a request if fewer than `allowed` were admitted within the window.
    pub fn try_admit(&mut self, allowed: usize, window: Duration, now: Duration) -> bool {
        while self.admitted.front().is_some_and(|at| *at + window <= now) {
            self.admitted.pop_front();
        }
        let fits = self.admitted.len() < allowed;
        if fits {
            self.admitted.push_back(now);
        }
        fits
    }
}
