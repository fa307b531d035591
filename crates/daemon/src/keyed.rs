//! Requests with an idempotency key: run at most once, by the key's owner.
//!
//! The entry daemon sends such a request to the owner of its key. The owner runs
//! it, attaches it to the run in progress, replays the stored response, or
//! refuses it with the known verdict. A run continues when its caller
//! disconnects, so that the response is available when the caller sends the
//! request again.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use radishgauge_mesh::Fingerprint;
use radishgauge_schema::peer::Header;
use radishgauge_schema::peer::IssueKeyRequest;
use radishgauge_schema::peer::PeerReply;
use radishgauge_schema::peer::PeerRequest;
use radishgauge_schema::peer::Verdict;
use radishgauge_schema::peer::peer_reply::Reply;
use radishgauge_schema::peer::peer_request::Request;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::PickRequest;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::TriedTargets;
use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::once::OnceDecision;
use radishgauge_traffic::once::OnceOutcome;
use radishgauge_traffic::once::OnceReason;
use radishgauge_traffic::once::OnceRequest;
use radishgauge_traffic::once::OnceTicket;
use radishgauge_traffic::once::StoredResponse;
use radishgauge_traffic::once_attempt::KeyedAttempt;
use radishgauge_traffic::once_owner::KeyOwner;
use radishgauge_traffic::route::RouteKey;
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::answer::CallAnswer;
use crate::body::AnswerBody;
use crate::body::RequestBody;
use crate::dispatch;
use crate::dispatch::OutboundCall;
use crate::dispatch::SentFlag;
use crate::entry;
use crate::headers;
use crate::meters::count;
use crate::node::DaemonNode;
use crate::publish::PublishedVersion;
use crate::publish::owner_set;
use crate::receive::DEADLINE;

/// The size in bytes of the greatest response body that is stored for re-sends.
const MAX_STORED_BODY: usize = 64 * 1024;

/// The number of attempts to send a request to its owner, as long as no byte of
/// it was sent.
const OWNER_ATTEMPTS: usize = 2;

/// The timeout of a request to another daemon for a key.
const ISSUE_TIMEOUT: Duration = Duration::from_secs(1);

/// The runs in progress of the keys that this daemon owns.
#[derive(Default)]
pub struct KeyRuns {
    runs: Mutex<HashMap<OnceTicket, watch::Sender<()>>>,
}

impl KeyRuns {
    fn begin(&self, ticket: OnceTicket) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.insert(ticket, watch::channel(()).0);
    }

    fn end(&self, ticket: OnceTicket) {
        // Dropping the sender wakes the requests that wait for the run.
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&ticket);
    }

    fn watch(&self, ticket: OnceTicket) -> Option<watch::Receiver<()>> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(&ticket).map(watch::Sender::subscribe)
    }
}

/// Sends a request to the owner of its key, which can be this daemon.
///
/// Without a key from the caller, this daemon issues one for this request alone.
pub async fn send(
    call: &OutboundCall,
    key: Option<IdempotencyKey>,
    body: &mut RequestBody,
) -> CallAnswer {
    let node = &call.node;
    let Some(key) = key else {
        let key = IdempotencyKey::Issued(node.state.with_ledger(|ledger| ledger.issue()));
        return answer_as_owner(with_key(call, &key), key, take_body(body)).await;
    };
    let Some(owner) = owner_of(call, &key) else {
        return CallAnswer::unanswered(CallVerdict::MayHaveRun, "owner-unknown");
    };
    if owner == node.local.host {
        return answer_as_owner(with_key(call, &key), key, take_body(body)).await;
    }
    let Some(address) = node.peer_address(&owner) else {
        return CallAnswer::unanswered(CallVerdict::MayHaveRun, "owner-unknown");
    };
    let mut attempt = KeyedAttempt::new(false);
    for _ in 0..OWNER_ATTEMPTS {
        let mut head = call.head(&owner, &call.context, &call.traceparent);
        head.owner = true;
        head.key = key.to_string();
        attempt.sent();
        let sent_flag = SentFlag::default();
        let sent = dispatch::send(node, address, head, body, false, &sent_flag);
        let answer = match tokio::time::timeout(call.remaining(), sent).await {
            Ok(answer) => answer,
            Err(_) => CallAnswer::unanswered(sent_flag.verdict(), DEADLINE),
        };
        let never_sent = answer.verdict() == CallVerdict::NotRun
            && [dispatch::PATH_BROKE, DEADLINE].contains(&answer.head.reason.as_str());
        if !never_sent {
            let verdict = attempt.answered(answer.verdict());
            return with_verdict(answer, verdict);
        }
        attempt.answered(CallVerdict::NotRun);
        if !body.is_resendable() {
            break;
        }
    }
    CallAnswer::unanswered(attempt.unanswered(), "owner-unreachable")
}

fn with_verdict(mut answer: CallAnswer, verdict: CallVerdict) -> CallAnswer {
    answer.head.verdict = Verdict::from(verdict).into();
    answer
}

fn take_body(body: &mut RequestBody) -> RequestBody {
    std::mem::replace(body, RequestBody::whole(Bytes::new()))
}

