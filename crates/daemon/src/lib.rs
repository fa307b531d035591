//! The daemon: one process per target host.
//!
//! It carries the calls that enter or end on its host and takes part in the
//! distribution of the configuration. It is a library so that the demo, tests
//! and benchmarks open several daemons in one process, over real sockets.
//!
//! The way of a version is [`control_loop`], then [`publish`]. The way of a
//! call is [`callers`], [`entry`], [`dispatch`] (or [`keyed`] for a request that
//! may not be repeated), then on the target's host [`serve`], [`receive`].

pub mod accept_rule;
pub mod answer;
pub mod body;
pub mod callers;
pub mod control_log;
pub mod control_loop;
pub mod daemon;
pub mod dispatch;
pub mod entry;
pub mod headers;
pub mod hosted;
pub mod keyed;
pub mod meters;
pub mod node;
pub mod observe;
pub mod operator;
pub mod publish;
pub mod receive;
pub mod serve;
pub mod sessions;
pub mod strike;
pub mod targets;
pub mod traces;
pub mod transfer;

pub use radishgauge_events::events;
pub use radishgauge_events::logs;
pub use radishgauge_net::clock;

pub use daemon::Daemon;
pub use daemon::DaemonResources;
pub use daemon::Running;
pub use daemon::StopReport;
pub use daemon::Stopping;
