//! Decisions on the request path, as state machines without I/O.
//!
//! There is a daemon at each end of a hop, and either may refuse a call. All
//! functions get the current time and the random seed as arguments, so that the
//! daemon, the tests and the benchmarks run the same code.

pub mod admit;
pub mod context;
pub mod home;
pub mod key;
pub mod limit;
pub mod link;
pub mod once;
pub mod once_attempt;
pub mod once_decision;
pub mod once_owner;
pub mod once_ownership;
mod once_record;
pub mod once_transfer;
pub mod pick;
pub mod progress;
mod queue;
pub mod ramp;
pub mod refusal;
pub mod retry;
pub mod route;
pub mod session;
pub mod snapshot;
pub mod staleness;
pub mod stats;
pub mod subset;
pub mod tree;
pub mod verdict;

pub use admit::AdmissionDecision;
pub use admit::AdmissionRequest;
pub use admit::TargetAdmission;
pub use context::CallContext;
pub use home::HomeRule;
pub use link::LinkBudget;
pub use pick::CallOutcome;
pub use pick::PickRequest;
pub use pick::PickedTarget;
pub use pick::TargetPicker;
pub use pick::TriedTargets;
pub use progress::CallProgress;
pub use ramp::TargetRamp;
pub use refusal::Refusal;
pub use refusal::RefusalReason;
pub use retry::RetryBudget;
pub use retry::RetryDecision;
pub use route::RouteTable;
pub use session::SessionProbe;
pub use snapshot::LocalHost;
pub use snapshot::TrafficSnapshot;
pub use staleness::StalenessGuard;
pub use tree::CallTree;
pub use verdict::CallVerdict;
