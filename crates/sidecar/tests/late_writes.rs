//! Tests of entries that a target has written before its last one, and that the platform's
//! store has written late: daemons that start afterwards find only these there.

mod common;
#[path = "common/peer.rs"]
mod peer;

use std::sync::Arc;
use std::time::Duration;

use radishgauge_mesh::StatePosition;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_net::clock::SystemClock;
use radishgauge_platform::StoreItem;
use radishgauge_sidecar::node::SidecarNode;
use radishgauge_sidecar::owner::TargetOwner;
use radishgauge_sidecar::state_exchange;

const TARGET: &str = "i-1";

/// What a daemon knows of the target.
#[derive(Debug, PartialEq)]
enum TargetWord {
    Ready,
    Draining,
    Absent,
}

fn start_daemon() -> Arc<SidecarNode> {
    let settings = common::settings();
    let clock = Arc::new(SystemClock::start());
    let owner = Arc::new(TargetOwner::new(&settings, clock.clone()));
    Arc::new(SidecarNode::new(settings, clock, owner, 1))
}

/// Returns the target's entry with this sequence, as the store wrote it at `revision`.
fn entry(state: &str, sequence: u64, revision: u64) -> StoreItem {
    let text = format!(
        r#"{{"service": "shop", "address": "127.0.0.1:4", "zone": "north-a", "version": "1",
        "capacity": 8, "state": "{state}", "coldLeft": "0ms", "sequence": {sequence}, "born": 7}}"#
    );
    StoreItem {
        value: Some(text.into_bytes()),
        ..removal(revision)
    }
}

fn removal(revision: u64) -> StoreItem {
    StoreItem::deleted(format!("servers/{TARGET}").into(), revision)
}

const fn at(revision: u64) -> StatePosition {
    StatePosition { era: 1, revision }
}

fn update(node: &SidecarNode, item: StoreItem) {
    let position = at(item.revision);
    node.update_state(vec![item], position, StateSource::Store);
}

fn word(node: &SidecarNode) -> TargetWord {
    match node.known().table.target(TARGET) {
        Some(record) if record.draining => TargetWord::Draining,
        Some(_) => TargetWord::Ready,
        None => TargetWord::Absent,
    }
}

/// Returns a daemon that knows a heartbeat, what came after it, and then a late write of an
/// earlier heartbeat.
fn daemon_after_late_write(last_word: StoreItem) -> Arc<SidecarNode> {
    let node = start_daemon();
    node.replace_state(vec![entry("ready", 5, 5)], at(5), StateSource::Store);
    update(&node, last_word);
    update(&node, entry("ready", 3, 8));
    node
}

/// Guards against requests to a target that has said that it leaves, or was removed: a
/// daemon that starts after the late write finds only this in the store.
#[tokio::test]
async fn started_daemon_learns_the_last_word_from_its_peers() {
    for (last_word, known) in [
        (entry("draining", 6, 6), TargetWord::Draining),
        (removal(6), TargetWord::Absent),
    ] {
        let peer = daemon_after_late_write(last_word);
        assert_eq!(word(&peer), known);
        let listener = peer::serve_state(&peer);
        let address = listener.local_address();
        let reader = start_daemon();
        reader.replace_state(vec![entry("ready", 3, 8)], at(8), StateSource::Store);
        assert_eq!(word(&reader), TargetWord::Ready);
        state_exchange::fetch_kept(&reader, |_| vec![address]).await;
        assert_eq!(word(&reader), known);
        let follower = start_daemon();
        let followed = state_exchange::follow(&follower, address, Duration::ZERO).await;
        assert!(followed.is_ok());
        assert_eq!(word(&follower), known);
    }
}

/// Guards against a target that stays out of use although it has spoken since, and against
/// a last word that is told for longer than until then.
#[tokio::test]
async fn next_word_of_the_target_ends_the_last_one() {
    let last_words = || [entry("draining", 6, 6), removal(6)];
    for last_word in last_words() {
        let node = daemon_after_late_write(last_word);
        assert_eq!(node.known().view.kept().len(), 1);
        update(&node, entry("ready", 9, 9));
        assert_eq!(word(&node), TargetWord::Ready);
        assert!(node.known().view.kept().is_empty());
    }
    for last_word in last_words() {
        let node = daemon_after_late_write(last_word);
        let full = vec![entry("ready", 9, 9)];
        node.replace_state(full, at(9), StateSource::Store);
        assert_eq!(word(&node), TargetWord::Ready);
        assert!(node.known().view.kept().is_empty());
    }
}

/// Guards against a last word that is lost in a full read, which a daemon does when it has
/// missed the store's history.
#[tokio::test]
async fn full_read_of_a_late_write_keeps_the_last_word() {
    let node = start_daemon();
    node.replace_state(vec![entry("draining", 6, 6)], at(6), StateSource::Store);
    node.replace_state(vec![entry("ready", 3, 8)], at(8), StateSource::Store);
    assert_eq!(word(&node), TargetWord::Draining);
    let listener = peer::serve_state(&node);
    let address = listener.local_address();
    let follower = start_daemon();
    let followed = state_exchange::follow(&follower, address, Duration::ZERO).await;
    assert!(followed.is_ok());
    assert_eq!(word(&follower), TargetWord::Draining);
}

/// Guards against heartbeats that are told to all daemons as last words: late ones that
/// change nothing, and all those of a store that has come back from a copy.
#[tokio::test]
async fn late_write_that_changes_nothing_is_not_told() {
    let node = daemon_after_late_write(entry("ready", 6, 6));
    assert_eq!(word(&node), TargetWord::Ready);
    assert!(node.known().view.kept().is_empty());
    let restored = StatePosition {
        era: 2,
        revision: 2,
    };
    node.replace_state(vec![entry("ready", 2, 2)], restored, StateSource::Store);
    assert_eq!(word(&node), TargetWord::Ready);
    assert!(node.known().view.kept().is_empty());
}
