//! Counters of requests by tenant and outcome.
//!
//! They are kept apart from the other series, which they would crowd out of the
//! registry.

use std::fmt::Write;
use std::sync::Mutex;

use indexmap::IndexMap;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::tenant::TenantLabel;
use smol_str::SmolStr;

use crate::node::lock;
use crate::request_outcome::RequestOutcome;

/// The greatest number of tenants with counters of their own. Those that send their
/// first request later are counted together.
pub const MAX_COUNTED_TENANTS: usize = 256;

/// The number of requests with each outcome.
type OutcomeCounts = [u64; RequestOutcome::ALL.len()];

#[derive(Debug, Default)]
struct TenantCounts {
    by_tenant: IndexMap<SmolStr, OutcomeCounts>,
    /// The requests of the tenants without counters of their own.
    others: OutcomeCounts,
}

/// The counters of one daemon.
#[derive(Debug, Default)]
pub struct TenantMetrics {
    counts: Mutex<TenantCounts>,
}

impl TenantMetrics {
    /// Counts one request of a tenant.
    pub fn count(&self, tenant: &TenantPolicy, outcome: RequestOutcome) {
        let mut counts = lock(&self.counts);
        let TenantCounts { by_tenant, others } = &mut *counts;
        let has_room = by_tenant.len() < MAX_COUNTED_TENANTS;
        let tenant_counts = match by_tenant.get_mut(&tenant.name) {
            Some(tenant_counts) => tenant_counts,
            None if has_room => by_tenant.entry(tenant.name.clone()).or_default(),
            None => others,
        };
        tenant_counts[outcome as usize] += 1;
    }

    /// Adds the counters to a metrics page, those with a value above 0 only.
    pub(crate) fn render(&self, text: &mut String) {
        let counts = lock(&self.counts);
        for (name, tenant_counts) in &counts.by_tenant {
            let label = TenantLabel(name).to_string();
            render_counts(
                text,
                "tenant_requests",
                &format!("tenant:{label},"),
                tenant_counts,
            );
        }
        render_counts(text, "tenant_requests_left_out", "", &counts.others);
    }
}

fn render_counts(text: &mut String, series: &str, labels: &str, counts: &OutcomeCounts) {
    for (outcome, count) in RequestOutcome::ALL.into_iter().zip(counts) {
        if *count > 0 {
            let outcome = outcome.as_str();
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "radishgauge.{series}{{{labels}outcome:{outcome}}} {count}"
            );
        }
    }
}
