//! The answer to a call, as it travels from the target's daemon to the caller.

use std::time::Duration;

use bytes::Bytes;
use radishgauge_schema::peer::AnswerHead;
use radishgauge_schema::peer::Header;
use radishgauge_schema::peer::Verdict;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;

use crate::body::AnswerBody;

/// The status of a call of which nothing is known: Bad Gateway.
const UNKNOWN_STATUS: u32 = 502;

/// The head and the body of an answer, or a refusal.
#[derive(Debug)]
pub struct CallAnswer {
    /// The head.
    pub head: AnswerHead,
    /// The body.
    pub body: AnswerBody,
}

impl CallAnswer {
    /// Returns the answer for a refusal: the call did not run.
    pub fn refused(refusal: &Refusal, revision: u64) -> CallAnswer {
        let retry_after = refusal.retry_after.unwrap_or(Duration::ZERO);
        let head = AnswerHead {
            verdict: Verdict::NotRun.into(),
            status: refusal.status().into(),
            reason: refusal.reason.as_str().to_owned(),
            revision,
            retry_after_ms: retry_after.as_millis() as u64,
            ..AnswerHead::default()
        };
        let text = format!("{}\n", refusal.reason.as_str());
        CallAnswer {
            head,
            body: AnswerBody::Whole(Bytes::from(text)),
        }
    }

    /// Returns the answer for a call with a verdict and no answer of a target.
    pub fn unanswered(verdict: CallVerdict, reason: &str) -> CallAnswer {
        let status = match verdict {
            CallVerdict::NotRun => 503,
            CallVerdict::MayHaveRun | CallVerdict::Ran => UNKNOWN_STATUS,
        };
        let head = AnswerHead {
            verdict: Verdict::from(verdict).into(),
            status,
            reason: reason.to_owned(),
            ..AnswerHead::default()
        };
        CallAnswer {
            head,
            body: AnswerBody::Whole(Bytes::from(format!("{reason}\n"))),
        }
    }

    /// Returns the verdict.
    pub fn verdict(&self) -> CallVerdict {
        self.head.verdict().into()
    }

    /// Returns the reason of a refusal by a daemon.
    pub fn refusal_reason(&self) -> Option<RefusalReason> {
        RefusalReason::from_text(&self.head.reason)
    }

    /// Adds a header.
    pub fn add_header(&mut self, name: &str, value: &str) {
        self.head.headers.push(Header {
            name: name.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }
}
