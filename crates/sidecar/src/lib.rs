//! The daemon beside one target: it routes requests from its host and is the
//! owner of its target.
//!
//! A request arrives at [`entry`] and is sent through [`peers`] to the daemon
//! on another host, or directly to [`owner`] for the target of this host. A
//! configuration arrives through [`follow`], which reads the platform's store
//! or follows a daemon that does, or through [`state_exchange`], with which
//! daemons exchange the platform's state. All decisions are made by
//! `radishgauge-mesh`.

pub mod answer;
pub mod answer_lease;
mod attempt;
mod body_receipt;
mod caller_report;
pub mod daemon_memory;
pub mod entry;
mod fleet_scope;
pub mod follow;
pub mod hop;
mod interrupted_runs;
pub mod known_hosts;
pub mod known_state;
pub mod local_reply;
pub mod metrics;
pub mod node;
mod origin;
pub mod owner;
mod owner_state;
mod owner_suspects;
pub mod peer_server;
pub mod peers;
pub mod probe;
pub mod quota;
pub mod quota_exchange;
mod quota_state;
pub mod request_log;
pub mod request_outcome;
pub mod reservation;
mod run_ledger;
pub mod sidecar;
mod slot;
pub mod slot_offer;
pub mod state_exchange;
mod state_snapshot;
pub mod suspect_exchange;
mod suspect_placing;
pub mod target_call;
pub mod tenant_access;
pub mod tenant_metrics;
mod unread_body;
pub mod waiting_lines;

pub use sidecar::Sidecar;
pub use sidecar::StopReport;
