//! The configuration as typed values, for routing decisions.
//!
//! The messages of the schema contain lists of entries with texts. The model
//! indexes the entries by name and converts addresses, times and states once, when
//! a version is loaded. A model may be partial, because a daemon loads only the
//! services that it needs.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use prost::Message;
use radishgauge_schema::config::ConfigPart;
use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::FailureDomain;
use radishgauge_schema::config::FleetPolicy;
use radishgauge_schema::config::FormerTarget;
use radishgauge_schema::config::FormerTargets;
use radishgauge_schema::config::Region;
use radishgauge_schema::config::Route;
use radishgauge_schema::config::Service;
use radishgauge_schema::config::Target;
use radishgauge_schema::config::Tenant;
use radishgauge_schema::config::config_part::Part;
use smol_str::SmolStr;

pub use radishgauge_schema::config::Criticality;
pub use radishgauge_schema::config::DomainState;

use crate::pack::FLEET_KEY;
use crate::pack::route_key;
use crate::pack::service_key;

/// A whole configuration, or the parts of one that a daemon needs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetModel {
    /// The failure domains by name, with their region and state.
    pub domains: IndexMap<SmolStr, DomainModel>,
    /// The names of all regions.
    pub regions: Vec<SmolStr>,
    /// The services by name.
    pub services: IndexMap<SmolStr, ServiceModel>,
    /// The routes by name.
    pub routes: IndexMap<SmolStr, RouteModel>,
    /// The tenants by name.
    pub tenants: IndexMap<SmolStr, TenantModel>,
    /// The limits and times that apply to the whole fleet.
    pub policy: PolicyModel,
}

/// The region and the state of a failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainModel {
    /// The name of the region that contains the failure domain.
    pub region: SmolStr,
    /// Whether targets in the failure domain receive new requests.
    pub state: DomainState,
}

/// A service and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceModel {
    /// The declared concurrency limit of one worker, in requests.
    pub slots: u32,
    /// The number of connections that one worker accepts.
    pub connections: u32,
    /// The concurrency limit of a worker right after its start, in requests.
    pub cold_start_slots: u32,
    /// Incremented when the owners of callers' idempotency keys change.
    pub owner_epoch: u64,
    /// The targets by host name.
    pub targets: IndexMap<SmolStr, TargetModel>,
    /// The former sets of targets, oldest first, whose daemons may have records of
    /// callers' idempotency keys.
    pub former: Vec<FormerModel>,
}

/// A former set of targets of a service, from earlier versions.
#[derive(Debug, Clone, PartialEq)]
pub struct FormerModel {
    /// The owner epoch of the versions with these targets.
    pub owner_epoch: u64,
    /// The region of each target by host name.
    pub targets: IndexMap<SmolStr, SmolStr>,
    /// The first revision that no longer has this set of targets.
    pub left_at: u64,
    /// Whether the targets of several versions are merged, so that each host
    /// counts as a former owner of every key.
    pub merged: bool,
}

/// One worker of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetModel {
    /// The address on which the worker listens.
    pub address: SocketAddr,
    /// The peer address of the daemon on the worker's host.
    pub daemon: SocketAddr,
    /// The name of the host's failure domain.
    pub failure_domain: SmolStr,
}

/// A group of requests, the service that handles them, and their policy.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteModel {
    /// The path prefix of the requests; it matches whole path segments.
    pub path_prefix: SmolStr,
    /// The matching HTTP methods; empty for all.
    pub methods: Vec<SmolStr>,
    /// The name of the service that handles the requests.
    pub service: SmolStr,
    /// The priority under overload; requests of low criticality are shed first.
    pub criticality: Criticality,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// The time limit for a request without a deadline.
    pub timeout: Duration,
    /// The names of the regions that may serve the requests; empty for all.
    pub home_regions: Vec<SmolStr>,
    /// The names of the services that the workers call to handle the requests.
    pub calls: Vec<SmolStr>,
}

/// An organisation whose requests may be restricted to regions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TenantModel {
    /// The names of the regions that may serve and store the organisation's
    /// requests; empty for all.
    pub home_regions: Vec<SmolStr>,
}

