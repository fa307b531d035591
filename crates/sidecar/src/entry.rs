//! Requests of callers, and of the target of this host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use radishgauge_events::events;
use radishgauge_mesh::MeshRoute;
use radishgauge_mesh::PlaceRequest;
use radishgauge_mesh::body_admission::LONG_BODY;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::PlacementError;
use radishgauge_mesh::placement::TargetDistance;
use radishgauge_mesh::retry_budget::RetryKind;
use radishgauge_net::BodyFault;
use radishgauge_net::HttpAnswer;
use radishgauge_net::HttpRequest;
use radishgauge_net::RequestProgress;
use radishgauge_net::exchange::AnswerBody;
use radishgauge_platform::message;
use radishgauge_schema::hop::HopHead;
use rand::Rng;
use smol_str::SmolStr;

use crate::answer::TargetOutcome;
use crate::answer::WholeAnswer;
use crate::attempt;
use crate::attempt::AttemptLog;
use crate::attempt::UnderWay;
use crate::hop;
use crate::intake;
use crate::node::Candidate;
use crate::node::SidecarNode;
use crate::origin::RequestOrigin;
use crate::peers::HopOutcome;
use crate::target_call::WholeRequest;

/// The least time after which a refused caller may come back. Less would only
/// repeat the load that led to the refusal.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(50);

/// When a caller may come back while nothing is known of the room: about the
/// time in which a target starts or a state arrives.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// By how much the times at which refused callers come back are spread.
const RETRY_SPREAD: f64 = 0.5;

/// How often one request is offered to owners that refuse it.
const MOST_OFFERS: usize = 4;

/// One request with what its attempts need.
struct EntryCall<'a> {
    node: &'a Arc<SidecarNode>,
    route: &'a MeshRoute,
    service: SmolStr,
    origin: RequestOrigin,
    request: WholeRequest,
    arrived: Duration,
    deadline: Duration,
    version: u64,
}

/// Serves one request.
pub async fn serve(node: Arc<SidecarNode>, request: HttpRequest) -> HttpAnswer {
    let arrived = node.now();
    let HttpRequest { head, mut body, .. } = request;
    let id = message::request_id(&head.headers);
    let Some(config) = node.config() else {
        return refuse(
            &node,
            id.as_deref(),
            "no configuration",
            UNKNOWN_RETRY_AFTER,
        );
    };
    let Some(id) = id else {
        return plain(StatusCode::BAD_REQUEST, None, "no request id");
    };
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(route) = config.find(host, head.uri.path()) else {
        return plain(StatusCode::NOT_FOUND, Some(&id), "no route");
    };
    let body = match body.whole(config.limits().body_bytes).await {
        Ok(body) => body,
        Err(BodyFault::TooLarge { .. }) => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, Some(&id), "body too large");
        }
        Err(BodyFault::Cut(_)) => {
            return plain(StatusCode::BAD_REQUEST, Some(&id), "body was cut off");
        }
    };
    let time_left = message::time_left(&head.headers).unwrap_or(route.timeout);
    let mut headers = head.headers;
    message::strip_connection_fields(&mut headers);
    hop::strip(&mut headers);
    let draw = rand::rng().random_range(0.0..1.0);
    let Some(service) = route.service(draw).cloned() else {
        return refuse(&node, Some(&id), "no service", UNKNOWN_RETRY_AFTER);
    };
    let call = EntryCall {
        node: &node,
        route,
        service,
        origin: RequestOrigin::of(&node, &id),
        request: WholeRequest {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            body,
        },
        arrived,
        deadline: arrived + time_left.min(route.timeout),
        version: config.version(),
    };
    let mut answer = call.run().await;
    if node.is_stopping() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

