//! Requests of callers that cannot be answered within their objective any more, and
//! wait for spare capacity.

use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::PlacementError;
use radishgauge_mesh::scheduling;
use radishgauge_mesh::waiting_line::LineRefusal;
use radishgauge_mesh::waiting_line::LineRequest;
use radishgauge_net::HttpAnswer;

use crate::answer::TargetOutcome;
use crate::attempt;
use crate::attempt::AttemptHistory;
use crate::attempt::LineOutcome;
use crate::entry::EntryCall;
use crate::known_hosts::Candidate;
use crate::origin::RequestOrigin;
use crate::waiting_lines;
use crate::waiting_lines::WaitingPlace;

impl EntryCall<'_> {
    /// Lets a request wait that no target answers in time, if it has a chance, and
    /// refuses it otherwise.
    pub(super) async fn wait_or_refuse(
        &self,
        history: &mut AttemptHistory,
        error: PlacementError,
    ) -> HttpAnswer {
        if self.may_wait(history, error) {
            match self.wait_in_line(history).await {
                Some(answer) => return answer,
                None => history.is_waiting = false,
            }
        }
        self.finish_unserved(history, error)
    }

    /// Returns whether waiting may help: nothing of the request has reached a target,
    /// and only capacity was lacking. Calls of targets wait at owners.
    fn may_wait(&self, history: &AttemptHistory, error: PlacementError) -> bool {
        let lacks_capacity = match error {
            PlacementError::Full { .. } => true,
            PlacementError::NoTarget => history
                .refusal
                .is_some_and(|refusal| attempt::is_for_lack_of_capacity(&refusal)),
        };
        lacks_capacity
            && self.origin == RequestOrigin::Caller
            && history.reached == 0
            && history.may_have_run.is_none()
            && history.failure.is_none()
            && !self.node.is_stopping()
    }

    /// Waits in the line of the service until the request is sent. Returns `None` if
    /// it must be refused.
    async fn wait_in_line(&self, history: &mut AttemptHistory) -> Option<HttpAnswer> {
        let mut place = match self.join_line() {
            Ok(place) => place,
            Err(refusal) => {
                history.line = match refusal {
                    LineRefusal::TimeLimit => LineOutcome::TimeLimit,
                    LineRefusal::Full => LineOutcome::Full,
                    LineRefusal::NoChance => LineOutcome::NoChance,
                };
                return None;
            }
        };
        self.node.metrics.count("line_joined");
        history.line = LineOutcome::GivenUp;
        loop {
            history.is_waiting = true;
            let has_turn = tokio::select! {
                has_turn = place.wait_for_turn() => has_turn,
                () = self.node.wait_for_stop() => {
                    history.line = LineOutcome::Stopped;
                    false
                }
            };
            if !has_turn {
                self.node.metrics.count("line_given_up");
                return None;
            }
            let Ok(candidates) = self.candidates(&AttemptHistory::default()) else {
                return None;
            };
            if candidates.is_empty() {
                history.line = LineOutcome::NoTarget;
                self.node.metrics.count("line_given_up");
                return None;
            }
            let Some(candidate) = self.place_late(candidates) else {
                place.record_none_free();
                continue;
            };
            history.is_waiting = false;
            history.tried.push(candidate.place.id.clone());
            let outcome = self.send(&candidate, history, Some(&mut place)).await;
            if !place.is_waiting() {
                self.node.metrics.count("line_served");
                history.line = LineOutcome::Sent;
                return Some(self.finish_late(outcome, &candidate, history));
            }
            if let TargetOutcome::NotRun(refusal) = &outcome {
                history.refusal = Some(*refusal);
            }
            // Tries are not attempts: there may be many, and nothing was sent.
            history.tried.pop();
            self.node.metrics.count("line_tries_refused");
            place.record_refused();
        }
    }

    fn join_line(&self) -> Result<WaitingPlace, LineRefusal> {
        // Most refused requests end here, so it comes before the list of all candidates.
        let time_limit = self.deadline.saturating_sub(self.arrived);
        if !scheduling::may_wait_late(self.route.objective, time_limit) {
            return Err(LineRefusal::TimeLimit);
        }
        let now = self.node.now();
        let places: Vec<PlaceCandidate> = self
            .node
            .candidates(self.route, self.tenant.as_deref(), &self.service)
            .into_iter()
            .map(|candidate| candidate.place)
            .collect();
        let run = self
            .node
            .placer()
            .expected_service_time(&places, &self.late_request(now), now);
        let request = LineRequest {
            urgency: self.kind().urgency,
            objective: self.route.objective,
            deadline: self.deadline,
            time_limit,
            run,
        };
        let body_bytes = self.request.body.len();
        waiting_lines::join(self.node, &self.service, &request, body_bytes)
    }

    /// Chooses a target that may have a slot to spare, if there is one.
    fn place_late(&self, candidates: Vec<Candidate>) -> Option<Candidate> {
        let now = self.node.now();
        let places: Vec<PlaceCandidate> = candidates
            .iter()
            .map(|candidate| candidate.place.clone())
            .collect();
        let request = self.late_request(now);
        let id = self.node.placer().place_late(&places, &request, now)?;
        candidates
            .into_iter()
            .find(|candidate| candidate.place.id == id)
    }

    /// Answers a late request that an owner had a slot for.
    fn finish_late(
        &self,
        outcome: TargetOutcome,
        candidate: &Candidate,
        history: &mut AttemptHistory,
    ) -> HttpAnswer {
        let id = &candidate.place.id;
        match outcome {
            TargetOutcome::Answered(answer) => {
                history.reached += 1;
                self.deliver(answer, id, history)
            }
            TargetOutcome::NotRun(refusal) => {
                history.refusal = Some(refusal);
                self.finish_unserved(history, PlacementError::NoTarget)
            }
            TargetOutcome::MayHaveRun(reason) => {
                history.reached += 1;
                history.may_have_run = Some(reason);
                self.finish_unserved(history, PlacementError::NoTarget)
            }
        }
    }

    /// Observes the spare capacity of the service, if requests of this route may wait
    /// for it.
    pub(super) fn observe_spare(&self, places: &[PlaceCandidate]) {
        let now = self.node.now();
        let time_limit = self.deadline.saturating_sub(self.arrived);
        if !scheduling::may_wait_late(self.route.objective, time_limit)
            || !self.node.waiting_lines().needs_spare(&self.service, now)
        {
            return;
        }
        let spare = self.node.placer().spare_capacity(places, now);
        if let Some(spare) = spare {
            waiting_lines::record_spare(self.node, &self.service, spare);
        }
    }
}
