//! What a daemon knows of one request under which targets have ended.
//!
//! An entry consists of sets that only grow, or keep their greatest members, so that
//! daemons get the same entry in whatever order they learn of its parts.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::run_evidence::CLEARING_FAILURES;
use crate::suspect::SuspectPolicy;
use crate::suspect::SuspectState;
use crate::suspect_record::FailedRun;
use crate::suspect_record::SoftwareSuccess;
use crate::suspect_record::SuspectRecord;
use crate::suspect_record::TargetEnd;
use crate::target::TargetSoftware;

/// The number of rounds in which targets must end before a request is quarantined.
const QUARANTINE_ROUNDS: usize = 2;

/// The greatest number of ends of one round and one software that are kept.
const MAX_ENDS_OF_ROUND: usize = 3;

/// The number of rounds of one software of which ends are kept, latest first.
const MAX_ROUNDS: usize = 4;

/// The greatest number of kinds of software of which ends are kept.
const MAX_SOFTWARE: usize = 4;

/// The greatest number of failed runs that are kept, enough for several kinds of
/// software at a time.
const MAX_FAILURES: usize = CLEARING_FAILURES * MAX_SOFTWARE;

/// What is known of one request.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuspectEntry {
    pub(crate) ends: Vec<TargetEnd>,
    /// The latest runs that failed; at most [`MAX_FAILURES`].
    failures: Vec<FailedRun>,
    /// The latest run of each software that succeeded.
    successes: Vec<SoftwareSuccess>,
    /// When the entry is forgotten.
    pub(crate) expires: Duration,
}

impl SuspectEntry {
    /// Adds an end, or clears a known one. Returns whether the end is known to be
    /// cleared although `end` is not.
    pub(crate) fn add(&mut self, end: TargetEnd) -> bool {
        let known = self.ends.iter_mut().find(|known| known.id == end.id);
        if let Some(known) = known {
            known.cleared |= end.cleared;
            return known.cleared && !end.cleared;
        }
        self.ends.push(end);
        self.ends.sort_unstable();
        self.keep_latest_ends();
        false
    }

    /// Drops ends that are too many. Which ends are dropped depends only on their
    /// software, rounds and identities, so all daemons keep the same ones.
    fn keep_latest_ends(&mut self) {
        let kinds: BTreeSet<TargetSoftware> = self.ends.iter().map(|end| end.software).collect();
        let mut kept = Vec::with_capacity(self.ends.len());
        for software in kinds.into_iter().take(MAX_SOFTWARE) {
            let ends = self.ends.iter().filter(|end| end.software == software);
            let rounds: BTreeSet<u32> = ends.clone().map(|end| end.round).collect();
            for round in rounds.into_iter().rev().take(MAX_ROUNDS) {
                let of_round = ends.clone().filter(|end| end.round == round);
                kept.extend(of_round.take(MAX_ENDS_OF_ROUND).copied());
            }
        }
        kept.sort_unstable();
        self.ends = kept;
    }

    /// Adds a failed run. Enough of them that began after the latest end clear the
    /// request at their software.
    pub(crate) fn add_failure(&mut self, run: FailedRun) {
        if self.failures.iter().any(|known| known.id == run.id) {
            return;
        }
        self.failures.push(run);
        let software = run.software;
        if self.counted_failures(software) >= CLEARING_FAILURES {
            return self.clear(software);
        }
        if self.failures.len() > MAX_FAILURES {
            self.failures.sort_by_key(|run| run.round);
            self.failures.remove(0);
        }
    }

    /// Returns how many failed runs at a software began after its latest end.
    pub(crate) fn counted_failures(&self, software: TargetSoftware) -> usize {
        let last_round = self.round_at(software);
        let counted = |run: &&FailedRun| run.software == software && run.round > last_round;
        self.failures.iter().filter(counted).count()
    }

    /// Clears the request at a software.
    pub(crate) fn clear(&mut self, software: TargetSoftware) {
        self.failures.retain(|run| run.software != software);
        for end in &mut self.ends {
            end.cleared |= end.software == software;
        }
        let round = self.last_round() + 1;
        self.add_success(SoftwareSuccess { software, round });
    }

