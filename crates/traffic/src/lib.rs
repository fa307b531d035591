//! Decisions on the path of a call, as state machines without I/O.
//!
//! Both ends of a hop have a daemon and both may refuse. Everything here takes
//! the time and the seed as arguments, so that the daemon, the tests and the
//! benchmarks run the same code.

pub mod key;
pub mod once;
pub mod once_cover;
pub mod once_decision;
pub mod once_entry;
pub mod once_owner;
mod once_record;
pub mod once_transfer;
pub mod verdict;

pub use verdict::CallVerdict;
