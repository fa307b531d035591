//! The rate limits of tenants, at the daemon to which their callers connect.

use std::fmt;
use std::time::Duration;

use radishgauge_mesh::TenantPolicy;

/// The refusal of a request over its tenant's limit. Displayed, it is the fields of a
/// log line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRefusal {
    /// The time after which the tenant is expected to be below its limit.
    pub retry_after: Duration,
}

impl fmt::Display for QuotaRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "retry_after_ms={}", self.retry_after.as_millis())
    }
}

/// Decides which requests of callers are within the limits of their tenants.
///
/// No limit is enforced yet: every request is admitted.
#[derive(Debug, Default)]
pub struct TenantQuota {}

impl TenantQuota {
    /// Counts one request of a tenant's caller.
    ///
    /// # Errors
    ///
    /// When the tenant is over its limit. The request must not be run.
    pub async fn admit(&self, _tenant: &TenantPolicy) -> Result<(), QuotaRefusal> {
        Ok(())
    }
}
