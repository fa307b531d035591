//! What the parts of one daemon share.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use radishgauge_events::events;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::MeshRoute;
use radishgauge_mesh::RetryBudget;
use radishgauge_mesh::StateTable;
use radishgauge_mesh::TargetPlacer;
use radishgauge_mesh::TargetRecord;
use radishgauge_mesh::body_admission::BodyAdmission;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::TargetDistance;
use radishgauge_mesh::reader::ReaderRanking;
use radishgauge_mesh::reader::ReaderRole;
use radishgauge_mesh::state_table::StateEvent;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_net::clock::ProcessClock;
use radishgauge_platform::HostSettings;
use radishgauge_platform::StoreItem;
use radishgauge_platform::StoreView;
use radishgauge_platform::view::ViewChanges;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::metrics::SidecarMetrics;
use crate::owner::TargetOwner;
use crate::peers::PeerClients;
use crate::record::RequestRecord;

/// The state of the platform as this daemon knows it.
#[derive(Default)]
pub struct KnownState {
    /// The raw items.
    pub view: StoreView,
    /// What they mean.
    pub book: StateTable,
}

/// What the parts of one daemon share.
pub struct SidecarNode {
    settings: ArcSwap<HostSettings>,
    /// The process clock.
    pub clock: Arc<dyn ProcessClock>,
    /// The target of this host.
    pub owner: Arc<TargetOwner>,
    /// The other daemons.
    pub peers: PeerClients,
    /// The log of decisions on requests.
    pub record: RequestRecord,
    /// Counters and latencies.
    pub metrics: SidecarMetrics,
    /// Wakes the exchange of state with peers.
    pub behind: Notify,
    known: Mutex<KnownState>,
    placer: Mutex<TargetPlacer>,
    budget: Mutex<RetryBudget>,
    /// The greatest revision that a peer told, and who.
    heard: Mutex<Option<(u64, SocketAddr)>>,
    revision: watch::Sender<u64>,
    /// Counts the changes of the state and of whether the store can be read.
    changes: watch::Sender<u64>,
    /// Whether requests under way are to be answered now, before the process
    /// ends.
    cut: watch::Sender<bool>,
    ranking: Mutex<ReaderRanking>,
    intake: Mutex<BodyAdmission>,
    stopping: AtomicBool,
}

