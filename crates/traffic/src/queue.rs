//! The queue of requests that wait for a free slot of a target.
//!
//! A short queue absorbs bursts; a long one only delays every response. The
//! queue is bounded in length and in waiting time. The length up to which a
//! request may join it depends on its criticality, so that the least critical
//! requests are shed first.

use std::collections::VecDeque;
use std::time::Duration;

use radishgauge_config::model::Criticality;

/// The maximum number of queued requests for each slot of the current limit.
pub const QUEUED_PER_SLOT: u32 = 2;

/// The maximum waiting time. Callers' deadlines are often seconds, but a target
/// that is overloaded doesn't work off a backlog of 50 ms within them.
pub const MAX_QUEUE_TIME: Duration = Duration::from_millis(50);

/// The index of the class of suspect requests, which are queued separately
/// because only one of them may run at a time.
const SUSPECT_CLASS: usize = 3;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueuedRequest {
    pub(crate) id: u64,
    pub(crate) until: Duration,
    pub(crate) deadline: Duration,
    pub(crate) suspect: bool,
}

/// The queued requests of one target, by class.
#[derive(Debug, Default)]
pub(crate) struct AdmissionQueue {
    classes: [VecDeque<QueuedRequest>; 4],
    length: usize,
}

impl AdmissionQueue {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns whether a request of the criticality may be queued. Sheddable
    /// requests may fill half of the queue, normal ones three quarters and
    /// critical ones all of it.
    pub(crate) fn has_capacity(&self, criticality: Criticality, limit: u32) -> bool {
        let size = (limit * QUEUED_PER_SLOT) as usize;
        let usable = match criticality {
            Criticality::Sheddable => size / 2,
            Criticality::Critical => size,
            Criticality::Normal | Criticality::Unspecified => size * 3 / 4,
        };
        self.length < usable
    }

    pub(crate) fn push(&mut self, criticality: Criticality, queued: QueuedRequest) {
        let class = match criticality {
            _ if queued.suspect => SUSPECT_CLASS,
            Criticality::Critical => 0,
            Criticality::Normal | Criticality::Unspecified => 1,
            Criticality::Sheddable => 2,
        };
        self.classes[class].push_back(queued);
        self.length += 1;
    }

    /// Removes and returns the next request: the most critical class first, and
    /// the oldest request of the class. Suspect requests are skipped unless
    /// `suspect_allowed`.
    pub(crate) fn pop(&mut self, suspect_allowed: bool) -> Option<QueuedRequest> {
        let class_count = if suspect_allowed { 4 } else { SUSPECT_CLASS };
        let queued = self.classes[..class_count]
            .iter_mut()
            .find_map(VecDeque::pop_front)?;
        self.length -= 1;
        Some(queued)
    }

    /// Removes and returns the request with the id.
    pub(crate) fn remove(&mut self, id: u64) -> Option<QueuedRequest> {
        for class in &mut self.classes {
            if let Some(index) = class.iter().position(|queued| queued.id == id) {
                self.length -= 1;
                return class.remove(index);
            }
        }
        None
    }
}
