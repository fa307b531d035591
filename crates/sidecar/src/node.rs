//! The state that the tasks of one daemon share.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use indexmap::IndexSet;
use radishgauge_events::events;
use radishgauge_mesh::FleetAge;
use radishgauge_mesh::LeavingTargets;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::MisplacedTargets;
use radishgauge_mesh::RetryBudget;
use radishgauge_mesh::ServiceShares;
use radishgauge_mesh::StateFreshness;
use radishgauge_mesh::StatePosition;
use radishgauge_mesh::StopPlan;
use radishgauge_mesh::TargetPlacer;
use radishgauge_mesh::body_admission::BodyAdmission;
use radishgauge_mesh::freshness::FreshnessChange;
use radishgauge_mesh::link_load::LinkLoad;
use radishgauge_mesh::reader::ReaderRanking;
use radishgauge_mesh::reader::ReaderRole;
use radishgauge_net::clock::ProcessClock;
use radishgauge_platform::HostSettings;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReport;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::answer::TargetOutcome;
use crate::answer_lease;
use crate::answer_lease::OwnedAnswers;
use crate::hop;
use crate::known_state::KnownState;
use crate::metrics::SidecarMetrics;
use crate::owner::TargetOwner;
use crate::peers::PeerClients;
use crate::quota_state::QuotaState;
use crate::request_log::RequestLog;
use crate::reservation::SlotReservations;
use crate::suspect_exchange;
use crate::waiting_lines::WaitingLines;

/// The state that the tasks of one daemon share.
pub struct SidecarNode {
    settings: ArcSwap<HostSettings>,
    /// The clock from which the daemon takes all times.
    pub clock: Arc<dyn ProcessClock>,
    /// The owner of this host's target.
    pub owner: Arc<TargetOwner>,
    /// The clients for other daemons.
    pub peers: PeerClients,
    /// The rate-limited log of decisions on requests.
    pub request_log: RequestLog,
    /// The counters and latency histograms of this daemon.
    pub metrics: SidecarMetrics,
    /// Wakes the state exchange when a peer reports a newer state.
    pub newer_state: Notify,
    /// Wakes the reader of the store when the store's address has changed.
    pub(crate) store_moved: Notify,
    known: Mutex<KnownState>,
    placer: Mutex<TargetPlacer>,
    budget: Mutex<RetryBudget>,
    shares: Mutex<ServiceShares>,
    waiting_lines: Mutex<WaitingLines>,
    /// The greatest position that a peer reported, and the peer.
    newest_report: Mutex<Option<(StatePosition, SocketAddr)>>,
    pub(crate) position: watch::Sender<StatePosition>,
    /// The number of changes of the state and of the store's health so far. The
    /// start of a stop counts as one.
    pub(crate) changes: watch::Sender<u64>,
    /// Whether all pending requests must be answered now, before the process
    /// exits.
    timeout_requested: watch::Sender<bool>,
    ranking: Mutex<ReaderRanking>,
    body_admission: Mutex<BodyAdmission>,
    reservations: Mutex<SlotReservations>,
    link: Mutex<LinkLoad>,
    answers: Mutex<OwnedAnswers>,
    freshness: Mutex<StateFreshness>,
    /// The targets whose owners reported that they leave.
    leaving: Mutex<LeavingTargets>,
    /// The targets that owners do not find at their addresses.
    pub(crate) misplaced: Mutex<MisplacedTargets>,
    /// The peer that was heard last of those with other records of suspected requests.
    suspect_source: Mutex<Option<SocketAddr>>,
    suspects_differ: Notify,
    /// The hosts whose daemons have sent a request to this one.
    pub(crate) contacts: Mutex<IndexSet<IpAddr>>,
    /// The tokens and buckets of tenants; `None` while no tenant has a limit.
    pub(crate) quota_state: Mutex<Option<Box<QuotaState>>>,
    /// The times of the stop; `None` until it begins.
    stop_plan: ArcSwapOption<StopPlan>,
    started: Duration,
    fleet_age: Mutex<FleetAge>,
}