fn with_key(call: &OutboundCall, key: &IdempotencyKey) -> OutboundCall {
    let mut keyed_call = call.clone();
    keyed_call.key = key.to_string();
    keyed_call
}

fn owner_of(call: &OutboundCall, key: &IdempotencyKey) -> Option<SmolStr> {
    match key {
        IdempotencyKey::Issued(key) => Some(key.host.clone()),
        IdempotencyKey::Opaque(text) => {
            let service = service_of(call)?;
            let set = owner_set(&call.version.fleet_state.model, &service);
            Some(KeyOwner::of(&service, text, &set, &call.context.home)?.host)
        }
    }
}

fn service_of(call: &OutboundCall) -> Option<SmolStr> {
    let route = call.route().ok()?;
    Some(call.version.snapshot.service(route.service)?.name.clone())
}

/// Answers a request as the owner of its key.
pub async fn answer_as_owner(
    mut call: OutboundCall,
    key: IdempotencyKey,
    body: RequestBody,
) -> CallAnswer {
    let node = Arc::clone(&call.node);
    let Some(service) = service_of(&call) else {
        let refusal = Refusal::new(RefusalReason::NoRoute);
        return CallAnswer::refused(&refusal, call.version.snapshot.revision());
    };
    let fingerprint = Fingerprint::new(
        &service,
        &call.method,
        &call.path,
        &call.context.tenant,
        None,
        &body.buffered,
    );
    let mut body = Some(body);
    loop {
        let request = OnceRequest {
            key: &key,
            service: &service,
            tenant: &call.context.tenant,
            regions: &call.context.home,
            fingerprint: fingerprint.0,
        };
        let now = node.clock.now();
        let decision = node.state.with_ledger(|ledger| {
            let decision = ledger.begin(&request, now);
            if let OnceDecision::Run(ticket) = decision {
                // Added under the ledger's lock, so that a request which
                // attaches to the run finds it.
                node.runs.begin(ticket);
            }
            decision
        });
        match decision {
            OnceDecision::Run(ticket) => {
                call.ticket = Some(ticket);
                let guard = RunGuard {
                    node,
                    ticket: Some(ticket),
                };
                let body = body
                    .take()
                    .unwrap_or_else(|| RequestBody::whole(Bytes::new()));
                return run(call, body, guard).await;
            }
            OnceDecision::Attach(ticket) => {
                if let Some(mut ended) = node.runs.watch(ticket) {
                    // The wait ends with an error once the run has ended.
                    let waited = tokio::time::timeout(call.remaining(), ended.changed()).await;
                    if waited.is_err() {
                        return CallAnswer::unanswered(CallVerdict::MayHaveRun, DEADLINE);
                    }
                }
            }
            OnceDecision::Replay(answer) => {
                count(&node.meters.replayed);
                return replay(&answer);
            }
            OnceDecision::Refuse { verdict, reason } => return refuse(verdict, &reason),
        }
    }
}

/// Runs the request in a separate task, so that a caller that disconnects neither
/// cancels work that has begun nor loses its response.
async fn run(call: OutboundCall, mut body: RequestBody, guard: RunGuard) -> CallAnswer {
    let (sender, receiver) = oneshot::channel();
    let under_way = call.node.begin_background();
    tokio::spawn(async move {
        let answer = call.dispatch(&mut body).await;
        let answer = guard.conclude(answer).await;
        // The caller may have disconnected; the ledger stores the response.
        let _ = sender.send(answer);
        drop(under_way);
    });
    receiver
        .await
        .unwrap_or_else(|_| CallAnswer::unanswered(CallVerdict::MayHaveRun, "run-lost"))
}

/// Ends a run in the ledger; a run whose guard is dropped may have run.
struct RunGuard {
    node: Arc<DaemonNode>,
    ticket: Option<OnceTicket>,
}

impl RunGuard {
    async fn conclude(mut self, answer: CallAnswer) -> CallAnswer {
        let CallAnswer { head, body } = answer;
        let verdict: CallVerdict = head.verdict().into();
        match verdict {
            CallVerdict::NotRun => {
                let verdict = self.finish(OnceOutcome::NotRun);
                with_verdict(CallAnswer { head, body }, verdict)
            }
            CallVerdict::MayHaveRun => {
                self.finish(OnceOutcome::MayHaveRun);
                CallAnswer { head, body }
            }
            CallVerdict::Ran => match body.buffer(MAX_STORED_BODY).await {
                Ok(AnswerBody::Whole(bytes)) => {
                    self.finish(OnceOutcome::Ran(stored_response(
                        &head.headers,
                        head.status,
                        &bytes,
                    )));
                    CallAnswer {
                        head,
                        body: AnswerBody::Whole(bytes),
                    }
                }
                Ok(body) => {
                    self.finish(OnceOutcome::RanUnstored);
                    CallAnswer { head, body }
                }
                Err(fault) => {
                    self.finish(OnceOutcome::RanUnstored);
                    CallAnswer::unanswered(CallVerdict::Ran, &fault.to_string())
                }
            },
        }
    }

