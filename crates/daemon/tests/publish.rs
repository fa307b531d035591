//! The effect of a published version on the ledger of idempotency keys.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_config::FleetModel;
use radishgauge_config::PartDigest;
use radishgauge_config::model::DomainState;
use radishgauge_config::with_former_targets;
use radishgauge_control::FleetState;
use radishgauge_control::fleet_state::RoleSet;
use radishgauge_control::freshness::Freshness;
use radishgauge_daemon::publish::Publisher;
use radishgauge_daemon::publish::SharedState;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::FailureDomain;
use radishgauge_schema::config::Region;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::Target;
use radishgauge_traffic::LocalHost;
use radishgauge_traffic::StalenessGuard;
use radishgauge_traffic::key::KeyIssuer;
use radishgauge_traffic::once::OnceLedger;
use radishgauge_traffic::once::OnceLimits;

fn set(host: &str) -> ConfigSet {
    let target = Target {
        host: host.to_owned(),
        address: "127.0.0.1:8101".to_owned(),
        daemon: "127.0.0.1:7101".to_owned(),
        failure_domain: "addis-bole".to_owned(),
    };
    ConfigSet {
        regions: vec![Region {
            name: "addis".to_owned(),
        }],
        failure_domains: vec![FailureDomain {
            name: "addis-bole".to_owned(),
            region: "addis".to_owned(),
            ..FailureDomain::default()
        }],
        services: vec![Service {
            name: "motif-shop".to_owned(),
            slots: 20,
            connections: 110,
            cold_start_slots: 2,
            targets: vec![target],
            ..Service::default()
        }],
        ..ConfigSet::default()
    }
}

// Guards against a second run of a key by a daemon that started after the owner
// of the key changed and received no earlier version.
#[test]
fn first_version_requests_records_of_former_owners() {
    let ledger = OnceLedger::new(
        KeyIssuer::new("shop-3", 1, [3; 32]),
        "addis",
        OnceLimits::default(),
    );
    let staleness = StalenessGuard::new(Duration::from_secs(5), Duration::ZERO);
    let state = Arc::new(SharedState::new(staleness, ledger));
    let local = LocalHost {
        host: "shop-3".into(),
        region: "addis".into(),
        failure_domain: "addis-bole".into(),
    };
    let mut publisher = Publisher::new(state.clone(), local);
    let second = with_former_targets(&set("shop-2"), &set("shop-1"), 2);
    let third = with_former_targets(&set("shop-3"), &second, 3);
    let fleet_state = FleetState {
        model: Arc::new(FleetModel::from_set(&third).unwrap()),
        unloaded: Arc::new(IndexMap::new()),
        revision: 3,
        root: PartDigest::default(),
        source: "platform".into(),
        unconfirmed: false,
        hosts: Arc::new(IndexMap::new()),
        domain_state: DomainState::In,
        roles: RoleSet::default(),
        freshness: Freshness::Fresh,
        leaving: false,
    };
    publisher.publish(Arc::new(fleet_state), Duration::ZERO);
    let missing =
        state.with_ledger(|ledger| ledger.missing_transfers("motif-shop", Duration::ZERO));
    assert_eq!(missing, ["shop-1", "shop-2"]);
}
