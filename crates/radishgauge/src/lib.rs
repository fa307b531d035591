//! The decisions of a service mesh under strain, without I/O.
//!
//! This crate re-exports the parts of radishgauge that other programs can use:
//! the schema of every message, the checked configuration, the distribution of
//! versions, and the decisions on the path of a call. All of them take the time
//! as an argument and open no socket, so a benchmark of another program drives
//! them without a network.
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
