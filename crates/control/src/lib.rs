//! Configuration distribution, membership and freshness, without I/O.
//!
//! Thousands of daemons must agree on one version while the platform is stale,
//! links lose messages and processes pause. Each decision is a state machine
//! that takes events with a time and gives actions, so that the daemon, the
//! failure tests and the benchmarks run the same code.
//!
//! # Usage
//!
//! The daemon owns one [`ControlMachine`], passes it each [`ControlEvent`], and
//! carries out the [`ControlAction`]s. It sends [`ControlEvent::Tick`] at
//! [`ControlMachine::next_tick`].
//!
//! # Limits
//!
//! The machine trusts that the adapter checked a peer's hello against its
//! certificate. It keeps no state across restarts.

pub mod accept;
pub mod event;
pub mod exchange;
pub mod fresh;
pub mod hosts;
pub mod ledger;
pub mod log;
pub mod machine;
pub mod member;
pub mod neighbour;
pub mod parts;
pub mod peers;
pub mod platform;
pub mod policy;
pub mod rank;
pub mod share;
pub mod start;
pub mod transfer;
pub mod view;

mod apply;
mod follow;
mod hosting;
mod notice;
mod pull;
mod read;
mod roster;
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
pub use log::ControlLog;
pub use machine::ControlConfig;
pub use machine::ControlMachine;
pub use policy::ControlPolicy;
pub use share::FleetShare;
