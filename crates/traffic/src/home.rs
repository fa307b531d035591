//! The regions in which a request may be handled.
//!
//! A request that is restricted to home regions must not be served, sent or
//! stored outside them. The rule is computed once for each request. Entry,
//! target selection, retries and spilling to other regions all check this one
//! value.

use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// Identifies a region by its index in the snapshot's list of regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RegionKey(pub(crate) u8);

/// A set of regions of one snapshot, as a bit mask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RegionSet(u64);

impl RegionSet {
    /// The maximum number of regions in a snapshot; each has one bit.
    pub const MAX: usize = 64;

    /// Every region, including those that the snapshot doesn't list.
    pub const ALL: RegionSet = RegionSet(u64::MAX);

    /// The empty set.
    pub const NONE: RegionSet = RegionSet(0);

    /// Adds a region to the set.
    pub fn insert(&mut self, region: RegionKey) {
        self.0 |= 1 << region.0;
    }

    /// Returns whether the region is in the set.
    pub fn contains(self, region: RegionKey) -> bool {
        self.0 & (1 << region.0) != 0
    }

    /// Returns the regions that are in both sets.
    pub fn intersection(self, other: RegionSet) -> RegionSet {
        RegionSet(self.0 & other.0)
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// The regions in which one request may be handled.
///
/// # Examples
///
/// ```
/// use radishgauge_traffic::home::HomeRule;
/// use radishgauge_traffic::home::RegionSet;
///
/// let rule = HomeRule::new([RegionSet::ALL, RegionSet::NONE]);
/// assert!(rule.regions().is_empty());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeRule {
    regions: RegionSet,
}

impl HomeRule {
    /// The rule of a request that may be handled in any region.
    pub const ANYWHERE: HomeRule = HomeRule {
        regions: RegionSet::ALL,
    };

    /// Returns the rule that allows only regions which are in all the sets:
    /// those of the route, of the tenant and of the parent call.
    pub fn new<I>(sets: I) -> HomeRule
    where
        I: IntoIterator<Item = RegionSet>,
    {
        let regions = sets
            .into_iter()
            .fold(RegionSet::ALL, RegionSet::intersection);
        HomeRule { regions }
    }

    /// Returns the allowed regions.
    pub fn regions(&self) -> RegionSet {
        self.regions
    }

    /// Returns whether the rule excludes any region.
    pub fn is_restricted(&self) -> bool {
        self.regions != RegionSet::ALL
    }

    /// Checks that the daemon of the region `local` may accept the request.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::HomeRegion`] when `local` is not allowed, which includes
    /// the case that no region is.
    pub fn check_entry(&self, local: RegionKey) -> Result<(), Refusal> {
        if self.regions.contains(local) {
            Ok(())
        } else {
            Err(Refusal::new(RefusalReason::HomeRegion))
        }
    }

    /// Returns whether a target in the region may receive the request.
    pub fn allows_target(&self, region: RegionKey) -> bool {
        self.regions.contains(region)
    }
}
