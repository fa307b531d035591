//! The log events of the control machine, as data.
//!
//! The daemon assigns each its event number and level; tests compare values
//! instead of text.

use std::fmt;
use std::net::SocketAddr;

use radishgauge_config::PartDigest;
use smol_str::SmolStr;

/// A change of state that is written to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlLog {
    /// A version came into force.
    VersionInForce {
        /// The revision now in force.
        revision: u64,
        /// `platform`, or the name of the host that the version was fetched from.
        source: SmolStr,
        /// Whether it came from the platform and no peer has confirmed it.
        unconfirmed: bool,
    },
    /// A version was refused; the version in force stays.
    VersionRefused {
        /// The refused revision.
        revision: u64,
        /// Every reason that the rule gave.
        reasons: Vec<String>,
    },
    /// Two versions have the same revision but different content.
    ConflictingRevision {
        /// The revision of both.
        revision: u64,
        /// The digest of the root in force.
        held: PartDigest,
        /// The digest of the root that was refused.
        refused: PartDigest,
    },
    /// The roles of this daemon changed.
    RolesChanged {
        /// Whether this daemon is a relay of its failure domain.
        relay: bool,
        /// The rank among the readers of its region, 0 for the first.
        rank: Option<usize>,
    },
    /// A platform value could not be decoded or does not match its digest.
    PlatformValueDiscarded {
        /// The platform key, as [`PlatformKey`](crate::PlatformKey) displays it.
        key: SmolStr,
    },
    /// A platform call failed.
    PlatformUnavailable {
        /// The platform client's description of the failure.
        reason: SmolStr,
    },
    /// A peer sent a reply that is malformed or does not fit the request.
    PeerValueDiscarded {
        /// The host of the peer.
        host: SmolStr,
    },
    /// A request to a peer timed out.
    PeerSilent {
        /// The host of the peer.
        host: SmolStr,
    },
    /// An address could not be dialled.
    DialFailed {
        /// The address given in [`ControlAction::Dial`](crate::ControlAction::Dial).
        address: SocketAddr,
    },
    /// A host announced that it is leaving.
    HostLeaving {
        /// The leaving host.
        host: SmolStr,
        /// The start time of its process in ms.
        incarnation: u64,
    },
    /// The control loop ran late, so the state may be outdated.
    PausedFor {
        /// The lateness of the event in ms.
        late_ms: u64,
    },
    /// No peer replied in time after a pause; the daemon serves with the state
    /// it has.
    Isolated,
    /// A peer replied after a pause.
    FreshnessConfirmed,
}

impl fmt::Display for ControlLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlLog::VersionInForce {
                revision,
                source,
                unconfirmed,
            } => {
                let note = if *unconfirmed {
                    ", not confirmed by any peer"
                } else {
                    ""
                };
                write!(f, "revision {revision} from {source} is in force{note}")
            }
            ControlLog::VersionRefused { revision, reasons } => {
                write!(f, "revision {revision} refused: {}", reasons.join("; "))
            }
            ControlLog::ConflictingRevision {
                revision,
                held,
                refused,
            } => write!(
                f,
                "conflicting revision {revision}: root {refused} refused, {held} stays in force"
            ),
            ControlLog::RolesChanged {
                relay,
                rank: Some(rank),
            } => {
                write!(f, "roles changed: relay {relay}, reader rank {rank}")
            }
            ControlLog::RolesChanged { relay, rank: None } => {
                write!(f, "roles changed: relay {relay}, not a reader")
            }
            ControlLog::PlatformValueDiscarded { key } => {
                write!(f, "platform value {key} is malformed and was discarded")
            }
            ControlLog::PlatformUnavailable { reason } => {
                write!(f, "the platform did not answer: {reason}")
            }
            ControlLog::PeerValueDiscarded { host } => {
                write!(f, "peer {host} sent a malformed value, which was discarded")
            }
            ControlLog::PeerSilent { host } => write!(f, "peer {host} does not answer"),
            ControlLog::DialFailed { address } => write!(f, "cannot reach the daemon at {address}"),
            ControlLog::HostLeaving { host, incarnation } => {
                write!(f, "host {host} (incarnation {incarnation}) is leaving")
            }
            ControlLog::PausedFor { late_ms } => {
                write!(
                    f,
                    "the control loop ran {late_ms} ms late; checking for a newer version"
                )
            }
            ControlLog::Isolated => f.write_str("no neighbour answered after the pause"),
            ControlLog::FreshnessConfirmed => f.write_str("a neighbour answered after the pause"),
        }
    }
}
