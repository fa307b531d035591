//! What goes into the ledger of keys and what comes out of it.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use slotmap::new_key_type;
use smol_str::SmolStr;

use crate::CallVerdict;
use crate::key::IdempotencyKey;

/// The bounds of a ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceLimits {
    /// The greatest number of records. Default 100,000: 4.7 times the design
    /// size (`examples/once_cost.rs`), which leaves room for a burst.
    pub records: usize,
    /// The greatest size of all records, in bytes. Default 128 MiB.
    pub bytes: usize,
    /// The greatest stored body, in bytes. Default 64 KiB, design section 6.1.
    pub body: usize,
    /// How long a caller may send the same key again. Default 600 s.
    pub repeat_window: Duration,
    /// The longest time from sending a call until the owner reads it or never
    /// does: the greatest deadline, the idle timeout of a session, and the 2 s
    /// that a call may wait in a socket without the owner counting a pause.
    /// Default 60 s.
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
    /// Returns how long a record is kept after its key was first begun.
    pub fn keep(&self) -> Duration {
        self.repeat_window + self.delivery_margin
    }
}

/// A request with an idempotency key, as the owner sees it.
#[derive(Debug, Clone, Copy)]
pub struct OnceRequest<'a> {
    /// The key.
    pub key: &'a IdempotencyKey,
    /// The service that answers.
    pub service: &'a SmolStr,
    /// The tenant; two tenants may use the same text as opaque key.
    pub tenant: &'a SmolStr,
    /// The regions that may serve the request, from the owner's configuration;
    /// empty for all.
    pub regions: &'a [SmolStr],
    /// A hash of the request, so that a key used for another request is refused
    /// instead of answered with a response to something else.
    pub fingerprint: u64,
}

new_key_type! {
    /// Names one run of a key.
    ///
    /// The ticket of a run that ended "not run" names no later run of that key.
    pub struct OnceTicket;
}

/// What the owner does with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceDecision {
    /// Run the request, then call `OnceLedger::finish`.
    Run(OnceTicket),
    /// The run named is under way: answer with its outcome.
    Attach(OnceTicket),
    /// The request ran: answer with the first response.
    Replay(Arc<OnceAnswer>),
    /// Answer with the verdict; run nothing.
    Refuse {
        /// What is known of the key, not of this copy of the request alone.
        verdict: CallVerdict,
        /// Why the request is refused.
        reason: OnceReason,
    },
}

/// Why a request with an idempotency key is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceReason {
    /// The first run had no known outcome.
    OutcomeUnknown,
    /// The request ran and its response was not kept.
    AnswerNotKept,
    /// The key came before with another request.
    KeyReused,
    /// The ledger is full.
    Full,
    /// The key is older than the repeat window.
    KeyExpired,
    /// The incarnation that issued the key is gone.
    IncarnationGone,
    /// The key names this incarnation, which did not issue it.
    KeyForged,
    /// Another daemon owns the key. This copy of the request was not run and may
    /// be sent to the owner.
    NotOwner(Option<SmolStr>),
    /// The owner's region is not a home region of the request.
    OutsideHome,
    /// This daemon has no target of the service.
    ServiceUnknown,
    /// This daemon has run for less than the repeat window.
    RecentStart,
    /// This daemon was paused, and has not compared its configuration since or
    /// may still read calls from before.
    Paused,
    /// A former owner of the key has not handed over its records.
    FormerOwner(SmolStr),
}

impl fmt::Display for OnceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OnceReason::OutcomeUnknown => f.write_str("the first run has no known outcome"),
            OnceReason::AnswerNotKept => f.write_str("the response was not kept"),
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

/// What became of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceOutcome {
    /// Nothing was handed over, or all that was is refused: the key may run again.
    NotRun,
    /// The request was handed over and no whole response head came back.
    MayHaveRun,
    /// The request ran; its response is kept if it fits.
    Ran(OnceAnswer),
    /// The request ran; its response is not to be kept.
    RanUnkept,
}

/// A stored response, whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OnceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers, in order.
    pub headers: Vec<(SmolStr, Box<[u8]>)>,
    /// The whole body.
    pub body: Box<[u8]>,
}

impl OnceAnswer {
    /// Returns the memory of the response.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|(name, value)| HEADER_BYTES + name.len() + value.len())
            .sum();
        size_of::<OnceAnswer>() + headers + self.body.len()
    }
}

/// The memory of one stored header besides its text.
const HEADER_BYTES: usize = size_of::<(SmolStr, Box<[u8]>)>();
