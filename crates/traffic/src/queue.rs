//! Requests that wait for a free slot of a target.
//!
//! A short queue absorbs bursts; a long one only makes every answer late. It
//! is bounded in length and in time, and the share of it that a request may
//! use depends on its criticality, so that cheap work is shed first.

use std::collections::VecDeque;
use std::time::Duration;

use radishgauge_config::model::Criticality;

/// Waiting requests for each slot of the current limit.
pub const QUEUE_FACTOR: u32 = 2;

/// The longest wait. Callers' deadlines are often seconds, and a target that is
/// 50 ms behind does not catch up within one of them under overload.
pub const QUEUE_TIME: Duration = Duration::from_millis(50);

/// Class of requests that may have crashed a target; they wait apart.
const SUSPECT: usize = 3;

/// One waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) id: u64,
    pub(crate) until: Duration,
    pub(crate) deadline: Duration,
    pub(crate) suspect: bool,
}

/// The waiting requests of one target, by class.
#[derive(Debug, Default)]
pub(crate) struct AdmissionQueue {
    classes: [VecDeque<Waiting>; 4],
    length: usize,
}

impl AdmissionQueue {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Whether a request of the criticality may wait. Up to half of the queue
    /// is open to all, three quarters to normal work, all of it to critical.
    pub(crate) fn has_room(&self, criticality: Criticality, limit: u32) -> bool {
        let size = (limit * QUEUE_FACTOR) as usize;
        let open = match criticality {
            Criticality::Sheddable => size / 2,
            Criticality::Critical => size,
            Criticality::Normal | Criticality::Unspecified => size * 3 / 4,
        };
        self.length < open
    }

    pub(crate) fn push(&mut self, criticality: Criticality, waiting: Waiting) {
        let class = match criticality {
            _ if waiting.suspect => SUSPECT,
            Criticality::Critical => 0,
            Criticality::Normal | Criticality::Unspecified => 1,
            Criticality::Sheddable => 2,
        };
        self.classes[class].push_back(waiting);
        self.length += 1;
    }

    /// Takes the next request: the most critical first, the oldest of a class
    /// first. A suspect is taken only when none runs.
    pub(crate) fn pop(&mut self, suspect_allowed: bool) -> Option<Waiting> {
        let open = if suspect_allowed { 4 } else { SUSPECT };
        let waiting = self.classes[..open]
            .iter_mut()
            .find_map(VecDeque::pop_front)?;
        self.length -= 1;
        Some(waiting)
    }

    /// Takes out the request with the identity.
    pub(crate) fn remove(&mut self, id: u64) -> Option<Waiting> {
        for class in &mut self.classes {
            if let Some(index) = class.iter().position(|waiting| waiting.id == id) {
                self.length -= 1;
                return class.remove(index);
            }
        }
        None
    }
}
