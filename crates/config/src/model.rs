//! The configuration as typed values, which routing decisions read.
//!
//! The schema's messages keep names as text in lists; the model indexes them by
//! name and types addresses, times and states once, when a version is taken.
//! A model may be partial: a daemon holds only the services that it needs.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

pub use radishgauge_schema::config::Criticality;
pub use radishgauge_schema::config::DomainState;

/// A configuration, or a daemon's share of one.
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
    /// The policy of the fleet.
    pub policy: PolicyModel,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainModel {
    /// The region of the failure domain.
    pub region: SmolStr,
    /// Whether its targets receive new work.
    pub state: DomainState,
}

/// A service and its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceModel {
    /// The declared concurrency of one worker, in requests.
    pub slots: u32,
    /// The connections that one worker accepts.
    pub connections: u32,
    /// The concurrency that a worker bears right after its start, in requests.
    pub cold_start_slots: u32,
    /// Incremented when the owners of callers' idempotency keys change.
    pub owner_epoch: u64,
    /// The targets by host.
    pub targets: IndexMap<SmolStr, TargetModel>,
}

/// One worker of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetModel {
    /// Where the worker listens.
    pub address: SocketAddr,
    /// The peer address of the daemon on the worker's host.
    pub daemon: SocketAddr,
    /// The failure domain of the host.
    pub failure_domain: SmolStr,
}

/// Which service answers a group of requests, and how they may be handled.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteModel {
    /// The path prefix of the requests; it matches whole path segments.
    pub path_prefix: SmolStr,
    /// The accepted methods; empty for all.
    pub methods: Vec<SmolStr>,
    /// The service that answers.
    pub service: SmolStr,
    /// The order in which requests are shed.
    pub criticality: Criticality,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The deadline of a request that brings none.
    pub timeout: Duration,
    /// The regions that may serve the requests; empty for all.
    pub home_regions: Vec<SmolStr>,
    /// The services that the workers behind this route call.
    pub calls: Vec<SmolStr>,
}

/// A customer whose requests may be bound to regions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TenantModel {
    /// The regions that may serve and store the requests; empty for all.
    pub home_regions: Vec<SmolStr>,
}

/// The policy of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyModel {
    /// The calls made because of retries, in percent of first attempts.
    pub retry_percent: u32,
    /// The bytes that a daemon may send to other regions, in kbit/s.
    pub link_budget_kbit: u64,
    /// How long a caller may send the same idempotency key again.
    pub repeat_window: Duration,
    /// The failure domains that may be out at the same time.
    pub max_domains_out: u32,
    /// The share of a service's targets that one change may remove, in percent.
    pub max_target_drop_percent: u32,
    /// How long a request that crashed two targets is refused.
    pub quarantine: Duration,
    /// A cold target's limit doubles each step while its answers are good.
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
