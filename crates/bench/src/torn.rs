//! Torn reads: the cost and the effect of consistency checks.
//!
//! A read is torn if it returns the root of one version of the configuration and
//! a part of another. A configuration is a root and parts under fixed names, and
//! a reader reads every change. With the given probability, an attempt to read
//! meets a fault:
//!
//! - `moving`: the next version is published between two calls;
//! - `stale`: one call returns data of the previous version, as from a replica
//!   that lags.
//!
//! Four readers are compared:
//!
//! - one without a check;
//! - one that reads the root before and after the parts, and accepts the version
//!   only if both agree;
//! - one that compares every part with its digest in the root;
//! - one that uses digests, and reads only parts whose digest changed.
//!
//! The readers with digests read a part whose digest does not match once more
//! before they start again from the root.

use radishgauge_config::PartDigest;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::index;
use rand_pcg::Pcg32;

use crate::result::Curve;
use crate::result::ExperimentResult;

/// The number of parts of a configuration: as many as the index has pages.
const PARTS: usize = radishgauge_config::index::PAGES;

/// The number of parts that a change replaces.
const CHANGED_PARTS: usize = 4;

/// The number of attempts after which a reader waits for the next change.
const ATTEMPTS: usize = 3;

/// The length of a part in bytes, about that of a route.
const PART_BYTES: usize = 200;

/// The probabilities that an attempt meets a fault.
const PROBABILITIES: [f64; 5] = [0.01, 0.05, 0.1, 0.2, 0.5];

/// The probability for which figures are listed in the result.
const TABLE_PROBABILITY: f64 = 0.1;

/// The number of changes that each reader reads, for each probability.
const READS: u64 = 10_000;

/// The fault by which the platform's responses come from two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFault {
    /// The next version is published between two calls.
    Moving,
    /// One call returns data of the previous version.
    Stale,
}

/// How a reader checks that everything it read is of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadCheck {
    /// It does not check.
    None,
    /// It reads the root again after the parts.
    TwoRoots,
    /// It compares every part with its digest in the root.
    Digests,
    /// It uses digests, and reads only parts whose digest changed.
    DigestsChanged,
}

impl ReadCheck {
    /// All checks, in the order of tables and plots.
    pub const ALL: [ReadCheck; 4] = [
        ReadCheck::None,
        ReadCheck::TwoRoots,
        ReadCheck::Digests,
        ReadCheck::DigestsChanged,
    ];

    /// Returns the check's name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            ReadCheck::None => "no check",
            ReadCheck::TwoRoots => "two roots",
            ReadCheck::Digests => "digests",
            ReadCheck::DigestsChanged => "digests, changed parts",
        }
    }
}

/// The counts of one reader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCount {
    /// The number of calls to the platform.
    pub calls: u64,
    /// The number of accepted versions, including torn ones.
    pub accepted: u64,
    /// The number of accepted versions that were torn.
    pub torn: u64,
    /// The number of published versions that were never accepted.
    pub missed: u64,
}

impl ReadCount {
    /// Returns the number of platform calls per accepted version.
    pub fn calls_per_accepted(&self) -> f64 {
        self.calls as f64 / self.accepted.max(1) as f64
    }
}

#[derive(Clone, Copy, PartialEq)]
struct Version {
    revision: u64,
    // The revision that last changed each part.
    parts: [u64; PARTS],
}

struct SimulatedPlatform {
    current: Version,
    previous: Version,
    rng: Pcg32,
    kind: ReadFault,
    // The index of the call of the present attempt that meets the fault, if any.
    fault: Option<usize>,
    call: usize,
    calls: u64,
}

impl SimulatedPlatform {
    fn new(kind: ReadFault, seed: u64) -> SimulatedPlatform {
        let first = Version {
            revision: 1,
            parts: [1; PARTS],
        };
        SimulatedPlatform {
            current: first,
            previous: first,
            rng: Pcg32::seed_from_u64(seed),
            kind,
            fault: None,
            call: 0,
            calls: 0,
        }
    }

    fn publish(&mut self) {
        self.previous = self.current;
        self.current.revision += 1;
        for part in index::sample(&mut self.rng, PARTS, CHANGED_PARTS) {
            self.current.parts[part] = self.current.revision;
        }
    }

    // Begins an attempt of about `calls` calls and chooses the call that meets the
    // fault. For `Moving` it is never the first call: a version published before
    // the root is read cannot make the read torn.
    fn begin_attempt(&mut self, probability: f64, calls: usize) {
        let first = usize::from(self.kind == ReadFault::Moving);
        let hit = self.rng.random_bool(probability);
        let call = self.rng.random_range(first..calls.max(first + 1));
        self.fault = hit.then_some(call);
        self.call = 0;
    }

