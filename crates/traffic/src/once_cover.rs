//! Whether a daemon covers an opaque key: knows all that former owners ran.
//!
//! A former owner that cannot be reached keeps its keys, and new owners refuse
//! them. A partition therefore costs availability and never a second run.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::once::OnceLedger;
use crate::once_owner::KeyOwner;
use crate::once_owner::OwnerSet;

/// The greatest number of former sets kept apart for a service. Beyond it the
/// oldest are merged into one more whose hosts must all hand over.
const FORMER_SETS: usize = 32;

/// The owners of a service's opaque keys under a configuration in force.
#[derive(Debug, Clone)]
pub struct OwnerChange {
    /// The service.
    pub service: SmolStr,
    /// The revision of the configuration.
    pub revision: u64,
    /// The owners from now on.
    pub current: OwnerSet,
    /// Sets that were current before, as the configuration or peers name them.
    ///
    /// A ledger adds the sets that it saw itself. A daemon that restarted or
    /// skipped revisions saw none, and is safe only if they are given here.
    pub former: Vec<FormerOwners>,
}

/// Owners under an earlier configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FormerOwners {
    /// The set.
    pub set: OwnerSet,
    /// The first revision at which the set was not current any more. A host that
    /// applied it does not act under the set.
    pub left_at: u64,
    /// Whether the set joins the targets of several revisions, so that every
    /// host of it counts as former owner of every key.
    pub merged: bool,
}

/// A completed transfer from a former owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Handover {
    /// The former owner's revision when it began to hand over.
    pub(crate) revision: u64,
    /// From when on the records stand for all that it ran within the window.
    pub(crate) whole_at: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct ServiceCover {
    pub(crate) revision: u64,
    current: OwnerSet,
    former: Vec<FormerSet>,
    pub(crate) handovers: IndexMap<SmolStr, Handover>,
    pub(crate) pending: IndexMap<SmolStr, PendingTransfer>,
    /// From when on every host of every former set is resolved.
    clear_at: Option<Duration>,
}

/// A transfer of which a part has arrived.
#[derive(Debug, Clone)]
pub(crate) struct PendingTransfer {
    pub(crate) incarnation: u64,
    pub(crate) handover: Handover,
    /// Where the next piece begins.
    pub(crate) next: u64,
}

#[derive(Debug, Clone)]
struct FormerSet {
    set: OwnerSet,
    left_at: u64,
    /// Whether every host of the set counts as former owner of every key.
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
            // The configuration names the newest again with each change, so an
            // eviction by age does not come back.
            let oldest = apart.min_by_key(|(_, former)| former.left_at);
            if let Some((oldest, _)) = oldest {
                let oldest = self.former.remove(oldest);
                self.add_merged(&oldest.set, oldest.left_at);
            }
        }
    }

    /// Adds to the one set whose hosts all count as former owners.
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
    /// Takes the owners of a service from a configuration that came into force.
    ///
    /// A change of an older revision than the one known does nothing.
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

    /// Notes that the platform's host list no longer has `host`.
    ///
    /// To be called also for each former owner that the first list lacks.
    pub fn host_gone(&mut self, host: &str, now: Duration) {
        let now = self.advance(now);
        if !self.gone.contains_key(host) {
            self.gone.insert(SmolStr::new(host), now);
            self.update_clear();
        }
    }

    /// Notes that the host list has `host` again, or that the host itself was
    /// heard from: a host that lives may run the keys that it owned.
    pub fn host_listed(&mut self, host: &str) {
        if self.gone.swap_remove(host).is_some() {
            self.update_clear();
        }
    }

    /// Returns the former owners whose records of `service` are still needed,
    /// each of which is to be sent an `OwnerTransferRequest`.
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

    /// Returns a former owner of an opaque key that still may run it.
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
                // The home regions may have been others under another epoch.
                let owners = KeyOwner::of_any_regions(service, key, &former.set);
                owners.into_iter().find(pending).cloned()
            };
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Says whether `host` can run no more key under a set that it left with
    /// revision `left_at`, and whether all it ran under it is known here.
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

    /// Computes anew from when on no former owner of any key is waited for.
    ///
    /// To be called after each change of what `resolved_at` reads: without it
    /// each new key costs a rendezvous over all former sets.
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
