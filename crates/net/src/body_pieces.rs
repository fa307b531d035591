//! Bodies of requests, kept once, in the pieces in which they arrived.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;

use crate::body_budget::BodyShare;

/// The least length in bytes of a piece that is kept as it arrived. It is most of what the
/// library reads at a time; a shorter piece keeps a buffer that is largely empty.
const KEPT_PIECE: usize = 3 * 1024;

/// The length in bytes of the buffers into which shorter pieces are merged.
const MERGE_BUFFER: usize = 16 * 1024;

/// The memory in bytes of a piece besides its data: its place in the list, its reference
/// count, and what the allocator adds to both buffers.
const PIECE_OVERHEAD: usize = 96;

/// The expected length in bytes of a piece of a long body.
const EXPECTED_PIECE: usize = 4096;

/// A complete body. Clones share the bytes, and the share of the memory that they use.
#[derive(Debug, Clone, Default)]
pub struct BodyPieces {
    pieces: PieceList,
    length: usize,
    _share: Option<Arc<BodyShare>>,
}

#[derive(Debug, Clone)]
enum PieceList {
    Single(Bytes),
    Many(Arc<[Bytes]>),
}

impl Default for PieceList {
    fn default() -> PieceList {
        PieceList::Single(Bytes::new())
    }
}

impl BodyPieces {
    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the pieces in their order.
    pub fn pieces(&self) -> &[Bytes] {
        match &self.pieces {
            PieceList::Single(bytes) => std::slice::from_ref(bytes),
            PieceList::Many(pieces) => pieces,
        }
    }
}

impl From<Bytes> for BodyPieces {
    fn from(bytes: Bytes) -> BodyPieces {
        BodyPieces {
            length: bytes.len(),
            pieces: PieceList::Single(bytes),
            _share: None,
        }
    }
}

impl From<Vec<u8>> for BodyPieces {
    fn from(bytes: Vec<u8>) -> BodyPieces {
        BodyPieces::from(Bytes::from(bytes))
    }
}

/// Collects the pieces of a body within its share of the memory.
pub(crate) struct PieceCollector {
    pieces: Vec<Bytes>,
    /// The pieces that are being merged.
    tail: BytesMut,
    length: usize,
    /// The memory of the pieces and of the tail.
    memory: usize,
    /// The declared length, if there is one.
    declared: Option<usize>,
    share: BodyShare,
}

impl PieceCollector {
    /// Returns a collector without pieces; `None` if a body of the declared length does
    /// not fit into the memory.
    pub(crate) fn new(declared: Option<usize>, mut share: BodyShare) -> Option<PieceCollector> {
        let expected = declared.map_or(0, |length| {
            length + (length / EXPECTED_PIECE + 1) * PIECE_OVERHEAD
        });
        share.extend_to(expected).then(|| PieceCollector {
            pieces: Vec::new(),
            tail: BytesMut::new(),
            length: 0,
            memory: 0,
            declared,
            share,
        })
    }

    /// Returns how often a body did not fit into the memory.
    pub(crate) fn refusals(&self) -> u64 {
        self.share.refusals()
    }

    /// Adds a piece, and returns whether it fits into the memory.
    pub(crate) fn push(&mut self, data: Bytes) -> bool {
        self.length += data.len();
        let is_complete = self.pieces.is_empty() && self.declared == Some(data.len());
        if self.tail.is_empty() && (is_complete || data.len() >= KEPT_PIECE) {
            self.memory += data.len() + PIECE_OVERHEAD;
            self.pieces.push(data);
            return self.share.extend_to(self.memory);
        }
        let mut rest = &data[..];
        while !rest.is_empty() {
            if self.tail.capacity() == self.tail.len() && !self.begin_tail(rest.len()) {
                return false;
            }
            let room = self.tail.capacity() - self.tail.len();
            let (fitting, left) = rest.split_at(rest.len().min(room));
            self.tail.extend_from_slice(fitting);
            rest = left;
        }
        if self.tail.len() == self.tail.capacity() {
            self.end_tail();
        }
        true
    }

    /// Begins a new buffer for at least some of `bytes`, and returns whether it fits.
    fn begin_tail(&mut self, bytes: usize) -> bool {
        self.end_tail();
        let left = self.declared.map_or(MERGE_BUFFER, |declared| {
            declared.saturating_sub(self.length) + bytes
        });
        let capacity = left.clamp(1, MERGE_BUFFER);
        self.memory += capacity + PIECE_OVERHEAD;
        if !self.share.extend_to(self.memory) {
            return false;
        }
        self.tail = BytesMut::with_capacity(capacity);
        true
    }

    fn end_tail(&mut self) {
        if !self.tail.is_empty() {
            self.pieces.push(std::mem::take(&mut self.tail).freeze());
        }
    }

    /// Returns the complete body.
    pub(crate) fn finish(mut self) -> BodyPieces {
        self.end_tail();
        let pieces = match <[Bytes; 1]>::try_from(self.pieces) {
            Ok([single]) => PieceList::Single(single),
            Err(pieces) if pieces.is_empty() => return BodyPieces::default(),
            Err(pieces) => PieceList::Many(pieces.into()),
        };
        BodyPieces {
            pieces,
            length: self.length,
            _share: Some(Arc::new(self.share)),
        }
    }
}
