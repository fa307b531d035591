//! The number of waiting requests by urgency, from which a report tells the most urgent
//! without a scan of the queue.

use std::collections::BTreeMap;

/// The number of waiting requests by urgency.
#[derive(Debug, Default)]
pub(crate) struct UrgencyCounts {
    /// Only urgencies of which at least one request waits.
    counts: BTreeMap<u32, usize>,
}

impl UrgencyCounts {
    /// Counts a request that begins to wait.
    pub(crate) fn add(&mut self, urgency: u32) {
        *self.counts.entry(urgency).or_default() += 1;
    }

    /// Removes a request that waits no longer.
    pub(crate) fn remove(&mut self, urgency: u32) {
        let Some(count) = self.counts.get_mut(&urgency) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&urgency);
        }
    }

    /// Returns the most urgent of the waiting requests, the least number; `None` if none
    /// waits.
    pub(crate) fn most_urgent(&self) -> Option<u32> {
        self.counts.first_key_value().map(|(urgency, _)| *urgency)
    }
}
