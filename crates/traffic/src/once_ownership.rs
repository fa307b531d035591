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
const MAX_FORMER_SETS: usize = 32;

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
pub(crate) struct CompletedTransfer {
    /// The former owner's revision when the transfer began.
    pub(crate) revision: u64,
    /// From this time on, the transferred records include every key that the
    /// former owner ran within the retention time.
    pub(crate) complete_at: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct ServiceOwnership {
    pub(crate) revision: u64,
    current: OwnerSet,
    former: Vec<FormerSet>,
    pub(crate) completed_transfers: IndexMap<SmolStr, CompletedTransfer>,
    pub(crate) pending: IndexMap<SmolStr, PendingTransfer>,
    /// The time from which every host of every former set is resolved.
    all_resolved_at: Option<Duration>,
}

/// A transfer of which some pieces have arrived.
#[derive(Debug, Clone)]
pub(crate) struct PendingTransfer {
    pub(crate) incarnation: u64,
    /// What is recorded as completed when the last piece arrives.
    pub(crate) completed: CompletedTransfer,
    /// The position after which the next piece begins.
    pub(crate) next: u64,
}

#[derive(Debug, Clone)]
struct FormerSet {
    set: OwnerSet,
    left_at: u64,
    /// Whether each host of the set counts as a former owner of every key.
    is_union: bool,
}

impl ServiceOwnership {
    pub(crate) fn current(&self) -> &OwnerSet {
        &self.current
    }

    fn add_former(&mut self, set: OwnerSet, left_at: u64, is_union: bool) {
        if is_union {
            return self.add_merged(&set, left_at);
        }
        if let Some(known) = self
            .former
            .iter_mut()
            .find(|known| known.set == set && !known.is_union)
        {
            known.left_at = known.left_at.max(left_at);
            return;
        }
        self.former.push(FormerSet {
            set,
            left_at,
            is_union,
        });
        let separate = self.former.iter().enumerate();
        let separate = separate.filter(|(_, former)| !former.is_union);
        if separate.clone().count() > MAX_FORMER_SETS {
            // Each change lists the newest former sets again, so the oldest one is
            // merged: the next change does not add it again.
            let oldest = separate.min_by_key(|(_, former)| former.left_at);
            if let Some((oldest, _)) = oldest {
                let oldest = self.former.remove(oldest);
                self.add_merged(&oldest.set, oldest.left_at);
            }
        }
    }

    /// Adds the hosts of `set` to the one merged set.
    fn add_merged(&mut self, set: &OwnerSet, left_at: u64) {
        let Some(known) = self.former.iter_mut().find(|known| known.is_union) else {
            let set = OwnerSet::new(0, set.targets().to_vec());
            let is_union = true;
            return self.former.insert(
                0,
                FormerSet {
                    set,
                    left_at,
                    is_union,
                },
            );
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
        let ownership = self.services.entry(change.service.clone());
        let ownership = ownership.or_insert_with(|| ServiceOwnership {
            revision,
            current: change.current.clone(),
            former: Vec::new(),
            completed_transfers: IndexMap::new(),
            pending: IndexMap::new(),
            all_resolved_at: Some(Duration::ZERO),
        });
        if revision < ownership.revision {
            return;
        }
        ownership.revision = revision;
        if ownership.current != change.current {
            let former = std::mem::replace(&mut ownership.current, change.current);
            ownership.add_former(former, revision, false);
        }
        for former in change.former {
            ownership.add_former(former.set, former.left_at, former.merged);
        }
        self.update_all_resolved_at();
    }

    /// Records that the platform's host list no longer has `host`.
    ///
    /// Must also be called for each former owner that is missing from the first
    /// host list after the start.
    pub fn host_gone(&mut self, host: &str, now: Duration) {
        let now = self.advance(now);
        if !self.gone_hosts.contains_key(host) {
            self.gone_hosts.insert(SmolStr::new(host), now);
            self.update_all_resolved_at();
        }
    }

    /// Records that the host list has `host` again, or that the host itself sent
    /// a message. A live host may still run the keys that it owned.
    pub fn host_listed(&mut self, host: &str) {
        if self.gone_hosts.swap_remove(host).is_some() {
            self.update_all_resolved_at();
        }
    }

    /// Returns the former owners whose records for `service` are still missing.
    ///
    /// The caller sends each an `OwnerTransferRequest`.
    pub fn missing_transfers(&mut self, service: &str, now: Duration) -> Vec<SmolStr> {
        let now = self.advance(now);
        let mut missing = Vec::new();
        for former in self
            .services
            .get(service)
            .into_iter()
            .flat_map(|ownership| &ownership.former)
        {
            for target in former.set.targets() {
                if !missing.contains(&target.host)
                    && !self.resolved(service, &target.host, former.left_at, now)
                {
                    missing.push(target.host.clone());
                }
            }
        }
        missing
    }

    /// Returns a former owner of an opaque key that may still run it, or may have
    /// run it without a record here.
    pub(crate) fn unresolved_owner(
        &self,
        service: &str,
        key: &str,
        regions: &[SmolStr],
        now: Duration,
    ) -> Option<SmolStr> {
        let ownership = self.services.get(service)?;
        if ownership.all_resolved_at.is_some_and(|at| at <= now) {
            return None;
        }
        for former in &ownership.former {
            let pending = |host: &&SmolStr| !self.resolved(service, host, former.left_at, now);
            let found = if former.is_union {
                let mut hosts = former.set.targets().iter().map(|target| &target.host);
                hosts.find(pending).cloned()
            } else if former.set.epoch() == ownership.current.epoch() {
                let owner = KeyOwner::of(service, key, &former.set, regions);
                owner.map(|owner| owner.host).filter(|host| pending(&host))
            } else {
                // Under another epoch, the home regions may have been different.
                let owners = KeyOwner::possible_hosts(service, key, &former.set);
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
        let completed_transfers = &self.services.get(service)?.completed_transfers;
        let completed = completed_transfers
            .get(host)
            .filter(|completed| completed.revision >= left_at);
        let complete = completed.map(|completed| completed.complete_at);
        let ended = self
            .gone_hosts
            .get(host)
            .map(|&since| since + self.limits.retention());
        complete.into_iter().chain(ended).min()
    }

    /// Recomputes the time from which no former owner of any key blocks it.
    ///
    /// Must be called after each change of the state that `resolved_at` reads. The
    /// cached time saves each new key a rendezvous hash over all former sets.
    pub(crate) fn update_all_resolved_at(&mut self) {
        for index in 0..self.services.len() {
            let Some((service, ownership)) = self.services.get_index(index) else {
                return;
            };
            let mut times = ownership.former.iter().flat_map(|former| {
                let targets = former.set.targets().iter();
                targets.map(|target| self.resolved_at(service, &target.host, former.left_at))
            });
            let all_resolved =
                times.try_fold(Duration::ZERO, |latest, at| at.map(|at| latest.max(at)));
            self.services[index].all_resolved_at = all_resolved;
        }
    }
}
