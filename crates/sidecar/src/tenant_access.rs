//! The tenant of a request, and the refusal of requests without a valid key.

use std::sync::Arc;

use http::HeaderMap;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::MeshRoute;
use radishgauge_mesh::TenantPolicy;
use radishgauge_platform::message;
use radishgauge_platform::message::RequestKey;

use crate::node::SidecarNode;
use crate::origin::RequestOrigin;

/// Whether a request is served, and for which tenant.
#[derive(Debug, Clone, PartialEq)]
pub enum TenantAccess {
    /// The request carries the key of this tenant.
    Tenant(Arc<TenantPolicy>),
    /// The request has no tenant and needs none.
    NoTenant,
    /// The request is refused; it has not run.
    Refused(AccessRefusal),
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessRefusal {
    /// No tenant holds the key, or the request has several.
    UnknownKey,
    /// The request has no key, and its route needs one.
    MissingKey,
    /// The key is unknown or missing, but a configuration that is in force elsewhere
    /// may allow the request.
    OldState,
    /// The request has no key. It may be a call of a run that the target began before
    /// this daemon started, or of one whose answer is awaited no longer.
    UnknownRun,
}

impl AccessRefusal {
    /// Whether the request may be served when it is sent again: it is answered with
    /// status 503 in place of 401.
    pub fn is_temporary(self) -> bool {
        match self {
            AccessRefusal::UnknownKey | AccessRefusal::MissingKey => false,
            AccessRefusal::OldState | AccessRefusal::UnknownRun => true,
        }
    }

    /// Returns the reason in words, for the caller and for the log.
    pub fn reason(self) -> &'static str {
        match self {
            AccessRefusal::UnknownKey => "unknown key",
            AccessRefusal::MissingKey => "no key",
            AccessRefusal::OldState => "no valid key in an old state",
            AccessRefusal::UnknownRun => "no key, call of an unknown run",
        }
    }
}

/// Determines the tenant of a request from its head and the configuration.
pub fn check(
    node: &SidecarNode,
    config: &MeshConfig,
    route: &MeshRoute,
    headers: &HeaderMap,
    id: &str,
) -> TenantAccess {
    if !config.has_tenants() {
        return TenantAccess::NoTenant;
    }
    let key = message::request_key(headers);
    if let RequestKey::One(key) = key
        && let Some(tenant) = config.tenant_of_key(key)
    {
        return TenantAccess::Tenant(Arc::clone(tenant));
    }
    if route.public {
        return TenantAccess::NoTenant;
    }
    let refusal = match key {
        RequestKey::One(_) | RequestKey::Several => AccessRefusal::UnknownKey,
        RequestKey::Missing => match RequestOrigin::of(node, id) {
            RequestOrigin::Run { .. } => return TenantAccess::NoTenant,
            RequestOrigin::Caller if may_be_call(node, config, id) => AccessRefusal::UnknownRun,
            RequestOrigin::Caller => AccessRefusal::MissingKey,
        },
    };
    if !refusal.is_temporary() && node.may_lack_changes() {
        return TenantAccess::Refused(AccessRefusal::OldState);
    }
    TenantAccess::Refused(refusal)
}

/// Returns whether a request may be a call of a run that the target began before this
/// daemon started, or of one that was given up. Such a run ends within the longest
/// timeout of a route.
fn may_be_call(node: &SidecarNode, config: &MeshConfig, id: &str) -> bool {
    let Some(parent) = message::parent_id(id) else {
        return false;
    };
    let longest = config.longest_timeout();
    let since = node.now().saturating_sub(longest);
    node.age() < longest || node.owner.may_still_run(parent, since)
}
