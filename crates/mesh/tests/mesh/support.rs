//! Values that several tests use.

use std::time::Duration;

use radishgauge_mesh::TargetRecord;

/// Returns the registration of a target that is ready.
pub fn record(id: &str) -> TargetRecord {
    TargetRecord {
        id: id.into(),
        service: "shop".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "a".into(),
        capacity: 18,
        draining: false,
        version: "v1".into(),
        cold_left: Duration::ZERO,
        incarnation: None,
        sequence: 1,
    }
}
