//! Detection and quarantine of requests under which targets end.
//!
//! Some requests end each target that begins to run them, and their callers send
//! them again. An end shows little by itself: a target runs many requests at once
//! and may have ended for another reason. The evidence is weighed as follows.
//!
//! * An end counts against each request that was in flight, except for those that
//!   have run well at the same incarnation of the target; see [`WellRuns`](crate::WellRuns).
//! * A run that succeeds clears its request of the ends of targets with the same
//!   software, as do several failures in a row; see [`RunEvidence`].
//! * Several targets may end at the same time, with a popular request in flight at
//!   each. Ends therefore count only as often as they followed on each other: an end
//!   has a *round*, which is 1 plus the greatest round of the ends that were known
//!   when the run began.
//!
//! A request is quarantined after enough ends in at least two rounds, at targets with
//! the software that ended, or everywhere if targets with several kinds of software
//! ended. Daemons tell
//! each other what they know as records, which can be merged in any order and any
//! number of times.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fingerprint::Fingerprint;
use crate::run_evidence::RunAnswer;
use crate::run_evidence::RunEvidence;
use crate::suspect_entry::SuspectEntry;
use crate::suspect_record::FailedRun;
use crate::suspect_record::SHARED_ENDS;
use crate::suspect_record::SuspectRecord;
use crate::suspect_record::TargetEnd;
use crate::target::TargetSoftware;

/// The maximum number of requests in a daemon's table, which bounds its memory to
/// about 2 MB while targets with one software end.
pub const MAX_SUSPECTS: usize = 4096;

/// The greatest number of records that one message holds.
const MAX_SHARED_RECORDS: usize = 1024;

/// The number of quarantined entries that are skipped, oldest first, to find one
/// that can be evicted from a full table.
const EVICTION_SCAN: usize = 8;

/// When a request is quarantined, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectPolicy {
    /// The number of ends after which a request is quarantined.
    pub ends: usize,
    /// How long a quarantine lasts after the latest end. For the same time after it,
    /// one more end renews it.
    pub time: Duration,
}

impl SuspectPolicy {
    /// Returns how long an entry is kept after its latest end.
    fn retention(&self) -> Duration {
        self.time * 2
    }
}

/// The state of a request in the [`SuspectTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectState {
    /// No target has ended under the request since it last ran well.
    Clear,
    /// A few targets have ended under the request, most likely for another reason.
    Suspect,
    /// One more end would quarantine the request. It runs at one target at a time, and
    /// alone among such requests, so that its next run tells whether it is the cause.
    OnTrial,
    /// The request is refused.
    Quarantined {
        /// The time at which the quarantine ends.
        until: Duration,
    },
}

impl SuspectState {
    /// Returns when the quarantine ends; `None` if there is none.
    pub fn quarantined_until(self) -> Option<Duration> {
        match self {
            SuspectState::Quarantined { until } => Some(until),
            SuspectState::Clear | SuspectState::Suspect | SuspectState::OnTrial => None,
        }
    }
}

/// Returns the position of a target in the order in which a request on trial is sent to
/// targets; the least comes first. All senders have the same order.
pub fn trial_position(fingerprint: Fingerprint, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), fingerprint.0)
}

/// A request at targets with one software.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectKey {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// What the targets run.
    pub software: TargetSoftware,
}

/// For fleets in which the fingerprint alone tells what the targets run.
impl From<Fingerprint> for SuspectKey {
    fn from(fingerprint: Fingerprint) -> SuspectKey {
        SuspectKey {
            fingerprint,
            software: TargetSoftware::default(),
        }
    }
}

/// A run of a request, as it is known when it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectRun {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// What the target runs.
    pub software: TargetSoftware,
    /// The round of the end of the target, if it ends now.
    pub round: u32,
}

/// A daemon's table of the requests under which targets have ended.
#[derive(Debug)]
pub struct SuspectTable {
    /// The number of entries. It is read first, so that a check on an empty
    /// table takes no lock.
    count: AtomicUsize,
    inner: Mutex<SuspectInner>,
}

#[derive(Debug)]
struct SuspectInner {
    policy: SuspectPolicy,
    entries: HashMap<Fingerprint, SuspectEntry>,
    /// The keys of `entries`, oldest first.
    order: VecDeque<Fingerprint>,
    /// The digest of the shared records, until a change or the given time.
    digest: Option<(u64, Duration)>,
}

impl SuspectTable {
    /// Returns an empty table.
    pub fn new(policy: SuspectPolicy) -> SuspectTable {
        SuspectTable {
            count: AtomicUsize::new(0),
            inner: Mutex::new(SuspectInner {
                policy,
                entries: HashMap::new(),
                order: VecDeque::new(),
                digest: None,
            }),
        }
    }

    /// Changes the policy from now on.
    pub fn configure(&self, policy: SuspectPolicy) {
        self.lock().policy = policy;
    }

