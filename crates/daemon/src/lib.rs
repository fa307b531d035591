//! The daemon: one process per target host.
//!
//! A daemon forwards the calls of callers on its host, runs calls at the targets
//! on its host, and takes part in the distribution of the configuration. It is a
//! library so that the demo, tests and benchmarks can run several daemons in one
//! process, over real sockets.
//!
//! A configuration version passes through [`control_loop`] and [`publish`]. A
//! call passes through [`callers`], [`entry`] and [`dispatch`] (or [`keyed`] for
//! a request that must not be retried), and on the target's host through
//! [`serve`] and [`receive`].

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
pub mod keyed;
pub mod local_targets;
pub mod meters;
pub mod node;
pub mod observe;
pub mod operator;
pub mod publish;
pub mod receive;
pub mod serve;
pub mod sessions;
pub mod suspect_notice;
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
