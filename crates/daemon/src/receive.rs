//! The receiving daemon: runs a call at a target on this host, or refuses it.
//!
//! All requests to a target pass through this module, so that its limits hold
//! even when a sender's state is out of date. A call is refused only before the
//! first byte is sent to the target, so the verdict "not run" of a refusal is
//! always correct.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use http::HeaderValue;
use http::Request;
use http::header::HOST;
use opentelemetry::trace::SpanKind;
use radishgauge_config::model::Criticality;
use radishgauge_mesh::Fingerprint;
use radishgauge_mesh::RunAnswer;
use radishgauge_mesh::RunEvidence;
use radishgauge_mesh::suspect::SuspectState;
use radishgauge_net::RequestProgress;
use radishgauge_net::TargetAnswer;
use radishgauge_net::TargetBody;
use radishgauge_schema::peer::AnswerHead;
use radishgauge_schema::peer::CallHead;
use radishgauge_schema::peer::Verdict;
use radishgauge_traffic::AdmissionRequest;
use radishgauge_traffic::CallContext;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::admit::RunOutcome;
use radishgauge_traffic::context::CONTEXT_HEADER;
use radishgauge_traffic::tree::CallKey;
use smol_str::SmolStr;

use crate::answer::CallAnswer;
use crate::body::AnswerBody;
use crate::body::BodyFault;
use crate::body::RequestBody;
use crate::headers;
use crate::local_targets::LocalTarget;
use crate::local_targets::RunningSlot;
use crate::meters::count;
use crate::node::DaemonNode;
use crate::publish::PublishedVersion;
use crate::suspect_notice;

/// The reason of an answer for a call whose deadline passed before it ended.
pub const DEADLINE: &str = "deadline";

/// Runs one call at a target on this host.
///
/// Dropping the future cancels the call: its slot is released and the request to
/// the target is dropped.
pub async fn receive(node: &Arc<DaemonNode>, head: CallHead, body: RequestBody) -> CallAnswer {
    count(&node.meters.received);
    let version = match node.non_stale_version().await {
        Ok(version) => version,
        Err(refusal) => return CallAnswer::refused(&refusal, 0),
    };
    let revision = version.snapshot.revision();
    match ReceivedCall::check(node, &version, &head, &body) {
        Ok(call) => call.run(head, body).await,
        Err(refusal) => {
            count(&node.meters.shed);
            CallAnswer::refused(&refusal, revision)
        }
    }
}

/// A call that passed all checks before admission.
struct ReceivedCall {
    node: Arc<DaemonNode>,
    version: Arc<PublishedVersion>,
    target: Arc<LocalTarget>,
    context: CallContext,
    deadline: Duration,
    criticality: Criticality,
    fingerprint: Fingerprint,
    service: SmolStr,
}

impl ReceivedCall {
    fn check(
        node: &Arc<DaemonNode>,
        version: &Arc<PublishedVersion>,
        head: &CallHead,
        body: &RequestBody,
    ) -> Result<ReceivedCall, Refusal> {
        let now = node.clock.now();
        let snapshot = &version.snapshot;
        let message = head.context.clone().unwrap_or_default();
        let context = CallContext::from_message(&message)?;
        let service = SmolStr::new(&head.service);
        let admission = snapshot.local_admission(&service)?;
        let route = snapshot.routes().find(&head.method, &head.path).ok();
        let route = route.and_then(|key| snapshot.routes().get(key));
        // This daemon's version may lack the route of the sender's version; the
        // home regions of the context apply nevertheless.
        if let Some(route) = route {
            let rule = snapshot.home_rule(route, &context.tenant, &context.home)?;
            rule.check_entry(snapshot.local_region())?;
        } else if !context.home.is_empty() && !context.home.contains(&node.local.region) {
            return Err(Refusal::new(RefusalReason::HomeRegion));
        }
        let fingerprint = Fingerprint::new(
            &service,
            &head.method,
            &head.path,
            &context.tenant,
            caller_key(head),
            &body.buffered,
        );
        Ok(ReceivedCall {
            target: node.local_targets.get(&service, admission, &node.clock),
            node: Arc::clone(node),
            version: Arc::clone(version),
            deadline: now + context.deadline,
            criticality: route.map_or(Criticality::Normal, |route| route.criticality),
            context,
            fingerprint,
            service,
        })
    }

