//! The version in force, and the check that decides which one may replace it.
//!
//! Messages arrive late, out of order and more than once. The ledger is the one
//! place that decides whether a version may come into force, so that a daemon
//! never returns to an older revision, whatever messages other modules act on.

use std::time::Duration;

use radishgauge_config::PartDigest;
use smol_str::SmolStr;

/// Identifies a version by its revision and the digest of its root.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionId {
    /// The revision assigned by the operator; versions are ordered by it.
    pub revision: u64,
    /// The digest of the encoded root.
    pub root: PartDigest,
}

/// How a version relates to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionComparison {
    /// Its revision is newer; it may replace the version in force.
    Newer,
    /// It is the version in force.
    Same,
    /// It is older than the version in force.
    Older,
    /// It has the revision in force but different content.
    Conflict,
    /// This daemon has refused it before.
    Refused,
}

/// The version in force, with its source and times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// Identifies the version.
    pub version: VersionId,
    /// `platform`, or the name of the host that the version was fetched from.
    pub source: SmolStr,
    /// The time at which the version came into force.
    pub since: Duration,
    /// The time between first learning of the version and its coming into force.
    pub took: Duration,
    /// Whether it was read from the platform while no peer had announced a
    /// version, and no peer has confirmed it since.
    pub unconfirmed: bool,
}

/// A refused revision with the reasons.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Refusal {
    /// The refused revision; 0 if none was refused.
    pub revision: u64,
    /// Every reason that the rule gave.
    pub reasons: Vec<String>,
}

/// The version in force, the newest version known of, and refusals.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use radishgauge_config::PartDigest;
/// use radishgauge_control::ledger::VersionComparison;
/// use radishgauge_control::ledger::VersionLedger;
/// use radishgauge_control::ledger::VersionId;
///
/// let mut ledger = VersionLedger::default();
/// let first = VersionId { revision: 1, root: PartDigest::of(b"1") };
/// assert_eq!(ledger.compare(first), VersionComparison::Newer);
/// assert!(ledger.activate(first, "platform".into(), false, Duration::ZERO));
/// let other = VersionId { revision: 1, root: PartDigest::of(b"2") };
/// assert_eq!(ledger.compare(other), VersionComparison::Conflict);
/// ```
#[derive(Debug, Clone, Default)]
pub struct VersionLedger {
    record: Option<VersionRecord>,
    announced: Option<(VersionId, Duration)>,
    // The versions that this daemon itself refused, oldest first. The newest few
    // suffice, since a reader sees one again only while the platform serves it.
    refused: Vec<VersionId>,
    refusal: Refusal,
    conflict: Option<VersionId>,
}

/// The number of refused versions that are remembered.
const REFUSED_VERSIONS: usize = 16;

impl VersionLedger {
    /// Returns the version in force.
    pub fn record(&self) -> Option<&VersionRecord> {
        self.record.as_ref()
    }

    /// Returns the identifier of the version in force.
    pub fn version(&self) -> Option<VersionId> {
        self.record.as_ref().map(|record| record.version)
    }

    /// Returns the revision in force, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.version().map_or(0, |version| version.revision)
    }

    /// Returns the newest refusal, by this daemon or reported by a peer.
    pub fn refusal(&self) -> &Refusal {
        &self.refusal
    }

    /// Compares a version with the one in force and with refused ones.
    pub fn compare(&self, version: VersionId) -> VersionComparison {
        if self.refused.contains(&version) {
            return VersionComparison::Refused;
        }
        match self.version() {
            Some(current) if version.revision < current.revision => VersionComparison::Older,
            Some(current) if version == current => VersionComparison::Same,
            Some(current) if version.revision == current.revision => VersionComparison::Conflict,
            _ => VersionComparison::Newer,
        }
    }

    /// Records that a version was announced, and compares it with the one in force.
    ///
    /// The flag is `true` if the version conflicts and was not the last conflict
    /// seen.
    pub fn record_announced(
        &mut self,
        version: VersionId,
        now: Duration,
    ) -> (VersionComparison, bool) {
        let comparison = self.compare(version);
        let first = comparison == VersionComparison::Conflict && self.conflict != Some(version);
        match comparison {
            VersionComparison::Conflict => self.conflict = Some(version),
            VersionComparison::Newer
                if self
                    .announced
                    .is_none_or(|(best, _)| best.revision < version.revision) =>
            {
                self.announced = Some((version, now));
            }
            _ => {}
        }
        (comparison, first)
    }

    /// Puts a version in force if it is newer than the current one.
    ///
    /// Returns whether it came into force.
    pub fn activate(
        &mut self,
        version: VersionId,
        source: SmolStr,
        unconfirmed: bool,
        now: Duration,
    ) -> bool {
        if self.compare(version) != VersionComparison::Newer {
            return false;
        }
        let first_announced = match self.announced {
            Some((announced, at)) if announced.revision >= version.revision => at,
            _ => now,
        };
        if self
            .announced
            .is_some_and(|(announced, _)| announced.revision <= version.revision)
        {
            self.announced = None;
        }
        self.record = Some(VersionRecord {
            version,
            source,
            since: now,
            took: now.saturating_sub(first_announced),
            unconfirmed,
        });
        true
    }

    /// Records that this daemon refused a version.
    ///
    /// Returns whether it was not recorded yet.
    pub fn refuse(&mut self, version: VersionId, reasons: Vec<String>) -> bool {
        if self.refused.contains(&version) {
            return false;
        }
        if self.refused.len() == REFUSED_VERSIONS {
            self.refused.remove(0);
        }
        self.refused.push(version);
        self.record_refusal(version.revision, reasons);
        true
    }

    /// Records a refusal, which status pages show and heads carry to peers.
    ///
    /// Returns whether its revision is newer than that of the recorded refusal.
    pub fn record_refusal(&mut self, revision: u64, reasons: Vec<String>) -> bool {
        let newer = revision > self.refusal.revision;
        if newer {
            self.refusal = Refusal { revision, reasons };
        }
        newer
    }

    /// Marks the version in force as confirmed; returns whether it was unconfirmed.
    pub fn confirm(&mut self) -> bool {
        self.record
            .as_mut()
            .is_some_and(|record| std::mem::replace(&mut record.unconfirmed, false))
    }
}
