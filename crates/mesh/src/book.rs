//! What a daemon believes of the platform's state.
//!
//! The store's revision orders all states, so of two the one with the greater
//! revision holds, whoever told it. An entry may lapse while the store is away
//! although its target lives; for a short time after the store's return, a
//! missing entry is therefore kept. A daemon that is cut off says that the store
//! is away too, so its word alone does not make an outage: when this daemon then
//! reads the store without a failure, nothing has lapsed.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use smol_str::SmolStr;

use crate::config::MeshConfig;
use crate::target::TargetRecord;

/// How long after the store's return a missing entry may still come back; the
/// platform states two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// One change of the platform's state.
#[derive(Debug, Clone)]
pub enum StateChange {
    /// A configuration version.
    Config(Arc<MeshConfig>),
    /// A target registered, or changed what it says.
    Target(TargetRecord),
    /// A target's entry was removed, or names no target any more.
    TargetGone(SmolStr),
    /// A failure domain was taken out.
    DomainOut(SmolStr),
    /// A failure domain was taken back.
    DomainIn(SmolStr),
}

/// A change of what the daemon believes, for its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeliefChange {
    /// A newer configuration version is in force.
    ConfigInForce {
        /// Its number.
        version: u64,
    },
    /// A version that is not newer was passed over.
    ConfigIgnored {
        /// Its number.
        version: u64,
    },
    /// A target may be used.
    TargetReady {
        /// Its identity.
        id: SmolStr,
    },
    /// A target takes no new work.
    TargetDraining {
        /// Its identity.
        id: SmolStr,
    },
    /// A target's entry is missing since the store was away; it is used for a
    /// short time more.
    TargetLapsed {
        /// Its identity.
        id: SmolStr,
    },
    /// A target is gone.
    TargetGone {
        /// Its identity.
        id: SmolStr,
    },
    /// A failure domain gets no new work.
    DomainOut {
        /// Its name.
        domain: SmolStr,
    },
    /// A failure domain is in use again.
    DomainIn {
        /// Its name.
        domain: SmolStr,
    },
}

#[derive(Debug, Clone)]
struct TargetEntry {
    record: TargetRecord,
    /// When an entry that is missing since an outage is taken for gone.
    lapses: Option<Duration>,
}

/// Who told a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateSource {
    /// The store.
    Store,
    /// A daemon whose own state is settled; what it lacks did not lapse.
    Peer,
}

/// Whether the store can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreHealth {
    /// It can.
    Reachable,
    /// It cannot; entries may lapse.
    Away,
    /// It can again, since this time; entries may still come back.
    Regained(Duration),
}

/// The platform's state as one daemon knows it.
#[derive(Debug)]
pub struct StateBook {
    config: Option<Arc<MeshConfig>>,
    targets: IndexMap<SmolStr, TargetEntry>,
    domains_out: IndexSet<SmolStr>,
    health: StoreHealth,
    /// Whether this daemon itself failed to read the store that is away.
    witnessed: bool,
}

impl Default for StateBook {
    fn default() -> StateBook {
        StateBook {
            config: None,
            targets: IndexMap::new(),
            domains_out: IndexSet::new(),
            health: StoreHealth::Reachable,
            witnessed: false,
        }
    }
}

impl StateBook {
    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<MeshConfig>> {
        self.config.as_ref()
    }

