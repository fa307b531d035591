//! Tests of routes, home rules and the state that a new snapshot keeps.

use radishgauge_config::model::Criticality;
use radishgauge_config::model::DomainState;
use radishgauge_traffic::CallOutcome;
use radishgauge_traffic::HomeRule;
use radishgauge_traffic::PickRequest;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::TargetPicker;
use radishgauge_traffic::TriedTargets;
use radishgauge_traffic::snapshot::Distance;
use radishgauge_traffic::snapshot::HostState;
use radishgauge_traffic::snapshot::HostStates;
use radishgauge_traffic::snapshot::HostView;

use crate::fleet::add_route;
use crate::fleet::fleet;
use crate::fleet::ms;
use crate::fleet::set_domain;
use crate::fleet::snapshot;

/// Guards against a request that matches a route with a shorter prefix, or with
/// a prefix that ends inside a path segment.
#[test]
fn longest_matching_path_prefix_is_selected() {
    let mut model = fleet([1, 0, 0, 0, 0, 0]);
    add_route(&mut model, "root", "/", &["GET"], &[]);
    add_route(&mut model, "photos", "/orders/photos/", &["POST"], &[]);
    add_route(&mut model, "photos-read", "/orders/photos", &[], &[]);
    let snapshot = snapshot(&model);
    let name = |method: &str, path: &str| -> Result<String, Refusal> {
        let key = snapshot.routes().find(method, path)?;
        Ok(snapshot.routes().get(key).unwrap().name.to_string())
    };
    assert_eq!(
        name("GET", "/orders/7?x=/orders/photos"),
        Ok("orders".into())
    );
    assert_eq!(name("POST", "/orders/photos/1"), Ok("photos".into()));
    assert_eq!(name("GET", "/orders/photos"), Ok("photos-read".into()));
    assert_eq!(name("GET", "/orders2"), Ok("root".into()));
    let refused = name("POST", "/orders2").unwrap_err();
    assert_eq!(refused.reason, RefusalReason::MethodNotAllowed);
    assert_eq!(refused.status(), 405);
}

/// Guards invariant I2: a configuration that lacks a service must not contain
/// routes to it.
#[test]
fn route_to_missing_service_is_omitted() {
    let mut model = fleet([1, 0, 0, 0, 0, 0]);
    model.services.clear();
    let refused = snapshot(&model)
        .routes()
        .find("GET", "/orders")
        .unwrap_err();
    assert_eq!(refused.reason, RefusalReason::NoRoute);
}

/// Guards against a request that is allowed anywhere because a region or tenant
/// is unknown, or because its sets of home regions have no region in common.
#[test]
fn home_rule_fails_closed() {
    let mut model = fleet([1, 1, 1, 1, 1, 1]);
    add_route(&mut model, "bound", "/bound", &[], &["addis", "gonder"]);
    add_route(&mut model, "lost", "/lost", &[], &["atlantis"]);
    let snapshot = snapshot(&model);
    let rule = |path: &str, tenant: &str, carried: &[&str]| {
        let key = snapshot.routes().find("GET", path).unwrap();
        let carried: Vec<_> = carried.iter().map(|name| (*name).into()).collect();
        let route = snapshot.routes().get(key).unwrap();
        let rule = snapshot.home_rule(route, tenant, &carried);
        rule.map_err(|refusal| refusal.reason)
    };
    assert_eq!(rule("/orders", "", &[]), Ok(HomeRule::ANYWHERE));
    assert_eq!(rule("/lost", "", &[]), Err(RefusalReason::HomeRegion));
    assert_eq!(rule("/bound", "lake", &[]), Err(RefusalReason::HomeRegion));
    assert_eq!(
        rule("/orders", "nobody", &[]),
        Err(RefusalReason::UnknownTenant)
    );
    assert_eq!(
        rule("/bound", "local", &["gonder"]),
        Err(RefusalReason::HomeRegion)
    );
    let bound = rule("/bound", "free", &["addis", "bahir"]).unwrap();
    assert_eq!(snapshot.home_region_names(&bound), ["addis"]);
    assert!(bound.check_entry(snapshot.local_region()).is_ok());
    let lake = rule("/orders", "lake", &[]).unwrap();
    let refused = lake.check_entry(snapshot.local_region()).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::HomeRegion);
}

