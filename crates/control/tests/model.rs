//! The state space of `model/version.pml`, explored with the Rust ledger.
//!
//! Guards against a ledger that behaves differently from the verified model:
//! with the same bounds, the number of reachable states must be the same, and
//! the same invariants must hold on every transition.

use std::collections::HashSet;
use std::time::Duration;

use radishgauge_config::PartDigest;
use radishgauge_control::ledger::VersionComparison;
use radishgauge_control::ledger::VersionId;
use radishgauge_control::ledger::VersionLedger;

/// The states that `spin` stores for the model; `model/check` prints them.
const SPIN_STATES: usize = 28_402;

/// The number of versions, which are numbered from 1.
const VERSIONS: u8 = 4;

/// The version with invalid content.
const BAD: u8 = 4;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Node {
    force: u8,
    staged: u8,
    got: u8,
    judged: bool,
    held: bool,
    refused: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct World {
    nodes: [Node; 2],
    sent: u8,
    sent_refusal: bool,
}

fn version(number: u8) -> VersionId {
    VersionId {
        revision: [0, 1, 2, 2, 3][usize::from(number)],
        root: PartDigest::of(&[number]),
    }
}

impl Node {
    /// Returns the ledger of a daemon in this state.
    fn ledger(&self) -> VersionLedger {
        let mut ledger = VersionLedger::default();
        if self.refused {
            assert!(ledger.refuse(version(BAD), vec!["bad".to_owned()]));
        }
        if self.force != 0 {
            assert!(ledger.activate(version(self.force), "peer".into(), false, Duration::ZERO));
        }
        ledger
    }

    fn idle(self) -> Node {
        Node {
            force: self.force,
            refused: self.refused,
            ..Node::default()
        }
    }
}

/// Returns every state that one step of the daemon `at` can lead to.
fn steps(world: World, at: usize) -> Vec<World> {
    let node = world.nodes[at];
    let mut next = Vec::new();
    let mut push = |node, sent, sent_refusal| {
        let mut nodes = world.nodes;
        nodes[at] = node;
        next.push(World {
            nodes,
            sent,
            sent_refusal,
        });
    };
    let (sent, refusal) = (world.sent, world.sent_refusal);
    for number in 1..=VERSIONS {
        let (comparison, _) = node
            .ledger()
            .record_announced(version(number), Duration::ZERO);
        if node.staged == 0 && comparison == VersionComparison::Newer {
            let staged = Node {
                staged: number,
                ..node
            };
            push(staged, sent, refusal);
            if sent & (1 << number) != 0 {
                let judged = true;
                push(Node { judged, ..staged }, sent, refusal);
            }
        }
    }
    if node.staged != 0 && node.got == 0 {
        let got = node.staged;
        push(Node { got, ..node }, sent, refusal);
    }
    if node.got != 0 && !node.held {
        push(Node { held: true, ..node }, sent, refusal);
    }
    if node.held {
        complete(node, sent, refusal, &mut push);
    }
    if node.staged != 0 {
        push(node.idle(), sent, refusal);
    }
    push(Node::default(), sent, refusal);
    next
}

fn complete<F>(node: Node, sent: u8, refusal: bool, push: &mut F)
where
    F: FnMut(Node, u8, bool),
{
    let mut ledger = node.ledger();
    if node.got == BAD && !node.judged {
        assert!(ledger.refuse(version(BAD), vec!["bad".to_owned()]));
        assert_eq!(ledger.compare(version(BAD)), VersionComparison::Refused);
        let refused = true;
        push(
            Node {
                refused,
                ..node.idle()
            },
            sent,
            true,
        );
    } else if ledger.activate(version(node.staged), "peer".into(), false, Duration::ZERO) {
        let (old, new) = (version(node.force), version(node.staged));
        assert!(node.force == 0 || new.revision > old.revision);
        assert_ne!(node.got, BAD);
        assert_eq!(ledger.version(), Some(new));
        let force = node.staged;
        push(
            Node {
                force,
                ..node.idle()
            },
            sent | (1 << force),
            refusal,
        );
    } else {
        push(node.idle(), sent, refusal);
    }
}

#[test]
fn ledger_has_the_state_count_of_the_model() {
    let mut seen = HashSet::from([World::default()]);
    let mut open = vec![World::default()];
    while let Some(world) = open.pop() {
        for at in 0..world.nodes.len() {
            for next in steps(world, at) {
                if seen.insert(next) {
                    open.push(next);
                }
            }
        }
    }
    assert_eq!(seen.len(), SPIN_STATES);
}