    async fn run(self, head: CallHead, body: RequestBody) -> CallAnswer {
        let revision = self.version.snapshot.revision();
        let slot = match self.admit().await {
            Ok(slot) => slot,
            Err(refusal) => {
                count(&self.node.meters.shed);
                return CallAnswer::refused(&refusal, revision);
            }
        };
        let key = self.node.tree.begin(self.context.allowance);
        let call = TreeCall {
            node: Arc::clone(&self.node),
            key,
        };
        let now = self.node.clock.now();
        let running = slot.hand_over(self.node.suspects.begin(self.fingerprint, now));
        self.send(head, body, running, call).await
    }

    async fn admit(&self) -> Result<crate::local_targets::ReservedSlot, Refusal> {
        let now = self.node.clock.now();
        let state = self.node.suspects.check(self.fingerprint, now);
        if let Some(refusal) = quarantine_refusal(state, now) {
            return Err(refusal);
        }
        let request = AdmissionRequest {
            criticality: self.criticality,
            deadline: self.deadline,
            suspect: matches!(state, SuspectState::Suspect | SuspectState::OnTrial),
        };
        if let Some(address) = self.address() {
            let losses = self.node.targets.get(address).connection_losses();
            self.target
                .admission()
                .record_connection_losses(losses, now);
        }
        let slot = self.target.acquire_slot(&request).await?;
        // The request may have been quarantined while it waited.
        let now = self.node.clock.now();
        let state = self.node.suspects.check(self.fingerprint, now);
        match quarantine_refusal(state, now) {
            Some(refusal) => Err(refusal),
            None => Ok(slot),
        }
    }

    async fn send(
        self,
        head: CallHead,
        mut body: RequestBody,
        running: RunningSlot,
        call: TreeCall,
    ) -> CallAnswer {
        let home_bound = !self.context.home.is_empty();
        let traceparent = head
            .context
            .as_ref()
            .map_or("", |context| &context.traceparent);
        let span = self.node.span("target", SpanKind::Client, traceparent);
        if let Some(span) = &span
            && !home_bound
        {
            span.set("service", self.service.to_string());
        }
        let traceparent = span.as_ref().map_or(traceparent, |span| span.traceparent());
        let revision = self.version.snapshot.revision();
        let remaining = self.deadline.saturating_sub(self.node.clock.now());
        let prepared = self.address().ok_or(Refusal::new(RefusalReason::NotHosted));
        let prepared = prepared.and_then(|address| {
            let request =
                self.request(&head, &mut body, traceparent, call.key, remaining, address)?;
            Ok((address, request))
        });
        let (address, request) = match prepared {
            Ok(prepared) => prepared,
            // Nothing has been sent to the target.
            Err(refusal) => return CallAnswer::refused(&refusal, revision),
        };
        let client = self.node.targets.get(address);
        let progress = RequestProgress::default();
        let sent = tokio::time::timeout(remaining, client.send_tracked(request, &progress)).await;
        match sent {
            Ok(Ok(response)) => self.answered(response, running, call),
            Ok(Err(_)) if progress.may_have_been_sent() => self.broken(running).await,
            Err(_) if progress.may_have_been_sent() => {
                running.finish(RunOutcome::Cancelled);
                CallAnswer::unanswered(CallVerdict::MayHaveRun, DEADLINE)
            }
            Ok(Err(_)) => CallAnswer::refused(&running.not_sent(), revision),
            Err(_) => {
                running.finish(RunOutcome::Cancelled);
                CallAnswer::refused(&Refusal::new(RefusalReason::Deadline), revision)
            }
        }
    }

    fn request(
        &self,
        head: &CallHead,
        body: &mut RequestBody,
        traceparent: &str,
        key: CallKey,
        remaining: Duration,
        address: SocketAddr,
    ) -> Result<Request<TargetBody>, Refusal> {
        let bad = |_| Refusal::new(RefusalReason::BadContext);
        let mut context = self.context.child_context(remaining)?;
        context.call = Some(key.0);
        let body = match body.as_whole() {
            Some(bytes) => TargetBody::whole(bytes.clone()),
            None => TargetBody::stream(body.take_stream().map(|piece| {
                piece.map_err(|fault| radishgauge_net::exchange::BoxError::from(fault.to_string()))
            })),
        };
        let mut request = Request::builder()
            .method(head.method.as_str())
            .uri(head.path.as_str())
            .body(body)
            .map_err(|_| Refusal::new(RefusalReason::BadContext))?;
        let map = request.headers_mut();
        headers::add_all(map, &head.headers);
        map.insert(
            HOST,
            HeaderValue::try_from(address.to_string()).map_err(bad)?,
        );
        map.insert(
            CONTEXT_HEADER,
            HeaderValue::try_from(context.to_string()).map_err(bad)?,
        );
        if let Ok(value) = HeaderValue::try_from(traceparent)
            && !traceparent.is_empty()
        {
            map.insert(headers::TRACEPARENT, value);
        }
        Ok(request)
    }

