//! Loads, checks and packs the settings and configuration files of a fleet.
//!
//! A configuration is a set of YAML files that operators apply as a whole. This
//! crate loads and checks a set and packs it into content-addressed parts. A
//! packed set is a version. Whether a version is accepted depends on its content
//! alone, so that every daemon reaches the same verdict for the same bytes.

pub mod accept;
pub mod check;
pub mod compare;
pub mod digest;
pub mod fault;
mod field_check;
pub mod former;
pub mod index;
pub mod load;
pub mod model;
pub mod pack;
pub mod path;
mod read;
pub mod reference;
mod reference_check;
mod rules;
mod tree;

pub use accept::AcceptVerdict;
pub use accept::RefuseReason;
pub use accept::accept;
pub use accept::check_partial_model;
pub use check::SetFault;
pub use check::check_services;
pub use check::check_set;
pub use compare::ChangeKind;
pub use compare::SetChange;
pub use compare::SetDiff;
pub use compare::TargetDrop;
pub use compare::compare;
pub use digest::PartDigest;
pub use fault::Fault;
pub use fault::FaultList;
pub use former::with_former_targets;
pub use index::DigestIndex;
pub use index::open_root;
pub use load::load_set;
pub use load::load_settings;
pub use model::FleetModel;
pub use model::ModelError;
pub use pack::PackedError;
pub use pack::PackedSet;
pub use pack::WriteReport;
pub use pack::open_value;
pub use pack::pack;
pub use pack::read_packed;
pub use pack::read_root;
pub use path::FieldPath;
pub use path::PathStep;
pub use rules::is_name;
