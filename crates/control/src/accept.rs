//! Validation of configuration versions, as a trait.
//!
//! The result depends on nothing but the version's content. The rule is
//! injected, so that tests can refuse a version without constructing an
//! invalid configuration.

use bytes::Bytes;
use radishgauge_config::FleetModel;
use radishgauge_schema::config::IndexRoot;
use smol_str::SmolStr;

/// A part key with the bytes of the part.
pub type NamedPart = (SmolStr, Bytes);

/// Validates a version and builds the typed model of its parts.
pub trait AcceptRule: Send + Sync {
    /// Validates a version; `parts` has all parts that the root refers to.
    ///
    /// # Errors
    ///
    /// Every reason why the version is refused.
    fn accept(&self, root: &IndexRoot, parts: &[NamedPart]) -> Result<(), Vec<String>>;

    /// Builds the model of a subset of an accepted version's parts.
    ///
    /// # Errors
    ///
    /// The reasons why no model can be built from the parts.
    fn model(&self, parts: &[NamedPart]) -> Result<FleetModel, Vec<String>>;
}