impl SidecarNode {
    /// Returns the shared parts of a daemon that knows no state yet.
    pub fn new(
        settings: HostSettings,
        clock: Arc<dyn ProcessClock>,
        owner: Arc<TargetOwner>,
        seed: u64,
    ) -> SidecarNode {
        SidecarNode {
            peers: PeerClients::new(settings.peer_address.port()),
            budget: Mutex::new(RetryBudget::new(settings.retry_limits)),
            settings: ArcSwap::from_pointee(settings),
            clock,
            owner,
            record: RequestRecord::default(),
            metrics: SidecarMetrics::default(),
            behind: Notify::new(),
            known: Mutex::default(),
            placer: Mutex::new(TargetPlacer::new(seed)),
            heard: Mutex::default(),
            revision: watch::Sender::new(0),
            changes: watch::Sender::new(0),
            cut: watch::Sender::new(false),
            ranking: Mutex::default(),
            intake: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Returns the host's settings.
    pub fn settings(&self) -> Arc<HostSettings> {
        self.settings.load_full()
    }

    /// Takes over changed settings. The addresses on which this daemon listens
    /// stay as they were at its start.
    pub fn reload(&self, settings: HostSettings) {
        let before = self.settings();
        let now = self.now();
        if before.target_address != settings.target_address {
            self.owner.set_target(settings.target_address);
        }
        self.budget().configure(settings.retry_limits);
        self.settings.store(Arc::new(settings));
        let known = self.known();
        self.owner.refresh(&self.settings(), &known.book, now);
    }

    /// Returns the time of the process clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the store's revision up to which the state is known; 0 for none.
    pub fn revision(&self) -> u64 {
        *self.revision.borrow()
    }

    /// Waits until the known revision is greater than one, the state or the
    /// store's health changes, or the time is over. Who follows this daemon has
    /// to learn at once that the store cannot be read.
    pub async fn wait_change(&self, after: u64, time: Duration) {
        let mut changes = self.changes.subscribe();
        if self.revision() <= after && !self.is_stopping() {
            // The sender lives in `self`; only the time can end the wait early.
            let _ = tokio::time::timeout(time, changes.changed()).await;
        }
    }

    /// Records that the store cannot be read.
    pub fn lose_store(&self) {
        self.known().book.mark_store_unreachable();
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records that the store can be read again.
    pub fn regain_store(&self) {
        let now = self.now();
        self.known().book.mark_store_reachable(now);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Has all requests under way answered now.
    pub fn cut_requests(&self) {
        self.cut.send_replace(true);
    }

    /// Waits until requests under way are to be answered.
    pub async fn wait_cut(&self) {
        // The sender lives in `self`, so the wait cannot fail.
        let _ = self.cut.subscribe().wait_for(|cut| *cut).await;
    }

    /// Locks the ranking of readers; never held across I/O.
    pub fn ranking(&self) -> MutexGuard<'_, ReaderRanking> {
        lock(&self.ranking)
    }

    /// Returns what this daemon does to follow the store.
    pub fn role(&self) -> ReaderRole {
        let settings = self.settings();
        let hosts: Vec<IpAddr> = {
            let known = self.known();
            let targets = known.book.targets();
            targets
                .filter(|target| target.failure_domain == settings.failure_domain)
                .map(|target| target.address.ip())
                .collect()
        };
        let mut ranking = self.ranking();
        ranking.retain(|host| hosts.contains(&host));
        ranking.role(
            settings.peer_address.ip(),
            &settings.failure_domain,
            &hosts,
            self.now(),
        )
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<MeshConfig>> {
        self.known().book.config().cloned()
    }

    /// Whether the daemon has begun to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Records that the daemon has begun to stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        // Who follows this daemon goes on to another one.
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether callers may send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.known().book.config().is_some()
    }

    /// Locks the known state; never held across I/O.
    pub fn known(&self) -> MutexGuard<'_, KnownState> {
        lock(&self.known)
    }

    /// Locks the placer; never held across I/O.
    pub fn placer(&self) -> MutexGuard<'_, TargetPlacer> {
        lock(&self.placer)
    }

    /// Locks the intake of long bodies; never held across I/O.
    pub fn intake(&self) -> MutexGuard<'_, BodyAdmission> {
        lock(&self.intake)
    }

    /// Locks the repeat budget; never held across I/O.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Takes over a whole state.
    pub fn replace_state(&self, items: Vec<StoreItem>, revision: u64, source: StateSource) {
        let now = self.now();
        let mut known = self.known();
        let changes = known.view.replace(items, revision);
        let beliefs = known.book.replace(changes.changes, source, now);
        self.conclude(&mut known, &changes.faults, beliefs, source, now);
    }

    /// Takes over changes after the known revision.
    pub fn update_state(&self, items: Vec<StoreItem>, revision: u64, source: StateSource) {
        let now = self.now();
        let mut known = self.known();
        let ViewChanges { changes, faults } = known.view.update(items, revision);
        let book = &mut known.book;
        let mut beliefs: Vec<StateEvent> = changes
            .into_iter()
            .filter_map(|change| book.apply(change, source, now))
            .collect();
        if source == StateSource::Peer {
            book.drop_lapsed(now);
            beliefs.extend(book.expire(now));
        }
        self.conclude(&mut known, &faults, beliefs, source, now);
    }

