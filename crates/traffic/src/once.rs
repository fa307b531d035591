//! At most once: the records by which an owner runs each idempotency key once.
//!
//! The ledger belongs to the daemon that owns the keys. It holds what became of
//! each key for the repeat window, and when it does not know, it answers "may
//! have run". It never answers "not run" for a key that may have run before.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::CallVerdict;
use crate::key::IdempotencyKey;
use crate::key::IssuedKey;
use crate::key::KeyIssuer;
use crate::key::KeyStanding;
use crate::once_cover::ServiceCover;
use crate::once_owner::KeyOwner;
use crate::once_record::EntryState;
use crate::once_record::OnceEntry;
use crate::once_record::RecordName;

pub use crate::once_decision::OnceAnswer;
pub use crate::once_decision::OnceDecision;
pub use crate::once_decision::OnceLimits;
pub use crate::once_decision::OnceOutcome;
pub use crate::once_decision::OnceReason;
pub use crate::once_decision::OnceRequest;
pub use crate::once_decision::OnceTicket;
pub use crate::once_record::fingerprint;

/// A longer time between two events is a pause, which makes a daemon stale
/// (design section 5) and during which the ledger's time stands still.
const LONGEST_STEP: Duration = Duration::from_secs(2);

/// The queue may hold this many places of removed records before it is compacted.
const QUEUE_SLACK: usize = 1024;

/// The records of the keys that a daemon owns.
///
/// Times are since the start of the process. [`OnceLedger::expire_some`] is to
/// be called each second, since more than 2 s between two events count as a
/// pause, during which no time passes for the ledger. Else a re-send that
/// waited in the socket of a paused owner would be read after its record expired.
/// After a pause, opaque keys are run only once the delivery margin is over and
/// [`OnceLedger::confirmed`] says that the configuration in force is current:
/// another owner may have taken over.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use radishgauge_traffic::key::IdempotencyKey;
/// use radishgauge_traffic::key::KeyIssuer;
/// use radishgauge_traffic::once::OnceDecision;
/// use radishgauge_traffic::once::OnceLedger;
/// use radishgauge_traffic::once::OnceLimits;
/// use radishgauge_traffic::once::OnceOutcome;
/// use radishgauge_traffic::once::OnceRequest;
///
/// let issuer = KeyIssuer::new("addis-bole-1", 1_700_000_000_000, [7; 32]);
/// let mut ledger = OnceLedger::new(issuer, "addis", OnceLimits::default());
/// let key = IdempotencyKey::Issued(ledger.issue());
/// let request = OnceRequest {
///     key: &key,
///     service: &"order-desk".into(),
///     tenant: &"".into(),
///     regions: &[],
///     fingerprint: 1,
/// };
/// let now = Duration::from_secs(1);
/// let OnceDecision::Run(ticket) = ledger.begin(&request, now) else {
///     panic!("a new key runs");
/// };
/// assert_eq!(ledger.begin(&request, now), OnceDecision::Attach(ticket));
/// assert!(ledger.started(ticket, now));
/// ledger.finish(ticket, OnceOutcome::MayHaveRun, now);
/// assert!(matches!(ledger.begin(&request, now), OnceDecision::Refuse { .. }));
/// ```
#[derive(Debug, Clone)]
pub struct OnceLedger {
    issuer: KeyIssuer,
    region: SmolStr,
    pub(crate) limits: OnceLimits,
    pub(crate) entries: SlotMap<OnceTicket, OnceEntry>,
    pub(crate) index: HashMap<RecordName, OnceTicket>,
    /// The records by the time they were begun, with places of removed ones.
    queue: VecDeque<(Duration, OnceTicket)>,
    /// The time without pauses.
    clock: Duration,
    /// The latest time seen.
    seen: Duration,
    /// Counts the pauses. A run of an opaque key that began before the latest
    /// hands nothing over.
    pauses: u32,
    /// Whether there was a pause since the configuration was last confirmed.
    stale: bool,
    /// Until then, calls that waited in a socket during a pause may be read. A
    /// former owner's record of their key may have expired meanwhile.
    settled_at: Duration,
    bytes: usize,
    /// Serials below it may have lost their record.
    serial_floor: u64,
    /// The ledger holds every opaque key that it began since then.
    known_since: Duration,
    pub(crate) covers: IndexMap<SmolStr, ServiceCover>,
    /// The hosts that left the host list, and when this daemon saw it.
    pub(crate) gone: IndexMap<SmolStr, Duration>,
}

