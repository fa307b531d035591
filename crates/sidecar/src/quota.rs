//! Checks the rate limits of tenants on the way of a request.
//!
//! [`TenantQuota::admit`] decides with the tokens that this daemon holds, or waits for the
//! answer of the tenant's owner ([`crate::quota_exchange`]). Where no tenant has a limit,
//! there are no tasks, messages or tables.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_events::events;
use radishgauge_mesh::TenantLimit;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::quota::AdmitDecision;
use radishgauge_mesh::quota::QuotaRefusal;
use radishgauge_mesh::quota::WaitKey;
use radishgauge_mesh::quota::host_share;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::node::SidecarNode;
use crate::node::lock;
use crate::quota_exchange;
use crate::quota_state::QuotaState;

/// How long a request waits for a token: many times the round trip in a failure domain,
/// and enough for a loan from another region. A daemon with a tenth of a core may be
/// stopped for nearly this long between two of its turns.
const ADMIT_WAIT: Duration = Duration::from_millis(90);

/// The interval at which the process shows that it is not paused.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// The number of watch intervals between probes of other hosts.
const PROBE_TURNS: u32 = 4;

/// The check of rate limits at one daemon.
#[derive(Clone, Copy)]
pub struct TenantQuota<'a> {
    node: &'a Arc<SidecarNode>,
}

impl SidecarNode {
    /// Returns the check of tenants' rate limits.
    pub fn quota(self: &Arc<Self>) -> TenantQuota<'_> {
        TenantQuota { node: self }
    }
}

impl TenantQuota<'_> {
    /// Counts one request of a tenant against its limit. Does nothing for a tenant without
    /// a limit.
    ///
    /// # Errors
    ///
    /// When the limit is reached, or no owner answers in time and this daemon's own part
    /// is used up. The request must be refused then.
    pub async fn admit(&self, tenant: &TenantPolicy) -> Result<(), QuotaRefusal> {
        let Some(limit) = tenant.limit else {
            return Ok(());
        };
        let arrived = self.node.now();
        let (key, wait, mut decision) = match self.decide(&tenant.name) {
            Decided::Now(decision) => return decision,
            Decided::Later(key, decision) => (key, ADMIT_WAIT, decision),
            // Nobody can answer, so a wait would be in vain.
            Decided::WithoutOwner(key, decision) => (key, Duration::ZERO, decision),
        };
        let _guard = WaitGuard {
            quota: *self,
            tenant: &tenant.name,
            key,
        };
        match tokio::time::timeout(wait, &mut decision).await {
            Ok(Ok(decision)) => decision,
            _ => self.give_up(&tenant.name, limit, key, arrived, &mut decision),
        }
    }

    /// Returns whether some tenant has a limit, as far as this daemon knows.
    pub fn is_open(&self) -> bool {
        lock(&self.node.quota_state).is_some()
    }

    /// Writes the log line about a refused request.
    pub fn log_refusal(&self, request: &str, tenant: &TenantPolicy, refusal: &QuotaRefusal) {
        let limit = tenant.limit.unwrap_or(TenantLimit {
            per_second: 0.0,
            burst: 0.0,
        });
        let age = refusal.grant_age.map(|age| age.as_millis());
        self.node.request_log.log_other(
            &events::QUOTA_REFUSED,
            request,
            format_args!(
                "tenant={} cause={:?} per_second={} burst={} left={:.1} owner={:?} grant_age_ms={age:?} retry_after_ms={}",
                tenant.label(),
                refusal.cause,
                limit.per_second,
                limit.burst,
                refusal.left,
                refusal.owner,
                refusal.retry_after.as_millis(),
            ),
            self.node.now(),
        );
    }

    /// Starts the watch once some tenant has a limit.
    pub fn maintain(&self) {
        let mut state = lock(&self.node.quota_state);
        if state.is_none() {
            self.open_if_limited(&mut state);
        }
    }

    /// Opens the state if it is open already or the known configuration has limits.
    pub(crate) fn open_if_limited<'s>(
        &self,
        state: &'s mut Option<Box<QuotaState>>,
    ) -> Option<&'s mut QuotaState> {
        let is_needed = state.is_some() || has_limits(self.node);
        is_needed.then(|| self.open(state))
    }

    /// Opens the state at the first use of quotas.
    fn open<'s>(&self, state: &'s mut Option<Box<QuotaState>>) -> &'s mut QuotaState {
        let now = self.node.now();
        let state = state.get_or_insert_with(|| {
            tokio::spawn(watch(Arc::clone(self.node)));
            Box::new(QuotaState::new(now))
        });
        state.refresh(self.node, now);
        state
    }

    fn decide(&self, tenant: &SmolStr) -> Decided {
        let now = self.node.now();
        let mut state = lock(&self.node.quota_state);
        let state = self.open(&mut state);
        match state.entry.admit(tenant, now) {
            AdmitDecision::Admitted => Decided::Now(Ok(())),
            AdmitDecision::Refused(refusal) => Decided::Now(Err(refusal)),
            AdmitDecision::Wait(key) => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(key, sender);
                quota_exchange::start_asks(self.node, state, now);
                match state.asked_host(tenant, now) {
                    Some(_) => Decided::Later(key, receiver),
                    None => Decided::WithoutOwner(key, receiver),
                }
            }
        }
    }

    fn give_up(
        &self,
        tenant: &SmolStr,
        limit: TenantLimit,
        key: WaitKey,
        arrived: Duration,
        decision: &mut DecisionReceiver,
    ) -> Result<(), QuotaRefusal> {
        let now = self.node.now();
        let mut state = lock(&self.node.quota_state);
        // The decision may have been taken since.
        if let Ok(decision) = decision.try_recv() {
            return decision;
        }
        let state = self.open(&mut state);
        state.waiters.swap_remove(&key);
        let settings = self.node.settings();
        let bounds = &settings.quota_bounds;
        let total = bounds.local_total(limit, settings.domain_regions.len());
        let own = settings.peer_address.ip();
        let allowed = host_share(total, tenant, own, state.fleet_hosts());
        let entry = &mut state.entry;
        entry.give_up(tenant, key, arrived, allowed, bounds.window, now)
    }
}

