//! The buckets that a daemon owns.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_schema::quota::LoanRequest;
use radishgauge_schema::quota::TokenGrant;
use radishgauge_schema::quota::TokenRequest;
use smol_str::SmolStr;

use super::bucket::OwnerBucket;
use super::limits::DomainShare;

/// Another failure domain, whose owners lend tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lender {
    /// The name of the failure domain.
    pub domain: SmolStr,
    /// Whether it is in the same region.
    pub is_near: bool,
}

/// A loan to request from the owner of a tenant in another failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanOrder {
    /// The name of the tenant.
    pub tenant: SmolStr,
    /// The failure domain of the lender.
    pub domain: SmolStr,
    /// The tokens to ask for.
    pub tokens: f64,
}

/// The buckets that one daemon owns in its failure domain.
#[derive(Debug, Default)]
pub struct OwnerQuota {
    buckets: IndexMap<SmolStr, OwnerBucket>,
    lenders: Vec<Lender>,
    /// Since when this daemon is sure to own what it owns.
    since: Duration,
}

impl OwnerQuota {
    /// Returns an owner without buckets, which owns since the time `now`.
    pub fn new(now: Duration) -> OwnerQuota {
        OwnerQuota {
            since: now,
            ..OwnerQuota::default()
        }
    }

    /// Replaces the other failure domains; those in the same region come first.
    pub fn set_lenders<I>(&mut self, lenders: I)
    where
        I: IntoIterator<Item = Lender>,
    {
        self.lenders.clear();
        self.lenders.extend(lenders);
        self.lenders.sort_by_key(|lender| !lender.is_near);
    }

    /// Drops all buckets, because other daemons may have taken them over.
    pub fn restart(&mut self, now: Duration) {
        self.buckets.clear();
        self.since = now;
    }

    /// Keeps the buckets that this daemon still owns after a change of the hosts or of
    /// their reachability.
    pub fn keep_owned<F>(&mut self, mut is_owned: F, now: Duration)
    where
        F: FnMut(&str) -> bool,
    {
        self.buckets.retain(|tenant, _| is_owned(tenant));
        self.since = now;
    }

    /// Decides on a request for tokens, and returns the loans that the owner needs.
    pub fn grant(
        &mut self,
        asker: IpAddr,
        request: &TokenRequest,
        share: &DomainShare,
        now: Duration,
    ) -> (TokenGrant, Vec<LoanOrder>) {
        let tenant = SmolStr::from(request.tenant.as_str());
        let since = self.since;
        let bucket = self.buckets.entry(tenant.clone());
        let bucket = bucket.or_insert_with(|| OwnerBucket::open(share, since, now));
        let grant = bucket.grant(asker, request, share, &self.lenders, now);
        let missing = request.waiting.saturating_sub(grant.tokens);
        let orders = bucket.order_loans(missing, share, &self.lenders, now);
        let orders = orders.into_iter().map(|(domain, tokens)| LoanOrder {
            tenant: tenant.clone(),
            domain,
            tokens,
        });
        (grant, orders.collect())
    }

    /// Takes out tokens for the owner of another failure domain.
    pub fn lend(&mut self, request: &LoanRequest, share: &DomainShare, now: Duration) -> f64 {
        let since = self.since;
        let bucket = self.buckets.entry(request.tenant.as_str().into());
        let bucket = bucket.or_insert_with(|| OwnerBucket::open(share, since, now));
        bucket.lend(f64::from(request.tokens), share, now)
    }

    /// Adds a loan that was requested at the time `sent`.
    pub fn receive_loan(&mut self, order: &LoanOrder, tokens: f64, sent: Duration) {
        // A bucket that was dropped meanwhile has lost the loan.
        if let Some(bucket) = self.buckets.get_mut(&order.tenant) {
            bucket.receive_loan(&order.domain, order.tokens, tokens, sent);
        }
    }

    /// Records that a loan was not answered.
    pub fn fail_loan(&mut self, order: &LoanOrder, now: Duration) {
        if let Some(bucket) = self.buckets.get_mut(&order.tenant) {
            bucket.fail_loan(&order.domain, now);
        }
    }

    /// Returns the number of buckets.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether there is no bucket.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
