//! How a tenant's limit and the tolerance of the rule are divided.

use std::time::Duration;

use crate::TenantLimit;

/// How long a token that an owner has granted may be used.
pub const TOKEN_LEASE: Duration = Duration::from_secs(1);

/// How long an owner may use a token that it has borrowed. Leases add to what may run in
/// a window, so that of a loan is only several times the round trip between regions.
pub const LOAN_LEASE: Duration = Duration::from_millis(250);

/// The changes of owner in each window and failure domain whose new buckets the tolerance
/// covers.
const OWNER_CHANGES: f64 = 3.0;

/// The fraction of the spare tolerance that daemons may use without an owner; new buckets
/// have the rest.
const LOCAL_FRACTION: f64 = 0.5;

/// The tokens that a domain's bucket holds at least, if the slack allows it. A small
/// tenant's even share is below one token, with which any two requests that arrive close
/// together in one domain would need a loan.
const LEAST_BURST: f64 = 3.0;

/// The fraction of the slack that raises the buckets of small tenants.
const RAISED_FRACTION: f64 = 0.5;

/// The tolerance of the rule that bounds the requests of a tenant in a sliding window: at
/// most (rate x window + burst) x (1 + overage) + slack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The length of the sliding window.
    pub window: Duration,
    /// The fraction by which the limit may be exceeded.
    pub overage: f64,
    /// The requests that may be sent beyond that.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs(5),
            overage: 0.25,
            slack: 20.0,
        }
    }
}

/// The share of one failure domain in a tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DomainShare {
    /// The tokens that its bucket gets in a second.
    pub per_second: f64,
    /// The tokens that its bucket holds at most.
    pub burst: f64,
    /// The tokens with which the bucket of a new owner starts.
    pub start: f64,
}

impl DomainShare {
    /// Returns the share while only a fraction of the domain's hosts can be reached.
    pub fn of_reachable(self, fraction: f64) -> DomainShare {
        DomainShare {
            per_second: self.per_second * fraction,
            burst: self.burst * fraction,
            start: self.start * fraction,
        }
    }
}

impl QuotaBounds {
    /// Returns the greatest number of a tenant's requests in a window.
    pub fn greatest(&self, limit: TenantLimit) -> f64 {
        self.nominal(limit) * (1.0 + self.overage) + self.slack
    }

    fn nominal(&self, limit: TenantLimit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    /// Returns the share of each of `domains` failure domains.
    pub fn domain_share(&self, limit: TenantLimit, domains: usize) -> DomainShare {
        let count = domains.max(1) as f64;
        let burst = self.domain_burst(limit, count);
        let start = self.spare(limit, count) * (1.0 - LOCAL_FRACTION) / count / OWNER_CHANGES;
        DomainShare {
            per_second: limit.per_second / count,
            burst,
            start: start.min(burst),
        }
    }

    /// Returns the requests of a tenant that all daemons together may admit in a window
    /// without an owner.
    pub fn local_total(&self, limit: TenantLimit, domains: usize) -> usize {
        (self.spare(limit, domains.max(1) as f64) * LOCAL_FRACTION) as usize
    }

    fn domain_burst(&self, limit: TenantLimit, domains: f64) -> f64 {
        let even = limit.burst / domains;
        let raised = even + self.slack * RAISED_FRACTION / domains;
        even.max(raised.min(LEAST_BURST))
    }

    /// Returns the tolerance that neither leases nor raised buckets can use up.
    fn spare(&self, limit: TenantLimit, domains: f64) -> f64 {
        let leases = limit.per_second * (TOKEN_LEASE + LOAN_LEASE).as_secs_f64();
        let raised = self.domain_burst(limit, domains) * domains - limit.burst;
        (self.greatest(limit) - self.nominal(limit) - leases - raised).max(0.0)
    }
}
