//! What became of a request that was offered to a target.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use radishgauge_net::HttpAnswer;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_schema::hop::HopReason;

/// The greatest body of an answer that is held, in bytes.
pub const GREATEST_ANSWER: usize = 16 * 1024 * 1024;

/// Returns an answer to another daemon that has no body.
pub fn bare(status: StatusCode) -> HttpAnswer {
    let mut response = Response::new(AnswerBody::default());
    *response.status_mut() = status;
    response
}

/// A target's whole answer.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its header fields, without those that concern one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A request that has not run and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// Why.
    pub reason: HopReason,
    /// When there will be room again, if that is known.
    pub retry_after: Option<Duration>,
    /// Whether the target saw the request and refused it.
    pub reached_target: bool,
}

impl NotRun {
    /// A refusal before the target saw the request.
    pub fn unseen(reason: HopReason) -> NotRun {
        NotRun {
            reason,
            retry_after: None,
            reached_target: false,
        }
    }

    /// A refusal by the target itself.
    pub fn by_target(reason: HopReason) -> NotRun {
        NotRun {
            reason,
            retry_after: None,
            reached_target: true,
        }
    }
}

/// What became of a request that was offered to a target.
#[derive(Debug, Clone)]
pub enum TargetOutcome {
    /// The target ran it, and this is the answer.
    Answered(WholeAnswer),
    /// It has not run and will not.
    NotRun(NotRun),
    /// It was sent and no whole answer came; says why.
    MayHaveRun(&'static str),
}
