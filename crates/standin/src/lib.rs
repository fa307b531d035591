//! Stand-ins for the systems around a daemon.
//!
//! Tests, demos and benchmarks meet the platform, targets, collectors and
//! links through their published protocols, on loopback, with faults that can
//! be switched while they run. Nothing here is part of a daemon.

pub mod cold;
pub mod collector;
pub mod link;
pub mod platform;
mod server;
pub mod statsd;
pub mod target;
pub mod virtual_fleet;
pub mod virtual_load;

pub use cold::ColdStart;
pub use collector::CollectorStandIn;
pub use link::LinkConfig;
pub use link::LinkStandIn;
pub use link::LinkStats;
pub use platform::PlatformCounts;
pub use platform::PlatformStandIn;
pub use statsd::MetricTotals;
pub use statsd::StatsdStandIn;
pub use target::NextCall;
pub use target::ServedRequest;
pub use target::TargetConfig;
pub use target::TargetCounts;
pub use target::TargetStandIn;
