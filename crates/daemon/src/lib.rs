//! The daemon: one process per target host.
//!
//! It carries the calls that enter or end on its host and takes part in the
//! distribution of the configuration. It is a library so that the demo, tests
//! and benchmarks open several daemons in one process, over real sockets.

pub mod events;
pub mod meters;
pub mod traces;
