//! The transfer of records from a former owner of opaque keys to a new one.
//!
//! The new owner asks for pieces until the former owner has given all. Each
//! piece may be lost, doubled or late: a piece is asked for again by its place,
//! and taking a record twice changes nothing.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::CallVerdict;
use crate::key::IdempotencyKey;
use crate::once::OnceAnswer;
use crate::once::OnceLedger;
use crate::once_cover::Handover;
use crate::once_cover::PendingTransfer;
use crate::once_owner::KeyOwner;
use crate::once_record::EntryState;
use crate::once_record::OnceEntry;
use crate::once_record::RecordName;

/// What a new owner asks a former owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferRequest {
    /// The service whose records are asked for.
    pub service: SmolStr,
    /// The host that asks.
    pub to: SmolStr,
    /// The revision that the former owner must have applied.
    pub revision: u64,
    /// The place after which the piece begins; `None` for the first piece.
    pub after: Option<u64>,
}

/// A piece of the records that a former owner hands over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceTransfer {
    /// The service.
    pub service: SmolStr,
    /// The former owner.
    pub from: SmolStr,
    /// Its incarnation.
    pub incarnation: u64,
    /// The revision that it has applied.
    pub revision: u64,
    /// The place after which this piece begins.
    pub after: Option<u64>,
    /// The place after which the next piece begins; `None` for the last piece.
    pub next: Option<u64>,
    /// Whether records are left out because the new owner is outside the home
    /// regions of their requests. The transfer is not complete while there are.
    pub withheld: bool,
    /// How long the former owner's own knowledge is still incomplete.
    pub unknown_for: Duration,
    /// The records.
    pub records: Vec<OnceRecord>,
}

/// What an owner knows of one opaque key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceRecord {
    /// The tenant of the request.
    pub tenant: SmolStr,
    /// The key.
    pub key: SmolStr,
    /// The hash of the first request and its scope.
    pub fingerprint: u64,
    /// The home regions of the request.
    pub regions: Box<[SmolStr]>,
    /// `Ran`, or `MayHaveRun` for a run that is under way or has no known outcome.
    pub verdict: CallVerdict,
    /// The response, if it was kept.
    pub answer: Option<Arc<OnceAnswer>>,
    /// The time since the key was first begun.
    pub age: Duration,
}

/// How a transfer goes on after a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferStep {
    /// Ask for the piece after this place.
    Ask(Option<u64>),
    /// The former owner has handed over.
    Done,
    /// The ledger is full: ask again later. The keys stay refused until then.
    Full,
    /// Records were withheld: ask again when they have expired.
    Withheld,
    /// The piece is for no service of this daemon.
    Ignored,
}