impl OnceLedger {
    /// Creates the empty ledger of a daemon that starts.
    pub fn new(issuer: KeyIssuer, region: &str, limits: OnceLimits) -> OnceLedger {
        OnceLedger {
            issuer,
            region: SmolStr::new(region),
            limits,
            entries: SlotMap::with_key(),
            index: HashMap::new(),
            queue: VecDeque::new(),
            clock: Duration::ZERO,
            seen: Duration::ZERO,
            pauses: 0,
            stale: false,
            settled_at: Duration::ZERO,
            bytes: 0,
            serial_floor: 0,
            known_since: Duration::ZERO,
            covers: IndexMap::new(),
            gone: IndexMap::new(),
        }
    }

    /// Issues a key that this daemon owns.
    pub fn issue(&mut self) -> IssuedKey {
        self.issuer.issue()
    }

    /// Returns the host of this daemon.
    pub fn host(&self) -> &SmolStr {
        self.issuer.host()
    }

    /// Returns the incarnation of this daemon.
    pub fn incarnation(&self) -> u64 {
        self.issuer.incarnation()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory of the records in bytes, without spare capacity.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides what to do with a request that arrived at this daemon as owner.
    pub fn begin(&mut self, request: &OnceRequest<'_>, now: Duration) -> OnceDecision {
        let now = self.advance(now);
        let name = RecordName::of(request);
        let fingerprint = fingerprint(request);
        if let Some(&ticket) = self.index.get(&name) {
            return self.repeat(ticket, fingerprint);
        }
        if let Err((verdict, reason)) = self.may_run(request, now) {
            return OnceDecision::Refuse { verdict, reason };
        }
        // A full ledger may hold records that are due.
        self.drop_due(2);
        if self.entries.len() >= self.limits.records || self.bytes >= self.limits.bytes {
            let verdict = CallVerdict::NotRun;
            let reason = OnceReason::Full;
            return OnceDecision::Refuse { verdict, reason };
        }
        OnceDecision::Run(self.insert(OnceEntry {
            name,
            fingerprint,
            regions: request.regions.into(),
            state: EntryState::Running {
                handed_over: false,
                pauses: self.pauses,
            },
            since: now,
        }))
    }

    /// Notes that the request is about to be handed over to a target's daemon.
    ///
    /// Returns false when it must not be: the ticket is out of date, an earlier
    /// hand-over was not refused, or the process paused since the run began.
    /// Call it right before the first byte.
    #[must_use = "the request may be handed over only when true"]
    pub fn started(&mut self, ticket: OnceTicket, now: Duration) -> bool {
        self.advance(now);
        let latest = self.pauses;
        let Some(entry) = self.entries.get_mut(ticket) else {
            return false;
        };
        let current = entry.begun_at(latest);
        match &mut entry.state {
            EntryState::Running { handed_over, .. } if !*handed_over && current => {
                *handed_over = true;
                true
            }
            _ => false,
        }
    }

    /// Notes that the receiver of the hand-over refused it explicitly as "not
    /// run"; it may be handed over again, or finished as [`OnceOutcome::NotRun`].
    pub fn refused(&mut self, ticket: OnceTicket) {
        let state = self.entries.get_mut(ticket).map(|entry| &mut entry.state);
        if let Some(EntryState::Running { handed_over, .. }) = state {
            *handed_over = false;
        }
    }

    /// Ends a run, and returns the verdict for it and all that attached to it.
    ///
    /// The verdict is weaker than the outcome claims when the ledger knows less:
    /// a hand-over that was not refused may have run, and during a pause another
    /// owner may have taken over and run the key.
    pub fn finish(
        &mut self,
        ticket: OnceTicket,
        outcome: OnceOutcome,
        now: Duration,
    ) -> CallVerdict {
        self.advance(now);
        let latest = self.pauses;
        let Some(entry) = self.entries.get_mut(ticket) else {
            return match outcome {
                OnceOutcome::Ran(_) | OnceOutcome::RanUnkept => CallVerdict::Ran,
                _ => CallVerdict::MayHaveRun,
            };
        };
        match (&entry.state, outcome) {
            (EntryState::Answered(_), _) => CallVerdict::Ran,
            (
                EntryState::Running {
                    handed_over: false, ..
                },
                OnceOutcome::NotRun,
            ) if entry.begun_at(latest) => {
                self.remove(ticket);
                CallVerdict::NotRun
            }
            (_, OnceOutcome::NotRun | OnceOutcome::MayHaveRun) => {
                entry.state = EntryState::Unknown;
                CallVerdict::MayHaveRun
            }
            (_, OnceOutcome::Ran(answer)) => {
                let bytes = answer.bytes();
                let fits = answer.body.len() <= self.limits.body
                    && self.bytes + bytes <= self.limits.bytes;
                self.bytes += if fits { bytes } else { 0 };
                entry.state = EntryState::Answered(fits.then(|| Arc::new(answer)));
                CallVerdict::Ran
            }
            (_, OnceOutcome::RanUnkept) => {
                entry.state = EntryState::Answered(None);
                CallVerdict::Ran
            }
        }
    }

    /// Drops records whose repeat window is over, at most `most` of them, and
    /// returns how many were looked at.
    ///
    /// A run that has not finished by then is kept as "may have run".
    pub fn expire_some(&mut self, now: Duration, most: usize) -> usize {
        self.advance(now);
        self.drop_due(most)
    }

    /// Drops all records whose repeat window is over.
    pub fn expire(&mut self, now: Duration) {
        self.expire_some(now, usize::MAX);
    }

    /// Notes that the configuration in force was compared with a neighbour's
    /// since the latest pause, and that all newer owner sets were given here.
    pub fn confirmed(&mut self) {
        self.stale = false;
    }

    /// Sets the repeat window of a new configuration.
    ///
    /// After an increase, records that the old window dropped are missing, so
    /// opaque keys without a record are refused for the difference.
    pub fn set_repeat_window(&mut self, window: Duration, now: Duration) {
        let held = self.advance(now).saturating_sub(self.limits.keep());
        self.known_since = self.known_since.max(held);
        self.limits.repeat_window = window;
        self.update_clear();
    }

    /// Moves the ledger's time and returns it.
    pub(crate) fn advance(&mut self, now: Duration) -> Duration {
        let step = now.saturating_sub(self.seen);
        if step > LONGEST_STEP {
            self.pauses += 1;
            self.stale = true;
            self.settled_at = self.clock + self.limits.delivery_margin;
        } else {
            self.clock += step;
        }
        self.seen = self.seen.max(now);
        self.clock
    }

    fn drop_due(&mut self, most: usize) -> usize {
        let now = self.clock;
        let mut seen = 0;
        while seen < most
            && let Some(&(since, ticket)) = self.queue.front()
            && since + self.limits.keep() <= now
        {
            self.queue.pop_front();
            seen += 1;
            let Some(entry) = self.entries.get_mut(ticket) else {
                continue;
            };
            if let EntryState::Running { .. } = entry.state {
                entry.state = EntryState::Unknown;
                entry.since = now;
                self.queue.push_back((now, ticket));
                continue;
            }
            if let IdempotencyKey::Issued(key) = &entry.name.key {
                // Keys with a lower serial were issued earlier, so they are as old.
                self.serial_floor = self.serial_floor.max(key.serial + 1);
            }
            self.remove(ticket);
        }
        seen
    }

    fn repeat(&self, ticket: OnceTicket, fingerprint: u64) -> OnceDecision {
        let entry = &self.entries[ticket];
        let refuse = |verdict, reason| OnceDecision::Refuse { verdict, reason };
        if entry.fingerprint != fingerprint {
            return refuse(CallVerdict::MayHaveRun, OnceReason::KeyReused);
        }
        match &entry.state {
            EntryState::Running { .. } => OnceDecision::Attach(ticket),
            EntryState::Unknown => refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown),
            EntryState::Answered(Some(answer)) => OnceDecision::Replay(answer.clone()),
            EntryState::Answered(None) => refuse(CallVerdict::Ran, OnceReason::AnswerNotKept),
        }
    }