    /// Adds a success that another daemon knows of.
    pub(crate) fn add_success(&mut self, success: SoftwareSuccess) {
        let known = self.successes.iter_mut();
        let mut known = known.filter(|known| known.software == success.software);
        match known.next() {
            Some(known) => known.round = known.round.max(success.round),
            None => {
                self.successes.push(success);
                self.successes.sort_unstable();
                self.successes.truncate(MAX_SOFTWARE);
            }
        }
    }

    /// Returns whether the request has succeeded at a software since the latest end
    /// there.
    pub(crate) fn is_served_by(&self, software: TargetSoftware) -> bool {
        let last_round = self.round_at(software);
        let mut successes = self.successes.iter();
        let is_served =
            successes.any(|success| success.software == software && success.round > last_round);
        is_served && self.uncleared_at(software).next().is_none()
    }

    pub(crate) fn uncleared(&self) -> impl Iterator<Item = &TargetEnd> {
        self.ends.iter().filter(|end| !end.cleared)
    }

    pub(crate) fn uncleared_at(
        &self,
        software: TargetSoftware,
    ) -> impl Iterator<Item = &TargetEnd> {
        self.uncleared().filter(move |end| end.software == software)
    }

    /// Returns the greatest round of an end; 0 if there is none.
    pub(crate) fn last_round(&self) -> u32 {
        self.ends.iter().map(|end| end.round).max().unwrap_or(0)
    }

    /// Returns the greatest round of an end at a software; 0 if there is none.
    fn round_at(&self, software: TargetSoftware) -> u32 {
        let ends = self.ends.iter().filter(|end| end.software == software);
        ends.map(|end| end.round).max().unwrap_or(0)
    }

    /// Returns the state of the request at a software. Ends at one software alone do
    /// not stop the request at another, which may not have the fault, but for it to be
    /// tried there by one run at a time.
    pub(crate) fn state(
        &self,
        software: TargetSoftware,
        policy: SuspectPolicy,
        now: Duration,
    ) -> SuspectState {
        if self.expires <= now || self.uncleared().next().is_none() || self.is_served_by(software) {
            return SuspectState::Clear;
        }
        let until = self.expires.saturating_sub(policy.time);
        let all = EndCount::new(self.uncleared());
        let own = EndCount::new(self.uncleared_at(software));
        let ends_all_software = own.ends > 0 && all.software > 1 && all.suffices(policy);
        if (own.suffices(policy) || ends_all_software) && now < until {
            SuspectState::Quarantined { until }
        } else if all.ends >= policy.ends || all.rounds >= QUARANTINE_ROUNDS {
            SuspectState::OnTrial
        } else {
            SuspectState::Suspect
        }
    }

    /// Returns whether the request is quarantined at targets with some software.
    pub(crate) fn is_quarantined(&self, policy: SuspectPolicy, now: Duration) -> bool {
        let mut ends = self.uncleared();
        ends.any(|end| {
            let state = self.state(end.software, policy, now);
            state.quarantined_until().is_some()
        })
    }

    pub(crate) fn record(&self, fingerprint: Fingerprint, now: Duration) -> SuspectRecord {
        SuspectRecord {
            fingerprint,
            ends: self.ends.clone(),
            failures: self.failures.clone(),
            successes: self.successes.clone(),
            left: self.expires.saturating_sub(now),
        }
    }
}

/// How many ends there are, in how many rounds, at how many kinds of software.
struct EndCount {
    ends: usize,
    rounds: usize,
    software: usize,
}

impl EndCount {
    fn new<'a, I>(ends: I) -> EndCount
    where
        I: Iterator<Item = &'a TargetEnd>,
    {
        let ends: Vec<&TargetEnd> = ends.collect();
        let rounds: BTreeSet<u32> = ends.iter().map(|end| end.round).collect();
        let software: BTreeSet<TargetSoftware> = ends.iter().map(|end| end.software).collect();
        EndCount {
            ends: ends.len(),
            rounds: rounds.len(),
            software: software.len(),
        }
    }

    fn suffices(&self, policy: SuspectPolicy) -> bool {
        self.ends >= policy.ends && self.rounds >= QUARANTINE_ROUNDS
    }
}
