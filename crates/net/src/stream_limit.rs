//! Limits the streams that a peer may open on a session.
//!
//! The transport reserves memory for each stream that a peer may open, even when
//! it is not used. A session therefore starts with a low limit, which doubles
//! whenever the peer uses more than half of it.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use quinn::Connection;
use quinn::VarInt;

/// The initial limit of open streams. Control messages need only a few, and a
/// peer that sends calls reaches the full limit after a few round trips.
pub(crate) const INITIAL_STREAMS: u32 = 32;

/// The open streams of one session, and their current and greatest number.
#[derive(Debug)]
pub(crate) struct StreamLimit {
    open: AtomicU32,
    allowed: AtomicU32,
    max: u32,
}

impl StreamLimit {
    pub(crate) fn new(max: u32) -> StreamLimit {
        StreamLimit {
            open: AtomicU32::new(0),
            allowed: AtomicU32::new(INITIAL_STREAMS.min(max)),
            max,
        }
    }
}

/// Counts one stream as opened by the peer, until dropped.
#[derive(Debug)]
pub(crate) struct OpenStream(Arc<StreamLimit>);

impl OpenStream {
    /// Counts a stream, and raises the limit when more than half of it is used.
    pub(crate) fn begin(limit: &Arc<StreamLimit>, connection: &Connection) -> OpenStream {
        let open = limit.open.fetch_add(1, Ordering::Relaxed) + 1;
        let allowed = limit.allowed.load(Ordering::Relaxed);
        if allowed < limit.max && open > allowed / 2 {
            let raised = allowed.saturating_mul(2).min(limit.max);
            let changed = limit.allowed.compare_exchange(
                allowed,
                raised,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            if changed.is_ok() {
                connection.set_max_concurrent_bi_streams(VarInt::from_u32(raised));
            }
        }
        OpenStream(limit.clone())
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
