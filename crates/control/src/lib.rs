//! Configuration distribution, membership and pause detection, without I/O.
//!
//! Thousands of daemons must agree on one configuration version while the
//! platform returns stale data, links lose messages and processes pause. The
//! logic is a state machine that maps timestamped events to actions, so that
//! the daemon, the failure tests and the benchmarks run the same code.
//!
//! # Usage
//!
//! The daemon owns one [`ControlMachine`], passes it each [`ControlEvent`], and
//! executes the returned [`ControlAction`]s in order. It sends
//! [`ControlEvent::Tick`] at the time given by [`ControlMachine::next_tick`].
//!
//! # Limits
//!
//! The machine relies on its caller to check a peer's hello against the peer's
//! certificate. Nothing is persisted across restarts.

pub mod accept;
pub mod event;
pub mod exchange;
pub mod fleet_state;
pub mod freshness;
pub mod host_table;
pub mod hosts;
pub mod ledger;
pub mod log;
pub mod machine;
pub mod neighbour;
pub mod parts;
pub mod peers;
pub mod platform;
pub mod policy;
pub mod rank;
pub mod startup;
pub mod transfer;
pub mod view;

mod apply;
mod follow;
mod host_list_sync;
mod local_services;
mod notice;
mod peer_fetch;
mod platform_fetch;
mod serve;
mod sessions;

pub use accept::AcceptRule;
pub use event::ControlAction;
pub use event::ControlEvent;
pub use event::PeerKey;
pub use event::PeerLink;
pub use event::PlatformAnswer;
pub use event::PlatformKey;
pub use event::RequestId;
pub use fleet_state::FleetState;
pub use log::ControlLog;
pub use machine::ControlConfig;
pub use machine::ControlMachine;
pub use policy::ControlPolicy;
