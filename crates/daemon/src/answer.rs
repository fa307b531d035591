//! The answer to a call, as the target's daemon, the entry daemon and the caller
//! receive it.

use std::time::Duration;

use bytes::Bytes;
use radishgauge_schema::peer::AnswerHead;
use radishgauge_schema::peer::Header;
use radishgauge_schema::peer::Verdict;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;

use crate::body::AnswerBody;

/// The HTTP status of a call that was sent but not answered: Bad Gateway.
const UNKNOWN_STATUS: u32 = 502;

/// The head and the body of an answer, or a refusal.
#[derive(Debug)]
pub struct CallAnswer {
    /// The verdict, the status and the headers.
    pub head: AnswerHead,
    /// The body of the response, or the reason as text.
    pub body: AnswerBody,
}

impl CallAnswer {
    /// Returns the answer for a refusal, with the verdict "not run".
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

    /// Returns the answer for a call with the given verdict that a target did not
    /// answer.
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

    /// Returns the verdict on whether the call ran.
    pub fn verdict(&self) -> CallVerdict {
        self.head.verdict().into()
    }

    /// Returns the reason of a refusal by a daemon; `None` when the answer has
    /// none, or one that is no refusal.
    pub fn refusal_reason(&self) -> Option<RefusalReason> {
        RefusalReason::from_text(&self.head.reason)
    }

    /// Adds a header to the answer.
    pub fn add_header(&mut self, name: &str, value: &str) {
        self.head.headers.push(Header {
            name: name.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }
}
