//! The version of the configuration that the request path reads.
//!
//! A snapshot is immutable and replaced as a whole, so that a route and the
//! targets of its service always come from the same version. The statistics and
//! the admission state of a target are behind an `Arc` that the next snapshot
//! shares, so that a new version neither resets a target's statistics nor
//! restarts its ramp.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_config::FleetModel;
use radishgauge_config::model::DomainState;
use radishgauge_config::model::PolicyModel;
use radishgauge_config::model::ServiceModel;
use smol_str::SmolStr;

use crate::admit::TargetAdmission;
use crate::home::HomeRule;
use crate::home::RegionKey;
use crate::home::RegionSet;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::route::RouteEntry;
use crate::route::RouteTable;
use crate::stats::TargetStats;
use crate::subset;

/// Identifies a service by its index in one snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub(crate) u32);

/// Identifies a target. The key stays the same in later snapshots as long as the
/// host remains with the same incarnation, and is never reused for another
/// target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetKey(pub(crate) u32);

/// The location of this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalHost {
    /// The name of the daemon's host.
    pub host: SmolStr,
    /// The name of the host's region.
    pub region: SmolStr,
    /// The name of the host's failure domain.
    pub failure_domain: SmolStr,
}

/// The state of a host according to membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HostState {
    /// The host accepts requests.
    #[default]
    Live,
    /// The host completes its running requests and accepts no more.
    Leaving,
    /// The host can't be reached.
    Unreachable,
    /// The host is no longer part of the fleet.
    Gone,
}

/// The state of one incarnation of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HostView {
    /// The state of the host according to membership.
    pub state: HostState,
    /// The start time of the host in ms, which identifies the incarnation.
    pub incarnation: u64,
}

/// The states of hosts by name; a host that is not listed counts as live.
pub type HostStates = IndexMap<SmolStr, HostView>;

/// A target that calls may be sent to.
#[derive(Debug, Clone)]
pub struct TargetEntry {
    /// Identifies the target across snapshots.
    pub key: TargetKey,
    /// The name of the target's host.
    pub host: SmolStr,
    /// The address on which the worker listens.
    pub address: SocketAddr,
    /// The address at which the host's daemon accepts calls of other daemons.
    pub daemon: SocketAddr,
    /// The region of the target.
    pub region: RegionKey,
    /// This daemon's statistics about the target.
    pub stats: Arc<TargetStats>,
    incarnation: u64,
}

/// The distance from this daemon to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Distance {
    /// The target is in the same failure domain.
    Near,
    /// The target is in another failure domain of the same region.
    Region,
    /// The target is in another region.
    Far,
}

impl Distance {
    /// All distances, nearest first.
    pub const ALL: [Distance; 3] = [Distance::Near, Distance::Region, Distance::Far];
}

/// A service and the targets to which this daemon sends calls.
#[derive(Debug)]
pub struct ServiceEntry {
    /// The configured name of the service.
    pub name: SmolStr,
    /// The number of concurrent requests that a worker is declared to sustain.
    pub slots: u32,
    /// The targets in this sender's subset, by distance. Targets whose failure
    /// domain is out of service, or whose host is not live, are excluded.
    tiers: [Vec<TargetEntry>; 3],
}

impl ServiceEntry {
    /// Returns the targets at the distance.
    pub fn tier(&self, distance: Distance) -> &[TargetEntry] {
        &self.tiers[distance as usize]
    }
}

/// One version of the configuration, in the form that the request path reads.
#[derive(Debug)]
pub struct TrafficSnapshot {
    revision: u64,
    local: LocalHost,
    local_region: RegionKey,
    regions: Vec<SmolStr>,
    services: IndexMap<SmolStr, ServiceEntry>,
    routes: RouteTable,
    tenants: HashMap<SmolStr, RegionSet>,
    admissions: HashMap<SmolStr, Arc<TargetAdmission>>,
    known_targets: HashMap<(SmolStr, SmolStr), TargetEntry>,
    next_target: Arc<AtomicU32>,
    policy: PolicyModel,
}

impl TrafficSnapshot {
    /// Builds the first snapshot of a daemon.
    ///
    /// # Panics
    ///
    /// When the model contains more than [`RegionSet::MAX`] regions; such a
    /// configuration is rejected before it gets here.
    pub fn build(
        model: &FleetModel,
        local: LocalHost,
        hosts: &HostStates,
        revision: u64,
        now: Duration,
    ) -> TrafficSnapshot {
        build(model, local, hosts, revision, now, None)
    }

