//! Decides from the content of a version whether it may be put in force.
//!
//! Each daemon evaluates a version on its own, and all must agree. The verdict
//! therefore does not depend on the time, on earlier versions or on the order in
//! which parts arrive.

use std::collections::BTreeMap;

use radishgauge_schema::config::ConfigSet;
use radishgauge_schema::config::IndexRoot;
use radishgauge_schema::config::config_part::Part;
use smol_str::SmolStr;

use crate::DigestIndex;
use crate::FieldPath;
use crate::FleetModel;
use crate::PartDigest;
use crate::SetFault;
use crate::check::check_all;
use crate::check::check_set;
use crate::index::PAGES;
use crate::index::SCHEMA;
use crate::index::root_check;
use crate::model::decode_part;
use crate::pack::FLEET_KEY;
use crate::pack::VALUE_MAX;
use crate::pack::route_key;
use crate::pack::service_key;
use crate::path::PathStep;

/// The maximum number of reasons in a verdict, which bounds the size of the
/// version head that carries them to every daemon.
pub const REASONS_MAX: usize = 16;

/// Whether a version may be put in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcceptVerdict {
    /// The version is complete and free of faults.
    Accepted,
    /// The version must not be put in force.
    Refused(Vec<RefuseReason>),
    /// The root does not match its own digest, or the parts are not those that it
    /// lists. This can be caused by a read during an update, so the caller should
    /// read the version again; it is not a fault of the version. Holds the numbers
    /// of the pages that differ, or of all pages when the root is corrupt.
    Mismatch(Vec<usize>),
}

impl AcceptVerdict {
    /// Returns whether the version may be put in force.
    pub fn is_accepted(&self) -> bool {
        *self == AcceptVerdict::Accepted
    }

    /// Returns the reasons as texts for a version head.
    ///
    /// There are at most [`REASONS_MAX`]. When the verdict has more reasons, the
    /// last text gives the number of those that are omitted.
    pub fn reasons(&self) -> Vec<String> {
        match self {
            AcceptVerdict::Accepted => Vec::new(),
            AcceptVerdict::Refused(reasons) if reasons.len() > REASONS_MAX => {
                let shown = &reasons[..REASONS_MAX - 1];
                let rest = reasons.len() - shown.len();
                let shown = shown.iter().map(RefuseReason::to_string);
                shown.chain([format!("{rest} more faults")]).collect()
            }
            AcceptVerdict::Refused(reasons) => {
                reasons.iter().map(RefuseReason::to_string).collect()
            }
            AcceptVerdict::Mismatch(pages) => {
                vec![format!("the parts do not match the index pages {pages:?}")]
            }
        }
    }
}

/// One fault for which a version is refused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct RefuseReason {
    /// The key of the part with the fault, or `root`.
    pub key: SmolStr,
    /// What is wrong, with the accepted values.
    pub reason: String,
}

/// Decides whether a version may be put in force.
///
/// `parts` are all parts of the version by key, in any order. The same root and
/// parts give the same verdict on every daemon.
///
/// # Examples
///
/// ```
/// use radishgauge_config::AcceptVerdict;
/// use radishgauge_config::accept;
/// use radishgauge_config::pack;
/// use radishgauge_schema::config::ConfigSet;
///
/// let packed = pack(&ConfigSet::default(), 1);
/// let verdict = accept(&packed.index().root(), packed.parts());
/// assert_eq!(verdict, AcceptVerdict::Accepted);
/// ```
pub fn accept<K, V, P>(root: &IndexRoot, parts: P) -> AcceptVerdict
where
    K: AsRef<str>,
    V: AsRef<[u8]>,
    P: IntoIterator<Item = (K, V)>,
{
    if root.check.as_ref() != root_check(root).as_bytes() {
        return AcceptVerdict::Mismatch((0..PAGES).collect());
    }
    // The rules of this release do not apply to another format, so nothing else
    // is checked.
    if root.schema != SCHEMA {
        let found = root.schema;
        let reason = format!("unknown schema number; found: {found}; accepted: {SCHEMA}");
        return AcceptVerdict::Refused(vec![refuse_reason("root", &reason)]);
    }
    if root.pages.len() != PAGES {
        let found = root.pages.len();
        let reason = format!("wrong number of pages; found: {found}; accepted: {PAGES}");
        return AcceptVerdict::Refused(vec![refuse_reason("root", &reason)]);
    }
    let mut values = BTreeMap::new();
    let mut index = DigestIndex::new(root.revision);
    for (key, value) in parts {
        let key = SmolStr::new(key.as_ref());
        index.insert(key.clone(), PartDigest::of(value.as_ref()));
        values.insert(key, value);
    }
    let differs = |page: &usize| index.page_digest(*page).as_bytes() != root.pages[*page].as_ref();
    let pages: Vec<usize> = (0..PAGES).filter(differs).collect();
    if !pages.is_empty() {
        return AcceptVerdict::Mismatch(pages);
    }
    let mut reasons = Vec::new();
    if !values.contains_key(FLEET_KEY) {
        reasons.push(refuse_reason(FLEET_KEY, "the part is missing"));
    }
    let mut set = ConfigSet::default();
    for (key, value) in &values {
        let length = value.as_ref().len();
        if length > VALUE_MAX {
            let reason =
                format!("part too long; found: {length}; accepted: 0 to {VALUE_MAX} bytes");
            reasons.push(refuse_reason(key, &reason));
            continue;
        }
        match decode_part(key, value.as_ref()) {
            Ok(Part::Fleet(fleet)) => {
                set.regions = fleet.regions;
                set.failure_domains = fleet.failure_domains;
                set.tenants = fleet.tenants;
                set.policy = fleet.policy;
            }
            Ok(Part::Service(service)) => set.services.push(service),
            Ok(Part::Route(route)) => set.routes.push(route),
            Err(error) => reasons.push(refuse_reason(key, &error.reason)),
        }
    }
    reasons.extend(check_former_revisions(&set, root.revision));
    if let Err(faults) = check_set(&set) {
        reasons.extend(faults.into_iter().map(|fault| fault_reason(&set, fault)));
    }
    if reasons.is_empty() {
        return AcceptVerdict::Accepted;
    }
    reasons.sort();
    AcceptVerdict::Refused(reasons)
}

