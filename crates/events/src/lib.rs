//! Log events and the setup of the process's log.
//!
//! The daemon and the sidecar write their logs with this crate, and the
//! documentation of the events is generated from the same catalogue.

pub mod events;
pub mod logs;
