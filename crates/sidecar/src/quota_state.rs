//! The quota decisions of one daemon, with the hosts that it knows and the requests that
//! wait for tokens.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use radishgauge_events::events;
use radishgauge_mesh::TenantLimit;
use radishgauge_mesh::quota::DomainShare;
use radishgauge_mesh::quota::EntryQuota;
use radishgauge_mesh::quota::HostReach;
use radishgauge_mesh::quota::Lender;
use radishgauge_mesh::quota::LoanOrder;
use radishgauge_mesh::quota::OwnerQuota;
use radishgauge_mesh::quota::QuotaRefusal;
use radishgauge_mesh::quota::WaitKey;
use radishgauge_mesh::quota::WaitOutcome;
use radishgauge_platform::HostSettings;
use radishgauge_schema::quota::GrantState;
use radishgauge_schema::quota::Loan;
use radishgauge_schema::quota::LoanRequest;
use radishgauge_schema::quota::TokenGrant;
use radishgauge_schema::quota::TokenRequest;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::node::SidecarNode;
use crate::quota_exchange;

/// The time without any work after which the process counts as paused: another daemon may
/// have taken its buckets over. The watch works several times in this time.
const PAUSE_TIME: Duration = Duration::from_secs(1);

/// How long a daemon asks the owner that another daemon has named, which knows hosts that
/// this one does not know yet, or knows no more.
const REDIRECT_TIME: Duration = Duration::from_secs(1);

/// The owner of a tenant as another daemon has named it.
#[derive(Debug, Clone, Copy)]
struct OwnerRedirect {
    owner: IpAddr,
    until: Duration,
}

/// The hosts of the fleet as far as quotas need them.
#[derive(Debug, Default)]
struct QuotaHosts {
    /// The number of changes of the state at which the lists were made.
    changes: Option<u64>,
    settings: Option<Arc<HostSettings>>,
    by_domain: IndexMap<SmolStr, Vec<IpAddr>>,
    fleet: Vec<IpAddr>,
}

/// What one daemon holds for tenants with a rate limit.
#[derive(Debug)]
pub(crate) struct QuotaState {
    pub(crate) entry: EntryQuota,
    pub(crate) owner: OwnerQuota,
    pub(crate) reach: HostReach,
    pub(crate) waiters: IndexMap<WaitKey, oneshot::Sender<Result<(), QuotaRefusal>>>,
    /// The owners to which a message is under way.
    pub(crate) in_flight: IndexSet<IpAddr>,
    /// The hosts that are being probed.
    pub(crate) probing: IndexSet<IpAddr>,
    /// The time of the next delayed message, if a task waits for it.
    pub(crate) next_ask: Option<Duration>,
    /// The time before which the whole failure domain is not probed again.
    pub(crate) next_sweep: Duration,
    redirects: IndexMap<SmolStr, OwnerRedirect>,
    hosts: QuotaHosts,
    active_at: Duration,
}

impl QuotaState {
    /// Returns the state of a daemon at its first use of quotas.
    pub(crate) fn new(now: Duration) -> QuotaState {
        QuotaState {
            entry: EntryQuota::new(now),
            owner: OwnerQuota::new(now),
            reach: HostReach::default(),
            waiters: IndexMap::new(),
            in_flight: IndexSet::new(),
            probing: IndexSet::new(),
            next_ask: None,
            next_sweep: Duration::ZERO,
            redirects: IndexMap::new(),
            hosts: QuotaHosts::default(),
            active_at: now,
        }
    }

    /// Applies changes of the known hosts and a pause of the process.
    pub(crate) fn refresh(&mut self, node: &SidecarNode, now: Duration) {
        let idle = now.saturating_sub(self.active_at);
        if idle > PAUSE_TIME {
            let buckets = self.owner.len();
            let idle_ms = idle.as_millis();
            events::QUOTA_RESTARTED.emit(format_args!("idle_ms={idle_ms} buckets={buckets}"));
            self.owner.restart(now);
        }
        self.active_at = now;
        let changes = *node.changes.borrow();
        let settings = node.settings();
        let has_settings = |known: &Arc<HostSettings>| Arc::ptr_eq(known, &settings);
        if self.hosts.changes == Some(changes)
            && self.hosts.settings.as_ref().is_some_and(has_settings)
        {
            return;
        }
        self.hosts.changes = Some(changes);
        self.set_hosts(settings, node.hosts_by_domain(), now);
    }

