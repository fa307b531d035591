//! The requests of tenants at the daemon that receives them, and the tokens that it holds.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use radishgauge_schema::quota::GrantState;
use radishgauge_schema::quota::QuotaAsk;
use radishgauge_schema::quota::TokenGrant;
use radishgauge_schema::quota::TokenRequest;
use smol_str::SmolStr;

use super::limits::TOKEN_LEASE;
use super::local_share::LocalShare;
use super::rate_estimate::RateEstimate;

/// The greatest number of tenants in one message.
const MAX_TENANTS_PER_ASK: usize = 64;

/// The greatest number of requests of one tenant that wait for tokens.
const MAX_WAITING: usize = 512;

/// The time for whose expected requests tokens are requested in advance, half of the
/// lease, so that few of them expire.
const AHEAD_S: f64 = 0.5;

/// When to ask again after an answer from a daemon that is not the owner: long enough for
/// it to find out that the owner before it has ended.
const NOT_OWNER_WAIT: Duration = Duration::from_millis(10);

/// The least time until a tenant is asked for again whose owner expects tokens: a time of
/// zero would ask without end.
const MIN_PENDING_WAIT: Duration = Duration::from_millis(1);

/// The time after which a caller may come back that was refused because no owner
/// answered, and the time between two such callers.
const NO_OWNER_RETRY: Duration = Duration::from_millis(200);
const NO_OWNER_STEP: Duration = Duration::from_millis(20);

/// The least time after which a caller may come back whose tenant has used up its limit or
/// has too many requests waiting, and the least time between two such callers.
const SHORT_RETRY: Duration = Duration::from_millis(50);
const SHORT_STEP: Duration = Duration::from_millis(1);

/// The greatest time after which a refused caller is told to come back.
const MAX_RETRY: Duration = Duration::from_secs(15);

/// How long a tenant without requests is kept.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Identifies a request that waits for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WaitKey(u64);

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The owner has no token.
    Exhausted,
    /// No owner answered in time, and the daemon's own part is used up.
    NoOwner,
    /// Too many requests of the tenant wait at this daemon.
    Crowded,
}

impl RefusalCause {
    /// Returns the least time after which a caller may come back, and the least time
    /// between two callers.
    fn least_retry(self) -> (Duration, Duration) {
        match self {
            RefusalCause::Exhausted | RefusalCause::Crowded => (SHORT_RETRY, SHORT_STEP),
            RefusalCause::NoOwner => (NO_OWNER_RETRY, NO_OWNER_STEP),
        }
    }
}

/// The refusal of a request, with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRefusal {
    /// When a token is expected for this caller.
    pub retry_after: Duration,
    /// Why the request was refused.
    pub cause: RefusalCause,
    /// The owner that answered last.
    pub owner: Option<IpAddr>,
    /// The tokens that remained with that owner.
    pub left: f64,
    /// The time since its answer; `None` if there was none.
    pub grant_age: Option<Duration>,
}

/// The decision on a request that has just arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmitDecision {
    /// The request has its token.
    Admitted,
    /// The request is refused.
    Refused(QuotaRefusal),
    /// The request waits for the answer of an owner.
    Wait(WaitKey),
}

/// The decision on a request that has waited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitOutcome {
    /// The request.
    pub key: WaitKey,
    /// Whether it has its token.
    pub decision: Result<(), QuotaRefusal>,
}

/// A message that is under way to an owner.
#[derive(Debug, Clone, PartialEq)]
pub struct SentAsk {
    /// The content of the message.
    pub message: QuotaAsk,
    sent: Duration,
}

/// Tokens of one grant.
#[derive(Debug, Clone, Copy)]
struct TokenStock {
    tokens: u32,
    expires: Duration,
}

/// The latest answer of an owner.
#[derive(Debug, Clone, Copy)]
struct LastGrant {
    owner: IpAddr,
    /// When the message was sent that it answers.
    sent: Duration,
    at: Duration,
    left: f64,
}

/// The decisions on the requests of one tenant, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuotaCounts {
    /// The requests with a token of an owner.
    pub admitted: u64,
    /// The requests admitted without an owner.
    pub local: u64,
    /// The requests refused.
    pub refused: u64,
}

