//! What goes into a control machine and what comes out of it.
//!
//! The daemon translates sockets, timers and the platform client into these
//! types, so that tests and benchmarks drive the same decisions without I/O.

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

use crate::log::ControlLog;
use crate::share::FleetShare;

slotmap::new_key_type! {
    /// Names one open session; the daemon allocates it and never uses it again.
    pub struct PeerKey;
}

/// Names one request, unique per direction and session owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The name of a value at the platform's configuration service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlatformKey {
    /// The root of the newest configuration.
    Root,
    /// An index page.
    Page(PartDigest),
    /// A part.
    Part(PartDigest),
    /// All parts of the index page with this digest.
    Bundle(PartDigest),
    /// The host list of a failure domain.
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

/// What the platform answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// The bytes of the value.
    Value(Bytes),
    /// The value still has the digest that the watch named.
    Unchanged,
    /// There is no value with this key.
    Missing,
}

/// A platform call that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the platform did not answer: {0}")]
pub struct PlatformFailure(pub SmolStr);

/// A request to a peer that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerFailure {
    /// The session ended before the answer.
    #[error("the session ended")]
    Closed,
    /// No answer came in time.
    #[error("no answer came in time")]
    Silent,
    /// The answer could not be decoded.
    #[error("the answer was malformed")]
    Malformed,
}

/// Which side opened a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerLink {
    /// This daemon dialled the address.
    Outbound(SocketAddr),
    /// The peer dialled.
    Inbound,
}

/// Something that happened to the daemon.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// The time given by [`ControlMachine::next_tick`](crate::ControlMachine::next_tick) has come.
    Tick,
    /// A platform call ended.
    PlatformValue {
        /// The id of the call's action.
        id: RequestId,
        /// The answer, or why there is none.
        result: Result<PlatformAnswer, PlatformFailure>,
    },
    /// A session is open and both hellos were checked against the certificates.
    PeerUp {
        /// The key of the session.
        peer: PeerKey,
        /// What the peer said of itself.
        hello: Hello,
        /// Which side opened the session.
        link: PeerLink,
    },
    /// A session ended.
    PeerDown {
        /// The key of the session.
        peer: PeerKey,
    },
    /// An address could not be dialled.
    DialFailed {
        /// The address of the [`ControlAction::Dial`].
        address: SocketAddr,
    },
    /// A peer asks.
    Request {
        /// The session of the request.
        peer: PeerKey,
        /// The peer's id, to be given back in [`ControlAction::Reply`].
        id: RequestId,
        /// The request.
        request: PeerRequest,
    },
    /// A peer answered a request of this daemon, or did not.
    Reply {
        /// The id of the [`ControlAction::Send`].
        id: RequestId,
        /// The answer, or why there is none.
        result: Result<PeerReply, PeerFailure>,
    },
    /// A call needs a service whose part may not be held.
    ServiceWanted {
        /// The name of the service.
        service: SmolStr,
    },
    /// A call or its refusal named the revision in force at another daemon.
    RevisionSeen {
        /// The host of the other daemon.
        host: SmolStr,
        /// Its revision.
        revision: u64,
    },
    /// The daemon was asked to stop gracefully.
    Stop,
}

/// Something that the daemon must do.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Read a platform value and answer with [`ControlEvent::PlatformValue`].
    ReadPlatform {
        /// Given back with the answer.
        id: RequestId,
        /// The value to read.
        key: PlatformKey,
    },
    /// Wait until a platform value differs from the known one.
    WatchPlatform {
        /// Given back with the answer.
        id: RequestId,
        /// The value to watch.
        key: PlatformKey,
        /// The digest of the value last read; `None` answers at once.
        known: Option<PartDigest>,
        /// How long to wait for a change.
        wait: Duration,
    },
    /// Open a session; answer with `PeerUp` or `DialFailed`.
    Dial {
        /// The peer address.
        address: SocketAddr,
    },
    /// Close a session; no `PeerDown` is needed for it.
    Drop {
        /// The session.
        peer: PeerKey,
    },
    /// Send a request and answer with [`ControlEvent::Reply`].
    Send {
        /// The session.
        peer: PeerKey,
        /// Given back with the answer.
        id: RequestId,
        /// The request.
        request: PeerRequest,
    },
    /// Answer a peer's request.
    Reply {
        /// The session of the request.
        peer: PeerKey,
        /// The peer's id of the request.
        id: RequestId,
        /// The answer.
        reply: PeerReply,
    },
    /// Make a share the one that traffic reads.
    Publish(Arc<FleetShare>),
    /// Write a log event.
    Log(ControlLog),
}
