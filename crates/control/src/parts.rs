//! The parts that a daemon holds, by digest.
//!
//! Values are named by the digest of their bytes, so the store takes nothing
//! whose bytes do not match, whoever sent it.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use radishgauge_config::PartDigest;
use radishgauge_schema::peer::PartValue;

/// Values above this length are compressed in messages.
const COMPRESS_ABOVE: usize = 1024;

/// The greatest length of a part, and of what a compressed one may become.
pub const PART_LIMIT: usize = 1 << 20;

/// Parts by digest.
#[derive(Debug, Clone, Default)]
pub struct PartStore {
    parts: HashMap<PartDigest, Bytes>,
    bytes: usize,
}

impl PartStore {
    /// Returns the bytes of a part.
    pub fn get(&self, digest: PartDigest) -> Option<&Bytes> {
        self.parts.get(&digest)
    }

    /// Returns whether a part is held.
    pub fn contains(&self, digest: PartDigest) -> bool {
        self.parts.contains_key(&digest)
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is held.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the sum of the lengths of all parts.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes a value if its bytes match the digest; returns whether they do.
    pub fn insert(&mut self, digest: PartDigest, value: Bytes) -> bool {
        if value.len() > PART_LIMIT || PartDigest::of(&value) != digest {
            return false;
        }
        let length = value.len();
        if self.parts.insert(digest, value).is_none() {
            self.bytes += length;
        }
        true
    }

    /// Takes a value from a message; returns its digest when it is whole.
    pub fn insert_message(&mut self, part: &PartValue) -> Option<PartDigest> {
        let digest = PartDigest::try_from(part.digest.as_ref()).ok()?;
        let value = if part.compressed {
            Bytes::from(zstd::bulk::decompress(&part.value, PART_LIMIT).ok()?)
        } else {
            part.value.clone()
        };
        self.insert(digest, value).then_some(digest)
    }

    /// Returns a part as a message holds it.
    pub fn message(&self, digest: PartDigest) -> Option<PartValue> {
        let value = self.get(digest)?;
        let packed = (value.len() > COMPRESS_ABOVE)
            .then(|| zstd::bulk::compress(value, zstd::DEFAULT_COMPRESSION_LEVEL).ok())
            .flatten()
            .filter(|packed| packed.len() < value.len());
        Some(PartValue {
            digest: Bytes::copy_from_slice(digest.as_bytes()),
            compressed: packed.is_some(),
            value: packed.map_or_else(|| value.clone(), Bytes::from),
        })
    }

    /// Drops a part.
    pub fn remove(&mut self, digest: PartDigest) {
        if let Some(value) = self.parts.remove(&digest) {
            self.bytes -= value.len();
        }
    }

    /// Drops every part that is not named.
    pub fn retain(&mut self, keep: &HashSet<PartDigest>) {
        self.parts.retain(|digest, _| keep.contains(digest));
        self.bytes = self.parts.values().map(Bytes::len).sum();
    }
}
