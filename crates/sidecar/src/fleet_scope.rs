//! Which entries of the platform's store name targets of this fleet.
//!
//! Any program may write an entry among those of the targets. An entry of a service or a
//! failure domain that this fleet does not have names no target to use and no host with
//! a daemon, so it must not change whom a daemon asks, follows or takes for a target's
//! successor.

use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::StateTable;
use radishgauge_mesh::TargetRecord;
use radishgauge_platform::HostSettings;

/// The services and failure domains of this fleet, as one daemon knows them.
#[derive(Clone, Copy)]
pub(crate) struct FleetScope<'a> {
    settings: &'a HostSettings,
    config: Option<&'a MeshConfig>,
}

impl<'a> FleetScope<'a> {
    /// Returns the fleet that the settings and the known configuration describe.
    pub(crate) fn new(settings: &'a HostSettings, table: &'a StateTable) -> FleetScope<'a> {
        FleetScope {
            settings,
            config: table.config().map(|config| config.as_ref()),
        }
    }

    /// Returns whether an entry names a target of this fleet. Before the first
    /// configuration, all services count as services of the fleet.
    pub(crate) fn contains(&self, target: &TargetRecord) -> bool {
        let domains = &self.settings.domain_regions;
        domains.contains_key(&target.failure_domain) && self.has_service(&target.service)
    }

    fn has_service(&self, service: &str) -> bool {
        let is_configured = |config: &MeshConfig| config.service(service).is_some();
        self.settings.service == service || self.config.is_none_or(is_configured)
    }
}
