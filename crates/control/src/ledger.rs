//! Which version is in force, and which may replace it.
//!
//! All other modules may act on late, crossed or repeated messages; the ledger
//! is the one place that decides whether a version may come into force, so that
//! a daemon never goes back.

use std::time::Duration;

use radishgauge_config::PartDigest;
use smol_str::SmolStr;

/// The name of a version: its revision and the digest of its root.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionMark {
    /// The revision that the operator gave.
    pub revision: u64,
    /// The digest of the root's bytes.
    pub root: PartDigest,
}

/// What the ledger says of a version that was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadVerdict {
    /// It may replace the version in force.
    Newer,
    /// It is the version in force.
    Same,
    /// It is older than the version in force.
    Older,
    /// It has the revision in force and another content.
    Conflict,
    /// Its content was refused before.
    Refused,
}

/// The version in force and how it got there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// The version.
    pub mark: VersionMark,
    /// `platform`, or the host that it came from.
    pub source: SmolStr,
    /// When it came into force.
    pub since: Duration,
    /// The time from first hearing of it until it was in force.
    pub took: Duration,
    /// Taken from the platform while no peer had a version.
    pub unconfirmed: bool,
}

/// A refusal with its reasons.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Refusal {
    /// The refused revision; 0 for none.
    pub revision: u64,
    /// Why it was refused.
    pub reasons: Vec<String>,
}

/// The version in force, the newest one heard of, and refusals.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use radishgauge_config::PartDigest;
/// use radishgauge_control::ledger::HeadVerdict;
/// use radishgauge_control::ledger::VersionLedger;
/// use radishgauge_control::ledger::VersionMark;
///
/// let mut ledger = VersionLedger::default();
/// let first = VersionMark { revision: 1, root: PartDigest::of(b"1") };
/// assert_eq!(ledger.judge(first), HeadVerdict::Newer);
/// assert!(ledger.enforce(first, "platform".into(), false, Duration::ZERO));
/// let other = VersionMark { revision: 1, root: PartDigest::of(b"2") };
/// assert_eq!(ledger.judge(other), HeadVerdict::Conflict);
/// ```
#[derive(Debug, Clone, Default)]
pub struct VersionLedger {
    record: Option<VersionRecord>,
    heard: Option<(VersionMark, Duration)>,
    // The roots that this daemon refused itself; the newest few are enough,
    // since a reader meets them again only while the platform still names them.
    refused: Vec<VersionMark>,
    refusal: Refusal,
    conflict: Option<VersionMark>,
}

/// How many refused roots are remembered.
const REFUSED_ROOTS: usize = 16;

impl VersionLedger {
    /// Returns the version in force.
    pub fn record(&self) -> Option<&VersionRecord> {
        self.record.as_ref()
    }

    /// Returns the mark of the version in force.
    pub fn mark(&self) -> Option<VersionMark> {
        self.record.as_ref().map(|record| record.mark)
    }

    /// Returns the revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.mark().map_or(0, |mark| mark.revision)
    }

    /// Returns the newest refusal, own or heard of.
    pub fn refusal(&self) -> &Refusal {
        &self.refusal
    }

    /// Says whether a version may replace the one in force.
    pub fn judge(&self, mark: VersionMark) -> HeadVerdict {
        if self.refused.contains(&mark) {
            return HeadVerdict::Refused;
        }
        match self.mark() {
            Some(held) if mark.revision < held.revision => HeadVerdict::Older,
            Some(held) if mark == held => HeadVerdict::Same,
            Some(held) if mark.revision == held.revision => HeadVerdict::Conflict,
            _ => HeadVerdict::Newer,
        }
    }

    /// Notes that a version was heard of, and judges it.
    ///
    /// Returns `true` beside the verdict when a conflict is seen the first time.
    pub fn hear(&mut self, mark: VersionMark, now: Duration) -> (HeadVerdict, bool) {
        let verdict = self.judge(mark);
        let first = verdict == HeadVerdict::Conflict && self.conflict != Some(mark);
        match verdict {
            HeadVerdict::Conflict => self.conflict = Some(mark),
            HeadVerdict::Newer
                if self
                    .heard
                    .is_none_or(|(best, _)| best.revision < mark.revision) =>
            {
                self.heard = Some((mark, now));
            }
            _ => {}
        }
        (verdict, first)
    }

    /// Puts a version in force, unless that would be a step back.
    ///
    /// Returns whether it is now in force.
    pub fn enforce(
        &mut self,
        mark: VersionMark,
        source: SmolStr,
        unconfirmed: bool,
        now: Duration,
    ) -> bool {
        if self.judge(mark) != HeadVerdict::Newer {
            return false;
        }
        let first_heard = match self.heard {
            Some((heard, at)) if heard.revision >= mark.revision => at,
            _ => now,
        };
        if self
            .heard
            .is_some_and(|(heard, _)| heard.revision <= mark.revision)
        {
            self.heard = None;
        }
        self.record = Some(VersionRecord {
            mark,
            source,
            since: now,
            took: now.saturating_sub(first_heard),
            unconfirmed,
        });
        true
    }

    /// Remembers that this daemon refused a version.
    ///
    /// Returns whether the refusal is news.
    pub fn refuse(&mut self, mark: VersionMark, reasons: Vec<String>) -> bool {
        if self.refused.contains(&mark) {
            return false;
        }
        if self.refused.len() == REFUSED_ROOTS {
            self.refused.remove(0);
        }
        self.refused.push(mark);
        self.hear_refusal(mark.revision, reasons);
        true
    }

    /// Notes a refusal that a peer reports; it is shown and passed on.
    ///
    /// Returns whether it is newer than the one known.
    pub fn hear_refusal(&mut self, revision: u64, reasons: Vec<String>) -> bool {
        let newer = revision > self.refusal.revision;
        if newer {
            self.refusal = Refusal { revision, reasons };
        }
        newer
    }

    /// Marks the version in force as confirmed; returns whether it was not.
    pub fn confirm(&mut self) -> bool {
        self.record
            .as_mut()
            .is_some_and(|record| std::mem::replace(&mut record.unconfirmed, false))
    }
}
