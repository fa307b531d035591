//! The acceptance rule as an argument.
//!
//! The verdict is a pure function of a version's content. It is passed in, so
//! that tests can refuse a version without crafting a faulty configuration.

use bytes::Bytes;
use radishgauge_config::FleetModel;
use radishgauge_schema::config::IndexRoot;
use smol_str::SmolStr;

/// A part key with the bytes of the part.
pub type NamedPart = (SmolStr, Bytes);

/// Decides whether a version is accepted and types its parts.
pub trait AcceptRule: Send + Sync {
    /// Judges a whole version.
    ///
    /// # Errors
    ///
    /// Every reason why the version is refused.
    fn accept(&self, root: &IndexRoot, parts: &[NamedPart]) -> Result<(), Vec<String>>;

    /// Builds the model of some parts of an accepted version.
    ///
    /// # Errors
    ///
    /// Why the parts make no model.
    fn model(&self, parts: &[NamedPart]) -> Result<FleetModel, Vec<String>>;
}