/// One tenant at this daemon.
#[derive(Debug, Clone, Default)]
struct TenantEntry {
    /// The tokens in stock, the oldest first.
    stock: VecDeque<TokenStock>,
    waiting: VecDeque<WaitKey>,
    demand: RateEstimate,
    /// The requests that arrived, and those refused here, since the last message.
    arrived: u32,
    refused: u32,
    is_asking: bool,
    ask_after: Duration,
    /// Until when requests are refused without asking.
    refuse_until: Duration,
    /// When the next refused caller may expect a token, and the time between two.
    next_retry: Duration,
    retry_step: Duration,
    last_grant: Option<LastGrant>,
    local: LocalShare,
    counts: QuotaCounts,
    used: Duration,
}

impl TenantEntry {
    fn take_token(&mut self, now: Duration) -> bool {
        while self.stock.front().is_some_and(|stock| stock.expires <= now) {
            self.stock.pop_front();
        }
        let Some(stock) = self.stock.front_mut() else {
            return false;
        };
        stock.tokens -= 1;
        if stock.tokens == 0 {
            self.stock.pop_front();
        }
        true
    }

    fn add_tokens(&mut self, tokens: u32, expires: Duration) {
        if tokens > 0 {
            self.stock.push_back(TokenStock { tokens, expires });
        }
    }

    fn refuse(&mut self, cause: RefusalCause, now: Duration) -> QuotaRefusal {
        self.counts.refused += 1;
        let retry = self.take_retry(cause, now);
        QuotaRefusal {
            retry_after: retry.saturating_sub(now),
            cause,
            owner: self.last_grant.map(|grant| grant.owner),
            left: self.last_grant.map_or(0.0, |grant| grant.left),
            grant_age: self.last_grant.map(|grant| now.saturating_sub(grant.at)),
        }
    }

    /// Returns when the next refused caller may come back, and moves the time of the one
    /// after it.
    fn take_retry(&mut self, cause: RefusalCause, now: Duration) -> Duration {
        let (least_wait, least_step) = cause.least_retry();
        let greatest = now + MAX_RETRY;
        let retry = self.next_retry.max(now + least_wait).min(greatest);
        let step = self.retry_step.max(least_step);
        self.next_retry = retry.saturating_add(step).min(greatest);
        retry
    }

    fn request(&mut self, tenant: &SmolStr, now: Duration) -> TokenRequest {
        self.is_asking = true;
        TokenRequest {
            tenant: tenant.to_string(),
            waiting: self.waiting.len() as u32,
            ahead: (self.demand.per_second(now) * AHEAD_S) as u32,
            arrived: std::mem::take(&mut self.arrived),
            refused: std::mem::take(&mut self.refused),
        }
    }

    /// Applies an owner's answer to the tokens and times of the tenant.
    fn apply(
        &mut self,
        request: &TokenRequest,
        grant: &TokenGrant,
        expires: Duration,
        now: Duration,
    ) {
        self.is_asking = false;
        self.ask_after = now;
        // No more than was asked for, whatever the message says.
        let asked = request.waiting.saturating_add(request.ahead);
        self.add_tokens(grant.tokens.min(asked), expires);
        match grant.state() {
            GrantState::Granted | GrantState::Unlimited => {
                self.refuse_until = now;
                self.next_retry = now;
                self.retry_step = Duration::ZERO;
            }
            GrantState::Pending => {
                self.ask_after = now + from_micros(grant.retry_us).max(MIN_PENDING_WAIT);
            }
            GrantState::NotOwner | GrantState::UnknownTenant => {
                self.ask_after = now + NOT_OWNER_WAIT;
            }
            GrantState::Exhausted => {
                self.refuse_until = now + from_micros(grant.hold_us);
                self.next_retry = now + from_micros(grant.retry_us);
                self.retry_step = from_micros(grant.step_us);
            }
        }
    }

    /// Decides on the waiting requests after an owner's answer.
    fn settle(&mut self, grant: &TokenGrant, now: Duration, outcomes: &mut Vec<WaitOutcome>) {
        let is_unlimited = grant.state() == GrantState::Unlimited;
        while !self.waiting.is_empty() && (is_unlimited || self.take_token(now)) {
            let key = self.waiting.pop_front();
            self.counts.admitted += 1;
            outcomes.extend(key.map(|key| WaitOutcome {
                key,
                decision: Ok(()),
            }));
        }
        if grant.state() == GrantState::Exhausted {
            while let Some(key) = self.waiting.pop_front() {
                let decision = Err(self.refuse(RefusalCause::Exhausted, now));
                outcomes.push(WaitOutcome { key, decision });
            }
        }
    }
}

