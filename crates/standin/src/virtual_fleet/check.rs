//! The invariants that are checked after every published fleet state.

use std::sync::Arc;

use radishgauge_control::FleetState;
use radishgauge_control::ledger::VersionId;

use crate::virtual_fleet::VirtualFleet;

impl VirtualFleet {
    // Panics if a published fleet state violates an invariant of the design:
    // revisions never decrease, the content of a revision never changes, forbidden
    // versions are never published, every route has its service, and a host has
    // every service that it needs.
    pub(super) fn check(&mut self, host: usize, fleet_state: Arc<FleetState>) {
        let virtual_host = &self.hosts[host];
        let name = self.spec.host_name(host);
        let earlier = virtual_host
            .fleet_state
            .as_ref()
            .map(|fleet_state| (fleet_state.revision, fleet_state.root));
        if let Some((revision, root)) = earlier {
            assert!(
                fleet_state.revision >= revision,
                "{name} went back from {revision} to {}",
                fleet_state.revision
            );
            assert!(
                fleet_state.revision > revision || fleet_state.root == root,
                "{name} changed the content of revision {revision}"
            );
        }
        let version = VersionId {
            revision: fleet_state.revision,
            root: fleet_state.root,
        };
        assert!(
            !self.forbidden.contains(&version),
            "{name} published a forbidden version"
        );
        for (route, model) in &fleet_state.model.routes {
            assert!(
                fleet_state.model.services.contains_key(&model.service),
                "{name}: {route} has no service"
            );
        }
        if let Some(machine) = &virtual_host.machine
            && machine.view().root_digest() == fleet_state.root
        {
            let index = machine.view().index();
            let missing = machine.scope().needed().iter().find(|service| {
                let key = format!("service/{service}");
                fleet_state.model.services.contains_key(*service) != index.get(&key).is_some()
            });
            // A service that was requested recently is fetched after the version.
            assert!(
                missing.is_none() || machine.fetching(),
                "{name} needs {missing:?}, which its fleet state lacks"
            );
        }
        let from = earlier.map_or(0, |(revision, _)| revision);
        for (revision, at) in self.published.iter().rev() {
            if *revision <= from {
                break;
            }
            if *revision <= fleet_state.revision && earlier.is_some() {
                self.delays.push((*revision, self.now - *at));
            }
        }
        self.hosts[host].fleet_state = Some(fleet_state);
    }
}
