use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_mesh::MeshConfig;
use radishgauge_mesh::MisplacedTargets;
use radishgauge_mesh::StateTable;
use radishgauge_mesh::TargetRecord;
use radishgauge_mesh::config::RequestLimits;
use radishgauge_mesh::state_table::LAPSE_GRACE;
use radishgauge_mesh::state_table::StateChange;
use radishgauge_mesh::state_table::StateEvent;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_mesh::state_table::StoreHealth;

use crate::support::record;

const STORE: StateSource = StateSource::Store;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn version(number: u64) -> StateChange {
    let limits = RequestLimits::default();
    let config = MeshConfig::new(number, limits, Vec::new(), IndexMap::new());
    StateChange::Config(Arc::new(config))
}

fn target_ids(table: &StateTable) -> Vec<&str> {
    table.targets().map(|target| target.id.as_str()).collect()
}

fn table_with(ids: &[&str]) -> StateTable {
    let mut table = StateTable::default();
    for id in ids {
        table.apply(StateChange::Target(record(id)), STORE, s(0));
    }
    table
}

/// Guards against a daemon that reverts to an older configuration, whether it
/// comes from the store or from a peer.
#[test]
fn older_config_version_is_ignored() {
    let mut table = StateTable::default();
    for (received, in_force) in [(5, 5), (4, 5), (5, 5), (9, 9), (8, 9)] {
        for source in [STORE, StateSource::Peer] {
            table.apply(version(received), source, s(0));
            assert_eq!(table.config().unwrap().version(), in_force);
        }
    }
}

/// Guards against a target that stays in use after its entry was removed while
/// the store was reachable.
#[test]
fn removed_entry_is_dropped_at_once() {
    let mut table = table_with(&["one", "two"]);
    let change = table.apply(StateChange::TargetGone("one".into()), STORE, s(1));
    assert_eq!(change, Some(StateEvent::TargetGone { id: "one".into() }));
    assert_eq!(target_ids(&table), ["two"]);
}

/// Guards against losing the targets whose entries lapsed in an outage of the
/// store: they are kept until two seconds after the outage.
#[test]
fn lapsed_entries_are_kept_for_grace_period() {
    let mut table = table_with(&["back", "gone"]);
    table.mark_store_unreachable();
    for id in ["back", "gone"] {
        table.apply(StateChange::TargetGone(id.into()), STORE, s(5));
    }
    table.expire(s(100));
    assert_eq!(target_ids(&table), ["back", "gone"]);
    table.mark_store_reachable(s(100));
    table.apply(StateChange::Target(record("back")), STORE, s(101));
    table.expire(s(100) + LAPSE_GRACE - Duration::from_millis(1));
    assert_eq!(target_ids(&table), ["back", "gone"]);
    table.expire(s(100) + LAPSE_GRACE);
    assert_eq!(target_ids(&table), ["back"]);
    assert!(table.is_authoritative());
}

/// Guards against a draining target that is kept as if its entry had lapsed.
#[test]
fn draining_target_does_not_lapse() {
    let mut table = table_with(&["one"]);
    let draining = TargetRecord {
        draining: true,
        ..record("one")
    };
    table.apply(StateChange::Target(draining), STORE, s(1));
    table.mark_store_unreachable();
    table.apply(StateChange::TargetGone("one".into()), STORE, s(2));
    assert!(target_ids(&table).is_empty());
}

/// Guards against keeping a target that a peer knows to be removed, as the peer
/// can read the store while this daemon cannot.
#[test]
fn authoritative_peer_removes_entries_during_outage() {
    let mut table = table_with(&["one", "two"]);
    table.mark_store_unreachable();
    let all = vec![StateChange::Target(record("two"))];
    table.replace(all, StateSource::Peer, s(1));
    assert_eq!(target_ids(&table), ["two"]);
}

/// Guards against entries that survive although the new whole state does not
/// contain them: targets, and evacuations of failure domains.
#[test]
fn whole_state_replaces_previous_state() {
    let mut table = table_with(&["one"]);
    table.apply(StateChange::DomainOut("a".into()), STORE, s(0));
    let all = vec![
        StateChange::Target(record("two")),
        StateChange::DomainOut("b".into()),
    ];
    table.replace(all, STORE, s(1));
    assert_eq!(target_ids(&table), ["two"]);
    assert!(table.is_evacuated("b") && !table.is_evacuated("a"));
}

/// Guards against a removed target that stays in use. The followed daemon was
/// partitioned from the store and reported an outage, although there was none.
#[test]
fn outage_reported_by_partitioned_peer_is_ruled_out() {
    let mut table = table_with(&["early", "late", "stays"]);
    table.apply_peer_health(StoreHealth::Unreachable, s(1));
    table.apply(StateChange::TargetGone("early".into()), STORE, s(2));
    // From here on, this daemon reads the store itself, without a failure.
    table.mark_store_reachable(s(3));
    table.expire(s(3));
    assert_eq!(target_ids(&table), ["late", "stays"]);
    table.apply(StateChange::TargetGone("late".into()), STORE, s(4));
    assert_eq!(target_ids(&table), ["stays"]);
}

