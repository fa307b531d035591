//! At-most-once execution of requests with an idempotency key.
//!
//! The daemon that owns a key records the outcome of its request for the repeat
//! window. When the outcome is not known, the ledger answers "may have run". It
//! never answers "not run" for a key that may have run before.

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
use crate::key::KeyOrigin;
use crate::once_owner::KeyOwner;
use crate::once_ownership::ServiceOwnership;
use crate::once_record::EntryState;
use crate::once_record::OnceEntry;
use crate::once_record::RecordId;

pub use crate::once_decision::OnceDecision;
pub use crate::once_decision::OnceLimits;
pub use crate::once_decision::OnceOutcome;
pub use crate::once_decision::OnceReason;
pub use crate::once_decision::OnceRequest;
pub use crate::once_decision::OnceTicket;
pub use crate::once_decision::StoredResponse;
pub use crate::once_record::fingerprint;

/// A longer time between two events counts as a pause of the process. A pause
/// makes the daemon stale (design section 5), and the ledger's clock does not
/// advance during it.
const LONGEST_STEP: Duration = Duration::from_secs(2);

/// The expiry queue is compacted when it has more than twice as many elements as
/// there are records, plus this number.
const QUEUE_SLACK: usize = 1024;

/// The records of the keys that a daemon owns.
///
/// All times are measured from the start of the process. The caller must call
/// [`OnceLedger::expire_some`] once a second: more than 2 s between two events
/// count as a pause, and the ledger's clock does not advance during a pause. If
/// it did, a re-send that waited in the socket of a paused owner would be read
/// after its record had expired.
///
/// During a pause another daemon may have become the owner of an opaque key.
/// After a pause, new opaque keys therefore run only when the delivery margin has
/// passed and [`OnceLedger::config_confirmed`] was called.
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
/// assert!(ledger.begin_dispatch(ticket, now));
/// ledger.finish(ticket, OnceOutcome::MayHaveRun, now);
/// assert!(matches!(ledger.begin(&request, now), OnceDecision::Refuse { .. }));
/// ```
#[derive(Debug, Clone)]
pub struct OnceLedger {
    issuer: KeyIssuer,
    region: SmolStr,
    pub(crate) limits: OnceLimits,
    pub(crate) entries: SlotMap<OnceTicket, OnceEntry>,
    pub(crate) index: HashMap<RecordId, OnceTicket>,
    /// The records in the order in which they were added, each with the start of
    /// its retention time. Tickets of removed records stay until they are reached
    /// or the queue is compacted.
    queue: VecDeque<(Duration, OnceTicket)>,
    /// The time since the start of the process, without pauses.
    clock: Duration,
    /// The latest time that a caller passed in.
    last_event: Duration,
    /// The number of pauses so far. A run of an opaque key that began before the
    /// latest pause must not be dispatched.
    pauses: u32,
    /// Whether the process paused since the configuration was last confirmed.
    stale: bool,
    /// Until this time, calls that waited in a socket during a pause may still
    /// be read. A former owner's record of their key may have expired meanwhile.
    late_calls_until: Duration,
    bytes: usize,
    /// The record of an issued key with a lower serial may have expired.
    serial_floor: u64,
    /// The ledger has a record of every opaque key that arrived since this time.
    history_since: Duration,
    pub(crate) services: IndexMap<SmolStr, ServiceOwnership>,
    /// The hosts that the host list no longer has, and when this daemon noticed.
    pub(crate) gone_hosts: IndexMap<SmolStr, Duration>,
}

impl OnceLedger {
    /// Creates an empty ledger, at the start of a daemon in `region`.
    pub fn new(issuer: KeyIssuer, region: &str, limits: OnceLimits) -> OnceLedger {
        OnceLedger {
            issuer,
            region: SmolStr::new(region),
            limits,
            entries: SlotMap::with_key(),
            index: HashMap::new(),
            queue: VecDeque::new(),
            clock: Duration::ZERO,
            last_event: Duration::ZERO,
            pauses: 0,
            stale: false,
            late_calls_until: Duration::ZERO,
            bytes: 0,
            serial_floor: 0,
            history_since: Duration::ZERO,
            services: IndexMap::new(),
            gone_hosts: IndexMap::new(),
        }
    }

    /// Issues a new key, owned by this daemon.
    pub fn issue(&mut self) -> IssuedKey {
        self.issuer.issue()
    }

    /// Returns the host that this daemon runs on.
    pub fn host(&self) -> &SmolStr {
        self.issuer.host()
    }

