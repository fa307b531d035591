//! Answers the caller, and records how its request ended.

use std::time::Duration;

use http::Response;
use http::StatusCode;
use radishgauge_events::events;
use radishgauge_mesh::placement::PlacementError;
use radishgauge_mesh::return_order;
use radishgauge_mesh::return_order::RefusedRequest;
use radishgauge_net::HttpAnswer;
use radishgauge_net::exchange::AnswerBody;
use rand::Rng;

use super::DEFAULT_RETRY_AFTER;
use super::EntryCall;
use crate::answer::BufferedAnswer;
use crate::attempt::AttemptHistory;
use crate::local_reply;
use crate::request_outcome::RequestOutcome;
use crate::waiting_lines;

impl EntryCall<'_> {
    pub(super) fn deliver(
        &self,
        answer: BufferedAnswer,
        id: &str,
        history: &AttemptHistory,
    ) -> HttpAnswer {
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
    pub(super) fn finish_unserved(
        &self,
        history: &mut AttemptHistory,
        error: PlacementError,
    ) -> HttpAnswer {
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
    pub(super) fn retry_after(&self, hint: Duration, now: Duration) -> Duration {
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

    pub(super) fn timed_out(&self, history: &mut AttemptHistory) -> HttpAnswer {
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

    pub(super) fn count(&self, outcome: RequestOutcome, now: Duration) {
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

    pub(super) fn fail(
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
