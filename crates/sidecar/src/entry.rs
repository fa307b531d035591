//! Serves requests of callers on this host and of this host's target.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_events::events;
use radishgauge_mesh::MeshRoute;
use radishgauge_mesh::RequestPrints;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::placement::PlacementError;
use radishgauge_mesh::retry_budget::RetryKind;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_platform::message;
use radishgauge_schema::hop::HopReason;
use rand::Rng;
use smol_str::SmolStr;

use crate::answer::TargetOutcome;
use crate::attempt;
use crate::attempt::AttemptHistory;
use crate::hop;
use crate::local_reply;
use crate::node::SidecarNode;
use crate::origin::RequestOrigin;
use crate::target_call::BufferedRequest;
use crate::unread_body;
use crate::unread_body::close_connection;

mod accept;
mod finishing;
mod late;
mod placing;
mod sending;

/// The time after which a caller may retry when no estimate is available: about
/// the time in which a target starts or a state arrives.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The greatest number of targets to which one request is offered while owners
/// refuse it for lack of capacity.
const MAX_OFFERS: usize = 4;

/// The greatest number of targets that one request tries, including those that
/// have ended or cannot be reached.
const MAX_TRIED: usize = 12;

/// The least fraction of the objective with which a request is placed by it. With less,
/// the allowed wait is so short that a small delay rules out idle targets.
const MIN_OBJECTIVE_FRACTION: f64 = 0.1;

/// One request with the data that its attempts need.
struct EntryCall<'a> {
    node: &'a Arc<SidecarNode>,
    route: &'a MeshRoute,
    tenant: Option<Arc<TenantPolicy>>,
    service: SmolStr,
    origin: RequestOrigin,
    request: BufferedRequest,
    prints: RequestPrints,
    arrived: Duration,
    /// Whether the objective passed before the first attempt, while the body arrived.
    is_late_at_start: bool,
    deadline: Duration,
    version: u64,
}

/// Serves one request of a caller or of this host's target.
pub async fn serve(node: Arc<SidecarNode>, request: HttpRequest) -> HttpAnswer {
    let arrived = node.now();
    let HttpRequest {
        head,
        mut body,
        remote,
        ..
    } = request;
    let config = node.config();
    let accepted = accept::accept(&node, config.as_deref(), &head, &mut body, remote.ip()).await;
    let accepted = match accepted {
        Ok(accepted) => accepted,
        Err(mut refusal) => {
            unread_body::skip(&mut body, &mut refusal).await;
            return refusal;
        }
    };
    let accept::AcceptedRequest {
        id,
        config,
        route,
        tenant,
        longest,
        body,
    } = accepted;
    if !node.accepts(longest) {
        let mut answer = local_reply::refuse(&node, Some(&id), "stopping", DEFAULT_RETRY_AFTER);
        close_connection(&mut answer);
        return answer;
    }
    let mut headers = head.headers;
    message::strip_connection_fields(&mut headers);
    hop::remove_fields(&mut headers);
    message::remove_tenant(&mut headers);
    if config.has_tenants() {
        message::remove_key(&mut headers);
    }
    let draw = rand::rng().random_range(0.0..1.0);
    let Some(service) = route.service(draw).cloned() else {
        return local_reply::refuse(&node, Some(&id), "no service", DEFAULT_RETRY_AFTER);
    };
    let origin = match tenant {
        // Only callers send keys.
        Some(_) => RequestOrigin::Caller,
        None => RequestOrigin::of(&node, &id),
    };
    let request = BufferedRequest {
        id,
        method: head.method,
        uri: head.uri,
        headers,
        body,
    };
    let prints = request.prints(&node.settings().service, &service);
    let call = EntryCall {
        node: &node,
        route,
        tenant,
        service,
        origin,
        request,
        prints,
        arrived,
        is_late_at_start: is_objective_over(route, node.now().saturating_sub(arrived)),
        deadline: arrived + longest,
        version: config.version(),
    };
    let mut answer = call.run().await;
    if node.is_stopping() {
        close_connection(&mut answer);
    }
    answer
}

/// Returns whether too little of the objective is left to place a request by it.
fn is_objective_over(route: &MeshRoute, spent: Duration) -> bool {
    let left = route.objective.saturating_sub(spent);
    left <= route.objective.mul_f64(MIN_OBJECTIVE_FRACTION)
}

