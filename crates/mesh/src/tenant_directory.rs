//! The tenants of one configuration, found by name or by the hash of a key.
//!
//! Only hashes of the keys are kept. The hash is cryptographic, so a key cannot be
//! derived from it, and two hashes are compared in constant time.

use std::fmt;
use std::hash::Hash;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::map::Entry;
use smol_str::SmolStr;

use crate::tenant::TenantPolicy;

/// The hash of a tenant's key: the first half of its BLAKE3 hash. Configurations pass between
/// daemons with the hashes in them, which cannot be compressed, and 128 bits suffice to tell
/// keys apart.
///
/// The `Debug` output does not show it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash(
    /// The hash with zeros after it, as this type compares in constant time.
    blake3::Hash,
);

impl KeyHash {
    /// The length of a hash in bytes.
    pub const BYTES: usize = blake3::OUT_LEN / 2;

    /// Returns the hash of a key.
    pub fn of(key: &[u8]) -> KeyHash {
        KeyHash::from_prefix(blake3::hash(key).as_bytes())
    }

    /// Returns the hash with these bytes.
    pub fn from_bytes(bytes: [u8; KeyHash::BYTES]) -> KeyHash {
        KeyHash::from_prefix(&bytes)
    }

    /// Returns the bytes of the hash.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0.as_bytes()[..KeyHash::BYTES]
    }

    fn from_prefix(bytes: &[u8]) -> KeyHash {
        let mut padded = [0; blake3::OUT_LEN];
        padded[..KeyHash::BYTES].copy_from_slice(&bytes[..KeyHash::BYTES]);
        KeyHash(blake3::Hash::from_bytes(padded))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHash(..)")
    }
}

/// The reason why a tenant was not added to a directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TenantConflict {
    /// Another tenant has the name.
    RepeatedName,
    /// Another tenant has one of the keys.
    SharedKey {
        /// The name of the other tenant.
        other: SmolStr,
    },
}

/// The tenants of one configuration.
#[derive(Debug, Clone, Default)]
pub struct TenantDirectory {
    tenants: IndexMap<SmolStr, Arc<TenantPolicy>>,
    keys: IndexMap<KeyHash, Arc<TenantPolicy>>,
}

impl TenantDirectory {
    /// Adds a tenant with the hashes of its keys. The directory is of no use after an
    /// error.
    ///
    /// # Errors
    ///
    /// When another tenant has the name or one of the keys.
    pub fn insert<I>(&mut self, policy: TenantPolicy, keys: I) -> Result<(), TenantConflict>
    where
        I: IntoIterator<Item = KeyHash>,
    {
        let policy = Arc::new(policy);
        match self.tenants.entry(policy.name.clone()) {
            Entry::Occupied(_) => return Err(TenantConflict::RepeatedName),
            Entry::Vacant(entry) => entry.insert(Arc::clone(&policy)),
        };
        for key in keys {
            let holder = self.keys.entry(key).or_insert_with(|| Arc::clone(&policy));
            if holder.name != policy.name {
                let other = holder.name.clone();
                return Err(TenantConflict::SharedKey { other });
            }
        }
        Ok(())
    }

    /// Returns whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns all tenants.
    pub fn policies(&self) -> impl Iterator<Item = &Arc<TenantPolicy>> {
        self.tenants.values()
    }

    /// Returns the tenant that holds a key.
    pub fn of_key(&self, key: &[u8]) -> Option<&Arc<TenantPolicy>> {
        self.keys.get(&KeyHash::of(key))
    }

    /// Returns the tenant with a name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<TenantPolicy>> {
        self.tenants.get(name)
    }
}
