//! Sends a call to a target: selects one, sends the request, and retries where
//! allowed.
//!
//! Used by the entry daemon for ordinary requests, and by the owner of an
//! idempotency key for requests that must not be retried.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use opentelemetry::trace::SpanKind;
use radishgauge_net::BodyReceiver;
use radishgauge_net::CallReceiver;
use radishgauge_net::PeerError;
use radishgauge_net::PeerSession;
use radishgauge_schema::peer::CallHead;
use radishgauge_schema::peer::Header;
use radishgauge_traffic::CallContext;
use radishgauge_traffic::CallOutcome;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::HomeRule;
use radishgauge_traffic::PickRequest;
use radishgauge_traffic::PickedTarget;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::RetryDecision;
use radishgauge_traffic::TriedTargets;
use radishgauge_traffic::once::OnceTicket;
use radishgauge_traffic::pick::TargetPicker;
use radishgauge_traffic::retry::FailedCall;
use radishgauge_traffic::route::RouteEntry;
use radishgauge_traffic::route::RouteKey;

use crate::answer::CallAnswer;
use crate::body::AnswerBody;
use crate::body::BodyFault;
use crate::body::BodyStream;
use crate::body::RequestBody;
use crate::meters::count;
use crate::node::DaemonNode;
use crate::publish::PublishedVersion;
use crate::receive;
use crate::sessions::WaitingCall;

/// The reason of an answer for a call whose session broke or could not be opened.
pub const PATH_BROKE: &str = "path-broke";

/// A request to be sent to a target, with the state that its attempts share.
#[derive(Clone)]
pub struct OutboundCall {
    /// The shared state of the daemon.
    pub node: Arc<DaemonNode>,
    /// The version in force when the call began, which is used until its end.
    pub version: Arc<PublishedVersion>,
    /// The route of the request.
    pub route: RouteKey,
    /// The regions that may handle the request.
    pub home: HomeRule,
    /// The context of the call, sent with each attempt.
    pub context: CallContext,
    /// The deadline of the call, on the process clock.
    pub deadline: Duration,
    /// The HTTP method.
    pub method: String,
    /// The path and the query.
    pub path: String,
    /// The headers to forward.
    pub headers: Vec<Header>,
    /// The W3C trace context of the request; empty for none.
    pub traceparent: String,
    /// The idempotency key; empty for none.
    pub key: String,
    /// The run of the key in the ledger, when this daemon owns the key.
    pub ticket: Option<OnceTicket>,
}

/// How one attempt ended.
enum Attempt {
    /// A target answered.
    Answered(CallAnswer),
    /// The attempt failed; the answer reports this to the caller unless a retry
    /// succeeds.
    Failed(CallAnswer),
}