impl EntryCall<'_> {
    async fn run(&self) -> HttpAnswer {
        let now = self.node.now();
        self.record_request(now);
        let mut log = AttemptLog::default();
        let left = self.deadline.saturating_sub(now);
        let answer = tokio::select! {
            biased;
            answer = self.attempts(&mut log) => Some(answer),
            () = tokio::time::sleep(left) => None,
            () = self.node.wait_cut() => None,
        };
        answer.unwrap_or_else(|| self.timed_out(&mut log))
    }

    fn record_request(&self, now: Duration) {
        let mut budget = self.node.budget();
        budget.record_request(&self.service, now);
        if self.origin == (RequestOrigin::Run { repeated: true }) {
            budget.record_retried_call(&self.service, now);
        }
    }

    /// Offers the request to targets until one answers, or none may get it.
    async fn attempts(&self, log: &mut AttemptLog) -> HttpAnswer {
        loop {
            let candidate = match self.place(log) {
                Ok(candidate) => candidate,
                Err(unplaced) => return self.give_up(log, unplaced),
            };
            let id = candidate.place.id.clone();
            log.tried.push(id.clone());
            match self.send(&candidate, log).await {
                TargetOutcome::Answered(answer) => {
                    log.reached += 1;
                    if !answer.status.is_server_error() || !self.may_repeat(log, &id, "failure") {
                        return self.deliver(answer, &id, log);
                    }
                    log.failure = Some(answer);
                }
                TargetOutcome::NotRun(refusal) => {
                    log.refusal = Some(refusal);
                    let again = if refusal.reached_target {
                        log.reached += 1;
                        log.reached < self.route.attempts
                            && self.take_repeat(self.refused_kind(), &id, "refused")
                    } else {
                        log.tried.len() < MOST_OFFERS
                    };
                    if !again {
                        let retry_after = refusal.retry_after.unwrap_or(UNKNOWN_RETRY_AFTER);
                        return self.give_up(log, PlacementError::Full { retry_after });
                    }
                }
                TargetOutcome::MayHaveRun(reason) => {
                    log.reached += 1;
                    log.uncertain = Some(reason);
                    if !self.may_repeat(log, &id, reason) {
                        return self.give_up(log, PlacementError::NoTarget);
                    }
                }
            }
        }
    }

    /// Whether a request that ran, or may have, is sent to another target.
    fn may_repeat(&self, log: &AttemptLog, id: &str, reason: &str) -> bool {
        self.route.idempotent
            && log.reached < self.route.attempts
            && self.take_repeat(RetryKind::Ran, id, reason)
    }

    fn refused_kind(&self) -> RetryKind {
        match self.origin {
            RequestOrigin::Caller => RetryKind::Refused,
            RequestOrigin::Run { .. } => RetryKind::RefusedCall,
        }
    }

    fn take_repeat(&self, kind: RetryKind, id: &str, reason: &str) -> bool {
        let now = self.node.now();
        let daemons = self.node.peer_addresses().len() + 1;
        let taken = self
            .node
            .budget()
            .try_spend(&self.service, kind, daemons, now);
        if taken {
            self.node.metrics.count("repeats");
            self.node.record.other(
                &events::REQUEST_RETRIED,
                &self.request.id,
                format_args!("route={} target={id} reason={reason}", self.route.name),
                now,
            );
        }
        taken
    }

    fn place(&self, log: &AttemptLog) -> Result<Candidate, PlacementError> {
        let now = self.node.now();
        let mut candidates = self.node.candidates(self.route, &self.service);
        candidates.retain(|candidate| !log.tried.contains(&candidate.place.id));
        let places: Vec<PlaceCandidate> = candidates
            .iter()
            .map(|candidate| candidate.place.clone())
            .collect();
        let request = PlaceRequest {
            objective: self.objective_left(now),
            priority: self.route.priority,
            body_bytes: self.request.body.len() as u64,
        };
        let id = self.node.placer().place(&places, &request, now)?;
        candidates
            .into_iter()
            .find(|candidate| candidate.place.id == id)
            .ok_or(PlacementError::NoTarget)
    }

    fn objective_left(&self, now: Duration) -> Duration {
        let spent = now.saturating_sub(self.arrived);
        let left = self.deadline.saturating_sub(now);
        self.route.objective.saturating_sub(spent).min(left)
    }

    fn head(&self, id: &str, log: &AttemptLog) -> HopHead {
        let now = self.node.now();
        HopHead {
            target: id.to_owned(),
            caller_service: self.node.settings().service.to_string(),
            route: self.route.name.to_string(),
            objective_us: hop::micros(self.objective_left(now)),
            time_left_us: hop::micros(self.deadline.saturating_sub(now)),
            priority: self.route.priority,
            idempotent: self.route.idempotent,
            revision: self.node.revision(),
            lease: 0,
            repeated: log.reached > 0 || self.origin == (RequestOrigin::Run { repeated: true }),
        }
    }

    async fn send(&self, candidate: &Candidate, log: &mut AttemptLog) -> TargetOutcome {
        let started = self.node.now();
        let id = &candidate.place.id;
        let head = self.head(id, log);
        let mut under_way = UnderWay {
            node: self.node,
            id,
            distance: candidate.place.distance,
            body_bytes: self.request.body.len() as u64,
            started,
            deadline: self.deadline,
            outcome: None,
        };
        let (outcome, spent) = if candidate.place.distance == TargetDistance::SameHost {
            let outcome = self.node.owner.run(&self.request, &head).await;
            let load = self.node.owner.report();
            self.node.placer().report(id, load, self.node.now());
            (outcome, None)
        } else {
            let progress = Arc::new(RequestProgress::default());
            log.progress = Some(Arc::clone(&progress));
            let hop = self.send_to_peer(candidate.peer, head, &progress).await;
            let now = self.node.now();
            if let Some(report) = &hop.report {
                self.node.placer().report(id, hop::load_of(report), now);
                self.node.hear_report(candidate.peer, report.revision);
            }
            let spent = hop
                .report
                .map(|report| Duration::from_micros(report.spent_us));
            (hop.outcome, spent)
        };
        let took = self.node.now().saturating_sub(started);
        under_way.outcome = Some(attempt::send_outcome(&outcome, took, spent));
        log.progress = None;
        outcome
    }

    /// Sends the request to the owner on another host, a long body only with its
    /// lease.
    async fn send_to_peer(
        &self,
        peer: SocketAddr,
        mut head: HopHead,
        progress: &RequestProgress,
    ) -> HopOutcome {
        let peers = &self.node.peers;
        if self.request.body.len() as u64 >= LONG_BODY {
            match intake::ask(self.node, peer, &self.request.id).await {
                Ok(lease) => {
                    let now = self.node.now();
                    head.lease = lease;
                    head.objective_us = hop::micros(self.objective_left(now));
                    head.time_left_us = hop::micros(self.deadline.saturating_sub(now));
                }
                Err(refusal) => {
                    return HopOutcome {
                        outcome: TargetOutcome::NotRun(refusal),
                        report: None,
                    };
                }
            }
        }
        peers.send(peer, &self.request, &head, progress).await
    }

    fn deliver(&self, answer: WholeAnswer, id: &str, log: &AttemptLog) -> HttpAnswer {
        let now = self.node.now();
        let took_ms = now.saturating_sub(self.arrived).as_millis();
        let fields = format_args!(
            "route={} target={id} status={} attempts={} took_ms={took_ms} version={} revision={}",
            self.route.name,
            answer.status.as_u16(),
            log.tried.len(),
            self.version,
            self.node.revision(),
        );
        let outcome = if answer.status.is_server_error() {
            "target_failed"
        } else {
            "served"
        };
        self.count(outcome, now);
        let record = &self.node.record;
        if answer.status.is_server_error() {
            record.other(&events::REQUEST_FAILED, &self.request.id, fields, now);
        } else {
            record.served(&self.request.id, fields, now);
        }
        let mut response = Response::new(AnswerBody::whole(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        response
    }

    /// Answers a request that no further target may get.
    fn give_up(&self, log: &mut AttemptLog, unplaced: PlacementError) -> HttpAnswer {
        if let Some(failure) = log.failure.take() {
            let id = log.tried.last().cloned().unwrap_or_default();
            return self.deliver(failure, &id, log);
        }
        if let Some(reason) = log.uncertain {
            return self.fail(StatusCode::BAD_GATEWAY, reason, log);
        }
        let hint = match (unplaced, log.refusal) {
            (PlacementError::Full { retry_after }, _) => retry_after,
            (PlacementError::NoTarget, Some(refusal)) => {
                refusal.retry_after.unwrap_or(UNKNOWN_RETRY_AFTER)
            }
            (PlacementError::NoTarget, None) => UNKNOWN_RETRY_AFTER,
        };
        let spread = 1.0 + rand::rng().random_range(0.0..RETRY_SPREAD);
        let retry_after = hint.max(LEAST_RETRY_AFTER).mul_f64(spread);
        let now = self.node.now();
        self.count("refused", now);
        let place = match unplaced {
            PlacementError::Full { .. } => "full",
            PlacementError::NoTarget => "no target",
        };
        let owner = log.refusal.map(|refusal| refusal.reason.as_str_name());
        self.node.record.other(
            &events::REQUEST_REFUSED,
            &self.request.id,
            format_args!(
                "route={} place={place} owner={} retry_after_ms={} tried={:?} took_ms={} left_ms={} version={} revision={}",
                self.route.name,
                owner.unwrap_or("-"),
                retry_after.as_millis(),
                log.tried,
                now.saturating_sub(self.arrived).as_millis(),
                self.deadline.saturating_sub(now).as_millis(),
                self.version,
                self.node.revision(),
            ),
            now,
        );
        own_answer(
            StatusCode::SERVICE_UNAVAILABLE,
            Some(&self.request.id),
            "not run",
            Some(retry_after),
        )
    }

    fn timed_out(&self, log: &mut AttemptLog) -> HttpAnswer {
        let sent = match log.progress.take() {
            Some(progress) => progress.may_have_been_sent(),
            // The target of this host answers for itself, later.
            None => !log.tried.is_empty(),
        };
        if !sent && log.uncertain.is_none() {
            return self.give_up(log, PlacementError::NoTarget);
        }
        self.fail(StatusCode::GATEWAY_TIMEOUT, "timeout", log)
    }

    fn count(&self, outcome: &str, now: Duration) {
        let took = now.saturating_sub(self.arrived).as_millis() as u64;
        self.node.metrics.request(&self.route.name, outcome, took);
    }

    fn fail(&self, status: StatusCode, reason: &'static str, log: &AttemptLog) -> HttpAnswer {
        let now = self.node.now();
        self.count("failed", now);
        self.node.record.other(
            &events::REQUEST_FAILED,
            &self.request.id,
            format_args!(
                "route={} target={:?} reason={reason} status={} attempts={} took_ms={} version={} revision={}",
                self.route.name,
                log.tried.last(),
                status.as_u16(),
                log.tried.len(),
                now.saturating_sub(self.arrived).as_millis(),
                self.version,
                self.node.revision(),
            ),
            now,
        );
        plain(status, Some(&self.request.id), reason)
    }
}

fn refuse(
    node: &SidecarNode,
    id: Option<&str>,
    reason: &'static str,
    retry_after: Duration,
) -> HttpAnswer {
    node.record.other(
        &events::REQUEST_REFUSED,
        id.unwrap_or_default(),
        format_args!("reason={reason}"),
        node.now(),
    );
    own_answer(
        StatusCode::SERVICE_UNAVAILABLE,
        id,
        reason,
        Some(retry_after),
    )
}

fn plain(status: StatusCode, id: Option<&str>, reason: &'static str) -> HttpAnswer {
    own_answer(status, id, reason, None)
}

fn own_answer(
    status: StatusCode,
    id: Option<&str>,
    reason: &'static str,
    retry_after: Option<Duration>,
) -> HttpAnswer {
    let mut response = Response::new(AnswerBody::whole(reason));
    *response.status_mut() = status;
    message::set_local_reply_headers(response.headers_mut(), id, retry_after);
    response
}