/// Guards against a lapsed entry that is kept for ever. One daemon reported an
/// outage, and the next one that is followed has no newer state to send.
#[test]
fn lapsed_entry_is_removed_when_next_peer_reads_store() {
    let mut table = table_with(&["one", "two"]);
    table.apply_peer_health(StoreHealth::Unreachable, s(1));
    table.apply(StateChange::TargetGone("one".into()), STORE, s(2));
    table.apply_peer_health(StoreHealth::Reachable, s(3));
    table.expire(s(3));
    assert_eq!(target_ids(&table), ["two"]);
}

/// Guards against ignoring an outage that this daemon observed itself because a
/// peer reported it too: lapsed entries may still be registered again.
#[test]
fn own_outage_counts_despite_peer_report() {
    let mut table = table_with(&["back"]);
    table.mark_store_unreachable();
    table.apply_peer_health(StoreHealth::Unreachable, s(1));
    table.apply(StateChange::TargetGone("back".into()), STORE, s(2));
    table.mark_store_reachable(s(3));
    table.expire(s(4));
    assert_eq!(target_ids(&table), ["back"]);
}

/// Guards against requests to targets that have ended, after all of them were
/// killed: their registrations remain until their leases expire, beside those of
/// the targets that have started at the same addresses.
#[test]
fn registration_is_superseded_by_later_start_at_same_address() {
    let mut table = StateTable::default();
    let record = |id: &str, incarnation| TargetRecord {
        incarnation,
        ..record(id)
    };
    let apply = |table: &mut StateTable, record: TargetRecord| {
        table.apply(StateChange::Target(record), StateSource::Store, s(0));
    };
    let old = record("old", Some(1));
    apply(&mut table, old.clone());
    assert!(!table.is_superseded(&old));
    let new = record("new", Some(2));
    apply(&mut table, new.clone());
    assert!(table.is_superseded(&old));
    assert!(!table.is_superseded(&new));
    // The heartbeat of a target that has not ended does not change the order.
    apply(&mut table, old.clone());
    assert!(!table.is_superseded(&new));
    let gone = StateChange::TargetGone("new".into());
    table.apply(gone, StateSource::Store, s(1));
    assert!(!table.is_superseded(&old));
    // Without a start time, nothing is known about the order.
    apply(&mut table, record("other", None));
    assert!(!table.is_superseded(&old));
}

/// Guards against an owner's word that holds for another incarnation, or for good.
#[test]
fn misplaced_targets_are_tried_again() {
    let mut misplaced = MisplacedTargets::default();
    let mut record = record("i-1");
    record.incarnation = Some(9);
    misplaced.record(&record, s(1));
    assert!(misplaced.contains(&record, s(1)));
    let mut restarted = record.clone();
    restarted.incarnation = Some(10);
    assert!(!misplaced.contains(&restarted, s(1)));
    assert!(!misplaced.contains(&record, s(60)));
}

/// Guards against requests to a target that has said that it leaves: the platform may do
/// an earlier write of the target after the one that reports this.
#[test]
fn late_write_does_not_undo_later_word() {
    let mut table = StateTable::default();
    let word = |sequence, draining, incarnation| TargetRecord {
        sequence,
        draining,
        incarnation: Some(incarnation),
        ..record("i-1")
    };
    let mut apply = |change| table.apply(change, STORE, s(1));
    assert!(apply(StateChange::Target(word(1, false, 7))).is_some());
    assert!(apply(StateChange::Target(word(6, true, 7))).is_some());
    assert_eq!(apply(StateChange::Target(word(3, false, 7))), None);
    assert!(apply(StateChange::TargetRemoved("i-1".into())).is_some());
    assert_eq!(apply(StateChange::Target(word(5, false, 7))), None);
    // A target that starts again counts anew.
    assert!(apply(StateChange::Target(word(1, false, 8))).is_some());
    assert!(!table.target("i-1").unwrap().draining);
}

/// Guards against a target that stays out of use because its incarnation is not stated, or
/// because it withdraws what it said.
#[test]
fn later_word_and_unknown_incarnation_are_applied() {
    let mut table = StateTable::default();
    let word = |sequence, draining, incarnation| TargetRecord {
        sequence,
        draining,
        incarnation,
        ..record("i-1")
    };
    let mut is_draining = |record| {
        table.apply(StateChange::Target(record), STORE, s(1));
        table.target("i-1").unwrap().draining
    };
    assert!(is_draining(word(6, true, Some(7))));
    assert!(!is_draining(word(7, false, Some(7))));
    assert!(is_draining(word(8, true, None)));
    assert!(!is_draining(word(1, false, None)));
}
