//! The tenants of a configuration: customers whose requests have a priority, regions
//! and a rate limit of their own.

use std::fmt;
use std::fmt::Write;

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

    /// Returns the form of the name in logs and metrics.
    pub fn label(&self) -> TenantLabel<'_> {
        TenantLabel(&self.name)
    }
}

/// A tenant's name as it is written to logs and metrics: all characters but letters,
/// digits, `-`, `_` and `.` are percent-encoded, so that no name can end a field or a
/// line.
#[derive(Debug, Clone, Copy)]
pub struct TenantLabel<'a>(pub &'a str);

impl fmt::Display for TenantLabel<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0.bytes() {
            if byte.is_ascii_alphanumeric() || b"-_.".contains(&byte) {
                formatter.write_char(char::from(byte))?;
            } else {
                write!(formatter, "%{byte:02X}")?;
            }
        }
        Ok(())
    }
}
