//! Rate limits of tenants over all daemons together.
//!
//! Each failure domain has an equal share of a tenant's rate and burst. In a domain, one
//! host is the owner of the tenant's token bucket ([`OwnerQuota`]), chosen by rendezvous
//! hashing ([`HostReach`]). The daemon that receives a request gets a token from the owner
//! ([`EntryQuota`]), or uses its part of the tolerance ([`LocalShare`]) if no owner answers
//! in time. An owner that is short of tokens borrows from the owners of the other domains.
//! Tokens are taken out of a bucket before they are sent, so a lost message loses tokens
//! and never creates any.

mod bucket;
mod entry;
mod limits;
mod local_share;
mod owner;
mod rate_estimate;
mod reach;

pub use bucket::OwnerBucket;
pub use entry::AdmitDecision;
pub use entry::EntryQuota;
pub use entry::QuotaCounts;
pub use entry::QuotaRefusal;
pub use entry::RefusalCause;
pub use entry::SentAsk;
pub use entry::WaitKey;
pub use entry::WaitOutcome;
pub use limits::DomainShare;
pub use limits::QuotaBounds;
pub use limits::TOKEN_LEASE;
pub use local_share::LocalShare;
pub use local_share::host_share;
pub use owner::Lender;
pub use owner::LoanOrder;
pub use owner::OwnerQuota;
pub use reach::HostReach;
