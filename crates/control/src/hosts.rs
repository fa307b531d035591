//! The platform's host lists, and the deltas by which they are distributed.
//!
//! A list has 1,000 entries of which one changes at a time, so daemons send
//! each other changed entries instead of lists. A relay stores every list in
//! full. Another daemon stores the list of its own failure domain in full, and
//! of other lists only the hosts of targets in its scope.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::IndexMap;
use radishgauge_schema::config::HostEntry;
use radishgauge_schema::config::HostList;
use radishgauge_schema::config::HostState;
use radishgauge_schema::peer::HostListDelta;
use radishgauge_schema::peer::HostListRevision;
use smol_str::SmolStr;

/// One entry of a host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedHost {
    /// The peer address; `None` if the platform's entry has no valid one.
    pub address: Option<SocketAddr>,
    /// The start time of the daemon's process in ms.
    pub incarnation: u64,
    /// The state according to the platform.
    pub state: HostState,
}

impl From<&HostEntry> for ListedHost {
    fn from(entry: &HostEntry) -> ListedHost {
        ListedHost {
            address: entry.daemon.parse().ok(),
            incarnation: entry.incarnation,
            state: entry.state(),
        }
    }
}

/// The changes of a list: new and changed entries, and removed ones with the
/// state `Gone`.
pub type ListChange = Vec<(SmolStr, ListedHost)>;

/// The number of deltas kept for each list; a daemon whose revision is older
/// gets the full list.
const MAX_DELTAS: usize = 64;

#[derive(Debug, Clone, Default)]
struct DomainList {
    revision: u64,
    full: bool,
    hosts: IndexMap<SmolStr, ListedHost>,
    deltas: VecDeque<(u64, u64, Vec<HostEntry>)>,
}

/// The host lists that a daemon stores, by failure domain.
#[derive(Debug, Clone, Default)]
pub struct HostLists {
    lists: IndexMap<SmolStr, DomainList>,
}

impl HostLists {
    /// Returns the revision of a domain's list, or 0 if there is no list.
    pub fn revision(&self, domain: &str) -> u64 {
        self.lists.get(domain).map_or(0, |list| list.revision)
    }

    /// Returns the revision of each stored list.
    pub fn revisions(&self) -> Vec<HostListRevision> {
        self.lists
            .iter()
            .filter(|(_, list)| list.revision > 0)
            .map(|(domain, list)| HostListRevision {
                failure_domain: domain.to_string(),
                revision: list.revision,
            })
            .collect()
    }

    /// Returns the entry of a host in a domain's list.
    pub fn get(&self, domain: &str, host: &str) -> Option<&ListedHost> {
        self.lists.get(domain)?.hosts.get(host)
    }

    /// Iterates over the stored entries of a domain's list.
    pub fn hosts(&self, domain: &str) -> impl Iterator<Item = (&SmolStr, &ListedHost)> {
        self.lists
            .get(domain)
            .into_iter()
            .flat_map(|list| &list.hosts)
    }

    /// Returns whether any list has an entry for a host.
    pub fn contains_host(&self, host: &str) -> bool {
        self.lists
            .values()
            .any(|list| list.hosts.contains_key(host))
    }

    /// Returns whether all entries of a domain's list are stored.
    pub fn full(&self, domain: &str) -> bool {
        self.lists.get(domain).is_some_and(|list| list.full)
    }

