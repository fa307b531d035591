//! The tenants of a configuration: customers whose requests have a priority, regions
//! and a rate limit of their own.

use smol_str::SmolStr;

/// The rate limit of a tenant over all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantLimit {
    /// The requests a second that the tenant may send in the long run.
    pub per_second: f64,
    /// The requests that it may send beyond that at once.
    pub burst: f64,
}

/// What a configuration says of one tenant, without its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantPolicy {
    /// The name, which targets, logs and metrics show in place of a key.
    pub name: SmolStr,
    /// The priority of the requests, in place of that of their routes; 0 is the most
    /// urgent.
    pub priority: Option<u32>,
    /// The rate limit; `None` if the tenant has none.
    pub limit: Option<TenantLimit>,
    /// The regions that may handle the requests; empty if all may.
    pub regions: Vec<SmolStr>,
}

impl TenantPolicy {
    /// Returns whether a region may handle the requests.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| allowed == region)
    }
}
