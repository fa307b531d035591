//! The record that the platform publishes for each target.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::fingerprint::Fingerprint;

/// The registration of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Identifies the target; a restart usually assigns a new identifier.
    pub id: SmolStr,
    /// The service whose requests the target handles.
    pub service: SmolStr,
    /// The address that the target listens on; reachable from its own host
    /// only.
    pub address: SocketAddr,
    /// The failure domain of the target's host.
    pub failure_domain: SmolStr,
    /// The greatest number of requests that the target runs concurrently.
    pub capacity: u32,
    /// Whether the target is shutting down and accepts no new requests.
    pub draining: bool,
    /// The version of the software that the target runs.
    pub version: SmolStr,
    /// For how much longer the target was cold when it registered.
    pub cold_left: Duration,
    /// Distinguishes restarts of a target that keeps its identifier; `None`
    /// when the registration has no incarnation.
    pub incarnation: Option<u64>,
    /// Counts what the target has said of itself since it started.
    pub sequence: u64,
}

/// Identifies what targets run: a service, and the version of its software.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetSoftware(pub u64);

impl TargetSoftware {
    /// Returns the identity of a version of a service's software.
    pub fn new(service: &str, version: &str) -> TargetSoftware {
        TargetSoftware(Fingerprint::of_fields([service.as_bytes(), version.as_bytes()]).0)
    }
}

impl TargetRecord {
    /// Returns what the target runs.
    pub fn software(&self) -> TargetSoftware {
        TargetSoftware::new(&self.service, &self.version)
    }

    /// Returns whether both records describe the same incarnation of the same
    /// target.
    pub fn same_incarnation(&self, other: &TargetRecord) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }

    /// Returns whether the same incarnation of the target has said `other` later than this.
    /// A write that the platform does late has an earlier word than the entry that it
    /// replaces. Incarnations that are not stated cannot be told apart.
    pub fn is_older_word_than(&self, other: &TargetRecord) -> bool {
        self.incarnation.is_some() && self.same_incarnation(other) && self.sequence < other.sequence
    }

    /// Returns whether another target has started at the same address since. Only
    /// one target runs at an address, so this one has ended, although its
    /// registration may remain until its lease expires.
    pub fn is_superseded_by(&self, other: &TargetRecord) -> bool {
        self.address == other.address
            && matches!((self.incarnation, other.incarnation), (Some(own), Some(other)) if own < other)
    }
}