impl SidecarNode {
    /// Returns the shared state of a daemon that knows no platform state yet.
    /// `seed` makes the placement of requests reproducible.
    pub fn new(
        settings: HostSettings,
        clock: Arc<dyn ProcessClock>,
        owner: Arc<TargetOwner>,
        seed: u64,
    ) -> SidecarNode {
        let link = LinkLoad::new(settings.link_rate);
        let started = clock.now();
        let answers = OwnedAnswers::new(settings.link_rate);
        SidecarNode {
            peers: PeerClients::new(
                settings.peer_address.port(),
                Arc::clone(&owner.memory.answers),
            ),
            budget: Mutex::new(RetryBudget::new(settings.retry_limits)),
            settings: ArcSwap::from_pointee(settings),
            clock,
            owner,
            request_log: RequestLog::default(),
            metrics: SidecarMetrics::default(),
            newer_state: Notify::new(),
            store_moved: Notify::new(),
            known: Mutex::default(),
            placer: Mutex::new(TargetPlacer::new(seed)),
            shares: Mutex::default(),
            waiting_lines: Mutex::default(),
            newest_report: Mutex::default(),
            position: watch::Sender::new(StatePosition::UNKNOWN),
            changes: watch::Sender::new(0),
            timeout_requested: watch::Sender::new(false),
            ranking: Mutex::default(),
            body_admission: Mutex::default(),
            reservations: Mutex::default(),
            link: Mutex::new(link),
            answers: Mutex::new(answers),
            freshness: Mutex::default(),
            leaving: Mutex::default(),
            misplaced: Mutex::default(),
            suspect_source: Mutex::default(),
            suspects_differ: Notify::new(),
            contacts: Mutex::default(),
            quota_state: Mutex::default(),
            stop_plan: ArcSwapOption::empty(),
            started,
            fleet_age: Mutex::new(FleetAge::new(started)),
        }
    }

    /// Returns the host's settings.
    pub fn settings(&self) -> Arc<HostSettings> {
        self.settings.load_full()
    }

    /// Applies changed settings, and logs those that take effect at the next start.
    pub fn reload(&self, changed: HostSettings) {
        let before = self.settings();
        let now = self.now();
        let mut settings = HostSettings::clone(&before);
        for setting in settings.apply(changed) {
            events::SETTING_UNAPPLIED.emit(format_args!(
                "field={} in_force={} in_file={}",
                setting.field, setting.in_force, setting.in_file
            ));
        }
        if before.target_address != settings.target_address {
            self.owner.set_target(settings.target_address);
        }
        self.budget().configure(settings.retry_limits);
        self.link().set_capacity(settings.link_rate);
        let is_store_moved = before.store_address != settings.store_address;
        self.answers().link.set_capacity(settings.link_rate);
        self.settings.store(Arc::new(settings));
        if is_store_moved {
            self.store_moved.notify_one();
        }
        let known = self.known();
        self.owner.refresh(&self.settings(), &known.table, now);
    }

    /// Returns the time of the process clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the time since the daemon started.
    pub fn age(&self) -> Duration {
        self.now().saturating_sub(self.started)
    }

    /// Returns how long the fleet has been running, as far as is known.
    pub fn fleet_age(&self) -> Duration {
        lock(&self.fleet_age).get(self.now())
    }

    /// Records that another daemon knows that the fleet has this age. If it had been running
    /// when this daemon started, a process before may have spent retries of this host.
    pub fn record_fleet_age(&self, age: Duration) {
        let had_been_running = lock(&self.fleet_age).record(age, self.now());
        if had_been_running {
            self.budget().record_predecessor(self.started);
        }
    }

    /// Returns the position of the known state.
    pub fn position(&self) -> StatePosition {
        *self.position.borrow()
    }

    /// Waits until the known state is newer than `after`, the state or the store's
    /// health changes, the daemon begins to stop, or `time` has passed. A
    /// change of the store's health ends the wait because daemons that follow
    /// this one must learn at once that the store cannot be read.
    pub async fn wait_change(&self, after: StatePosition, time: Duration) {
        let mut changes = self.changes.subscribe();
        if self.position() <= after && !self.is_stopping() {
            // The sender is owned by `self`, so the channel cannot close during
            // the wait.
            let _ = tokio::time::timeout(time, changes.changed()).await;
        }
    }