    fn set_hosts(
        &mut self,
        settings: Arc<HostSettings>,
        by_domain: IndexMap<SmolStr, Vec<IpAddr>>,
        now: Duration,
    ) {
        let others = settings.domain_regions.iter();
        let others = others.filter(|(domain, _)| **domain != settings.failure_domain);
        self.owner
            .set_lenders(others.map(|(domain, region)| Lender {
                domain: domain.clone(),
                is_near: *region == settings.region,
            }));
        let mut fleet: Vec<IpAddr> = by_domain.values().flatten().copied().collect();
        fleet.sort_unstable();
        fleet.dedup();
        self.reach.retain(|host| fleet.binary_search(&host).is_ok());
        let is_same = self.hosts.by_domain.get(&settings.failure_domain)
            == by_domain.get(&settings.failure_domain);
        self.hosts.fleet = fleet;
        self.hosts.by_domain = by_domain;
        self.hosts.settings = Some(settings);
        if !is_same {
            self.redirects.clear();
            self.keep_owned(now);
        }
    }

    /// Drops the buckets that this daemon does not own any more.
    fn keep_owned(&mut self, now: Duration) {
        let own = self.own();
        let hosts = self.hosts.own_domain();
        let reach = &self.reach;
        self.owner
            .keep_owned(|tenant| reach.owner(tenant, hosts) == own, now);
    }

    /// Returns the address of this host; `None` before the first refresh.
    pub(crate) fn own(&self) -> Option<IpAddr> {
        let settings = self.hosts.settings.as_ref()?;
        Some(settings.peer_address.ip())
    }

    /// Returns the hosts of this host's failure domain.
    pub(crate) fn domain_hosts(&self) -> &[IpAddr] {
        self.hosts.own_domain()
    }

    /// Returns all hosts of the fleet.
    pub(crate) fn fleet_hosts(&self) -> &[IpAddr] {
        &self.hosts.fleet
    }

    /// Returns the failure domain of a host.
    pub(crate) fn domain_of(&self, host: IpAddr) -> Option<&str> {
        let mut domains = self.hosts.by_domain.iter();
        let (domain, _) = domains.find(|(_, hosts)| hosts.contains(&host))?;
        Some(domain)
    }

    /// Returns the owner of a tenant in this host's failure domain.
    pub(crate) fn owner_of(&self, tenant: &str) -> Option<IpAddr> {
        self.reach.owner(tenant, self.hosts.own_domain())
    }

    /// Returns the daemon to ask for a tenant's tokens. Whether it grants any depends on
    /// its own view of who the owner is.
    pub(crate) fn asked_host(&self, tenant: &str, now: Duration) -> Option<IpAddr> {
        let redirect = self.redirects.get(tenant);
        let redirect = redirect.filter(|redirect| redirect.until > now);
        let redirect = redirect.map(|redirect| redirect.owner);
        redirect
            .filter(|owner| !self.reach.is_unreachable(*owner))
            .or_else(|| self.owner_of(tenant))
    }

    /// Applies the answer of a daemon that is not the owner of a tenant. Returns the hosts
    /// that this daemon should probe, as the other one reaches the owner among them.
    pub(crate) fn redirect(
        &mut self,
        tenant: &str,
        asked: IpAddr,
        owner: Option<IpAddr>,
        now: Duration,
    ) -> Vec<IpAddr> {
        self.redirects.swap_remove(tenant);
        let Some(owner) = owner.filter(|owner| *owner != asked && Some(*owner) != self.own())
        else {
            return Vec::new();
        };
        if self.reach.is_unreachable(owner) {
            return vec![owner];
        }
        let until = now + REDIRECT_TIME;
        let redirect = OwnerRedirect { owner, until };
        self.redirects.insert(tenant.into(), redirect);
        Vec::new()
    }

    /// Returns the owner of a tenant in another failure domain.
    pub(crate) fn owner_in(&self, domain: &str, tenant: &str) -> Option<IpAddr> {
        self.reach
            .owner(tenant, self.hosts.by_domain.get(domain)?.as_slice())
    }

    /// Records that a host sent or answered something.
    pub(crate) fn mark_reachable(&mut self, host: IpAddr, now: Duration) {
        if self.reach.mark_reachable(host) && self.domain_hosts().contains(&host) {
            self.keep_owned(now);
        }
    }

