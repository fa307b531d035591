//! What the processes write to their logs.
//!
//! Both ways of running a daemon, and the pages of the documentation, use one
//! catalogue of numbered events and one way to open the log.

pub mod events;
pub mod logs;
