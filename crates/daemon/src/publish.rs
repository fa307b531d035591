//! The state that the control thread publishes and the traffic threads read.
//!
//! A fleet state and the snapshot built from it are replaced in one step, so a
//! route and its targets always come from the same version. Calls that began
//! with an earlier snapshot use it until they end.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use radishgauge_config::FleetModel;
use radishgauge_config::model::FormerModel;
use radishgauge_control::FleetState;
use radishgauge_control::freshness;
use radishgauge_control::host_table::HostPhase;
use radishgauge_control::host_table::HostStatus;
use radishgauge_traffic::LocalHost;
use radishgauge_traffic::StalenessGuard;
use radishgauge_traffic::TrafficSnapshot;
use radishgauge_traffic::once::OnceLedger;
use radishgauge_traffic::once_owner::OwnerSet;
use radishgauge_traffic::once_owner::OwnerTarget;
use radishgauge_traffic::once_ownership::FormerOwners;
use radishgauge_traffic::once_ownership::OwnerChange;
use radishgauge_traffic::snapshot::HostState;
use radishgauge_traffic::snapshot::HostStates;
use radishgauge_traffic::snapshot::HostView;
use smol_str::SmolStr;
use tokio::sync::watch;

/// A published fleet state and the snapshot built from it.
#[derive(Debug)]
pub struct PublishedVersion {
    /// The fleet state as published by the control thread.
    pub fleet_state: Arc<FleetState>,
    /// The routes, targets and policy that the request path reads.
    pub snapshot: Arc<TrafficSnapshot>,
    /// When the version came into force, on the process clock.
    pub since: Duration,
}

/// The published state that all threads of a daemon share.
pub struct SharedState {
    current: ArcSwapOption<PublishedVersion>,
    changes: watch::Sender<u64>,
    /// Holds or refuses new calls while the version may be stale.
    pub staleness: StalenessGuard,
    /// The records of the idempotency keys that this daemon owns.
    pub ledger: Mutex<OnceLedger>,
}

impl SharedState {
    /// Returns the state of a daemon that has no configuration version yet.
    pub fn new(staleness: StalenessGuard, ledger: OnceLedger) -> SharedState {
        SharedState {
            current: ArcSwapOption::empty(),
            changes: watch::channel(0).0,
            staleness,
            ledger: Mutex::new(ledger),
        }
    }

    /// Returns the version in force; `None` before the first one.
    pub fn current(&self) -> Option<Arc<PublishedVersion>> {
        self.current.load_full()
    }

    /// Returns a receiver that is notified of each publication.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Runs an action on the locked ledger; actions must be short.
    pub fn with_ledger<F, R>(&self, action: F) -> R
    where
        F: FnOnce(&mut OnceLedger) -> R,
    {
        action(&mut self.ledger.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Publishes fleet states; owned by the control thread.
pub struct Publisher {
    state: Arc<SharedState>,
    local: LocalHost,
    publication_count: u64,
}

impl Publisher {
    /// Returns a publisher to `state` for the daemon on the host `local`.
    pub fn new(state: Arc<SharedState>, local: LocalHost) -> Publisher {
        Publisher {
            state,
            local,
            publication_count: 0,
        }
    }

    /// Returns the revision in force; 0 before the first version.
    pub fn revision(&self) -> u64 {
        self.state
            .current()
            .map_or(0, |current| current.fleet_state.revision)
    }

    /// Confirms the published version to the traffic threads, unless its freshness
    /// is still being checked after a pause.
    pub fn confirm(&self, now: Duration) {
        match self
            .state
            .current()
            .map(|current| current.fleet_state.freshness)
        {
            Some(freshness::Freshness::Checking) => {}
            Some(freshness::Freshness::Fresh) => {
                // A neighbour has confirmed the version since the last pause.
                self.state.with_ledger(OnceLedger::config_confirmed);
                self.state.staleness.confirm(now);
            }
            Some(freshness::Freshness::Isolated) | None => self.state.staleness.confirm(now),
        }
    }

    /// Publishes a fleet state; returns whether its revision differs from the
    /// previous one.
    pub fn publish(&mut self, fleet_state: Arc<FleetState>, now: Duration) -> bool {
        let previous = self.state.current();
        let hosts = host_states(&fleet_state);
        let snapshot = match &previous {
            None => TrafficSnapshot::build(
                &fleet_state.model,
                self.local.clone(),
                &hosts,
                fleet_state.revision,
                now,
            ),
            Some(previous) => {
                previous
                    .snapshot
                    .rebuild(&fleet_state.model, &hosts, fleet_state.revision, now)
            }
        };
        let first_of_revision = previous
            .as_ref()
            .is_none_or(|previous| previous.fleet_state.revision != fleet_state.revision);
        let since = match &previous {
            Some(previous) if !first_of_revision => previous.since,
            _ => now,
        };
        if fleet_state.leaving {
            snapshot
                .local_admissions()
                .for_each(|(_, admission)| admission.stop_admitting());
        }
        self.update_owners(&fleet_state, now);
        let snapshot = Arc::new(snapshot);
        let version = PublishedVersion {
            fleet_state,
            snapshot,
            since,
        };
        self.state.current.store(Some(Arc::new(version)));
        self.publication_count += 1;
        self.state.changes.send_replace(self.publication_count);
        first_of_revision
    }

    /// Updates the key owners in the ledger; called before the new version is
    /// visible to calls, which depend on them.
    fn update_owners(&self, fleet_state: &FleetState, now: Duration) {
        self.state.with_ledger(|ledger| {
            ledger.set_repeat_window(fleet_state.model.policy.repeat_window, now);
            for (name, status) in fleet_state.hosts.iter() {
                if status.phase == HostPhase::Gone {
                    ledger.host_gone(name, now);
                } else {
                    ledger.host_listed(name);
                }
            }
            for (name, service) in &fleet_state.model.services {
                if !service.targets.contains_key(&self.local.host) {
                    continue;
                }
                let change = OwnerChange {
                    service: name.clone(),
                    revision: fleet_state.revision,
                    current: owner_set(&fleet_state.model, name),
                    former: service.former.iter().map(former_owners).collect(),
                };
                ledger.ownership_changed(change, now);
            }
        });
    }
}

/// Returns the daemons that can own keys of a service: those of its targets.
///
/// # Panics
///
/// When the model does not contain the service.
pub fn owner_set(model: &FleetModel, service: &SmolStr) -> OwnerSet {
    let service = &model.services[service];
    let targets = service.targets.iter().map(|(host, target)| OwnerTarget {
        host: host.clone(),
        region: model
            .domains
            .get(&target.failure_domain)
            .map(|domain| domain.region.clone())
            .unwrap_or_default(),
    });
    OwnerSet::new(service.owner_epoch, targets)
}

fn former_owners(former: &FormerModel) -> FormerOwners {
    let targets = former.targets.iter().map(|(host, region)| OwnerTarget {
        host: host.clone(),
        region: region.clone(),
    });
    FormerOwners {
        set: OwnerSet::new(former.owner_epoch, targets),
        left_at: former.left_at,
        merged: former.merged,
    }
}

fn host_states(fleet_state: &FleetState) -> HostStates {
    let view = |status: &HostStatus| HostView {
        state: match status.phase {
            HostPhase::Gone => HostState::Gone,
            HostPhase::Leaving => HostState::Leaving,
            _ if status.unreachable => HostState::Unreachable,
            _ => HostState::Live,
        },
        incarnation: status.incarnation,
    };
    fleet_state
        .hosts
        .iter()
        .map(|(name, status)| (name.clone(), view(status)))
        .collect()
}
