//! Snapshots of the platform's state, as daemons send them to each other.
//!
//! A snapshot has the items that its receiver lacks, and says how the sender stands to
//! the store. What a receiver believes depends on whether it follows the sender.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use radishgauge_events::events;
use radishgauge_mesh::StatePosition;
use radishgauge_mesh::state_table::StateSource;
use radishgauge_mesh::state_table::StoreHealth;
use radishgauge_platform::StoreItem;
use radishgauge_platform::view;
use radishgauge_platform::view::ViewDifference;
use radishgauge_schema::hop;
use radishgauge_schema::hop::KeptItem;
use radishgauge_schema::hop::StateItem;
use radishgauge_schema::hop::StateSnapshot;
use smol_str::SmolStr;

use crate::hop::micros;
use crate::node::SidecarNode;
use crate::peers::MAX_ASK_BYTES;

/// The zstd compression level. A state consists mostly of repeated names, which
/// the lowest level already compresses well.
const COMPRESSION_LEVEL: i32 = 1;

/// Encodes the part of the state that a daemon lacks if it knows the state up
/// to `after`.
pub(crate) fn encode(node: &SidecarNode, after: StatePosition) -> std::io::Result<Vec<u8>> {
    let now = node.now();
    let known = node.known();
    let position = known.view.position();
    let kept = known.view.kept().iter();
    let kept = kept
        .map(|(item, until)| KeptItem {
            item: Some(state_item(item.clone())),
            left_us: until.map_or(0, |until| micros(until.saturating_sub(now)).max(1)),
        })
        .collect();
    let difference = if position > after {
        known.view.difference(after)
    } else {
        ViewDifference {
            since: Some(after),
            items: Vec::new(),
        }
    };
    let (health, since_recovery) = match known.table.health() {
        // A stopping daemon no longer reads the store, so it reports the store
        // as unreachable.
        _ if node.is_stopping() => (hop::StoreHealth::Away, Duration::ZERO),
        StoreHealth::Reachable => (hop::StoreHealth::Reachable, Duration::ZERO),
        StoreHealth::Unreachable => (hop::StoreHealth::Away, Duration::ZERO),
        StoreHealth::Recovered(at) => (hop::StoreHealth::Regained, now.saturating_sub(at)),
    };
    let rules_out_lapses = known.table.is_authoritative();
    drop(known);
    let confirmed = node.freshness().age(now);
    let mut items = difference.items;
    if rules_out_lapses {
        view::confirm_removals(&mut items);
    }
    let snapshot = StateSnapshot {
        revision: position.revision,
        era: position.era,
        items: items.into_iter().map(state_item).collect(),
        health: health.into(),
        regained_us: micros(since_recovery),
        since: difference.since.unwrap_or_default().revision,
        kept,
        confirmed_us: confirmed.map_or(0, |age| micros(age).max(1)),
        suspicion_digest: node.owner.suspects.digest(now),
        fleet_age_us: micros(node.fleet_age()),
    };
    zstd::bulk::compress(&snapshot.encode_to_vec(), COMPRESSION_LEVEL)
}

pub(crate) fn decode(bytes: &[u8]) -> anyhow::Result<StateSnapshot> {
    let bytes = zstd::bulk::decompress(bytes, MAX_ASK_BYTES)?;
    Ok(StateSnapshot::decode(bytes.as_slice())?)
}

fn state_item(item: StoreItem) -> StateItem {
    StateItem {
        key: item.key.to_string(),
        deleted: item.value.is_none(),
        confirmed_removal: item.is_confirmed_removal,
        value: Bytes::from(item.value.unwrap_or_default()),
        revision: item.revision,
    }
}

fn store_item(item: StateItem) -> StoreItem {
    StoreItem {
        key: SmolStr::from(item.key),
        value: (!item.deleted).then(|| item.value.to_vec()),
        revision: item.revision,
        is_confirmed_removal: item.confirmed_removal,
    }
}

