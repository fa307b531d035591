//! Checks the fields of a set and the references between its entries.
//!
//! The checks work on messages rather than files, so that `radishgauge check` and
//! a daemon that evaluates a version find the same faults. Each fault contains the
//! path of its field, which [`crate::load`] translates into a file position.

use std::collections::HashSet;
use std::fmt;
use std::fmt::Display;

use radishgauge_schema::config::ConfigSet;
use smol_str::SmolStr;

use crate::FieldPath;
use crate::FleetModel;
use crate::field_check::check_fields;
use crate::reference_check::check_references;

/// One fault of a set, identified by field path instead of file position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub struct SetFault {
    /// The field with the fault.
    pub path: FieldPath,
    /// What is wrong with the value, as a short phrase.
    pub problem: String,
    /// The value found; empty when the field is absent.
    pub found: String,
    /// The accepted values.
    pub accepted: String,
    /// Another field that the value conflicts with, such as the first use of a
    /// duplicate name.
    pub other: Option<FieldPath>,
}

impl Display for SetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.path)?;
        write_problem(f, &self.problem, &self.found, &self.accepted)
    }
}

/// Writes the problem, the value found and the accepted values, which
/// [`SetFault`] and [`crate::Fault`] format alike.
pub(crate) fn write_problem(
    f: &mut fmt::Formatter<'_>,
    problem: &str,
    found: &str,
    accepted: &str,
) -> fmt::Result {
    f.write_str(problem)?;
    if !found.is_empty() {
        write!(f, "; found: {found}")?;
    }
    write!(f, "; accepted: {accepted}")
}

/// Checks the fields of a set and the references between its entries.
///
/// Sets returned by [`crate::load_set`] pass this check.
///
/// # Examples
///
/// ```
/// use radishgauge_config::check_set;
/// use radishgauge_schema::config::ConfigSet;
/// use radishgauge_schema::config::Region;
///
/// let region = Region { name: "Addis".to_owned() };
/// let set = ConfigSet { regions: vec![region], ..ConfigSet::default() };
/// let faults = check_set(&set).unwrap_err();
/// assert_eq!(faults[0].path.to_string(), "regions[0].name");
/// ```
///
/// # Errors
///
/// All faults, ordered by path.
pub fn check_set(set: &ConfigSet) -> Result<(), Vec<SetFault>> {
    check_all(set, &|_| false)
}

/// Checks that every service that a route of a partial model refers to exists.
///
/// `exists` returns whether a service exists in the version, for example by a
/// lookup in the digest index.
///
/// # Errors
///
/// The names of the services that do not exist, sorted.
pub fn check_services<F>(model: &FleetModel, exists: F) -> Result<(), Vec<SmolStr>>
where
    F: Fn(&str) -> bool,
{
    let routes = model.routes.values();
    let service_names = routes.flat_map(|route| route.calls.iter().chain([&route.service]));
    let mut missing: Vec<SmolStr> = service_names
        .filter(|name| !exists(name))
        .cloned()
        .collect();
    missing.sort_unstable();
    missing.dedup();
    if missing.is_empty() {
        Ok(())
    } else {
        Err(missing)
    }
}

/// Checks a set in which services for which `may_be_absent` returns true may be missing.
pub(crate) fn check_all(
    set: &ConfigSet,
    may_be_absent: &dyn Fn(&str) -> bool,
) -> Result<(), Vec<SetFault>> {
    let mut faults = check_fields(set);
    let faulty: HashSet<FieldPath> = faults.iter().map(|fault| fault.path.clone()).collect();
    // A value that is not accepted also fails as a reference; report it only once.
    let reference_faults = check_references(set, may_be_absent).into_iter();
    faults.extend(reference_faults.filter(|fault| !faulty.contains(&fault.path)));
    faults.sort();
    faults.dedup();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}