impl EntryCall<'_> {
    async fn run(&self) -> HttpAnswer {
        let now = self.node.now();
        self.record_request(now);
        let mut history = AttemptHistory::default();
        let left = self.deadline.saturating_sub(now);
        let answer = tokio::select! {
            biased;
            answer = self.attempts(&mut history) => Some(answer),
            () = tokio::time::sleep(left) => None,
            () = self.node.wait_for_time_out() => None,
        };
        answer.unwrap_or_else(|| self.timed_out(&mut history))
    }

    fn record_request(&self, now: Duration) {
        let mut budget = self.node.budget();
        budget.record_request(&self.service, now);
        if self.origin.is_retried() {
            budget.record_retried_call(&self.service, now);
        }
    }

    /// Offers the request to targets until one answers or no further target may
    /// receive it.
    async fn attempts(&self, history: &mut AttemptHistory) -> HttpAnswer {
        loop {
            let candidates = match self.candidates(history) {
                Ok(candidates) => candidates,
                Err(refusal) => {
                    self.node.metrics.count("requests_quarantined");
                    history.refusal = Some(refusal);
                    return self.finish_unserved(history, PlacementError::NoTarget);
                }
            };
            let candidate = match self.place(candidates) {
                Ok(candidate) => candidate,
                Err(error) => return self.wait_or_refuse(history, error).await,
            };
            let id = candidate.place.id.clone();
            history.tried.push(id.clone());
            match self.send(&candidate, history, None).await {
                TargetOutcome::Answered(answer) => {
                    history.reached += 1;
                    if !answer.status.is_server_error() || !self.may_retry(history, &id, "failure")
                    {
                        return self.deliver(answer, &id, history);
                    }
                    history.failure = Some(answer);
                }
                TargetOutcome::NotRun(refusal) => {
                    history.refusal = Some(refusal);
                    if matches!(
                        refusal.reason,
                        HopReason::Misplaced | HopReason::OtherTarget
                    ) {
                        self.node.record_misplaced(&id);
                    }
                    let try_another = if refusal.reason == HopReason::Quarantined {
                        false
                    } else if refusal.reached_target {
                        history.reached += 1;
                        history.reached < self.route.attempts
                            && self.try_spend_retry(self.refusal_retry_kind(), &id, "refused")
                    } else {
                        if attempt::is_for_lack_of_capacity(&refusal) {
                            history.refused_offers += 1;
                        }
                        history.refused_offers < MAX_OFFERS && history.tried.len() < MAX_TRIED
                    };
                    if !try_another {
                        let retry_after = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                        let error = PlacementError::Full { retry_after };
                        return match attempt::is_for_lack_of_capacity(&refusal) {
                            true => self.wait_or_refuse(history, error).await,
                            false => self.finish_unserved(history, error),
                        };
                    }
                }
                TargetOutcome::MayHaveRun(reason) => {
                    history.reached += 1;
                    history.may_have_run = Some(reason);
                    if !self.may_retry(history, &id, reason) {
                        return self.finish_unserved(history, PlacementError::NoTarget);
                    }
                }
            }
        }
    }

    /// Returns whether a request that ran, or may have run, is sent to another
    /// target. Spends one retry of the budget if so.
    fn may_retry(&self, history: &AttemptHistory, id: &str, reason: &str) -> bool {
        self.route.idempotent
            && history.reached < self.route.attempts
            && self.try_spend_retry(RetryKind::Ran, id, reason)
    }

    fn refusal_retry_kind(&self) -> RetryKind {
        match &self.origin {
            RequestOrigin::Caller => RetryKind::Refused,
            RequestOrigin::Run(_) => RetryKind::RefusedCall,
        }
    }

    fn try_spend_retry(&self, kind: RetryKind, id: &str, reason: &str) -> bool {
        let now = self.node.now();
        let daemons = self.node.peer_addresses().len() + 1;
        let allowed = self
            .node
            .budget()
            .try_spend(&self.service, kind, daemons, now);
        if allowed {
            self.node.metrics.count("repeats");
            self.node.request_log.log_other(
                &events::REQUEST_RETRIED,
                &self.request.id,
                format_args!("route={} target={id} reason={reason}", self.route.name),
                now,
            );
        }
        allowed
    }
}
