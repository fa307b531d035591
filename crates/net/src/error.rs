//! Errors of the communication between two daemons.
//!
//! A request may safely be retried only when it did not run. Every error
//! therefore states whether any byte of the request was sent.

use quinn::ConnectionError;
use quinn::ReadError;
use quinn::VarInt;
use quinn::WriteError;

/// Stream error code: the call was cancelled, or its sender was dropped early.
pub const CODE_CANCELLED: VarInt = VarInt::from_u32(1);
/// Stream error code: a frame was larger than its limit.
pub const CODE_OVERSIZE: VarInt = VarInt::from_u32(2);
/// Stream error code: a frame could not be decoded or was unexpected.
pub const CODE_MALFORMED: VarInt = VarInt::from_u32(3);
/// Session error code: the session was closed regularly.
pub const CODE_CLOSED: VarInt = VarInt::from_u32(16);
/// Session error code: the hello does not match the certificate.
pub const CODE_REFUSED: VarInt = VarInt::from_u32(17);

/// A failed request, call or dial.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{fault}")]
pub struct PeerError {
    /// The kind of failure.
    pub fault: PeerFault,
    /// Whether any byte of the request was passed to the session. When false, the
    /// peer cannot have received the request.
    pub sent: bool,
}

impl PeerError {
    /// Returns an error for a request that never left this process.
    pub fn unsent(fault: PeerFault) -> PeerError {
        PeerError { fault, sent: false }
    }

    /// Returns an error for a request that may have reached the peer.
    pub fn sent(fault: PeerFault) -> PeerError {
        PeerError { fault, sent: true }
    }
}

/// The kinds of failure between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerFault {
    /// The keys of this daemon cannot be used.
    #[error("the keys cannot be used: {0}")]
    Keys(String),
    /// The listening address cannot be bound.
    #[error("the peer address cannot be bound: {0}")]
    Bind(String),
    /// No session could be opened.
    #[error("the peer cannot be dialled: {0}")]
    Dial(String),
    /// The TLS handshake failed, for example because the peer's certificate is
    /// missing or was signed by another authority.
    #[error("the TLS handshake failed: {0}")]
    Tls(String),
    /// The peer's hello claims another host or failure domain than its certificate.
    #[error("the hello claims {claimed}, the certificate names {certified}")]
    Identity {
        /// The `host.failure domain` in the hello.
        claimed: String,
        /// The `host.failure domain` in the certificate.
        certified: String,
    },
    /// The peer refused this daemon.
    #[error("the peer refused the session: {0}")]
    Refused(String),
    /// The session ended.
    #[error("the session ended: {0}")]
    Closed(String),
    /// The reply did not arrive in time.
    #[error("no reply within the time")]
    Timeout,
    /// A frame is larger than its limit.
    #[error("a frame of {bytes} bytes exceeds the limit of {limit}")]
    Oversize {
        /// The length in the frame's prefix.
        bytes: u64,
        /// The greatest accepted length of such a frame.
        limit: u64,
    },
    /// A frame cannot be decoded.
    #[error("a frame cannot be decoded: {0}")]
    Malformed(String),
    /// The stream ended inside a frame, or before the end of the body.
    #[error("the stream was cut off")]
    Truncated,
    /// The body does not match the length or digest in its end frame.
    #[error("the body does not match its digest: {bytes} of {stated} bytes")]
    Digest {
        /// The length of the received body in bytes.
        bytes: u64,
        /// The length of the body in bytes that the end frame states.
        stated: u64,
    },
    /// The peer reset or stopped the stream.
    #[error("the peer reset the stream with code {0}")]
    Reset(u64),
    /// The answer belongs to another call.
    #[error("the answer is for call {found}, not {expected}")]
    Crossed {
        /// The call that waits for an answer.
        expected: u64,
        /// The call named in the answer.
        found: u64,
    },
    /// The message is of another kind than expected.
    #[error("unexpected message, wanted {0}")]
    Unexpected(&'static str),
}

impl From<ConnectionError> for PeerFault {
    fn from(error: ConnectionError) -> PeerFault {
        // Codes 0x100 to 0x1ff carry TLS alerts (RFC 9001, section 4.8).
        let tls = |code: quinn::TransportErrorCode| (0x100..0x200).contains(&u64::from(code));
        match error {
            ConnectionError::ApplicationClosed(close) => {
                let reason = String::from_utf8_lossy(&close.reason).into_owned();
                if close.error_code == CODE_REFUSED {
                    PeerFault::Refused(reason)
                } else {
                    PeerFault::Closed(reason)
                }
            }
            ConnectionError::TransportError(error) if tls(error.code) => {
                PeerFault::Tls(error.reason)
            }
            ConnectionError::ConnectionClosed(close) if tls(close.error_code) => {
                PeerFault::Tls(String::from_utf8_lossy(&close.reason).into_owned())
            }
            other => PeerFault::Closed(other.to_string()),
        }
    }
}

impl From<ReadError> for PeerFault {
    fn from(error: ReadError) -> PeerFault {
        match error {
            ReadError::Reset(code) => PeerFault::Reset(code.into_inner()),
            ReadError::ConnectionLost(error) => error.into(),
            other => PeerFault::Closed(other.to_string()),
        }
    }
}

impl From<WriteError> for PeerFault {
    fn from(error: WriteError) -> PeerFault {
        match error {
            WriteError::Stopped(code) => PeerFault::Reset(code.into_inner()),
            WriteError::ConnectionLost(error) => error.into(),
            other => PeerFault::Closed(other.to_string()),
        }
    }
}