/// Applies the items of a snapshot that is newer than the known state. If the
/// snapshot has only the changes after a revision, they apply only to a state
/// of at least that revision.
fn apply_snapshot_items(node: &SidecarNode, snapshot: &StateSnapshot, source: StateSource) {
    let position = position(snapshot);
    let items: Vec<StoreItem> = snapshot.items.iter().cloned().map(store_item).collect();
    let since = StatePosition {
        era: position.era,
        revision: snapshot.since,
    };
    if !since.is_known() {
        node.replace_state(items, position, source);
    } else if since <= node.position() {
        node.update_state(items, position, source);
    }
}

/// Adds the items of earlier eras that the sender of a snapshot keeps.
fn keep_snapshot_items(node: &SidecarNode, snapshot: &StateSnapshot) {
    let now = node.now();
    let kept = snapshot.kept.iter().filter_map(|kept| {
        let until = match kept.left_us {
            0 => None,
            left => Some(now + Duration::from_micros(left)),
        };
        Some((store_item(kept.item.clone()?), until))
    });
    node.keep_items(kept.collect(), position(snapshot));
}

pub(crate) fn position(snapshot: &StateSnapshot) -> StatePosition {
    StatePosition {
        era: snapshot.era,
        revision: snapshot.revision,
    }
}

/// Applies the state of any peer if it is newer than the known state.
pub(crate) fn apply_peer_snapshot(node: &SidecarNode, snapshot: &StateSnapshot, peer: &str) {
    node.record_fleet_age(Duration::from_micros(snapshot.fleet_age_us));
    let before = node.position();
    let position = position(snapshot);
    let is_authoritative = snapshot.health() == hop::StoreHealth::Reachable;
    if position <= before {
        if is_authoritative && position == before {
            node.drop_lapsed_targets();
        }
        keep_snapshot_items(node, snapshot);
        confirm(node, snapshot);
        return;
    }
    // An entry missing from a state that is not authoritative may have lapsed
    // in an outage of the store. A daemon that has a state and can reach the
    // store therefore ignores such a state, and any other daemon keeps the
    // missing entries. A state of a later era is never ignored: whoever receives it
    // keeps the missing entries for some time.
    let source = if is_authoritative {
        StateSource::Peer
    } else {
        StateSource::Store
    };
    let has_own_state = before.is_known() && !node.known().table.store_unreachable();
    if !is_authoritative && has_own_state && !position.is_restored_since(before) {
        return;
    }
    apply_snapshot_items(node, snapshot, source);
    keep_snapshot_items(node, snapshot);
    confirm(node, snapshot);
    events::STATE_RECEIVED.emit(format_args!("peer={peer} from={before} to={position}"));
}

/// Applies the state of the daemon that this one follows, and its report on the
/// store's health.
pub(crate) fn apply_followed_snapshot(node: &SidecarNode, snapshot: &StateSnapshot) {
    node.record_fleet_age(Duration::from_micros(snapshot.fleet_age_us));
    let health = match snapshot.health() {
        hop::StoreHealth::Reachable => StoreHealth::Reachable,
        hop::StoreHealth::Regained => {
            let ago = Duration::from_micros(snapshot.regained_us);
            StoreHealth::Recovered(node.now().saturating_sub(ago))
        }
        hop::StoreHealth::Away | hop::StoreHealth::Unspecified => StoreHealth::Unreachable,
    };
    let position = position(snapshot);
    // A daemon that is behind says nothing of the era that is known here.
    if position.era >= node.position().era {
        node.known().table.apply_peer_health(health, node.now());
        node.expire_targets();
    }
    if position > node.position() {
        apply_snapshot_items(node, snapshot, StateSource::Store);
    }
    keep_snapshot_items(node, snapshot);
    confirm(node, snapshot);
}

/// Returns how long ago the store confirmed a peer's state; `None` if it never did.
pub(crate) fn confirmed_age(snapshot: &StateSnapshot) -> Option<Duration> {
    let age = Duration::from_micros(snapshot.confirmed_us);
    (!age.is_zero()).then_some(age)
}

/// Records when the store confirmed a peer's state, if this daemon's state is
/// that one or a newer one, which has all changes up to that time.
fn confirm(node: &SidecarNode, snapshot: &StateSnapshot) {
    let position = position(snapshot);
    let known = node.position();
    if let Some(age) = confirmed_age(snapshot)
        && known >= position
        && known.era == position.era
    {
        node.confirm_state(node.now().saturating_sub(age));
    }
}