    fn finish(&mut self, outcome: OnceOutcome) -> CallVerdict {
        let Some(ticket) = self.ticket.take() else {
            return CallVerdict::MayHaveRun;
        };
        let verdict = self
            .node
            .state
            .with_ledger(|ledger| ledger.finish(ticket, outcome, self.node.clock.now()));
        self.node.runs.end(ticket);
        verdict
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.finish(OnceOutcome::MayHaveRun);
    }
}

fn stored_response(headers: &[Header], status: u32, body: &Bytes) -> StoredResponse {
    let headers = headers
        .iter()
        .map(|header| (SmolStr::new(&header.name), Box::from(&header.value[..])));
    StoredResponse {
        status: u16::try_from(status).unwrap_or(502),
        headers: headers.collect(),
        body: Box::from(&body[..]),
    }
}

fn replay(response: &StoredResponse) -> CallAnswer {
    let body = AnswerBody::Whole(Bytes::copy_from_slice(&response.body));
    let mut answer = CallAnswer::unanswered(CallVerdict::Ran, "");
    answer.body = body;
    answer.head.status = response.status.into();
    answer.head.headers = response
        .headers
        .iter()
        .map(|(name, value)| Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value),
        })
        .collect();
    answer.add_header(headers::REPLAYED, "true");
    answer
}

fn refuse(verdict: CallVerdict, reason: &OnceReason) -> CallAnswer {
    let mut answer = CallAnswer::unanswered(verdict, &reason.to_string());
    answer.head.status = match reason {
        OnceReason::KeyReused | OnceReason::KeyForged => 422,
        OnceReason::Full | OnceReason::OutsideHome => 503,
        // Conflict: the request must not be sent again with this key.
        _ => 409,
    };
    answer
}

/// Issues an idempotency key for later requests to the path in the query, as in
/// `path=/orders`.
pub async fn issue(node: &Arc<DaemonNode>, head: &Parts) -> CallAnswer {
    match issue_key(node, head).await {
        Ok(key) => {
            let mut answer = CallAnswer::unanswered(CallVerdict::Ran, "");
            answer.head.status = 200;
            answer.add_header(headers::IDEMPOTENCY_KEY, &key);
            answer.body = AnswerBody::Whole(Bytes::from(format!("{key}\n")));
            answer
        }
        Err(refused) => refused,
    }
}

async fn issue_key(node: &Arc<DaemonNode>, head: &Parts) -> Result<String, CallAnswer> {
    let refused = |refusal| CallAnswer::refused(&refusal, 0);
    let version = node.non_stale_version().await.map_err(refused)?;
    let query = head.uri.query().unwrap_or_default();
    let path = query.split('&').find_map(|pair| pair.strip_prefix("path="));
    let path = path.ok_or_else(|| refused(Refusal::new(RefusalReason::NoRoute)))?;
    // A key is often requested before the first call to its service, when the
    // service is not loaded yet.
    let (version, route) = entry::find_route(node, version, "POST", path, None).await?;
    key_for_route(node, &version, route, head)
        .await
        .map_err(refused)
}

async fn key_for_route(
    node: &Arc<DaemonNode>,
    version: &PublishedVersion,
    route: RouteKey,
    head: &Parts,
) -> Result<String, Refusal> {
    let snapshot = &version.snapshot;
    let route = snapshot
        .routes()
        .get(route)
        .ok_or(Refusal::new(RefusalReason::NoRoute))?;
    let home = snapshot.home_rule(route, headers::text(&head.headers, headers::TENANT), &[])?;
    home.check_entry(snapshot.local_region())?;
    let service = snapshot
        .service(route.service)
        .ok_or(Refusal::new(RefusalReason::NoTarget))?;
    if snapshot.local_admission(&service.name).is_ok() {
        return Ok(node.state.with_ledger(|ledger| ledger.issue()).to_string());
    }
    let mut tried = TriedTargets::default();
    let request = PickRequest {
        home,
        criticality: route.criticality,
        bytes: 0,
    };
    loop {
        let now = node.clock.now();
        let picked = node
            .picker
            .pick(snapshot, route.service, &request, &tried, now)?;
        tried.insert(picked.target);
        let Ok(session) = node.pool.get(picked.daemon).await else {
            continue;
        };
        let key_request = IssueKeyRequest {
            service: service.name.to_string(),
        };
        let key_request = PeerRequest {
            request: Some(Request::IssueKey(key_request)),
        };
        if let Ok(PeerReply {
            reply: Some(Reply::IssuedKey(issued)),
        }) = session
            .peer_session()
            .request(key_request, ISSUE_TIMEOUT)
            .await
            && !issued.key.is_empty()
        {
            return Ok(issued.key);
        }
    }
}

/// Issues a key at the request of another daemon.
///
/// Returns an empty text when this host has no target of the service or when this
/// daemon is stopping.
pub fn issue_for(node: &DaemonNode, service: &str) -> String {
    let has_target = node
        .state
        .current()
        .is_some_and(|version| version.snapshot.local_admission(service).is_ok());
    if !has_target || node.is_stopping() {
        return String::new();
    }
    node.state.with_ledger(|ledger| ledger.issue()).to_string()
}
