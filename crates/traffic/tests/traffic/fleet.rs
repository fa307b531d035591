//! Fleet models, durations and test settings that the tests share.

use std::time::Duration;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use radishgauge_config::FleetModel;
use radishgauge_config::model::Criticality;
use radishgauge_config::model::DomainModel;
use radishgauge_config::model::DomainState;
use radishgauge_config::model::PolicyModel;
use radishgauge_config::model::RouteModel;
use radishgauge_config::model::ServiceModel;
use radishgauge_config::model::TargetModel;
use radishgauge_config::model::TenantModel;
use radishgauge_traffic::AdmissionRequest;
use radishgauge_traffic::LocalHost;
use radishgauge_traffic::TargetAdmission;
use radishgauge_traffic::TrafficSnapshot;
use radishgauge_traffic::snapshot::HostStates;

pub const DOMAINS: [(&str, &str); 6] = [
    ("addis-bole", "addis"),
    ("addis-kality", "addis"),
    ("bahir-gion", "bahir"),
    ("bahir-tana", "bahir"),
    ("gonder-fasil", "gonder"),
    ("gonder-azezo", "gonder"),
];

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a configuration whose cases depend only on the seed, so that a
/// failure is reproducible.
pub fn cases(count: u32, seed: u64) -> Config {
    Config {
        cases: count,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns a model with three regions, six failure domains and the service
/// `desk`, which has the given number of targets in each failure domain. Hosts
/// are named after their failure domain.
pub fn fleet(targets: [usize; 6]) -> FleetModel {
    let mut model = FleetModel {
        regions: ["addis", "bahir", "gonder"].map(Into::into).to_vec(),
        ..FleetModel::default()
    };
    let mut desk = service(20, 2);
    for ((domain, region), count) in DOMAINS.into_iter().zip(targets) {
        let state = DomainState::In;
        let region = region.into();
        model
            .domains
            .insert(domain.into(), DomainModel { region, state });
        for number in 0..count {
            let target = TargetModel {
                address: "127.0.0.1:8080".parse().unwrap(),
                daemon: "127.0.0.1:7070".parse().unwrap(),
                failure_domain: domain.into(),
            };
            let host = format!("{domain}-{number}");
            desk.targets.insert(host.into(), target);
        }
    }
    model.services.insert("desk".into(), desk);
    let home = |name: &str| TenantModel {
        home_regions: vec![name.into()],
    };
    model.tenants.insert("free".into(), TenantModel::default());
    model.tenants.insert("local".into(), home("addis"));
    model.tenants.insert("lake".into(), home("bahir"));
    add_route(&mut model, "orders", "/orders", &[], &[]);
    model
}

pub fn add_route(
    model: &mut FleetModel,
    name: &str,
    prefix: &str,
    methods: &[&str],
    home: &[&str],
) {
    let route = RouteModel {
        path_prefix: prefix.into(),
        methods: methods.iter().map(|method| (*method).into()).collect(),
        service: "desk".into(),
        criticality: Criticality::Normal,
        repeatable: false,
        timeout: ms(2000),
        home_regions: home.iter().map(|region| (*region).into()).collect(),
        calls: Vec::new(),
    };
    model.routes.insert(name.into(), route);
}

pub fn service(slots: u32, cold_start_slots: u32) -> ServiceModel {
    ServiceModel {
        slots,
        connections: 110,
        cold_start_slots,
        owner_epoch: 0,
        targets: Default::default(),
        former: Vec::new(),
    }
}

/// Returns the location of the host `addis-bole-0`, which runs a target when its
/// failure domain has any.
pub fn local() -> LocalHost {
    LocalHost {
        host: "addis-bole-0".into(),
        region: "addis".into(),
        failure_domain: "addis-bole".into(),
    }
}

pub fn snapshot(model: &FleetModel) -> TrafficSnapshot {
    TrafficSnapshot::build(model, local(), &HostStates::new(), 1, ms(0))
}

pub fn set_domain(model: &mut FleetModel, domain: &str, state: DomainState) {
    model.domains.get_mut(domain).unwrap().state = state;
}

pub fn request(criticality: Criticality, deadline: Duration) -> AdmissionRequest {
    AdmissionRequest {
        criticality,
        deadline,
        suspect: false,
    }
}

pub fn admission(slots: u32, cold: u32) -> TargetAdmission {
    TargetAdmission::new(&service(slots, cold), &PolicyModel::default(), ms(0))
}
