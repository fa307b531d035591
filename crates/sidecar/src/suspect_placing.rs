//! At which targets an entry daemon may place a request under which targets end.

use radishgauge_mesh::RequestPrints;
use radishgauge_mesh::suspect;

use crate::answer::NotRun;
use crate::known_hosts::Candidate;
use crate::owner::TargetOwner;

/// Removes the targets at which the request is quarantined.
///
/// # Errors
///
/// The refusal of the request when it is quarantined at all targets that there are.
pub(crate) fn leave_out_quarantined(
    owner: &TargetOwner,
    prints: &RequestPrints,
    candidates: &mut Vec<Candidate>,
) -> Result<(), NotRun> {
    if owner.suspects.is_empty() {
        return Ok(());
    }
    let mut refusal = None;
    candidates.retain(|candidate| {
        let own = owner.quarantine(prints, candidate.software);
        refusal = own.or(refusal);
        own.is_none()
    });
    match refusal {
        Some(refusal) if candidates.is_empty() => Err(refusal),
        _ => Ok(()),
    }
}

/// Keeps the targets for which the request is not on trial. If there are none, keeps only
/// the one at which all senders run it.
pub(crate) fn keep_on_trial(
    owner: &TargetOwner,
    prints: &RequestPrints,
    candidates: &mut Vec<Candidate>,
) {
    if owner.suspects.is_empty() {
        return;
    }
    let is_on_trial = |candidate: &Candidate| owner.is_on_trial(prints, candidate.software);
    if !candidates.iter().all(is_on_trial) {
        candidates.retain(|candidate| !is_on_trial(candidate));
        return;
    }
    let position =
        |candidate: &Candidate| suspect::trial_position(prints.content, &candidate.place.id);
    candidates.sort_by_key(position);
    candidates.truncate(1);
}