/// Guards against load statistics that are reset by each of 15,000 configuration
/// changes a day, and against statistics of an earlier incarnation.
#[test]
fn statistics_are_kept_per_target_incarnation() {
    let model = fleet([2, 0, 0, 0, 0, 0]);
    let old = snapshot(&model);
    let picker = TargetPicker::new(7, 0);
    let request = PickRequest {
        home: HomeRule::ANYWHERE,
        criticality: Criticality::Normal,
        bytes: 0,
    };
    let service = old.service_key("desk").unwrap();
    let picked = picker
        .pick(&old, service, &request, &TriedTargets::default(), ms(0))
        .unwrap();
    let (key, host) = (picked.target, picked.host.clone());
    let entry = |snapshot: &radishgauge_traffic::TrafficSnapshot| {
        let service = snapshot.service(service).unwrap();
        let mut near = service.tier(Distance::Near).iter();
        near.find(|target| target.host == host).cloned().unwrap()
    };
    let kept = old.rebuild(&model, &HostStates::new(), 2, ms(10));
    assert_eq!(entry(&kept).key, key);
    assert_eq!(entry(&kept).stats.outstanding(), 1);
    picked.finish(CallOutcome::Answered { capacity: 9 }, ms(30));
    assert_eq!(entry(&kept).stats.outstanding(), 0);
    assert_eq!(entry(&kept).stats.capacity(), 9);
    let restarted = HostView {
        incarnation: 5,
        ..HostView::default()
    };
    let hosts = HostStates::from_iter([(host.clone(), restarted)]);
    let later = kept.rebuild(&model, &hosts, 3, ms(20));
    assert_ne!(entry(&later).key, key);
    assert_eq!(entry(&later).stats.capacity(), 20);
}

/// Guards against calls to hosts that are not live, or whose failure domain is
/// out of service.
#[test]
fn snapshot_excludes_unavailable_targets() {
    let mut model = fleet([3, 2, 0, 0, 0, 0]);
    set_domain(&mut model, "addis-kality", DomainState::Out);
    let view = |state| HostView {
        state,
        incarnation: 0,
    };
    let hosts = HostStates::from_iter([
        ("addis-bole-1".into(), view(HostState::Leaving)),
        ("addis-bole-2".into(), view(HostState::Unreachable)),
    ]);
    let snapshot = snapshot(&model).rebuild(&model, &hosts, 2, ms(0));
    let service = snapshot
        .service(snapshot.service_key("desk").unwrap())
        .unwrap();
    let near = service.tier(Distance::Near);
    assert_eq!(near.len(), 1);
    assert_eq!(near[0].host, "addis-bole-0");
    assert!(service.tier(Distance::Region).is_empty());
}

/// Guards against a sender that uses all targets, against a subset that changes
/// in more than one place when a target is removed, and against a subset that
/// omits a small region.
#[test]
fn subset_is_bounded_stable_and_includes_each_region() {
    let mut model = fleet([300, 0, 400, 0, 2, 0]);
    let hosts = |model: &radishgauge_config::FleetModel, distance| {
        let snapshot = snapshot(model);
        let key = snapshot.service_key("desk").unwrap();
        let tier = snapshot.service(key).unwrap().tier(distance).to_vec();
        tier.into_iter()
            .map(|target| target.host)
            .collect::<Vec<_>>()
    };
    let before = hosts(&model, Distance::Near);
    assert_eq!(before.len(), 20);
    let far = hosts(&model, Distance::Far);
    let small = far.iter().filter(|host| host.starts_with("gonder"));
    assert_eq!((far.len(), small.count()), (22, 2));
    let targets = &mut model.services.get_mut("desk").unwrap().targets;
    targets.shift_remove(&before[0]);
    let after = hosts(&model, Distance::Near);
    let kept = before.iter().filter(|host| after.contains(host)).count();
    assert_eq!(kept, 19);
}