impl OnceLedger {
    /// Returns a piece of at least one record and about `bytes` bytes for a new
    /// owner, or `None` when this daemon cannot hand over yet.
    ///
    /// `applied` is the revision in force, of which this ledger has taken all
    /// ownership changes.
    pub fn export(
        &mut self,
        request: &TransferRequest,
        applied: u64,
        bytes: usize,
        now: Duration,
    ) -> Option<OnceTransfer> {
        if applied < request.revision {
            return None;
        }
        let now = self.advance(now);
        let cover = self.covers.get(&request.service);
        let region = cover.and_then(|cover| cover.current().region(&request.to));
        // Under another revision the requester may own keys that this daemon's
        // configuration gives to others, so it gets them all.
        let same = cover.filter(|_| applied == request.revision);
        let moved = |key: &str| {
            same.is_none_or(|cover| {
                let owners = KeyOwner::of_any_regions(&request.service, key, cover.current());
                owners.contains(&&request.to)
            })
        };
        let mut withheld = false;
        let mut found: Vec<(u64, &OnceEntry, &SmolStr)> = Vec::new();
        for entry in self.entries.values() {
            let IdempotencyKey::Opaque(key) = &entry.name.key else {
                continue;
            };
            if entry.name.service != request.service || !moved(key) {
                continue;
            }
            if !entry.regions.is_empty()
                && !region.is_some_and(|region| entry.regions.contains(region))
            {
                withheld = true;
                continue;
            }
            let place = xxh3_64(key.as_bytes());
            if request.after.is_none_or(|after| place > after) {
                found.push((place, entry, key));
            }
        }
        found.sort_by_key(|&(place, _, _)| place);
        let mut records = Vec::new();
        let mut next = None;
        let mut size = 0;
        let mut last = None;
        for (place, entry, key) in found {
            // Records of one place are never split: the next piece begins after it.
            if size >= bytes && last != Some(place) {
                next = last;
                break;
            }
            let record = OnceRecord::of(entry, key, now);
            size += record.bytes();
            last = Some(place);
            records.push(record);
        }
        Some(OnceTransfer {
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

    /// Takes a piece of a transfer, in any order and any number of times.
    pub fn import(&mut self, piece: OnceTransfer, now: Duration) -> TransferStep {
        let now = self.advance(now);
        if !self.covers.contains_key(&piece.service) {
            return TransferStep::Ignored;
        }
        for record in piece.records {
            if !self.take(&piece.service, record, now) {
                return TransferStep::Full;
            }
        }
        let cover = &mut self.covers[&piece.service];
        if piece.after.is_none() {
            let handover = Handover {
                revision: piece.revision,
                whole_at: now + piece.unknown_for,
            };
            let pending = PendingTransfer {
                incarnation: piece.incarnation,
                handover,
                next: 0,
            };
            cover.pending.insert(piece.from.clone(), pending);
        }
        let Some(pending) = cover.pending.get_mut(&piece.from) else {
            return TransferStep::Ask(None);
        };
        if pending.incarnation != piece.incarnation {
            cover.pending.swap_remove(&piece.from);
            return TransferStep::Ask(None);
        }
        if piece.after.is_some_and(|after| after != pending.next) {
            return TransferStep::Ask(Some(pending.next));
        }
        if piece.withheld {
            cover.pending.swap_remove(&piece.from);
            return TransferStep::Withheld;
        }
        if let Some(next) = piece.next {
            pending.next = next;
            return TransferStep::Ask(Some(next));
        }
        let handover = pending.handover;
        cover.pending.swap_remove(&piece.from);
        let known = cover.handovers.entry(piece.from).or_insert(handover);
        if handover.revision > known.revision || handover.whole_at < known.whole_at {
            *known = handover;
        }
        self.update_clear();
        TransferStep::Done
    }

    /// Takes a record; false when there is no room for it.
    fn take(&mut self, service: &SmolStr, record: OnceRecord, now: Duration) -> bool {
        if record.age >= self.limits.keep() {
            return true;
        }
        let name = RecordName {
            service: service.clone(),
            tenant: record.tenant,
            key: IdempotencyKey::Opaque(record.key),
        };
        let answer = record
            .answer
            .filter(|answer| answer.bytes() <= self.spare_bytes());
        let state = match record.verdict {
            CallVerdict::Ran => EntryState::Answered(answer),
            _ => EntryState::Unknown,
        };
        if let Some(&ticket) = self.index.get(&name) {
            self.learn(ticket, state);
            return true;
        }
        if self.entries.len() >= self.limits.records {
            return false;
        }
        self.insert(OnceEntry {
            name,
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
        let (verdict, answer) = match &entry.state {
            EntryState::Answered(answer) => (CallVerdict::Ran, answer.clone()),
            EntryState::Running { .. } | EntryState::Unknown => (CallVerdict::MayHaveRun, None),
        };
        OnceRecord {
            tenant: entry.name.tenant.clone(),
            key: key.clone(),
            fingerprint: entry.fingerprint,
            regions: entry.regions.clone(),
            verdict,
            answer,
            age: now.saturating_sub(entry.since),
        }
    }

    /// Returns about the size of the record in a message.
    fn bytes(&self) -> usize {
        let answer = self.answer.as_ref().map_or(0, |answer| answer.bytes());
        self.key.len() + self.tenant.len() + size_of::<OnceRecord>() + answer
    }
}
