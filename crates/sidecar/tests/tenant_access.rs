//! Tests of the tenant of a request and of the metrics of tenants, without any other
//! daemon.

#[path = "common/clock.rs"]
mod clock;
mod common;

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use radishgauge_mesh::StatePosition;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::quota::QuotaRefusal;
use radishgauge_mesh::quota::RefusalCause;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_platform::StoreItem;
use radishgauge_sidecar::local_reply;
use radishgauge_sidecar::node::SidecarNode;
use radishgauge_sidecar::owner::TargetOwner;
use radishgauge_sidecar::request_outcome::RequestOutcome;
use radishgauge_sidecar::tenant_access;
use radishgauge_sidecar::tenant_access::AccessRefusal;
use radishgauge_sidecar::tenant_access::TenantAccess;
use radishgauge_sidecar::tenant_metrics::MAX_COUNTED_TENANTS;

use crate::clock::ManualClock;

const POSITION: StatePosition = StatePosition {
    era: 1,
    revision: 5,
};

/// A daemon that knows a configuration with tenants.
struct AccessSetup {
    node: SidecarNode,
    clock: Arc<ManualClock>,
}

impl AccessSetup {
    fn new() -> AccessSetup {
        let mut settings = common::settings();
        settings
            .domain_regions
            .insert("south-a".into(), "south".into());
        let clock = Arc::new(ManualClock::default());
        let owner = Arc::new(TargetOwner::new(&settings, clock.clone()));
        let node = SidecarNode::new(settings, clock.clone(), owner, 1);
        let items = vec![
            item("op/config", CONFIG.to_owned()),
            item("servers/north", target("10.0.0.1:4", "north-a")),
            item("servers/south", target("10.0.0.2:4", "south-a")),
        ];
        node.replace_state(items, POSITION, StateSource::Store);
        node.confirm_state(Duration::ZERO);
        AccessSetup { node, clock }
    }

    /// Sets the time, at which the store confirms the state.
    fn confirm_at(&self, millis: u64) {
        self.clock.set(millis);
        self.node.confirm_state(self.node.now());
    }

    /// Returns the tenant of a request with this `Authorization` field.
    fn check(&self, path: &str, field: Option<&str>, id: &str) -> TenantAccess {
        let config = self.node.config().unwrap();
        let route = config.find("x", path).unwrap();
        let mut headers = HeaderMap::new();
        if let Some(field) = field {
            headers.insert("authorization", field.parse().unwrap());
        }
        tenant_access::check(&self.node, &config, route, &headers, id)
    }
}

/// A configuration whose routes are answered within 3 s.
const CONFIG: &str = r#"{"version": "r1",
    "limits": {"headerBytes": 16384, "bodyBytes": 65536, "headerTimeout": "3s", "idleTimeout": "15s"},
    "listeners": [{"host": "x", "policy": [
        {"name": "read", "routeType": "idempotent", "latencySlo": "1s", "priority": 1,
         "match": {"prefix": "/"}, "action": {"service": "desk", "timeout": "3s", "attempts": 2}},
        {"name": "open", "routeType": "idempotent", "latencySlo": "1s", "priority": 1, "public": true,
         "match": {"prefix": "/open/"}, "action": {"service": "desk", "timeout": "1s", "attempts": 2}},
        {"name": "home", "routeType": "idempotent", "latencySlo": "1s", "priority": 1,
         "match": {"prefix": "/home/"}, "action": {"service": "desk", "timeout": "1s", "attempts": 2,
         "allowedRegions": ["north"]}}]}],
    "clusters": [
        {"name": "shop", "healthPath": "/health", "maxConns": 50, "coldStart": "3s", "coldPerS": 20.0},
        {"name": "desk", "healthPath": "/health", "maxConns": 50, "coldStart": "3s", "coldPerS": 20.0}],
    "tenants": [
        {"name": "acme", "apiKeys": ["k1"]},
        {"name": "south", "apiKeys": ["k2"], "allowedRegions": ["south"]}]}"#;

fn item(key: &str, text: String) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: Some(text.into_bytes()),
        revision: POSITION.revision,
        is_confirmed_removal: false,
    }
}

fn target(address: &str, domain: &str) -> String {
    format!(
        r#"{{"service": "desk", "address": "{address}", "zone": "{domain}", "version": "1",
        "capacity": 8, "state": "ready", "coldLeft": "0ms", "sequence": 1, "born": 1}}"#
    )
}

const KNOWN: Option<&str> = Some("Bearer k1");
const UNKNOWN: Option<&str> = Some("Bearer k3");

fn refused(refusal: AccessRefusal) -> TenantAccess {
    TenantAccess::Refused(refusal)
}

/// Guards against a request that is served without a valid key, and against one with a
/// valid key that is refused, on both kinds of routes.
#[test]
fn route_decides_whether_a_key_is_needed() {
    let setup = AccessSetup::new();
    let tenant = |access| match access {
        TenantAccess::Tenant(tenant) => Some(tenant.name.to_string()),
        _ => None,
    };
    for path in ["/1", "/open/1"] {
        assert_eq!(
            tenant(setup.check(path, KNOWN, "id")).as_deref(),
            Some("acme")
        );
    }
    for field in [None, UNKNOWN] {
        assert_eq!(setup.check("/open/1", field, "id"), TenantAccess::NoTenant);
    }
    assert_eq!(
        setup.check("/1", None, "id"),
        refused(AccessRefusal::MissingKey)
    );
    let unknown = setup.check("/1", UNKNOWN, "id");
    assert_eq!(unknown, refused(AccessRefusal::UnknownKey));
    assert!(!AccessRefusal::UnknownKey.is_temporary());
}

