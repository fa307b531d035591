use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::MeshRoute;
use radishgauge_mesh::config::RequestLimits;
use radishgauge_mesh::config::WeightedService;

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> MeshRoute {
    let weighted = |(service, weight): &(&str, u32)| WeightedService {
        service: (*service).into(),
        weight: *weight,
    };
    MeshRoute {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        objective: Duration::from_millis(500),
        priority: 1,
        timeout: Duration::from_secs(1),
        attempts: 2,
        regions: Vec::new(),
        public: false,
        split: split.iter().map(weighted).collect(),
    }
}

fn config(routes: Vec<MeshRoute>) -> MeshConfig {
    MeshConfig::new(7, RequestLimits::default(), routes, IndexMap::new())
}

/// Guards against a request that matches a route with a shorter prefix or of
/// another host.
#[test]
fn longest_prefix_of_host_wins() {
    let config = config(vec![
        route("short", "a", "/x/", &[("one", 1)]),
        route("long", "a", "/x/y/", &[("one", 1)]),
        route("other", "b", "/x/y/z/", &[("one", 1)]),
    ]);
    let name = |host, path| config.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("a", "/x/y/z/1"), Some("long"));
    assert_eq!(name("a", "/x/1"), Some("short"));
    assert_eq!(name("b", "/x/y/z/1"), Some("other"));
    assert_eq!(name("b", "/x/1"), None);
    assert_eq!(name("c", "/x/1"), None);
    assert_eq!(name("a", "/xy/"), None);
}

/// Guards against services that get other portions of the requests than their
/// weights, and against requests to a service of weight 0.
#[test]
fn services_get_requests_by_weight() {
    let route = route("r", "a", "/", &[("none", 0), ("most", 90), ("few", 10)]);
    let mut counts: IndexMap<&str, u32> = IndexMap::new();
    for draw in 0..1000 {
        let service = route.service(f64::from(draw) / 1000.0).unwrap();
        *counts.entry(service.as_str()).or_default() += 1;
    }
    assert_eq!(counts.get("none"), None);
    assert_eq!((counts["most"], counts["few"]), (900, 100));
    // A draw at the upper end still selects a service.
    assert_eq!(route.service(1.0).unwrap(), "few");
}

/// Guards against a request with home regions that is handled in another region.
#[test]
fn only_home_regions_are_allowed() {
    let mut route = route("r", "a", "/", &[("one", 1)]);
    assert!(route.allows_region("addis"));
    route.regions = vec!["bahir".into()];
    assert!(route.allows_region("bahir"));
    assert!(!route.allows_region("addis"));
}

/// Guards against a service whose targets in a home region are used by requests
/// that may be handled anywhere.
#[test]
fn home_regions_are_those_of_restricted_routes() {
    let restricted = MeshRoute {
        regions: vec!["south".into()],
        ..route("sale", "a", "/s/", &[("desk", 1), ("shop", 0)])
    };
    let config = config(vec![restricted, route("read", "a", "/r/", &[("book", 1)])]);
    assert!(config.is_home_region("desk", "south"));
    assert!(!config.is_home_region("desk", "north"));
    assert!(!config.is_home_region("book", "south"));
}