    /// Replaces a list if `value` is newer; returns the changes, or `None` if it
    /// is not newer.
    ///
    /// Only hosts for which `keep` returns true are stored; the list is stored in
    /// full if that is so for all.
    pub fn apply_list<F>(&mut self, value: &HostList, keep: F) -> Option<ListChange>
    where
        F: Fn(&str) -> bool,
    {
        let list = self
            .lists
            .entry(SmolStr::new(&value.failure_domain))
            .or_default();
        if value.revision <= list.revision {
            return None;
        }
        let mut change = ListChange::new();
        let mut delta = Vec::new();
        let mut hosts = IndexMap::with_capacity(value.hosts.len());
        for entry in &value.hosts {
            let host = SmolStr::new(&entry.host);
            let listed = ListedHost::from(entry);
            if list.hosts.get(&host) != Some(&listed) {
                delta.push(entry.clone());
            }
            if keep(&host) {
                if list.hosts.get(&host) != Some(&listed) {
                    change.push((host.clone(), listed));
                }
                hosts.insert(host, listed);
            }
        }
        for (host, listed) in &list.hosts {
            if !hosts.contains_key(host) {
                let gone = ListedHost {
                    state: HostState::Gone,
                    ..*listed
                };
                change.push((host.clone(), gone));
                delta.push(HostEntry {
                    host: host.to_string(),
                    failure_domain: value.failure_domain.clone(),
                    daemon: String::new(),
                    incarnation: listed.incarnation,
                    state: HostState::Gone.into(),
                });
            }
        }
        // A delta can only be computed if the earlier list was stored in full.
        if list.full && list.revision > 0 {
            list.push_delta(list.revision, value.revision, delta);
        } else {
            list.deltas.clear();
        }
        list.full = hosts.len() == value.hosts.len();
        list.hosts = hosts;
        list.revision = value.revision;
        Some(change)
    }

    /// Applies a delta; returns the changes among the stored hosts, or `None` if
    /// the delta is not newer or starts at a newer revision than the stored one.
    pub fn apply_delta<F>(&mut self, delta: &HostListDelta, keep: F) -> Option<ListChange>
    where
        F: Fn(&str) -> bool,
    {
        let list = self.lists.get_mut(delta.failure_domain.as_str())?;
        if list.revision == 0 || delta.base > list.revision || delta.revision <= list.revision {
            return None;
        }
        let mut change = ListChange::new();
        for entry in &delta.changed {
            let host = SmolStr::new(&entry.host);
            let listed = ListedHost::from(entry);
            if !keep(&host) || list.hosts.get(&host) == Some(&listed) {
                continue;
            }
            if listed.state == HostState::Gone {
                list.hosts.shift_remove(&host);
            } else {
                list.hosts.insert(host.clone(), listed);
            }
            change.push((host, listed));
        }
        list.push_delta(list.revision, delta.revision, delta.changed.clone());
        list.revision = delta.revision;
        Some(change)
    }

    /// Returns the update for a daemon that has the revision `have`: a delta, the
    /// full list, or `None` if there is no newer revision or no complete update.
    pub fn answer(&self, have: &HostListRevision) -> Option<ListUpdate> {
        let list = self.lists.get(have.failure_domain.as_str())?;
        if list.revision <= have.revision {
            return None;
        }
        if let Some(first) = list.deltas.iter().position(|(base, revision, _)| {
            *base <= have.revision && have.revision < *revision && have.revision > 0
        }) {
            let mut changed = IndexMap::new();
            for (_, _, entries) in list.deltas.range(first..) {
                for entry in entries {
                    changed.insert(entry.host.as_str(), entry);
                }
            }
            return Some(ListUpdate::Delta(HostListDelta {
                failure_domain: have.failure_domain.clone(),
                base: have.revision,
                revision: list.revision,
                changed: changed.into_values().cloned().collect(),
            }));
        }
        list.full.then(|| {
            ListUpdate::Full(HostList {
                failure_domain: have.failure_domain.clone(),
                revision: list.revision,
                hosts: list
                    .hosts
                    .iter()
                    .map(|(host, listed)| HostEntry {
                        host: host.to_string(),
                        failure_domain: have.failure_domain.clone(),
                        daemon: listed.address.map(|at| at.to_string()).unwrap_or_default(),
                        incarnation: listed.incarnation,
                        state: listed.state.into(),
                    })
                    .collect(),
            })
        })
    }

    /// Removes a list, so that it is requested again.
    pub fn forget(&mut self, domain: &str) {
        self.lists.shift_remove(domain);
    }
}

impl DomainList {
    fn push_delta(&mut self, base: u64, revision: u64, changed: Vec<HostEntry>) {
        // Each delta begins at the revision at which the one before it ends.
        if self.deltas.back().is_some_and(|(_, last, _)| *last != base) {
            self.deltas.clear();
        }
        if self.deltas.len() == MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back((base, revision, changed));
    }
}

/// An update of a list for a daemon with an older revision.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// The entries that changed since the daemon's revision.
    Delta(HostListDelta),
    /// The full list.
    Full(HostList),
}
