//! The platform's state as one daemon knows it, and how updates of it are applied.
//!
//! Full states and changes come from the store or from other daemons. Each is applied to
//! the undecoded items and to the table that they describe, written to the log, and told
//! to whoever depends on it: waiting followers, the placer and the owner of the target.

use std::time::Duration;

use radishgauge_events::events;
use radishgauge_mesh::StatePosition;
use radishgauge_mesh::StateTable;
use radishgauge_mesh::state_table::StateChange;
use radishgauge_mesh::state_table::StateEvent;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_platform::StoreItem;
use radishgauge_platform::StoreView;
use radishgauge_platform::items::ItemFault;
use radishgauge_platform::kept::KeepTimes;
use radishgauge_platform::view;
use radishgauge_platform::view::ViewChanges;

use crate::node::SidecarNode;

/// The state of the platform as this daemon knows it.
#[derive(Default)]
pub struct KnownState {
    /// The items of the store, undecoded.
    pub view: StoreView,
    /// The configuration, targets and evacuated failure domains that the items
    /// describe.
    pub table: StateTable,
}

impl KnownState {
    /// Keeps the last words of the targets whose entries in the view, after these changes,
    /// are earlier ones.
    fn keep_last_words(&mut self, changes: &[StateChange], times: &KeepTimes, now: Duration) {
        let words: Vec<StateChange> = changes
            .iter()
            .enumerate()
            .filter_map(|(index, change)| {
                let word = self.table.later_word(change)?;
                let mut following = changes[index + 1..].iter();
                let is_replaced = following.any(|next| next.has_same_subject(change));
                (!is_replaced).then_some(word)
            })
            .collect();
        for word in self.view.keep_words(&words, times, now) {
            let revision = self.view.position();
            events::LAST_WORD_KEPT.emit(format_args!("word={word:?} revision={revision}"));
        }
    }
}

impl SidecarNode {
    /// Replaces the known state by a full state. A state of a later era leaves in force
    /// what the store has lost and not got back.
    pub fn replace_state(
        &self,
        items: Vec<StoreItem>,
        position: StatePosition,
        source: StateSource,
    ) {
        let now = self.now();
        let times = self.keep_times();
        let mut known = self.known();
        let before = known.view.position();
        let is_restored = position.is_restored_since(before);
        if is_restored {
            known.table.record_restore(now);
        }
        let changes = known.view.replace(items, position, &times, now);
        if is_restored {
            let kept = known.view.kept().len();
            events::STORE_RESTORED.emit(format_args!(
                "from={before} to={position} kept={kept} source={source:?}"
            ));
        }
        let state_events = known.table.replace(changes.changes.clone(), source, now);
        known.keep_last_words(&changes.changes, &times, now);
        self.finish_update(&mut known, &changes.faults, state_events, source, now);
    }

    /// Applies changes that follow the known state, in the same era.
    pub fn update_state(
        &self,
        mut items: Vec<StoreItem>,
        position: StatePosition,
        source: StateSource,
    ) {
        let now = self.now();
        let mut known = self.known();
        let before = known.view.position();
        if position.era != before.era {
            events::STATE_IGNORED.emit(format_args!("read={position} known={before}"));
            return;
        }
        if source == StateSource::Peer || known.table.is_authoritative() {
            view::confirm_removals(&mut items);
        }
        let ViewChanges { changes, faults } = known.view.update(items, position);
        let table = &mut known.table;
        let mut state_events: Vec<StateEvent> = changes
            .iter()
            .filter_map(|change| table.apply(change.clone(), source, now))
            .collect();
        if source == StateSource::Peer {
            table.drop_lapsed(now);
            state_events.extend(table.expire(now));
        }
        known.keep_last_words(&changes, &self.keep_times(), now);
        self.finish_update(&mut known, &faults, state_events, source, now);
    }

    fn keep_times(&self) -> KeepTimes {
        KeepTimes {
            entry_timeout: self.settings().entry_timeout,
        }
    }

    /// Adds items that a peer keeps in place of the store's, whose state is at `position`.
    pub fn keep_items(&self, items: Vec<(StoreItem, Option<Duration>)>, position: StatePosition) {
        let mut known = self.known();
        if items.is_empty() || position.era != known.view.position().era {
            return;
        }
        let changes = known.view.keep(items, position);
        self.apply_kept(&mut known, changes);
    }

    /// Drops the kept items whose time has passed.
    pub fn expire_kept_items(&self) {
        let mut known = self.known();
        let changes = known.view.expire_kept(self.now());
        self.apply_kept(&mut known, changes);
    }

    fn apply_kept(&self, known: &mut KnownState, changes: Vec<StateChange>) {
        if changes.is_empty() {
            return;
        }
        let now = self.now();
        let source = StateSource::Peer;
        let table = &mut known.table;
        let applied = changes.into_iter();
        let state_events: Vec<StateEvent> = applied
            .filter_map(|change| table.apply(change, source, now))
            .collect();
        self.finish_update(known, &[], state_events, source, now);
    }

    /// Returns when [`SidecarNode::expire_targets`] or
    /// [`SidecarNode::expire_kept_items`] next has something to do.
    pub fn next_expiry(&self) -> Option<Duration> {
        let known = self.known();
        let expiries = [known.table.next_expiry(), known.view.next_kept_expiry()];
        expiries.into_iter().flatten().min()
    }

    /// Removes the targets whose entries are missing, because a peer whose state is
    /// authoritative knows the same revision without them.
    pub fn drop_lapsed_targets(&self) {
        let now = self.now();
        self.known().table.drop_lapsed(now);
        self.expire_targets();
    }

    /// Removes the targets whose entries lapsed in an outage of the store and
    /// were not registered again within the grace period.
    pub fn expire_targets(&self) {
        let now = self.now();
        let mut known = self.known();
        let state_events = known.table.expire(now);
        if !state_events.is_empty() {
            self.finish_update(&mut known, &[], state_events, StateSource::Store, now);
        }
    }

    fn finish_update(
        &self,
        known: &mut KnownState,
        faults: &[ItemFault],
        state_events: Vec<StateEvent>,
        source: StateSource,
        now: Duration,
    ) {
        let position = known.view.position();
        let health = known.table.health();
        self.position.send_replace(position);
        self.changes.send_modify(|count| *count += 1);
        for fault in faults {
            self.request_log.log_item(fault, now);
        }
        for state_event in &state_events {
            match state_event {
                StateEvent::ConfigIgnored { .. } => continue,
                StateEvent::TargetGone { id } => self.leaving().record_removal(id),
                _ => {}
            }
            events::PLATFORM_STATE_CHANGED.emit(format_args!(
                "change={state_event:?} source={source:?} health={health:?} revision={position}"
            ));
        }
        let table = &known.table;
        self.placer().retain(|id| table.target(id).is_some());
        self.owner.refresh(&self.settings(), table, now);
    }
}
