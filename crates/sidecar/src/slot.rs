//! A request's position at the target: first in the queue, then running.
//!
//! Dropping either value releases the position, for example when the caller
//! disconnects.

use std::sync::Arc;
use std::time::Duration;

use radishgauge_mesh::admission::AdmissionRefusal;
use radishgauge_mesh::admission::WaitKey;
use radishgauge_schema::hop::HopReason;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::answer::NotRun;
use crate::owner;
use crate::owner::TargetOwner;

/// A request in the queue; dropping it removes the request from the queue.
pub struct QueuedRequest {
    pub(crate) owner: Arc<TargetOwner>,
    pub(crate) key: Option<WaitKey>,
    pub(crate) route: SmolStr,
    /// When the request is refused, early enough for the refusal to reach its
    /// caller.
    pub(crate) refuse_at: Duration,
    pub(crate) decision: oneshot::Receiver<Result<(), AdmissionRefusal>>,
}

impl QueuedRequest {
    pub(crate) async fn wait(mut self) -> Result<RunningSlot, NotRun> {
        let time = self.refuse_at.saturating_sub(self.owner.clock.now());
        let decision = tokio::time::timeout(time, &mut self.decision).await;
        match decision {
            Ok(Ok(Ok(()))) => {
                self.key = None;
                Ok(self.owner.slot(&self.route))
            }
            Ok(Ok(Err(refusal))) => {
                self.key = None;
                Err(owner::not_run(refusal))
            }
            // The owner drops a sender without a decision only when it is
            // dropped itself.
            Ok(Err(_)) => Err(NotRun::before_target(HopReason::Stopping)),
            Err(_) => Err(NotRun::before_target(HopReason::Expired)),
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let Some(key) = self.key else {
            return;
        };
        let mut state = self.owner.state();
        state.waiters.remove(&key);
        if !state.admission.remove_waiting(key) && matches!(self.decision.try_recv(), Ok(Ok(()))) {
            state.admission.finish(&self.route, None);
            self.owner.deliver_decisions(&mut state);
        }
    }
}

/// A request that was admitted: it may run now, or when a slot is free.
pub enum AdmittedRequest {
    /// The request may run now.
    Running(RunningSlot),
    /// The request waits in the queue.
    Queued(QueuedRequest),
}

impl AdmittedRequest {
    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// When a request in the queue is refused.
    pub(crate) async fn slot(self) -> Result<RunningSlot, NotRun> {
        match self {
            AdmittedRequest::Running(slot) => Ok(slot),
            AdmittedRequest::Queued(request) => request.wait().await,
        }
    }
}

/// A request that runs at the target; dropping it releases the slot.
pub struct RunningSlot {
    pub(crate) owner: Arc<TargetOwner>,
    pub(crate) route: SmolStr,
    pub(crate) started: Duration,
    pub(crate) took: Option<Duration>,
}

impl Drop for RunningSlot {
    fn drop(&mut self) {
        let mut state = self.owner.state();
        state.admission.finish(&self.route, self.took);
        self.owner.deliver_decisions(&mut state);
    }
}