/// The limits and times that apply to the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyModel {
    /// The retry budget: additional calls due to retries, in percent of first
    /// attempts.
    pub retry_percent: u32,
    /// The rate limit for data that a daemon sends to other regions, in kbit/s.
    pub link_budget_kbit: u64,
    /// The time during which a caller may re-send a request with the same
    /// idempotency key.
    pub repeat_window: Duration,
    /// The maximum number of failure domains in state `out` at the same time.
    pub max_domains_out: u32,
    /// The percentage of a service's targets that one change may remove.
    pub max_target_drop_percent: u32,
    /// The time during which a request that crashed two targets is refused.
    pub quarantine: Duration,
    /// The interval after which the limit of a cold target doubles while its
    /// responses are good.
    pub ramp_step: Duration,
}

impl Default for PolicyModel {
    fn default() -> PolicyModel {
        PolicyModel {
            retry_percent: 10,
            link_budget_kbit: 3000,
            repeat_window: Duration::from_secs(600),
            max_domains_out: 2,
            max_target_drop_percent: 50,
            quarantine: Duration::from_secs(600),
            ramp_step: Duration::from_secs(2),
        }
    }
}

/// The error for a part that cannot be converted to a model.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct ModelError {
    /// The key of the part.
    pub key: SmolStr,
    /// What is wrong with the part.
    pub reason: String,
}

impl FleetModel {
    /// Returns the model of a whole set.
    ///
    /// References between entries are not checked; see [`crate::check_partial_model`].
    ///
    /// # Errors
    ///
    /// When an address is not an IP number and a port, a state or criticality
    /// is unknown, or two entries of one kind have the same name.
    pub fn from_set(set: &ConfigSet) -> Result<FleetModel, ModelError> {
        let mut model = FleetModel::default();
        model.add_fleet(
            &set.regions,
            &set.failure_domains,
            &set.tenants,
            set.policy.as_ref(),
        )?;
        for service in &set.services {
            model.add_service(service)?;
        }
        for route in &set.routes {
            model.add_route(route)?;
        }
        model.normalize();
        Ok(model)
    }

    /// Returns the model of some or all parts of a version, in any order.
    ///
    /// # Examples
    ///
    /// ```
    /// use radishgauge_config::FleetModel;
    /// use radishgauge_config::pack;
    /// use radishgauge_schema::config::ConfigSet;
    ///
    /// let packed = pack(&ConfigSet::default(), 1);
    /// let model = FleetModel::from_parts(packed.parts()).unwrap();
    /// assert!(model.services.is_empty());
    /// ```
    ///
    /// # Errors
    ///
    /// When a part does not decode, contains another entry than its key names, or
    /// contains a value that [`FleetModel::from_set`] does not accept.
    pub fn from_parts<K, V, P>(parts: P) -> Result<FleetModel, ModelError>
    where
        K: AsRef<str>,
        V: AsRef<[u8]>,
        P: IntoIterator<Item = (K, V)>,
    {
        let mut model = FleetModel::default();
        let mut fleet_parts = 0;
        for (key, value) in parts {
            let key = key.as_ref();
            match decode_part(key, value.as_ref())? {
                Part::Service(service) => model.add_service(&service)?,
                Part::Route(route) => model.add_route(&route)?,
                Part::Fleet(_) if fleet_parts > 0 => {
                    return Err(model_error(key, "the part was given twice"));
                }
                Part::Fleet(fleet) => {
                    let policy = fleet.policy.as_ref();
                    fleet_parts += 1;
                    model.add_fleet(
                        &fleet.regions,
                        &fleet.failure_domains,
                        &fleet.tenants,
                        policy,
                    )?;
                }
            }
        }
        model.normalize();
        Ok(model)
    }

