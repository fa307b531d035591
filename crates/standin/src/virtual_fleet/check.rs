//! The invariants that are checked after every published fleet state.

use std::sync::Arc;

use radishgauge_control::FleetState;
use radishgauge_control::ledger::VersionId;

use crate::virtual_fleet::VirtualFleet;

impl VirtualFleet {
    // Panics if a published fleet state violates an invariant of the design:
    // revisions never decrease, the content of a revision never changes, refused
    // versions are never published, every route has its service, and a host has
    // every service that it needs.
    pub(super) fn check(&mut self, host: usize, share: Arc<FleetState>) {
        let held = &self.hosts[host];
        let name = self.spec.host_name(host);
        let earlier = held
            .share
            .as_ref()
            .map(|share| (share.revision, share.root));
        if let Some((revision, root)) = earlier {
            assert!(
                share.revision >= revision,
                "{name} went back from {revision} to {}",
                share.revision
            );
            assert!(
                share.revision > revision || share.root == root,
                "{name} changed the content of revision {revision}"
            );
        }
        let mark = VersionId {
            revision: share.revision,
            root: share.root,
        };
        assert!(
            !self.refused.contains(&mark),
            "{name} published a refused version"
        );
        for (route, model) in &share.model.routes {
            assert!(
                share.model.services.contains_key(&model.service),
                "{name}: {route} has no service"
            );
        }
        if let Some(machine) = &held.machine
            && machine.view().root_digest() == share.root
        {
            let index = machine.view().index();
            let missing = machine.scope().needed().iter().find(|service| {
                let key = format!("service/{service}");
                share.model.services.contains_key(*service) != index.get(&key).is_some()
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
            if *revision <= share.revision && earlier.is_some() {
                self.delays.push((*revision, self.now - *at));
            }
        }
        self.hosts[host].share = Some(share);
    }
}
