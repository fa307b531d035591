//! Network I/O for the daemons' state machines.
//!
//! Daemons communicate over QUIC with mutual TLS. Each request or call has a
//! stream of its own, so a late answer can never reach a different caller. The
//! crate makes no routing or versioning decisions: it transfers bytes, enforces
//! size limits, and reports whether a request may have left the process.

mod answer_reader;
pub mod authority;
mod body_budget;
mod body_pieces;
mod byte_budget;
pub mod call;
pub mod caller_registry;
mod caller_stream;
pub mod clock;
mod connection;
pub mod connection_table;
pub mod error;
pub mod exchange;
pub mod frame;
mod head_bounds;
pub mod keys;
pub mod listener;
pub mod peer;
pub mod platform;
mod request_framing;
pub mod session;
mod stream_limit;
pub mod target;
mod target_body;
mod target_connection;
mod transport;
mod turn_budget;
mod write_tracker;

pub use authority::KeyAuthority;
pub use body_budget::BodyBudget;
pub use body_budget::BodyShare;
pub use body_pieces::BodyPieces;
pub use byte_budget::ByteBudget;
pub use byte_budget::MemoryRelief;
pub use call::AnswerSender;
pub use call::BodyReceiver;
pub use call::CallReceiver;
pub use call::CallSender;
pub use call::Responder;
pub use caller_registry::CallerBudgets;
pub use caller_registry::CallerRegistry;
pub use error::PeerError;
pub use error::PeerFault;
pub use exchange::AnswerBody;
pub use exchange::BodyFault;
pub use exchange::BodyLimits;
pub use exchange::BoxError;
pub use exchange::HttpAnswer;
pub use exchange::HttpBody;
pub use exchange::HttpRequest;
pub use head_bounds::HeadBounds;
pub use keys::PeerIdentity;
pub use keys::PeerName;
pub use listener::CallerListener;
pub use listener::ListenLimits;
pub use listener::OperatorListener;
pub use peer::PeerConfig;
pub use peer::PeerEndpoint;
pub use peer::PeerLimits;
pub use peer::RefusedPeer;
pub use platform::PlatformClient;
pub use platform::PlatformError;
pub use session::InboundStream;
pub use session::PeerSession;
pub use session::PeerStream;
pub use session::SessionStats;
pub use target::RequestProgress;
pub use target::TargetAnswer;
pub use target::TargetClient;
pub use target::TargetError;
pub use target::TargetFault;
pub use target::TargetLimits;
pub use target_body::TargetBody;
