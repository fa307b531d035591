//! The platform's state as a daemon knows it: configuration, targets and
//! evacuated failure domains.
//!
//! The position in the store's history orders all states: of two states, the one
//! with the greater [`StatePosition`](crate::StatePosition) is valid, whether it came
//! from the store or from a peer.
//!
//! While the store is unreachable, the entry of a running target may lapse
//! because its lease is not renewed. A missing entry is therefore kept until a
//! short time after the store is reachable again. A peer that is partitioned
//! from the store also reports it as unreachable, so a peer's report alone is
//! not evidence of an outage: if this daemon then reads the store without a
//! failure, missing entries were removed and did not lapse. What the daemon that
//! read a removal from the store knew is passed on with it, so that a daemon
//! behind a partition does not take it for a lapse.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use smol_str::SmolStr;

use crate::config::MeshConfig;
use crate::target::TargetRecord;

/// How long after an outage of the store a lapsed entry may still be
/// registered again; the platform specifies two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// The greatest number of removed targets whose last word is remembered; the oldest is
/// forgotten first.
const MAX_REMOVED: usize = 256;

/// A change of the platform's state, from the store or from a peer.
#[derive(Debug, Clone)]
pub enum StateChange {
    /// A configuration version.
    Config(Arc<MeshConfig>),
    /// A target registered or updated its registration.
    Target(TargetRecord),
    /// The entry of a target is missing. If there was an outage of the store, it may
    /// have lapsed.
    TargetGone(SmolStr),
    /// The entry of a target was removed and did not lapse, or no longer describes
    /// a target.
    TargetRemoved(SmolStr),
    /// A failure domain was evacuated.
    DomainOut(SmolStr),
    /// The evacuation of a failure domain ended.
    DomainIn(SmolStr),
}

impl StateChange {
    /// Returns whether both changes are about the same target or failure domain, or
    /// both about the configuration.
    pub fn has_same_subject(&self, other: &StateChange) -> bool {
        self.subject() == other.subject()
    }

    fn subject(&self) -> ChangeSubject<'_> {
        match self {
            StateChange::Config(_) => ChangeSubject::Config,
            StateChange::Target(record) => ChangeSubject::Target(&record.id),
            StateChange::TargetGone(id) | StateChange::TargetRemoved(id) => {
                ChangeSubject::Target(id)
            }
            StateChange::DomainOut(domain) | StateChange::DomainIn(domain) => {
                ChangeSubject::Domain(domain)
            }
        }
    }

    /// Returns whether the change says that its subject is not in the state.
    pub fn is_absence(&self) -> bool {
        matches!(
            self,
            StateChange::TargetGone(_) | StateChange::TargetRemoved(_) | StateChange::DomainIn(_)
        )
    }
}

/// What a change is about.
#[derive(PartialEq)]
enum ChangeSubject<'a> {
    Config,
    Target(&'a str),
    Domain(&'a str),
}

/// The effect of a change on the known state, as written to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateEvent {
    /// A newer configuration version was adopted.
    ConfigInForce {
        /// The number of the adopted version.
        version: u64,
    },
    /// A version was ignored because it is not newer than the current one.
    ConfigIgnored {
        /// The number of the ignored version.
        version: u64,
    },
    /// A target accepts new requests.
    TargetReady {
        /// The identifier of the target.
        id: SmolStr,
    },
    /// A target is draining and accepts no new requests.
    TargetDraining {
        /// The identifier of the target.
        id: SmolStr,
    },
    /// The entry of a target went missing in an outage of the store; the target
    /// stays in use until the grace period ends.
    TargetLapsed {
        /// The identifier of the target.
        id: SmolStr,
    },
    /// A target was removed.
    TargetGone {
        /// The identifier of the target.
        id: SmolStr,
    },
    /// A failure domain was evacuated and gets no new requests.
    DomainOut {
        /// The name of the failure domain.
        domain: SmolStr,
    },
    /// A failure domain gets requests again after an evacuation.
    DomainIn {
        /// The name of the failure domain.
        domain: SmolStr,
    },
}

