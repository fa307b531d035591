//! The state machine that owns a daemon's control state.
//!
//! Events are handled one at a time, each with the daemon's clock time. All
//! randomness comes from one generator with a given seed, so that runs can be
//! repeated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_config::FleetModel;
use radishgauge_config::PartDigest;
use radishgauge_config::model::RouteModel;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::VersionHead;
use radishgauge_schema::peer::peer_request::Request;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use smol_str::SmolStr;

use crate::accept::AcceptRule;
use crate::event::ControlAction;
use crate::event::ControlEvent;
use crate::event::PeerFailure;
use crate::event::PeerKey;
use crate::event::PlatformKey;
use crate::event::RequestId;
use crate::exchange::ExchangeTimer;
use crate::fleet_state::FleetState;
use crate::fleet_state::RoleSet;
use crate::fleet_state::ServiceScope;
use crate::freshness::PauseDetector;
use crate::host_table::HostTable;
use crate::hosts::HostLists;
use crate::ledger::VersionLedger;
use crate::log::ControlLog;
use crate::notice;
use crate::notice::RecentNotices;
use crate::parts::PartStore;
use crate::peer_fetch::PeerFetch;
use crate::peers::PeerTable;
use crate::platform::CallBudget;
use crate::platform::ReadPlan;
use crate::platform_fetch::PlatformFetch;
use crate::policy::ControlPolicy;
use crate::sessions::Sessions;
use crate::startup::StartupProgress;
use crate::transfer::TransferAdmission;
use crate::view::DeltaHistory;
use crate::view::IndexView;

/// The time between ticks. Timers run for hundreds of milliseconds or more, so
/// this resolution suffices, and the cost of four wake-ups a second is
/// negligible.
pub const TICK: Duration = Duration::from_millis(250);

/// The timeout of a request, after which the peer counts as unreachable.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The identity and settings of a daemon.
#[derive(Clone)]
pub struct ControlConfig {
    /// The name of the host that the daemon runs on.
    pub host: SmolStr,
    /// The region of the host.
    pub region: SmolStr,
    /// The failure domain of the host.
    pub domain: SmolStr,
    /// The address at which peers connect to this daemon.
    pub address: SocketAddr,
    /// The start time of this process in ms.
    pub incarnation: u64,
    /// The peer addresses to connect to while there is no host list.
    pub seeds: Vec<SocketAddr>,
    /// Timings and limits of the control protocol.
    pub policy: ControlPolicy,
    /// Validates versions before they come into force.
    pub rule: Arc<dyn AcceptRule>,
}

/// The purpose of a request to a peer, which selects the handler of its reply.
#[derive(Debug, Clone)]
pub(crate) enum RequestPurpose {
    Head,
    Hosts,
    PeerFetch,
    LocalServices,
    Notice,
}