    /// Builds the next snapshot, which shares the state of all targets that
    /// remain.
    ///
    /// # Panics
    ///
    /// Under the same condition as [`TrafficSnapshot::build`].
    pub fn rebuild(
        &self,
        model: &FleetModel,
        hosts: &HostStates,
        revision: u64,
        now: Duration,
    ) -> TrafficSnapshot {
        build(model, self.local.clone(), hosts, revision, now, Some(self))
    }

    /// Returns the revision number of the configuration.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the location of this daemon.
    pub fn local(&self) -> &LocalHost {
        &self.local
    }

    /// Returns the region of this daemon.
    pub fn local_region(&self) -> RegionKey {
        self.local_region
    }

    /// Returns the routing table.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the policy of the fleet.
    pub fn policy(&self) -> &PolicyModel {
        &self.policy
    }

    /// Returns the key of the service with the name.
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        let index = self.services.get_index_of(name)?;
        Some(ServiceKey(index as u32))
    }

    /// Returns the service with the key, or `None` when the key comes from
    /// another snapshot and is out of range in this one.
    pub fn service(&self, key: ServiceKey) -> Option<&ServiceEntry> {
        let (_, entry) = self.services.get_index(key.0 as usize)?;
        Some(entry)
    }

    /// Returns the name of a region.
    pub fn region_name(&self, region: RegionKey) -> Option<&SmolStr> {
        self.regions.get(usize::from(region.0))
    }

    /// Returns the admission control of the service's target on this host.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NotHosted`] when this host runs no target of the
    /// service.
    pub fn local_admission(&self, service: &str) -> Result<&Arc<TargetAdmission>, Refusal> {
        self.admissions
            .get(service)
            .ok_or(Refusal::new(RefusalReason::NotHosted))
    }

    /// Returns the admission control of all targets on this host, with the names
    /// of their services.
    pub fn local_admissions(&self) -> impl Iterator<Item = (&SmolStr, &Arc<TargetAdmission>)> {
        self.admissions.iter()
    }

    /// Returns the regions in which a request may be handled: those that are
    /// allowed by the route, by the tenant (an empty name for none) and by the
    /// request's context (`carried`, empty for no restriction).
    ///
    /// # Errors
    ///
    /// [`RefusalReason::UnknownTenant`] when the tenant is not configured,
    /// because its home regions are then unknown, and
    /// [`RefusalReason::HomeRegion`] when no region is allowed by all three.
    pub fn home_rule(
        &self,
        route: &RouteEntry,
        tenant: &str,
        carried: &[SmolStr],
    ) -> Result<HomeRule, Refusal> {
        let tenant = match tenant {
            "" => RegionSet::ALL,
            name => *self
                .tenants
                .get(name)
                .ok_or(Refusal::new(RefusalReason::UnknownTenant))?,
        };
        let carried = region_set(&self.regions, carried);
        let rule = HomeRule::new([route.home, tenant, carried]);
        if rule.regions().is_empty() {
            return Err(Refusal::new(RefusalReason::HomeRegion));
        }
        Ok(rule)
    }

    /// Returns the names of the regions that the rule allows, in the form of
    /// the context's field: empty for a request without restriction.
    pub fn home_region_names(&self, rule: &HomeRule) -> Vec<SmolStr> {
        if !rule.is_restricted() {
            return Vec::new();
        }
        (0..)
            .map(RegionKey)
            .zip(&self.regions)
            .filter(|(key, _)| rule.allows_target(*key))
            .map(|(_, name)| name.clone())
            .collect()
    }
}

/// Returns the set of the named regions, or all regions when `names` is empty.
/// Unknown names are ignored, so that a request restricted to unknown regions
/// gets the empty set and is refused.
pub(crate) fn region_set(regions: &[SmolStr], names: &[SmolStr]) -> RegionSet {
    if names.is_empty() {
        return RegionSet::ALL;
    }
    let mut set = RegionSet::NONE;
    for (index, region) in regions.iter().enumerate() {
        if names.contains(region) {
            set.insert(RegionKey(index as u8));
        }
    }
    set
}

