//! Where a request may be handled.
//!
//! A request bound to home regions must not be served, sent or stored outside
//! them. The rule is computed once for a request and asked at each step: entry,
//! pick, retry and spill all use the same value.

use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// A region, as its place in the snapshot's list of regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RegionKey(pub(crate) u8);

/// A set of regions of one snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RegionSet(u64);

impl RegionSet {
    /// The most regions that a snapshot can hold; one bit stands for each.
    pub const MAX: usize = 64;

    /// Every region, those that the snapshot does not know included.
    pub const ALL: RegionSet = RegionSet(u64::MAX);

    /// No region.
    pub const NONE: RegionSet = RegionSet(0);

    /// Adds a region.
    pub fn insert(&mut self, region: RegionKey) {
        self.0 |= 1 << region.0;
    }

    /// Whether the region is in the set.
    pub fn contains(self, region: RegionKey) -> bool {
        self.0 & (1 << region.0) != 0
    }

    /// Returns the regions that are in both sets.
    pub fn intersection(self, other: RegionSet) -> RegionSet {
        RegionSet(self.0 & other.0)
    }

    /// Whether no region is in the set.
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
    /// A rule without restriction.
    pub const ANYWHERE: HomeRule = HomeRule {
        regions: RegionSet::ALL,
    };

    /// Returns the rule of a request that all the sets bind: its route's, its
    /// tenant's and that of the call which caused it.
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

    /// Whether the request is bound to regions at all.
    pub fn is_bound(&self) -> bool {
        self.regions != RegionSet::ALL
    }

    /// Refuses a request that enters in a region where it may not be handled.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::HomeRegion`] when `local` is not allowed, which includes
    /// the case that the sets have nothing in common.
    pub fn check_entry(&self, local: RegionKey) -> Result<(), Refusal> {
        if self.regions.contains(local) {
            Ok(())
        } else {
            Err(Refusal::new(RefusalReason::HomeRegion))
        }
    }

    /// Whether a target in the region may receive the request.
    pub fn allows_target(&self, region: RegionKey) -> bool {
        self.regions.contains(region)
    }
}