impl RequestPurpose {
    /// The time within which the peer must reply.
    fn timeout(&self) -> Duration {
        match self {
            RequestPurpose::Notice => notice::CONFIRM_TIMEOUT,
            RequestPurpose::Head
            | RequestPurpose::Hosts
            | RequestPurpose::PeerFetch
            | RequestPurpose::LocalServices => REQUEST_TIMEOUT,
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct PendingRequest {
    pub(crate) peer: PeerKey,
    pub(crate) deadline: Duration,
    pub(crate) purpose: RequestPurpose,
}

/// The fetch in progress: one version at a time, from peers or the platform.
#[derive(Debug, Clone)]
pub(crate) enum FetchState {
    Idle,
    PeerFetch(PeerFetch),
    PlatformFetch(PlatformFetch),
}

/// The control state of one daemon, driven by [`ControlEvent`]s.
pub struct ControlMachine {
    pub(crate) config: ControlConfig,
    pub(crate) rng: Pcg32,
    pub(crate) now: Duration,
    pub(crate) due: Duration,
    pub(crate) ledger: VersionLedger,
    pub(crate) view: IndexView,
    pub(crate) history: DeltaHistory,
    pub(crate) parts: PartStore,
    // The digests and keys of the parts to fetch.
    pub(crate) missing_parts: IndexMap<PartDigest, SmolStr>,
    pub(crate) scope: ServiceScope,
    // Whether to fetch all parts without being a relay. The rule validates only
    // complete versions, so a member without a peer that validated the version
    // needs all of them until it has done so itself.
    pub(crate) fetch_all: bool,
    pub(crate) fetch: FetchState,
    pub(crate) peers: PeerTable,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    pub(crate) lists: HostLists,
    pub(crate) host_table: HostTable,
    pub(crate) sessions: Sessions,
    pub(crate) notices: RecentNotices,
    pub(crate) roles: RoleSet,
    pub(crate) plan: ReadPlan,
    pub(crate) budget: CallBudget,
    pub(crate) pending_reads: BTreeMap<RequestId, (PlatformKey, Duration)>,
    pub(crate) lists_at: Option<Duration>,
    pub(crate) startup: Option<StartupProgress>,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) exchange: Option<ExchangeTimer>,
    pub(crate) transfers: TransferAdmission,
    pub(crate) model: Arc<FleetModel>,
    pub(crate) unloaded: Arc<IndexMap<SmolStr, RouteModel>>,
    pub(crate) model_scope: BTreeSet<SmolStr>,
    pub(crate) foreign_hosts: HashSet<SmolStr>,
    pub(crate) local_services_at: Option<Duration>,
    pub(crate) prune_at: Duration,
    pub(crate) foreign_list_at: Duration,
    pub(crate) roles_dirty: bool,
    pub(crate) fleet_state_dirty: bool,
    pub(crate) leaving: bool,
    next_id: u64,
    pub(crate) actions: Vec<ControlAction>,
}

impl ControlMachine {
    /// Creates a machine without a version; its timers start with the first event.
    ///
    /// `seed` initializes the random number generator.
    pub fn new(config: ControlConfig, seed: u64) -> ControlMachine {
        ControlMachine {
            rng: Pcg32::seed_from_u64(seed),
            now: Duration::ZERO,
            due: Duration::ZERO,
            ledger: VersionLedger::default(),
            view: IndexView::default(),
            history: DeltaHistory::default(),
            parts: PartStore::default(),
            missing_parts: IndexMap::new(),
            scope: ServiceScope::new(config.host.clone()),
            fetch_all: false,
            fetch: FetchState::Idle,
            peers: PeerTable::default(),
            pending: BTreeMap::new(),
            lists: HostLists::default(),
            host_table: HostTable::default(),
            sessions: Sessions::default(),
            notices: RecentNotices::default(),
            roles: RoleSet::default(),
            plan: ReadPlan::default(),
            budget: CallBudget::default(),
            pending_reads: BTreeMap::new(),
            lists_at: None,
            startup: None,
            pause_detector: PauseDetector::new(config.policy.stale_after),
            exchange: None,
            transfers: TransferAdmission::new(config.policy.transfers),
            model: Arc::default(),
            unloaded: Arc::default(),
            model_scope: BTreeSet::new(),
            foreign_hosts: HashSet::new(),
            local_services_at: None,
            prune_at: Duration::ZERO,
            foreign_list_at: Duration::ZERO,
            roles_dirty: false,
            fleet_state_dirty: false,
            leaving: false,
            next_id: 0,
            actions: Vec::new(),
            config,
        }
    }

    /// Handles one event and returns the actions to execute, in order.
    ///
    /// `now` is the time since the start of the process. An earlier time than
    /// that of the previous event counts as the time of that event.
    pub fn handle(&mut self, event: ControlEvent, now: Duration) -> Vec<ControlAction> {
        self.now = self.now.max(now);
        if self.startup.is_none() {
            self.initialize();
        } else if let Some(late) = self.pause_detector.observe(self.due, self.now) {
            self.resume_after_pause(late);
        }
        match event {
            ControlEvent::Tick => self.tick(),
            ControlEvent::PlatformValue { id, result } => self.platform_value(id, result),
            ControlEvent::PeerUp { peer, hello, link } => self.peer_up(peer, &hello, link),
            ControlEvent::PeerDown { peer } => self.peer_down(peer),
            ControlEvent::DialFailed { address } => self.dial_failed(address),
            ControlEvent::Request { peer, id, request } => self.request(peer, id, request),
            ControlEvent::Reply { id, result } => self.reply(id, result),
            ControlEvent::ServiceRequested { service } => self.service_requested(service),
            ControlEvent::RevisionSeen { host, revision } => self.revision_seen(&host, revision),
            ControlEvent::Stop => self.stop(),
        }
        self.publish_if_due();
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which the next [`ControlEvent::Tick`] is due.
    pub fn next_tick(&self) -> Duration {
        self.pause_detector
            .deadline()
            .map_or(self.due, |at| at.min(self.due))
    }

    /// Returns the version ledger, for status pages.
    pub fn ledger(&self) -> &VersionLedger {
        &self.ledger
    }

    /// Returns the roles that this daemon has according to its own view of the
    /// fleet.
    pub fn roles(&self) -> RoleSet {
        self.roles
    }

    /// Returns the index of the version in force or, during a fetch, of the
    /// version being fetched.
    pub fn view(&self) -> &IndexView {
        &self.view
    }

    /// Returns the stored parts.
    pub fn parts(&self) -> &PartStore {
        &self.parts
    }

    /// Returns the scope of this daemon.
    pub fn scope(&self) -> &ServiceScope {
        &self.scope
    }

    /// Returns whether parts that this daemon needs are missing.
    pub fn fetching(&self) -> bool {
        !self.missing_parts.is_empty()
    }

    /// Returns the number of open sessions.
    pub fn session_count(&self) -> usize {
        self.peers.len()
    }

    fn initialize(&mut self) {
        let policy = &self.config.policy;
        let seed = self.config.seeds.contains(&self.config.address);
        self.startup = Some(StartupProgress::new(self.now, policy.alone_after, seed));
        let timer = ExchangeTimer::new(policy.exchange_interval, self.now, &mut self.rng);
        self.exchange = Some(timer);
        self.due = self.now + TICK;
        self.maintain_sessions();
    }

    // Replies could not be handled during the pause, so deadlines are extended
    // by its length.
    fn resume_after_pause(&mut self, late: Duration) {
        for pending in self.pending.values_mut() {
            pending.deadline += late;
        }
        self.due = self.now + TICK;
        self.log(ControlLog::PausedFor {
            late_ms: late.as_millis() as u64,
        });
        self.fleet_state_dirty = true;
        if let Some(peer) = self.random_peer() {
            self.request_head(peer);
        }
    }

    fn random_peer(&mut self) -> Option<PeerKey> {
        if self.peers.is_empty() {
            return None;
        }
        let position = self.rng.random_range(0..self.peers.len());
        self.peers.at(position)
    }

    // Requests a newer revision at once instead of at the next exchange.
    fn revision_seen(&mut self, host: &str, revision: u64) {
        if revision <= self.ledger.revision() {
            return;
        }
        if let Some(peer) = self.peers.by_host(host).or_else(|| self.random_peer()) {
            self.request_head(peer);
        }
    }

    fn tick(&mut self) {
        self.due = self.now + TICK;
        if self.pause_detector.expire(self.now) {
            self.fleet_state_dirty = true;
            self.log(ControlLog::Isolated);
        }
        self.expire_pending();
        self.fleet_state_dirty |= self.host_table.finish_warm_up(self.now);
        if self.scope.expire(self.now) && self.scope.refresh() {
            self.recompute_missing_parts();
            self.rebuild_model();
        }
        if std::mem::take(&mut self.roles_dirty) {
            self.compute_roles();
        }
        self.maintain_sessions();
        if let Some(timer) = &mut self.exchange
            && let Some(peer) = timer.due(&self.peers, self.now, &mut self.rng)
        {
            self.request_head(peer);
            self.request_reader_head(peer);
        }
        self.request_local_services();
        self.prune_hosts();
        let now = self.now;
        self.pending_reads.retain(|_, (_, until)| *until > now);
        self.follow_platform();
        self.advance();
    }

    /// Continues the fetch in progress, or starts the next one.
    pub(crate) fn advance(&mut self) {
        match self.fetch {
            FetchState::Idle => {
                self.try_peer_fetch();
                self.try_platform_fetch();
                self.try_fetch_missing();
            }
            FetchState::PeerFetch(_) => self.advance_peer_fetch(),
            FetchState::PlatformFetch(_) => self.advance_platform_fetch(),
        }
    }

    fn expire_pending(&mut self) {
        let now = self.now;
        let late: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.reply(id, Err(PeerFailure::Silent));
        }
    }

    pub(crate) fn id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    pub(crate) fn log(&mut self, log: ControlLog) {
        self.actions.push(ControlAction::Log(log));
    }

    pub(crate) fn send(
        &mut self,
        peer: PeerKey,
        purpose: RequestPurpose,
        request: Request,
    ) -> RequestId {
        let id = self.id();
        let deadline = self.now + purpose.timeout();
        self.pending.insert(
            id,
            PendingRequest {
                peer,
                deadline,
                purpose,
            },
        );
        if let Some(info) = self.peers.get_mut(peer) {
            info.last_used = self.now;
        }
        let request = PeerRequest {
            request: Some(request),
        };
        self.actions.push(ControlAction::Send { peer, id, request });
        id
    }

    pub(crate) fn request_head(&mut self, peer: PeerKey) {
        self.send_head(peer, self.head());
    }

    /// Sends the head without the host list revisions: a push goes to every peer,
    /// and the revisions double its length. The periodic exchange has them.
    pub(crate) fn push_head(&mut self, peer: PeerKey) {
        let head = VersionHead {
            hosts: Vec::new(),
            ..self.head()
        };
        self.send_head(peer, head);
    }

    fn send_head(&mut self, peer: PeerKey, head: VersionHead) {
        if let Some(info) = self.peers.get_mut(peer) {
            info.revision = info.revision.max(head.revision);
        }
        self.send(peer, RequestPurpose::Head, Request::Head(head));
    }

    /// Reads a platform value if the call budget permits it.
    pub(crate) fn read_platform(&mut self, key: PlatformKey) -> Option<RequestId> {
        if !self.budget.take(self.now) {
            return None;
        }
        let id = self.id();
        self.actions.push(ControlAction::ReadPlatform { id, key });
        Some(id)
    }

    /// Returns the head that this daemon sends to peers: the version in force, the
    /// newest refusal, and the revisions of its host lists.
    pub fn head(&self) -> VersionHead {
        let refusal = self.ledger.refusal();
        let version = self.ledger.version();
        VersionHead {
            revision: self.ledger.revision(),
            root: version
                .map(|version| bytes::Bytes::copy_from_slice(version.root.as_bytes()))
                .unwrap_or_default(),
            accepted: version.is_some(),
            reasons: Vec::new(),
            refused_revision: refusal.revision,
            refused_reasons: refusal.reasons.clone(),
            hosts: self.lists.revisions(),
        }
    }

    fn reply(&mut self, id: RequestId, result: Result<PeerReply, PeerFailure>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let reply = match result {
            Ok(reply) => reply.reply,
            Err(failure) => {
                self.request_failed(pending, failure);
                return;
            }
        };
        if self.peers.get(pending.peer).is_none() {
            return;
        }
        if self.pause_detector.answered() {
            self.fleet_state_dirty = true;
            self.log(ControlLog::FreshnessConfirmed);
        }
        self.dispatch_reply(pending, reply);
    }

    fn publish_if_due(&mut self) {
        if !std::mem::take(&mut self.fleet_state_dirty) {
            return;
        }
        if let Some(fleet_state) = self.fleet_state() {
            self.actions
                .push(ControlAction::Publish(Arc::new(fleet_state)));
        }
    }

    /// Returns the current fleet state for the request path, or `None` if no
    /// version is in force.
    pub fn fleet_state(&self) -> Option<FleetState> {
        let record = self.ledger.record()?;
        let hosts = self
            .model
            .services
            .values()
            .flat_map(|service| service.targets.keys())
            .map(|host| (host.clone(), self.host_table.host_status(host)))
            .collect();
        let domain = self.model.domains.get(&self.config.domain);
        Some(FleetState {
            model: self.model.clone(),
            unloaded: self.unloaded.clone(),
            revision: record.version.revision,
            root: record.version.root,
            source: record.source.clone(),
            unconfirmed: record.unconfirmed,
            hosts: Arc::new(hosts),
            domain_state: domain.map_or(radishgauge_config::model::DomainState::In, |domain| {
                domain.state
            }),
            roles: self.roles,
            freshness: self.pause_detector.state(),
            leaving: self.leaving,
        })
    }
}
