//! The scope of a daemon, and the fleet state that the request path reads.
//!
//! If every host stored every service, each change would be sent to every
//! daemon. The scope of a daemon is therefore limited to the services that run
//! on its host, those that its workers call, and those that were recently
//! called through it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use prost::Message;
use radishgauge_config::FleetModel;
use radishgauge_config::PartDigest;
use radishgauge_config::model::DomainState;
use radishgauge_config::model::RouteModel;
use radishgauge_schema::config::ConfigPart;
use radishgauge_schema::config::config_part::Part;
use smol_str::SmolStr;

use crate::freshness::Freshness;
use crate::host_table::HostStatus;

/// How long a service stays in the scope after a call through this daemon.
pub const RECENT_CALL_TIME: Duration = Duration::from_secs(600);

/// The key of the part with the fleet-wide configuration.
pub const FLEET_KEY: &str = "fleet";

/// The roles that a daemon has according to its own view of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoleSet {
    /// Whether the daemon stores all parts, to serve its failure domain.
    pub relay: bool,
    /// The rank among the readers of its region, 0 for the first; `None` if it
    /// is not a reader.
    pub rank: Option<usize>,
}

/// The control state that the request path reads, published as one value.
#[derive(Debug, Clone)]
pub struct FleetState {
    /// The model of the scope: its services, and the routes to them.
    ///
    /// Successive fleet states share one allocation while the model is the same.
    pub model: Arc<FleetModel>,
    /// The routes to services outside the scope; a call on one adds its service.
    pub unloaded: Arc<IndexMap<SmolStr, RouteModel>>,
    /// The revision in force.
    pub revision: u64,
    /// The digest of the root in force.
    pub root: PartDigest,
    /// `platform`, or the name of the host that the version was fetched from.
    pub source: SmolStr,
    /// Whether the version came from the platform and no peer has confirmed it.
    pub unconfirmed: bool,
    /// The state of each target's host.
    pub hosts: Arc<IndexMap<SmolStr, HostStatus>>,
    /// The state of this daemon's own failure domain.
    pub domain_state: DomainState,
    /// The roles of this daemon in distribution.
    pub roles: RoleSet,
    /// Whether this state can be relied on after a pause.
    pub freshness: Freshness,
    /// Whether this daemon is shutting down and accepts no new work.
    pub leaving: bool,
}

/// Determines which parts of a version a daemon needs.
#[derive(Debug, Clone)]
pub struct ServiceScope {
    host: SmolStr,
    routes: BTreeMap<SmolStr, (SmolStr, Vec<SmolStr>)>,
    local_services: BTreeSet<SmolStr>,
    called: IndexMap<SmolStr, Duration>,
    needed: BTreeSet<SmolStr>,
}

impl ServiceScope {
    /// Creates the scope of a host that has no parts yet.
    pub fn new(host: SmolStr) -> ServiceScope {
        ServiceScope {
            host,
            routes: BTreeMap::new(),
            local_services: BTreeSet::new(),
            called: IndexMap::new(),
            needed: BTreeSet::new(),
        }
    }

    /// Records the content of a stored part, for the next [`ServiceScope::refresh`].
    pub fn note(&mut self, key: &str, value: &[u8]) {
        let Ok(part) = ConfigPart::decode(value) else {
            return;
        };
        match part.part {
            Some(Part::Route(route)) => {
                let calls = route.calls.iter().map(SmolStr::new).collect();
                let entry = (SmolStr::new(&route.service), calls);
                self.routes.insert(SmolStr::new(key), entry);
            }
            Some(Part::Service(service)) => {
                let name = SmolStr::new(&service.name);
                if service
                    .targets
                    .iter()
                    .any(|target| target.host == self.host)
                {
                    self.local_services.insert(name);
                } else {
                    self.local_services.remove(&name);
                }
            }
            Some(Part::Fleet(_)) | None => {}
        }
    }

    /// Removes the record of a part that is no longer in the version.
    pub fn forget(&mut self, key: &str) {
        self.routes.remove(key);
        if let Some(name) = key.strip_prefix("service/") {
            self.local_services.remove(name);
        }
    }

    /// Removes the records of all parts, but not the recently called services.
    pub fn clear(&mut self) {
        self.routes.clear();
        self.local_services.clear();
    }

    /// Records a call of a service; returns whether there was no recent call of
    /// it.
    pub fn record_call(&mut self, service: SmolStr, now: Duration) -> bool {
        self.called
            .insert(service, now + RECENT_CALL_TIME)
            .is_none()
    }

    /// Removes services without a recent call; returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.called.len();
        self.called.retain(|_, until| *until > now);
        self.called.len() != before
    }

    /// Recomputes the needed services; returns whether they changed.
    pub fn refresh(&mut self) -> bool {
        let mut needed = self.local_services.clone();
        needed.extend(self.called.keys().cloned());
        for (service, calls) in self.routes.values() {
            if self.local_services.contains(service) {
                needed.extend(calls.iter().cloned());
            }
        }
        let changed = needed != self.needed;
        self.needed = needed;
        changed
    }

    /// Returns the services that have a target on this host.
    pub fn local_services(&self) -> &BTreeSet<SmolStr> {
        &self.local_services
    }

    /// Returns the services in the scope, as of the last refresh.
    pub fn needed(&self) -> &BTreeSet<SmolStr> {
        &self.needed
    }

    /// Returns whether a part is in the scope; all but service parts are.
    pub fn covers(&self, key: &str) -> bool {
        match key.strip_prefix("service/") {
            Some(service) => self.needed.contains(service),
            None => true,
        }
    }
}

/// Removes the routes whose service is not in the model, and returns them.
pub fn take_unloaded(model: &mut FleetModel) -> IndexMap<SmolStr, RouteModel> {
    let services = &model.services;
    let (held, unloaded) = std::mem::take(&mut model.routes)
        .into_iter()
        .partition(|(_, route)| services.contains_key(&route.service));
    model.routes = held;
    unloaded
}

/// Returns the key of an encoded part, derived from its content.
pub fn key_of(value: &[u8]) -> Option<SmolStr> {
    match ConfigPart::decode(value).ok()?.part? {
        Part::Fleet(_) => Some(SmolStr::new_static(FLEET_KEY)),
        Part::Service(service) => Some(smol_str::format_smolstr!("service/{}", service.name)),
        Part::Route(route) => Some(smol_str::format_smolstr!("route/{}", route.name)),
    }
}
