//! The targets that said in an answer that they leave.
//!
//! A target's own word counts before its registration: it may come earlier, and
//! it is known also while the store cannot be read. It holds for the incarnation
//! that gave it. A target that later answers without it stays closed too, because
//! it may end at any moment, with the requests that it runs.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::target::TargetRecord;

/// The greatest number of targets that are remembered; the oldest is forgotten
/// first.
const MAX_TARGETS: usize = 4_096;

/// The incarnations of targets that said that they leave.
#[derive(Debug, Clone, Default)]
pub struct LeavingTargets {
    /// The incarnation of each leaving target; `None` if it is not known, which
    /// stands for any.
    incarnations: IndexMap<SmolStr, Option<u64>>,
}

impl LeavingTargets {
    /// Records that a target leaves, and returns whether this is new.
    pub fn mark(&mut self, id: &str, incarnation: Option<u64>) -> bool {
        let before = self.incarnations.insert(SmolStr::from(id), incarnation);
        if self.incarnations.len() > MAX_TARGETS {
            self.incarnations.shift_remove_index(0);
        }
        before != Some(incarnation)
    }

    /// Returns whether the incarnation of a target with this registration leaves.
    pub fn contains(&self, record: &TargetRecord) -> bool {
        match (self.incarnations.get(&record.id), record.incarnation) {
            (None, _) => false,
            (Some(Some(leaving)), Some(registered)) => *leaving == registered,
            (Some(_), _) => true,
        }
    }

    /// Returns whether any incarnation of a target leaves.
    pub fn contains_id(&self, id: &str) -> bool {
        self.incarnations.contains_key(id)
    }

    /// Forgets a target, because another incarnation of it answers.
    pub fn remove(&mut self, id: &str) {
        self.incarnations.shift_remove(id);
    }

    /// Records that the entry of a target was removed. If its incarnation is not
    /// known, it is another one that registers under the ID later; the others are
    /// told apart by their registrations.
    pub fn record_removal(&mut self, id: &str) {
        if self.incarnations.get(id) == Some(&None) {
            self.incarnations.shift_remove(id);
        }
    }
}
