//! The token bucket of one tenant at its owner in one failure domain.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_schema::quota::GrantState;
use radishgauge_schema::quota::TokenGrant;
use radishgauge_schema::quota::TokenRequest;
use smol_str::SmolStr;

use super::limits::DomainShare;
use super::limits::LOAN_LEASE;
use super::owner::Lender;
use super::rate_estimate::RateEstimate;

/// The fraction of a bucket above which it grants tokens for expected requests: these are
/// lost if they are not used, and a bucket that is nearly full would lose them too.
const WELL_FILLED: f64 = 0.5;

/// The time for whose expected demand an owner borrows in advance, shorter than a loan's
/// lease.
const BORROW_AHEAD_S: f64 = 0.2;

/// The time for whose expected demand a lender keeps tokens.
const LEND_RESERVE_S: f64 = 0.25;

/// A loan of at most this many tokens is requested from one lender at a time.
const SMALL_LOAN: f64 = 1.5;

/// How long a lender is not asked again that had too little.
const EMPTY_LENDER_TIME: Duration = Duration::from_millis(250);

/// How long a lender is not asked again that did not answer.
const SILENT_LENDER_TIME: Duration = Duration::from_secs(1);

/// The time after which a loan that was requested no longer counts as expected.
const LOAN_TIMEOUT: Duration = Duration::from_millis(400);

/// When an entry daemon asks again while a loan from the same region is expected: a few
/// times the round trip.
const NEAR_LOAN_WAIT: Duration = Duration::from_millis(3);

/// When an entry daemon asks again while a loan from another region is expected.
const FAR_LOAN_WAIT: Duration = Duration::from_millis(14);

/// The longest time that a request waits for a token which the bucket gets by itself.
const ACCRUAL_WAIT: Duration = Duration::from_millis(40);

/// The bounds of the time in which an entry daemon refuses requests without asking again.
/// Longer ones save messages about a hot tenant, and refuse its requests that much longer
/// when it has cooled down.
const MIN_HOLD: Duration = Duration::from_millis(10);
const MAX_HOLD: Duration = Duration::from_millis(200);

/// How long an entry daemon counts as competing for the tokens of an exhausted bucket.
const ASKER_TIME: Duration = Duration::from_millis(500);

/// The greatest time after which a refused caller is told to come back. Callers that were
/// refused at different times come back at different times also beyond it.
const MAX_RETRY: Duration = Duration::from_secs(15);

/// Absorbs rounding errors of sums of tokens.
const ROUNDING: f64 = 1e-6;

/// Tokens borrowed from another failure domain.
#[derive(Debug, Clone, Copy)]
struct HeldLoan {
    tokens: f64,
    expires: Duration,
}

/// What an owner knows of one lender.
#[derive(Debug, Clone, Copy, Default)]
struct LenderState {
    /// Until when a requested loan is expected.
    expected_until: Option<Duration>,
    /// The time before which it is not asked again.
    ask_after: Duration,
}

impl LenderState {
    fn is_expected(&self, now: Duration) -> bool {
        self.expected_until.is_some_and(|until| until > now)
    }
}

/// The token bucket of one tenant in one failure domain.
#[derive(Debug, Clone)]
pub struct OwnerBucket {
    level: f64,
    refreshed: Duration,
    loans: Vec<HeldLoan>,
    demand: RateEstimate,
    borrowed: RateEstimate,
    /// The time at which the last refused caller is expected to get a token.
    line_end: Duration,
    /// The entry daemons that were refused lately, with the time of the last refusal.
    askers: IndexMap<IpAddr, Duration>,
    lenders: IndexMap<SmolStr, LenderState>,
}

impl OwnerBucket {
    /// Returns the bucket of an owner that became the owner at the time `since`.
    pub fn open(share: &DomainShare, since: Duration, now: Duration) -> OwnerBucket {
        let passed = now.saturating_sub(since).as_secs_f64();
        OwnerBucket {
            level: (share.start + share.per_second * passed).min(share.burst),
            refreshed: now,
            loans: Vec::new(),
            demand: RateEstimate::default(),
            borrowed: RateEstimate::default(),
            line_end: Duration::ZERO,
            askers: IndexMap::new(),
            lenders: IndexMap::new(),
        }
    }

