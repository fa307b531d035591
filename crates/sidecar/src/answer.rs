//! The outcome of a request that was offered to a target.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use radishgauge_net::HttpAnswer;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_schema::hop::HopReason;

/// The greatest length in bytes of an answer's body, which is kept in memory.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Returns an answer without a body, for another daemon.
pub fn empty(status: StatusCode) -> HttpAnswer {
    let mut response = Response::new(AnswerBody::default());
    *response.status_mut() = status;
    response
}

/// A target's answer with its complete body.
#[derive(Debug, Clone)]
pub struct BufferedAnswer {
    /// The status code that the target sent.
    pub status: StatusCode,
    /// The header fields, without those that apply to a single connection.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A refusal: the request has not run and will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// The reason of the refusal, as reported to other daemons.
    pub reason: HopReason,
    /// The estimated time until capacity is available again, if known.
    pub retry_after: Option<Duration>,
    /// Whether the target received the request and refused it.
    pub reached_target: bool,
}

impl NotRun {
    /// Returns a refusal that was made before the request was sent to the
    /// target.
    pub fn before_target(reason: HopReason) -> NotRun {
        NotRun {
            reason,
            retry_after: None,
            reached_target: false,
        }
    }

    /// Returns a refusal by the target itself.
    pub fn by_target(reason: HopReason) -> NotRun {
        NotRun {
            reason,
            retry_after: None,
            reached_target: true,
        }
    }
}

/// The outcome of a request that was offered to a target.
#[derive(Debug, Clone)]
pub enum TargetOutcome {
    /// The target ran the request and sent this answer.
    Answered(BufferedAnswer),
    /// The request has not run and will not run.
    NotRun(NotRun),
    /// The request was sent, and no complete answer was received. Contains the
    /// reason.
    MayHaveRun(&'static str),
}