    /// Records that the store cannot be read, and wakes waiting followers.
    pub fn mark_store_unreachable(&self) {
        self.known().table.mark_store_unreachable();
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records that the store can be read again, and wakes waiting followers.
    pub fn mark_store_reachable(&self) {
        let now = self.now();
        self.known().table.mark_store_reachable(now);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Makes all pending requests be answered as timed out.
    pub fn time_out_requests(&self) {
        self.timeout_requested.send_replace(true);
    }

    /// Waits until all pending requests must be answered as timed out.
    pub async fn wait_for_time_out(&self) {
        // The sender is owned by `self`, so the wait cannot fail.
        let _ = self
            .timeout_requested
            .subscribe()
            .wait_for(|timeout_requested| *timeout_requested)
            .await;
    }

    /// Locks the ranking of store readers; callers must not keep the lock
    /// across I/O.
    pub fn ranking(&self) -> MutexGuard<'_, ReaderRanking> {
        lock(&self.ranking)
    }

    /// Returns whether this daemon reads the store itself or follows another
    /// daemon.
    pub fn role(&self) -> ReaderRole {
        let settings = self.settings();
        let hosts = self.domain_hosts();
        let mut ranking = self.ranking();
        ranking.retain(|host| hosts.contains(&host));
        ranking.role(
            settings.peer_address.ip(),
            &settings.failure_domain,
            &hosts,
            self.now(),
        )
    }

    /// Records that the known state was the store's state at the time `at`.
    pub fn confirm_state(&self, at: Duration) {
        self.freshness().confirm(at);
    }

    /// Locks the record of when the store last confirmed the known state.
    pub fn freshness(&self) -> MutexGuard<'_, StateFreshness> {
        lock(&self.freshness)
    }

    /// Returns whether the known state may lack a change that has taken effect
    /// elsewhere.
    pub fn may_lack_changes(&self) -> bool {
        let bound = self.settings().apply_bound;
        self.freshness().may_lack_changes(bound, self.now())
    }

    /// Logs the start and the end of a time in which the store does not confirm the
    /// known state.
    pub fn log_freshness(&self) {
        let bound = self.settings().apply_bound;
        let now = self.now();
        let Some(change) = self.freshness().observe(bound, now) else {
            return;
        };
        let role = self.role();
        let revision = self.position();
        match change {
            FreshnessChange::Unconfirmed(age) => events::STATE_UNCONFIRMED.emit(format_args!(
                "age_ms={} role={role:?} revision={revision}",
                age.as_millis()
            )),
            FreshnessChange::Confirmed(after) => events::STATE_CONFIRMED.emit(format_args!(
                "after_ms={} role={role:?} revision={revision}",
                after.as_millis()
            )),
        }
    }

    /// Returns the current configuration, if one is known.
    pub fn config(&self) -> Option<Arc<MeshConfig>> {
        self.known().table.config().cloned()
    }

