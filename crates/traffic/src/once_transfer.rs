//! The transfer of records from a former owner of opaque keys to a new owner.
//!
//! The new owner requests pieces until it has received all of them. A piece may be
//! lost, duplicated or delayed: the new owner requests it again by its position,
//! and importing a record twice has no further effect.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::CallVerdict;
use crate::key::IdempotencyKey;
use crate::once::OnceLedger;
use crate::once::StoredResponse;
use crate::once_owner::KeyOwner;
use crate::once_ownership::CompletedTransfer;
use crate::once_ownership::PendingTransfer;
use crate::once_record::EntryState;
use crate::once_record::OnceEntry;
use crate::once_record::RecordId;

/// A new owner's request for a piece of a former owner's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferRequest {
    /// The service whose records are requested.
    pub service: SmolStr,
    /// The host that requests the records.
    pub to: SmolStr,
    /// The revision that the former owner must have applied.
    pub revision: u64,
    /// The position after which the piece begins; `None` for the first piece.
    pub after: Option<u64>,
}

/// A piece of the records that a former owner transfers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferPiece {
    /// The service that the records belong to.
    pub service: SmolStr,
    /// The host of the former owner.
    pub from: SmolStr,
    /// The incarnation of the former owner, in ms since the Unix epoch.
    pub incarnation: u64,
    /// The revision that the former owner has applied.
    pub revision: u64,
    /// The position after which this piece begins; `None` for the first piece.
    pub after: Option<u64>,
    /// The position after which the next piece begins; `None` for the last piece.
    pub next: Option<u64>,
    /// Whether records are omitted because the new owner is outside the home
    /// regions of their requests. Such a transfer is incomplete.
    pub withheld: bool,
    /// How long it takes until the former owner's own records go back a whole
    /// retention time.
    pub unknown_for: Duration,
    /// The records in this piece, sorted by position.
    pub records: Vec<OnceRecord>,
}

/// An owner's record of one opaque key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceRecord {
    /// The tenant of the request.
    pub tenant: SmolStr,
    /// The text of the opaque key.
    pub key: SmolStr,
    /// The hash of the first request with its service and tenant.
    pub fingerprint: u64,
    /// The home regions of the request; empty for all regions.
    pub regions: Box<[SmolStr]>,
    /// `Ran`, or `MayHaveRun` if the run is in progress or its outcome is unknown.
    pub verdict: CallVerdict,
    /// The response, if it was stored.
    pub response: Option<Arc<StoredResponse>>,
    /// The time since the key first arrived.
    pub age: Duration,
}

/// The next step of a transfer after a piece was imported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferStep {
    /// Request the piece after this position; `None` for the first piece.
    RequestPiece(Option<u64>),
    /// The transfer from this former owner is complete.
    Done,
    /// The ledger is full. Start the transfer again later; until then, the former
    /// owner's keys are refused.
    Full,
    /// Records were withheld. Start the transfer again when they have expired.
    Withheld,
    /// This daemon has no target of the piece's service.
    Ignored,
}

impl OnceLedger {
    /// Returns the next piece of the requested records, or `None` when this daemon
    /// has not yet applied the revision of the request.
    ///
    /// A piece has about `bytes` bytes and at least one record, if any are left.
    /// `applied` is the revision in force; this ledger must have applied all of
    /// its ownership changes.
    pub fn export(
        &mut self,
        request: &TransferRequest,
        applied: u64,
        bytes: usize,
        now: Duration,
    ) -> Option<TransferPiece> {
        if applied < request.revision {
            return None;
        }
        let now = self.advance(now);
        let ownership = self.services.get(&request.service);
        let region = ownership.and_then(|ownership| ownership.current().region(&request.to));
        // Under another revision the requester may own keys that have other owners
        // in this daemon's configuration, so it gets all records.
        let same_revision = ownership.filter(|_| applied == request.revision);
        let may_own = |key: &str| {
            same_revision.is_none_or(|ownership| {
                let owners = KeyOwner::possible_hosts(&request.service, key, ownership.current());
                owners.contains(&&request.to)
            })
        };
        let mut withheld = false;
        let mut found: Vec<(u64, &OnceEntry, &SmolStr)> = Vec::new();
        for entry in self.entries.values() {
            let IdempotencyKey::Opaque(key) = &entry.id.key else {
                continue;
            };
            if entry.id.service != request.service || !may_own(key) {
                continue;
            }
            if !entry.regions.is_empty()
                && !region.is_some_and(|region| entry.regions.contains(region))
            {
                withheld = true;
                continue;
            }
            let position = xxh3_64(key.as_bytes());
            if request.after.is_none_or(|after| position > after) {
                found.push((position, entry, key));
            }
        }
        found.sort_by_key(|&(position, _, _)| position);
        let mut records = Vec::new();
        let mut next = None;
        let mut size = 0;
        let mut last = None;
        for (position, entry, key) in found {
            // Records with the same position stay in one piece, as the next piece
            // begins after that position.
            if size >= bytes && last != Some(position) {
                next = last;
                break;
            }
            let record = OnceRecord::of(entry, key, now);
            size += record.bytes();
            last = Some(position);
            records.push(record);
        }
        Some(TransferPiece {
            service: request.service.clone(),
            from: self.host().clone(),
            incarnation: self.incarnation(),
            revision: applied,
            after: request.after,
            next,
            withheld,
            unknown_for: self.unknown_for(),
            records,
        })
    }

