//! Content-addressed storage of configuration parts.
//!
//! The key of a part is the digest of its bytes. The store rejects values that
//! do not match their digest, whatever their source.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;
use radishgauge_config::PartDigest;
use radishgauge_schema::peer::PartValue;

/// Parts above this length in bytes are compressed in messages.
const COMPRESS_ABOVE: usize = 1024;

/// The maximum length of a part in bytes, before compression.
pub const PART_LIMIT: usize = 1 << 20;

/// The stored parts by digest.
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

    /// Returns whether a part is stored.
    pub fn contains(&self, digest: PartDigest) -> bool {
        self.parts.contains_key(&digest)
    }

    /// Returns the number of stored parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is stored.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the total length of all parts in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores a part if it matches its digest and does not exceed [`PART_LIMIT`];
    /// returns whether it did.
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

    /// Decompresses and stores a part from a message; returns its digest if it is
    /// valid.
    pub fn insert_message(&mut self, part: &PartValue) -> Option<PartDigest> {
        let digest = PartDigest::try_from(part.digest.as_ref()).ok()?;
        let value = if part.compressed {
            Bytes::from(zstd::bulk::decompress(&part.value, PART_LIMIT).ok()?)
        } else {
            part.value.clone()
        };
        self.insert(digest, value).then_some(digest)
    }

    /// Returns a part as a message, compressed if that makes it shorter.
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

    /// Removes a part if it is stored.
    pub fn remove(&mut self, digest: PartDigest) {
        if let Some(value) = self.parts.remove(&digest) {
            self.bytes -= value.len();
        }
    }

    /// Removes every part whose digest is not in `keep`.
    pub fn retain(&mut self, keep: &HashSet<PartDigest>) {
        self.parts.retain(|digest, _| keep.contains(digest));
        self.bytes = self.parts.values().map(Bytes::len).sum();
    }
}
