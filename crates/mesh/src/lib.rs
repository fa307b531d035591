//! Routing and admission decisions of a daemon that serves callers and one
//! target on its own host.
//!
//! The platform publishes one configuration, the registered targets and the
//! evacuated failure domains. From these, an entry daemon chooses a target for
//! each request, and the owner daemon beside the target decides which requests
//! run there. Everything here is a state machine without I/O: the current time
//! is an argument, so that tests can simulate any load.
//!
//! # Limits
//!
//! The crate defines no wire format. `radishgauge-platform` decodes the
//! platform's messages into the types of this crate.

pub mod admission;
pub mod answer_lengths;
pub mod answer_link;
pub mod body_admission;
pub mod call_pressure;
mod candidate_cost;
mod candidate_survey;
pub mod cold_rate_limit;
pub mod config;
pub mod cross_region_budget;
pub mod declared_rate_limit;
mod efficient_limit;
pub mod fingerprint;
pub mod fleet_age;
pub mod freshness;
pub mod leaving_targets;
pub mod link_load;
pub mod misplaced_targets;
pub mod placement;
pub mod quota;
pub mod rate_limits;
pub mod reader;
pub mod retry_budget;
pub mod return_order;
pub mod run_evidence;
pub mod scheduling;
pub mod shares;
pub mod spare_forecast;
pub mod state_position;
pub mod state_table;
pub mod stop_plan;
pub mod suspect;
mod suspect_entry;
pub mod suspect_record;
pub mod target;
mod target_estimate;
pub mod target_speed;
pub mod tenant;
pub mod tenant_directory;
mod urgency_counts;
pub mod waiting_line;
pub mod well_runs;

pub use admission::AdmissionDecision;
pub use admission::AdmissionRequest;
pub use admission::LocalAdmission;
pub use answer_lengths::AnswerLengths;
pub use answer_link::AnswerLease;
pub use answer_link::AnswerLink;
pub use call_pressure::CallPressure;
pub use cold_rate_limit::ColdRateLimit;
pub use config::MeshConfig;
pub use config::MeshRoute;
pub use config::ServicePolicy;
pub use cross_region_budget::CrossRegionBudget;
pub use declared_rate_limit::DeclaredRateLimit;
pub use fingerprint::Fingerprint;
pub use fingerprint::RequestPrints;
pub use fleet_age::FleetAge;
pub use freshness::StateFreshness;
pub use leaving_targets::LeavingTargets;
pub use link_load::LinkLoad;
pub use misplaced_targets::MisplacedTargets;
pub use placement::LoadReport;
pub use placement::PlaceRequest;
pub use placement::TargetPlacer;
pub use rate_limits::RateLimits;
pub use retry_budget::RetryBudget;
pub use return_order::ReturnOrder;
pub use run_evidence::RunAnswer;
pub use run_evidence::RunEvidence;
pub use shares::RequestKind;
pub use shares::ServedShares;
pub use shares::ServiceShares;
pub use state_position::StatePosition;
pub use state_table::StateTable;
pub use stop_plan::StopPlan;
pub use suspect::SuspectTable;
pub use suspect_record::SoftwareSuccess;
pub use suspect_record::SuspectRecord;
pub use suspect_record::TargetEnd;
pub use target::TargetRecord;
pub use target::TargetSoftware;
pub use target_speed::RouteKey;
pub use tenant::TenantLimit;
pub use tenant::TenantPolicy;
pub use tenant_directory::KeyHash;
pub use tenant_directory::TenantDirectory;
pub use waiting_line::WaitingLine;
pub use well_runs::WellRuns;
