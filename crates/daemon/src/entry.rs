//! The entry daemon: receives a caller's request and answers it.
//!
//! Any daemon can be the entry daemon of a request. It finds the route, checks
//! the home regions and sends the call to a target; a request that must not be
//! retried goes to the owner of its idempotency key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http::request::Parts;
use opentelemetry::trace::SpanKind;
use radishgauge_traffic::CallContext;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::Refusal;
use radishgauge_traffic::RefusalReason;
use radishgauge_traffic::context::CONTEXT_HEADER;
use radishgauge_traffic::key::IdempotencyKey;
use radishgauge_traffic::route::RouteKey;
use radishgauge_traffic::tree::CallKey;
use radishgauge_traffic::tree::ChildGrant;
use smol_str::SmolStr;

use crate::answer::CallAnswer;
use crate::body::AnswerBody;
use crate::body::RequestBody;
use crate::dispatch::OutboundCall;
use crate::headers;
use crate::keyed;
use crate::meters::count;
use crate::node::DaemonNode;
use crate::publish::PublishedVersion;

/// The path at which callers request idempotency keys.
pub const KEYS_PATH: &str = "/.radishgauge/keys";

/// A caller's request; the start of its body has been buffered.
pub struct EntryRequest {
    /// The method, the URI and the headers.
    pub head: Parts,
    /// The body, of which the start is buffered.
    pub body: RequestBody,
}

/// Answers a caller's request and counts its verdict.
pub async fn answer_request(node: &Arc<DaemonNode>, request: EntryRequest) -> CallAnswer {
    count(&node.meters.calls);
    let answer = match node.begin_call() {
        Ok(_under_way) => answer(node, request).await,
        Err(refusal) => CallAnswer::refused(&refusal, 0),
    };
    match answer.verdict() {
        CallVerdict::Ran => count(&node.meters.answered),
        CallVerdict::NotRun => count(&node.meters.refused),
        CallVerdict::MayHaveRun => count(&node.meters.may_have_run),
    }
    answer
}

async fn answer(node: &Arc<DaemonNode>, request: EntryRequest) -> CallAnswer {
    let EntryRequest { head, mut body } = request;
    if head.uri.path() == KEYS_PATH && head.method == Method::POST {
        return keyed::issue(node, &head).await;
    }
    let call = match EntryCall::open(node, &head).await {
        Ok(call) => call,
        Err(refused) => return refused,
    };
    call.run(&head, &mut body).await
}

struct EntryCall {
    call: OutboundCall,
    grant: Option<ChildGrant>,
}

impl EntryCall {
    async fn open(node: &Arc<DaemonNode>, head: &Parts) -> Result<EntryCall, CallAnswer> {
        let arrived = node.clock.now();
        let caller_context = parse_context(head)?;
        let version = node
            .non_stale_version()
            .await
            .map_err(|refusal| refused(&refusal, 0))?;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let limit = caller_context.as_ref().map(|context| context.deadline);
        let (version, route) = find_route(node, version, head.method.as_str(), path, limit).await?;
        let revision = version.snapshot.revision();
        let entry = version.snapshot.routes().get(route);
        let Some(entry) = entry else {
            return Err(refused(&Refusal::new(RefusalReason::NoRoute), revision));
        };
        let tenant = match &caller_context {
            Some(context) => context.tenant.clone(),
            None => SmolStr::new(headers::text(&head.headers, headers::TENANT)),
        };
        let home_regions = caller_context
            .as_ref()
            .map_or(&[][..], |context| &context.home);
        let home = version
            .snapshot
            .home_rule(entry, &tenant, home_regions)
            .and_then(|rule| {
                rule.check_entry(version.snapshot.local_region())
                    .map(|()| rule)
            })
            .map_err(|refusal| refused(&refusal, revision))?;
        let time = match &caller_context {
            Some(context) => context.deadline.min(entry.timeout),
            None => entry.timeout,
        };
        let deadline = arrived + time;
        if node.clock.now() >= deadline {
            return Err(refused(&Refusal::new(RefusalReason::Deadline), revision));
        }
        let grant = grant(node, caller_context.as_ref(), entry.cost.estimate())
            .map_err(|refusal| refused(&refusal, revision))?;
        let context = CallContext {
            deadline: time,
            depth: caller_context.as_ref().map_or(0, |context| context.depth),
            allowance: grant.allowance(),
            call: None,
            tenant,
            home: version.snapshot.home_region_names(&home),
        };
        let call = OutboundCall {
            node: Arc::clone(node),
            version,
            route,
            home,
            context,
            deadline,
            method: head.method.as_str().to_owned(),
            path: path.to_owned(),
            headers: headers::forwarded(&head.headers),
            traceparent: headers::text(&head.headers, headers::TRACEPARENT).to_owned(),
            key: headers::text(&head.headers, headers::IDEMPOTENCY_KEY).to_owned(),
            ticket: None,
        };
        Ok(EntryCall {
            call,
            grant: Some(grant),
        })
    }

    async fn run(mut self, head: &Parts, body: &mut RequestBody) -> CallAnswer {
        let node = Arc::clone(&self.call.node);
        let span = node.span("entry", SpanKind::Server, &self.call.traceparent);
        if let Some(span) = &span {
            self.call.traceparent = span.traceparent().to_owned();
            if !self.call.home.is_restricted() {
                span.set("http.request.method", head.method.to_string());
                if let Ok(route) = self.call.route() {
                    span.set("route", route.name.to_string());
                }
            }
        }
        let keyed =
            !self.call.key.is_empty() || self.call.route().is_ok_and(|route| !route.repeatable);
        let answer = if keyed {
            match parse_key(&self.call.key) {
                Ok(key) => keyed::send(&self.call, key, body).await,
                Err(answer) => answer,
            }
        } else {
            self.call.dispatch(body).await
        };
        if let Some(grant) = self.grant.take() {
            let calls = (answer.head.calls > 0).then_some(answer.head.calls);
            node.tree.end_child(grant, calls);
        }
        if let Some(span) = &span {
            span.set("verdict", answer.verdict().to_string());
        }
        answer
    }
}