    /// Says whether a key without a record is known not to have run.
    fn may_run(
        &self,
        request: &OnceRequest<'_>,
        now: Duration,
    ) -> Result<(), (CallVerdict, OnceReason)> {
        let unknown = |reason| Err((CallVerdict::MayHaveRun, reason));
        match request.key {
            IdempotencyKey::Issued(key) => match self.issuer.standing(key) {
                KeyStanding::OtherHost => unknown(OnceReason::NotOwner(Some(key.host.clone()))),
                KeyStanding::OtherIncarnation => unknown(OnceReason::IncarnationGone),
                KeyStanding::Forged => unknown(OnceReason::KeyForged),
                KeyStanding::Issued if key.serial < self.serial_floor => {
                    unknown(OnceReason::KeyExpired)
                }
                KeyStanding::Issued
                    if !request.regions.is_empty() && !request.regions.contains(&self.region) =>
                {
                    Err((CallVerdict::NotRun, OnceReason::OutsideHome))
                }
                KeyStanding::Issued => Ok(()),
            },
            IdempotencyKey::Opaque(text) => {
                let Some(cover) = self.covers.get(request.service) else {
                    return unknown(OnceReason::ServiceUnknown);
                };
                match KeyOwner::of(request.service, text, cover.current(), request.regions) {
                    Some(owner) if owner.host == *self.host() => {}
                    owner => return unknown(OnceReason::NotOwner(owner.map(|owner| owner.host))),
                }
                if self.stale || self.clock < self.settled_at {
                    return unknown(OnceReason::Paused);
                }
                if self.unknown_for() > Duration::ZERO {
                    return unknown(OnceReason::RecentStart);
                }
                match self.unresolved(request.service, text, request.regions, now) {
                    Some(host) => unknown(OnceReason::FormerOwner(host)),
                    None => Ok(()),
                }
            }
        }
    }