    /// Returns when [`SidecarNode::expire_targets`] has something to do next.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.known().book.next_expiry()
    }

    /// Drops the targets whose entries did not come back after an outage.
    pub fn expire_targets(&self) {
        let now = self.now();
        let mut known = self.known();
        let beliefs = known.book.expire(now);
        if !beliefs.is_empty() {
            self.conclude(&mut known, &[], beliefs, StateSource::Store, now);
        }
    }

    fn conclude(
        &self,
        known: &mut KnownState,
        faults: &[radishgauge_platform::items::ItemFault],
        beliefs: Vec<StateEvent>,
        source: StateSource,
        now: Duration,
    ) {
        let revision = known.view.revision();
        self.revision.send_replace(revision);
        self.changes.send_modify(|count| *count += 1);
        for fault in faults {
            events::ITEM_UNREADABLE.emit(format_args!("item={fault}"));
        }
        for belief in &beliefs {
            if matches!(belief, StateEvent::ConfigIgnored { .. }) {
                continue;
            }
            events::PLATFORM_STATE_CHANGED.emit(format_args!(
                "change={belief:?} source={source:?} revision={revision}"
            ));
        }
        let book = &known.book;
        self.placer().retain(|id| book.target(id).is_some());
        self.owner.refresh(&self.settings(), book, now);
    }

    /// Records a revision that a peer knows.
    pub fn hear_revision(&self, peer: SocketAddr, revision: u64) {
        self.ranking().mark_reachable(peer.ip());
        if revision <= self.revision() {
            return;
        }
        let mut heard = lock(&self.heard);
        // The last of several who know as much: the first one may not answer.
        if heard.is_none_or(|(greatest, _)| greatest <= revision) {
            *heard = Some((revision, peer));
        }
        self.behind.notify_one();
    }

    /// Returns a peer that knows more than this daemon.
    pub fn ahead(&self) -> Option<SocketAddr> {
        let heard = *lock(&self.heard);
        heard
            .filter(|(revision, _)| *revision > self.revision())
            .map(|(_, peer)| peer)
    }

    /// Returns the targets that may get a request of the route for the service.
    pub fn candidates(&self, route: &MeshRoute, service: &str) -> Vec<Candidate> {
        let settings = self.settings();
        let known = self.known();
        let book = &known.book;
        book.targets()
            .filter(|target| target.service == service && !target.draining)
            .filter(|target| !book.is_evacuated(&target.failure_domain))
            .filter_map(|target| self.candidate(target, &settings))
            .filter(|candidate| route.allows_region(&candidate.region))
            .collect()
    }

    fn candidate(&self, target: &TargetRecord, settings: &HostSettings) -> Option<Candidate> {
        let region = settings.domain_regions.get(&target.failure_domain)?.clone();
        let distance = if target.address == settings.target_address {
            TargetDistance::SameHost
        } else if target.failure_domain == settings.failure_domain {
            TargetDistance::SameDomain
        } else if region == settings.region {
            TargetDistance::SameRegion
        } else {
            TargetDistance::OtherRegion
        };
        Some(Candidate {
            place: PlaceCandidate {
                id: target.id.clone(),
                distance,
                capacity: target.capacity,
            },
            region,
            peer: self.peers.address_of(target.address),
        })
    }

    /// Returns the addresses of the other daemons, those of the own failure
    /// domain first.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let settings = self.settings();
        let known = self.known();
        let mut peers: Vec<(bool, SocketAddr)> = known
            .book
            .targets()
            .map(|target| {
                let far = target.failure_domain != settings.failure_domain;
                (far, self.peers.address_of(target.address))
            })
            .filter(|(_, peer)| peer.ip() != settings.peer_address.ip())
            .collect();
        peers.sort_unstable();
        peers.dedup();
        peers.into_iter().map(|(_, peer)| peer).collect()
    }
}

/// A target that may get a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// What placing needs to know of it.
    pub place: PlaceCandidate,
    /// Its region.
    pub region: SmolStr,
    /// The daemon on its host.
    pub peer: SocketAddr,
}

/// Each step under a lock leaves its state consistent, so a panic elsewhere
/// does no harm.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
