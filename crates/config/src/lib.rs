//! Settings and configuration files, from YAML to packed parts.
//!
//! Operators apply a whole set of files or nothing of it. This crate loads and
//! checks a set, packs it into content-addressed parts, and decides from the
//! content alone whether a version is accepted, so that every daemon comes to
//! the same verdict on the same bytes.

pub mod digest;
pub mod index;
pub mod model;

pub use digest::PartDigest;
pub use index::DigestIndex;
pub use model::FleetModel;
