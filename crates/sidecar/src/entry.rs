//! Serves requests of callers on this host and of this host's target.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use radishgauge_events::events;
use radishgauge_mesh::LoadReport;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::MeshRoute;
use radishgauge_mesh::PlaceRequest;
use radishgauge_mesh::RequestKind;
use radishgauge_mesh::RequestPrints;
use radishgauge_mesh::RouteKey;
use radishgauge_mesh::TenantPolicy;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::PlacementError;
use radishgauge_mesh::placement::TargetDistance;
use radishgauge_mesh::retry_budget::RetryKind;
use radishgauge_mesh::return_order;
use radishgauge_mesh::return_order::RefusedRequest;
use radishgauge_mesh::tenant::TenantLabel;
use radishgauge_net::BodyFault;
use radishgauge_net::BodyPieces;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpBody;
use radishgauge_net::HttpRequest;
use radishgauge_net::RequestProgress;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::message;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;
use rand::Rng;
use smol_str::SmolStr;

use crate::answer::BufferedAnswer;
use crate::answer::NotRun;
use crate::answer::TargetOutcome;
use crate::attempt;
use crate::attempt::AttemptHistory;
use crate::attempt::PendingAttempt;
use crate::body_receipt;
use crate::hop;
use crate::known_hosts::Candidate;
use crate::local_reply;
use crate::node::SidecarNode;
use crate::origin::RequestOrigin;
use crate::peers::HopOutcome;
use crate::request_outcome::RequestOutcome;
use crate::slot_offer;
use crate::suspect_exchange;
use crate::suspect_placing;
use crate::target_call::BufferedRequest;
use crate::tenant_access;
use crate::tenant_access::TenantAccess;
use crate::unread_body;
use crate::unread_body::close_connection;
use crate::waiting_lines;
use crate::waiting_lines::WaitingPlace;

mod late;

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

/// A request that was received completely, and has a route.
struct AcceptedRequest<'a> {
    id: SmolStr,
    config: &'a MeshConfig,
    route: &'a MeshRoute,
    tenant: Option<Arc<TenantPolicy>>,
    /// How long the request may take.
    longest: Duration,
    body: BodyPieces,
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
    let accepted = accept(&node, config.as_deref(), &head, &mut body, remote.ip()).await;
    let accepted = match accepted {
        Ok(accepted) => accepted,
        Err(mut refusal) => {
            unread_body::skip(&mut body, &mut refusal).await;
            return refusal;
        }
    };
    let AcceptedRequest {
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

/// Finds the route and the tenant of a request, and receives its body.
///
/// # Errors
///
/// When the request is refused before its body was read to the end.
async fn accept<'a>(
    node: &Arc<SidecarNode>,
    config: Option<&'a MeshConfig>,
    head: &Parts,
    body: &mut HttpBody,
    address: IpAddr,
) -> Result<AcceptedRequest<'a>, HttpAnswer> {
    let id = message::request_id(&head.headers);
    let refuse =
        |id: Option<&str>, reason| local_reply::refuse(node, id, reason, DEFAULT_RETRY_AFTER);
    let Some(config) = config else {
        return Err(refuse(id.as_deref(), "no configuration"));
    };
    let Some(id) = id else {
        let status = StatusCode::BAD_REQUEST;
        return Err(local_reply::error(status, None, "no request id"));
    };
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(route) = config.find(host, head.uri.path()) else {
        if node.may_lack_changes() {
            return Err(refuse(Some(&id), "no route in an old state"));
        }
        let status = StatusCode::NOT_FOUND;
        return Err(local_reply::error(status, Some(&id), "no route"));
    };
    let tenant = admit(node, config, route, &head.headers, &id).await?;
    let time_left = message::time_left(&head.headers).unwrap_or(route.timeout);
    let longest = time_left.min(route.timeout);
    let received = body_receipt::receive(node, body, address, longest).await;
    let body = received.map_err(|fault| refuse_body(node, &id, &fault))?;
    Ok(AcceptedRequest {
        id,
        config,
        route,
        tenant,
        longest,
        body,
    })
}

