//! Requests that may crash the targets that run them.
//!
//! A caller re-sends a request whose target crashed, and the request takes the
//! next target down. Each request that was under way at a crash gets a strike.
//! With a strike it runs alone of its kind at a target, so a second crash tells
//! it from the innocent ones, and it is quarantined.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// Bytes of a body that the fingerprint covers.
pub const FINGERPRINT_BODY: usize = 64 * 1024;

/// Requests with a strike or in quarantine that a daemon remembers. Bounds the
/// memory to about 300 KB.
pub const MAX_SUSPECTS: usize = 4096;

/// Notices that a daemon remembers, to count one that arrives twice once.
const MAX_NOTICES: usize = 4096;

/// Places in the order of age that are looked at to find one that is not
/// quarantined, when the table is full.
const EVICTION_SCAN: usize = 8;

/// Identifies equal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request; of the body, only the first
    /// [`FINGERPRINT_BODY`] bytes count.
    pub fn new(
        service: &str,
        method: &str,
        path: &str,
        tenant: &str,
        key: Option<&str>,
        body: &[u8],
    ) -> Fingerprint {
        let mut hash = Xxh3::new();
        let body = &body[..body.len().min(FINGERPRINT_BODY)];
        let key = key.map_or(&[][..], str::as_bytes);
        let texts = [service, method, path, tenant].map(str::as_bytes);
        for part in texts.into_iter().chain([key, body]) {
            // The length keeps `ab`, `c` apart from `a`, `bc`.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Fingerprint(hash.digest())
    }
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectState {
    /// Nothing.
    Clear,
    /// It has a strike: at most one such request runs at a target at a time.
    Suspect,
    /// It crashed a target while it was a suspect, and is refused until then.
    Quarantined {
        /// When the quarantine ends.
        until: Duration,
    },
}

impl SuspectState {
    /// Returns the refusal of a quarantined request.
    pub fn refusal(self, now: Duration) -> Option<Refusal> {
        match self {
            SuspectState::Quarantined { until } => {
                Some(Refusal::new(RefusalReason::Quarantined).after(until.saturating_sub(now)))
            }
            SuspectState::Clear | SuspectState::Suspect => None,
        }
    }
}

/// What the daemons of a service are told of one request after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StrikeRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Identifies the crash, so that a notice that arrives twice counts once.
    pub crash: u64,
    /// Whether the request had a strike before and is now quarantined.
    pub quarantine: bool,
}

/// The requests with a strike, or in quarantine, that a daemon knows of.
#[derive(Debug)]
pub struct SuspectTable {
    /// Read first, so that a daemon without suspects takes no lock.
    count: AtomicUsize,
    inner: Mutex<SuspectInner>,
}

#[derive(Debug, Default)]
struct SuspectInner {
    window: Duration,
    suspects: HashMap<Fingerprint, SuspectEntry>,
    /// Oldest first; may name requests that were cleared since.
    order: VecDeque<Fingerprint>,
    notices: HashSet<StrikeRecord>,
    notice_order: VecDeque<StrikeRecord>,
}

#[derive(Debug, Clone, Copy)]
struct SuspectEntry {
    expires: Duration,
    quarantined: bool,
}

impl SuspectTable {
    /// Returns an empty table. Strikes and quarantines last for the window.
    pub fn new(window: Duration) -> SuspectTable {
        SuspectTable {
            count: AtomicUsize::new(0),
            inner: Mutex::new(SuspectInner {
                window,
                ..SuspectInner::default()
            }),
        }
    }

    /// Takes over another window, for strikes from now on.
    pub fn configure(&self, window: Duration) {
        self.lock().window = window;
    }

