//! Detection and quarantine of requests that crash targets.
//!
//! When a request crashes its target, the caller sends it again and it crashes
//! the next target. Each request that was in flight during a crash therefore
//! becomes a suspect. A target runs at most one suspect at a time, so that a
//! second crash identifies the suspect that caused it, which is then
//! quarantined.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

pub use radishgauge_mesh::fingerprint::FINGERPRINT_BODY;
pub use radishgauge_mesh::fingerprint::Fingerprint;

use crate::refusal::Refusal;
use crate::refusal::RefusalReason;

/// The maximum number of suspect and quarantined requests in a daemon's table,
/// which bounds its memory to about 300 KB.
pub const MAX_SUSPECTS: usize = 4096;

/// The number of most recent notices that a daemon stores to detect duplicates.
const MAX_NOTICES: usize = 4096;

/// The number of quarantined entries that are skipped, oldest first, to find one
/// that can be evicted from a full table.
const EVICTION_SCAN: usize = 8;

/// The state of a request in the [`SuspectTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectState {
    /// The request is not suspected of crashing targets.
    Clear,
    /// The request was in flight when a target crashed; a target runs at most
    /// one such request at a time.
    Suspect,
    /// A target crashed while it ran the request as a suspect; the request is
    /// refused.
    Quarantined {
        /// The time at which the quarantine ends.
        until: Duration,
    },
}

impl SuspectState {
    /// Returns the refusal of a quarantined request, and `None` in the other
    /// states.
    pub fn refusal(self, now: Duration) -> Option<Refusal> {
        match self {
            SuspectState::Quarantined { until } => Some(
                Refusal::new(RefusalReason::Quarantined)
                    .with_retry_after(until.saturating_sub(now)),
            ),
            SuspectState::Clear | SuspectState::Suspect => None,
        }
    }
}

/// The notice to the daemons of a service about one request that was in flight
/// during a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SuspectNotice {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Identifies the crash, so that a duplicate of the notice is ignored.
    pub crash: u64,
    /// Whether the request was already a suspect and is now quarantined.
    pub quarantine: bool,
}

/// A daemon's table of suspect and quarantined requests.
#[derive(Debug)]
pub struct SuspectTable {
    /// The number of entries. It is read first, so that a check on an empty
    /// table takes no lock.
    count: AtomicUsize,
    inner: Mutex<SuspectInner>,
}

#[derive(Debug, Default)]
struct SuspectInner {
    window: Duration,
    suspects: HashMap<Fingerprint, SuspectEntry>,
    /// The keys of `suspects`, oldest first. May contain requests that were
    /// cleared since.
    order: VecDeque<Fingerprint>,
    seen_notices: HashSet<SuspectNotice>,
    seen_order: VecDeque<SuspectNotice>,
}

#[derive(Debug, Clone, Copy)]
struct SuspectEntry {
    expires: Duration,
    quarantined: bool,
}

impl SuspectTable {
    /// Returns an empty table. Suspicions and quarantines last for the window.
    pub fn new(window: Duration) -> SuspectTable {
        SuspectTable {
            count: AtomicUsize::new(0),
            inner: Mutex::new(SuspectInner {
                window,
                ..SuspectInner::default()
            }),
        }
    }

    /// Changes the window for notices from now on.
    pub fn configure(&self, window: Duration) {
        self.lock().window = window;
    }

    /// Returns the state of a request.
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

    /// Records that a target of this host crashed while it ran the requests
    /// `in_flight`. Returns the notices that must be sent to the daemons of the
    /// service before the callers get a response.
    pub fn record_crash(
        &self,
        crash: u64,
        in_flight: &[Fingerprint],
        now: Duration,
    ) -> Vec<SuspectNotice> {
        let mut inner = self.lock();
        let mut crash_notices: Vec<SuspectNotice> = Vec::with_capacity(in_flight.len());
        for fingerprint in in_flight {
            // Two equal requests in flight are one suspect, not two crashes.
            if crash_notices
                .iter()
                .any(|notice| notice.fingerprint == *fingerprint)
            {
                continue;
            }
            let entry = inner.suspects.get(fingerprint);
            let notice = SuspectNotice {
                fingerprint: *fingerprint,
                crash,
                quarantine: entry.is_some_and(|entry| entry.expires > now),
            };
            crash_notices.push(notice);
        }
        for notice in &crash_notices {
            inner.apply(*notice, now);
        }
        self.count.store(inner.suspects.len(), Ordering::Release);
        crash_notices
    }

    /// Applies a notice of another daemon. Notices may arrive twice and in any
    /// order.
    pub fn receive(&self, notice: SuspectNotice, now: Duration) {
        let mut inner = self.lock();
        inner.apply(notice, now);
        self.count.store(inner.suspects.len(), Ordering::Release);
    }

    /// Records that a request got a response, which clears it if it is a
    /// suspect. A quarantined request stays quarantined.
    pub fn record_answer(&self, fingerprint: Fingerprint) {
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

    /// Returns the number of suspect and quarantined requests.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Returns whether no request is suspect or quarantined.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Ignores poisoning: each step leaves the table consistent, so that it is
    /// still usable after a panic of a thread that held the lock.
    fn lock(&self) -> MutexGuard<'_, SuspectInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SuspectInner {
    fn apply(&mut self, notice: SuspectNotice, now: Duration) {
        if !self.seen_notices.insert(notice) {
            return;
        }
        self.seen_order.push_back(notice);
        if self.seen_order.len() > MAX_NOTICES
            && let Some(oldest) = self.seen_order.pop_front()
        {
            self.seen_notices.remove(&oldest);
        }
        let expires = now + self.window;
        match self.suspects.get_mut(&notice.fingerprint) {
            Some(entry) => {
                // A late notice of an earlier crash must not end a quarantine.
                let still_quarantined = entry.quarantined && entry.expires > now;
                entry.quarantined = notice.quarantine || still_quarantined;
                entry.expires = entry.expires.max(expires);
            }
            None => {
                let entry = SuspectEntry {
                    expires,
                    quarantined: notice.quarantine,
                };
                self.suspects.insert(notice.fingerprint, entry);
                self.order.push_back(notice.fingerprint);
            }
        }
        self.evict(now);
    }

    fn evict(&mut self, now: Duration) {
        // `order` also contains requests that were cleared since, and must not
        // grow with them without bound.
        while self.order.len() > MAX_SUSPECTS {
            let mut scanned = 0;
            while let Some(oldest) = self.order.pop_front() {
                let entry = self.suspects.get(&oldest);
                let retained = entry.is_some_and(|entry| entry.quarantined && entry.expires > now);
                if retained && scanned < EVICTION_SCAN {
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
