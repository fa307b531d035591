//! Leases of this host's link for long answers to other hosts; see
//! [`radishgauge_mesh::answer_link`].
//!
//! Routes whose answers are short get no lease and are never refused here.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_mesh::AnswerLease;
use radishgauge_mesh::AnswerLengths;
use radishgauge_mesh::AnswerLink;
use radishgauge_mesh::RouteKey;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;

use crate::answer::NotRun;
use crate::answer::TargetOutcome;
use crate::node::SidecarNode;

/// The long answers of this host's target, and the link that sends them.
#[derive(Debug)]
pub struct OwnedAnswers {
    pub(crate) link: AnswerLink,
    pub(crate) lengths: AnswerLengths,
}

impl OwnedAnswers {
    /// Returns the state of an idle link that can send `link_rate` bytes a second.
    pub fn new(link_rate: f64) -> OwnedAnswers {
        OwnedAnswers {
            link: AnswerLink::new(link_rate),
            lengths: AnswerLengths::default(),
        }
    }
}

/// The lease of one request; dropping it ends the lease without an answer.
pub struct AnswerGuard {
    node: Arc<SidecarNode>,
    route: RouteKey,
    /// `None` if the answer is expected to be short, or after the end.
    lease: Option<AnswerLease>,
}

impl AnswerGuard {
    /// Ends the lease with the outcome of the request, and learns from it.
    pub fn end(mut self, outcome: &TargetOutcome) {
        let TargetOutcome::Answered(answer) = outcome else {
            return;
        };
        let sent = answer.body.len() as u64;
        let now = self.node.now();
        let mut answers = self.node.answers();
        if !answer.status.is_server_error() {
            answers.lengths.record(self.route, sent);
        }
        answers.link.record_sent(sent, now);
        if let Some(lease) = self.lease.take() {
            answers.link.end(lease);
        }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.node.answers().link.end(lease);
        }
    }
}

/// Decides whether the link can send the answer of an offered request in time.
///
/// # Errors
///
/// When it cannot. The request has not run.
pub fn check(node: &SidecarNode, head: &HopHead) -> Result<(), NotRun> {
    let bytes = node.answers().lengths.long(route_key(node, head));
    if bytes == 0 {
        return Ok(());
    }
    // After the objective, an answer is useful until its caller stops waiting.
    let is_late = head.late || head.objective_us == 0;
    let time_left = Duration::from_micros(match head.call || is_late {
        true => head.time_left_us,
        false => head.objective_us.min(head.time_left_us),
    });
    let run = node.owner.route_service_time(&head.route);
    let now = node.now();
    let checked = node
        .answers()
        .link
        .check(bytes, run.unwrap_or_default(), time_left, now);
    checked.map_err(|retry_after| {
        node.metrics.count("long_answers_refused");
        NotRun {
            reason: HopReason::Full,
            retry_after: Some(retry_after),
            reached_target: false,
        }
    })
}

/// Returns the lease of a request that may run.
pub fn begin(node: &Arc<SidecarNode>, head: &HopHead) -> AnswerGuard {
    let route = route_key(node, head);
    let mut answers = node.answers();
    let bytes = answers.lengths.long(route);
    let lease = (bytes > 0).then(|| answers.link.begin(bytes));
    AnswerGuard {
        node: Arc::clone(node),
        route,
        lease,
    }
}

/// Returns the rate in bytes a second at which the link can send an answer of the
/// request's route; 0 if these are short.
pub fn send_rate(node: &SidecarNode, head: &HopHead) -> u64 {
    let now = node.now();
    let route = route_key(node, head);
    let mut answers = node.answers();
    match answers.lengths.long(route) {
        0 => 0,
        bytes => (answers.link.rate(bytes, now) as u64).max(1),
    }
}

fn route_key(node: &SidecarNode, head: &HopHead) -> RouteKey {
    RouteKey::new(&node.settings().service, &head.route)
}