impl Drop for EntryCall {
    fn drop(&mut self) {
        // The caller disconnected; the number of child calls is unknown.
        if let Some(grant) = self.grant.take() {
            self.call.node.tree.end_child(grant, None);
        }
    }
}

fn parse_key(text: &str) -> Result<Option<IdempotencyKey>, CallAnswer> {
    if text.is_empty() {
        return Ok(None);
    }
    text.parse()
        .map(Some)
        .map_err(|fault| bad_request(&format!("{fault}")))
}

fn parse_context(head: &Parts) -> Result<Option<CallContext>, CallAnswer> {
    match headers::text(&head.headers, CONTEXT_HEADER) {
        "" => Ok(None),
        text => text
            .parse()
            .map(Some)
            .map_err(|error| bad_request(&format!("{error}"))),
    }
}

fn grant(
    node: &DaemonNode,
    caller_context: Option<&CallContext>,
    estimate: u32,
) -> Result<ChildGrant, Refusal> {
    let parent = caller_context.and_then(|context| context.call).map(CallKey);
    let in_retry = caller_context.is_some_and(CallContext::is_in_retry);
    node.tree.begin_child(parent, in_retry, estimate)
}

/// Finds the route of a request; when its service is not loaded yet, requests it
/// and waits for it until the deadline.
pub(crate) async fn find_route(
    node: &Arc<DaemonNode>,
    mut version: Arc<PublishedVersion>,
    method: &str,
    path: &str,
    limit: Option<Duration>,
) -> Result<(Arc<PublishedVersion>, RouteKey), CallAnswer> {
    let mut changes = node.state.changes();
    let arrived = node.clock.now();
    let mut requested = false;
    loop {
        changes.mark_unchanged();
        let missing = unloaded_service(&version, path);
        // A loaded route with a shorter prefix must not match in place of a
        // longer one whose service is not loaded yet.
        let found = match &missing {
            None => version.snapshot.routes().find(method, path),
            Some(_) => Err(Refusal::new(RefusalReason::NoTarget)),
        };
        let refusal = match found {
            Ok(route) => return Ok((version, route)),
            Err(refusal) => refusal,
        };
        let revision = version.snapshot.revision();
        let Some((service, timeout)) = missing else {
            return Err(refused(&refusal, revision));
        };
        if !requested {
            node.control.request_service(service);
            requested = true;
        }
        let time = limit.map_or(timeout, |limit| limit.min(timeout));
        let left = (arrived + time).saturating_sub(node.clock.now());
        match tokio::time::timeout(left, changes.changed()).await {
            Ok(Ok(())) => {
                version = node.state.current().unwrap_or(version);
            }
            _ => return Err(refused(&Refusal::new(RefusalReason::NoTarget), revision)),
        }
    }
}

/// Returns the service and the timeout of the route with the longest matching
/// prefix, if that service is not loaded.
fn unloaded_service(version: &PublishedVersion, path: &str) -> Option<(SmolStr, Duration)> {
    let fleet_state = &version.fleet_state;
    if fleet_state.unloaded.is_empty() {
        return None;
    }
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let matches = |prefix: &str| {
        let prefix = prefix.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let prefix_length = |prefix: &SmolStr| prefix.trim_end_matches('/').len();
    let loaded = fleet_state
        .model
        .routes
        .values()
        .filter(|route| matches(&route.path_prefix))
        .map(|route| prefix_length(&route.path_prefix))
        .max();
    fleet_state
        .unloaded
        .values()
        .filter(|route| matches(&route.path_prefix))
        .max_by_key(|route| prefix_length(&route.path_prefix))
        .filter(|route| loaded.is_none_or(|loaded| prefix_length(&route.path_prefix) >= loaded))
        .map(|route| (route.service.clone(), route.timeout))
}

fn refused(refusal: &Refusal, revision: u64) -> CallAnswer {
    CallAnswer::refused(refusal, revision)
}

fn bad_request(message: &str) -> CallAnswer {
    let mut answer = CallAnswer::refused(&Refusal::new(RefusalReason::BadContext), 0);
    answer.body = AnswerBody::Whole(Bytes::from(format!("{message}\n")));
    answer
}

/// Returns the head of the HTTP response for an answer, and the unchanged body.
pub fn response(answer: CallAnswer) -> (Response<()>, AnswerBody) {
    let status = u16::try_from(answer.head.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let mut response = Response::new(());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let map = response.headers_mut();
    headers::add_all(map, &answer.head.headers);
    map.insert(
        headers::VERDICT,
        HeaderValue::from_static(answer.verdict().as_str()),
    );
    if answer.head.calls > 0 {
        map.insert(headers::CALLS, HeaderValue::from(answer.head.calls));
    }
    if let Ok(reason) = HeaderValue::try_from(&answer.head.reason)
        && !answer.head.reason.is_empty()
    {
        map.insert(headers::REASON, reason);
    }
    if answer.head.retry_after_ms > 0 {
        // The header has whole seconds; rounded up, so that a caller does not
        // retry too early.
        map.insert(
            RETRY_AFTER,
            HeaderValue::from(answer.head.retry_after_ms.div_ceil(1000)),
        );
    }
    (response, answer.body)
}
