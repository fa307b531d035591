//! Targets whose address belongs to another target, as its owner says.
//!
//! Any writer may leave an entry in the store that claims a target's address, and to have
//! started there later. The owner beside the target knows better: it sees who answers
//! the health checks. Its word holds for a short time, because the claim may come true.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::target::TargetRecord;

/// How long an owner's word holds. After it, one request finds out anew.
const MISPLACED_TIME: Duration = Duration::from_secs(5);

/// The greatest number of targets that are remembered; the oldest is forgotten first.
const MAX_TARGETS: usize = 1_024;

/// The targets that owners do not find at the addresses of their entries.
#[derive(Debug, Clone, Default)]
pub struct MisplacedTargets {
    /// The incarnation of each target, and until when the owner's word holds.
    targets: IndexMap<SmolStr, (Option<u64>, Duration)>,
}

impl MisplacedTargets {
    /// Records that the owner of a target's address finds another target there.
    pub fn record(&mut self, record: &TargetRecord, now: Duration) {
        let until = now + MISPLACED_TIME;
        self.targets
            .insert(record.id.clone(), (record.incarnation, until));
        if self.targets.len() > MAX_TARGETS {
            self.targets.shift_remove_index(0);
        }
    }

    /// Returns whether the incarnation of a target with this entry is misplaced.
    pub fn contains(&self, record: &TargetRecord, now: Duration) -> bool {
        let known = self.targets.get(&record.id);
        known.is_some_and(|(incarnation, until)| *incarnation == record.incarnation && now < *until)
    }
}