/// Where the decision on a waiting request arrives.
type DecisionReceiver = oneshot::Receiver<Result<(), QuotaRefusal>>;

/// The decision on a request, or where it will arrive.
enum Decided {
    Now(Result<(), QuotaRefusal>),
    Later(WaitKey, DecisionReceiver),
    /// No host of the failure domain can own the tenant's bucket.
    WithoutOwner(WaitKey, DecisionReceiver),
}

/// Drops the entry of a waiting request when its caller has gone.
struct WaitGuard<'a> {
    quota: TenantQuota<'a>,
    tenant: &'a SmolStr,
    key: WaitKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.quota.node.quota_state);
        if let Some(state) = state.as_mut()
            && state.waiters.swap_remove(&self.key).is_some()
        {
            state.entry.cancel(self.tenant, self.key);
        }
    }
}

/// Adds the counts of decisions since the last call to the metrics.
pub(crate) fn flush_counts(node: &SidecarNode) {
    let counts = {
        let mut state = lock(&node.quota_state);
        state.as_mut().map(|state| state.entry.take_counts())
    };
    for (tenant, counts) in counts.into_iter().flatten() {
        node.metrics.quota(&tenant, counts);
    }
}

fn has_limits(node: &SidecarNode) -> bool {
    node.config()
        .is_some_and(|config| config.has_tenant_limits())
}

/// Keeps the tables up to date and probes hosts, until no tenant has a limit any more.
async fn watch(node: Arc<SidecarNode>) {
    let mut turn = 0_u32;
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        turn = turn.wrapping_add(1);
        let is_probe_turn = turn.is_multiple_of(PROBE_TURNS);
        if is_probe_turn {
            flush_counts(&node);
        }
        let now = node.now();
        let has_limits = has_limits(&node);
        let mut state = lock(&node.quota_state);
        let Some(open) = state.as_mut() else {
            return;
        };
        if !has_limits && open.waiters.is_empty() {
            *state = None;
            return;
        }
        open.refresh(&node, now);
        if is_probe_turn {
            open.entry.drop_idle(now);
            quota_exchange::start_probes(&node, open, now);
        }
    }
}
