//! Tracks whether any byte of a request was written to a connection.
//!
//! A request whose future is dropped may still be written by the connection's
//! task on another thread. The tracker resolves this race: a request is either
//! written first, or cancelled first and then never written.

use std::io;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

const UNWRITTEN: u8 = 0;
const WRITTEN: u8 = 1;
const CANCELLED: u8 = 2;

/// Records whether any byte of one request may have been written.
#[derive(Debug, Default)]
pub(crate) struct WriteTracker(AtomicU8);

impl WriteTracker {
    /// Cancels the request unless its write has begun; returns whether it has.
    pub(crate) fn cancel(&self) -> bool {
        let before =
            self.0
                .compare_exchange(UNWRITTEN, CANCELLED, Ordering::AcqRel, Ordering::Acquire);
        before == Err(WRITTEN)
    }

    /// Records that a write begins, and returns whether it is the first one.
    ///
    /// # Errors
    ///
    /// When the request was cancelled.
    pub(crate) fn begin_write(&self) -> io::Result<bool> {
        match self
            .0
            .compare_exchange(UNWRITTEN, WRITTEN, Ordering::AcqRel, Ordering::Acquire)
        {
            Ok(_) => Ok(true),
            Err(WRITTEN) => Ok(false),
            Err(_) => Err(io::Error::new(
                io::ErrorKind::BrokenPipe,
                "the request was withdrawn",
            )),
        }
    }

    /// Undoes the first `begin_write`, after a write that transferred no byte.
    pub(crate) fn undo_write(&self) {
        let _ = self
            .0
            .compare_exchange(WRITTEN, UNWRITTEN, Ordering::AcqRel, Ordering::Acquire);
    }
}
