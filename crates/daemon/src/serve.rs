//! Serves the calls and requests of other daemons.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use radishgauge_net::AnswerSender;
use radishgauge_net::BodyReceiver;
use radishgauge_net::InboundStream;
use radishgauge_net::PeerEndpoint;
use radishgauge_net::PeerSession;
use radishgauge_net::Responder;
use radishgauge_schema::peer::CallHead;
use radishgauge_schema::peer::IssueKeyReply;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::Received;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;
use radishgauge_traffic::CallContext;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::key::IdempotencyKey;

use crate::answer::CallAnswer;
use crate::body::AnswerBody;
use crate::body::BodyFault;
use crate::body::RequestBody;
use crate::control_loop::ControlInput;
use crate::dispatch::OutboundCall;
use crate::events;
use crate::keyed;
use crate::node::DaemonNode;
use crate::receive;
use crate::suspect_notice;
use crate::transfer;

/// Accepts and serves sessions until the endpoint is closed.
pub async fn accept(node: Arc<DaemonNode>, endpoint: PeerEndpoint) {
    while let Some(accepted) = endpoint.accept().await {
        match accepted {
            Ok(session) => {
                tokio::spawn(serve(Arc::clone(&node), session));
            }
            Err(refused) => events::PEER_REFUSED.emit(format_args!(
                "address={} reason={:?}",
                refused.address,
                refused.error.to_string()
            )),
        }
    }
}

/// Serves the calls and requests on one session until it ends.
pub async fn serve(node: Arc<DaemonNode>, session: PeerSession) {
    let served = session.clone();
    session
        .serve(move |stream| {
            let node = Arc::clone(&node);
            let session = served.clone();
            async move {
                match stream {
                    InboundStream::Request { request, responder } => {
                        handle_request(&node, session, request, responder).await;
                    }
                    InboundStream::Call { head, body, answer } => {
                        node.report_seen_revision(&session.peer().host, head.revision);
                        handle_call(&node, head, body, answer).await;
                    }
                }
            }
        })
        .await;
}

async fn handle_request(
    node: &Arc<DaemonNode>,
    session: PeerSession,
    request: PeerRequest,
    responder: Responder,
) {
    let reply = match request.request {
        Some(Request::Strike(notice)) => {
            suspect_notice::record_notice(node, &notice);
            Reply::Received(Received {})
        }
        Some(Request::Transfer(request)) => Reply::Transfer(transfer::export(node, request)),
        Some(Request::IssueKey(request)) => {
            let key = keyed::issue_for(node, &request.service);
            Reply::IssuedKey(IssueKeyReply { key })
        }
        _ => {
            node.control.send(ControlInput::Request {
                session,
                request,
                responder,
            });
            return;
        }
    };
    // A failure to reply means that the requester is gone.
    let _ = responder.reply(PeerReply { reply: Some(reply) }).await;
}

async fn handle_call(
    node: &Arc<DaemonNode>,
    head: CallHead,
    body: BodyReceiver,
    sender: AnswerSender,
) {
    let _under_way = node.begin_background();
    let cancelled = sender.cancelled();
    let work = async {
        let pieces = body
            .into_stream()
            .map(|piece| piece.map_err(|error| BodyFault(error.to_string())));
        match RequestBody::read(pieces.boxed()).await {
            // Nothing has been sent to a target.
            Err(fault) => CallAnswer::unanswered(CallVerdict::NotRun, &fault.to_string()),
            Ok(body) if head.owner => handle_owner_call(node, head, body).await,
            Ok(body) => receive::receive(node, head, body).await,
        }
    };
    let answer = tokio::select! {
        answer = work => answer,
        () = cancelled => return,
    };
    send_answer(sender, answer).await;
}

async fn handle_owner_call(
    node: &Arc<DaemonNode>,
    head: CallHead,
    body: RequestBody,
) -> CallAnswer {
    let revision = node
        .state
        .current()
        .map_or(0, |current| current.fleet_state.revision);
    match outbound_call(node, &head).await {
        Ok((call, key)) => keyed::answer_as_owner(call, key, body).await,
        Err(refusal) => {
            // This request did not run, but an earlier one with its key may have.
            let mut answer = CallAnswer::refused(&refusal, revision);
            answer.head.verdict = radishgauge_schema::peer::Verdict::MayHaveRun.into();
            answer
        }
    }
}

async fn outbound_call(
    node: &Arc<DaemonNode>,
    head: &CallHead,
) -> Result<(OutboundCall, IdempotencyKey), Refusal> {
    let version = node.non_stale_version().await?;
    let context = CallContext::from_message(&head.context.clone().unwrap_or_default())?;
    let route = version.snapshot.routes().find(&head.method, &head.path)?;
    let entry = version.snapshot.routes().get(route);
    let entry = entry.ok_or(Refusal::new(RefusalReason::NoRoute))?;
    let home = version
        .snapshot
        .home_rule(entry, &context.tenant, &context.home)?;
    home.check_entry(version.snapshot.local_region())?;
    let key = head
        .key
        .parse()
        .map_err(|_| Refusal::new(RefusalReason::BadContext))?;
    let traceparent = head
        .context
        .as_ref()
        .map_or("", |context| &context.traceparent);
    let call = OutboundCall {
        node: Arc::clone(node),
        route,
        home,
        deadline: node.clock.now() + context.deadline,
        method: head.method.clone(),
        path: head.path.clone(),
        headers: head.headers.clone(),
        traceparent: traceparent.to_owned(),
        key: head.key.clone(),
        ticket: None,
        context,
        version,
    };
    Ok((call, key))
}

/// Sends an answer; a body that is cut off aborts the stream.
async fn send_answer(mut sender: AnswerSender, answer: CallAnswer) {
    let CallAnswer { head, body } = answer;
    // The receiver detects a failure to send and decides the verdict.
    match body {
        AnswerBody::Whole(bytes) => {
            let _ = sender.whole(head, bytes).await;
        }
        AnswerBody::Stream(mut pieces) => {
            if sender.head(head).await.is_err() {
                return;
            }
            loop {
                match pieces.next().await {
                    Some(Ok(piece)) => {
                        if sender.send(piece).await.is_err() {
                            return;
                        }
                    }
                    Some(Err(_)) => return sender.abort(),
                    None => break,
                }
            }
            let _ = sender.finish().await;
        }
    }
}

/// How long a stop waits at each step for listeners and sessions to close.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