    /// Returns the state of a request.
    pub fn check<K>(&self, key: K, now: Duration) -> SuspectState
    where
        K: Into<SuspectKey>,
    {
        if self.is_empty() {
            return SuspectState::Clear;
        }
        let key = key.into();
        let inner = self.lock();
        let entry = inner.entries.get(&key.fingerprint);
        entry.map_or(SuspectState::Clear, |entry| {
            entry.state(key.software, inner.policy, now)
        })
    }

    /// Returns whether a request is quarantined at targets with some software.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        if self.is_empty() {
            return false;
        }
        let inner = self.lock();
        let entry = inner.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.is_quarantined(inner.policy, now))
    }

    /// Records that a run of a request begins. The result is needed if the target
    /// ends during the run.
    pub fn begin<K>(&self, key: K, now: Duration) -> SuspectRun
    where
        K: Into<SuspectKey>,
    {
        let SuspectKey {
            fingerprint,
            software,
        } = key.into();
        let mut round = 1;
        if !self.is_empty() {
            let inner = self.lock();
            let entry = inner.entries.get(&fingerprint);
            let entry = entry.filter(|entry| entry.expires > now);
            round += entry.map_or(0, SuspectEntry::last_round);
        }
        SuspectRun {
            fingerprint,
            software,
            round,
        }
    }

    /// Records that a target of this host ended while it ran `in_flight`. `id`
    /// identifies the end. Returns what other daemons must know of these requests.
    pub fn record_end(
        &self,
        id: u64,
        in_flight: &[SuspectRun],
        now: Duration,
    ) -> Vec<SuspectRecord> {
        let mut inner = self.lock();
        let mut rounds: Vec<SuspectRun> = Vec::with_capacity(in_flight.len());
        for run in in_flight {
            // Equal requests in flight are one suspect, not several ends.
            let known = rounds
                .iter_mut()
                .find(|known| known.fingerprint == run.fingerprint);
            match known {
                Some(known) => known.round = known.round.max(run.round),
                None => rounds.push(*run),
            }
        }
        let retention = inner.policy.retention();
        let mut records = Vec::with_capacity(rounds.len());
        for run in rounds {
            let end = TargetEnd {
                id,
                round: run.round,
                software: run.software,
                cleared: false,
            };
            let entry = inner.entry(run.fingerprint, now);
            entry.add(end);
            entry.expires = now + retention;
            records.push(entry.record(run.fingerprint, now));
        }
        inner.evict(now);
        self.count.store(inner.entries.len(), Ordering::Release);
        records
    }

    /// Adds what another daemon knows of a request. Returns this daemon's record if
    /// it knows of a good run that the other one does not know of.
    pub fn merge(&self, record: &SuspectRecord, now: Duration) -> Option<SuspectRecord> {
        if record.ends.is_empty() || record.left.is_zero() {
            return None;
        }
        let mut inner = self.lock();
        let left = record.left.min(inner.policy.retention());
        let entry = inner.entry(record.fingerprint, now);
        let mut knows_better = false;
        for end in &record.ends {
            knows_better |= entry.add(*end);
        }
        for success in &record.successes {
            entry.add_success(*success);
        }
        for failure in &record.failures {
            entry.add_failure(*failure);
        }
        entry.expires = entry.expires.max(now + left);
        let answer = knows_better.then(|| entry.record(record.fingerprint, now));
        inner.evict(now);
        self.count.store(inner.entries.len(), Ordering::Release);
        answer
    }

    /// Records that a run got an answer, which clears the request if the evidence is
    /// sufficient. Returns what other daemons must know of it.
    pub fn record_answer(
        &self,
        run: SuspectRun,
        answer: RunAnswer,
        now: Duration,
    ) -> Option<SuspectRecord> {
        if self.is_empty() {
            return None;
        }
        let mut inner = self.lock();
        let entry = inner.entries.get_mut(&run.fingerprint)?;
        let uncleared = entry.uncleared().count();
        let software = run.software;
        if uncleared == 0 || entry.expires <= now || entry.is_served_by(software) {
            return None;
        }
        let is_news = match answer.evidence {
            RunEvidence::Nothing => false,
            RunEvidence::Success => {
                entry.clear(software);
                uncleared >= SHARED_ENDS
            }
            RunEvidence::Failure => {
                entry.add_failure(FailedRun {
                    id: answer.id,
                    round: run.round,
                    software,
                });
                // One failure alone is no evidence. Several are, wherever they
                // happened, and requests carry them too slowly.
                entry.is_served_by(software) || entry.counted_failures(software) > 1
            }
        };
        let record = entry.record(run.fingerprint, now);
        inner.digest = None;
        is_news.then_some(record)
    }

    /// Records the answer to a run under both fingerprints of its request. Returns what
    /// other daemons must know of them.
    ///
    /// Once the content is cleared, one later failure clears the exact request too: a
    /// caller that sends a small part of the requests rarely fails often enough between
    /// two ends.
    pub fn record_request_answer(
        &self,
        exact: SuspectRun,
        content: SuspectRun,
        answer: RunAnswer,
        now: Duration,
    ) -> Vec<SuspectRecord> {
        let runs = [exact, content].into_iter();
        let mut records: Vec<SuspectRecord> = runs
            .filter_map(|run| self.record_answer(run, answer, now))
            .collect();
        if answer.evidence == RunEvidence::Failure
            && let Some(record) = self.clear_with_content(exact, content, now)
        {
            records.retain(|known| known.fingerprint != exact.fingerprint);
            records.push(record);
        }
        records
    }

    /// Clears an exact request whose content is cleared, if `exact` began after the
    /// latest known end. Returns its record if other daemons must know it.
    fn clear_with_content(
        &self,
        exact: SuspectRun,
        content: SuspectRun,
        now: Duration,
    ) -> Option<SuspectRecord> {
        if self.is_empty() {
            return None;
        }
        let mut inner = self.lock();
        let is_cleared = inner
            .entries
            .get(&content.fingerprint)
            .is_some_and(|entry| entry.expires > now && entry.is_served_by(content.software));
        let entry = inner.entries.get_mut(&exact.fingerprint)?;
        let uncleared = entry.uncleared_at(exact.software).count();
        if !is_cleared || uncleared == 0 || exact.round <= entry.last_round() {
            return None;
        }
        entry.clear(exact.software);
        let record = entry.record(exact.fingerprint, now);
        inner.digest = None;
        (uncleared >= SHARED_ENDS).then_some(record)
    }

    /// Returns what this daemon knows of a request; `None` if no target has ended
    /// under it.
    pub fn record(&self, fingerprint: Fingerprint, now: Duration) -> Option<SuspectRecord> {
        if self.is_empty() {
            return None;
        }
        let inner = self.lock();
        let entry = inner.entries.get(&fingerprint)?;
        Some(entry.record(fingerprint, now))
    }

    /// Returns the records that all daemons share, newest first.
    pub fn shared_records(&self, now: Duration) -> Vec<SuspectRecord> {
        let inner = self.lock();
        let shared = inner.shared(now);
        let mut records: Vec<SuspectRecord> = shared
            .map(|(fingerprint, entry)| entry.record(*fingerprint, now))
            .collect();
        records.sort_by_key(|record| std::cmp::Reverse(record.left));
        records.truncate(MAX_SHARED_RECORDS);
        records
    }

    /// Returns a digest of the records that all daemons share; 0 if there are none.
    /// Daemons with the same records have the same digest.
    pub fn digest(&self, now: Duration) -> u64 {
        if self.is_empty() {
            return 0;
        }
        let mut inner = self.lock();
        match inner.digest {
            Some((digest, until)) if now < until => digest,
            _ => {
                let (digest, until) = inner.compute_digest(now);
                inner.digest = Some((digest, until));
                digest
            }
        }
    }

    /// Returns the number of requests under which targets have ended.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Returns whether no target has ended under a request.
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
    /// Returns the entry of a request, which is created if there is none.
    fn entry(&mut self, fingerprint: Fingerprint, now: Duration) -> &mut SuspectEntry {
        self.digest = None;
        let order = &mut self.order;
        let entry = self.entries.entry(fingerprint).or_insert_with(|| {
            order.push_back(fingerprint);
            SuspectEntry::default()
        });
        if entry.expires <= now {
            *entry = SuspectEntry::default();
        }
        entry
    }

    /// Returns the digest of the shared records, and when the first of them expires.
    fn compute_digest(&self, now: Duration) -> (u64, Duration) {
        let mut sum = 0;
        let mut until = Duration::MAX;
        for (fingerprint, entry) in self.shared(now) {
            let mut hash = Xxh3::new();
            hash.update(&fingerprint.0.to_le_bytes());
            for end in &entry.ends {
                hash.update(&end.id.to_le_bytes());
                hash.update(&[u8::from(end.cleared)]);
            }
            sum ^= hash.digest();
            until = until.min(entry.expires);
        }
        (sum, until)
    }

    fn shared(&self, now: Duration) -> impl Iterator<Item = (&Fingerprint, &SuspectEntry)> {
        let entries = self.entries.iter();
        entries.filter(move |(_, entry)| entry.expires > now && entry.ends.len() >= SHARED_ENDS)
    }

    fn evict(&mut self, now: Duration) {
        while self.order.len() > MAX_SUSPECTS {
            let mut scanned = 0;
            while let Some(oldest) = self.order.pop_front() {
                let entry = self.entries.get(&oldest);
                let retained = entry.is_some_and(|entry| entry.is_quarantined(self.policy, now));
                if retained && scanned < EVICTION_SCAN {
                    self.order.push_back(oldest);
                    scanned += 1;
                    continue;
                }
                self.entries.remove(&oldest);
                break;
            }
        }
    }
}