#[derive(Debug, Clone)]
struct TargetEntry {
    record: TargetRecord,
    /// When the target is removed, if its entry lapsed in an outage.
    removal_due: Option<Duration>,
}

/// Where a state came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateSource {
    /// Read from the store by this daemon.
    Store,
    /// Sent by a daemon whose state is authoritative; entries missing from it
    /// were removed and did not lapse.
    Peer,
}

/// Whether the daemon can read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreHealth {
    /// Reads succeed, and no grace period is running.
    Reachable,
    /// Reads fail; entries may lapse.
    Unreachable,
    /// Reads have succeeded again since this time, and lapsed entries may still
    /// be registered again.
    Recovered(Duration),
}

/// The configuration, targets and evacuated failure domains known to one
/// daemon.
#[derive(Debug)]
pub struct StateTable {
    config: Option<Arc<MeshConfig>>,
    targets: IndexMap<SmolStr, TargetEntry>,
    /// The last word of each target that was removed lately.
    removed: IndexMap<SmolStr, TargetRecord>,
    /// The greatest incarnation that is registered at each address.
    latest_incarnations: IndexMap<SocketAddr, u64>,
    evacuated_domains: IndexSet<SmolStr>,
    health: StoreHealth,
    /// Whether this daemon itself failed to read the unreachable store, rather
    /// than a peer reporting it.
    own_read_failed: bool,
}

impl Default for StateTable {
    fn default() -> StateTable {
        StateTable {
            config: None,
            targets: IndexMap::new(),
            removed: IndexMap::new(),
            latest_incarnations: IndexMap::new(),
            evacuated_domains: IndexSet::new(),
            health: StoreHealth::Reachable,
            own_read_failed: false,
        }
    }
}

impl StateTable {
    /// Returns the current configuration; `None` before the first one.
    pub fn config(&self) -> Option<&Arc<MeshConfig>> {
        self.config.as_ref()
    }

