//! Decisions on the path of a call, as state machines without I/O.
//!
//! Both ends of a hop have a daemon and both may refuse. Everything here takes
//! the time and the seed as arguments, so that the daemon, the tests and the
//! benchmarks run the same code.

pub mod admit;
pub mod home;
pub mod limit;
pub mod link;
pub mod pick;
mod queue;
pub mod ramp;
pub mod refusal;
pub mod route;
pub mod snapshot;
pub mod stats;
pub mod subset;
pub mod verdict;

pub use admit::Admit;
pub use admit::AdmitRequest;
pub use admit::TargetAdmission;
pub use home::HomeRule;
pub use link::LinkBudget;
pub use pick::CallOutcome;
pub use pick::PickRequest;
pub use pick::Picked;
pub use pick::TargetPicker;
pub use pick::TriedTargets;
pub use ramp::TargetRamp;
pub use refusal::Refusal;
pub use refusal::RefusalReason;
pub use route::RouteTable;
pub use snapshot::LocalHost;
pub use snapshot::TrafficSnapshot;
pub use verdict::CallVerdict;