    /// Imports a piece of a transfer. Pieces may arrive in any order and any number
    /// of times.
    pub fn import(&mut self, piece: TransferPiece, now: Duration) -> TransferStep {
        let now = self.advance(now);
        if !self.services.contains_key(&piece.service) {
            return TransferStep::Ignored;
        }
        for record in piece.records {
            if !self.import_record(&piece.service, record, now) {
                return TransferStep::Full;
            }
        }
        let ownership = &mut self.services[&piece.service];
        if piece.after.is_none() {
            let completed = CompletedTransfer {
                revision: piece.revision,
                complete_at: now + piece.unknown_for,
            };
            let pending = PendingTransfer {
                incarnation: piece.incarnation,
                completed,
                next: 0,
            };
            ownership.pending.insert(piece.from.clone(), pending);
        }
        let Some(pending) = ownership.pending.get_mut(&piece.from) else {
            return TransferStep::RequestPiece(None);
        };
        if pending.incarnation != piece.incarnation {
            ownership.pending.swap_remove(&piece.from);
            return TransferStep::RequestPiece(None);
        }
        if piece.after.is_some_and(|after| after != pending.next) {
            return TransferStep::RequestPiece(Some(pending.next));
        }
        if piece.withheld {
            ownership.pending.swap_remove(&piece.from);
            return TransferStep::Withheld;
        }
        if let Some(next) = piece.next {
            pending.next = next;
            return TransferStep::RequestPiece(Some(next));
        }
        let completed = pending.completed;
        ownership.pending.swap_remove(&piece.from);
        let known = ownership
            .completed_transfers
            .entry(piece.from)
            .or_insert(completed);
        if completed.revision > known.revision || completed.complete_at < known.complete_at {
            *known = completed;
        }
        self.update_all_resolved_at();
        TransferStep::Done
    }

    /// Imports a record. Returns false when the ledger is full.
    fn import_record(&mut self, service: &SmolStr, record: OnceRecord, now: Duration) -> bool {
        if record.age >= self.limits.retention() {
            return true;
        }
        let id = RecordId {
            service: service.clone(),
            tenant: record.tenant,
            key: IdempotencyKey::Opaque(record.key),
        };
        let response = record
            .response
            .filter(|response| response.bytes() <= self.spare_bytes());
        let state = match record.verdict {
            CallVerdict::Ran => EntryState::Answered(response),
            _ => EntryState::Unknown,
        };
        if let Some(&ticket) = self.index.get(&id) {
            self.record_outcome(ticket, state);
            return true;
        }
        if self.entries.len() >= self.limits.records {
            return false;
        }
        self.insert(OnceEntry {
            id,
            fingerprint: record.fingerprint,
            regions: record.regions,
            state,
            since: now.saturating_sub(record.age),
        });
        true
    }
}

impl OnceRecord {
    fn of(entry: &OnceEntry, key: &SmolStr, now: Duration) -> OnceRecord {
        let (verdict, response) = match &entry.state {
            EntryState::Answered(response) => (CallVerdict::Ran, response.clone()),
            EntryState::Running { .. } | EntryState::Unknown => (CallVerdict::MayHaveRun, None),
        };
        OnceRecord {
            tenant: entry.id.tenant.clone(),
            key: key.clone(),
            fingerprint: entry.fingerprint,
            regions: entry.regions.clone(),
            verdict,
            response,
            age: now.saturating_sub(entry.since),
        }
    }

    /// Returns the approximate size of the record in a message, in bytes.
    fn bytes(&self) -> usize {
        let response = self
            .response
            .as_ref()
            .map_or(0, |response| response.bytes());
        self.key.len() + self.tenant.len() + size_of::<OnceRecord>() + response
    }
}