    /// Whether the daemon has begun to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop_plan.load().is_some()
    }

    /// Waits until the daemon begins to stop.
    pub async fn wait_for_stop(&self) {
        let mut changes = self.changes.subscribe();
        while !self.is_stopping() {
            // The sender is owned by `self`, so the channel cannot close during the
            // wait.
            let _ = changes.changed().await;
        }
    }

    /// Returns whether a request that lasts for `longest` at most can be served
    /// before the daemon stops.
    pub fn accepts(&self, longest: Duration) -> bool {
        let plan = self.stop_plan.load();
        plan.as_ref()
            .is_none_or(|plan| plan.accepts(self.now(), longest))
    }

    /// Records that the daemon has begun to stop.
    pub fn begin_stop(&self, plan: StopPlan) {
        self.stop_plan.store(Some(Arc::new(plan)));
        // Wakes waiting followers, so that they switch to another daemon.
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether the daemon reports that it is ready: it has a configuration, has asked its
    /// target once, and is not stopping.
    pub fn is_ready(&self) -> bool {
        let has_config = self.known().table.config().is_some();
        !self.is_stopping() && has_config && self.owner.knows_target()
    }

    /// Locks the known state; callers must not keep the lock across I/O.
    pub fn known(&self) -> MutexGuard<'_, KnownState> {
        lock(&self.known)
    }

    /// Locks the placer; callers must not keep the lock across I/O.
    pub fn placer(&self) -> MutexGuard<'_, TargetPlacer> {
        lock(&self.placer)
    }

    /// Locks the admission of long bodies; callers must not keep the lock
    /// across I/O.
    pub fn body_admission(&self) -> MutexGuard<'_, BodyAdmission> {
        lock(&self.body_admission)
    }

    /// Locks the reservations; callers must not keep the lock across I/O.
    pub fn reservations(&self) -> MutexGuard<'_, SlotReservations> {
        lock(&self.reservations)
    }

    /// Locks the load of this host's link; callers must not keep the lock across
    /// I/O.
    pub fn link(&self) -> MutexGuard<'_, LinkLoad> {
        lock(&self.link)
    }

    /// Locks the long answers of this host's target; callers must not keep the lock
    /// across I/O.
    pub(crate) fn answers(&self) -> MutexGuard<'_, OwnedAnswers> {
        lock(&self.answers)
    }

    /// Records the bytes of a request from another host, whose body is counted as
    /// received already.
    pub fn record_hop(&self, body_bytes: u64, outcome: &TargetOutcome) {
        let now = self.now();
        match outcome {
            TargetOutcome::Answered(answer) => {
                self.link().record_sent(answer.body.len() as u64, now);
            }
            TargetOutcome::NotRun(_) => {
                self.link().record_refused(body_bytes, now);
                self.metrics.add("refused_body_bytes", body_bytes);
            }
            TargetOutcome::MayHaveRun(_) => {}
        }
    }

    /// Returns a report of the load and state of this host, for the sender of a
    /// request with the head `head`.
    pub fn hop_report(&self, head: &HopHead) -> HopReport {
        let mut report = hop::report_from_load(&self.owner.report());
        report.route_service_us = self
            .owner
            .route_service_time(&head.route)
            .map_or(0, hop::micros);
        report.send_rate = answer_lease::send_rate(self, head);
        report.unoffered_rate = self.link().unoffered_rate(self.now()) as u64;
        let position = self.position();
        report.revision = position.revision;
        report.era = position.era;
        report.leaving = self.owner.is_leaving(&head.target);
        report.suspicion_digest = self.owner.suspects.digest(self.now());
        if let Some(prints) = hop::sent_prints(head) {
            report.suspicions = suspect_exchange::records_of(self, &prints);
        }
        report
    }

    /// Records that the owner of a target knows from the target's own answer that it
    /// leaves.
    pub fn mark_leaving(&self, id: &str) {
        let incarnation = self
            .known()
            .table
            .target(id)
            .and_then(|record| record.incarnation);
        lock(&self.leaving).mark(id, incarnation);
    }

    /// Records that the owner of a target's address finds another target there.
    pub fn record_misplaced(&self, id: &str) {
        if let Some(record) = self.known().table.target(id) {
            lock(&self.misplaced).record(record, self.now());
        }
    }

    /// Locks the targets that said that they leave; callers must not keep the lock
    /// across I/O.
    pub(crate) fn leaving(&self) -> MutexGuard<'_, LeavingTargets> {
        lock(&self.leaving)
    }

    /// Locks the retry budget; callers must not keep the lock across I/O.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Locks the requests that wait for spare capacity; callers must not keep the lock
    /// across I/O.
    pub fn waiting_lines(&self) -> MutexGuard<'_, WaitingLines> {
        lock(&self.waiting_lines)
    }

    /// Locks the counts of served requests by service and kind; callers must not keep the lock
    /// across I/O.
    pub fn shares(&self) -> MutexGuard<'_, ServiceShares> {
        lock(&self.shares)
    }

    /// Records the position of a peer's state, and wakes the state exchange if
    /// it is newer than the state known here.
    pub fn record_peer_position(&self, peer: SocketAddr, position: StatePosition) {
        self.ranking().mark_reachable(peer.ip());
        if position <= self.position() {
            return;
        }
        let mut newest_report = lock(&self.newest_report);
        // Of several peers with the same state, the latest is kept, because an
        // earlier one may not answer.
        if newest_report.is_none_or(|(greatest, _)| greatest <= position) {
            *newest_report = Some((position, peer));
        }
        self.newer_state.notify_one();
    }

    /// Records the digest of a peer's records of suspected requests, and fetches them
    /// if they differ from those known here.
    pub fn record_suspicion_digest(&self, peer: SocketAddr, digest: u64) {
        if digest != 0 && digest != self.owner.suspects.digest(self.now()) {
            *lock(&self.suspect_source) = Some(peer);
            self.suspects_differ.notify_one();
        }
    }

    /// Waits until a peer is known to have other records of suspected requests than
    /// this daemon, and returns the latest such peer.
    pub async fn next_suspect_source(&self) -> SocketAddr {
        loop {
            self.suspects_differ.notified().await;
            if let Some(peer) = lock(&self.suspect_source).take() {
                return peer;
            }
        }
    }

    /// Returns a peer that reported a newer state than the one known here.
    pub fn newer_peer(&self) -> Option<SocketAddr> {
        let newest_report = *lock(&self.newest_report);
        newest_report
            .filter(|(position, _)| *position > self.position())
            .map(|(_, peer)| peer)
    }
}

/// Locks a mutex, ignoring poisoning. Code that holds one of these locks leaves
/// the data consistent at each step, so a panic in another thread does no harm.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