    fn address(&self) -> Option<SocketAddr> {
        let services = &self.version.fleet_state.model.services;
        let service = services.get(&self.service)?;
        Some(service.targets.get(&self.node.local.host)?.address)
    }

    fn answered(
        self,
        response: http::Response<TargetAnswer>,
        running: RunningSlot,
        call: TreeCall,
    ) -> CallAnswer {
        let (parts, body) = response.into_parts();
        let status = parts.status.as_u16();
        let outcome = match status {
            429 | 503 => RunOutcome::Overloaded,
            500..=599 => RunOutcome::Failed,
            _ => RunOutcome::Answered,
        };
        let answer_head = AnswerHead {
            verdict: Verdict::Ran.into(),
            status: status.into(),
            headers: headers::forwarded(&parts.headers),
            capacity: running.capacity(),
            calls: call.end(),
            revision: self.version.snapshot.revision(),
            ..AnswerHead::default()
        };
        // The slot is held until the whole body has been passed on.
        let guard = AnswerGuard {
            node: Arc::clone(&self.node),
            running: Some(running),
            outcome,
            evidence: RunEvidence::of_status(status),
        };
        let pieces = body
            .into_stream()
            .map(|piece| piece.map_err(|error| BodyFault(error.to_string())));
        let stream = futures_util::stream::unfold(
            (pieces.boxed(), Some(guard)),
            move |(mut pieces, mut guard)| async move {
                match pieces.next().await {
                    Some(Ok(piece)) => Some((Ok(piece), (pieces, guard))),
                    Some(Err(fault)) => {
                        drop(guard.take());
                        Some((Err(fault), (futures_util::stream::empty().boxed(), None)))
                    }
                    None => {
                        if let Some(guard) = guard.take() {
                            guard.finish();
                        }
                        None
                    }
                }
            },
        );
        CallAnswer {
            head: answer_head,
            body: AnswerBody::Stream(stream.boxed()),
        }
    }

    /// Reports a crash of the target, whose connection broke after bytes of the
    /// request may have been sent.
    async fn broken(self, running: RunningSlot) -> CallAnswer {
        if let Some(in_flight) = running.report_crash() {
            let notices = suspect_notice::announce_crash(
                &self.node,
                &self.version,
                &self.service,
                &in_flight,
                &self.context,
            );
            notices.await;
        }
        running.finish(RunOutcome::Crashed);
        CallAnswer::unanswered(CallVerdict::MayHaveRun, "target-broke")
    }
}

/// Returns the refusal of a quarantined request, and `None` in the other states.
fn quarantine_refusal(state: SuspectState, now: Duration) -> Option<Refusal> {
    let until = state.quarantined_until()?;
    let left = until.saturating_sub(now);
    Some(Refusal::new(RefusalReason::Quarantined).with_retry_after(left))
}

/// Returns the idempotency key that the caller sent.
///
/// The key of the head is not used: a daemon may have issued it for this sending
/// alone, and each re-send of a request that crashes its targets would then have
/// a different fingerprint.
fn caller_key(head: &CallHead) -> Option<&str> {
    let mut headers = head.headers.iter();
    let header = headers.find(|header| header.name == headers::IDEMPOTENCY_KEY)?;
    std::str::from_utf8(&header.value).ok()
}

/// Releases a slot with its outcome once the whole answer has been passed on;
/// dropping the guard earlier cancels the request.
struct AnswerGuard {
    node: Arc<DaemonNode>,
    running: Option<RunningSlot>,
    outcome: RunOutcome,
    evidence: RunEvidence,
}

impl AnswerGuard {
    fn finish(mut self) {
        let Some(running) = self.running.take() else {
            return;
        };
        if let Some(run) = running.finish_answered(self.outcome, self.evidence) {
            let now = self.node.clock.now();
            let answer = RunAnswer {
                id: self.node.next_number(),
                evidence: self.evidence,
            };
            // The daemons that run it next find out by themselves.
            let _ = self.node.suspects.record_answer(run, answer, now);
        }
    }
}

/// A running call in the call tree; dropping the value removes it.
struct TreeCall {
    node: Arc<DaemonNode>,
    key: CallKey,
}

impl TreeCall {
    /// Removes the call and returns the number of calls made on its behalf,
    /// itself included.
    fn end(&self) -> u32 {
        self.node.tree.end(self.key)
    }
}

impl Drop for TreeCall {
    fn drop(&mut self) {
        self.node.tree.end(self.key);
    }
}
