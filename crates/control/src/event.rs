//! Inputs and outputs of the control machine.
//!
//! The daemon maps sockets, timers and the platform client to these types;
//! tests and benchmarks produce and consume them without I/O.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use radishgauge_config::PartDigest;
use radishgauge_schema::peer::Hello;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use smol_str::SmolStr;

use crate::fleet_state::FleetState;
use crate::log::ControlLog;

slotmap::new_key_type! {
    /// Identifies one session; the daemon allocates a key per session and does
    /// not reuse it.
    pub struct PeerKey;
}

/// Identifies one request; unique among the requests of the daemon that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The key of a value in the platform's configuration service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlatformKey {
    /// The root of the newest configuration.
    Root,
    /// The index page with this digest.
    Page(PartDigest),
    /// The part with this digest.
    Part(PartDigest),
    /// All parts that the index page with this digest refers to.
    Bundle(PartDigest),
    /// The host list of the failure domain with this name.
    Hosts(SmolStr),
}

impl fmt::Display for PlatformKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformKey::Root => f.write_str("root"),
            PlatformKey::Page(digest) => write!(f, "page/{digest}"),
            PlatformKey::Part(digest) => write!(f, "part/{digest}"),
            PlatformKey::Bundle(digest) => write!(f, "bundle/{digest}"),
            PlatformKey::Hosts(domain) => write!(f, "hosts/{domain}"),
        }
    }
}

/// The platform's response to a read or a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// The bytes of the value.
    Value(Bytes),
    /// The value still has the digest given in the watch.
    Unchanged,
    /// The platform has no value with this key.
    Missing,
}

/// A platform call failed; holds the reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the platform did not answer: {0}")]
pub struct PlatformFailure(pub SmolStr);

/// The reason why a request to a peer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerFailure {
    /// The session ended before the reply arrived.
    #[error("the session ended")]
    Closed,
    /// The request timed out.
    #[error("no answer came in time")]
    Silent,
    /// The reply could not be decoded or does not fit the request.
    #[error("the answer was malformed")]
    Malformed,
}

/// Which side opened a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerLink {
    /// This daemon dialled the address.
    Outbound(SocketAddr),
    /// The peer dialled this daemon.
    Inbound,
}

/// An input to the control machine.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// The time given by [`ControlMachine::next_tick`](crate::ControlMachine::next_tick) was reached.
    Tick,
    /// A platform call completed.
    PlatformValue {
        /// The id in [`ControlAction::ReadPlatform`] or [`ControlAction::WatchPlatform`].
        id: RequestId,
        /// The response, or the reason for the failure.
        result: Result<PlatformAnswer, PlatformFailure>,
    },
    /// A session was established, and both hellos match the certificates.
    PeerUp {
        /// The key of the new session.
        peer: PeerKey,
        /// The hello that the peer sent.
        hello: Hello,
        /// Which side opened the session.
        link: PeerLink,
    },
    /// A session ended.
    PeerDown {
        /// The key of the ended session.
        peer: PeerKey,
    },
    /// An address could not be dialled.
    DialFailed {
        /// The address given in [`ControlAction::Dial`].
        address: SocketAddr,
    },
    /// A peer sent a request.
    Request {
        /// The session on which the request arrived.
        peer: PeerKey,
        /// The id that the peer assigned, echoed in [`ControlAction::Reply`].
        id: RequestId,
        /// The decoded request.
        request: PeerRequest,
    },
    /// A request to a peer completed or failed.
    Reply {
        /// The id given in [`ControlAction::Send`].
        id: RequestId,
        /// The reply, or the reason for the failure.
        result: Result<PeerReply, PeerFailure>,
    },
    /// A call needs a service that may be outside this daemon's scope.
    ServiceRequested {
        /// The name of the service.
        service: SmolStr,
    },
    /// A call, or the refusal of one, carried the revision in force at another
    /// daemon.
    RevisionSeen {
        /// The host of the other daemon.
        host: SmolStr,
        /// The revision in force there.
        revision: u64,
    },
    /// The daemon was asked to shut down gracefully.
    Stop,
}

/// An output of the control machine, to be executed by the daemon.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Read a platform value and report it as [`ControlEvent::PlatformValue`].
    ReadPlatform {
        /// The id to use in [`ControlEvent::PlatformValue`].
        id: RequestId,
        /// The value to read.
        key: PlatformKey,
    },
    /// Wait until a platform value differs from the known one, and report it as
    /// [`ControlEvent::PlatformValue`].
    WatchPlatform {
        /// The id to use in [`ControlEvent::PlatformValue`].
        id: RequestId,
        /// The value to watch.
        key: PlatformKey,
        /// The digest of the value last read; `None` completes at once.
        known: Option<PartDigest>,
        /// The longest time to wait for a change; zero polls.
        wait: Duration,
    },
    /// Open a session; report [`ControlEvent::PeerUp`] or
    /// [`ControlEvent::DialFailed`].
    Dial {
        /// The peer address to connect to.
        address: SocketAddr,
    },
    /// Close a session; [`ControlEvent::PeerDown`] need not be reported.
    Drop {
        /// The key of the session to close.
        peer: PeerKey,
    },
    /// Send a request and report its outcome as [`ControlEvent::Reply`].
    Send {
        /// The session to send on.
        peer: PeerKey,
        /// The id to use in [`ControlEvent::Reply`].
        id: RequestId,
        /// The request to encode and send.
        request: PeerRequest,
    },
    /// Reply to a peer's request.
    Reply {
        /// The session on which the request arrived.
        peer: PeerKey,
        /// The id in [`ControlEvent::Request`].
        id: RequestId,
        /// The reply to encode and send.
        reply: PeerReply,
    },
    /// Replace the fleet state that the request path reads.
    Publish(Arc<FleetState>),
    /// Write a log event.
    Log(ControlLog),
}
