//! The decisions of a service mesh under overload and failures, without I/O.
//!
//! This crate re-exports the crates of radishgauge that other programs can use:
//! the schema of all messages, the loading and checking of configurations, the
//! distribution of versions, and the decisions about each call. All of them take
//! the current time as an argument and open no sockets, so other programs can run
//! them without a network, for example in a benchmark.
//!
//! The two programs, `radishgauged` and `radishgauge`, are in the packages
//! radishgauge-daemon and radishgauge-cli.

#[doc(inline)]
pub use radishgauge_config as config;
#[doc(inline)]
pub use radishgauge_control as control;
#[doc(inline)]
pub use radishgauge_schema as schema;
#[doc(inline)]
pub use radishgauge_traffic as traffic;
