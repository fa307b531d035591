//! The record of one idempotency key in the ledger.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;

use crate::key::IdempotencyKey;
use crate::once_decision::OnceRequest;
use crate::once_decision::OnceTicket;
use crate::once_decision::StoredResponse;

/// The memory of a record without the contents of its key and response, in bytes:
/// the entry itself, its index entry and its element of the expiry queue.
const RECORD_BYTES: usize = size_of::<OnceEntry>()
    + size_of::<RecordId>()
    + size_of::<OnceTicket>()
    + size_of::<(Duration, OnceTicket)>();

/// Identifies a record. Issued keys are globally unique; opaque keys are unique
/// only within a service and tenant.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RecordId {
    pub(crate) service: SmolStr,
    pub(crate) tenant: SmolStr,
    pub(crate) key: IdempotencyKey,
}

#[derive(Debug, Clone)]
pub(crate) struct OnceEntry {
    pub(crate) id: RecordId,
    pub(crate) fingerprint: u64,
    /// The home regions of the request, outside which a record is never sent.
    pub(crate) regions: Box<[SmolStr]>,
    pub(crate) state: EntryState,
    /// When the key first arrived, or when an unfinished run became "may have
    /// run" on expiry; by the ledger's clock.
    pub(crate) since: Duration,
}

#[derive(Debug, Clone)]
pub(crate) enum EntryState {
    Running {
        dispatched: bool,
        /// The number of pauses of the process before the run began.
        pauses: u32,
    },
    Unknown,
    Answered(Option<Arc<StoredResponse>>),
}

impl OnceEntry {
    /// Returns whether the key has had the same owner since the run began.
    ///
    /// `latest` is the number of pauses so far. During a pause another daemon may
    /// have become the owner of an opaque key.
    pub(crate) fn uninterrupted(&self, latest: u32) -> bool {
        match (&self.id.key, &self.state) {
            (IdempotencyKey::Opaque(_), EntryState::Running { pauses, .. }) => *pauses == latest,
            _ => true,
        }
    }

    /// Returns the memory used by the record and its response, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let response = match &self.state {
            EntryState::Answered(Some(response)) => response.bytes(),
            _ => 0,
        };
        let regions = self.regions.len() * size_of::<SmolStr>();
        RECORD_BYTES + self.id.key.heap_bytes() + regions + response
    }
}

impl RecordId {
    pub(crate) fn of(request: &OnceRequest<'_>) -> RecordId {
        let scoped = matches!(request.key, IdempotencyKey::Opaque(_));
        let scope = |name: &SmolStr| {
            if scoped {
                name.clone()
            } else {
                SmolStr::default()
            }
        };
        RecordId {
            service: scope(request.service),
            tenant: scope(request.tenant),
            key: request.key.clone(),
        }
    }
}

/// Hashes everything that a re-send must have in common with the first request:
/// the service, the tenant and the hash of the request itself.
pub fn fingerprint(request: &OnceRequest<'_>) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(request.service.as_bytes());
    hash.update(&[0]);
    hash.update(request.tenant.as_bytes());
    hash.update(&[0]);
    hash.update(&request.fingerprint.to_le_bytes());
    hash.digest()
}
