//! The platform's host lists, and the deltas that spread them.
//!
//! A list has 1,000 entries and one of them changes at a time, so daemons pass
//! on entries and not lists. A relay holds every list whole; another daemon
//! holds the one of its own failure domain, and of others only the targets that
//! its share names.

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
    /// The peer address; `None` when the platform gives none that is valid.
    pub address: Option<SocketAddr>,
    /// Its start time in ms.
    pub incarnation: u64,
    /// What the platform says of it.
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

/// What a newer list changes: entries, and hosts that it no longer names.
pub type ListChange = Vec<(SmolStr, ListedHost)>;

/// The deltas kept of each list; a daemon that is further behind takes the list.
const DELTAS: usize = 64;

#[derive(Debug, Clone, Default)]
struct DomainList {
    revision: u64,
    whole: bool,
    hosts: IndexMap<SmolStr, ListedHost>,
    deltas: VecDeque<(u64, u64, Vec<HostEntry>)>,
}

/// The host lists that a daemon knows, by failure domain.
#[derive(Debug, Clone, Default)]
pub struct HostLists {
    lists: IndexMap<SmolStr, DomainList>,
}

impl HostLists {
    /// Returns the revision of a domain's list; 0 for none.
    pub fn revision(&self, domain: &str) -> u64 {
        self.lists.get(domain).map_or(0, |list| list.revision)
    }

    /// Returns the revision of each list.
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

    /// Returns an entry of a domain's list.
    pub fn get(&self, domain: &str, host: &str) -> Option<&ListedHost> {
        self.lists.get(domain)?.hosts.get(host)
    }

    /// Iterates over the hosts of a domain's list.
    pub fn hosts(&self, domain: &str) -> impl Iterator<Item = (&SmolStr, &ListedHost)> {
        self.lists
            .get(domain)
            .into_iter()
            .flat_map(|list| &list.hosts)
    }

    /// Returns whether any list names a host.
    pub fn names(&self, host: &str) -> bool {
        self.lists
            .values()
            .any(|list| list.hosts.contains_key(host))
    }

    /// Returns whether the domain's list is held whole.
    pub fn whole(&self, domain: &str) -> bool {
        self.lists.get(domain).is_some_and(|list| list.whole)
    }

    /// Takes a whole list if it is newer; returns what changed.
    ///
    /// Only the hosts that `keep` accepts are held; the list is whole if it
    /// accepts all.
    pub fn take_list<F>(&mut self, value: &HostList, keep: F) -> Option<ListChange>
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
        // A delta can be made only against a whole earlier list.
        if list.whole && list.revision > 0 {
            list.remember(list.revision, value.revision, delta);
        } else {
            list.deltas.clear();
        }
        list.whole = hosts.len() == value.hosts.len();
        list.hosts = hosts;
        list.revision = value.revision;
        Some(change)
    }

    /// Takes the entries that changed; returns what changed here.
    pub fn take_delta<F>(&mut self, delta: &HostListDelta, keep: F) -> Option<ListChange>
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
        list.remember(list.revision, delta.revision, delta.changed.clone());
        list.revision = delta.revision;
        Some(change)
    }

    /// Answers a daemon that holds `have` of a list: a delta, the whole list, or
    /// nothing when this daemon holds nothing newer that helps.
    pub fn answer(&self, have: &HostListRevision) -> Option<ListAnswer> {
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
            return Some(ListAnswer::Delta(HostListDelta {
                failure_domain: have.failure_domain.clone(),
                base: have.revision,
                revision: list.revision,
                changed: changed.into_values().cloned().collect(),
            }));
        }
        list.whole.then(|| {
            ListAnswer::Whole(HostList {
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

    /// Forgets a list, so that it is asked for anew.
    pub fn forget(&mut self, domain: &str) {
        self.lists.shift_remove(domain);
    }
}

impl DomainList {
    fn remember(&mut self, base: u64, revision: u64, changed: Vec<HostEntry>) {
        // An earlier delta must end where this one begins, or the chain breaks.
        if self.deltas.back().is_some_and(|(_, last, _)| *last != base) {
            self.deltas.clear();
        }
        if self.deltas.len() == DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back((base, revision, changed));
    }
}

/// How a list is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum ListAnswer {
    /// The entries that changed.
    Delta(HostListDelta),
    /// The whole list.
    Whole(HostList),
}