    /// Returns the entries of the model as a set, with all lists sorted by name.
    pub fn to_set(&self) -> ConfigSet {
        let texts = |names: &[SmolStr]| names.iter().map(SmolStr::to_string).collect();
        let regions = self.regions.iter().map(|name| Region {
            name: name.to_string(),
        });
        let domains = self.domains.iter().map(|(name, domain)| FailureDomain {
            name: name.to_string(),
            region: domain.region.to_string(),
            state: domain.state.into(),
        });
        let routes = self.routes.iter().map(|(name, route)| Route {
            name: name.to_string(),
            path_prefix: route.path_prefix.to_string(),
            methods: texts(&route.methods),
            service: route.service.to_string(),
            criticality: route.criticality.into(),
            repeatable: route.repeatable,
            timeout_ms: route.timeout.as_millis() as u64,
            home_regions: texts(&route.home_regions),
            calls: texts(&route.calls),
        });
        let tenants = self.tenants.iter().map(|(name, tenant)| Tenant {
            name: name.to_string(),
            home_regions: texts(&tenant.home_regions),
        });
        ConfigSet {
            regions: regions.collect(),
            failure_domains: domains.collect(),
            services: self.services.iter().map(service_message).collect(),
            routes: routes.collect(),
            tenants: tenants.collect(),
            policy: Some(self.policy.to_message()),
        }
    }

    fn add_fleet(
        &mut self,
        regions: &[Region],
        domains: &[FailureDomain],
        tenants: &[Tenant],
        policy: Option<&FleetPolicy>,
    ) -> Result<(), ModelError> {
        self.regions = regions
            .iter()
            .map(|region| SmolStr::new(&region.name))
            .collect();
        for domain in domains {
            let state = match DomainState::try_from(domain.state) {
                Ok(DomainState::Unspecified) => DomainState::In,
                Ok(state) => state,
                Err(_) => return Err(model_error(FLEET_KEY, "unknown state of a failure domain")),
            };
            let value = DomainModel {
                region: SmolStr::new(&domain.region),
                state,
            };
            if self
                .domains
                .insert(SmolStr::new(&domain.name), value)
                .is_some()
            {
                return Err(model_error(FLEET_KEY, "two failure domains share a name"));
            }
        }
        for tenant in tenants {
            let value = TenantModel {
                home_regions: sorted_names(&tenant.home_regions),
            };
            if self
                .tenants
                .insert(SmolStr::new(&tenant.name), value)
                .is_some()
            {
                return Err(model_error(FLEET_KEY, "two tenants share a name"));
            }
        }
        self.policy = policy.map_or_else(PolicyModel::default, PolicyModel::new);
        Ok(())
    }

    fn add_service(&mut self, service: &Service) -> Result<(), ModelError> {
        let key = service_key(&service.name);
        let mut targets = IndexMap::with_capacity(service.targets.len());
        for target in &service.targets {
            let value = TargetModel {
                address: parse_address(&key, &target.address)?,
                daemon: parse_address(&key, &target.daemon)?,
                failure_domain: SmolStr::new(&target.failure_domain),
            };
            if targets.insert(SmolStr::new(&target.host), value).is_some() {
                return Err(model_error(&key, "two targets share a host"));
            }
        }
        targets.sort_unstable_keys();
        let value = ServiceModel {
            slots: service.slots,
            connections: service.connections,
            cold_start_slots: service.cold_start_slots,
            owner_epoch: service.owner_epoch,
            targets,
            former: service.former_targets.iter().map(former_model).collect(),
        };
        match self.services.insert(SmolStr::new(&service.name), value) {
            None => Ok(()),
            Some(_) => Err(model_error(&key, "two services share a name")),
        }
    }

    fn add_route(&mut self, route: &Route) -> Result<(), ModelError> {
        let key = route_key(&route.name);
        let criticality = match Criticality::try_from(route.criticality) {
            Ok(Criticality::Unspecified) => Criticality::Normal,
            Ok(criticality) => criticality,
            Err(_) => return Err(model_error(&key, "unknown criticality")),
        };
        let value = RouteModel {
            path_prefix: SmolStr::new(&route.path_prefix),
            methods: sorted_names(&route.methods),
            service: SmolStr::new(&route.service),
            criticality,
            repeatable: route.repeatable,
            timeout: Duration::from_millis(route.timeout_ms),
            home_regions: sorted_names(&route.home_regions),
            calls: sorted_names(&route.calls),
        };
        match self.routes.insert(SmolStr::new(&route.name), value) {
            None => Ok(()),
            Some(_) => Err(model_error(&key, "two routes share a name")),
        }
    }

