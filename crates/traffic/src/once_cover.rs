//! Changes of the owners of opaque keys, and which former owners still matter.
//!
//! A new owner runs a key only when it has the records of every former owner that
//! may have run it. A former owner that cannot be reached blocks its keys: new
//! owners refuse them. A partition therefore reduces availability and never
//! causes a second run.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::once::OnceLedger;
use crate::once_owner::KeyOwner;
use crate::once_owner::OwnerSet;

/// The greatest number of former owner sets that a service keeps separately.
/// Beyond it, the oldest are merged into one additional set, all of whose hosts
/// must transfer their records.
const FORMER_SETS: usize = 32;

/// The owners of a service's opaque keys under a configuration that came into
/// force.
#[derive(Debug, Clone)]
pub struct OwnerChange {
    /// The name of the service.
    pub service: SmolStr,
    /// The revision of the configuration.
    pub revision: u64,
    /// The owners under this revision.
    pub current: OwnerSet,
    /// The owner sets of earlier revisions that the configuration or peers list.
    ///
    /// The ledger adds the sets that were in force while it ran. A daemon that
    /// restarted or skipped revisions has not seen the others, so at-most-once
    /// execution depends on their being listed here.
    pub former: Vec<FormerOwners>,
}

/// The owners of a service's keys under an earlier configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FormerOwners {
    /// The daemons that could own keys.
    pub set: OwnerSet,
    /// The first revision at which the set was no longer current. A host that has
    /// applied this revision runs no key as an owner of the set.
    pub left_at: u64,
    /// Whether the set is a union over several revisions, so that each of its
    /// hosts counts as a former owner of every key.
    pub merged: bool,
}

/// A completed transfer from a former owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Handover {
    /// The former owner's revision when the transfer began.
    pub(crate) revision: u64,
    /// From this time on, the transferred records include every key that the
    /// former owner ran within the retention time.
    pub(crate) whole_at: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct ServiceCover {
    pub(crate) revision: u64,
    current: OwnerSet,
    former: Vec<FormerSet>,
    pub(crate) handovers: IndexMap<SmolStr, Handover>,
    pub(crate) pending: IndexMap<SmolStr, PendingTransfer>,
    /// The time from which every host of every former set is resolved.
    clear_at: Option<Duration>,
}

/// A transfer of which some pieces have arrived.
#[derive(Debug, Clone)]
pub(crate) struct PendingTransfer {
    pub(crate) incarnation: u64,
    pub(crate) handover: Handover,
    /// The position after which the next piece begins.
    pub(crate) next: u64,
}

#[derive(Debug, Clone)]
struct FormerSet {
    set: OwnerSet,
    left_at: u64,
    /// Whether each host of the set counts as a former owner of every key.
    all: bool,
}

impl ServiceCover {
    pub(crate) fn current(&self) -> &OwnerSet {
        &self.current
    }

    fn add_former(&mut self, set: OwnerSet, left_at: u64, all: bool) {
        if all {
            return self.add_merged(&set, left_at);
        }
        if let Some(known) = self
            .former
            .iter_mut()
            .find(|known| known.set == set && !known.all)
        {
            known.left_at = known.left_at.max(left_at);
            return;
        }
        self.former.push(FormerSet { set, left_at, all });
        let apart = self.former.iter().enumerate();
        let apart = apart.filter(|(_, former)| !former.all);
        if apart.clone().count() > FORMER_SETS {
            // Each change lists the newest former sets again, so the oldest one is
            // merged: the next change does not add it again.
            let oldest = apart.min_by_key(|(_, former)| former.left_at);
            if let Some((oldest, _)) = oldest {
                let oldest = self.former.remove(oldest);
                self.add_merged(&oldest.set, oldest.left_at);
            }
        }
    }

    /// Adds the hosts of `set` to the one merged set.
    fn add_merged(&mut self, set: &OwnerSet, left_at: u64) {
        let Some(known) = self.former.iter_mut().find(|known| known.all) else {
            let set = OwnerSet::new(0, set.targets().to_vec());
            let all = true;
            return self.former.insert(0, FormerSet { set, left_at, all });
        };
        let targets = known.set.targets().iter().chain(set.targets()).cloned();
        known.set = OwnerSet::new(0, targets.collect::<Vec<_>>());
        known.left_at = known.left_at.max(left_at);
    }
}

