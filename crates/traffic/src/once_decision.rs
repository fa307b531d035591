//! The requests that an owner checks against its ledger, and its decisions.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::CallVerdict;
use crate::key::IdempotencyKey;

/// The memory bounds and retention times of a ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceLimits {
    /// The greatest number of records. The default is 100,000, 4.7 times the
    /// expected number (see `examples/once_cost.rs`), so that a burst fits.
    pub records: usize,
    /// The greatest memory of all records, in bytes. The default is 128 MiB.
    pub bytes: usize,
    /// The greatest response body that is stored, in bytes. The default is 64 KiB
    /// (design section 6.1).
    pub body: usize,
    /// How long a caller may re-send a request with the same key. The default is
    /// 600 s.
    pub repeat_window: Duration,
    /// The longest time after sending a call at which the owner may still read
    /// it. It covers the greatest deadline, the idle timeout of a session, and the
    /// 2 s that a call may wait in a socket without the owner counting a pause.
    /// The default is 60 s.
    pub delivery_margin: Duration,
}

impl Default for OnceLimits {
    fn default() -> OnceLimits {
        OnceLimits {
            records: 100_000,
            bytes: 128 << 20,
            body: 64 << 10,
            repeat_window: Duration::from_secs(600),
            delivery_margin: Duration::from_secs(60),
        }
    }
}

impl OnceLimits {
    /// Returns how long a record is retained after its key first arrived.
    pub fn retention(&self) -> Duration {
        self.repeat_window + self.delivery_margin
    }
}

/// A request with an idempotency key, as the owner sees it.
#[derive(Debug, Clone, Copy)]
pub struct OnceRequest<'a> {
    /// The idempotency key of the request.
    pub key: &'a IdempotencyKey,
    /// The service that the request is for.
    pub service: &'a SmolStr,
    /// The tenant. Two tenants may use the same text as an opaque key.
    pub tenant: &'a SmolStr,
    /// The regions that may serve the request, from the owner's configuration.
    /// Empty means all regions.
    pub regions: &'a [SmolStr],
    /// A hash of the request. A key that is reused for a different request is
    /// refused, as the stored response belongs to the first request.
    pub fingerprint: u64,
}

new_key_type! {
    /// Identifies one run of a key.
    ///
    /// When a run ends as "not run", a later run of the same key gets a new ticket.
    pub struct OnceTicket;
}

/// What the owner does with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceDecision {
    /// Run the request, then call `OnceLedger::finish` with this ticket.
    Run(OnceTicket),
    /// A run with the same key is in progress. Wait for it and answer with its
    /// outcome.
    Attach(OnceTicket),
    /// The request ran before. Answer with its stored response.
    Replay(Arc<StoredResponse>),
    /// Answer with the verdict and do not run the request.
    Refuse {
        /// The verdict for the key, over all copies of the request.
        verdict: CallVerdict,
        /// Why the request is refused.
        reason: OnceReason,
    },
}

/// Why a request with an idempotency key is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceReason {
    /// The key arrived before and the outcome of its run is unknown.
    OutcomeUnknown,
    /// The request ran, and its response was not stored.
    ResponseNotStored,
    /// The key arrived before with a different request.
    KeyReused,
    /// The ledger has reached its limit of records or bytes.
    Full,
    /// The key is older than the repeat window.
    KeyExpired,
    /// The daemon restarted since it issued the key.
    IncarnationGone,
    /// The key names this incarnation, but this incarnation did not issue it.
    KeyForged,
    /// Another daemon owns the key, or none does. This copy of the request was
    /// not run and may be sent to the owner.
    NotOwner(Option<SmolStr>),
    /// The owner's region is not a home region of the request.
    OutsideHome,
    /// This daemon has no target of the service.
    ServiceUnknown,
    /// The records of this daemon do not yet go back a whole retention time.
    RecentStart,
    /// This daemon was paused. Either it has not compared its configuration with
    /// a neighbour's since, or it may still read calls sent before the pause.
    Paused,
    /// This former owner of the key has not transferred its records.
    FormerOwner(SmolStr),
}

impl fmt::Display for OnceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OnceReason::OutcomeUnknown => f.write_str("the first run has no known outcome"),
            OnceReason::ResponseNotStored => f.write_str("the response was not kept"),
            OnceReason::KeyReused => f.write_str("the key was used for another request"),
            OnceReason::Full => f.write_str("the ledger of keys is full"),
            OnceReason::KeyExpired => f.write_str("the key is older than the repeat window"),
            OnceReason::IncarnationGone => f.write_str("the daemon that issued the key restarted"),
            OnceReason::KeyForged => f.write_str("the key was not issued by the daemon it names"),
            OnceReason::NotOwner(Some(owner)) => write!(f, "the key is owned by {owner}"),
            OnceReason::NotOwner(None) => f.write_str("the key has no owner in the home regions"),
            OnceReason::OutsideHome => f.write_str("the owner is outside the home regions"),
            OnceReason::ServiceUnknown => f.write_str("the owner has no target of the service"),
            OnceReason::RecentStart => f.write_str("the owner started within the repeat window"),
            OnceReason::Paused => f.write_str("the owner was paused shortly before"),
            OnceReason::FormerOwner(host) => {
                write!(f, "the former owner {host} has not handed over")
            }
        }
    }
}

/// The outcome of a run, as the owner observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceOutcome {
    /// Every dispatch was refused, or there was none. The key may run again.
    NotRun,
    /// The request was dispatched and no complete response head was received.
    MayHaveRun,
    /// The request ran. Its response is stored if the limits allow it.
    Ran(StoredResponse),
    /// The request ran, and its response must not be stored.
    RanUnstored,
}

/// A complete response, stored to answer re-sends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The names and values of the headers, in the order received.
    pub headers: Vec<(SmolStr, Box<[u8]>)>,
    /// The complete body.
    pub body: Box<[u8]>,
}

impl StoredResponse {
    /// Returns the memory used by the response, in bytes.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|(name, value)| HEADER_BYTES + name.len() + value.len())
            .sum();
        size_of::<StoredResponse>() + headers + self.body.len()
    }
}

/// The memory of one stored header without its name and value, in bytes.
const HEADER_BYTES: usize = size_of::<(SmolStr, Box<[u8]>)>();