    /// Returns the targets that are known, draining ones included.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values().map(|entry| &entry.record)
    }

    /// Returns what is known of a target.
    pub fn target(&self, id: &str) -> Option<&TargetRecord> {
        self.targets.get(id).map(|entry| &entry.record)
    }

    /// Whether a failure domain was taken out.
    pub fn is_out(&self, domain: &str) -> bool {
        self.domains_out.contains(domain)
    }

    /// Returns the failure domains that were taken out.
    pub fn domains_out(&self) -> impl Iterator<Item = &SmolStr> {
        self.domains_out.iter()
    }

    /// Returns whether the store can be read.
    pub fn health(&self) -> StoreHealth {
        self.health
    }

    /// Takes over what the daemon that this one follows says of the store.
    pub fn follow_health(&mut self, health: StoreHealth, now: Duration) {
        match health {
            StoreHealth::Reachable => self.settle(now),
            StoreHealth::Away => self.health = StoreHealth::Away,
            StoreHealth::Regained(at) => {
                self.lose_store();
                self.regain_store(at);
            }
        }
    }

    /// Whether the store cannot be read.
    pub fn store_away(&self) -> bool {
        self.health == StoreHealth::Away
    }

    /// Records that this daemon cannot read the store.
    pub fn lose_store(&mut self) {
        self.health = StoreHealth::Away;
        self.witnessed = true;
    }

    /// Records that this daemon can read the store again.
    pub fn regain_store(&mut self, now: Duration) {
        if self.health != StoreHealth::Away {
            return;
        }
        if !self.witnessed {
            self.settle(now);
            return;
        }
        self.health = StoreHealth::Regained(now);
        self.witnessed = false;
        self.bound_lapses(now + LAPSE_GRACE);
    }

    /// The store was well: what is missing has not lapsed.
    fn settle(&mut self, now: Duration) {
        self.health = StoreHealth::Reachable;
        self.witnessed = false;
        self.bound_lapses(now);
    }

    /// Lets go what is missing here and in the settled state of a peer.
    pub fn drop_lapsed(&mut self, now: Duration) {
        self.bound_lapses(now);
    }

    fn bound_lapses(&mut self, latest: Duration) {
        for entry in self.targets.values_mut() {
            entry.lapses = entry.lapses.map(|until| until.min(latest));
        }
    }

    /// Whether the state is the store's own: the store can be read, and no
    /// entry is missing because of an outage.
    pub fn is_settled(&self) -> bool {
        self.health == StoreHealth::Reachable
    }

    /// Applies one change.
    pub fn apply(
        &mut self,
        change: StateChange,
        source: StateSource,
        now: Duration,
    ) -> Option<BeliefChange> {
        match change {
            StateChange::Config(config) => Some(self.apply_config(config)),
            StateChange::Target(record) => self.apply_target(record),
            StateChange::TargetGone(id) => self.apply_gone(id, source, now),
            StateChange::DomainOut(domain) => self
                .domains_out
                .insert(domain.clone())
                .then_some(BeliefChange::DomainOut { domain }),
            StateChange::DomainIn(domain) => self
                .domains_out
                .shift_remove(&domain)
                .then_some(BeliefChange::DomainIn { domain }),
        }
    }

    /// Applies a whole state: what it lacks is gone.
    pub fn replace(
        &mut self,
        changes: Vec<StateChange>,
        source: StateSource,
        now: Duration,
    ) -> Vec<BeliefChange> {
        let mut missing: IndexSet<SmolStr> = self.targets.keys().cloned().collect();
        let mut domains_in = self.domains_out.clone();
        for change in &changes {
            match change {
                StateChange::Target(record) => {
                    missing.shift_remove(&record.id);
                }
                StateChange::DomainOut(domain) => {
                    domains_in.shift_remove(domain);
                }
                StateChange::Config(_) | StateChange::TargetGone(_) | StateChange::DomainIn(_) => {}
            }
        }
        let gone = missing.into_iter().map(StateChange::TargetGone);
        let back = domains_in.into_iter().map(StateChange::DomainIn);
        let all = changes.into_iter().chain(gone).chain(back);
        all.filter_map(|change| self.apply(change, source, now))
            .collect()
    }

    /// Drops the targets whose entries did not come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<BeliefChange> {
        let mut gone = Vec::new();
        self.targets.retain(|id, entry| {
            let lapsed = entry.lapses.is_some_and(|lapses| lapses <= now);
            if lapsed {
                gone.push(BeliefChange::TargetGone { id: id.clone() });
            }
            !lapsed
        });
        if matches!(self.health, StoreHealth::Regained(at) if at + LAPSE_GRACE <= now) {
            self.health = StoreHealth::Reachable;
        }
        gone
    }

    /// Returns when [`StateBook::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.targets.values().filter_map(|entry| entry.lapses).min()
    }

    fn apply_config(&mut self, config: Arc<MeshConfig>) -> BeliefChange {
        let version = config.version();
        let newer = self
            .config
            .as_ref()
            .is_none_or(|known| known.version() < version);
        if !newer {
            return BeliefChange::ConfigIgnored { version };
        }
        self.config = Some(config);
        BeliefChange::ConfigInForce { version }
    }

    fn apply_target(&mut self, record: TargetRecord) -> Option<BeliefChange> {
        let id = record.id.clone();
        let draining = record.draining;
        let known = self.targets.insert(
            id.clone(),
            TargetEntry {
                record,
                lapses: None,
            },
        );
        let before = known.map(|entry| entry.record.draining);
        match (before, draining) {
            (Some(true), true) | (Some(false), false) => None,
            (_, true) => Some(BeliefChange::TargetDraining { id }),
            (_, false) => Some(BeliefChange::TargetReady { id }),
        }
    }

    fn apply_gone(
        &mut self,
        id: SmolStr,
        source: StateSource,
        now: Duration,
    ) -> Option<BeliefChange> {
        let entry = self.targets.get_mut(&id)?;
        let keep = match self.health {
            _ if source == StateSource::Peer => None,
            StoreHealth::Reachable => None,
            // The time starts when the store is back; until then entries lapse
            // although their targets live.
            StoreHealth::Away => Some(Duration::MAX),
            StoreHealth::Regained(at) => Some(at + LAPSE_GRACE).filter(|until| *until > now),
        };
        match keep {
            Some(until) if !entry.record.draining => {
                // Told again, the first time holds.
                if entry.lapses.is_some() {
                    return None;
                }
                entry.lapses = Some(until);
                Some(BeliefChange::TargetLapsed { id })
            }
            _ => {
                self.targets.shift_remove(&id);
                Some(BeliefChange::TargetGone { id })
            }
        }
    }
}
