//! The index of a packed configuration, which maps part keys to digests.
//!
//! The index is split into pages by a hash of the part key, so that a change to
//! one part changes only one page and the root.

use bytes::Bytes;
use prost::Message;
use radishgauge_schema::config::IndexEntry;
use radishgauge_schema::config::IndexPage;
use radishgauge_schema::config::IndexRoot;
use smol_str::SmolStr;
use std::collections::BTreeMap;

use crate::PartDigest;

/// The number of pages of an index.
pub const PAGES: usize = 32;

/// The schema number of the part format that this release writes and accepts.
pub const SCHEMA: u32 = 1;

/// The digest of every part of one version, by part key.
///
/// Each page is sorted by key, so equal contents have equal bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DigestIndex {
    revision: u64,
    pages: Vec<BTreeMap<SmolStr, PartDigest>>,
}

impl DigestIndex {
    /// Returns an empty index for a revision.
    pub fn new(revision: u64) -> DigestIndex {
        let pages = vec![BTreeMap::new(); PAGES];
        DigestIndex { revision, pages }
    }

    /// Returns the number of the page that contains a part key, in `0..PAGES`.
    pub fn page_of(key: &str) -> usize {
        usize::from(blake3::hash(key.as_bytes()).as_bytes()[0]) % PAGES
    }

    /// Returns the revision of the version that the index describes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the revision, after a delta to a newer version was applied.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Returns the digest of a part.
    pub fn get(&self, key: &str) -> Option<PartDigest> {
        self.pages[DigestIndex::page_of(key)].get(key).copied()
    }

    /// Sets the digest of a part and returns the previous digest.
    pub fn insert(&mut self, key: SmolStr, digest: PartDigest) -> Option<PartDigest> {
        self.pages[DigestIndex::page_of(&key)].insert(key, digest)
    }

    /// Removes a part and returns its digest.
    pub fn remove(&mut self, key: &str) -> Option<PartDigest> {
        self.pages[DigestIndex::page_of(key)].remove(key)
    }

    /// Iterates over all entries, page by page.
    pub fn iter(&self) -> impl Iterator<Item = (&SmolStr, PartDigest)> {
        self.pages
            .iter()
            .flatten()
            .map(|(key, digest)| (key, *digest))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.pages.iter().map(BTreeMap::len).sum()
    }

    /// Returns whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.pages.iter().all(BTreeMap::is_empty)
    }

    /// Returns one page in the form that the platform stores.
    ///
    /// # Panics
    ///
    /// When `page` is not below [`PAGES`].
    pub fn page(&self, page: usize) -> IndexPage {
        let entries = self.pages[page]
            .iter()
            .map(|(key, digest)| IndexEntry {
                key: key.to_string(),
                digest: Bytes::copy_from_slice(digest.as_bytes()),
            })
            .collect();
        IndexPage { entries }
    }

    /// Returns the digest of the encoded page.
    ///
    /// # Panics
    ///
    /// When `page` is not below [`PAGES`].
    pub fn page_digest(&self, page: usize) -> PartDigest {
        PartDigest::of(&self.page(page).encode_to_vec())
    }

    /// Returns the root, which lists the digests of all pages.
    pub fn root(&self) -> IndexRoot {
        let pages = (0..PAGES)
            .map(|page| Bytes::copy_from_slice(self.page_digest(page).as_bytes()))
            .collect();
        let mut root = IndexRoot {
            schema: SCHEMA,
            revision: self.revision,
            pages,
            check: Bytes::new(),
        };
        root.check = Bytes::copy_from_slice(root_check(&root).as_bytes());
        root
    }

    /// Returns the digest of the encoded root, which identifies the version.
    pub fn root_digest(&self) -> PartDigest {
        PartDigest::of(&self.root().encode_to_vec())
    }

    /// Replaces one page by entries received from a peer or the platform.
    ///
    /// # Errors
    ///
    /// When an entry has a malformed digest, is out of order, or belongs to
    /// another page; the index is then unchanged.
    ///
    /// # Panics
    ///
    /// When `page` is not below [`PAGES`].
    pub fn replace_page(&mut self, page: usize, value: &IndexPage) -> Result<(), IndexError> {
        let mut entries = BTreeMap::new();
        let mut last = None;
        for entry in &value.entries {
            let key = SmolStr::new(&entry.key);
            if DigestIndex::page_of(&key) != page || last.as_ref() >= Some(&key) {
                return Err(IndexError { key });
            }
            let Ok(digest) = PartDigest::try_from(entry.digest.as_ref()) else {
                return Err(IndexError { key });
            };
            entries.insert(key.clone(), digest);
            last = Some(key);
        }
        self.pages[page] = entries;
        Ok(())
    }
}

/// Returns the expected value of the root's field `check`, which is the digest of
/// the root without that field.
pub fn root_check(root: &IndexRoot) -> PartDigest {
    let without_check = IndexRoot {
        check: Bytes::new(),
        ..root.clone()
    };
    PartDigest::of(&without_check.encode_to_vec())
}

/// Decodes a root that was read from the platform or a peer.
///
/// # Examples
///
/// ```
/// use prost::Message;
/// use radishgauge_config::DigestIndex;
/// use radishgauge_config::open_root;
///
/// let root = DigestIndex::new(7).root();
/// let mut bytes = root.encode_to_vec();
/// assert_eq!(open_root(&bytes), Ok(root));
/// bytes[3] ^= 1;
/// assert!(open_root(&bytes).is_err());
/// ```
///
/// # Errors
///
/// When the bytes do not decode or do not match the root's field `check`, for
/// example after a read during an update. The schema number is not checked.
pub fn open_root(bytes: &[u8]) -> Result<IndexRoot, RootError> {
    let root = IndexRoot::decode(bytes).map_err(|_| RootError)?;
    if root.check.as_ref() == root_check(&root).as_bytes() {
        Ok(root)
    } else {
        Err(RootError)
    }
}

/// The error for bytes that are not a root or that are corrupt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the root does not decode or does not match its check digest")]
pub struct RootError;

/// The error for an invalid index page.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the index entry {key:?} is malformed, out of order or on the wrong page")]
pub struct IndexError {
    /// The key of the first invalid entry.
    pub key: SmolStr,
}
