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
pub(crate) const FIRST_STREAMS: u32 = 32;

/// The open streams of one session, and their current and greatest number.
#[derive(Debug)]
pub(crate) struct StreamRoom {
    open: AtomicU32,
    allowed: AtomicU32,
    most: u32,
}

impl StreamRoom {
    pub(crate) fn new(most: u32) -> StreamRoom {
        StreamRoom {
            open: AtomicU32::new(0),
            allowed: AtomicU32::new(FIRST_STREAMS.min(most)),
            most,
        }
    }
}

/// Counts one stream as opened by the peer, until dropped.
#[derive(Debug)]
pub(crate) struct OpenStream(Arc<StreamRoom>);

impl OpenStream {
    /// Counts a stream, and raises the limit when more than half of it is used.
    pub(crate) fn begin(room: &Arc<StreamRoom>, connection: &Connection) -> OpenStream {
        let open = room.open.fetch_add(1, Ordering::Relaxed) + 1;
        let allowed = room.allowed.load(Ordering::Relaxed);
        if allowed < room.most && open > allowed / 2 {
            let more = allowed.saturating_mul(2).min(room.most);
            let changed =
                room.allowed
                    .compare_exchange(allowed, more, Ordering::Relaxed, Ordering::Relaxed);
            if changed.is_ok() {
                connection.set_max_concurrent_bi_streams(VarInt::from_u32(more));
            }
        }
        OpenStream(room.clone())
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
