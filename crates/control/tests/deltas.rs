//! Deltas of the index and of host lists produce the same state as full copies.

use radishgauge_config::DigestIndex;
use radishgauge_config::PartDigest;
use radishgauge_control::hosts::HostLists;
use radishgauge_control::hosts::ListUpdate;
use radishgauge_control::view;
use radishgauge_control::view::DeltaHistory;
use radishgauge_control::view::IndexChange;
use radishgauge_control::view::IndexView;
use radishgauge_schema::config::HostEntry;
use radishgauge_schema::config::HostList;
use radishgauge_schema::config::HostState;
use radishgauge_schema::peer::HostListRevision;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;

fn random_change(rng: &mut Pcg32) -> IndexChange {
    let mut change = IndexChange::new();
    for _ in 0..rng.random_range(0..6) {
        let key = smol_str::format_smolstr!("service/{}", rng.random_range(0..40));
        let digest = PartDigest::of(&rng.random::<[u8; 4]>());
        change.push((key, rng.random_bool(0.7).then_some(digest)));
    }
    change
}

fn apply_to(index: &mut DigestIndex, revision: u64, change: &IndexChange) {
    index.set_revision(revision);
    for (key, digest) in change {
        match digest {
            Some(digest) => index.insert(key.clone(), *digest),
            None => index.remove(key),
        };
    }
}

// Guards against wrong page digests and against deltas that are combined in the
// wrong order: the daemon would never be able to apply deltas again, or have a
// root that no other daemon has.
#[test]
fn index_deltas_match_the_root() {
    for seed in 0..20 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut index = DigestIndex::new(0);
        let mut view = IndexView::default();
        let mut history = DeltaHistory::default();
        let mut views = vec![view.clone()];
        for revision in 1..30 {
            let change = random_change(&mut rng);
            apply_to(&mut index, revision, &change);
            view.apply(revision, index.root_digest(), &change).unwrap();
            assert_eq!(view.root(), index.root());
            let (base, changes) = view.commit();
            let change = changes.into_iter().map(|change| (change.key, change.new));
            history.push(base, view.root_digest(), revision, change.collect());
            views.push(view.clone());
        }
        for _ in 0..50 {
            let to = rng.random_range(1..views.len());
            let from = rng.random_range(0..to);
            let (base, root) = (views[from].root_digest(), views[to].root_digest());
            let (revision, change) = history.between(base, root).unwrap();
            assert_eq!(revision, to as u64);
            let (changed, removed) = view::to_message(&change);
            let change = view::from_message(&changed, &removed).unwrap();
            let mut late = views[from].clone();
            late.apply(revision, root, &change).unwrap();
            assert_eq!(late.index(), views[to].index());
            late.revert();
            assert_eq!(late.root_digest(), base);
            assert_eq!(late.index(), views[from].index());
        }
    }
}

// Guards against a partly applied delta: a delta that does not match the
// announced root must leave the index unchanged, or the next one fails too.
#[test]
fn mismatched_delta_changes_nothing() {
    let mut view = IndexView::default();
    let before = view.clone();
    let change = vec![("fleet".into(), Some(PartDigest::of(b"a")))];
    assert!(
        view.apply(1, PartDigest::of(b"other root"), &change)
            .is_err()
    );
    assert_eq!(view.index(), before.index());
    assert_eq!(view.root_digest(), before.root_digest());
}

fn random_list(rng: &mut Pcg32, revision: u64) -> HostList {
    let listed = |host: u64| HostEntry {
        host: format!("host-{host}"),
        failure_domain: "zone".to_owned(),
        daemon: format!("10.0.0.{host}:7000"),
        incarnation: revision / 7,
        state: HostState::Live.into(),
    };
    HostList {
        failure_domain: "zone".to_owned(),
        revision,
        hosts: (0..12)
            .filter(|_| rng.random_bool(0.8))
            .map(listed)
            .collect(),
    }
}

// Guards against a gap in the chain of deltas, which would leave a dead host in
// some daemons' lists.
#[test]
fn list_deltas_match_the_list() {
    for seed in 0..20 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut lists = HostLists::default();
        let mut states = Vec::new();
        for revision in 1..20 {
            lists.apply_list(&random_list(&mut rng, revision), |_| true);
            states.push(lists.clone());
        }
        let hosts = |lists: &HostLists| {
            let mut hosts: Vec<_> = lists
                .hosts("zone")
                .map(|(host, listed)| (host.clone(), *listed))
                .collect();
            hosts.sort_by(|one, other| one.0.cmp(&other.0));
            hosts
        };
        for mut late in states {
            let have = HostListRevision {
                failure_domain: "zone".to_owned(),
                revision: late.revision("zone"),
            };
            match lists.answer(&have) {
                Some(ListUpdate::Delta(delta)) => {
                    late.apply_delta(&delta, |_| true);
                }
                Some(ListUpdate::Full(_)) => panic!("a delta is kept for each revision"),
                None => assert_eq!(have.revision, 19),
            }
            assert_eq!(hosts(&late), hosts(&lists));
        }
    }
}