/// Guards against a caller that is told that its key is unknown while the daemon may lack
/// the version that has it.
#[test]
fn refusal_is_temporary_while_changes_may_be_missing() {
    let setup = AccessSetup::new();
    setup.clock.set(60_000);
    for field in [None, UNKNOWN] {
        let access = setup.check("/1", field, "id");
        assert_eq!(access, refused(AccessRefusal::OldState));
    }
    assert!(matches!(
        setup.check("/1", KNOWN, "id"),
        TenantAccess::Tenant(_)
    ));
    assert!(AccessRefusal::OldState.is_temporary());
    setup.confirm_at(60_000);
    let access = setup.check("/1", UNKNOWN, "id");
    assert_eq!(access, refused(AccessRefusal::UnknownKey));
}

/// Guards against calls of runs from before a restart that are refused for good, and
/// against requests without a key that are never refused for good because their IDs have
/// a dot. An unknown key is not that of a call.
#[test]
fn calls_of_unknown_runs_are_possible_until_all_earlier_runs_have_ended() {
    let setup = AccessSetup::new();
    let unknown_run = refused(AccessRefusal::UnknownRun);
    for millis in [0, 1_500, 2_999] {
        setup.confirm_at(millis);
        assert_eq!(setup.check("/1", None, "id.1"), unknown_run, "{millis}");
        let access = setup.check("/1", UNKNOWN, "id.1");
        assert_eq!(access, refused(AccessRefusal::UnknownKey));
    }
    setup.confirm_at(3_000);
    let access = setup.check("/1", None, "id.1");
    assert_eq!(access, refused(AccessRefusal::MissingKey));
    assert!(AccessRefusal::UnknownRun.is_temporary());
}

/// Guards against a target in a region that only the tenant, or only the route, allows.
#[test]
fn regions_of_route_and_tenant_both_apply() {
    let setup = AccessSetup::new();
    let config = setup.node.config().unwrap();
    let ids = |path, tenant: Option<&str>| {
        let route = config.find("x", path).unwrap();
        let tenant = tenant
            .and_then(|name| config.tenant(name))
            .map(AsRef::as_ref);
        let candidates = setup.node.candidates(route, tenant, "desk").into_iter();
        let ids = candidates.map(|candidate| candidate.place.id.to_string());
        ids.collect::<Vec<_>>()
    };
    assert_eq!(ids("/1", None), ["north", "south"]);
    assert_eq!(ids("/1", Some("acme")), ["north", "south"]);
    assert_eq!(ids("/1", Some("south")), ["south"]);
    assert_eq!(ids("/home/1", Some("acme")), ["north"]);
    assert!(ids("/home/1", Some("south")).is_empty());
}

/// Guards against metrics that grow with the number of tenants, that lose requests, or
/// that lack the series of other metrics because there are many tenants.
#[test]
fn number_of_series_of_tenants_is_bounded() {
    const TENANTS: usize = 10_000;
    let node = AccessSetup::new().node;
    for number in 0..TENANTS {
        let policy = TenantPolicy {
            name: format!("tenant {number}").into(),
            priority: None,
            limit: None,
            regions: Vec::new(),
        };
        node.metrics.tenants.count(&policy, RequestOutcome::Served);
        node.metrics
            .tenants
            .count(&policy, RequestOutcome::OverLimit);
    }
    node.metrics.count("last");
    let page = node.metrics.page(&node);
    let lines = page
        .lines()
        .filter(|line| line.contains("tenant_requests{"));
    assert_eq!(lines.count(), 2 * MAX_COUNTED_TENANTS);
    let first = "radishgauge.tenant_requests{tenant:tenant%200,outcome:over_limit} 1";
    assert!(page.lines().any(|line| line == first), "{page}");
    let left_out = TENANTS - MAX_COUNTED_TENANTS;
    let rest = format!("radishgauge.tenant_requests_left_out{{outcome:served}} {left_out}");
    assert!(page.lines().any(|line| line == rest), "{page}");
    assert!(page.lines().any(|line| line == "radishgauge.last 1"));
}

/// Guards against a refusal over the limit that a caller cannot tell from another one,
/// that does not say when to come back, or that is not counted.
#[test]
fn refusal_over_the_limit_says_when_to_come_back() {
    let node = Arc::new(AccessSetup::new().node);
    let config = node.config().unwrap();
    let tenant = config.tenant("acme").unwrap();
    let refusal = QuotaRefusal {
        retry_after: Duration::from_millis(1_250),
        cause: RefusalCause::Exhausted,
        owner: None,
        left: 0.0,
        grant_age: None,
    };
    let answer = local_reply::refuse_over_limit(&node, "id-1", tenant, &refusal);
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.headers()["retry-after"], "1.250");
    assert_eq!(answer.headers()["radishgauge-request-id"], "id-1");
    let series = "radishgauge.tenant_requests{tenant:acme,outcome:over_limit} 1";
    let page = node.metrics.page(&node);
    assert!(page.lines().any(|line| line == series), "{page}");
}
