//! One accepted configuration version.
//!
//! The platform validates a version, and a daemon adopts it as a whole. It is
//! immutable, so the requests that began under it can share it.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use smol_str::SmolStr;

use crate::tenant::TenantPolicy;
use crate::tenant_directory::TenantDirectory;

/// The limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// The greatest length of a request head in bytes.
    pub head_bytes: usize,
    /// The greatest length of a request body in bytes.
    pub body_bytes: u64,
    /// How long a caller may take to send a request head.
    pub head_time: Duration,
    /// How long a connection of a caller may be idle.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A service that handles a weighted portion of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: SmolStr,
    /// The portion of the requests, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A route: which requests it matches and how they are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeshRoute {
    /// Identifies the route in logs and load measurements.
    pub name: SmolStr,
    /// The `Host` header of matching requests.
    pub host: SmolStr,
    /// The path prefix of matching requests; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// The latency objective of a request.
    pub objective: Duration,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// The greatest time until a request is answered or fails.
    pub timeout: Duration,
    /// The greatest number of targets that one request is sent to.
    pub attempts: u32,
    /// The regions that may handle the requests; empty if all may.
    pub regions: Vec<SmolStr>,
    /// Whether requests need no tenant's key, even if the configuration has tenants.
    pub public: bool,
    /// The services among which the requests are divided.
    pub split: Vec<WeightedService>,
}

impl MeshRoute {
    /// Returns the service for a request, chosen by weight with the random number
    /// `draw` in `0.0..1.0`.
    pub fn service(&self, draw: f64) -> Option<&SmolStr> {
        let total: u32 = self.split.iter().map(|weighted| weighted.weight).sum();
        let mut left = draw * f64::from(total);
        for weighted in &self.split {
            left -= f64::from(weighted.weight);
            if left < 0.0 {
                return Some(&weighted.service);
            }
        }
        self.split
            .iter()
            .rfind(|weighted| weighted.weight > 0)
            .map(|weighted| &weighted.service)
    }

    /// Returns whether a region may handle the requests.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| allowed == region)
    }
}

/// The configuration of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePolicy {
    /// The path of the targets' health check.
    pub health_path: SmolStr,
    /// The greatest number of connections that each target accepts.
    pub connections: usize,
    /// How long a target is cold after it has started.
    pub cold_time: Duration,
    /// The greatest rate of a cold target, in requests a second.
    pub cold_rate: f64,
}

/// The index of a route in one configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(u32);

/// One configuration version.
#[derive(Debug, Clone, Default)]
pub struct MeshConfig {
    version: u64,
    limits: RequestLimits,
    routes: Vec<MeshRoute>,
    /// The routes by `Host` header, the longest prefix first.
    hosts: IndexMap<SmolStr, Vec<RouteKey>>,
    services: IndexMap<SmolStr, ServicePolicy>,
    /// The regions to which some route of a service is restricted, by service.
    home_regions: IndexMap<SmolStr, IndexSet<SmolStr>>,
    tenants: TenantDirectory,
}

impl MeshConfig {
    /// Returns a configuration version and indexes its routes.
    pub fn new(
        version: u64,
        limits: RequestLimits,
        routes: Vec<MeshRoute>,
        services: IndexMap<SmolStr, ServicePolicy>,
    ) -> MeshConfig {
        let mut hosts: IndexMap<SmolStr, Vec<RouteKey>> = IndexMap::new();
        for (index, route) in routes.iter().enumerate() {
            let keys = hosts.entry(route.host.clone()).or_default();
            keys.push(RouteKey(index as u32));
        }
        for keys in hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[key.0 as usize].prefix.len()));
        }
        let home_regions = home_regions(&routes);
        MeshConfig {
            version,
            limits,
            routes,
            hosts,
            services,
            home_regions,
            tenants: TenantDirectory::default(),
        }
    }

    /// Returns the configuration with these tenants in place of its own.
    #[must_use]
    pub fn with_tenants(self, tenants: TenantDirectory) -> MeshConfig {
        MeshConfig { tenants, ..self }
    }

    /// Returns whether there are tenants. If there are none, requests carry no keys.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns the tenant that holds a key. The look-up allocates no memory, and compares
    /// the hashes of keys in constant time.
    pub fn tenant_of_key(&self, key: &[u8]) -> Option<&Arc<TenantPolicy>> {
        self.tenants.of_key(key)
    }

    /// Returns the tenant with a name.
    pub fn tenant(&self, name: &str) -> Option<&Arc<TenantPolicy>> {
        self.tenants.by_name(name)
    }

    /// Returns the longest time for which a request of any route may run.
    pub fn longest_timeout(&self) -> Duration {
        let timeouts = self.routes.iter().map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns whether some tenant has a rate limit.
    pub fn has_tenant_limits(&self) -> bool {
        self.tenants.policies().any(|tenant| tenant.limit.is_some())
    }

    /// Returns whether some route of a service may be handled only in a few
    /// regions, and `region` is one of them.
    pub fn is_home_region(&self, service: &str, region: &str) -> bool {
        let regions = self.home_regions.get(service);
        regions.is_some_and(|regions| regions.contains(region))
    }

    /// Returns the number of the version; a greater one is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on the requests of callers.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[MeshRoute] {
        &self.routes
    }

    /// Returns the route of a request: among the routes of the host, the one with
    /// the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&MeshRoute> {
        let keys = self.hosts.get(host)?;
        keys.iter()
            .map(|key| &self.routes[key.0 as usize])
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        self.services.get(name)
    }
}

fn home_regions(routes: &[MeshRoute]) -> IndexMap<SmolStr, IndexSet<SmolStr>> {
    let mut home_regions: IndexMap<SmolStr, IndexSet<SmolStr>> = IndexMap::new();
    for route in routes.iter().filter(|route| !route.regions.is_empty()) {
        for weighted in &route.split {
            let regions = home_regions.entry(weighted.service.clone()).or_default();
            regions.extend(route.regions.iter().cloned());
        }
    }
    home_regions
}