impl OnceLedger {
    /// Applies the owners of a service from a configuration that came into force.
    ///
    /// A change with an older revision than the latest applied one is ignored.
    pub fn ownership_changed(&mut self, change: OwnerChange, now: Duration) {
        self.advance(now);
        let revision = change.revision;
        let cover = self.covers.entry(change.service.clone());
        let cover = cover.or_insert_with(|| ServiceCover {
            revision,
            current: change.current.clone(),
            former: Vec::new(),
            handovers: IndexMap::new(),
            pending: IndexMap::new(),
            clear_at: Some(Duration::ZERO),
        });
        if revision < cover.revision {
            return;
        }
        cover.revision = revision;
        if cover.current != change.current {
            let former = std::mem::replace(&mut cover.current, change.current);
            cover.add_former(former, revision, false);
        }
        for former in change.former {
            cover.add_former(former.set, former.left_at, former.merged);
        }
        self.update_clear();
    }

    /// Records that the platform's host list no longer has `host`.
    ///
    /// Must also be called for each former owner that is missing from the first
    /// host list after the start.
    pub fn host_gone(&mut self, host: &str, now: Duration) {
        let now = self.advance(now);
        if !self.gone.contains_key(host) {
            self.gone.insert(SmolStr::new(host), now);
            self.update_clear();
        }
    }

    /// Records that the host list has `host` again, or that the host itself sent
    /// a message. A live host may still run the keys that it owned.
    pub fn host_listed(&mut self, host: &str) {
        if self.gone.swap_remove(host).is_some() {
            self.update_clear();
        }
    }

    /// Returns the former owners whose records for `service` are still missing.
    ///
    /// The caller sends each an `OwnerTransferRequest`.
    pub fn wanted(&mut self, service: &str, now: Duration) -> Vec<SmolStr> {
        let now = self.advance(now);
        let mut wanted = Vec::new();
        for former in self
            .covers
            .get(service)
            .into_iter()
            .flat_map(|cover| &cover.former)
        {
            for target in former.set.targets() {
                if !wanted.contains(&target.host)
                    && !self.resolved(service, &target.host, former.left_at, now)
                {
                    wanted.push(target.host.clone());
                }
            }
        }
        wanted
    }

    /// Returns a former owner of an opaque key that may still run it, or may have
    /// run it without a record here.
    pub(crate) fn unresolved(
        &self,
        service: &str,
        key: &str,
        regions: &[SmolStr],
        now: Duration,
    ) -> Option<SmolStr> {
        let cover = self.covers.get(service)?;
        if cover.clear_at.is_some_and(|at| at <= now) {
            return None;
        }
        for former in &cover.former {
            let pending = |host: &&SmolStr| !self.resolved(service, host, former.left_at, now);
            let found = if former.all {
                let mut hosts = former.set.targets().iter().map(|target| &target.host);
                hosts.find(pending).cloned()
            } else if former.set.epoch() == cover.current.epoch() {
                let owner = KeyOwner::of(service, key, &former.set, regions);
                owner.map(|owner| owner.host).filter(|host| pending(&host))
            } else {
                // Under another epoch, the home regions may have been different.
                let owners = KeyOwner::of_any_regions(service, key, &former.set);
                owners.into_iter().find(pending).cloned()
            };
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Returns whether `host` can no longer run keys as an owner of a set that
    /// ended with revision `left_at`, and this ledger has the records of all that
    /// it ran under that set.
    fn resolved(&self, service: &str, host: &SmolStr, left_at: u64, now: Duration) -> bool {
        self.resolved_at(service, host, left_at)
            .is_some_and(|at| at <= now)
    }

    fn resolved_at(&self, service: &str, host: &SmolStr, left_at: u64) -> Option<Duration> {
        if host == self.host() {
            return Some(Duration::ZERO);
        }
        let handovers = &self.covers.get(service)?.handovers;
        let handover = handovers
            .get(host)
            .filter(|handover| handover.revision >= left_at);
        let whole = handover.map(|handover| handover.whole_at);
        let ended = self.gone.get(host).map(|&since| since + self.limits.keep());
        whole.into_iter().chain(ended).min()
    }

    /// Recomputes the time from which no former owner of any key blocks it.
    ///
    /// Must be called after each change of the state that `resolved_at` reads. The
    /// cached time saves each new key a rendezvous hash over all former sets.
    pub(crate) fn update_clear(&mut self) {
        for index in 0..self.covers.len() {
            let Some((service, cover)) = self.covers.get_index(index) else {
                return;
            };
            let mut times = cover.former.iter().flat_map(|former| {
                let targets = former.set.targets().iter();
                targets.map(|target| self.resolved_at(service, &target.host, former.left_at))
            });
            let clear = times.try_fold(Duration::ZERO, |latest, at| at.map(|at| latest.max(at)));
            self.covers[index].clear_at = clear;
        }
    }
}