impl OutboundCall {
    /// Returns the route of the request.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NoRoute`] when the key belongs to another snapshot.
    pub fn route(&self) -> Result<&RouteEntry, Refusal> {
        let routes = self.version.snapshot.routes();
        routes
            .get(self.route)
            .ok_or(Refusal::new(RefusalReason::NoRoute))
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.node.clock.now())
    }

    /// Sends the call to targets until one answers or no retry is allowed.
    pub async fn dispatch(&self, body: &mut RequestBody) -> CallAnswer {
        let revision = self.version.snapshot.revision();
        let (route, picker) = match self.route() {
            Ok(route) => (route, &self.node.picker),
            Err(refusal) => return CallAnswer::refused(&refusal, revision),
        };
        if !self.context.is_in_retry() {
            self.node.budget.deposit();
        }
        let mut tried = TriedTargets::default();
        let mut context = self.context.clone();
        let mut retries = 0;
        let mut earlier_failure: Option<CallAnswer> = None;
        loop {
            let picked = match self.pick(picker, route, &tried, body) {
                Ok(picked) => picked,
                Err(refusal) => {
                    return earlier_failure
                        .unwrap_or_else(|| CallAnswer::refused(&refusal, revision));
                }
            };
            tried.insert(picked.target);
            let expected = picked.expected_response();
            count(&self.node.meters.attempts);
            let failed = match self.attempt(picked, &context, body).await {
                Attempt::Answered(answer) => {
                    route.cost.record(answer.head.calls);
                    if let Some(allowance) = context.allowance
                        && !self.context.is_in_retry()
                    {
                        self.node
                            .budget
                            .refund(allowance.saturating_sub(answer.head.calls));
                    }
                    return answer;
                }
                Attempt::Failed(answer) => answer,
            };
            let decision = self.node.budget.decide(
                &FailedCall {
                    verdict: failed.verdict(),
                    reason: failed.refusal_reason(),
                    repeatable: route.repeatable && self.ticket.is_none(),
                    in_retry: self.context.is_in_retry(),
                    retries,
                    remaining: self.remaining(),
                    expected,
                    cost: route.cost.estimate(),
                },
                self.node.next_number(),
            );
            let RetryDecision::Retry { after, allowance } = decision else {
                return more_certain(earlier_failure, failed);
            };
            if !body.is_resendable() {
                self.node.budget.refund(allowance);
                return more_certain(earlier_failure, failed);
            }
            earlier_failure = Some(more_certain(earlier_failure, failed));
            count(&self.node.meters.retries);
            retries += 1;
            context.allowance = Some(allowance);
            tokio::time::sleep(after).await;
        }
    }

    fn pick(
        &self,
        picker: &TargetPicker,
        route: &RouteEntry,
        tried: &TriedTargets,
        body: &RequestBody,
    ) -> Result<PickedTarget, Refusal> {
        let request = PickRequest {
            home: self.home,
            criticality: route.criticality,
            bytes: body.buffered.len() as u64,
        };
        let now = self.node.clock.now();
        picker.pick(&self.version.snapshot, route.service, &request, tried, now)
    }

    /// Returns the head of the call for the receiving daemon.
    pub fn head(&self, host: &str, context: &CallContext, traceparent: &str) -> CallHead {
        let service = self
            .route()
            .ok()
            .and_then(|route| self.version.snapshot.service(route.service))
            .map_or_else(String::new, |service| service.name.to_string());
        let mut context = context.clone();
        context.deadline = self.remaining();
        CallHead {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            route: self
                .route()
                .map_or_else(|_| String::new(), |route| route.name.to_string()),
            service,
            host: host.to_owned(),
            context: Some(context.to_message(traceparent)),
            revision: self.version.snapshot.revision(),
            call: self.node.next_number(),
            key: self.key.clone(),
            owner: false,
        }
    }

    async fn attempt(
        &self,
        picked: PickedTarget,
        context: &CallContext,
        body: &mut RequestBody,
    ) -> Attempt {
        let span = self
            .node
            .span("attempt", SpanKind::Client, &self.traceparent);
        let traceparent = span
            .as_ref()
            .map_or(self.traceparent.as_str(), |span| span.traceparent());
        let head = self.head(&picked.host, context, traceparent);
        if let Some(ticket) = self.ticket
            && !self
                .node
                .state
                .with_ledger(|ledger| ledger.begin_dispatch(ticket, self.node.clock.now()))
        {
            return Attempt::Failed(CallAnswer::unanswered(
                CallVerdict::MayHaveRun,
                "key-in-use",
            ));
        }
        let local = *picked.host == *self.node.local.host;
        let time = self.remaining();
        let answer = if local {
            // A target on this host needs no session; its admission control is
            // the same.
            let whole = body.as_whole().cloned();
            let local_body = match whole {
                Some(bytes) => RequestBody::whole(bytes),
                None => match RequestBody::read(body.take_stream()).await {
                    Ok(local_body) => local_body,
                    Err(fault) => return Attempt::Failed(self.not_sent(&fault)),
                },
            };
            match tokio::time::timeout(time, receive::receive(&self.node, head, local_body)).await {
                Ok(answer) => answer,
                Err(_) => CallAnswer::unanswered(CallVerdict::MayHaveRun, receive::DEADLINE),
            }
        } else {
            let sent_flag = SentFlag::default();
            let sent = send(
                &self.node,
                picked.daemon,
                head,
                body,
                self.may_retry(),
                &sent_flag,
            );
            match tokio::time::timeout(time, sent).await {
                Ok(answer) => answer,
                Err(_) => CallAnswer::unanswered(sent_flag.verdict(), receive::DEADLINE),
            }
        };
        self.conclude(picked, answer)
    }

    fn may_retry(&self) -> bool {
        self.ticket.is_none() && self.route().is_ok_and(|route| route.repeatable)
    }

    fn not_sent(&self, fault: &BodyFault) -> CallAnswer {
        if let Some(ticket) = self.ticket {
            self.node
                .state
                .with_ledger(|ledger| ledger.dispatch_refused(ticket));
        }
        CallAnswer::unanswered(CallVerdict::NotRun, &fault.to_string())
    }

    fn conclude(&self, picked: PickedTarget, answer: CallAnswer) -> Attempt {
        let now = self.node.clock.now();
        self.node
            .report_seen_revision(&picked.host, answer.head.revision);
        let verdict = answer.verdict();
        if verdict == CallVerdict::NotRun
            && let Some(ticket) = self.ticket
        {
            self.node
                .state
                .with_ledger(|ledger| ledger.dispatch_refused(ticket));
        }
        let outcome = match (verdict, answer.refusal_reason()) {
            (CallVerdict::Ran, _) if answer.head.status >= 500 => CallOutcome::Failed {
                capacity: answer.head.capacity,
            },
            (CallVerdict::Ran, _) => CallOutcome::Answered {
                capacity: answer.head.capacity,
            },
            (_, Some(reason)) => CallOutcome::Refused { reason },
            (_, None) if answer.head.reason == receive::DEADLINE => CallOutcome::Cancelled,
            (_, None) => CallOutcome::Broken,
        };
        picked.finish(outcome, now);
        match verdict {
            CallVerdict::Ran => Attempt::Answered(answer),
            CallVerdict::NotRun | CallVerdict::MayHaveRun => Attempt::Failed(answer),
        }
    }
}

