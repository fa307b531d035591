//! Sends a request to a target, here or through another daemon.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_mesh::LoadReport;
use radishgauge_mesh::placement::TargetDistance;
use radishgauge_net::RequestProgress;
use radishgauge_schema::hop::HopHead;
use smol_str::SmolStr;

use super::EntryCall;
use crate::answer::TargetOutcome;
use crate::attempt;
use crate::attempt::AttemptHistory;
use crate::attempt::PendingAttempt;
use crate::hop;
use crate::known_hosts::Candidate;
use crate::origin::RequestOrigin;
use crate::peers::HopOutcome;
use crate::slot_offer;
use crate::suspect_exchange;
use crate::waiting_lines::WaitingPlace;

impl EntryCall<'_> {
    /// Returns the priority behind a call, as messages state it.
    pub(super) fn call_priority(&self) -> u32 {
        match &self.origin {
            RequestOrigin::Caller => 0,
            RequestOrigin::Run(running) => running.urgency.saturating_add(1),
        }
    }

    pub(super) fn head(&self, id: &str, history: &AttemptHistory) -> HopHead {
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
    pub(super) async fn send(
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
            let spent = hop.report.map(|report| hop::stated_time(report.spent_us));
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
    pub(super) fn record_load(&self, id: &SmolStr, load: LoadReport, route_time: Option<Duration>) {
        let now = self.node.now();
        let mut placer = self.node.placer();
        placer.report(id, load, now);
        if let Some(time) = route_time {
            placer.record_route_time(id, self.route_key(), time, now);
        }
    }

    /// Runs the request at this host's target.
    pub(super) async fn run_here(
        &self,
        head: &HopHead,
        waiting: Option<&mut WaitingPlace>,
    ) -> TargetOutcome {
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
    pub(super) fn record_call(&self, waiting_priority: Option<u32>) {
        if let RequestOrigin::Run(running) = &self.origin {
            self.node.owner.record_call(running, waiting_priority);
        }
    }

    /// Sends the request to the owner on another host, and offers it first if its
    /// body would load a link or if it is late.
    pub(super) async fn send_to_peer(
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

    pub(super) fn needs_offer(&self, candidate: &Candidate, body_bytes: u64) -> bool {
        let now = self.node.now();
        let send_rate = self.node.link().free_send_rate(now);
        let place = &candidate.place;
        self.node
            .placer()
            .needs_offer(&place.id, place.distance, body_bytes, send_rate, now)
    }
}