    /// Returns the known targets, including draining ones.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values().map(|entry| &entry.record)
    }

    /// Returns whether another target has started at the target's address since;
    /// see [`TargetRecord::is_superseded_by`].
    pub fn is_superseded(&self, record: &TargetRecord) -> bool {
        let latest = self.latest_incarnations.get(&record.address);
        matches!((record.incarnation, latest), (Some(own), Some(latest)) if own < *latest)
    }

    /// Returns the targets that have started at the target's address since.
    pub fn successors(&self, record: &TargetRecord) -> impl Iterator<Item = &TargetRecord> {
        self.targets()
            .filter(|other| record.is_superseded_by(other))
    }

    /// Returns the record of a target.
    pub fn target(&self, id: &str) -> Option<&TargetRecord> {
        self.targets.get(id).map(|entry| &entry.record)
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated_domains.contains(domain)
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &SmolStr> {
        self.evacuated_domains.iter()
    }

    /// Returns the health of the store as seen by this daemon.
    pub fn health(&self) -> StoreHealth {
        self.health
    }

    /// Applies the store health reported by the peer that this daemon follows.
    pub fn apply_peer_health(&mut self, health: StoreHealth, now: Duration) {
        match health {
            StoreHealth::Reachable => self.rule_out_outage(now),
            StoreHealth::Unreachable => self.health = StoreHealth::Unreachable,
            StoreHealth::Recovered(at) => {
                self.mark_store_unreachable();
                self.mark_store_reachable(at);
            }
        }
    }

    /// Returns whether the store is unreachable.
    pub fn store_unreachable(&self) -> bool {
        self.health == StoreHealth::Unreachable
    }

    /// Records that this daemon failed to read the store.
    pub fn mark_store_unreachable(&mut self) {
        self.health = StoreHealth::Unreachable;
        self.own_read_failed = true;
    }

    /// Records that this daemon can read the store again.
    pub fn mark_store_reachable(&mut self, now: Duration) {
        if self.health != StoreHealth::Unreachable {
            return;
        }
        if !self.own_read_failed {
            self.rule_out_outage(now);
            return;
        }
        self.health = StoreHealth::Recovered(now);
        self.own_read_failed = false;
        self.limit_removal_times(now + LAPSE_GRACE);
    }

    /// Records that the store has come back from a copy. Entries that the copy lacks
    /// may be written again, as after an outage.
    pub fn record_restore(&mut self, now: Duration) {
        self.health = StoreHealth::Recovered(now);
        self.own_read_failed = false;
        self.limit_removal_times(now + LAPSE_GRACE);
    }

    /// Records that there was no outage: missing entries were removed and did
    /// not lapse.
    fn rule_out_outage(&mut self, now: Duration) {
        self.health = StoreHealth::Reachable;
        self.own_read_failed = false;
        self.limit_removal_times(now);
    }

    /// Makes the lapsed entries due for removal, as they are missing from the
    /// authoritative state of a peer too.
    pub fn drop_lapsed(&mut self, now: Duration) {
        self.limit_removal_times(now);
    }

    fn limit_removal_times(&mut self, latest: Duration) {
        for entry in self.targets.values_mut() {
            entry.removal_due = entry.removal_due.map(|until| until.min(latest));
        }
    }

    /// Returns whether the state matches the store: the store is reachable, and
    /// no entry may be missing because of an outage.
    pub fn is_authoritative(&self) -> bool {
        self.health == StoreHealth::Reachable
    }

    /// Applies one change and returns its effect, if any.
    pub fn apply(
        &mut self,
        change: StateChange,
        source: StateSource,
        now: Duration,
    ) -> Option<StateEvent> {
        if self.later_word(&change).is_some() {
            return None;
        }
        match change {
            StateChange::Config(config) => Some(self.apply_config(config)),
            StateChange::Target(record) => self.apply_target(record),
            StateChange::TargetGone(id) => self.apply_missing(id, source, now),
            StateChange::TargetRemoved(id) => self.remove(id),
            StateChange::DomainOut(domain) => self
                .evacuated_domains
                .insert(domain.clone())
                .then_some(StateEvent::DomainOut { domain }),
            StateChange::DomainIn(domain) => self
                .evacuated_domains
                .shift_remove(&domain)
                .then_some(StateEvent::DomainIn { domain }),
        }
    }

    /// Replaces the whole state: entries that are missing from `changes` are
    /// removed, or lapse during an outage.
    pub fn replace(
        &mut self,
        changes: Vec<StateChange>,
        source: StateSource,
        now: Duration,
    ) -> Vec<StateEvent> {
        let mut missing: IndexSet<SmolStr> = self.targets.keys().cloned().collect();
        let mut ended_evacuations = self.evacuated_domains.clone();
        for change in &changes {
            match change {
                StateChange::Target(record) => {
                    missing.shift_remove(&record.id);
                }
                StateChange::DomainOut(domain) => {
                    ended_evacuations.shift_remove(domain);
                }
                StateChange::Config(_)
                | StateChange::TargetGone(_)
                | StateChange::TargetRemoved(_)
                | StateChange::DomainIn(_) => {}
            }
        }
        let gone = missing.into_iter().map(StateChange::TargetGone);
        let reinstated = ended_evacuations.into_iter().map(StateChange::DomainIn);
        let all = changes.into_iter().chain(gone).chain(reinstated);
        all.filter_map(|change| self.apply(change, source, now))
            .collect()
    }

    /// Removes the lapsed targets that did not register again in time.
    pub fn expire(&mut self, now: Duration) -> Vec<StateEvent> {
        let mut gone = Vec::new();
        let mut addresses = Vec::new();
        self.targets.retain(|id, entry| {
            let lapsed = entry
                .removal_due
                .is_some_and(|removal_due| removal_due <= now);
            if lapsed {
                gone.push(StateEvent::TargetGone { id: id.clone() });
                addresses.push(entry.record.address);
            }
            !lapsed
        });
        for address in addresses {
            self.update_latest_incarnation(address);
        }
        if matches!(self.health, StoreHealth::Recovered(at) if at + LAPSE_GRACE <= now) {
            self.health = StoreHealth::Reachable;
        }
        gone
    }

    /// Returns the next time at which [`StateTable::expire`] removes a target.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.targets
            .values()
            .filter_map(|entry| entry.removal_due)
            .min()
    }

    fn apply_config(&mut self, config: Arc<MeshConfig>) -> StateEvent {
        let version = config.version();
        let newer = self
            .config
            .as_ref()
            .is_none_or(|known| known.version() < version);
        if !newer {
            return StateEvent::ConfigIgnored { version };
        }
        self.config = Some(config);
        StateEvent::ConfigInForce { version }
    }

    /// Returns the target's last word, as the change that holds in place of this one, if
    /// the target has said it later, or was removed lately after it had. The order in which
    /// the store has done the writes is not the order in which they were sent.
    pub fn later_word(&self, change: &StateChange) -> Option<StateChange> {
        let StateChange::Target(record) = change else {
            return None;
        };
        let (known, word) = match self.target(&record.id) {
            Some(known) => (known, StateChange::Target(known.clone())),
            None => {
                let removed = self.removed.get(&record.id)?;
                (removed, StateChange::TargetRemoved(record.id.clone()))
            }
        };
        record.is_older_word_than(known).then_some(word)
    }

    fn apply_target(&mut self, record: TargetRecord) -> Option<StateEvent> {
        let id = record.id.clone();
        self.removed.shift_remove(&id);
        let draining = record.draining;
        let address = record.address;
        let known = self.targets.insert(
            id.clone(),
            TargetEntry {
                record,
                removal_due: None,
            },
        );
        self.update_latest_incarnation(address);
        let before = known.map(|entry| {
            if entry.record.address != address {
                self.update_latest_incarnation(entry.record.address);
            }
            entry.record.draining
        });
        match (before, draining) {
            (Some(true), true) | (Some(false), false) => None,
            (_, true) => Some(StateEvent::TargetDraining { id }),
            (_, false) => Some(StateEvent::TargetReady { id }),
        }
    }

    fn apply_missing(
        &mut self,
        id: SmolStr,
        source: StateSource,
        now: Duration,
    ) -> Option<StateEvent> {
        let entry = self.targets.get_mut(&id)?;
        let keep_until = match self.health {
            _ if source == StateSource::Peer => None,
            StoreHealth::Reachable => None,
            // The grace period starts once the store is reachable again; until
            // then, entries of running targets may lapse.
            StoreHealth::Unreachable => Some(Duration::MAX),
            StoreHealth::Recovered(at) => Some(at + LAPSE_GRACE).filter(|until| *until > now),
        };
        match keep_until {
            Some(until) if !entry.record.draining => {
                // A repeated removal does not extend the grace period.
                if entry.removal_due.is_some() {
                    return None;
                }
                entry.removal_due = Some(until);
                Some(StateEvent::TargetLapsed { id })
            }
            _ => self.remove(id),
        }
    }

    fn remove(&mut self, id: SmolStr) -> Option<StateEvent> {
        let entry = self.targets.shift_remove(&id)?;
        self.update_latest_incarnation(entry.record.address);
        self.removed.insert(id.clone(), entry.record);
        if self.removed.len() > MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
        Some(StateEvent::TargetGone { id })
    }

    fn update_latest_incarnation(&mut self, address: SocketAddr) {
        let at_address = self
            .targets()
            .filter(|target| target.address == address)
            .filter_map(|target| target.incarnation);
        match at_address.max() {
            Some(latest) => {
                self.latest_incarnations.insert(address, latest);
            }
            None => {
                self.latest_incarnations.swap_remove(&address);
            }
        }
    }
}