    /// Records that a host did not answer. Returns whether the other hosts of this failure
    /// domain should be probed, because this host may be cut off from them.
    pub(crate) fn mark_unreachable(&mut self, host: IpAddr, now: Duration) -> bool {
        let is_first = self.reach.mark_unreachable(host, now);
        if is_first && self.domain_hosts().contains(&host) {
            self.keep_owned(now);
            let is_due = self.next_sweep <= now;
            if is_due {
                self.next_sweep = now + PAUSE_TIME;
            }
            return is_due;
        }
        false
    }

    /// Hands decisions to the requests that wait for them.
    pub(crate) fn resolve(&mut self, outcomes: Vec<WaitOutcome>) {
        for outcome in outcomes {
            if let Some(waiter) = self.waiters.swap_remove(&outcome.key) {
                // A caller that has gone needs no decision.
                let _ = waiter.send(outcome.decision);
            }
        }
    }

    /// Decides as owner on a request for tokens. The loans that it needs are added to
    /// `orders`.
    pub(crate) fn grant(
        &mut self,
        node: &SidecarNode,
        asker: IpAddr,
        request: &TokenRequest,
        orders: &mut Vec<LoanOrder>,
        now: Duration,
    ) -> TokenGrant {
        if !self.owns(&request.tenant) {
            let owner = self.owner_of(&request.tenant);
            let mut grant = answer(GrantState::NotOwner);
            grant.owner = owner.map(quota_exchange::write_address).unwrap_or_default();
            return grant;
        }
        let limit = match limit_of(node, &request.tenant) {
            TenantLookup::Unknown => return answer(GrantState::UnknownTenant),
            TenantLookup::Unlimited => return answer(GrantState::Unlimited),
            TenantLookup::Limited(limit) => limit,
        };
        let share = self.share(node, limit);
        let (grant, needed) = self.owner.grant(asker, request, &share, now);
        orders.extend(needed);
        grant
    }

    /// Lends tokens to the owner of another failure domain.
    pub(crate) fn lend(
        &mut self,
        node: &SidecarNode,
        request: &LoanRequest,
        now: Duration,
    ) -> Loan {
        let limit = limit_of(node, &request.tenant);
        let tokens = match limit {
            TenantLookup::Limited(limit) if self.owns(&request.tenant) => {
                let share = self.share(node, limit);
                self.owner.lend(request, &share, now)
            }
            _ => 0.0,
        };
        Loan {
            tokens: tokens as f32,
        }
    }

    fn owns(&self, tenant: &str) -> bool {
        self.own().is_some() && self.owner_of(tenant) == self.own()
    }

    /// Returns the share of this host's failure domain, as far as it can be reached.
    fn share(&self, node: &SidecarNode, limit: TenantLimit) -> DomainShare {
        let settings = node.settings();
        let domains = settings.domain_regions.len();
        let fraction = self.reach.reachable_fraction(self.domain_hosts());
        settings
            .quota_bounds
            .domain_share(limit, domains)
            .of_reachable(fraction)
    }
}

impl QuotaHosts {
    fn own_domain(&self) -> &[IpAddr] {
        let settings = self.settings.as_ref();
        let hosts = settings.and_then(|settings| self.by_domain.get(&settings.failure_domain));
        hosts.map(Vec::as_slice).unwrap_or_default()
    }
}

/// What this daemon's configuration says of a tenant's limit.
enum TenantLookup {
    Unknown,
    Unlimited,
    Limited(TenantLimit),
}

fn limit_of(node: &SidecarNode, tenant: &str) -> TenantLookup {
    let config = node.config();
    match config.as_ref().and_then(|config| config.tenant(tenant)) {
        None => TenantLookup::Unknown,
        Some(policy) => policy
            .limit
            .map_or(TenantLookup::Unlimited, TenantLookup::Limited),
    }
}

/// Returns the answer on a tenant at a daemon whose configuration has no limits.
pub(crate) fn answer_without_limit(node: &SidecarNode, tenant: &str) -> TokenGrant {
    match limit_of(node, tenant) {
        TenantLookup::Unlimited => answer(GrantState::Unlimited),
        // A limit that has arrived since is answered with the next message.
        TenantLookup::Unknown | TenantLookup::Limited(_) => answer(GrantState::UnknownTenant),
    }
}

fn answer(state: GrantState) -> TokenGrant {
    let mut grant = TokenGrant::default();
    grant.set_state(state);
    grant
}
