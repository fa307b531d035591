//! The log events of the control state machines, as data.
//!
//! The daemon gives each its number and level; tests compare values instead of
//! text.

use std::fmt;
use std::net::SocketAddr;

use radishgauge_config::PartDigest;
use smol_str::SmolStr;

/// A change of state that operators may want to see.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlLog {
    /// A version came into force.
    VersionInForce {
        /// The revision.
        revision: u64,
        /// `platform`, or the host that it came from.
        source: SmolStr,
        /// Whether no peer has confirmed it.
        unconfirmed: bool,
    },
    /// A version was refused; the one in force stays.
    VersionRefused {
        /// The revision.
        revision: u64,
        /// Every reason.
        reasons: Vec<String>,
    },
    /// Two contents carry the same revision.
    ConflictingRevision {
        /// The revision.
        revision: u64,
        /// The root in force.
        held: PartDigest,
        /// The root that was refused.
        refused: PartDigest,
    },
    /// The roles of this daemon changed.
    RolesChanged {
        /// Whether it is a relay of its failure domain.
        relay: bool,
        /// Its rank among the readers of its region.
        rank: Option<usize>,
    },
    /// A platform value did not match the digest that names it, or did not decode.
    PlatformValueDiscarded {
        /// The key of the value.
        key: SmolStr,
    },
    /// A platform call failed.
    PlatformUnavailable {
        /// Why.
        reason: SmolStr,
    },
    /// A peer sent bytes that do not match what it announced.
    PeerValueDiscarded {
        /// The host of the peer.
        host: SmolStr,
    },
    /// A peer does not answer.
    PeerSilent {
        /// The host of the peer.
        host: SmolStr,
    },
    /// An address could not be dialled.
    DialFailed {
        /// The address.
        address: SocketAddr,
    },
    /// A host says that it is leaving.
    HostLeaving {
        /// The host.
        host: SmolStr,
        /// Its incarnation.
        incarnation: u64,
    },
    /// The control loop ran late, so what it knows may be old.
    PausedFor {
        /// How late the tick was, in ms.
        late_ms: u64,
    },
    /// No neighbour answered after a pause; the daemon serves what it has.
    Isolated,
    /// A neighbour answered after a pause.
    FreshAgain,
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
            ControlLog::FreshAgain => f.write_str("a neighbour answered after the pause"),
        }
    }
}
