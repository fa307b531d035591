//! Stand-ins (test doubles) for the systems that a daemon talks to.
//!
//! Tests, demos and benchmarks run daemons against these replacements of the
//! platform, targets, collectors and network links. The stand-ins use the real
//! protocols on loopback, and their faults can be switched on and off while they
//! run. No daemon uses this crate in production.

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
pub use target::DownstreamCall;
pub use target::ServedRequest;
pub use target::TargetConfig;
pub use target::TargetCounts;
pub use target::TargetStandIn;