    /// Returns what is known of a request.
    pub fn check(&self, fingerprint: Fingerprint, now: Duration) -> SuspectState {
        if self.count.load(Ordering::Acquire) == 0 {
            return SuspectState::Clear;
        }
        match self.lock().suspects.get(&fingerprint) {
            Some(entry) if entry.expires <= now => SuspectState::Clear,
            Some(entry) if entry.quarantined => SuspectState::Quarantined {
                until: entry.expires,
            },
            Some(_) => SuspectState::Suspect,
            None => SuspectState::Clear,
        }
    }

    /// Records that a target of this host crashed with the requests under way.
    /// Returns what the service's daemons must be told before the callers are
    /// answered.
    pub fn crashed(
        &self,
        crash: u64,
        under_way: &[Fingerprint],
        now: Duration,
    ) -> Vec<StrikeRecord> {
        let mut inner = self.lock();
        let mut told: Vec<StrikeRecord> = Vec::with_capacity(under_way.len());
        for fingerprint in under_way {
            // Two equal requests under way are one suspect, not two crashes.
            if told.iter().any(|record| record.fingerprint == *fingerprint) {
                continue;
            }
            let entry = inner.suspects.get(fingerprint);
            let record = StrikeRecord {
                fingerprint: *fingerprint,
                crash,
                quarantine: entry.is_some_and(|entry| entry.expires > now),
            };
            told.push(record);
        }
        for record in &told {
            inner.apply(*record, now);
        }
        self.count.store(inner.suspects.len(), Ordering::Release);
        told
    }

    /// Takes over what another daemon told. Notices may arrive twice and in any
    /// order.
    pub fn receive(&self, record: StrikeRecord, now: Duration) {
        let mut inner = self.lock();
        inner.apply(record, now);
        self.count.store(inner.suspects.len(), Ordering::Release);
    }

    /// Records that a request with a strike was answered: it is innocent. A
    /// quarantine stays until it ends.
    pub fn answered(&self, fingerprint: Fingerprint) {
        if self.count.load(Ordering::Acquire) == 0 {
            return;
        }
        let mut inner = self.lock();
        if let Some(entry) = inner.suspects.get(&fingerprint)
            && !entry.quarantined
        {
            inner.suspects.remove(&fingerprint);
        }
        self.count.store(inner.suspects.len(), Ordering::Release);
    }

    /// Returns the number of requests with a strike or in quarantine.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Whether no request has a strike or is in quarantine.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Each step leaves the table consistent, so a panic elsewhere under the
    /// lock does no harm.
    fn lock(&self) -> MutexGuard<'_, SuspectInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SuspectInner {
    fn apply(&mut self, record: StrikeRecord, now: Duration) {
        if !self.notices.insert(record) {
            return;
        }
        self.notice_order.push_back(record);
        if self.notice_order.len() > MAX_NOTICES
            && let Some(oldest) = self.notice_order.pop_front()
        {
            self.notices.remove(&oldest);
        }
        let expires = now + self.window;
        match self.suspects.get_mut(&record.fingerprint) {
            Some(entry) => {
                // A first strike that arrives late must not lift a quarantine.
                let held = entry.quarantined && entry.expires > now;
                entry.quarantined = record.quarantine || held;
                entry.expires = entry.expires.max(expires);
            }
            None => {
                let entry = SuspectEntry {
                    expires,
                    quarantined: record.quarantine,
                };
                self.suspects.insert(record.fingerprint, entry);
                self.order.push_back(record.fingerprint);
            }
        }
        self.evict(now);
    }

    fn evict(&mut self, now: Duration) {
        // The order also holds requests that were cleared since; it must not
        // grow with them.
        while self.order.len() > MAX_SUSPECTS {
            let mut scanned = 0;
            while let Some(oldest) = self.order.pop_front() {
                let entry = self.suspects.get(&oldest);
                let keep = entry.is_some_and(|entry| entry.quarantined && entry.expires > now);
                if keep && scanned < EVICTION_SCAN {
                    self.order.push_back(oldest);
                    scanned += 1;
                    continue;
                }
                self.suspects.remove(&oldest);
                break;
            }
        }
    }
}