/// Returns the answer to a request whose body could not be received.
fn refuse_body(node: &SidecarNode, id: &str, fault: &BodyFault) -> HttpAnswer {
    let (status, reason) = match fault {
        BodyFault::Late => (StatusCode::REQUEST_TIMEOUT, "body did not arrive in time"),
        BodyFault::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        BodyFault::Cut(_) => (StatusCode::BAD_REQUEST, "body was cut off"),
        BodyFault::NoMemory => {
            return local_reply::refuse(node, Some(id), "no memory", DEFAULT_RETRY_AFTER);
        }
    };
    let mut answer = local_reply::error(status, Some(id), reason);
    if matches!(fault, BodyFault::Cut(_)) {
        // The rest of the body cannot be read.
        close_connection(&mut answer);
    }
    answer
}

/// Returns whether too little of the objective is left to place a request by it.
fn is_objective_over(route: &MeshRoute, spent: Duration) -> bool {
    let left = route.objective.saturating_sub(spent);
    left <= route.objective.mul_f64(MIN_OBJECTIVE_FRACTION)
}

/// Returns the tenant of a request, if it has one.
///
/// # Errors
///
/// When the request needs a key and has no valid one, or is over its tenant's limit.
async fn admit(
    node: &Arc<SidecarNode>,
    config: &MeshConfig,
    route: &MeshRoute,
    headers: &HeaderMap,
    id: &str,
) -> Result<Option<Arc<TenantPolicy>>, HttpAnswer> {
    let tenant = match tenant_access::check(node, config, route, headers, id) {
        TenantAccess::Tenant(tenant) => tenant,
        // Calls of targets have no tenant, so they do not count against a limit.
        TenantAccess::NoTenant => return Ok(None),
        TenantAccess::Refused(refusal) => {
            return Err(local_reply::refuse_access(
                node,
                id,
                &route.name,
                refusal,
                DEFAULT_RETRY_AFTER,
            ));
        }
    };
    match node.quota().admit(&tenant).await {
        Ok(()) => Ok(Some(tenant)),
        Err(refusal) => Err(local_reply::refuse_over_limit(node, id, &tenant, &refusal)),
    }
}

