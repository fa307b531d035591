//! The daemon beside one target: serves callers of its host and owns the target.
//!
//! The way of a request is [`entry`], then [`peers`] to another host, or
//! directly to [`owner`] for the target of this host. The way of a configuration
//! is [`follow`], which reads the platform's store or follows a daemon that
//! does, and [`share`], by which daemons tell each other the state. All
//! decisions are made by `radishgauge-mesh`.

pub mod answer;
mod attempt;
pub mod entry;
pub mod exchange;
pub mod follow;
pub mod hop;
pub mod intake;
pub mod metrics;
pub mod node;
mod origin;
pub mod owner;
pub mod peers;
pub mod probe;
pub mod record;
pub mod share;
pub mod sidecar;
mod slot;
pub mod target_call;

pub use sidecar::Sidecar;
pub use sidecar::StopReport;