/// Checks a partial model of a version, in which services may be absent.
///
/// A daemon loads only the services that it needs. Failure domains and regions
/// that the model refers to must be defined, and each field must have an accepted
/// value. Services that routes refer to are not looked up, because a partial model
/// need not contain them; see [`crate::check_services`].
///
/// # Examples
///
/// ```
/// use radishgauge_config::FleetModel;
/// use radishgauge_config::check_partial_model;
/// use radishgauge_config::model::TenantModel;
///
/// let mut model = FleetModel::default();
/// let tenant = TenantModel { home_regions: vec!["addis".into()] };
/// model.tenants.insert("walk-in".into(), tenant);
/// let reasons = check_partial_model(&model).unwrap_err();
/// assert!(reasons[0].to_string().starts_with("fleet: tenants[0].home_regions[0]: unknown"));
/// ```
///
/// # Errors
///
/// All faults, ordered by part key. Indexes of list elements refer to the model's
/// lists, which are sorted by name.
pub fn check_partial_model(model: &FleetModel) -> Result<(), Vec<RefuseReason>> {
    let set = model.to_set();
    let Err(faults) = check_all(&set, &|_| true) else {
        return Ok(());
    };
    let reasons = faults.into_iter().map(|fault| fault_reason(&set, fault));
    let mut reasons: Vec<RefuseReason> = reasons.collect();
    reasons.sort();
    Err(reasons)
}

// New owners of idempotency keys wait until former owners have applied revision
// `left_at`. They would wait for a revision that no daemon has if it were later
// than that of the version.
fn check_former_revisions(set: &ConfigSet, revision: u64) -> Vec<RefuseReason> {
    let mut reasons = Vec::new();
    for service in &set.services {
        for (index, former) in service.former_targets.iter().enumerate() {
            let found = former.left_at;
            if found > revision {
                let reason = format!(
                    "former_targets[{index}].left_at: later than the version; found: {found}; \
                     accepted: 1 to {revision}"
                );
                reasons.push(refuse_reason(&service_key(&service.name), &reason));
            }
        }
    }
    reasons
}

fn fault_reason(set: &ConfigSet, fault: SetFault) -> RefuseReason {
    let (key, path) = path_in_part(set, &fault.path);
    let fault = SetFault { path, ..fault };
    refuse_reason(&key, &fault.to_string())
}

fn refuse_reason(key: &str, reason: &str) -> RefuseReason {
    RefuseReason {
        key: SmolStr::new(key),
        reason: reason.to_owned(),
    }
}

// Replaces the index in the set's list by the part key, since the index is
// unknown to readers of single parts.
fn path_in_part(set: &ConfigSet, path: &FieldPath) -> (SmolStr, FieldPath) {
    let key = match path.0.as_slice() {
        [PathStep::Field(list), PathStep::Item(index), ..] if list == "services" => {
            service_key(&set.services[*index].name)
        }
        [PathStep::Field(list), PathStep::Item(index), ..] if list == "routes" => {
            route_key(&set.routes[*index].name)
        }
        _ => return (FLEET_KEY.into(), path.clone()),
    };
    (key, FieldPath(path.0[2..].to_vec()))
}