    pub(crate) fn insert(&mut self, entry: OnceEntry) -> OnceTicket {
        if self.queue.len() > 2 * self.entries.len() + QUEUE_SLACK {
            let entries = &self.entries;
            self.queue
                .retain(|(_, ticket)| entries.contains_key(*ticket));
        }
        self.bytes += entry.bytes();
        let name = entry.name.clone();
        let since = entry.since;
        let ticket = self.entries.insert(entry);
        self.index.insert(name, ticket);
        self.queue.push_back((since, ticket));
        ticket
    }

    /// Takes a response for a run whose outcome was unknown.
    pub(crate) fn learn(&mut self, ticket: OnceTicket, state: EntryState) {
        let entry = &mut self.entries[ticket];
        if let (EntryState::Unknown, EntryState::Answered(_)) = (&entry.state, &state) {
            let before = entry.bytes();
            entry.state = state;
            self.bytes += entry.bytes() - before;
        }
    }

    fn remove(&mut self, ticket: OnceTicket) {
        if let Some(entry) = self.entries.remove(ticket) {
            self.bytes -= entry.bytes();
            self.index.remove(&entry.name);
        }
    }

    pub(crate) fn spare_bytes(&self) -> usize {
        self.limits.bytes.saturating_sub(self.bytes)
    }

    /// Returns the time until opaque keys without a record are known.
    pub(crate) fn unknown_for(&self) -> Duration {
        let known = self.clock.saturating_sub(self.known_since);
        self.limits.keep().saturating_sub(known)
    }
}
