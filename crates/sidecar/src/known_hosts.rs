//! The other hosts as a daemon knows them: the targets to which a request may be
//! sent, and the daemons beside them.

use std::net::IpAddr;
use std::net::SocketAddr;

use indexmap::IndexMap;
use radishgauge_mesh::MeshRoute;
use radishgauge_mesh::TargetRecord;
use radishgauge_mesh::TargetSoftware;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::TargetDistance;
use radishgauge_platform::HostSettings;
use smol_str::SmolStr;

use crate::fleet_scope::FleetScope;
use crate::node::SidecarNode;
use crate::node::lock;

/// A target to which a request may be sent.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The properties of the target on which its placement depends.
    pub place: PlaceCandidate,
    /// What the target runs.
    pub software: TargetSoftware,
    /// The region of the target's host.
    pub region: SmolStr,
    /// The address of the daemon on the target's host.
    pub peer: SocketAddr,
}

impl SidecarNode {
    /// Returns the targets of `service` to which a request of the route and the tenant
    /// may be sent.
    pub fn candidates(
        &self,
        route: &MeshRoute,
        tenant: Option<&TenantPolicy>,
        service: &str,
    ) -> Vec<Candidate> {
        let allows_all =
            route.regions.is_empty() && tenant.is_none_or(|tenant| tenant.regions.is_empty());
        let allows = |region: &str| {
            route.allows_region(region) && tenant.is_none_or(|tenant| tenant.allows_region(region))
        };
        let settings = self.settings();
        let known = self.known();
        let table = &known.table;
        let leaving = self.leaving();
        let misplaced = lock(&self.misplaced);
        let now = self.now();
        let fleet = FleetScope::new(&settings, table);
        // Requests are sent to targets of the fleet only, so only of these can an owner
        // say that they are not at their address.
        let is_superseded = |target: &TargetRecord| {
            table.is_superseded(target)
                && table.successors(target).any(|successor| {
                    fleet.contains(successor) && !misplaced.contains(successor, now)
                })
        };
        table
            .targets()
            .filter(|target| target.service == service && !target.draining)
            .filter(|target| !leaving.contains(target))
            .filter(|target| !table.is_evacuated(&target.failure_domain))
            .filter(|target| !misplaced.contains(target, now) && !is_superseded(target))
            .filter_map(|target| self.candidate(target, &settings))
            .filter(|candidate| allows(&candidate.region))
            .map(|mut candidate| {
                candidate.place.is_scarce = allows_all
                    && table
                        .config()
                        .is_some_and(|config| config.is_home_region(service, &candidate.region));
                candidate
            })
            .collect()
    }

    fn candidate(&self, target: &TargetRecord, settings: &HostSettings) -> Option<Candidate> {
        let region = settings.domain_regions.get(&target.failure_domain)?.clone();
        let distance = if target.address == settings.target_address {
            TargetDistance::SameHost
        } else if target.failure_domain == settings.failure_domain {
            TargetDistance::SameDomain
        } else if region == settings.region {
            TargetDistance::SameRegion
        } else {
            TargetDistance::OtherRegion
        };
        Some(Candidate {
            place: PlaceCandidate {
                id: target.id.clone(),
                distance,
                capacity: target.capacity,
                is_scarce: false,
            },
            software: target.software(),
            region,
            peer: self.peers.address_of(target.address),
        })
    }

    /// Returns the addresses of the other daemons, starting with those in this
    /// host's failure domain.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let settings = self.settings();
        let own = settings.peer_address.ip();
        let hosts = self.fleet_hosts();
        let mut peers: Vec<(bool, SocketAddr)> = hosts
            .into_iter()
            .filter(|(host, _)| *host != own)
            .map(|(host, in_domain)| (!in_domain, self.peers.address_at(host)))
            .collect();
        peers.sort_unstable();
        peers.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Records that a daemon sent a request to this one.
    pub fn record_contact(&self, peer: IpAddr) {
        lock(&self.contacts).insert(peer);
    }

    /// Returns the daemons of this host's failure domain that have sent no request
    /// to this one so far.
    pub fn silent_domain_hosts(&self) -> Vec<SocketAddr> {
        let settings = self.settings();
        let mut hosts = self.domain_hosts();
        hosts.sort_unstable();
        let contacts = lock(&self.contacts);
        let own = settings.peer_address.ip();
        let silent = |host: &IpAddr| *host != own && !contacts.contains(host);
        hosts
            .into_iter()
            .filter(silent)
            .map(|host| self.peers.address_at(host))
            .collect()
    }

    /// Returns the first `count` other hosts in the ranking of readers that are
    /// not known to be unreachable.
    pub fn next_readers(&self, count: usize) -> Vec<SocketAddr> {
        let settings = self.settings();
        let own = settings.peer_address.ip();
        let hosts = self.domain_hosts();
        let ranked = self
            .ranking()
            .ranked(own, &settings.failure_domain, &hosts, self.now());
        let others = ranked.into_iter().filter(|host| *host != own).take(count);
        others.map(|host| self.peers.address_at(host)).collect()
    }

    /// Returns the hosts of this host's failure domain.
    pub(crate) fn domain_hosts(&self) -> Vec<IpAddr> {
        let hosts = self.fleet_hosts().into_iter();
        hosts
            .filter_map(|(host, in_domain)| in_domain.then_some(host))
            .collect()
    }

    /// Returns the hosts beside whose targets a daemon of this fleet runs, by failure
    /// domain.
    pub(crate) fn hosts_by_domain(&self) -> IndexMap<SmolStr, Vec<IpAddr>> {
        let settings = self.settings();
        let known = self.known();
        let fleet = FleetScope::new(&settings, &known.table);
        let mut domains: IndexMap<SmolStr, Vec<IpAddr>> = IndexMap::new();
        let targets = known.table.targets();
        for target in targets.filter(|target| fleet.contains(target)) {
            let hosts = domains.entry(target.failure_domain.clone()).or_default();
            hosts.push(target.address.ip());
        }
        for hosts in domains.values_mut() {
            hosts.sort_unstable();
            hosts.dedup();
        }
        domains
    }

    /// Returns the hosts beside whose targets a daemon of this fleet runs, and for each
    /// whether it is in this host's failure domain. A host may have several entries.
    fn fleet_hosts(&self) -> IndexMap<IpAddr, bool> {
        let settings = self.settings();
        let known = self.known();
        let fleet = FleetScope::new(&settings, &known.table);
        let mut hosts = IndexMap::new();
        let targets = known.table.targets();
        for target in targets.filter(|target| fleet.contains(target)) {
            let in_domain = hosts.entry(target.address.ip()).or_default();
            *in_domain |= target.failure_domain == settings.failure_domain;
        }
        hosts
    }
}