    /// Returns the tokens that can be granted.
    pub fn available(&self) -> f64 {
        self.level + self.loans.iter().map(|loan| loan.tokens).sum::<f64>()
    }

    /// Adds the tokens since the last call, and drops those above the burst.
    pub fn refresh(&mut self, share: &DomainShare, now: Duration) {
        let passed = now.saturating_sub(self.refreshed).as_secs_f64();
        self.refreshed = self.refreshed.max(now);
        self.level = (self.level + share.per_second * passed).min(share.burst);
        self.loans.retain(|loan| loan.expires > now);
        // A full bucket shows that the callers in the line have been served or have gone.
        if share.burst >= 1.0 && self.level >= share.burst {
            self.line_end = Duration::ZERO;
        }
    }

    /// Decides on a request for tokens.
    pub fn grant(
        &mut self,
        asker: IpAddr,
        request: &TokenRequest,
        share: &DomainShare,
        lenders: &[Lender],
        now: Duration,
    ) -> TokenGrant {
        self.refresh(share, now);
        self.demand.record(f64::from(request.arrived), now);
        let granted = request.waiting.min(whole(self.available()));
        self.take(f64::from(granted));
        let missing = request.waiting - granted;
        let mut grant = TokenGrant {
            tokens: granted,
            ..TokenGrant::default()
        };
        if missing == 0 {
            let ahead = self.grant_ahead(request.ahead, share);
            grant.tokens = grant.tokens.saturating_add(ahead);
            self.askers.swap_remove(&asker);
        } else if let Some(wait) = self.wait_for(missing, share, lenders, now) {
            grant.set_state(GrantState::Pending);
            grant.retry_us = micros(wait);
        } else {
            grant.set_state(GrantState::Exhausted);
            let refused = missing.saturating_add(request.refused);
            self.refuse(&mut grant, asker, refused, share, now);
        }
        grant.left = self.available() as f32;
        grant
    }

    fn grant_ahead(&mut self, wanted: u32, share: &DomainShare) -> u32 {
        let ahead = wanted.min(whole(self.level - share.burst * WELL_FILLED));
        self.level -= f64::from(ahead);
        ahead
    }

    /// Returns when the requests that lack a token should be asked for again; `None` if
    /// they should be refused.
    fn wait_for(
        &self,
        missing: u32,
        share: &DomainShare,
        lenders: &[Lender],
        now: Duration,
    ) -> Option<Duration> {
        let accrual = self.accrual_time(missing, share);
        if self.line_end <= now && accrual <= ACCRUAL_WAIT {
            return Some(accrual);
        }
        let can_lend = lenders.iter().filter(|lender| self.may_lend(lender, now));
        let wait = |lender: &Lender| {
            if lender.is_near {
                NEAR_LOAN_WAIT
            } else {
                FAR_LOAN_WAIT
            }
        };
        can_lend.map(wait).min()
    }

    fn may_lend(&self, lender: &Lender, now: Duration) -> bool {
        let state = self.lenders.get(&lender.domain);
        state.is_none_or(|state| state.is_expected(now) || state.ask_after <= now)
    }

    fn accrual_time(&self, missing: u32, share: &DomainShare) -> Duration {
        let tokens = f64::from(missing) - self.available();
        if tokens > share.burst || share.per_second <= 0.0 {
            return MAX_RETRY;
        }
        let seconds = tokens.max(0.0) / share.per_second;
        Duration::try_from_secs_f64(seconds).map_or(MAX_RETRY, |time| time.min(MAX_RETRY))
    }

    /// Adds refused callers to the line of those that are told when to come back.
    fn refuse(
        &mut self,
        grant: &mut TokenGrant,
        asker: IpAddr,
        refused: u32,
        share: &DomainShare,
        now: Duration,
    ) {
        self.askers.retain(|_, at| *at + ASKER_TIME > now);
        self.askers.insert(asker, now);
        let per_second = share.per_second + self.borrowed.per_second(now);
        let greatest = now + MAX_RETRY;
        let step = Duration::try_from_secs_f64(1.0 / per_second)
            .unwrap_or(MAX_RETRY)
            .min(MAX_RETRY);
        let first = self.line_end.max(now + self.accrual_time(1, share));
        let first = first.min(greatest);
        let line = step.saturating_mul(refused);
        self.line_end = first.saturating_add(line).min(greatest);
        let hold = step.saturating_mul(self.askers.len() as u32);
        grant.retry_us = micros(first - now);
        grant.step_us = micros(step);
        grant.hold_us = micros(hold.clamp(MIN_HOLD, MAX_HOLD));
    }