/// Returns the candidate with this ID.
fn find_candidate(candidates: Vec<Candidate>, id: &str) -> Result<Candidate, PlacementError> {
    candidates
        .into_iter()
        .find(|candidate| candidate.place.id == id)
        .ok_or(PlacementError::NoTarget)
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

    /// Returns the targets to which the request may be sent next.
    ///
    /// # Errors
    ///
    /// When it is quarantined at all that there are.
    fn candidates(&self, history: &AttemptHistory) -> Result<Vec<Candidate>, NotRun> {
        let mut candidates =
            self.node
                .candidates(self.route, self.tenant.as_deref(), &self.service);
        suspect_placing::leave_out_quarantined(&self.node.owner, &self.prints, &mut candidates)?;
        candidates.retain(|candidate| !history.tried.contains(&candidate.place.id));
        suspect_placing::keep_on_trial(&self.node.owner, &self.prints, &mut candidates);
        Ok(candidates)
    }

    fn place(&self, candidates: Vec<Candidate>) -> Result<Candidate, PlacementError> {
        let now = self.node.now();
        let places: Vec<PlaceCandidate> = candidates
            .iter()
            .map(|candidate| candidate.place.clone())
            .collect();
        self.observe_spare(&places);
        if self.is_late_at_start {
            // No target answers it in time, but an idle one still serves it.
            let request = self.late_request(now);
            let chosen = self.node.placer().place_late(&places, &request, now);
            if let Some(id) = chosen {
                return find_candidate(candidates, &id);
            }
        }
        let objective = self.objective_left(now);
        let patience = match self.is_call() {
            true => self.deadline.saturating_sub(now),
            false => objective,
        };
        let request = PlaceRequest {
            objective,
            patience,
            priority: self.competing_urgency(now),
            body_bytes: self.request.body.len() as u64,
            route: self.route_key(),
            receive_rate: self.node.link().free_receive_rate(now) as u64,
        };
        let id = self.node.placer().place(&places, &request, now)?;
        find_candidate(candidates, &id)
    }

    /// Returns the priority of the request; that of its tenant goes before that of its
    /// route.
    fn priority(&self) -> u32 {
        let priority = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns the name of the tenant; empty for none.
    fn tenant_name(&self) -> &str {
        self.tenant.as_ref().map_or("", |tenant| &tenant.name)
    }

    /// Returns the form of the tenant's name in log lines; empty for none.
    fn tenant_label(&self) -> TenantLabel<'_> {
        TenantLabel(self.tenant_name())
    }

    fn route_key(&self) -> RouteKey {
        RouteKey::new(&self.service, &self.route.name)
    }

    /// Returns what the placement of the request depends on after its objective.
    fn late_request(&self, now: Duration) -> PlaceRequest {
        PlaceRequest {
            objective: self.route.objective,
            patience: self.deadline.saturating_sub(now),
            priority: self.competing_urgency(now),
            body_bytes: self.request.body.len() as u64,
            route: self.route_key(),
            receive_rate: self.node.link().free_receive_rate(now) as u64,
        }
    }

    fn is_call(&self) -> bool {
        matches!(self.origin, RequestOrigin::Run(_))
    }

    fn kind(&self) -> RequestKind {
        RequestKind {
            route: self.route.name.clone(),
            urgency: self.origin.urgency(self.priority()),
            is_call: self.is_call(),
        }
    }

    /// Returns the urgency with which the request competes at its service.
    fn competing_urgency(&self, now: Duration) -> u32 {
        let kind = self.kind();
        self.node
            .shares()
            .effective_urgency(&self.service, &kind, now)
    }

    fn objective_left(&self, now: Duration) -> Duration {
        let spent = now.saturating_sub(self.arrived);
        let left = self.deadline.saturating_sub(now);
        self.route.objective.saturating_sub(spent).min(left)
    }

    /// Returns the priority behind a call, as messages state it.
    fn call_priority(&self) -> u32 {
        match &self.origin {
            RequestOrigin::Caller => 0,
            RequestOrigin::Run(running) => running.urgency.saturating_add(1),
        }
    }

    fn head(&self, id: &str, history: &AttemptHistory) -> HopHead {
        let now = self.node.now();
        let position = self.node.position();
        HopHead {
            target: id.to_owned(),
            caller_service: self.node.settings().service.to_string(),
            route: self.route.name.to_string(),
            objective_us: hop::micros(self.objective_left(now)),
            time_left_us: hop::micros(self.deadline.saturating_sub(now)),
            priority: self.priority(),
            idempotent: self.route.idempotent,
            revision: position.revision,
            era: position.era,
            reservation: 0,
            call: self.is_call(),
            call_priority: self.call_priority(),
            repeated: history.reached > 0 || self.origin.is_retried(),
            content_fingerprint: self.prints.content.0,
            exact_fingerprint: self.prints.exact.0,
            suspicions: suspect_exchange::records_of(self.node, &self.prints),
            suspicion_digest: self.node.owner.suspects.digest(now),
            tenant: self.tenant_name().to_owned(),
            ..HopHead::default()
        }
    }

    /// Sends the request to a target. A late request leaves its place in the line as
    /// soon as the owner has a slot for it.
    async fn send(
        &self,
        candidate: &Candidate,
        history: &mut AttemptHistory,
        waiting: Option<&mut WaitingPlace>,
    ) -> TargetOutcome {
        let started = self.node.now();
        let id = &candidate.place.id;
        let mut head = self.head(id, history);
        head.late = waiting.is_some();
        let mut pending_attempt = PendingAttempt {
            node: self.node,
            id,
            distance: candidate.place.distance,
            body_bytes: self.request.body.len() as u64,
            started,
            deadline: self.deadline,
            outcome: None,
        };
        let (outcome, spent) = if candidate.place.distance == TargetDistance::SameHost {
            let outcome = self.run_here(&head, waiting).await;
            let load = self.node.owner.report();
            let route_time = self.node.owner.route_service_time(&self.route.name);
            self.record_load(id, load, route_time);
            self.record_call(load.waiting_priority);
            if self.node.owner.is_leaving(id) {
                self.node.mark_leaving(id);
            }
            (outcome, None)
        } else {
            let progress = Arc::new(RequestProgress::default());
            history.progress = Some(Arc::clone(&progress));
            let hop = self.send_to_peer(candidate, head, &progress, waiting).await;
            let now = self.node.now();
            if let Some(report) = &hop.report {
                let load = hop::load_from_report(report);
                self.record_call(load.waiting_priority);
                self.record_load(id, load, hop::route_service_time(report));
                let unoffered_rate = report.unoffered_rate as f64;
                self.node
                    .placer()
                    .record_unoffered_rate(id, unoffered_rate, now);
                if report.send_rate > 0 {
                    let send_rate = report.send_rate as f64;
                    self.node.placer().record_send_rate(id, send_rate, now);
                }
                if report.leaving {
                    self.node.mark_leaving(id);
                }
                suspect_exchange::merge(self.node, &report.suspicions);
                self.node
                    .record_suspicion_digest(candidate.peer, report.suspicion_digest);
                self.node
                    .handle_owner_position(candidate.peer, hop::report_position(report));
            }
            let spent = hop
                .report
                .map(|report| Duration::from_micros(report.spent_us));
            (hop.outcome, spent)
        };
        if let TargetOutcome::Answered(answer) = &outcome
            && !answer.status.is_server_error()
        {
            let bytes = answer.body.len() as u64;
            self.node
                .placer()
                .record_answer_length(self.route_key(), bytes);
        }
        let took = self.node.now().saturating_sub(started);
        pending_attempt.outcome = Some(attempt::send_outcome(&outcome, took, spent));
        history.progress = None;
        outcome
    }

    /// Records what the owner of a target reports of its load and of the service
    /// time of this request's route.
    fn record_load(&self, id: &SmolStr, load: LoadReport, route_time: Option<Duration>) {
        let now = self.node.now();
        let mut placer = self.node.placer();
        placer.report(id, load, now);
        if let Some(time) = route_time {
            placer.record_route_time(id, self.route_key(), time, now);
        }
    }

    /// Runs the request at this host's target.
    async fn run_here(&self, head: &HopHead, waiting: Option<&mut WaitingPlace>) -> TargetOutcome {
        let owner = &self.node.owner;
        let Some(place) = waiting else {
            return owner.run(&self.request, head, None).await;
        };
        match owner.admit(head) {
            Ok(admitted) => {
                place.record_served();
                owner.run(&self.request, head, Some(admitted)).await
            }
            Err(refusal) => TargetOutcome::NotRun(refusal),
        }
    }

    /// Tells the owner of the run that makes this call which requests compete with it.
    fn record_call(&self, waiting_priority: Option<u32>) {
        if let RequestOrigin::Run(running) = &self.origin {
            self.node.owner.record_call(running, waiting_priority);
        }
    }

    /// Sends the request to the owner on another host, and offers it first if its
    /// body would load a link or if it is late.
    async fn send_to_peer(
        &self,
        candidate: &Candidate,
        mut head: HopHead,
        progress: &RequestProgress,
        waiting: Option<&mut WaitingPlace>,
    ) -> HopOutcome {
        let node = self.node;
        let peer = candidate.peer;
        let body_bytes = self.request.body.len() as u64;
        if waiting.is_some() || self.needs_offer(candidate, body_bytes) {
            let offer = slot_offer::send(node, peer, &head, &self.request.id, body_bytes).await;
            match offer.decision {
                Ok(reservation) => {
                    if let Some(place) = waiting {
                        place.record_served();
                    }
                    let now = node.now();
                    head.reservation = reservation;
                    head.objective_us = hop::micros(self.objective_left(now));
                    head.time_left_us = hop::micros(self.deadline.saturating_sub(now));
                }
                Err(refusal) => {
                    return HopOutcome {
                        outcome: TargetOutcome::NotRun(refusal),
                        report: offer.report,
                    };
                }
            }
        }
        node.link().record_sent(body_bytes, node.now());
        let hop = node.peers.send(peer, &self.request, &head, progress).await;
        if let TargetOutcome::Answered(answer) = &hop.outcome {
            node.link()
                .record_received(answer.body.len() as u64, node.now());
        }
        hop
    }

    fn needs_offer(&self, candidate: &Candidate, body_bytes: u64) -> bool {
        let now = self.node.now();
        let send_rate = self.node.link().free_send_rate(now);
        let place = &candidate.place;
        self.node
            .placer()
            .needs_offer(&place.id, place.distance, body_bytes, send_rate, now)
    }

    fn deliver(&self, answer: BufferedAnswer, id: &str, history: &AttemptHistory) -> HttpAnswer {
        let now = self.node.now();
        let took_ms = now.saturating_sub(self.arrived).as_millis();
        let fields = format_args!(
            "route={} tenant={} target={id} status={} attempts={} line={} took_ms={took_ms} version={} revision={}",
            self.route.name,
            self.tenant_label(),
            answer.status.as_u16(),
            history.tried.len(),
            history.line.as_str(),
            self.version,
            self.node.position(),
        );
        let outcome = match answer.status.is_server_error() {
            true => RequestOutcome::TargetFailed,
            false => RequestOutcome::Served,
        };
        self.count(outcome, now);
        let request_log = &self.node.request_log;
        if answer.status.is_server_error() {
            request_log.log_other(&events::REQUEST_FAILED, &self.request.id, fields, now);
        } else {
            request_log.log_served(&self.request.id, fields, now);
        }
        let mut response = Response::new(AnswerBody::whole(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        response
    }

    /// Answers a request that no further target may receive: with the failure
    /// of a target if there is one, as possibly run if an attempt may have run
    /// it, and otherwise as refused.
    fn finish_unserved(&self, history: &mut AttemptHistory, error: PlacementError) -> HttpAnswer {
        if let Some(failure) = history.failure.take() {
            let id = history.tried.last().cloned().unwrap_or_default();
            return self.deliver(failure, &id, history);
        }
        if let Some(reason) = history.may_have_run {
            return self.fail(StatusCode::BAD_GATEWAY, reason, history);
        }
        let hint = match (error, history.refusal) {
            (PlacementError::Full { retry_after }, _) => retry_after,
            (PlacementError::NoTarget, Some(refusal)) => {
                refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)
            }
            (PlacementError::NoTarget, None) => DEFAULT_RETRY_AFTER,
        };
        let now = self.node.now();
        let retry_after = self.retry_after(hint, now);
        self.count(RequestOutcome::Refused, now);
        let place = match error {
            PlacementError::Full { .. } => "full",
            PlacementError::NoTarget => "no target",
        };
        let competes_as = self.competing_urgency(now);
        let owner = history.refusal.map(|refusal| refusal.reason.as_str_name());
        self.node.request_log.log_other(
            &events::REQUEST_REFUSED,
            &self.request.id,
            format_args!(
                "route={} tenant={} place={place} owner={} urgency={} competes_as={competes_as} line={} retry_after_ms={} tried={:?} took_ms={} left_ms={} version={} revision={}",
                self.route.name,
                self.tenant_label(),
                owner.unwrap_or("-"),
                self.kind().urgency,
                history.line.as_str(),
                retry_after.as_millis(),
                history.tried,
                now.saturating_sub(self.arrived).as_millis(),
                self.deadline.saturating_sub(now).as_millis(),
                self.version,
                self.node.position(),
            ),
            now,
        );
        local_reply::refused(Some(&self.request.id), "not run", retry_after)
    }

    /// Returns the time after which a refused request should be sent again. A run waits
    /// for its call, so it repeats a call as soon as a target may have capacity.
    fn retry_after(&self, hint: Duration, now: Duration) -> Duration {
        if self.is_call() {
            let draw = rand::rng().random_range(0.0..1.0);
            return return_order::spread(hint, draw);
        }
        let request = RefusedRequest {
            hint,
            time_left: self.deadline.saturating_sub(now),
        };
        waiting_lines::return_time(self.node, &self.service, &request)
    }

    fn timed_out(&self, history: &mut AttemptHistory) -> HttpAnswer {
        let sent = match history.progress.take() {
            Some(progress) => progress.may_have_been_sent(),
            None if history.is_waiting => false,
            // An attempt at this host's target has no progress, and the target
            // may have run the request.
            None => !history.tried.is_empty(),
        };
        if !sent && history.may_have_run.is_none() {
            return self.finish_unserved(history, PlacementError::NoTarget);
        }
        self.fail(StatusCode::GATEWAY_TIMEOUT, "timeout", history)
    }

    fn count(&self, outcome: RequestOutcome, now: Duration) {
        let took = now.saturating_sub(self.arrived).as_millis() as u64;
        let metrics = &self.node.metrics;
        metrics.request(&self.route.name, outcome, took);
        if let Some(tenant) = &self.tenant {
            metrics.tenants.count(tenant, outcome);
        }
        let is_served = outcome != RequestOutcome::Refused;
        let kind = self.kind();
        self.node
            .shares()
            .record(&self.service, &kind, is_served, now);
    }

    fn fail(
        &self,
        status: StatusCode,
        reason: &'static str,
        history: &AttemptHistory,
    ) -> HttpAnswer {
        let now = self.node.now();
        self.count(RequestOutcome::Failed, now);
        self.node.request_log.log_other(
            &events::REQUEST_FAILED,
            &self.request.id,
            format_args!(
                "route={} tenant={} target={:?} reason={reason} fingerprint={:016x} status={} attempts={} took_ms={} version={} revision={}",
                self.route.name,
                self.tenant_label(),
                history.tried.last(),
                self.prints.content.0,
                status.as_u16(),
                history.tried.len(),
                now.saturating_sub(self.arrived).as_millis(),
                self.version,
                self.node.position(),
            ),
            now,
        );
        local_reply::error(status, Some(&self.request.id), reason)
    }
}
