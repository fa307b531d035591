//! Chooses the target of a request.

use std::time::Duration;

use radishgauge_mesh::PlaceRequest;
use radishgauge_mesh::RequestKind;
use radishgauge_mesh::RouteKey;
use radishgauge_mesh::placement::PlaceCandidate;
use radishgauge_mesh::placement::PlacementError;
use radishgauge_mesh::tenant::TenantLabel;

use super::EntryCall;
use crate::answer::NotRun;
use crate::attempt::AttemptHistory;
use crate::known_hosts::Candidate;
use crate::origin::RequestOrigin;
use crate::suspect_placing;

/// Returns the candidate with this ID.
fn find_candidate(candidates: Vec<Candidate>, id: &str) -> Result<Candidate, PlacementError> {
    candidates
        .into_iter()
        .find(|candidate| candidate.place.id == id)
        .ok_or(PlacementError::NoTarget)
}

impl EntryCall<'_> {
    /// Returns the targets to which the request may be sent next.
    ///
    /// # Errors
    ///
    /// When it is quarantined at all that there are.
    pub(super) fn candidates(&self, history: &AttemptHistory) -> Result<Vec<Candidate>, NotRun> {
        let mut candidates =
            self.node
                .candidates(self.route, self.tenant.as_deref(), &self.service);
        suspect_placing::leave_out_quarantined(&self.node.owner, &self.prints, &mut candidates)?;
        candidates.retain(|candidate| !history.tried.contains(&candidate.place.id));
        suspect_placing::keep_on_trial(&self.node.owner, &self.prints, &mut candidates);
        Ok(candidates)
    }

    pub(super) fn place(&self, candidates: Vec<Candidate>) -> Result<Candidate, PlacementError> {
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
    pub(super) fn priority(&self) -> u32 {
        let priority = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns the name of the tenant; empty for none.
    pub(super) fn tenant_name(&self) -> &str {
        self.tenant.as_ref().map_or("", |tenant| &tenant.name)
    }

    /// Returns the form of the tenant's name in log lines; empty for none.
    pub(super) fn tenant_label(&self) -> TenantLabel<'_> {
        TenantLabel(self.tenant_name())
    }

    pub(super) fn route_key(&self) -> RouteKey {
        RouteKey::new(&self.service, &self.route.name)
    }

    /// Returns what the placement of the request depends on after its objective.
    pub(super) fn late_request(&self, now: Duration) -> PlaceRequest {
        PlaceRequest {
            objective: self.route.objective,
            patience: self.deadline.saturating_sub(now),
            priority: self.competing_urgency(now),
            body_bytes: self.request.body.len() as u64,
            route: self.route_key(),
            receive_rate: self.node.link().free_receive_rate(now) as u64,
        }
    }

    pub(super) fn is_call(&self) -> bool {
        matches!(self.origin, RequestOrigin::Run(_))
    }

    pub(super) fn kind(&self) -> RequestKind {
        RequestKind {
            route: self.route.name.clone(),
            urgency: self.origin.urgency(self.priority()),
            is_call: self.is_call(),
        }
    }

    /// Returns the urgency with which the request competes at its service.
    pub(super) fn competing_urgency(&self, now: Duration) -> u32 {
        let kind = self.kind();
        self.node
            .shares()
            .effective_urgency(&self.service, &kind, now)
    }

    pub(super) fn objective_left(&self, now: Duration) -> Duration {
        let spent = now.saturating_sub(self.arrived);
        let left = self.deadline.saturating_sub(now);
        self.route.objective.saturating_sub(spent).min(left)
    }
}
