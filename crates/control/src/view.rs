//! The digest index of a daemon, with cached digests of its pages.
//!
//! The index has 32 pages, and a change usually affects one. Since the page
//! digests are cached, a delta needs a hash of the affected pages only.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;
use radishgauge_config::DigestIndex;
use radishgauge_config::PartDigest;
use radishgauge_config::index::PAGES;
use radishgauge_config::index::SCHEMA;
use radishgauge_config::index::root_check;
use radishgauge_schema::config::IndexEntry;
use radishgauge_schema::config::IndexPage;
use radishgauge_schema::config::IndexRoot;
use smol_str::SmolStr;

/// The entries that differ between two versions; the digest is `None` for a
/// removed part.
pub type IndexChange = Vec<(SmolStr, Option<PartDigest>)>;

/// The change of one entry between two versions in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryChange {
    /// The key of the part.
    pub key: SmolStr,
    /// The digest in the earlier version; `None` for an added part.
    pub old: Option<PartDigest>,
    /// The digest in the later version; `None` for a removed part.
    pub new: Option<PartDigest>,
}

/// A delta, page or root is malformed or does not match the announced version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the index entries are malformed or do not match the announced root digest")]
pub struct ViewError;

/// An index that can be updated to another version and reverted.
#[derive(Debug, Clone)]
pub struct IndexView {
    index: DigestIndex,
    pages: Vec<PartDigest>,
    root: PartDigest,
    // The earlier digests of changed entries, to revert to the version in force.
    undo: Vec<(SmolStr, Option<PartDigest>)>,
    base: (u64, PartDigest),
}

impl Default for IndexView {
    fn default() -> IndexView {
        let index = DigestIndex::new(0);
        let pages = (0..PAGES).map(|page| index.page_digest(page)).collect();
        let root = index.root_digest();
        IndexView {
            index,
            pages,
            root,
            undo: Vec::new(),
            base: (0, root),
        }
    }
}

impl IndexView {
    /// Returns the entries of the index.
    pub fn index(&self) -> &DigestIndex {
        &self.index
    }

    /// Returns the digest of the encoded root.
    pub fn root_digest(&self) -> PartDigest {
        self.root
    }

    /// Returns the root, built from the cached page digests.
    pub fn root(&self) -> IndexRoot {
        let mut root = IndexRoot {
            schema: SCHEMA,
            revision: self.index.revision(),
            pages: self
                .pages
                .iter()
                .map(|digest| Bytes::copy_from_slice(digest.as_bytes()))
                .collect(),
            check: Bytes::new(),
        };
        root.check = Bytes::copy_from_slice(root_check(&root).as_bytes());
        root
    }

    /// Returns the pages whose digest in `root` differs from that in this index,
    /// with the digest in `root`.
    ///
    /// # Errors
    ///
    /// If the number of page digests or the schema of the root is wrong, or a
    /// digest is malformed.
    pub fn differing(&self, root: &IndexRoot) -> Result<Vec<(usize, PartDigest)>, ViewError> {
        if root.pages.len() != PAGES || root.schema != SCHEMA {
            return Err(ViewError);
        }
        let mut pages = Vec::new();
        for (page, digest) in root.pages.iter().enumerate() {
            let digest = PartDigest::try_from(digest.as_ref()).map_err(|_| ViewError)?;
            if digest != self.pages[page] {
                pages.push((page, digest));
            }
        }
        Ok(pages)
    }

    /// Updates the index to another version, given the changed entries.
    ///
    /// # Errors
    ///
    /// If the result does not have the root digest `root`; the index is then
    /// unchanged.
    pub fn apply(
        &mut self,
        revision: u64,
        root: PartDigest,
        change: &IndexChange,
    ) -> Result<(), ViewError> {
        let before = (self.index.revision(), self.undo.len());
        let touched = self.set(change);
        self.index.set_revision(revision);
        self.rehash(&touched);
        if self.root == root {
            return Ok(());
        }
        let back = self.undo.split_off(before.1);
        for (key, digest) in back.into_iter().rev() {
            self.put(&key, digest);
        }
        self.index.set_revision(before.0);
        self.rehash(&touched);
        Err(ViewError)
    }

    /// Updates the index to another version, given the changed pages.
    ///
    /// # Errors
    ///
    /// If a page is malformed or the result does not have the root digest `root`;
    /// the index is then unchanged.
    pub fn apply_pages(
        &mut self,
        revision: u64,
        root: PartDigest,
        pages: &[(usize, IndexPage)],
    ) -> Result<IndexChange, ViewError> {
        let mut change = IndexChange::new();
        for (page, value) in pages {
            let mut other = DigestIndex::new(0);
            other.replace_page(*page, value).map_err(|_| ViewError)?;
            let held = self.index.page(*page);
            for entry in &held.entries {
                if other.get(&entry.key).is_none() {
                    change.push((SmolStr::new(&entry.key), None));
                }
            }
            for (key, digest) in other.iter() {
                if self.index.get(key) != Some(digest) {
                    change.push((key.clone(), Some(digest)));
                }
            }
        }
        self.apply(revision, root, &change)?;
        Ok(change)
    }

