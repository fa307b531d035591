//! Thin adapters between the state machines and the network.
//!
//! Daemons talk to each other over QUIC with mutual TLS, one stream per request
//! or call, so that a late answer can never reach another caller. The crate
//! decides nothing about routes or versions: it moves bytes, enforces size
//! limits, and reports exactly whether a request may have left the process.

pub mod authority;
pub mod call;
pub mod error;
pub mod frame;
pub mod keys;
pub mod peer;
pub mod session;

pub use authority::KeyAuthority;
pub use call::AnswerSender;
pub use call::BodyReceiver;
pub use call::CallReceiver;
pub use call::CallSender;
pub use call::Responder;
pub use error::PeerError;
pub use error::PeerFault;
pub use keys::PeerIdentity;
pub use keys::PeerName;
pub use peer::PeerConfig;
pub use peer::PeerEndpoint;
pub use peer::PeerLimits;
pub use peer::RefusedPeer;
pub use session::InboundStream;
pub use session::PeerSession;
pub use session::PeerStream;
pub use session::SessionStats;
