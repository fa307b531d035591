//! One accepted configuration version.
//!
//! A version is checked by the platform and taken whole; it is never changed
//! afterwards, so it can be shared between requests that began under it.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// Bounds of what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// The greatest request head in bytes.
    pub head_bytes: usize,
    /// The greatest request body in bytes.
    pub body_bytes: u64,
    /// How long a caller may take to send a request head.
    pub head_time: Duration,
    /// How long a caller may keep a connection idle.
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

/// A service that shares in the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPart {
    /// The service.
    pub service: SmolStr,
    /// Its share, relative to the weights of the other parts.
    pub weight: u32,
}

/// A group of requests and how they are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeshRoute {
    /// The name of the route.
    pub name: SmolStr,
    /// The requests' `Host`.
    pub host: SmolStr,
    /// What their path begins with; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The latency objective of an answer.
    pub objective: Duration,
    /// The rank of the requests; 0 is the most urgent.
    pub priority: u32,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The greatest number of targets that one request may be sent to.
    pub attempts: u32,
    /// The only regions that may handle the requests; empty for all.
    pub regions: Vec<SmolStr>,
    /// The services that share the requests.
    pub split: Vec<SplitPart>,
}

impl MeshRoute {
    /// Returns the service for a request whose random number is in `0.0..1.0`.
    pub fn service(&self, draw: f64) -> Option<&SmolStr> {
        let total: u32 = self.split.iter().map(|part| part.weight).sum();
        let mut left = draw * f64::from(total);
        for part in &self.split {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        self.split
            .iter()
            .rfind(|part| part.weight > 0)
            .map(|part| &part.service)
    }

    /// Whether a region may handle the requests.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| allowed == region)
    }
}

/// What the configuration says of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePolicy {
    /// The path of the targets' health check.
    pub health_path: SmolStr,
    /// The connections that each target accepts.
    pub connections: usize,
    /// How long a target is cold after its start.
    pub cold_time: Duration,
    /// The requests a second that a cold target bears.
    pub cold_rate: f64,
}

/// A route, as its place in one configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(u32);

/// One configuration version.
#[derive(Debug, Clone, Default)]
pub struct MeshConfig {
    version: u64,
    limits: RequestLimits,
    routes: Vec<MeshRoute>,
    /// The routes of each host, the longest prefix first.
    hosts: IndexMap<SmolStr, Vec<RouteKey>>,
    services: IndexMap<SmolStr, ServicePolicy>,
}

impl MeshConfig {
    /// Returns a version with its routes ordered for look-up.
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
        MeshConfig {
            version,
            limits,
            routes,
            hosts,
            services,
        }
    }

    /// Returns the number of the version; a greater one is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds of what callers may send.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[MeshRoute] {
        &self.routes
    }

    /// Returns the route of a request: of the host's routes, the one with the
    /// longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&MeshRoute> {
        let keys = self.hosts.get(host)?;
        keys.iter()
            .map(|key| &self.routes[key.0 as usize])
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns what the version says of a service.
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        self.services.get(name)
    }
}