    /// Reverts to the version in force.
    pub fn revert(&mut self) {
        let mut touched = BTreeSet::new();
        for (key, digest) in std::mem::take(&mut self.undo).into_iter().rev() {
            touched.insert(DigestIndex::page_of(&key));
            self.put(&key, digest);
        }
        self.index.set_revision(self.base.0);
        self.rehash(&touched);
    }

    /// Records that the current version is in force; returns the root digest of
    /// the previous version in force and the changed entries.
    pub fn commit(&mut self) -> (PartDigest, Vec<EntryChange>) {
        let mut earlier = BTreeMap::new();
        for (key, digest) in self.undo.drain(..) {
            earlier.entry(key).or_insert(digest);
        }
        let changes = earlier
            .into_iter()
            .map(|(key, old)| EntryChange {
                new: self.index.get(&key),
                key,
                old,
            })
            .filter(|change| change.old != change.new)
            .collect();
        let base = self.base.1;
        self.base = (self.index.revision(), self.root);
        (base, changes)
    }

    /// Returns the revision in force, or 0 if there is none.
    pub fn base_revision(&self) -> u64 {
        self.base.0
    }

    /// Iterates over the keys that differ from the version in force.
    pub fn pending_keys(&self) -> impl Iterator<Item = &SmolStr> {
        self.undo.iter().map(|(key, _)| key)
    }

    fn set(&mut self, change: &IndexChange) -> BTreeSet<usize> {
        let mut touched = BTreeSet::new();
        for (key, digest) in change {
            touched.insert(DigestIndex::page_of(key));
            let earlier = self.put(key, *digest);
            self.undo.push((key.clone(), earlier));
        }
        touched
    }

    fn put(&mut self, key: &SmolStr, digest: Option<PartDigest>) -> Option<PartDigest> {
        match digest {
            Some(digest) => self.index.insert(key.clone(), digest),
            None => self.index.remove(key),
        }
    }

    fn rehash(&mut self, touched: &BTreeSet<usize>) {
        for &page in touched {
            self.pages[page] = self.index.page_digest(page);
        }
        self.root = PartDigest::of(&self.root().encode_to_vec());
    }
}

/// The changes between recent versions in force, from which requests for deltas
/// are answered.
#[derive(Debug, Clone, Default)]
pub struct DeltaHistory {
    steps: VecDeque<DeltaStep>,
}

#[derive(Debug, Clone)]
struct DeltaStep {
    base: PartDigest,
    root: PartDigest,
    revision: u64,
    change: IndexChange,
}

/// The number of changes kept. At one change every 5.76 s they span 25 min; a
/// daemon that was disconnected for longer compares pages instead.
const MAX_STEPS: usize = 256;

/// Changes with more entries than this are not kept, since pages transfer them
/// as efficiently.
const MAX_STEP_ENTRIES: usize = 256;

impl DeltaHistory {
    /// Adds the change from the version with root digest `base` to the one with
    /// root digest `root`.
    pub fn push(&mut self, base: PartDigest, root: PartDigest, revision: u64, change: IndexChange) {
        if change.len() > MAX_STEP_ENTRIES {
            self.steps.clear();
            return;
        }
        if self.steps.len() == MAX_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back(DeltaStep {
            base,
            root,
            revision,
            change,
        });
    }

    /// Returns the revision of `root` and the combined changes from `base` to it,
    /// or `None` if the history does not span them.
    pub fn between(&self, base: PartDigest, root: PartDigest) -> Option<(u64, IndexChange)> {
        let last = self.steps.iter().rposition(|step| step.root == root)?;
        let first = self.steps.iter().rposition(|step| step.base == base)?;
        if first > last {
            return None;
        }
        let mut change = BTreeMap::new();
        for step in self.steps.range(first..=last) {
            change.extend(step.change.iter().cloned());
        }
        Some((self.steps[last].revision, change.into_iter().collect()))
    }
}

/// Converts a change into the changed and the removed entries of a message.
pub fn to_message(change: &IndexChange) -> (Vec<IndexEntry>, Vec<String>) {
    let mut changed = Vec::new();
    let mut removed = Vec::new();
    for (key, digest) in change {
        match digest {
            Some(digest) => changed.push(IndexEntry {
                key: key.to_string(),
                digest: Bytes::copy_from_slice(digest.as_bytes()),
            }),
            None => removed.push(key.to_string()),
        }
    }
    (changed, removed)
}

/// Converts the changed and the removed entries of a message into a change.
///
/// # Errors
///
/// If a digest is malformed.
pub fn from_message(changed: &[IndexEntry], removed: &[String]) -> Result<IndexChange, ViewError> {
    let mut change = IndexChange::with_capacity(changed.len() + removed.len());
    for entry in changed {
        let digest = PartDigest::try_from(entry.digest.as_ref()).map_err(|_| ViewError)?;
        change.push((SmolStr::new(&entry.key), Some(digest)));
    }
    change.extend(removed.iter().map(|key| (SmolStr::new(key), None)));
    Ok(change)
}