    // Sorts all entries, so that the iteration order does not depend on the order
    // in which parts were added.
    fn normalize(&mut self) {
        self.regions.sort_unstable();
        self.domains.sort_unstable_keys();
        self.services.sort_unstable_keys();
        self.routes.sort_unstable_keys();
        self.tenants.sort_unstable_keys();
    }
}

impl PolicyModel {
    fn new(policy: &FleetPolicy) -> PolicyModel {
        PolicyModel {
            retry_percent: policy.retry_percent,
            link_budget_kbit: policy.link_budget_kbit,
            repeat_window: Duration::from_secs(policy.repeat_window_s),
            max_domains_out: policy.max_domains_out,
            max_target_drop_percent: policy.max_target_drop_percent,
            quarantine: Duration::from_secs(policy.quarantine_s),
            ramp_step: Duration::from_millis(policy.ramp_step_ms),
        }
    }

    pub(crate) fn to_message(&self) -> FleetPolicy {
        FleetPolicy {
            retry_percent: self.retry_percent,
            link_budget_kbit: self.link_budget_kbit,
            repeat_window_s: self.repeat_window.as_secs(),
            max_domains_out: self.max_domains_out,
            max_target_drop_percent: self.max_target_drop_percent,
            quarantine_s: self.quarantine.as_secs(),
            ramp_step_ms: self.ramp_step.as_millis() as u64,
        }
    }
}

fn service_message((name, service): (&SmolStr, &ServiceModel)) -> Service {
    let targets = service.targets.iter().map(|(host, target)| Target {
        host: host.to_string(),
        address: target.address.to_string(),
        daemon: target.daemon.to_string(),
        failure_domain: target.failure_domain.to_string(),
    });
    Service {
        name: name.to_string(),
        slots: service.slots,
        connections: service.connections,
        cold_start_slots: service.cold_start_slots,
        targets: targets.collect(),
        owner_epoch: service.owner_epoch,
        former_targets: service.former.iter().map(former_message).collect(),
    }
}

fn former_model(former: &FormerTargets) -> FormerModel {
    let targets = former.targets.iter();
    FormerModel {
        owner_epoch: former.owner_epoch,
        targets: targets
            .map(|target| (SmolStr::new(&target.host), SmolStr::new(&target.region)))
            .collect(),
        left_at: former.left_at,
        merged: former.merged,
    }
}

fn former_message(former: &FormerModel) -> FormerTargets {
    let targets = former.targets.iter().map(|(host, region)| FormerTarget {
        host: host.to_string(),
        region: region.to_string(),
    });
    FormerTargets {
        owner_epoch: former.owner_epoch,
        targets: targets.collect(),
        left_at: former.left_at,
        merged: former.merged,
    }
}

/// Decodes a part and checks that its content matches its key.
pub(crate) fn decode_part(key: &str, value: &[u8]) -> Result<Part, ModelError> {
    let part =
        ConfigPart::decode(value).map_err(|_| model_error(key, "the part does not decode"))?;
    let Some(part) = part.part else {
        return Err(model_error(key, "the part is empty"));
    };
    let content_key = match &part {
        Part::Fleet(_) => SmolStr::new_static(FLEET_KEY),
        Part::Service(service) => service_key(&service.name),
        Part::Route(route) => route_key(&route.name),
    };
    if content_key == key {
        Ok(part)
    } else {
        Err(model_error(key, &format!("the part holds {content_key}")))
    }
}

fn model_error(key: &str, reason: &str) -> ModelError {
    ModelError {
        key: SmolStr::new(key),
        reason: reason.to_owned(),
    }
}

fn sorted_names(texts: &[String]) -> Vec<SmolStr> {
    let mut names: Vec<SmolStr> = texts.iter().map(SmolStr::new).collect();
    names.sort_unstable();
    names
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ModelError> {
    text.parse()
        .map_err(|_| model_error(key, &format!("{text:?} is not an IP number and a port")))
}