/// The tenants at one daemon whose requests need tokens.
#[derive(Debug)]
pub struct EntryQuota {
    started: Duration,
    next_key: u64,
    tenants: IndexMap<SmolStr, TenantEntry>,
    /// The tenants that have waiting requests.
    waiting: IndexSet<SmolStr>,
}

impl EntryQuota {
    /// Returns a daemon that has started at the time `now` and holds no tokens.
    pub fn new(now: Duration) -> EntryQuota {
        EntryQuota {
            started: now,
            next_key: 0,
            tenants: IndexMap::new(),
            waiting: IndexSet::new(),
        }
    }

    /// Decides on a request that has just arrived.
    pub fn admit(&mut self, tenant: &SmolStr, now: Duration) -> AdmitDecision {
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.clone(), TenantEntry::default());
        }
        let entry = &mut self.tenants[tenant];
        entry.used = now;
        entry.demand.record(1.0, now);
        entry.arrived = entry.arrived.saturating_add(1);
        if entry.waiting.is_empty() && entry.take_token(now) {
            entry.counts.admitted += 1;
            return AdmitDecision::Admitted;
        }
        if now < entry.refuse_until || entry.waiting.len() >= MAX_WAITING {
            let cause = if now < entry.refuse_until {
                RefusalCause::Exhausted
            } else {
                RefusalCause::Crowded
            };
            entry.refused = entry.refused.saturating_add(1);
            return AdmitDecision::Refused(entry.refuse(cause, now));
        }
        let key = WaitKey(self.next_key);
        self.next_key += 1;
        entry.waiting.push_back(key);
        if !self.waiting.contains(tenant) {
            self.waiting.insert(tenant.clone());
        }
        AdmitDecision::Wait(key)
    }

    /// Returns the next message to an owner: the tenants for which `is_owner` returns true
    /// and whose requests wait without a message under way. `None` if there are none.
    pub fn ask<F>(&mut self, mut is_owner: F, now: Duration) -> Option<SentAsk>
    where
        F: FnMut(&str) -> bool,
    {
        let mut message = QuotaAsk::default();
        for tenant in &self.waiting {
            let Some(entry) = self.tenants.get_mut(tenant) else {
                continue;
            };
            let is_due = !entry.is_asking && entry.ask_after <= now;
            if is_due && is_owner(tenant) {
                message.tokens.push(entry.request(tenant, now));
            }
            if message.tokens.len() == MAX_TENANTS_PER_ASK {
                break;
            }
        }
        (!message.tokens.is_empty()).then_some(SentAsk { message, sent: now })
    }

    /// Returns the next message to this daemon itself as an owner, like [`EntryQuota::ask`]
    /// but for the waiting requests only: tokens taken in advance could expire in stock,
    /// while those in the bucket cost no message.
    pub fn ask_own<F>(&mut self, is_owner: F, now: Duration) -> Option<SentAsk>
    where
        F: FnMut(&str) -> bool,
    {
        let mut ask = self.ask(is_owner, now)?;
        for request in &mut ask.message.tokens {
            request.ahead = 0;
        }
        Some(ask)
    }

    /// Returns the tenants with waiting requests that are due to be asked for.
    pub fn due_tenants(&self, now: Duration) -> impl Iterator<Item = &SmolStr> {
        self.waiting.iter().filter(move |tenant| {
            let entry = self.tenants.get(*tenant);
            entry.is_some_and(|entry| !entry.is_asking && entry.ask_after <= now)
        })
    }

    /// Returns the time of the next message that is delayed beyond the time `now`.
    pub fn next_ask(&self, now: Duration) -> Option<Duration> {
        let entries = self
            .waiting
            .iter()
            .filter_map(|name| self.tenants.get(name));
        let delayed = entries.filter(|entry| !entry.is_asking && entry.ask_after > now);
        delayed.map(|entry| entry.ask_after).min()
    }

    /// Applies an owner's answers, which are in the order of the message.
    pub fn apply(
        &mut self,
        ask: &SentAsk,
        grants: &[TokenGrant],
        owner: IpAddr,
        now: Duration,
    ) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        for (index, request) in ask.message.tokens.iter().enumerate() {
            let Some(entry) = self.tenants.get_mut(request.tenant.as_str()) else {
                continue;
            };
            // An answer that is too short says nothing about the remaining tenants.
            let Some(grant) = grants.get(index) else {
                entry.is_asking = false;
                entry.ask_after = now + NOT_OWNER_WAIT;
                continue;
            };
            if is_of_owner(grant) {
                entry.last_grant = Some(LastGrant {
                    owner,
                    sent: ask.sent,
                    at: now,
                    left: f64::from(grant.left),
                });
            }
            entry.apply(request, grant, ask.sent + TOKEN_LEASE, now);
            entry.settle(grant, now, &mut outcomes);
            if entry.waiting.is_empty() {
                self.waiting.swap_remove(request.tenant.as_str());
            }
        }
        outcomes
    }

    /// Records that a message was not answered. Its requests are asked for again.
    pub fn fail(&mut self, ask: &SentAsk) {
        for request in &ask.message.tokens {
            if let Some(entry) = self.tenants.get_mut(request.tenant.as_str()) {
                entry.is_asking = false;
                entry.arrived = entry.arrived.saturating_add(request.arrived);
                entry.refused = entry.refused.saturating_add(request.refused);
            }
        }
    }

    /// Decides on a request that has waited as long as it may, since the time `since`.
    /// `allowed` is the number of requests in each window that this daemon may admit
    /// without an owner.
    pub fn give_up(
        &mut self,
        tenant: &SmolStr,
        key: WaitKey,
        since: Duration,
        allowed: usize,
        window: Duration,
        now: Duration,
    ) -> Result<(), QuotaRefusal> {
        let started = self.started;
        let entry = self.tenants.entry(tenant.clone()).or_default();
        entry.waiting.retain(|waiting| *waiting != key);
        if entry.waiting.is_empty() {
            self.waiting.swap_remove(tenant);
        }
        // An answer to an earlier message did not consider this request.
        let has_answer = entry.last_grant.is_some_and(|grant| grant.sent >= since);
        if has_answer {
            entry.refused = entry.refused.saturating_add(1);
            return Err(entry.refuse(RefusalCause::Exhausted, now));
        }
        // A daemon that has just started may have used its part before the restart.
        let has_part = now.saturating_sub(started) >= window;
        if has_part && entry.local.try_admit(allowed, window, now) {
            entry.counts.local += 1;
            return Ok(());
        }
        Err(entry.refuse(RefusalCause::NoOwner, now))
    }

    /// Drops a request that waits and whose caller has gone.
    pub fn cancel(&mut self, tenant: &SmolStr, key: WaitKey) {
        if let Some(entry) = self.tenants.get_mut(tenant) {
            entry.waiting.retain(|waiting| *waiting != key);
            if entry.waiting.is_empty() {
                self.waiting.swap_remove(tenant);
            }
        }
    }

    /// Takes the counts since the last call, of the tenants that have any.
    pub fn take_counts(&mut self) -> Vec<(SmolStr, QuotaCounts)> {
        let entries = self.tenants.iter_mut();
        let counts = entries.map(|(name, entry)| (name, std::mem::take(&mut entry.counts)));
        counts
            .filter(|(_, counts)| *counts != QuotaCounts::default())
            .map(|(name, counts)| (name.clone(), counts))
            .collect()
    }

    /// Drops the tenants that have had no request for some time.
    pub fn drop_idle(&mut self, now: Duration) {
        self.tenants
            .retain(|_, entry| entry.used + IDLE_TIME > now || !entry.waiting.is_empty());
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether there is no tenant.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

/// Returns whether an answer is that of an owner who knows the tenant.
fn is_of_owner(grant: &TokenGrant) -> bool {
    !matches!(
        grant.state(),
        GrantState::NotOwner | GrantState::UnknownTenant
    )
}

fn from_micros(micros: u32) -> Duration {
    Duration::from_micros(u64::from(micros))
}