    // Returns the version of which the next call returns data.
    fn respond(&mut self) -> Version {
        let hit = self.fault == Some(self.call);
        self.call += 1;
        self.calls += 1;
        match self.kind {
            ReadFault::Moving if hit => self.publish(),
            ReadFault::Stale if hit => return self.previous,
            _ => {}
        }
        self.current
    }
}

struct Reader {
    check: ReadCheck,
    // The last accepted version: its revision, and the digest of each part.
    revision: u64,
    known_digests: [PartDigest; PARTS],
    count: ReadCount,
}

impl Reader {
    // Returns the number of calls of an attempt without a fault.
    fn calls(&self) -> usize {
        match self.check {
            ReadCheck::None | ReadCheck::Digests => 1 + PARTS,
            ReadCheck::TwoRoots => 2 + PARTS,
            ReadCheck::DigestsChanged => 1 + CHANGED_PARTS,
        }
    }

    // Attempts one read, and returns whether a version was accepted.
    fn attempt(&mut self, platform: &mut SimulatedPlatform) -> bool {
        let root = platform.respond();
        // If the root is not newer, there is nothing to read yet.
        if root.revision <= self.revision {
            return false;
        }
        let digests = matches!(self.check, ReadCheck::Digests | ReadCheck::DigestsChanged);
        let mut read = [PartDigest::default(); PARTS];
        for (part, value) in read.iter_mut().enumerate() {
            let expected = digest(part, root.parts[part]);
            if self.check == ReadCheck::DigestsChanged && self.known_digests[part] == expected {
                *value = expected;
                continue;
            }
            *value = digest(part, platform.respond().parts[part]);
            if digests && *value != expected {
                *value = digest(part, platform.respond().parts[part]);
                if *value != expected {
                    return false;
                }
            }
        }
        if self.check == ReadCheck::TwoRoots && platform.respond().revision != root.revision {
            return false;
        }
        let torn = (0..PARTS).any(|part| read[part] != digest(part, root.parts[part]));
        self.count.accepted += 1;
        self.count.torn += u64::from(torn);
        self.revision = root.revision;
        self.known_digests = read;
        true
    }
}

// Returns the digest of the value that a part got in a revision.
fn digest(part: usize, revision: u64) -> PartDigest {
    let mut value = [0; PART_BYTES];
    value[..8].copy_from_slice(&(part as u64).to_be_bytes());
    value[8..16].copy_from_slice(&revision.to_be_bytes());
    PartDigest::of(&value)
}

/// Simulates a reader with one kind of check over `reads` changes, and returns its
/// counts.
pub fn measure(
    kind: ReadFault,
    check: ReadCheck,
    probability: f64,
    reads: u64,
    seed: u64,
) -> ReadCount {
    let mut platform = SimulatedPlatform::new(kind, seed);
    let mut known_digests = [PartDigest::default(); PARTS];
    for (part, value) in known_digests.iter_mut().enumerate() {
        *value = digest(part, 1);
    }
    let mut reader = Reader {
        check,
        revision: 1,
        known_digests,
        count: ReadCount::default(),
    };
    for _ in 0..reads {
        platform.publish();
        for _ in 0..ATTEMPTS {
            platform.begin_attempt(probability, reader.calls());
            if reader.attempt(&mut platform) {
                break;
            }
        }
    }
    let published = platform.current.revision - 1;
    reader.count.calls = platform.calls;
    reader.count.missed = published - reader.count.accepted;
    reader.count
}

/// Runs the experiment.
pub fn run(seed: u64, quick: bool) -> ExperimentResult {
    let reads = if quick { READS / 10 } else { READS };
    let mut result = ExperimentResult::new("torn", seed, quick);
    for (kind, name) in [(ReadFault::Moving, "moving"), (ReadFault::Stale, "stale")] {
        let x = "probability of a fault in an attempt";
        let mut calls = Curve::new(&format!("{name}-calls"), x, "calls per version taken");
        let mut torn = Curve::new(&format!("{name}-torn"), x, "torn versions taken");
        let mut missed = Curve::new(&format!("{name}-missed"), x, "versions never taken");
        for probability in PROBABILITIES {
            eprintln!("torn: {name}, probability {probability}, {reads} reads by each reader");
            for check in ReadCheck::ALL {
                let count = measure(kind, check, probability, reads, seed);
                let check = check.name();
                calls.add(check, probability, count.calls_per_accepted());
                torn.add(check, probability, count.torn as f64);
                missed.add(check, probability, count.missed as f64);
                if probability == TABLE_PROBABILITY {
                    let mut add_figure = |figure: &str, value: f64| {
                        let key = format!("{name} {probability}, {check}: {figure}");
                        result.figures.insert(key, value);
                    };
                    add_figure("calls per version taken", count.calls_per_accepted());
                    add_figure("versions taken", count.accepted as f64);
                    add_figure("torn versions taken", count.torn as f64);
                    add_figure("versions missed", count.missed as f64);
                }
            }
        }
        result.curves.extend([calls, torn, missed]);
    }
    result
}
