//! The simulated fleet: one service in two failure domains of a region.

use std::time::Duration;

use radishgauge_config::FleetModel;
use radishgauge_config::model::DomainModel;
use radishgauge_config::model::DomainState;
use radishgauge_config::model::ServiceModel;
use radishgauge_config::model::TargetModel;
use radishgauge_traffic::LocalHost;
use radishgauge_traffic::TrafficSnapshot;
use radishgauge_traffic::snapshot::HostStates;
use smol_str::SmolStr;

use crate::virtual_load::worker::COLD_SLOTS;
use crate::virtual_load::worker::CONNECTIONS;
use crate::virtual_load::worker::SLOTS;

const DOMAINS: [&str; 2] = ["addis-bole", "addis-kality"];

/// Returns the names of the targets' hosts, which alternate between the two
/// failure domains.
pub fn hosts(targets: usize) -> Vec<SmolStr> {
    let host = |number: usize| format!("{}-{number}", DOMAINS[number % 2]).into();
    (0..targets).map(host).collect()
}

/// Returns the configuration of a fleet with one service `desk`.
pub fn model(targets: usize) -> FleetModel {
    let mut model = FleetModel {
        regions: vec!["addis".into()],
        ..FleetModel::default()
    };
    for domain in DOMAINS {
        let domain_model = DomainModel {
            region: "addis".into(),
            state: DomainState::In,
        };
        model.domains.insert(domain.into(), domain_model);
    }
    let target = |(number, host)| {
        let number: usize = number;
        let model = TargetModel {
            address: "127.0.0.1:8080".parse().expect("an address"),
            daemon: "127.0.0.1:7070".parse().expect("an address"),
            failure_domain: DOMAINS[number % 2].into(),
        };
        (host, model)
    };
    let service = ServiceModel {
        slots: SLOTS,
        connections: CONNECTIONS as u32,
        cold_start_slots: COLD_SLOTS,
        owner_epoch: 0,
        targets: hosts(targets).into_iter().enumerate().map(target).collect(),
        former: Vec::new(),
    };
    model.services.insert("desk".into(), service);
    model
}

/// Returns the traffic snapshot of a host in one of the two failure domains.
///
/// # Panics
///
/// Panics if `domain` is not 0 or 1.
pub fn snapshot(model: &FleetModel, host: &str, domain: usize) -> TrafficSnapshot {
    let local = LocalHost {
        host: host.into(),
        region: "addis".into(),
        failure_domain: DOMAINS[domain].into(),
    };
    TrafficSnapshot::build(model, local, &HostStates::new(), 1, Duration::ZERO)
}