/// Returns the answer whose verdict is nearer to "ran", or the second of two with
/// the same verdict.
fn more_certain(first: Option<CallAnswer>, second: CallAnswer) -> CallAnswer {
    match first {
        Some(first) if first.verdict() > second.verdict() => first,
        _ => second,
    }
}

/// Whether any byte of a call may have been sent; readable after the future that
/// sends the call was dropped, as at a deadline.
#[derive(Debug, Default)]
pub struct SentFlag(AtomicBool);

impl SentFlag {
    /// Records that the call is about to be written to the session; called before
    /// the first byte.
    fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns the verdict for a call whose future was dropped.
    pub fn verdict(&self) -> CallVerdict {
        if self.0.load(Ordering::Acquire) {
            CallVerdict::MayHaveRun
        } else {
            CallVerdict::NotRun
        }
    }
}

/// Sends a call to the daemon at an address and waits for the head of its
/// answer.
///
/// The verdict is "not run" only when nothing was sent or when that daemon
/// reports it.
pub async fn send(
    node: &Arc<DaemonNode>,
    address: SocketAddr,
    head: CallHead,
    body: &mut RequestBody,
    repeatable: bool,
    sent_flag: &SentFlag,
) -> CallAnswer {
    let session = match node.pool.get(address).await {
        Ok(session) => session,
        Err(error) => return broken(&error),
    };
    if let Err(error) = session.ping_if_idle(repeatable).await {
        return broken(&error);
    }
    let waiting = session.begin_wait();
    sent_flag.set();
    let call = match body.as_whole() {
        Some(bytes) => session.peer_session().call_whole(head, bytes.clone()).await,
        None => stream_call(session.peer_session(), head, body).await,
    };
    let receiver = match call {
        Ok(receiver) => receiver,
        Err(error) => return broken(&error),
    };
    match receiver.answer().await {
        Ok((head, body)) => {
            waiting.received();
            let pieces = answer_pieces(body, waiting);
            CallAnswer {
                head,
                body: AnswerBody::Stream(pieces),
            }
        }
        Err(error) => broken(&error),
    }
}

/// Sends the head, and the body from a separate task, so that the answer can
/// arrive before the whole body has been sent.
async fn stream_call(
    session: &PeerSession,
    head: CallHead,
    body: &mut RequestBody,
) -> Result<CallReceiver, PeerError> {
    let (mut sender, receiver) = session.call(head).await?;
    let mut pieces = body.take_stream();
    tokio::spawn(async move {
        while let Some(piece) = pieces.next().await {
            // Dropping the sender resets the stream, so the receiver cannot
            // mistake an incomplete body for a complete one.
            let Ok(piece) = piece else { return };
            if sender.send(piece).await.is_err() {
                return;
            }
        }
        // A failure to send is reported by the receiver of the answer.
        let _ = sender.finish().await;
    });
    Ok(receiver)
}

fn answer_pieces(body: BodyReceiver, waiting: WaitingCall) -> BodyStream {
    let stream = body.into_stream().map(move |piece| {
        waiting.received();
        piece.map_err(|error| BodyFault(error.to_string()))
    });
    stream.boxed()
}

fn broken(error: &PeerError) -> CallAnswer {
    let verdict = if error.sent {
        CallVerdict::MayHaveRun
    } else {
        CallVerdict::NotRun
    };
    CallAnswer::unanswered(verdict, PATH_BROKE)
}