    /// Returns the incarnation of this daemon, in ms since the Unix epoch.
    pub fn incarnation(&self) -> u64 {
        self.issuer.incarnation()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the ledger has no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory used by the records in bytes, without spare capacity.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides what to do with a request for which this daemon may be the owner.
    pub fn begin(&mut self, request: &OnceRequest<'_>, now: Duration) -> OnceDecision {
        let now = self.advance(now);
        let id = RecordId::of(request);
        let fingerprint = fingerprint(request);
        if let Some(&ticket) = self.index.get(&id) {
            return self.decide_repeat(ticket, fingerprint);
        }
        if let Err((verdict, reason)) = self.may_run(request, now) {
            return OnceDecision::Refuse { verdict, reason };
        }
        // A full ledger may have records that can be expired now.
        self.drop_expired(2);
        if self.entries.len() >= self.limits.records || self.bytes >= self.limits.bytes {
            let verdict = CallVerdict::NotRun;
            let reason = OnceReason::Full;
            return OnceDecision::Refuse { verdict, reason };
        }
        OnceDecision::Run(self.insert(OnceEntry {
            id,
            fingerprint,
            regions: request.regions.into(),
            state: EntryState::Running {
                dispatched: false,
                pauses: self.pauses,
            },
            since: now,
        }))
    }

    /// Records that the request is about to be dispatched to a target's daemon.
    ///
    /// Returns false when the request must not be dispatched: the ticket is out
    /// of date, an earlier dispatch was not refused, or the process paused since
    /// the run of an opaque key began. Call it right before the first byte is
    /// sent.
    #[must_use = "the request may be dispatched only when true"]
    pub fn begin_dispatch(&mut self, ticket: OnceTicket, now: Duration) -> bool {
        self.advance(now);
        let latest = self.pauses;
        let Some(entry) = self.entries.get_mut(ticket) else {
            return false;
        };
        let current = entry.uninterrupted(latest);
        match &mut entry.state {
            EntryState::Running { dispatched, .. } if !*dispatched && current => {
                *dispatched = true;
                true
            }
            _ => false,
        }
    }

    /// Records that the receiving daemon explicitly refused the request as "not
    /// run".
    ///
    /// The request may then be dispatched again, or finished with
    /// [`OnceOutcome::NotRun`].
    pub fn dispatch_refused(&mut self, ticket: OnceTicket) {
        let state = self.entries.get_mut(ticket).map(|entry| &mut entry.state);
        if let Some(EntryState::Running { dispatched, .. }) = state {
            *dispatched = false;
        }
    }

    /// Ends a run and returns the verdict for its request and for each request
    /// that attached to it.
    ///
    /// [`OnceOutcome::NotRun`] is reported as "may have run" when the ledger cannot
    /// confirm it: a dispatch that was not refused may have run, and during a
    /// pause another daemon may have become the owner and run the key.
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
                OnceOutcome::Ran(_) | OnceOutcome::RanUnstored => CallVerdict::Ran,
                _ => CallVerdict::MayHaveRun,
            };
        };
        match (&entry.state, outcome) {
            (EntryState::Answered(_), _) => CallVerdict::Ran,
            (
                EntryState::Running {
                    dispatched: false, ..
                },
                OnceOutcome::NotRun,
            ) if entry.uninterrupted(latest) => {
                self.remove(ticket);
                CallVerdict::NotRun
            }
            (_, OnceOutcome::NotRun | OnceOutcome::MayHaveRun) => {
                entry.state = EntryState::Unknown;
                CallVerdict::MayHaveRun
            }
            (_, OnceOutcome::Ran(response)) => {
                let bytes = response.bytes();
                let fits = response.body.len() <= self.limits.body
                    && self.bytes + bytes <= self.limits.bytes;
                self.bytes += if fits { bytes } else { 0 };
                entry.state = EntryState::Answered(fits.then(|| Arc::new(response)));
                CallVerdict::Ran
            }
            (_, OnceOutcome::RanUnstored) => {
                entry.state = EntryState::Answered(None);
                CallVerdict::Ran
            }
        }
    }

    /// Drops records whose retention time is over, examining at most `most`, and
    /// returns how many it examined.
    ///
    /// The record of a run that has not finished by then is not dropped: it
    /// becomes "may have run" and is retained for another retention time.
    pub fn expire_some(&mut self, now: Duration, most: usize) -> usize {
        self.advance(now);
        self.drop_expired(most)
    }

    /// Drops all records whose retention time is over.
    pub fn expire(&mut self, now: Duration) {
        self.expire_some(now, usize::MAX);
    }

    /// Records that the configuration in force was compared with a neighbour's
    /// since the latest pause, and that this ledger has received every newer owner
    /// set.
    pub fn config_confirmed(&mut self) {
        self.stale = false;
    }

    /// Sets the repeat window of a new configuration.
    ///
    /// After an increase, records that expired under the shorter window are
    /// missing. New opaque keys are therefore refused until the difference has
    /// passed.
    pub fn set_repeat_window(&mut self, window: Duration, now: Duration) {
        let oldest_record = self.advance(now).saturating_sub(self.limits.retention());
        self.history_since = self.history_since.max(oldest_record);
        self.limits.repeat_window = window;
        self.update_all_resolved_at();
    }

    /// Advances the ledger's clock, unless the process paused, and returns it.
    pub(crate) fn advance(&mut self, now: Duration) -> Duration {
        let step = now.saturating_sub(self.last_event);
        if step > LONGEST_STEP {
            self.pauses += 1;
            self.stale = true;
            self.late_calls_until = self.clock + self.limits.delivery_margin;
        } else {
            self.clock += step;
        }
        self.last_event = self.last_event.max(now);
        self.clock
    }

    fn drop_expired(&mut self, most: usize) -> usize {
        let now = self.clock;
        let mut examined = 0;
        while examined < most
            && let Some(&(since, ticket)) = self.queue.front()
            && since + self.limits.retention() <= now
        {
            self.queue.pop_front();
            examined += 1;
            let Some(entry) = self.entries.get_mut(ticket) else {
                continue;
            };
            if let EntryState::Running { .. } = entry.state {
                entry.state = EntryState::Unknown;
                entry.since = now;
                self.queue.push_back((now, ticket));
                continue;
            }
            if let IdempotencyKey::Issued(key) = &entry.id.key {
                // Keys with a lower serial were issued earlier, so they are at
                // least as old.
                self.serial_floor = self.serial_floor.max(key.serial + 1);
            }
            self.remove(ticket);
        }
        examined
    }

    fn decide_repeat(&self, ticket: OnceTicket, fingerprint: u64) -> OnceDecision {
        let entry = &self.entries[ticket];
        let refuse = |verdict, reason| OnceDecision::Refuse { verdict, reason };
        if entry.fingerprint != fingerprint {
            return refuse(CallVerdict::MayHaveRun, OnceReason::KeyReused);
        }
        match &entry.state {
            EntryState::Running { .. } => OnceDecision::Attach(ticket),
            EntryState::Unknown => refuse(CallVerdict::MayHaveRun, OnceReason::OutcomeUnknown),
            EntryState::Answered(Some(response)) => OnceDecision::Replay(response.clone()),
            EntryState::Answered(None) => refuse(CallVerdict::Ran, OnceReason::ResponseNotStored),
        }
    }

    /// Checks that a request whose key has no record may run here: the key cannot
    /// have run before, here or at another owner.
    fn may_run(
        &self,
        request: &OnceRequest<'_>,
        now: Duration,
    ) -> Result<(), (CallVerdict, OnceReason)> {
        let unknown = |reason| Err((CallVerdict::MayHaveRun, reason));
        match request.key {
            IdempotencyKey::Issued(key) => match self.issuer.origin(key) {
                KeyOrigin::OtherHost => unknown(OnceReason::NotOwner(Some(key.host.clone()))),
                KeyOrigin::OtherIncarnation => unknown(OnceReason::IncarnationGone),
                KeyOrigin::Forged => unknown(OnceReason::KeyForged),
                KeyOrigin::Issued if key.serial < self.serial_floor => {
                    unknown(OnceReason::KeyExpired)
                }
                KeyOrigin::Issued
                    if !request.regions.is_empty() && !request.regions.contains(&self.region) =>
                {
                    Err((CallVerdict::NotRun, OnceReason::OutsideHome))
                }
                KeyOrigin::Issued => Ok(()),
            },
            IdempotencyKey::Opaque(text) => {
                let Some(ownership) = self.services.get(request.service) else {
                    return unknown(OnceReason::ServiceUnknown);
                };
                match KeyOwner::of(request.service, text, ownership.current(), request.regions) {
                    Some(owner) if owner.host == *self.host() => {}
                    owner => return unknown(OnceReason::NotOwner(owner.map(|owner| owner.host))),
                }
                if self.stale || self.clock < self.late_calls_until {
                    return unknown(OnceReason::Paused);
                }
                if self.unknown_for() > Duration::ZERO {
                    return unknown(OnceReason::RecentStart);
                }
                match self.unresolved_owner(request.service, text, request.regions, now) {
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
        let id = entry.id.clone();
        let since = entry.since;
        let ticket = self.entries.insert(entry);
        self.index.insert(id, ticket);
        self.queue.push_back((since, ticket));
        ticket
    }

    /// Replaces an unknown outcome with that of a transferred record, if it ran.
    pub(crate) fn record_outcome(&mut self, ticket: OnceTicket, state: EntryState) {
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
            self.index.remove(&entry.id);
        }
    }

    pub(crate) fn spare_bytes(&self) -> usize {
        self.limits.bytes.saturating_sub(self.bytes)
    }

    /// Returns how long it takes until the ledger's records go back a whole
    /// retention time. Until then, an opaque key without a record may have run.
    pub(crate) fn unknown_for(&self) -> Duration {
        let known = self.clock.saturating_sub(self.history_since);
        self.limits.retention().saturating_sub(known)
    }
}