fn build(
    model: &FleetModel,
    local: LocalHost,
    hosts: &HostStates,
    revision: u64,
    now: Duration,
    previous: Option<&TrafficSnapshot>,
) -> TrafficSnapshot {
    let mut regions = model.regions.clone();
    if !regions.contains(&local.region) {
        regions.push(local.region.clone());
    }
    assert!(
        regions.len() <= RegionSet::MAX,
        "{} regions exceed the {} that a snapshot can hold",
        regions.len(),
        RegionSet::MAX
    );
    let local_region = region_key(&regions, &local.region);
    let next_target = previous.map_or_else(Arc::default, |old| Arc::clone(&old.next_target));
    let mut builder = SnapshotBuilder {
        model,
        local: &local,
        hosts,
        now,
        previous,
        regions: &regions,
        next_target: &next_target,
        known_targets: HashMap::new(),
        admissions: HashMap::new(),
    };
    let services: IndexMap<SmolStr, ServiceEntry> = model
        .services
        .iter()
        .map(|(name, service)| (name.clone(), builder.build_service(name, service)))
        .collect();
    let known_targets = builder.known_targets;
    let admissions = builder.admissions;
    let old_routes = previous.map(TrafficSnapshot::routes);
    let routes = RouteTable::build(model, &regions, old_routes, |service| {
        let index = services.get_index_of(service)?;
        Some(ServiceKey(index as u32))
    });
    let tenants = model
        .tenants
        .iter()
        .map(|(name, tenant)| (name.clone(), region_set(&regions, &tenant.home_regions)))
        .collect();
    TrafficSnapshot {
        revision,
        local_region,
        services,
        routes,
        tenants,
        admissions,
        known_targets,
        policy: model.policy.clone(),
        local,
        regions,
        next_target,
    }
}

fn region_key(regions: &[SmolStr], name: &str) -> RegionKey {
    let index = regions.iter().position(|region| region == name);
    RegionKey(index.expect("the region is in the list") as u8)
}

struct SnapshotBuilder<'a> {
    model: &'a FleetModel,
    local: &'a LocalHost,
    hosts: &'a HostStates,
    now: Duration,
    previous: Option<&'a TrafficSnapshot>,
    regions: &'a [SmolStr],
    next_target: &'a AtomicU32,
    known_targets: HashMap<(SmolStr, SmolStr), TargetEntry>,
    admissions: HashMap<SmolStr, Arc<TargetAdmission>>,
}

impl SnapshotBuilder<'_> {
    fn build_service(&mut self, name: &SmolStr, service: &ServiceModel) -> ServiceEntry {
        let mut tiers: [Vec<TargetEntry>; 3] = Default::default();
        for (host, target) in &service.targets {
            let view = self.hosts.get(host).copied().unwrap_or_default();
            let domain = self.model.domains.get(&target.failure_domain);
            let domain_out = domain.is_none_or(|domain| domain.state == DomainState::Out);
            if *host == self.local.host {
                self.configure_local(name, service, domain_out, view);
            }
            // The region of a target is unknown when this daemon's part of the
            // configuration lacks the target's failure domain.
            let Some(domain) = domain else { continue };
            if !self.regions.contains(&domain.region) {
                continue;
            }
            let region = region_key(self.regions, &domain.region);
            let key = (name.clone(), host.clone());
            let old = self
                .previous
                .and_then(|old| old.known_targets.get(&key))
                .filter(|old| old.incarnation == view.incarnation);
            let entry = TargetEntry {
                key: old.map_or_else(|| self.next_key(), |old| old.key),
                host: host.clone(),
                address: target.address,
                daemon: target.daemon,
                region,
                stats: old.map_or_else(
                    || Arc::new(TargetStats::new(service.slots)),
                    |old| Arc::clone(&old.stats),
                ),
                incarnation: view.incarnation,
            };
            self.known_targets.insert(key, entry.clone());
            if domain_out || view.state != HostState::Live {
                continue;
            }
            let distance = if target.failure_domain == self.local.failure_domain {
                Distance::Near
            } else if domain.region == self.local.region {
                Distance::Region
            } else {
                Distance::Far
            };
            tiers[distance as usize].push(entry);
        }
        for tier in &mut tiers {
            subset::retain_subset(tier, &self.local.host, name);
        }
        ServiceEntry {
            name: name.clone(),
            slots: service.slots,
            tiers,
        }
    }

    fn configure_local(
        &mut self,
        name: &SmolStr,
        service: &ServiceModel,
        out: bool,
        view: HostView,
    ) {
        let admission = self
            .previous
            .and_then(|old| old.admissions.get(name))
            .map_or_else(
                || Arc::new(TargetAdmission::new(service, &self.model.policy, self.now)),
                Arc::clone,
            );
        let leaving = matches!(view.state, HostState::Leaving | HostState::Gone);
        admission.configure(service, &self.model.policy, out, leaving, self.now);
        self.admissions.insert(name.clone(), admission);
    }

    fn next_key(&self) -> TargetKey {
        TargetKey(self.next_target.fetch_add(1, Ordering::Relaxed))
    }
}