    /// Returns the loans to request now, by lender.
    pub fn order_loans(
        &mut self,
        missing: u32,
        share: &DomainShare,
        lenders: &[Lender],
        now: Duration,
    ) -> Vec<(SmolStr, f64)> {
        let excess = (self.demand.per_second(now) - share.per_second).max(0.0);
        let ahead = (excess * BORROW_AHEAD_S).floor();
        let wanted = f64::from(missing) + ahead - self.available();
        if wanted <= ROUNDING || (missing == 0 && ahead < 1.0) {
            return Vec::new();
        }
        let able = lenders.iter().filter(|lender| {
            let state = self.lenders.get(&lender.domain);
            state.is_none_or(|state| !state.is_expected(now) && state.ask_after <= now)
        });
        let able: Vec<&Lender> = if wanted <= SMALL_LOAN {
            let expected = self.lenders.values().any(|state| state.is_expected(now));
            able.take(usize::from(!expected)).collect()
        } else {
            able.collect()
        };
        let each = (wanted / able.len().max(1) as f64).max(wanted.min(1.0));
        let mut orders = Vec::with_capacity(able.len());
        for lender in able {
            let state = self.lenders.entry(lender.domain.clone()).or_default();
            state.expected_until = Some(now + LOAN_TIMEOUT);
            orders.push((lender.domain.clone(), each));
        }
        orders
    }

    /// Adds a loan that was requested at the time `sent`.
    pub fn receive_loan(&mut self, lender: &str, asked: f64, tokens: f64, sent: Duration) {
        let state = self.lenders.entry(lender.into()).or_default();
        state.expected_until = None;
        // No more than was asked for, whatever the message says.
        let is_valid = tokens.is_finite() && tokens > 0.0;
        let tokens = if is_valid { tokens.min(asked) } else { 0.0 };
        if tokens + ROUNDING < asked / 2.0 {
            state.ask_after = sent + EMPTY_LENDER_TIME;
        }
        if tokens > 0.0 {
            self.borrowed.record(tokens, sent);
            self.loans.push(HeldLoan {
                tokens,
                expires: sent + LOAN_LEASE,
            });
        }
    }

    /// Records that a lender did not answer, or is not the owner there.
    pub fn fail_loan(&mut self, lender: &str, now: Duration) {
        let state = self.lenders.entry(lender.into()).or_default();
        state.expected_until = None;
        state.ask_after = now + SILENT_LENDER_TIME;
    }

    /// Takes tokens out for the owner of another failure domain, as far as they are not
    /// expected to be needed here soon. A loan of less than a token is of no use unless less
    /// was wanted, so nothing is lent then.
    pub fn lend(&mut self, wanted: f64, share: &DomainShare, now: Duration) -> f64 {
        if !wanted.is_finite() {
            return 0.0;
        }
        self.refresh(share, now);
        let reserve = self.demand.per_second(now) * LEND_RESERVE_S;
        let lent = wanted.min(self.level - reserve);
        if lent > ROUNDING && lent + ROUNDING >= wanted.min(1.0) {
            self.level -= lent;
            lent
        } else {
            0.0
        }
    }

    /// Takes tokens, borrowed ones first because they expire.
    fn take(&mut self, tokens: f64) {
        let mut left = tokens;
        for loan in &mut self.loans {
            let taken = loan.tokens.min(left);
            loan.tokens -= taken;
            left -= taken;
        }
        self.loans.retain(|loan| loan.tokens > 0.0);
        self.level = (self.level - left).max(0.0);
    }
}

fn whole(tokens: f64) -> u32 {
    (tokens + ROUNDING).max(0.0) as u32
}

fn micros(time: Duration) -> u32 {
    time.as_micros().try_into().unwrap_or(u32::MAX)
}
