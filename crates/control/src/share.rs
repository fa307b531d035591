//! What of a version a daemon needs, and the snapshot that traffic reads.
//!
//! Holding every service at every host would cost each change a copy per
//! daemon. A daemon holds the services that it hosts, those that its workers
//! call, and those that were called through it lately.

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

use crate::fresh::Freshness;
use crate::member::HostStanding;

/// How long a service stays in the share after a call through this daemon.
pub const WANTED_TIME: Duration = Duration::from_secs(600);

/// The part key of the fleet part.
pub const FLEET_KEY: &str = "fleet";

/// The roles that a daemon believes it has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoleSet {
    /// It holds the whole configuration for its failure domain.
    pub relay: bool,
    /// Its rank among the readers of its region, 0 for the first.
    pub rank: Option<usize>,
}

/// Everything that traffic needs to know, published as one value.
#[derive(Debug, Clone)]
pub struct FleetShare {
    /// The model of the share: routes whose service is held, and those services.
    ///
    /// The same allocation is published again while the share does not change.
    pub model: Arc<FleetModel>,
    /// The routes whose service is not held; a call on one wants its service.
    pub unloaded: Arc<IndexMap<SmolStr, RouteModel>>,
    /// The revision in force.
    pub revision: u64,
    /// The digest of the root in force.
    pub root: PartDigest,
    /// `platform`, or the host that the version came from.
    pub source: SmolStr,
    /// Taken from the platform while no peer had a version.
    pub unconfirmed: bool,
    /// The standing of each target's host.
    pub hosts: Arc<IndexMap<SmolStr, HostStanding>>,
    /// The state of this daemon's own failure domain.
    pub domain_state: DomainState,
    /// The roles of this daemon.
    pub roles: RoleSet,
    /// How far the daemon may act on this.
    pub freshness: Freshness,
    /// Whether this daemon is leaving.
    pub leaving: bool,
}

/// Which parts of a version belong to a daemon's share.
#[derive(Debug, Clone)]
pub struct ShareScope {
    host: SmolStr,
    routes: BTreeMap<SmolStr, (SmolStr, Vec<SmolStr>)>,
    hosted: BTreeSet<SmolStr>,
    wanted: IndexMap<SmolStr, Duration>,
    needed: BTreeSet<SmolStr>,
}

impl ShareScope {
    /// Returns the scope of a host that knows no part.
    pub fn new(host: SmolStr) -> ShareScope {
        ShareScope {
            host,
            routes: BTreeMap::new(),
            hosted: BTreeSet::new(),
            wanted: IndexMap::new(),
            needed: BTreeSet::new(),
        }
    }

    /// Takes the content of a held part into account.
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
                    self.hosted.insert(name);
                } else {
                    self.hosted.remove(&name);
                }
            }
            Some(Part::Fleet(_)) | None => {}
        }
    }

    /// Takes into account that a part was removed.
    pub fn forget(&mut self, key: &str) {
        self.routes.remove(key);
        if let Some(name) = key.strip_prefix("service/") {
            self.hosted.remove(name);
        }
    }

    /// Forgets every part, but not the services called lately.
    pub fn clear(&mut self) {
        self.routes.clear();
        self.hosted.clear();
    }

    /// Notes a call of a service; returns whether the service was not wanted.
    pub fn want(&mut self, service: SmolStr, now: Duration) -> bool {
        self.wanted.insert(service, now + WANTED_TIME).is_none()
    }

    /// Forgets services that were not called lately.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.wanted.len();
        self.wanted.retain(|_, until| *until > now);
        self.wanted.len() != before
    }

    /// Computes the needed services anew; returns whether they changed.
    pub fn refresh(&mut self) -> bool {
        let mut needed = self.hosted.clone();
        needed.extend(self.wanted.keys().cloned());
        for (service, calls) in self.routes.values() {
            if self.hosted.contains(service) {
                needed.extend(calls.iter().cloned());
            }
        }
        let changed = needed != self.needed;
        self.needed = needed;
        changed
    }

    /// Returns the services that this host's workers run.
    pub fn hosted(&self) -> &BTreeSet<SmolStr> {
        &self.hosted
    }

    /// Returns the needed services.
    pub fn needed(&self) -> &BTreeSet<SmolStr> {
        &self.needed
    }

    /// Returns whether a part belongs to the share.
    pub fn covers(&self, key: &str) -> bool {
        match key.strip_prefix("service/") {
            Some(service) => self.needed.contains(service),
            None => true,
        }
    }
}

/// Moves the routes whose service is not in the model out of it.
pub fn split_unloaded(model: &mut FleetModel) -> IndexMap<SmolStr, RouteModel> {
    let services = &model.services;
    let (held, unloaded) = std::mem::take(&mut model.routes)
        .into_iter()
        .partition(|(_, route)| services.contains_key(&route.service));
    model.routes = held;
    unloaded
}

/// Returns the part key that a part's content gives it.
pub fn key_of(value: &[u8]) -> Option<SmolStr> {
    match ConfigPart::decode(value).ok()?.part? {
        Part::Fleet(_) => Some(SmolStr::new_static(FLEET_KEY)),
        Part::Service(service) => Some(smol_str::format_smolstr!("service/{}", service.name)),
        Part::Route(route) => Some(smol_str::format_smolstr!("route/{}", route.name)),
    }
}
