//! The requests of callers that wait at this daemon for spare capacity.
//!
//! [`radishgauge_mesh::waiting_line`] decides which of them wait and when they are
//! sent. Nothing of a waiting request has been sent, so it can be refused as not run
//! at any time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_mesh::ReturnOrder;
use radishgauge_mesh::WaitingLine;
use radishgauge_mesh::return_order;
use radishgauge_mesh::return_order::RefusedRequest;
use radishgauge_mesh::spare_forecast::SpareCapacity;
use radishgauge_mesh::waiting_line::LinePlace;
use radishgauge_mesh::waiting_line::LineRefusal;
use radishgauge_mesh::waiting_line::LineRequest;
use radishgauge_mesh::waiting_line::LineStep;
use rand::Rng;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::node::SidecarNode;

/// The greatest number of requests that wait for all services together.
const MAX_WAITING: usize = 256;

/// The fraction of the process's memory that the bodies of waiting requests may use.
const MEMORY_FRACTION: f64 = 1.0 / 16.0;

/// The least time between two counts of the fleet's daemons, which take time in a
/// large fleet.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// The line of one service, the requests in it, and the callers that were refused.
#[derive(Default)]
struct ServiceLine {
    line: WaitingLine,
    returns: ReturnOrder,
    turns: HashMap<LinePlace, Arc<Notify>>,
}

impl ServiceLine {
    fn wake_first(&self) {
        let first = self.line.first();
        if let Some(turn) = first.and_then(|first| self.turns.get(&first)) {
            turn.notify_one();
        }
    }
}

/// The waiting lines of one daemon, by service.
#[derive(Default)]
pub struct WaitingLines {
    services: IndexMap<SmolStr, ServiceLine>,
    waiting: usize,
    body_bytes: usize,
    /// The number of daemons in the fleet, and when they were counted.
    daemons: Option<(usize, Duration)>,
}

impl WaitingLines {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns whether the spare capacity of a service should be observed.
    pub(crate) fn needs_spare(&self, service: &str, now: Duration) -> bool {
        let line = self.services.get(service);
        line.is_none_or(|service_line| service_line.line.needs_spare(now))
    }
}

/// Records the capacity of a service that requests in time leave unused. Each daemon
/// of the fleet may use an equal part.
pub(crate) fn record_spare(node: &SidecarNode, service: &SmolStr, spare: SpareCapacity) {
    let now = node.now();
    let counted = node.waiting_lines().daemons;
    let recent = counted.filter(|(_, at)| now.saturating_sub(*at) < COUNT_INTERVAL);
    let (daemons, counted_at) = recent.unwrap_or_else(|| (node.peer_addresses().len() + 1, now));
    let share = SpareCapacity {
        rate: spare.rate / daemons as f64,
        ..spare
    };
    let mut lines = node.waiting_lines();
    lines.daemons = Some((daemons, counted_at));
    let service_line = lines.services.entry(service.clone()).or_default();
    service_line.line.record_spare(share, now);
}

/// Returns the time after which a refused caller should return to a service.
pub(crate) fn return_time(node: &SidecarNode, service: &str, request: &RefusedRequest) -> Duration {
    let draw = rand::rng().random_range(0.0..1.0);
    let now = node.now();
    let mut lines = node.waiting_lines();
    let Some(ServiceLine { line, returns, .. }) = lines.services.get_mut(service) else {
        return return_order::spread(request.hint, draw);
    };
    returns.assign(request, line.forecast(), line.len(), draw, now)
}

/// A request's place in a line; dropping it leaves the line.
pub(crate) struct WaitingPlace {
    node: Arc<SidecarNode>,
    service: SmolStr,
    /// `None` after the request has left the line.
    place: Option<LinePlace>,
    turn: Arc<Notify>,
    body_bytes: usize,
}

/// Adds a request to the line of a service.
///
/// # Errors
///
/// When it must be refused at once.
pub(crate) fn join(
    node: &Arc<SidecarNode>,
    service: &SmolStr,
    request: &LineRequest,
    body_bytes: usize,
) -> Result<WaitingPlace, LineRefusal> {
    let max_bytes = (node.settings().memory_limit as f64 * MEMORY_FRACTION) as usize;
    let now = node.now();
    let mut lines = node.waiting_lines();
    if lines.waiting >= MAX_WAITING || lines.body_bytes + body_bytes > max_bytes {
        return Err(LineRefusal::Full);
    }
    let service_line = lines.services.entry(service.clone()).or_default();
    let place = service_line.line.join(request, now)?;
    let turn = Arc::new(Notify::new());
    service_line.turns.insert(place, Arc::clone(&turn));
    lines.waiting += 1;
    lines.body_bytes += body_bytes;
    Ok(WaitingPlace {
        node: Arc::clone(node),
        service: service.clone(),
        place: Some(place),
        turn,
        body_bytes,
    })
}

impl WaitingPlace {
    /// Waits until the request may look for a target, and returns true, or until its
    /// time limit cannot be met any more.
    pub(crate) async fn wait_for_turn(&self) -> bool {
        loop {
            let until = match self.next_step() {
                LineStep::Try => return true,
                LineStep::GiveUp => return false,
                LineStep::Wait(until) => until,
            };
            let left = until.saturating_sub(self.node.now());
            // The turn comes earlier when the requests before this one have left.
            let _ = tokio::time::timeout(left, self.turn.notified()).await;
        }
    }

    fn next_step(&self) -> LineStep {
        let lines = self.node.waiting_lines();
        let service_line = lines.services.get(&self.service);
        match (service_line, self.place) {
            (Some(service_line), Some(place)) => {
                service_line.line.next_step(place, self.node.now())
            }
            _ => LineStep::GiveUp,
        }
    }

    /// Returns whether the request is still in the line.
    pub(crate) fn is_waiting(&self) -> bool {
        self.place.is_some()
    }

    /// Records that no target is known to have a free slot.
    pub(crate) fn record_none_free(&self) {
        let now = self.node.now();
        let mut lines = self.node.waiting_lines();
        if let Some(service_line) = lines.services.get_mut(&self.service) {
            service_line.line.record_none_free(now);
        }
    }

    /// Records that an owner refused the request.
    pub(crate) fn record_refused(&self) {
        let now = self.node.now();
        let mut lines = self.node.waiting_lines();
        let service_line = lines.services.get_mut(&self.service);
        if let Some((service_line, place)) = service_line.zip(self.place) {
            service_line.line.record_refused(place, now);
        }
    }

    /// Records that an owner reserved a slot, and leaves the line.
    pub(crate) fn record_served(&mut self) {
        self.leave(|line, place, now| line.record_served(place, now));
    }

    fn leave<F>(&mut self, remove: F)
    where
        F: FnOnce(&mut WaitingLine, LinePlace, Duration),
    {
        let Some(place) = self.place.take() else {
            return;
        };
        let now = self.node.now();
        let mut lines = self.node.waiting_lines();
        lines.waiting -= 1;
        lines.body_bytes -= self.body_bytes;
        if let Some(service_line) = lines.services.get_mut(&self.service) {
            remove(&mut service_line.line, place, now);
            service_line.turns.remove(&place);
            service_line.wake_first();
        }
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.leave(|line, place, _| line.leave(place));
    }
}
