//! Decisions of a daemon that serves callers and one target of its own host.
//!
//! The platform publishes one configuration, the targets and the failure
//! domains that are taken out. From these, an entry daemon chooses a target for
//! each request, and the owner daemon beside the target decides what runs
//! there. Everything here is a state machine without I/O: the time is passed
//! in, so that tests can play any load.
//!
//! # Limits
//!
//! The crate knows no wire format. `radishgauge-platform` decodes the
//! platform's messages into the types of this crate.

pub mod admission;
pub mod book;
pub mod budget;
pub mod config;
pub mod intake;
pub mod link;
pub mod order;
pub mod placement;
pub mod reader;
pub mod target;
pub mod warmth;

pub use admission::LocalAdmission;
pub use admission::Offer;
pub use admission::OfferRequest;
pub use book::StateBook;
pub use budget::RepeatBudget;
pub use config::MeshConfig;
pub use config::MeshRoute;
pub use config::ServicePolicy;
pub use link::FarBudget;
pub use placement::LoadReport;
pub use placement::PlaceRequest;
pub use placement::TargetPlacer;
pub use target::TargetRecord;
pub use warmth::ColdLimit;
